//! The record of all instances in a keyed topic of the store: read by each
//! instance, written by one. [`crate::core::instances`] decides what is written.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    core::{capacity::Purpose, dispatch::owner, fleet::EXPIRY_GRACE_MS, instances::Changes},
    entry::{
        follow,
        shared::Shared,
        store::{Append, Partition},
    },
};

/// The topic, with one partition: it has a record for each instance.
const TOPIC: &str = "keyed.instances";
/// Minimum interval between reads. Only a start needs the record.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between checks whether a record is missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records in one append.
const MAX_BATCH: usize = 500;
/// A value: a record without one is a deletion.
const EXISTS: &[u8] = b"1";

/// Follows the record.
pub async fn follow_record(shared: Rc<Shared>) {
    let part = Partition::new(TOPIC, 0);
    follow::follow(
        shared,
        part,
        |_| READ_INTERVAL,
        None,
        true,
        |shared, records, origin| {
            let instances = &mut shared.control.borrow_mut().instances;
            let records = records.records.iter();
            if origin.is_snapshot {
                let exist = records.filter(|record| record.value.is_some());
                instances.replace(exist.map(|record| record.key.as_str()));
            } else {
                records.for_each(|record| instances.apply(&record.key, record.value.is_some()));
            }
        },
    )
    .await;
}

/// Keeps the record, as long as this instance is the one that does.
pub async fn keep_record(shared: Rc<Shared>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let mut changes = due_changes(&shared);
        changes.added.truncate(MAX_BATCH / 2);
        changes.removed.truncate(MAX_BATCH / 2);
        if !changes.is_empty() {
            write(&shared, &changes).await;
        }
    }
}

fn due_changes(shared: &Shared) -> Changes {
    let now = shared.now();
    let control = &mut *shared.control.borrow_mut();
    let members = control.roster.members();
    if owner(members, TOPIC, "") != Some(shared.instance_id.as_str()) {
        return Changes::default();
    }
    let recovered_at = control.fleet.store_recovered_at;
    let is_settled = !control.fleet.store_unavailable
        && recovered_at.is_none_or(|at| now.since(at) > EXPIRY_GRACE_MS);
    control.instances.changes(now, members, is_settled)
}

async fn write(shared: &Shared, changes: &Changes) {
    let added = changes.added.iter().map(|name| (Some(name.clone()), Bytes::from_static(EXISTS)));
    let removed = changes.removed.iter().map(|name| (Some(name.clone()), Bytes::new()));
    let records = added.chain(removed).collect();
    let (part, purpose) = (Partition::new(TOPIC, 0), Purpose::Instance);
    match shared.append(Append { part, records, expected_end: None, purpose }).await {
        Ok(_) => {
            let (added, removed) = (changes.added.len(), changes.removed.len());
            log::info!("record of instances: {added} added, {removed} removed");
            shared.control.borrow_mut().instances.written(changes);
        }
        Err(error) => log::info!("keeping the record of instances: {error}"),
    }
}

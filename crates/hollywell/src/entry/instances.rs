//! The record of all instances in a keyed topic of the store.
//! [`crate::core::instances`] decides what is written.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep};

use crate::{
    core::{
        capacity::Purpose,
        fleet::EXPIRY_GRACE_MS,
        instances::{Changes, Group},
    },
    entry::{
        shared::Shared,
        store::{Append, Newest, Partition},
    },
};

/// The topic, with one partition: it has a record for each instance.
const TOPIC: &str = "keyed.instances";
/// Interval between reads by the instance that keeps the record. The others read
/// it once.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between checks whether something has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to write, and its jitter as a factor: all instances
/// of a fleet may start together.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// See [`RETRY_INTERVAL`].
const RETRY_JITTER: std::ops::RangeInclusive<f64> = 0.5..=1.5;
/// Maximum number of records of a kind in one append.
const MAX_BATCH: usize = 250;
/// A value: a record without one is a deletion.
const EXISTS: &[u8] = b"1";

/// Reads the record, adds this instance, and keeps the record for all as long as
/// this instance is the one that does.
pub async fn serve(shared: Rc<Shared>) {
    let mut read_at: Option<Instant> = None;
    loop {
        let is_keeper = {
            let control = shared.control.borrow();
            control.instances.is_keeper(control.roster.members())
        };
        if read_at.is_none_or(|at| is_keeper && at.elapsed() >= READ_INTERVAL) {
            read(&shared).await;
            read_at = Some(Instant::now());
        }
        let mut changes = due_changes(&shared);
        changes.added.truncate(MAX_BATCH);
        changes.removed.truncate(MAX_BATCH);
        let is_written = changes.is_empty() || write(&shared, &changes).await;
        let retry = || RETRY_INTERVAL.mul_f64(rand::random_range(RETRY_JITTER));
        sleep(if is_written { CHECK_INTERVAL } else { retry() }).await;
    }
}

/// Reads the record from the store, however often that fails.
async fn read(shared: &Shared) {
    let part = Partition::new(TOPIC, 0);
    let mut newest = Newest::default();
    let mut failures = 0;
    while let Err(error) = shared.reader.resume_newest(&part, &mut newest).await {
        shared.record_store_result(false);
        log::info!("reading the record of instances: {error}");
        failures += 1;
        shared.reader.back_off(failures).await;
    }
    shared.record_store_result(true);
    let records = newest.into_records();
    shared.control.borrow_mut().instances.replace(records.keys());
}

fn due_changes(shared: &Shared) -> Changes {
    let now = shared.now();
    let control = &mut *shared.control.borrow_mut();
    let recovered_at = control.fleet.store_recovered_at;
    let is_settled = !control.fleet.store_unavailable
        && recovered_at.is_none_or(|at| now.since(at) > EXPIRY_GRACE_MS);
    let is_whole = is_settled && control.group_size.is_settled() && !control.group_size.is_full();
    let group = Group { members: control.roster.members(), is_whole };
    control.instances.changes(now, group)
}

/// Writes changes; returns whether the store took them.
async fn write(shared: &Shared, changes: &Changes) -> bool {
    let added = changes.added.iter().map(|name| (Some(name.clone()), Bytes::from_static(EXISTS)));
    let removed = changes.removed.iter().map(|name| (Some(name.clone()), Bytes::new()));
    let records = added.chain(removed).collect();
    let (part, purpose) = (Partition::new(TOPIC, 0), Purpose::Instance);
    match shared.append(Append { part, records, expected_end: None, purpose }).await {
        Ok(_) => {
            let (added, removed) = (changes.added.join(" "), changes.removed.join(" "));
            log::info!("record of instances: added {added}, removed {removed}");
            shared.control.borrow_mut().instances.written(changes);
            true
        }
        Err(error) => {
            log::info!("writing the record of instances: {error}");
            false
        }
    }
}

//! Drops the records of jobs that nobody may ask for any more. Keyed records
//! are kept for good by the store, and its room is small.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    core::{batch::CLOCKS_APART_MS, dispatch::owner, room::Use},
    entry::{
        shared::{JOBS, Shared, TEXTS, wall_ms},
        store::{Append, Fault, Part},
    },
};

/// Time between looks for jobs to drop.
const LOOK: Duration = Duration::from_secs(1);
/// Records that one call drops.
const AT_ONCE: usize = 1_000;

/// Drops this instance's share of old jobs until it stops.
pub async fn serve(shared: Rc<Shared>) {
    loop {
        sleep(LOOK).await;
        for (part, job) in old(&shared) {
            match drop_job(&shared, part, &job).await {
                Ok(()) => log::info!("job {job} dropped"),
                Err(fault) => log::info!("job {job} is not dropped yet: {fault}"),
            }
        }
    }
}

/// Ended jobs that need not be kept any more and fall to this instance.
fn old(shared: &Shared) -> Vec<(usize, String)> {
    let status_ms = u64::try_from(shared.settings.times.status.as_millis()).unwrap_or(u64::MAX);
    let now_ms = wall_ms();
    let world = shared.world.borrow();
    let mut old = Vec::new();
    for (part, shelf) in world.shelves.iter().enumerate() {
        for (id, job) in &shelf.book.jobs {
            let age_ms = now_ms.saturating_sub(job.head.at_ms);
            let mine = owner(world.roster.members(), id, "") == Some(shared.me.as_str());
            if mine && job.ended && age_ms > status_ms.saturating_add(CLOCKS_APART_MS) {
                old.push((part, id.clone()));
            }
        }
    }
    old
}

/// Drops a job's texts, then its results, and its head last: as long as that
/// is there, the next look goes on with what is left.
async fn drop_job(shared: &Rc<Shared>, part: usize, id: &str) -> Result<(), Fault> {
    let keys = {
        let world = shared.world.borrow();
        world.shelves[part].book.jobs.get(id).map(|job| job.keys(id))
    };
    let Some((mut own, texts)) = keys else {
        return Ok(());
    };
    own.reverse();
    for (topic, keys) in [(TEXTS, texts), (JOBS, own)] {
        for some in keys.chunks(AT_ONCE) {
            let records = some.iter().map(|key| (Some(key.clone()), Bytes::new())).collect();
            let (part, purpose) = (Part::at(topic, part), Use::Drop);
            shared.append(Append { part, records, expected_end: None, purpose }).await?;
        }
    }
    Ok(())
}

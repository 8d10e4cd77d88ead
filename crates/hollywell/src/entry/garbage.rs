//! Garbage collection: deletes stored records that are no longer needed. The
//! store keeps the newest record of each key for good, and its capacity is
//! small. [`crate::core::batch::Garbage`] and [`crate::core::batch::Orphans`]
//! decide what may be deleted.
//!
//! The records of a job are deleted by one instance, the one that its id hashes
//! to. An instance that takes over deletes some of them again, which is
//! harmless.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    core::{
        batch::{self, DueOrphans, Garbage, Keys, Retention},
        capacity::Purpose,
        dispatch::owner,
        read_rate::ReadPurpose,
    },
    entry::{
        shared::{JOBS, Shared, TEXTS, unix_ms},
        store::{Append, Partition, StoreError},
    },
};

/// Interval between scans.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of records deleted by one call.
const MAX_BATCH: usize = 1_000;

/// Records of one partition to delete after one scan.
#[derive(Default)]
struct Deletions {
    /// Keys of the records.
    keys: Keys,
    /// The states of jobs after the deletion.
    after: Vec<(String, Garbage)>,
    /// Jobs of which all records are deleted.
    jobs: Vec<String>,
    /// The orphans that are due.
    orphans: DueOrphans,
}

/// Deletes this instance's share of the garbage until the instance stops.
pub async fn serve(shared: Rc<Shared>) {
    let mut garbage: HashMap<String, Garbage> = HashMap::new();
    loop {
        sleep(SCAN_INTERVAL).await;
        observe(&shared, &mut garbage);
        for part in 0..shared.partition_changed.len() {
            let deletions = find_deletions(&shared, part, &garbage);
            match delete(&shared, part, &deletions).await {
                Ok(()) => record_deleted(&shared, part, deletions, &mut garbage),
                Err(error) => {
                    let count = deletions.keys.jobs.len() + deletions.keys.texts.len();
                    log::info!("{count} records of partition {part} are not deleted yet: {error}");
                }
            }
        }
    }
}

/// Updates the state of each job.
fn observe(shared: &Shared, garbage: &mut HashMap<String, Garbage>) {
    let now = shared.now();
    let control = shared.control.borrow();
    let jobs = || control.partitions.iter().flat_map(|partition| &partition.index.jobs);
    for (id, job) in jobs() {
        garbage.entry(id.clone()).or_insert_with(|| Garbage::new(now)).observe(job, now);
    }
    garbage.retain(|id, _| {
        control.partitions.iter().any(|partition| partition.index.jobs.contains_key(id))
    });
}

/// Finds the records of a partition that are no longer needed and that this
/// instance must delete.
fn find_deletions(shared: &Shared, part: usize, garbage: &HashMap<String, Garbage>) -> Deletions {
    let status_ms = shared.settings.times.status_ms();
    let (now, unix_ms, terms) = (shared.now(), unix_ms(), Retention { status_ms });
    let control = shared.control.borrow();
    let mut deletions = Deletions::default();
    let index = &control.partitions[part].index;
    for (id, job) in &index.jobs {
        let Some(job_garbage) = garbage.get(id) else {
            continue;
        };
        let mut after_deletion = None;
        let keys = if job_garbage.is_expired(job, now, unix_ms, terms) {
            job.keys(id)
        } else {
            let (keys, after) = job_garbage.next(id, job, now);
            after_deletion = Some(after);
            keys
        };
        // Checked last: it computes a hash for each instance.
        if keys.is_empty()
            || owner(control.roster.members(), id, "") != Some(shared.instance_id.as_str())
        {
            continue;
        }
        match after_deletion {
            Some(after) => deletions.after.push((id.clone(), after)),
            None => deletions.jobs.push(id.clone()),
        }
        deletions.keys.jobs.extend(keys.jobs);
        deletions.keys.texts.extend(keys.texts);
        deletions.keys.manifests.extend(keys.manifests);
    }
    if let Some(read_at) = control.partitions[part].read_at {
        deletions.orphans = shared.orphans.borrow().due(part, read_at, index);
        deletions.keys.texts.extend(deletions.orphans.keys.texts.iter().cloned());
        deletions.keys.jobs.extend(deletions.orphans.keys.jobs.iter().cloned());
    }
    deletions
}

fn record_deleted(
    shared: &Shared,
    part: usize,
    deletions: Deletions,
    garbage: &mut HashMap<String, Garbage>,
) {
    garbage.extend(deletions.after);
    let orphans = deletions.orphans;
    shared.orphans.borrow_mut().forget(part, &orphans.all);
    if let Some(first) = orphans.keys.texts.first().or(orphans.keys.jobs.first()) {
        let count = orphans.keys.texts.len() + orphans.keys.jobs.len();
        log::info!("{count} records of partition {part} without a reference deleted: {first}, ...");
    }
    for id in deletions.jobs {
        log::info!("job {id} deleted");
    }
}

/// Deletes texts first, so that the records that refer to them remain until the
/// texts are gone.
async fn delete(shared: &Rc<Shared>, part: usize, deletions: &Deletions) -> Result<(), StoreError> {
    delete_keys(shared, &Partition::at(TEXTS, part), &deletions.keys.texts).await?;
    for job in &deletions.jobs {
        delete_unreferenced_texts(shared, &Partition::at(TEXTS, part), job).await?;
    }
    let jobs = Partition::at(JOBS, part);
    delete_keys(shared, &jobs, &deletions.keys.jobs).await?;
    for pairs in deletions.keys.manifests.chunks(MAX_BATCH / 2) {
        delete_keys(shared, &jobs, pairs.as_flattened()).await?;
    }
    Ok(())
}

/// Deletes a job's texts without a reference: an instance may have ended
/// between the append of a text and that of its result. The known texts were
/// deleted before, so mostly none are left.
async fn delete_unreferenced_texts(
    shared: &Rc<Shared>,
    part: &Partition,
    job: &str,
) -> Result<(), StoreError> {
    let first = batch::key_prefix(job);
    let mut after = Some(first.clone());
    while let Some(from) = after {
        let page = shared.reader.newest_for(ReadPurpose::Background, part, Some(from)).await?;
        let all = page.records.len();
        let keys = page.records.into_iter().map(|record| record.key);
        let own: Vec<String> = keys.filter(|key| key.starts_with(&first)).collect();
        // Keys that sort after the job's belong to others.
        after = page.after.filter(|_| own.len() == all);
        delete_keys(shared, part, &own).await?;
    }
    Ok(())
}

async fn delete_keys(
    shared: &Rc<Shared>,
    part: &Partition,
    keys: &[String],
) -> Result<(), StoreError> {
    for chunk in keys.chunks(MAX_BATCH) {
        let records = chunk.iter().map(|key| (Some(key.clone()), Bytes::new())).collect();
        let (part, purpose) = (part.clone(), Purpose::Delete);
        shared.append(Append { part, records, expected_end: None, purpose }).await?;
    }
    Ok(())
}

//! Drops records that nothing needs any more. Keyed records are kept for good
//! by the store, and its room is small; what may be dropped is decided in
//! [`crate::core::batch::Garbage`].
//!
//! Each job's records are dropped by one instance, the one that its id hashes
//! to. An instance that takes over drops some again, which does no harm.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    core::{
        batch::{self, Garbage, Index, Keys, Retention},
        capacity::Purpose,
        dispatch::owner,
        time::Time,
    },
    entry::{
        shared::{JOBS, Shared, TEXTS, unix_ms},
        store::{Append, Partition, StoreError},
    },
};

/// Time between looks.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Records that one call drops.
const MAX_BATCH: usize = 1_000;
/// How long an append without an answer may still be done, in milliseconds;
/// the platform says seconds.
const LATE_APPEND_MS: u64 = 30_000;

/// Records that were appended, or may have been, and that nothing names.
#[derive(Debug, Default)]
pub struct Orphans(RefCell<Vec<Orphan>>);

#[derive(Clone, Debug)]
struct Orphan {
    part: usize,
    key: String,
    /// Not to be dropped before.
    due: Time,
    /// What would need it after all.
    needed_by: NeededBy,
}

/// What may need a record that was appended.
#[derive(Clone, Debug)]
enum NeededBy {
    /// Nothing.
    Nothing,
    /// A job that names it in its head.
    Reference(String),
    /// A job that is there.
    Job(String),
}

impl Orphans {
    /// Adds texts whose append got no answer; they are appended again under
    /// other keys.
    pub fn texts(&self, now: Time, part: usize, keys: impl IntoIterator<Item = String>) {
        let due = now.after(LATE_APPEND_MS);
        let orphan = |key| Orphan { part, key, due, needed_by: NeededBy::Nothing };
        self.0.borrow_mut().extend(keys.into_iter().map(orphan));
    }

    /// Adds the requests of a job that was not accepted, as far as is known.
    pub fn requests(
        &self,
        now: Time,
        part: usize,
        job: &str,
        keys: impl IntoIterator<Item = String>,
    ) {
        let due = now.after(LATE_APPEND_MS);
        let needed_by = || NeededBy::Reference(job.to_owned());
        let orphan = |key| Orphan { part, key, due, needed_by: needed_by() };
        self.0.borrow_mut().extend(keys.into_iter().map(orphan));
    }

    /// Notes that a job was not accepted and never will be.
    pub fn refused(&self, now: Time, job: &str) {
        for orphan in self.0.borrow_mut().iter_mut() {
            if matches!(&orphan.needed_by, NeededBy::Reference(other) if other == job) {
                orphan.due = now;
            }
        }
    }

    /// Adds the end of a job that is not known, and may be accepted late.
    pub fn end(&self, now: Time, part: usize, job: &str) {
        let (due, needed_by) = (now.after(LATE_APPEND_MS), NeededBy::Job(job.to_owned()));
        let key = batch::end_record(job).0;
        self.0.borrow_mut().push(Orphan { part, key, due, needed_by });
    }
}

/// What one look found to be dropped in one partition.
#[derive(Default)]
struct Deletions {
    keys: Keys,
    /// What is known of jobs once it is dropped.
    after: Vec<(String, Garbage)>,
    over: Vec<String>,
    orphans: Vec<String>,
}

/// Drops this instance's share of what is not needed until it stops.
pub async fn serve(shared: Rc<Shared>) {
    let mut garbage: HashMap<String, Garbage> = HashMap::new();
    loop {
        sleep(SCAN_INTERVAL).await;
        observe(&shared, &mut garbage);
        for part in 0..shared.partition_changed.len() {
            let due = find_deletions(&shared, part, &garbage);
            match delete(&shared, part, &due).await {
                Ok(()) => record_deleted(&shared, part, due, &mut garbage),
                Err(fault) => {
                    let count = due.keys.jobs.len() + due.keys.texts.len();
                    log::info!("{count} records of partition {part} are not dropped yet: {fault}");
                }
            }
        }
    }
}

/// Takes over what is to be seen of the jobs.
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

/// Records of a partition that nothing needs and that fall to this instance.
fn find_deletions(shared: &Shared, part: usize, garbage: &HashMap<String, Garbage>) -> Deletions {
    let status_ms = shared.settings.times.status_ms();
    let (now, unix_ms, terms) = (shared.now(), unix_ms(), Retention { status_ms });
    let control = shared.control.borrow();
    let mut due = Deletions::default();
    let book = &control.partitions[part].index;
    for (id, job) in &book.jobs {
        let Some(job_garbage) = garbage.get(id) else {
            continue;
        };
        let mut after_drop = None;
        let keys = if job_garbage.is_expired(job, now, unix_ms, terms) {
            job.keys(id)
        } else {
            let (keys, after) = job_garbage.next(id, job, now);
            after_drop = Some(after);
            keys
        };
        // Asked last: it takes a hash for each instance.
        if keys.is_empty()
            || owner(control.roster.members(), id, "") != Some(shared.instance_id.as_str())
        {
            continue;
        }
        match after_drop {
            Some(after) => due.after.push((id.clone(), after)),
            None => due.over.push(id.clone()),
        }
        due.keys.jobs.extend(keys.jobs);
        due.keys.texts.extend(keys.texts);
        due.keys.manifests.extend(keys.manifests);
    }
    // What was read before it is due says nothing.
    let read_at = control.partitions[part].read_at;
    let orphans = shared.orphans.0.borrow();
    for orphan in orphans.iter().filter(|orphan| orphan.part == part && read_at >= Some(orphan.due))
    {
        due.orphans.push(orphan.key.clone());
        let key = orphan.key.clone();
        match &orphan.needed_by {
            NeededBy::Reference(job) if is_referenced(book, job, &key) => {}
            NeededBy::Job(job) if book.jobs.contains_key(job) => {}
            NeededBy::Job(_) => due.keys.jobs.push(key),
            NeededBy::Nothing | NeededBy::Reference(_) => due.keys.texts.push(key),
        }
    }
    due
}

fn is_referenced(book: &Index, job: &str, key: &str) -> bool {
    let job = book.jobs.get(job);
    job.is_some_and(|job| job.manifest.bundles.iter().any(|bundle| bundle.key == key))
}

fn record_deleted(
    shared: &Shared,
    part: usize,
    due: Deletions,
    garbage: &mut HashMap<String, Garbage>,
) {
    garbage.extend(due.after);
    let mut orphans = shared.orphans.0.borrow_mut();
    orphans.retain(|orphan| orphan.part != part || !due.orphans.contains(&orphan.key));
    for id in due.over {
        log::info!("job {id} dropped");
    }
}

/// Drops texts first: what names them is there until they are gone.
async fn delete(shared: &Rc<Shared>, part: usize, due: &Deletions) -> Result<(), StoreError> {
    delete_keys(shared, &Partition::at(TEXTS, part), &due.keys.texts).await?;
    for job in &due.over {
        delete_unreferenced_texts(shared, &Partition::at(TEXTS, part), job).await?;
    }
    let jobs = Partition::at(JOBS, part);
    delete_keys(shared, &jobs, &due.keys.jobs).await?;
    for some in due.keys.manifests.chunks(MAX_BATCH / 2) {
        delete_keys(shared, &jobs, some.as_flattened()).await?;
    }
    Ok(())
}

/// Drops texts of a job that nothing names: an instance may have ended
/// between a text's append and that of its result. What is known was dropped
/// before, so that mostly nothing is left.
async fn delete_unreferenced_texts(
    shared: &Rc<Shared>,
    part: &Partition,
    job: &str,
) -> Result<(), StoreError> {
    let first = batch::key_prefix(job);
    let mut after = Some(first.clone());
    while let Some(from) = after {
        let page = shared.reader.newest(part, Some(from)).await?;
        let all = page.records.len();
        let keys = page.records.into_iter().map(|record| record.key);
        let own: Vec<String> = keys.filter(|key| key.starts_with(&first)).collect();
        // What sorts behind the job's keys belongs to others.
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
    for some in keys.chunks(MAX_BATCH) {
        let records = some.iter().map(|key| (Some(key.clone()), Bytes::new())).collect();
        let (part, purpose) = (part.clone(), Purpose::Delete);
        shared.append(Append { part, records, expected_end: None, purpose }).await?;
    }
    Ok(())
}

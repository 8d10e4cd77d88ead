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
        dispatch::owner,
        room::Use,
        time::Time,
    },
    entry::{
        shared::{JOBS, Shared, TEXTS, wall_ms},
        store::{Append, Fault, Part},
    },
};

/// Time between looks.
const LOOK: Duration = Duration::from_secs(1);
/// Records that one call drops.
const AT_ONCE: usize = 1_000;
/// How long an append without an answer may still be done, in milliseconds;
/// the platform says seconds.
const LATE_MS: u64 = 30_000;

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
    unless: Unless,
}

/// What may need a record that was appended.
#[derive(Clone, Debug)]
enum Unless {
    /// Nothing.
    Never,
    /// A job that names it in its head.
    Named(String),
    /// A job that is there.
    There(String),
}

impl Orphans {
    /// Adds texts whose append got no answer; they are appended again under
    /// other keys.
    pub fn texts(&self, now: Time, part: usize, keys: impl IntoIterator<Item = String>) {
        let due = now.after(LATE_MS);
        let orphan = |key| Orphan { part, key, due, unless: Unless::Never };
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
        let due = now.after(LATE_MS);
        let unless = || Unless::Named(job.to_owned());
        let orphan = |key| Orphan { part, key, due, unless: unless() };
        self.0.borrow_mut().extend(keys.into_iter().map(orphan));
    }

    /// Notes that a job was not accepted and never will be.
    pub fn refused(&self, now: Time, job: &str) {
        for orphan in self.0.borrow_mut().iter_mut() {
            if matches!(&orphan.unless, Unless::Named(other) if other == job) {
                orphan.due = now;
            }
        }
    }

    /// Adds the end of a job that is not known, and may be accepted late.
    pub fn end(&self, now: Time, part: usize, job: &str) {
        let (due, unless) = (now.after(LATE_MS), Unless::There(job.to_owned()));
        let key = batch::end_record(job).0;
        self.0.borrow_mut().push(Orphan { part, key, due, unless });
    }
}

/// What one look found to be dropped in one partition.
#[derive(Default)]
struct Due {
    keys: Keys,
    /// What is known of jobs once it is dropped.
    after: Vec<(String, Garbage)>,
    over: Vec<String>,
    orphans: Vec<String>,
}

/// Drops this instance's share of what is not needed until it stops.
pub async fn serve(shared: Rc<Shared>) {
    let mut spares: HashMap<String, Garbage> = HashMap::new();
    loop {
        sleep(LOOK).await;
        look(&shared, &mut spares);
        for part in 0..shared.listed.len() {
            let due = due(&shared, part, &spares);
            match drop_due(&shared, part, &due).await {
                Ok(()) => done(&shared, part, due, &mut spares),
                Err(fault) => {
                    let count = due.keys.jobs.len() + due.keys.texts.len();
                    log::info!("{count} records of partition {part} are not dropped yet: {fault}");
                }
            }
        }
    }
}

/// Takes over what is to be seen of the jobs.
fn look(shared: &Shared, spares: &mut HashMap<String, Garbage>) {
    let now = shared.now();
    let world = shared.world.borrow();
    let jobs = || world.shelves.iter().flat_map(|shelf| &shelf.book.jobs);
    for (id, job) in jobs() {
        spares.entry(id.clone()).or_insert_with(|| Garbage::new(now)).observe(job, now);
    }
    spares.retain(|id, _| world.shelves.iter().any(|shelf| shelf.book.jobs.contains_key(id)));
}

/// Records of a partition that nothing needs and that fall to this instance.
fn due(shared: &Shared, part: usize, spares: &HashMap<String, Garbage>) -> Due {
    let status_ms = shared.settings.times.status_ms();
    let (now, wall_ms, terms) = (shared.now(), wall_ms(), Retention { status_ms });
    let world = shared.world.borrow();
    let mut due = Due::default();
    let book = &world.shelves[part].book;
    for (id, job) in &book.jobs {
        let Some(spare) = spares.get(id) else {
            continue;
        };
        let mut after_drop = None;
        let keys = if spare.is_expired(job, now, wall_ms, terms) {
            job.keys(id)
        } else {
            let (keys, after) = spare.next(id, job, now);
            after_drop = Some(after);
            keys
        };
        // Asked last: it takes a hash for each instance.
        if keys.is_empty() || owner(world.roster.members(), id, "") != Some(shared.me.as_str()) {
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
    let read_at = world.shelves[part].read_at;
    let orphans = shared.orphans.0.borrow();
    for orphan in orphans.iter().filter(|orphan| orphan.part == part && read_at >= Some(orphan.due))
    {
        due.orphans.push(orphan.key.clone());
        let key = orphan.key.clone();
        match &orphan.unless {
            Unless::Named(job) if is_named(book, job, &key) => {}
            Unless::There(job) if book.jobs.contains_key(job) => {}
            Unless::There(_) => due.keys.jobs.push(key),
            Unless::Never | Unless::Named(_) => due.keys.texts.push(key),
        }
    }
    due
}

fn is_named(book: &Index, job: &str, key: &str) -> bool {
    let job = book.jobs.get(job);
    job.is_some_and(|job| job.manifest.bundles.iter().any(|bundle| bundle.key == key))
}

fn done(shared: &Shared, part: usize, due: Due, spares: &mut HashMap<String, Garbage>) {
    spares.extend(due.after);
    let mut orphans = shared.orphans.0.borrow_mut();
    orphans.retain(|orphan| orphan.part != part || !due.orphans.contains(&orphan.key));
    for id in due.over {
        log::info!("job {id} dropped");
    }
}

/// Drops texts first: what names them is there until they are gone.
async fn drop_due(shared: &Rc<Shared>, part: usize, due: &Due) -> Result<(), Fault> {
    drop_keys(shared, &Part::at(TEXTS, part), &due.keys.texts).await?;
    for job in &due.over {
        sweep(shared, &Part::at(TEXTS, part), job).await?;
    }
    let jobs = Part::at(JOBS, part);
    drop_keys(shared, &jobs, &due.keys.jobs).await?;
    for some in due.keys.manifests.chunks(AT_ONCE / 2) {
        drop_keys(shared, &jobs, some.as_flattened()).await?;
    }
    Ok(())
}

/// Drops texts of a job that nothing names: an instance may have ended
/// between a text's append and that of its result. What is known was dropped
/// before, so that mostly nothing is left.
async fn sweep(shared: &Rc<Shared>, part: &Part, job: &str) -> Result<(), Fault> {
    let first = batch::key_prefix(job);
    let mut after = Some(first.clone());
    while let Some(from) = after {
        let page = shared.reader.newest(part, Some(from)).await?;
        let all = page.records.len();
        let keys = page.records.into_iter().map(|record| record.key);
        let own: Vec<String> = keys.filter(|key| key.starts_with(&first)).collect();
        // What sorts behind the job's keys belongs to others.
        after = page.after.filter(|_| own.len() == all);
        drop_keys(shared, part, &own).await?;
    }
    Ok(())
}

async fn drop_keys(shared: &Rc<Shared>, part: &Part, keys: &[String]) -> Result<(), Fault> {
    for some in keys.chunks(AT_ONCE) {
        let records = some.iter().map(|key| (Some(key.clone()), Bytes::new())).collect();
        let (part, purpose) = (part.clone(), Use::Drop);
        shared.append(Append { part, records, expected_end: None, purpose }).await?;
    }
    Ok(())
}

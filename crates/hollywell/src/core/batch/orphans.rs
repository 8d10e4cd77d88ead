//! Orphans: records that were appended, or may have been, and that no other
//! record refers to.
//!
//! The requests of a job are stored before its manifest. Where the manifest
//! does not follow, they have to be deleted; but an append without a response
//! may still be executed seconds later, and a manifest that arrives then refers
//! to them. The same job may be submitted several times at one instance, and
//! each of these attempts stores requests and appends a manifest of its own.
//! What became of one attempt says nothing about another, so each is tracked
//! by itself.
//!
//! Deleting the records is left to the driver ([`crate::entry::garbage`]).

use super::{End, Index, Keys, TextRef};
use crate::core::time::Time;

/// How long an append without a response may still be executed, in
/// milliseconds; the platform says that it may take seconds.
const LATE_APPEND_MS: u64 = 30_000;

/// Identifies an attempt at submitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId(u64);

/// Which records of an attempt may have been appended, or may be later, although
/// that is not known. The requests of a manifest count with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MayArrive {
    /// None.
    #[default]
    Nothing,
    /// Requests.
    Requests,
    /// The manifest: the job may be accepted.
    Manifest,
}

/// When a record may be deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    /// Not before this attempt has ended.
    After(AttemptId),
    /// From this time on.
    At(Time),
}

/// What may need a record that was appended.
#[derive(Clone, Debug)]
enum NeededBy {
    /// Nothing can.
    Nothing,
    /// This job, if its manifest refers to the record.
    Reference(String),
    /// This job, if it exists.
    Job(String),
}

#[derive(Clone, Debug)]
struct Orphan {
    part: usize,
    key: String,
    due: Due,
    needed_by: NeededBy,
}

/// The orphans that one instance has to delete.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     batch::{Index, MayArrive, Orphans},
///     time::Time,
/// };
///
/// let (mut orphans, index) = (Orphans::default(), Index::default());
/// let first = orphans.add_requests(0, "j", [String::from("j|b|first")]);
/// orphans.end_attempt(Time(1_000), "j", first, MayArrive::Manifest);
/// let second = orphans.add_requests(0, "j", [String::from("j|b|second")]);
/// orphans.end_attempt(Time(2_000), "j", second, MayArrive::Nothing);
/// // The manifest of the first attempt may still arrive.
/// assert_eq!(orphans.due(0, Time(3_000), &index).keys.texts, ["j|b|second"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Orphans {
    records: Vec<Orphan>,
    attempts: u64,
    /// Jobs whose manifest may arrive until a time.
    late_manifests: Vec<(String, Time)>,
}

/// Orphans of one partition that are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueOrphans {
    /// Keys of the records that nothing needs.
    pub keys: Keys,
    /// Keys of all that are due, also of those that turned out to be needed.
    pub all: Vec<String>,
}

impl Orphans {
    /// Adds the requests of a job that are about to be stored. They are kept
    /// until the attempt has ended.
    pub fn add_requests(
        &mut self,
        part: usize,
        job: &str,
        keys: impl IntoIterator<Item = String>,
    ) -> AttemptId {
        let attempt = AttemptId(self.attempts);
        self.attempts += 1;
        let needed_by = || NeededBy::Reference(job.to_owned());
        let orphan = |key| Orphan { part, key, due: Due::After(attempt), needed_by: needed_by() };
        self.records.extend(keys.into_iter().map(orphan));
        attempt
    }

    /// Records the end of an attempt at submitting a job.
    pub fn end_attempt(&mut self, now: Time, job: &str, attempt: AttemptId, may_arrive: MayArrive) {
        let late = now.after(LATE_APPEND_MS);
        let due = if may_arrive == MayArrive::Nothing { now } else { late };
        for orphan in self.records.iter_mut().filter(|orphan| orphan.due == Due::After(attempt)) {
            orphan.due = Due::At(due);
        }
        self.late_manifests.retain(|(_, until)| now < *until);
        if may_arrive == MayArrive::Manifest {
            self.late_manifests.push((job.to_owned(), late));
        }
    }

    /// Whether a job that is not known here may still be accepted because of an
    /// attempt at this instance: one that is open, or whose manifest may arrive.
    #[must_use]
    pub fn may_be_accepted(&self, now: Time, job: &str) -> bool {
        let is_open = |orphan: &Orphan| {
            let is_own = matches!(&orphan.needed_by, NeededBy::Reference(other) if other == job);
            is_own && matches!(orphan.due, Due::After(_))
        };
        self.records.iter().any(is_open)
            || self.late_manifests.iter().any(|(other, until)| other == job && now < *until)
    }

    /// Adds texts whose append got no response; they are appended again under
    /// other keys.
    pub fn add_texts(&mut self, now: Time, part: usize, keys: impl IntoIterator<Item = String>) {
        let due = Due::At(now.after(LATE_APPEND_MS));
        let orphan = |key| Orphan { part, key, due, needed_by: NeededBy::Nothing };
        self.records.extend(keys.into_iter().map(orphan));
    }

    /// Adds the end of an unknown job, which may still be accepted late. The end
    /// may be added again with each append.
    pub fn add_end(&mut self, now: Time, part: usize, end: &End) {
        let (due, key) = (Due::At(now.after(LATE_APPEND_MS)), end.record().0);
        self.records.retain(|orphan| orphan.part != part || orphan.key != key);
        let needed_by = NeededBy::Job(end.job.clone());
        self.records.push(Orphan { part, key, due, needed_by });
    }

    /// Returns the orphans of a partition that are due, given its index as of a
    /// read that was requested at `read_at`. A reference may have been appended
    /// until a record is due, so only a later read counts.
    #[must_use]
    pub fn due(&self, part: usize, read_at: Time, index: &Index) -> DueOrphans {
        let mut due = DueOrphans::default();
        let is_due = |orphan: &&Orphan| matches!(orphan.due, Due::At(at) if read_at >= at);
        for orphan in self.records.iter().filter(|orphan| orphan.part == part).filter(is_due) {
            due.all.push(orphan.key.clone());
            let key = orphan.key.clone();
            match &orphan.needed_by {
                NeededBy::Reference(job) if is_referenced(index, job, &key) => {}
                NeededBy::Job(job) if index.jobs.contains_key(job) => {}
                NeededBy::Job(_) => due.keys.jobs.push(key),
                NeededBy::Nothing | NeededBy::Reference(_) => due.keys.texts.push(key),
            }
        }
        due
    }

    /// Forgets records that were deleted or turned out to be needed.
    pub fn forget(&mut self, part: usize, keys: &[String]) {
        self.records.retain(|orphan| orphan.part != part || !keys.contains(&orphan.key));
    }
}

fn is_referenced(index: &Index, job: &str, key: &str) -> bool {
    let job = index.jobs.get(job);
    job.is_some_and(|job| job.manifest.bundles.iter().flat_map(TextRef::keys).any(|own| own == key))
}

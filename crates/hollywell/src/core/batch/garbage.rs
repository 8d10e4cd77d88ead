//! Garbage collection: which records of a job are no longer needed.
//!
//! The store retains keyed records until they are deleted, and its capacity is
//! fixed, so each kind of record is deleted as soon as nothing depends on it:
//!
//! | record | needed until |
//! |---|---|
//! | requests of a group | all its samples have a result, or the job is ended |
//! | partial text and its record | the sample has a result, or [`RESUME_MS`] after the job's end, since a later step may resume it |
//! | duplicate result and its text | never |
//! | all else | the job is ended, and was submitted [`Retention::status_ms`] ago |
//!
//! All of this follows from the fold, so any instance can delete records;
//! which one does is decided elsewhere. Deleting a key twice has no effect.

use prost::Message as _;

use super::{
    Job, MAX_CLOCK_SKEW_MS, Manifest, Outcome, TextRef, end_key, manifest_record, partial_key,
};
use crate::core::time::Time;

/// How long partial texts outlive their job's end, in milliseconds. Trainers
/// request a sample again within seconds or not at all; a text that is deleted
/// by then is generated again from the start.
const RESUME_MS: u64 = 15_000;

/// How long records are guaranteed to be retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// How long results are retained after the submission, in milliseconds.
    pub status_ms: u64,
}

/// Keys of records to delete, by topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys {
    /// Keys in the jobs partition.
    pub jobs: Vec<String>,
    /// Keys in the texts partition with the same number.
    pub texts: Vec<String>,
    /// Keys of the end and the manifest of each expired job, and again for each
    /// other end of the job. The two must be deleted together and last: a manifest
    /// without its end would be an open job.
    pub manifests: Vec<[String; 2]>,
}

impl Keys {
    /// Returns true if there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.texts.is_empty() && self.manifests.is_empty()
    }
}

/// What one instance knows of the records of a job that were deleted.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     batch::{Index, Manifest, Record, Garbage, Retention, end_record, manifest_record},
///     time::Time,
/// };
///
/// let mut index = Index::default();
/// let records = [manifest_record("j", &Manifest::default()), end_record("j")];
/// for (offset, (key, value)) in (0..).zip(records) {
///     index.apply(&Record { offset, key, value: Some(value) })?;
/// }
/// let (job, retention) = (&index.jobs["j"], Retention { status_ms: 120_000 });
/// let garbage = Garbage::new(Time(0));
/// assert!(!garbage.is_expired(job, Time(119_000), 119_000, retention));
/// // The instance's monotonic clock suffices, whatever the time of day is.
/// assert!(garbage.is_expired(job, Time(120_001), 0, retention));
/// # Ok::<(), hollywell::core::batch::Skip>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Garbage {
    /// When this instance first saw the job.
    since: Time,
    /// When this instance first saw the job's end.
    ended_at: Option<Time>,
    /// Offset of the manifest that `bundles` refers to.
    manifest: u64,
    /// Which bundles of requests were deleted, by index.
    bundles: Vec<bool>,
    /// How many duplicate results were deleted.
    duplicates: usize,
}

impl Garbage {
    /// Creates the state for a job that is first seen at `now`.
    #[must_use]
    pub fn new(now: Time) -> Garbage {
        Garbage { since: now, ..Garbage::default() }
    }

    /// Records the state of the job at `now`.
    pub fn observe(&mut self, job: &Job, now: Time) {
        if job.ended {
            self.ended_at.get_or_insert(now);
        }
    }

    /// Returns true if the job is ended and its retention time has passed, so
    /// that none of its records are needed.
    ///
    /// An instance that has known the job for that long on its monotonic clock
    /// needs no time of day. Otherwise the age is taken from the time of day,
    /// `unix_ms`, with an allowance for clock skew.
    #[must_use]
    pub fn is_expired(&self, job: &Job, now: Time, unix_ms: u64, retention: Retention) -> bool {
        let age_ms = unix_ms.saturating_sub(job.manifest.at_ms);
        let by_time_of_day = age_ms > retention.status_ms.saturating_add(MAX_CLOCK_SKEW_MS);
        let by_own_clock = now.since(self.since) > retention.status_ms;
        job.ended && (by_time_of_day || by_own_clock)
    }

    /// Returns the keys of the job that are no longer needed and not deleted
    /// yet, and the state to adopt once they are deleted.
    #[must_use]
    pub fn next(&self, id: &str, job: &Job, now: Time) -> (Keys, Garbage) {
        let (mut keys, mut after) = (Keys::default(), self.clone());
        after.collect_bundles(job, &mut keys);
        self.collect_partials(id, job, now, &mut keys);
        for (key, texts) in job.duplicates.iter().skip(self.duplicates) {
            keys.jobs.push(key.clone());
            keys.texts.extend(texts.iter().cloned());
        }
        after.duplicates = job.duplicates.len();
        (keys, after)
    }

    fn collect_bundles(&mut self, job: &Job, keys: &mut Keys) {
        if self.manifest != job.offset {
            self.manifest = job.offset;
            self.bundles.clear();
        }
        self.bundles.resize(job.manifest.bundles.len(), false);
        let needed = job.needed_bundles();
        for (at, bundle) in job.manifest.bundles.iter().enumerate() {
            if !needed[at] && !std::mem::replace(&mut self.bundles[at], true) {
                keys.texts.extend(bundle.keys());
            }
        }
    }

    /// The record of the partial text is deleted after its chunks; its
    /// tombstone tells all instances that they are gone.
    fn collect_partials(&self, id: &str, job: &Job, now: Time, keys: &mut Keys) {
        let is_late = self.ended_at.is_some_and(|at| now.since(at) > RESUME_MS);
        let unneeded = job.partial_text_keys.iter().filter(|(at, _)| is_late || job.done[**at]);
        for (at, chunks) in unneeded {
            keys.jobs.push(partial_key(id, &job.manifest.samples[*at].id));
            keys.texts.extend(chunks.iter().cloned());
        }
    }
}

impl Job {
    /// Returns true if some instance may delete all of the job's records by now
    /// ([`Garbage::is_expired`]), so that a record that is missing says nothing.
    #[must_use]
    pub fn may_be_expired(&self, unix_ms: u64, retention: Retention) -> bool {
        let age_ms = unix_ms.saturating_sub(self.manifest.at_ms);
        self.ended && age_ms.saturating_add(MAX_CLOCK_SKEW_MS) > retention.status_ms
    }

    /// Returns the keys of all records of the job. As long as its manifest is
    /// stored, the records that are left can be found.
    #[must_use]
    pub fn keys(&self, id: &str) -> Keys {
        let mut keys = Keys::default();
        keys.texts.extend(self.manifest.bundles.iter().flat_map(TextRef::keys));
        for (at, chunks) in &self.partial_text_keys {
            keys.jobs.push(partial_key(id, &self.manifest.samples[*at].id));
            keys.texts.extend(chunks.iter().cloned());
        }
        for result in &self.results {
            keys.jobs.push(result.key.clone());
            let outcome = Outcome::decode(result.value.clone()).ok();
            keys.texts.extend(outcome.and_then(|o| o.text).iter().flat_map(TextRef::keys));
        }
        for (key, texts) in &self.duplicates {
            keys.jobs.push(key.clone());
            keys.texts.extend(texts.iter().cloned());
        }
        let (first, (manifest, _)) = (end_key(id), manifest_record(id, &Manifest::default()));
        let others = self.end_keys.iter().filter(|key| **key != first).cloned();
        let ends = std::iter::once(first.clone()).chain(others);
        keys.manifests.extend(ends.map(|end| [end, manifest.clone()]));
        keys
    }
}

//! Which records of a job nothing needs any more.
//!
//! The store keeps keyed records for good and its room is fixed, so each kind
//! of record is dropped as soon as no promise rests on it:
//!
//! | record | needed until |
//! |---|---|
//! | requests of a group | all its samples are listed, or the job is ended |
//! | unfinished text, and the note of it | the sample is listed; after the job's end for [`RESUME_MS`] more, as a later step may go on with it |
//! | a result that came second, and its text | never |
//! | all else | the job is ended, and was submitted [`Retention::status_ms`] ago |
//!
//! All of it follows from the fold, so any instance can drop; who does is
//! decided elsewhere. A key that is dropped twice does no harm.

use prost::Message as _;

use super::{Job, MAX_CLOCK_SKEW_MS, Manifest, Outcome, end_record, manifest_record, partial_key};
use crate::core::time::Time;

/// How long unfinished texts outlive their job's end, in milliseconds:
/// trainers ask again within duplicates or not at all, and what is gone by then
/// is generated anew.
const RESUME_MS: u64 = 15_000;

/// What was promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Results are kept for so long after the submission, in milliseconds.
    pub status_ms: u64,
}

/// Keys of records, by where they lie.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys {
    /// In the partition of jobs.
    pub jobs: Vec<String>,
    /// In the partition of texts with the same number.
    pub texts: Vec<String>,
    /// Ends and heads of jobs that are over, in pairs that go together and
    /// last: a head without its end would be an open job.
    pub heads: Vec<[String; 2]>,
}

impl Keys {
    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.texts.is_empty() && self.heads.is_empty()
    }
}

/// What one instance knows of what was dropped of a job.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     batch::{Index, Manifest, Record, Garbage, Retention, end_record, manifest_record},
///     time::Time,
/// };
///
/// let mut book = Index::default();
/// let records = [manifest_record("j", &Manifest::default()), end_record("j")];
/// for (offset, (key, value)) in (0..).zip(records) {
///     book.apply(&Record { offset, key, value: Some(value) })?;
/// }
/// let (job, terms) = (&book.jobs["j"], Retention { status_ms: 120_000 });
/// let spare = Garbage::new(Time(0));
/// assert!(!spare.is_over(job, Time(119_000), 119_000, terms));
/// // By this instance's own clock, whatever the time of day is said to be.
/// assert!(spare.is_over(job, Time(120_001), 0, terms));
/// # Ok::<(), hollywell::core::batch::Skip>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Garbage {
    /// When the job was first seen here.
    since: Time,
    /// When its end was first seen here.
    ended_at: Option<Time>,
    /// The head that `requests` goes by.
    head: u64,
    /// Bundles whose requests were dropped.
    requests: Vec<bool>,
    /// How many of the results that came second were dropped.
    duplicates: usize,
}

impl Garbage {
    /// Of a job that is first seen now.
    #[must_use]
    pub fn new(now: Time) -> Garbage {
        Garbage { since: now, ..Garbage::default() }
    }

    /// Notes what is to be seen of a job now.
    pub fn observe(&mut self, job: &Job, now: Time) {
        if job.ended {
            self.ended_at.get_or_insert(now);
        }
    }

    /// Whether nothing of a job is needed any more. `unix_ms` is the time of
    /// day; whoever saw the job's submission needs none, and others allow for
    /// clocks that are apart.
    #[must_use]
    pub fn is_over(&self, job: &Job, now: Time, unix_ms: u64, terms: Retention) -> bool {
        let told_ms = unix_ms.saturating_sub(job.manifest.at_ms);
        let by_clock = told_ms > terms.status_ms.saturating_add(MAX_CLOCK_SKEW_MS);
        let by_sight = now.since(self.since) > terms.status_ms;
        job.ended && (by_clock || by_sight)
    }

    /// Keys of a job that nothing needs and that were not dropped yet, and
    /// what is known once they are.
    #[must_use]
    pub fn next(&self, id: &str, job: &Job, now: Time) -> (Keys, Garbage) {
        let (mut keys, mut after) = (Keys::default(), self.clone());
        after.collect_bundles(job, &mut keys);
        self.collect_partials(id, job, now, &mut keys);
        for (key, text) in job.duplicates.iter().skip(self.duplicates) {
            keys.jobs.push(key.clone());
            keys.texts.extend(text.clone());
        }
        after.duplicates = job.duplicates.len();
        (keys, after)
    }

    fn collect_bundles(&mut self, job: &Job, keys: &mut Keys) {
        if self.head != job.offset {
            self.head = job.offset;
            self.requests.clear();
        }
        self.requests.resize(job.manifest.bundles.len(), false);
        let needed = job.needed_bundles();
        for (at, bundle) in job.manifest.bundles.iter().enumerate() {
            if !needed[at] && !std::mem::replace(&mut self.requests[at], true) {
                keys.texts.push(bundle.key.clone());
            }
        }
    }

    /// The note goes after the partial_text_keys, and tells everybody that they went.
    fn collect_partials(&self, id: &str, job: &Job, now: Time, keys: &mut Keys) {
        let old = self.ended_at.is_some_and(|at| now.since(at) > RESUME_MS);
        for (at, partial_text_keys) in
            job.partial_text_keys.iter().filter(|(at, _)| old || job.done[**at])
        {
            keys.jobs.push(partial_key(id, &job.manifest.samples[*at].id));
            keys.texts.extend(partial_text_keys.iter().cloned());
        }
    }
}

impl Job {
    /// The keys of all records of a job. As long as its head is there, what is
    /// left can be found.
    #[must_use]
    pub fn keys(&self, id: &str) -> Keys {
        let mut keys = Keys::default();
        keys.texts.extend(self.manifest.bundles.iter().map(|bundle| bundle.key.clone()));
        for (at, partial_text_keys) in &self.partial_text_keys {
            keys.jobs.push(partial_key(id, &self.manifest.samples[*at].id));
            keys.texts.extend(partial_text_keys.iter().cloned());
        }
        for listed in &self.results {
            keys.jobs.push(listed.key.clone());
            let outcome = Outcome::decode(listed.value.clone()).ok();
            keys.texts.extend(outcome.and_then(|outcome| outcome.text).map(|text| text.key));
        }
        for (key, text) in &self.duplicates {
            keys.jobs.push(key.clone());
            keys.texts.extend(text.clone());
        }
        keys.heads.push([end_record(id).0, manifest_record(id, &Manifest::default()).0]);
        keys
    }
}

//! Batch jobs, as every instance folds them from the store.
//!
//! All records of a job are in one partition of a keyed topic, each under its
//! own key, so the store retains them until they are deleted, and all readers
//! see them in the same order. A job's results are ordered by the offset of
//! each sample's first result record. Two instances may append a result for
//! the same sample; every reader takes the first record. Results therefore
//! need no fencing, and a stale instance cannot corrupt them. Fencing the
//! producers was considered and rejected: it costs a call at each change of
//! owner, and an owner's results would be lost with its epoch.
//!
//! This module encodes the records, `end` those of ends, `text` splits texts into records, `index`
//! folds the records of jobs, `garbage` selects those that are no longer
//! needed, and `orphans` those that never were.
//!
//! Not part of this module: which instance runs which samples
//! ([`crate::core::dispatch`]), and access to the store.

mod end;
mod garbage;
mod index;
mod orphans;
mod text;

use std::collections::HashMap;

use bytes::Bytes;
use prost::Message as _;

use crate::core::capacity::LOG_OVERHEAD;

pub use end::End;
pub use garbage::{Garbage, Keys, Retention};
pub use index::{Change, Index, Job, ResultRecord, Skip, Written};
pub use orphans::{AttemptId, DueOrphans, MayArrive, Orphans};
pub use text::{TextRef, run_bytes, run_count};

/// Samples of all jobs that are kept. Every instance keeps the metadata of all
/// of them.
pub const MAX_SAMPLES: usize = 100_000;
/// Memory that a kept sample takes beside what is stored of it, in bytes.
const KEPT_BYTES: usize = 450;
/// Samples of a small job.
const SMALL_JOB: usize = 1_000;

/// Whether a job with `more` samples may be accepted while there are `kept` of at
/// most `max`. A tenth is for small jobs only.
///
/// # Example
///
/// ```
/// use hollywell::core::batch::{MAX_SAMPLES, may_keep_samples};
///
/// assert!(may_keep_samples(0, 20_000, MAX_SAMPLES));
/// assert!(!may_keep_samples(MAX_SAMPLES - 200, 20_000, MAX_SAMPLES));
/// assert!(may_keep_samples(MAX_SAMPLES - 200, 200, MAX_SAMPLES));
/// ```
#[must_use]
pub const fn may_keep_samples(kept: usize, more: usize, max: usize) -> bool {
    let reserve = if more <= SMALL_JOB { 0 } else { max / 10 };
    kept.saturating_add(more) <= max - reserve
}

/// Memory that an instance takes to keep samples of which this much is stored,
/// in bytes: the ids are held twice.
#[must_use]
pub const fn kept_bytes(samples: usize, stored: usize) -> usize {
    samples.saturating_mul(KEPT_BYTES).saturating_add(stored.saturating_mul(2))
}

/// A request that scores a finished sample.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Scorer {
    /// Request id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Host that selects the route.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Request path.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Request body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// A header of a sample's request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Header name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Header value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// A sample to generate.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Sample {
    /// Sample id; also the id of its generation request.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Path of the generation request.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Headers of the generation request.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body of the generation request.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Group of the sample. Samples of a group share a prompt.
    #[prost(string, tag = "5")]
    pub group: String,
    /// Estimated number of tokens to generate.
    #[prost(uint32, tag = "6")]
    pub tokens_hint: u32,
    /// Request that scores the sample, if any.
    #[prost(message, optional, tag = "7")]
    pub scorer: Option<Scorer>,
    /// Tokens of the prompt; 0 if the submission does not state them.
    #[prost(uint32, tag = "8")]
    pub prompt_tokens: u32,
    /// Tokens of the prompt's parts that all samples of the group share.
    #[prost(uint32, tag = "9")]
    pub shared_tokens: u32,
    /// Limit on the tokens that are generated; 0 if there is none.
    #[prost(uint32, tag = "10")]
    pub max_tokens: u32,
}

impl Sample {
    /// Memory that the sample takes, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        /// Overhead of the allocation of a string or a body.
        const ALLOCATION: usize = 32;
        const HEADER: usize = size_of::<Header>() + 2 * ALLOCATION;
        let Sample { id, path, headers, body, group, scorer, .. } = self;
        let header = |header: &Header| HEADER + header.name.len() + header.value.len();
        let scorer = scorer.as_ref().map_or(0, |scorer| {
            scorer.id.len() + scorer.host.len() + scorer.path.len() + scorer.body.len()
        });
        let texts = id.len() + path.len() + group.len() + scorer;
        // Four allocations of the sample and four of its scorer.
        let overhead = size_of::<Sample>() + 8 * ALLOCATION;
        overhead + texts + body.len() + headers.iter().map(header).sum::<usize>()
    }
}

/// Samples that are stored in one record.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Bundle {
    /// Samples of this bundle.
    #[prost(message, repeated, tag = "1")]
    pub samples: Vec<Sample>,
}

/// A batch job as it was submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Submission {
    /// Trainer's step, if a trainer submitted the job.
    pub step: u64,
    /// Model that generates the text.
    pub model: String,
    /// Oldest weight version that may generate the text.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub groups_wanted: u64,
    /// All samples.
    pub samples: Vec<Sample>,
}

impl Submission {
    /// Removes the named headers from all samples: callers may not set them.
    /// The names must be in lower case.
    pub fn remove_headers(&mut self, names: &[&str]) {
        let is_reserved =
            |header: &Header| names.contains(&header.name.to_ascii_lowercase().as_str());
        for sample in &mut self.samples {
            sample.headers.retain(|header| !is_reserved(header));
        }
    }
}

/// Lower bound of the bytes that the metadata of a submission's samples takes in
/// its manifest.
#[must_use]
pub fn min_metadata_bytes(submission: &Submission) -> usize {
    /// A field's tag and length.
    const PREFIX: usize = 2;
    let field = |text: &str| if text.is_empty() { 0 } else { PREFIX + text.len() };
    submission.samples.iter().map(|sample| PREFIX + field(&sample.id) + field(&sample.group)).sum()
}

/// Result of a sample, as stored.
///
/// Every instance folds all results, so the encoding is compact: as JSON, the
/// results of a minute took 2 MB, and a fleet that started at once waited
/// 1.3 s for the store to send them to every instance.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Outcome {
    /// Sample id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// True if the sample was given up; otherwise its text is complete and
    /// scored.
    #[prost(bool, tag = "2")]
    pub abandoned: bool,
    /// Reference to the text; `None` if it is empty or the sample was given
    /// up.
    #[prost(message, optional, tag = "3")]
    pub text: Option<TextRef>,
    /// All weight versions that generated an event of the text, ascending.
    #[prost(uint64, repeated, tag = "4")]
    pub versions: Vec<u64>,
    /// Signature of the score.
    #[prost(string, optional, tag = "5")]
    pub score: Option<String>,
}

/// Metadata of a sample, which every instance keeps.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SampleMeta {
    /// Sample id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Group of the sample.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Estimated number of tokens to generate.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Index of the bundle, within the job's bundles, that contains the
    /// sample's request.
    #[prost(uint32, tag = "4")]
    pub bundle: u32,
    /// Index of the sample within that bundle.
    #[prost(uint32, tag = "5")]
    pub at: u32,
    /// Tokens of the prompt; 0 if the submission does not state them.
    #[prost(uint32, tag = "6")]
    pub prompt_tokens: u32,
    /// Tokens of the prompt's parts that all samples of the group share.
    #[prost(uint32, tag = "7")]
    pub shared_tokens: u32,
    /// Limit on the tokens that are generated; 0 if there is none.
    #[prost(uint32, tag = "8")]
    pub max_tokens: u32,
}

/// Metadata of a job, which every instance folds.
///
/// The samples' requests are stored in bundles and read only by the instances
/// that run them. When the manifest contained the requests, 84 instances read
/// each of them 84 times, which used up the store's bandwidth.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Manifest {
    /// Host of the route on which the job was submitted.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Path on which the job was submitted.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Time of day at which the job was first accepted, in milliseconds since
    /// the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
    /// Trainer's step.
    #[prost(uint64, tag = "4")]
    pub step: u64,
    /// Model that generates the text.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Oldest weight version that may generate the text.
    #[prost(uint64, tag = "6")]
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    #[prost(uint64, tag = "7")]
    pub groups_wanted: u64,
    /// Metadata of the samples.
    #[prost(message, repeated, tag = "8")]
    pub samples: Vec<SampleMeta>,
    /// References to the bundles of the samples' requests.
    #[prost(message, repeated, tag = "9")]
    pub bundles: Vec<TextRef>,
    /// Organisation that owns the job; empty if no organisation does and
    /// every caller may use it.
    #[prost(string, tag = "10")]
    pub organisation: String,
    /// The instance that accepted the job could not read whether it exists: it may
    /// have been submitted before.
    #[prost(bool, tag = "11")]
    pub may_be_repeated: bool,
}

/// Largest difference between the times of day of two machines that is
/// tolerated, in milliseconds. Clocks usually differ by little, but they may
/// jump by seconds and back.
pub const MAX_CLOCK_SKEW_MS: u64 = 10_000;

/// Returns how long a job's samples must still be retained, in milliseconds,
/// given that they are retained for `keep_ms` from the job's submission. The
/// submission was timed by another machine's clock, so the result includes
/// [`MAX_CLOCK_SKEW_MS`], to err on the side of retaining.
///
/// # Example
///
/// ```
/// use hollywell::core::batch::{MAX_CLOCK_SKEW_MS, retention_left_ms};
///
/// assert_eq!(retention_left_ms(40_000, 1_000, 31_000), 10_000 + MAX_CLOCK_SKEW_MS);
/// // A clock that jumps ahead by less than the skew gives up no sample early.
/// assert!(retention_left_ms(40_000, 1_000, 48_000) > 0);
/// ```
#[must_use]
pub fn retention_left_ms(keep_ms: u64, submitted_ms: u64, now_ms: u64) -> u64 {
    let age_ms = now_ms.saturating_sub(submitted_ms);
    keep_ms.saturating_add(MAX_CLOCK_SKEW_MS).saturating_sub(age_ms)
}

/// Splits a submission into bundles and returns them with the metadata that
/// locates each sample. A bundle has samples of one group only, and at most
/// `max_bytes` unless a single sample is larger.
#[must_use]
pub fn bundle(submission: &Submission, max_bytes: usize) -> (Vec<SampleMeta>, Vec<Bundle>) {
    let mut bundles: Vec<Bundle> = Vec::new();
    let mut open: HashMap<&str, (usize, usize)> = HashMap::new();
    let mut metadata = Vec::new();
    for sample in &submission.samples {
        let bytes = sample.encoded_len() + SAMPLE_OVERHEAD;
        let fits = open.get(sample.group.as_str()).filter(|(_, used)| used + bytes <= max_bytes);
        let (bundle, used) = fits.copied().unwrap_or_else(|| {
            bundles.push(Bundle::default());
            (bundles.len() - 1, 0)
        });
        open.insert(&sample.group, (bundle, used + bytes));
        let at = bundles[bundle].samples.len();
        bundles[bundle].samples.push(sample.clone());
        metadata.push(SampleMeta {
            id: sample.id.clone(),
            group: sample.group.clone(),
            tokens: sample.tokens_hint,
            bundle: u32::try_from(bundle).unwrap_or(u32::MAX),
            at: u32::try_from(at).unwrap_or(u32::MAX),
            prompt_tokens: sample.prompt_tokens,
            shared_tokens: sample.shared_tokens,
            max_tokens: sample.max_tokens,
        });
    }
    (metadata, bundles)
}

/// Bytes that a sample adds to a bundle besides its own encoding.
const SAMPLE_OVERHEAD: usize = 8;

/// A record of the store, as input of the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset in the partition.
    pub offset: u64,
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` for a tombstone.
    pub value: Option<Bytes>,
}

impl Record {
    /// Bytes that the record takes in its partition's log.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        (self.key.len() + self.value.as_ref().map_or(0, Bytes::len)) as u64 + LOG_OVERHEAD
    }
}

/// Separator between the parts of a key. Ids may not contain it.
const SEPARATOR: char = '|';

/// Length of the longest id, in bytes, that leaves space for the other parts
/// of a key.
pub const MAX_ID_LEN: usize = 100;

/// Returns true if `id` can be part of a key.
#[must_use]
pub fn is_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_LEN && !id.contains(SEPARATOR)
}

/// Returns the prefix that all keys of a job share and no other key has. It
/// sorts before all of them.
#[must_use]
pub fn key_prefix(job: &str) -> String {
    format!("{job}{SEPARATOR}")
}

/// Returns the record that makes a submission a job. Once it is stored, the
/// job is durable.
#[must_use]
pub fn manifest_record(job: &str, manifest: &Manifest) -> (String, Bytes) {
    (format!("{job}{SEPARATOR}s"), Bytes::from(manifest.encode_to_vec()))
}

/// Returns the key of a bundle. `writer` must differ between appends.
#[must_use]
pub fn bundle_key(job: &str, writer: &str) -> String {
    format!("{job}{SEPARATOR}b{SEPARATOR}{writer}")
}

/// Returns the key of a complete text. `writer` must differ between appends.
#[must_use]
pub fn text_key(job: &str, writer: &str, sample: &str) -> String {
    format!("{job}{SEPARATOR}t{SEPARATOR}{writer}{SEPARATOR}{sample}")
}

fn partial_key(job: &str, sample: &str) -> String {
    format!("{job}{SEPARATOR}p{SEPARATOR}{sample}")
}

/// Returns the record of a result. `writer` must differ between incarnations
/// of instances.
#[must_use]
pub fn outcome_record(job: &str, writer: &str, outcome: &Outcome) -> (String, Bytes) {
    let key = format!("{job}{SEPARATOR}r{SEPARATOR}{writer}{SEPARATOR}{}", outcome.id);
    (key, Bytes::from(outcome.encode_to_vec()))
}

/// Text of a sample that is not complete yet, stored so that the next attempt
/// at the sample resumes from its end.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Partial {
    /// Number of the last event in the text.
    #[prost(uint64, tag = "1")]
    pub last: u64,
    /// References to the data of all events so far, as consecutive chunks that
    /// are not empty. Each chunk is stored once: when the text was stored again as a whole
    /// each time that it grew, it made up more than half of all stored bytes.
    #[prost(message, repeated, tag = "2")]
    pub texts: Vec<TextRef>,
    /// All weight versions that generated an event of the text, ascending.
    #[prost(uint64, repeated, tag = "3")]
    pub versions: Vec<u64>,
}

impl Partial {
    /// Returns true if the text was stored for `job`, not for an earlier job
    /// that had the same sample.
    #[must_use]
    pub fn belongs_to(&self, job: &str) -> bool {
        let prefix = partial_text_prefix(job);
        self.texts.iter().all(|text| text.key.starts_with(&prefix))
    }

    /// Returns true if a job that allows `min_version` and newer may use the
    /// text.
    #[must_use]
    pub fn is_allowed(&self, min_version: u64) -> bool {
        self.versions.iter().all(|version| *version >= min_version)
    }
}

/// Returns the key of a chunk of a partial text. `writer` must differ between
/// appends.
#[must_use]
pub fn partial_text_key(job: &str, writer: &str, sample: &str) -> String {
    format!("{}{writer}{SEPARATOR}{sample}", partial_text_prefix(job))
}

/// Returns the prefix of the keys of all chunks of a job's partial texts.
fn partial_text_prefix(job: &str) -> String {
    format!("{job}{SEPARATOR}q{SEPARATOR}")
}

/// Returns the record of a sample's text so far. It replaces earlier ones.
#[must_use]
pub fn partial_record(job: &str, sample: &str, partial: &Partial) -> (String, Bytes) {
    (partial_key(job, sample), Bytes::from(partial.encode_to_vec()))
}

fn end_key(job: &str) -> String {
    format!("{job}{SEPARATOR}e")
}

/// Returns the record that ends a job for a caller that may end it.
#[must_use]
pub fn end_record(job: &str) -> (String, Bytes) {
    End::from(job).record()
}

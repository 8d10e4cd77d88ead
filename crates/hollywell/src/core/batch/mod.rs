//! Batch jobs as every instance folds them from the store.
//!
//! All records of a job lie in one partition of a keyed topic, each under a
//! key of its own, so the store keeps them for good and their order is the
//! same for everybody. A job's results stand at the positions in which their
//! first records came. Two instances may append a result of one sample; the
//! first record wins at every reader, which is why no fencing is needed for
//! results and a zombie can do no harm. (Fencing producers was weighed: it
//! costs a call at each change of owner and an owner's results would be lost
//! with its epoch.)
//!
//! This module spells the records; `index` folds them, `garbage` says which of
//! them nothing needs any more.
//!
//! What it leaves out: who runs what ([`crate::core::dispatch`]) and the
//! store itself.

mod garbage;
mod index;

use std::collections::HashMap;

use bytes::Bytes;
use prost::Message as _;

pub use garbage::{Garbage, Keys, Retention};
pub use index::{Change, Index, Job, ResultRecord, Skip, Written};

/// A request that scores a finished sample.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Scorer {
    /// The request's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The host that selects its route.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Its path.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Its body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// A header of a sample's request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// One sample to be generated.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Sample {
    /// Its id; the id of the request for tokens too.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The path of that request.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Headers of that request.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Its body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Samples of one group share their prompt.
    #[prost(string, tag = "5")]
    pub group: String,
    /// Estimate of the number of tokens that it will take.
    #[prost(uint32, tag = "6")]
    pub tokens_hint: u32,
    /// The request that scores it, if any.
    #[prost(message, optional, tag = "7")]
    pub scorer: Option<Scorer>,
}

/// Samples that lie in the store together.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Bundle {
    /// The samples.
    #[prost(message, repeated, tag = "1")]
    pub samples: Vec<Sample>,
}

/// A batch job as it was submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Submission {
    /// The trainer's step, if a trainer submitted it.
    pub step: u64,
    /// The model that generates its text.
    pub model: String,
    /// The oldest version of the weights that may generate it.
    pub min_version: u64,
    /// How many whole groups the trainer waits for.
    pub groups_wanted: u64,
    /// All samples.
    pub samples: Vec<Sample>,
}

impl Submission {
    /// Drops headers of all samples, named in lower case, that are not the
    /// caller's to set.
    pub fn drop_headers(&mut self, names: &[&str]) {
        let is_own = |header: &Header| names.contains(&header.name.to_ascii_lowercase().as_str());
        for sample in &mut self.samples {
            sample.headers.retain(|header| !is_own(header));
        }
    }
}

/// Where a whole text lies in the store.
///
/// Texts have a topic of their own and are written before the result that
/// names them: every instance folds all results, and reads a text only when
/// a caller of its own asks for it. With the texts in the results an
/// instance that started read the texts of all jobs, four duplicates' worth.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TextRef {
    /// The partition of texts: the one with the job's number, or, for a text
    /// that an earlier step left, with that step's.
    #[prost(uint32, tag = "1")]
    pub part: u32,
    /// Offset of its record there.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The record's key, for when the history around it is gone.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Its length, in bytes.
    #[prost(uint32, tag = "4")]
    pub len: u32,
}

impl TextRef {
    /// Names a text that was appended.
    #[must_use]
    pub fn new(part: u32, offset: u64, key: String, text: &[u8]) -> TextRef {
        TextRef { part, offset, key, len: u32::try_from(text.len()).unwrap_or(u32::MAX) }
    }

    /// Bytes that it takes in the store, with what is added to each record.
    #[must_use]
    pub fn stored(&self, overhead: u64) -> u64 {
        u64::from(self.len) + self.key.len() as u64 + overhead
    }

    /// Its length, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        usize::try_from(self.len).unwrap_or(usize::MAX)
    }
}

/// A sample's result, as it lies in the store.
///
/// What every instance folds is encoded as briefly as a library does it: as
/// JSON the results of a minute were 2 MB, and a fleet that started together
/// waited 1.3 s for the store to hand them to each.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Outcome {
    /// The sample's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// It was given up; else its text is whole and scored.
    #[prost(bool, tag = "2")]
    pub abandoned: bool,
    /// Where its text lies; none where it was given up.
    #[prost(message, optional, tag = "3")]
    pub text: Option<TextRef>,
    /// All versions that generated an event of the text, ascending.
    #[prost(uint64, repeated, tag = "4")]
    pub versions: Vec<u64>,
    /// The signature of its score.
    #[prost(string, optional, tag = "5")]
    pub score: Option<String>,
}

/// What every instance keeps of a sample.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SampleMeta {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Estimate of the number of tokens that it will take.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Position in the job's bundles of the one that it lies in.
    #[prost(uint32, tag = "4")]
    pub bundle: u32,
    /// Its position in that bundle.
    #[prost(uint32, tag = "5")]
    pub at: u32,
}

/// A job as every instance folds it: all but the samples' requests, which
/// lie in bundles and are read by whoever runs them. With the requests in
/// the record, 84 instances read each of them 84 times, and the store's
/// bandwidth was gone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Manifest {
    /// The host of the route that it came on.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The path that it was submitted under.
    #[prost(string, tag = "2")]
    pub path: String,
    /// Time of day at its first acceptance, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
    /// The trainer's step.
    #[prost(uint64, tag = "4")]
    pub step: u64,
    /// The model that generates its text.
    #[prost(string, tag = "5")]
    pub model: String,
    /// The oldest version of the weights that may generate it.
    #[prost(uint64, tag = "6")]
    pub min_version: u64,
    /// How many whole groups the trainer waits for.
    #[prost(uint64, tag = "7")]
    pub groups_wanted: u64,
    /// Its samples.
    #[prost(message, repeated, tag = "8")]
    pub samples: Vec<SampleMeta>,
    /// Where the samples' requests lie.
    #[prost(message, repeated, tag = "9")]
    pub bundles: Vec<TextRef>,
    /// The organisation whose job it is; empty if it is anybody's.
    #[prost(string, tag = "10")]
    pub organisation: String,
}

/// How far the times of day of two machines may be apart, in milliseconds:
/// they differ by little, but may jump by duplicates and back.
pub const MAX_CLOCK_SKEW_MS: u64 = 10_000;

/// How long from now a job's samples must not be given up yet, in
/// milliseconds, where they are kept for `keep_ms` from its submission. The
/// submission was timed by another machine's clock, so the doubt is in the
/// samples' favour.
///
/// # Example
///
/// ```
/// use hollywell::core::batch::{MAX_CLOCK_SKEW_MS, retention_left_ms};
///
/// assert_eq!(retention_left_ms(40_000, 1_000, 31_000), 10_000 + MAX_CLOCK_SKEW_MS);
/// // A clock that jumped ahead by less than that gives nothing up early.
/// assert!(retention_left_ms(40_000, 1_000, 48_000) > 0);
/// ```
#[must_use]
pub fn retention_left_ms(keep_ms: u64, submitted_ms: u64, now_ms: u64) -> u64 {
    let age_ms = now_ms.saturating_sub(submitted_ms);
    keep_ms.saturating_add(MAX_CLOCK_SKEW_MS).saturating_sub(age_ms)
}

/// Cuts a submission into bundles of one group each, smaller than
/// `max_bytes` where one sample is; the head says where each sample went.
#[must_use]
pub fn bundle(submission: &Submission, max_bytes: usize) -> (Vec<SampleMeta>, Vec<Bundle>) {
    let mut bundles: Vec<Bundle> = Vec::new();
    let mut open: HashMap<&str, (usize, usize)> = HashMap::new();
    let mut briefs = Vec::new();
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
        briefs.push(SampleMeta {
            id: sample.id.clone(),
            group: sample.group.clone(),
            tokens: sample.tokens_hint,
            bundle: u32::try_from(bundle).unwrap_or(u32::MAX),
            at: u32::try_from(at).unwrap_or(u32::MAX),
        });
    }
    (briefs, bundles)
}

/// Bytes that a sample takes in a bundle besides its own encoding.
const SAMPLE_OVERHEAD: usize = 8;

/// A record of the store, as the fold takes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its offset in the partition.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its value; `None` where the key was dropped.
    pub value: Option<Bytes>,
}

/// Separates the parts of a key. Ids may not contain it.
const SEPARATOR: char = '|';

/// Longest id that leaves room for the rest of a key.
pub const MAX_ID_LEN: usize = 100;

/// Says whether an id can be part of a key.
#[must_use]
pub fn is_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_LEN && !id.contains(SEPARATOR)
}

/// What all keys of a job begin with, and nothing else; it sorts before them.
#[must_use]
pub fn key_prefix(job: &str) -> String {
    format!("{job}{SEPARATOR}")
}

/// The record that makes a submission a job: from then on it is kept.
#[must_use]
pub fn manifest_record(job: &str, head: &Manifest) -> (String, Bytes) {
    (format!("{job}{SEPARATOR}s"), Bytes::from(head.encode_to_vec()))
}

/// The key of a bundle. `writer` tells appends apart.
#[must_use]
pub fn bundle_key(job: &str, writer: &str) -> String {
    format!("{job}{SEPARATOR}b{SEPARATOR}{writer}")
}

/// The key of a whole text. `writer` tells appends apart.
#[must_use]
pub fn text_key(job: &str, writer: &str, sample: &str) -> String {
    format!("{job}{SEPARATOR}t{SEPARATOR}{writer}{SEPARATOR}{sample}")
}

fn partial_key(job: &str, sample: &str) -> String {
    format!("{job}{SEPARATOR}p{SEPARATOR}{sample}")
}

/// The record of a result. `writer` tells incarnations of instances apart.
#[must_use]
pub fn outcome_record(job: &str, writer: &str, outcome: &Outcome) -> (String, Bytes) {
    let key = format!("{job}{SEPARATOR}r{SEPARATOR}{writer}{SEPARATOR}{}", outcome.id);
    (key, Bytes::from(outcome.encode_to_vec()))
}

/// Text of a sample that is not whole yet, kept so that whoever runs the
/// sample next goes on where this ends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Partial {
    /// Number of the last event in the text.
    #[prost(uint64, tag = "1")]
    pub last: u64,
    /// Where the data of all events so far lies: partial_text_keys that follow each
    /// other. Each was stored once; with the whole text stored anew each time
    /// that it had grown, this was more than half of all that was stored.
    #[prost(message, repeated, tag = "2")]
    pub texts: Vec<TextRef>,
    /// All versions that generated an event of it, ascending.
    #[prost(uint64, repeated, tag = "3")]
    pub versions: Vec<u64>,
}

impl Partial {
    /// Whether its text was kept for a job, not for an earlier one that had
    /// the same sample.
    #[must_use]
    pub fn belongs_to(&self, job: &str) -> bool {
        let own = partial_text_prefix(job);
        self.texts.iter().all(|text| text.key.starts_with(&own))
    }

    /// Whether a job that allows `min_version` and newer may use it.
    #[must_use]
    pub fn is_allowed(&self, min_version: u64) -> bool {
        self.versions.iter().all(|version| *version >= min_version)
    }
}

/// The key of a piece of an unfinished text. `writer` tells appends apart.
#[must_use]
pub fn partial_text_key(job: &str, writer: &str, sample: &str) -> String {
    format!("{}{writer}{SEPARATOR}{sample}", partial_text_prefix(job))
}

/// What the keys of all partial_text_keys of a job's unfinished texts begin with.
fn partial_text_prefix(job: &str) -> String {
    format!("{job}{SEPARATOR}q{SEPARATOR}")
}

/// The record of a sample's text so far. A later one replaces it.
#[must_use]
pub fn partial_record(job: &str, sample: &str, partial: &Partial) -> (String, Bytes) {
    (partial_key(job, sample), Bytes::from(partial.encode_to_vec()))
}

/// The record of a job's end.
#[must_use]
pub fn end_record(job: &str) -> (String, Bytes) {
    (format!("{job}{SEPARATOR}e"), Bytes::from_static(b"1"))
}

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
//! What it leaves out: who runs what ([`crate::core::dispatch`]) and the
//! store itself.

use std::{collections::HashMap, fmt, rc::Rc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A request that scores a finished sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scorer {
    /// The request's id.
    pub id: String,
    /// The host that selects its route.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Bytes,
}

/// One sample to be generated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Its id; the id of the request for tokens too.
    pub id: String,
    /// The path of that request.
    pub path: String,
    /// Headers of that request.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Bytes,
    /// Samples of one group share their prompt.
    pub group: String,
    /// Estimate of the number of tokens that it will take.
    pub tokens_hint: u32,
    /// The request that scores it, if any.
    pub scorer: Option<Scorer>,
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

/// How a sample ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// Its text is whole and scored.
    Whole,
    /// It was given up.
    Dead,
}

/// Where a whole text lies in the store.
///
/// Texts have a topic of their own and are written before the result that
/// names them: every instance folds all results, and reads a text only when
/// a caller of its own asks for it. With the texts in the results an
/// instance that started read the texts of all jobs, four seconds' worth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextRef {
    /// Offset of its record in the partition of texts, which has the same
    /// number as the job's.
    pub offset: u64,
    /// The record's key, for when the history around it is gone.
    pub key: String,
    /// Its length, in bytes.
    pub len: usize,
}

/// A sample's result, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The sample's id.
    pub id: String,
    /// How it ended.
    pub ending: Ending,
    /// Where its text lies; none where it was given up.
    pub text: Option<TextRef>,
    /// All versions that generated an event of the text, ascending.
    pub versions: Vec<u64>,
    /// The signature of its score.
    pub score: Option<String>,
}

/// The head of a submission's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Records that the submission is cut into.
    pub chunks: usize,
    /// The host of the route that it came on.
    pub host: String,
    /// The path that it was submitted under.
    pub path: String,
    /// Time of day at its first acceptance, in milliseconds since 1970.
    pub at_ms: u64,
}

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
pub const MAX_ID: usize = 100;

/// Says whether an id can be part of a key.
#[must_use]
pub fn is_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID && !id.contains(SEPARATOR)
}

/// The records of a submission: its head and raw body, cut so that no record
/// is longer than `record_bytes`.
#[must_use]
pub fn submission_records(
    job: &str,
    head: &Head,
    raw: &[u8],
    record_bytes: usize,
) -> Vec<(String, Bytes)> {
    // Room for the key, its length byte and the head.
    const MARGIN: usize = 2_048;
    let size = record_bytes.saturating_sub(MARGIN).max(1);
    let chunks = raw.len().div_ceil(size).max(1);
    let head = Head { chunks, ..head.clone() };
    let mut head = serde_json::to_vec(&head).unwrap_or_default();
    head.push(b'\n');
    let pieces = (0..chunks).map(|n| &raw[n * size..raw.len().min((n + 1) * size)]);
    let record = |(n, piece): (usize, &[u8])| {
        let value = if n == 0 { [&head, piece].concat() } else { piece.to_vec() };
        (format!("{job}{SEPARATOR}s{SEPARATOR}{n}"), Bytes::from(value))
    };
    pieces.enumerate().map(record).collect()
}

/// What the keys of a job's texts begin with.
#[must_use]
pub fn text_prefix(job: &str) -> String {
    format!("{job}{SEPARATOR}t{SEPARATOR}")
}

/// The key of a whole text. `writer` tells appends apart.
#[must_use]
pub fn text_key(job: &str, writer: &str, sample: &str) -> String {
    format!("{}{writer}{SEPARATOR}{sample}", text_prefix(job))
}

/// The record that drops a sample's unfinished text.
#[must_use]
pub fn no_partial_record(job: &str, sample: &str) -> (String, Bytes) {
    (format!("{job}{SEPARATOR}p{SEPARATOR}{sample}"), Bytes::new())
}

/// The record of a result. `writer` tells incarnations of instances apart.
#[must_use]
pub fn outcome_record(job: &str, writer: &str, outcome: &Outcome) -> (String, Bytes) {
    let key = format!("{job}{SEPARATOR}r{SEPARATOR}{writer}{SEPARATOR}{}", outcome.id);
    (key, Bytes::from(serde_json::to_vec(outcome).unwrap_or_default()))
}

/// Text of a sample that is not whole yet, kept so that whoever runs the
/// sample next goes on where this ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Number of the last event in the text.
    pub last: u64,
    /// The data of all events so far, separated by line feeds.
    pub text: String,
    /// All versions that generated an event of it, ascending.
    pub versions: Vec<u64>,
}

/// The record of a sample's text so far. A later one replaces it.
#[must_use]
pub fn partial_record(job: &str, sample: &str, partial: &Partial) -> (String, Bytes) {
    let key = format!("{job}{SEPARATOR}p{SEPARATOR}{sample}");
    (key, Bytes::from(serde_json::to_vec(partial).unwrap_or_default()))
}

/// The record of a job's end.
#[must_use]
pub fn end_record(job: &str) -> (String, Bytes) {
    (format!("{job}{SEPARATOR}e"), Bytes::from_static(b"1"))
}

/// One result at its position.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Offset of its record.
    pub offset: u64,
    /// The record's value, an [`Outcome`].
    pub value: Bytes,
}

/// One job.
#[derive(Debug)]
pub struct Job {
    /// Its head.
    pub head: Head,
    /// What was submitted.
    pub submission: Rc<Submission>,
    /// Position of each sample in the submission, by id.
    pub index: HashMap<String, usize>,
    /// Which samples are listed.
    pub done: Vec<bool>,
    /// Results in their order.
    pub listed: Vec<Listed>,
    /// Newest [`Partial`] of samples that are not listed. They outlive the
    /// job's end for a while: a later step may ask for the same samples.
    pub partials: HashMap<usize, Bytes>,
    /// It was ended by its trainer.
    pub ended: bool,
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A job can be run.
    Opened(String),
    /// A sample of a job is listed.
    Listed(String, usize),
    /// More of a sample's text is kept than before.
    Grown(String, usize),
    /// A job was ended.
    Ended(String),
    /// A job's records were dropped.
    Dropped(String),
    /// A record that came before its job's submission makes no sense.
    Skipped(Skip),
}

/// A record that cannot be folded; it is skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skip {
    /// The record's key.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Skip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record {:?} skipped: {}", self.key, self.why)
    }
}

/// Decodes a submission's raw body.
pub type Decode = fn(&[u8]) -> Result<Submission, String>;

/// Parts of a submission whose other records have not been read yet, and
/// results and ends that were read before it.
#[derive(Debug, Default)]
struct Waiting {
    chunks: HashMap<usize, Bytes>,
    later: Vec<Record>,
}

/// All jobs of one partition.
#[derive(Default)]
pub struct Book {
    /// By id.
    pub jobs: HashMap<String, Job>,
    waiting: HashMap<String, Waiting>,
}

impl fmt::Debug for Book {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Book").field("jobs", &self.jobs.len()).finish_non_exhaustive()
    }
}

impl Book {
    /// Folds a record. Records must come in the order of their offsets, but
    /// for those of a submission, which may come again.
    ///
    /// # Errors
    ///
    /// [`Skip`] if the record cannot be understood.
    pub fn apply(&mut self, record: &Record, decode: Decode) -> Result<Vec<Change>, Skip> {
        let skip = |why: &str| Skip { key: record.key.clone(), why: why.to_owned() };
        let mut parts = record.key.splitn(4, SEPARATOR);
        let job = parts.next().unwrap_or_default();
        let Some(kind) = parts.next() else {
            return Err(skip("a key has at least two parts"));
        };
        let Some(value) = &record.value else {
            if kind == "s" {
                self.waiting.remove(job);
                let known = self.jobs.remove(job).is_some();
                return Ok(if known { vec![Change::Dropped(job.to_owned())] } else { vec![] });
            }
            return Ok(vec![]);
        };
        if kind == "s" {
            let n = parts.next().and_then(|n| n.parse().ok());
            let n = n.ok_or_else(|| skip("a chunk's number is a number"))?;
            return self.chunk(job, n, value, decode).map_err(|why| skip(&why));
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            self.waiting.entry(job.to_owned()).or_default().later.push(record.clone());
            return Ok(vec![]);
        };
        match kind {
            "e" => {
                let first = !std::mem::replace(&mut entry.ended, true);
                Ok(if first { vec![Change::Ended(job.to_owned())] } else { vec![] })
            }
            "r" => {
                let sample = parts.nth(1).unwrap_or_default();
                let Some(&index) = entry.index.get(sample) else {
                    return Err(skip("no such sample"));
                };
                if std::mem::replace(&mut entry.done[index], true) {
                    return Ok(vec![]);
                }
                entry.partials.remove(&index);
                entry.listed.push(Listed { offset: record.offset, value: value.clone() });
                Ok(vec![Change::Listed(job.to_owned(), index)])
            }
            "p" => {
                let sample = parts.next().unwrap_or_default();
                let Some(&index) = entry.index.get(sample) else {
                    return Err(skip("no such sample"));
                };
                if entry.done[index] || entry.ended {
                    return Ok(vec![]);
                }
                entry.partials.insert(index, value.clone());
                Ok(vec![Change::Grown(job.to_owned(), index)])
            }
            _ => Err(skip("unknown kind of record")),
        }
    }

    fn chunk(
        &mut self,
        job: &str,
        n: usize,
        value: &Bytes,
        decode: Decode,
    ) -> Result<Vec<Change>, String> {
        if self.jobs.contains_key(job) {
            return Ok(vec![]);
        }
        let waiting = self.waiting.entry(job.to_owned()).or_default();
        waiting.chunks.insert(n, value.clone());
        let Some(first) = waiting.chunks.get(&0) else {
            return Ok(vec![]);
        };
        let line = first.iter().position(|byte| *byte == b'\n').ok_or("no head")?;
        let head: Head =
            serde_json::from_slice(&first[..line]).map_err(|error| error.to_string())?;
        if waiting.chunks.len() < head.chunks {
            return Ok(vec![]);
        }
        let mut raw = first[line + 1..].to_vec();
        for n in 1..head.chunks {
            let piece = waiting.chunks.get(&n).ok_or_else(|| format!("chunk {n} is missing"))?;
            raw.extend_from_slice(piece);
        }
        let submission = decode(&raw)?;
        let index: HashMap<String, usize> =
            submission.samples.iter().enumerate().map(|(at, s)| (s.id.clone(), at)).collect();
        let done = vec![false; submission.samples.len()];
        let submission = Rc::new(submission);
        let entry = Job {
            head,
            submission,
            index,
            done,
            listed: vec![],
            partials: HashMap::new(),
            ended: false,
        };
        self.jobs.insert(job.to_owned(), entry);
        let later = self.waiting.remove(job).map(|waiting| waiting.later).unwrap_or_default();
        let mut changes = vec![Change::Opened(job.to_owned())];
        for record in &later {
            match self.apply(record, decode) {
                Ok(more) => changes.extend(more),
                Err(skip) => changes.push(Change::Skipped(skip)),
            }
        }
        Ok(changes)
    }
}

impl Job {
    /// Whether every sample is listed.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.listed.len() == self.done.len()
    }
}

//! The fold: all jobs of one partition, from its records in their order.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    rc::Rc,
};

use bytes::Bytes;
use prost::Message as _;

use super::{Head, Outcome, Partial, Record, SEPARATOR, TextRef, head_record, partial_texts};
use crate::core::capacity::{LIVE_OVERHEAD, LOG_OVERHEAD};

/// One result at its position.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Offset of its record.
    pub offset: u64,
    /// The record's key.
    pub key: String,
    /// The record's value, an [`Outcome`].
    pub value: Bytes,
}

/// One job.
#[derive(Debug)]
pub struct Job {
    /// Its head.
    pub head: Rc<Head>,
    /// Position of each sample in the submission, by id.
    pub index: HashMap<String, usize>,
    /// Which samples are listed.
    pub done: Vec<bool>,
    /// Results in their order.
    pub listed: Vec<Listed>,
    /// How many samples of each group are not listed.
    unlisted: HashMap<String, usize>,
    /// How many results there were each time that a group became whole.
    whole_at: Vec<usize>,
    /// Newest [`Partial`] of samples that are not listed. They outlive the
    /// job's end for a while: a later step may ask for the same samples.
    pub partials: HashMap<usize, Partial>,
    /// Keys of all pieces of unfinished texts that were not dropped, by
    /// sample.
    pub(super) pieces: BTreeMap<usize, Vec<String>>,
    /// Keys of results that came second, and of their texts.
    pub(super) seconds: Vec<(String, Option<String>)>,
    /// It was ended by its trainer.
    pub ended: bool,
    /// Offset of its newest head.
    pub(super) offset: u64,
    /// Bytes of its head and results in the store.
    live: u64,
    /// Bytes of its whole texts there.
    texts: u64,
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

/// All jobs of one partition.
#[derive(Default)]
pub struct Book {
    /// By id.
    pub jobs: HashMap<String, Job>,
    /// Results, texts and ends that were read before their job.
    waiting: HashMap<String, Vec<Record>>,
    /// Bytes that were written so far, as far as the records tell.
    pub written: Written,
}

/// Bytes that were written to a partition of jobs and to the partition of
/// texts with the same number, with what the store adds to each record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    /// In the partition of jobs.
    pub jobs: u64,
    /// In the partition of texts, whose records are named here.
    pub texts: u64,
    /// The offset after the last text that was named.
    pub texts_end: u64,
}

impl Written {
    fn text(&mut self, text: &TextRef) {
        self.texts += text.stored(LOG_OVERHEAD);
        self.texts_end = self.texts_end.max(text.offset + 1);
    }
}

impl fmt::Debug for Book {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Book").field("jobs", &self.jobs.len()).finish_non_exhaustive()
    }
}

impl Book {
    /// Folds a record. Records must come in the order of their offsets; a
    /// head may come again.
    ///
    /// # Errors
    ///
    /// [`Skip`] if the record cannot be understood.
    pub fn apply(&mut self, record: &Record) -> Result<Vec<Change>, Skip> {
        let skip = |why: &str| Skip { key: record.key.clone(), why: why.to_owned() };
        let value_len = record.value.as_ref().map_or(0, Bytes::len);
        self.written.jobs += (record.key.len() + value_len) as u64 + LOG_OVERHEAD;
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
            if kind == "p" {
                self.no_partial(job, parts.next().unwrap_or_default());
            }
            if let Some(waiting) = self.waiting.get_mut(job) {
                waiting.retain(|other| other.key != record.key);
            }
            self.waiting.retain(|_, records| !records.is_empty());
            return Ok(vec![]);
        };
        if kind == "s" {
            return self.open(job, record, value).map_err(|why| skip(&why));
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            self.waiting.entry(job.to_owned()).or_default().push(record.clone());
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
                let outcome = Outcome::decode(value.clone());
                let outcome = outcome.map_err(|error| skip(&error.to_string()))?;
                if let Some(text) = &outcome.text {
                    self.written.text(text);
                }
                if std::mem::replace(&mut entry.done[index], true) {
                    entry.second(&record.key, outcome);
                    return Ok(vec![]);
                }
                entry.partials.remove(&index);
                entry.live += (record.key.len() + value_len) as u64 + LIVE_OVERHEAD;
                entry.texts += outcome.text.map_or(0, |text| text.stored(LIVE_OVERHEAD));
                let (offset, key) = (record.offset, record.key.clone());
                entry.listed.push(Listed { offset, key, value: value.clone() });
                entry.count(index);
                Ok(vec![Change::Listed(job.to_owned(), index)])
            }
            "p" => {
                let sample = parts.next().unwrap_or_default();
                let Some(&index) = entry.index.get(sample) else {
                    return Err(skip("no such sample"));
                };
                let partial = Partial::decode(value.clone());
                let partial = partial.map_err(|error| skip(&error.to_string()))?;
                if let Some(newest) = partial.texts.last() {
                    self.written.text(newest);
                }
                entry.note(job, index, &partial);
                if entry.done[index] || entry.ended {
                    return Ok(vec![]);
                }
                entry.partials.insert(index, partial);
                Ok(vec![Change::Grown(job.to_owned(), index)])
            }
            _ => Err(skip("unknown kind of record")),
        }
    }

    /// Notes that a sample's unfinished text was dropped.
    fn no_partial(&mut self, job: &str, sample: &str) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if let Some(index) = job.index.get(sample) {
            job.pieces.remove(index);
            job.partials.remove(index);
        }
    }

    /// Drops jobs whose head's key is not `there`, of those that came before
    /// `end`; their ids.
    pub fn retain(&mut self, end: u64, there: impl Fn(&str) -> bool) -> Vec<String> {
        let gone = |id: &&String, job: &Job| {
            let (key, _) = head_record(id, &Head::default());
            job.offset < end && !there(&key)
        };
        let gone: Vec<String> =
            self.jobs.iter().filter(|(id, job)| gone(id, job)).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.jobs.remove(id);
        }
        gone
    }

    fn open(&mut self, job: &str, record: &Record, value: &Bytes) -> Result<Vec<Change>, String> {
        let mut head = Head::decode(value.clone()).map_err(|error| error.to_string())?;
        for bundle in &head.bundles {
            self.written.text(bundle);
        }
        if let Some(job) = self.jobs.get_mut(job) {
            // Two instances took the same submission in. The store keeps the
            // newest head only, so its requests are those that everybody goes
            // by; the job is as old as its first one.
            head.at_ms = head.at_ms.min(job.head.at_ms);
            job.head = Rc::new(head);
            job.offset = record.offset;
            return Ok(vec![]);
        }
        let index: HashMap<String, usize> =
            head.samples.iter().enumerate().map(|(at, s)| (s.id.clone(), at)).collect();
        let done = vec![false; head.samples.len()];
        let mut unlisted = HashMap::new();
        for sample in &head.samples {
            *unlisted.entry(sample.group.clone()).or_insert(0) += 1;
        }
        let entry = Job {
            head: Rc::new(head),
            index,
            done,
            listed: vec![],
            unlisted,
            whole_at: vec![],
            partials: HashMap::new(),
            pieces: BTreeMap::new(),
            seconds: vec![],
            ended: false,
            offset: record.offset,
            live: value.len() as u64 + LIVE_OVERHEAD,
            texts: 0,
        };
        self.jobs.insert(job.to_owned(), entry);
        let mut changes = vec![Change::Opened(job.to_owned())];
        for record in self.waiting.remove(job).unwrap_or_default() {
            match self.apply(&record) {
                Ok(more) => changes.extend(more),
                Err(skip) => changes.push(Change::Skipped(skip)),
            }
        }
        Ok(changes)
    }
}

impl Job {
    /// Bytes that its records take in the store, once what nothing needs is
    /// dropped.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let requests = self.head.bundles.iter().zip(self.needed_bundles());
        let requests = requests.filter(|(_, needed)| *needed);
        let requests: u64 = requests.map(|(bundle, _)| bundle.stored(LIVE_OVERHEAD)).sum();
        let unfinished = self.partials.values().flat_map(|partial| &partial.texts);
        let unfinished = unfinished.map(|text| text.stored(LIVE_OVERHEAD));
        self.live + self.texts + requests + unfinished.sum::<u64>()
    }

    /// Which bundles of requests are needed: those of samples that are to be
    /// run.
    #[must_use]
    pub fn needed_bundles(&self) -> Vec<bool> {
        let mut needed = vec![false; self.head.bundles.len()];
        for (sample, done) in self.head.samples.iter().zip(&self.done) {
            if let Some(needed) = needed.get_mut(sample.bundle as usize) {
                *needed |= !done && !self.ended;
            }
        }
        needed
    }

    /// Tokens of its listed samples and bytes of their results, from which
    /// the size of others can be told.
    #[must_use]
    pub fn sizes(&self) -> (u64, u64) {
        let done = self.head.samples.iter().zip(&self.done).filter(|(_, done)| **done);
        let tokens = done.map(|(sample, _)| u64::from(sample.tokens)).sum();
        (tokens, self.texts)
    }

    /// Tokens of its samples that are to be run.
    #[must_use]
    pub fn tokens_to_come(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let open = self.head.samples.iter().zip(&self.done).filter(|(_, done)| !**done);
        open.map(|(sample, _)| u64::from(sample.tokens)).sum()
    }

    /// Remembers the pieces of an unfinished text, for when they are to be
    /// dropped. Two instances that run one sample keep pieces of their own.
    fn note(&mut self, id: &str, index: usize, partial: &Partial) {
        let pieces = self.pieces.entry(index).or_default();
        let own = partial_texts(id);
        for text in partial.texts.iter().filter(|text| text.key.starts_with(&own)) {
            if !pieces.contains(&text.key) {
                pieces.push(text.key.clone());
            }
        }
    }

    /// Notes a result that came second; the same record may come again.
    fn second(&mut self, key: &str, outcome: Outcome) {
        let first = self.listed.iter().any(|listed| listed.key == key);
        if first || self.seconds.iter().any(|(other, _)| other == key) {
            return;
        }
        // A result that was appended again, since the answer to its append
        // was lost, names the same text.
        let named = self.text_of(&outcome.id);
        let text = outcome.text.map(|text| text.key).filter(|text| named.as_ref() != Some(text));
        self.seconds.push((key.to_owned(), text));
    }

    /// The key of a listed sample's text.
    fn text_of(&self, sample: &str) -> Option<String> {
        let mut outcomes =
            self.listed.iter().filter_map(|listed| Outcome::decode(listed.value.clone()).ok());
        outcomes.find(|outcome| outcome.id == sample)?.text.map(|text| text.key)
    }

    /// Counts a sample that was just listed. One without a group is a group
    /// of its own.
    fn count(&mut self, index: usize) {
        let group = &self.head.samples[index].group;
        let whole = match self.unlisted.get_mut(group) {
            Some(left) if !group.is_empty() => {
                *left = left.saturating_sub(1);
                *left == 0
            }
            _ => true,
        };
        if whole {
            self.whole_at.push(self.listed.len());
        }
    }

    /// Whether results from a position on are worth an answer to whoever
    /// waits for whole groups: they complete half of the groups, of those
    /// that the trainer waits for, that were missing before; or they are all
    /// that is to come.
    #[must_use]
    pub fn is_worth_reading(&self, after: usize) -> bool {
        let whole = self.whole_at.len();
        let before = self.whole_at.partition_point(|len| *len <= after);
        let wanted = match usize::try_from(self.head.groups_wanted).unwrap_or(usize::MAX) {
            0 => self.unlisted.len(),
            wanted => wanted,
        };
        let missing = wanted.saturating_sub(before).max(1);
        self.is_whole() || whole - before >= missing.div_ceil(2)
    }

    /// Whether every sample is listed.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.listed.len() == self.done.len()
    }
}

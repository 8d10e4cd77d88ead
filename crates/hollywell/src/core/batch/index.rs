//! Index of the jobs of one partition, folded from its records in offset
//! order.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    rc::Rc,
};

use bytes::Bytes;
use prost::Message as _;

use super::{
    End, Manifest, Outcome, Partial, Record, SEPARATOR, TextRef, end, kept_bytes, manifest_record,
    partial_text_prefix,
};
use crate::core::capacity::{LIVE_OVERHEAD, LOG_OVERHEAD};

/// The stored result of a sample.
#[derive(Clone, Debug)]
pub struct ResultRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Key of the record.
    pub key: String,
    /// Value of the record, an encoded [`Outcome`].
    pub value: Bytes,
}

/// A job.
#[derive(Debug)]
pub struct Job {
    /// Metadata of the job.
    pub manifest: Rc<Manifest>,
    /// Index of each sample in the submission, by id.
    pub index: HashMap<String, usize>,
    /// Which samples have a result, by index.
    pub done: Vec<bool>,
    /// Results in offset order.
    pub results: Vec<ResultRecord>,
    /// Number of samples of each group that have no result.
    incomplete: HashMap<String, usize>,
    /// Number of results at each moment when a group became complete.
    complete_groups_at: Vec<usize>,
    /// Newest [`Partial`] of samples without a result. Partial texts outlive
    /// the job's end for a while, because a later step may request the same
    /// samples.
    pub partials: HashMap<usize, Partial>,
    /// Keys of the stored chunks of partial texts, by sample.
    pub(super) partial_text_keys: BTreeMap<usize, Vec<String>>,
    /// Keys of duplicate results and of their texts.
    pub(super) duplicates: Vec<(String, Vec<String>)>,
    /// True if the trainer ended the job.
    pub ended: bool,
    /// Keys of the ends that were read, with and without effect.
    pub(super) end_keys: BTreeSet<String>,
    /// Offset of the newest manifest.
    pub(super) offset: u64,
    /// Offset of the first manifest that was read; 0 if an earlier one may have been
    /// replaced.
    pub first_offset: u64,
    /// Bytes of the manifest and the results in the store.
    live: u64,
    /// Bytes of the complete texts in the store.
    texts: u64,
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A job was submitted and can be run.
    Opened(String),
    /// The first result of a sample was stored.
    ResultStored(String, usize),
    /// A longer partial text of a sample was stored.
    PartialStored(String, usize),
    /// A job was ended.
    Ended(String),
    /// A job's records were deleted.
    Deleted(String),
    /// A record that was read before its job's submission is invalid.
    Skipped(Skip),
}

/// A record that cannot be folded and is skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skip {
    /// Key of the record.
    pub key: String,
    /// Why the record is invalid.
    pub why: String,
}

impl fmt::Display for Skip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record {:?} skipped: {}", self.key, self.why)
    }
}

/// All jobs of one partition.
#[derive(Default)]
pub struct Index {
    /// Jobs by id.
    pub jobs: HashMap<String, Job>,
    /// Results, partial texts and ends that were read before their job's
    /// manifest.
    orphans: HashMap<String, Vec<Record>>,
    /// Bytes written so far, as counted from the records.
    pub written: Written,
}

/// Bytes that were written to a jobs partition and to the texts partition with
/// the same number, including the store's overhead for each record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    /// Bytes in the jobs partition.
    pub jobs: u64,
    /// Records in the jobs partition.
    pub job_records: u64,
    /// Bytes in the texts partition, counted from the references to them.
    pub texts: u64,
    /// Records in the texts partition, counted likewise.
    pub text_records: u64,
    /// Offset after the last text that a record refers to.
    pub texts_end: u64,
}

impl Written {
    fn add_text(&mut self, text: &TextRef) {
        self.texts += text.stored_bytes(LOG_OVERHEAD);
        self.text_records += u64::from(text.pieces.max(1));
        self.texts_end = self.texts_end.max(text.end());
    }
}

impl fmt::Debug for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Index").field("jobs", &self.jobs.len()).finish_non_exhaustive()
    }
}

impl Index {
    /// Folds a record. Records must come in offset order; a manifest may come
    /// more than once.
    ///
    /// # Errors
    ///
    /// Returns [`Skip`] if the record is invalid.
    pub fn apply(&mut self, record: &Record) -> Result<Vec<Change>, Skip> {
        let skip = |why: &str| Skip { key: record.key.clone(), why: why.to_owned() };
        let value_len = record.value.as_ref().map_or(0, Bytes::len);
        self.written.jobs += (record.key.len() + value_len) as u64 + LOG_OVERHEAD;
        self.written.job_records += 1;
        let mut parts = record.key.splitn(4, SEPARATOR);
        let job = parts.next().unwrap_or_default();
        let Some(kind) = parts.next() else {
            return Err(skip("a key has at least two parts"));
        };
        let Some(value) = &record.value else {
            if kind == "s" {
                self.orphans.remove(job);
                let known = self.jobs.remove(job).is_some();
                return Ok(if known { vec![Change::Deleted(job.to_owned())] } else { vec![] });
            }
            if kind == "p" {
                self.delete_partial(job, parts.next().unwrap_or_default());
            }
            if let Some(orphans) = self.orphans.get_mut(job) {
                orphans.retain(|other| other.key != record.key);
            }
            self.orphans.retain(|_, records| !records.is_empty());
            return Ok(vec![]);
        };
        if kind == "s" {
            return self.open(job, record, value).map_err(|why| skip(&why));
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            self.orphans.entry(job.to_owned()).or_default().push(record.clone());
            return Ok(vec![]);
        };
        match kind {
            "e" => {
                entry.end_keys.insert(record.key.clone());
                if !end::caller(value).may_see(&entry.manifest.organisation) {
                    return Err(skip("its caller may not end the job"));
                }
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
                    self.written.add_text(text);
                }
                if std::mem::replace(&mut entry.done[index], true) {
                    entry.record_duplicate(&record.key, outcome);
                    return Ok(vec![]);
                }
                entry.partials.remove(&index);
                entry.live += (record.key.len() + value_len) as u64 + LIVE_OVERHEAD;
                entry.texts += outcome.text.map_or(0, |text| text.stored_bytes(LIVE_OVERHEAD));
                let (offset, key) = (record.offset, record.key.clone());
                entry.results.push(ResultRecord { offset, key, value: value.clone() });
                entry.count(index);
                Ok(vec![Change::ResultStored(job.to_owned(), index)])
            }
            "p" => {
                let sample = parts.next().unwrap_or_default();
                let Some(&index) = entry.index.get(sample) else {
                    return Err(skip("no such sample"));
                };
                let partial = Partial::decode(value.clone());
                let partial = partial.map_err(|error| skip(&error.to_string()))?;
                if let Some(newest) = partial.texts.last() {
                    self.written.add_text(newest);
                }
                entry.record_partial(job, index, &partial);
                if entry.done[index] || entry.ended {
                    return Ok(vec![]);
                }
                entry.partials.insert(index, partial);
                Ok(vec![Change::PartialStored(job.to_owned(), index)])
            }
            _ => Err(skip("unknown kind of record")),
        }
    }

    /// Whether an end of a job that is not known was read. It takes effect if the
    /// job's manifest is read.
    #[must_use]
    pub fn has_early_end(&self, end: &End) -> bool {
        let (key, _) = end.record();
        let orphans = self.orphans.get(&end.job);
        orphans.is_some_and(|records| records.iter().any(|record| record.key == key))
    }

    /// Handles the tombstone of a sample's partial text.
    fn delete_partial(&mut self, job: &str, sample: &str) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if let Some(index) = job.index.get(sample) {
            job.partial_text_keys.remove(index);
            job.partials.remove(index);
        }
    }

    /// Removes the jobs submitted before offset `end` whose manifest's key does
    /// not `exist`, and returns their ids.
    pub fn retain(&mut self, end: u64, exists: impl Fn(&str) -> bool) -> Vec<String> {
        let is_deleted = |id: &&String, job: &Job| {
            let (key, _) = manifest_record(id, &Manifest::default());
            job.offset < end && !exists(&key)
        };
        let deleted: Vec<String> = self
            .jobs
            .iter()
            .filter(|(id, job)| is_deleted(id, job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &deleted {
            self.jobs.remove(id);
        }
        deleted
    }

    fn open(&mut self, job: &str, record: &Record, value: &Bytes) -> Result<Vec<Change>, String> {
        let mut manifest = Manifest::decode(value.clone()).map_err(|error| error.to_string())?;
        for bundle in &manifest.bundles {
            self.written.add_text(bundle);
        }
        if let Some(job) = self.jobs.get_mut(job) {
            // Two instances accepted the same submission. The store retains
            // only the newest manifest, so all instances use the bundles that
            // it refers to. The job's age counts from the earliest one.
            manifest.at_ms = manifest.at_ms.min(job.manifest.at_ms);
            job.manifest = Rc::new(manifest);
            job.offset = record.offset;
            return Ok(vec![]);
        }
        let index: HashMap<String, usize> =
            manifest.samples.iter().enumerate().map(|(at, s)| (s.id.clone(), at)).collect();
        let (done, may_be_repeated) =
            (vec![false; manifest.samples.len()], manifest.may_be_repeated);
        let mut incomplete = HashMap::new();
        for sample in &manifest.samples {
            *incomplete.entry(sample.group.clone()).or_insert(0) += 1;
        }
        let entry = Job {
            manifest: Rc::new(manifest),
            index,
            done,
            results: vec![],
            incomplete,
            complete_groups_at: vec![],
            partials: HashMap::new(),
            partial_text_keys: BTreeMap::new(),
            duplicates: vec![],
            ended: false,
            end_keys: BTreeSet::new(),
            offset: record.offset,
            first_offset: if may_be_repeated { 0 } else { record.offset },
            live: value.len() as u64 + LIVE_OVERHEAD,
            texts: 0,
        };
        self.jobs.insert(job.to_owned(), entry);
        let mut changes = vec![Change::Opened(job.to_owned())];
        for record in self.orphans.remove(job).unwrap_or_default() {
            match self.apply(&record) {
                Ok(more) => changes.extend(more),
                Err(skip) => changes.push(Change::Skipped(skip)),
            }
        }
        Ok(changes)
    }
}

impl Job {
    /// Memory that the job takes at each instance, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        kept_bytes(self.done.len(), usize::try_from(self.live).unwrap_or(usize::MAX))
    }

    /// Bytes that the job's records occupy in the store once its garbage is
    /// deleted.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let requests = self.manifest.bundles.iter().zip(self.needed_bundles());
        let requests = requests.filter(|(_, needed)| *needed);
        let requests: u64 = requests.map(|(bundle, _)| bundle.stored_bytes(LIVE_OVERHEAD)).sum();
        let partials = self.partials.values().flat_map(|partial| &partial.texts);
        let partials = partials.map(|text| text.stored_bytes(LIVE_OVERHEAD));
        self.live + self.texts + requests + partials.sum::<u64>()
    }

    /// Which bundles of requests are needed, by index: those with samples that
    /// are still to be run.
    #[must_use]
    pub fn needed_bundles(&self) -> Vec<bool> {
        let mut needed = vec![false; self.manifest.bundles.len()];
        for (sample, done) in self.manifest.samples.iter().zip(&self.done) {
            if let Some(needed) = needed.get_mut(sample.bundle as usize) {
                *needed |= !done && !self.ended;
            }
        }
        needed
    }

    /// Estimated tokens of the samples that have a result, and bytes of their
    /// texts, to estimate the size of the texts to come.
    #[must_use]
    pub fn finished_sizes(&self) -> (u64, u64) {
        let done = self.manifest.samples.iter().zip(&self.done).filter(|(_, done)| **done);
        let tokens = done.map(|(sample, _)| u64::from(sample.tokens)).sum();
        (tokens, self.texts)
    }

    /// Estimated tokens of the samples that are still to be run.
    #[must_use]
    pub fn remaining_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let open = self.manifest.samples.iter().zip(&self.done).filter(|(_, done)| !**done);
        open.map(|(sample, _)| u64::from(sample.tokens)).sum()
    }

    /// Remembers the keys of a partial text's chunks, to delete them later.
    /// Two instances that run the same sample store separate chunks.
    fn record_partial(&mut self, id: &str, index: usize, partial: &Partial) {
        let keys = self.partial_text_keys.entry(index).or_default();
        let prefix = partial_text_prefix(id);
        let own = partial.texts.iter().filter(|text| text.key.starts_with(&prefix));
        for key in own.flat_map(TextRef::keys) {
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
    }

    /// Records a result whose sample already has one. The same record may be
    /// read more than once.
    fn record_duplicate(&mut self, key: &str, outcome: Outcome) {
        let is_first = self.results.iter().any(|result| result.key == key);
        if is_first || self.duplicates.iter().any(|(other, _)| other == key) {
            return;
        }
        // A result that was appended again after the reply to its first append
        // was lost refers to the same text, which is still needed.
        let needed = self.text_of(&outcome.id);
        let text = outcome.text.filter(|text| needed.is_none_or(|needed| needed.key != text.key));
        let keys = text.iter().flat_map(TextRef::keys).collect();
        self.duplicates.push((key.to_owned(), keys));
    }

    /// Returns the reference to the text of a sample that has a result.
    fn text_of(&self, sample: &str) -> Option<TextRef> {
        let mut outcomes =
            self.results.iter().filter_map(|result| Outcome::decode(result.value.clone()).ok());
        outcomes.find(|outcome| outcome.id == sample)?.text
    }

    /// Counts a sample whose result was just stored. A sample without a group
    /// counts as a group by itself.
    fn count(&mut self, index: usize) {
        let group = &self.manifest.samples[index].group;
        let is_complete = match self.incomplete.get_mut(group) {
            Some(left) if !group.is_empty() => {
                *left = left.saturating_sub(1);
                *left == 0
            }
            _ => true,
        };
        if is_complete {
            self.complete_groups_at.push(self.results.len());
        }
    }

    /// Returns true if the results from position `after` on are worth an
    /// answer to a trainer that waits for complete groups: if they complete at
    /// least half of the wanted groups that were incomplete before, or if no
    /// more results are to come.
    #[must_use]
    pub fn is_worth_answering(&self, after: usize) -> bool {
        let complete = self.complete_groups_at.len();
        let before = self.complete_groups_at.partition_point(|len| *len <= after);
        let wanted = match usize::try_from(self.manifest.groups_wanted).unwrap_or(usize::MAX) {
            0 => self.incomplete.len(),
            wanted => wanted,
        };
        let missing = wanted.saturating_sub(before).max(1);
        self.is_complete() || complete - before >= missing.div_ceil(2)
    }

    /// Returns true if every sample has a result.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.done.len()
    }
}

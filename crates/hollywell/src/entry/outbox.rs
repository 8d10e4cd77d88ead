//! Writes results and partial texts to the store.
//!
//! A result takes two appends, its text first, so that a reader of the result
//! always finds the text. An empty text takes none. An append whose outcome is
//! unknown is repeated under another key: readers use the first result of a
//! sample and never read a text that no result references.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use crate::{
    core::{
        batch::{self, Outcome, Partial, TextRef},
        capacity::Purpose,
        dispatch::{Event, SampleId},
    },
    entry::{
        run::GeneratedText,
        settings::Store,
        shared::{JOBS, Shared},
        store::{Append, Partition, StoreError},
        texts, versions,
    },
};

/// Shortest delay before a failed append is retried, apart from jitter.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay while the partition answers no read either. Once it does, the
/// retry does not wait any longer.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Random factors applied to delays, so that instances whose appends failed
/// together do not retry together.
const JITTER: std::ops::RangeInclusive<f64> = 0.7..=1.3;
/// Delay before an append that a full store rejected is retried: logs are
/// trimmed and records deleted each second.
const STORE_FULL_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of a record's size apart from its value, in bytes.
const MAX_OVERHEAD_BYTES: usize = 500;

struct Entry {
    sample_id: SampleId,
    outcome: Outcome,
    /// The text, until it is stored.
    text: Option<Bytes>,
    /// An append of the result has failed, but it may have been stored.
    may_be_listed: bool,
}

/// Queue of the results of one partition that are not stored yet.
#[derive(Default)]
pub struct Outbox {
    queue: RefCell<VecDeque<Entry>>,
    busy: Cell<bool>,
}

impl std::fmt::Debug for Outbox {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Outbox").field("queue", &self.queue.borrow().len()).finish_non_exhaustive()
    }
}

/// Queues a sample's result to be stored. `abandoned` marks a sample that
/// was given up.
pub fn deliver(shared: &Rc<Shared>, sample_id: &SampleId, abandoned: bool) {
    let part = shared.partition_of(&sample_id.job);
    {
        let mut control = shared.control.borrow_mut();
        let text = control.partial_texts.remove(sample_id).unwrap_or_default();
        let Some(job) = control.partitions[part].index.jobs.get(&sample_id.job) else {
            return;
        };
        let id = job.manifest.samples[sample_id.index].id.clone();
        let versions = if abandoned { vec![] } else { text.versions.into_iter().collect() };
        let score = text.score.filter(|_| !abandoned);
        let outcome = Outcome { id, abandoned, text: None, versions, score };
        let text = (!abandoned).then(|| Bytes::from(text.data));
        let sample_id = sample_id.clone();
        let entry = Entry { sample_id, outcome, text, may_be_listed: false };
        shared.outbox[part].queue.borrow_mut().push_back(entry);
        control.partitions[part].unstored.record_waiting(shared.now());
    }
    if !shared.outbox[part].busy.replace(true) {
        tokio::task::spawn_local(flush(shared.clone(), part));
    }
}

async fn flush(shared: Rc<Shared>, part: usize) {
    let mut failures = 0;
    loop {
        // Results that end meanwhile are stored by the same append.
        wait_for_queue(&shared, part).await;
        let mut entries = take(&shared, part);
        if refuse(&shared, part, &mut entries) {
            put_back(&shared.outbox[part], entries);
            continue;
        }
        if entries.is_empty() {
            shared.control.borrow_mut().partitions[part].unstored.record_none();
            shared.outbox[part].busy.set(false);
            return;
        }
        let mut appended = append_texts(&shared, part, &mut entries).await;
        if appended.is_ok() {
            // The configuration may have changed meanwhile.
            refuse(&shared, part, &mut entries);
            appended = append_results(&shared, part, &entries).await;
            let may_be_listed = appended.as_ref().is_err_and(|error| !error.is_not_applied());
            entries.iter_mut().for_each(|entry| entry.may_be_listed |= may_be_listed);
        }
        if let Err(error) = appended {
            log::info!("failed to append {} results, retrying: {error}", entries.len());
            put_back(&shared.outbox[part], entries);
            let why = error.as_str();
            shared.control.borrow_mut().partitions[part].unstored.record_failure(why);
            failures += 1;
            back_off(&shared, part, failures, &error).await;
        } else {
            let now = shared.now();
            shared.control.borrow_mut().partitions[part].unstored.record_stored(now);
            failures = 0;
        }
    }
}

/// Waits while results have to be held back from their partition.
async fn wait_for_queue(shared: &Shared, part: usize) {
    let at = Partition::at(JOBS, part);
    if let Err(error) = shared.wait_for_queue(Purpose::Outcome, &at).await {
        log::error!("results are never refused a turn: {error}");
    }
}

/// Removes the results whose texts may not be listed by the configuration in
/// force, because several versions of the weights generated them, and has their
/// samples run again. Returns whether there were any.
fn refuse(shared: &Rc<Shared>, part: usize, entries: &mut Vec<Entry>) -> bool {
    let is_refused = |entry: &mut Entry| {
        let rule = versions::rule(shared, &shared.control.borrow(), &entry.sample_id.job);
        !entry.outcome.abandoned && !rule.allows(entry.outcome.versions.iter().copied())
    };
    let refused: Vec<Entry> = entries.extract_if(.., is_refused).collect();
    for Entry { sample_id, outcome, may_be_listed, .. } in &refused {
        let (job, index, versions) = (&sample_id.job, sample_id.index, &outcome.versions);
        log::info!("sample {job}/{index} is generated again: its text has versions {versions:?}");
        if let Some(text) = outcome.text.as_ref().filter(|_| !may_be_listed) {
            let key = text.key.clone();
            shared.orphans.borrow_mut().add_texts(shared.now(), part, [key]);
        }
        shared.handle_event(&Event::VersionsRefused(sample_id.clone()));
    }
    !refused.is_empty()
}

/// Waits before a failed append is retried: after more failures in a row for
/// longer, but only until the partition answers a read.
async fn back_off(shared: &Shared, part: usize, failures: u32, error: &StoreError) {
    let jitter = rand::random_range(JITTER);
    if *error == StoreError::Full {
        sleep(STORE_FULL_DELAY.mul_f64(jitter)).await;
        return;
    }
    let read = shared.partition_changed[part].notified();
    sleep(RETRY_DELAY.mul_f64(jitter)).await;
    let longest = max_retry_delay(failures).saturating_sub(RETRY_DELAY).mul_f64(jitter);
    let _timed_out = timeout(longest, read).await;
}

/// The longest delay after a number of failures in a row, apart from jitter.
fn max_retry_delay(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(u32::BITS - 1);
    RETRY_DELAY.saturating_mul(1 << doublings).min(MAX_RETRY_DELAY)
}

async fn append_texts(
    shared: &Rc<Shared>,
    part: usize,
    entries: &mut [Entry],
) -> Result<(), StoreError> {
    let mut waiting: Vec<&mut Entry> =
        entries.iter_mut().filter(|entry| entry.text.is_some()).collect();
    let text = |entry: &&mut Entry| {
        let key =
            batch::text_key(&entry.sample_id.job, &shared.unique_key_part(), &entry.outcome.id);
        (key, entry.text.clone().unwrap_or_default())
    };
    let keyed: Vec<(String, Bytes)> = waiting.iter().map(text).collect();
    let refs = texts::append(shared, part, &keyed, Purpose::Text).await?;
    for ((entry, (_, text)), at) in waiting.iter_mut().zip(keyed).zip(refs) {
        if let Some(at) = &at {
            shared.text_cache.insert(at, &text);
        }
        entry.outcome.text = at;
        entry.text = None;
    }
    Ok(())
}

async fn append_results(
    shared: &Rc<Shared>,
    part: usize,
    entries: &[Entry],
) -> Result<(), StoreError> {
    if entries.is_empty() {
        return Ok(());
    }
    let mut records = Vec::new();
    for Entry { sample_id, outcome, .. } in entries {
        // Each append uses a new key: if the same key were appended twice, the
        // store would keep only the later record, and the result would change
        // its position.
        let (key, value) =
            batch::outcome_record(&sample_id.job, &shared.unique_key_part(), outcome);
        records.push((Some(key), value));
    }
    let (at, purpose) = (Partition::at(JOBS, part), Purpose::Outcome);
    let append = Append { part: at, records, expected_end: None, purpose };
    let appended = shared.append(append).await?;
    for (Entry { sample_id, outcome, .. }, offset) in entries.iter().zip(appended.offset..) {
        let ending = if outcome.abandoned { "given up" } else { "whole" };
        log::debug!(
            "sample {}/{} is {ending}: record {offset} or after",
            sample_id.job,
            sample_id.index
        );
    }
    Ok(())
}

/// Upper bound of the bytes that a text adds to an append, or its result.
fn append_bytes(text_bytes: usize, store: &Store) -> usize {
    let records = TextRef::record_count(text_bytes, store.record_bytes).max(1);
    text_bytes + records * MAX_OVERHEAD_BYTES
}

fn put_back(outbox: &Outbox, entries: Vec<Entry>) {
    let mut queue = outbox.queue.borrow_mut();
    for entry in entries.into_iter().rev() {
        queue.push_front(entry);
    }
}

/// Takes the next results to append, and drops those of samples that have a
/// result in the meantime.
fn take(shared: &Shared, part: usize) -> Vec<Entry> {
    let control = shared.control.borrow();
    let mut queue = shared.outbox[part].queue.borrow_mut();
    let mut entries = Vec::new();
    let mut bytes = 0;
    while let Some(entry) = queue.front() {
        let job = control.partitions[part].index.jobs.get(&entry.sample_id.job);
        if job.is_none_or(|job| job.done[entry.sample_id.index]) {
            queue.pop_front();
            continue;
        }
        bytes += append_bytes(entry.text.as_ref().map_or(0, Bytes::len), &shared.settings.store);
        if bytes > shared.settings.store.call_bytes && !entries.is_empty() {
            break;
        }
        entries.extend(queue.pop_front());
    }
    entries
}

/// A text that has grown since it was last stored.
struct GrownText {
    sample_id: SampleId,
    sample: String,
    last: u64,
    versions: Vec<u64>,
    /// References to the parts stored before.
    stored: Vec<TextRef>,
    /// The text generated since.
    new_text: Bytes,
    identity: Rc<()>,
}

/// Stores the new part of each text that has grown by at least `min_events`
/// since it was last stored.
pub async fn save_partials(shared: &Rc<Shared>, min_events: u64) {
    for part in 0..shared.outbox.len() {
        // Their texts would be stored in vain.
        if !shared.hold(Purpose::PartialText, &Partition::at(JOBS, part)).is_zero() {
            continue;
        }
        let grown_texts = grown_texts(shared, part, min_events);
        if grown_texts.is_empty() {
            continue;
        }
        let saved = match append_partials(shared, part, &grown_texts).await {
            Ok(saved) => saved,
            Err(error) => {
                log::info!("failed to store {} partial texts: {error}", grown_texts.len());
                continue;
            }
        };
        let mut control = shared.control.borrow_mut();
        for (grown, stored) in grown_texts.into_iter().zip(saved) {
            let text = control.partial_texts.get_mut(&grown.sample_id);
            // Skip a text that was restarted from scratch in the meantime,
            // whose data differs, and one that was stored in the meantime:
            // a stopping instance saves texts concurrently with the regular
            // saves.
            let same = |text: &&mut GeneratedText| {
                Rc::ptr_eq(&text.identity, &grown.identity) && text.stored == grown.stored
            };
            if let Some(text) = text.filter(same) {
                text.saved_event = grown.last;
                text.stored_bytes += grown.new_text.len();
                text.stored = stored;
            }
        }
    }
}

/// Appends the new parts of texts, then for each text a record that references
/// all of its parts. Returns these references.
async fn append_partials(
    shared: &Rc<Shared>,
    part: usize,
    grown_texts: &[GrownText],
) -> Result<Vec<Vec<TextRef>>, StoreError> {
    let purpose = Purpose::PartialText;
    let text = |grown: &GrownText| {
        let (job, writer) = (&grown.sample_id.job, shared.unique_key_part());
        (batch::partial_text_key(job, &writer, &grown.sample), grown.new_text.clone())
    };
    let keyed: Vec<(String, Bytes)> = grown_texts.iter().map(text).collect();
    let refs = texts::append(shared, part, &keyed, purpose).await?;
    let keys: Vec<String> = refs.iter().flatten().flat_map(TextRef::keys).collect();
    let mut stored = Vec::new();
    let mut records = Vec::new();
    for (grown, at) in grown_texts.iter().zip(refs) {
        let mut texts = grown.stored.clone();
        texts.extend(at);
        let (last, versions) = (grown.last, grown.versions.clone());
        let partial = Partial { last, texts, versions };
        let (key, value) = batch::partial_record(&grown.sample_id.job, &grown.sample, &partial);
        records.push((Some(key), value));
        stored.push(partial.texts);
    }
    let at = Partition::at(JOBS, part);
    let append = Append { part: at, records, expected_end: None, purpose };
    let referenced = shared.append(append).await;
    if referenced.as_ref().is_err_and(StoreError::is_not_applied) {
        shared.orphans.borrow_mut().add_texts(shared.now(), part, keys);
    }
    referenced.map(|_| stored)
}

fn grown_texts(shared: &Shared, part: usize, min_events: u64) -> Vec<GrownText> {
    let control = shared.control.borrow();
    let store = &shared.settings.store;
    let mut grown_texts = Vec::new();
    let mut bytes = 0;
    for (sample_id, text) in &control.partial_texts {
        if shared.partition_of(&sample_id.job) != part
            || text.last_event < text.saved_event + min_events
        {
            continue;
        }
        let job = control.partitions[part].index.jobs.get(&sample_id.job);
        let Some(job) = job.filter(|_| control.is_sample_open(part, sample_id)) else {
            continue;
        };
        let new_text = &text.data.as_bytes()[text.stored_bytes..];
        bytes += append_bytes(new_text.len(), store);
        if bytes > store.call_bytes / 2 && !grown_texts.is_empty() {
            break;
        }
        grown_texts.push(GrownText {
            sample_id: sample_id.clone(),
            sample: job.manifest.samples[sample_id.index].id.clone(),
            last: text.last_event,
            versions: text.versions.iter().copied().collect(),
            stored: text.stored.clone(),
            new_text: Bytes::copy_from_slice(new_text),
            identity: text.identity.clone(),
        });
    }
    grown_texts
}

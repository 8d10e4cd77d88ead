//! Results and unfinished texts on their way to the store.
//!
//! A result goes in two appends, its text first: whoever reads the result
//! finds the text. An append whose outcome is unknown is made again under
//! another key; readers take the first result of a sample and never look at
//! a text that no result names.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    core::{
        batch::{self, Outcome, Partial, TextRef},
        capacity::Purpose,
        dispatch::Slot,
    },
    entry::{
        run::GeneratedText,
        shared::{JOBS, Shared, TEXTS},
        store::{Append, Partition, StoreError},
    },
};

/// Pause after a failed append.
const APPEND_PAUSE: Duration = Duration::from_millis(150);
/// Pause after an append that a full store refused: logs are trimmed and
/// records dropped each second.
const FULL_PAUSE: Duration = Duration::from_secs(1);
/// What a record takes besides its value, at most.
const OVERHEAD_BYTES: usize = 500;

struct Entry {
    slot: Slot,
    outcome: Outcome,
    /// The text, until the store has it.
    text: Option<Bytes>,
}

/// Results of one partition on their way to the store.
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

fn number(part: usize) -> u32 {
    u32::try_from(part).unwrap_or_default()
}

/// Queues a sample's result for the store.
pub fn deliver(shared: &Rc<Shared>, slot: &Slot, dead: bool) {
    let part = shared.partition_of(&slot.job);
    {
        let mut control = shared.control.borrow_mut();
        let text = control.partial_texts.remove(slot).unwrap_or_default();
        let Some(job) = control.partitions[part].index.jobs.get(&slot.job) else {
            return;
        };
        let id = job.manifest.samples[slot.at].id.clone();
        let versions = if dead { vec![] } else { text.versions.into_iter().collect() };
        let score = text.score.filter(|_| !dead);
        let outcome = Outcome { id, abandoned: dead, text: None, versions, score };
        let text = (!dead).then(|| Bytes::from(text.data));
        let entry = Entry { slot: slot.clone(), outcome, text };
        shared.outbox[part].queue.borrow_mut().push_back(entry);
    }
    if !shared.outbox[part].busy.replace(true) {
        tokio::task::spawn_local(flush(shared.clone(), part));
    }
}

async fn flush(shared: Rc<Shared>, part: usize) {
    loop {
        let mut taken = take(&shared, part);
        if taken.is_empty() {
            shared.outbox[part].busy.set(false);
            return;
        }
        let mut appended = append_texts(&shared, part, &mut taken).await;
        if appended.is_ok() {
            appended = append_results(&shared, part, &taken).await;
        }
        if let Err(fault) = appended {
            log::info!("{} results kept for another append: {fault}", taken.len());
            put_back(&shared.outbox[part], taken);
            sleep(if fault == StoreError::Full { FULL_PAUSE } else { APPEND_PAUSE }).await;
        }
    }
}

async fn append_texts(
    shared: &Rc<Shared>,
    part: usize,
    taken: &mut [Entry],
) -> Result<(), StoreError> {
    let mut waiting: Vec<&mut Entry> =
        taken.iter_mut().filter(|entry| entry.text.is_some()).collect();
    if waiting.is_empty() {
        return Ok(());
    }
    let record = |entry: &&mut Entry| {
        let key = batch::text_key(&entry.slot.job, &shared.unique_key_part(), &entry.outcome.id);
        (key, entry.text.clone().unwrap_or_default())
    };
    let keyed: Vec<(String, Bytes)> = waiting.iter().map(record).collect();
    let records = keyed.iter().map(|(key, text)| (Some(key.clone()), text.clone())).collect();
    let (at, purpose) = (Partition::at(TEXTS, part), Purpose::Text);
    let append = Append { part: at, records, expected_end: None, purpose };
    let appended = shared.append(append).await;
    if matches!(appended, Err(StoreError::OutcomeUnknown(_))) {
        let keys = keyed.iter().map(|(key, _)| key.clone());
        shared.orphans.add_texts(shared.now(), part, keys);
    }
    let first = appended?.offset;
    for ((entry, (key, text)), offset) in waiting.iter_mut().zip(keyed).zip(first..) {
        let at = TextRef::new(number(part), offset, key, &text);
        shared.text_cache.insert(&at, text);
        entry.outcome.text = Some(at);
        entry.text = None;
    }
    Ok(())
}

async fn append_results(
    shared: &Rc<Shared>,
    part: usize,
    taken: &[Entry],
) -> Result<(), StoreError> {
    let mut records = Vec::new();
    for Entry { slot, outcome, .. } in taken {
        // A key of its own for each append: if one key were appended twice,
        // the store would keep only the later offset, and with it another
        // position.
        let (key, value) = batch::outcome_record(&slot.job, &shared.unique_key_part(), outcome);
        records.push((Some(key), value));
    }
    let (at, purpose) = (Partition::at(JOBS, part), Purpose::Outcome);
    let append = Append { part: at, records, expected_end: None, purpose };
    let appended = shared.append(append).await?;
    for (Entry { slot, outcome, .. }, offset) in taken.iter().zip(appended.offset..) {
        let ending = if outcome.abandoned { "given up" } else { "whole" };
        log::debug!("sample {}/{} is {ending}: record {offset} or after", slot.job, slot.at);
    }
    Ok(())
}

fn put_back(outbox: &Outbox, taken: Vec<Entry>) {
    let mut queue = outbox.queue.borrow_mut();
    for entry in taken.into_iter().rev() {
        queue.push_front(entry);
    }
}

/// The next results to append, without those that are listed meanwhile.
fn take(shared: &Shared, part: usize) -> Vec<Entry> {
    let control = shared.control.borrow();
    let mut queue = shared.outbox[part].queue.borrow_mut();
    let mut taken = Vec::new();
    let mut bytes = 0;
    while let Some(entry) = queue.front() {
        let job = control.partitions[part].index.jobs.get(&entry.slot.job);
        if job.is_none_or(|job| job.done[entry.slot.at]) {
            queue.pop_front();
            continue;
        }
        bytes += entry.text.as_ref().map_or(0, Bytes::len) + OVERHEAD_BYTES;
        if bytes > shared.settings.store.call_bytes && !taken.is_empty() {
            break;
        }
        taken.extend(queue.pop_front());
    }
    taken
}

/// A text that has grown since it was last kept.
struct Grown {
    slot: Slot,
    sample: String,
    last: u64,
    versions: Vec<u64>,
    /// Where the store has what was kept before.
    kept: Vec<TextRef>,
    /// What came since.
    piece: Bytes,
    identity: Rc<()>,
}

/// Brings texts that have grown by `least` events or more since they were
/// last kept to the store.
pub async fn save_partials(shared: &Rc<Shared>, least: u64) {
    for part in 0..shared.outbox.len() {
        let grown = grown(shared, part, least);
        if grown.is_empty() {
            continue;
        }
        let saved = match append_partials(shared, part, &grown).await {
            Ok(saved) => saved,
            Err(fault) => {
                log::info!("{} unfinished texts not kept: {fault}", grown.len());
                continue;
            }
        };
        let mut control = shared.control.borrow_mut();
        for (grown, kept) in grown.into_iter().zip(saved) {
            let text = control.partial_texts.get_mut(&grown.slot);
            // A text that was begun anew meanwhile has other data, and one
            // that was kept meanwhile, as a stopping instance does beside the
            // regular saves, goes on from there.
            let same = |text: &&mut GeneratedText| {
                Rc::ptr_eq(&text.identity, &grown.identity) && text.stored == grown.kept
            };
            if let Some(text) = text.filter(same) {
                text.saved_event = grown.last;
                text.stored_bytes += grown.piece.len();
                text.stored = kept;
            }
        }
    }
}

/// Appends what came since texts were last kept, then where all of each
/// lies; returns that.
async fn append_partials(
    shared: &Rc<Shared>,
    part: usize,
    grown: &[Grown],
) -> Result<Vec<Vec<TextRef>>, StoreError> {
    let key = |grown: &Grown| {
        batch::partial_text_key(&grown.slot.job, &shared.unique_key_part(), &grown.sample)
    };
    let keys: Vec<String> = grown.iter().map(key).collect();
    let records = keys.iter().zip(grown);
    let records = records.map(|(key, grown)| (Some(key.clone()), grown.piece.clone())).collect();
    let (at, purpose) = (Partition::at(TEXTS, part), Purpose::PartialText);
    let append = Append { part: at, records, expected_end: None, purpose };
    let appended = shared.append(append).await;
    if matches!(appended, Err(StoreError::OutcomeUnknown(_))) {
        shared.orphans.add_texts(shared.now(), part, keys.clone());
    }
    let first = appended?.offset;
    let mut kept = Vec::new();
    let mut records = Vec::new();
    for ((grown, key), offset) in grown.iter().zip(&keys).zip(first..) {
        let mut texts = grown.kept.clone();
        texts.push(TextRef::new(number(part), offset, key.clone(), &grown.piece));
        let (last, versions) = (grown.last, grown.versions.clone());
        let partial = Partial { last, texts, versions };
        let (key, value) = batch::partial_record(&grown.slot.job, &grown.sample, &partial);
        records.push((Some(key), value));
        kept.push(partial.texts);
    }
    let at = Partition::at(JOBS, part);
    let append = Append { part: at, records, expected_end: None, purpose };
    let noted = shared.append(append).await;
    if noted.as_ref().is_err_and(StoreError::is_not_applied) {
        shared.orphans.add_texts(shared.now(), part, keys);
    }
    noted.map(|_| kept)
}

fn grown(shared: &Shared, part: usize, least: u64) -> Vec<Grown> {
    let control = shared.control.borrow();
    let store = &shared.settings.store;
    let mut grown = Vec::new();
    let mut bytes = 0;
    for (slot, text) in &control.partial_texts {
        if shared.partition_of(&slot.job) != part || text.last_event < text.saved_event + least {
            continue;
        }
        let job = control.partitions[part].index.jobs.get(&slot.job);
        let Some(job) = job.filter(|_| control.is_sample_open(part, slot)) else {
            continue;
        };
        let piece = &text.data.as_bytes()[text.stored_bytes..];
        let size = piece.len() + OVERHEAD_BYTES;
        if size > store.record_bytes {
            continue;
        }
        bytes += size;
        if bytes > store.call_bytes / 2 {
            break;
        }
        grown.push(Grown {
            slot: slot.clone(),
            sample: job.manifest.samples[slot.at].id.clone(),
            last: text.last_event,
            versions: text.versions.iter().copied().collect(),
            kept: text.stored.clone(),
            piece: Bytes::copy_from_slice(piece),
            identity: text.identity.clone(),
        });
    }
    grown
}

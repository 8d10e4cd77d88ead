//! Texts and bundles of samples: appended to the store, and read from it on
//! demand, with a small cache.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    core::{
        batch::{Record, TextRef, run_bytes, run_count},
        capacity::Purpose,
    },
    entry::{
        jobs,
        reader::{PAGE_BYTES, Reader},
        settings::Store,
        shared::{Shared, TEXTS},
        store::{self, Append, Partition, StoreError},
    },
};

/// Capacity of the cache in bytes: a few reads of one caller.
const CACHE_BYTES: usize = 1 << 20;

/// Size of the longest text that can be stored and read, in bytes. The records
/// of a text are appended by one call.
#[must_use]
pub fn max_bytes(store: &Store) -> usize {
    jobs::MAX_PAGE_BYTES.min(store.call_bytes / 2)
}

/// Limit on the size of one read, in KB. Where the bandwidth is scarce, a large read
/// is given up for its silence, and all of its bytes are spent.
const MAX_READ_KB: usize = 128;
/// The same while calls are scarce.
const MAX_READ_KB_OF_FEW: usize = 1_024;

/// How long after the time for further reads the last one may take.
const LAST_READ_TIME: Duration = Duration::from_millis(300);

/// Records read so far by key; `None` stands for one that is not in the store.
type Found = BTreeMap<String, Option<Bytes>>;

/// A cache of records of texts that were read or written recently. Entries are matched by
/// key as well: a key belongs to one partition, whereas the same offset exists
/// in every partition.
///
/// # Example
///
/// ```
/// use hollywell::{core::batch::TextRef, entry::texts::TextCache};
///
/// let text = |key: &str| TextRef { offset: 7, key: key.into(), len: 1, ..TextRef::default() };
/// let texts = TextCache::default();
/// texts.insert(&text("a"), &"A".into());
/// assert_eq!(texts.get(&text("a")).unwrap(), "A");
/// // The same offset with another key is a text of another partition.
/// assert!(texts.get(&text("b")).is_none());
/// ```
#[derive(Debug, Default)]
pub struct TextCache {
    cached: RefCell<VecDeque<(TextRef, Bytes)>>,
    flights: RefCell<Vec<Rc<Flight>>>,
    /// The first offset that the log of a partition is known to hold still.
    retained: RefCell<BTreeMap<u32, u64>>,
}

impl TextCache {
    /// Inserts a text and evicts the oldest ones beyond the capacity.
    pub fn insert(&self, at: &TextRef, text: &Bytes) {
        let mut cached = self.cached.borrow_mut();
        let values = at.split(text).into_iter().map(|(_, value)| value);
        cached.extend(at.records().into_iter().zip(values));
        let mut bytes: usize = cached.iter().map(|(_, text)| text.len()).sum();
        while bytes > CACHE_BYTES {
            bytes -= cached.pop_front().map_or(bytes, |(_, text)| text.len());
        }
    }

    /// The content of a record, if it is cached.
    #[must_use]
    pub fn get(&self, record: &TextRef) -> Option<Bytes> {
        let cached = self.cached.borrow();
        cached.iter().find(|(other, _)| other == record).map(|(_, value)| value.clone())
    }

    /// The outcome of a call in flight that is to give a record; `is_page` if only a
    /// page of keys can, since the record is not in the log.
    fn outcome(&self, record: &TextRef, is_page: bool) -> Option<watch::Receiver<Option<Outcome>>> {
        let flights = self.flights.borrow();
        let gives =
            |flight: &&Rc<Flight>| (flight.is_page || !is_page) && flight.covered.contains(record);
        Some(flights.iter().find(gives)?.outcome.clone())
    }

    fn retained_from(&self, part: u32) -> u64 {
        self.retained.borrow().get(&part).copied().unwrap_or_default()
    }

    /// Records that the log of a partition has nothing before an offset.
    fn record_trim(&self, part: u32, retained: u64) {
        let mut all = self.retained.borrow_mut();
        let known = all.entry(part).or_default();
        *known = retained.max(*known);
    }
}

/// Appends texts, each under its key, and returns a reference to each; `None`
/// for an empty text. After an append of unknown outcome the texts must be
/// appended under other keys.
///
/// # Errors
///
/// The store's [`StoreError`].
pub async fn append(
    shared: &Shared,
    part: usize,
    texts: &[(String, Bytes)],
    purpose: Purpose,
) -> Result<Vec<Option<TextRef>>, StoreError> {
    let at = Partition::at(TEXTS, part);
    let record_bytes = shared.settings.store.record_bytes;
    let new =
        |(key, text): &(String, Bytes)| TextRef::new(at.number, key.clone(), text, record_bytes);
    let mut refs: Vec<Option<TextRef>> = texts.iter().map(new).collect();
    let split = refs.iter().zip(texts).filter_map(|(at, (_, text))| Some(at.as_ref()?.split(text)));
    let records: Vec<(Option<String>, Bytes)> =
        split.flatten().map(|(key, value)| (Some(key), value)).collect();
    if records.is_empty() {
        return Ok(refs);
    }
    let append = Append { part: at, records, expected_end: None, purpose };
    let appended = shared.append(append).await;
    if matches!(appended, Err(StoreError::OutcomeUnknown(_))) {
        let keys = refs.iter().flatten().flat_map(TextRef::keys);
        shared.orphans.borrow_mut().add_texts(shared.now(), part, keys);
    }
    set_offsets(refs.iter_mut().flatten(), appended?.offset);
    Ok(refs)
}

/// Sets the offsets of texts that were appended by one call, in order.
pub fn set_offsets<'a>(refs: impl Iterator<Item = &'a mut TextRef>, first: u64) {
    let mut offset = first;
    for at in refs {
        at.offset = offset;
        offset = at.end();
    }
}

/// Reads the given texts of one partition and returns them in the given order.
/// `None` stands for a text that is not in the store: it is gone for good,
/// since a reference is appended only after its text.
///
/// # Errors
///
/// The store's [`StoreError`]; the texts may be in the store.
pub async fn fetch(
    reader: &Rc<Reader>,
    cache: &Rc<TextCache>,
    wanted: &[TextRef],
) -> Result<Vec<Option<Bytes>>, StoreError> {
    let fetched = fetch_until(reader, cache, wanted, None).await;
    fetched.error.map_or(Ok(fetched.texts), Err)
}

/// The first of the texts that were to be read.
#[derive(Debug)]
pub struct Fetched {
    /// The texts up to the first that was not read, as [`fetch`] returns them.
    pub texts: Vec<Option<Bytes>>,
    /// Why a text was not read.
    pub error: Option<StoreError>,
}

/// Reads texts like [`fetch`]. Once the first of them is read, an error ends the
/// reading, no call is made after `until`, and one in progress ends soon.
pub async fn fetch_until(
    reader: &Rc<Reader>,
    cache: &Rc<TextCache>,
    wanted: &[TextRef],
    until: Option<Instant>,
) -> Fetched {
    let mut records: Vec<TextRef> = wanted.iter().flat_map(TextRef::records).collect();
    records.sort_by_key(|record| record.offset);
    let cached = |record: &TextRef| Some((record.key.clone(), Some(cache.get(record)?)));
    let mut found: Found = records.iter().filter_map(cached).collect();
    let mut error = None;
    loop {
        let rest: Vec<TextRef> =
            records.iter().filter(|record| !found.contains_key(&record.key)).cloned().collect();
        let has_first = wanted.first().is_none_or(|first| is_read(first, &found));
        let is_late = until.is_some_and(|until| Instant::now() >= until);
        if rest.is_empty() || has_first && is_late {
            break;
        }
        let read = read(reader, cache, &rest, &mut found);
        let outcome = match until.filter(|_| has_first) {
            Some(until) => timeout_at(until + LAST_READ_TIME, read).await,
            None => Ok(read.await),
        };
        match outcome {
            Ok(Ok(())) => {}
            Ok(Err(failed)) => {
                error = Some(failed);
                break;
            }
            Err(_late) => break,
        }
    }
    let first = wanted.iter().take_while(|text| is_read(text, &found));
    Fetched { texts: first.map(|at| text(at, &found)).collect(), error }
}

fn is_read(text: &TextRef, found: &Found) -> bool {
    text.keys().all(|key| found.contains_key(&key))
}

/// A text whose records were read, unless one is not in the store.
fn text(at: &TextRef, found: &Found) -> Option<Bytes> {
    let values: Option<Vec<Bytes>> = at.keys().map(|key| found.get(&key)?.clone()).collect();
    values.map(|values| match values.as_slice() {
        [one] => one.clone(),
        many => many.concat().into(),
    })
}

/// Reads at least the first of some records, which are in the order of offsets, or
/// waits for a read in flight that is to give it.
async fn read(
    reader: &Rc<Reader>,
    cache: &Rc<TextCache>,
    wanted: &[TextRef],
    found: &mut Found,
) -> Result<(), StoreError> {
    let Some(first) = wanted.first() else {
        return Ok(());
    };
    let removed_before = match cache.retained_from(first.part) {
        retained if first.offset < retained => retained,
        _ => from_log(reader, cache, first.offset, wanted, found).await?,
    };
    let is_removed =
        |record: &&TextRef| record.offset < removed_before && !found.contains_key(&record.key);
    let removed: Vec<TextRef> = wanted.iter().filter(is_removed).cloned().collect();
    by_key(reader, cache, removed, found).await
}

/// Reads records from an offset of the log. Returns the offset before which those
/// that were not found are no longer in it.
async fn from_log(
    reader: &Rc<Reader>,
    cache: &Rc<TextCache>,
    from: u64,
    wanted: &[TextRef],
    found: &mut Found,
) -> Result<u64, StoreError> {
    let call = log_call(reader, from, wanted);
    let covered = run_count(wanted, call.bytes());
    let ended = share(reader, cache, call, &wanted[..covered], wanted).await;
    // A call that another caller made may have begun elsewhere.
    let read_to = if ended.is_own { from + 1 } else { 0 };
    match ended.outcome {
        Ok(answer) => {
            found.extend(answer.found);
            Ok(read_to)
        }
        Err(StoreError::Trimmed(retained)) => Ok(retained.max(read_to)),
        Err(error) => Err(error),
    }
}

/// Reads records by their keys, which the store keeps after the log was trimmed.
async fn by_key(
    reader: &Rc<Reader>,
    cache: &Rc<TextCache>,
    mut wanted: Vec<TextRef>,
    found: &mut Found,
) -> Result<(), StoreError> {
    wanted.sort_by(|one, other| one.key.cmp(&other.key));
    let mut read_to = String::new();
    while let Some(first) = wanted.first() {
        // Keys in between are skipped.
        let after = just_before(&first.key).max(read_to);
        let call = Call::Page { after };
        let Ended { outcome, is_own } = share(reader, cache, call, &wanted, &wanted).await;
        let answer = outcome?;
        found.extend(answer.found);
        // Another caller's page was searched for its own keys only.
        read_to = answer.read_to.filter(|_| is_own).unwrap_or_default();
        wanted.retain(|record| !found.contains_key(&record.key));
    }
    Ok(())
}

/// A call of the store that reads texts.
#[derive(Clone, Debug)]
enum Call {
    /// Of a partition's log.
    Log { from: u64, max_kb: usize },
    /// Of a page of newest records, from after a key.
    Page { after: String },
}

impl Call {
    /// Bytes of the response, about.
    const fn bytes(&self) -> u64 {
        match self {
            Call::Log { max_kb, .. } => *max_kb as u64 * 1_024,
            Call::Page { .. } => PAGE_BYTES,
        }
    }
}

/// The call that reads some records from an offset of the log on, as many as it
/// should.
fn log_call(reader: &Reader, from: u64, wanted: &[TextRef]) -> Call {
    // While calls are scarce, one read takes as many of the wanted ones as it can.
    let max_kb = match reader.are_calls_scarce() {
        true => MAX_READ_KB_OF_FEW,
        // At least the first one, whatever its size.
        false => kb(run_bytes(wanted))
            .min(MAX_READ_KB)
            .min(kb(reader.text_read_limit()))
            .max(kb(run_bytes(&wanted[..wanted.len().min(1)]))),
    };
    Call::Log { from, max_kb }
}

/// What a call gave of the wanted records.
#[derive(Clone, Debug, Default)]
struct Answer {
    found: Found,
    /// The key to which a page of keys goes; `None` if it is the last one.
    read_to: Option<String>,
}

/// The outcome of a call.
type Outcome = Result<Answer, StoreError>;

/// A call in flight and the records that it is expected to give.
#[derive(Debug)]
struct Flight {
    is_page: bool,
    covered: Vec<TextRef>,
    outcome: watch::Receiver<Option<Outcome>>,
}

/// The end of a call.
struct Ended {
    outcome: Outcome,
    /// Whether it was made as asked for; otherwise it was in flight.
    is_own: bool,
}

impl Ended {
    /// The end of a call that is in flight.
    async fn of(outcome: watch::Receiver<Option<Outcome>>) -> Ended {
        Ended { outcome: wait_for(outcome).await, is_own: false }
    }
}

/// Makes a call, or waits for one in flight that is to give the first record.
///
/// A call that was sent ends without its caller: the store sends the whole response
/// in any case, and a caller that comes again would pay for another one. What is in
/// flight is bounded by [`Reader::begin_texts`], and a caller that leaves while it
/// waits for that has no call in flight.
async fn share(
    reader: &Rc<Reader>,
    cache: &Rc<TextCache>,
    call: Call,
    covered: &[TextRef],
    wanted: &[TextRef],
) -> Ended {
    let Some(first) = wanted.first() else {
        return Ended { outcome: Ok(Answer::default()), is_own: false };
    };
    let is_page = matches!(call, Call::Page { .. });
    if let Some(outcome) = cache.outcome(first, is_page) {
        return Ended::of(outcome).await;
    }
    let in_flight = reader.begin_texts(first.part, call.bytes()).await;
    // Another caller may have read the record meanwhile, or be about to.
    if let Some(text) = cache.get(first) {
        let found = [(first.key.clone(), Some(text))].into();
        return Ended { outcome: Ok(Answer { found, read_to: None }), is_own: false };
    }
    if let Some(outcome) = cache.outcome(first, is_page) {
        drop(in_flight);
        return Ended::of(outcome).await;
    }
    let (sender, outcome) = watch::channel(None);
    let flight = Rc::new(Flight { is_page, covered: covered.to_vec(), outcome: outcome.clone() });
    cache.flights.borrow_mut().push(flight.clone());
    let listed = Listed { cache: cache.clone(), flight };
    let (reader, wanted) = (reader.clone(), wanted.to_vec());
    tokio::task::spawn_local(async move {
        let outcome = make(&reader, &listed.cache, call, &wanted).await;
        drop((listed, in_flight));
        sender.send_replace(Some(outcome));
    });
    Ended { outcome: wait_for(outcome).await, is_own: true }
}

/// The outcome of a call in flight.
async fn wait_for(mut outcome: watch::Receiver<Option<Outcome>>) -> Outcome {
    let failed = || Err(StoreError::OutcomeUnknown(String::from("the task of a read failed")));
    match outcome.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone().unwrap_or_else(failed),
        Err(_ended) => failed(),
    }
}

/// Lists a call as in flight until dropped.
struct Listed {
    cache: Rc<TextCache>,
    flight: Rc<Flight>,
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.cache.flights.borrow_mut().retain(|flight| !Rc::ptr_eq(flight, &self.flight));
    }
}

/// Makes a call, and caches what it gives of the wanted records.
async fn make(reader: &Reader, cache: &TextCache, call: Call, wanted: &[TextRef]) -> Outcome {
    let part = Partition::new(TEXTS, wanted.first().map_or(0, |record| record.part));
    match call {
        Call::Log { from, max_kb } => {
            let read = store::Read { part, from, wait: Duration::ZERO, max_kb: Some(max_kb) };
            let number = read.part.number;
            let records = match reader.read(read).await {
                Err(StoreError::Trimmed(retained)) => {
                    cache.record_trim(number, retained);
                    return Err(StoreError::Trimmed(retained));
                }
                other => other?.records,
            };
            let is_at = |text: &TextRef, record: &Record| text.offset == record.offset;
            Ok(Answer { found: collect(reader, cache, records, wanted, is_at), read_to: None })
        }
        Call::Page { after } => {
            let page = reader.newest(&part, Some(after)).await?;
            let mut found = collect(reader, cache, page.records, wanted, |_, _| true);
            let is_read = |key: &str| page.after.as_deref().is_none_or(|read_to| key <= read_to);
            for record in wanted.iter().filter(|record| is_read(&record.key)) {
                found.entry(record.key.clone()).or_default();
            }
            Ok(Answer { found, read_to: page.after })
        }
    }
}

/// Collects the wanted ones of the records that were read; `is_at` tells whether a
/// record of the same key is the one referred to.
fn collect(
    reader: &Reader,
    cache: &TextCache,
    records: Vec<Record>,
    wanted: &[TextRef],
    is_at: impl Fn(&TextRef, &Record) -> bool,
) -> Found {
    let mut found = Found::default();
    for record in records {
        let is_wanted = |text: &&TextRef| text.key == record.key && is_at(text, &record);
        let Some(at) = wanted.iter().find(is_wanted) else {
            reader.count_unused(record.log_bytes());
            continue;
        };
        if let Some(value) = record.value {
            // Copied, because the value may share the buffer of the whole read.
            let text = Bytes::copy_from_slice(&value);
            cache.insert(at, &text);
            found.insert(record.key, Some(text));
        }
    }
    found
}

fn kb(bytes: u64) -> usize {
    usize::try_from(bytes.div_ceil(1_024)).unwrap_or(usize::MAX)
}

/// A key that sorts before another one and after most others that do.
fn just_before(key: &str) -> String {
    /// Sorts after the characters of most ids.
    const LAST: char = '~';
    let Some((at, last)) = key.char_indices().last() else {
        return String::new();
    };
    let before = u32::from(last).checked_sub(1).and_then(char::from_u32);
    key[..at].chars().chain(before.into_iter().flat_map(|before| [before, LAST])).collect()
}

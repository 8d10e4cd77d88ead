//! Reading the store's partitions through another instance.
//!
//! All instances together share one rate of calls and one bandwidth of the
//! store. With many instances, only a few of each failure domain, the sources,
//! read the store and pass on what they read; [`crate::core::relay`] selects
//! them. Passed records keep their offsets and carry their age, so a follower
//! can use them as if it had read the store. Of the targets' entries, only
//! those with a change are passed on.
//!
//! A follower whose offset is no longer held here, after a trim of the store or
//! an outage of its own, gets all targets' entries as a snapshot from memory.
//! If each instance read them from the store, those of 10,000 targets would take
//! its bandwidth for longer than any timeout.
//!
//! The first read of a partition at a start is left to
//! [`crate::entry::relay`]; the configuration is read by every instance itself.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, Response, StatusCode};
use http_body_util::Full;
use prost::Message as _;
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::{
    core::{batch::Record, fleet::Announcement, relay, time::Time},
    entry::{
        peers,
        shared::{Control, Shared},
        store::{Partition, Records},
    },
};

/// Prefix of the path; topic, partition and the first offset wanted follow.
pub const PATH: &str = "/feed/";
/// How long a request waits for new records. Two of these, with the source's
/// own waiting reads, must end before a partition counts as stale.
const LONG_POLL: Duration = Duration::from_millis(400);
/// Time without progress after which another source is asked, or the store.
const IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum age of a source's last read, in milliseconds; beyond it the source's
/// next read is overdue, and its answer is not used.
const MAX_AGE_MS: u64 = 1_300;
/// Header with the time since a source last read to the partition's end, in
/// milliseconds. A snapshot is encoded once and sent for as long as the records
/// that follow it are held, so its age is not part of it.
const AGE_MS: HeaderName = HeaderName::from_static("age-ms");
/// Maximum number of records held of each partition: those of some seconds.
const MAX_RECORDS: usize = 8_192;
/// Maximum size of the records held of each partition, in bytes.
const MAX_BYTES: usize = 4 << 20;
/// Maximum size of a source's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Number of sources that are asked before the store: after a start, only the
/// source of this instance's snapshot has the records that follow it.
const MAX_SOURCES: usize = relay::ROOTS;

/// A record in a [`Page`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct FeedRecord {
    #[prost(uint64, tag = "1")]
    offset: u64,
    #[prost(string, tag = "2")]
    key: String,
    /// Absent if the key was deleted.
    #[prost(bytes = "bytes", optional, tag = "3")]
    value: Option<Bytes>,
}

/// A source's response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Page {
    /// All records before this offset were read.
    #[prost(uint64, tag = "1")]
    end: u64,
    /// Time since the store was asked for them, in milliseconds.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(message, repeated, tag = "3")]
    records: Vec<FeedRecord>,
    /// The records are the newest of all keys, not those from an offset on.
    #[prost(bool, tag = "4")]
    is_snapshot: bool,
    /// In a snapshot: keys whose newest record lies at or beyond the end.
    #[prost(string, repeated, tag = "5")]
    beyond: Vec<String>,
}

/// Outcome of asking the sources for records of a partition.
pub(super) enum Fetched {
    /// Records from one of them.
    Batch(Batch),
    /// A source answered, but does not have the records yet, or they are too
    /// old.
    NotReady,
    /// There is no source, or none answered.
    NoSource,
}

/// Records that a source passed on, or that were read from the store.
pub(super) struct Batch {
    pub records: Records,
    /// When the store was asked for them.
    pub requested_at: Time,
    /// The records are a snapshot: the newest of all keys.
    pub is_snapshot: bool,
    /// All records that the partition had at `requested_at` were read. A read
    /// returns a limited number of bytes, and records may follow a source's
    /// snapshot.
    pub is_complete: bool,
}

/// Records of one partition that were read recently.
#[derive(Debug, Default)]
struct Log {
    /// The log is complete from this offset on.
    first: u64,
    end: u64,
    requested_at: Time,
    records: VecDeque<Record>,
    bytes: usize,
    /// The last announcement of each target, without its heartbeat counter.
    announced: HashMap<String, Announcement>,
    /// The newest record of each target, if it is known for all of them.
    newest: Option<HashMap<String, Record>>,
    /// Targets that are not in `newest` because their newest record is yet to be
    /// read.
    beyond: BTreeSet<String>,
    /// `newest` as an encoded [`Page`] without an age, and the end up to which it
    /// was read.
    snapshot: Option<(u64, Bytes)>,
}

impl Log {
    /// Whether a target's entry differs from its last one in more than the
    /// heartbeat counter.
    fn is_change(&mut self, shared: &Shared, record: &Record) -> bool {
        let Some(value) = &record.value else {
            self.announced.remove(&record.key);
            return true;
        };
        let Ok(announced) = (shared.codec.announcement)(&record.key, value) else {
            // The next sound entry is a change, even if it equals the last one.
            self.announced.remove(&record.key);
            return true;
        };
        let announced = Announcement { sequence: 0, ..announced };
        self.announced.insert(record.key.clone(), announced.clone()) != Some(announced)
    }

    fn push(&mut self, record: &Record) {
        self.bytes += size(record);
        self.records.push_back(record.clone());
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= size(&oldest);
            self.first = oldest.offset + 1;
        }
    }

    /// Applies a record to the newest records by key.
    fn update_newest(&mut self, record: &Record) {
        let Some(newest) = &mut self.newest else {
            return;
        };
        self.beyond.remove(&record.key);
        match record.value {
            Some(_) => drop(newest.insert(record.key.clone(), record.clone())),
            None => drop(newest.remove(&record.key)),
        }
    }

    /// The records from an offset on, unless some of them are not held.
    fn page_from(&self, now: Time, from: u64) -> Option<Page> {
        if !(self.first..=self.end).contains(&from) {
            return None;
        }
        let records = self.records.iter().filter(|record| record.offset >= from);
        let records = records.map(FeedRecord::new).collect();
        Some(Page {
            end: self.end,
            age_ms: now.since(self.requested_at),
            records,
            is_snapshot: false,
            beyond: vec![],
        })
    }

    /// The newest records of all keys, for followers whose offset is no longer
    /// held. They are encoded once for many followers, and reused while all
    /// records after them are held.
    fn encoded_snapshot(&mut self) -> Option<Bytes> {
        if let Some((end, snapshot)) = &self.snapshot
            && *end >= self.first
        {
            return Some(snapshot.clone());
        }
        let mut records: Vec<FeedRecord> =
            self.newest.as_ref()?.values().map(FeedRecord::new).collect();
        records.sort_by_key(|record| record.offset);
        let beyond = self.beyond.iter().cloned().collect();
        let page = Page { end: self.end, age_ms: 0, records, is_snapshot: true, beyond };
        let snapshot = Bytes::from(page.encode_to_vec());
        self.snapshot = Some((self.end, snapshot.clone()));
        Some(snapshot)
    }
}

impl FeedRecord {
    fn new(record: &Record) -> FeedRecord {
        let Record { offset, key, value } = record.clone();
        FeedRecord { offset, key, value }
    }
}

fn size(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}

/// Records that this instance passes on to its followers.
#[derive(Debug, Default)]
pub struct Feed {
    logs: RefCell<HashMap<Partition, Log>>,
    changed: Notify,
    /// The last source of each partition.
    source: RefCell<HashMap<Partition, String>>,
}

impl Feed {
    /// Records the source of a partition; returns whether it has changed.
    fn note_source(&self, part: &Partition, source: &str) -> bool {
        let mut known = self.source.borrow_mut();
        if known.get(part).is_some_and(|known| known == source) {
            return false;
        }
        known.insert(part.clone(), source.to_owned());
        true
    }
}

/// The sources of this instance in order of preference; empty if it reads the
/// store itself.
pub(super) fn sources(shared: &Shared) -> Vec<String> {
    let control = shared.control.borrow();
    let all = relay::sources(
        control.roster.members(),
        &shared.instance_id,
        is_overloaded(shared, &control),
    );
    all.into_iter().map(str::to_owned).collect()
}

/// Whether the store cannot serve all instances directly.
fn is_overloaded(shared: &Shared, control: &Control) -> bool {
    let demand = relay::Demand {
        instances: control.roster.members().len(),
        targets: control.fleet.targets.len(),
        beat_ms: u64::try_from(shared.settings.times.heartbeat.as_millis()).unwrap_or(u64::MAX),
    };
    // The number of readers is unknown if the group does not show all members.
    control.group_size.is_full()
        || control.following.is_heavy()
        || relay::is_overloaded(shared.settings.store.supply, demand)
}

/// Counts records of a partition of jobs that were read to follow it.
pub(super) fn count_followed(shared: &Shared, records: &[Record]) {
    let bytes = records.iter().map(Record::log_bytes).sum();
    let (now, supply) = (shared.now(), shared.settings.store.supply);
    let control = &mut *shared.control.borrow_mut();
    let (was_heavy, instances) = (control.following.is_heavy(), control.roster.members().len());
    control.following.record(now, bytes, supply, instances);
    match (was_heavy, control.following.is_heavy()) {
        (false, true) => log::info!("jobs take too much of the store's bandwidth: few read them"),
        (true, false) => log::info!("the store's bandwidth lets each instance read jobs itself"),
        _ => {}
    }
}

/// Whether this instance follows others.
pub(super) fn is_follower(shared: &Shared) -> bool {
    !sources(shared).is_empty()
}

/// Number of instances that follow the same source as this one.
pub(super) fn followers(shared: &Shared) -> usize {
    relay::followers(shared.control.borrow().roster.members(), &shared.instance_id)
}

/// Number of instances that read the store's partitions, as far as is known.
pub(super) fn readers(shared: &Shared) -> usize {
    match is_source(shared) {
        true => relay::ROOTS * shared.settings.domains.len(),
        false => shared.control.borrow().roster.members().len(),
    }
}

/// Whether other instances follow this one.
pub(super) fn is_source(shared: &Shared) -> bool {
    let control = shared.control.borrow();
    relay::is_source(control.roster.members(), &shared.instance_id, is_overloaded(shared, &control))
}

/// Starts the log of a partition with the snapshot that was read, so that only
/// changes from it are passed on. Without this, the first heartbeats of all
/// targets evicted the records that followed the snapshot passed on to others.
pub(super) fn start(shared: &Shared, part: &Partition, newest: &Records) {
    {
        let control = shared.control.borrow();
        let members = control.roster.members();
        let is_root = relay::parent(members, &shared.instance_id).is_none();
        if !is_root || !relay::has_relays(members, &shared.instance_id) {
            return;
        }
    }
    let mut log = Log { first: newest.end, end: newest.end, ..Log::default() };
    if part.topic == shared.codec.announcements {
        log.newest = Some(HashMap::new());
        log.beyond = newest.beyond.iter().cloned().collect();
        for record in &newest.records {
            log.is_change(shared, record);
            log.update_newest(record);
        }
    }
    shared.feed.logs.borrow_mut().insert(part.clone(), log);
}

/// Adds the records that were read of a partition from an offset on, for the
/// followers of this instance.
pub(super) fn record(shared: &Shared, part: &Partition, from: u64, read: &Batch) {
    let mut logs = shared.feed.logs.borrow_mut();
    let log = logs.entry(part.clone()).or_default();
    if log.end != from {
        *log = Log { first: from, end: from, ..Log::default() };
    }
    for record in &read.records.records {
        let is_entry = part.topic == shared.codec.announcements;
        log.update_newest(record);
        if !is_entry || log.is_change(shared, record) {
            log.push(record);
        }
        log.end = log.end.max(record.offset + 1);
    }
    if read.is_complete {
        log.requested_at = read.requested_at;
    }
    if !read.records.records.is_empty() {
        shared.feed.changed.notify_waiters();
    }
}

/// Fetches the records of a partition from an offset on from the sources of
/// this instance.
pub(super) async fn fetch(shared: &Rc<Shared>, part: &Partition, from: u64) -> Fetched {
    let mut outcome = Fetched::NoSource;
    for source in sources(shared).into_iter().take(MAX_SOURCES) {
        let requested_at = shared.now();
        let page = fetch_from(shared, part, from, &source).await;
        match page.map(|page| page.map(|page| (requested_at.before(page.age_ms), page))) {
            Ok(Some((Some(requested_at), page))) if page.age_ms <= MAX_AGE_MS => {
                if shared.feed.note_source(part, &source) {
                    log::info!("{}/{} is fed by {source}", part.topic, part.number);
                }
                let decode = |record: FeedRecord| Record {
                    offset: record.offset,
                    key: record.key,
                    value: record.value,
                };
                let records = page.records.into_iter().map(decode).collect();
                return Fetched::Batch(Batch {
                    records: Records { end: page.end, records, beyond: page.beyond },
                    requested_at,
                    is_snapshot: page.is_snapshot,
                    is_complete: !page.is_snapshot,
                });
            }
            Ok(Some((_, page))) => {
                log::info!(
                    "{source} last read {part:?} {} ms ago, more than {MAX_AGE_MS} ms",
                    page.age_ms
                );
                outcome = Fetched::NotReady;
            }
            Ok(None) => {
                log::info!("{source} does not hold {part:?} from offset {from} on");
                outcome = Fetched::NotReady;
            }
            Err(why) => {
                log::info!("fetching {part:?} from offset {from} on from {source} failed: {why}");
            }
        }
    }
    outcome
}

/// Fetches from one source; `None` if it does not hold the records from the
/// offset on.
async fn fetch_from(
    shared: &Rc<Shared>,
    part: &Partition,
    from: u64,
    source: &str,
) -> Result<Option<Page>, String> {
    let path = format!("{PATH}{}/{}/{from}", part.topic, part.number);
    let answer = peers::get(shared, source, &path, IDLE_TIMEOUT).await?;
    let status = answer.head.status;
    let age_ms = answer.header(&AGE_MS).and_then(|age| age.parse().ok());
    let body = answer.read_body_with_idle_timeout(MAX_RESPONSE_BYTES, IDLE_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    match status {
        StatusCode::OK => {}
        StatusCode::GONE => return Ok(None),
        other => return Err(other.to_string()),
    }
    let mut page = Page::decode(body).map_err(|error| error.to_string())?;
    if page.is_snapshot {
        page.age_ms = age_ms.ok_or("a snapshot without an age")?;
    }
    let first = if page.is_snapshot { 0 } else { from };
    let is_contiguous = page.end >= from
        && page.records.iter().all(|record| (first..page.end).contains(&record.offset))
        && page.records.is_sorted_by(|a, b| a.offset < b.offset);
    if is_contiguous {
        Ok(Some(page))
    } else {
        Err(String::from("records are unordered or outside the requested range"))
    }
}

/// Answers a follower with the records from an offset on; waits for the first
/// up to [`LONG_POLL`].
pub(super) async fn respond(shared: &Rc<Shared>, path: &str) -> Response<Full<Bytes>> {
    let Some((part, from)) = parse_path(path) else {
        return peers::empty_response(StatusCode::NOT_FOUND);
    };
    let until = Instant::now() + LONG_POLL;
    loop {
        let changed = shared.feed.changed.notified();
        let (page, all) = {
            let (now, mut logs) = (shared.now(), shared.feed.logs.borrow_mut());
            let log = logs.get_mut(&part);
            match log.as_ref().and_then(|log| log.page_from(now, from)) {
                Some(page) => (Some(page), None),
                None => (
                    None,
                    log.filter(|log| from < log.first).and_then(|log| {
                        let age_ms = now.since(log.requested_at);
                        Some((log.encoded_snapshot()?, age_ms))
                    }),
                ),
            }
        };
        let Some(page) = page else {
            let Some((all, age_ms)) = all else {
                return peers::empty_response(StatusCode::GONE);
            };
            let mut response = Response::new(Full::new(all));
            response.headers_mut().insert(AGE_MS, age_ms.into());
            return response;
        };
        if page.age_ms > MAX_AGE_MS {
            // Not read here any more, or not lately: the follower asks another.
            return peers::empty_response(StatusCode::GONE);
        }
        if page.end > from || timeout_at(until, changed).await.is_err() {
            return Response::new(Full::new(page.encode_to_vec().into()));
        }
    }
}

/// The partition and the offset that a path names.
fn parse_path(path: &str) -> Option<(Partition, u64)> {
    let mut parts = path.strip_prefix(PATH)?.rsplitn(3, '/');
    let from = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    Some((Partition::new(parts.next()?, number), from))
}

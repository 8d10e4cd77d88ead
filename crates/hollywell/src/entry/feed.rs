//! Following the store's partitions through another instance.
//!
//! A store serves so many calls a second to all instances together, and shares
//! one bandwidth among them. Where there are many, a few of each failure domain
//! read it and hand on what they read; [`crate::core::relay`] says who. What
//! is handed on keeps its offsets and says how old it is, so that whoever
//! follows knows what it knows as if it had read the store. Of targets' entries
//! only those go on that say something new.
//!
//! Answers the load of a store whose history is gone, or of an instance that
//! was away: all targets' entries are handed on from memory then. Read from the
//! store by each instance, those of 10,000 targets take its bandwidth for
//! longer than anybody waits.
//!
//! What it leaves out: the first reading of a partition at a start, and the
//! configuration, which every instance reads itself.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
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

/// What the path begins with; topic, partition and the first offset wanted
/// follow.
pub const PATH: &str = "/feed/";
/// How long whoever asks is kept where nothing is new. With the wait of the
/// read that it depends on, two of these must end before a partition counts as
/// out of date.
const LONG_POLL: Duration = Duration::from_millis(400);
/// Silence after which another source is asked, or the store.
const IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age from which on a source is of no use, in milliseconds: its own read is
/// overdue.
const MAX_AGE_MS: u64 = 1_300;
/// Records and bytes of each partition that are handed on: some seconds.
const MAX_RECORDS: usize = 8_192;
/// See [`MAX_RECORDS`].
const MAX_BYTES: usize = 4 << 20;
/// Largest answer of a source.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Sources that are asked before the store: after a start only the one whose
/// reading was handed down here has what follows it.
const MAX_SOURCES: usize = relay::ROOTS;

/// A record on its way between instances.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct FeedRecord {
    #[prost(uint64, tag = "1")]
    offset: u64,
    #[prost(string, tag = "2")]
    key: String,
    /// Absent where the key was dropped.
    #[prost(bytes = "bytes", optional, tag = "3")]
    value: Option<Bytes>,
}

/// What a source hands on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Page {
    /// All before this offset was read.
    #[prost(uint64, tag = "1")]
    end: u64,
    /// How long ago, in milliseconds.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(message, repeated, tag = "3")]
    records: Vec<FeedRecord>,
    /// They are the newest of all keys, not those after an offset.
    #[prost(bool, tag = "4")]
    is_snapshot: bool,
}

/// What those that this instance follows say of a partition.
pub(super) enum Fetched {
    /// This.
    Batch(Batch),
    /// They live, and have not read it yet themselves.
    NotReady,
    /// There is nobody to follow, or nobody answered.
    NoSource,
}

/// What was handed on to this instance.
pub(super) struct Batch {
    pub records: Records,
    /// When the store was asked for it.
    pub requested_at: Time,
    /// The records are the newest of all keys.
    pub is_snapshot: bool,
}

/// What was read lately of one partition.
#[derive(Debug, Default)]
struct Log {
    /// Nothing is missing from here on.
    first: u64,
    end: u64,
    requested_at: Time,
    records: VecDeque<Record>,
    bytes: usize,
    /// What targets said last.
    announced: HashMap<String, Announcement>,
    /// The newest record of each target, if none is missing.
    newest: Option<HashMap<String, Record>>,
    /// All of those, encoded, and the end up to which they were read.
    snapshot: Option<(u64, Bytes)>,
}

impl Log {
    /// Whether a target's entry says something new; heartbeats mostly do not.
    fn is_change(&mut self, shared: &Shared, record: &Record) -> bool {
        let Some(value) = &record.value else {
            self.announced.remove(&record.key);
            return true;
        };
        let Ok(announced) = (shared.codec.announcement)(&record.key, value) else {
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

    /// Notes a record as the newest of its key.
    fn update_newest(&mut self, record: &Record) {
        let Some(newest) = &mut self.newest else {
            return;
        };
        match record.value {
            Some(_) => drop(newest.insert(record.key.clone(), record.clone())),
            None => drop(newest.remove(&record.key)),
        }
    }

    /// What follows an offset, unless some of it is not known here.
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
        })
    }

    /// The newest records of all keys, for whoever needs what is no longer
    /// known here one by one. They are encoded once for a crowd, for as long as
    /// what followed them is known.
    fn encoded_snapshot(&mut self, now: Time) -> Option<Bytes> {
        if let Some((end, snapshot)) = &self.snapshot
            && *end >= self.first
        {
            return Some(snapshot.clone());
        }
        let mut records: Vec<FeedRecord> =
            self.newest.as_ref()?.values().map(FeedRecord::new).collect();
        records.sort_by_key(|record| record.offset);
        let page = Page {
            end: self.end,
            age_ms: now.since(self.requested_at),
            records,
            is_snapshot: true,
        };
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

/// What this instance hands on.
#[derive(Debug, Default)]
pub struct Feed {
    logs: RefCell<HashMap<Partition, Log>>,
    changed: Notify,
    /// Who fed each partition last.
    source: RefCell<HashMap<Partition, String>>,
}

impl Feed {
    /// Notes who feeds a partition; returns whether that has changed.
    fn note_source(&self, part: &Partition, source: &str) -> bool {
        let mut known = self.source.borrow_mut();
        if known.get(part).is_some_and(|known| known == source) {
            return false;
        }
        known.insert(part.clone(), source.to_owned());
        true
    }
}

/// Whom this instance follows, the first choice first; nobody if it reads
/// the store itself.
pub(super) fn sources(shared: &Shared) -> Vec<String> {
    let control = shared.control.borrow();
    let all = relay::sources(
        control.roster.members(),
        &shared.instance_id,
        is_overloaded(shared, &control),
    );
    all.into_iter().map(str::to_owned).collect()
}

/// Whether the store cannot serve all instances.
fn is_overloaded(shared: &Shared, control: &Control) -> bool {
    let demand = relay::Demand {
        instances: control.roster.members().len(),
        targets: control.fleet.targets.len(),
        beat_ms: u64::try_from(shared.settings.times.heartbeat.as_millis()).unwrap_or(u64::MAX),
    };
    // How many read it is not known where not all show.
    control.group_size.is_full() || relay::is_overloaded(shared.settings.store.supply, demand)
}

/// Whether this instance follows others.
pub(super) fn is_follower(shared: &Shared) -> bool {
    !sources(shared).is_empty()
}

/// How many instances ask the one that this instance follows.
pub(super) fn followers(shared: &Shared) -> usize {
    relay::followers(shared.control.borrow().roster.members(), &shared.instance_id)
}

/// How many instances read the store's partitions, as far as is known.
pub(super) fn readers(shared: &Shared) -> usize {
    match is_source(shared) {
        true => relay::ROOTS * shared.settings.domains.len(),
        false => shared.control.borrow().roster.members().len(),
    }
}

/// Whether others follow this instance.
pub(super) fn is_source(shared: &Shared) -> bool {
    let control = shared.control.borrow();
    relay::is_source(control.roster.members(), &shared.instance_id, is_overloaded(shared, &control))
}

/// Notes what was read of a partition from its beginning, so that only what
/// says something else is handed on. Without it the first heartbeats of all
/// targets pushed out what had followed the reading that others had been given.
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
        for record in &newest.records {
            log.is_change(shared, record);
            log.update_newest(record);
        }
    }
    shared.feed.logs.borrow_mut().insert(part.clone(), log);
}

/// Keeps what was read of a partition from an offset on for those who follow
/// this instance.
pub(super) fn record(
    shared: &Shared,
    part: &Partition,
    from: u64,
    read: &Records,
    requested_at: Time,
) {
    let mut logs = shared.feed.logs.borrow_mut();
    let log = logs.entry(part.clone()).or_default();
    if log.end != from {
        *log = Log { first: from, end: from, ..Log::default() };
    }
    for record in &read.records {
        let is_entry = part.topic == shared.codec.announcements;
        log.update_newest(record);
        if !is_entry || log.is_change(shared, record) {
            log.push(record);
        }
        log.end = log.end.max(record.offset + 1);
    }
    log.requested_at = requested_at;
    if !read.records.is_empty() {
        shared.feed.changed.notify_waiters();
    }
}

/// What follows an offset of a partition, from whomever this instance
/// follows.
pub(super) async fn fetch(shared: &Rc<Shared>, part: &Partition, from: u64) -> Fetched {
    let mut nothing = Fetched::NoSource;
    for source in sources(shared).into_iter().take(MAX_SOURCES) {
        let requested_at = shared.now();
        match fetch_from(shared, part, from, &source).await {
            Ok(Some(page)) if page.age_ms <= MAX_AGE_MS => {
                if shared.feed.note_source(part, &source) {
                    log::info!("{}/{} is fed by {source}", part.topic, part.number);
                }
                let record = |record: FeedRecord| Record {
                    offset: record.offset,
                    key: record.key,
                    value: record.value,
                };
                let records = page.records.into_iter().map(record).collect();
                return Fetched::Batch(Batch {
                    records: Records { end: page.end, records, beyond: vec![] },
                    requested_at: Time(requested_at.0.saturating_sub(page.age_ms)),
                    is_snapshot: page.is_snapshot,
                });
            }
            Ok(Some(page)) => {
                log::info!("{source} has read {part:?} {} ms ago", page.age_ms);
                nothing = Fetched::NotReady;
            }
            Ok(None) => {
                log::info!("{source} does not know what follows {from} of {part:?}");
                nothing = Fetched::NotReady;
            }
            Err(why) => {
                log::info!("{part:?} from {from} on is not to be had from {source}: {why}");
            }
        }
    }
    nothing
}

/// Asks one of them; `None` if it does not know what follows the offset.
async fn fetch_from(
    shared: &Rc<Shared>,
    part: &Partition,
    from: u64,
    source: &str,
) -> Result<Option<Page>, String> {
    let path = format!("{PATH}{}/{}/{from}", part.topic, part.number);
    let answer = peers::get(shared, source, &path, IDLE_TIMEOUT).await?;
    let status = answer.head.status;
    let body = answer.read_body_with_idle_timeout(MAX_RESPONSE_BYTES, IDLE_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    match status {
        StatusCode::OK => {}
        StatusCode::GONE => return Ok(None),
        other => return Err(other.to_string()),
    }
    let page = Page::decode(body).map_err(|error| error.to_string())?;
    let first = if page.is_snapshot { 0 } else { from };
    let is_contiguous = page.end >= from
        && page.records.iter().all(|record| (first..page.end).contains(&record.offset))
        && page.records.is_sorted_by(|a, b| a.offset < b.offset);
    if is_contiguous { Ok(Some(page)) } else { Err(String::from("records that do not follow")) }
}

/// Hands on what follows an offset, once there is something.
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
                    log.filter(|log| from < log.first).and_then(|log| log.encoded_snapshot(now)),
                ),
            }
        };
        let Some(page) = page else {
            let Some(all) = all else {
                return peers::empty_response(StatusCode::GONE);
            };
            return Response::new(Full::new(all));
        };
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

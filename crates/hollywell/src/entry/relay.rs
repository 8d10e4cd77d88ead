//! Fetches snapshots of partitions from another instance at a start, and serves
//! them to others. [`crate::core::relay`] decides who asks whom.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::Full;
use prost::Message as _;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    core::{batch::Record, relay, time::Time},
    entry::{
        held::Held,
        peers,
        shared::{JOBS, Shared},
        store::{Partition, Records},
    },
};

/// Prefix of the path of a snapshot; topic and partition follow.
pub const PATH: &str = "/newest/";
/// Prefix of the path of a snapshot from an instance that has read all of the
/// partition; topic and partition follow.
pub const HELD_PATH: &str = "/held/";
/// Number of instances that are asked for such a snapshot: others may be starting
/// as well, or be off.
const MAX_HOLDERS: usize = 3;
/// Timeout of their responses.
const HELD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum age of a snapshot that is served, in milliseconds: about as long as
/// many instances take to read it. It takes memory meanwhile, and the store
/// keeps the records that follow it for only twenty seconds.
const CACHE_MS: u64 = 8_000;
/// How long a request waits while this instance is itself reading.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// Time without progress after which the asked instance counts as failed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How long an instance that is itself reading is asked before the store is
/// read instead. The time is multiplied by this instance's depth in the tree,
/// as each parent may wait for its own.
const PARENT_TIMEOUT: Duration = Duration::from_millis(6_000);
/// How long a start waits until any member is known.
const FIRST_MEMBER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a start waits until most members show up. This takes several reads
/// of the group, which all others read too.
const ALL_MEMBERS_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Interval between checks of the members.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a peer's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A record in a [`Snapshot`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct SnapshotRecord {
    #[prost(uint64, tag = "1")]
    offset: u64,
    #[prost(string, tag = "2")]
    key: String,
    #[prost(bytes = "bytes", tag = "3")]
    value: Bytes,
}

/// The newest records of a partition.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Snapshot {
    /// The partition's end when they were read.
    #[prost(uint64, tag = "1")]
    end: u64,
    #[prost(message, repeated, tag = "2")]
    records: Vec<SnapshotRecord>,
    /// Keys whose newest record lies at or beyond the end.
    #[prost(string, repeated, tag = "3")]
    beyond: Vec<String>,
}

impl Snapshot {
    fn new(read: &Records) -> Snapshot {
        let beyond = read.beyond.clone();
        Snapshot { beyond, ..Snapshot::of(read.end, &read.records) }
    }

    fn of<'a>(end: u64, records: impl IntoIterator<Item = &'a Record>) -> Snapshot {
        let encode = |record: &Record| SnapshotRecord {
            offset: record.offset,
            key: record.key.clone(),
            value: record.value.clone().unwrap_or_default(),
        };
        Snapshot { end, records: records.into_iter().map(encode).collect(), beyond: vec![] }
    }

    fn into_records(self) -> Records {
        let decode = |record: SnapshotRecord| Record {
            offset: record.offset,
            key: record.key,
            value: Some(record.value),
        };
        Records {
            end: self.end,
            records: self.records.into_iter().map(decode).collect(),
            beyond: self.beyond,
        }
    }
}

struct CachedSnapshot {
    body: Bytes,
    /// When the store was asked for it.
    known_at: Time,
}

/// Snapshots that were read recently and are served to other instances.
#[derive(Default)]
pub struct Relay {
    cached: RefCell<HashMap<Partition, CachedSnapshot>>,
    changed: Notify,
    /// What instances that start later may take.
    pub held: Held,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("cached", &self.cached.borrow().len()).finish_non_exhaustive()
    }
}

impl Relay {
    /// Evicts snapshots that are too old to be served.
    pub fn expire(&self, now: Time) {
        self.cached.borrow_mut().retain(|_, cached| now.since(cached.known_at) < CACHE_MS);
        self.held.expire(now);
    }

    fn get(&self, now: Time, part: &Partition) -> Option<(Bytes, u64)> {
        let cached = self.cached.borrow();
        let cached = cached.get(part)?;
        let age_ms = now.since(cached.known_at);
        (age_ms < CACHE_MS).then(|| (cached.body.clone(), age_ms))
    }
}

/// Caches a snapshot of a partition, for which the store was asked at `known_at`,
/// for other instances of the failure domain, if any of them uses this one.
pub fn keep(shared: &Shared, part: &Partition, read: &Records, known_at: Time) {
    if relay::has_relays(shared.control.borrow().roster.members(), &shared.instance_id) {
        let body = Bytes::from(Snapshot::new(read).encode_to_vec());
        let cached = CachedSnapshot { body, known_at };
        shared.relay.cached.borrow_mut().insert(part.clone(), cached);
    }
    shared.relay.changed.notify_waiters();
}

/// Fetches a snapshot of a partition from another instance, with the time at which
/// the store was asked for it; `None` if this instance must read the store.
pub async fn fetch(shared: &Rc<Shared>, part: &Partition) -> Option<(Records, Time)> {
    wait_for_members(shared).await;
    update_holder(shared);
    if part.topic == JOBS
        && let Some(held) = fetch_held(shared, part).await
    {
        return Some(held);
    }
    let depth = {
        let control = shared.control.borrow();
        relay::depth(control.roster.members(), &shared.instance_id)
    };
    let until = Instant::now() + PARENT_TIMEOUT * depth;
    while Instant::now() < until {
        // Determined for each request: the members may have changed.
        let parent = {
            let control = shared.control.borrow();
            relay::parent(control.roster.members(), &shared.instance_id).map(str::to_owned)
        }?;
        match fetch_from(shared, PATH, part, &parent, IDLE_TIMEOUT).await {
            Ok(Some((records, known_at))) => {
                log_taken(part, &parent, &records, shared.now().since(known_at));
                return Some((records, known_at));
            }
            Ok(None) => {}
            Err(why) => {
                log::info!("fetching {}/{} from {parent} failed: {why}", part.topic, part.number);
                return None;
            }
        }
    }
    None
}

/// Determines whether this instance holds records for others.
pub fn update_holder(shared: &Shared) {
    let is_holder = {
        let control = shared.control.borrow();
        relay::is_holder(control.roster.members(), &shared.instance_id)
    };
    shared.relay.held.set_holder(is_holder);
}

/// Takes the partitions that this instance should hold for others, and has read
/// before it was to hold any, from those that hold them.
pub fn take_missing(shared: &Rc<Shared>) {
    for number in 0..shared.partition_changed.len() {
        let next = {
            let partition = &shared.control.borrow().partitions[number];
            partition.loaded.then_some(partition.next)
        };
        if let Some(next) = next
            && shared.relay.held.begin_partial(number, next)
        {
            tokio::task::spawn_local(take(shared.clone(), number, next));
        }
    }
}

/// Takes a partition of which all records from the offset `next` on are collected
/// here.
async fn take(shared: Rc<Shared>, number: usize, next: u64) {
    let part = Partition::at(JOBS, number);
    let taken = fetch_held(&shared, &part).await.filter(|(records, _)| records.end >= next);
    if let Some((records, _)) = &taken {
        log::info!("{JOBS}/{number} is held for others: {} records", records.records.len());
    }
    shared.relay.held.complete(number, taken.map(|(records, _)| records.records));
}

/// Fetches a snapshot from an instance that has read all of a partition before;
/// `None` if none was found.
async fn fetch_held(shared: &Rc<Shared>, part: &Partition) -> Option<(Records, Time)> {
    let holders: Vec<String> = {
        let control = shared.control.borrow();
        let holders = relay::holders(control.roster.members(), &shared.instance_id);
        holders.into_iter().take(MAX_HOLDERS).map(str::to_owned).collect()
    };
    for holder in holders {
        match fetch_from(shared, HELD_PATH, part, &holder, HELD_TIMEOUT).await {
            Ok(Some((records, known_at))) => {
                log_taken(part, &holder, &records, shared.now().since(known_at));
                return Some((records, known_at));
            }
            Ok(None) => {}
            Err(why) => log::info!("{holder} holds no {}/{}: {why}", part.topic, part.number),
        }
    }
    None
}

fn log_taken(part: &Partition, from: &str, taken: &Records, age_ms: u64) {
    let (topic, number, count) = (&part.topic, part.number, taken.records.len());
    log::info!("{topic}/{number} taken from {from}: {count} records, {age_ms} ms old");
}

/// Answers a peer's request for a snapshot of a partition that this instance has
/// read and follows; 503 if it has not. An old snapshot is sent as well: records keep
/// their offsets, and nothing is begun before the store was asked for what follows.
/// If starting instances read all jobs instead while the store is crowded, it would
/// stay so.
pub fn respond_held(shared: &Shared, path: &str) -> Response<Full<Bytes>> {
    let Some(part) = parse_path(shared, HELD_PATH, path).filter(|part| part.topic == JOBS) else {
        return peers::empty_response(StatusCode::NOT_FOUND);
    };
    let (now, number) = (shared.now(), part.number as usize);
    let held = {
        let control = shared.control.borrow();
        let partition = &control.partitions[number];
        partition.read_at.and_then(|known_at| {
            shared.relay.held.snapshot(number, known_at, |records| {
                Snapshot::of(partition.next, records).encode_to_vec().into()
            })
        })
    };
    match held {
        Some(held) => snapshot_response(held.body, now.since(held.known_at)),
        None => peers::empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn snapshot_response(body: Bytes, age_ms: u64) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    // Its unit is a second; it is never less than the age.
    response.headers_mut().insert(header::AGE, age_ms.div_ceil(1_000).into());
    response
}

/// Waits until the members are known. An instance that decided earlier would
/// see few others and read the store itself, as all of them would.
async fn wait_for_members(shared: &Shared) {
    let started = Instant::now();
    loop {
        let (is_settled, is_known) = {
            let control = shared.control.borrow();
            (control.group_size.is_settled(), !control.roster.members().is_empty())
        };
        let timeout = if is_known { ALL_MEMBERS_TIMEOUT } else { FIRST_MEMBER_TIMEOUT };
        if is_settled || started.elapsed() >= timeout {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends one request; `None` if the other instance is itself still reading.
async fn fetch_from(
    shared: &Rc<Shared>,
    prefix: &str,
    part: &Partition,
    parent: &str,
    limit: Duration,
) -> Result<Option<(Records, Time)>, String> {
    let path = format!("{prefix}{}/{}", part.topic, part.number);
    // The time that the answer takes counts as part of the snapshot's age.
    let requested_at = shared.now();
    let answer = peers::get(shared, parent, &path, limit).await?;
    let (status, age) = (answer.head.status, answer.header(&header::AGE).map(str::to_owned));
    let body = answer.read_body_with_idle_timeout(MAX_RESPONSE_BYTES, IDLE_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    match status {
        StatusCode::OK => {
            let age = age.and_then(|age| age.parse::<u64>().ok()).ok_or("no age")?;
            let known_at = requested_at.before(age.saturating_mul(1_000));
            let known_at = known_at.ok_or_else(|| format!("an age of {age} s"))?;
            let snapshot = Snapshot::decode(body).map_err(|error| error.to_string())?;
            Ok(Some((snapshot.into_records(), known_at)))
        }
        StatusCode::SERVICE_UNAVAILABLE => Ok(None),
        other => Err(other.to_string()),
    }
}

/// Answers a peer's request for a snapshot of a partition. The snapshot is sent
/// if it is cached, or once it is read if this instance is still reading;
/// otherwise it was read too long ago, and the answer is 404.
pub async fn respond(shared: &Rc<Shared>, path: &str) -> Response<Full<Bytes>> {
    let Some(part) = parse_path(shared, PATH, path) else {
        return peers::empty_response(StatusCode::NOT_FOUND);
    };
    let until = Instant::now() + LONG_POLL;
    loop {
        let changed = shared.relay.changed.notified();
        if let Some((body, age_ms)) = shared.relay.get(shared.now(), &part) {
            return snapshot_response(body, age_ms);
        }
        if is_read(shared, &part) {
            return peers::empty_response(StatusCode::NOT_FOUND);
        }
        if timeout_at(until, changed).await.is_err() {
            return peers::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// Whether snapshots of a partition are fetched from other instances: those
/// that are large at a start.
#[must_use]
pub fn is_relayed(shared: &Shared, part: &Partition) -> bool {
    part.topic == JOBS || part.topic == shared.codec.announcements
}

/// Whether this instance has read a relayed partition.
fn is_read(shared: &Shared, part: &Partition) -> bool {
    let control = shared.control.borrow();
    match part.topic == JOBS {
        true => control.partitions[part.number as usize].loaded,
        false => control.fleet_loaded,
    }
}

/// Parses a path into the relayed partition that it names.
fn parse_path(shared: &Shared, prefix: &str, path: &str) -> Option<Partition> {
    let (topic, number) = path.strip_prefix(prefix)?.rsplit_once('/')?;
    let part = Partition::new(topic, number.parse().ok()?);
    let parts = if topic == JOBS { shared.partition_changed.len() } else { 1 };
    (is_relayed(shared, &part) && (part.number as usize) < parts).then_some(part)
}

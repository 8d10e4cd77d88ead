//! Taking a partition's newest records from another instance, and handing
//! them on: what [`crate::core::relay`] decides is carried out here.

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
        peers,
        shared::{JOBS, Shared},
        store::{Partition, Records},
    },
};

/// What the path of a partition's newest records begins with.
pub const PATH: &str = "/newest/";
/// How long what was read is handed on, in milliseconds: about as long as a
/// crowd takes to read it. It takes memory meanwhile, and the store keeps the
/// records that follow it for twenty seconds.
const CACHE_MS: u64 = 8_000;
/// How long an instance that is reading itself keeps whoever asks.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// Silence after which the instance that is asked is taken for lost.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How long another instance that is reading itself is asked before the store
/// is read after all, for each step from there: it waits for the one before it.
const PARENT_TIMEOUT: Duration = Duration::from_millis(6_000);
/// How long a start waits to learn that anybody lives.
const FIRST_MEMBER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long it waits until most members show: several readings of a group that
/// all others read too.
const ALL_MEMBERS_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Pause between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest answer of a peer.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A record on its way between instances.
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
    /// Keys whose newest record lies beyond the end.
    #[prost(string, repeated, tag = "3")]
    beyond: Vec<String>,
}

impl Snapshot {
    fn new(read: &Records) -> Snapshot {
        let record = |record: &Record| SnapshotRecord {
            offset: record.offset,
            key: record.key.clone(),
            value: record.value.clone().unwrap_or_default(),
        };
        Snapshot {
            end: read.end,
            records: read.records.iter().map(record).collect(),
            beyond: read.beyond.clone(),
        }
    }

    fn into_records(self) -> Records {
        let record = |record: SnapshotRecord| Record {
            offset: record.offset,
            key: record.key,
            value: Some(record.value),
        };
        Records {
            end: self.end,
            records: self.records.into_iter().map(record).collect(),
            beyond: self.beyond,
        }
    }
}

struct CachedSnapshot {
    body: Bytes,
    /// How old it was when it was kept, and when that was.
    age_ms: u64,
    cached_at: Time,
}

impl CachedSnapshot {
    fn age_ms(&self, now: Time) -> u64 {
        self.age_ms + now.since(self.cached_at)
    }
}

/// What was read lately and is handed on.
#[derive(Default)]
pub struct Relay {
    cached: RefCell<HashMap<Partition, CachedSnapshot>>,
    changed: Notify,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("cached", &self.cached.borrow().len()).finish_non_exhaustive()
    }
}

impl Relay {
    /// Drops what is too old to be handed on.
    pub fn expire(&self, now: Time) {
        self.cached.borrow_mut().retain(|_, cached| cached.age_ms(now) < CACHE_MS);
    }

    fn get(&self, now: Time, part: &Partition) -> Option<(Bytes, u64)> {
        let cached = self.cached.borrow();
        let cached = cached.get(part)?;
        let age_ms = cached.age_ms(now);
        (age_ms < CACHE_MS).then(|| (cached.body.clone(), age_ms))
    }
}

/// Keeps a partition's newest records, so old by now, for others of the
/// failure domain.
pub fn keep(shared: &Shared, part: &Partition, read: &Records, age_ms: u64) {
    if relay::has_relays(shared.control.borrow().roster.members(), &shared.instance_id) {
        let body = Bytes::from(Snapshot::new(read).encode_to_vec());
        let cached = CachedSnapshot { body, age_ms, cached_at: shared.now() };
        shared.relay.cached.borrow_mut().insert(part.clone(), cached);
    }
    shared.relay.changed.notify_waiters();
}

/// The newest records of a partition from another instance, and how long ago
/// they were read from the store, in milliseconds; `None` if this one is to
/// read the store.
pub async fn fetch(shared: &Rc<Shared>, part: &Partition) -> Option<(Records, u64)> {
    wait_for_members(shared).await;
    let depth = {
        let control = shared.control.borrow();
        relay::depth(control.roster.members(), &shared.instance_id)
    };
    let until = Instant::now() + PARENT_TIMEOUT * depth;
    while Instant::now() < until {
        // Asked each time: the members may be another's by now.
        let parent = {
            let control = shared.control.borrow();
            relay::parent(control.roster.members(), &shared.instance_id).map(str::to_owned)
        }?;
        match fetch_from(shared, part, &parent).await {
            Ok(Some((records, age_ms))) => {
                log::info!(
                    "{}/{} taken from {parent}: {} records, {age_ms} ms old",
                    part.topic,
                    part.number,
                    records.records.len()
                );
                return Some((records, age_ms));
            }
            Ok(None) => {}
            Err(why) => {
                log::info!("{}/{} is not to be had from {parent}: {why}", part.topic, part.number);
                return None;
            }
        }
    }
    None
}

/// Waits until it is known who else may be starting: whoever decides earlier
/// sees few others, and reads the store like all of them.
async fn wait_for_members(shared: &Shared) {
    let started = Instant::now();
    loop {
        let (is_settled, is_known) = {
            let control = shared.control.borrow();
            (control.group_size.is_settled(), !control.roster.members().is_empty())
        };
        let most = if is_known { ALL_MEMBERS_TIMEOUT } else { FIRST_MEMBER_TIMEOUT };
        if is_settled || started.elapsed() >= most {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Asks once; `None` if the other instance is still reading itself.
async fn fetch_from(
    shared: &Rc<Shared>,
    part: &Partition,
    parent: &str,
) -> Result<Option<(Records, u64)>, String> {
    let path = format!("{PATH}{}/{}", part.topic, part.number);
    let answer = peers::get(shared, parent, &path, IDLE_TIMEOUT).await?;
    let (status, age) = (answer.head.status, answer.header(&header::AGE).map(str::to_owned));
    let body = answer.read_body_with_idle_timeout(MAX_RESPONSE_BYTES, IDLE_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    match status {
        StatusCode::OK => {
            let age = age.and_then(|age| age.parse::<u64>().ok()).ok_or("no age")?;
            let snapshot = Snapshot::decode(body).map_err(|error| error.to_string())?;
            // The header counts whole seconds, rounded up.
            Ok(Some((snapshot.into_records(), age * 1_000)))
        }
        StatusCode::SERVICE_UNAVAILABLE => Ok(None),
        other => Err(other.to_string()),
    }
}

/// Answers a peer that asks for a partition's newest records: with what was
/// read lately, once it is read if this instance is reading itself, or not at
/// all if it was read long ago.
pub async fn respond(shared: &Rc<Shared>, path: &str) -> Response<Full<Bytes>> {
    let Some(part) = parse_path(shared, path) else {
        return peers::empty_response(StatusCode::NOT_FOUND);
    };
    let until = Instant::now() + LONG_POLL;
    loop {
        let changed = shared.relay.changed.notified();
        if let Some((body, age_ms)) = shared.relay.get(shared.now(), &part) {
            let mut response = Response::new(Full::new(body));
            response.headers_mut().insert(header::AGE, age_ms.div_ceil(1_000).into());
            return response;
        }
        if is_read(shared, &part) {
            return peers::empty_response(StatusCode::NOT_FOUND);
        }
        if timeout_at(until, changed).await.is_err() {
            return peers::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// Whether a partition's newest records are taken from other instances: what
/// is large at a start.
#[must_use]
pub fn is_relayed(shared: &Shared, part: &Partition) -> bool {
    part.topic == JOBS || part.topic == shared.codec.announcements
}

/// Whether a relayed partition was read from its beginning.
fn is_read(shared: &Shared, part: &Partition) -> bool {
    let control = shared.control.borrow();
    match part.topic == JOBS {
        true => control.partitions[part.number as usize].loaded,
        false => control.fleet_loaded,
    }
}

/// The relayed partition that a path names.
fn parse_path(shared: &Shared, path: &str) -> Option<Partition> {
    let (topic, number) = path.strip_prefix(PATH)?.rsplit_once('/')?;
    let part = Partition::new(topic, number.parse().ok()?);
    let parts = if topic == JOBS { shared.partition_changed.len() } else { 1 };
    (is_relayed(shared, &part) && (part.number as usize) < parts).then_some(part)
}

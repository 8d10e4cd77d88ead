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
        store::{Part, Records},
    },
};

/// What the path of a partition's newest records begins with.
pub const PATH: &str = "/newest/";
/// How long what was read is handed on, in milliseconds: about as long as a
/// crowd takes to read it. It takes memory meanwhile, and the store keeps the
/// records that follow it for twenty seconds.
const KEEP_MS: u64 = 8_000;
/// How long an instance that is reading itself keeps whoever asks.
const HOLD: Duration = Duration::from_millis(1_000);
/// Silence after which the instance that is asked is taken for lost.
const SILENCE: Duration = Duration::from_millis(1_300);
/// How long another instance that is reading itself is asked before the store
/// is read after all, for each step from there: it waits for the one before it.
const PATIENCE: Duration = Duration::from_millis(6_000);
/// How long a start waits to learn that anybody lives.
const MEMBERS: Duration = Duration::from_millis(500);
/// How long it waits until most members show: several readings of a group that
/// all others read too.
const SETTLED: Duration = Duration::from_millis(6_000);
/// Pause between looks.
const LOOK: Duration = Duration::from_millis(20);
/// Largest answer of a peer.
const BYTES: usize = 64 << 20;

/// A record on its way between instances.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Relayed {
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
    records: Vec<Relayed>,
    /// Keys whose newest record lies beyond the end.
    #[prost(string, repeated, tag = "3")]
    beyond: Vec<String>,
}

impl Snapshot {
    fn new(read: &Records) -> Snapshot {
        let relayed = |record: &Record| Relayed {
            offset: record.offset,
            key: record.key.clone(),
            value: record.value.clone().unwrap_or_default(),
        };
        Snapshot {
            end: read.end,
            records: read.records.iter().map(relayed).collect(),
            beyond: read.beyond.clone(),
        }
    }

    fn into_records(self) -> Records {
        let record = |relayed: Relayed| Record {
            offset: relayed.offset,
            key: relayed.key,
            value: Some(relayed.value),
        };
        Records {
            end: self.end,
            records: self.records.into_iter().map(record).collect(),
            beyond: self.beyond,
        }
    }
}

struct Kept {
    body: Bytes,
    /// How old it was when it was kept, and when that was.
    age_ms: u64,
    kept_at: Time,
}

impl Kept {
    fn age_ms(&self, now: Time) -> u64 {
        self.age_ms + now.since(self.kept_at)
    }
}

/// What was read lately and is handed on.
#[derive(Default)]
pub struct Relay {
    kept: RefCell<HashMap<Part, Kept>>,
    changed: Notify,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("kept", &self.kept.borrow().len()).finish_non_exhaustive()
    }
}

impl Relay {
    /// Drops what is too old to be handed on.
    pub fn expire(&self, now: Time) {
        self.kept.borrow_mut().retain(|_, kept| kept.age_ms(now) < KEEP_MS);
    }

    fn get(&self, now: Time, part: &Part) -> Option<(Bytes, u64)> {
        let kept = self.kept.borrow();
        let kept = kept.get(part)?;
        let age_ms = kept.age_ms(now);
        (age_ms < KEEP_MS).then(|| (kept.body.clone(), age_ms))
    }
}

/// Keeps a partition's newest records, so old by now, for others of the
/// failure domain.
pub fn keep(shared: &Shared, part: &Part, read: &Records, age_ms: u64) {
    if relay::is_used(shared.world.borrow().roster.members(), &shared.me) {
        let body = Bytes::from(Snapshot::new(read).encode_to_vec());
        let kept = Kept { body, age_ms, kept_at: shared.now() };
        shared.relay.kept.borrow_mut().insert(part.clone(), kept);
    }
    shared.relay.changed.notify_waiters();
}

/// The newest records of a partition from another instance, and how long ago
/// they were read from the store, in milliseconds; `None` if this one is to
/// read the store.
pub async fn ask(shared: &Rc<Shared>, part: &Part) -> Option<(Records, u64)> {
    know_members(shared).await;
    let depth = {
        let world = shared.world.borrow();
        relay::depth(world.roster.members(), &shared.me)
    };
    let until = Instant::now() + PATIENCE * depth;
    while Instant::now() < until {
        // Asked each time: the members may be another's by now.
        let parent = {
            let world = shared.world.borrow();
            relay::parent(world.roster.members(), &shared.me).map(str::to_owned)
        }?;
        match ask_once(shared, part, &parent).await {
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
async fn know_members(shared: &Shared) {
    let started = Instant::now();
    loop {
        let (is_settled, is_known) = {
            let world = shared.world.borrow();
            (world.census.is_settled(), !world.roster.members().is_empty())
        };
        let most = if is_known { SETTLED } else { MEMBERS };
        if is_settled || started.elapsed() >= most {
            return;
        }
        sleep(LOOK).await;
    }
}

/// Asks once; `None` if the other instance is still reading itself.
async fn ask_once(
    shared: &Rc<Shared>,
    part: &Part,
    parent: &str,
) -> Result<Option<(Records, u64)>, String> {
    let path = format!("{PATH}{}/{}", part.topic, part.number);
    let answer = peers::get(shared, parent, &path, SILENCE).await?;
    let (status, age) = (answer.head.status, answer.header(&header::AGE).map(str::to_owned));
    let body = answer.read_body_with_idle_timeout(BYTES, SILENCE).await;
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
pub async fn answer(shared: &Rc<Shared>, path: &str) -> Response<Full<Bytes>> {
    let Some(part) = named(shared, path) else {
        return peers::nothing(StatusCode::NOT_FOUND);
    };
    let until = Instant::now() + HOLD;
    loop {
        let changed = shared.relay.changed.notified();
        if let Some((body, age_ms)) = shared.relay.get(shared.now(), &part) {
            let mut response = Response::new(Full::new(body));
            response.headers_mut().insert(header::AGE, age_ms.div_ceil(1_000).into());
            return response;
        }
        if is_read(shared, &part) {
            return peers::nothing(StatusCode::NOT_FOUND);
        }
        if timeout_at(until, changed).await.is_err() {
            return peers::nothing(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// Whether a partition's newest records are taken from other instances: what
/// is large at a start.
#[must_use]
pub fn is_relayed(shared: &Shared, part: &Part) -> bool {
    part.topic == JOBS || part.topic == shared.codec.announcements
}

/// Whether a relayed partition was read from its beginning.
fn is_read(shared: &Shared, part: &Part) -> bool {
    let world = shared.world.borrow();
    match part.topic == JOBS {
        true => world.shelves[part.number as usize].loaded,
        false => world.fleet_known,
    }
}

/// The relayed partition that a path names.
fn named(shared: &Shared, path: &str) -> Option<Part> {
    let (topic, number) = path.strip_prefix(PATH)?.rsplit_once('/')?;
    let part = Part::new(topic, number.parse().ok()?);
    let parts = if topic == JOBS { shared.listed.len() } else { 1 };
    (is_relayed(shared, &part) && (part.number as usize) < parts).then_some(part)
}

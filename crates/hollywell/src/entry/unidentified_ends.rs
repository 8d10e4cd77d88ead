//! Ends of jobs whose callers can't be identified yet, because no configuration
//! that is new enough was read. They are held in memory only, with the caller's
//! key, which is neither logged nor stored, here and at peers.
//!
//! If an older configuration names the caller, the jobs that it may end stop
//! meanwhile at all instances, and run again if it turns out that the key is not
//! valid any more. An end is only stored once its caller is identified.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fmt,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, header};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use prost::Message as _;
use tokio::time::sleep;

use crate::{
    core::{
        batch::{self, End},
        organisation::Caller,
        time::Time,
    },
    entry::{
        caller::{self, Identity},
        ends, jobs, peers,
        shared::Shared,
    },
};

/// The path on which peers pass such ends on.
pub(super) const PATH: &str = "/unidentified-ends";

/// Maximum number of ends that are held.
const MAX_HELD: usize = 1_024;
/// Maximum number of them whose callers no configuration at hand names: keys can be
/// invented.
const MAX_UNKNOWN: usize = MAX_HELD / 2;
/// Maximum size of a caller's host and keys, in bytes. A longer key is not valid.
const MAX_CALLER_BYTES: usize = 4_096;
/// Longest time that an end is held, in milliseconds.
const HOLD_MS: u64 = 600_000;
/// Interval between checks of a held end.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of peers that hold an end whose caller no instance knows.
const MAX_KEEPERS: usize = 2;
/// Number of peers that are told of an end at a time; the first ones may identify
/// the caller.
const FIRST_PEERS: usize = 3;
/// The same once those have not identified the caller.
const PEERS_PER_ROUND: usize = 16;
/// Maximum number of such messages that are sent at a time, of all ends.
const MAX_IN_FLIGHT: usize = 128;
/// Interval between messages to a peer that does not confirm, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// An end whose caller the sender can't identify.
#[derive(Clone, PartialEq, Eq, prost::Message)]
#[prost(skip_debug)]
struct UnidentifiedEnd {
    /// The sender.
    #[prost(string, tag = "1")]
    by: String,
    /// The host of the caller's request.
    #[prost(string, tag = "2")]
    host: String,
    /// The values of its `Authorization` headers.
    #[prost(bytes = "bytes", repeated, tag = "3")]
    keys: Vec<Bytes>,
    /// The job.
    #[prost(string, tag = "4")]
    job: String,
    /// How long ago the end was requested, in milliseconds.
    #[prost(uint64, tag = "5")]
    age_ms: u64,
    /// The sender tells all instances. Otherwise it can't say whose key it is, and
    /// a receiver that can tells them.
    #[prost(bool, tag = "6")]
    is_told_to_all: bool,
}

impl fmt::Debug for UnidentifiedEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UnidentifiedEnd").field("job", &self.job).finish_non_exhaustive()
    }
}

/// What a caller requested. Contains its keys, and is therefore not printed.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Asked {
    job: String,
    host: String,
    keys: Vec<Bytes>,
}

impl Asked {
    fn new(host: String, headers: &HeaderMap, job: String) -> Asked {
        let keys = headers.get_all(header::AUTHORIZATION).iter();
        let keys = keys.map(|key| Bytes::copy_from_slice(key.as_bytes())).collect();
        Asked { job, host, keys }
    }

    fn is_valid(&self) -> bool {
        let bytes = self.host.len() + self.keys.iter().map(Bytes::len).sum::<usize>();
        batch::is_id(&self.job) && bytes <= MAX_CALLER_BYTES
    }

    /// The caller's headers; `None` if they are not valid.
    fn headers(&self) -> Option<HeaderMap> {
        let mut headers = HeaderMap::new();
        for key in &self.keys {
            headers.append(header::AUTHORIZATION, HeaderValue::from_bytes(key).ok()?);
        }
        Some(headers)
    }
}

/// A held end.
struct Held {
    asked: Asked,
    headers: HeaderMap,
    /// When the end was requested.
    since: Time,
    /// The peer that takes care of the end; `None` if this instance does.
    cared_by: RefCell<Option<String>>,
    /// The peers that have confirmed the end.
    confirmed: RefCell<BTreeSet<String>>,
    /// When other peers were last told.
    told_at: RefCell<BTreeMap<String, Time>>,
    /// The end as an older configuration has it, for which the job is stopped.
    presumed: RefCell<Option<End>>,
}

/// The ends that are held.
#[derive(Default)]
pub struct UnidentifiedEnds {
    held: RefCell<BTreeMap<Asked, Rc<Held>>>,
    in_flight: Cell<usize>,
}

impl fmt::Debug for UnidentifiedEnds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UnidentifiedEnds")
            .field("held", &self.held.borrow().len())
            .finish_non_exhaustive()
    }
}

/// A peer's reaction to an end that it was told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reaction {
    /// It has identified the caller and ends the job.
    Taken,
    /// It holds the end too.
    Held,
    /// Its configuration is current and does not allow the request.
    Refused,
    /// It does not hold the end.
    None,
}

/// Holds an end until its caller is identified, for a limited time, and ends the
/// job if the caller may. Returns false if the end is not held.
pub(super) fn hold(shared: &Rc<Shared>, host: String, headers: &HeaderMap, job: String) -> bool {
    add(shared, Asked::new(host, headers, job), shared.now(), None)
}

fn add(shared: &Rc<Shared>, asked: Asked, since: Time, cared_by: Option<String>) -> bool {
    let held = {
        let mut all = shared.unidentified_ends.held.borrow_mut();
        if all.contains_key(&asked) {
            return true;
        }
        let Some(headers) = asked.headers().filter(|_| asked.is_valid() && all.len() < MAX_HELD)
        else {
            return false;
        };
        let identity = caller::identify_now(shared, &asked.host, &headers);
        let unknown = all.values().filter(|held| held.presumed.borrow().is_none());
        if identity == Identity::Unknown && unknown.count() >= MAX_UNKNOWN {
            return false;
        }
        let held = Rc::new(Held {
            asked: asked.clone(),
            headers,
            since,
            cared_by: RefCell::new(cared_by),
            confirmed: RefCell::default(),
            told_at: RefCell::default(),
            presumed: RefCell::default(),
        });
        all.insert(asked, held.clone());
        held
    };
    log::info!("end of job {} waits until its caller is identified", held.asked.job);
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        settle(&shared, &held).await;
        shared.unidentified_ends.held.borrow_mut().remove(&held.asked);
        resume(&shared, &held);
    });
    true
}

/// Waits until the caller of a held end is identified, and ends the job if the
/// caller may.
async fn settle(shared: &Rc<Shared>, held: &Rc<Held>) {
    let job = &held.asked.job;
    let mut checked = None;
    while shared.now().since(held.since) < HOLD_MS {
        let read_at = shared.control.borrow().configuration_read_at;
        // A configuration says no more as it gets older.
        if checked != Some(read_at) {
            checked = Some(read_at);
            match caller::identify_now(shared, &held.asked.host, &held.headers) {
                Identity::Known(caller) => return end(shared, held, caller).await,
                Identity::Refused(kind) => {
                    log::info!("end of job {job} is dropped: {}", kind.as_str());
                    return;
                }
                Identity::Presumed(caller) => stop(shared, held, caller),
                Identity::Unknown => {}
            }
        }
        if tell_peers(shared, held).await == Reaction::Refused {
            log::info!("end of job {job} is dropped: a peer knows that its caller may not end it");
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
    log::warn!("end of job {job} is dropped: its caller was not identified in time");
}

/// Ends the job of a held end whose caller was identified.
async fn end(shared: &Rc<Shared>, held: &Held, caller: Caller) {
    let job = held.asked.job.clone();
    let cared_by = held.cared_by.borrow().clone();
    match cared_by {
        Some(by) => {
            let age_ms = shared.now().since(held.since);
            ends::hold_by_peer(shared, by, End { job, by: caller }, age_ms);
        }
        None => {
            let _answered_before = jobs::end(shared, &caller, &job).await;
        }
    }
}

/// Stops the job of a held end here, whose caller an older configuration names. One
/// that the caller may not end is not stopped.
fn stop(shared: &Rc<Shared>, held: &Held, caller: Caller) {
    let end = End { job: held.asked.job.clone(), by: caller };
    if held.presumed.borrow().as_ref() == Some(&end) {
        return;
    }
    resume(shared, held);
    let part = shared.partition_of(&end.job);
    let is_stopped = {
        let control = &mut *shared.control.borrow_mut();
        *control.presumed_ends.entry(end.clone()).or_insert(0) += 1;
        control.is_end_presumed(part, &end.job)
    };
    if is_stopped {
        log::info!("job {} is stopped until the caller of its end is identified", end.job);
        shared.close_job(&end.job);
    }
    *held.presumed.borrow_mut() = Some(end);
}

/// Lets a job run again that was stopped for a held end, unless it has ended.
fn resume(shared: &Rc<Shared>, held: &Held) {
    let Some(end) = held.presumed.borrow_mut().take() else {
        return;
    };
    let part = shared.partition_of(&end.job);
    {
        let control = &mut *shared.control.borrow_mut();
        if let Some(count) = control.presumed_ends.get_mut(&end) {
            *count -= 1;
            if *count == 0 {
                control.presumed_ends.remove(&end);
            }
        }
    }
    // Nothing was stopped if the caller may not end the job.
    let is_closed = {
        let control = shared.control.borrow();
        let job = control.partitions[part].index.jobs.get(&end.job);
        job.is_some_and(|job| end.is_allowed(&job.manifest.organisation))
            && !control.unopened_jobs.contains(&end.job)
    };
    if is_closed {
        shared.open_job(part, end.job);
    }
}

/// Tells some peers of a held end if that is up to this instance, and returns what
/// settles the end, if anything does.
async fn tell_peers(shared: &Rc<Shared>, held: &Rc<Held>) -> Reaction {
    if held.cared_by.borrow().is_some() {
        return Reaction::None;
    }
    let mut tasks = Vec::new();
    for member in next_peers(shared, held) {
        let (shared, held, to) = (shared.clone(), held.clone(), member.clone());
        let sending = async move { tell(&shared, &held, &to).await };
        tasks.push((member, tokio::task::spawn_local(sending)));
    }
    let mut settled = Reaction::None;
    for (member, task) in tasks {
        let reaction = task.await.unwrap_or_else(|error| {
            log::error!("a task that tells a peer of an end failed: {error}");
            Reaction::None
        });
        match reaction {
            Reaction::Taken => {
                held.confirmed.borrow_mut().insert(member.clone());
                // The job stays stopped here until its end, or a configuration, is read.
                *held.cared_by.borrow_mut() = Some(member);
            }
            Reaction::Held => drop(held.confirmed.borrow_mut().insert(member)),
            Reaction::Refused => settled = Reaction::Refused,
            Reaction::None => {}
        }
    }
    settled
}

/// The peers that have to be told of an end next.
fn next_peers(shared: &Shared, held: &Held) -> Vec<String> {
    let now = shared.now();
    let (confirmed, mut told_at) = (held.confirmed.borrow(), held.told_at.borrow_mut());
    let is_presumed = held.presumed.borrow().is_some();
    if !is_presumed && confirmed.len() >= MAX_KEEPERS {
        return vec![];
    }
    let max = if told_at.is_empty() { FIRST_PEERS } else { PEERS_PER_ROUND };
    let max = max.min(MAX_IN_FLIGHT.saturating_sub(shared.unidentified_ends.in_flight.get()));
    let is_due = |member: &String| {
        !confirmed.contains(member)
            && told_at.get(member).is_none_or(|at| now.since(*at) >= REPEAT_MS)
    };
    let mut due = peers::random_peers(shared, usize::MAX);
    due.retain(is_due);
    due.truncate(max);
    told_at.extend(due.iter().map(|member| (member.clone(), now)));
    due
}

async fn tell(shared: &Shared, held: &Held, member: &str) -> Reaction {
    let Asked { job, host, keys } = held.asked.clone();
    let message = UnidentifiedEnd {
        by: shared.instance_id.clone(),
        host,
        keys,
        job,
        age_ms: shared.now().since(held.since),
        is_told_to_all: held.presumed.borrow().is_some(),
    };
    let in_flight = &shared.unidentified_ends.in_flight;
    in_flight.set(in_flight.get() + 1);
    let status = peers::exchange(shared, member, PATH, message.encode_to_vec().into()).await;
    in_flight.set(in_flight.get() - 1);
    match status {
        Ok(StatusCode::OK) => Reaction::Taken,
        Ok(StatusCode::ACCEPTED) => Reaction::Held,
        Ok(StatusCode::UNAUTHORIZED) => Reaction::Refused,
        Ok(status) => {
            log::info!("{member} does not hold the end of job {}: {status}", held.asked.job);
            Reaction::None
        }
        Err(why) => {
            log::info!("telling {member} of the end of job {}: {why}", held.asked.job);
            Reaction::None
        }
    }
}

/// Receives an end whose caller a peer can't identify.
pub(super) async fn receive(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let status = match peers::decode_body(request).await {
        Ok(end) => take(shared, end),
        Err(status) => status,
    };
    peers::empty_response(status)
}

fn take(shared: &Rc<Shared>, end: UnidentifiedEnd) -> StatusCode {
    let UnidentifiedEnd { by, host, keys, job, age_ms, is_told_to_all } = end;
    let asked = Asked { job, host, keys };
    let Some(headers) = asked.headers().filter(|_| asked.is_valid()) else {
        return StatusCode::BAD_REQUEST;
    };
    let cared_by = match caller::identify_now(shared, &asked.host, &headers) {
        Identity::Known(caller) => {
            log::info!("{by} passes the end of job {} on", asked.job);
            let shared = shared.clone();
            tokio::task::spawn_local(async move {
                let _answered_by_the_peer = jobs::end(&shared, &caller, &asked.job).await;
            });
            return StatusCode::OK;
        }
        Identity::Refused(_) => return StatusCode::UNAUTHORIZED,
        Identity::Presumed(_) if !is_told_to_all => None,
        Identity::Presumed(_) | Identity::Unknown => Some(by),
    };
    // An end that counts as newer than it is only stays longer.
    let since = shared.now().before(age_ms).unwrap_or(Time::EARLIEST);
    // A stopping instance would lose it.
    let is_stopping = shared.control.borrow().is_stopping();
    match !is_stopping && add(shared, asked, since, cared_by) {
        true => StatusCode::ACCEPTED,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Tells peers of the ends that are held here, as this instance stops. Those that
/// have confirmed them before may have been restarted since.
pub(super) fn hand_over(shared: &Shared) {
    for held in shared.unidentified_ends.held.borrow().values() {
        *held.cared_by.borrow_mut() = None;
        held.confirmed.borrow_mut().clear();
        held.told_at.borrow_mut().clear();
    }
}

/// Whether all ends that are held here are known to a peer, or there is no peer.
#[must_use]
pub(super) fn are_handed_over(shared: &Shared) -> bool {
    let held = shared.unidentified_ends.held.borrow();
    held.values().all(|held| !held.confirmed.borrow().is_empty()) || !ends::has_peers(shared)
}

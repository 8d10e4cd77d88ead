//! Plain requests: sent to a target of the route's pool, and again where
//! that is allowed.
//!
//! An answer is taken whole before any of it is passed on, so that one that
//! breaks off is never seen by the caller, and a repeatable request can be
//! sent to another target instead. What it leaves out: streams of text
//! ([`crate::entry::run`]) and where an answer goes.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;

use crate::{
    core::{
        admission,
        choice::Need,
        configuration::{Route, RouteKind},
        fleet::Announcement,
        poison::{Digest, Verdict},
        time::Time,
    },
    entry::{
        exchange::{Error, IncomingResponse},
        shared::Shared,
        suspects::{self, ProbeTarget},
        usage,
    },
    error::Kind,
};

/// Requests at a target for each of its slots beyond which it is not asked.
/// Plain services shed what they cannot start soon.
const MOST_LOAD: f64 = 3.0;
/// A repeatable request goes to another target after so many times the
/// route's target time without an answer.
const PATIENCE: u64 = 3;
/// Least and most of that patience, in milliseconds.
const PATIENCE_MS: (u64, u64) = (250, 1_000);
/// Time kept back for the way to the caller, in milliseconds.
const MARGIN_MS: u64 = 20;
/// Pause while no target has room, and before a try after all were asked.
const PAUSE: Duration = Duration::from_millis(25);
/// Largest answer of a plain service.
const ANSWER_BYTES: usize = 32 << 20;
/// Targets that one attempt may end, with those that the same request ended
/// before. What ran beside a culprit is served by the second; a culprit ends no
/// more of them than that.
const MOST_ENDS: u32 = 2;
/// When a suspect comes back that would be tried at its pool's last sound
/// target, in milliseconds: others start again within seconds.
const LAST_SOUND_PAUSE_MS: u64 = 500;
/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A plain request, ready to be sent.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// The host that it names.
    pub host: String,
    /// The id of the caller's attempt.
    pub id: String,
    /// The organisation that asks; empty if that is nobody's business.
    pub organisation: String,
    /// All other headers of the caller.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The window of usage in which it began, once it has.
    pub began: Cell<Option<u64>>,
    /// Its digest, once it was asked for: a body may be many MB.
    pub digest: OnceCell<Digest>,
}

impl PlainRequest {
    /// What it has in common with the same request asked again.
    #[must_use]
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            // A key that was replaced must not clear a culprit.
            let caller = match self.headers.get(header::AUTHORIZATION) {
                Some(key) => String::from_utf8_lossy(key.as_bytes()),
                None => self.organisation.as_str().into(),
            };
            Digest::of(&[self.method.as_str(), &self.host, &self.target, &caller], &self.body)
        })
    }
}

impl PlainRequest {
    /// Counts it for its organisation as it is sent for the first time.
    fn begin(&self, shared: &Shared) {
        if self.began.get().is_none() {
            self.began.set(usage::count_request(shared, &self.organisation));
        }
    }

    /// Takes that back.
    fn undo_begin(&self, shared: &Shared) {
        if let Some(window) = self.began.take() {
            usage::uncount_request(shared, window, &self.organisation);
        }
    }
}

/// A target's whole answer.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl TargetResponse {
    /// The target's signature.
    #[must_use]
    pub fn signature(&self, name: &HeaderName) -> Option<String> {
        self.headers.get(name)?.to_str().ok().map(str::to_owned)
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub enum ForwardResult {
    /// A target answered.
    Answered(TargetResponse),
    /// No target's answer can be passed on; when to come back, in
    /// milliseconds, where that is known.
    Refused(Kind, Option<u64>),
}

/// What became of one send.
enum SendOutcome {
    Answered(TargetResponse),
    NotRun,
    MayHaveRun,
    /// The target has ended meanwhile.
    TargetExited,
}

/// What became of a request's sends so far.
#[derive(Default)]
struct Attempt {
    /// Targets that were asked.
    tried: Vec<String>,
    /// One of them may have run it.
    ran: bool,
    /// Targets that ended under the request, here or before.
    ends: u32,
    /// A target's own failure, to be passed on if nothing better comes.
    failure: Option<TargetResponse>,
    /// The request is held back from all targets.
    held: bool,
    /// When to come back, in milliseconds, where that is known.
    come_back_ms: Option<u64>,
}

impl Attempt {
    /// Whether another target may be asked.
    fn may_go_on(&self, route: &Route) -> bool {
        let tried = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let is_safe = route.kind == RouteKind::Idempotent || !self.ran;
        tried < route.attempts.max(1) && self.ends < MOST_ENDS && is_safe
    }

    /// Takes over what became of a send; an answer that ends the request is
    /// returned.
    fn note(&mut self, route: &Route, target: String, sent: SendOutcome) -> Option<TargetResponse> {
        self.tried.push(target);
        match sent {
            SendOutcome::NotRun => {}
            SendOutcome::MayHaveRun => self.ran = true,
            SendOutcome::TargetExited => {
                self.ran = true;
                self.ends += 1;
            }
            SendOutcome::Answered(whole) => {
                self.ran = true;
                let is_failure = whole.status == StatusCode::INTERNAL_SERVER_ERROR;
                if !is_failure || route.kind != RouteKind::Idempotent {
                    return Some(whole);
                }
                self.failure = Some(whole);
            }
        }
        None
    }

    /// Why no target's answer can be passed on.
    fn kind(&self) -> Kind {
        match (self.ran, self.held, self.tried.is_empty()) {
            (true, ..) => Kind::OutcomeUnknown,
            (false, true, _) => Kind::EndsTargets,
            (false, false, true) => Kind::NoTarget,
            (false, false, false) => Kind::TargetRefused,
        }
    }
}

/// Sends a request until it is answered, its attempts are used up or its
/// time is over.
pub async fn run(
    shared: &Rc<Shared>,
    route: &Route,
    plain: &PlainRequest,
    salt: u64,
) -> ForwardResult {
    let suspected = suspects::verdict(shared, || plain.digest()) == Verdict::Suspect;
    let mut attempt = Attempt { ends: u32::from(suspected), ..Attempt::default() };
    while attempt.may_go_on(route) {
        let now = shared.now();
        let left_ms = plain.deadline.since(now).saturating_sub(MARGIN_MS);
        if left_ms == 0 {
            break;
        }
        // Asked before each send: another instance's target may have ended
        // under the same request a moment ago.
        let (target, turn) = match suspects::verdict(shared, || plain.digest()) {
            Verdict::Held(ms) => {
                shared.meters.held_back.inc();
                (attempt.held, attempt.come_back_ms) = (true, Some(ms));
                break;
            }
            Verdict::Free => (choose(shared, route, &attempt.tried, salt), None),
            Verdict::Suspect => {
                let pool = pick_pool(route, salt).unwrap_or("");
                if !suspects::is_settled(shared, plain.digest()) {
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
                let Some(turn) = suspects::acquire_probe_permit(shared, pool).await else {
                    tokio::time::sleep(PAUSE).await;
                    continue;
                };
                // Another instance may have told of it meanwhile.
                if suspects::verdict(shared, || plain.digest()) != Verdict::Suspect {
                    continue;
                }
                match suspects::probe_target(shared, pool, plain.digest()) {
                    ProbeTarget::At(target) if has_room(shared, &target) => {
                        (Some(*target), Some(turn))
                    }
                    ProbeTarget::At(_) => (None, None),
                    ProbeTarget::Nowhere => {
                        attempt.come_back_ms = Some(LAST_SOUND_PAUSE_MS);
                        break;
                    }
                }
            }
        };
        let Some(target) = target else {
            if shared.control.borrow().stopping {
                break;
            }
            if let admission::Decision::Reject(ms) =
                admission::decide(situation(shared, route, salt, left_ms))
            {
                attempt.come_back_ms = Some(ms);
                break;
            }
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let last = attempt.tried.len() + 1 >= route.attempts.max(1) as usize;
        let limit_ms = match route.kind {
            RouteKind::Idempotent if !last => patience(route).min(left_ms),
            _ => left_ms,
        };
        let began = plain.began.get();
        let trip =
            SendAttempt { plain, target: &target, limit_ms, left_ms, is_trial: turn.is_some() };
        let sent = send(shared, route, &trip).await;
        match turn {
            Some(turn) if matches!(sent, SendOutcome::TargetExited) => turn.keep(),
            other => drop(other),
        }
        if matches!(sent, SendOutcome::NotRun) && began.is_none() {
            plain.undo_begin(shared);
        }
        if let SendOutcome::Answered(_) = &sent {
            let took_ms = shared.now().since(now);
            shared.control.borrow_mut().observations.record_answer_time(&target.id, took_ms);
        }
        if let Some(whole) = attempt.note(route, target.id, sent) {
            return ForwardResult::Answered(whole);
        }
    }
    if let Some(whole) = attempt.failure {
        return ForwardResult::Answered(whole);
    }
    let (kind, tried) = (attempt.kind(), &attempt.tried);
    log::info!("request {} on {}: {}; tried {tried:?}", plain.id, route.name, kind.as_str());
    ForwardResult::Refused(kind, attempt.come_back_ms)
}

/// What is known of a route's targets where none of them can take a request.
fn situation(shared: &Shared, route: &Route, salt: u64, left_ms: u64) -> admission::Situation {
    let control = shared.control.borrow();
    let pool = pick_pool(route, salt).unwrap_or("");
    let usable = || control.fleet.usable(pool).map(|target| target.announcement.id.as_str());
    let answers = usable().filter_map(|id| control.observations.get(id)?.answer_ms);
    let usual_ms = answers.min_by(f64::total_cmp).map(|ms| ms as u64);
    admission::Situation {
        known: control.fleet_loaded,
        usable: usable().count(),
        usual_ms,
        left_ms,
    }
}

fn patience(route: &Route) -> u64 {
    (route.target_ms * PATIENCE).clamp(PATIENCE_MS.0, PATIENCE_MS.1)
}

fn choose(shared: &Shared, route: &Route, tried: &[String], salt: u64) -> Option<Announcement> {
    let control = shared.control.borrow();
    let pool = pick_pool(route, salt)?;
    let now = shared.now();
    let all = || control.fleet.usable(pool).map(|target| &target.announcement);
    let reserved = suspects::reserved_target(shared, pool);
    let is_reserved = |target: &Announcement| reserved.as_ref() == Some(&target.id);
    let fresh = all().filter(|target| !tried.contains(&target.id) && !is_reserved(target));
    // Instances that know nothing of any target must not all pick the same.
    let mine = xxhash_rust::xxh3::xxh3_64(shared.instance_id.as_bytes());
    let salt = mine ^ salt.wrapping_add(tried.len() as u64);
    let need = Need { events: 1.0, max_load: MOST_LOAD, instances: 1.0, salt };
    let choice = control.observations.choose(now, fresh, need);
    // Where every other one was asked or is avoided, one that was asked
    // before is better than nobody: the request's time is running.
    let choice = choice.or_else(|| {
        let times = |target: &&Announcement| tried.iter().filter(|id| **id == target.id).count();
        let usable =
            all().filter(|target| control.observations.load_of(now, &target.id) < full(target));
        usable.min_by_key(times)
    });
    choice.cloned()
}

/// Whether a target may be asked once more.
fn has_room(shared: &Shared, target: &Announcement) -> bool {
    let control = shared.control.borrow();
    control.observations.load_of(shared.now(), &target.id) < full(target)
}

/// Requests at a target from which on it is not asked.
fn full(target: &Announcement) -> f64 {
    f64::from(target.slots.max(1)) * MOST_LOAD
}

/// A pool of the route, by weight.
fn pick_pool(route: &Route, salt: u64) -> Option<&str> {
    let total: u64 = route.pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return route.pools.first().map(|(pool, _)| pool.as_str());
    }
    let mut at = xxhash_rust::xxh3::xxh3_64(&salt.to_le_bytes()) % total;
    for (pool, weight) in &route.pools {
        if at < u64::from(*weight) {
            return Some(pool);
        }
        at -= u64::from(*weight);
    }
    None
}

/// One send of a request.
struct SendAttempt<'a> {
    plain: &'a PlainRequest,
    target: &'a Announcement,
    /// How long the answer may take, in milliseconds.
    limit_ms: u64,
    /// What is left of the caller's time, in milliseconds.
    left_ms: u64,
    /// It is a suspect's, which has the turn.
    is_trial: bool,
}

async fn send(shared: &Rc<Shared>, route: &Route, trip: &SendAttempt<'_>) -> SendOutcome {
    let &SendAttempt { plain, target, limit_ms, left_ms, .. } = trip;
    shared.control.borrow_mut().observations.request_started(&target.id);
    let _count = Counted { shared, id: &target.id };
    let limit = Duration::from_millis(limit_ms);
    let started = shared.now();
    let wanted = || {
        let may_send_to = shared.may_send_to(target);
        if may_send_to {
            plain.begin(shared);
        }
        may_send_to
    };
    let first = request(shared, plain, target, left_ms);
    let mut answer = shared.pool.send_if(target.address, first, limit, wanted).await;
    // A kept connection that had ended says nothing about a target that
    // lives; what may be repeated goes out again at once, on another one.
    let may_have_run = matches!(answer, Err(Error::StaleConnection));
    if may_have_run && route.kind == RouteKind::Idempotent {
        note_unanswered(shared, plain, target, &Error::StaleConnection);
        if look(shared, trip).await {
            return SendOutcome::TargetExited;
        }
        shared.pool.forget(target.address);
        let again = request(shared, plain, target, left_ms);
        answer = shared.pool.send_if(target.address, again, limit, wanted).await;
    }
    match answer {
        Ok(answer) => {
            let spent = shared.now().since(started);
            let left = Duration::from_millis(limit_ms.saturating_sub(spent).max(1));
            take(shared, trip, answer, left).await
        }
        Err(Error::Cancelled) => {
            if may_have_run {
                SendOutcome::MayHaveRun
            } else {
                SendOutcome::NotRun
            }
        }
        Err(error) => {
            note_unanswered(shared, plain, target, &error);
            if error != Error::StaleConnection {
                let now = shared.now();
                shared.control.borrow_mut().observations.record_failure(now, &target.id);
            }
            if error.is_not_sent() {
                // The send before it may have run.
                return if may_have_run { SendOutcome::MayHaveRun } else { SendOutcome::NotRun };
            }
            broken(shared, trip, &error).await
        }
    }
}

/// Notes a send without an answer, so that the same request can be found at
/// other targets and instances.
fn note_unanswered(shared: &Shared, plain: &PlainRequest, target: &Announcement, error: &Error) {
    shared.meters.unanswered.with_label_values(&[error.as_str()]).inc();
    let life = target.incarnation();
    log::info!("request {} ({}) at {life}: {error}", plain.id, plain.digest());
}

/// Counts a request as at its target for as long as it lives, also where the
/// caller leaves in the middle.
struct Counted<'a> {
    shared: &'a Shared,
    id: &'a str,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.control.borrow_mut().observations.request_ended(now, self.id);
    }
}

async fn take(
    shared: &Rc<Shared>,
    trip: &SendAttempt<'_>,
    answer: IncomingResponse,
    left: Duration,
) -> SendOutcome {
    let &SendAttempt { plain, target, .. } = trip;
    let names = &shared.codec.headers;
    let now = shared.now();
    if let Some(load) = answer.header(&names.load).and_then(shared.codec.load) {
        shared.control.borrow_mut().observations.record_load(now, &target.id, load);
    }
    let status = answer.head.status;
    let not_run = answer.head.headers.contains_key(&names.not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if not_run {
        shared.control.borrow_mut().observations.record_refusal(now, &target.id);
        log::debug!("request {} at {}: not run, {status}", plain.id, target.id);
        return SendOutcome::NotRun;
    }
    let mine = answer.header(&names.request_id) == Some(plain.id.as_str());
    let signed = answer.head.headers.contains_key(&names.signature);
    if !mine || !signed || answer.head.headers.contains_key(header::CONTENT_ENCODING) {
        // Dropping the answer closes the connection: whatever else is on it
        // belongs to nobody.
        log::info!("request {} at {}: an answer that is not its own", plain.id, target.id);
        return SendOutcome::MayHaveRun;
    }
    let mut headers = answer.head.headers.clone();
    match answer.read_body(ANSWER_BYTES, left).await {
        Ok(body) => {
            for name in HOP_BY_HOP.iter().chain([&header::CONTENT_LENGTH]) {
                headers.remove(name);
            }
            shared.control.borrow_mut().observations.record_success(now, &target.id);
            suspects::record_served(shared, || plain.digest());
            SendOutcome::Answered(TargetResponse { status, headers, body })
        }
        Err(error) => {
            note_unanswered(shared, plain, target, &error);
            broken(shared, trip, &error).await
        }
    }
}

/// What became of a send that broke. A slow target is no ended one.
async fn broken(shared: &Rc<Shared>, trip: &SendAttempt<'_>, error: &Error) -> SendOutcome {
    let is_broken = matches!(error, Error::StaleConnection | Error::Broken(_));
    if is_broken && look(shared, trip).await {
        SendOutcome::TargetExited
    } else {
        SendOutcome::MayHaveRun
    }
}

/// Whether the target has ended under a send.
async fn look(shared: &Rc<Shared>, trip: &SendAttempt<'_>) -> bool {
    let mine =
        shared.control.borrow().observations.get(&trip.target.id).map(|seen| seen.own_requests);
    let is_alone = trip.is_trial && mine == Some(1);
    suspects::check_ended(shared, trip.target, trip.plain.digest(), is_alone).await
}

fn request(
    shared: &Shared,
    plain: &PlainRequest,
    target: &Announcement,
    left_ms: u64,
) -> Request<Full<Bytes>> {
    let names = &shared.codec.headers;
    let mut request = Request::new(Full::new(plain.body.clone()));
    *request.method_mut() = plain.method.clone();
    *request.uri_mut() = plain.target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    *headers = plain.headers.clone();
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    let mut set = |name: &HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name.clone(), value);
        }
    };
    set(&header::HOST, &plain.host);
    set(&names.request_id, &plain.id);
    set(&names.deadline, &left_ms.to_string());
    set(&names.target, &target.id);
    if !plain.organisation.is_empty() {
        set(&names.organisation, &plain.organisation);
    }
    request
}

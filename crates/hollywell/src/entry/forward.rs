//! Forwards plain requests to the targets of a route's pool and retries them
//! where the route allows it.
//!
//! A response is buffered completely before any of it is passed on: a caller
//! never sees a truncated response, and a request that is safe to repeat can
//! be retried at another target. Streams of generated text are handled in
//! [`crate::entry::run`].

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

/// Limit on the requests at a target, as a multiple of its slots. Plain
/// services reject requests that they cannot start soon.
const MAX_LOAD: f64 = 3.0;
/// Timeout of an attempt at a request that is safe to repeat, as a multiple of
/// the route's target latency; then the request is retried at another target.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 3;
/// Lower and upper bound of that timeout, in milliseconds.
const ATTEMPT_TIMEOUT_MS: (u64, u64) = (250, 1_000);
/// Part of the deadline that is reserved for the response to reach the caller,
/// in milliseconds.
const MARGIN_MS: u64 = 20;
/// Delay before targets are examined again while all of them are full, or
/// while a suspect request waits for its isolated probe.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Limit on the body of a plain service's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Targets that may crash under one request, including crashes under the same
/// request before. An innocent request that ran next to a poison request is
/// served by its second target; a poison request crashes no more than two.
const MAX_CRASHES: u32 = 2;
/// Retry delay for a suspect request that could only be probed at the last
/// healthy target of its pool, in milliseconds: other targets restart within
/// seconds.
const LAST_HEALTHY_RETRY_MS: u64 = 500;
/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A plain request with its body.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The value of `Host`.
    pub host: String,
    /// The id that the caller gave this attempt.
    pub id: String,
    /// The caller's organisation; empty if the configuration has none or the
    /// route is public.
    pub organisation: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The usage window in which the request is counted; `None` until it is
    /// first sent.
    pub usage_window: Cell<Option<u64>>,
    /// The digest, computed on first use because a body may have many MB.
    pub digest: OnceCell<Digest>,
}

impl PlainRequest {
    /// Identifies the request's content across retries and instances.
    #[must_use]
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            // If the configuration has organisations, the header was removed
            // and the organisation is used instead: rotating an API key must
            // not clear a poison request.
            let caller = match self.headers.get(header::AUTHORIZATION) {
                Some(key) => String::from_utf8_lossy(key.as_bytes()),
                None => self.organisation.as_str().into(),
            };
            Digest::of(&[self.method.as_str(), &self.host, &self.target, &caller], &self.body)
        })
    }
}

impl PlainRequest {
    /// Counts the request as its organisation's usage when it is first sent.
    fn count_usage(&self, shared: &Shared) {
        if self.usage_window.get().is_none() {
            self.usage_window.set(usage::count_request(shared, &self.organisation));
        }
    }

    /// Reverts [`Self::count_usage`].
    fn uncount_usage(&self, shared: &Shared) {
        if let Some(window) = self.usage_window.take() {
            usage::uncount_request(shared, window, &self.organisation);
        }
    }
}

/// A target's complete response.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl TargetResponse {
    /// The value of the signature header.
    #[must_use]
    pub fn signature(&self, name: &HeaderName) -> Option<String> {
        self.headers.get(name)?.to_str().ok().map(str::to_owned)
    }
}

/// The result of forwarding a request.
#[derive(Clone, Debug)]
pub enum ForwardResult {
    /// A target responded.
    Answered(TargetResponse),
    /// There is no response to pass on; with the retry delay in milliseconds,
    /// if one is known.
    Refused(Kind, Option<u64>),
}

/// The result of sending a request to one target.
enum SendOutcome {
    Answered(TargetResponse),
    NotRun,
    MayHaveRun,
    /// The target's process exited while it had the request.
    TargetExited,
}

/// The state of a request over all its attempts.
#[derive(Default)]
struct RequestState {
    /// Ids of the targets that the request was sent to.
    tried: Vec<String>,
    /// One of them may have run the request.
    may_have_run: bool,
    /// Targets that crashed under the request, including earlier requests with
    /// the same digest.
    crashes: u32,
    /// A target's error response, passed on if no other target succeeds.
    failure: Option<TargetResponse>,
    /// The request is held back because it crashes targets.
    is_held_back: bool,
    /// The retry delay to tell the caller, in milliseconds, if one is known.
    retry_after_ms: Option<u64>,
}

impl RequestState {
    /// Whether the request may be sent again.
    fn may_retry(&self, route: &Route) -> bool {
        let tried = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let is_safe = route.kind == RouteKind::Idempotent || !self.may_have_run;
        tried < route.max_attempts.max(1) && self.crashes < MAX_CRASHES && is_safe
    }

    /// Records the result of an attempt. Returns the response if it is final.
    fn record(
        &mut self,
        route: &Route,
        target: String,
        sent: SendOutcome,
    ) -> Option<TargetResponse> {
        self.tried.push(target);
        match sent {
            SendOutcome::NotRun => {}
            SendOutcome::MayHaveRun => self.may_have_run = true,
            SendOutcome::TargetExited => {
                self.may_have_run = true;
                self.crashes += 1;
            }
            SendOutcome::Answered(response) => {
                self.may_have_run = true;
                let is_failure = response.status == StatusCode::INTERNAL_SERVER_ERROR;
                if !is_failure || route.kind != RouteKind::Idempotent {
                    return Some(response);
                }
                self.failure = Some(response);
            }
        }
        None
    }

    /// Why there is no response to pass on.
    fn kind(&self) -> Kind {
        match (self.may_have_run, self.is_held_back, self.tried.is_empty()) {
            (true, ..) => Kind::OutcomeUnknown,
            (false, true, _) => Kind::EndsTargets,
            (false, false, true) => Kind::NoTarget,
            (false, false, false) => Kind::TargetRefused,
        }
    }
}

/// Sends a request until a target responds, the attempts are used up or the
/// deadline passes. `salt` selects the pool and breaks ties between targets.
pub async fn run(
    shared: &Rc<Shared>,
    route: &Route,
    plain: &PlainRequest,
    salt: u64,
) -> ForwardResult {
    let suspected = suspects::verdict(shared, || plain.digest()) == Verdict::Suspect;
    let mut state = RequestState { crashes: u32::from(suspected), ..RequestState::default() };
    while state.may_retry(route) {
        let now = shared.now();
        let left_ms = plain.deadline.since(now).saturating_sub(MARGIN_MS);
        if left_ms == 0 {
            break;
        }
        // Checked before each attempt: a target may just have crashed under
        // the same request at another instance.
        let (target, permit) = match suspects::verdict(shared, || plain.digest()) {
            Verdict::Held(ms) => {
                shared.meters.held_back.inc();
                (state.is_held_back, state.retry_after_ms) = (true, Some(ms));
                break;
            }
            Verdict::Free => (choose_target(shared, route, &state.tried, salt), None),
            Verdict::Suspect => {
                let pool = pick_pool(route, salt).unwrap_or("");
                if !suspects::is_settled(shared, plain.digest()) {
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
                let Some(permit) = suspects::acquire_probe_permit(shared, pool).await else {
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                };
                // Another instance may have reported it in the meantime.
                if suspects::verdict(shared, || plain.digest()) != Verdict::Suspect {
                    continue;
                }
                match suspects::probe_target(shared, pool, plain.digest()) {
                    ProbeTarget::At(target) if has_capacity(shared, &target) => {
                        (Some(*target), Some(permit))
                    }
                    ProbeTarget::At(_) => (None, None),
                    ProbeTarget::Nowhere => {
                        state.retry_after_ms = Some(LAST_HEALTHY_RETRY_MS);
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
                state.retry_after_ms = Some(ms);
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let last = state.tried.len() + 1 >= route.max_attempts.max(1) as usize;
        let limit_ms = match route.kind {
            RouteKind::Idempotent if !last => attempt_timeout_ms(route).min(left_ms),
            _ => left_ms,
        };
        let usage_window = plain.usage_window.get();
        let attempt =
            SendAttempt { plain, target: &target, limit_ms, left_ms, is_probe: permit.is_some() };
        let sent = send(shared, route, &attempt).await;
        match permit {
            Some(permit) if matches!(sent, SendOutcome::TargetExited) => permit.keep(),
            other => drop(other),
        }
        if matches!(sent, SendOutcome::NotRun) && usage_window.is_none() {
            plain.uncount_usage(shared);
        }
        if let SendOutcome::Answered(_) = &sent {
            let ended = shared.now();
            let observations = &mut shared.control.borrow_mut().observations;
            observations.record_answer_time(ended, &target.id, ended.since(now));
        }
        if let Some(response) = state.record(route, target.id, sent) {
            return ForwardResult::Answered(response);
        }
    }
    if let Some(response) = state.failure {
        return ForwardResult::Answered(response);
    }
    let (kind, tried) = (state.kind(), &state.tried);
    log::info!(
        "request {} on route {} failed: {}; sent to {tried:?}",
        plain.id,
        route.name,
        kind.as_str()
    );
    ForwardResult::Refused(kind, state.retry_after_ms)
}

/// The state of a route's targets when none of them can take a request, as
/// input to admission control.
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

fn attempt_timeout_ms(route: &Route) -> u64 {
    (route.target_latency_ms * ATTEMPT_TIMEOUT_FACTOR)
        .clamp(ATTEMPT_TIMEOUT_MS.0, ATTEMPT_TIMEOUT_MS.1)
}

fn choose_target(
    shared: &Shared,
    route: &Route,
    tried: &[String],
    salt: u64,
) -> Option<Announcement> {
    let control = shared.control.borrow();
    let pool = pick_pool(route, salt)?;
    let now = shared.now();
    let all = || control.fleet.usable(pool).map(|target| &target.announcement);
    let reserved = suspects::reserved_target(shared, pool);
    let is_reserved = |target: &Announcement| reserved.as_ref() == Some(&target.id);
    let fresh = all().filter(|target| !tried.contains(&target.id) && !is_reserved(target));
    // Instances without any load figures must not all choose the same target.
    let own = xxhash_rust::xxh3::xxh3_64(shared.instance_id.as_bytes());
    let salt = own ^ salt.wrapping_add(tried.len() as u64);
    let need = Need { events: 1.0, max_load: MAX_LOAD, instances: 1.0, salt };
    let choice = control.observations.choose_for_answer(now, fresh, need);
    // If every target was tried or is avoided, retry one that was tried
    // before rather than let the deadline pass.
    let choice = choice.or_else(|| {
        let times = |target: &&Announcement| tried.iter().filter(|id| **id == target.id).count();
        let usable =
            all().filter(|target| control.observations.load_of(now, &target.id) < capacity(target));
        usable.min_by_key(times)
    });
    choice.cloned()
}

/// Whether a target is below its load limit.
fn has_capacity(shared: &Shared, target: &Announcement) -> bool {
    let control = shared.control.borrow();
    control.observations.load_of(shared.now(), &target.id) < capacity(target)
}

/// The number of requests at which a target counts as full.
fn capacity(target: &Announcement) -> f64 {
    f64::from(target.slots.max(1)) * MAX_LOAD
}

/// Picks a pool of the route in proportion to the pools' weights.
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

/// One attempt to send a request.
struct SendAttempt<'a> {
    plain: &'a PlainRequest,
    target: &'a Announcement,
    /// Timeout of the attempt, in milliseconds.
    limit_ms: u64,
    /// Time left until the caller's deadline, in milliseconds.
    left_ms: u64,
    /// The request is a suspect and holds the pool's permit for an isolated
    /// probe.
    is_probe: bool,
}

async fn send(shared: &Rc<Shared>, route: &Route, attempt: &SendAttempt<'_>) -> SendOutcome {
    let &SendAttempt { plain, target, limit_ms, left_ms, .. } = attempt;
    shared.control.borrow_mut().observations.request_started(&target.id);
    let _in_flight = InFlight { shared, id: &target.id };
    let limit = Duration::from_millis(limit_ms);
    let started = shared.now();
    let still_allowed = || {
        let may_send_to = shared.may_send_to(target);
        if may_send_to {
            plain.count_usage(shared);
        }
        may_send_to
    };
    let first = request(shared, plain, target, left_ms);
    let mut response = shared.pool.send_if(target.address, first, limit, still_allowed).await;
    // The target may simply have closed an idle connection. If the request is
    // safe to repeat and the target is alive, send it again at once on a new
    // connection.
    let may_have_run = matches!(response, Err(Error::StaleConnection));
    if may_have_run && route.kind == RouteKind::Idempotent {
        record_no_response(shared, plain, target, &Error::StaleConnection);
        if check_exit(shared, attempt).await {
            return SendOutcome::TargetExited;
        }
        shared.pool.forget(target.address);
        let again = request(shared, plain, target, left_ms);
        response = shared.pool.send_if(target.address, again, limit, still_allowed).await;
    }
    match response {
        Ok(response) => {
            let spent = shared.now().since(started);
            let left = Duration::from_millis(limit_ms.saturating_sub(spent).max(1));
            read_response(shared, attempt, response, left).await
        }
        Err(Error::Cancelled) => {
            if may_have_run {
                SendOutcome::MayHaveRun
            } else {
                SendOutcome::NotRun
            }
        }
        Err(error) => {
            record_no_response(shared, plain, target, &error);
            if error != Error::StaleConnection {
                let now = shared.now();
                shared.control.borrow_mut().observations.record_failure(now, &target.id);
            }
            if error.is_not_sent() {
                // The first send, on the stale connection, may have run.
                return if may_have_run { SendOutcome::MayHaveRun } else { SendOutcome::NotRun };
            }
            failed_exchange(shared, attempt, &error).await
        }
    }
}

/// Counts and logs an attempt without a response. The log line has the
/// request's digest, by which it can be correlated across targets and
/// instances.
fn record_no_response(shared: &Shared, plain: &PlainRequest, target: &Announcement, error: &Error) {
    shared.meters.unanswered.with_label_values(&[error.as_str()]).inc();
    let life = target.incarnation();
    log::info!("request {} ({}) at {life}: {error}", plain.id, plain.digest());
}

/// Counts a request as in flight at its target until dropped, which also
/// covers a caller that disconnects.
struct InFlight<'a> {
    shared: &'a Shared,
    id: &'a str,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.control.borrow_mut().observations.request_ended(now, self.id);
    }
}

async fn read_response(
    shared: &Rc<Shared>,
    attempt: &SendAttempt<'_>,
    response: IncomingResponse,
    left: Duration,
) -> SendOutcome {
    let &SendAttempt { plain, target, .. } = attempt;
    let names = &shared.codec.headers;
    let now = shared.now();
    shared.record_load(now, &target.id, &response);
    let status = response.head.status;
    let not_run = response.head.headers.contains_key(&names.not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if not_run {
        shared.control.borrow_mut().observations.record_refusal(now, &target.id);
        log::debug!("request {} rejected by {} without running: {status}", plain.id, target.id);
        return SendOutcome::NotRun;
    }
    let own = response.header(&names.request_id) == Some(plain.id.as_str());
    let signed = response.head.headers.contains_key(&names.signature);
    if !own || !signed || response.head.headers.contains_key(header::CONTENT_ENCODING) {
        // Dropping the response closes the connection, whose remaining data
        // cannot be attributed to any request.
        log::info!(
            "request {} at {}: response has another id, no signature or a content encoding",
            plain.id,
            target.id
        );
        return SendOutcome::MayHaveRun;
    }
    let mut headers = response.head.headers.clone();
    match response.read_body(MAX_RESPONSE_BYTES, left).await {
        Ok(body) => {
            for name in HOP_BY_HOP.iter().chain([&header::CONTENT_LENGTH]) {
                headers.remove(name);
            }
            shared.control.borrow_mut().observations.record_success(now, &target.id);
            suspects::record_served(shared, || plain.digest());
            SendOutcome::Answered(TargetResponse { status, headers, body })
        }
        Err(error) => {
            record_no_response(shared, plain, target, &error);
            failed_exchange(shared, attempt, &error).await
        }
    }
}

/// The result of an attempt whose exchange failed. A timeout alone does not
/// mean that the target exited.
async fn failed_exchange(
    shared: &Rc<Shared>,
    attempt: &SendAttempt<'_>,
    error: &Error,
) -> SendOutcome {
    let is_broken = matches!(error, Error::StaleConnection | Error::Broken(_));
    if is_broken && check_exit(shared, attempt).await {
        SendOutcome::TargetExited
    } else {
        SendOutcome::MayHaveRun
    }
}

/// Checks whether the target exited during an attempt, and records that
/// against the request if so.
async fn check_exit(shared: &Rc<Shared>, attempt: &SendAttempt<'_>) -> bool {
    let own = shared
        .control
        .borrow()
        .observations
        .get(&attempt.target.id)
        .map(|observation| observation.own_requests);
    let is_alone = attempt.is_probe && own == Some(1);
    suspects::check_ended(shared, attempt.target, attempt.plain.digest(), is_alone).await
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

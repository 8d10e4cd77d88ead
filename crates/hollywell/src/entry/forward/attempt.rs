//! Sends a plain request to one target and reads its response.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;

use super::{PlainRequest, TargetResponse};
use crate::{
    core::{
        choice::Load,
        configuration::{Route, RouteKind},
        fleet::Announcement,
        time::Time,
    },
    entry::{
        confirm,
        exchange::{Error, IncomingResponse},
        shared::Shared,
        suspects,
    },
};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// The result of sending a request to one target.
pub(super) enum SendOutcome {
    Answered(TargetResponse),
    NotRun,
    MayHaveRun,
    /// The target's process exited while it had the request.
    TargetExited,
}

/// One attempt to send a request.
pub(super) struct SendAttempt<'a> {
    pub(super) plain: &'a PlainRequest,
    pub(super) target: &'a Announcement,
    /// When the target was chosen.
    pub(super) began: Time,
    /// Timeout of the attempt, in milliseconds.
    pub(super) limit_ms: u64,
    /// Time left until the caller's deadline, in milliseconds.
    pub(super) left_ms: u64,
    /// The request is a suspect and holds the pool's permit for an isolated
    /// probe.
    pub(super) is_probe: bool,
    /// The exchange broke, and whether the target exited is being checked.
    pub(super) is_checking: Cell<bool>,
}

/// Sends a request to one target. Dropping the future closes the connection.
pub(super) async fn send(
    shared: &Rc<Shared>,
    route: &Route,
    attempt: &SendAttempt<'_>,
) -> SendOutcome {
    let &SendAttempt { plain, target, limit_ms, left_ms, .. } = attempt;
    shared.control.borrow_mut().observations.request_started(&target.id);
    let _in_flight = InFlight { shared, id: &target.id };
    let started = shared.now();
    if !confirm::is_usable(shared, target).await {
        return SendOutcome::NotRun;
    }
    let checked_ms = shared.now().since(started);
    let limit = Duration::from_millis(limit_ms.saturating_sub(checked_ms));
    let left_ms = left_ms.saturating_sub(checked_ms);
    let still_allowed = || {
        let may_send_to = shared.may_send_to(target);
        if may_send_to {
            plain.count_usage(shared);
            plain.may_have_run.set(true);
            shared.log_send(target, &plain.id);
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
            confirm::record_answer(shared, started, target, &response);
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
            if !matches!(error, Error::StaleConnection | Error::Foreign) {
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
    if let Some(load) = shared.record_load(now, &target.id, &response) {
        record_load(shared, now, target, load);
    }
    let status = response.head.status;
    let not_run = response.head.headers.contains_key(&names.not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if not_run {
        shared.control.borrow_mut().observations.record_refusal(now, &target.id);
        log::debug!("request {} rejected by {} without running: {status}", plain.id, target.id);
        return SendOutcome::NotRun;
    }
    let signed = response.head.headers.contains_key(&names.signature);
    if !signed || response.head.headers.contains_key(header::CONTENT_ENCODING) {
        // Dropping the response closes the connection, whose remaining data
        // cannot be attributed to any request.
        log::info!(
            "request {} at {}: response has no signature or a content encoding",
            plain.id,
            target.id
        );
        return SendOutcome::MayHaveRun;
    }
    let mut headers = response.head.headers.clone();
    match response.read_body_within(&shared.response_memory, left).await {
        Ok(body) => {
            for name in HOP_BY_HOP.iter().chain([&header::CONTENT_LENGTH]) {
                headers.remove(name);
            }
            record_answer(shared, now, attempt);
            suspects::record_served(shared, || plain.digest());
            SendOutcome::Answered(TargetResponse { status, headers, body })
        }
        Err(error) => {
            record_no_response(shared, plain, target, &error);
            failed_exchange(shared, attempt, &error).await
        }
    }
}

/// Records a load report for the decision on hedges.
fn record_load(shared: &Shared, now: Time, target: &Announcement, load: Load) {
    let hedges = &mut shared.control.borrow_mut().hedges;
    if let Err(unsound) = hedges.record_load(now, &target.pool, &target.id, load) {
        shared.meters.loads_skipped.inc();
        log::warn!("report of {} not believed: {unsound}", target.id);
    }
}

/// Records that a target has answered completely; `now` is when the response
/// began.
fn record_answer(shared: &Shared, now: Time, attempt: &SendAttempt<'_>) {
    let target = attempt.target;
    let ended = shared.now();
    let took_ms = ended.since(attempt.began);
    let control = &mut *shared.control.borrow_mut();
    control.observations.record_success(now, &target.id);
    control.observations.record_answer_time(&target.id, took_ms);
    control.hedges.record_answer(ended, &target.pool, took_ms);
}

/// The result of an attempt whose exchange failed.
async fn failed_exchange(
    shared: &Rc<Shared>,
    attempt: &SendAttempt<'_>,
    error: &Error,
) -> SendOutcome {
    if error.may_be_an_exit() && check_exit(shared, attempt).await {
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
    attempt.is_checking.set(true);
    let has_exited =
        suspects::check_ended(shared, attempt.target, attempt.plain.subject(), is_alone).await;
    attempt.is_checking.set(false);
    has_exited
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
    set(&header::HOST, &plain.authority);
    set(&names.request_id, &plain.id);
    set(&names.deadline, &left_ms.to_string());
    set(&names.target, &target.id);
    if !plain.organisation.is_empty() {
        set(&names.organisation, &plain.organisation);
    }
    request
}

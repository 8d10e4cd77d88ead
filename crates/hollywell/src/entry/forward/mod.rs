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
use http::{HeaderMap, HeaderName, Method, StatusCode, header};

use attempt::{SendAttempt, SendOutcome};
use targets::{choose_target, has_capacity, pick_pool, situation};

use crate::{
    core::{
        admission,
        configuration::{Route, RouteKind},
        poison::{Digest, Verdict},
        time::Time,
    },
    entry::{
        shared::Shared,
        suspects::{self, ProbeTarget, Subject},
        usage,
    },
    error::Kind,
};

mod attempt;
mod race;
mod targets;

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
/// Targets that may crash under one request, including crashes under the same
/// request before. An innocent request that ran next to a poison request is
/// served by its second target; a poison request crashes no more than two.
const MAX_CRASHES: u32 = 2;
/// Retry delay for a suspect request that could only be probed at the last
/// healthy target of its pool, in milliseconds: other targets restart within
/// seconds.
const LAST_HEALTHY_RETRY_MS: u64 = 500;
/// A plain request with its body.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The name of its host.
    pub host: String,
    /// The value of `Host` that the target gets: as the caller wrote it.
    pub authority: String,
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
    /// It scores an accepted sample, so that nobody retries it if it is given up.
    pub is_owed: bool,
    /// A target may have run the request.
    pub may_have_run: Rc<Cell<bool>>,
    /// The digest, computed on first use because a body may have many MB.
    pub digest: OnceCell<Digest>,
}

impl PlainRequest {
    /// The request as one that may be suspected.
    fn subject(&self) -> Subject {
        Subject { digest: self.digest(), is_owed: self.is_owed }
    }

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
    let suspected = suspects::verdict(shared, || plain.subject()) == Verdict::Suspect;
    let mut state = RequestState { crashes: u32::from(suspected), ..RequestState::default() };
    while state.may_retry(route) {
        let now = shared.now();
        let left_ms = plain.deadline.since(now).saturating_sub(MARGIN_MS);
        if left_ms == 0 {
            break;
        }
        // Checked before each attempt: a target may just have crashed under
        // the same request at another instance.
        let (target, permit) = match suspects::verdict(shared, || plain.subject()) {
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
                if suspects::verdict(shared, || plain.subject()) != Verdict::Suspect {
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
            if shared.control.borrow().is_stopping() {
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
        let limit_ms = attempt_limit_ms(route, state.tried.len() + 1, left_ms);
        let usage_window = plain.usage_window.get();
        let attempt = SendAttempt {
            plain,
            target: &target,
            began: now,
            limit_ms,
            left_ms,
            is_probe: permit.is_some(),
            is_checking: Cell::new(false),
        };
        let outcomes = race::send(shared, route, &attempt, &state.tried, salt).await;
        let has_exited = outcomes.iter().any(|(_, sent)| matches!(sent, SendOutcome::TargetExited));
        match permit {
            Some(permit) if has_exited => permit.keep(),
            other => drop(other),
        }
        let is_not_run = outcomes.iter().all(|(_, sent)| matches!(sent, SendOutcome::NotRun));
        if is_not_run && usage_window.is_none() {
            plain.uncount_usage(shared);
        }
        for (target, sent) in outcomes {
            if let Some(response) = state.record(route, target, sent) {
                return ForwardResult::Answered(response);
            }
        }
        plain.may_have_run.set(state.may_have_run);
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

/// Timeout of the attempt that is the `number`th of its request, in
/// milliseconds: only before a further one is it less than what is left.
fn attempt_limit_ms(route: &Route, number: usize, left_ms: u64) -> u64 {
    let is_last = number >= route.max_attempts.max(1) as usize;
    match route.kind {
        RouteKind::Idempotent if !is_last => {
            let timeout_ms = route.target_latency_ms * ATTEMPT_TIMEOUT_FACTOR;
            timeout_ms.clamp(ATTEMPT_TIMEOUT_MS.0, ATTEMPT_TIMEOUT_MS.1).min(left_ms)
        }
        _ => left_ms,
    }
}

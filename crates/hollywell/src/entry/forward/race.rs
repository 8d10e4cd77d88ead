//! Sends a plain request to a second target while the first still has it, and
//! takes the answer that is complete first.
//!
//! [`crate::core::hedge`] decides when. The other send is dropped at once,
//! which closes its connection, so that its target stops working.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use http::StatusCode;
use tokio::time::timeout;

use super::{
    MARGIN_MS, attempt,
    attempt::{SendAttempt, SendOutcome},
    attempt_limit_ms, targets,
};
use crate::{
    core::{
        configuration::{Route, RouteKind},
        fleet::Announcement,
        hedge::{Due, Reason, Request},
        poison::Verdict,
    },
    entry::{shared::Shared, suspects},
};

/// The id of a target that a request was sent to, and what came of it.
pub(super) type Sent = (String, SendOutcome);

/// Sends a request to its target, and to a second one if the first takes long.
/// Returns the results of all sends, the one that decides last. `tried` lists
/// the targets of earlier attempts.
pub(super) async fn send(
    shared: &Rc<Shared>,
    route: &Route,
    first: &SendAttempt<'_>,
    tried: &[String],
    salt: u64,
) -> Vec<Sent> {
    let mut first_send = pin!(attempt::send(shared, route, first));
    let Some(delay) = delay(shared, route, first, tried.len()) else {
        return vec![sent(first, first_send.await)];
    };
    if let Ok(outcome) = timeout(delay, &mut first_send).await {
        return vec![sent(first, outcome)];
    }
    let target = match take(shared, first, tried, salt) {
        Ok(target) => target,
        Err(reason) => {
            shared.meters.hedges_withheld.with_label_values(&[reason.as_str()]).inc();
            log::debug!("request {}: no second send: {}", first.plain.id, reason.as_str());
            return vec![sent(first, first_send.await)];
        }
    };
    let left_ms = first.plain.deadline.since(shared.now()).saturating_sub(MARGIN_MS);
    let second = SendAttempt {
        plain: first.plain,
        target: &target,
        began: shared.now(),
        limit_ms: attempt_limit_ms(route, tried.len() + 2, left_ms),
        left_ms,
        is_probe: false,
        is_checking: Cell::new(false),
    };
    count(shared, &second, "sent");
    let mut second_send = pin!(attempt::send(shared, route, &second));
    let (is_second, outcome) = tokio::select! {
        biased;
        outcome = &mut first_send => (false, outcome),
        outcome = &mut second_send => (true, outcome),
    };
    let (ended, other) = if is_second { (&second, first) } else { (first, &second) };
    if decides(&outcome) {
        count(shared, &second, end(&outcome, is_second));
        cancelled(shared, other, is_second);
        return vec![sent(other, SendOutcome::MayHaveRun), sent(ended, outcome)];
    }
    let rest = if is_second { first_send.await } else { second_send.await };
    count(shared, &second, end(&rest, !is_second));
    vec![sent(ended, outcome), sent(other, rest)]
}

fn sent(attempt: &SendAttempt<'_>, outcome: SendOutcome) -> Sent {
    (attempt.target.id.clone(), outcome)
}

/// Whether nothing is gained by waiting for the other target: there is an
/// answer, or the request is now suspected of ending its targets.
fn decides(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::Answered(response) => response.status != StatusCode::INTERNAL_SERVER_ERROR,
        SendOutcome::TargetExited => true,
        SendOutcome::NotRun | SendOutcome::MayHaveRun => false,
    }
}

/// What became of a second send, as the label value in metrics, after the last
/// outcome, which is that of the second send or of the first.
fn end(last: &SendOutcome, is_second: bool) -> &'static str {
    match (last, decides(last)) {
        (SendOutcome::TargetExited, _) => "target_exited",
        (_, true) if is_second => "won",
        (_, true) => "lost",
        (_, false) => "failed",
    }
}

fn count(shared: &Shared, second: &SendAttempt<'_>, end: &str) {
    shared.meters.hedges.with_label_values(&[end]).inc();
    log::debug!("request {}: second send, to {}: {end}", second.plain.id, second.target.id);
}

/// The delay after which the request may be sent to a second target; `None` if
/// it is never.
fn delay(
    shared: &Shared,
    route: &Route,
    first: &SendAttempt<'_>,
    tried: usize,
) -> Option<Duration> {
    let request = Request {
        is_repeatable: route.kind == RouteKind::Idempotent,
        is_suspected: first.is_probe,
        targets_left: route.max_attempts.saturating_sub(u32::try_from(tried).ok()? + 1),
        target_latency_ms: route.target_latency_ms,
    };
    let hedges = &mut shared.control.borrow_mut().hedges;
    hedges.when(shared.now(), &first.target.pool, &request).ok().map(Duration::from_millis)
}

/// Takes a second send that is due from the budget and chooses its target.
fn take(
    shared: &Shared,
    first: &SendAttempt<'_>,
    tried: &[String],
    salt: u64,
) -> Result<Announcement, Reason> {
    let (now, plain) = (shared.now(), first.plain);
    let target = targets::choose_second(shared, first.target, tried, salt);
    let is_suspected = suspects::verdict(shared, || plain.subject()) != Verdict::Free;
    let control = &mut *shared.control.borrow_mut();
    let due = Due {
        first: &first.target.id,
        sent_at: first.began,
        left_ms: plain.deadline.since(now).saturating_sub(MARGIN_MS),
        is_suspected,
        is_broken: first.is_checking.get(),
        is_stopping: control.is_stopping(),
        has_target: target.is_some(),
    };
    control.hedges.take(now, &first.target.pool, &due)?;
    target.ok_or(Reason::NoTarget)
}

/// Records that a send is about to be dropped because the other one decided.
fn cancelled(shared: &Rc<Shared>, loser: &SendAttempt<'_>, is_first: bool) {
    let now = shared.now();
    let target = loser.target;
    {
        let control = &mut *shared.control.borrow_mut();
        control.observations.connection_closed(&target.id);
        control.hedges.settle(now, &target.pool, is_first, now.since(loser.began));
    }
    if loser.is_checking.get() {
        // Whether the target exited under the request has to be known.
        let (shared, target, subject) = (shared.clone(), target.clone(), loser.plain.subject());
        tokio::task::spawn_local(async move {
            suspects::check_ended(&shared, &target, subject, false).await;
        });
    }
}

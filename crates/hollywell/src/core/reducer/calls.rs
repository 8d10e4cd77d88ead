//! Calls to plain services: admission, dispatch without a key, and retries.
//!
//! Requests without a key are independent of each other: the instance that
//! received one knows whether it ran, and may report "not run". Keyed calls
//! are handled in [`super::keyed`].

use super::{Attempt, Path, Pending, Purpose, State};
use crate::{
    core::{
        effect::{Counted, Effect, Reply},
        event::{Call, End},
        id::{Dispatch, Request},
        member::Target,
        route::Candidate,
        time::Time,
    },
    error::Kind,
};

impl State {
    pub(super) fn on_call(&mut self, request: Request, arrived: Time, call: &Call) {
        if let Some(kind) = self.refusal_at_entry(call) {
            let reported = if call.key.is_some() { Kind::Unverified } else { kind };
            self.refuse(request, reported);
            return;
        }
        // The deadline does not count from `arrived`: after a pause of the
        // process that is the start of the pause, and a caller that has just
        // connected must not be refused because of it.
        let deadline = self.now.after(call.timeout_ms);
        let path = Path::Plain { tried: vec![] };
        self.pending.insert(request, Pending { call: call.clone(), deadline, path });
        match &call.key {
            Some(key) => self.accept_keyed(request, arrived, key),
            None => self.dispatch_plain(request, Kind::NoTarget),
        }
    }

    fn refusal_at_entry(&self, call: &Call) -> Option<Kind> {
        if self.draining.is_some() {
            return Some(Kind::Draining);
        }
        if self.pending.len() >= self.config.calls {
            return Some(Kind::Overloaded);
        }
        let exists = self.members.has_pool(&call.pool);
        (!exists).then_some(Kind::UnknownPool)
    }

    /// Dispatches a call without a key to a target that it was not sent to
    /// yet, or refuses it as `otherwise` if there is none.
    fn dispatch_plain(&mut self, request: Request, otherwise: Kind) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let Path::Plain { tried } = &pending.path else {
            return;
        };
        let (pool, deadline) = (pending.call.pool.clone(), pending.deadline);
        let tried = tried.clone();
        if self.now >= deadline {
            self.refuse(request, Kind::DeadlinePassed);
            return;
        }
        let Some(target) = self.choose_target(&pool, &tried) else {
            self.refuse(request, otherwise);
            return;
        };
        if let Some(pending) = self.pending.get_mut(&request) {
            let mut tried = tried;
            tried.push(target.clone());
            pending.path = Path::Plain { tried };
        }
        self.dispatch(&target, request, Purpose::Call(request), deadline, deadline);
    }

    /// Dispatches a request to a target.
    pub(super) fn dispatch(
        &mut self,
        target: &str,
        request: Request,
        purpose: Purpose,
        before: Time,
        deadline: Time,
    ) -> Dispatch {
        let dispatch = self.new_dispatch();
        let mut address = String::new();
        if let Some(known) = self.members.targets.get_mut(target) {
            known.in_flight += 1;
            address.clone_from(&known.listed.address);
        }
        let attempt = Attempt { target: target.to_owned(), purpose };
        self.attempts.insert(dispatch, attempt);
        self.emit(Effect::Dispatch { request, dispatch, address, before, deadline });
        dispatch
    }

    pub(super) fn choose_target(&mut self, pool: &str, tried: &[String]) -> Option<String> {
        let usable = |target: &&Target| {
            target.listed.pool == pool
                && target.is_usable(self.now)
                && !tried.contains(&target.listed.name)
        };
        let candidates: Vec<Candidate<'_>> = self
            .members
            .targets
            .values()
            .filter(usable)
            .map(|target| Candidate {
                name: &target.listed.name,
                load: relative_load(target),
                is_local: target.listed.domain == self.config.domain,
            })
            .collect();
        self.choices += 1;
        let chosen = self.config.policy.choose(&candidates, self.choices, &mut self.rng);
        chosen.map(str::to_owned)
    }

    /// Records the end of an attempt and passes it to the code that started
    /// the attempt.
    pub(super) fn on_target_ended(&mut self, dispatch: Dispatch, end: End, leaving: bool) {
        let Some(attempt) = self.attempts.remove(&dispatch) else {
            self.emit(Effect::Forget { dispatch });
            return;
        };
        self.record_target_result(&attempt, end, leaving);
        match attempt.purpose {
            Purpose::Call(request) => self.end_plain(request, dispatch, end),
            Purpose::Key { key, request, tried } => {
                self.end_keyed(&key, request, tried, dispatch, end);
            }
            Purpose::Sample { .. } => {}
        }
    }

    fn record_target_result(&mut self, attempt: &Attempt, end: End, leaving: bool) {
        if leaving {
            self.members.mark_leaving(&attempt.target);
        }
        let Some(target) = self.members.targets.get_mut(&attempt.target) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        match end {
            End::Answered => target.breaker.succeed(),
            End::NotSent | End::Broken => target.breaker.fail(self.now),
            End::NotRun => {}
        }
        if end == End::Answered {
            self.budget.earn();
        }
    }

    fn end_plain(&mut self, request: Request, dispatch: Dispatch, end: End) {
        let Some(pending) = self.pending.get(&request) else {
            self.emit(Effect::Forget { dispatch });
            return;
        };
        let idempotent = pending.call.idempotent;
        let certainly_not_run = matches!(end, End::NotSent | End::NotRun);
        if end == End::Answered {
            self.reply(request, Reply::Stored(dispatch));
            self.emit(Effect::Forget { dispatch });
            return;
        }
        let refusal = match certainly_not_run {
            true => Kind::TargetRefused,
            false => Kind::OutcomeUnknown,
        };
        let may_retry = certainly_not_run || idempotent;
        if may_retry && self.budget.spend() {
            self.count(Counted::Retry);
            self.dispatch_plain(request, refusal);
        } else {
            self.refuse(request, refusal);
        }
    }

    /// Handles a caller's disconnect. A call runs to its end, when its bytes
    /// are dropped; a step is abandoned, since it serves only its caller.
    pub(super) fn on_caller_disconnected(&mut self, request: Request) {
        self.abandon_step(request);
    }
}

/// A target's load relative to its slots. This instance's requests in attempt
/// are added to the reported load, because the report lags.
pub(super) fn relative_load(target: &Target) -> f64 {
    let own = f64::from(target.in_flight + target.samples);
    match &target.load {
        Some(load) => {
            let reported = f64::from(load.running + load.waiting);
            (own + reported) / f64::from(load.slots.max(1))
        }
        None => own,
    }
}

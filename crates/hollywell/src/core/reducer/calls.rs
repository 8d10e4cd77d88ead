//! Calls to plain services: entry, dispatch without a key, and retries.
//!
//! Without a key every request is its own: the instance that it reached
//! knows all there is to know, and may say "not run". Keyed calls go to
//! [`super::keyed`].

use super::{Flight, Path, Pending, Purpose, State};
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
            let known = if call.key.is_some() { Kind::Unverified } else { kind };
            self.refuse(request, known);
            return;
        }
        // Not from `arrived`, which is earlier after a pause: a caller that
        // has just come must not be turned away for it.
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
        let known = self.members.has_pool(&call.pool);
        (!known).then_some(Kind::UnknownPool)
    }

    /// Sends an unkeyed call to a target that it was not sent to yet, or
    /// refuses it as `otherwise`.
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

    /// Sends a request's bytes to a target.
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
        let flight = Flight { target: target.to_owned(), purpose };
        self.flights.insert(dispatch, flight);
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

    /// Notes the end of an attempt and hands it to whoever it was for.
    pub(super) fn on_target_ended(&mut self, dispatch: Dispatch, end: End, leaving: bool) {
        let Some(flight) = self.flights.remove(&dispatch) else {
            self.emit(Effect::Forget { dispatch });
            return;
        };
        self.record_target_result(&flight, end, leaving);
        match flight.purpose {
            Purpose::Call(request) => self.end_plain(request, dispatch, end),
            Purpose::Key { key, request, tried } => {
                self.end_keyed(&key, request, tried, dispatch, end);
            }
            Purpose::Sample { .. } => {}
        }
    }

    fn record_target_result(&mut self, flight: &Flight, end: End, leaving: bool) {
        if leaving {
            self.members.mark_leaving(&flight.target);
        }
        let Some(target) = self.members.targets.get_mut(&flight.target) else {
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
        let given_up = match certainly_not_run {
            true => Kind::TargetRefused,
            false => Kind::OutcomeUnknown,
        };
        let may_retry = certainly_not_run || idempotent;
        if may_retry && self.budget.spend() {
            self.count(Counted::Retry);
            self.dispatch_plain(request, given_up);
        } else {
            self.refuse(request, given_up);
        }
    }

    /// Notes that a caller has gone. A call goes on to its end, which drops
    /// its bytes; a step is of no use to anyone else.
    pub(super) fn on_caller_disconnected(&mut self, request: Request) {
        self.abandon_step(request);
    }
}

/// A target's load relative to its slots, with this instance's requests in
/// flight on top of the lagging report.
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

//! Steps and samples: starting samples on engines, judging the results and
//! delivering them.

use std::collections::BTreeSet;

use super::{Attempt, Purpose, State, calls::relative_load};
use crate::{
    core::{
        effect::{Counted, Effect},
        id::{Dispatch, Request},
        member::{self, Members, Target},
        rollout::{End, Opening, Slot, Step, Verdict},
        route::{self, Candidate},
        table,
        time::Time,
    },
    error::Kind,
};

impl State {
    pub(super) fn on_load(&mut self, target: &str, load: Option<&member::Load>) {
        let Some(engine) = self.members.targets.get_mut(target) else {
            return;
        };
        let Some(load) = load else {
            engine.load = None;
            return;
        };
        engine.breaker.succeed();
        engine.load = Some(load.clone());
        if load.leaving {
            engine.leaving = true;
        }
        self.forget_order(target);
    }

    pub(super) fn on_step_opened(&mut self, request: Request, opening: &Opening) {
        if let Some(kind) = self.step_refusal(opening) {
            let missing = opening.groups.iter().map(|group| group.missing.len()).sum();
            self.emit(Effect::EndStep { request, missing, reason: Some(kind) });
            return;
        }
        self.steps.record_version(&opening.trainer, opening.version);
        self.steps.open.insert(request, Step::new(opening.clone(), self.now));
        self.end_if_done(request);
    }

    fn step_refusal(&self, opening: &Opening) -> Option<Kind> {
        if self.draining.is_some() {
            return Some(Kind::Draining);
        }
        if self.fold.state().table.row(&opening.trainer).is_none() {
            return Some(Kind::UnknownTrainer);
        }
        (self.steps.open.len() >= self.config.steps).then_some(Kind::Overloaded)
    }

    /// Starts samples as long as one is waiting and an engine has capacity for
    /// it.
    pub(super) fn start_samples(&mut self) {
        if self.draining.is_some() {
            return;
        }
        loop {
            let order = self.steps.in_order(&self.fold.state().table);
            let started = order.into_iter().any(|request| self.start_waiting(request));
            if !started {
                return;
            }
        }
    }

    /// Starts hedged attempts for stragglers of steps that are near their end.
    pub(super) fn hedge_samples(&mut self) {
        let budget_percent = self.config.policy.hedge_percent;
        if self.draining.is_some() || budget_percent == 0 {
            return;
        }
        let steps = self.steps.open.iter();
        let stragglers: Vec<(Request, Slot)> = steps
            .filter_map(|(request, step)| {
                step.straggler(self.now, budget_percent).map(|slot| (*request, slot))
            })
            .collect();
        for (request, slot) in stragglers {
            if self.start_sample(request, slot) {
                self.count(Counted::Hedge);
            }
        }
    }

    fn start_waiting(&mut self, request: Request) -> bool {
        let step = self.steps.open.get(&request);
        let slot = step.and_then(Step::next_waiting);
        slot.is_some_and(|slot| self.start_sample(request, slot))
    }

    fn start_sample(&mut self, request: Request, slot: Slot) -> bool {
        let Some(step) = self.steps.open.get(&request) else {
            return false;
        };
        let (deadline, trainer) = (step.deadline(), step.opening().trainer.clone());
        let row = self.fold.state().table.row(&trainer).cloned();
        let Some(row) = row else {
            return false;
        };
        let tried = self.engines_of(&step.others(slot, Dispatch(0)));
        if self.steps.running(&trainer) >= row.in_flight {
            return false;
        }
        let cached = step.engine_of(slot.group).map(str::to_owned);
        let Some(target) = self.choose_engine(&row, &tried, cached.as_deref()) else {
            return false;
        };
        let dispatch = self.new_dispatch();
        let Some(engine) = self.members.targets.get_mut(&target) else {
            return false;
        };
        engine.samples += 1;
        let address = engine.listed.address.clone();
        if let Some(step) = self.steps.open.get_mut(&request) {
            step.start(slot, dispatch, self.now);
            step.record_engine(slot.group, &target);
        }
        let purpose = Purpose::Sample { request, slot };
        self.attempts.insert(dispatch, Attempt { target, purpose });
        let priority = row.priority;
        self.emit(Effect::Generate { request, dispatch, slot, address, priority, deadline });
        true
    }

    /// Sum of the weights of the trainers that have a step open here.
    pub(super) fn demand(&self) -> u32 {
        let table = &self.fold.state().table;
        let open = self.steps.open.values().map(|step| step.opening().trainer.as_str());
        let trainers: BTreeSet<&str> = open.collect();
        trainers.iter().filter_map(|trainer| table.row(trainer)).map(|row| row.weight).sum()
    }

    /// This instance's share of the engines' slots: the weights of its
    /// trainers relative to those at all instances. Instances without an open
    /// step have no share, so that no slots are left idle for them.
    fn share(&self) -> f64 {
        let own = f64::from(self.demand().max(1));
        let live = self.members.peers.values().filter(|peer| self.is_live(peer));
        let others: f64 = live.map(|peer| f64::from(peer.demand)).sum();
        own / (own + others)
    }

    fn engines_of(&self, dispatches: &[Dispatch]) -> Vec<String> {
        let attempts = dispatches.iter().filter_map(|dispatch| self.attempts.get(dispatch));
        attempts.map(|attempt| attempt.target.clone()).collect()
    }

    /// Chooses an engine with capacity that serves an acceptable version and
    /// is not among those `tried`. It is the `cached` one, which has the prompt
    /// in its cache, unless that is much more loaded than the others.
    fn choose_engine(
        &mut self,
        row: &table::Row,
        tried: &[String],
        cached: Option<&str>,
    ) -> Option<String> {
        let policy = self.config.policy;
        let requirements = Requirements {
            trainer: &row.trainer,
            oldest: self.steps.oldest(row),
            tried,
            now: self.now,
            quota: SlotQuota { reserve_percent: self.config.reserve_percent, share: self.share() },
            fixed: policy.fixed_samples,
        };
        let candidates = requirements.engines(&self.members);
        let cached = cached.filter(|_| policy.affinity);
        if let Some(name) = cached.and_then(|name| route::within_bound(&candidates, name)) {
            return Some(name.to_owned());
        }
        self.choices += 1;
        policy.choose(&candidates, self.choices, &mut self.rng).map(str::to_owned)
    }

    pub(super) fn on_sample_ended(&mut self, dispatch: Dispatch, end: &End) {
        let Some(attempt) = self.attempts.remove(&dispatch) else {
            self.emit(Effect::Forget { dispatch });
            return;
        };
        if let Some(engine) = self.members.targets.get_mut(&attempt.target) {
            engine.samples = engine.samples.saturating_sub(1);
            match end {
                End::Complete(_) => engine.breaker.succeed(),
                End::Broken | End::Refused => engine.breaker.fail(self.now),
            }
        }
        let Purpose::Sample { request, slot } = attempt.purpose else {
            return;
        };
        self.judge_sample(request, slot, dispatch, end);
        self.end_if_done(request);
    }

    fn judge_sample(&mut self, request: Request, slot: Slot, dispatch: Dispatch, end: &End) {
        let trainer = self.steps.open.get(&request).map(|step| step.opening().trainer.clone());
        let table = &self.fold.state().table;
        let row = trainer.as_deref().and_then(|trainer| table.row(trainer));
        let Some(row) = row.cloned() else {
            // The row was removed from the table; the next tick ends the step.
            self.emit(Effect::Forget { dispatch });
            return;
        };
        if let End::Complete(versions) = end {
            for version in versions {
                self.steps.record_version(&row.trainer, *version);
            }
        }
        let oldest = self.steps.oldest(&row);
        let Some(step) = self.steps.open.get_mut(&request) else {
            return;
        };
        let others = step.others(slot, dispatch);
        let verdict = step.end(slot, dispatch, end, oldest, self.now);
        let counted = match verdict {
            Verdict::Deliver(slot) => {
                self.deliver(request, dispatch, slot, end);
                for other in others {
                    self.cancel_sample(other);
                    if let Some(step) = self.steps.open.get_mut(&request) {
                        step.record_cancel();
                    }
                }
                Counted::SampleDelivered
            }
            Verdict::Duplicate => Counted::SampleDuplicate,
            Verdict::Stale => Counted::SampleStale,
            Verdict::Unversioned => Counted::SampleUnversioned,
            Verdict::Failed => Counted::SampleFailed,
        };
        self.count(counted);
        self.emit(Effect::Forget { dispatch });
    }

    fn deliver(&mut self, request: Request, dispatch: Dispatch, slot: Slot, end: &End) {
        if let End::Complete(versions) = end {
            let versions = versions.clone();
            self.emit(Effect::Deliver { request, dispatch, slot, versions });
        }
    }

    fn end_if_done(&mut self, request: Request) {
        let Some(step) = self.steps.open.get(&request) else {
            return;
        };
        let missing = step.missing();
        let is_drained = self.draining.is_some() && step.running() == 0;
        if missing == 0 {
            self.end_step(request, None);
        } else if is_drained {
            self.end_step(request, Some(Kind::Draining));
        }
    }

    fn end_step(&mut self, request: Request, reason: Option<Kind>) {
        let Some(step) = self.steps.open.remove(&request) else {
            return;
        };
        let missing = step.missing();
        self.emit(Effect::EndStep { request, missing, reason });
        self.cancel_samples(request);
    }

    /// Drops a step whose trainer has disconnected.
    pub(super) fn abandon_step(&mut self, request: Request) {
        if self.steps.open.remove(&request).is_some() {
            self.cancel_samples(request);
        }
    }

    fn cancel_samples(&mut self, request: Request) {
        let of_step = |attempt: &Attempt| matches!(attempt.purpose, Purpose::Sample { request: owner, .. } if owner == request);
        let running: Vec<Dispatch> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| of_step(attempt))
            .map(|(dispatch, _)| *dispatch)
            .collect();
        for dispatch in running {
            self.cancel_sample(dispatch);
        }
    }

    /// Cancels an attempt whose result is no longer needed. It is forgotten at
    /// once, because its end says nothing about the health of its engine.
    fn cancel_sample(&mut self, dispatch: Dispatch) {
        let Some(attempt) = self.attempts.remove(&dispatch) else {
            return;
        };
        if let Some(engine) = self.members.targets.get_mut(&attempt.target) {
            engine.samples = engine.samples.saturating_sub(1);
        }
        self.emit(Effect::Cancel { dispatch });
        self.emit(Effect::Forget { dispatch });
    }

    /// Returns why a step must end now although samples are missing, or `None`
    /// if it goes on.
    fn end_of(&self, step: &Step) -> Option<Kind> {
        let row = self.fold.state().table.row(&step.opening().trainer);
        if self.now >= step.deadline() {
            Some(Kind::DeadlinePassed)
        } else if row.is_none() {
            Some(Kind::UnknownTrainer)
        } else {
            None
        }
    }

    /// Ends steps whose deadline has passed or whose trainer's row was removed
    /// and, if this instance is stopping, steps without running samples.
    pub(super) fn end_late_steps(&mut self) {
        let steps = self.steps.open.iter();
        let ended: Vec<(Request, Kind)> =
            steps.filter_map(|(request, step)| Some((*request, self.end_of(step)?))).collect();
        for (request, kind) in ended {
            self.end_step(request, Some(kind));
        }
        if self.draining.is_some() {
            let open: Vec<Request> = self.steps.open.keys().copied().collect();
            for request in open {
                self.end_if_done(request);
            }
        }
    }
}

/// What an engine must satisfy to be given a sample.
struct Requirements<'a> {
    trainer: &'a str,
    oldest: u64,
    tried: &'a [String],
    now: Time,
    quota: SlotQuota,
    fixed: Option<u32>,
}

impl Requirements<'_> {
    /// Returns the engines that may be given the sample; none if this instance
    /// has already used up its share of all slots.
    fn engines<'m>(&self, members: &'m Members) -> Vec<Candidate<'m>> {
        let targets = || members.targets.values();
        let slots: u32 = targets().filter_map(|target| Some(target.load.as_ref()?.slots)).sum();
        let samples: u32 = targets().map(|target| target.samples).sum();
        if self.fixed.is_none() && samples >= self.quota.total(slots) {
            return vec![];
        }
        let candidate = |target: &'m Target| Candidate {
            name: &target.listed.name,
            load: relative_load(target),
            // Any engine may serve rollouts of any failure domain: preferring
            // local engines would leave this instance's share of the others
            // idle.
            is_local: true,
        };
        targets().filter(|target| self.is_eligible(target)).map(candidate).collect()
    }

    fn is_eligible(&self, target: &Target) -> bool {
        let Some(load) = &target.load else {
            return false;
        };
        let serves = load.versions.get(self.trainer).is_some_and(|v| *v >= self.oldest);
        let is_new = !self.tried.contains(&target.listed.name);
        serves && is_new && self.has_capacity(target, load) && target.is_usable(self.now)
    }

    fn has_capacity(&self, target: &Target, load: &member::Load) -> bool {
        let is_full = load.running + load.waiting >= load.slots;
        match self.fixed {
            Some(fixed) => target.samples < fixed,
            None => {
                target.samples < self.quota.per_engine(load.slots)
                    && !(is_full && target.samples > 0)
            }
        }
    }
}

/// The share of the engines' slots that one instance may use for samples.
struct SlotQuota {
    reserve_percent: u32,
    share: f64,
}

impl SlotQuota {
    fn usable(&self, slots: u32) -> f64 {
        f64::from(slots * (100 - self.reserve_percent.min(100))) / 100.0
    }

    /// Maximum number of samples in attempt at one engine with `slots` slots.
    /// It is rounded up: an excess at one engine is compensated at others,
    /// because the total is bounded.
    fn per_engine(&self, slots: u32) -> u32 {
        (self.usable(slots) * self.share).ceil() as u32
    }

    /// Maximum number of samples in attempt at all engines, with `slots` slots
    /// together. It is at least one, so that every step makes progress.
    fn total(&self, slots: u32) -> u32 {
        ((self.usable(slots) * self.share) as u32).max(1)
    }
}

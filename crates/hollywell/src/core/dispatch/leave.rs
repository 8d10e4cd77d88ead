//! Which runs should leave their target, and why.
//!
//! Going on elsewhere costs an engine some milliseconds of reading, so a run
//! is moved readily, but only to where it has a place at once: moved into
//! another queue it would have gained nothing.

use std::collections::BTreeSet;

use super::{
    Effect, MoveReason, Progress, Run, Running, Slot, Stage, State, TOKENS_AN_EVENT,
    locality::{self, Who},
};
use crate::core::{
    choice::{Need, Observations},
    fleet::Fleet,
    time::Time,
};

/// Silence of a stream after which its target is taken for broken, in
/// milliseconds: some thirty times the usual time between events.
const SILENCE_MS: u64 = 1_200;
/// Silence after which a stream goes on at a target that has a free place,
/// in milliseconds, and in times of the target's usual pace. Going on
/// elsewhere costs an engine some milliseconds of reading.
const STALL_MS: u64 = 250;
/// See [`STALL_MS`].
const STALL_PACES: f64 = 5.0;
/// Time without any answer after which a queued request goes to a target
/// that has a free place, in milliseconds.
const QUEUED_MS: u64 = 400;
/// Time without any answer after which a target is taken for broken, in
/// milliseconds. A queue moves on within a median sample's time.
const QUEUED_MOST_MS: u64 = 4_000;
/// What a move to a faster target must gain, in milliseconds.
const MOVE_GAIN_MS: f64 = 250.0;
/// How much slower than the other one a target must be for a run to leave
/// it. Paces of equal engines differ by a twentieth, at times by a tenth;
/// each move costs a connection.
const MOVE_SLOWER: f64 = 1.2;
/// Events of a run after which its pace is taken into account.
const MOVE_LEAST_EVENTS: u32 = 6;
/// Of what a sample has taken so far, the share that it will take on top
/// where its estimate is used up: lengths have a heavy tail.
const TAIL_SHARE: f64 = 0.5;
/// Requests at a target for each of its slots up to which it has a free
/// place for a run that moves.
const FREE_LOAD: f64 = 0.85;

/// How long the number of targets is taken for what it was, in milliseconds: it
/// is a mean's denominator, and there may be thousands to be counted.
const COUNT_MS: u64 = 500;

impl State {
    /// Moves runs off targets that are silent, slow, leaving or gone.
    pub(super) fn watch(
        &mut self,
        now: Time,
        fleet: &Fleet,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) {
        self.expect(now, fleet, observations);
        self.look_around(now, fleet, observations);
        let mut runs: Vec<Run> = self.runs.keys().copied().collect();
        runs.sort();
        for run in runs {
            if let Some(why) = self.judge(now, run, fleet, observations) {
                self.move_away(now, run, why, observations, effects);
            }
        }
        self.give_up(now, effects);
    }

    /// What the other instances probably have at each engine: as much as
    /// this one, since groups are dealt out evenly.
    fn expect(&mut self, now: Time, fleet: &Fleet, observations: &mut Observations) {
        let is_kept = |(at, targets): &(Time, usize)| {
            now.since(*at) < COUNT_MS && *targets > 0 && !locality::is_small(fleet)
        };
        let counted = self.targets.filter(is_kept);
        let (at, targets) = counted.unwrap_or_else(|| {
            let pools: BTreeSet<&str> = self.jobs.values().map(|o| o.work.pool.as_str()).collect();
            (now, pools.iter().map(|pool| fleet.usable(pool).count()).sum())
        });
        self.targets = Some((at, targets));
        let others = self.members.len().saturating_sub(1) * self.runs.len();
        observations.expect_others(others as f64 / targets.max(1) as f64);
    }

    /// Keeps the targets that are looked at up to date where samples run.
    fn look_around(&mut self, now: Time, fleet: &Fleet, observations: &Observations) {
        let salt = xxhash_rust::xxh3::xxh3_64(self.me.as_bytes());
        for open in self.jobs.values_mut() {
            let runs = |progress: &&Progress| matches!(progress.stage, Stage::Running(_));
            let samples = open.progress.iter().filter(runs).count();
            if samples > 0 {
                let who = Who { salt, domain: &self.domain, samples };
                open.locality.renew(now, who, &open.work, fleet, observations);
            }
        }
    }

    /// Whether a run should leave its target, and why.
    fn judge(
        &self,
        now: Time,
        run: Run,
        fleet: &Fleet,
        observations: &Observations,
    ) -> Option<MoveReason> {
        let running = self.runs.get(&run)?;
        let silent_ms = now.since(running.heard_at);
        let patience_ms = if running.head { SILENCE_MS } else { QUEUED_MOST_MS };
        if silent_ms > patience_ms {
            return Some(MoveReason::Broken);
        }
        // A target that has started again knows nothing of the run.
        let target = fleet.targets.get(&running.target);
        if target.is_none_or(|target| target.announcement.born != running.born) {
            return Some(MoveReason::Gone);
        }
        // What could not begin again here stays where it is. While a
        // partition of jobs could not be read, samples of its jobs that left
        // a slow target stood still for 4.4 s (log of one played day).
        if !self.may_begin(&running.slot) {
            return None;
        }
        let pace = observations.pace_of(&running.target);
        let stall_ms =
            if running.head { STALL_MS.max((pace * STALL_PACES) as u64) } else { QUEUED_MS };
        if silent_ms > stall_ms && self.free_place(now, running, fleet, observations).is_some() {
            return Some(MoveReason::Stalled);
        }
        if running.events < MOVE_LEAST_EVENTS {
            return None;
        }
        let faster = self.free_place(now, running, fleet, observations)?;
        let there = observations.pace_of(&faster);
        let gain = self.events_left(running) * (pace - there);
        (gain > MOVE_GAIN_MS && pace > there * MOVE_SLOWER).then_some(MoveReason::Slow)
    }

    /// Whether a sample is this instance's to begin, and its job is known to
    /// be open.
    fn may_begin(&self, slot: &Slot) -> bool {
        self.jobs.get(&slot.job).is_some_and(|open| {
            open.progress[slot.at].mine && !self.stale.contains(&open.work.part)
        })
    }

    /// Another target with a free place that could go on with a run.
    fn free_place(
        &self,
        now: Time,
        running: &Running,
        fleet: &Fleet,
        observations: &Observations,
    ) -> Option<String> {
        let open = self.jobs.get(&running.slot.job)?;
        let work = &open.work;
        let events = self.events_left(running);
        let instances = self.members.len() as f64;
        let need = Need { events, max_load: FREE_LOAD, instances, salt: 0 };
        let targets = open.locality.targets(work, fleet).into_iter();
        let targets = targets
            .filter(|said| said.id != running.target)
            .filter(|said| said.versions.get(&work.model) >= Some(&work.min_version));
        observations.choose(now, targets, need).map(|target| target.id.clone())
    }

    /// Events that a run is expected to take still.
    fn events_left(&self, running: &Running) -> f64 {
        let Some(open) = self.jobs.get(&running.slot.job) else {
            return 0.0;
        };
        let so_far = f64::from(open.progress[running.slot.at].events + running.events);
        let estimate = f64::from(open.work.samples[running.slot.at].tokens) / TOKENS_AN_EVENT;
        (estimate - so_far).max(so_far * TAIL_SHARE).max(1.0)
    }

    fn move_away(
        &mut self,
        now: Time,
        run: Run,
        why: MoveReason,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) {
        let Some(running) = self.runs.get(&run).cloned() else {
            return;
        };
        match why {
            MoveReason::Broken => observations.record_failure(now, &running.target),
            MoveReason::Stalled => observations.record_stall(now, &running.target),
            MoveReason::Gone | MoveReason::Slow => {}
        }
        self.stop(run, observations, effects);
        if let Some(open) = self.jobs.get_mut(&running.slot.job) {
            let progress = &mut open.progress[running.slot.at];
            progress.stage = Stage::Idle;
            progress.events += running.events;
        }
        effects.push(Effect::Moved { slot: running.slot, target: running.target, why });
    }
}

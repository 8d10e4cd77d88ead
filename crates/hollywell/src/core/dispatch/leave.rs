//! Decides which runs should leave their target, and why.
//!
//! Resuming at another target costs that engine a few milliseconds to read the
//! text so far, so runs are moved readily, but only to a target with a free
//! slot: moved into another queue a run would gain nothing.

use std::collections::BTreeSet;

use super::{
    Effect, MoveReason, Progress, Run, Running, SampleId, Stage, State, TOKENS_PER_EVENT,
    locality::{self, Selector},
};
use crate::core::{
    choice::{Need, Observations},
    fleet::{Announcement, Fleet},
    time::Time,
};

/// Time without events after which the target of a running stream is taken for
/// broken, in milliseconds: about thirty times the usual time between events.
const IDLE_TIMEOUT_MS: u64 = 1_200;
/// Time without events after which a stream moves to a target that has a free
/// slot: at least this many milliseconds, and at least [`STALL_GAPS`] times the
/// target's mean time between events. Resuming elsewhere costs an engine a few
/// milliseconds to read the text so far.
const STALL_MS: u64 = 250;
/// See [`STALL_MS`].
const STALL_GAPS: f64 = 5.0;
/// Time without an answer after which a queued request moves to a target that
/// has a free slot, in milliseconds.
const QUEUE_STALL_MS: u64 = 400;
/// Time without an answer after which a target is taken for broken, in
/// milliseconds. A queue advances within the run time of a median sample.
const QUEUE_TIMEOUT_MS: u64 = 4_000;
/// Minimum time that a move to a faster target must save, in milliseconds.
const MOVE_MIN_GAIN_MS: f64 = 250.0;
/// Minimum ratio between the pace of the current target and that of the faster
/// one for a move. The paces of equal engines differ by a twentieth, at times
/// by a tenth, and each move costs a connection.
const MOVE_MIN_RATIO: f64 = 1.2;
/// Events that a run must have received before it may move for speed.
const MOVE_MIN_EVENTS: u32 = 6;
/// Expected remaining events as a share of those received, once a sample has
/// exceeded its estimate: the lengths of samples have a heavy tail.
const TAIL_SHARE: f64 = 0.5;
/// Highest load, in requests per slot, at which a target counts as having a
/// free slot for a run that moves.
const MOVE_MAX_LOAD: f64 = 0.85;

/// How long counts are reused, in milliseconds. They only enter a mean, and there
/// may be thousands of targets and samples to count.
const COUNTS_AGE_MS: u64 = 500;

/// What the load of the other instances is estimated from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counts {
    at: Time,
    /// Targets in the pools of the open jobs.
    targets: usize,
    /// Open samples that other instances run.
    others_open: usize,
}

impl State {
    /// Moves runs away from targets that are unresponsive, slow, gone or
    /// restarted, and gives up expired samples.
    pub(super) fn check_runs(
        &mut self,
        now: Time,
        fleet: &Fleet,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) {
        self.refresh_pools(fleet);
        self.estimate_other_load(now, fleet, observations);
        self.refresh_localities(now, fleet, observations);
        let mut runs: Vec<Run> = self.runs.keys().copied().collect();
        runs.sort();
        for run in runs {
            if let Some(why) = self.move_reason(now, run, fleet, observations) {
                self.move_away(now, run, why, observations, effects);
            }
        }
        self.give_up_expired(now, effects);
        self.report_unplaced(now, fleet, observations, effects);
    }

    /// Estimates the load of the other instances at each target. Groups are
    /// assigned evenly, so each of them is assumed to have as many runs as this
    /// one, but together not more than they have open samples: otherwise the last
    /// instance with runs would take all targets for full.
    fn estimate_other_load(&mut self, now: Time, fleet: &Fleet, observations: &mut Observations) {
        let is_kept = |counts: &Counts| {
            now.since(counts.at) < COUNTS_AGE_MS && counts.targets > 0 && !locality::is_small(fleet)
        };
        let counts = self.counts.filter(is_kept).unwrap_or_else(|| self.count(now, fleet));
        self.counts = Some(counts);
        let others = self.members.len().saturating_sub(1) * self.runs.len();
        let others = others.min(counts.others_open);
        let others = others as f64 / counts.targets.max(1) as f64;
        observations.expect_others(others, &self.open_pools());
    }

    /// The pools of the open jobs.
    fn open_pools(&self) -> BTreeSet<&str> {
        self.jobs.values().flat_map(|active| active.pools.names()).collect()
    }

    fn count(&self, now: Time, fleet: &Fleet) -> Counts {
        let pools = self.open_pools();
        let targets = pools.iter().map(|pool| fleet.usable(pool).count()).sum();
        let is_others = |progress: &&Progress| !progress.assigned && progress.stage != Stage::Done;
        let samples = self.jobs.values().flat_map(|active| &active.progress);
        Counts { at: now, targets, others_open: samples.filter(is_others).count() }
    }

    /// Refreshes the targets considered for jobs that have running samples.
    fn refresh_localities(&mut self, now: Time, fleet: &Fleet, observations: &Observations) {
        let salt = xxhash_rust::xxh3::xxh3_64(self.own_id.as_bytes());
        for active in self.jobs.values_mut() {
            let runs = |progress: &&Progress| matches!(progress.stage, Stage::Running(_));
            let samples = active.progress.iter().filter(runs).count();
            if samples > 0 {
                let selector = Selector { salt, domain: &self.domain, samples };
                active.refresh_localities(now, selector, fleet, observations);
            }
        }
    }

    /// Returns why a run should leave its target, if it should.
    fn move_reason(
        &self,
        now: Time,
        run: Run,
        fleet: &Fleet,
        observations: &Observations,
    ) -> Option<MoveReason> {
        let running = self.runs.get(&run)?;
        let idle_ms = now.since(running.last_event_at);
        let timeout_ms = if running.answered { IDLE_TIMEOUT_MS } else { QUEUE_TIMEOUT_MS };
        if idle_ms > timeout_ms {
            return Some(MoveReason::Broken);
        }
        // A target that has restarted knows nothing of the run.
        let target = fleet.targets.get(&running.target);
        if target.is_none_or(|target| target.announcement.start_ms != running.start_ms) {
            return Some(MoveReason::Gone);
        }
        // A run that this instance could not restart stays where it is: while a
        // partition of jobs could not be read, samples of its jobs that had
        // left a slow target stood still for 4.4 s (log of one test day).
        if !self.may_start(&running.sample_id) {
            return None;
        }
        let pace = observations.pace_of(&running.target);
        let stall_ms = if running.answered {
            STALL_MS.max((pace * STALL_GAPS) as u64)
        } else {
            QUEUE_STALL_MS
        };
        if idle_ms > stall_ms && self.free_target(now, running, fleet, observations).is_some() {
            return Some(MoveReason::Stalled);
        }
        if running.events < MOVE_MIN_EVENTS {
            return None;
        }
        let faster = self.free_target(now, running, fleet, observations)?;
        let other_pace = observations.pace_of(&faster);
        let gain = self.events_left(running) * (pace - other_pace);
        (gain > MOVE_MIN_GAIN_MS && pace > other_pace * MOVE_MIN_RATIO).then_some(MoveReason::Slow)
    }

    /// Whether a sample is assigned to this instance and its job is known to be
    /// open.
    fn may_start(&self, sample_id: &SampleId) -> bool {
        self.jobs.get(&sample_id.job).is_some_and(|active| {
            active.progress[sample_id.index].assigned && !self.stale.contains(&active.spec.part)
        })
    }

    /// Another target with a free slot that could resume a run.
    fn free_target(
        &self,
        now: Time,
        running: &Running,
        fleet: &Fleet,
        observations: &Observations,
    ) -> Option<String> {
        let active = self.jobs.get(&running.sample_id.job)?;
        let spec = &active.spec;
        let events = self.events_left(running);
        let instances = self.members.len() as f64;
        let need = Need { events, max_load: MOVE_MAX_LOAD, instances, salt: 0 };
        let pool = active.pool_of(running.sample_id.index);
        let targets = active.targets(pool, fleet).into_iter();
        let targets = targets.filter(|announcement| announcement.id != running.target).filter(
            |announcement| announcement.versions.get(&spec.model) >= Some(&spec.min_version),
        );
        let wanted = active.wanted_version(running.sample_id.index);
        let targets = targets.filter(|announcement| {
            wanted.is_none() || announcement.versions.get(&spec.model).copied() == wanted
        });
        let memory = fleet.memory_of(pool);
        let has_room = |target: &Announcement| {
            memory.is_none_or(|memory| self.has_room(now, target, running, memory, observations))
        };
        let best = observations.choose(now, targets, need).filter(|target| has_room(target));
        best.map(|target| target.id.clone())
    }

    /// Expected number of events until a run is complete.
    fn events_left(&self, running: &Running) -> f64 {
        let Some(active) = self.jobs.get(&running.sample_id.job) else {
            return 0.0;
        };
        let received = f64::from(active.progress[running.sample_id.index].events + running.events);
        let estimate =
            f64::from(active.spec.samples[running.sample_id.index].tokens) / TOKENS_PER_EVENT;
        (estimate - received).max(received * TAIL_SHARE).max(1.0)
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
        self.cancel(run, observations, effects);
        if let Some(active) = self.jobs.get_mut(&running.sample_id.job) {
            let progress = &mut active.progress[running.sample_id.index];
            progress.stage = Stage::Idle;
            progress.idle_since = running.left_at(now);
            progress.events += running.events;
        }
        effects.push(Effect::Moved { sample_id: running.sample_id, target: running.target, why });
    }
}

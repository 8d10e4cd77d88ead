//! Reports samples that are at no target: since when, and for what they wait;
//! and which instance's turn it is to run a sample, whenever that changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ActiveJob, Effect, Owners, Progress, Stage, State, Wait};
use crate::core::{choice::Observations, fleet::Fleet, time::Time};

/// Time at no target from which a sample is reported, and interval between
/// reports, in milliseconds: many times what placing a sample takes.
const REPORT_MS: u64 = 1_000;

/// Why a sample is at no target, as far as the instance knows whose turn it is.
/// The variant names are written to logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// What is known of the job's partition is out of date.
    Stale,
    /// No result of the job's partition can be stored.
    HeldBack,
    /// An attempt has just failed.
    BackOff,
    /// No target in use serves the job's model in a version that it allows.
    NoTarget,
    /// All targets that could run it have failed or refused requests just before.
    Avoided,
    /// There is no room for it.
    NoRoom(Wait),
    /// Its request is not sent yet: the text is read, or a connection is opened.
    Unsent {
        /// The target chosen for it.
        target: String,
    },
    /// Its request was sent, and is not answered.
    Unanswered {
        /// The target.
        target: String,
    },
}

impl Cause {
    /// The label value in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Cause::Stale => "Stale",
            Cause::HeldBack => "HeldBack",
            Cause::BackOff => "BackOff",
            Cause::NoTarget => "NoTarget",
            Cause::Avoided => "Avoided",
            Cause::NoRoom(_) => "NoRoom",
            Cause::Unsent { .. } => "Unsent",
            Cause::Unanswered { .. } => "Unanswered",
        }
    }
}

/// Reports the samples of a new job that this instance runs.
pub(super) fn report_own(
    own_id: &str,
    job: &str,
    progress: &[Progress],
    effects: &mut Vec<Effect>,
) {
    let is_own = |progress: &Progress| progress.assigned && progress.stage != Stage::Done;
    let own = progress.iter().enumerate().filter(|(_, progress)| is_own(progress));
    let samples: Vec<usize> = own.map(|(at, _)| at).collect();
    if !samples.is_empty() {
        let (job, to) = (job.to_owned(), Some(own_id.to_owned()));
        effects.push(Effect::Reassigned { job, from: None, to, samples });
    }
}

/// Reports the open samples of a job that this instance ran before a change of
/// members, or runs since.
pub(super) fn report_reassigned(
    own_id: &str,
    active: &ActiveJob,
    before: &Owners,
    effects: &mut Vec<Effect>,
) {
    let mut changed: BTreeMap<_, Vec<usize>> = BTreeMap::new();
    for (at, item) in active.spec.samples.iter().enumerate() {
        let (from, to) = (before.of(&item.group), active.owners.of(&item.group));
        let is_own = from == Some(own_id) || to == Some(own_id);
        if is_own && from != to && active.progress[at].stage != Stage::Done {
            changed.entry((from, to)).or_default().push(at);
        }
    }
    for ((from, to), samples) in changed {
        effects.push(Effect::Reassigned {
            job: active.spec.job.clone(),
            from: from.map(str::to_owned),
            to: to.map(str::to_owned),
            samples,
        });
    }
}

impl State {
    /// Reports the samples that this instance runs and that have been at no
    /// target for a while.
    pub(super) fn report_unplaced(
        &mut self,
        now: Time,
        fleet: &Fleet,
        observations: &Observations,
        effects: &mut Vec<Effect>,
    ) {
        if now.since(self.reported_at) < REPORT_MS {
            return;
        }
        self.reported_at = now;
        for active in self.jobs.values() {
            let mut unplaced: BTreeMap<Cause, Vec<(usize, Time)>> = BTreeMap::new();
            for (at, progress) in active.progress.iter().enumerate() {
                let Some(since) = self.unplaced_since(progress) else {
                    continue;
                };
                if now.since(since) >= REPORT_MS {
                    let cause = self.cause(now, active, at, fleet, observations);
                    unplaced.entry(cause).or_default().push((at, since));
                }
            }
            for (cause, samples) in unplaced {
                effects.push(Effect::Unplaced { job: active.spec.job.clone(), cause, samples });
            }
        }
    }

    /// Since when a sample that this instance runs is at no target.
    fn unplaced_since(&self, progress: &Progress) -> Option<Time> {
        match progress.stage {
            Stage::Idle if progress.assigned => Some(progress.idle_since),
            Stage::Running(run) => {
                let running = self.runs.get(&run).filter(|running| !running.answered)?;
                Some(running.idle_since)
            }
            _ => None,
        }
    }

    fn cause(
        &self,
        now: Time,
        active: &ActiveJob,
        at: usize,
        fleet: &Fleet,
        observations: &Observations,
    ) -> Cause {
        let progress = &active.progress[at];
        if let Stage::Running(run) = progress.stage
            && let Some(running) = self.runs.get(&run)
        {
            let target = running.target.clone();
            return if running.sent {
                Cause::Unanswered { target }
            } else {
                Cause::Unsent { target }
            };
        }
        if self.stale.contains(&active.spec.part) {
            return Cause::Stale;
        }
        if self.held_back.contains(&active.spec.part) && !progress.has_begun() {
            return Cause::HeldBack;
        }
        if now < progress.not_before {
            return Cause::BackOff;
        }
        let targets = active.targets(active.pool_of(at), fleet);
        if targets.is_empty() {
            return Cause::NoTarget;
        }
        if targets.iter().all(|target| observations.is_avoided(now, &target.id)) {
            return Cause::Avoided;
        }
        Cause::NoRoom(active.waits.unwrap_or(Wait::Places))
    }
}

//! Scheduling of the samples of open steps: which run next, and which are
//! delivered.
//!
//! A trainer opens a step and names the slots (group and index) that it does
//! not have yet; samples are streamed back in the answer to that request. The
//! trainer's list is the only cursor: after a crash it opens the step again,
//! at any instance. Within one opening, a slot is delivered at most once, even
//! if samples arrive late or twice.
//!
//! A sample is delivered only if the engine named the weight versions that
//! produced it and, at the time of delivery, the oldest of them is within the
//! trainer's staleness bound.
//!
//! Not part of this module: prompts and texts, which the traffic layer keeps,
//! and the choice of an engine, for which the reducer uses
//! [`crate::core::route`].

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{
    id::{Dispatch, Request},
    table,
    time::Time,
};

/// A sample is a straggler, and gets a hedged attempt, once it has run for this
/// many times the average duration.
const STRAGGLER_FACTOR: u64 = 2;

/// A group of samples of the same prompt, as requested by a trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The trainer's number for the group.
    pub group: u32,
    /// Indices of the samples that the trainer does not have yet.
    pub missing: Vec<u32>,
}

/// A trainer's request to open a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// The trainer.
    pub trainer: String,
    /// The trainer's number for the step.
    pub step: u64,
    /// Number of times that the trainer opened this step.
    pub attempt: u32,
    /// The newest version that the trainer has published.
    pub version: u64,
    /// The groups that the trainer requests.
    pub groups: Vec<Group>,
    /// How long the trainer waits, in milliseconds.
    pub timeout_ms: u64,
}

/// The slot of a sample in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot {
    /// The group.
    pub group: u32,
    /// The index within the group.
    pub index: u32,
}

/// How an engine's stream for a sample ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The sample is complete and was produced by these versions, in order.
    #[serde(rename = "whole")]
    Complete(Vec<u64>),
    /// The stream broke, or parts of it named no version.
    Broken,
    /// The engine refused the request or could not be reached.
    Refused,
}

/// What to do with an ended sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver the sample.
    Deliver(Slot),
    /// The slot was already delivered: drop the sample.
    Duplicate,
    /// Its weights are older than the bound: drop it and run the slot again.
    Stale,
    /// It names no version: drop it and run the slot again.
    Unversioned,
    /// There is nothing to deliver: run the slot again.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    Running(Vec<Attempt>),
    Delivered,
}

/// One attempt at a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    dispatch: Dispatch,
    since: Time,
}

/// An open step.
#[derive(Clone, Debug)]
pub struct Step {
    opening: Opening,
    deadline: Time,
    slots: BTreeMap<Slot, Progress>,
    /// The waiting slots, in the order in which they run. Without this set, a
    /// step of 2,048 samples would be searched once for each of them.
    waiting: BTreeSet<Slot>,
    missing: usize,
    running: u32,
    hedges: u32,
    /// The engine to which each group's last sample was sent.
    engines: BTreeMap<u32, String>,
    /// Number of delivered samples, and their total duration in milliseconds.
    durations: (u64, u64),
}

impl Step {
    /// Opens a step at `now`.
    #[must_use]
    pub fn new(opening: Opening, now: Time) -> Step {
        let deadline = now.after(opening.timeout_ms);
        let slot_of = |group: &Group| {
            let group_number = group.group;
            let to_slot = move |index: &u32| Slot { group: group_number, index: *index };
            group.missing.iter().map(to_slot).collect::<Vec<Slot>>()
        };
        let waiting: BTreeSet<Slot> = opening.groups.iter().flat_map(slot_of).collect();
        let slots = waiting.iter().map(|slot| (*slot, Progress::Waiting)).collect();
        let missing = waiting.len();
        Step {
            opening,
            deadline,
            slots,
            waiting,
            missing,
            running: 0,
            hedges: 0,
            engines: BTreeMap::new(),
            durations: (0, 0),
        }
    }

    /// Returns the trainer's request.
    #[must_use]
    pub fn opening(&self) -> &Opening {
        &self.opening
    }

    /// Returns when the trainer stops waiting.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the number of samples in flight.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the next slot to run, in the order of the groups.
    #[must_use]
    pub fn next_waiting(&self) -> Option<Slot> {
        self.waiting.first().copied()
    }

    /// Returns the slot that should get a hedged attempt, if any. That is only
    /// so near the end of a step, when no slot is waiting. Of the slots with a
    /// single attempt that has run for much longer than the average sample, it
    /// is the one that has run longest. `budget_percent` limits hedged attempts
    /// to a share of the step's samples.
    #[must_use]
    pub fn straggler(&self, now: Time, budget_percent: u32) -> Option<Slot> {
        let budget = (self.slots.len() * budget_percent as usize).div_ceil(100);
        let (count, took_ms) = self.durations;
        if !self.waiting.is_empty() || self.hedges as usize >= budget || count == 0 {
            return None;
        }
        let long_ms = took_ms / count * STRAGGLER_FACTOR;
        let running_once = |(slot, progress): (&Slot, &Progress)| match progress {
            Progress::Running(attempts) => match attempts.as_slice() {
                [only] => Some((now.since(only.since), *slot)),
                _ => None,
            },
            Progress::Waiting | Progress::Delivered => None,
        };
        let running = self.slots.iter().filter_map(running_once);
        let (ms, slot) = running.max_by_key(|(ms, _)| *ms)?;
        (ms >= long_ms).then_some(slot)
    }

    /// Returns the attempts at a slot other than `winner`, which are no longer
    /// needed once that one is delivered.
    #[must_use]
    pub fn others(&self, slot: Slot, winner: Dispatch) -> Vec<Dispatch> {
        match self.slots.get(&slot) {
            Some(Progress::Running(attempts)) => {
                let dispatches = attempts.iter().map(|attempt| attempt.dispatch);
                dispatches.filter(|dispatch| *dispatch != winner).collect()
            }
            _ => vec![],
        }
    }

    /// Returns the engine to which a group's last sample was sent, which has
    /// the group's prompt in its cache.
    #[must_use]
    pub fn engine_of(&self, group: u32) -> Option<&str> {
        self.engines.get(&group).map(String::as_str)
    }

    /// Records the engine to which a sample of a group was sent.
    pub fn record_engine(&mut self, group: u32, engine: &str) {
        self.engines.insert(group, engine.to_owned());
    }

    /// Records that an attempt was cancelled.
    pub fn record_cancel(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that an attempt at a slot was started as `dispatch` at `now`.
    pub fn start(&mut self, slot: Slot, dispatch: Dispatch, now: Time) {
        let Some(progress) = self.slots.get_mut(&slot) else {
            return;
        };
        let attempt = Attempt { dispatch, since: now };
        match progress {
            Progress::Running(attempts) => {
                attempts.push(attempt);
                self.hedges += 1;
            }
            Progress::Waiting => *progress = Progress::Running(vec![attempt]),
            Progress::Delivered => return,
        }
        self.waiting.remove(&slot);
        self.running += 1;
    }

    /// Judges a sample that ended at `now`, given the `oldest` version that is
    /// acceptable then.
    pub fn end(
        &mut self,
        slot: Slot,
        dispatch: Dispatch,
        end: &End,
        oldest: u64,
        now: Time,
    ) -> Verdict {
        self.running = self.running.saturating_sub(1);
        let Some(progress) = self.slots.get_mut(&slot) else {
            return Verdict::Duplicate;
        };
        let Progress::Running(attempts) = progress else {
            return Verdict::Duplicate;
        };
        let ended = attempts.extract_if(.., |attempt| attempt.dispatch == dispatch).next();
        let others_run = !attempts.is_empty();
        let verdict = judge(slot, end, oldest);
        match verdict {
            Verdict::Deliver(_) => {
                *progress = Progress::Delivered;
                self.missing -= 1;
                let took_ms = ended.map_or(0, |attempt| now.since(attempt.since));
                self.durations = (self.durations.0 + 1, self.durations.1 + took_ms);
            }
            _ if others_run => {}
            _ => {
                *progress = Progress::Waiting;
                self.waiting.insert(slot);
            }
        }
        verdict
    }

    /// Returns the number of slots that were not delivered yet.
    #[must_use]
    pub const fn missing(&self) -> usize {
        self.missing
    }
}

fn judge(slot: Slot, end: &End, oldest: u64) -> Verdict {
    match end {
        End::Complete(versions) => match versions.iter().min() {
            None => Verdict::Unversioned,
            Some(version) if *version < oldest => Verdict::Stale,
            Some(_) => Verdict::Deliver(slot),
        },
        End::Broken | End::Refused => Verdict::Failed,
    }
}

/// The steps that are open at one instance, and the newest known version of
/// each trainer.
#[derive(Clone, Debug, Default)]
pub struct Steps {
    /// Open steps by the request that opened them.
    pub open: BTreeMap<Request, Step>,
    newest: BTreeMap<String, u64>,
}

impl Steps {
    /// Records that a version of a trainer exists. Older versions have no
    /// effect.
    pub fn record_version(&mut self, trainer: &str, version: u64) {
        let newest = self.newest.entry(trainer.to_owned()).or_default();
        *newest = version.max(*newest);
    }

    /// Returns the newest known version of a trainer.
    #[must_use]
    pub fn newest(&self, trainer: &str) -> u64 {
        self.newest.get(trainer).copied().unwrap_or_default()
    }

    /// Returns the oldest version that may be delivered under a row.
    #[must_use]
    pub fn oldest(&self, row: &table::Row) -> u64 {
        self.newest(&row.trainer).saturating_sub(row.staleness)
    }

    /// Returns the number of a trainer's samples in flight at this instance.
    #[must_use]
    pub fn running(&self, trainer: &str) -> u32 {
        let of_trainer = |step: &&Step| step.opening.trainer == trainer;
        self.open.values().filter(of_trainer).map(Step::running).sum()
    }

    /// Returns the open steps with a waiting slot in the order in which to
    /// serve them: by priority, then by samples in flight relative to weight.
    #[must_use]
    pub fn in_order(&self, table: &table::Table) -> Vec<Request> {
        let mut order: Vec<(u8, u64, Request)> = vec![];
        for (request, step) in &self.open {
            let Some(row) = table.row(&step.opening.trainer) else {
                continue;
            };
            let running = self.running(&row.trainer);
            if running >= row.in_flight || step.next_waiting().is_none() {
                continue;
            }
            let share = u64::from(running) * 1_000 / u64::from(row.weight.max(1));
            order.push((row.priority, share, *request));
        }
        order.sort_unstable();
        order.into_iter().map(|(_, _, request)| request).collect()
    }
}

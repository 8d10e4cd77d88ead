//! Which samples of the open steps run next, and which are delivered.
//!
//! A trainer opens a step and says which slots (group and index) it already
//! has; samples stream back over that answer. The trainer's word is the only
//! cursor: after a kill it opens the step again at any instance. Within one
//! opening a slot is delivered at most once, whatever arrives late or twice.
//!
//! A sample is delivered only if the engine named the weight versions that
//! produced it and the oldest of them is within the trainer's bound at that
//! moment.
//!
//! What it leaves out: prompts and text, which stay with the traffic side,
//! and which engine takes a sample (the reducer asks [`crate::core::route`]).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{
    id::{Dispatch, Request},
    table,
    time::Time,
};

/// One group of samples of the same prompt, as a trainer asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The trainer's number for the group.
    pub group: u32,
    /// Indices of the samples that the trainer does not have yet.
    pub missing: Vec<u32>,
}

/// A step as a trainer opens it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// The trainer.
    pub trainer: String,
    /// The trainer's number for the step.
    pub step: u64,
    /// Counts how often the trainer opened this step.
    pub attempt: u32,
    /// The newest version that the trainer has published.
    pub version: u64,
    /// What it wants.
    pub groups: Vec<Group>,
    /// How long it waits, in milliseconds.
    pub timeout_ms: u64,
}

/// One sample's place in a step.
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
    /// It came whole, produced by these versions in this order.
    Whole(Vec<u64>),
    /// It broke, or parts of it named no version.
    Broken,
    /// The engine refused it or could not be reached.
    Refused,
}

/// What to do with an ended sample.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver it.
    Deliver(Slot),
    /// Its slot was delivered before: drop it.
    Duplicate,
    /// Older than the bound: drop it and run the slot again.
    Stale,
    /// It names no version: drop it and run the slot again.
    Unversioned,
    /// Nothing to deliver: run the slot again.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    Running(Vec<Dispatch>),
    Delivered,
}

/// An open step.
#[derive(Clone, Debug)]
pub struct Step {
    opening: Opening,
    deadline: Time,
    slots: BTreeMap<Slot, Progress>,
    /// The slots that wait, in the order in which they run: a step of 2,048
    /// samples must not be searched for each of them.
    waiting: BTreeSet<Slot>,
    missing: usize,
    running: u32,
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
        Step { opening, deadline, slots, waiting, missing, running: 0 }
    }

    /// What the trainer asked for.
    #[must_use]
    pub fn opening(&self) -> &Opening {
        &self.opening
    }

    /// When the trainer stops waiting.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Samples in flight.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The next slot to run, in the order of the groups.
    #[must_use]
    pub fn next_waiting(&self) -> Option<Slot> {
        self.waiting.first().copied()
    }

    /// Notes that a slot runs as `dispatch`.
    pub fn start(&mut self, slot: Slot, dispatch: Dispatch) {
        let Some(progress) = self.slots.get_mut(&slot) else {
            return;
        };
        match progress {
            Progress::Running(dispatches) => dispatches.push(dispatch),
            Progress::Waiting => *progress = Progress::Running(vec![dispatch]),
            Progress::Delivered => return,
        }
        self.waiting.remove(&slot);
        self.running += 1;
    }

    /// Judges an ended sample, given the oldest version that is acceptable
    /// now.
    pub fn end(&mut self, slot: Slot, dispatch: Dispatch, end: &End, oldest: u64) -> Verdict {
        self.running = self.running.saturating_sub(1);
        let Some(progress) = self.slots.get_mut(&slot) else {
            return Verdict::Duplicate;
        };
        let Progress::Running(dispatches) = progress else {
            return Verdict::Duplicate;
        };
        dispatches.retain(|known| *known != dispatch);
        let others_run = !dispatches.is_empty();
        let verdict = judge(slot, end, oldest);
        match verdict {
            Verdict::Deliver(_) => {
                *progress = Progress::Delivered;
                self.missing -= 1;
            }
            _ if others_run => {}
            _ => {
                *progress = Progress::Waiting;
                self.waiting.insert(slot);
            }
        }
        verdict
    }

    /// Slots that were not delivered.
    #[must_use]
    pub const fn missing(&self) -> usize {
        self.missing
    }
}

fn judge(slot: Slot, end: &End, oldest: u64) -> Verdict {
    match end {
        End::Whole(versions) => match versions.iter().min() {
            None => Verdict::Unversioned,
            Some(version) if *version < oldest => Verdict::Stale,
            Some(_) => Verdict::Deliver(slot),
        },
        End::Broken | End::Refused => Verdict::Failed,
    }
}

/// The steps open at one instance, and the newest version of each trainer.
#[derive(Clone, Debug, Default)]
pub struct Steps {
    /// Open steps by the request that opened them.
    pub open: BTreeMap<Request, Step>,
    newest: BTreeMap<String, u64>,
}

impl Steps {
    /// Notes that a trainer has a version. Older ones change nothing.
    pub fn note_version(&mut self, trainer: &str, version: u64) {
        let newest = self.newest.entry(trainer.to_owned()).or_default();
        *newest = version.max(*newest);
    }

    /// The newest version known of a trainer.
    #[must_use]
    pub fn newest(&self, trainer: &str) -> u64 {
        self.newest.get(trainer).copied().unwrap_or_default()
    }

    /// The oldest version that may be delivered under a row.
    #[must_use]
    pub fn oldest(&self, row: &table::Row) -> u64 {
        self.newest(&row.trainer).saturating_sub(row.staleness)
    }

    /// Samples of a trainer in flight here.
    #[must_use]
    pub fn running(&self, trainer: &str) -> u32 {
        let of_trainer = |step: &&Step| step.opening.trainer == trainer;
        self.open.values().filter(of_trainer).map(Step::running).sum()
    }

    /// Open steps with a slot to run, the one to serve first at the front:
    /// by priority, then by samples in flight relative to the weight.
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

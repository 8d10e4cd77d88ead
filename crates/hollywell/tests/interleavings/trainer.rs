//! The simulated trainer. It has one step open at a time, reopens it at another
//! instance after a kill, and reports the samples that it already has.

use std::collections::{BTreeMap, BTreeSet};

use hollywell::{
    core::{
        rollout::{Group, Opening, Slot},
        table::Row,
    },
    prelude::{Dispatch, Request},
};

use crate::checks::{Checks, Fault};

const GROUPS: u32 = 3;
const SAMPLES: u32 = 3;

/// Verdict of the trainer on a delivered sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// The sample belongs to a stream that the trainer has closed.
    Closed,
    /// New and within the staleness bound.
    Good,
    /// The trainer already has the sample and reported so when it opened the
    /// step.
    Twice,
    /// Staler than the bound in force at the delivering instance.
    Stale,
}

#[derive(Default)]
pub(crate) struct Trainer {
    version: u64,
    step: u64,
    attempt: u32,
    version_at_open: u64,
    open: Option<(usize, u64, Request)>,
    received: BTreeSet<Slot>,
    generated: BTreeMap<(usize, u64, Dispatch), Vec<u64>>,
    has_row: bool,
    pub(crate) steps_completed: u64,
}

impl Trainer {
    pub(crate) fn publish(&mut self) {
        self.version += 1;
    }

    pub(crate) fn newest_version(&self) -> u64 {
        self.version
    }

    pub(crate) fn row_edited(&mut self) {
        self.has_row = true;
    }

    pub(crate) fn needs_row(&self) -> bool {
        !self.has_row
    }

    pub(crate) fn is_open(&self) -> bool {
        self.open.is_some()
    }

    pub(crate) fn is_at(&self, node: usize) -> bool {
        self.open.is_some_and(|(at, ..)| at == node)
    }

    pub(crate) fn is_open_as(&self, node: usize, run: u64, request: Request) -> bool {
        self.open == Some((node, run, request))
    }

    pub(crate) fn close(&mut self) {
        self.open = None;
    }

    pub(crate) fn stream(&self) -> Option<(usize, u64, Request)> {
        self.open
    }

    pub(crate) fn open(
        &mut self,
        node: usize,
        run: u64,
        request: Request,
        timeout_ms: u64,
    ) -> Opening {
        if self.received.len() as u32 == GROUPS * SAMPLES {
            self.steps_completed += 1;
            self.step += 1;
            self.attempt = 0;
            self.received.clear();
        }
        self.attempt += 1;
        self.open = Some((node, run, request));
        self.version_at_open = self.version;
        let missing = |group: u32| {
            let has = |index: &u32| self.received.contains(&Slot { group, index: *index });
            (0..SAMPLES).filter(|index| !has(index)).collect()
        };
        Opening {
            trainer: String::from("t0"),
            step: self.step,
            attempt: self.attempt,
            version: self.version,
            groups: (0..GROUPS).map(|group| Group { group, missing: missing(group) }).collect(),
            timeout_ms,
        }
    }

    pub(crate) fn record_generated(
        &mut self,
        dispatch: Dispatch,
        by: (usize, u64),
        versions: Vec<u64>,
    ) {
        self.generated.insert((by.0, by.1, dispatch), versions);
    }

    pub(crate) fn receive(
        &mut self,
        stream: (usize, u64, Request),
        slot: Slot,
        versions: &[u64],
        row: Option<&Row>,
    ) -> Received {
        if self.open != Some(stream) {
            return Received::Closed;
        }
        let staleness = row.map_or(0, |row| row.staleness);
        let oldest = self.version_at_open.saturating_sub(staleness);
        if !self.received.insert(slot) {
            return Received::Twice;
        }
        if versions.iter().any(|version| *version < oldest) {
            return Received::Stale;
        }
        if self.received.len() as u32 == GROUPS * SAMPLES {
            self.open = None;
        }
        Received::Good
    }

    pub(crate) fn check_versions(
        &self,
        checks: &mut Checks,
        now: u64,
        versions: &[u64],
        dispatch: Dispatch,
        by: (usize, u64),
    ) {
        let generated = self.generated.get(&(by.0, by.1, dispatch));
        if versions.is_empty() || generated.map(Vec::as_slice) != Some(versions) {
            let text =
                format!("delivered with versions {versions:?}, generated with {generated:?}");
            checks.violate(Fault::Unversioned, now, text);
        }
    }
}

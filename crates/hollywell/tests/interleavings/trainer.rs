//! The modelled trainer: one step at a time, opened again elsewhere after a
//! kill; its own word is what it has.

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

/// What a trainer makes of a delivered sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// It belongs to a stream that the trainer has closed.
    Closed,
    /// New and within the bound.
    Good,
    /// The trainer had it, and had said so.
    Twice,
    /// Older than the bound in force where it was delivered.
    Stale,
}

#[derive(Default)]
pub(crate) struct Trainer {
    version: u64,
    step: u64,
    attempt: u32,
    opened_version: u64,
    open: Option<(usize, u64, Request)>,
    have: BTreeSet<Slot>,
    produced: BTreeMap<(usize, u64, Dispatch), Vec<u64>>,
    has_row: bool,
    pub(crate) steps_whole: u64,
}

impl Trainer {
    pub(crate) fn publish(&mut self) {
        self.version += 1;
    }

    pub(crate) fn newest(&self) -> u64 {
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
        if self.have.len() as u32 == GROUPS * SAMPLES {
            self.steps_whole += 1;
            self.step += 1;
            self.attempt = 0;
            self.have.clear();
        }
        self.attempt += 1;
        self.open = Some((node, run, request));
        self.opened_version = self.version;
        let missing = |group: u32| {
            let has = |index: &u32| self.have.contains(&Slot { group, index: *index });
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

    pub(crate) fn produced(&mut self, dispatch: Dispatch, by: (usize, u64), versions: Vec<u64>) {
        self.produced.insert((by.0, by.1, dispatch), versions);
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
        let oldest = self.opened_version.saturating_sub(staleness);
        if !self.have.insert(slot) {
            return Received::Twice;
        }
        if versions.iter().any(|version| *version < oldest) {
            return Received::Stale;
        }
        if self.have.len() as u32 == GROUPS * SAMPLES {
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
        let produced = self.produced.get(&(by.0, by.1, dispatch));
        if versions.is_empty() || produced.map(Vec::as_slice) != Some(versions) {
            let text = format!("delivered as {versions:?}, produced by {produced:?}");
            checks.violate(Fault::Unversioned, now, text);
        }
    }
}

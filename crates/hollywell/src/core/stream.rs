//! The state that all instances agree on, folded from one stream of the
//! platform's log.
//!
//! Records are folded in offset order, so every instance that has folded up
//! to an offset has the same state. The log keeps records for a limited time
//! only; members write a [`Snapshot`] well before that. A reader that finds a
//! gap keeps what it reads aside until a snapshot closes the gap: one taken
//! at offset N is used only if every record from N on is at hand. A snapshot
//! written late by an instance that was paused therefore changes nothing.
//! A peer's state closes a gap in the same way.
//!
//! What it leaves out: who writes snapshots and when (the reducer does).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{lease, owner, table};

/// One record on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A change to the operators' table.
    Edit(table::Edit),
    /// A new ownership map for a failure domain.
    Proposal(owner::Proposal),
    /// A grant or renewal of a failure domain's lease on target orders.
    Claim(lease::Claim),
    /// The state before an offset.
    Snapshot(Box<Snapshot>),
}

/// The agreed state after all records before an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first record that is not part of it.
    pub next: u64,
    /// The operators' table.
    pub table: table::Table,
    /// The ownership maps by failure domain.
    pub maps: owner::Maps,
    /// The leases on target orders by failure domain.
    pub leases: lease::Leases,
}

/// What folding a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An edit of the table was judged.
    Edit {
        /// The edit's id.
        id: String,
        /// What became of it.
        outcome: table::Outcome,
    },
    /// A failure domain has a new ownership map.
    Map(String),
    /// A failure domain's lease was granted or renewed at this offset.
    Lease {
        /// The failure domain.
        domain: String,
        /// Offset of the record.
        offset: u64,
    },
    /// The whole state was replaced by a later one.
    Loaded,
}

/// A reader's position in the stream and the state there.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: Snapshot,
    aside: BTreeMap<u64, Record>,
    gap_to: Option<u64>,
    snapshot_at: u64,
}

impl Fold {
    /// The agreed state as far as it is known here.
    #[must_use]
    pub fn state(&self) -> &Snapshot {
        &self.state
    }

    /// True while a gap is open, when the state must not be taken as current.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.gap_to.is_some()
    }

    /// Notes that the log keeps no record before `first`.
    pub fn retained_from(&mut self, first: u64) {
        if first > self.state.next && self.gap_to.is_none() {
            self.gap_to = Some(first);
        }
    }

    /// Records folded since the last snapshot that was seen.
    #[must_use]
    pub fn since_snapshot(&self) -> u64 {
        self.state.next.saturating_sub(self.snapshot_at)
    }

    /// Folds a record read at `offset` and returns what changed.
    ///
    /// Records that were folded before are skipped. Across a gap, records
    /// are kept aside until a snapshot or a peer's state closes it.
    pub fn read(&mut self, offset: u64, record: &Record) -> Vec<Change> {
        if offset < self.state.next {
            return vec![];
        }
        if offset == self.state.next {
            return self.apply(offset, record).into_iter().collect();
        }
        self.gap_to.get_or_insert(offset);
        self.aside.insert(offset, record.clone());
        match record {
            Record::Snapshot(snapshot) => self.load(snapshot),
            _ => vec![],
        }
    }

    /// Takes a later state, from a snapshot or from a peer, if no record
    /// between it and what is at hand is missing.
    ///
    /// An earlier state than the one here is ignored, whoever sends it.
    pub fn load(&mut self, snapshot: &Snapshot) -> Vec<Change> {
        let later = snapshot.next > self.state.next;
        let joins = self.gap_to.is_none_or(|first| snapshot.next >= first);
        if !later || !joins {
            return vec![];
        }
        self.state = snapshot.clone();
        self.gap_to = None;
        self.snapshot_at = snapshot.next;
        let aside = std::mem::take(&mut self.aside);
        let mut changes = vec![Change::Loaded];
        for (offset, record) in aside {
            changes.extend(self.read(offset, &record));
        }
        changes
    }

    fn apply(&mut self, offset: u64, record: &Record) -> Option<Change> {
        self.state.next = offset + 1;
        match record {
            Record::Edit(edit) => {
                let outcome = self.state.table.apply(offset, edit);
                Some(Change::Edit { id: edit.id.clone(), outcome })
            }
            Record::Proposal(proposal) => {
                let accepted = self.state.maps.apply(offset, proposal);
                accepted.then(|| Change::Map(proposal.domain.clone()))
            }
            Record::Claim(claim) => {
                let accepted = self.state.leases.apply(offset, claim);
                accepted.then(|| Change::Lease { domain: claim.domain.clone(), offset })
            }
            Record::Snapshot(_) => {
                self.snapshot_at = offset;
                None
            }
        }
    }
}

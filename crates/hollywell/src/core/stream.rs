//! The agreed state: a replicated state machine, folded from one stream of the
//! platform's log.
//!
//! Records are folded in offset order, so all instances that have folded up to
//! the same offset have the same state. The log retains records for a limited
//! time only; members append a [`Snapshot`] well before records expire. A
//! reader that finds a gap buffers what it reads until a snapshot closes the
//! gap. A snapshot taken at offset N is used only if every record from N on is
//! available, so a snapshot that a paused instance appends late has no effect.
//! A peer's state closes a gap in the same way.
//!
//! Not part of this module: which instance appends snapshots, and when (the
//! reducer decides that).

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
    /// A claim to a failure domain's lease on orders to targets, to acquire or
    /// renew it.
    Claim(lease::Claim),
    /// The state before an offset.
    Snapshot(Box<Snapshot>),
}

/// The agreed state after all records before an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first record that is not folded into the state.
    pub next: u64,
    /// The operators' table.
    pub table: table::Table,
    /// Ownership maps by failure domain.
    pub maps: owner::Maps,
    /// Leases on orders to targets by failure domain.
    pub leases: lease::Leases,
}

/// What folding a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An edit of the table was judged.
    Edit {
        /// The edit's id.
        id: String,
        /// The edit's outcome.
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
    /// The state was replaced by a later one.
    Loaded,
}

/// A reader's position in the stream, and the state at that position.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: Snapshot,
    buffered: BTreeMap<u64, Record>,
    gap_to: Option<u64>,
    snapshot_at: u64,
}

impl Fold {
    /// Returns the agreed state, as far as it was folded.
    #[must_use]
    pub fn state(&self) -> &Snapshot {
        &self.state
    }

    /// Returns true while there is a gap. The state is then not current.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.gap_to.is_some()
    }

    /// Records that the log retains no record before `first`.
    pub fn retained_from(&mut self, first: u64) {
        if first > self.state.next && self.gap_to.is_none() {
            self.gap_to = Some(first);
        }
    }

    /// Returns the number of records folded since the last snapshot.
    #[must_use]
    pub fn since_snapshot(&self) -> u64 {
        self.state.next.saturating_sub(self.snapshot_at)
    }

    /// Folds a record read at `offset` and returns what changed.
    ///
    /// Records that were already folded are skipped. Records after a gap are
    /// buffered until a snapshot or a peer's state closes the gap.
    pub fn read(&mut self, offset: u64, record: &Record) -> Vec<Change> {
        if offset < self.state.next {
            return vec![];
        }
        if offset == self.state.next {
            return self.apply(offset, record).into_iter().collect();
        }
        self.gap_to.get_or_insert(offset);
        self.buffered.insert(offset, record.clone());
        match record {
            Record::Snapshot(snapshot) => self.load(snapshot),
            _ => vec![],
        }
    }

    /// Adopts a later state, from a snapshot or from a peer, if no record
    /// between it and the buffered records is missing.
    ///
    /// A state that is earlier than the current one is ignored.
    pub fn load(&mut self, snapshot: &Snapshot) -> Vec<Change> {
        let later = snapshot.next > self.state.next;
        let joins = self.gap_to.is_none_or(|first| snapshot.next >= first);
        if !later || !joins {
            return vec![];
        }
        self.state = snapshot.clone();
        self.gap_to = None;
        self.snapshot_at = snapshot.next;
        let buffered = std::mem::take(&mut self.buffered);
        let mut changes = vec![Change::Loaded];
        for (offset, record) in buffered {
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

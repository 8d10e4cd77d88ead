//! The operators' table: one row per trainer, edited by compare-and-set.
//!
//! An edit names the revision of the row that it is based on. The fold accepts
//! the first edit of a revision and rejects the others, so that concurrent
//! edits cause a conflict and never a silent overwrite. The revision of a row
//! is the log offset of the edit that created it.
//!
//! Not part of this module: reading and appending ([`crate::platform`]), and
//! recovery of records that are past the log's retention
//! ([`crate::core::stream`]).

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Number of edits whose outcomes are remembered for queries by edit id.
const OUTCOME_LIMIT: usize = 512;

/// Number of changes that `table history` can show.
const HISTORY_LIMIT: usize = 256;

/// The settings of one trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The trainer's name.
    pub trainer: String,
    /// Share of the engines' slots, relative to the other rows.
    pub weight: u32,
    /// Maximum number of versions by which a delivered sample may be older than
    /// the newest one.
    pub staleness: u64,
    /// Priority among trainers and in the engines' queues; lower goes first.
    pub priority: u8,
    /// Maximum number of samples in flight at one instance.
    pub in_flight: u32,
}

/// A change to a row, as a record on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Unique id, chosen by the client that requests the change.
    pub id: String,
    /// Author of the change.
    pub by: String,
    /// Trainer whose row is changed.
    pub trainer: String,
    /// Revision of the row that the edit is based on; `None` if there was no
    /// row.
    pub base: Option<u64>,
    /// The new row, or `None` to remove it.
    pub row: Option<Row>,
}

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The edit is in the table.
    Accepted {
        /// The row's new revision.
        revision: u64,
    },
    /// Another edit of the same row came first.
    Conflict {
        /// Author of the edit that came first.
        by: String,
        /// The row's revision; `None` if the row was removed.
        revision: Option<u64>,
    },
}

/// A row with its revision and author.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the edit that created the revision.
    pub revision: u64,
    /// Author of that edit.
    pub by: String,
    /// The row, or `None` if the edit removed it.
    pub row: Option<Row>,
}

/// The table as folded from the log.
///
/// # Example
///
/// ```
/// use hollywell::core::table::{Edit, Outcome, Row, Table};
///
/// let row = Row {
///     trainer: "runoff".into(), weight: 3, staleness: 1, priority: 2, in_flight: 8,
/// };
/// let edit = |id: &str, by: &str| Edit {
///     id: id.into(), by: by.into(), trainer: "runoff".into(), base: None,
///     row: Some(row.clone()),
/// };
/// let mut table = Table::default();
/// assert_eq!(table.apply(4, &edit("a", "salma")), Outcome::Accepted { revision: 4 });
/// // Both edits are based on "no such row"; the second gets the first's author.
/// let conflict = Outcome::Conflict { by: "salma".into(), revision: Some(4) };
/// assert_eq!(table.apply(5, &edit("b", "omar")), conflict);
/// // The first edit, appended again after a lost answer, has no effect.
/// assert_eq!(table.apply(6, &edit("a", "salma")), Outcome::Accepted { revision: 4 });
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    entries: BTreeMap<String, Entry>,
    outcomes: VecDeque<(String, Outcome)>,
    history: VecDeque<(u64, Edit)>,
}

impl Table {
    /// Folds the edit at `offset` and returns its outcome.
    ///
    /// An edit whose id was already folded has no effect and gets the outcome
    /// of the first one.
    pub fn apply(&mut self, offset: u64, edit: &Edit) -> Outcome {
        if let Some(outcome) = self.outcome(&edit.id) {
            return outcome.clone();
        }
        let outcome = self.judge(offset, edit);
        if let Outcome::Accepted { revision } = outcome {
            let entry = Entry { revision, by: edit.by.clone(), row: edit.row.clone() };
            self.entries.insert(edit.trainer.clone(), entry);
            push_bounded(&mut self.history, (offset, edit.clone()), HISTORY_LIMIT);
        }
        let remembered = (edit.id.clone(), outcome.clone());
        push_bounded(&mut self.outcomes, remembered, OUTCOME_LIMIT);
        outcome
    }

    fn judge(&self, offset: u64, edit: &Edit) -> Outcome {
        let current = self.entries.get(&edit.trainer);
        match current {
            Some(entry) if self.base_of(&edit.trainer) != edit.base => {
                let revision = entry.row.as_ref().map(|_| entry.revision);
                Outcome::Conflict { by: entry.by.clone(), revision }
            }
            None if edit.base.is_some() => {
                Outcome::Conflict { by: String::from("nobody"), revision: None }
            }
            _ => Outcome::Accepted { revision: offset },
        }
    }

    /// Returns the revision that an edit of the row has to name; `None` if
    /// there is no such row.
    #[must_use]
    pub fn base_of(&self, trainer: &str) -> Option<u64> {
        let entry = self.entries.get(trainer)?;
        entry.row.as_ref().map(|_| entry.revision)
    }

    /// Returns the outcome of an edit, if it was folded and is still
    /// remembered.
    #[must_use]
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        let same_id = |(known, _): &&(String, Outcome)| known == id;
        self.outcomes.iter().find(same_id).map(|(_, outcome)| outcome)
    }

    /// Returns the remembered edit ids with their outcomes.
    pub fn outcomes(&self) -> impl Iterator<Item = &(String, Outcome)> {
        self.outcomes.iter()
    }

    /// Returns the row of a trainer.
    #[must_use]
    pub fn row(&self, trainer: &str) -> Option<&Row> {
        self.entries.get(trainer)?.row.as_ref()
    }

    /// Returns the rows with their revisions, sorted by trainer.
    pub fn rows(&self) -> impl Iterator<Item = (u64, &Row)> {
        let with_row = |entry: &'_ Entry| entry.revision;
        self.entries
            .values()
            .filter_map(move |entry| entry.row.as_ref().map(|row| (with_row(entry), row)))
    }

    /// Returns the remembered accepted edits, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &(u64, Edit)> {
        self.history.iter()
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, limit: usize) {
    queue.push_back(item);
    if queue.len() > limit {
        queue.pop_front();
    }
}

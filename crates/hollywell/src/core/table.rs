//! The operators' table: one row a trainer, edited by compare-and-set.
//!
//! An edit names the revision of the row that it was based on. The fold takes
//! the first edit on a revision and rejects the others, so that operators who
//! race each other see a conflict and never a silent overwrite. The revision
//! of a row is the log offset of the edit that made it.
//!
//! What it leaves out: reading and appending ([`crate::platform`]) and
//! recovery after the log's retention ([`crate::core::stream`]).

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// How many edits' outcomes are remembered for questions by edit id.
const OUTCOME_LIMIT: usize = 512;

/// How many changes `table history` can show.
const HISTORY_LIMIT: usize = 256;

/// What operators set for one trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The trainer's name.
    pub trainer: String,
    /// Share of the engines' slots, relative to the other rows.
    pub weight: u32,
    /// How many versions older than the newest a delivered sample may be.
    pub staleness: u64,
    /// Lower goes first, between trainers and in the engines' queues.
    pub priority: u8,
    /// Samples that may be in flight at once at one instance.
    pub in_flight: u32,
}

/// One change to one row, as a record on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Unique id, made by whoever asks for the change.
    pub id: String,
    /// Who asks for it.
    pub by: String,
    /// The row that it changes.
    pub trainer: String,
    /// Revision of the row that it was based on; `None` if there was none.
    pub base: Option<u64>,
    /// The new row, or `None` to remove it.
    pub row: Option<Row>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// In the table, at this revision.
    Accepted {
        /// The row's new revision.
        revision: u64,
    },
    /// Another edit of the same row came first.
    Conflict {
        /// Who made the edit that came first.
        by: String,
        /// The row's revision, `None` if the row is gone.
        revision: Option<u64>,
    },
}

/// A row with its revision and author.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the edit that made it.
    pub revision: u64,
    /// Who made that edit.
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
/// // Both operators started from "no such row"; the second is told who won.
/// let conflict = Outcome::Conflict { by: "salma".into(), revision: Some(4) };
/// assert_eq!(table.apply(5, &edit("b", "omar")), conflict);
/// // The first edit again, from an append whose answer was lost: no effect.
/// assert_eq!(table.apply(6, &edit("a", "salma")), Outcome::Accepted { revision: 4 });
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    entries: BTreeMap<String, Entry>,
    outcomes: VecDeque<(String, Outcome)>,
    history: VecDeque<(u64, Edit)>,
}

impl Table {
    /// Folds the edit at `offset` and says what became of it.
    ///
    /// An edit id that was folded before has no second effect and gets its
    /// first outcome again.
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

    /// The revision that an edit of the row has to name; `None` if there is
    /// no such row.
    #[must_use]
    pub fn base_of(&self, trainer: &str) -> Option<u64> {
        let entry = self.entries.get(trainer)?;
        entry.row.as_ref().map(|_| entry.revision)
    }

    /// What became of an edit, if it was folded and is still remembered.
    #[must_use]
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        let same_id = |(known, _): &&(String, Outcome)| known == id;
        self.outcomes.iter().find(same_id).map(|(_, outcome)| outcome)
    }

    /// Edit ids that are remembered, with what became of them.
    pub fn outcomes(&self) -> impl Iterator<Item = &(String, Outcome)> {
        self.outcomes.iter()
    }

    /// The row of a trainer.
    #[must_use]
    pub fn row(&self, trainer: &str) -> Option<&Row> {
        self.entries.get(trainer)?.row.as_ref()
    }

    /// The rows with their revisions, by trainer.
    pub fn rows(&self) -> impl Iterator<Item = (u64, &Row)> {
        let with_row = |entry: &'_ Entry| entry.revision;
        self.entries
            .values()
            .filter_map(move |entry| entry.row.as_ref().map(|row| (with_row(entry), row)))
    }

    /// The accepted edits that are remembered, oldest first.
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

//! Room in the store that is kept for ends of jobs. Pure.
//!
//! No estimate of the store's fill keeps room for an end: other applications
//! write to the store too, and an instance that has just started knows little of
//! what it holds. Records in a log of our own do. They take room that nobody
//! else can have, and a trim, which needs no room, frees it.
//!
//! One instance, the keeper, writes equal portions to the log. An instance whose
//! end finds the store full trims the oldest one and appends the end again. The
//! keeper replaces one portion after the other, so that none expires, and adds
//! what is missing while the store has room for jobs. A portion is trimmed
//! before it is replaced, so that a full store has room for the new one.
//!
//! [`crate::entry::reserve`] makes the calls.

use crate::core::dispatch::owner;

/// Bytes of the reserve: room for the ends of some 800 jobs with ids of 16
/// bytes, each of which takes 41 bytes in its log, 60 as the newest record of
/// its key, and its content twice.
pub const RESERVE_BYTES: u64 = 128 << 10;
/// Number of portions. Others may take the room of a trimmed one before the end
/// does, which then has the next.
pub const PORTIONS: u64 = 8;
/// Part of the store's capacity that the reserve takes at most.
const MAX_PART: u64 = 100;
/// What the keeper is chosen by.
const TASK: &str = "reserve";

/// Bytes of each portion in a store with so many bytes of capacity.
#[must_use]
pub fn portion_bytes(capacity: u64) -> u64 {
    RESERVE_BYTES.min(capacity / MAX_PART) / PORTIONS
}

/// Bytes of the whole reserve in such a store.
#[must_use]
pub fn bytes(capacity: u64) -> u64 {
    PORTIONS * portion_bytes(capacity)
}

/// Whether an instance is the one that keeps the reserve.
#[must_use]
pub fn is_keeper(members: &[String], instance_id: &str) -> bool {
    owner(members, TASK, "") == Some(instance_id)
}

/// Time between two replacements, in milliseconds: each portion is replaced
/// within half the retention time of its records.
#[must_use]
pub const fn renewal_interval_ms(retention_ms: u64) -> u64 {
    retention_ms / (2 * PORTIONS)
}

/// The portions that the log holds, by the offsets of the first and after the
/// last.
///
/// # Example
///
/// ```
/// use hollywell::core::reserve::{PORTIONS, Range, Renewal};
///
/// let range = Range { first: 3, end: 3 + PORTIONS };
/// assert_eq!(range.trim_for_end(), Some(4));
/// // The oldest is replaced.
/// assert_eq!(range.renewal(true), Renewal { trim_before: Some(4), portions: 1 });
/// // An empty one is written anew once there is room.
/// let empty = Range { first: 3, end: 3 };
/// assert_eq!(empty.trim_for_end(), None);
/// assert_eq!(empty.renewal(true), Renewal { trim_before: None, portions: PORTIONS });
/// assert_eq!(empty.renewal(false), Renewal { trim_before: None, portions: 0 });
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Offset of the oldest portion.
    pub first: u64,
    /// Offset after the newest portion.
    pub end: u64,
}

/// What the keeper does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The offset before which it trims first, if it does.
    pub trim_before: Option<u64>,
    /// Number of portions that it appends then.
    pub portions: u64,
}

impl Range {
    /// Number of portions.
    #[must_use]
    pub const fn portions(self) -> u64 {
        self.end.saturating_sub(self.first)
    }

    /// The offset before which the log is trimmed for an end; `None` if nothing
    /// is left.
    #[must_use]
    pub fn trim_for_end(self) -> Option<u64> {
        (self.portions() > 0).then_some(self.first + 1)
    }

    /// The next replacement. Where the reserve `may_grow`, what is missing is
    /// written too.
    #[must_use]
    pub fn renewal(self, may_grow: bool) -> Renewal {
        let present = self.portions();
        let surplus = present.saturating_sub(PORTIONS);
        let trimmed = if present > 0 { surplus + 1 } else { 0 };
        let missing = PORTIONS - (present - trimmed);
        Renewal {
            trim_before: (trimmed > 0).then_some(self.first + trimmed),
            portions: if may_grow { missing } else { missing.min(trimmed.min(1)) },
        }
    }
}

//! Which targets leave, and up to when that is known.
//!
//! A target that leaves may get new work for a short time only, counted from
//! the store's acknowledgement. An instance cannot always read the store: its
//! reads are refused for the rate of all instances, or it is cut off while the
//! store serves the targets. What it knows then gets old without a sign. So
//! what is known has an age here, and departures can be taken from any instance
//! that knows of later ones: they are few and small, and the offsets of the
//! targets' log order them.
//!
//! What is done with an age is decided in [`crate::core::fleet`]; the messages
//! are in [`crate::entry::departures`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// How long a departure is passed on, in milliseconds. An instance that has not
/// read for longer has to read all targets again.
const RETENTION_MS: u64 = 60_000;

/// Where the log says that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    offset: u64,
    /// When it was learned.
    at: Time,
}

/// Departures from one offset of the targets' log to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// All departures at or beyond this offset are listed.
    pub from: u64,
    /// The departures before this offset are known.
    pub end: u64,
    /// Ids of the targets, with the offset of the last record that says so.
    pub departures: Vec<(String, u64)>,
}

/// The targets that leave, by the targets' log.
///
/// # Example
///
/// ```
/// use hollywell::core::{departure::Departures, time::Time};
///
/// let (mut reader, mut other) = (Departures::default(), Departures::default());
/// for each in [&mut reader, &mut other] {
///     each.restart(100);
///     each.mark_known(Time(1_000), 100);
/// }
/// reader.record(Time(2_000), "a", 120);
/// reader.mark_known(Time(2_000), 121);
/// // The other one cannot read the store, and asks.
/// assert!(!other.contains("a"));
/// assert!(other.merge(Time(2_500), Time(2_000), &reader.since(other.end())));
/// assert!(other.contains("a"));
/// assert_eq!(other.age_ms(Time(2_500)), Some(500));
/// // A record that it reads later, but that is older, changes nothing.
/// assert!(other.is_superseded("a", 110));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// The time up to which departures are known; `None` before the first read.
    known_at: Option<Time>,
    /// All departures from here to `end` are listed.
    from: u64,
    end: u64,
    leaving: BTreeMap<String, Departure>,
}

impl Departures {
    /// Begins at an offset, after all targets were read up to there. What was
    /// learned before stays.
    pub fn restart(&mut self, end: u64) {
        if end > self.end {
            (self.from, self.end) = (end, end);
        }
    }

    /// Records that a record of the log says that a target leaves.
    pub fn record(&mut self, now: Time, id: &str, offset: u64) {
        if !self.is_superseded(id, offset) {
            self.leaving.insert(id.to_owned(), Departure { offset, at: now });
        }
    }

    /// Records that a record of the log says that a target is in use, unless a
    /// later one says that it leaves.
    pub fn record_return(&mut self, id: &str, offset: u64) {
        if !self.is_superseded(id, offset) {
            self.leaving.remove(id);
        }
    }

    /// Whether a later record than the one at an offset says that a target
    /// leaves.
    #[must_use]
    pub fn is_superseded(&self, id: &str, offset: u64) -> bool {
        self.leaving.get(id).is_some_and(|known| known.offset > offset)
    }

    /// Records that the log was read up to an offset, which was its end at a
    /// time.
    pub fn mark_known(&mut self, at: Time, end: u64) {
        self.known_at = self.known_at.max(Some(at));
        self.end = self.end.max(end);
    }

    /// The age of what is known, in milliseconds; `None` before the first read.
    #[must_use]
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        self.known_at.map(|at| now.since(at))
    }

    /// The time up to which departures are known; `None` before the first read.
    #[must_use]
    pub fn known_at(&self) -> Option<Time> {
        self.known_at
    }

    /// The departures before this offset are known.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Whether a target leaves.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.leaving.contains_key(id)
    }

    /// The departures at or beyond an offset, as far back as they are listed.
    #[must_use]
    pub fn since(&self, offset: u64) -> Page {
        let listed = self.leaving.iter().filter(|(_, known)| known.offset >= offset);
        let departures = listed.map(|(id, known)| (id.clone(), known.offset)).collect();
        Page { from: self.from.max(offset), end: self.end, departures }
    }

    /// Adds what another instance knew at `known_at`. Returns false, and changes
    /// nothing, if departures between the two are missing or it knew less.
    pub fn merge(&mut self, now: Time, known_at: Time, page: &Page) -> bool {
        let is_newer = self.known_at.is_some_and(|own| own < known_at);
        if !is_newer || page.from > self.end || page.end < self.end {
            return false;
        }
        for (id, offset) in &page.departures {
            self.record(now, id, *offset);
        }
        self.mark_known(known_at, page.end);
        true
    }

    /// Forgets departures that were learned too long ago.
    pub fn expire(&mut self, now: Time) {
        let from = &mut self.from;
        self.leaving.retain(|_, known| {
            let is_kept = now.since(known.at) < RETENTION_MS;
            if !is_kept {
                *from = (*from).max(known.offset + 1);
            }
            is_kept
        });
    }
}

//! Usage: how many requests of each organisation began in each window of
//! time, counted by all instances and decided once.
//!
//! Each instance brings what it counted to the store as it counts it, window
//! by window, so that its loss costs what it counted last. Some time after a
//! window's end whoever holds the duty adds the pieces up and writes the sum
//! down; only what is written down is ever reported, to the byte, by this
//! holder or the next. A sum is written where the log ends as it was read, so
//! that of two holders one is refused.
//!
//! What counts: a request whose first send may have run, once, however often
//! it is sent, at the moment of that send. What a target says it did not run
//! does not count; scoring requests and samples never do.
//!
//! What it leaves out: who holds the duty ([`crate::core::store_lease`]) and the
//! calls ([`crate::entry::duties`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use bytes::Bytes;
use prost::Message as _;

use crate::core::time::Time;

pub use crate::core::malformed::Malformed;

/// Requests by organisation.
pub type Counts = BTreeMap<String, u64>;

/// Share of the time for a report after which a window is added up: whatever
/// was held up on its way to the store should be there, and the rest of the
/// time is for the calls and for a successor.
const SETTLED_SHARE: f64 = 0.45;
/// Windows that are still reported when a duty was left undone for long.
const MAX_BACKLOG: u64 = 24;
/// Windows for which an instance keeps its counts.
const KEPT_WINDOWS: u64 = 8;

/// What an instance counted in one window so far.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Piece {
    /// Tells a later piece of the same instance from an earlier one.
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(btree_map = "string, uint64", tag = "2")]
    counts: Counts,
}

/// What one instance counts.
///
/// # Example
///
/// ```
/// use hollywell::core::usage::Tally;
///
/// let mut tally = Tally::default();
/// tally.begin(7, "survey");
/// tally.begin(7, "survey");
/// // The target says that it did not run it.
/// tally.undo(7, "survey");
/// assert_eq!(tally.take("a1").len(), 1);
/// // Nothing has changed since.
/// assert!(tally.take("a1").is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tally {
    windows: BTreeMap<u64, Counts>,
    changed: BTreeSet<u64>,
    number: u64,
}

impl Tally {
    /// Counts a request that begins.
    pub fn begin(&mut self, window: u64, organisation: &str) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(organisation.to_owned()).or_default() += 1;
        self.changed.insert(window);
        while self.windows.len() as u64 > KEPT_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Takes one back that did not begin after all.
    pub fn undo(&mut self, window: u64, organisation: &str) {
        let count = self.windows.get_mut(&window).and_then(|counts| counts.get_mut(organisation));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
            self.changed.insert(window);
        }
    }

    /// Whether there is anything that the store does not have.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// The records for the store of whatever has changed; `writer` names this
    /// run of the instance.
    pub fn take(&mut self, writer: &str) -> Vec<(String, Bytes)> {
        let changed = std::mem::take(&mut self.changed);
        let mut records = Vec::new();
        for window in changed {
            let Some(counts) = self.windows.get(&window) else {
                continue;
            };
            self.number += 1;
            let piece = Piece { number: self.number, counts: counts.clone() };
            records.push((piece_key(window, writer), piece.encode_to_vec().into()));
        }
        records
    }

    /// Notes that the store did not take the records of these windows.
    pub fn put_back(&mut self, records: &[(String, Bytes)]) {
        let windows = records.iter().filter_map(|(key, _)| Some(parse_piece(key)?.0));
        self.changed.extend(windows);
    }
}

/// The key of a piece.
fn piece_key(window: u64, writer: &str) -> String {
    format!("{window}|{writer}")
}

/// The key of a piece that a peer brings to the store for another instance.
/// It must not take the place of a newer one.
#[must_use]
pub fn forwarded_key(key: &str, peer: &str) -> String {
    format!("{key}|{peer}")
}

/// A piece's window and who counted.
fn parse_piece(key: &str) -> Option<(u64, &str)> {
    let mut parts = key.split('|');
    let window = parts.next()?.parse().ok()?;
    Some((window, parts.next().filter(|writer| !writer.is_empty())?))
}

/// The key under which the newest reported window stands.
const REPORTED: &str = "reported";
/// What the keys of decided windows begin with.
const DECIDED: &str = "decided|";

/// The record that decides a window: what is reported, to the byte.
#[must_use]
pub fn decision(window: u64, report: Bytes) -> (String, Bytes) {
    (format!("{DECIDED}{window}"), report)
}

/// The records that end a window: it was reported.
#[must_use]
pub fn reported(window: u64) -> Vec<(String, Bytes)> {
    let dropped = (format!("{DECIDED}{window}"), Bytes::new());
    vec![(String::from(REPORTED), window.to_string().into()), dropped]
}

/// Times that the platform demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// A report is due so long after its window's end, in milliseconds.
    pub late_ms: u64,
}

impl Schedule {
    /// The window of an instant, in milliseconds since 1970.
    #[must_use]
    pub fn window(&self, at_ms: u64) -> u64 {
        at_ms / self.window_ms.max(1)
    }

    /// When a window may be added up, in milliseconds since 1970.
    #[must_use]
    pub fn settled_ms(&self, window: u64) -> u64 {
        let end_ms = (window + 1).saturating_mul(self.window_ms);
        end_ms.saturating_add((self.late_ms as f64 * SETTLED_SHARE) as u64)
    }
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing before that instant, in milliseconds since 1970.
    Wait(u64),
    /// A window is to be written down with these counts.
    Decide(u64, Counts),
    /// A window that was written down is to be reported.
    Report(u64, Bytes),
}

/// What the store holds of all windows.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The newest piece of each window and instance.
    pieces: BTreeMap<u64, BTreeMap<String, Piece>>,
    decided: BTreeMap<u64, Bytes>,
    reported: Option<u64>,
}

impl Ledger {
    /// Takes in the record of a piece.
    ///
    /// # Errors
    ///
    /// If it cannot be read; it then changes nothing.
    pub fn piece(&mut self, key: &str, value: &[u8]) -> Result<(), Malformed> {
        let malformed = |why: &dyn fmt::Display| Malformed(format!("piece {key:?}: {why}"));
        let (window, writer) = parse_piece(key).ok_or_else(|| malformed(&"no such key"))?;
        let piece = Piece::decode(value).map_err(|error| malformed(&error))?;
        let pieces = self.pieces.entry(window).or_default();
        let newest = pieces.get(writer).is_none_or(|known| known.number < piece.number);
        if newest {
            pieces.insert(writer.to_owned(), piece);
        }
        Ok(())
    }

    /// Takes in a record of what was decided or reported.
    ///
    /// # Errors
    ///
    /// If it cannot be read; it then changes nothing.
    pub fn duty(&mut self, key: &str, value: &Bytes) -> Result<(), Malformed> {
        let malformed = || Malformed(format!("record {key:?} of usage cannot be read"));
        if key == REPORTED {
            let text = std::str::from_utf8(value).map_err(|_| malformed())?;
            let window: u64 = text.parse().map_err(|_| malformed())?;
            self.reported = self.reported.max(Some(window));
            return Ok(());
        }
        let window = key.strip_prefix(DECIDED).and_then(|window| window.parse().ok());
        self.decided.insert(window.ok_or_else(malformed)?, value.clone());
        Ok(())
    }

    /// The newest window that was reported.
    #[must_use]
    pub fn last_reported(&self) -> Option<u64> {
        self.reported
    }

    /// Keys of pieces of windows that are decided for good.
    #[must_use]
    pub fn is_obsolete(&self, key: &str) -> bool {
        let reported = self.reported;
        parse_piece(key).is_none_or(|(window, _)| reported.is_some_and(|last| window <= last))
    }

    /// What is to be done at an instant, in milliseconds since 1970. Where
    /// nothing was ever reported, the first window is the first of which there
    /// are counts, and no later than `from`.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::usage::{Ledger, Next, Schedule};
    ///
    /// let terms = Schedule { window_ms: 5_000, late_ms: 10_000 };
    /// let ledger = Ledger::default();
    /// assert_eq!(ledger.next(54_999, terms, 10), Next::Wait(59_500));
    /// // A window in which nothing began is reported too.
    /// assert!(matches!(ledger.next(59_500, terms, 10), Next::Decide(10, _)));
    /// ```
    #[must_use]
    pub fn next(&self, now_ms: u64, terms: Schedule, from: u64) -> Next {
        let open = self.decided.iter().find(|(window, _)| Some(**window) > self.reported);
        if let Some((window, report)) = open {
            return Next::Report(*window, report.clone());
        }
        let first = self.pieces.keys().next().copied().unwrap_or(from).min(from);
        let next = self.reported.map_or(first, |last| last + 1);
        let window = next.max(terms.window(now_ms).saturating_sub(MAX_BACKLOG));
        let settled_ms = terms.settled_ms(window);
        if now_ms < settled_ms {
            return Next::Wait(settled_ms);
        }
        Next::Decide(window, self.sum(window))
    }

    fn sum(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        for piece in self.pieces.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (organisation, count) in piece.counts.iter().filter(|(_, count)| **count > 0) {
                let of = sum.entry(organisation.clone()).or_default();
                *of = of.saturating_add(*count);
            }
        }
        sum
    }
}

/// Differences between two readings of a clock that are not a step, in
/// milliseconds.
const SLEW_MS: u64 = 100;
/// How long a clock must stay where it has stepped to before that is taken for
/// the true time, in milliseconds: clocks that jump come back within seconds.
const STEPPED_MS: u64 = 30_000;

/// The time of day as it goes on by a clock that does not step.
///
/// Windows are of true time, and a machine's time of day may jump by seconds
/// and back: what begins meanwhile would be counted in another window.
///
/// # Example
///
/// ```
/// use hollywell::core::{time::Time, usage::SteadyClock};
///
/// let mut day = SteadyClock::default();
/// assert_eq!(day.read(Time(1_000), 500_000), 500_000);
/// // It jumps two seconds ahead and is not believed.
/// assert_eq!(day.read(Time(1_100), 502_100), 500_100);
/// // It drifts, and is.
/// assert_eq!(day.read(Time(1_200), 500_203), 500_203);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SteadyClock {
    /// What is to be added to the steady clock.
    offset_ms: Option<i64>,
    /// Since when the time of day has been elsewhere.
    stepped_at: Option<Time>,
}

impl SteadyClock {
    /// The time of day, in milliseconds since 1970, from a steady clock and a
    /// reading of the machine's.
    pub fn read(&mut self, now: Time, unix_ms: u64) -> u64 {
        let steady_ms = i64::try_from(now.0).unwrap_or(i64::MAX);
        let offset_ms = i64::try_from(unix_ms).unwrap_or(i64::MAX).saturating_sub(steady_ms);
        let known_ms = *self.offset_ms.get_or_insert(offset_ms);
        let is_slew = known_ms.abs_diff(offset_ms) <= SLEW_MS;
        let since = *self.stepped_at.get_or_insert(now);
        if is_slew || now.since(since) >= STEPPED_MS {
            self.offset_ms = Some(offset_ms);
            self.stepped_at = None;
        }
        let offset_ms = self.offset_ms.unwrap_or(offset_ms);
        u64::try_from(steady_ms.saturating_add(offset_ms)).unwrap_or(0)
    }
}

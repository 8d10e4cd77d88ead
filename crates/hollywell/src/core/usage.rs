//! Usage metering: how many requests of each organisation started in each time
//! window, counted by all instances and decided once.
//!
//! Each instance continuously stores its counts, window by window, so that a
//! crash loses only the most recent counts. Some time after the end of a
//! window, the instance that holds the duty adds up the counts of all instances
//! and stores the sum as the window's decision. Only a stored decision is
//! reported, byte for byte, by this holder or the next. A decision is appended
//! at the end of the log as it was read, so that of two holders one is
//! rejected.
//!
//! A request counts once, at the time of its first send that may have run,
//! however often it is sent. Requests that a target reports as not run do not
//! count, and neither do scoring requests and samples.
//!
//! Not part of this module: which instance holds the duty
//! ([`crate::core::store_lease`]), and the calls ([`crate::entry::duties`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use bytes::Bytes;
use prost::Message as _;

use crate::core::time::Time;

pub use crate::core::malformed::Malformed;

/// Number of requests by organisation.
pub type Counts = BTreeMap<String, u64>;

/// Fraction of the time allowed for a report after which a window's counts are
/// added up. By then, delayed counts should be stored; the rest of the time is
/// for the calls and for a successor of the holder.
const SETTLED_SHARE: f64 = 0.45;
/// Number of past windows that are still reported after a long time without a
/// holder of the duty.
const MAX_BACKLOG: u64 = 24;
/// Number of windows for which an instance keeps its counts.
const KEPT_WINDOWS: u64 = 8;

/// An instance's counts in one window so far.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct InstanceCounts {
    /// Sequence number of this record among those of the instance.
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(btree_map = "string, uint64", tag = "2")]
    counts: Counts,
}

/// The counts of one instance.
///
/// # Example
///
/// ```
/// use hollywell::core::usage::Tally;
///
/// let mut tally = Tally::default();
/// tally.begin(7, "survey");
/// tally.begin(7, "survey");
/// // The target reports that it did not run the request.
/// tally.undo(7, "survey");
/// assert_eq!(tally.take_changed("a1").len(), 1);
/// // Nothing has changed since.
/// assert!(tally.take_changed("a1").is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tally {
    windows: BTreeMap<u64, Counts>,
    changed: BTreeSet<u64>,
    number: u64,
}

impl Tally {
    /// Counts a request that starts.
    pub fn begin(&mut self, window: u64, organisation: &str) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(organisation.to_owned()).or_default() += 1;
        self.changed.insert(window);
        while self.windows.len() as u64 > KEPT_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Uncounts a request that did not run.
    pub fn undo(&mut self, window: u64, organisation: &str) {
        let count = self.windows.get_mut(&window).and_then(|counts| counts.get_mut(organisation));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
            self.changed.insert(window);
        }
    }

    /// Returns true if there are counts that are not stored yet.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the records to store for all windows whose counts changed.
    /// `writer` names this run of the instance.
    pub fn take_changed(&mut self, writer: &str) -> Vec<(String, Bytes)> {
        let changed = std::mem::take(&mut self.changed);
        let mut records = Vec::new();
        for window in changed {
            let Some(counts) = self.windows.get(&window) else {
                continue;
            };
            self.number += 1;
            let counts = InstanceCounts { number: self.number, counts: counts.clone() };
            records.push((counts_key(window, writer), counts.encode_to_vec().into()));
        }
        records
    }

    /// Marks the windows of these records as changed again, because the store
    /// did not accept them.
    pub fn mark_unsaved(&mut self, records: &[(String, Bytes)]) {
        let windows = records.iter().filter_map(|(key, _)| Some(parse_counts_key(key)?.0));
        self.changed.extend(windows);
    }
}

/// Returns the key of the record of an instance's counts in a window.
fn counts_key(window: u64, writer: &str) -> String {
    format!("{window}|{writer}")
}

/// Returns the key under which `peer` stores counts on behalf of another
/// instance. It differs from that instance's own `key`, so that it cannot
/// replace newer counts.
#[must_use]
pub fn forwarded_key(key: &str, peer: &str) -> String {
    format!("{key}|{peer}")
}

/// Returns the window and the writer from the key of an instance's counts.
fn parse_counts_key(key: &str) -> Option<(u64, &str)> {
    let mut parts = key.split('|');
    let window = parts.next()?.parse().ok()?;
    Some((window, parts.next().filter(|writer| !writer.is_empty())?))
}

/// Key of the record that holds the newest reported window.
const REPORTED: &str = "reported";
/// Prefix of the keys of decisions.
const DECIDED: &str = "decided|";

/// Returns the record that decides a window. `report` is what will be reported,
/// byte for byte.
#[must_use]
pub fn decision(window: u64, report: Bytes) -> (String, Bytes) {
    (format!("{DECIDED}{window}"), report)
}

/// Returns the records that mark a window as reported and delete its decision.
#[must_use]
pub fn reported(window: u64) -> Vec<(String, Bytes)> {
    let tombstone = (format!("{DECIDED}{window}"), Bytes::new());
    vec![(String::from(REPORTED), window.to_string().into()), tombstone]
}

/// Reporting times that the platform requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time from a window's end until its report is due, in milliseconds.
    pub late_ms: u64,
}

impl Schedule {
    /// Returns the window of a time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn window(&self, at_ms: u64) -> u64 {
        at_ms / self.window_ms.max(1)
    }

    /// Returns when a window may be added up, in milliseconds since the Unix
    /// epoch.
    #[must_use]
    pub fn settled_ms(&self, window: u64) -> u64 {
        let end_ms = (window + 1).saturating_mul(self.window_ms);
        end_ms.saturating_add((self.late_ms as f64 * SETTLED_SHARE) as u64)
    }
}

/// The next action of the holder of the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Do nothing before that time, in milliseconds since the Unix epoch.
    Wait(u64),
    /// Decide a window with these counts.
    Decide(u64, Counts),
    /// Report a window that was decided.
    Report(u64, Bytes),
}

/// The usage records in the store, for all windows.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The newest counts by window and instance.
    counts: BTreeMap<u64, BTreeMap<String, InstanceCounts>>,
    decided: BTreeMap<u64, Bytes>,
    reported: Option<u64>,
}

impl Ledger {
    /// Folds the record of an instance's counts.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is malformed; it is then ignored.
    pub fn add_counts(&mut self, key: &str, value: &[u8]) -> Result<(), Malformed> {
        let malformed = |why: &dyn fmt::Display| Malformed(format!("usage counts {key:?}: {why}"));
        let (window, writer) = parse_counts_key(key).ok_or_else(|| malformed(&"invalid key"))?;
        let record = InstanceCounts::decode(value).map_err(|error| malformed(&error))?;
        let counts = self.counts.entry(window).or_default();
        let is_newest = counts.get(writer).is_none_or(|known| known.number < record.number);
        if is_newest {
            counts.insert(writer.to_owned(), record);
        }
        Ok(())
    }

    /// Folds the record of a decision or of the newest reported window.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is malformed; it is then ignored.
    pub fn add_record(&mut self, key: &str, value: &Bytes) -> Result<(), Malformed> {
        let malformed = || Malformed(format!("usage record {key:?} is malformed"));
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

    /// Returns the newest window that was reported.
    #[must_use]
    pub fn last_reported(&self) -> Option<u64> {
        self.reported
    }

    /// Returns true if `key` is that of counts that are no longer needed,
    /// because their window was reported.
    #[must_use]
    pub fn is_obsolete(&self, key: &str) -> bool {
        let reported = self.reported;
        parse_counts_key(key).is_none_or(|(window, _)| reported.is_some_and(|last| window <= last))
    }

    /// Returns the next action at `now_ms`, in milliseconds since the Unix
    /// epoch. If no window was ever reported, the first window to report is the
    /// first one with counts, but no later than `from`.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::usage::{Ledger, Next, Schedule};
    ///
    /// let schedule = Schedule { window_ms: 5_000, late_ms: 10_000 };
    /// let ledger = Ledger::default();
    /// assert_eq!(ledger.next(54_999, schedule, 10), Next::Wait(59_500));
    /// // A window in which no request started is reported too.
    /// assert!(matches!(ledger.next(59_500, schedule, 10), Next::Decide(10, _)));
    /// ```
    #[must_use]
    pub fn next(&self, now_ms: u64, schedule: Schedule, from: u64) -> Next {
        let open = self.decided.iter().find(|(window, _)| Some(**window) > self.reported);
        if let Some((window, report)) = open {
            return Next::Report(*window, report.clone());
        }
        let first = self.counts.keys().next().copied().unwrap_or(from).min(from);
        let next = self.reported.map_or(first, |last| last + 1);
        let window = next.max(schedule.window(now_ms).saturating_sub(MAX_BACKLOG));
        let settled_ms = schedule.settled_ms(window);
        if now_ms < settled_ms {
            return Next::Wait(settled_ms);
        }
        Next::Decide(window, self.sum(window))
    }

    fn sum(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        for record in self.counts.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (organisation, count) in record.counts.iter().filter(|(_, count)| **count > 0) {
                let total = sum.entry(organisation.clone()).or_default();
                *total = total.saturating_add(*count);
            }
        }
        sum
    }
}

/// Largest change of a clock's offset that counts as drift and not as a step,
/// in milliseconds.
const SLEW_MS: u64 = 100;
/// How long a clock must keep a stepped offset before that is accepted as the
/// true time, in milliseconds. Clocks that jump return within seconds.
const STEPPED_MS: u64 = 30_000;

/// The time of day, advanced by a monotonic clock so that it does not step.
///
/// Usage windows refer to true time, but a machine's time of day may jump by
/// seconds and back. Requests that start in between would be counted in the
/// wrong window.
///
/// # Example
///
/// ```
/// use hollywell::core::{time::Time, usage::SteadyClock};
///
/// let mut clock = SteadyClock::default();
/// assert_eq!(clock.read(Time(1_000), 500_000), 500_000);
/// // A jump of two seconds is ignored.
/// assert_eq!(clock.read(Time(1_100), 502_100), 500_100);
/// // Drift is followed.
/// assert_eq!(clock.read(Time(1_200), 500_203), 500_203);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SteadyClock {
    /// Offset of the time of day from the monotonic clock.
    offset_ms: Option<i64>,
    /// When the time of day stepped away from that offset.
    stepped_at: Option<Time>,
}

impl SteadyClock {
    /// Returns the time of day, in milliseconds since the Unix epoch, from the
    /// monotonic time and a reading of the machine's time of day.
    pub fn read(&mut self, now: Time, unix_ms: u64) -> u64 {
        let monotonic_ms = i64::try_from(now.0).unwrap_or(i64::MAX);
        let offset_ms = i64::try_from(unix_ms).unwrap_or(i64::MAX).saturating_sub(monotonic_ms);
        let known_ms = *self.offset_ms.get_or_insert(offset_ms);
        let is_slew = known_ms.abs_diff(offset_ms) <= SLEW_MS;
        let since = *self.stepped_at.get_or_insert(now);
        if is_slew || now.since(since) >= STEPPED_MS {
            self.offset_ms = Some(offset_ms);
            self.stepped_at = None;
        }
        let offset_ms = self.offset_ms.unwrap_or(offset_ms);
        u64::try_from(monotonic_ms.saturating_add(offset_ms)).unwrap_or(0)
    }
}

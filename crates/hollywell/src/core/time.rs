//! The reducer's time: milliseconds on a process's monotonic clock, which also
//! advances while the machine is suspended.
//!
//! Not part of this module: the time of day. Only state that outlives a process
//! depends on it ([`crate::core::poison`], and the retention of jobs).

use serde::{Deserialize, Serialize};

/// A time on one process's monotonic clock, in milliseconds.
///
/// Times of different processes must not be compared. An instance that needs
/// another's clock receives readings of it ([`crate::core::member::Reading`]).
///
/// # Example
///
/// ```
/// use hollywell::core::time::Time;
///
/// let start = Time(1_000);
/// assert_eq!(start.after(250), Time(1_250));
/// // The time since a later instant is zero, not negative.
/// assert_eq!(start.since(Time(2_000)), 0);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The earliest time. Clocks begin at [`Time::START`], so that it is long past.
    pub const EARLIEST: Time = Time(0);

    /// The time at which the clock of every process begins: 30 days after
    /// [`Time::EARLIEST`]. What a process learns from others may be older than
    /// itself, by their outages, their retention and their predecessors' lives;
    /// instants up to that much before its start can be expressed.
    pub const START: Time = Time(30 * 24 * 60 * 60 * 1_000);

    /// Returns the time `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub const fn after(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms))
    }

    /// Returns the time `age_ms` milliseconds earlier, or `None` if that is before
    /// [`Time::EARLIEST`] and can't be expressed.
    ///
    /// Use it instead of a subtraction, which would have to end at some time and so
    /// make what is old younger than it is. Where a later instant is harmless,
    /// [`Time::EARLIEST`] can stand for `None`.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::time::Time;
    ///
    /// // A process that has just begun learns what a peer has known for a minute.
    /// let known_at = Time::START.before(60_000);
    /// assert_eq!(known_at.map(|at| Time::START.since(at)), Some(60_000));
    /// assert_eq!(Time(1_000).before(2_000), None);
    /// ```
    #[must_use]
    pub const fn before(self, age_ms: u64) -> Option<Time> {
        match self.0.checked_sub(age_ms) {
            Some(ms) => Some(Time(ms)),
            None => None,
        }
    }

    /// Returns the milliseconds from `earlier` to this time; zero if `earlier`
    /// is not earlier.
    #[must_use]
    pub const fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

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
    /// Returns the time `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub const fn after(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this time; zero if `earlier`
    /// is not earlier.
    #[must_use]
    pub const fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

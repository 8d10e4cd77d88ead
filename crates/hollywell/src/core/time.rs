//! The reducer's notion of time: milliseconds on one process's monotonic
//! clock, which counts the time in which its machine was suspended. It leaves
//! out wall-clock time, on which only what outlives a process depends
//! ([`crate::core::poison`], and how long jobs are kept).

use serde::{Deserialize, Serialize};

/// An instant on one process's monotonic clock, in milliseconds.
///
/// Instants of different processes must not be compared; where an instance
/// needs another's clock it is told a reading of it (see [`crate::core::owner`]).
///
/// # Example
///
/// ```
/// use hollywell::core::time::Time;
///
/// let start = Time(1_000);
/// assert_eq!(start.after(250), Time(1_250));
/// // An earlier instant is zero milliseconds past a later one, not negative.
/// assert_eq!(start.since(Time(2_000)), 0);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The instant `ms` milliseconds later, saturating at the end of time.
    #[must_use]
    pub const fn after(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this instant, zero if it is not earlier.
    #[must_use]
    pub const fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

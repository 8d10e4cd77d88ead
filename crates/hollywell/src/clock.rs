//! The clock on which decisions are based.
//!
//! While a machine is suspended, which may take seconds, the monotonic clock of
//! timers stands still, but leases and memberships at other machines continue to
//! expire. Whether an instance still holds them is therefore determined by a clock
//! that includes suspended time. A timer that fires late only delays the check.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::core::time::Time;

/// Returns the time since the machine booted, including time in suspension.
///
/// # Example
///
/// ```
/// use hollywell::clock::since_boot;
///
/// let before = since_boot();
/// assert!(since_boot() >= before);
/// ```
///
/// # Panics
///
/// If the kernel does not support `CLOCK_BOOTTIME`, which Linux has since 2.6.39.
/// No other clock is a substitute.
#[must_use]
pub fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => panic!("CLOCK_BOOTTIME is not available: {error}"),
    }
}

/// A monotonic clock of the process that includes suspended time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    read: fn() -> Duration,
}

impl Clock {
    /// Creates a clock that begins at [`Time::START`].
    #[must_use]
    pub fn start() -> Clock {
        Clock::reading(since_boot)
    }

    /// Creates a clock that reads another source, for tests.
    #[must_use]
    pub fn reading(read: fn() -> Duration) -> Clock {
        Clock { start: read(), read }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        let elapsed = (self.read)().saturating_sub(self.start);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Time::START.after(elapsed_ms)
    }

    /// Returns the time left until `until`, or zero if it has passed.
    #[must_use]
    pub fn left(&self, until: Time) -> Duration {
        Duration::from_millis(until.since(self.now()))
    }
}

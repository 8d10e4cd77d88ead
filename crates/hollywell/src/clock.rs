//! The process's clock, as decisions see it.
//!
//! A machine may be suspended for seconds, and the steady clock that timers
//! go by stands still meanwhile. Others' leases, members and facts age all the
//! same. So what an instance believes to hold is judged by a clock that counts
//! that time; a timer that fires late only delays the judgement.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::core::time::Time;

/// Time since the machine's start, with that in which it was suspended.
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
/// If the kernel does not know that clock: it has since Linux 2.6.39, and no
/// other clock would do.
#[must_use]
pub fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => panic!("no clock that counts suspended time: {error}"),
    }
}

/// The process's clock, which never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    read: fn() -> Duration,
}

impl Clock {
    /// A clock that starts at one second, so that no instant of the run is
    /// mistaken for "never".
    #[must_use]
    pub fn start() -> Clock {
        Clock::reading(since_boot)
    }

    /// The same from another source, for tests.
    #[must_use]
    pub fn reading(read: fn() -> Duration) -> Clock {
        Clock { start: read(), read }
    }

    /// The instant now.
    #[must_use]
    pub fn now(&self) -> Time {
        let elapsed = (self.read)().saturating_sub(self.start);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Time(1_000).after(elapsed_ms)
    }

    /// Time left until an instant; zero if it has passed.
    #[must_use]
    pub fn left(&self, until: Time) -> Duration {
        Duration::from_millis(until.since(self.now()))
    }
}

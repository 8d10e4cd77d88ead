//! Determines the earliest time at which a request may have arrived.
//!
//! A process that was paused finds requests in its sockets when it resumes. They
//! may have arrived at any time since the pause began, and an owner that refused
//! their key meanwhile must account for that. Such a request therefore counts as
//! arrived when the pause began. Socket timestamps are not an alternative: Linux
//! provides them for datagrams only.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tokio::time::{MissedTickBehavior, interval};

use crate::{clock::Clock, core::time::Time};

/// Time between heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 50;
/// Time without a heartbeat that counts as a pause, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 500;
/// Time after a pause during which requests that arrived in it may still be read,
/// in milliseconds.
const CATCH_UP_MS: u64 = 1_000;

/// Detects pauses of the process by its own heartbeat. Clones share their state.
///
/// # Example
///
/// ```
/// use hollywell::{core::time::Time, watchdog::Watchdog};
///
/// let watchdog = Watchdog::new(Time(1_000));
/// watchdog.heartbeat(Time(1_050));
/// assert_eq!(watchdog.earliest_arrival(Time(1_060)), Time(1_060));
/// // The process was paused for three seconds.
/// assert_eq!(watchdog.earliest_arrival(Time(4_060)), Time(1_050));
/// watchdog.heartbeat(Time(4_061));
/// assert_eq!(watchdog.earliest_arrival(Time(4_100)), Time(1_050));
/// // One second after the pause, all waiting requests have been read.
/// for time in [4_500, 4_900, 5_090] {
///     watchdog.heartbeat(Time(time));
/// }
/// assert_eq!(watchdog.earliest_arrival(Time(5_100)), Time(5_100));
/// ```
#[derive(Clone, Debug)]
pub struct Watchdog {
    last_heartbeat: Arc<AtomicU64>,
    paused_at: Arc<AtomicU64>,
    caught_up_at: Arc<AtomicU64>,
}

impl Watchdog {
    /// Creates a watchdog whose first heartbeat is at `now`.
    #[must_use]
    pub fn new(now: Time) -> Watchdog {
        let last_heartbeat = Arc::new(AtomicU64::new(now.0));
        let (paused_at, caught_up_at) = Default::default();
        Watchdog { last_heartbeat, paused_at, caught_up_at }
    }

    /// Records that the process runs.
    pub fn heartbeat(&self, now: Time) {
        let last_heartbeat = Time(self.last_heartbeat.load(Ordering::Acquire));
        if now.since(last_heartbeat) >= PAUSE_THRESHOLD_MS {
            self.paused_at.store(last_heartbeat.0, Ordering::Release);
            self.caught_up_at.store(now.after(CATCH_UP_MS).0, Ordering::Release);
        }
        self.last_heartbeat.store(now.0, Ordering::Release);
    }

    /// Returns the earliest time at which a request that is read now may have
    /// arrived.
    #[must_use]
    pub fn earliest_arrival(&self, now: Time) -> Time {
        let last_heartbeat = Time(self.last_heartbeat.load(Ordering::Acquire));
        if now.since(last_heartbeat) >= PAUSE_THRESHOLD_MS {
            return last_heartbeat;
        }
        if now < Time(self.caught_up_at.load(Ordering::Acquire)) {
            return Time(self.paused_at.load(Ordering::Acquire));
        }
        now
    }

    /// Sends heartbeats for as long as the process runs.
    pub async fn run(self, clock: Clock) {
        let mut ticks = interval(std::time::Duration::from_millis(HEARTBEAT_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.heartbeat(clock.now());
        }
    }
}

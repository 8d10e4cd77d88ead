//! Tells from when on a request may have been waiting in a socket.
//!
//! A process that was paused finds requests in its sockets when it goes on.
//! They arrived at some time since the pause began, and an owner that refused
//! their key meanwhile must be able to tell: such a request counts as arrived
//! when the pause began. Reading the socket's own time was weighed and ruled
//! out: the system tells it for datagrams only.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tokio::time::{MissedTickBehavior, interval};

use crate::{clock::Clock, core::time::Time};

/// Time between beats, in milliseconds.
const BEAT_MS: u64 = 50;
/// Silence that counts as a pause, in milliseconds.
const PAUSE_MS: u64 = 500;
/// How long after a pause requests may still be ones that waited through it,
/// in milliseconds.
const AFTER_MS: u64 = 1_000;

/// The process's own heartbeat. Clones share it.
///
/// # Example
///
/// ```
/// use hollywell::{core::time::Time, pulse::Pulse};
///
/// let pulse = Pulse::new(Time(1_000));
/// pulse.beat(Time(1_050));
/// assert_eq!(pulse.arrival(Time(1_060)), Time(1_060));
/// // The process was paused for three seconds.
/// assert_eq!(pulse.arrival(Time(4_060)), Time(1_050));
/// pulse.beat(Time(4_061));
/// assert_eq!(pulse.arrival(Time(4_100)), Time(1_050));
/// // After a second of running, whatever waited has been read.
/// for beat in [4_500, 4_900, 5_090] {
///     pulse.beat(Time(beat));
/// }
/// assert_eq!(pulse.arrival(Time(5_100)), Time(5_100));
/// ```
#[derive(Clone, Debug)]
pub struct Pulse {
    last: Arc<AtomicU64>,
    paused_from: Arc<AtomicU64>,
    over_at: Arc<AtomicU64>,
}

impl Pulse {
    /// A process that beats for the first time.
    #[must_use]
    pub fn new(now: Time) -> Pulse {
        let last = Arc::new(AtomicU64::new(now.0));
        let (paused_from, over_at) = Default::default();
        Pulse { last, paused_from, over_at }
    }

    /// Notes that the process runs.
    pub fn beat(&self, now: Time) {
        let last = Time(self.last.load(Ordering::Acquire));
        if now.since(last) >= PAUSE_MS {
            self.paused_from.store(last.0, Ordering::Release);
            self.over_at.store(now.after(AFTER_MS).0, Ordering::Release);
        }
        self.last.store(now.0, Ordering::Release);
    }

    /// When a request that is read now may have arrived at the earliest.
    #[must_use]
    pub fn arrival(&self, now: Time) -> Time {
        let last = Time(self.last.load(Ordering::Acquire));
        if now.since(last) >= PAUSE_MS {
            return last;
        }
        if now < Time(self.over_at.load(Ordering::Acquire)) {
            return Time(self.paused_from.load(Ordering::Acquire));
        }
        now
    }

    /// Beats for as long as the process runs.
    pub async fn keep(self, clock: Clock) {
        let mut beats = interval(std::time::Duration::from_millis(BEAT_MS));
        beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            beats.tick().await;
            self.beat(clock.now());
        }
    }
}

//! Rate limiting of weight fetches, so that the store does not refuse them.
//!
//! There are three policies, for comparison in measurements: no limit except
//! the number of engines that load weights at the same time; a token bucket;
//! and the generic cell rate algorithm, which keeps only the theoretical
//! arrival time, as described by A. Kumar, "Building a Rate Limiter or RPM
//! based Throttler for your API/worker" (2024). Unlike there, the state is
//! local to one lease holder and the caller passes the time; there is no shared
//! store.

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// Number of fetches that may be admitted at the same time. With two, the
/// holders of several failure domains exceed the store's rate when they learn
/// of a version at the same time, which caused 673 refusals instead of none in
/// a measurement.
const BURST: u64 = 1;
/// One token, in thousandths, so that refills of a few milliseconds count.
const TOKEN: u64 = 1_000;

/// A policy for rate limiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pacing {
    /// No rate limit.
    Unpaced,
    /// Token bucket.
    Bucket,
    /// Generic cell rate algorithm.
    Gcra,
}

/// A rate limiter for one instance's fetches.
///
/// # Example
///
/// ```
/// use hollywell::core::{pace::{Pacer, Pacing}, time::Time};
///
/// let mut pace = Pacer::new(Pacing::Gcra, 100);
/// assert!(pace.admit(Time(1_000)));
/// assert!(!pace.admit(Time(1_099)));
/// // A refused fetch does not delay the next one.
/// assert!(pace.admit(Time(1_100)));
/// ```
#[derive(Clone, Debug)]
pub struct Pacer {
    pacing: Pacing,
    interval_ms: u64,
    arrival: Time,
    tokens: u64,
    refilled: Time,
}

impl Pacer {
    /// Creates a rate limiter that admits one fetch every `interval_ms`
    /// milliseconds.
    #[must_use]
    pub const fn new(pacing: Pacing, interval_ms: u64) -> Pacer {
        let interval_ms = if interval_ms == 0 { 1 } else { interval_ms };
        Pacer { pacing, interval_ms, arrival: Time(0), tokens: BURST * TOKEN, refilled: Time(0) }
    }

    /// Returns true and counts a fetch at `now` if the rate allows it.
    pub fn admit(&mut self, now: Time) -> bool {
        match self.pacing {
            Pacing::Unpaced => true,
            Pacing::Bucket => self.admit_by_bucket(now),
            Pacing::Gcra => self.admit_by_arrival(now),
        }
    }

    fn admit_by_bucket(&mut self, now: Time) -> bool {
        let earned = now.since(self.refilled) * TOKEN / self.interval_ms;
        self.tokens = (self.tokens + earned).min(BURST * TOKEN);
        self.refilled = now;
        let enough = self.tokens >= TOKEN;
        if enough {
            self.tokens -= TOKEN;
        }
        enough
    }

    fn admit_by_arrival(&mut self, now: Time) -> bool {
        let tolerance_ms = (BURST - 1) * self.interval_ms;
        let conforms = now.after(tolerance_ms) >= self.arrival;
        if conforms {
            self.arrival = self.arrival.max(now).after(self.interval_ms);
        }
        conforms
    }
}

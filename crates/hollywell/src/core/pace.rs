//! How fast weights may be fetched, so that the store does not refuse.
//!
//! Three ways, to be measured against each other: no pace but the number of
//! engines that change at once; a token bucket; and the generic cell rate
//! algorithm in the form of A. Kumar, "Building a Rate Limiter or RPM based
//! Throttler for your API/worker" (2024), which keeps a single instant, the
//! theoretical arrival time. Unlike there, the state is one holder's own and
//! the clock is the caller's; there is no shared store to ask.

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// Fetches that may come at once before the rate holds them back. With two,
/// the holders of several failure domains that learn of a version together
/// exceed the store's rate together (measured: 673 refusals instead of none).
const BURST: u64 = 1;
/// Thousandths of a token, so that refills of a few milliseconds count.
const TOKEN: u64 = 1_000;

/// A pacing to hold fetches back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pacing {
    /// Not at all.
    Unpaced,
    /// Tokens that refill at the rate.
    Bucket,
    /// The generic cell rate algorithm.
    Gcra,
}

/// Holds one instance's fetches to a rate.
///
/// # Example
///
/// ```
/// use hollywell::core::{pace::{Pacer, Pacing}, time::Time};
///
/// let mut pace = Pacer::new(Pacing::Gcra, 100);
/// assert!(pace.admit(Time(1_000)));
/// assert!(!pace.admit(Time(1_099)));
/// // A refused fetch does not put the next one off.
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
    /// Holds fetches to one every `interval_ms` milliseconds.
    #[must_use]
    pub const fn new(pacing: Pacing, interval_ms: u64) -> Pacer {
        let interval_ms = if interval_ms == 0 { 1 } else { interval_ms };
        Pacer { pacing, interval_ms, arrival: Time(0), tokens: BURST * TOKEN, refilled: Time(0) }
    }

    /// Takes a fetch at `now` if the rate allows it.
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

//! A retry budget, and a circuit breaker for failing targets.
//!
//! Not part of this module: whether a retry is safe, which only the caller
//! knows.

use crate::core::time::Time;

/// What one success earns, in thousandths of a retry.
const EARNED_PER_SUCCESS: u32 = 100;
/// What one retry costs, in thousandths of a retry.
const COST_OF_RETRY: u32 = 1_000;
/// Maximum that can be saved up, in thousandths of a retry.
const MAX_SAVED: u32 = 10_000;

/// A retry budget that is earned by successes, so that retries remain a bounded
/// share of the load when all requests fail.
///
/// # Example
///
/// ```
/// use hollywell::core::retry::Budget;
///
/// let mut budget = Budget::default();
/// let granted = (0..100).filter(|_| budget.spend()).count();
/// // Without successes, only the initial savings are granted.
/// assert_eq!(granted, 10);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    saved: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: MAX_SAVED }
    }
}

impl Budget {
    /// Earns a tenth of a retry.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_SUCCESS).min(MAX_SAVED);
    }

    /// Spends one retry if the budget allows it, and returns true if it did.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= COST_OF_RETRY;
        if enough {
            self.saved -= COST_OF_RETRY;
        }
        enough
    }
}

/// Back-off after the first failure of a target, in milliseconds.
const MIN_BACKOFF_MS: u64 = 200;
/// Longest back-off of a failing target, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// A circuit breaker with exponential back-off for one target.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_until: Time,
}

impl Breaker {
    /// Returns true if requests may be sent to the target.
    #[must_use]
    pub fn allows(&self, now: Time) -> bool {
        now >= self.open_until
    }

    /// Records a failure and opens the breaker, for twice as long as after the
    /// previous failure.
    pub fn fail(&mut self, now: Time) {
        let doublings = self.failures.min(16);
        let backoff_ms = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.open_until = now.after(backoff_ms);
    }

    /// Records a success and closes the breaker.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.open_until = Time(0);
    }
}

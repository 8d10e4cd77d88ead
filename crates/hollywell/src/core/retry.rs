//! Whether a failed attempt may be tried again, and how long to leave a
//! failing target alone.
//!
//! What it leaves out: whether trying again is safe, which only the user of
//! this module knows.

use crate::core::time::Time;

/// Thousandths of a retry that one success earns.
const EARNED_PER_SUCCESS: u32 = 100;
/// Thousandths of a retry that one retry costs.
const COST_OF_RETRY: u32 = 1_000;
/// Most thousandths of a retry that are saved up.
const MAX_SAVED: u32 = 10_000;

/// A budget of retries, earned by successes, so that retries stay a bounded
/// share of the load when everything fails.
///
/// # Example
///
/// ```
/// use hollywell::core::retry::Budget;
///
/// let mut budget = Budget::default();
/// let granted = (0..100).filter(|_| budget.spend()).count();
/// // Without successes only what was saved up is granted.
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

    /// Spends one retry if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= COST_OF_RETRY;
        if enough {
            self.saved -= COST_OF_RETRY;
        }
        enough
    }
}

/// First time that a failing target is left alone, in milliseconds.
const MIN_BACKOFF_MS: u64 = 200;
/// Longest time that a failing target is left alone, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Leaves a target alone after failures, for longer each time.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_until: Time,
}

impl Breaker {
    /// True if the target may be tried.
    #[must_use]
    pub fn allows(&self, now: Time) -> bool {
        now >= self.open_until
    }

    /// Notes a failure: the target is left alone for twice as long as after
    /// the one before.
    pub fn fail(&mut self, now: Time) {
        let doublings = self.failures.min(16);
        let backoff_ms = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.open_until = now.after(backoff_ms);
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.open_until = Time(0);
    }
}

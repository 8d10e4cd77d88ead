//! Adaptive timeouts for calls to the store, and back-off after failed calls.
//!
//! All instances share the store's bandwidth. After an outage they all read
//! everything again, and each answer takes as long as all the requested bytes
//! take together. A fixed timeout is harmful then: the bytes of an answer that
//! timed out are wasted, and the retry requests them again, so that abandoned
//! answers make up most of the load. The timeout therefore adapts to the
//! observed response times, like TCP's retransmission timeout (RFC 6298), and
//! doubles with each timeout in a row. The back-off grows with the number of
//! instances.
//!
//! Not part of this module: the calls themselves ([`crate::entry::reader`]).

/// Shortest timeout, in milliseconds. A healthy store answers within a few
/// milliseconds, a slow one within a few hundred. This is also how long it
/// takes to detect a connection that was lost without notice.
const MIN_TIMEOUT_MS: f64 = 800.0;
/// Longest timeout, in milliseconds. Callers do not wait any longer for an
/// answer either.
const MAX_TIMEOUT_MS: f64 = 6_000.0;
/// Weight of the newest response time in the smoothed mean (`alpha` in RFC
/// 6298, section 2).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest response time in its variation (`beta` in RFC 6298,
/// section 2).
const VARIATION_WEIGHT: f64 = 0.25;
/// How many variations above the mean the timeout is (`K` in RFC 6298, section
/// 2).
const VARIATIONS: f64 = 4.0;
/// Shortest timeout while the store is crowded, in milliseconds: it refuses what
/// would wait for two seconds, and other answers take that and their own time.
const CROWDED_TIMEOUT_MS: f64 = 2_500.0;
/// Time in the store's queue from which it counts as crowded, in milliseconds.
const CROWDED_QUEUE_MS: u64 = 400;
/// Number of other answers after which it no longer does. A single one may have
/// come between two large ones.
const CALM_ANSWERS: u32 = 16;
/// Maximum number of doublings of the timeout after timeouts in a row.
const MAX_DOUBLINGS: u32 = 3;

/// Upper bound of the back-off after the first failed call, in milliseconds.
const MIN_BACKOFF_MS: u64 = 100;
/// Longest back-off while the store answers no call of this instance, in
/// milliseconds. Its recovery should be noticed well within the one second
/// that its users are allowed for it.
const MAX_BACKOFF_MS: u64 = 400;
/// While the store is overloaded, the longest back-off is [`MAX_BACKOFF_MS`] for
/// each group of so many instances.
const INSTANCES_PER_STEP: usize = 30;

/// The timeout for calls to the store, as estimated by one instance.
///
/// # Example
///
/// ```
/// use hollywell::core::timeout::Timeout;
///
/// let mut timeout = Timeout::default();
/// timeout.record_answer(5);
/// assert_eq!(timeout.current_ms(), 800);
/// // One timeout may be a lost connection, several in a row are a busy store.
/// // Concurrent calls that time out together count once.
/// timeout.record_timeout(800);
/// timeout.record_timeout(800);
/// assert_eq!(timeout.current_ms(), 1_600);
/// // After slow answers, the timeout is longer.
/// timeout.record_answer(1_500);
/// assert!(timeout.current_ms() > 1_500);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Timeout {
    mean_ms: Option<f64>,
    variation_ms: f64,
    timeouts: u32,
    /// Answers from a short queue left until the store no longer counts as crowded.
    crowded: u32,
}

impl Timeout {
    /// Returns the current timeout, in milliseconds.
    #[must_use]
    pub fn current_ms(&self) -> u64 {
        let estimate = self.mean_ms.unwrap_or_default() + VARIATIONS * self.variation_ms;
        let doubled = f64::from(1_u32 << self.timeouts.min(MAX_DOUBLINGS));
        let timeout = estimate.max(MIN_TIMEOUT_MS) * doubled;
        let shortest = if self.is_crowded() { CROWDED_TIMEOUT_MS } else { MIN_TIMEOUT_MS };
        timeout.clamp(shortest, MAX_TIMEOUT_MS) as u64
    }

    /// Whether answers wait in the store's queue: it refused a call for its length,
    /// or answers came from a long one.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.crowded > 0
    }

    /// Records that the store refused a call because too many were waiting.
    pub fn record_refusal(&mut self) {
        self.crowded = CALM_ANSWERS;
    }

    /// Records how long the last answer waited in the store's queue, in milliseconds.
    pub fn record_queue(&mut self, queue_ms: u64) {
        if queue_ms >= CROWDED_QUEUE_MS {
            self.crowded = CALM_ANSWERS;
        }
    }

    /// Records the response time of a call, without the time that the call
    /// asked the store to wait.
    pub fn record_answer(&mut self, took_ms: u64) {
        let took = took_ms as f64;
        self.timeouts = 0;
        self.crowded = self.crowded.saturating_sub(1);
        let Some(mean) = self.mean_ms else {
            self.mean_ms = Some(took);
            self.variation_ms = took / 2.0;
            return;
        };
        self.variation_ms += VARIATION_WEIGHT * ((mean - took).abs() - self.variation_ms);
        self.mean_ms = Some(mean + MEAN_WEIGHT * (took - mean));
    }

    /// Records that a call timed out after `limit_ms` milliseconds. It counts
    /// only if that is the current timeout, so that concurrent calls that time
    /// out together count once. When each of them counted, a network cut of a
    /// few seconds left the timeout at its maximum, and reads that were lost
    /// in the cut hung for six seconds after it.
    pub fn record_timeout(&mut self, limit_ms: u64) {
        if limit_ms >= self.current_ms() {
            self.timeouts += 1;
        }
    }

    /// Records that the store answers no call of this instance. Time-outs are
    /// then caused by an outage and not by load, and the timeout must be short
    /// again so that the recovery is noticed soon.
    pub fn record_outage(&mut self) {
        self.timeouts = 0;
        self.crowded = 0;
    }
}

/// Returns the upper bound of the back-off after `failures` failed calls in a
/// row, in milliseconds; the back-off is drawn uniformly from zero to it. While
/// the store is `unavailable` the bound is short. A store that answers some
/// calls and not others is overloaded by all `instances`, so the bound grows
/// with their number.
#[must_use]
pub fn max_backoff_ms(failures: u32, instances: usize, unavailable: bool) -> u64 {
    let scale = if unavailable { 1 } else { instances.div_ceil(INSTANCES_PER_STEP).max(1) as u64 };
    let doubled = MIN_BACKOFF_MS << failures.saturating_sub(1).min(8);
    doubled.min(MAX_BACKOFF_MS * scale)
}

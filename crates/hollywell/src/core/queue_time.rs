//! How long responses of the store wait in its queue. A pure reducer.
//!
//! A response time alone doesn't show a queue: a store that is far away, or slow, takes
//! as long for each response at any load. A queue adds to the least time that a response
//! took lately.
//!
//! Which queue is too long is decided in [`crate::core::text_window`] for texts, and in
//! [`crate::core::timeout`] for timeouts.

use crate::core::time::Time;

/// Time after which the least response time is that of newer responses alone, in
/// milliseconds.
const MEMORY_MS: u64 = 60_000;
/// Longest part of a response time that counts as the store's own, in milliseconds. With
/// more, two reads of the operator's commands would take longer than they have; and a
/// queue of many instances that is never empty looks like a slow store.
const MAX_LEAST_MS: u64 = 400;

/// The response times of a store.
///
/// # Example
///
/// ```
/// use hollywell::core::{queue_time::QueueTime, time::Time};
///
/// let mut times = QueueTime::default();
/// // A store counts as fast until it was slow for a while.
/// assert_eq!(times.record(Time(1_000), 300), 300);
/// assert_eq!(times.record(Time(61_000), 300), 0);
/// assert_eq!(times.record(Time(61_100), 700), 400);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueTime {
    /// The least response time of the interval before the current one, in milliseconds;
    /// 0 until one has ended.
    before_ms: u64,
    current: Option<Interval>,
}

/// Responses of at most [`MEMORY_MS`].
#[derive(Clone, Copy, Debug)]
struct Interval {
    began: Time,
    least_ms: u64,
}

impl QueueTime {
    /// Records a response time; returns how much of it was spent in the queue, both in
    /// milliseconds.
    pub fn record(&mut self, now: Time, took_ms: u64) -> u64 {
        let current = self.current.get_or_insert(Interval { began: now, least_ms: took_ms });
        current.least_ms = current.least_ms.min(took_ms);
        if now.since(current.began) >= MEMORY_MS {
            self.before_ms = current.least_ms;
            *current = Interval { began: now, least_ms: took_ms };
        }
        let least_ms = self.before_ms.min(current.least_ms).min(MAX_LEAST_MS);
        took_ms.saturating_sub(least_ms)
    }

    /// Records that a queue grew: the least response time may be that of a queue too, and
    /// the store counts as fast again.
    pub fn record_growth(&mut self) {
        if self.before_ms > 0 {
            *self = QueueTime::default();
        }
    }
}

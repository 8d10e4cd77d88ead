//! How many bytes of texts an instance reads from the store at a time. A pure
//! reducer.
//!
//! The store sends the responses to all reads one after the other, so that a read of
//! the operator's commands waits behind everything that was asked for before. Texts
//! are most of what is read. Where each caller's text is asked for at once, the
//! queue is as long as there are callers, and beyond two seconds the store refuses
//! reads of all kinds. Therefore the bytes that are asked for at a time are bounded:
//! the bound is halved while responses wait long in the queue, and doubled while they
//! don't and reads wait for it, so that the queue of all instances together stays short.
//!
//! The waiting itself is done in [`crate::entry::reader`]. How many reads are made
//! in a second is decided in [`crate::core::read_rate`].

use crate::core::{queue_time::QueueTime, time::Time};

/// Smallest bound, in bytes: several texts of the usual size.
const MIN_BYTES: u64 = 32 << 10;
/// First bound, in bytes: callers may come at once to a store with little bandwidth.
const FIRST_BYTES: u64 = 128 << 10;
/// Largest bound, in bytes: a few large responses.
const MAX_BYTES: u64 = 4 << 20;
/// Time in the queue from which it counts as long, in milliseconds. The operator's
/// commands have two seconds, and may need two reads.
const LONG_QUEUE_MS: u64 = 250;
/// Time in which responses from a long queue count as one, in milliseconds: those of
/// reads that were sent by the bound before.
const EPOCH_MS: u64 = 500;
/// Time in which other responses count as one, in milliseconds.
const GROWTH_MS: u64 = 1_000;

/// The bound on bytes of texts in flight.
///
/// # Example
///
/// ```
/// use hollywell::core::{text_window::TextWindow, time::Time};
///
/// let mut window = TextWindow::default();
/// assert!(window.try_begin(60_000) && window.try_begin(60_000));
/// assert!(!window.try_begin(60_000));
/// window.record_answer(Time(1_000), 5);
/// assert!(window.try_begin(60_000));
/// for second in 2..10 {
///     window.record_answer(Time(second * 1_000), 900);
/// }
/// (0..3).for_each(|_| window.end(60_000));
/// // One read is always in flight, whatever its size.
/// assert!(window.try_begin(1 << 20) && !window.try_begin(1));
/// ```
#[derive(Clone, Debug)]
pub struct TextWindow {
    limit: u64,
    in_flight: u64,
    /// When the bound was last reduced, and last changed.
    reduced_at: Option<Time>,
    changed_at: Time,
    /// A read had to wait since the bound last grew.
    has_waited: bool,
    queue_time: QueueTime,
}

impl Default for TextWindow {
    fn default() -> TextWindow {
        TextWindow {
            limit: FIRST_BYTES,
            in_flight: 0,
            reduced_at: None,
            changed_at: Time(0),
            has_waited: false,
            queue_time: QueueTime::default(),
        }
    }
}

impl TextWindow {
    /// The bound, in bytes. A read should not be larger unless a single text is.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.limit
    }

    /// Begins a read of about so many bytes; false if it has to wait until another
    /// one ends.
    pub fn try_begin(&mut self, bytes: u64) -> bool {
        let begins = self.in_flight == 0 || self.in_flight.saturating_add(bytes) <= self.limit;
        if begins {
            self.in_flight = self.in_flight.saturating_add(bytes);
        } else {
            self.has_waited = true;
        }
        begins
    }

    /// Ends a read that was begun, whatever became of it.
    pub fn end(&mut self, bytes: u64) {
        self.in_flight = self.in_flight.saturating_sub(bytes);
    }

    /// Records the response time of any read; returns how much of it was spent in the
    /// store's queue, both in milliseconds.
    pub fn record_answer(&mut self, now: Time, took_ms: u64) -> u64 {
        let queue_ms = self.queue_time.record(now, took_ms);
        if queue_ms >= LONG_QUEUE_MS {
            self.queue_time.record_growth();
            self.reduce(now);
        } else if self.has_waited && now.since(self.changed_at) >= GROWTH_MS {
            self.limit = (2 * self.limit).min(MAX_BYTES);
            (self.changed_at, self.has_waited) = (now, false);
        }
        queue_ms
    }

    /// Records that the store refused a read as too much was waiting, or that a
    /// response did not come in time.
    pub fn record_refusal(&mut self, now: Time) {
        self.reduce(now);
    }

    fn reduce(&mut self, now: Time) {
        if self.reduced_at.is_none_or(|at| now.since(at) >= EPOCH_MS) {
            // What is in flight has made the queue, if it is less than allowed.
            let used = if self.in_flight > 0 { self.in_flight } else { self.limit };
            self.limit = (self.limit.min(used) / 2).max(MIN_BYTES);
            (self.reduced_at, self.changed_at) = (Some(now), now);
        }
    }
}

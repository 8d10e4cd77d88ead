//! The rate of an instance's reads while the store refuses calls for the rate or
//! the bandwidth of all callers together. A pure reducer.
//!
//! All instances share the reads that the store serves in a second. When each
//! of them repeats what was refused, a read that a caller waits for is refused
//! as often as one that only keeps a follower up to date. Therefore reads take
//! turns once the store has refused one. The interval between
//! turns grows with further refusals and shrinks without them, so that all
//! instances together stay near what the store serves. The next turn goes to
//! the read that is due first by its [`ReadPurpose`]: what a caller waits for goes
//! ahead, and nothing waits forever.
//!
//! While the store serves no read at all, refusals say nothing about the share
//! of this instance: turns become rare, and the first read that is served
//! restores the rate. When reads no longer wait, nothing is limited.
//!
//! The waiting itself is done in [`crate::entry::reader`], and the rate of
//! appends is decided in [`crate::core::throttle`].

use std::collections::BTreeSet;

use crate::core::time::Time;

/// Lowest rate, in reads per second.
const MIN_RATE: f64 = 2.0;
/// Rate after the first refusal if few reads were served before it.
const MIN_FIRST_RATE: f64 = 8.0;
/// Factor applied to the rate by refusals.
const REDUCTION: f64 = 0.7;
/// Growth of the rate in the first seconds without refusals, in reads per second
/// each second. As it does not depend on the rate, the rates of all instances
/// converge.
const GROWTH: f64 = 1.0;
/// Later growth, in reads per second: it grows with the cube of the seconds
/// without refusals, so that the rate recovers soon after a storm.
const LATE_GROWTH: f64 = 0.3;
/// Time in which refusals count as one, in milliseconds: those of reads that
/// were sent at the rate before.
const EPOCH_MS: u64 = 500;
/// Longest interval between turns, in milliseconds.
const MAX_INTERVAL_MS: u64 = 500;
/// Time for which unused turns are kept, in milliseconds.
const BURST_MS: u64 = 50;
/// Time without refusals and waiting after which nothing is limited, in
/// milliseconds.
const RELEASE_MS: u64 = 2_000;
/// Period over which served reads are counted, in milliseconds.
const COUNT_MS: u64 = 1_000;
/// When a read that is not first in turn asks again, in milliseconds.
const RECHECK_MS: u64 = 5;

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPurpose {
    /// An end, a result, an acceptance, a sample or another caller waits for it.
    Caller,
    /// Follows a partition of jobs, which start nothing while it is out of date.
    Jobs,
    /// Follows the operator's commands, the targets, the members or a lease.
    State,
    /// Follows what the work can do without for seconds.
    Background,
}

impl ReadPurpose {
    /// After how long in the queue a read goes ahead of a caller's read that
    /// arrives then, in milliseconds.
    const fn tolerated_ms(self) -> u64 {
        match self {
            ReadPurpose::Caller => 0,
            ReadPurpose::State => 1_000,
            ReadPurpose::Jobs => 2_000,
            ReadPurpose::Background => 6_000,
        }
    }
}

/// A read that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    due: Time,
    number: u64,
}

/// The rate limit of an instance's reads.
///
/// # Example
///
/// ```
/// use hollywell::core::{read_rate::{ReadPurpose, ReadRate}, time::Time};
///
/// let mut rate = ReadRate::default();
/// let read = rate.enter(Time(0), ReadPurpose::Background);
/// assert_eq!(rate.try_begin(Time(0), read), Ok(()));
/// rate.record_refusal(Time(10), 0.0);
/// let background = rate.enter(Time(10), ReadPurpose::Background);
/// let caller = rate.enter(Time(20), ReadPurpose::Caller);
/// let turn = rate.try_begin(Time(20), background).unwrap_err();
/// assert!(rate.try_begin(turn, background).is_err());
/// assert_eq!(rate.try_begin(turn, caller), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReadRate {
    /// The limit, since the store has refused a read.
    limit: Option<Limit>,
    /// Reads that wait for their turn; the first is next.
    waiting: BTreeSet<Ticket>,
    entered: u64,
    /// Start of the counting period, and reads served in it and before it.
    counted_from: Time,
    count: u64,
    count_before: u64,
}

#[derive(Clone, Debug)]
struct Limit {
    /// Reads per second at `refused_at`.
    rate: f64,
    /// When the rate was last reduced.
    reduced_at: Time,
    /// When the store last refused a read.
    refused_at: Time,
    /// When a read last had to wait for a turn.
    delayed_at: Time,
    /// When the next turn is.
    next_at: Time,
    /// A read was served since the rate was last reduced.
    is_served: bool,
    /// Refusals in a row, concurrent ones counted once.
    failures: u32,
}

impl Limit {
    fn rate(&self, now: Time) -> f64 {
        let calm_s = now.since(self.refused_at) as f64 / 1_000.0;
        self.rate + GROWTH * calm_s + LATE_GROWTH * calm_s.powi(3)
    }

    /// Time between two turns, in milliseconds.
    fn interval_ms(&self, now: Time) -> u64 {
        let interval_ms = 1_000.0 / self.rate(now) * f64::from(self.failures).exp2();
        interval_ms.min(MAX_INTERVAL_MS as f64) as u64
    }
}

impl ReadRate {
    /// Whether reads take turns.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Queues a read. It must be begun or cancelled.
    pub fn enter(&mut self, now: Time, purpose: ReadPurpose) -> Ticket {
        self.entered += 1;
        let ticket = Ticket { due: now.after(purpose.tolerated_ms()), number: self.entered };
        self.waiting.insert(ticket);
        ticket
    }

    /// Queues a read again that the store refused: it keeps its place.
    pub fn enter_again(&mut self, ticket: Ticket) {
        self.waiting.insert(ticket);
    }

    /// Takes a queued read out of the queue without a turn.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Begins a queued read if it is its turn.
    ///
    /// # Errors
    ///
    /// When to ask again.
    pub fn try_begin(&mut self, now: Time, ticket: Ticket) -> Result<(), Time> {
        self.release(now);
        if let Some(limit) = &mut self.limit {
            if limit.next_at > now {
                limit.delayed_at = now;
                return Err(limit.next_at);
            }
            if self.waiting.first().is_some_and(|first| *first < ticket) {
                return Err(now.after(RECHECK_MS));
            }
            let earliest = now.before(BURST_MS).unwrap_or(Time::EARLIEST);
            limit.next_at = limit.next_at.max(earliest).after(limit.interval_ms(now));
        }
        self.waiting.remove(&ticket);
        Ok(())
    }

    /// Records that the store has served a read.
    pub fn record_success(&mut self, now: Time) {
        self.count_to(now);
        self.count += 1;
        if let Some(limit) = &mut self.limit {
            limit.is_served = true;
            limit.failures = 0;
        }
    }

    /// Records that the store refuses all calls of this instance as it is down.
    /// Turns stay as they are then, so that its return is noticed soon.
    pub fn record_outage(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.failures = 0;
        }
    }

    /// Records that the store refused a read, for its rate or as too many were
    /// waiting. `jitter` (0 to 1)
    /// spreads the next reads of instances that were refused together.
    pub fn record_refusal(&mut self, now: Time, jitter: f64) {
        self.count_to(now);
        let served = self.count.max(self.count_before) as f64;
        let limit = self.limit.get_or_insert(Limit {
            rate: MIN_FIRST_RATE.max(served * REDUCTION),
            reduced_at: now,
            refused_at: now,
            delayed_at: now,
            next_at: now,
            is_served: false,
            failures: 0,
        });
        limit.rate = limit.rate(now);
        limit.refused_at = now;
        if now.since(limit.reduced_at) >= EPOCH_MS {
            limit.reduced_at = now;
            if std::mem::take(&mut limit.is_served) {
                limit.rate = (limit.rate * REDUCTION).max(MIN_RATE);
            } else {
                limit.failures += 1;
            }
        }
        let spread_ms = limit.interval_ms(now) as f64 * (1.0 + jitter);
        limit.next_at = limit.next_at.max(now.after(spread_ms as u64));
    }

    fn release(&mut self, now: Time) {
        self.limit.take_if(|limit| {
            now.since(limit.refused_at) >= RELEASE_MS && now.since(limit.delayed_at) >= RELEASE_MS
        });
    }

    /// Starts another counting period if the last one is over.
    fn count_to(&mut self, now: Time) {
        let periods = now.since(self.counted_from) / COUNT_MS;
        if periods > 0 {
            self.count_before = if periods == 1 { self.count } else { 0 };
            (self.counted_from, self.count) = (now, 0);
        }
    }
}

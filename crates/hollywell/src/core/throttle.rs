//! The rate of an instance's less urgent appends while the store refuses calls
//! for the rate of all callers together. A pure reducer.
//!
//! All instances share the calls that the store serves in a second, and none
//! knows what the others make. An end of a job is one call among all: when each
//! instance repeats what was refused, it is refused as often as the rest.
//! Therefore less urgent appends are sent one after the other at a limited rate
//! once the store has refused any call for its rate. The rate is halved by
//! further refusals, and grows steadily without them, so that all instances
//! together stay near what the store serves. Without refusals for some seconds
//! nothing is limited.
//!
//! What waits longer than its [`Purpose`] allows is not sent, so that nothing
//! queues up. The waiting itself is done in [`crate::entry::shared`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::core::{capacity::Purpose, time::Time};

/// A call in a second, in thousandths.
const CALL: u64 = 1_000;
/// Lowest rate: results and new jobs proceed however long the store refuses.
const MIN_RATE: u64 = CALL / 2;
/// Rate after the first refusal if few appends were made before it.
const MIN_FIRST_RATE: u64 = 8 * CALL;
/// Growth of the rate in a second without refusals.
const GROWTH: u64 = CALL;
/// Time in which refusals count as one, in milliseconds: those of calls that
/// were sent at the rate before.
const EPOCH_MS: u64 = 500;
/// Time without refusals after which nothing is limited, in milliseconds.
const RELEASE_MS: u64 = 5_000;
/// Longest time by which a refusal puts off the next append, in milliseconds. An
/// end that is refused again and again must not hold back all else.
const MAX_SPREAD_MS: u64 = 400;
/// Period over which appends are counted, in milliseconds.
const COUNT_MS: u64 = 1_000;
/// Longest wait for its first turn at which a job is accepted, in milliseconds:
/// one that is refused later has used its turns in vain.
const MAX_ADMITTED_WAIT_MS: u64 = 500;
/// Turns that an accepted job needs: its requests and its manifest.
const JOB_TURNS: u64 = 2;
/// Time after which a turn that was reserved for a job and not taken is free, in
/// milliseconds.
const TURN_LIFETIME_MS: u64 = 2_000;
/// Shortest time that a caller is told to wait, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// How long an append may wait for its turn, in milliseconds; `None` if it is
/// never held back. What waits longest is served first.
const fn max_wait_ms(purpose: Purpose) -> Option<u64> {
    match purpose {
        // Others act on them at once, or they free capacity.
        Purpose::End | Purpose::Delete | Purpose::Claim => None,
        // Work that is done is lost with the process until it is stored.
        Purpose::Outcome
        | Purpose::Text
        | Purpose::Usage
        | Purpose::Suspect
        | Purpose::Instance => Some(2_000),
        // The job was admitted by a shorter wait.
        Purpose::Requests | Purpose::Manifest => Some(2_000),
        // Can be left out.
        Purpose::Hint | Purpose::PartialText | Purpose::Reserve => Some(500),
    }
}

/// The rate limit of an instance.
///
/// # Example
///
/// ```
/// use hollywell::core::{capacity::Purpose, throttle::Throttle, time::Time};
///
/// let mut throttle = Throttle::default();
/// assert_eq!(throttle.reserve(Time(0), Purpose::Outcome), Ok(Time(0)));
/// throttle.record_refusal(Time(10), 0.0);
/// // Ends never wait.
/// assert_eq!(throttle.reserve(Time(10), Purpose::End), Ok(Time(10)));
/// assert_eq!(throttle.reserve(Time(10), Purpose::Outcome), Ok(Time(135)));
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Throttle {
    /// The limit, since the store has refused a call.
    limit: Option<Limit>,
    /// Start of the counting period, and appends stored in it and before it.
    counted_from: Time,
    count: u64,
    count_before: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Limit {
    /// Appends per second, in thousandths, at `changed_at`.
    rate: u64,
    /// When the rate was last reduced.
    changed_at: Time,
    /// When the store last refused a call.
    refused_at: Time,
    /// When the next append may be sent.
    next_at: Time,
    /// Turns reserved for accepted jobs, in order.
    job_turns: VecDeque<Time>,
}

impl Limit {
    fn rate(&self, now: Time) -> u64 {
        self.rate + GROWTH * now.since(self.refused_at) / 1_000
    }

    /// Time between two appends, in milliseconds.
    fn interval_ms(&self, now: Time) -> u64 {
        1_000 * CALL / self.rate(now).max(1)
    }

    /// Takes the next turn.
    fn take_turn(&mut self, now: Time) -> Time {
        let at = self.next_at.max(now);
        self.next_at = at.after(self.interval_ms(now));
        at
    }

    /// Takes the next turn that was reserved for a job.
    fn take_job_turn(&mut self, now: Time) -> Option<Time> {
        self.job_turns.retain(|turn| now.since(*turn) < TURN_LIFETIME_MS);
        self.job_turns.pop_front().map(|turn| turn.max(now))
    }
}

impl Throttle {
    /// Reserves the next turn for an append; returns when it is to be sent.
    ///
    /// # Errors
    ///
    /// How long the append would have to wait, in milliseconds, if that is more
    /// than it may. Nothing is reserved.
    pub fn reserve(&mut self, now: Time, purpose: Purpose) -> Result<Time, u64> {
        self.release(now);
        let (Some(limit), Some(max_wait_ms)) = (&mut self.limit, max_wait_ms(purpose)) else {
            return Ok(now);
        };
        if matches!(purpose, Purpose::Requests | Purpose::Manifest)
            && let Some(at) = limit.take_job_turn(now)
        {
            return Ok(at);
        }
        let wait_ms = limit.next_at.since(now);
        if wait_ms > max_wait_ms {
            return Err(wait_ms);
        }
        Ok(limit.take_turn(now))
    }

    /// Decides whether a job may be stored now, and reserves its turns.
    ///
    /// # Errors
    ///
    /// When the caller may come back, in milliseconds.
    pub fn admit(&mut self, now: Time) -> Result<(), u64> {
        self.release(now);
        let retry_after_ms = self.retry_after_ms(now);
        let Some(limit) = &mut self.limit else {
            return Ok(());
        };
        if limit.next_at.since(now) > MAX_ADMITTED_WAIT_MS {
            return Err(retry_after_ms);
        }
        for _ in 0..JOB_TURNS {
            let turn = limit.take_turn(now);
            limit.job_turns.push_back(turn);
        }
        Ok(())
    }

    /// When a caller whose job was refused may come back, in milliseconds: its
    /// requests and its manifest need a turn each.
    #[must_use]
    pub fn retry_after_ms(&self, now: Time) -> u64 {
        let turns_ms = self
            .limit
            .as_ref()
            .map_or(0, |limit| limit.next_at.since(now) + JOB_TURNS * limit.interval_ms(now));
        turns_ms.max(MIN_RETRY_AFTER_MS)
    }

    /// Records that the store has performed an append.
    pub fn record_success(&mut self, now: Time) {
        self.count_to(now);
        self.count += 1;
    }

    /// Records that the store refused a call for its rate. `jitter` (0 to 1)
    /// spreads the next appends of instances that were refused together.
    pub fn record_refusal(&mut self, now: Time, jitter: f64) {
        self.count_to(now);
        let first_rate = MIN_FIRST_RATE.max(self.count.max(self.count_before) * CALL / 2);
        let limit = self.limit.get_or_insert(Limit {
            rate: first_rate,
            changed_at: now,
            refused_at: now,
            next_at: now,
            job_turns: VecDeque::new(),
        });
        if now.since(limit.changed_at) >= EPOCH_MS {
            limit.rate = (limit.rate(now) / 2).max(MIN_RATE);
            limit.changed_at = now;
        } else {
            limit.rate = limit.rate(now);
        }
        limit.refused_at = now;
        let spread_ms = (limit.interval_ms(now) as f64 * (1.0 + jitter)) as u64;
        limit.next_at = limit.next_at.max(now.after(spread_ms.min(MAX_SPREAD_MS)));
    }

    fn release(&mut self, now: Time) {
        self.limit.take_if(|limit| now.since(limit.refused_at) >= RELEASE_MS);
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

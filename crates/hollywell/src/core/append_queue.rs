//! What an instance holds back while the appends to a partition take long. A pure
//! reducer.
//!
//! A partition processes its appends one at a time, in the order of their arrival,
//! and refuses those that would wait for too long. Where all instances append
//! results as fast as they are taken, the queue is always as long as the store
//! allows, and an end or a new job waits behind all of it, or is refused. Therefore
//! an instance whose append took long leaves the partition alone for a multiple of
//! that time before it sends less urgent records there, and for as long as an end
//! waits to be stored. Urgent records are never held back.
//!
//! Results go on: they are held back only until none of the partition was stored for
//! a while, so that samples go on beginning ([`crate::core::unstored`]), and a little
//! longer for an end that waits. Partial texts and hints can be left out, and are
//! while results wait. Deletions free capacity and are sent after a pause even while
//! refused.
//!
//! A partition that is down refuses appends as well, and has to be found as soon as it
//! is back. Refusals count as those of a queue only where the partition has lately
//! performed an append, and taken long.
//!
//! [`crate::entry::append`] does the waiting.

use std::{borrow::Borrow, collections::HashMap, hash::Hash};

use crate::core::{capacity::Purpose, time::Time, unstored::MAX_UNSTORED_MS};

/// Time that an append takes, in milliseconds, from which its partition counts as
/// slow: longer than a store takes whose every call is slow.
const SLOW_MS: u64 = 700;
/// Length of the pause after an append, in tenths of the time of that append.
const PAUSE_TENTHS: u64 = 25;
/// Shortest pause after a less urgent append was refused, in milliseconds; up to twice
/// as long with jitter. An end that was refused as well comes back sooner.
const REFUSED_PAUSE_MS: u64 = 600;
/// Longest pause, and time for which no result has been stored after which results are
/// held back no longer, in milliseconds: they are sent before samples stop beginning.
const MAX_PAUSE_MS: u64 = MAX_UNSTORED_MS - 500;
/// Age of an end up to which others' records wait for it, in milliseconds. A full queue
/// takes it after a second if nothing else is sent there; instances that were notified
/// of it may not know at once that it is stored, and that of a job that does not exist is
/// held for longer.
const MAX_END_AGE_MS: u64 = 2_500;
/// Time for which no result has been stored, in milliseconds, after which results wait
/// for no end, however many are requested.
const MAX_YIELD_MS: u64 = MAX_UNSTORED_MS + 5_000;
/// Time after the last append that took long, in milliseconds, for which a partition
/// counts as slow if nothing was appended since.
const MEMORY_MS: u64 = 10_000;
/// Timeout of an append, in milliseconds: a store usually takes some milliseconds, and
/// some hundreds when it is slow.
const TIMEOUT_MS: u64 = 1_500;
/// Longest time that an append waits at the store before its turn, in milliseconds.
const MAX_QUEUED_MS: u64 = 2_000;
/// Longest timeout, in milliseconds: callers wait no longer.
const MAX_TIMEOUT_MS: u64 = 6_000;

/// Time without a response after which an append is sent once more, as a multiple of the
/// time that one to the same partition usually takes.
const REPEAT_FACTOR: u64 = 4;
/// Shortest such time, in milliseconds.
const MIN_REPEAT_MS: u64 = 200;
/// Part of the newest append in the usual time of a partition's appends: one in this many.
const USUAL_WEIGHT: u64 = 8;

/// Whether a record is held back while its partition is slow.
const fn is_held_back(purpose: Purpose) -> bool {
    matches!(
        purpose,
        Purpose::Outcome | Purpose::Text | Purpose::PartialText | Purpose::Hint | Purpose::Delete
    )
}

/// Whether a record that is held back is left out rather than sent later. It is held
/// back for results as well.
#[must_use]
pub const fn can_be_left_out(purpose: Purpose) -> bool {
    matches!(purpose, Purpose::PartialText | Purpose::Hint)
}

/// What waits at an instance for a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// How long none of its results was stored, in milliseconds, if one waits.
    pub unstored_ms: Option<u64>,
    /// Age of the newest end that is not stored, in milliseconds.
    pub end_age_ms: Option<u64>,
}

/// The slow partitions, by `K`.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     append_queue::{Queues, Waiting},
///     capacity::Purpose,
///     time::Time,
/// };
///
/// let mut queues = Queues::default();
/// let none = Waiting::default();
/// queues.record_append(Time(1_000), "a", 800);
/// assert_eq!(queues.hold_ms(Time(1_000), "a", Purpose::Outcome, none), 2_000);
/// assert_eq!(queues.hold_ms(Time(1_000), "a", Purpose::End, none), 0);
/// assert_eq!(queues.hold_ms(Time(1_000), "b", Purpose::Outcome, none), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Queues<K> {
    slow: HashMap<K, Slow>,
    /// How long the appends to a partition usually take, in milliseconds.
    usual_ms: HashMap<K, u64>,
}

/// A partition whose appends take long.
#[derive(Clone, Copy, Debug)]
struct Slow {
    /// When an append last took long, and how long it took, in milliseconds.
    at: Time,
    took_ms: u64,
    /// When less urgent records may be sent again.
    resume_at: Time,
    /// When less urgent records may be sent again after one was refused.
    refused_until: Time,
    /// Whether the partition has performed an append that took long, or refused one: a
    /// single one without a response may have been sent on a dead connection.
    is_certain: bool,
}

impl Slow {
    /// The longest time that an append takes, in milliseconds, if the partition takes
    /// for one what the last one took with its queue.
    fn longest_ms(&self) -> u64 {
        (MAX_QUEUED_MS + TIMEOUT_MS.max(self.took_ms)).min(MAX_TIMEOUT_MS)
    }
}

impl<K> Default for Queues<K> {
    fn default() -> Queues<K> {
        Queues { slow: HashMap::new(), usual_ms: HashMap::new() }
    }
}

impl<K: Eq + Hash> Queues<K> {
    /// Records how long an append took that a partition performed.
    pub fn record_append<Q: Eq + Hash + ToOwned<Owned = K> + ?Sized>(
        &mut self,
        now: Time,
        part: &Q,
        took_ms: u64,
    ) where
        K: Borrow<Q>,
    {
        match self.usual_ms.get_mut(part) {
            Some(usual) => *usual = (*usual * (USUAL_WEIGHT - 1) + took_ms) / USUAL_WEIGHT,
            None => drop(self.usual_ms.insert(part.to_owned(), took_ms)),
        }
        if took_ms < SLOW_MS {
            self.slow.remove(part);
            return;
        }
        self.pause(now, part.to_owned(), took_ms, true);
    }

    /// Records that an append was given up without a response.
    pub fn record_timeout<Q: Eq + Hash + ToOwned<Owned = K> + ?Sized>(
        &mut self,
        now: Time,
        part: &Q,
        timeout_ms: u64,
    ) where
        K: Borrow<Q>,
    {
        let is_certain = self.slow(now, part).is_some_and(|slow| slow.is_certain);
        self.pause(now, part.to_owned(), timeout_ms, is_certain);
    }

    fn pause(&mut self, now: Time, part: K, took_ms: u64, is_certain: bool) {
        let resume_at = now.after((PAUSE_TENTHS * took_ms / 10).min(MAX_PAUSE_MS));
        self.slow
            .insert(part, Slow { at: now, took_ms, resume_at, refused_until: now, is_certain });
    }

    /// Records that a partition refused an append as unavailable. `jitter` (0 to 1)
    /// spreads the next appends of instances that were refused together.
    pub fn record_refusal<Q: Eq + Hash + ?Sized>(
        &mut self,
        now: Time,
        part: &Q,
        purpose: Purpose,
        jitter: f64,
    ) where
        K: Borrow<Q>,
    {
        let pause_ms = (REFUSED_PAUSE_MS as f64 * (1.0 + jitter)) as u64;
        if let Some(slow) = self.slow.get_mut(part) {
            // What was given up before waits in the queue that is full now.
            slow.is_certain = true;
            if is_held_back(purpose) {
                slow.refused_until = now.after(pause_ms);
            }
        }
    }

    /// Records that the store serves no call of this instance: nothing waits there.
    pub fn record_outage(&mut self) {
        self.slow.clear();
    }

    fn slow<Q: Eq + Hash + ?Sized>(&self, now: Time, part: &Q) -> Option<&Slow>
    where
        K: Borrow<Q>,
    {
        self.slow.get(part).filter(|slow| now.since(slow.at) < MEMORY_MS)
    }

    /// The longest time that an append to a slow partition takes, in milliseconds; `None`
    /// if the partition is not known to be slow.
    #[must_use]
    pub fn longest_append_ms<Q: Eq + Hash + ?Sized>(&self, now: Time, part: &Q) -> Option<u64>
    where
        K: Borrow<Q>,
    {
        self.slow(now, part).filter(|slow| slow.is_certain).map(Slow::longest_ms)
    }

    /// The timeout of an append, in milliseconds. One that is given up in the queue is
    /// performed all the same, and repeating it makes the queue longer.
    #[must_use]
    pub fn timeout_ms<Q: Eq + Hash + ?Sized>(&self, now: Time, part: &Q) -> u64
    where
        K: Borrow<Q>,
    {
        self.slow(now, part).map_or(TIMEOUT_MS, Slow::longest_ms)
    }

    /// Time without a response after which an append is sent once more, in milliseconds:
    /// the store has performed it and the response is lost, or it performs it seconds
    /// later, and has not queued it. `None` if the partition is known to be slow, where
    /// the response is still to come and a repeat makes the queue longer.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::{append_queue::Queues, time::Time};
    ///
    /// let mut queues = Queues::default();
    /// queues.record_append(Time(1_000), "a", 10);
    /// assert_eq!(queues.repeat_ms(Time(1_000), "a"), Some(200));
    /// queues.record_append(Time(1_000), "b", 400);
    /// assert_eq!(queues.repeat_ms(Time(1_000), "b"), Some(1_600));
    /// queues.record_append(Time(2_000), "b", 800);
    /// assert_eq!(queues.repeat_ms(Time(2_000), "b"), None);
    /// ```
    #[must_use]
    pub fn repeat_ms<Q: Eq + Hash + ?Sized>(&self, now: Time, part: &Q) -> Option<u64>
    where
        K: Borrow<Q>,
    {
        if self.slow(now, part).is_some_and(|slow| slow.is_certain) {
            return None;
        }
        let usual = self.usual_ms.get(part).map(|usual| usual * REPEAT_FACTOR);
        Some(usual.unwrap_or(SLOW_MS).max(MIN_REPEAT_MS))
    }

    /// How long a record for a partition has to be held back, in milliseconds, as far
    /// as is known now: an end that it waits for may be stored before.
    #[must_use]
    pub fn hold_ms<Q: Eq + Hash + ?Sized>(
        &self,
        now: Time,
        part: &Q,
        purpose: Purpose,
        waiting: Waiting,
    ) -> u64
    where
        K: Borrow<Q>,
    {
        let slow = self.slow(now, part);
        let Waiting { unstored_ms, end_age_ms } = waiting;
        // A result that has waited for as long as a slow append takes shows that the
        // partition is slow before that append is done.
        let is_slow = slow.is_some() || unstored_ms.is_some_and(|ms| ms >= SLOW_MS);
        if can_be_left_out(purpose) && is_slow && unstored_ms.is_some() {
            return MAX_PAUSE_MS;
        }
        let Some(slow) = slow else {
            return 0;
        };
        let unstored_ms = unstored_ms.unwrap_or_default();
        let end_ms = end_age_ms.map_or(0, |age_ms| MAX_END_AGE_MS.saturating_sub(age_ms));
        let end_ms = end_ms.min(MAX_YIELD_MS.saturating_sub(unstored_ms));
        if !is_held_back(purpose) {
            return 0;
        }
        let pause_ms = slow.resume_at.since(now);
        if purpose == Purpose::Delete {
            return pause_ms.max(end_ms);
        }
        let pause_ms = pause_ms.min(MAX_PAUSE_MS.saturating_sub(unstored_ms));
        pause_ms.max(end_ms).max(slow.refused_until.since(now))
    }
}

//! Tells partitions that are down from a store that has too much waiting. A pure
//! reducer.
//!
//! Both answer 503. Where too much is waiting, an instance must read less; where a
//! partition is down, that would only hold up its reads of the others. A store that
//! has too much waiting serves and refuses reads of the same partitions; one that is
//! down refuses all of them, while those of others are served.

use std::{borrow::Borrow, collections::HashMap, hash::Hash};

use crate::core::time::Time;

/// Time for which a partition has refused all reads until it counts as down, in
/// milliseconds.
const MIN_DOWN_MS: u64 = 1_000;
/// Time after a read was refused and another of the same partition served, in
/// milliseconds, for which refusals are those of a store with too much waiting.
const MIXED_MS: u64 = 2_000;
/// Time between a refused and a served read of a partition, in milliseconds, up to
/// which both are the answers of one queue.
const PAIR_MS: u64 = 1_000;

/// The partitions, by `K`, that refuse reads.
///
/// # Example
///
/// ```
/// use hollywell::core::{outage::Outages, time::Time};
///
/// let mut outages = Outages::default();
/// for second in 10..13 {
///     outages.record_refusal(Time(second * 1_000), "a");
/// }
/// // All refuse: too much is waiting.
/// assert!(!outages.is_down(Time(12_000), "a"));
/// outages.record_success(Time(12_000), &"b");
/// assert!(outages.is_down(Time(12_000), "a"));
/// // What serves some reads and refuses others is a queue.
/// outages.record_refusal(Time(12_500), "b");
/// assert!(!outages.is_down(Time(12_500), "a"));
/// ```
#[derive(Clone, Debug)]
pub struct Outages<K> {
    parts: HashMap<K, Answers>,
    /// When a read of any partition was last served.
    served_at: Option<Time>,
    /// When a partition last served and refused reads within [`PAIR_MS`].
    mixed_at: Option<Time>,
}

/// What the reads of a partition got last.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    served_at: Option<Time>,
    refused_at: Option<Time>,
    /// The first refusal since a read was served.
    refusing_since: Option<Time>,
}

impl<K> Default for Outages<K> {
    fn default() -> Outages<K> {
        Outages { parts: HashMap::new(), served_at: None, mixed_at: None }
    }
}

impl<K: Eq + Hash> Outages<K> {
    /// Records that a read of a partition was served.
    pub fn record_success<Q: Eq + Hash + ToOwned<Owned = K> + ?Sized>(
        &mut self,
        now: Time,
        part: &Q,
    ) where
        K: Borrow<Q>,
    {
        self.served_at = Some(now);
        let answers = match self.parts.get_mut(part) {
            Some(answers) => answers,
            None => self.parts.entry(part.to_owned()).or_default(),
        };
        (answers.served_at, answers.refusing_since) = (Some(now), None);
        if answers.refused_at.is_some_and(|at| now.since(at) < PAIR_MS) {
            self.mixed_at = Some(now);
        }
    }

    /// Records that a read of a partition was refused.
    pub fn record_refusal(&mut self, now: Time, part: K) {
        let answers = self.parts.entry(part).or_default();
        answers.refused_at = Some(now);
        answers.refusing_since.get_or_insert(now);
        if answers.served_at.is_some_and(|at| now.since(at) < PAIR_MS) {
            self.mixed_at = Some(now);
        }
    }

    /// Whether a partition is down.
    #[must_use]
    pub fn is_down<Q: Eq + Hash + ?Sized>(&self, now: Time, part: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        let since = self.parts.get(part).and_then(|answers| answers.refusing_since);
        let is_mixed = self.mixed_at.is_some_and(|at| now.since(at) < MIXED_MS);
        since.is_some_and(|since| {
            let are_others_served = self.served_at.is_some_and(|at| at >= since);
            now.since(since) >= MIN_DOWN_MS && are_others_served && !is_mixed
        })
    }
}

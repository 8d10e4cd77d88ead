//! Tracks requested ends of jobs that are not in the store yet. A pure reducer.
//!
//! A trainer that ends a job wants nothing more of it, whether or not the
//! append of the end succeeds. The instance that receives the request therefore
//! stops the job at once, notifies its peers directly, and repeats the append
//! until the end is read back. Peers that were notified do the same, but more
//! slowly. Neither waits for a read of the job: the record says who requested the
//! end ([`crate::core::batch::End`]). Only refusing the request was tried instead:
//! with a store that refused appends for 24 s, samples of ended jobs continued to
//! be sent.
//!
//! Pending ends are in memory and lost with the process. A starting instance
//! asks its peers for them before it runs any sample
//! ([`crate::core::inquiry`]), and those that have pending ends notify it as
//! soon as they read that it is a member. While members cannot be read, a
//! restarted instance has the name of its predecessor, so a confirmation holds
//! for a limited time. If all instances lose power at once, only what the store
//! has remains, which is why the store always has space for ends
//! ([`crate::core::capacity`]).
//!
//! Where a partition is known to be slow, an append that takes long is waiting in its
//! queue and not lost. Peers are notified all the same, but further appends of the same
//! end would only make that queue longer, so these are made after the longest time that
//! an append may take ([`crate::core::append_queue`]).
//!
//! The calls themselves, and what the end of a job means to others, are handled
//! elsewhere ([`crate::core::dispatch`], [`crate::core::batch`]).

mod history;
mod pending;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{batch::End, roster, time::Time};
use pending::Pending;

pub use history::{Failure, History, Reason, Unstored};

/// Back-off between appends of an end by the instance that received the
/// request, in milliseconds; multiplied by the number of failures, up to
/// [`RETRY_MAX_MS`]. A store that has recovered is noticed well within the
/// seconds that an end may take.
const RETRY_MS: u64 = 150;
/// See [`RETRY_MS`].
const RETRY_MAX_MS: u64 = 1_000;
/// The same for instances that were notified, multiplied by their rank in tens:
/// all of them together make a few calls a second, and the first ones try soon.
const NOTIFIED_RETRY_MS: u64 = 1_500;
/// Longest such interval after the store refused an end for its rate, in
/// milliseconds: it serves calls all the time, and a second is a quarter of what
/// an end may take.
const RATE_RETRY_MAX_MS: u64 = 400;
/// How long an appended end may take to be read back before it is appended
/// again, in milliseconds.
const READ_BACK_MS: u64 = 5_000;
/// Interval between notifications of a peer that did not confirm, in
/// milliseconds.
const NOTIFY_MS: u64 = 300;
/// Number of following members that an instance notifies of ends of which it
/// was notified itself. The instance that received the request notifies all; if
/// it is lost meanwhile, or an instance starts, this still reaches every
/// member. If all notified all, the cost of each end would be quadratic in the
/// number of instances.
const RELAYS: usize = 2;
/// Time after which a following member is notified again although it has
/// confirmed, in milliseconds: its process may have been restarted. Two planned
/// restarts in a row must not both fall between two notifications.
const REMIND_MS: u64 = 2_000;
/// How long an end is kept if its job is not known here, in milliseconds:
/// another instance may have accepted the job, and its records may be read a
/// little later.
const UNKNOWN_MS: u64 = 30_000;
/// Maximum number of pending ends; those of unknown jobs are evicted first, then
/// the oldest. A fleet requests a few a second, so this covers minutes in which
/// the store accepts nothing.
const MAX_PENDING: usize = 4_096;

/// A requested end, as told to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The end.
    pub end: End,
    /// How long ago the end was requested, in milliseconds. Without it, each
    /// instance that is notified would hold the end as a new one, and that of a
    /// job that does not exist would never expire.
    pub age_ms: u64,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A caller requested the end of a job at this instance.
    #[serde(rename = "Asked")]
    Requested {
        /// The end.
        end: End,
        /// Whether the job is known here; if not, another instance may have
        /// accepted it.
        known: bool,
    },
    /// A peer reports that ends of jobs were requested.
    #[serde(rename = "Told")]
    Reported {
        /// The peer, if it is known.
        by: String,
        /// The ends.
        ends: Vec<Notice>,
    },
    /// This instance stops: its peers have to know what it holds.
    Stopping,
    /// A job's end was read back, its records were deleted, or the caller turns
    /// out not to have had the right to end it: nothing is left to do.
    Settled(End),
    /// A job's end was appended. It stays pending until it is read back.
    Stored(End),
    /// An append of a job's end failed.
    Failed {
        /// The end.
        end: End,
        /// Why it failed.
        why: Failure,
    },
    /// A peer has confirmed ends.
    Confirmed {
        /// The peer.
        member: String,
        /// The ends.
        ends: Vec<End>,
    },
    /// How long an append may take, in milliseconds, of the end of each job whose
    /// partition is slow; replaces what was said before.
    AppendTimes(BTreeMap<String, u64>),
    /// Time passed.
    Tick {
        /// The live instances.
        members: Vec<String>,
        /// Jobs that have pending ends and may exist: they are known here, or
        /// their partition has not been read yet.
        may_exist: BTreeSet<String>,
    },
}

/// Output of the reducer: an action for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Stop running the job, unless the caller may not end it.
    Close(End),
    /// Append a job's end.
    Append(End),
    /// Notify a peer of requested ends.
    #[serde(rename = "Tell")]
    Notify {
        /// The peer.
        member: String,
        /// The ends.
        ends: Vec<Notice>,
    },
    /// Report that an end is not stored yet.
    Overdue {
        /// The end.
        end: End,
        /// What became of the end.
        history: History,
    },
}

/// A part of a delay, from half to all of it, that differs between instances,
/// ends and attempts: what failed together must not be repeated together.
fn spread(delay_ms: u64, own_id: &str, job: &str, attempt: u32) -> u64 {
    const STEPS: u64 = 1_000;
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(own_id.as_bytes(), u64::from(attempt));
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(job.as_bytes(), hash);
    (delay_ms * (STEPS + hash % STEPS) / STEPS).div_ceil(2)
}

/// Number of tens of live instances that append a job's end before this one.
fn rank(members: &[String], own_id: &str, job: &str) -> u64 {
    const AT_ONCE: usize = 10;
    let count = members.len().max(1);
    let first = (xxhash_rust::xxh3::xxh3_64(job.as_bytes()) % count as u64) as usize;
    let position = members.iter().position(|member| member == own_id).unwrap_or(0);
    ((position + count - first) % count / AT_ONCE) as u64
}

/// The reducer's state.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     ending::{Effect, Event, State},
///     time::Time,
/// };
///
/// let mut state = State::new("a@10.0.0.1:80/1");
/// let effects = state.step(Time(0), &Event::Requested { end: "j".into(), known: true });
/// // The job stops before the result of the append is known.
/// assert_eq!(effects, [Effect::Close("j".into()), Effect::Append("j".into())]);
/// assert!(state.is_pending("j", "the organisation that owns it"));
/// state.step(Time(5), &Event::Settled("j".into()));
/// assert!(!state.is_pending("j", "the organisation that owns it"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct State {
    own_id: String,
    pending: BTreeMap<End, Pending>,
    /// When each peer was last notified of something that it has not confirmed.
    notified_at: BTreeMap<String, Time>,
    /// Peers that have reported ends, by their names without the run. While the
    /// store is unavailable, a restarted instance knows no other members.
    heard_of: BTreeMap<String, String>,
    /// See [`Event::AppendTimes`].
    append_ms: BTreeMap<String, u64>,
}

impl State {
    /// The state of an instance without pending ends.
    #[must_use]
    pub fn new(own_id: &str) -> State {
        State { own_id: own_id.to_owned(), ..State::default() }
    }

    /// Whether an end of a job that an organisation owns is pending, by a caller
    /// that may end it: nothing of the job may be run.
    #[must_use]
    pub fn is_pending(&self, job: &str, organisation: &str) -> bool {
        self.ends_of(job).any(|end| end.is_allowed(organisation))
    }

    /// The pending ends of a job.
    pub fn ends_of<'a>(&'a self, job: &str) -> impl Iterator<Item = &'a End> + use<'a> {
        let job = job.to_owned();
        // An end by an unrestricted caller comes first.
        let all = self.pending.range(End::from(job.as_str())..).map(|(end, _)| end);
        all.take_while(move |end| end.job == job)
    }

    /// Whether this end is pending.
    #[must_use]
    pub fn holds(&self, end: &End) -> bool {
        self.pending.contains_key(end)
    }

    /// Whether a pending end was appended and only has to be read back.
    #[must_use]
    pub fn is_stored(&self, end: &End) -> bool {
        self.pending.get(end).is_some_and(|pending| pending.stored)
    }

    /// Whether the last append of a pending end was refused, and is not likely to
    /// be accepted within moments.
    #[must_use]
    pub fn is_refused(&self, end: &End) -> bool {
        let last_failure = self.pending.get(end).and_then(|pending| pending.last_failure);
        last_failure.is_some_and(|why| why.is_refusal() && why != Failure::RateLimited)
    }

    /// How long an append of each job's end may take in slow partitions, as was last
    /// said.
    #[must_use]
    pub const fn append_times(&self) -> &BTreeMap<String, u64> {
        &self.append_ms
    }

    /// The jobs of the pending ends that are not stored, each with the end's age in
    /// milliseconds.
    pub fn unstored_jobs(&self, now: Time) -> impl Iterator<Item = (&str, u64)> {
        let unstored = self.pending.iter().filter(|(_, pending)| !pending.stored);
        unstored.map(move |(end, pending)| (end.job.as_str(), now.since(pending.since)))
    }

    /// The pending ends that are not stored, by the names of the reasons.
    #[must_use]
    pub fn unstored(&self, now: Time) -> BTreeMap<&'static str, Unstored> {
        let mut by_reason = BTreeMap::<_, Unstored>::new();
        for pending in self.pending.values().filter(|pending| !pending.stored) {
            let unstored = by_reason.entry(pending.reason().as_str()).or_default();
            unstored.count += 1;
            unstored.oldest_ms = unstored.oldest_ms.max(now.since(pending.since));
        }
        by_reason
    }

    /// Whether any other instance is known, given the live instances.
    #[must_use]
    pub fn has_peers(&self, members: &[String]) -> bool {
        !self.ring(members).is_empty()
    }

    /// Whether all pending ends are stored or known to a peer. Once this instance
    /// stops, only a peer that has confirmed them since counts: another may have
    /// been restarted meanwhile.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.pending.values().all(|pending| pending.stored || !pending.confirmed.is_empty())
    }

    /// All pending ends, to be told to a peer that asks.
    #[must_use]
    pub fn notices(&self, now: Time) -> Vec<Notice> {
        self.pending.iter().map(|(end, pending)| pending.notice(now, end)).collect()
    }

    /// The pending ends.
    pub fn ends(&self) -> impl Iterator<Item = &End> {
        self.pending.keys()
    }

    /// Applies an event and returns the resulting effects.
    pub fn step(&mut self, now: Time, event: &Event) -> Vec<Effect> {
        match event {
            Event::Requested { end, known } => self.requested(now, end, *known),
            Event::Reported { by, ends } => self.reported(now, by, ends),
            Event::Stopping => {
                for pending in self.pending.values_mut().filter(|pending| !pending.stored) {
                    (pending.is_origin, pending.notify_peers) = (true, true);
                    pending.confirmed.clear();
                }
                self.notified_at.clear();
                vec![]
            }
            Event::Settled(end) => {
                self.pending.remove(end);
                vec![]
            }
            Event::Stored(end) => {
                self.stored(now, end);
                vec![]
            }
            Event::Failed { end, why } => {
                self.failed(now, end, *why);
                vec![]
            }
            Event::Confirmed { member, ends } => {
                self.confirmed(now, member, ends);
                vec![]
            }
            Event::AppendTimes(append_ms) => {
                self.append_ms.clone_from(append_ms);
                vec![]
            }
            Event::Tick { members, may_exist } => self.tick(now, members, may_exist),
        }
    }

    fn requested(&mut self, now: Time, end: &End, known: bool) -> Vec<Effect> {
        let mut effects = self.add(now, end, now, true);
        let Some(pending) = self.pending.get_mut(end) else {
            return effects;
        };
        pending.is_origin = true;
        pending.may_exist |= known;
        if pending.in_flight == 0 {
            pending.start_append(now);
            effects.push(Effect::Append(end.clone()));
        }
        effects
    }

    fn reported(&mut self, now: Time, by: &str, ends: &[Notice]) -> Vec<Effect> {
        if roster::address(by).is_some() {
            self.heard_of.insert(roster::instance(by).to_owned(), by.to_owned());
        }
        let mut effects = Vec::new();
        for Notice { end, age_ms } in ends {
            // An end that counts as newer than it is only stays longer.
            let since = now.before(*age_ms).unwrap_or(Time::EARLIEST);
            effects.extend(self.add(now, end, since, false));
            if let Some(pending) = self.pending.get_mut(end) {
                pending.since = pending.since.min(since);
                pending.notify_peers = true;
                pending.confirmed.insert(by.to_owned(), now);
            }
        }
        effects
    }

    fn add(&mut self, now: Time, end: &End, since: Time, is_origin: bool) -> Vec<Effect> {
        if self.pending.contains_key(end) {
            return vec![];
        }
        if self.pending.len() >= MAX_PENDING {
            let rank = |pending: &Pending| (pending.may_exist, pending.since);
            let oldest = self.pending.iter().min_by_key(|(_, pending)| rank(pending));
            if let Some(oldest) = oldest.map(|(end, _)| end.clone()) {
                self.pending.remove(&oldest);
            }
        }
        let notified_ms = spread(NOTIFIED_RETRY_MS, &self.own_id, &end.job, 0);
        let pending = Pending {
            since,
            may_exist: false,
            is_origin,
            in_flight: 0,
            started_at: now,
            append_at: if is_origin { now } else { now.after(notified_ms) },
            appends: 0,
            failures: 0,
            failed: BTreeMap::new(),
            notify_peers: false,
            last_failure: None,
            report_at_ms: 0,
            stored: false,
            confirmed: BTreeMap::new(),
        };
        self.pending.insert(end.clone(), pending);
        vec![Effect::Close(end.clone())]
    }

    fn stored(&mut self, now: Time, end: &End) {
        if let Some(pending) = self.pending.get_mut(end) {
            pending.in_flight = pending.in_flight.saturating_sub(1);
            pending.notify_peers = false;
            pending.stored = true;
            pending.append_at = now.after(READ_BACK_MS);
        }
    }

    fn failed(&mut self, now: Time, end: &End, why: Failure) {
        if let Some(pending) = self.pending.get_mut(end) {
            pending.in_flight = pending.in_flight.saturating_sub(1);
            // Another append, made meanwhile, has stored the end.
            if pending.stored && now < pending.append_at {
                return;
            }
            pending.notify_peers = true;
            pending.last_failure = Some(why);
            pending.failures += 1;
            *pending.failed.entry(why).or_default() += 1;
            let max_ms = match (pending.is_origin, why) {
                (true, Failure::RateLimited) => RATE_RETRY_MAX_MS,
                (true, _) => RETRY_MAX_MS,
                (false, _) => u64::MAX,
            };
            let step_ms = if pending.is_origin { RETRY_MS } else { NOTIFIED_RETRY_MS };
            // The first append that arrives once the queue is short enough is taken.
            let is_queue = why == Failure::Unavailable && self.append_ms.contains_key(&end.job);
            let max_ms = if pending.is_origin && is_queue { RETRY_MS } else { max_ms };
            let delay_ms = (step_ms * u64::from(pending.failures)).min(max_ms);
            let delay_ms = spread(delay_ms, &self.own_id, &end.job, pending.failures);
            pending.append_at = now.after(delay_ms);
        }
    }

    fn confirmed(&mut self, now: Time, member: &str, ends: &[End]) {
        self.notified_at.remove(member);
        for end in ends {
            if let Some(pending) = self.pending.get_mut(end) {
                pending.confirmed.insert(member.to_owned(), now);
            }
        }
    }

    fn tick(&mut self, now: Time, members: &[String], may_exist: &BTreeSet<String>) -> Vec<Effect> {
        self.pending.retain(|end, pending| {
            pending.may_exist = may_exist.contains(&end.job);
            pending.may_exist || now.since(pending.since) < UNKNOWN_MS
        });
        let ring = self.ring(members);
        self.notified_at.retain(|member, _| ring.contains(member));
        let mut effects = Vec::new();
        for (end, pending) in &mut self.pending {
            let append_ms = self.append_ms.get(&end.job).copied().unwrap_or_default();
            let wait_ms = if pending.is_origin {
                0
            } else {
                append_ms + NOTIFIED_RETRY_MS * rank(members, &self.own_id, &end.job)
            };
            pending.notify_peers |= !pending.stored && pending.is_slow(now);
            if pending.is_append_due(now, wait_ms, append_ms) {
                pending.start_append(now);
                effects.push(Effect::Append(end.clone()));
            }
            if let Some(history) = pending.report(now) {
                effects.push(Effect::Overdue { end: end.clone(), history });
            }
        }
        if self.pending.is_empty() {
            self.heard_of.clear();
            return effects;
        }
        for (distance, member) in ring.iter().enumerate() {
            let due = self.notified_at.get(member).is_none_or(|at| now.since(*at) >= NOTIFY_MS);
            let ends = self.unconfirmed(now, member, distance);
            if due && !ends.is_empty() {
                self.notified_at.insert(member.clone(), now);
                effects.push(Effect::Notify { member: member.clone(), ends });
            }
        }
        effects
    }

    /// The other live instances, and others that have reported ends, in ring order
    /// after this one.
    fn ring(&self, members: &[String]) -> Vec<String> {
        let own = roster::instance(&self.own_id);
        let listed: BTreeSet<&str> =
            members.iter().map(|member| roster::instance(member)).collect();
        let is_unlisted = |(name, _): &(&String, &String)| !listed.contains(name.as_str());
        let unlisted = self.heard_of.iter().filter(is_unlisted).map(|(_, member)| member);
        let all: BTreeSet<&String> = members.iter().chain(unlisted).collect();
        let others = all.into_iter().filter(|member| roster::instance(member) != own);
        let (after, before): (Vec<&String>, _) = others.partition(|member| **member > self.own_id);
        after.into_iter().chain(before).cloned().collect()
    }

    /// Ends that a peer may not know of. An end whose first append is in flight
    /// and not slow is not included yet: the append usually succeeds, and then
    /// the store distributes the end.
    fn unconfirmed(&self, now: Time, member: &str, distance: usize) -> Vec<Notice> {
        let is_relay = distance < RELAYS;
        let is_unconfirmed = |pending: &Pending| {
            let is_due = match pending.confirmed.get(member) {
                Some(at) => is_relay && now.since(*at) >= REMIND_MS,
                None => is_relay || pending.is_origin,
            };
            is_due && pending.notify_peers
        };
        let ends = self.pending.iter().filter(|(_, pending)| is_unconfirmed(pending));
        ends.map(|(end, pending)| pending.notice(now, end)).collect()
    }
}

//! Ends of jobs that were asked for and are not in the store yet: a reducer.
//!
//! A trainer that ends a job wants nothing more of it, whatever becomes of
//! the append that says so. So the instance that was asked stops the job at
//! once, tells its peers directly, and appends the end again and again until
//! it is read back; whoever was told does the same, more slowly. An end that
//! is only a refused call was tried: with a store that refused for 24 s the
//! samples of ended jobs went on being sent.
//!
//! What is held here is lost with the process. An instance that starts is
//! told by those that hold ends as soon as they read that it lives; if all
//! instances lose power at once, only what the store has is left, which is
//! why ends always find room there ([`crate::core::capacity`]).
//!
//! What it leaves out: the calls themselves, and what an ended job means to
//! others ([`crate::core::dispatch`], [`crate::core::batch`]).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// Time between two appends of an end by the instance that was asked, in
/// milliseconds, at first and at most: a store that is back is noticed well
/// within the seconds that an end may take.
const RETRY_MS: u64 = 150;
/// See [`RETRY_MS`].
const RETRY_MOST_MS: u64 = 1_000;
/// The same for instances that were told, times their rank by tens: all
/// together they make a few calls a second, and the first ones soon.
const TOLD_RETRY_MS: u64 = 1_500;
/// How long an end that was appended may take to be read here before it is
/// appended again, in milliseconds.
const READ_MS: u64 = 5_000;
/// Time between two tries to tell a peer that did not confirm, in
/// milliseconds.
const TELL_MS: u64 = 300;
/// How many of those that follow it an instance tells of ends that it was
/// told itself. The instance that was asked tells all; should it be lost
/// meanwhile, or somebody start, this still reaches everybody. If all told
/// all, each end would cost the square of the instances.
const RELAYS: usize = 2;
/// How long an end is held whose job is not known here, in milliseconds: a
/// job may be accepted by another instance and read here a little later.
const UNKNOWN_MS: u64 = 30_000;
/// Most ends that are held; the oldest go first. A fleet asks for a few a
/// second, so this is minutes of a store that takes nothing.
const MOST: usize = 4_096;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A caller asked for a job's end here.
    #[serde(rename = "Asked")]
    Requested {
        /// The job.
        job: String,
        /// It is known here; else another instance may have accepted it.
        known: bool,
    },
    /// A peer says that ends of jobs were asked for.
    #[serde(rename = "Told")]
    Reported {
        /// The peer, if it is known.
        by: String,
        /// The jobs.
        jobs: Vec<String>,
    },
    /// A job's end was read, or its records were dropped: nothing is left to
    /// be done.
    Settled(String),
    /// A job's end was appended. It is held until it is read.
    Stored(String),
    /// An append of a job's end failed.
    Failed {
        /// The job.
        job: String,
        /// The store did nothing; else it may have appended it.
        refused: bool,
    },
    /// A peer has confirmed ends.
    Confirmed {
        /// The peer.
        member: String,
        /// The jobs.
        jobs: Vec<String>,
    },
    /// Time passed.
    Tick {
        /// The live instances.
        members: Vec<String>,
        /// Jobs that are held and known here.
        known: BTreeSet<String>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Run nothing more of a job.
    Close(String),
    /// Append a job's end.
    Append(String),
    /// Tell a peer of ends.
    #[serde(rename = "Tell")]
    Notify {
        /// The peer.
        member: String,
        /// The jobs.
        jobs: Vec<String>,
    },
}

#[derive(Clone, Debug)]
struct Held {
    since: Time,
    /// A caller asked here.
    own: bool,
    /// An append is under way.
    appending: bool,
    append_at: Time,
    tries: u32,
    /// The store cannot be counted on to spread the end: an append failed.
    failed: bool,
    /// The last append was refused.
    refused: bool,
    /// It was appended, and is not read yet.
    stored: bool,
    confirmed: BTreeSet<String>,
}

/// How many tens of live instances try to append a job's end before this one.
fn rank(members: &[String], me: &str, job: &str) -> u64 {
    const AT_ONCE: usize = 10;
    let count = members.len().max(1);
    let first = (xxhash_rust::xxh3::xxh3_64(job.as_bytes()) % count as u64) as usize;
    let mine = members.iter().position(|member| member == me).unwrap_or(0);
    ((mine + count - first) % count / AT_ONCE) as u64
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
/// let effects = state.step(Time(0), &Event::Requested { job: "j".into(), known: true });
/// // The job stops before anything is known of the append.
/// assert_eq!(effects, [Effect::Close("j".into()), Effect::Append("j".into())]);
/// assert!(state.holds("j"));
/// state.step(Time(5), &Event::Settled("j".into()));
/// assert!(!state.holds("j"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct State {
    me: String,
    held: BTreeMap<String, Held>,
    /// When each peer was last told something that it has not confirmed.
    told_at: BTreeMap<String, Time>,
}

impl State {
    /// The state of an instance that holds nothing.
    #[must_use]
    pub fn new(me: &str) -> State {
        State { me: me.to_owned(), ..State::default() }
    }

    /// Whether a job's end is held: nothing of it may be run.
    #[must_use]
    pub fn holds(&self, job: &str) -> bool {
        self.held.contains_key(job)
    }

    /// Whether a held end was appended, and is only to be read yet.
    #[must_use]
    pub fn is_stored(&self, job: &str) -> bool {
        self.held.get(job).is_some_and(|held| held.stored)
    }

    /// Whether the last append of a held end was refused.
    #[must_use]
    pub fn is_refused(&self, job: &str) -> bool {
        self.held.get(job).is_some_and(|held| held.refused)
    }

    /// The jobs whose ends are held.
    pub fn jobs(&self) -> impl Iterator<Item = &str> {
        self.held.keys().map(String::as_str)
    }

    /// Takes an event in and returns what is to be done.
    pub fn step(&mut self, now: Time, event: &Event) -> Vec<Effect> {
        match event {
            Event::Requested { job, known } => self.asked(now, job, *known),
            Event::Reported { by, jobs } => self.told(now, by, jobs),
            Event::Settled(job) => {
                self.held.remove(job);
                vec![]
            }
            Event::Stored(job) => {
                self.stored(now, job);
                vec![]
            }
            Event::Failed { job, refused } => {
                self.failed(now, job, *refused);
                vec![]
            }
            Event::Confirmed { member, jobs } => {
                self.confirmed(member, jobs);
                vec![]
            }
            Event::Tick { members, known } => self.tick(now, members, known),
        }
    }

    fn asked(&mut self, now: Time, job: &str, known: bool) -> Vec<Effect> {
        let mut effects = self.hold(now, job, true);
        let Some(held) = self.held.get_mut(job) else {
            return effects;
        };
        held.own = true;
        // An end that cannot be appended yet is spread by telling.
        held.failed |= !known;
        if known && !held.appending {
            held.appending = true;
            effects.push(Effect::Append(job.to_owned()));
        }
        effects
    }

    fn told(&mut self, now: Time, by: &str, jobs: &[String]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for job in jobs {
            effects.extend(self.hold(now, job, false));
            if let Some(held) = self.held.get_mut(job) {
                held.failed = true;
                held.confirmed.insert(by.to_owned());
            }
        }
        effects
    }

    fn hold(&mut self, now: Time, job: &str, own: bool) -> Vec<Effect> {
        if self.held.contains_key(job) {
            return vec![];
        }
        if self.held.len() >= MOST {
            let oldest = self.held.iter().min_by_key(|(_, held)| held.since);
            if let Some(oldest) = oldest.map(|(job, _)| job.clone()) {
                self.held.remove(&oldest);
            }
        }
        let held = Held {
            since: now,
            own,
            appending: false,
            append_at: if own { now } else { now.after(TOLD_RETRY_MS) },
            tries: 0,
            failed: false,
            refused: false,
            stored: false,
            confirmed: BTreeSet::new(),
        };
        self.held.insert(job.to_owned(), held);
        vec![Effect::Close(job.to_owned())]
    }

    fn stored(&mut self, now: Time, job: &str) {
        if let Some(held) = self.held.get_mut(job) {
            held.appending = false;
            held.failed = false;
            held.stored = true;
            held.append_at = now.after(READ_MS);
        }
    }

    fn failed(&mut self, now: Time, job: &str, refused: bool) {
        if let Some(held) = self.held.get_mut(job) {
            held.appending = false;
            held.failed = true;
            held.refused = refused;
            held.tries += 1;
            let most = if held.own { RETRY_MOST_MS } else { u64::MAX };
            let least = if held.own { RETRY_MS } else { TOLD_RETRY_MS };
            held.append_at = now.after((least * u64::from(held.tries)).min(most));
        }
    }

    fn confirmed(&mut self, member: &str, jobs: &[String]) {
        self.told_at.remove(member);
        for job in jobs {
            if let Some(held) = self.held.get_mut(job) {
                held.confirmed.insert(member.to_owned());
            }
        }
    }

    fn tick(&mut self, now: Time, members: &[String], known: &BTreeSet<String>) -> Vec<Effect> {
        self.held.retain(|job, held| known.contains(job) || now.since(held.since) < UNKNOWN_MS);
        self.told_at.retain(|member, _| members.contains(member));
        let mut effects = Vec::new();
        for (job, held) in &mut self.held {
            let wait_ms = if held.own { 0 } else { TOLD_RETRY_MS * rank(members, &self.me, job) };
            if !held.appending && known.contains(job) && now >= held.append_at.after(wait_ms) {
                held.appending = true;
                effects.push(Effect::Append(job.clone()));
            }
        }
        if self.held.is_empty() {
            return effects;
        }
        for (distance, member) in self.ring(members).into_iter().enumerate() {
            let due = self.told_at.get(member).is_none_or(|at| now.since(*at) >= TELL_MS);
            let jobs = self.unconfirmed(member, distance);
            if due && !jobs.is_empty() {
                self.told_at.insert(member.clone(), now);
                effects.push(Effect::Notify { member: member.clone(), jobs });
            }
        }
        effects
    }

    /// The other live instances, in the order in which they follow this one.
    fn ring<'a>(&self, members: &'a [String]) -> Vec<&'a String> {
        let after = members.iter().filter(|member| **member > self.me);
        let before = members.iter().filter(|member| **member < self.me);
        after.chain(before).collect()
    }

    /// Ends that a peer may not know of. One whose first append is under way
    /// is not told yet: it mostly goes well, and then the store spreads it.
    fn unconfirmed(&self, member: &str, distance: usize) -> Vec<String> {
        let open = |held: &Held| {
            let mine = held.own || distance < RELAYS;
            mine && held.failed && !held.confirmed.contains(member)
        };
        let jobs = self.held.iter().filter(|(_, held)| open(held));
        jobs.map(|(job, _)| job.clone()).collect()
    }
}

//! Decides when a starting instance knows what its peers hold. A pure reducer.
//!
//! Some facts that an instance must obey are not in the store yet and are held
//! in the memory of the instances that learned of them, such as a requested end
//! of a job whose append was refused ([`crate::core::ending`]). An instance that
//! starts has none of them, and the store shows the state before them. It
//! therefore asks peers before it acts on that state.
//!
//! One informed peer is enough: it holds what all others hold, apart from the
//! last seconds, of which the starting instance is notified like any other
//! member. Without one, each instance that exists has to be accounted for: it
//! starts as well and has nothing to tell, or its process has exited. Which
//! instances exist is more than the members that the store's group shows, as
//! after an outage of the store these are only the first to return
//! ([`crate::core::instances`]). Starting instances tell each other whom they
//! have accounted for, so that hundreds of them need a few rounds.
//!
//! An instance that does not answer is not accounted for. As it may be lost for
//! good, a starting instance runs after a while nevertheless, but goes on
//! asking, and does not report itself as informed.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::{roster, time::Time};

/// How long an instance that accepts no connection may go unanswered, from when
/// it was first asked, until it is taken for lost, in milliseconds. A machine
/// that is off refuses nothing, and an instance that reaches the store and no
/// peer has to serve on its own then.
const MAX_SILENCE_MS: u64 = 3_000;
/// The same for an instance that accepts connections: it is alive, and busy or
/// paused.
const MAX_BUSY_MS: u64 = 10_000;
/// The same for the record of instances, while the store answers other reads.
const MAX_UNREAD_MS: u64 = 10_000;
/// Questions without an answer that an instance is asked at least: a process
/// that was paused has asked nobody meanwhile.
const MIN_QUESTIONS: u32 = 3;

/// Identifies an instance, whatever its run, in an account that is sent to a
/// peer.
#[must_use]
pub fn fingerprint(member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(roster::instance(member).as_bytes())
}

/// What asking an instance has shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It knows what its own peers held when it started.
    Informed,
    /// It starts as well. It has accounted for these instances, by their
    /// [`fingerprint`].
    Starting(BTreeSet<u64>),
    /// Nobody listens at its address: its process has exited.
    Exited,
    /// It accepts connections, and has not answered in time.
    Busy,
    /// It cannot be reached.
    Silent,
}

/// One round of questions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// All other instances that exist, as far as the store shows; `None` while
    /// their record was not read.
    pub known: Option<BTreeSet<String>>,
    /// The instances that were asked, and what that has shown.
    pub answers: Vec<(String, Answer)>,
}

/// Why an instance acts on what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grounds {
    /// An informed peer has told what it holds.
    Informed,
    /// All other instances start as well, or have exited.
    AllAccounted,
    /// The store has no record of another instance.
    Alone,
    /// Some instances have not answered for too long.
    Silence,
    /// The record of instances could not be read for too long.
    Unread,
}

impl Grounds {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Grounds::Informed => "informed",
            Grounds::AllAccounted => "all_accounted",
            Grounds::Alone => "alone",
            Grounds::Silence => "silence",
            Grounds::Unread => "unread",
        }
    }
}

/// An instance that was asked and has not answered.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    since: Time,
    questions: u32,
    /// Whether it accepted the last connection.
    is_busy: bool,
}

impl Unanswered {
    fn is_lost(&self, now: Time) -> bool {
        let max_ms = if self.is_busy { MAX_BUSY_MS } else { MAX_SILENCE_MS };
        now.since(self.since) >= max_ms && self.questions >= MIN_QUESTIONS
    }
}

/// The inquiry of one instance.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     inquiry::{Answer, Grounds, Inquiry, Round},
///     time::Time,
/// };
///
/// let known = Some(["a", "b"].map(String::from).into());
/// let mut inquiry = Inquiry::default();
/// // A peer that starts itself has nothing to tell, and the other may know more.
/// let answers = vec![("a".into(), Answer::Starting([].into())), ("b".into(), Answer::Silent)];
/// inquiry.step(Time(0), &Round { known: known.clone(), answers });
/// assert_eq!(inquiry.grounds(), None);
/// let answers = vec![("b".into(), Answer::Informed)];
/// inquiry.step(Time(100), &Round { known, answers });
/// assert_eq!(inquiry.grounds(), Some(Grounds::Informed));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Inquiry {
    /// When the first round ended.
    began: Option<Time>,
    rounds: u32,
    /// The instances that start as well.
    starting: BTreeSet<u64>,
    /// The instances whose processes have exited.
    exited: BTreeSet<u64>,
    /// The instances that have not answered.
    unanswered: BTreeMap<u64, Unanswered>,
    grounds: Option<Grounds>,
}

impl Inquiry {
    /// Why this instance may act on what it knows; `None` while it may not.
    #[must_use]
    pub const fn grounds(&self) -> Option<Grounds> {
        self.grounds
    }

    /// Whether this instance may act on what it knows.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.grounds.is_some()
    }

    /// Whether this instance knows what its peers hold, so that others may rely
    /// on it.
    #[must_use]
    pub const fn is_informed(&self) -> bool {
        matches!(self.grounds, Some(Grounds::Informed | Grounds::AllAccounted))
    }

    /// The instances that were accounted for, to be told to a peer that asks.
    pub fn accounted(&self) -> impl Iterator<Item = u64> {
        self.starting.union(&self.exited).copied()
    }

    /// Whether an instance has still to answer.
    #[must_use]
    pub fn is_open(&self, member: &str) -> bool {
        let member = fingerprint(member);
        !self.starting.contains(&member) && !self.exited.contains(&member)
    }

    /// The number of questions that an instance has not answered. Those with the
    /// fewest are asked next.
    #[must_use]
    pub fn questions(&self, member: &str) -> u32 {
        self.unanswered.get(&fingerprint(member)).map_or(0, |unanswered| unanswered.questions)
    }

    /// Whether an instance accepted a connection and did not answer in time.
    #[must_use]
    pub fn is_busy(&self, member: &str) -> bool {
        self.unanswered.get(&fingerprint(member)).is_some_and(|unanswered| unanswered.is_busy)
    }

    /// Applies the answers of a round.
    pub fn step(&mut self, now: Time, round: &Round) {
        let began = *self.began.get_or_insert(now);
        self.rounds += 1;
        let mut is_informed = false;
        for (member, answer) in &round.answers {
            is_informed |= *answer == Answer::Informed;
            self.record(now, member, answer);
        }
        let is_unread = now.since(began) >= MAX_UNREAD_MS && self.rounds >= MIN_QUESTIONS;
        let grounds = match &round.known {
            _ if self.is_informed() => return,
            _ if is_informed => Some(Grounds::Informed),
            None => is_unread.then_some(Grounds::Unread),
            Some(known) if known.is_empty() => Some(Grounds::Alone),
            Some(known) => self.account(now, known),
        };
        self.grounds = grounds.or(self.grounds);
    }

    fn record(&mut self, now: Time, member: &str, answer: &Answer) {
        let member = fingerprint(member);
        let is_busy = match answer {
            Answer::Informed => return,
            Answer::Starting(accounted) => {
                self.unanswered.remove(&member);
                self.starting.extend(accounted);
                self.starting.insert(member);
                return;
            }
            Answer::Exited => {
                // It may have told others what it held before it exited.
                if self.unanswered.remove(&member).is_some() {
                    self.starting.clear();
                }
                self.exited.insert(member);
                return;
            }
            Answer::Busy => true,
            Answer::Silent => false,
        };
        let first = Unanswered { since: now, questions: 0, is_busy };
        let unanswered = self.unanswered.entry(member).or_insert(first);
        unanswered.questions += 1;
        unanswered.is_busy = is_busy;
    }

    /// The grounds, if each instance is accounted for or taken for lost.
    fn account(&self, now: Time, known: &BTreeSet<String>) -> Option<Grounds> {
        let mut open = known.iter().filter(|member| self.is_open(member)).peekable();
        if open.peek().is_none() {
            return Some(Grounds::AllAccounted);
        }
        let unanswered = |member: &String| self.unanswered.get(&fingerprint(member));
        let is_lost = |member| unanswered(member).is_some_and(|asked| asked.is_lost(now));
        open.all(is_lost).then_some(Grounds::Silence)
    }
}

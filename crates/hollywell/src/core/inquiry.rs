//! Decides when a starting instance knows what its peers hold. A pure reducer.
//!
//! Some facts that an instance must obey are not in the store yet and are held
//! in the memory of the instances that learned of them, such as a requested end
//! of a job whose append was refused ([`crate::core::ending`]). An instance that
//! starts has none of them, and the store shows the state before them. It
//! therefore asks peers before it acts on that state.
//!
//! One informed peer is enough: it holds what all others hold, apart from the
//! last second, of which the starting instance is notified like any other
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

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::core::{roster, time::Time};

/// Limits for an inquiry in which instances don't answer: time in milliseconds,
/// and number of rounds, as a process that was paused has asked nobody
/// meanwhile. An instance that reaches the store and no peer has to serve on its
/// own then.
const MAX_SILENCE_MS: u64 = 3_000;
/// See [`MAX_SILENCE_MS`].
const MAX_SILENT_ROUNDS: u32 = 6;

/// Identifies an instance, whatever its run, in an account that is sent to a
/// peer.
#[must_use]
pub fn fingerprint(member: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(roster::instance(member).as_bytes())
}

/// What asking an instance has shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It knows what its own peers held when it started.
    Informed,
    /// It starts as well. It has accounted for these instances, by their
    /// [`fingerprint`].
    Starting(BTreeSet<u64>),
    /// Nobody listens at its address: its process has exited.
    Exited,
    /// It has not answered.
    Silent,
}

/// One round of questions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// All other instances that exist, as far as the store shows; `None` while
    /// their record was not read.
    pub known: Option<BTreeSet<String>>,
    /// The instances that were asked, and what that has shown.
    pub answers: Vec<(String, Answer)>,
}

/// Why an instance acts on what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grounds {
    /// An informed peer has told what it holds.
    Informed,
    /// All other instances start as well, or have exited.
    AllAccounted,
    /// The store has no record of another instance.
    Alone,
    /// Some instances have not answered for [`MAX_SILENCE_MS`].
    Silence,
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
        }
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
/// let answers = vec![("b".into(), Answer::Exited)];
/// inquiry.step(Time(100), &Round { known, answers });
/// assert_eq!(inquiry.grounds(), Some(Grounds::AllAccounted));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Inquiry {
    /// When the first round ended.
    began: Option<Time>,
    rounds: u32,
    /// The instances that start as well or have exited.
    accounted: BTreeSet<u64>,
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
    #[must_use]
    pub const fn accounted(&self) -> &BTreeSet<u64> {
        &self.accounted
    }

    /// Whether an instance has still to be asked.
    #[must_use]
    pub fn is_open(&self, member: &str) -> bool {
        !self.accounted.contains(&fingerprint(member))
    }

    /// Applies the answers of a round.
    pub fn step(&mut self, now: Time, round: &Round) {
        let began = *self.began.get_or_insert(now);
        self.rounds += 1;
        let mut is_informed = false;
        for (member, answer) in &round.answers {
            match answer {
                Answer::Informed => is_informed = true,
                Answer::Starting(accounted) => {
                    self.accounted.extend(accounted);
                    self.accounted.insert(fingerprint(member));
                }
                Answer::Exited => {
                    self.accounted.insert(fingerprint(member));
                }
                Answer::Silent => {}
            }
        }
        let is_silent = now.since(began) >= MAX_SILENCE_MS && self.rounds >= MAX_SILENT_ROUNDS;
        let grounds = match &round.known {
            _ if self.is_informed() => return,
            _ if is_informed => Some(Grounds::Informed),
            Some(known) if known.is_empty() => Some(Grounds::Alone),
            Some(known) if known.iter().all(|member| !self.is_open(member)) => {
                Some(Grounds::AllAccounted)
            }
            _ => is_silent.then_some(Grounds::Silence),
        };
        self.grounds = grounds.or(self.grounds);
    }
}

//! Which instances and targets there are, and which are usable.
//!
//! The platform's list lags behind reality, so it is joined with direct
//! evidence: answers of peers to heartbeats, connections that targets
//! refuse, and targets that say themselves that they are leaving. Evidence
//! that a target leaves is sticky: a list that still says "live" does not
//! undo it until the target has been off the list or has moved.
//!
//! What it leaves out: choosing among the usable ones
//! ([`crate::core::route`]).

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::core::{id::Instance, retry::Breaker, time::Time};

/// How many readings of a peer are kept.
const READING_LIMIT: usize = 8;

/// What a listed process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry instance of hollywell.
    Instance,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Unique name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// The pool of targets that it belongs to; empty for instances.
    #[serde(default)]
    pub pool: String,
    /// Its failure domain.
    pub domain: String,
    /// Address and port. For an instance, where its peers reach it.
    pub address: String,
    /// True if the platform says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// What an engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it can generate for at once.
    pub slots: u32,
    /// Requests that it generates for.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Weight version served, by trainer.
    pub versions: BTreeMap<String, u64>,
    /// True if it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// A target and what is known of it here.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its line in the list.
    pub listed: Listed,
    /// True once the list or direct evidence says that it leaves.
    pub leaving: bool,
    /// Requests in flight from this instance.
    pub in_flight: u32,
    /// Rollout samples among them.
    pub samples: u32,
    /// Its last load report.
    pub load: Option<Load>,
    /// Whether recent connections to it failed.
    pub breaker: Breaker,
}

impl Target {
    fn new(listed: Listed) -> Target {
        let leaving = listed.leaving;
        Target {
            listed,
            leaving,
            in_flight: 0,
            samples: 0,
            load: None,
            breaker: Breaker::default(),
        }
    }

    /// True if new work may be sent to it now.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && self.breaker.allows(now)
    }
}

/// What an active owner last said of itself; see [`crate::core::owner`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Who said it.
    pub from: Instance,
    /// The epoch in which it is active.
    pub epoch: u64,
    /// How many refusals it had numbered.
    pub order: u64,
    /// Its clock.
    pub clock: Time,
}

/// Another entry instance and what is known of it here.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its line in the list.
    pub listed: Listed,
    /// The run that last answered.
    pub instance: Option<Instance>,
    /// When its last answer came.
    pub last_seen_at: Option<Time>,
    /// True if it said that it is stopping.
    pub draining: bool,
    /// Its folded offset, as it last said.
    pub next: u64,
    /// Weights of the trainers with a step open there, as it last said.
    pub demand: u32,
    /// Its readings as an active owner that told something new, each with
    /// the time it first came; the newest last.
    readings: VecDeque<(Reading, Time)>,
    /// Its clock as last heard, and when that was.
    clock: Option<(Time, Time)>,
    /// When it was last sent a heartbeat.
    pub heartbeat_sent_at: Option<Time>,
}

impl Peer {
    fn new(listed: Listed) -> Peer {
        Peer {
            listed,
            instance: None,
            last_seen_at: None,
            draining: false,
            next: 0,
            demand: 0,
            readings: VecDeque::new(),
            clock: None,
            heartbeat_sent_at: None,
        }
    }

    /// Notes a reading of an active owner, heard at `now`.
    pub fn record_reading(&mut self, reading: &Reading, now: Time) {
        self.clock = Some((reading.clock, now));
        let told = |(known, _): &(Reading, Time)| {
            known.from == reading.from
                && known.epoch == reading.epoch
                && known.order >= reading.order
        };
        if self.readings.back().is_some_and(told) {
            return;
        }
        self.readings.push_back((reading.clone(), now));
        if self.readings.len() > READING_LIMIT {
            self.readings.pop_front();
        }
    }

    /// The newest reading as an active owner.
    #[must_use]
    pub fn reading(&self) -> Option<&Reading> {
        self.readings.back().map(|(reading, _)| reading)
    }

    /// How many refusals of `owner` in `epoch` had been heard of before
    /// `arrived`; zero if none was.
    #[must_use]
    pub fn refusals_before(&self, arrived: Time, owner: &Instance, epoch: u64) -> u64 {
        let before = |(reading, at): &&(Reading, Time)| {
            reading.from == *owner && reading.epoch == epoch && *at < arrived
        };
        let newest = self.readings.iter().rev().find(before);
        newest.map_or(0, |(reading, _)| reading.order)
    }

    /// A lower bound of the peer's clock at the local instant `at`.
    #[must_use]
    pub fn clock_at(&self, at: Time) -> Option<Time> {
        self.clock.map(|(clock, heard_at)| clock.after(at.since(heard_at)))
    }

    /// True if it answered within the last `window_ms` milliseconds.
    #[must_use]
    pub fn is_live(&self, now: Time, window_ms: u64) -> bool {
        self.last_seen_at.is_some_and(|at| now.since(at) < window_ms)
    }
}

/// All instances and targets known here.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Targets by name.
    pub targets: BTreeMap<String, Target>,
    /// Other instances by name.
    pub peers: BTreeMap<String, Peer>,
}

impl Members {
    /// Takes a new list; `me` is left out of the peers.
    ///
    /// What is known of a process survives as long as its name and address
    /// stay listed.
    pub fn take_list(&mut self, list: Vec<Listed>, me: &str) {
        let mut targets = std::mem::take(&mut self.targets);
        let mut peers = std::mem::take(&mut self.peers);
        for listed in list {
            let name = listed.name.clone();
            match listed.kind {
                Kind::Instance if name == me => {}
                Kind::Instance => {
                    let known = peers.remove(&name);
                    let same = known.filter(|peer| peer.listed.address == listed.address);
                    let peer = same.unwrap_or_else(|| Peer::new(listed));
                    self.peers.insert(name, peer);
                }
                Kind::Engine | Kind::Service => {
                    let known = targets.remove(&name);
                    let same = known.filter(|old| old.listed.address == listed.address);
                    let mut target = same.unwrap_or_else(|| Target::new(listed.clone()));
                    target.leaving |= listed.leaving;
                    target.listed = listed;
                    self.targets.insert(name, target);
                }
            }
        }
    }

    /// Notes direct evidence that a target leaves. Returns true if it is new.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let Some(target) = self.targets.get_mut(name) else {
            return false;
        };
        !std::mem::replace(&mut target.leaving, true)
    }

    /// Names of the targets known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<String> {
        let leaving = self.targets.values().filter(|target| target.leaving);
        leaving.map(|target| target.listed.name.clone()).collect()
    }

    /// True if any target of the pool is listed.
    #[must_use]
    pub fn has_pool(&self, pool: &str) -> bool {
        self.targets.values().any(|target| target.listed.pool == pool)
    }
}

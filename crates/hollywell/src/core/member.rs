//! Membership: which instances and targets exist, and which are usable.
//!
//! The platform's list lags behind reality, so it is combined with direct
//! evidence: peers' answers to heartbeats, connections that targets refuse, and
//! targets that report that they are leaving. Evidence that a target is leaving
//! is sticky: a list that still shows the target as live does not override it,
//! until the target has been removed from the list or its address has changed.
//!
//! Not part of this module: the choice among usable targets
//! ([`crate::core::route`]).

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::core::{id::Instance, retry::Breaker, time::Time};

/// Number of readings that are kept for each peer.
const READING_LIMIT: usize = 8;

/// The kind of a listed process.
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

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Unique name.
    pub name: String,
    /// Kind of the process.
    pub kind: Kind,
    /// Pool of targets that it belongs to; empty for instances.
    #[serde(default)]
    pub pool: String,
    /// Failure domain of the process.
    pub domain: String,
    /// Address and port; for an instance, those for its peers.
    pub address: String,
    /// True if the platform reports that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// An engine's load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that it can process at the same time.
    pub slots: u32,
    /// Number of requests that it is processing.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Served weight version by trainer.
    pub versions: BTreeMap<String, u64>,
    /// True if it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// A target and what this instance knows about it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Entry of the target in the list.
    pub listed: Listed,
    /// True once the list or direct evidence shows that it is leaving.
    pub leaving: bool,
    /// Number of this instance's requests in flight.
    pub in_flight: u32,
    /// Number of this instance's rollout samples in flight.
    pub samples: u32,
    /// The last load report.
    pub load: Option<Load>,
    /// Circuit breaker for failed connections.
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

    /// Returns true if new work may be sent to the target now.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && self.breaker.allows(now)
    }
}

/// A report of an active owner about itself; see [`crate::core::owner`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The owner.
    pub from: Instance,
    /// Epoch in which the owner is active.
    pub epoch: u64,
    /// Number of refusals that the owner had made.
    pub order: u64,
    /// Time on the owner's clock.
    pub clock: Time,
}

/// Another entry instance and what this instance knows about it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Entry of the peer in the list.
    pub listed: Listed,
    /// Id of the run that last answered a heartbeat.
    pub instance: Option<Instance>,
    /// When the last answer to a heartbeat was received.
    pub last_seen_at: Option<Time>,
    /// True if it reported that it is stopping.
    pub draining: bool,
    /// Offset up to which it has folded the log, as last reported.
    pub next: u64,
    /// Sum of the weights of the trainers with a step open there, as last
    /// reported.
    pub demand: u32,
    /// Its readings as an active owner, each with the time at which it was
    /// first received; the newest last. Repeated readings are omitted.
    readings: VecDeque<(Reading, Time)>,
    /// Its clock as last received, and when that was.
    clock: Option<(Time, Time)>,
    /// When the last heartbeat was sent to it.
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

    /// Records a reading of an active owner that was received at `now`.
    pub fn record_reading(&mut self, reading: &Reading, now: Time) {
        self.clock = Some((reading.clock, now));
        let is_repeated = |(known, _): &(Reading, Time)| {
            known.from == reading.from
                && known.epoch == reading.epoch
                && known.order >= reading.order
        };
        if self.readings.back().is_some_and(is_repeated) {
            return;
        }
        self.readings.push_back((reading.clone(), now));
        if self.readings.len() > READING_LIMIT {
            self.readings.pop_front();
        }
    }

    /// Returns the newest reading as an active owner.
    #[must_use]
    pub fn reading(&self) -> Option<&Reading> {
        self.readings.back().map(|(reading, _)| reading)
    }

    /// Returns the number of refusals of `owner` in `epoch` that were known
    /// here before `arrived`; zero if none were.
    #[must_use]
    pub fn refusals_before(&self, arrived: Time, owner: &Instance, epoch: u64) -> u64 {
        let before = |(reading, at): &&(Reading, Time)| {
            reading.from == *owner && reading.epoch == epoch && *at < arrived
        };
        let newest = self.readings.iter().rev().find(before);
        newest.map_or(0, |(reading, _)| reading.order)
    }

    /// Returns a lower bound of the peer's clock at the local time `at`.
    #[must_use]
    pub fn clock_at(&self, at: Time) -> Option<Time> {
        self.clock.map(|(clock, received_at)| clock.after(at.since(received_at)))
    }

    /// Returns true if the peer answered within the last `window_ms`
    /// milliseconds.
    #[must_use]
    pub fn is_live(&self, now: Time, window_ms: u64) -> bool {
        self.last_seen_at.is_some_and(|at| now.since(at) < window_ms)
    }
}

/// All instances and targets that are known here.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Targets by name.
    pub targets: BTreeMap<String, Target>,
    /// Other instances by name.
    pub peers: BTreeMap<String, Peer>,
}

impl Members {
    /// Updates the members from a new list. The instance named `local` is not
    /// added to the peers.
    ///
    /// What is known about a process is kept as long as its name is listed with
    /// the same address.
    pub fn update(&mut self, list: Vec<Listed>, local: &str) {
        let mut targets = std::mem::take(&mut self.targets);
        let mut peers = std::mem::take(&mut self.peers);
        for listed in list {
            let name = listed.name.clone();
            match listed.kind {
                Kind::Instance if name == local => {}
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

    /// Records direct evidence that a target is leaving. Returns true if that
    /// was not known yet.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let Some(target) = self.targets.get_mut(name) else {
            return false;
        };
        !std::mem::replace(&mut target.leaving, true)
    }

    /// Returns the names of the targets that are known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<String> {
        let leaving = self.targets.values().filter(|target| target.leaving);
        leaving.map(|target| target.listed.name.clone()).collect()
    }

    /// Returns true if any target of the pool is listed.
    #[must_use]
    pub fn has_pool(&self, pool: &str) -> bool {
        self.targets.values().any(|target| target.listed.pool == pool)
    }
}

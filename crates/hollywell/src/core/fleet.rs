//! The targets as they announce themselves, folded from the store.
//!
//! A target that leaves says so or vanishes; either way it gets no new work
//! from then on. Entries that lapse because the store itself was away are no
//! sign of a target's end, so for a short while after the store is back a
//! vanished entry is still believed.
//!
//! What it leaves out: load, pace and faults, which the instance sees for
//! itself (see [`crate::core::choice`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// How long after the store is back a lapsed entry may take to return, in
/// milliseconds. The platform says about two seconds.
pub const LAPSE_MS: u64 = 2_500;

/// A target's own word about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The incarnation's id.
    pub id: String,
    /// The pool that it serves.
    pub pool: String,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
    /// Versions of the models that it holds.
    pub versions: BTreeMap<String, u64>,
}

/// A target as this instance believes it to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its last announcement, with versions raised by what its answers said.
    pub said: Announcement,
    /// When that was read.
    pub seen_at: Time,
    /// Its entry vanished while the store was away, or soon after.
    pub lapsed: bool,
}

/// All targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// By id.
    pub targets: BTreeMap<String, Target>,
    /// When the store last came back; entries that vanish within
    /// [`LAPSE_MS`] of it may have lapsed only.
    pub store_back_at: Option<Time>,
    /// The store cannot be reached now.
    pub store_away: bool,
}

impl Fleet {
    /// Notes an announcement. Versions never go back: a target that runs a
    /// newer one than it announces has just loaded it.
    pub fn announce(&mut self, now: Time, said: Announcement) {
        let id = said.id.clone();
        let mut target = Target { said, seen_at: now, lapsed: false };
        if let Some(before) = self.targets.get(&id) {
            for (model, version) in &before.said.versions {
                let known = target.said.versions.entry(model.clone()).or_insert(*version);
                *known = (*known).max(*version);
            }
        }
        self.targets.insert(id, target);
    }

    /// Notes that an entry vanished.
    pub fn vanish(&mut self, now: Time, id: &str) {
        let lapse_window =
            self.store_away || self.store_back_at.is_some_and(|at| now.since(at) < LAPSE_MS);
        if !lapse_window {
            self.targets.remove(id);
        } else if let Some(target) = self.targets.get_mut(id) {
            target.lapsed = true;
        }
    }

    /// Notes the version that a target's own answer named.
    pub fn answered(&mut self, id: &str, model: &str, version: u64) {
        if let Some(target) = self.targets.get_mut(id) {
            let known = target.said.versions.entry(model.to_owned()).or_insert(version);
            *known = (*known).max(version);
        }
    }

    /// Notes whether the store can be reached.
    pub fn store(&mut self, now: Time, away: bool) {
        if self.store_away && !away {
            self.store_back_at = Some(now);
        }
        self.store_away = away;
    }

    /// Drops lapsed entries once the store has been back for long enough.
    pub fn expire(&mut self, now: Time) {
        let settled =
            !self.store_away && self.store_back_at.is_none_or(|at| now.since(at) >= LAPSE_MS);
        if settled {
            self.targets.retain(|_, target| !target.lapsed);
        }
    }

    /// Targets of a pool that take new work.
    pub fn usable<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Target> {
        let fits = move |target: &&Target| target.said.pool == pool && !target.said.draining;
        self.targets.values().filter(fits)
    }
}

//! Ownership of idempotency keys: which instance owns a key, and when it may
//! act as its owner.
//!
//! A key belongs to a failure domain, and within the domain to one instance,
//! which rendezvous hashing (Thaler and Ravishankar, 1998) selects from the
//! members of a [`Map`]. A map changes only through a record on the platform's
//! log. Each record names the map that it replaces; the fold accepts the first
//! record for a map and rejects the others. The record's offset is the new
//! map's epoch.
//!
//! A member acts in an epoch only between [`State::activate`] and reading a
//! newer map, and only while it holds a lease ([`State::lease_until`]). It
//! holds one if
//!
//! * a read of the log that was sent less than [`Config::lease_ms`] ago
//!   reached the end of the log and showed no newer map, or
//! * every other member has promised, in reply to a message sent less than
//!   `lease_ms` ago, that it knows no newer map, and the log was last read to
//!   its end less than [`Config::log_away_ms`] ago.
//!
//! A member of a newer map becomes active once it has received a [`Handoff`]
//! from every member that stays, or has waited for one until a timeout. If a
//! member was removed without handing over, it also waits until that member's
//! lease must have expired. For an earlier map of which no member stays, it
//! waits until `log_away_ms` after it read that the map was replaced. Keys
//! whose claims no remaining member knows are answered with "unknown" until
//! the callers' retry horizon has passed ([`ClaimLossCopy`]).
//!
//! Not part of this module: the claims themselves ([`crate::core::claim`]),
//! and when to propose a new map (the reducer decides that from membership).

mod handoff;
mod map;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{claim::Copy, id::Instance, time::Time};
use handoff::{ClaimLoss, Replaced};
pub use handoff::{ClaimLossCopy, Handoff, ReplacedCopy};
pub use map::{Map, Maps, Proposal};

/// Number of replaced maps that are remembered.
const HISTORY_LIMIT: usize = 64;

/// Durations that govern leases and hand-overs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Duration of a lease, from its confirmation, in milliseconds.
    pub lease_ms: u64,
    /// Allowance for clock drift that is added to every wait for another
    /// member's lease, in milliseconds.
    pub guard_ms: u64,
    /// How long members may renew their leases by promises alone while the log
    /// is unavailable, in milliseconds.
    pub log_away_ms: u64,
    /// The callers' retry horizon: how long they may send a key again, in
    /// milliseconds.
    pub horizon_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config { lease_ms: 3_000, guard_ms: 500, log_away_ms: 900_000, horizon_ms: 600_000 }
    }
}

/// One instance's state in the ownership protocol of its failure domain.
#[derive(Clone, Debug)]
pub struct State {
    config: Config,
    local: Instance,
    map: Map,
    read_at: Time,
    given: Option<Handoff>,
    first_read_at: Time,
    history: Vec<Replaced>,
    active: bool,
    last_active: Option<u64>,
    /// Earlier incarnations of this run, which were removed from the map. This
    /// run still has the claims that it made under them.
    former_ids: Vec<Instance>,
    received: BTreeMap<Instance, (Handoff, Time)>,
    claim_losses: Vec<ClaimLoss>,
    log_confirmed: Option<Time>,
    promises: BTreeMap<Instance, Time>,
}

impl State {
    /// Creates the state of an instance that has not read a map yet.
    #[must_use]
    pub fn new(local: Instance, config: Config) -> State {
        State {
            config,
            local,
            map: Map::default(),
            read_at: Time(0),
            given: None,
            first_read_at: Time(0),
            history: vec![],
            active: false,
            last_active: None,
            former_ids: vec![],
            received: BTreeMap::new(),
            claim_losses: vec![],
            log_confirmed: None,
            promises: BTreeMap::new(),
        }
    }

    /// Returns the newest map that was read.
    #[must_use]
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Returns this instance's id with its current incarnation.
    #[must_use]
    pub fn local(&self) -> &Instance {
        &self.local
    }

    /// Returns true if the hand-over is complete, so that this instance may
    /// make and copy claims in the map's epoch. To make a claim it must also
    /// hold the lease.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns true if this instance is a member of the newest map.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.map.members.contains(&self.local)
    }

    /// Installs a newer map and returns true if it was newer. The instance
    /// stops acting until it is activated again.
    ///
    /// An instance that was removed gets a higher incarnation
    /// ([`State::rejoin`]), under which it may be proposed again. A removed
    /// incarnation must never return: a hand-over could miss the claims that
    /// it made in between.
    pub fn install(&mut self, map: &Map, now: Time) -> bool {
        let first = self.map.members.is_empty();
        if !first && map.epoch <= self.map.epoch {
            return false;
        }
        let replaced = std::mem::replace(&mut self.map, map.clone());
        if first {
            self.first_read_at = now;
        } else {
            self.history.push(Replaced { map: replaced, at: now });
        }
        if self.history.len() > HISTORY_LIMIT {
            self.history.remove(0);
        }
        self.read_at = now;
        self.active = false;
        self.promises.clear();
        self.received.retain(|_, (handoff, _)| handoff.epoch >= map.epoch);
        self.given = None;
        true
    }

    /// Takes a higher incarnation if this one was removed from the map.
    /// Returns true if it did.
    pub fn rejoin(&mut self) -> bool {
        let removed = !self.is_member()
            && self.history.iter().any(|old| old.map.members.contains(&self.local));
        if removed {
            self.former_ids.push(self.local.clone());
            self.local.incarnation += 1;
        }
        removed
    }

    /// Returns the message with which this instance hands over to the map's
    /// members.
    ///
    /// It is created once an epoch, from the state before activation, and sent
    /// again until every member has it. It must not be created again after
    /// activation: claims of the new epoch are not to be inherited, and the
    /// last active epoch must stay the same.
    pub fn handoff(&mut self, copies: impl FnOnce() -> Vec<Copy>, now: Time) -> &Handoff {
        let losses = &self.claim_losses;
        let epoch = self.map.epoch;
        let last_active = self.last_active;
        let history = &self.history;
        let former = &self.former_ids;
        self.given.get_or_insert_with(|| Handoff {
            epoch,
            last_active,
            former_ids: former.clone(),
            history: history.iter().map(|old| old.copy(now)).collect(),
            copies: copies(),
            claim_losses: losses.iter().map(|loss| loss.copy(now)).collect(),
        })
    }

    /// Records a hand-over from `from`, for the current epoch or a later one.
    pub fn receive(&mut self, from: &Instance, handoff: &Handoff, now: Time) {
        let known = self.received.get(from).map(|(known, _)| known.epoch);
        let wanted =
            handoff.epoch > self.map.epoch || handoff.epoch == self.map.epoch && !self.active;
        if wanted && known < Some(handoff.epoch) {
            self.received.insert(from.clone(), (handoff.clone(), now));
        }
    }

    /// Activates the instance if the conditions in the module's documentation
    /// are met. Returns the copies of claims to keep, or `None` if it was not
    /// activated.
    pub fn activate(&mut self, now: Time) -> Option<Vec<Copy>> {
        if self.active || !self.is_member() || now < self.ready_at() {
            return None;
        }
        let unknown = self.lost_maps(now);
        let sources = self.sources();
        let epoch = self.map.epoch;
        let of_epoch = |_: &Instance, (handoff, _): &mut (Handoff, Time)| handoff.epoch == epoch;
        let received: BTreeMap<_, _> = self.received.extract_if(.., of_epoch).collect();
        for (map, until) in unknown {
            self.claim_losses.push(ClaimLoss { map, sources: sources.clone(), until });
        }
        let mut copies = vec![];
        for (handoff, received_at) in received.into_values() {
            let waited_ms = now.since(received_at);
            copies.extend(
                handoff
                    .copies
                    .into_iter()
                    .map(|copy| Copy { age_ms: copy.age_ms.saturating_add(waited_ms), ..copy }),
            );
            for loss in handoff.claim_losses {
                let until = received_at.after(loss.left_ms);
                self.claim_losses.push(ClaimLoss { map: loss.map, sources: loss.sources, until });
            }
        }
        self.claim_losses.retain(|loss| loss.until > now);
        self.active = true;
        self.last_active = Some(self.map.epoch);
        Some(copies)
    }

    /// Members whose hand-over this instance has, including itself and the
    /// earlier incarnations.
    fn sources(&self) -> BTreeSet<Instance> {
        let current = |(handoff, _): &(Handoff, Time)| handoff.epoch == self.map.epoch;
        let received = self.received.iter().filter(|(_, received)| current(received));
        let mut sources: BTreeSet<Instance> = self.former_ids.iter().cloned().collect();
        sources.insert(self.local.clone());
        for (from, (handoff, _)) in received {
            sources.insert(from.clone());
            sources.extend(handoff.former_ids.iter().cloned());
        }
        sources
    }

    /// Hand-overs for the current epoch. One for a later epoch may have
    /// arrived already, but it must be ignored until its map is read, because
    /// its claims are taken over only then.
    fn handoffs(&self) -> impl Iterator<Item = &(Handoff, Time)> {
        self.received.values().filter(|(handoff, _)| handoff.epoch == self.map.epoch)
    }

    /// The last epoch in which this instance or a member that handed over was
    /// active.
    fn last_active_known(&self) -> Option<u64> {
        let reported = self.handoffs().filter_map(|(handoff, _)| handoff.last_active);
        reported.chain(self.last_active).max()
    }

    /// Replaced maps under which claims may have been made that were not
    /// inherited yet: the last map known to have been active and all later
    /// ones. For each map, the earliest time at which its replacement was read
    /// counts.
    fn open_maps(&self) -> Vec<Replaced> {
        let last_active = self.last_active_known();
        let reported = self.handoffs().flat_map(|(handoff, received_at)| {
            handoff.history.iter().map(|old| Replaced {
                map: old.map.clone(),
                // A later replacement only makes claims count as lost for longer.
                at: received_at.before(old.ago_ms).unwrap_or(Time::EARLIEST),
            })
        });
        let mut maps: BTreeMap<u64, Replaced> = BTreeMap::new();
        for old in self.history.iter().cloned().chain(reported) {
            let epoch = old.map.epoch;
            let open = last_active.is_none_or(|active| epoch >= active);
            let earlier = maps.get(&epoch).is_none_or(|known| old.at < known.at);
            if open && earlier && epoch < self.map.epoch {
                maps.insert(epoch, old);
            }
        }
        maps.into_values().collect()
    }

    /// Maps under which claims may have been made that no member handed over,
    /// with the time until which callers may retry their keys.
    fn lost_maps(&self, now: Time) -> Vec<(Map, Time)> {
        let sources = self.sources();
        let horizon_ms = self.config.horizon_ms;
        let until = |old: &Replaced| {
            // If no member of a map has handed over, its members may renew
            // their leases by promises to each other, and go on making claims
            // for as long as the log may be unavailable.
            let is_fenced = !old.map.members.is_disjoint(&sources);
            let ends = if is_fenced { now } else { now.max(self.without_promises(old.at)) };
            ends.after(horizon_ms)
        };
        let open = self.open_maps().into_iter();
        let lost = open.filter(|old| !old.map.members.is_subset(&sources));
        let mut maps: Vec<(Map, Time)> = lost.map(|old| (old.map.clone(), until(&old))).collect();
        if !self.reaches_back() {
            // It is not known which members acted before. A map without
            // members covers no key, so the claims on every key count as lost.
            maps.push((Map::default(), now.after(horizon_ms)));
        }
        maps
    }

    /// Returns true if the open maps are contiguous back to an epoch whose
    /// claims are known: the last active one, or that of the first map ever.
    fn reaches_back(&self) -> bool {
        let maps = self.open_maps();
        let Some(oldest) = maps.first() else {
            return self.map.base.is_none();
        };
        let links = maps.iter().skip(1).map(|old| old.map.base).chain([self.map.base]);
        let unbroken = maps.iter().zip(links).all(|(old, base)| base == Some(old.map.epoch));
        let rooted =
            oldest.map.base.is_none() || self.last_active_known() == Some(oldest.map.epoch);
        unbroken && rooted
    }

    /// Returns when this instance may become active if no other hand-over
    /// arrives.
    #[must_use]
    pub fn ready_at(&self) -> Time {
        let sources = self.sources();
        let last_handoff = self.handoffs().map(|(_, at)| *at).max().unwrap_or(self.read_at);
        let last_handoff = last_handoff.max(self.read_at);
        let mut ready_at = last_handoff;
        for old in self.open_maps() {
            // The waits for all maps start at the same time and do not add up.
            ready_at = ready_at.max(self.fenced_at(&old, &sources, last_handoff));
        }
        if !self.reaches_back() {
            // Maps that no member reported were replaced before this instance
            // read its first map.
            ready_at = ready_at.max(self.without_promises(self.first_read_at));
        }
        ready_at
    }

    /// When no member of a replaced map can act any longer, given that the
    /// last hand-over arrived at `last_handoff`.
    fn fenced_at(&self, old: &Replaced, sources: &BTreeSet<Instance>, last_handoff: Time) -> Time {
        let members = &old.map.members;
        let fence_ms = self.config.lease_ms + self.config.guard_ms;
        let mut staying = members.intersection(&self.map.members);
        if !staying.all(|member| sources.contains(member)) {
            // That member may be cut off only from this instance, in which
            // case no newer map will exclude it. Claims that only it knows
            // count as lost.
            return last_handoff.after(fence_ms + self.config.lease_ms);
        }
        if members.is_subset(sources) {
            return last_handoff;
        }
        match members.is_disjoint(sources) {
            // A member that has handed over makes no more promises.
            false => last_handoff.after(fence_ms),
            true => self.without_promises(old.at),
        }
    }

    /// When members that may renew their leases by promises to each other can
    /// no longer do so, given that a newer map was on the log at `read_at`.
    fn without_promises(&self, read_at: Time) -> Time {
        read_at.after(self.config.log_away_ms + self.config.guard_ms)
    }

    /// Records that a read of the log that was sent at `sent` reached the end
    /// and that all maps it showed are installed.
    ///
    /// A newer map can only have been appended after `sent`, so a lease that
    /// counts from `sent` expires before a reader of that map may act.
    pub fn confirm_by_log(&mut self, sent: Time) {
        self.log_confirmed = self.log_confirmed.max(Some(sent));
    }

    /// Records a peer's promise: in reply to a message sent at `sent`, it
    /// reported that it knows no newer map than that of `epoch`.
    pub fn confirm_by_peer(&mut self, from: &Instance, epoch: u64, sent: Time) {
        if epoch == self.map.epoch && sent >= self.read_at {
            let promise = self.promises.entry(from.clone()).or_insert(sent);
            *promise = sent.max(*promise);
        }
    }

    /// Returns until when this instance may act as an owner; a time in the
    /// past if it may not.
    #[must_use]
    pub fn lease_until(&self) -> Time {
        let Some(log_confirmed) = self.log_confirmed else {
            return Time(0);
        };
        if !self.active {
            return Time(0);
        }
        let by_log = log_confirmed.after(self.config.lease_ms);
        let others = self.map.members.iter().filter(|member| **member != self.local);
        let oldest = others.map(|member| self.promises.get(member).copied()).min();
        let by_promise = match oldest {
            None => log_confirmed.after(self.config.log_away_ms),
            Some(None) => Time(0),
            Some(Some(promise)) => promise
                .after(self.config.lease_ms)
                .min(log_confirmed.after(self.config.log_away_ms)),
        };
        by_log.max(by_promise)
    }

    /// Returns true if claims on `key` may have been lost.
    #[must_use]
    pub fn may_have_lost_claims(&self, key: &str, now: Time) -> bool {
        self.claim_losses
            .iter()
            .any(|loss| loss.until > now && !loss.map.covers(key, &loss.sources))
    }

    /// Forgets lost claims whose keys callers no longer retry.
    pub fn expire(&mut self, now: Time) {
        self.claim_losses.retain(|loss| loss.until > now);
    }
}

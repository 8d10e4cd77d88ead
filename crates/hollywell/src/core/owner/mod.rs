//! Which instance owns an idempotency key, and when it may act on it.
//!
//! Keys belong to a failure domain, and within it to one instance by
//! rendezvous hashing (Thaler and Ravishankar, 1998) over a [`Map`] of
//! members. Maps change only by a record on the platform's log: each names
//! the map that it replaces, and the fold takes the first and rejects the
//! rest. The record's offset is the map's epoch.
//!
//! A member acts in an epoch only between [`State::activate`] and reading of
//! a newer map, and only while it holds a lease ([`State::lease_until`]):
//!
//! * a read of the log that reached its end and was sent less than
//!   [`Config::lease_ms`] ago showed no newer map, or
//! * every other member has said, in answer to a message sent less than
//!   `lease_ms` ago, that it knows no newer map, and the log was reached
//!   less than [`Config::log_away_ms`] ago.
//!
//! A member of a newer map becomes active once it has heard a [`Handoff`]
//! from every member that stays, or has waited for it in vain for a while,
//! and, if a member that did not hand over was removed, once that one's lease
//! must have run out. For an earlier map of
//! which no member stays it waits until `log_away_ms` after it read that the
//! map was replaced. Keys of which nobody left knows anything
//! are answered "unknown" for the callers' retry horizon ([`ClaimLossCopy`]).
//!
//! What it leaves out: the claims themselves ([`crate::core::claim`]), and
//! when to propose a new map (the reducer does, from membership).

mod handoff;
mod map;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{claim::Copy, id::Instance, time::Time};
use handoff::{ClaimLoss, Replaced};
pub use handoff::{ClaimLossCopy, Handoff, ReplacedCopy};
pub use map::{Map, Maps, Proposal};

/// How many replaced maps are remembered.
const HISTORY_LIMIT: usize = 64;

/// Times that ownership is held and handed over by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// How long one confirmation lets a member act, in milliseconds.
    pub lease_ms: u64,
    /// Added to every wait for another's lease, for clock drift, in
    /// milliseconds.
    pub guard_ms: u64,
    /// How long members may go on by promises alone while the log is away,
    /// in milliseconds.
    pub log_away_ms: u64,
    /// How long callers may send a key again, in milliseconds.
    pub horizon_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config { lease_ms: 3_000, guard_ms: 500, log_away_ms: 900_000, horizon_ms: 600_000 }
    }
}

/// One instance's place in its own failure domain's ownership.
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
    /// Incarnations under which this run was removed. What they knew it
    /// knows still.
    former_ids: Vec<Instance>,
    received: BTreeMap<Instance, (Handoff, Time)>,
    claim_losses: Vec<ClaimLoss>,
    log_confirmed: Option<Time>,
    promises: BTreeMap<Instance, Time>,
}

impl State {
    /// An instance that has read no map yet.
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

    /// The newest map that was read.
    #[must_use]
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// This instance, with the incarnation under which it takes part.
    #[must_use]
    pub fn local(&self) -> &Instance {
        &self.local
    }

    /// True if this instance may make and copy claims in the map's epoch,
    /// as far as hand-over goes. Making one also takes the lease.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// True if this instance has a place in the newest map.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.map.members.contains(&self.local)
    }

    /// Takes a newer map: the instance stops acting until it is active again.
    ///
    /// Returns true if the map was newer. An instance that was removed takes
    /// a higher incarnation, under which it may be proposed again: a removed
    /// incarnation must never return, or a hand-over could miss what it did
    /// in between.
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

    /// Moves to a higher incarnation after a removal. Returns true if it did.
    pub fn rejoin(&mut self) -> bool {
        let removed = !self.is_member()
            && self.history.iter().any(|old| old.map.members.contains(&self.local));
        if removed {
            self.former_ids.push(self.local.clone());
            self.local.incarnation += 1;
        }
        removed
    }

    /// What this instance hands over to the map's members.
    ///
    /// It is made once an epoch, from what was known before activation, and
    /// repeated until every member has it: claims made in the new epoch are
    /// no member's to inherit, and the last active epoch must not move.
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

    /// Notes a hand-over heard from `from`, for this epoch or a later one.
    pub fn receive(&mut self, from: &Instance, handoff: &Handoff, now: Time) {
        let known = self.received.get(from).map(|(known, _)| known.epoch);
        let wanted =
            handoff.epoch > self.map.epoch || handoff.epoch == self.map.epoch && !self.active;
        if wanted && known < Some(handoff.epoch) {
            self.received.insert(from.clone(), (handoff.clone(), now));
        }
    }

    /// Becomes active if all that the module's text asks for has come about.
    ///
    /// Returns the copies of claims to keep, or `None` if it is not time.
    pub fn activate(&mut self, now: Time) -> Option<Vec<Copy>> {
        if self.active || !self.is_member() || now < self.ready_at() {
            return None;
        }
        let unknown = self.lost_maps(now);
        let sources = self.sources();
        let epoch = self.map.epoch;
        let of_epoch = |_: &Instance, (handoff, _): &mut (Handoff, Time)| handoff.epoch == epoch;
        let heard: BTreeMap<_, _> = self.received.extract_if(.., of_epoch).collect();
        for (map, until) in unknown {
            self.claim_losses.push(ClaimLoss { map, sources: sources.clone(), until });
        }
        let mut copies = vec![];
        for (handoff, _) in heard.into_values() {
            copies.extend(handoff.copies);
            for loss in handoff.claim_losses {
                let until = now.after(loss.left_ms);
                self.claim_losses.push(ClaimLoss { map: loss.map, sources: loss.sources, until });
            }
        }
        self.claim_losses.retain(|loss| loss.until > now);
        self.active = true;
        self.last_active = Some(self.map.epoch);
        Some(copies)
    }

    /// Members whose hand-over this instance has, itself included.
    fn sources(&self) -> BTreeSet<Instance> {
        let current = |(handoff, _): &(Handoff, Time)| handoff.epoch == self.map.epoch;
        let heard = self.received.iter().filter(|(_, heard)| current(heard));
        let mut sources: BTreeSet<Instance> = self.former_ids.iter().cloned().collect();
        sources.insert(self.local.clone());
        for (from, (handoff, _)) in heard {
            sources.insert(from.clone());
            sources.extend(handoff.former_ids.iter().cloned());
        }
        sources
    }

    /// Hand-overs for the current epoch. One for a later epoch may have come
    /// already; nothing may be concluded from it before its map is read,
    /// because its claims are taken only then.
    fn handoffs(&self) -> impl Iterator<Item = &(Handoff, Time)> {
        self.received.values().filter(|(handoff, _)| handoff.epoch == self.map.epoch)
    }

    /// The last epoch known to have been acted in, by anyone heard.
    fn last_active_known(&self) -> Option<u64> {
        let heard = self.handoffs().filter_map(|(handoff, _)| handoff.last_active);
        heard.chain(self.last_active).max()
    }

    /// Replaced maps in which claims may have been made that were not
    /// inherited yet: from the last one known to be active onwards. Of one
    /// map the earliest reading of its replacement counts.
    fn open_maps(&self) -> Vec<Replaced> {
        let last_active = self.last_active_known();
        let told = self.handoffs().flat_map(|(handoff, heard_at)| {
            handoff.history.iter().map(|old| Replaced {
                map: old.map.clone(),
                at: Time(heard_at.0.saturating_sub(old.ago_ms)),
            })
        });
        let mut maps: BTreeMap<u64, Replaced> = BTreeMap::new();
        for old in self.history.iter().cloned().chain(told) {
            let epoch = old.map.epoch;
            let open = last_active.is_none_or(|active| epoch >= active);
            let earlier = maps.get(&epoch).is_none_or(|known| old.at < known.at);
            if open && earlier && epoch < self.map.epoch {
                maps.insert(epoch, old);
            }
        }
        maps.into_values().collect()
    }

    /// Maps in which claims may have been made that nobody handed over, with
    /// the time until which callers may send their keys.
    fn lost_maps(&self, now: Time) -> Vec<(Map, Time)> {
        let sources = self.sources();
        let horizon_ms = self.config.horizon_ms;
        let until = |old: &Replaced| {
            // Where no member has handed over, they may promise to each other
            // and go on making claims for as long as the log may be away.
            let is_fenced = !old.map.members.is_disjoint(&sources);
            let ends = if is_fenced { now } else { now.max(self.without_promises(old.at)) };
            ends.after(horizon_ms)
        };
        let open = self.open_maps().into_iter();
        let lost = open.filter(|old| !old.map.members.is_subset(&sources));
        let mut maps: Vec<(Map, Time)> = lost.map(|old| (old.map.clone(), until(&old))).collect();
        if !self.reaches_back() {
            // Nothing is known of who acted before: a map without members
            // covers no key, so every key is unknown.
            maps.push((Map::default(), now.after(horizon_ms)));
        }
        maps
    }

    /// True if the open maps leave no gap back to an epoch whose claims are
    /// known: the last active one, or the first map ever.
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

    /// When this instance may become active, if no other hand-over comes.
    #[must_use]
    pub fn ready_at(&self) -> Time {
        let sources = self.sources();
        let last_heard = self.handoffs().map(|(_, at)| *at).max().unwrap_or(self.read_at);
        let heard = last_heard.max(self.read_at);
        let mut ready_at = heard;
        for old in self.open_maps() {
            // Every map's wait starts at the same time: they do not add up.
            ready_at = ready_at.max(self.fenced_at(&old, &sources, heard));
        }
        if !self.reaches_back() {
            // Maps that nobody told of were replaced before the first map
            // that was read here.
            ready_at = ready_at.max(self.without_promises(self.first_read_at));
        }
        ready_at
    }

    /// When no member of a replaced map acts any longer, given that the last
    /// hand-over came at `heard`.
    fn fenced_at(&self, old: &Replaced, sources: &BTreeSet<Instance>, heard: Time) -> Time {
        let members = &old.map.members;
        let fence_ms = self.config.lease_ms + self.config.guard_ms;
        let mut staying = members.intersection(&self.map.members);
        if !staying.all(|member| sources.contains(member)) {
            // It may be cut off from here alone, and then no newer map will
            // come that leaves it out. Keys that only it knows are lost.
            return heard.after(fence_ms + self.config.lease_ms);
        }
        if members.is_subset(sources) {
            return heard;
        }
        match members.is_disjoint(sources) {
            // A member that has handed over had stopped promising by then.
            false => heard.after(fence_ms),
            true => self.without_promises(old.at),
        }
    }

    /// When members that may all still promise to each other have been
    /// without the log for too long, if a newer map was there at `read_at`.
    fn without_promises(&self, read_at: Time) -> Time {
        read_at.after(self.config.log_away_ms + self.config.guard_ms)
    }

    /// Notes that a read of the log, sent at `sent`, reached its end and
    /// that every map it showed is installed.
    ///
    /// A newer map can only have been appended after `sent`, so a lease that
    /// is counted from `sent` runs out before whoever reads that map may act.
    pub fn confirm_by_log(&mut self, sent: Time) {
        self.log_confirmed = self.log_confirmed.max(Some(sent));
    }

    /// Notes a peer's promise: in answer to a message sent at `sent` it said
    /// that it knows no newer map than that of `epoch`.
    pub fn confirm_by_peer(&mut self, from: &Instance, epoch: u64, sent: Time) {
        if epoch == self.map.epoch && sent >= self.read_at {
            let promise = self.promises.entry(from.clone()).or_insert(sent);
            *promise = sent.max(*promise);
        }
    }

    /// Until when this instance may act as an owner; the past if it may not.
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

    /// True if claims on `key` may have been lost.
    #[must_use]
    pub fn may_have_lost_claims(&self, key: &str, now: Time) -> bool {
        self.claim_losses
            .iter()
            .any(|loss| loss.until > now && !loss.map.covers(key, &loss.sources))
    }

    /// Drops what no caller can ask for any longer.
    pub fn expire(&mut self, now: Time) {
        self.claim_losses.retain(|loss| loss.until > now);
    }
}

//! Heartbeats, ownership of the failure domain's keys, and control messages.

use std::collections::BTreeSet;

use super::State;
use crate::core::{
    effect::Counted,
    event::Message,
    id::Instance,
    member::{Peer, Reading},
    owner::Proposal,
    stream::Record,
    time::Time,
};

impl State {
    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self) {
        let message = Message::Heartbeat {
            sent: self.now,
            next: self.fold.state().next,
            leaving: self.members.leaving(),
            demand: self.demand(),
        };
        let mut due = vec![];
        for peer in self.members.peers.values_mut() {
            let is_local = peer.listed.domain == self.config.domain;
            let interval_ms = match is_local {
                true => self.config.heartbeat_ms,
                false => self.config.remote_heartbeat_ms,
            };
            if peer.heartbeat_sent_at.is_none_or(|at| self.now.since(at) >= interval_ms) {
                peer.heartbeat_sent_at = Some(self.now);
                due.push(peer.listed.address.clone());
            }
        }
        for address in due {
            self.send(&address, message.clone());
        }
    }

    pub(super) fn on_message(&mut self, from: &Instance, message: &Message) {
        match message {
            Message::Heartbeat { sent, next, leaving, demand } => {
                if let Some(peer) = self.members.peers.get_mut(&from.name) {
                    peer.demand = *demand;
                }
                self.on_heartbeat(from, *sent, *next, leaving);
            }
            Message::Echo { sent, epoch, reading, next, draining } => {
                self.on_echo(from, *sent, *epoch, reading.as_ref(), *draining);
                self.record_offset(from, *next);
            }
            Message::Claim { epoch, key, digest } => self.on_claim(from, *epoch, key, *digest),
            Message::Claimed { epoch, key } => self.on_claimed(from, *epoch, key),
            Message::Handoff(handoff) => {
                self.owner.receive(from, handoff, self.now);
                self.activate();
            }
            Message::Pull => {
                let snapshot = Box::new(self.fold.state().clone());
                self.send_to(from, Message::Push(snapshot));
            }
            Message::Push(snapshot) => self.on_push(snapshot),
        }
    }

    fn on_heartbeat(&mut self, from: &Instance, sent: Time, next: u64, leaving: &[String]) {
        for name in leaving {
            self.members.mark_leaving(name);
        }
        self.record_offset(from, next);
        let echo = Message::Echo {
            sent,
            epoch: self.owner.map().epoch,
            reading: self.reading(),
            next: self.fold.state().next,
            draining: self.draining.is_some(),
        };
        self.send_to(from, echo);
    }

    fn on_echo(
        &mut self,
        from: &Instance,
        sent: Time,
        epoch: u64,
        reading: Option<&Reading>,
        draining: bool,
    ) {
        let now = self.now;
        let Some(peer) = self.members.peers.get_mut(&from.name) else {
            return;
        };
        let is_older = peer.instance.as_ref().is_some_and(|known| known > from);
        if is_older {
            return;
        }
        peer.instance = Some(from.clone());
        peer.last_seen_at = Some(now);
        peer.draining = draining;
        let is_local = peer.listed.domain == self.config.domain;
        if let Some(reading) = reading {
            peer.record_reading(reading, now);
        }
        if is_local {
            // A later reading is that of an earlier run, whose clock this is not.
            if sent <= now {
                self.owner.confirm_by_peer(from, epoch, sent);
            }
            let active_epoch = reading.map(|reading| reading.epoch);
            if active_epoch != Some(self.owner.map().epoch) {
                self.hand_over_to(from);
            }
        }
    }

    pub(super) fn record_reading(&mut self, reading: &Reading) {
        if let Some(peer) = self.members.peers.get_mut(&reading.from.name) {
            peer.record_reading(reading, self.now);
        }
    }

    fn record_offset(&mut self, from: &Instance, next: u64) {
        if let Some(peer) = self.members.peers.get_mut(&from.name) {
            peer.next = next;
        }
    }

    /// Installs the newest map of the failure domain.
    pub(super) fn install_map(&mut self) {
        let maps = &self.fold.state().maps.0;
        let Some(map) = maps.get(&self.config.domain).cloned() else {
            return;
        };
        if !self.owner.install(&map, self.now) {
            return;
        }
        self.proposed_at = None;
        self.abandon_claims();
        for member in &map.members {
            self.hand_over_to(member);
        }
        if self.draining.is_none() {
            self.owner.rejoin();
        }
        self.activate();
    }

    fn hand_over_to(&mut self, to: &Instance) {
        if *to == *self.owner.local() || self.owner.map().members.is_empty() {
            return;
        }
        let (claims, now) = (&self.claims, self.now);
        let handoff = self.owner.handoff(|| claims.copies(now), now).clone();
        self.send_to(to, Message::Handoff(handoff));
    }

    fn activate(&mut self) {
        let Some(copies) = self.owner.activate(self.now) else {
            return;
        };
        for copy in &copies {
            self.claims.keep(copy, self.now);
        }
        self.refusals += 1;
        self.activated_order = self.refusals;
        self.count(Counted::Activation);
    }

    /// Activates this instance when it may be, and proposes a new map when the
    /// live instances differ from the map's members.
    pub(super) fn tick_ownership(&mut self) {
        self.activate();
        let desired = self.desired_members();
        if desired != self.desired.0 {
            self.desired = (desired, self.now);
        }
        let settled = self.now.since(self.desired.1) >= self.config.settle_ms;
        let is_recent = |at: Time| self.now.since(at) < self.config.heartbeat_ms * 2;
        let is_pending = self.proposed_at.is_some_and(is_recent);
        let is_unchanged = self.desired.0 == self.owner.map().members;
        if !settled || is_pending || is_unchanged || !self.may_propose() {
            return;
        }
        let members = self.desired.0.clone();
        let base = self.fold.state().maps.0.get(&self.config.domain).map(|map| map.epoch);
        let domain = self.config.domain.clone();
        self.proposed_at = Some(self.now);
        self.append(Record::Proposal(Proposal { domain, base, members }));
    }

    fn may_propose(&self) -> bool {
        let is_current = self.log_read && !self.fold.has_gap();
        let first = self.desired.0.first();
        let is_leaving = self.draining.is_some() && self.owner.is_member();
        is_current
            && (is_leaving || first == Some(self.owner.local()))
            && !self.desired.0.is_empty()
    }

    /// The instances of this failure domain that should share its keys.
    fn desired_members(&self) -> BTreeSet<Instance> {
        let is_candidate = |peer: &&Peer| {
            peer.listed.domain == self.config.domain && self.is_live(peer) && !peer.draining
        };
        let peers = self.members.peers.values().filter(is_candidate);
        let mut desired: BTreeSet<Instance> =
            peers.filter_map(|peer| peer.instance.clone()).collect();
        if self.draining.is_none() {
            desired.insert(self.owner.local().clone());
        }
        desired
    }
}

//! Keyed calls: a key runs at most once, whichever instances its sends reach.
//!
//! The instance that receives a call, its entry, forwards it to the key's
//! owner. The owner claims the key, has a replica store a copy of the claim,
//! and only then dispatches. Only the owner may report "not run". It numbers
//! each such refusal, so that a send that reached its entry before the refusal
//! never runs after it. All other instances report "unknown", after which it
//! is safe to send the same key again.

use super::{Path, PendingCopy, Purpose, State};
use crate::{
    core::{
        claim::{Phase, Verdict},
        effect::{Counted, Effect, Reply},
        event::{Call, End, Forward, ForwardResult, Message},
        id::{Dispatch, Instance, Request},
        member::Reading,
        time::Time,
    },
    error::Kind,
};

use super::Pending;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of attempts to forward a call to its owner.
const MAX_FORWARDS: u32 = 3;
/// Number of refusals whose times are remembered, to determine which of them
/// precede a local caller's send.
const MAX_REFUSED_AT: usize = 256;

impl State {
    /// Accepts a keyed call at its entry.
    pub(super) fn accept_keyed(&mut self, request: Request, arrived: Time, key: &str) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let home = self.home_of(&pending.call, key);
        let map = self.fold.state().maps.0.get(&home);
        let owner = map.and_then(|map| map.owner(key)).cloned();
        let epoch = map.map(|map| map.epoch);
        match (owner, epoch) {
            (Some(owner), Some(epoch)) if owner == *self.owner.local() => {
                let seen = self.refusals_before(arrived);
                self.judge_as_owner(request, epoch, seen);
            }
            (Some(owner), Some(epoch)) => self.forward(request, arrived, &owner, epoch),
            _ => self.refuse(request, Kind::Unverified),
        }
    }

    /// Returns the failure domain that a key belongs to: the one named by the
    /// caller, or else one selected by a hash of the key.
    fn home_of(&self, call: &Call, key: &str) -> String {
        let domains = &self.config.domains;
        let named = call.home.as_ref().filter(|home| domains.contains(home));
        if let Some(home) = named {
            return home.clone();
        }
        let count = domains.len().max(1) as u64;
        let index = xxh3_64(key.as_bytes()) % count;
        let by_hash = usize::try_from(index).ok().and_then(|index| domains.get(index));
        by_hash.unwrap_or(&self.config.domain).clone()
    }

    fn forward(&mut self, request: Request, arrived: Time, owner: &Instance, epoch: u64) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let peer = self.members.peers.get(&owner.name);
        let current = |reading: &Reading| reading.from == *owner && reading.epoch == epoch;
        let active = peer.filter(|peer| peer.reading().is_some_and(current));
        let clock = active.and_then(|peer| peer.clock_at(self.now));
        let (Some(peer), Some(clock)) = (active, clock) else {
            self.refuse(request, Kind::Unverified);
            return;
        };
        let forward = Forward {
            call: pending.call.clone(),
            owner: owner.clone(),
            epoch,
            seen: peer.refusals_before(arrived, owner, epoch),
            until: clock.after(pending.deadline.since(self.now)),
        };
        let address = peer.listed.address.clone();
        let path = Path::Forwarded { forward: forward.clone(), address: address.clone(), tries: 1 };
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.path = path;
        }
        self.emit(Effect::Forward { request, address, forward });
    }

    pub(super) fn on_forward_ended(&mut self, request: Request, result: Option<&ForwardResult>) {
        if let Some(reading) = result.and_then(|result| result.reading.as_ref()) {
            self.record_reading(reading);
        }
        match result.map(|result| result.refused) {
            Some(None) => self.reply(request, Reply::Relayed),
            Some(Some(kind)) => self.refuse(request, kind),
            None => self.forward_again(request),
        }
    }

    /// Forwards a call to the same owner again after a broken exchange. That
    /// is safe, because the owner knows by the key whether it ran. The call
    /// must not go to a new owner instead: this instance cannot know which of
    /// the new owner's refusals preceded the call.
    fn forward_again(&mut self, request: Request) {
        let now = self.now;
        let Some(Pending { path, deadline, .. }) = self.pending.get_mut(&request) else {
            return;
        };
        let Path::Forwarded { forward, address, tries } = path else {
            return;
        };
        *tries += 1;
        if *tries > MAX_FORWARDS || now >= *deadline {
            self.refuse(request, Kind::Unverified);
            return;
        }
        let (address, forward) = (address.clone(), forward.clone());
        self.emit(Effect::Forward { request, address, forward });
    }

    /// Handles a call that a peer forwarded.
    pub(super) fn on_forwarded(&mut self, request: Request, forward: &Forward) {
        let call = forward.call.clone();
        let pending = Pending { call, deadline: forward.until, path: Path::Owned };
        self.pending.insert(request, pending);
        let is_addressee = forward.owner == *self.owner.local() && forward.call.key.is_some();
        if is_addressee && !self.exited {
            self.judge_as_owner(request, forward.epoch, forward.seen);
        } else {
            self.refuse(request, Kind::Unverified);
        }
    }

    /// Returns true if this instance may act as an owner in `epoch`.
    fn may_act(&self, epoch: u64) -> bool {
        epoch == self.owner.map().epoch && self.now < self.owner.lease_until()
    }

    /// Judges a call as the owner of its key.
    fn judge_as_owner(&mut self, request: Request, epoch: u64, seen: u64) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.path = Path::Owned;
        let (call, until) = (pending.call.clone(), pending.deadline);
        let key = call.key.clone().unwrap_or_default();
        let is_owner = self.owner.map().owner(&key) == Some(self.owner.local());
        if !is_owner || !self.may_act(epoch) || seen < self.activated_order {
            self.refuse(request, Kind::Unverified);
            return;
        }
        match self.claims.judge(&key, call.digest, seen, request) {
            Verdict::Fresh => self.claim(request, &key, &call, until),
            Verdict::Joined => {}
            Verdict::Replay(dispatch) => {
                self.count(Counted::Replay);
                self.reply(request, Reply::Stored(dispatch));
            }
            Verdict::Uncertain => self.refuse(request, Kind::OutcomeUnknown),
            Verdict::Superseded => self.refuse(request, Kind::Superseded),
            Verdict::Mismatch => self.refuse(request, Kind::KeyMismatch),
        }
    }

    fn claim(&mut self, request: Request, key: &str, call: &Call, until: Time) {
        if self.owner.may_have_lost_claims(key, self.now) {
            self.refuse(request, Kind::OutcomeUnknown);
            return;
        }
        self.claims.claim(key, call.digest, self.now, request);
        if let Some(kind) = self.refusal_by_owner(call, until) {
            self.refuse_key(key, kind);
            return;
        }
        let map = self.owner.map();
        let epoch = map.epoch;
        let Some(replica) = map.replica(key).cloned() else {
            self.dispatch_key(key, request, vec![], Kind::NoTarget);
            return;
        };
        let message = Message::Claim { epoch, key: key.to_owned(), digest: call.digest };
        self.send_to(&replica, message);
        let pending = PendingCopy { request, epoch, replica, since: self.now, until };
        self.pending_copies.insert(key.to_owned(), pending);
    }

    fn refusal_by_owner(&self, call: &Call, until: Time) -> Option<Kind> {
        if self.now >= until {
            return Some(Kind::DeadlinePassed);
        }
        if self.pending.len() > self.config.calls {
            return Some(Kind::Overloaded);
        }
        let exists = self.members.has_pool(&call.pool);
        (!exists).then_some(Kind::UnknownPool)
    }

    /// Refuses a claimed key as "not run" and numbers the refusal.
    fn refuse_key(&mut self, key: &str, kind: Kind) {
        self.refusals += 1;
        self.refused_at.push_back((self.now, self.refusals));
        if self.refused_at.len() > MAX_REFUSED_AT {
            self.refused_at.pop_front();
        }
        for request in self.claims.refuse(key, self.refusals, self.now) {
            self.refuse(request, kind);
        }
    }

    /// Number of refusals that were made before a local caller's send arrived.
    fn refusals_before(&self, arrived: Time) -> u64 {
        let later = self.refused_at.iter().find(|(at, _)| *at >= arrived);
        later.map_or(self.refusals, |(_, order)| order - 1)
    }

    /// Handles a peer's request to store a copy of its claim.
    pub(super) fn on_claim(&mut self, from: &Instance, epoch: u64, key: &str, digest: u64) {
        let map = self.owner.map();
        let is_replica = self.owner.is_active()
            && map.epoch == epoch
            && map.owner(key) == Some(from)
            && map.replica(key) == Some(self.owner.local());
        if !is_replica {
            return;
        }
        let copy = crate::core::claim::Copy { key: key.to_owned(), digest, age_ms: 0 };
        self.claims.keep(&copy, self.now);
        self.send_to(from, Message::Claimed { epoch, key: key.to_owned() });
    }

    /// Dispatches a claimed key once the replica has confirmed its copy.
    pub(super) fn on_claimed(&mut self, from: &Instance, epoch: u64, key: &str) {
        let expected = |pending: &&PendingCopy| pending.replica == *from && pending.epoch == epoch;
        let Some(pending) = self.pending_copies.get(key).filter(expected).cloned() else {
            return;
        };
        self.pending_copies.remove(key);
        if !self.may_act(epoch) {
            self.abandon_key(key, Kind::Unverified);
        } else if self.now >= pending.until {
            self.refuse_key(key, Kind::DeadlinePassed);
        } else {
            self.dispatch_key(key, pending.request, vec![], Kind::NoTarget);
        }
    }

    /// Gives up a claim that was not dispatched and that this instance may no
    /// longer decide about.
    fn abandon_key(&mut self, key: &str, kind: Kind) {
        for request in self.claims.advance(key, Phase::Uncertain, self.now) {
            self.refuse(request, kind);
        }
    }

    fn dispatch_key(&mut self, key: &str, request: Request, tried: Vec<String>, otherwise: Kind) {
        let Some(pending) = self.pending.get(&request) else {
            self.refuse_key(key, Kind::DeadlinePassed);
            return;
        };
        let (pool, deadline) = (pending.call.pool.clone(), pending.deadline);
        let Some(target) = self.choose_target(&pool, &tried) else {
            self.refuse_key(key, otherwise);
            return;
        };
        let mut tried = tried;
        tried.push(target.clone());
        let purpose = Purpose::Key { key: key.to_owned(), request, tried };
        let before = deadline.min(self.owner.lease_until());
        let dispatch = self.dispatch(&target, request, purpose, before, deadline);
        self.claims.advance(key, Phase::Running(dispatch), self.now);
    }

    /// Handles the end of an attempt for a key.
    pub(super) fn end_keyed(
        &mut self,
        key: &str,
        request: Request,
        tried: Vec<String>,
        dispatch: Dispatch,
        end: End,
    ) {
        match end {
            End::Answered => {
                let waiters = self.claims.advance(key, Phase::Done(dispatch), self.now);
                for request in waiters {
                    self.reply(request, Reply::Stored(dispatch));
                }
            }
            End::Broken => {
                for request in self.claims.advance(key, Phase::Uncertain, self.now) {
                    self.refuse(request, Kind::OutcomeUnknown);
                }
            }
            End::NotSent | End::NotRun => self.retry_key(key, request, tried),
        }
    }

    /// Tries another target after one that certainly did not run the request,
    /// if this instance may still act as the owner.
    fn retry_key(&mut self, key: &str, request: Request, tried: Vec<String>) {
        if !self.may_act(self.owner.map().epoch)
            || self.owner.map().owner(key) != Some(self.owner.local())
        {
            self.abandon_key(key, Kind::Unverified);
            return;
        }
        let expired = self.pending.get(&request).is_none_or(|p| self.now >= p.deadline);
        if expired || !self.budget.spend() {
            self.refuse_key(key, Kind::TargetRefused);
            return;
        }
        self.count(Counted::Retry);
        self.dispatch_key(key, request, tried, Kind::TargetRefused);
    }

    /// Refuses claims whose replica did not answer in time, repeats the request
    /// to the replica until then, and forgets claims that are older than the
    /// callers' retry horizon.
    pub(super) fn tick_claims(&mut self) {
        let pending_copies: Vec<(String, PendingCopy)> = self
            .pending_copies
            .iter()
            .map(|(key, pending)| (key.clone(), pending.clone()))
            .collect();
        for (key, pending) in pending_copies {
            if self.now.since(pending.since) >= self.config.replica_timeout_ms
                || self.now >= pending.until
            {
                self.pending_copies.remove(&key);
                let may_refuse = self.may_act(pending.epoch);
                match may_refuse {
                    true => self.refuse_key(&key, Kind::NoReplica),
                    false => self.abandon_key(&key, Kind::Unverified),
                }
                continue;
            }
            let digest = self.claims.get(&key).map(|claim| claim.digest).unwrap_or_default();
            let message = Message::Claim { epoch: pending.epoch, key, digest };
            self.send_to(&pending.replica, message);
        }
        for dispatch in self.claims.expire(self.now, self.config.ownership.horizon_ms) {
            self.emit(Effect::Forget { dispatch });
        }
        self.owner.expire(self.now);
    }

    /// Gives up all claims that were not dispatched, when the map changes.
    pub(super) fn abandon_claims(&mut self) {
        self.pending_copies.clear();
        for (_, waiters) in self.claims.abandon() {
            for request in waiters {
                self.refuse(request, Kind::Unverified);
            }
        }
    }
}

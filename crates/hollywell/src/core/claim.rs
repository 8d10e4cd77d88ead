//! Claims on idempotency keys: whether a keyed request runs, joins a running
//! one, is answered from memory, or is refused.
//!
//! [`Claims`] holds the claims that one instance knows: those that it made as
//! owner, those that it copied as replica, and those that it inherited at a
//! change of ownership.
//!
//! Not part of this module: which instance is the owner
//! ([`crate::core::owner`]), and the bytes of the answers, which the traffic
//! layer stores under the dispatch that produced them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{
    id::{Dispatch, Request},
    time::Time,
};

/// The state of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Made at this instance; the replica has not confirmed its copy yet.
    #[serde(rename = "asking")]
    Replicating,
    /// Dispatched to a target; the answer is pending.
    Running(Dispatch),
    /// A complete answer was received and is stored under this dispatch.
    Done(Dispatch),
    /// The request may have run, and no answer is stored here.
    Uncertain,
    /// Refused as "not run", with the number of the refusal. Sends whose entry
    /// did not know of that refusal yet must not run.
    Refused(u64),
}

/// What is known about a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of method, path and body, to distinguish a retry from a reused
    /// key.
    pub digest: u64,
    /// State of the claim.
    pub phase: Phase,
    /// When the claim entered this state.
    pub at: Time,
    /// Requests at this instance that wait for the answer.
    pub waiters: Vec<Request>,
}

/// What to do with a send of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No claim prevents a run: claim the key.
    Fresh,
    /// Another send is in progress: the request was added to its waiters.
    Joined,
    /// Answer with the stored result of this dispatch.
    Replay(Dispatch),
    /// The request may have run, and no answer is available.
    Uncertain,
    /// The send arrived at its entry before a refusal of the key was known
    /// there, and must not run.
    Superseded,
    /// The key was used for a different request.
    Mismatch,
}

/// A key and its digest, as handed from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// Idempotency key.
    pub key: String,
    /// Hash of the request.
    pub digest: u64,
    /// Milliseconds since the claim was made, on the sender's clock.
    pub age_ms: u64,
}

/// The claims that one instance knows, by key.
///
/// # Example
///
/// ```
/// use hollywell::core::{claim::{Claims, Verdict}, id::Request, time::Time};
///
/// let mut claims = Claims::default();
/// assert_eq!(claims.judge("k", 7, 4, Request(1)), Verdict::Fresh);
/// claims.claim("k", 7, Time(10), Request(1));
/// claims.refuse("k", 5, Time(20));
/// // A send that reached its entry before the refusal was known there must
/// // never run: the caller has been told that the key did not run.
/// assert_eq!(claims.judge("k", 7, 4, Request(2)), Verdict::Superseded);
/// assert_eq!(claims.judge("k", 7, 5, Request(3)), Verdict::Fresh);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    claims: BTreeMap<String, Claim>,
}

impl Claims {
    /// Judges a send of `key` whose entry knew of refusals up to number `seen`
    /// when the send arrived there.
    ///
    /// A send that joins a running one is added to its waiters; no other
    /// verdict changes the claims.
    pub fn judge(&mut self, key: &str, digest: u64, seen: u64, request: Request) -> Verdict {
        let Some(claim) = self.claims.get_mut(key) else {
            return Verdict::Fresh;
        };
        if claim.digest != digest {
            return Verdict::Mismatch;
        }
        match claim.phase {
            Phase::Replicating | Phase::Running(_) => {
                claim.waiters.push(request);
                Verdict::Joined
            }
            Phase::Done(dispatch) => Verdict::Replay(dispatch),
            Phase::Uncertain => Verdict::Uncertain,
            Phase::Refused(order) if seen >= order => Verdict::Fresh,
            Phase::Refused(_) => Verdict::Superseded,
        }
    }

    /// Claims a key for a request, before the replica has confirmed its copy.
    pub fn claim(&mut self, key: &str, digest: u64, now: Time, request: Request) {
        let claim = Claim { digest, phase: Phase::Replicating, at: now, waiters: vec![request] };
        self.claims.insert(key.to_owned(), claim);
    }

    /// Stores a copy of another instance's claim, unless a claim that may have
    /// run is known already.
    pub fn keep(&mut self, copy: &Copy, now: Time) {
        // A claim that counts as newer than it is only stays longer.
        let at = now.before(copy.age_ms).unwrap_or(Time::EARLIEST);
        let known = self.claims.get(&copy.key);
        if known.is_some_and(|claim| !matches!(claim.phase, Phase::Refused(_))) {
            return;
        }
        let claim = Claim { digest: copy.digest, phase: Phase::Uncertain, at, waiters: vec![] };
        self.claims.insert(copy.key.clone(), claim);
    }

    /// Moves a claim to `phase`. If that is a final state, returns the requests
    /// that waited for it.
    pub fn advance(&mut self, key: &str, phase: Phase, now: Time) -> Vec<Request> {
        let Some(claim) = self.claims.get_mut(key) else {
            return vec![];
        };
        let is_final = !matches!(phase, Phase::Replicating | Phase::Running(_));
        claim.phase = phase;
        claim.at = now;
        if is_final { std::mem::take(&mut claim.waiters) } else { vec![] }
    }

    /// Marks a key as refused, with `order` as the number of the refusal, and
    /// returns the requests that waited for it.
    pub fn refuse(&mut self, key: &str, order: u64, now: Time) -> Vec<Request> {
        self.advance(key, Phase::Refused(order), now)
    }

    /// Returns the claim on a key, if any.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Returns copies of all claims on keys that may have run, for a hand-over.
    ///
    /// Refused keys are omitted, because the receiver refuses all sends that
    /// arrived before its activation. Keys that were claimed here but not
    /// dispatched are omitted too: they certainly did not run.
    #[must_use]
    pub fn copies(&self, now: Time) -> Vec<Copy> {
        let may_have_run =
            |claim: &Claim| !matches!(claim.phase, Phase::Refused(_) | Phase::Replicating);
        self.claims
            .iter()
            .filter(|(_, claim)| may_have_run(claim))
            .map(|(key, claim)| Copy {
                key: key.clone(),
                digest: claim.digest,
                age_ms: now.since(claim.at),
            })
            .collect()
    }

    /// Removes all claims that were not dispatched yet, and returns their keys
    /// with the requests that waited for them.
    pub fn abandon(&mut self) -> Vec<(String, Vec<Request>)> {
        let keys: Vec<String> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.phase == Phase::Replicating)
            .map(|(key, _)| key.clone())
            .collect();
        keys.into_iter()
            .filter_map(|key| self.claims.remove(&key).map(|claim| (key, claim.waiters)))
            .collect()
    }

    /// Removes claims that are older than the callers' retry horizon, and
    /// returns the dispatches whose stored answers can be dropped.
    pub fn expire(&mut self, now: Time, horizon_ms: u64) -> Vec<Dispatch> {
        let mut expired = vec![];
        self.claims.retain(|_, claim| {
            let is_pending = matches!(claim.phase, Phase::Replicating | Phase::Running(_));
            let keep = is_pending || now.since(claim.at) < horizon_ms;
            if let (false, Phase::Done(dispatch)) = (keep, &claim.phase) {
                expired.push(*dispatch);
            }
            keep
        });
        expired
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true if there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

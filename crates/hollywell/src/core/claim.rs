//! Claims on idempotency keys: whether a keyed request runs, joins a running
//! one, is answered from memory, or is refused.
//!
//! A [`Claims`] is what one instance knows about keys. It holds claims of three
//! origins: made here as owner, copied here as replica, inherited at a change
//! of ownership. It leaves out who the owner is (see [`crate::core::owner`])
//! and the answers' bytes, which stay with the traffic side under the
//! dispatch that produced them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{
    id::{Dispatch, Request},
    time::Time,
};

/// How far a claim has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Made here; the replica has not confirmed its copy yet.
    #[serde(rename = "asking")]
    Replicating,
    /// Dispatched to a target; the answer is awaited.
    Running(Dispatch),
    /// A whole answer came back and is kept under this dispatch.
    Done(Dispatch),
    /// It may have run, and no answer is kept here.
    Uncertain,
    /// Refused as not run, as this number in the order of refusals here.
    /// Sends whose entry had not heard of that number must not run.
    Refused(u64),
}

/// What is known of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of method, path and body, to tell a re-send from a reused key.
    pub digest: u64,
    /// How far it has come.
    pub phase: Phase,
    /// When the phase was entered.
    pub at: Time,
    /// Requests at this instance that await the answer.
    pub waiters: Vec<Request>,
}

/// What to do with a send of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it: claim it.
    Fresh,
    /// Another send is under way: the request was added to its waiters.
    Joined,
    /// Answer with what this dispatch produced.
    Replay(Dispatch),
    /// It may have run, and there is no answer to give.
    Uncertain,
    /// The send arrived before an earlier refusal and must not run.
    Superseded,
    /// The key belongs to a different request.
    Mismatch,
}

/// A key and its digest, as handed from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The idempotency key.
    pub key: String,
    /// Hash of the request.
    pub digest: u64,
    /// Milliseconds since the claim was made, on the sender's clock.
    pub age_ms: u64,
}

/// The claims that one instance knows.
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
/// // A send that reached its entry before the refusal was heard of there
/// // must never run: the caller has been told that the key did not.
/// assert_eq!(claims.judge("k", 7, 4, Request(2)), Verdict::Superseded);
/// assert_eq!(claims.judge("k", 7, 5, Request(3)), Verdict::Fresh);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    claims: BTreeMap<String, Claim>,
}

impl Claims {
    /// Judges a send of `key` whose entry had heard of refusals up to the
    /// number `seen` before the send arrived there.
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

    /// Claims a key for a request, before its copy is confirmed.
    pub fn claim(&mut self, key: &str, digest: u64, now: Time, request: Request) {
        let claim = Claim { digest, phase: Phase::Replicating, at: now, waiters: vec![request] };
        self.claims.insert(key.to_owned(), claim);
    }

    /// Keeps another instance's claim. What is known here already stays.
    pub fn keep(&mut self, copy: &Copy, now: Time) {
        let at = Time(now.0.saturating_sub(copy.age_ms));
        let known = self.claims.get(&copy.key);
        if known.is_some_and(|claim| !matches!(claim.phase, Phase::Refused(_))) {
            return;
        }
        let claim = Claim { digest: copy.digest, phase: Phase::Uncertain, at, waiters: vec![] };
        self.claims.insert(copy.key.clone(), claim);
    }

    /// Moves a claim to `phase`, and returns the requests that awaited it
    /// if the phase is a final one.
    pub fn advance(&mut self, key: &str, phase: Phase, now: Time) -> Vec<Request> {
        let Some(claim) = self.claims.get_mut(key) else {
            return vec![];
        };
        let finished = !matches!(phase, Phase::Replicating | Phase::Running(_));
        claim.phase = phase;
        claim.at = now;
        if finished { std::mem::take(&mut claim.waiters) } else { vec![] }
    }

    /// Marks a key as refused, with `order` as the refusal's number, and
    /// returns who awaited it.
    pub fn refuse(&mut self, key: &str, order: u64, now: Time) -> Vec<Request> {
        self.advance(key, Phase::Refused(order), now)
    }

    /// What is known of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Everything that may have run, for a hand-over.
    ///
    /// Refused keys are left out, because the receiver refuses sends that
    /// arrived before its activation. Keys that were claimed here and never
    /// dispatched are left out too: they certainly did not run.
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

    /// Gives up every claim that was not dispatched yet, and returns the
    /// keys with the requests that awaited them.
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

    /// Forgets claims that are older than the callers' retry horizon, and
    /// returns the dispatches whose answers need not be kept any longer.
    pub fn expire(&mut self, now: Time, horizon_ms: u64) -> Vec<Dispatch> {
        let mut forgotten = vec![];
        self.claims.retain(|_, claim| {
            let live = matches!(claim.phase, Phase::Replicating | Phase::Running(_));
            let keep = live || now.since(claim.at) < horizon_ms;
            if let (false, Phase::Done(dispatch)) = (keep, &claim.phase) {
                forgotten.push(*dispatch);
            }
            keep
        });
        forgotten
    }

    /// Number of keys known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// True if no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

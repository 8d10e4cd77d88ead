//! The lease that entitles an instance to give orders to a failure domain's
//! engines.
//!
//! A grant is a record on the log; its offset is the fencing token that is sent
//! with every order. The holder counts the lease from before it sent the
//! record. A challenger counts from after it read the last renewal, and adds a
//! guard time for clock drift. Two instances may still both believe for a
//! moment that they hold the lease, because a pause between check and send
//! cannot be excluded. Orders are therefore safe to repeat and are compared
//! with what the targets report; targets that check the fencing token reject
//! the rest.
//!
//! Not part of this module: the orders themselves (the reducer compares desired
//! with observed versions).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{id::Instance, time::Time};

/// A claim to acquire or renew a lease, as a record on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Failure domain whose targets receive the orders.
    pub domain: String,
    /// Instance that claims the lease.
    pub holder: Instance,
    /// Offset of the last renewal that the claimant knew; `None` for the first
    /// claim.
    pub base: Option<u64>,
}

/// The holder of a lease, as folded from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The holder.
    pub holder: Instance,
    /// Offset of the grant; the fencing token of the holder's orders.
    pub fence: u64,
    /// Offset of the last renewal.
    pub renewed: u64,
}

/// The leases of all failure domains.
///
/// # Example
///
/// ```
/// use hollywell::core::{id::Instance, lease::{Claim, Leases}};
///
/// let claim = |name: &str, base| Claim {
///     domain: "boa-viagem".into(), holder: Instance::new(name, 1), base,
/// };
/// let mut leases = Leases::default();
/// assert!(leases.apply(3, &claim("a", None)));
/// assert!(leases.apply(8, &claim("a", Some(3))));
/// // A renewal keeps the fencing token. A challenger that had not read the
/// // renewal is rejected.
/// assert_eq!(leases.0["boa-viagem"].fence, 3);
/// assert!(!leases.apply(9, &claim("b", Some(3))));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Leases(pub BTreeMap<String, Grant>);

impl Leases {
    /// Folds the claim at `offset` and returns true if it was accepted.
    pub fn apply(&mut self, offset: u64, claim: &Claim) -> bool {
        let current = self.0.get(&claim.domain);
        if claim.base != current.map(|grant| grant.renewed) {
            return false;
        }
        let renews = current.filter(|grant| grant.holder == claim.holder);
        let fence = renews.map_or(offset, |grant| grant.fence);
        let grant = Grant { holder: claim.holder.clone(), fence, renewed: offset };
        self.0.insert(claim.domain.clone(), grant);
        true
    }
}

/// What an instance has to do about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append a claim, to renew the lease or to challenge its holder.
    Claim,
    /// Do nothing.
    Wait,
}

/// One instance's view of its failure domain's lease.
#[derive(Clone, Debug, Default)]
pub struct State {
    renewed: Option<u64>,
    read_at: Time,
    first_sent: Option<Time>,
    last_sent: Option<Time>,
    held_until: Time,
}

impl State {
    /// Records the current grant, as read from the log at `now`.
    pub fn observe(&mut self, local: &Instance, grant: &Grant, now: Time, lease_ms: u64) {
        if self.renewed == Some(grant.renewed) {
            return;
        }
        self.renewed = Some(grant.renewed);
        self.read_at = now;
        self.last_sent = None;
        // Any of the repeated claims may have been accepted, but none was sent
        // before the first.
        let sent = self.first_sent.take();
        if grant.holder != *local {
            self.held_until = Time(0);
        } else if let Some(sent) = sent {
            self.held_until = sent.after(lease_ms);
        }
    }

    /// Returns until when this instance may send orders; a time in the past if
    /// it may not.
    #[must_use]
    pub fn held_until(&self) -> Time {
        self.held_until
    }

    /// Returns whether to append a claim now. A renewal is due after a third of
    /// the lease, a challenge once the holder's lease must have expired.
    pub fn step(&mut self, is_holder: bool, now: Time, lease_ms: u64, guard_ms: u64) -> Step {
        let retry_at = self.last_sent.map(|sent| sent.after(lease_ms / 3));
        if retry_at.is_some_and(|at| now < at) {
            return Step::Wait;
        }
        let due = match (self.renewed, is_holder) {
            (None, _) => Time(0),
            (Some(_), true) => self.read_at.after(lease_ms / 3),
            (Some(_), false) => self.read_at.after(lease_ms + guard_ms),
        };
        if now < due {
            return Step::Wait;
        }
        self.first_sent.get_or_insert(now);
        self.last_sent = Some(now);
        Step::Claim
    }
}

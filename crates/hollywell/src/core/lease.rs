//! The lease on giving orders to a failure domain's engines.
//!
//! A grant is a record on the log, and its offset is the fencing number that
//! goes with every order. The holder counts its time from before it sent the
//! record; a challenger counts from after it read the last renewal, and adds
//! a guard for clock drift. Two instances may still both believe that they
//! hold it for a moment (a pause between check and send cannot be excluded),
//! so orders are made safe to repeat and are compared with what the target
//! reports; the fencing number settles the rest where targets check it.
//!
//! What it leaves out: the orders themselves (the reducer compares desired
//! with observed versions).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{id::Instance, time::Time};

/// A grant or a renewal, as a record on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The failure domain whose targets take the orders.
    pub domain: String,
    /// Who wants the lease.
    pub holder: Instance,
    /// Offset of the record that it follows: the last renewal that the
    /// claimant knew; `None` for the first.
    pub base: Option<u64>,
}

/// Who holds a lease, as folded from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The holder.
    pub holder: Instance,
    /// Offset of the grant; the fencing number of the holder's orders.
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
/// // A renewal keeps the fencing number; a challenger that had not read the
/// // renewal loses.
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

/// What to do about the lease now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append a claim, as a renewal or as a challenge.
    Claim,
    /// Nothing yet.
    Wait,
}

/// One instance's view of its failure domain's lease.
#[derive(Clone, Debug, Default)]
pub struct State {
    seen: Option<u64>,
    seen_at: Time,
    first_sent: Option<Time>,
    last_sent: Option<Time>,
    held_until: Time,
}

impl State {
    /// Notes the grant in force, as read from the log at `now`.
    pub fn observe(&mut self, me: &Instance, grant: &Grant, now: Time, lease_ms: u64) {
        if self.seen == Some(grant.renewed) {
            return;
        }
        self.seen = Some(grant.renewed);
        self.seen_at = now;
        self.last_sent = None;
        // Whichever of the repeated claims was accepted, none was sent
        // before the first.
        let sent = self.first_sent.take();
        if grant.holder != *me {
            self.held_until = Time(0);
        } else if let Some(sent) = sent {
            self.held_until = sent.after(lease_ms);
        }
    }

    /// Until when this instance may send orders; the past if it may not.
    #[must_use]
    pub fn held_until(&self) -> Time {
        self.held_until
    }

    /// Says whether to append a claim now: a renewal at a third of the
    /// lease, a challenge once the holder's lease must have run out.
    pub fn step(&mut self, is_holder: bool, now: Time, lease_ms: u64, guard_ms: u64) -> Step {
        let retry_at = self.last_sent.map(|sent| sent.after(lease_ms / 3));
        if retry_at.is_some_and(|at| now < at) {
            return Step::Wait;
        }
        let due = match (self.seen, is_holder) {
            (None, _) => Time(0),
            (Some(_), true) => self.seen_at.after(lease_ms / 3),
            (Some(_), false) => self.seen_at.after(lease_ms + guard_ms),
        };
        if now < due {
            return Step::Wait;
        }
        self.first_sent.get_or_insert(now);
        self.last_sent = Some(now);
        Step::Claim
    }
}

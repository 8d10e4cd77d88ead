//! A lease kept by compare-and-append on a partition of its own.
//!
//! Every grant and renewal names the partition's end, so that of two claims
//! one is refused. The offset of the grant is the fencing number: unique and
//! rising for as long as the partition lives, whatever of it has expired. The
//! holder counts its time from before it sent the claim; a challenger from
//! after it read the last one, and adds a guard.
//!
//! Engines also want orders of two holders to be some time apart
//! (`apart_ms`). So each claim says whether its holder may be giving orders
//! and how long ago it last did; a holder that has said that it gives none
//! says otherwise before it gives one. A successor then waits only for as
//! long as the last order requires, and not at all after a quiet holder.
//! Waiting out the full time after each change was the first version; with
//! instances restarted every two seconds engines got hardly any orders.
//!
//! An instance that restarts goes on with its own lease at once: its earlier
//! run has ended, and engines take both for one holder. It keeps apart only
//! from what other instances ordered, so each claim also says how
//! long ago that was. After all processes were killed and down for 0.5 s, the
//! first order came 0.2 s after their restart instead of 4.9 s (log of one
//! played day).
//!
//! [`crate::core::lease`] folds claims on the shared stream instead; this one
//! needs no history, which a platform that keeps records for seconds demands.

use serde::{Deserialize, Serialize};

use crate::core::{roster::instance, time::Time};

/// Drift of clocks and delay of timers that a challenger allows for, in
/// milliseconds.
const GUARD_MS: u64 = 200;
/// Time between the first claims of two instances, in milliseconds, so that
/// they do not all race.
const RANK_MS: u64 = 40;
/// Quiet time after which a holder says that it gives no orders, in
/// milliseconds: longer than the pause between two orders of one pass.
const QUIET_MS: u64 = 1_500;

/// A claim's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who claims.
    pub holder: String,
    /// Offset of the grant that this renews; `None` in a grant itself.
    pub renews: Option<u64>,
    /// Whether orders may follow this claim.
    pub orders: bool,
    /// Time since the last order to these engines that the claimant knows
    /// of, its own or an earlier holder's, in milliseconds; `None` if there
    /// was none.
    pub quiet_ms: Option<u64>,
    /// Time since the last order of another instance, in milliseconds; `None`
    /// if there was none.
    #[serde(default)]
    pub others_ms: Option<u64>,
    /// Whether the holder gives the lease up.
    pub released: bool,
}

/// How long things last.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a claim holds, in milliseconds.
    pub term_ms: u64,
    /// Time that must pass between orders of two holders, in milliseconds.
    pub apart_ms: u64,
}

/// One instance's view of a lease.
#[derive(Clone, Debug, Default)]
pub struct StoreLease {
    /// The partition's end, as last read; where to read on.
    pub end: u64,
    known: bool,
    last: Option<(Claim, Time)>,
    fence: Option<u64>,
    held_until: Time,
    orders_from: Time,
    /// When the last order was given, as far as is known here.
    ordered_at: Option<Time>,
    /// When another instance's last order was given, as far as is known here.
    others_at: Option<Time>,
    announced: bool,
}

impl StoreLease {
    /// Notes a claim read from the partition.
    pub fn read(&mut self, me: &str, now: Time, offset: u64, claim: &Claim) {
        self.end = self.end.max(offset + 1);
        let mine = claim.holder == me && claim.renews.is_some() && claim.renews == self.fence;
        if !mine {
            self.fence = None;
            self.held_until = Time(0);
        }
        self.last = Some((claim.clone(), now));
    }

    /// Notes that the partition was read to its end.
    pub fn read_to(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.known = true;
    }

    /// Whether this instance holds the lease, as far as it knows.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.fence.is_some()
    }

    /// Whether the last claim is that of an earlier run of this instance.
    fn is_own(&self, me: &str) -> bool {
        self.last
            .as_ref()
            .is_some_and(|(last, _)| last.holder != me && instance(&last.holder) == instance(me))
    }

    /// When the last order may have been given by another instance.
    fn others_order(&self, me: &str, terms: Timing) -> Option<Time> {
        if !self.is_own(me) {
            return self.last_order(terms);
        }
        let (claim, read_at) = self.last.as_ref()?;
        Some(Time(read_at.0.saturating_sub(claim.others_ms?)))
    }

    /// When the last order may have been given by another holder.
    fn last_order(&self, terms: Timing) -> Option<Time> {
        let (claim, read_at) = self.last.as_ref()?;
        if claim.orders && !claim.released {
            return Some(read_at.after(terms.term_ms));
        }
        let quiet_ms = claim.quiet_ms?;
        Some(Time(read_at.0.saturating_sub(quiet_ms)))
    }

    /// The claim to append now, if any. `rank` staggers challenges; `orders`
    /// says whether there are orders to give.
    #[must_use]
    pub fn claim(
        &self,
        me: &str,
        now: Time,
        terms: Timing,
        rank: u64,
        orders: bool,
    ) -> Option<Claim> {
        if !self.known {
            return None;
        }
        let last_order = match self.fence {
            Some(_) => self.ordered_at,
            None => self.last_order(terms),
        };
        let quiet_ms = last_order.map(|at| now.since(at));
        let renews = self.fence;
        let busy = orders || quiet_ms.is_some_and(|quiet_ms| quiet_ms < QUIET_MS);
        let orders = renews.is_some() && busy;
        let others_at = match self.fence {
            Some(_) => self.others_at,
            None => self.others_order(me, terms),
        };
        let others_ms = others_at.map(|at| now.since(at));
        let holder = me.to_owned();
        let claim = Claim { holder, renews, orders, quiet_ms, others_ms, released: false };
        let due = match &self.last {
            _ if renews.is_some() || self.is_own(me) => now,
            Some((last, at)) if last.released => at.after(rank * RANK_MS),
            Some((_, at)) => at.after(terms.term_ms + GUARD_MS + rank * RANK_MS),
            None => Time(rank * RANK_MS),
        };
        (now >= due).then_some(claim)
    }

    /// The claim that gives the lease up, if it is held.
    #[must_use]
    pub fn release(&self, me: &str, now: Time) -> Option<Claim> {
        let renews = Some(self.fence?);
        let quiet_ms = self.ordered_at.map(|at| now.since(at));
        let others_ms = self.others_at.map(|at| now.since(at));
        let holder = me.to_owned();
        Some(Claim { holder, renews, orders: false, quiet_ms, others_ms, released: true })
    }

    /// Notes that a claim was accepted at `offset`, sent at `sent`.
    pub fn granted(&mut self, sent: Time, offset: u64, claim: &Claim, terms: Timing) {
        self.end = self.end.max(offset + 1);
        if claim.renews.is_none() {
            self.others_at = self.others_order(&claim.holder, terms);
            self.orders_from = self.others_at.map_or(sent, |at| at.after(terms.apart_ms));
            // The run before may have given orders to its end.
            self.ordered_at = match self.is_own(&claim.holder) {
                true => Some(sent),
                false => self.others_at,
            };
            self.fence = Some(offset);
        }
        self.announced = claim.orders;
        self.held_until = if claim.released { Time(0) } else { sent.after(terms.term_ms) };
        if claim.released {
            self.fence = None;
        }
        self.last = Some((claim.clone(), sent));
    }

    /// Notes that an order is given.
    pub fn ordered(&mut self, now: Time) {
        self.ordered_at = Some(now);
    }

    /// Whether a claim that announces orders must come before the first.
    #[must_use]
    pub fn must_announce(&self) -> bool {
        self.fence.is_some() && !self.announced
    }

    /// The fencing number, if orders may be given for `margin_ms` from now.
    #[must_use]
    pub fn fence(&self, now: Time, margin_ms: u64) -> Option<u64> {
        let in_term = now >= self.orders_from && now.after(margin_ms) < self.held_until;
        self.fence.filter(|_| in_term && self.announced)
    }
}

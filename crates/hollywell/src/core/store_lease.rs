//! A lease held by compare-and-append on a dedicated partition of the store.
//!
//! Each claim, to acquire or renew the lease, names the expected end of the
//! partition, so that of two concurrent claims one is rejected. The offset of
//! the grant is the fencing token: it is unique and increases for as long as
//! the partition exists, even if earlier records have expired. The holder
//! counts the lease from before it sent the claim. A challenger counts from
//! after it read the last claim, and adds a guard time.
//!
//! Engines also require a minimum time between orders of two holders
//! (`apart_ms`). Each claim therefore reports whether its holder may be giving
//! orders, and how long ago it last gave one. A holder that has reported that
//! it gives no orders must announce them before it gives the next. A successor
//! then waits only as long as the last order requires, and not at all after a
//! holder that gave none. The first version always waited for the full time
//! after a change of holder; when instances restarted every two seconds,
//! engines got hardly any orders.
//!
//! An instance that restarts takes over its own lease at once: its earlier run
//! has ended, and engines regard both runs as one holder. It has to keep the
//! minimum time only from the orders of other instances, so each claim also
//! reports how long ago the last of those was. When all processes were killed
//! and restarted after 0.5 s, the first order was sent 0.2 s after the restart
//! instead of 4.9 s.
//!
//! [`crate::core::lease`] folds claims from the shared stream instead. This
//! lease needs no history, as is required on a platform that retains records
//! for seconds only.

use serde::{Deserialize, Serialize};

use crate::core::{roster::instance, time::Time};

/// A challenger's allowance for clock drift and timer delays, in milliseconds.
const GUARD_MS: u64 = 200;
/// Delay between the first claims of two instances, in milliseconds, so that
/// not all of them compete at the same time.
const RANK_MS: u64 = 40;
/// Time without an order after which a holder reports that it gives none, in
/// milliseconds. It is longer than the interval between two orders of one
/// pass.
const IDLE_MS: u64 = 1_500;

/// A claim to the lease, as a record of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Instance that claims the lease.
    pub holder: String,
    /// Offset of the grant that this claim renews; `None` in a grant itself.
    pub renews: Option<u64>,
    /// Whether the holder may give orders after this claim.
    pub orders: bool,
    /// Time since the last order to these engines that the claimant knows of,
    /// by itself or an earlier holder, in milliseconds; `None` if it knows of
    /// none.
    pub quiet_ms: Option<u64>,
    /// Time since the last order by another instance, in milliseconds; `None`
    /// if the claimant knows of none.
    #[serde(default)]
    pub others_ms: Option<u64>,
    /// Whether the holder releases the lease.
    pub released: bool,
}

/// Durations that govern a lease.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a claim is valid, in milliseconds.
    pub term_ms: u64,
    /// Minimum time between orders of two holders, in milliseconds.
    pub apart_ms: u64,
}

/// One instance's view of a lease.
#[derive(Clone, Debug, Default)]
pub struct StoreLease {
    /// End of the partition as last read, where the next read starts.
    pub end: u64,
    /// When the partition was first read to its end.
    read_at: Option<Time>,
    last: Option<(Claim, Time)>,
    fence: Option<u64>,
    held_until: Time,
    orders_from: Time,
    /// Time of the last order that is known here.
    ordered_at: Option<Time>,
    /// Time of the last order by another instance that is known here.
    others_at: Option<Time>,
    announced: bool,
}

impl StoreLease {
    /// Records a claim that was read from the partition.
    pub fn observe(&mut self, local: &str, now: Time, offset: u64, claim: &Claim) {
        self.end = self.end.max(offset + 1);
        let is_renewal =
            claim.holder == local && claim.renews.is_some() && claim.renews == self.fence;
        if !is_renewal {
            self.fence = None;
            self.held_until = Time(0);
        }
        self.last = Some((claim.clone(), now));
    }

    /// Records that the partition was read to its end.
    pub fn observe_end(&mut self, now: Time, end: u64) {
        self.end = self.end.max(end);
        self.read_at.get_or_insert(now);
    }

    /// Returns true if this instance holds the lease, as far as it knows.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.fence.is_some()
    }

    /// Returns true if the last claim is that of an earlier run of this
    /// instance.
    fn is_earlier_run(&self, local: &str) -> bool {
        self.last.as_ref().is_some_and(|(last, _)| {
            last.holder != local && instance(&last.holder) == instance(local)
        })
    }

    /// When another instance may have given its last order.
    fn others_order(&self, local: &str, timing: Timing) -> Option<Time> {
        if !self.is_earlier_run(local) {
            return self.last_order(timing);
        }
        let (claim, read_at) = self.last.as_ref()?;
        Some(order_at(*read_at, claim.others_ms?))
    }

    /// When an earlier holder may have given its last order.
    fn last_order(&self, timing: Timing) -> Option<Time> {
        let (claim, read_at) = self.last.as_ref()?;
        if claim.orders && !claim.released {
            return Some(read_at.after(timing.term_ms));
        }
        let quiet_ms = claim.quiet_ms?;
        Some(order_at(*read_at, quiet_ms))
    }

    /// Returns the claim to append now, if any. `rank` staggers the challenges
    /// of different instances; `orders` tells whether there are orders to give.
    #[must_use]
    pub fn claim(
        &self,
        local: &str,
        now: Time,
        timing: Timing,
        rank: u64,
        orders: bool,
    ) -> Option<Claim> {
        let read_at = self.read_at?;
        let last_order = match self.fence {
            Some(_) => self.ordered_at,
            None => self.last_order(timing),
        };
        let quiet_ms = last_order.map(|at| now.since(at));
        let renews = self.fence;
        let is_ordering = orders || quiet_ms.is_some_and(|quiet_ms| quiet_ms < IDLE_MS);
        let orders = renews.is_some() && is_ordering;
        let others_at = match self.fence {
            Some(_) => self.others_at,
            None => self.others_order(local, timing),
        };
        let others_ms = others_at.map(|at| now.since(at));
        let holder = local.to_owned();
        let claim = Claim { holder, renews, orders, quiet_ms, others_ms, released: false };
        let due = match &self.last {
            _ if renews.is_some() || self.is_earlier_run(local) => now,
            Some((last, at)) if last.released => at.after(rank * RANK_MS),
            Some((_, at)) => at.after(timing.term_ms + GUARD_MS + rank * RANK_MS),
            None => read_at.after(rank * RANK_MS),
        };
        (now >= due).then_some(claim)
    }

    /// Returns the claim that releases the lease, if it is held.
    #[must_use]
    pub fn release(&self, local: &str, now: Time) -> Option<Claim> {
        let renews = Some(self.fence?);
        let quiet_ms = self.ordered_at.map(|at| now.since(at));
        let others_ms = self.others_at.map(|at| now.since(at));
        let holder = local.to_owned();
        Some(Claim { holder, renews, orders: false, quiet_ms, others_ms, released: true })
    }

    /// Records that a claim that was sent at `sent` was accepted at `offset`.
    pub fn record_grant(&mut self, sent: Time, offset: u64, claim: &Claim, timing: Timing) {
        self.end = self.end.max(offset + 1);
        if claim.renews.is_none() {
            self.others_at = self.others_order(&claim.holder, timing);
            self.orders_from = self.others_at.map_or(sent, |at| at.after(timing.apart_ms));
            // The earlier run may have given orders until it ended.
            self.ordered_at = match self.is_earlier_run(&claim.holder) {
                true => Some(sent),
                false => self.others_at,
            };
            self.fence = Some(offset);
        }
        self.announced = claim.orders;
        self.held_until = if claim.released { Time(0) } else { sent.after(timing.term_ms) };
        if claim.released {
            self.fence = None;
        }
        self.last = Some((claim.clone(), sent));
    }

    /// Records that an order is given.
    pub fn record_order(&mut self, now: Time) {
        self.ordered_at = Some(now);
    }

    /// Returns true if a claim that announces orders must be accepted before
    /// the next order may be given.
    #[must_use]
    pub fn must_announce(&self) -> bool {
        self.fence.is_some() && !self.announced
    }

    /// Returns the fencing token if orders may be given for at least
    /// `margin_ms` from now.
    #[must_use]
    pub fn fence(&self, now: Time, margin_ms: u64) -> Option<u64> {
        let in_term = now >= self.orders_from && now.after(margin_ms) < self.held_until;
        self.fence.filter(|_| in_term && self.announced)
    }
}

/// The time `ago_ms` before another, or a later one if that can't be expressed: it
/// only delays the next order.
const fn order_at(read_at: Time, ago_ms: u64) -> Time {
    match read_at.before(ago_ms) {
        Some(at) => at,
        None => Time::EARLIEST,
    }
}

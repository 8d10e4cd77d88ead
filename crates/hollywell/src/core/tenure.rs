//! A lease kept by compare-and-append on a partition of its own.
//!
//! Every grant and renewal names the partition's end, so that of two claims
//! one is refused. The offset of the grant is the fencing number: unique and
//! rising for as long as the partition lives, whatever of it has expired. The
//! holder counts its time from before it sent the claim; a challenger from
//! after it read the last one, and adds a guard.
//!
//! [`crate::core::lease`] folds claims on the shared stream instead; this one
//! needs no history, which a platform that keeps records for seconds demands.

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// A claim's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who claims.
    pub holder: String,
    /// Offset of the grant that this renews; `None` in a grant itself.
    pub renews: Option<u64>,
}

/// One instance's view of a lease.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    /// The partition's end, as last read; where to read on.
    pub end: u64,
    /// It was read at least once since the start.
    pub known: bool,
    last: Option<(String, Time)>,
    fence: Option<u64>,
    held_until: Time,
    orders_from: Time,
}

impl Tenure {
    /// Notes a claim read from the partition.
    pub fn read(&mut self, me: &str, now: Time, offset: u64, claim: &Claim) {
        self.end = self.end.max(offset + 1);
        self.last = Some((claim.holder.clone(), now));
        if claim.holder != me {
            self.fence = None;
            self.held_until = Time(0);
        }
    }

    /// Notes that the partition was read to its end.
    pub fn read_to(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.known = true;
    }

    /// The claim to append now, if any. `rank` staggers first claims.
    #[must_use]
    pub fn claim(&self, me: &str, now: Time, lease_ms: u64, rank: u64) -> Option<Claim> {
        const GUARD_MS: u64 = 200;
        const RANK_MS: u64 = 60;
        if !self.known {
            return None;
        }
        if let Some(fence) = self.fence {
            return Some(Claim { holder: me.to_owned(), renews: Some(fence) });
        }
        let due = match &self.last {
            Some((_, at)) => at.after(lease_ms + GUARD_MS + rank * RANK_MS),
            None => Time(rank * RANK_MS),
        };
        (now >= due).then(|| Claim { holder: me.to_owned(), renews: None })
    }

    /// Notes that a claim was accepted at `offset`, sent at `sent`.
    pub fn granted(&mut self, sent: Time, offset: u64, claim: &Claim, lease_ms: u64, fresh: bool) {
        self.end = self.end.max(offset + 1);
        if claim.renews.is_none() {
            self.fence = Some(offset);
            // An older holder's last order may be on its way.
            self.orders_from = if fresh { sent } else { sent.after(lease_ms) };
        }
        self.held_until = sent.after(lease_ms);
    }

    /// Notes that a claim was refused: somebody else's came first.
    pub fn refused(&mut self) {
        self.fence = None;
        self.held_until = Time(0);
    }

    /// Whether anybody has ever been seen to hold it.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.last.is_none() && self.end == 0
    }

    /// The fencing number, if orders may be given for `margin_ms` from now.
    #[must_use]
    pub fn fence(&self, now: Time, margin_ms: u64) -> Option<u64> {
        let safe = now >= self.orders_from && now.after(margin_ms) < self.held_until;
        self.fence.filter(|_| safe)
    }
}

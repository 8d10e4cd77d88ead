//! State that members hand over to each other when the map changes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Map;
use crate::core::{claim::Copy, id::Instance, time::Time};

/// The message that a member sends to the others once it has read a newer map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// Epoch of the newer map.
    pub epoch: u64,
    /// Last epoch in which the sender was active, if any.
    pub last_active: Option<u64>,
    /// Earlier incarnations of the sender's current run, which were removed
    /// from the map.
    #[serde(default, rename = "formerly")]
    pub former_ids: Vec<Instance>,
    /// Replaced maps that the sender remembers, oldest first.
    pub history: Vec<ReplacedCopy>,
    /// Claims on keys that may have run.
    pub copies: Vec<Copy>,
    /// Sets of keys whose claims the sender knows to be lost.
    #[serde(rename = "blind")]
    pub claim_losses: Vec<ClaimLossCopy>,
}

/// A map that was replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Replaced {
    pub(super) map: Map,
    /// When this instance read from the log, or was told by a peer, that the
    /// map was replaced.
    pub(super) at: Time,
}

/// A replaced map, as handed from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedCopy {
    /// The map.
    pub map: Map,
    /// Milliseconds since the sender read that it was replaced.
    pub ago_ms: u64,
}

/// Keys whose claims were lost together with their owner and replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ClaimLoss {
    /// The map in which the claims may have been made.
    pub(super) map: Map,
    /// The members that handed over their claims.
    pub(super) sources: BTreeSet<Instance>,
    /// When callers have stopped retrying these keys.
    pub(super) until: Time,
}

impl Replaced {
    pub(super) fn copy(&self, now: Time) -> ReplacedCopy {
        ReplacedCopy { map: self.map.clone(), ago_ms: now.since(self.at) }
    }
}

impl ClaimLoss {
    pub(super) fn copy(&self, now: Time) -> ClaimLossCopy {
        ClaimLossCopy {
            map: self.map.clone(),
            sources: self.sources.clone(),
            left_ms: self.until.since(now),
        }
    }
}

/// Keys whose claims were lost, as handed from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLossCopy {
    /// The map in which the claims may have been made.
    pub map: Map,
    /// The members that handed over their claims.
    #[serde(rename = "heirs")]
    pub sources: BTreeSet<Instance>,
    /// Milliseconds until callers have stopped retrying these keys.
    pub left_ms: u64,
}

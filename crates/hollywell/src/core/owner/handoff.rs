//! What members hand over to each other at a change of the map.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Map;
use crate::core::{claim::Copy, id::Instance, time::Time};

/// What a member tells the others when it has read a newer map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handoff {
    /// The epoch that it hands over to.
    pub epoch: u64,
    /// The last epoch in which it was active, if any.
    pub last_active: Option<u64>,
    /// Incarnations under which the sender was removed earlier in its run.
    #[serde(default, rename = "formerly")]
    pub former_ids: Vec<Instance>,
    /// Replaced maps that it remembers, oldest first.
    pub history: Vec<ReplacedCopy>,
    /// Keys that may have run.
    pub copies: Vec<Copy>,
    /// Keys of which it knows that nobody knows.
    #[serde(rename = "blind")]
    pub claim_losses: Vec<ClaimLossCopy>,
}

/// A map that was replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Replaced {
    pub(super) map: Map,
    /// When it was read here, or heard, that it was replaced.
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

/// Keys whose claims were lost with their owner and replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ClaimLoss {
    /// The map in which the claims may have been made.
    pub(super) map: Map,
    /// The members that handed over.
    pub(super) sources: BTreeSet<Instance>,
    /// When no caller sends those keys any longer.
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

/// [`ClaimLoss`] as handed from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLossCopy {
    /// The map in which the claims may have been made.
    pub map: Map,
    /// The members that handed over.
    #[serde(rename = "heirs")]
    pub sources: BTreeSet<Instance>,
    /// Milliseconds until no caller sends those keys any longer.
    pub left_ms: u64,
}

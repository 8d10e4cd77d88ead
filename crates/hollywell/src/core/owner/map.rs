//! Ownership maps: the members that share a failure domain's keys, and which
//! member owns which key.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::id::Instance;

/// The members that share a failure domain's keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// Offset of the record that installed this map.
    pub epoch: u64,
    /// Epoch of the map that this one replaced, if any.
    pub base: Option<u64>,
    /// Instances that share the keys.
    pub members: BTreeSet<Instance>,
}

impl Map {
    /// Returns the member that owns `key`.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&Instance> {
        self.ranked(key).map(|(owner, _)| owner)
    }

    /// Returns the member that keeps a copy of the owner's claim on `key`, or
    /// `None` if the map has fewer than two members.
    #[must_use]
    pub fn replica(&self, key: &str) -> Option<&Instance> {
        self.ranked(key).and_then(|(_, replica)| replica)
    }

    /// The two members with the highest scores for `key`: its owner and, if
    /// the map has two members, its replica.
    fn ranked(&self, key: &str) -> Option<(&Instance, Option<&Instance>)> {
        let key_hash = xxh3_64_with_seed(key.as_bytes(), 0);
        let mut best: Option<(u64, &Instance)> = None;
        let mut second: Option<(u64, &Instance)> = None;
        for member in &self.members {
            let seed = key_hash ^ member.incarnation;
            let score = xxh3_64_with_seed(member.name.as_bytes(), seed);
            if best.is_none_or(|(top, _)| score > top) {
                second = best;
                best = Some((score, member));
            } else if second.is_none_or(|(top, _)| score > top) {
                second = Some((score, member));
            }
        }
        best.map(|(_, owner)| (owner, second.map(|(_, replica)| replica)))
    }

    /// Returns true if one of `sources` knows every claim on `key` that was
    /// made under this map.
    pub(super) fn covers(&self, key: &str, sources: &BTreeSet<Instance>) -> bool {
        self.ranked(key).is_some_and(|(owner, replica)| {
            sources.contains(owner) || replica.is_some_and(|replica| sources.contains(replica))
        })
    }
}

/// A proposed map, as a record on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Failure domain whose keys the map distributes.
    pub domain: String,
    /// Epoch of the map to replace; `None` for the first map.
    pub base: Option<u64>,
    /// Proposed members.
    pub members: BTreeSet<Instance>,
}

/// The current maps of all failure domains, folded from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Maps(pub BTreeMap<String, Map>);

impl Maps {
    /// Folds the proposal at `offset` and returns true if it was accepted.
    ///
    /// The first proposal for a base wins; later ones are rejected, and so are
    /// proposals without members.
    pub fn apply(&mut self, offset: u64, proposal: &Proposal) -> bool {
        let current = self.0.get(&proposal.domain);
        let current_epoch = current.map(|map| map.epoch);
        if proposal.members.is_empty() || proposal.base != current_epoch {
            return false;
        }
        let map = Map { epoch: offset, base: proposal.base, members: proposal.members.clone() };
        self.0.insert(proposal.domain.clone(), map);
        true
    }
}

//! Assigns the groups of a job's samples to instances.
//!
//! Rendezvous hashing: a group is owned by the member with the highest score,
//! computed from a hash of both, so that a membership change moves only the
//! groups that it must. Hashing all members for all groups at each change costs
//! their product; if one member changes, only its own groups are searched
//! again, and for all others one hash decides.
//!
//! Members differ in size by a factor of ten and more. Each of them owns groups
//! in proportion to the bandwidth of its link, so that the samples of a step run
//! on few instances: these know most of the load at a target exactly, reuse
//! their connections, and leave the small ones to their callers. Members that
//! state no bandwidth, or all the same, own equal numbers of groups.

use std::collections::{BTreeMap, BTreeSet};

use super::JobSpec;
use crate::core::roster;

/// Highest weight of a member, in Mbit/s, so that one figure that makes no sense
/// does not give all groups to one member.
const MAX_WEIGHT: u64 = 10_000;

/// The live instance that does a task of which any member could be in charge:
/// the one with the highest hash, so that a membership change moves only the
/// tasks that it must.
///
/// # Example
///
/// ```
/// use hollywell::core::dispatch::owner;
///
/// let all = ["a".into(), "b".into(), "c".into()];
/// let before = owner(&all, "job", "group").unwrap();
/// // Removing an instance that does not run the group changes nothing.
/// let left: Vec<String> =
///     all.iter().filter(|m| *m == before || *m == "a").cloned().collect();
/// assert_eq!(owner(&left, "job", "group"), Some(before));
/// ```
#[must_use]
pub fn owner<'a>(members: &'a [String], job: &str, group: &str) -> Option<&'a str> {
    members.iter().max_by_key(|member| hash(job, group, member)).map(String::as_str)
}

fn hash(job: &str, group: &str, member: &str) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
    for part in [job, "|", group, "|", member] {
        hash.update(part.as_bytes());
    }
    hash.digest()
}

/// The score of a member for a group, in an order that compares like a number:
/// with `hash` spread evenly over (0, 1), the highest of `ln(hash) / weight` is
/// a member's with a probability in proportion to its weight (weighted
/// rendezvous hashing).
fn score(job: &str, group: &str, member: &str) -> (Score, u64) {
    let hash = hash(job, group, member);
    let uniform = (hash as f64 + 0.5) / (u64::MAX as f64 + 1.0);
    (Score(uniform.min(1.0 - f64::EPSILON).ln() / weight(member)), hash)
}

/// The weight of a member. Members of a fleet without link figures are alike.
fn weight(member: &str) -> f64 {
    roster::link_mbps(member).clamp(1, MAX_WEIGHT) as f64
}

/// A score that is never NaN.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Score(f64);

impl Eq for Score {}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Score) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The member that runs a group, in proportion to the members' weights.
fn weighted_owner<'a>(members: &'a [String], job: &str, group: &str) -> Option<&'a str> {
    members.iter().max_by_key(|member| score(job, group, member)).map(String::as_str)
}

/// The owners of a job's groups.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    by_group: BTreeMap<String, Option<String>>,
}

impl Owners {
    /// Computes the owners among the members.
    pub(super) fn new(members: &[String], spec: &JobSpec) -> Owners {
        let groups: BTreeSet<&str> = spec.samples.iter().map(|item| item.group.as_str()).collect();
        let owned = |group: &str| weighted_owner(members, &spec.job, group).map(str::to_owned);
        let by_group = groups.into_iter().map(|group| (group.to_owned(), owned(group))).collect();
        Owners { by_group }
    }

    /// Applies a membership change.
    pub(super) fn change(&mut self, job: &str, members: &[String], change: &Change<'_>) {
        for (group, known) in &mut self.by_group {
            let current = known.as_deref().filter(|owner| !change.left.contains(owner));
            let Some(owner) = current else {
                *known = weighted_owner(members, job, group).map(str::to_owned);
                continue;
            };
            let before = score(job, group, owner);
            let candidates =
                change.joined.iter().map(|member| (score(job, group, member), *member));
            if let Some((_, member)) = candidates.max().filter(|(score, _)| *score > before) {
                *known = Some(member.to_owned());
            }
        }
    }

    /// Whether an instance owns a group.
    pub(super) fn is_owner(&self, group: &str, member: &str) -> bool {
        self.by_group.get(group).is_some_and(|owner| owner.as_deref() == Some(member))
    }
}

/// The difference between two lists of members.
#[derive(Clone, Debug)]
pub(super) struct Change<'a> {
    joined: Vec<&'a str>,
    left: BTreeSet<&'a str>,
}

impl<'a> Change<'a> {
    /// Compares two lists of members.
    pub(super) fn between(before: &'a [String], after: &'a [String]) -> Change<'a> {
        let old: BTreeSet<&str> = before.iter().map(String::as_str).collect();
        let new: BTreeSet<&str> = after.iter().map(String::as_str).collect();
        Change {
            joined: new.difference(&old).copied().collect(),
            left: old.difference(&new).copied().collect(),
        }
    }
}

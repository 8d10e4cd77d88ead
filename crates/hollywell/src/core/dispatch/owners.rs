//! Assigns the groups of a job's samples to instances.
//!
//! Rendezvous hashing: a group is owned by the member with the highest hash of
//! both, so that a membership change moves only the groups that it must.
//! Hashing all members for all groups at each change costs their product; if
//! one member changes, only its own groups are searched again, and for all
//! others one hash decides.

use std::collections::{BTreeMap, BTreeSet};

use super::JobSpec;

/// The live instance that runs a group of a job: the one with the highest hash,
/// so that a membership change moves only the groups that it must.
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
    members.iter().max_by_key(|member| weight(job, group, member)).map(String::as_str)
}

fn weight(job: &str, group: &str, member: &str) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
    for part in [job, "|", group, "|", member] {
        hash.update(part.as_bytes());
    }
    hash.digest()
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
        let owned = |group: &str| owner(members, &spec.job, group).map(str::to_owned);
        let by_group = groups.into_iter().map(|group| (group.to_owned(), owned(group))).collect();
        Owners { by_group }
    }

    /// Applies a membership change.
    pub(super) fn change(&mut self, job: &str, members: &[String], change: &Change<'_>) {
        for (group, known) in &mut self.by_group {
            let current = known.as_deref().filter(|owner| !change.left.contains(owner));
            let Some(owner) = current else {
                *known = self::owner(members, job, group).map(str::to_owned);
                continue;
            };
            let before = weight(job, group, owner);
            let candidates =
                change.joined.iter().map(|member| (weight(job, group, member), *member));
            if let Some((_, member)) = candidates.max().filter(|(weight, _)| *weight > before) {
                *known = Some(member.to_owned());
            }
        }
    }

    /// The owner of a group.
    pub(super) fn of(&self, group: &str) -> Option<&str> {
        self.by_group.get(group)?.as_deref()
    }

    /// Whether an instance owns a group.
    pub(super) fn is_owner(&self, group: &str, member: &str) -> bool {
        self.of(group) == Some(member)
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

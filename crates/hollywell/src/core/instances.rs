//! The record of all instances in the store, and who is added to it and removed
//! from it. A pure reducer.
//!
//! The store's group shows the members whose heartbeats have arrived. After an
//! outage of the store it shows none, and each appears with its next heartbeat,
//! so that the first to return see only themselves; and a group may have more
//! members than it can show. The record has all: it says whom a starting
//! instance has to ask ([`crate::core::inquiry`]). Each instance adds itself
//! when it starts. One of them adds members that do not, as an earlier build,
//! and removes those that are gone.
//!
//! An instance is gone once it was missing from the group for a while in which
//! the store was available. It may serve although the store does not hear of it,
//! and whoever exits for a restart comes back under its name.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::{
    dispatch::owner,
    roster::{address, instance},
    time::Time,
};

/// How long an instance has to be missing from the group until its record is
/// removed, in milliseconds: longer than a restart takes, and than most
/// partitions of the network last.
const FORGET_MS: u64 = 60_000;
/// What the instance that keeps the record is chosen by.
const TASK: &str = "instances";

/// Records to write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Instances that have no record yet.
    pub added: Vec<String>,
    /// Instances that are gone.
    pub removed: Vec<String>,
}

impl Changes {
    /// Whether there is nothing to write.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}

/// What the store's group shows.
#[derive(Clone, Copy, Debug)]
pub struct Group<'a> {
    /// The members, by their names with the run.
    pub members: &'a [String],
    /// Whether the group shows all instances that the store hears of: it is not
    /// full, and the store has been available for long enough.
    pub is_whole: bool,
}

/// The recorded instances, by their names without the run.
///
/// # Example
///
/// ```
/// use hollywell::core::{instances::{Group, Instances}, time::Time};
///
/// let mut instances = Instances::new("b@10.0.0.2:80/1");
/// instances.replace(["a@10.0.0.1:80"]);
/// // Before the group was read as well, an instance adds itself.
/// let group = Group { members: &[], is_whole: false };
/// assert_eq!(instances.changes(Time(0), group).added, ["b@10.0.0.2:80"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Instances {
    own_id: String,
    /// `None` before the record was read.
    recorded: Option<BTreeSet<String>>,
    /// Since when each recorded instance has been missing from the group.
    missing: BTreeMap<String, Time>,
}

/// Whether a record names an instance. Another program may have written it.
fn is_instance(name: &str) -> bool {
    address(name).is_some_and(|address| address.port() != 0)
}

impl Instances {
    /// The state of an instance that has not read the record.
    #[must_use]
    pub fn new(own_id: &str) -> Instances {
        Instances { own_id: own_id.to_owned(), ..Instances::default() }
    }

    /// Sets the recorded instances to those that were read.
    pub fn replace<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let names = names.into_iter().filter(|name| is_instance(name));
        self.recorded = Some(names.map(str::to_owned).collect());
    }

    /// All other instances that exist, given the members of the group; `None`
    /// before the record was read.
    #[must_use]
    pub fn others(&self, members: &[String]) -> Option<BTreeSet<String>> {
        let recorded = self.recorded.as_ref()?.iter().map(String::as_str);
        let members = members.iter().map(|member| instance(member));
        let mut all: BTreeSet<String> = recorded.chain(members).map(str::to_owned).collect();
        all.remove(instance(&self.own_id));
        Some(all)
    }

    /// Whether this instance keeps the record.
    #[must_use]
    pub fn is_keeper(&self, members: &[String]) -> bool {
        owner(members, TASK, "") == Some(self.own_id.as_str())
    }

    /// What this instance has to write.
    pub fn changes(&mut self, now: Time, group: Group<'_>) -> Changes {
        let is_keeper = self.is_keeper(group.members);
        let Some(recorded) = &self.recorded else {
            return Changes::default();
        };
        let members: BTreeSet<&str> = group.members.iter().map(|member| instance(member)).collect();
        let is_missing = |name: &&String| group.is_whole && !members.contains(name.as_str());
        let missing = recorded.iter().filter(is_missing).map(|name| {
            let since = self.missing.get(name).copied().unwrap_or(now);
            (name.clone(), since)
        });
        self.missing = missing.collect();
        let own = instance(&self.own_id);
        let may_add = |name: &&str| (is_keeper || *name == own) && !recorded.contains(*name);
        let added: BTreeSet<&str> = members.into_iter().chain([own]).filter(may_add).collect();
        let is_gone = |(name, since): &(&String, &Time)| {
            is_keeper && *name != own && now.since(**since) >= FORGET_MS
        };
        let removed = self.missing.iter().filter(is_gone).map(|(name, _)| name.clone());
        Changes {
            added: added.into_iter().map(str::to_owned).collect(),
            removed: removed.collect(),
        }
    }

    /// Applies changes that were written.
    pub fn written(&mut self, changes: &Changes) {
        if let Some(recorded) = &mut self.recorded {
            recorded.extend(changes.added.iter().cloned());
            recorded.retain(|name| !changes.removed.contains(name));
        }
    }
}

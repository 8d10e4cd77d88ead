//! The record of all instances in the store, and who is added to it and removed
//! from it. A pure reducer.
//!
//! The store's group shows the members whose heartbeats have arrived. After an
//! outage of the store it shows none, and each appears with its next heartbeat,
//! so that the first to return see only themselves. The record outlives that: it
//! says whom a starting instance has to ask ([`crate::core::inquiry`]). One
//! instance keeps it for all.
//!
//! An instance has its record until it was missing from the group for a while in
//! which the store was available. It may serve although the store does not hear
//! of it, and whoever exits for a restart comes back under its name.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::{
    roster::{address, instance},
    time::Time,
};

/// How long an instance has to be missing from the group until its record is
/// removed, in milliseconds: longer than a restart takes, and than most
/// partitions of the network last.
const FORGET_MS: u64 = 60_000;

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

/// The recorded instances, by their names without the run.
///
/// # Example
///
/// ```
/// use hollywell::core::{instances::Instances, time::Time};
///
/// let mut instances = Instances::default();
/// instances.replace(["a@10.0.0.1:80"]);
/// let members = ["a@10.0.0.1:80/1".into(), "b@10.0.0.2:80/1".into()];
/// assert_eq!(instances.changes(Time(0), &members, true).added, ["b@10.0.0.2:80"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Instances {
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
    /// The recorded instances; `None` before they were read.
    #[must_use]
    pub const fn recorded(&self) -> Option<&BTreeSet<String>> {
        self.recorded.as_ref()
    }

    /// Sets the recorded instances to those of a snapshot.
    pub fn replace<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let names = names.into_iter().filter(|name| is_instance(name));
        self.recorded = Some(names.map(str::to_owned).collect());
    }

    /// Applies a record that was written after the snapshot.
    pub fn apply(&mut self, name: &str, exists: bool) {
        let Some(recorded) = self.recorded.as_mut().filter(|_| is_instance(name)) else {
            return;
        };
        if exists {
            recorded.insert(name.to_owned());
        } else {
            recorded.remove(name);
        }
    }

    /// All instances that exist apart from `own_id`, given the members of the
    /// group; `None` before the record was read.
    #[must_use]
    pub fn others(&self, members: &[String], own_id: &str) -> Option<BTreeSet<String>> {
        let members = members.iter().map(|member| instance(member));
        let mut all: BTreeSet<String> = self
            .recorded
            .as_ref()?
            .iter()
            .map(String::as_str)
            .chain(members)
            .map(str::to_owned)
            .collect();
        all.remove(instance(own_id));
        Some(all)
    }

    /// What the record lacks, given the members of the group. `is_settled` says
    /// that the store has been available long enough for all to be members.
    pub fn changes(&mut self, now: Time, members: &[String], is_settled: bool) -> Changes {
        let Some(recorded) = &self.recorded else {
            return Changes::default();
        };
        let members: BTreeSet<&str> = members.iter().map(|member| instance(member)).collect();
        let is_missing = |name: &&String| is_settled && !members.contains(name.as_str());
        let missing = recorded.iter().filter(is_missing).map(|name| {
            let since = self.missing.get(name).copied().unwrap_or(now);
            (name.clone(), since)
        });
        self.missing = missing.collect();
        let is_gone = |(_, since): &(&String, &Time)| now.since(**since) >= FORGET_MS;
        let removed = self.missing.iter().filter(is_gone).map(|(name, _)| name.clone()).collect();
        let added = members.into_iter().filter(|name| !recorded.contains(*name));
        Changes { added: added.map(str::to_owned).collect(), removed }
    }

    /// Applies changes that were written.
    pub fn written(&mut self, changes: &Changes) {
        changes.added.iter().for_each(|name| self.apply(name, true));
        changes.removed.iter().for_each(|name| self.apply(name, false));
    }
}

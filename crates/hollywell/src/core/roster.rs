//! The live members, folded from readings of the store's group of instances.
//!
//! The store decides which members live, but a single reading is not reliable:
//! while partitions are reassigned a member holds none for a moment, and after
//! an outage of the store each member is missing until its next call. An
//! instance that trusted such a reading would run the samples of all members. A
//! missing member is therefore still assumed to be alive for a moment, and for
//! a few seconds after the store has recovered.
//!
//! How the group is read is in [`crate::entry::member`]; what members are used
//! for, in [`crate::core::dispatch`].

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::core::{fleet::EXPIRY_GRACE_MS, time::Time};

/// How long a member must be missing from all readings before it is removed, in
/// milliseconds: longer than the reassignment of partitions takes, and short
/// compared to the time to live, which the member has already exceeded.
const REMOVAL_DELAY_MS: u64 = 200;

/// The instance part of a member's name: what precedes the run.
///
/// # Example
///
/// ```
/// use hollywell::core::roster::instance;
///
/// assert_eq!(instance("a@10.0.0.1:80/1"), instance("a@10.0.0.1:80/2"));
/// // The same name elsewhere is another instance.
/// assert_ne!(instance("a@10.0.0.1:80/1"), instance("a@10.0.0.2:80/1"));
/// ```
#[must_use]
pub fn instance(member: &str) -> &str {
    member.rsplit_once('/').map_or(member, |(instance, _)| instance)
}

/// The address at which peers reach a member, taken from its name,
/// `NAME@ADDRESS+DOMAIN*LINK/RUN`, where domain and link may be absent.
#[must_use]
pub fn address(member: &str) -> Option<SocketAddr> {
    let (_, rest) = instance(member).split_once('@')?;
    rest.split_once('+').map_or(rest, |(address, _)| address).parse().ok()
}

/// A member's failure domain, as its index in the list in the settings.
#[must_use]
pub fn domain(member: &str) -> Option<&str> {
    let (_, rest) = instance(member).rsplit_once('+')?;
    Some(rest.split_once('*').map_or(rest, |(domain, _)| domain))
}

/// Bandwidth of a member's link in Mbit/s; 0 if its name does not state it.
///
/// # Example
///
/// ```
/// use hollywell::core::roster::{domain, link_mbps};
///
/// let member = "front-1@10.0.0.7:7720+3*600/1a2b";
/// assert_eq!((domain(member), link_mbps(member)), (Some("3"), 600));
/// assert_eq!(link_mbps("front-1@10.0.0.7:7720+3/1a2b"), 0);
/// ```
#[must_use]
pub fn link_mbps(member: &str) -> u64 {
    let link = instance(member).rsplit_once('*').and_then(|(_, link)| link.parse().ok());
    link.unwrap_or_default()
}

/// The members of a failure domain that compete for a task which one instance
/// does at a time: at most `max`, chosen alike by all instances and independent
/// of restarts. Members with the highest link bandwidth come first: they are
/// the larger machines, and the one that works for all targets of a domain
/// needs more bandwidth than its own callers do.
///
/// # Example
///
/// ```
/// use hollywell::core::roster::candidates;
///
/// let member = |name: &str, domain: u8| format!("{name}@10.0.0.1:80+{domain}/1");
/// let members = [member("a", 0), member("b", 0), member("c", 0), member("d", 1)];
/// assert_eq!(candidates(&members, Some("0"), "duty", 2).len(), 2);
/// assert_eq!(candidates(&members, Some("1"), "duty", 2), [&members[3]]);
/// ```
#[must_use]
pub fn candidates<'a>(
    members: &'a [String],
    of_domain: Option<&str>,
    task: &str,
    max: usize,
) -> Vec<&'a str> {
    let is_in_domain = |member: &&String| domain(member) == of_domain;
    let mut in_domain: Vec<&str> =
        members.iter().filter(is_in_domain).map(String::as_str).collect();
    let weight = |member: &&str| {
        let seed = xxhash_rust::xxh3::xxh3_64(task.as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(instance(member).as_bytes(), seed);
        (Reverse(link_mbps(member)), hash)
    };
    in_domain.sort_by_key(weight);
    in_domain.truncate(max);
    in_domain
}

/// The live members as known to one instance.
///
/// # Example
///
/// ```
/// use hollywell::core::{roster::Roster, time::Time};
///
/// let name = |n: &str| format!("{n}@10.0.0.1:80/1");
/// let mut roster = Roster::new(&name("a"));
/// // No member is known before the first reading, not even the instance
/// // itself: alone it would run everything.
/// assert!(roster.members().is_empty());
/// roster.read(Time(0), &[name("a"), name("b")], None);
/// // A member that is missing from one reading is kept.
/// roster.read(Time(10), &[name("a")], None);
/// assert_eq!(roster.members(), [name("a"), name("b")]);
/// roster.read(Time(400), &[name("a")], None);
/// assert_eq!(roster.members(), [name("a")]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Roster {
    own_id: String,
    members: Vec<String>,
    /// Since when each member has been missing.
    missing: BTreeMap<String, Time>,
    leaving: bool,
    /// Whether the group may have members that hold no partition and are not
    /// listed.
    full: bool,
}

impl Roster {
    /// The roster of an instance that has read nothing yet. A member's name is
    /// that of the instance followed by `/` and its run; later runs sort after
    /// earlier ones.
    #[must_use]
    pub fn new(own_id: &str) -> Roster {
        Roster { own_id: own_id.to_owned(), ..Roster::default() }
    }

    /// The members that are assumed to be alive, sorted.
    #[must_use]
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Whether a member is missing and not yet removed: the next reading should
    /// follow soon.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Records that this instance leaves: it no longer counts itself as a
    /// member.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sets whether the group may have members that are not listed. If so, this
    /// instance is a member only while it is listed.
    pub fn set_group_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Applies a reading; returns whether the members changed. Members whose name
    /// has no address are no instances, and left out. `recovered_at`
    /// is when the store last recovered from an outage.
    pub fn read(&mut self, now: Time, read: &[String], recovered_at: Option<Time>) -> bool {
        // Another program's member runs nothing, and would own samples.
        let is_instance =
            |member: &&String| address(member).is_some_and(|address| address.port() != 0);
        let mut members: Vec<String> = read.iter().filter(is_instance).cloned().collect();
        let listed: BTreeSet<&str> = read.iter().map(String::as_str).collect();
        let adds_itself = !self.leaving && !self.full;
        if adds_itself {
            members.push(self.own_id.clone());
        }
        let recovering = recovered_at.is_some_and(|at| now.since(at) < EXPIRY_GRACE_MS);
        let mut missing = BTreeMap::new();
        for member in self.members.iter().filter(|member| !listed.contains(member.as_str())) {
            let since = self.missing.get(member).copied().unwrap_or(now);
            let may_be_missing = *member != self.own_id || self.full && !self.leaving;
            if may_be_missing && (recovering || now.since(since) < REMOVAL_DELAY_MS) {
                missing.insert(member.clone(), since);
                members.push(member.clone());
            }
        }
        members.sort();
        members.dedup();
        self.remove_replaced(&mut members);
        missing.retain(|member, _| members.binary_search(member).is_ok());
        self.missing = missing;
        let changed = members != self.members;
        self.members = members;
        changed
    }

    /// Removes members that were replaced by another run of the same instance:
    /// their time to live has not expired, but their process has ended. Of
    /// itself this instance knows which run is the latest, whatever the
    /// wall-clock time that named the runs.
    fn remove_replaced(&self, members: &mut Vec<String>) {
        let own_instance = instance(&self.own_id);
        members.retain(|member| *member == self.own_id || instance(member) != own_instance);
        let mut at = 1;
        while at < members.len() {
            if instance(&members[at - 1]) == instance(&members[at]) {
                members.remove(at - 1);
            } else {
                at += 1;
            }
        }
    }
}

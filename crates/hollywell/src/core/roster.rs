//! Who else lives, folded from readings of the store's group.
//!
//! The store judges who lives, but a single reading is no judgement: while
//! work is dealt anew a member holds nothing for a moment, and after an
//! outage of the store each member is missing until its next call. Whoever
//! took such a reading at its word would run everybody's samples. So a
//! member that is missing is believed for a moment longer, and for some
//! seconds after the store came back.
//!
//! What it leaves out: how the group is read ([`crate::entry::member`]), and
//! what members are for ([`crate::core::dispatch`]).

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::core::{fleet::LAPSE_GRACE_MS, time::Time};

/// How long a member must be missing from all readings before it is taken
/// for gone, in milliseconds: longer than the moment in which work is dealt
/// anew, short against the time to live that it has outlasted already.
const MISSING_MS: u64 = 200;

/// The instance that a member's name is of: what stands before its run.
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

/// The address at which a member's peers reach it, which its name carries:
/// `NAME@ADDRESS+DOMAIN*LINK/RUN`, where domain and link may be absent.
#[must_use]
pub fn address(member: &str) -> Option<SocketAddr> {
    let (_, rest) = instance(member).split_once('@')?;
    rest.split_once('+').map_or(rest, |(address, _)| address).parse().ok()
}

/// A member's failure domain, by its number in the settings' list.
#[must_use]
pub fn domain(member: &str) -> Option<&str> {
    let (_, rest) = instance(member).rsplit_once('+')?;
    Some(rest.split_once('*').map_or(rest, |(domain, _)| domain))
}

/// What a member's link carries, in Mbit/s; 0 where its name does not tell.
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

/// The members of a failure domain that compete for something that one
/// instance does at a time: at most so many, chosen alike by all, and the same
/// ones after a restart. Those with the widest links come first: they are the
/// larger machines, and whoever is at work for all targets of a domain needs
/// more than its own callers do.
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
    what: &str,
    most: usize,
) -> Vec<&'a str> {
    let is_here = |member: &&String| domain(member) == of_domain;
    let mut here: Vec<&str> = members.iter().filter(is_here).map(String::as_str).collect();
    let weight = |member: &&str| {
        let seed = xxhash_rust::xxh3::xxh3_64(what.as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(instance(member).as_bytes(), seed);
        (Reverse(link_mbps(member)), hash)
    };
    here.sort_by_key(weight);
    here.truncate(most);
    here
}

/// The live members as one instance believes them to be.
///
/// # Example
///
/// ```
/// use hollywell::core::{roster::Roster, time::Time};
///
/// let name = |n: &str| format!("{n}@10.0.0.1:80/1");
/// let mut roster = Roster::new(&name("a"));
/// // Nobody is known before the first reading, not even the instance
/// // itself: alone it would run everything.
/// assert!(roster.members().is_empty());
/// roster.read(Time(0), &[name("a"), name("b")], None);
/// // Missing once is not gone.
/// roster.read(Time(10), &[name("a")], None);
/// assert_eq!(roster.members(), [name("a"), name("b")]);
/// roster.read(Time(400), &[name("a")], None);
/// assert_eq!(roster.members(), [name("a")]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Roster {
    me: String,
    members: Vec<String>,
    /// Since when members have been missing.
    missing: BTreeMap<String, Time>,
    leaving: bool,
    /// The group may have members that do not show.
    full: bool,
}

impl Roster {
    /// The roster of an instance that has read nothing yet. A member's name
    /// is that of the instance and, after a `/`, that of its run; later runs
    /// sort behind earlier ones.
    #[must_use]
    pub fn new(me: &str) -> Roster {
        Roster { me: me.to_owned(), ..Roster::default() }
    }

    /// Those that are believed to live, in order.
    #[must_use]
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Whether a member is missing and not yet taken for gone: the next
    /// reading should come soon.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Notes that this instance leaves: it no longer counts itself.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes whether the group may have members that do not show: then this
    /// instance is one only while it shows.
    pub fn set_group_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Takes a reading over; returns whether the members changed. `back_at`
    /// is when the store last came back from an outage.
    pub fn read(&mut self, now: Time, read: &[String], back_at: Option<Time>) -> bool {
        let mut members = read.to_vec();
        let shown: BTreeSet<&str> = read.iter().map(String::as_str).collect();
        let counts_itself = !self.leaving && !self.full;
        if counts_itself {
            members.push(self.me.clone());
        }
        let recovering = back_at.is_some_and(|at| now.since(at) < LAPSE_GRACE_MS);
        let mut missing = BTreeMap::new();
        for member in self.members.iter().filter(|member| !shown.contains(member.as_str())) {
            let since = self.missing.get(member).copied().unwrap_or(now);
            let may_be_missing = *member != self.me || self.full && !self.leaving;
            if may_be_missing && (recovering || now.since(since) < MISSING_MS) {
                missing.insert(member.clone(), since);
                members.push(member.clone());
            }
        }
        members.sort();
        members.dedup();
        self.supersede(&mut members);
        missing.retain(|member, _| members.binary_search(member).is_ok());
        self.missing = missing;
        let changed = members != self.members;
        self.members = members;
        changed
    }

    /// Drops members that another run of the same instance has replaced:
    /// their time to live has not run out, but their process has ended. This
    /// instance knows of itself which run is the latest, whatever the time
    /// of day that named the runs.
    fn supersede(&self, members: &mut Vec<String>) {
        let mine = instance(&self.me);
        members.retain(|member| *member == self.me || instance(member) != mine);
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

//! Which instances of a failure domain read the store's partitions from the
//! beginning themselves, and from whom the others take them.
//!
//! After a loss of all power every instance reads everything there is: the
//! bytes that leave the store are what it holds times the instances. Bytes
//! within a failure domain are nearly free. So a few of each domain read the
//! store, and the others follow them in a tree. A relay adds no truth: its
//! records keep their offsets, whoever takes them reads on at the store from
//! their end, and uses nothing before that answers.
//!
//! What it leaves out: the calls, and what happens where a relay is lost
//! ([`crate::entry::relay`]).

use std::cmp::Reverse;

use crate::core::roster;

/// Instances of a failure domain that read the store themselves. If one of
/// them is lost, a quarter of the domain waits until it is taken for silent
/// before it reads the store. With every one of 295 instances at the store
/// 2.4 MB each take 8.9 s over its 80 MB/s; with four of each of six domains
/// 0.7 s (worked out, `tests/reader.rs` and `tests/relay.rs`).
pub const ROOTS: usize = 4;
/// Instances that take records from the same one. With four roots, fifty
/// instances are two steps deep, and a small instance's link sends 2 MB to
/// three others in less than a second.
const FANOUT: usize = 3;
/// Instances of a failure domain up to which each reads the store: a tree
/// would spare it little, and cost a step.
const FEW: usize = 8;

/// The member from whom an instance takes what a start reads; `None` if it
/// is to read the store. Instances whose lists of members differ never wait
/// for each other in a circle: each follows one that comes before it in an
/// order that does not depend on the list.
///
/// # Example
///
/// ```
/// use hollywell::core::relay::parent;
///
/// let member = |n: usize, domain| format!("i{n}@10.0.{domain}.{n}:80+{domain}/1");
/// let mut all: Vec<String> = (0..50).map(|n| member(n, 0)).collect();
/// let reads_store = |member: &&String| parent(&all, member).is_none();
/// assert_eq!(all.iter().filter(reads_store).count(), 4);
/// // Few instances of a domain read the store, each for itself.
/// all.truncate(8);
/// assert!(all.iter().all(|member| parent(&all, member).is_none()));
/// ```
#[must_use]
pub fn parent<'a>(members: &'a [String], me: &str) -> Option<&'a str> {
    let line = line(members, me);
    if line.len() <= FEW {
        return None;
    }
    line.get(above(place(&line, me))?).copied()
}

/// Steps from an instance to one that reads the store itself.
///
/// # Example
///
/// ```
/// use hollywell::core::relay::depth;
///
/// let all: Vec<String> = (0..50).map(|n| format!("i{n}@10.0.0.{n}:80+0/1")).collect();
/// let deepest = all.iter().map(|member| depth(&all, member)).max();
/// assert_eq!(deepest, Some(2));
/// ```
#[must_use]
pub fn depth(members: &[String], me: &str) -> u32 {
    let line = line(members, me);
    if line.len() <= FEW {
        return 0;
    }
    let mut at = place(&line, me);
    let mut steps = 0;
    while let Some(next) = above(at) {
        at = next;
        steps += 1;
    }
    steps
}

/// Reads of the store that an instance makes a second where nothing happens,
/// worked out from how long each waits: four partitions of jobs, targets'
/// entries, the configuration, news, suspects.
const READS: u64 = 12;
/// Part of the store's rate that these may take; one in so many. Work adds
/// about as many, and the rest is for what cannot be foreseen.
const READS_PART: u64 = 2;

/// Bytes of a target's entry with its key, as targets write it, and what the
/// store adds.
const ENTRY_BYTES: u64 = 300;
/// Part of the store's bandwidth that targets' entries may take; one in so
/// many. Jobs and their texts need the most of it.
const BANDWIDTH_PART: u64 = 4;

/// What a store serves all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Supply {
    /// Reading calls a second.
    pub reads: u64,
    /// Bytes of records a second.
    pub bytes: u64,
}

/// What there is for everybody to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Time between two entries of a target, in milliseconds.
    pub beat_ms: u64,
}

/// Whether a store cannot serve all instances if each of them reads it: it
/// has too few calls, or targets' entries alone take too much of its
/// bandwidth.
///
/// # Example
///
/// ```
/// use hollywell::core::relay::{Demand, Supply, is_overloaded};
///
/// let supply = Supply { reads: 16_000, bytes: 80_000_000 };
/// let demand = |instances, targets| Demand { instances, targets, beat_ms: 5_000 };
/// assert!(!is_overloaded(supply, demand(13, 15)));
/// // 160 MB a second.
/// assert!(is_overloaded(supply, demand(266, 10_000)));
/// // Few targets, but 24,000 calls.
/// assert!(is_overloaded(supply, demand(2_000, 10)));
/// ```
#[must_use]
pub fn is_overloaded(supply: Supply, demand: Demand) -> bool {
    let instances = demand.instances as u64;
    let calls = instances.saturating_mul(READS);
    let entries = (demand.targets as u64).saturating_mul(1_000 * ENTRY_BYTES);
    let bytes = instances.saturating_mul(entries / demand.beat_ms.max(1));
    calls > supply.reads / READS_PART || bytes > supply.bytes / BANDWIDTH_PART
}

/// The members from whom an instance takes what it follows, the first choice
/// first; none if it is to read the store. Those with the widest links serve
/// the others.
///
/// # Example
///
/// ```
/// use hollywell::core::relay::sources;
///
/// let member = |n: usize| format!("i{n}@10.0.0.{n}:80+0/1");
/// let all: Vec<String> = (0..50).map(member).collect();
/// let readers = all.iter().filter(|me| sources(&all, me, true).is_empty()).count();
/// assert_eq!(readers, 4);
/// // A store that is not crowded is read by all.
/// assert!(all.iter().all(|me| sources(&all, me, false).is_empty()));
/// ```
#[must_use]
pub fn sources<'a>(members: &'a [String], me: &str, is_overloaded: bool) -> Vec<&'a str> {
    if !is_overloaded {
        return vec![];
    }
    let line = line(members, me);
    let before = place(&line, me);
    // One that does not show among the members is followed by nobody.
    let is_root = before < ROOTS && line.contains(&me);
    if line.len() <= FEW || is_root {
        return vec![];
    }
    let mut roots: Vec<&str> = line.into_iter().take(ROOTS).collect();
    // Neighbours in the order begin with different ones.
    roots.rotate_left(before % ROOTS);
    roots
}

/// Others that take what they follow from the same instance as a member does,
/// about.
#[must_use]
pub fn followers(members: &[String], me: &str) -> usize {
    in_domain(members, me).saturating_sub(ROOTS).div_ceil(ROOTS)
}

/// Whether others take what they follow from an instance.
#[must_use]
pub fn is_source(members: &[String], me: &str, is_overloaded: bool) -> bool {
    is_overloaded && has_relays(members, me) && sources(members, me, is_overloaded).is_empty()
}

/// The members of an instance's failure domain, in an order that does not
/// depend on the list.
fn line<'a>(members: &'a [String], me: &str) -> Vec<&'a str> {
    let domain = roster::domain(me);
    let mut line: Vec<&str> = members.iter().map(String::as_str).collect();
    line.retain(|member| domain.is_some() && roster::domain(member) == domain);
    line.sort_by_cached_key(|member| rank(member));
    line
}

/// How many of a line come before an instance.
fn place(line: &[&str], me: &str) -> usize {
    let own = rank(me);
    line.iter().filter(|member| rank(member) < own).count()
}

/// The place from which the one at a place of the tree takes records; `None` if
/// it reads the store.
fn above(place: usize) -> Option<usize> {
    Some(place.checked_sub(ROOTS)? / FANOUT)
}

/// An instance's rank in the order, the same in all its runs: the wider its
/// link, the earlier. A start hands some MB to each instance, which takes a
/// narrow link a second for three of them.
fn rank(member: &str) -> (Reverse<u64>, u64, &str) {
    let instance = roster::instance(member);
    let hash = xxhash_rust::xxh3::xxh3_64(instance.as_bytes());
    (Reverse(roster::link_mbps(member)), hash, instance)
}

/// Whether others may take records from instances of a member's failure
/// domain.
#[must_use]
pub fn has_relays(members: &[String], me: &str) -> bool {
    in_domain(members, me) > FEW
}

/// Members of an instance's failure domain; none if it has none.
fn in_domain(members: &[String], me: &str) -> usize {
    let Some(domain) = roster::domain(me) else {
        return 0;
    };
    members.iter().filter(|member| roster::domain(member) == Some(domain)).count()
}

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
    let before = line.iter().filter(|member| rank(member) < rank(me)).count();
    let parent = before.checked_sub(ROOTS)? / FANOUT;
    line.get(parent).copied()
}

/// Reads of the store that an instance makes a second where nothing happens,
/// worked out from how long each waits: four partitions of jobs, targets'
/// entries, the configuration, news, suspects.
const READS: u64 = 12;
/// Part of the store's rate that these may take; one in so many. Work adds
/// about as many, and the rest is for what cannot be foreseen.
const READS_PART: u64 = 2;

/// Whether so many instances read more than a store serves, `rate` calls a
/// second.
fn is_crowded(instances: usize, rate: u64) -> bool {
    (instances as u64).saturating_mul(READS) > rate / READS_PART
}

/// The members from whom an instance takes what it follows, the first choice
/// first; none if it is to read the store, which serves `rate` calls a second.
///
/// # Example
///
/// ```
/// use hollywell::core::relay::sources;
///
/// let member = |n: usize| format!("i{n}@10.0.0.{n}:80+0/1");
/// let all: Vec<String> = (0..50).map(member).collect();
/// let readers = all.iter().filter(|me| sources(&all, me, 500).is_empty()).count();
/// assert_eq!(readers, 4);
/// // A store that serves enough is read by all.
/// assert!(all.iter().all(|me| sources(&all, me, 5_000).is_empty()));
/// ```
#[must_use]
pub fn sources<'a>(members: &'a [String], me: &str, rate: u64) -> Vec<&'a str> {
    if !is_crowded(members.len(), rate) {
        return vec![];
    }
    let line = line(members, me);
    let before = line.iter().filter(|member| rank(member) < rank(me)).count();
    if line.len() <= FEW || before < ROOTS {
        return vec![];
    }
    let mut roots: Vec<&str> = line.into_iter().take(ROOTS).collect();
    // Neighbours in the order begin with different ones.
    roots.rotate_left(before % ROOTS);
    roots
}

/// Whether others take what they follow from an instance.
#[must_use]
pub fn is_source(members: &[String], me: &str, rate: u64) -> bool {
    is_crowded(members.len(), rate) && is_used(members, me) && sources(members, me, rate).is_empty()
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

/// An instance's place in the order, the same in all its runs.
fn rank(member: &str) -> (u64, &str) {
    let instance = roster::instance(member);
    (xxhash_rust::xxh3::xxh3_64(instance.as_bytes()), instance)
}

/// Whether others may take records from instances of a member's failure
/// domain.
#[must_use]
pub fn is_used(members: &[String], me: &str) -> bool {
    let domain = roster::domain(me);
    let same = |member: &&String| roster::domain(member) == domain;
    domain.is_some() && members.iter().filter(same).count() > FEW
}

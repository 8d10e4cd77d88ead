//! Decides which instances of a failure domain read the store's partitions from
//! the beginning themselves, and from which instance the others take the
//! records.
//!
//! After a total power loss every instance reads everything: the bytes that
//! leave the store are what it holds times the number of instances. Traffic
//! within a failure domain is nearly free. So a few instances of each domain
//! read the store, and the others take the records from them along a tree. A
//! relay is not authoritative: records keep their offsets, and an instance that
//! took them continues reading at the store from their end, and uses none of
//! them before the store answers.
//!
//! The calls, and the handling of a lost relay, are in [`crate::entry::relay`].

use std::cmp::Reverse;

use crate::core::{roster, time::Time};

/// Number of instances per failure domain that read the store themselves. If
/// one of them is lost, a quarter of the domain waits until it is taken for
/// unresponsive before it reads the store. If each of 295 instances reads 2.4
/// MB from the store, this takes 8.9 s at its 80 MB/s; with four in each of six
/// domains it takes 0.7 s (calculated, `tests/reader.rs` and `tests/relay.rs`).
pub const ROOTS: usize = 4;
/// Number of instances that take records from the same one. With four roots,
/// fifty instances form a tree of depth two, and the link of a small instance
/// sends 2 MB to three others in less than a second.
const FANOUT: usize = 3;
/// Number of instances of a failure domain up to which each reads the store: a
/// tree would save the store little and cost an extra hop.
const MAX_DIRECT_READERS: usize = 8;

/// The member from which a starting instance takes records; `None` if it reads
/// the store. Instances whose lists of members differ never wait for each other
/// in a cycle: each follows one that precedes it in an order that does not
/// depend on the list.
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
pub fn parent<'a>(members: &'a [String], own_id: &str) -> Option<&'a str> {
    let ordered = ordered(members, own_id);
    if ordered.len() <= MAX_DIRECT_READERS {
        return None;
    }
    ordered.get(parent_position(position(&ordered, own_id))?).copied()
}

/// The members that a starting instance asks first, in order: those of its failure
/// domain that hold the newest records of the partitions of jobs, and have read them
/// before. While instances are restarted one after the other, nobody else needs to
/// read all jobs from the store.
///
/// # Example
///
/// ```
/// use hollywell::core::relay::{holders, is_holder};
///
/// let all: Vec<String> = (0..50).map(|n| format!("i{n}@10.0.0.{n}:80+0/1")).collect();
/// assert_eq!(holders(&all, &all[0]).len(), 4);
/// assert!(holders(&all, &all[0]).iter().all(|holder| is_holder(&all, holder)));
/// // An instance without others in its failure domain reads the store.
/// assert!(holders(&all[..1], &all[0]).is_empty());
/// ```
#[must_use]
pub fn holders<'a>(members: &'a [String], own_id: &str) -> Vec<&'a str> {
    let own = roster::instance(own_id);
    let ordered = ordered(members, own_id);
    // Spreads the starting instances.
    let first = position(&ordered, own_id) % ROOTS;
    let mut holders: Vec<&str> = ordered.into_iter().take(ROOTS).collect();
    let count = holders.len();
    holders.rotate_left(first.min(count));
    holders.retain(|member| roster::instance(member) != own);
    holders
}

/// Whether starting instances ask a member.
#[must_use]
pub fn is_holder(members: &[String], own_id: &str) -> bool {
    position(&ordered(members, own_id), own_id) < ROOTS
}

/// Number of hops from an instance to one that reads the store itself.
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
pub fn depth(members: &[String], own_id: &str) -> u32 {
    let ordered = ordered(members, own_id);
    if ordered.len() <= MAX_DIRECT_READERS {
        return 0;
    }
    let mut at = position(&ordered, own_id);
    let mut steps = 0;
    while let Some(next) = parent_position(at) {
        at = next;
        steps += 1;
    }
    steps
}

/// Reads per second of the store by an idle instance, calculated from how long
/// each read waits: four partitions of jobs, the entries of targets, the
/// configuration, hints, suspects.
const IDLE_READS: u64 = 12;
/// Divisor: the share of the store's rate that these reads may take is one in
/// this many. Work adds about as many reads, and the rest is a reserve.
const READS_DIVISOR: u64 = 2;

/// Size of a target's entry with its key, as targets write it, including the
/// store's overhead, in bytes.
const ENTRY_BYTES: u64 = 300;
/// Divisor: the share of the store's bandwidth that entries of targets may take
/// is one in this many. Jobs and their texts need most of it.
const BANDWIDTH_DIVISOR: u64 = 4;

/// What a store can serve to all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Supply {
    /// Read calls per second.
    pub reads: u64,
    /// Bytes of records per second.
    pub bytes: u64,
}

/// What all instances have to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Number of instances.
    pub instances: usize,
    /// Number of targets.
    pub targets: usize,
    /// Interval between the entries of a target, in milliseconds.
    pub beat_ms: u64,
}

/// Period over which the followed bytes are counted, in milliseconds: several steps
/// of a trainer, whose jobs come in bursts.
const COUNT_MS: u64 = 10_000;

/// The bytes that each instance reads to follow the partitions of jobs, and whether
/// all instances together take too much of the store's bandwidth with them. Each of
/// them follows the same records, so all come to the same conclusion.
///
/// # Example
///
/// ```
/// use hollywell::core::{relay::{Following, Supply}, time::Time};
///
/// let supply = Supply { reads: 6_000, bytes: 10_000_000 };
/// let mut following = Following::default();
/// for second in 0..=10 {
///     following.record(Time(second * 1_000), 50_000, supply, 84);
/// }
/// // 4.2 MB a second.
/// assert!(following.is_heavy());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Following {
    counted_from: Time,
    bytes: u64,
    is_heavy: bool,
}

impl Following {
    /// Records that records of so many bytes were read.
    pub fn record(&mut self, now: Time, bytes: u64, supply: Supply, instances: usize) {
        self.bytes += bytes;
        let counted_ms = now.since(self.counted_from);
        if counted_ms < COUNT_MS {
            return;
        }
        if counted_ms >= 2 * COUNT_MS {
            // Nothing was read for a while, which says nothing about the load.
            (self.counted_from, self.bytes) = (now, 0);
            return;
        }
        let by_all = self.bytes.saturating_mul(instances as u64);
        let per_second = by_all.saturating_mul(1_000) / counted_ms;
        let limit = supply.bytes / BANDWIDTH_DIVISOR;
        // It falls well below the limit before each instance reads for itself again.
        self.is_heavy = per_second > if self.is_heavy { limit / 2 } else { limit };
        (self.counted_from, self.bytes) = (now, 0);
    }

    /// Whether few instances should read the partitions for all.
    #[must_use]
    pub const fn is_heavy(&self) -> bool {
        self.is_heavy
    }
}

/// Whether a store cannot serve all instances if each of them reads it: it
/// allows too few calls, or the entries of targets alone would take too much of
/// its bandwidth.
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
    let calls = instances.saturating_mul(IDLE_READS);
    let entries = (demand.targets as u64).saturating_mul(1_000 * ENTRY_BYTES);
    let bytes = instances.saturating_mul(entries / demand.beat_ms.max(1));
    calls > supply.reads / READS_DIVISOR || bytes > supply.bytes / BANDWIDTH_DIVISOR
}

/// The members from which an instance takes the records that it follows, in
/// order of preference; none if it reads the store. Members with the highest
/// link bandwidth serve the others.
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
/// // A store that is not overloaded is read by all.
/// assert!(all.iter().all(|me| sources(&all, me, false).is_empty()));
/// ```
#[must_use]
pub fn sources<'a>(members: &'a [String], own_id: &str, is_overloaded: bool) -> Vec<&'a str> {
    if !is_overloaded {
        return vec![];
    }
    let ordered = ordered(members, own_id);
    let before = position(&ordered, own_id);
    // A member that is not listed has no followers.
    let is_root = before < ROOTS && ordered.contains(&own_id);
    if ordered.len() <= MAX_DIRECT_READERS || is_root {
        return vec![];
    }
    let mut roots: Vec<&str> = ordered.into_iter().take(ROOTS).collect();
    // Spreads the followers: consecutive members in the order prefer different
    // roots.
    roots.rotate_left(before % ROOTS);
    roots
}

/// Approximate number of other members that follow the same instance as a
/// member.
#[must_use]
pub fn followers(members: &[String], own_id: &str) -> usize {
    domain_size(members, own_id).saturating_sub(ROOTS).div_ceil(ROOTS)
}

/// Whether other members follow an instance.
#[must_use]
pub fn is_source(members: &[String], own_id: &str, is_overloaded: bool) -> bool {
    is_overloaded
        && has_relays(members, own_id)
        && sources(members, own_id, is_overloaded).is_empty()
}

/// The members of an instance's failure domain, in an order that does not
/// depend on the list.
fn ordered<'a>(members: &'a [String], own_id: &str) -> Vec<&'a str> {
    let domain = roster::domain(own_id);
    let mut ordered: Vec<&str> = members.iter().map(String::as_str).collect();
    ordered.retain(|member| domain.is_some() && roster::domain(member) == domain);
    ordered.sort_by_cached_key(|member| rank(member));
    ordered
}

/// Number of members that precede an instance in the order.
fn position(ordered: &[&str], own_id: &str) -> usize {
    let own = rank(own_id);
    ordered.iter().filter(|member| rank(member) < own).count()
}

/// The position in the tree from which the member at a position takes records;
/// `None` if it reads the store.
fn parent_position(position: usize) -> Option<usize> {
    Some(position.checked_sub(ROOTS)? / FANOUT)
}

/// An instance's rank in the order, the same in all its runs: the higher its
/// link bandwidth, the earlier. A starting instance takes some MB, and sending
/// them to three others takes a narrow link a second.
fn rank(member: &str) -> (Reverse<u64>, u64, &str) {
    let instance = roster::instance(member);
    let hash = xxhash_rust::xxh3::xxh3_64(instance.as_bytes());
    (Reverse(roster::link_mbps(member)), hash, instance)
}

/// Whether the failure domain of a member is large enough for relays.
#[must_use]
pub fn has_relays(members: &[String], own_id: &str) -> bool {
    domain_size(members, own_id) > MAX_DIRECT_READERS
}

/// Number of members of an instance's failure domain; 0 if it has none.
fn domain_size(members: &[String], own_id: &str) -> usize {
    let Some(domain) = roster::domain(own_id) else {
        return 0;
    };
    members.iter().filter(|member| roster::domain(member) == Some(domain)).count()
}

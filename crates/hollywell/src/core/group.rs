//! Decides whether a reading of the store's group of instances shows all
//! members.
//!
//! A member is listed only while it holds a partition. With fewer partitions
//! than members the others are not listed, and must not count themselves as
//! members either: decisions over the members (who owns which work, who reads
//! the store for whom) would otherwise be made by each of them over a different
//! list. Such instances still serve callers.
//!
//! This limits the load of a fleet that starts at the same time: before its
//! first large read of the store, an instance needs to know how many others are
//! about to do the same.
//!
//! The calls are made in [`crate::entry::member`].

/// Number of topics whose partitions the group assigns. Each partition is a row
/// of every reading, and a member that joins with another list of topics makes
/// the store reassign all of them.
pub const TOPICS: u32 = 8;
/// The group counts as full if, of every sixteen partitions, this many are the
/// only one of a member: members join while partitions are assigned.
const FULL_SIXTEENTHS: usize = 15;
/// A group that has not grown by this factor since the reading before shows
/// most of its members. A choice of whom to follow is then at worst made among
/// half of the members.
const GROWTH_FACTOR: usize = 2;

/// A reading of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The members that hold a partition, sorted.
    pub members: Vec<String>,
    /// Number of assigned partitions.
    pub partitions: usize,
}

/// What is known of the group's size.
///
/// # Example
///
/// ```
/// use hollywell::core::group::GroupSize;
///
/// let mut group_size = GroupSize::default();
/// group_size.read(2, 384);
/// assert!(!group_size.is_settled());
/// group_size.read(383, 384);
/// // There may be any number of further members.
/// assert!(group_size.is_settled() && group_size.is_full());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupSize {
    members: Option<usize>,
    full: bool,
    settled: bool,
}

impl GroupSize {
    /// Applies a reading of so many members on so many partitions.
    pub fn read(&mut self, members: usize, partitions: usize) {
        // A group without members has no assigned partitions.
        self.full = partitions >= TOPICS as usize && members * 16 >= partitions * FULL_SIXTEENTHS;
        let is_steady = self.members.is_some_and(|before| members < before.max(1) * GROWTH_FACTOR);
        self.settled |= self.full || is_steady;
        self.members = Some(members);
    }

    /// Whether most members have been seen since the start, or as many as can
    /// be listed.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether there may be members that are not listed.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.full
    }
}

//! Whether what was read of the store's group of instances shows all members.
//!
//! A member shows only while it holds a partition. With fewer partitions than
//! members the others are seen by nobody, and must not take themselves for
//! members either: whatever is decided over the members (who owns which work,
//! who reads the store for whom) would be decided by each of them over another
//! list. They serve callers all the same.
//!
//! Answers the load of a fleet that starts together: what it is worth to know
//! before the first large read of the store is how many others are about to do
//! the same.
//!
//! What it leaves out: the calls ([`crate::entry::member`]).

/// Topics that the group deals out. Each partition is a row of every reading,
/// and members that join with another list of topics make the store deal all of
/// them anew.
pub const TOPICS: u32 = 8;
/// The group is full where so many of sixteen partitions are a member's only
/// one: members come while they are dealt out.
const FULL_SIXTEENTHS: usize = 15;
/// A group that has not grown by this factor since the reading before shows
/// most of its members. Who is followed is then at worst one of twice as many.
const GROWTH: usize = 2;

/// What a reading of the group shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The members that hold a partition, sorted.
    pub members: Vec<String>,
    /// Partitions that are dealt out.
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
/// // There may be any number of others.
/// assert!(group_size.is_settled() && group_size.is_full());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupSize {
    members: Option<usize>,
    full: bool,
    settled: bool,
}

impl GroupSize {
    /// Takes a reading over: how many members it shows on how many partitions.
    pub fn read(&mut self, members: usize, partitions: usize) {
        // Of a group that nobody has joined nothing is dealt out.
        self.full = partitions >= TOPICS as usize && members * 16 >= partitions * FULL_SIXTEENTHS;
        let is_steady = self.members.is_some_and(|before| members < before.max(1) * GROWTH);
        self.settled |= self.full || is_steady;
        self.members = Some(members);
    }

    /// Whether most members have been seen since the start, or as many as can
    /// be.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether there may be members that do not show.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.full
    }
}

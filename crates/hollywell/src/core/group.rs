//! How many partitions the store's group of instances deals out, and whether
//! what was read of it shows all members.
//!
//! A member shows only while it holds a partition. With fewer partitions than
//! members the ones without any are seen by nobody, and whatever is decided
//! over the members (who owns which work, who reads the store for whom) is
//! decided over a part of them, another part at each reading. Each reading
//! lists every partition, so there are few of them while the group is small,
//! and more as it fills.
//!
//! Answers the load of a fleet that starts together: what it is worth to know
//! before the first large read of the store is how many others are about to do
//! the same.
//!
//! What it leaves out: the calls ([`crate::entry::member`]).

/// Topics that are dealt out at first.
pub const FIRST: u32 = 8;
/// Most topics: a store has 100 for everything. With 48 partitions each, 2,304
/// members show.
pub const MOST: u32 = 64;
/// The group is full where so many of sixteen partitions are a member's only
/// one: members come while they are dealt out.
const FULL_SIXTEENTHS: usize = 15;
/// How many times as many topics a full group deals out next. How many members
/// do not show is not known, and each reading before they do is wasted, while
/// each partition is a row of every later one.
const FULL_GROWTH: u32 = 3;
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
/// use hollywell::core::group::{Census, FIRST};
///
/// let mut census = Census::default();
/// assert_eq!(census.topics(), FIRST);
/// // 8 topics of 48 partitions each, all of them taken.
/// census.read(384, 384, 48);
/// assert_eq!(census.topics(), 3 * FIRST);
/// assert!(!census.is_settled());
/// census.read(985, 1_152, 48);
/// assert!(census.is_settled() && !census.is_short());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Census {
    topics: u32,
    members: Option<usize>,
    was_full: bool,
    settled: bool,
}

impl Default for Census {
    fn default() -> Census {
        Census { topics: FIRST, members: None, was_full: false, settled: false }
    }
}

impl Census {
    /// Takes a reading over: how many members it shows on how many
    /// partitions, where each topic has `parts` of them.
    pub fn read(&mut self, members: usize, partitions: usize, parts: u32) {
        let parts = parts.max(1);
        let dealt = u32::try_from(partitions).unwrap_or(u32::MAX) / parts;
        // Others may have seen more members already.
        self.topics = self.topics.max(dealt).clamp(FIRST, MOST);
        // Of a group that nobody has joined yet nothing is dealt out.
        let is_dealt = dealt >= FIRST;
        let is_full = is_dealt && members * 16 >= partitions * FULL_SIXTEENTHS;
        if is_full {
            self.topics = self.topics.saturating_mul(FULL_GROWTH).min(MOST);
        }
        let is_steady = self.members.is_some_and(|before| members < before.max(1) * GROWTH);
        self.settled |= !is_full && (is_steady || self.was_full);
        self.members = Some(members);
        self.was_full = is_full;
    }

    /// How many topics the group is to deal out.
    #[must_use]
    pub fn topics(&self) -> u32 {
        self.topics
    }

    /// Whether most members have been seen since the start.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether there may be members that can never show.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.was_full && self.topics == MOST
    }
}

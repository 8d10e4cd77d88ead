//! The platform's store as the product sees it: a log with partitions, keyed
//! topics and groups, behind closures that an adapter fills in.
//!
//! What it leaves out: retries and their pace, which differ by use and stand
//! where the calls are made.

use std::{fmt, future::Future, pin::Pin, rc::Rc, time::Duration};

use bytes::Bytes;

use crate::core::{
    batch::Record,
    capacity::{LIVE_OVERHEAD, LOG_OVERHEAD, Purpose},
    group::Listing,
};

/// A future that stays on its thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it said so, or was not reached.
    Refused(String),
    /// The store has no room for what was to be appended; it did nothing.
    Full,
    /// The answer to a read did not begin, or stopped, for longer than is
    /// borne; its connection was given up.
    TimedOut,
    /// No answer came. The call may have been executed, or may be later.
    OutcomeUnknown(String),
    /// The partition does not end where the caller said; its end.
    EndMismatch(u64),
    /// The records asked for are gone; the first that is left.
    Trimmed(u64),
    /// The store's answer makes no sense.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(why) => write!(f, "the store refused: {why}"),
            StoreError::Full => f.write_str("the store is full"),
            StoreError::TimedOut => f.write_str("the store was silent for too long"),
            StoreError::OutcomeUnknown(why) => write!(f, "no answer of the store: {why}"),
            StoreError::EndMismatch(end) => write!(f, "the partition ends at {end}"),
            StoreError::Trimmed(first) => write!(f, "records before {first} are gone"),
            StoreError::Malformed(why) => write!(f, "the store's answer is malformed: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Its kind's name in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            StoreError::Refused(_) => "refused",
            StoreError::Full => "full",
            StoreError::TimedOut => "silent",
            StoreError::OutcomeUnknown(_) => "unknown",
            StoreError::EndMismatch(_) => "moved",
            StoreError::Trimmed(_) => "gone",
            StoreError::Malformed(_) => "malformed",
        }
    }

    /// Whether the store said, or cannot but, have done nothing.
    #[must_use]
    pub const fn is_not_applied(&self) -> bool {
        matches!(self, StoreError::Refused(_) | StoreError::Full | StoreError::EndMismatch(_))
    }
}

/// A topic's partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Partition {
    /// The topic.
    pub topic: String,
    /// The partition's number.
    pub number: u32,
}

impl Partition {
    /// Names a partition.
    #[must_use]
    pub fn new(topic: &str, number: u32) -> Partition {
        Partition { topic: topic.to_owned(), number }
    }

    /// Names a partition by its position in a list of them.
    #[must_use]
    pub fn at(topic: &str, position: usize) -> Partition {
        Partition::new(topic, u32::try_from(position).unwrap_or_default())
    }
}

/// A read, and how long its answer may be silent: before it begins, beyond
/// what it was asked to wait, and between any two of its pieces. An answer
/// that goes on coming is never given up, since all of it was sent for nothing
/// then, and would be asked for again.
#[derive(Clone, Debug)]
pub struct WithIdleTimeout<T> {
    /// What is read.
    pub read: T,
    /// How long the answer may be silent.
    pub idle_timeout: Duration,
}

/// Records to append, all or none.
#[derive(Clone, Debug)]
pub struct Append {
    /// Where.
    pub part: Partition,
    /// Keys (for keyed topics) and values.
    pub records: Vec<(Option<String>, Bytes)>,
    /// Append only if the partition ends here.
    pub expected_end: Option<u64>,
    /// What it is for.
    pub purpose: Purpose,
}

impl Append {
    /// What it adds to what the store holds: a record of a key counts in the
    /// log and as the newest of its key.
    #[must_use]
    pub fn stored(&self) -> u64 {
        let one = |(key, value): &(Option<String>, Bytes)| {
            let bytes = (key.as_ref().map_or(0, String::len) + value.len()) as u64;
            let newest = key.is_some() && !value.is_empty();
            bytes + LOG_OVERHEAD + if newest { bytes + LIVE_OVERHEAD } else { 0 }
        };
        self.records.iter().map(one).sum()
    }

    /// The bytes of its keys and values.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let key = |key: &Option<String>| key.as_ref().map_or(0, String::len);
        self.records.iter().map(|(name, value)| key(name) + value.len()).sum()
    }
}

/// Where records were appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first.
    pub offset: u64,
    /// The partition's end after the last.
    pub end: u64,
}

/// A read of a partition.
#[derive(Clone, Debug)]
pub struct Read {
    /// Where.
    pub part: Partition,
    /// The first offset wanted.
    pub from: u64,
    /// How long to wait for a record; zero for not at all.
    pub wait: Duration,
    /// Most KB of records wanted; the store's own limit if not given.
    pub max_kb: Option<usize>,
}

/// Records of a partition.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The partition's end.
    pub end: u64,
    /// The records, by offset.
    pub records: Vec<Record>,
    /// In a reading of newest records: keys whose newest record lies beyond
    /// the end.
    pub beyond: Vec<String>,
}

/// A page of the newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records, by key.
    pub records: Vec<Record>,
    /// The key to go on after, if there is more.
    pub after: Option<String>,
    /// The partition's end.
    pub end: u64,
}

/// A call that keeps a member in a group.
#[derive(Clone, Debug)]
pub struct Join {
    /// The group.
    pub group: String,
    /// The member.
    pub member: String,
    /// Topics whose partitions are dealt out.
    pub topics: Vec<String>,
    /// How long the member lasts without another call.
    pub ttl: Duration,
    /// The generation received last; 0 at first.
    pub generation: u64,
}

/// One call of the store.
pub type Call<I, O> = Rc<dyn Fn(I) -> LocalFuture<Result<O, StoreError>>>;

/// The store's client.
#[derive(Clone)]
pub struct Client {
    /// Appends records.
    pub append: Call<Append, Appended>,
    /// Reads records, waiting for the first of them.
    pub read: Call<WithIdleTimeout<Read>, Records>,
    /// Reads the newest record of each key, page by page.
    pub newest: Call<WithIdleTimeout<(Partition, Option<String>)>, Page>,
    /// Joins a group or stays in it; returns the generation.
    pub join: Call<Join, u64>,
    /// Leaves a group.
    pub leave: Call<(String, String), ()>,
    /// The members of a group that hold a partition.
    pub members: Call<WithIdleTimeout<String>, Listing>,
    /// Deletes the records of a partition's log before an offset. Of a keyed
    /// topic the newest record of each key is kept, and can still be read by
    /// its key.
    pub trim: Call<(Partition, u64), ()>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

/// The newest records of a partition as far as they are read.
#[derive(Clone, Debug, Default)]
pub struct Newest {
    records: Vec<Record>,
    after: Option<String>,
    end: Option<u64>,
    done: bool,
}

impl Newest {
    /// Takes the next page over.
    pub fn take(&mut self, page: Page) {
        self.end.get_or_insert(page.end);
        self.records.extend(page.records);
        self.done = page.after.is_none();
        self.after = page.after;
    }

    /// Whether the last page was read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The key to go on after.
    #[must_use]
    pub fn after(&self) -> Option<&String> {
        self.after.as_ref()
    }

    /// All newest records below the end that the first page named, by
    /// offset. Records above it are to be read from there: pages are no
    /// snapshot.
    #[must_use]
    pub fn into_records(self) -> Records {
        let end = self.end.unwrap_or_default();
        let is_below = |record: &Record| record.offset < end;
        let (mut records, beyond): (Vec<_>, Vec<_>) = self.records.into_iter().partition(is_below);
        records.sort_by_key(|record| record.offset);
        let beyond = beyond.into_iter().map(|record| record.key).collect();
        Records { end, records, beyond }
    }
}

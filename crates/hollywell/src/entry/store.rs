//! Interface of the platform's store: a partitioned log with keyed (compacted)
//! topics and groups. An adapter provides the calls as closures.
//!
//! Retries and back-off differ by use and are left to the callers.

use std::{collections::HashSet, fmt, future::Future, pin::Pin, rc::Rc, time::Duration};

use bytes::Bytes;

use crate::core::{
    batch::Record,
    capacity::{LIVE_OVERHEAD, LOG_OVERHEAD, Purpose},
    group::Listing,
};

/// A boxed future that need not be `Send`.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect: it is invalid, or the store was not reached.
    Refused(String),
    /// The call had no effect: all callers together made more calls than the
    /// store serves in a second.
    RateLimited,
    /// The call had no effect: the store, or the partition, was down or had too
    /// many calls waiting.
    Unavailable,
    /// The store has no capacity left for the append, which had no effect.
    Full,
    /// The response to a read did not begin, or stalled, for longer than the
    /// idle timeout; its connection was closed.
    TimedOut,
    /// No response arrived. The call may have been executed, or may be later.
    OutcomeUnknown(String),
    /// The partition does not end at the expected offset; its actual end.
    EndMismatch(u64),
    /// The requested records were trimmed; the first offset that is left.
    Trimmed(u64),
    /// The store's response cannot be decoded.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(why) => write!(f, "the store refused: {why}"),
            StoreError::RateLimited => f.write_str("the store refused: too many calls (429)"),
            StoreError::Unavailable => f.write_str("the store refused: unavailable (503)"),
            StoreError::Full => f.write_str("the store is full"),
            StoreError::TimedOut => {
                f.write_str("the store made no progress within the idle timeout")
            }
            StoreError::OutcomeUnknown(why) => write!(f, "no response of the store: {why}"),
            StoreError::EndMismatch(end) => write!(f, "the partition ends at {end}"),
            StoreError::Trimmed(first) => write!(f, "records before {first} were trimmed"),
            StoreError::Malformed(why) => {
                write!(f, "the response of the store is malformed: {why}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Name of the error in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            StoreError::Refused(_) => "refused",
            StoreError::RateLimited => "rate",
            StoreError::Unavailable => "unavailable",
            StoreError::Full => "full",
            StoreError::TimedOut => "silent",
            StoreError::OutcomeUnknown(_) => "unknown",
            StoreError::EndMismatch(_) => "moved",
            StoreError::Trimmed(_) => "gone",
            StoreError::Malformed(_) => "malformed",
        }
    }

    /// Whether the store has responded to the call.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        !matches!(
            self,
            StoreError::Refused(_) | StoreError::TimedOut | StoreError::OutcomeUnknown(_)
        )
    }

    /// Whether it is certain that the call had no effect.
    #[must_use]
    pub const fn is_not_applied(&self) -> bool {
        matches!(
            self,
            StoreError::Refused(_)
                | StoreError::RateLimited
                | StoreError::Unavailable
                | StoreError::Full
                | StoreError::EndMismatch(_)
        )
    }
}

/// A partition of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Partition {
    /// The topic.
    pub topic: String,
    /// The partition's number.
    pub number: u32,
}

impl Partition {
    /// The partition `number` of a topic.
    #[must_use]
    pub fn new(topic: &str, number: u32) -> Partition {
        Partition { topic: topic.to_owned(), number }
    }

    /// The partition of a topic at a position in a list of partitions.
    #[must_use]
    pub fn at(topic: &str, position: usize) -> Partition {
        Partition::new(topic, u32::try_from(position).unwrap_or_default())
    }
}

/// Identifies an append among those of one producer, so that the store performs it once
/// however often it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sequence {
    /// The producer, known to one partition.
    pub producer: String,
    /// The append's number, one more than that of the producer's last one.
    pub number: u64,
}

/// An append as it is sent.
#[derive(Clone, Debug)]
pub struct Sequenced {
    /// The append.
    pub append: Append,
    /// Its place among those of a producer; `None` if it is sent once.
    pub sequence: Option<Sequence>,
}

/// A call with a timeout of its response.
#[derive(Clone, Debug)]
pub struct WithTimeout<T> {
    /// The call.
    pub call: T,
    /// The timeout.
    pub timeout: Duration,
}

/// A read with an idle timeout. It limits the time before the response begins,
/// beyond what the store was asked to wait, and the time between any two of its
/// chunks. There is no limit on the total: a response that keeps arriving is
/// never cancelled, since all of it would have to be sent again.
#[derive(Clone, Debug)]
pub struct WithIdleTimeout<T> {
    /// The read.
    pub read: T,
    /// How long the response may make no progress.
    pub idle_timeout: Duration,
}

/// Records to append atomically.
#[derive(Clone, Debug)]
pub struct Append {
    /// The partition to append to.
    pub part: Partition,
    /// Keys (for keyed topics) and values.
    pub records: Vec<(Option<String>, Bytes)>,
    /// Append only if the partition ends at this offset.
    pub expected_end: Option<u64>,
    /// What the records are for.
    pub purpose: Purpose,
}

impl Append {
    /// Bytes that the append adds to the store's usage. A keyed record counts
    /// twice: in the log, and as the newest record of its key.
    #[must_use]
    pub fn stored_bytes(&self) -> u64 {
        let record_bytes = |(key, value): &(Option<String>, Bytes)| {
            let bytes = (key.as_ref().map_or(0, String::len) + value.len()) as u64;
            let newest = key.is_some() && !value.is_empty();
            bytes + LOG_OVERHEAD + if newest { bytes + LIVE_OVERHEAD } else { 0 }
        };
        self.records.iter().map(record_bytes).sum()
    }

    /// Bytes of its keys and values.
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        let key_bytes = |key: &Option<String>| key.as_ref().map_or(0, String::len);
        self.records.iter().map(|(key, value)| key_bytes(key) + value.len()).sum()
    }
}

/// Offsets of appended records.
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
    /// The partition to read.
    pub part: Partition,
    /// The first offset wanted.
    pub from: u64,
    /// How long the store may wait for a record; zero to return immediately.
    pub wait: Duration,
    /// Maximum KB of records wanted; the store's own limit if `None`.
    pub max_kb: Option<usize>,
}

/// Records of a partition.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The partition's end.
    pub end: u64,
    /// The records, by offset.
    pub records: Vec<Record>,
    /// In a snapshot of the newest records: keys whose newest record lies
    /// at or beyond `end`.
    pub beyond: Vec<String>,
}

impl Records {
    /// Keys of a snapshot: those of its records, and those whose newest record
    /// is read after it.
    #[must_use]
    pub fn keys(&self) -> HashSet<&str> {
        let read = self.records.iter().map(|record| record.key.as_str());
        read.chain(self.beyond.iter().map(String::as_str)).collect()
    }
}

/// A page of the newest records by key.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records, by key.
    pub records: Vec<Record>,
    /// The key after which the next page begins, if there is one.
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
    /// Topics whose partitions are assigned to the members.
    pub topics: Vec<String>,
    /// Time to live of the member without another call.
    pub ttl: Duration,
    /// The generation received last; 0 at first.
    pub generation: u64,
}

/// A call of the store.
pub type Call<I, O> = Rc<dyn Fn(I) -> LocalFuture<Result<O, StoreError>>>;

/// The store's client.
#[derive(Clone)]
pub struct Client {
    /// Appends records.
    pub append: Call<WithTimeout<Sequenced>, Appended>,
    /// Reads records; waits for the first if there is none.
    pub read: Call<WithIdleTimeout<Read>, Records>,
    /// Reads the newest record of each key, page by page.
    pub newest: Call<WithIdleTimeout<(Partition, Option<String>)>, Page>,
    /// Joins a group, or renews the membership; returns the generation.
    pub join: Call<Join, u64>,
    /// Leaves a group.
    pub leave: Call<(String, String), ()>,
    /// The members of a group that hold a partition.
    pub members: Call<WithIdleTimeout<String>, Listing>,
    /// Deletes the records of a partition's log before an offset. The newest
    /// record of each key of a keyed topic is kept and can still be read by its
    /// key.
    pub trim: Call<(Partition, u64), ()>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

/// The newest record of each key of a partition, collected page by page.
#[derive(Clone, Debug, Default)]
pub struct Newest {
    records: Vec<Record>,
    after: Option<String>,
    end: Option<u64>,
    done: bool,
}

impl Newest {
    /// Adds the next page.
    pub fn add_page(&mut self, page: Page) {
        self.end.get_or_insert(page.end);
        self.records.extend(page.records);
        self.done = page.after.is_none();
        self.after = page.after;
    }

    /// Whether no page was read yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.end.is_none()
    }

    /// Whether all pages were read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The key after which the next page begins.
    #[must_use]
    pub fn after(&self) -> Option<&String> {
        self.after.as_ref()
    }

    /// All newest records below the partition's end as of the first page, by
    /// offset. Pages are not read at one instant, so later records must be read
    /// from that end on.
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

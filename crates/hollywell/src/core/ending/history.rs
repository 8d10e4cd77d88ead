//! Why ends are not stored, as logs and metrics tell it.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

/// Why an append of an end failed. The names in logs and metrics are given by
/// [`Failure::as_str`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Failure {
    /// The store has no capacity left.
    Full,
    /// All callers together made too many calls.
    RateLimited,
    /// The store, or the partition, was down or had too many calls waiting.
    Unavailable,
    /// The store was not reached.
    NotSent,
    /// No response arrived; the store may have appended the end.
    NoResponse,
    /// The response cannot be decoded.
    Malformed,
}

impl Failure {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Failure::Full => "full",
            Failure::RateLimited => "rate",
            Failure::Unavailable => "unavailable",
            Failure::NotSent => "not_sent",
            Failure::NoResponse => "no_response",
            Failure::Malformed => "malformed",
        }
    }

    /// Whether the store certainly did nothing; if not, it may have appended
    /// the end.
    pub(super) const fn is_refusal(self) -> bool {
        !matches!(self, Failure::NoResponse)
    }
}

/// Why an end is not stored. The names in logs and metrics are given by
/// [`Reason::as_str`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The last append failed.
    Failed(Failure),
    /// The first append is in flight.
    InFlight,
    /// No append was made yet: instances that were notified append later.
    Waiting,
}

impl Reason {
    /// The name in logs and metrics.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::ending::{Failure, Reason};
    ///
    /// assert_eq!(Reason::Failed(Failure::RateLimited).as_str(), "rate");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Failed(failure) => failure.as_str(),
            Reason::InFlight => "in_flight",
            Reason::Waiting => "waiting",
        }
    }
}

/// Pending ends that are not stored for the same reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unstored {
    /// How many there are.
    pub count: usize,
    /// How long ago the oldest was requested, in milliseconds.
    pub oldest_ms: u64,
}

/// What became of an end that is not stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// How long ago it was requested, in milliseconds.
    pub age_ms: u64,
    /// Why it is not stored.
    pub reason: Reason,
    /// Number of appends made here.
    pub appends: u32,
    /// Number of failed ones, by cause.
    pub failed: BTreeMap<Failure, u32>,
    /// Number of peers that have confirmed the end.
    pub peers: usize,
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let History { age_ms, reason, appends, failed, peers } = self;
        write!(f, "{age_ms} ms: {}, {appends} appends", reason.as_str())?;
        for (failure, count) in failed {
            write!(f, ", {}: {count}", failure.as_str())?;
        }
        write!(f, ", known to {peers} peers")
    }
}

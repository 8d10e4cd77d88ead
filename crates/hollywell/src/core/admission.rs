//! Decides whether a plain request that no target can take now is held, or
//! rejected at once with a time to retry after.
//!
//! This guards against a pool whose targets are all gone, or full with requests
//! of all instances, while callers with deadlines of less than a second keep
//! sending. If such a request were held until its deadline, the caller would
//! learn too late to go elsewhere.
//!
//! The target is chosen in [`crate::core::choice`]; the jitter of the retry
//! time is added by the caller of this module.

/// Time within which the targets are read again, in milliseconds: a request
/// that is rejected because there are none should be retried after that.
const TARGET_READ_MS: u64 = 300;

/// What is known when no target can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// Whether the targets were read at least once.
    pub known: bool,
    /// Number of targets of the pool that accept new work, apart from a lack of
    /// free slots.
    pub usable: usize,
    /// Typical time until an answer is complete, in milliseconds; `None` before
    /// the first one.
    pub usual_ms: Option<u64>,
    /// Time until the caller's deadline, in milliseconds.
    pub left_ms: u64,
}

/// What to do with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hold it: the situation may change soon.
    Hold,
    /// Reject it, as it cannot be answered in time; with the time to retry
    /// after, in milliseconds.
    Reject(u64),
}

/// Decides what to do with a request that no target can take now.
///
/// # Example
///
/// ```
/// use hollywell::core::admission::{Decision, Situation, decide};
///
/// let full = Situation { known: true, usable: 4, usual_ms: Some(40), left_ms: 500 };
/// assert_eq!(decide(full), Decision::Hold);
/// // A slot would become free too late.
/// assert_eq!(decide(Situation { left_ms: 30, ..full }), Decision::Reject(40));
/// // However much time is left, there is no target to answer.
/// assert_eq!(decide(Situation { usable: 0, ..full }), Decision::Reject(300));
/// ```
#[must_use]
pub fn decide(situation: Situation) -> Decision {
    let usual_ms = situation.usual_ms.unwrap_or(0);
    if situation.known && situation.usable == 0 {
        return Decision::Reject(TARGET_READ_MS);
    }
    if situation.left_ms <= usual_ms {
        return Decision::Reject(usual_ms);
    }
    Decision::Hold
}

//! Whether a plain request that no target can take now is held, or rejected
//! at once with a time to come back.
//!
//! The load that it answers: a pool whose targets all vanished, or are full
//! with everybody's requests, while callers with deadlines of less than a
//! second keep asking. Held until its deadline, such a caller learns too late
//! to go elsewhere.
//!
//! What it leaves out: which target is asked ([`crate::core::choice`]), and
//! how the spread of the time to come back is drawn.

/// Time after which targets are read anew, in milliseconds: whoever was
/// rejected since there are none should come back after that.
const ANNOUNCED_MS: u64 = 300;

/// What is known when no target can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// The targets were read at least once.
    pub known: bool,
    /// Targets of the pool that take new work, if they have room.
    pub usable: usize,
    /// Time that a whole answer usually takes, in milliseconds; `None` before
    /// the first one.
    pub usual_ms: Option<u64>,
    /// Time left to the caller, in milliseconds.
    pub left_ms: u64,
}

/// What becomes of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is held; what is known may change in a moment.
    Hold,
    /// It cannot be answered in time; when to come back, in milliseconds.
    Reject(u64),
}

/// Decides on a request that no target can take now.
///
/// # Example
///
/// ```
/// use hollywell::core::admission::{Decision, Situation, decide};
///
/// let full = Situation { known: true, usable: 4, usual_ms: Some(40), left_ms: 500 };
/// assert_eq!(decide(full), Decision::Hold);
/// // Its place would come too late.
/// assert_eq!(decide(Situation { left_ms: 30, ..full }), Decision::Reject(40));
/// // However much time is left, nobody is there to answer.
/// assert_eq!(decide(Situation { usable: 0, ..full }), Decision::Reject(300));
/// ```
#[must_use]
pub fn decide(situation: Situation) -> Decision {
    let usual_ms = situation.usual_ms.unwrap_or(0);
    if situation.known && situation.usable == 0 {
        return Decision::Reject(ANNOUNCED_MS);
    }
    if situation.left_ms <= usual_ms {
        return Decision::Reject(usual_ms);
    }
    Decision::Hold
}

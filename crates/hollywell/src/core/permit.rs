//! Permits: mutual exclusion between instances, granted by one of them.
//!
//! They serialise the isolated probes of suspects, that is, of requests that
//! may be poison. When many suspects arrive at all instances together and are
//! probed concurrently, they end their target together, and the poison request
//! cannot be told from the requests that merely ran at the same time.
//!
//! A permit that is not released expires, so that nobody waits for a holder
//! that was lost. Not part of this module: which instance grants permits, and
//! how they are requested ([`crate::entry::suspects`]).

use std::collections::BTreeMap;

use crate::core::time::Time;

/// How long a permit is valid if it is not released, in milliseconds. That is
/// longer than a probe takes, and longer than its result takes to reach all
/// instances.
pub const PERMIT_MS: u64 = 1_000;

/// The permits in use, by subject.
///
/// # Example
///
/// ```
/// use hollywell::core::{time::Time, permit::{PERMIT_MS, Permits}};
///
/// let mut permits = Permits::default();
/// assert!(permits.try_acquire(Time(0), "board-app", "a.1"));
/// assert!(!permits.try_acquire(Time(10), "board-app", "b.1"));
/// // Another subject has its own permit.
/// assert!(permits.try_acquire(Time(10), "wadi-gen", "b.1"));
/// permits.release("board-app", "a.1");
/// assert!(permits.try_acquire(Time(20), "board-app", "b.1"));
/// // A late release by a former holder has no effect.
/// permits.release("board-app", "a.1");
/// assert!(!permits.try_acquire(Time(30), "board-app", "c.1"));
/// assert!(permits.try_acquire(Time(20 + PERMIT_MS), "board-app", "c.1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Permits {
    held: BTreeMap<String, (String, Time)>,
}

impl Permits {
    /// Acquires the permit for a subject and returns true if it was free.
    /// `holder` must be unique to this attempt.
    pub fn try_acquire(&mut self, now: Time, subject: &str, holder: &str) -> bool {
        self.held.retain(|_, (_, until)| now < *until);
        if self.held.contains_key(subject) {
            return false;
        }
        let until = now.after(PERMIT_MS);
        self.held.insert(subject.to_owned(), (holder.to_owned(), until));
        true
    }

    /// Releases the permit for a subject if `holder` still holds it.
    pub fn release(&mut self, subject: &str, holder: &str) {
        if self.held.get(subject).is_some_and(|(current, _)| current == holder) {
            self.held.remove(subject);
        }
    }
}

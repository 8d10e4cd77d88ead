//! Permits: something that one party of all does at a time, given out by one of
//! them.
//!
//! Answers the load of many suspects that come together, at every instance:
//! tried side by side they end their target together, and none of them can be
//! told from what was only there.
//!
//! A turn that is not given back ends by itself, so that nobody waits for a
//! party that is lost. What it leaves out: who gives turns out, and how they
//! are asked for ([`crate::entry::suspects`]).

use std::collections::BTreeMap;

use crate::core::time::Time;

/// How long a turn lasts that is not given back, in milliseconds: longer than
/// one try takes, and than what came of it takes to be known to all.
pub const PERMIT_MS: u64 = 1_000;

/// Permits that are taken, each by its subject.
///
/// # Example
///
/// ```
/// use hollywell::core::{time::Time, permit::{PERMIT_MS, Permits}};
///
/// let mut turns = Permits::default();
/// assert!(turns.try_acquire(Time(0), "board-app", "a.1"));
/// assert!(!turns.try_acquire(Time(10), "board-app", "b.1"));
/// // Another subject has turns of its own.
/// assert!(turns.try_acquire(Time(10), "wadi-gen", "b.1"));
/// turns.release("board-app", "a.1");
/// assert!(turns.try_acquire(Time(20), "board-app", "b.1"));
/// // What comes late gives nothing back.
/// turns.release("board-app", "a.1");
/// assert!(!turns.try_acquire(Time(30), "board-app", "c.1"));
/// assert!(turns.try_acquire(Time(20 + PERMIT_MS), "board-app", "c.1"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Permits {
    taken: BTreeMap<String, (String, Time)>,
}

impl Permits {
    /// Takes the turn on a subject; `who` names this try and no other.
    /// Returns whether it was free.
    pub fn try_acquire(&mut self, now: Time, subject: &str, who: &str) -> bool {
        self.taken.retain(|_, (_, until)| now < *until);
        if self.taken.contains_key(subject) {
            return false;
        }
        let until = now.after(PERMIT_MS);
        self.taken.insert(subject.to_owned(), (who.to_owned(), until));
        true
    }

    /// Gives a turn back, if it is still that try's.
    pub fn release(&mut self, subject: &str, who: &str) {
        if self.taken.get(subject).is_some_and(|(holder, _)| holder == who) {
            self.taken.remove(subject);
        }
    }
}

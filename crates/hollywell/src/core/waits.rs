//! Reads that wait for results, and which of them is answered early.
//!
//! A connection whose request is being served is never closed for another. Reads
//! that wait would keep others out if there were as many as connections; so
//! only some may wait, and one more ends the wait of the oldest.

use std::collections::BTreeSet;

/// Identifies a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// The reads that wait.
///
/// # Example
///
/// ```
/// use hollywell::core::waits::Waits;
///
/// let mut waits = Waits::new(1);
/// let (first, ended) = waits.begin();
/// assert_eq!(ended, None);
/// let (_, ended) = waits.begin();
/// assert_eq!(ended, Some(first));
/// ```
#[derive(Clone, Debug)]
pub struct Waits {
    limit: usize,
    issued: u64,
    open: BTreeSet<Id>,
}

impl Waits {
    /// Creates an empty set for at most `limit` waits.
    #[must_use]
    pub const fn new(limit: usize) -> Waits {
        Waits { limit, issued: 0, open: BTreeSet::new() }
    }

    /// Adds a wait. Also returns the one that is to be ended for it.
    pub fn begin(&mut self) -> (Id, Option<Id>) {
        let oldest = if self.open.len() >= self.limit { self.open.pop_first() } else { None };
        self.issued += 1;
        let id = Id(self.issued);
        self.open.insert(id);
        (id, oldest)
    }

    /// Removes a wait that has ended.
    pub fn end(&mut self, id: Id) {
        self.open.remove(&id);
    }
}

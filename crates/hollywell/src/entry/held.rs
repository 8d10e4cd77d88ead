//! Newest records of the partitions of jobs, held in memory for instances that
//! start. [`crate::core::relay`] decides who holds them and who asks whom.
//!
//! All instances share the store's bandwidth. Where instances are restarted one
//! after the other, each start would read all jobs anew, although others have just
//! folded them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use bytes::Bytes;

use crate::core::{batch::Record, time::Time};

/// How long an encoded snapshot is served, in milliseconds. Instances that start
/// together take the same one, and read what followed it from the store.
const ENCODED_MS: u64 = 1_000;

/// An encoded snapshot of a partition.
#[derive(Clone, Debug)]
pub(super) struct Encoded {
    /// The snapshot.
    pub body: Bytes,
    /// The time up to which it is complete.
    pub known_at: Time,
}

/// The newest records of one partition: those of a whole snapshot, and of all
/// records after it.
#[derive(Debug, Default)]
struct Newest {
    /// By key. Without the snapshot, those that delete a key as well.
    records: HashMap<String, Record>,
    /// The snapshot is yet to be taken from another instance.
    is_partial: bool,
    /// The offset up to which the partition was read as far as it is known here.
    next: u64,
    encoded: Option<Encoded>,
}

/// The newest records of all partitions of jobs.
#[derive(Debug, Default)]
pub struct Held {
    /// Whether this instance holds records for others.
    is_holder: Cell<bool>,
    parts: RefCell<HashMap<usize, Newest>>,
}

impl Held {
    /// Sets whether this instance holds records for others.
    pub fn set_holder(&self, is_holder: bool) {
        self.is_holder.set(is_holder);
        if !is_holder {
            self.parts.borrow_mut().clear();
        }
    }

    /// Begins a partition of which nothing was read before: all of its records are
    /// about to be added.
    pub fn begin(&self, part: usize) {
        if self.is_holder.get() {
            self.parts.borrow_mut().insert(part, Newest::default());
        }
    }

    /// Begins a partition that was read up to the offset `next`, unless it is held: the
    /// records that follow are about to be added, and [`Held::complete`] adds the
    /// others. Returns whether it was begun.
    pub fn begin_partial(&self, part: usize, next: u64) -> bool {
        let mut parts = self.parts.borrow_mut();
        let begins = self.is_holder.get() && !parts.contains_key(&part);
        if begins {
            parts.insert(part, Newest { is_partial: true, next, ..Newest::default() });
        }
        begins
    }

    /// Adds the records of a snapshot to a partition that [`Held::begin_partial`]
    /// began; gives the partition up if there is none. Records that were not read here
    /// yet are left out: an instance that takes this one's snapshot reads on where it
    /// ends, and would miss what lies before them.
    pub fn complete(&self, part: usize, snapshot: Option<Vec<Record>>) {
        let mut parts = self.parts.borrow_mut();
        let Some(newest) = parts.get_mut(&part).filter(|newest| newest.is_partial) else {
            return;
        };
        let Some(snapshot) = snapshot else {
            parts.remove(&part);
            return;
        };
        for record in snapshot.into_iter().filter(|record| record.offset < newest.next) {
            let known = newest.records.get(&record.key);
            if known.is_none_or(|known| known.offset < record.offset) {
                newest.records.insert(record.key.clone(), record);
            }
        }
        newest.records.retain(|_, record| record.value.is_some());
        newest.is_partial = false;
    }

    /// Adds a record of a partition.
    pub fn add(&self, part: usize, record: &Record) {
        let mut parts = self.parts.borrow_mut();
        let Some(newest) = parts.get_mut(&part) else {
            return;
        };
        newest.next = newest.next.max(record.offset + 1);
        if record.value.is_some() || newest.is_partial {
            newest.records.insert(record.key.clone(), record.clone());
        } else {
            newest.records.remove(&record.key);
        }
    }

    /// Removes the records before offset `end` of keys that do not `exist`. A partition
    /// that is not complete is given up: deletions that were not read are in no record.
    pub fn retain(&self, part: usize, end: u64, exists: impl Fn(&str) -> bool) {
        let mut parts = self.parts.borrow_mut();
        if parts.get(&part).is_some_and(|newest| newest.is_partial) {
            parts.remove(&part);
        }
        if let Some(newest) = parts.get_mut(&part) {
            newest.records.retain(|key, record| record.offset >= end || exists(key));
        }
    }

    /// A snapshot of a partition that was read at `known_at`, from `encode`, or one
    /// that was encoded a moment ago; `None` unless all of its records are held.
    pub(super) fn snapshot(
        &self,
        part: usize,
        known_at: Time,
        encode: impl FnOnce(Vec<&Record>) -> Bytes,
    ) -> Option<Encoded> {
        let mut parts = self.parts.borrow_mut();
        let newest = parts.get_mut(&part).filter(|newest| !newest.is_partial)?;
        let is_recent = |encoded: &&Encoded| known_at.since(encoded.known_at) < ENCODED_MS;
        if let Some(encoded) = newest.encoded.as_ref().filter(is_recent) {
            return Some(encoded.clone());
        }
        let mut records: Vec<&Record> = newest.records.values().collect();
        records.sort_unstable_by_key(|record| record.offset);
        let encoded = Encoded { body: encode(records), known_at };
        newest.encoded = Some(encoded.clone());
        Some(encoded)
    }

    /// Drops encoded snapshots that are no longer served.
    pub fn expire(&self, now: Time) {
        for newest in self.parts.borrow_mut().values_mut() {
            newest.encoded.take_if(|encoded| now.since(encoded.known_at) >= 2 * ENCODED_MS);
        }
    }
}

//! Snapshots of jobs that an instance joins from what it reads and what a peer holds.

#![allow(unused, unreachable_pub, reason = "only a part of the module is used")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cell::RefCell, collections::BTreeMap};

use bytes::Bytes;
use hollywell::{
    clock::Clock,
    core::{self, batch::Record, time::Time},
};

// Compiled here as well: what a snapshot holds can't be seen from outside the crate.
#[path = "../src/entry/held.rs"]
mod held;

use held::Held;

fn record(offset: u64, key: &str, value: Option<&'static str>) -> Record {
    Record { offset, key: key.into(), value: value.map(Bytes::from) }
}

/// The newest records of a log before an offset.
fn newest(log: &[Record], end: u64) -> Vec<Record> {
    let mut newest: BTreeMap<String, Record> = BTreeMap::new();
    for record in log.iter().filter(|record| record.offset < end) {
        newest.remove(&record.key);
        if record.value.is_some() {
            newest.insert(record.key.clone(), record.clone());
        }
    }
    newest.into_values().collect()
}

/// What an instance knows that takes a snapshot that ends at `end`, and then reads
/// the log from there, as `Shared::apply_records` does.
fn start(snapshot: &[Record], end: u64, log: &[Record]) -> Vec<Record> {
    let mut known: BTreeMap<String, Record> =
        snapshot.iter().map(|record| (record.key.clone(), record.clone())).collect();
    let last = snapshot.last().map_or(0, |record| record.offset + 1);
    let next = end.max(last);
    for record in log.iter().filter(|record| record.offset >= next) {
        known.remove(&record.key);
        if record.value.is_some() {
            known.insert(record.key.clone(), record.clone());
        }
    }
    known.into_values().collect()
}

/// The snapshot that others get; none if the partition is not held.
fn snapshot(held: &Held) -> Vec<Record> {
    let taken = RefCell::new(vec![]);
    held.snapshot(0, Time(0), |records| {
        *taken.borrow_mut() = records.into_iter().cloned().collect();
        Bytes::new()
    });
    taken.into_inner()
}

// A peer's snapshot that was ahead of what the instance had read was joined; until the
// instance had caught up, starts took older records of a key, or deleted ones, and
// skipped what followed them.
#[test]
fn start_beside_a_holder_that_is_behind_what_it_took_knows_the_newest_records() {
    let log = [
        record(1, "kept", Some("1")),
        record(2, "deleted", Some("1")),
        record(3, "changed", Some("1")),
        record(4, "deleted", None),
        record(5, "changed", Some("2")),
        record(6, "last", Some("1")),
    ];
    for read_to in 2..=7 {
        let held = Held::default();
        held.set_holder(true);
        // The holder has read up to offset 2 as it begins, and takes what a peer has
        // that has read all of the log. It reads on up to `read_to` after that.
        assert!(held.begin_partial(0, 2));
        held.complete(0, Some(newest(&log, 7)));
        for record in log.iter().filter(|record| (2..read_to).contains(&record.offset)) {
            held.add(0, record);
        }
        let known = start(&snapshot(&held), read_to, &log);
        assert_eq!(known, newest(&log, 7), "the holder has read up to {read_to}");
    }
}

// The holder's own position was trimmed while it waited for the peer: it read the
// newest records anew, without the deletion of a key that the peer still had.
#[test]
fn key_whose_deletion_was_trimmed_is_not_taken_from_an_older_snapshot() {
    let held = Held::default();
    held.set_holder(true);
    assert!(held.begin_partial(0, 7));
    // From a snapshot of the store that ends at 9 and has this key alone.
    held.retain(0, 9, |key| key == "kept");
    held.add(0, &record(8, "kept", Some("2")));
    let older = vec![record(1, "kept", Some("1")), record(2, "deleted", Some("1"))];
    held.complete(0, Some(older));
    let keys: Vec<String> = snapshot(&held).into_iter().map(|record| record.key).collect();
    assert!(!keys.contains(&String::from("deleted")), "{keys:?} are held");
    // It is begun anew.
    assert!(held.begin_partial(0, 9));
}

// Each holder took what a peer had read longer ago than it ran itself for as old as
// itself, and stated that to the next.
#[test]
fn snapshot_grows_younger_with_each_holder_that_passes_it_on() {
    const KNOWN_MS: u64 = 400_000;
    const LIFE_MS: u64 = 700;
    let mut age_ms = KNOWN_MS;
    for restarts in 1..=5 {
        let start = Clock::start().now();
        let held = Held::default();
        held.set_holder(true);
        held.begin(0);
        let known_at = start.before(age_ms).unwrap();
        let taken = held.snapshot(0, known_at, |_| Bytes::new()).unwrap();
        age_ms = start.after(LIFE_MS).since(taken.known_at);
        assert_eq!(age_ms, KNOWN_MS + restarts * LIFE_MS, "after {restarts} restarts");
    }
}

//! The fold of the log: gaps, snapshots and states loaded from peers.

use hollywell::core::{
    stream::{Change, Fold, Record, Snapshot},
    table::{Edit, Row},
};

fn edit(id: &str, base: Option<u64>) -> Record {
    let row = Row { trainer: "t".into(), weight: 1, staleness: 1, priority: 1, in_flight: 1 };
    Record::Edit(Edit { id: id.into(), by: id.into(), trainer: "t".into(), base, row: Some(row) })
}

/// Folds all records and returns the state before each offset.
fn states_by_offset(records: &[Record]) -> Vec<Snapshot> {
    let mut fold = Fold::default();
    let mut states = vec![fold.state().clone()];
    for (offset, record) in records.iter().enumerate() {
        fold.read(offset as u64, record);
        states.push(fold.state().clone());
    }
    states
}

fn records() -> Vec<Record> {
    vec![edit("a", None), edit("b", Some(0)), edit("c", Some(0)), edit("d", Some(1))]
}

#[test]
fn a_record_read_twice_is_applied_once() {
    let mut fold = Fold::default();
    assert_eq!(fold.read(0, &edit("a", None)).len(), 1);
    assert_eq!(fold.read(0, &edit("b", None)), []);
    assert_eq!(fold.state().table.base_of("t"), Some(0));
}

#[test]
fn a_gap_closes_with_a_snapshot_that_covers_it() {
    let records = records();
    let states = states_by_offset(&records);
    let mut fold = Fold::default();
    fold.retained_from(2);
    fold.read(2, &records[2]);
    assert!(fold.has_gap());
    // Written by an instance that was paused: records 1 and 2 are missing between
    // this snapshot and the records read.
    let old = Record::Snapshot(Box::new(states[1].clone()));
    assert_eq!(fold.read(3, &old), []);
    assert!(fold.has_gap(), "an old snapshot must not close the gap");
    let covering = Record::Snapshot(Box::new(states[2].clone()));
    let changes = fold.read(4, &covering);
    assert_eq!(changes[0], Change::Loaded);
    assert!(!fold.has_gap());
    assert_eq!(
        fold.state().table,
        states[3].table,
        "record 2 must be applied on top of the snapshot"
    );
    assert_eq!(fold.state().next, 5);
}

#[test]
fn an_older_state_never_replaces_a_later_one() {
    let records = records();
    let states = states_by_offset(&records);
    let mut fold = Fold::default();
    fold.load(&states[4]);
    assert_eq!(fold.load(&states[2]), []);
    assert_eq!(fold.state(), &states[4]);
}

#[test]
fn a_log_without_its_first_records_has_a_gap() {
    let mut fold = Fold::default();
    fold.retained_from(7);
    assert!(fold.has_gap(), "the first seven records are unknown");
    let state = Snapshot { next: 7, ..Snapshot::default() };
    fold.load(&state);
    assert!(!fold.has_gap());
}

#[test]
fn a_peer_s_state_plus_the_log_gives_the_same_state() {
    let records = records();
    let states = states_by_offset(&records);
    for taken in 0..states.len() {
        let mut fold = Fold::default();
        fold.load(&states[taken]);
        for (offset, record) in records.iter().enumerate() {
            fold.read(offset as u64, record);
        }
        assert_eq!(fold.state(), &states[4], "state taken before offset {taken}");
    }
}

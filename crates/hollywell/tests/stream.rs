//! The fold of the log: gaps, snapshots and peers' states.

use hollywell::core::{
    stream::{Change, Fold, Record, Snapshot},
    table::{Edit, Row},
};

fn edit(id: &str, base: Option<u64>) -> Record {
    let row = Row { trainer: "t".into(), weight: 1, staleness: 1, priority: 1, in_flight: 1 };
    Record::Edit(Edit { id: id.into(), by: id.into(), trainer: "t".into(), base, row: Some(row) })
}

/// A reader of all records, and its state before each offset.
fn whole(records: &[Record]) -> Vec<Snapshot> {
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
fn a_record_twice_changes_nothing() {
    let mut fold = Fold::default();
    assert_eq!(fold.read(0, &edit("a", None)).len(), 1);
    assert_eq!(fold.read(0, &edit("b", None)), []);
    assert_eq!(fold.state().table.base_of("t"), Some(0));
}

#[test]
fn a_reader_after_a_gap_waits_for_a_snapshot_that_joins() {
    let records = records();
    let states = whole(&records);
    let mut fold = Fold::default();
    fold.retained_from(2);
    fold.read(2, &records[2]);
    assert!(fold.has_gap());
    // Written by an instance that was paused: records 1 and 2 are missing
    // between it and what is at hand.
    let old = Record::Snapshot(Box::new(states[1].clone()));
    assert_eq!(fold.read(3, &old), []);
    assert!(fold.has_gap(), "an old snapshot does not join");
    let joining = Record::Snapshot(Box::new(states[2].clone()));
    let changes = fold.read(4, &joining);
    assert_eq!(changes[0], Change::Loaded);
    assert!(!fold.has_gap());
    assert_eq!(fold.state().table, states[3].table, "record 2 was folded on top");
    assert_eq!(fold.state().next, 5);
}

#[test]
fn an_older_state_never_replaces_a_later_one() {
    let records = records();
    let states = whole(&records);
    let mut fold = Fold::default();
    fold.load(&states[4]);
    assert_eq!(fold.load(&states[2]), []);
    assert_eq!(fold.state(), &states[4]);
}

#[test]
fn an_empty_log_that_has_dropped_records_is_a_gap() {
    let mut fold = Fold::default();
    fold.retained_from(7);
    assert!(fold.has_gap(), "nothing is known of the first seven records");
    let state = Snapshot { next: 7, ..Snapshot::default() };
    fold.load(&state);
    assert!(!fold.has_gap());
}

#[test]
fn a_peers_state_and_the_log_lead_to_the_same_table() {
    let records = records();
    let states = whole(&records);
    for taken in 0..states.len() {
        let mut fold = Fold::default();
        fold.load(&states[taken]);
        for (offset, record) in records.iter().enumerate() {
            fold.read(offset as u64, record);
        }
        assert_eq!(fold.state(), &states[4], "state taken before offset {taken}");
    }
}

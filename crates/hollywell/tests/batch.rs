//! The fold of batch jobs: the same positions at every reader, whatever was
//! read when, how often, and from which kind of read.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use arbtest::arbtest;
use bytes::Bytes;
use hollywell::core::batch::{
    Book, Change, Ending, Head, Outcome, Partial, Record, Sample, Submission, end_record, is_id,
    outcome_record, partial_record, submission_records,
};

/// Schedules of each generated test, with fixed seeds.
const SCHEDULES: u64 = 2_000;
/// Random bytes of a schedule.
const SIZE: u64 = 600;

fn decode(raw: &[u8]) -> Result<Submission, String> {
    let count: usize = String::from_utf8_lossy(raw).trim().parse().map_err(|_| "no number")?;
    let sample = |n: usize| Sample {
        id: format!("s{n}"),
        path: "/".into(),
        headers: vec![],
        body: Bytes::new(),
        group: format!("g{}", n / 2),
        tokens_hint: 1,
        scorer: None,
    };
    Ok(Submission { samples: (0..count).map(sample).collect(), ..Submission::default() })
}

fn head() -> Head {
    Head { chunks: 0, host: "h".into(), path: "/p/".into(), at_ms: 5 }
}

fn outcome(sample: usize, text: &str) -> Outcome {
    let (id, score) = (format!("s{sample}"), Some(text.to_owned()));
    Outcome { id, ending: Ending::Whole, text: None, versions: vec![1], score }
}

fn log(records: Vec<(String, Bytes)>) -> Vec<Record> {
    let record = |(offset, (key, value)): (usize, (String, Bytes))| Record {
        offset: offset as u64,
        key,
        value: Some(value),
    };
    records.into_iter().enumerate().map(record).collect()
}

fn fold(records: &[Record]) -> Book {
    let mut book = Book::default();
    for record in records {
        book.apply(record, decode).unwrap();
    }
    book
}

fn listed(book: &Book) -> Vec<Bytes> {
    book.jobs["j"].listed.iter().map(|listed| listed.value.clone()).collect()
}

/// What is left after a compaction: the newest record of each key, by offset.
fn compacted(records: &[Record]) -> Vec<Record> {
    let newest: BTreeMap<&str, &Record> =
        records.iter().map(|record| (record.key.as_str(), record)).collect();
    let mut kept: Vec<Record> = newest.into_values().cloned().collect();
    kept.sort_by_key(|record| record.offset);
    kept
}

#[test]
fn positions_survive_duplicates_repeated_submissions_and_compaction() {
    for seed in 0..SCHEDULES {
        arbtest(|u| {
            let samples = u.int_in_range(1..=5usize)?;
            let submission =
                submission_records("j", &head(), samples.to_string().as_bytes(), 4_096);
            let mut records = submission.clone();
            let mut writer = 0;
            for _ in 0..u.int_in_range(0..=12usize)? {
                match u.int_in_range(0..=3u8)? {
                    0 => records.extend(submission.clone()),
                    1 => {
                        let partial = Partial { last: 1, text: "t".into(), versions: vec![1] };
                        let sample = format!("s{}", u.int_in_range(0..=samples - 1)?);
                        records.push(partial_record("j", &sample, &partial));
                    }
                    _ => {
                        writer += 1;
                        let outcome =
                            outcome(u.int_in_range(0..=samples - 1)?, &format!("by {writer}"));
                        records.push(outcome_record("j", &writer.to_string(), &outcome));
                    }
                }
            }
            let records = log(records);
            let whole = fold(&records);
            assert_eq!(listed(&whole), listed(&fold(&compacted(&records))), "{records:?}");
            // A reader that saw a part before the history was forgotten.
            let cut = u.int_in_range(0..=records.len())?;
            let mut late = fold(&records[..cut]);
            for record in compacted(&records).iter().filter(|r| r.offset >= cut as u64) {
                late.apply(record, decode).unwrap();
            }
            if late.jobs.contains_key("j") {
                assert_eq!(listed(&whole), listed(&late), "cut at {cut}: {records:?}");
            }
            Ok(())
        })
        .seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE)
        .run();
    }
}

#[test]
fn the_first_of_two_results_stands_and_the_second_changes_nothing() {
    let mut records = submission_records("j", &head(), b"2", 4_096);
    records.push(outcome_record("j", "a", &outcome(1, "first")));
    records.push(outcome_record("j", "b", &outcome(1, "second")));
    let book = fold(&log(records));
    let texts = listed(&book);
    assert_eq!(texts.len(), 1);
    assert!(String::from_utf8_lossy(&texts[0]).contains("first"));
}

#[test]
fn a_submission_in_chunks_is_a_job_once_all_of_it_is_there() {
    let raw = format!("{:>9000}", 3);
    let records = log(submission_records("j", &head(), raw.as_bytes(), 4_096));
    assert!(records.len() > 2, "{} records", records.len());
    let mut book = Book::default();
    for record in &records[1..] {
        assert_eq!(book.apply(record, decode), Ok(vec![]));
    }
    assert_eq!(book.apply(&records[0], decode), Ok(vec![Change::Opened("j".into())]));
    assert_eq!(book.jobs["j"].done.len(), 3);
}

#[test]
fn an_end_is_told_once_and_unfinished_texts_stay_as_they_are() {
    let mut records = submission_records("j", &head(), b"2", 4_096);
    let partial = Partial { last: 7, text: "t".into(), versions: vec![1] };
    records.push(partial_record("j", "s0", &partial));
    records.push(end_record("j"));
    records.push(end_record("j"));
    let records = log(records);
    let mut book = fold(&records[..2]);
    assert_eq!(book.jobs["j"].partials.len(), 1);
    assert_eq!(book.apply(&records[2], decode), Ok(vec![Change::Ended("j".into())]));
    assert_eq!(book.apply(&records[3], decode), Ok(vec![]));
    let late =
        Record { offset: 9, key: partial_record("j", "s1", &partial).0, ..records[1].clone() };
    assert_eq!(book.apply(&late, decode), Ok(vec![]));
    let kept: Vec<&usize> = book.jobs["j"].partials.keys().collect();
    assert_eq!(kept, [&0]);
}

#[test]
fn records_that_make_no_sense_are_skipped_with_their_key() {
    let mut book = fold(&log(submission_records("j", &head(), b"1", 4_096)));
    for key in ["j", "j|x", "j|r|a|nobody", "j|s|many", "j|p|nobody"] {
        let record = Record { offset: 9, key: key.into(), value: Some(Bytes::from_static(b"v")) };
        assert_eq!(book.apply(&record, decode).unwrap_err().key, key);
    }
    assert!(!is_id("a|b") && !is_id("") && !is_id(&"x".repeat(101)) && is_id("7c41e09b"));
}

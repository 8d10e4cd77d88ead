//! What nothing needs any more is dropped, and nothing else.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use bytes::Bytes;
use hollywell::core::{
    batch::{
        Garbage, Index, Keys, Manifest, Outcome, Partial, Record, Retention, SampleMeta, TextRef,
        bundle_key, end_record, manifest_record, outcome_record, partial_record, partial_text_key,
        text_key,
    },
    capacity::{Log, Purpose, State},
    time::Time,
};

const TERMS: Retention = Retention { status_ms: 120_000 };

/// A log and its fold.
#[derive(Default)]
struct World {
    index: Index,
    end: u64,
}

impl World {
    /// With a job of two groups of two samples, a bundle each.
    fn new() -> World {
        let mut world = World::default();
        let meta = |at: u32| SampleMeta {
            id: format!("s{at}"),
            group: format!("g{}", at / 2),
            tokens: 10,
            bundle: at / 2,
            at: at % 2,
        };
        let bundles = ["b0", "b1"].map(|writer| text(&bundle_key("j", writer)));
        let head = Manifest {
            at_ms: 1_000,
            samples: (0..4).map(meta).collect(),
            bundles: bundles.to_vec(),
            ..Manifest::default()
        };
        world.append(manifest_record("j", &head));
        world
    }

    fn append(&mut self, (key, value): (String, Bytes)) {
        let value = (!value.is_empty()).then_some(value);
        self.index.apply(&Record { offset: self.end, key, value }).unwrap();
        self.end += 1;
    }

    fn list(&mut self, writer: &str, sample: usize) {
        let id = format!("s{sample}");
        let text = Some(text(&text_key("j", writer, &id)));
        let outcome = Outcome { id, abandoned: false, text, versions: vec![1], score: None };
        self.append(outcome_record("j", writer, &outcome));
    }

    fn keep(&mut self, writers: &[&str], sample: usize) {
        let id = format!("s{sample}");
        let texts = writers.iter().map(|writer| text(&partial_text_key("j", writer, &id)));
        let partial = Partial { last: 10, texts: texts.collect(), versions: vec![1] };
        self.append(partial_record("j", &id, &partial));
    }

    /// Takes what is due and drops it, as one instance does.
    fn drop_due(&mut self, garbage: &mut Garbage, now: u64) -> Keys {
        garbage.observe(&self.index.jobs["j"], Time(now));
        let (keys, after) = garbage.next("j", &self.index.jobs["j"], Time(now));
        *garbage = after;
        for key in &keys.jobs {
            self.append((key.clone(), Bytes::new()));
        }
        keys
    }
}

fn text(key: &str) -> TextRef {
    TextRef { part: 0, offset: 7, key: key.to_owned(), len: 100 }
}

fn piece(writer: &str, sample: usize) -> String {
    partial_text_key("j", writer, &format!("s{sample}"))
}

#[test]
fn requests_go_once_their_group_is_listed() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.list("w", 0);
    assert!(world.drop_due(&mut garbage, 0).is_empty(), "the other sample is to be run");
    world.list("w", 1);
    assert_eq!(world.drop_due(&mut garbage, 1).texts, [bundle_key("j", "b0")]);
    assert!(world.drop_due(&mut garbage, 2).is_empty(), "once");
    world.append(end_record("j"));
    assert_eq!(world.drop_due(&mut garbage, 3).texts, [bundle_key("j", "b1")]);
}

#[test]
fn pieces_of_an_unfinished_text_go_once_the_sample_is_listed_whoever_kept_them() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.keep(&["a.1"], 0);
    world.keep(&["a.1", "a.2"], 0);
    world.keep(&["b.1"], 0);
    world.keep(&["a.3"], 2);
    assert!(world.drop_due(&mut garbage, 0).is_empty());
    world.list("a.4", 0);
    let keys = world.drop_due(&mut garbage, 1);
    assert_eq!(keys.texts, ["a.1", "a.2", "b.1"].map(|writer| piece(writer, 0)));
    assert_eq!(keys.jobs.len(), 1, "the note of them");
    assert!(world.drop_due(&mut garbage, 2).is_empty(), "once");
    // One that was on its way.
    world.keep(&["b.1", "b.2"], 0);
    assert_eq!(world.drop_due(&mut garbage, 3).texts.len(), 2);
    assert!(!world.index.jobs["j"].partials.contains_key(&0));
    assert!(world.index.jobs["j"].partials.contains_key(&2), "the other sample goes on");
}

#[test]
fn unfinished_texts_outlive_their_jobs_end_for_a_later_step_and_no_longer() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.keep(&["a.1"], 3);
    world.append(end_record("j"));
    let keys = world.drop_due(&mut garbage, 1_000);
    assert_eq!(keys.texts, ["b0", "b1"].map(|writer| bundle_key("j", writer)));
    assert!(world.drop_due(&mut garbage, 15_900).is_empty());
    assert!(world.index.jobs["j"].partials.contains_key(&3));
    assert_eq!(world.drop_due(&mut garbage, 16_100).texts, [piece("a.1", 3)]);
    assert!(!world.index.jobs["j"].partials.contains_key(&3), "nobody goes on with it");
}

#[test]
fn a_second_result_goes_and_the_first_stays() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.list("a", 0);
    world.list("b", 0);
    let keys = world.drop_due(&mut garbage, 0);
    assert_eq!(keys.texts, [text_key("j", "b", "s0")]);
    assert!(keys.jobs[0].contains("|r|b|"), "{:?}", keys.jobs);
    assert!(world.drop_due(&mut garbage, 1).is_empty());
    assert_eq!(world.index.jobs["j"].results.len(), 1);
}

#[test]
fn a_text_that_both_results_name_stays() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    // The answer to the append of the result was lost, so that it was
    // appended again; its text lay in the store before.
    let text = Some(text(&text_key("j", "a", "s0")));
    let outcome =
        Outcome { id: "s0".into(), abandoned: false, text, versions: vec![1], score: None };
    world.append(outcome_record("j", "a.1", &outcome));
    world.append(outcome_record("j", "a.2", &outcome));
    let keys = world.drop_due(&mut garbage, 0);
    assert_eq!(keys.jobs.len(), 1, "the second result");
    assert!(keys.texts.is_empty(), "{:?}", keys.texts);
}

#[test]
fn an_open_job_is_never_over_and_an_ended_one_only_after_what_was_promised() {
    let (mut world, garbage) = (World::new(), Garbage::new(Time(0)));
    let late = (Time(10_000_000), 10_000_000);
    assert!(!garbage.is_expired(&world.index.jobs["j"], late.0, late.1, TERMS));
    world.append(end_record("j"));
    let job = &world.index.jobs["j"];
    assert!(!garbage.is_expired(job, Time(119_999), 121_000, TERMS), "clocks may be apart");
    assert!(garbage.is_expired(job, Time(119_999), 131_001, TERMS), "or it started since");
    assert!(garbage.is_expired(job, Time(120_001), 0, TERMS));
}

#[test]
fn everything_of_a_job_that_is_over_is_named_its_head_and_end_together() {
    let mut world = World::new();
    world.list("a", 0);
    world.list("b", 0);
    world.keep(&["a.1"], 1);
    world.append(end_record("j"));
    let keys = world.index.jobs["j"].keys("j");
    let pair = [end_record("j").0, manifest_record("j", &Manifest::default()).0];
    assert_eq!(keys.manifests, std::slice::from_ref(&pair), "together, whatever else there is");
    assert!(!keys.jobs.contains(&pair[0]) && !keys.jobs.contains(&pair[1]));
    for wanted in [bundle_key("j", "b0"), text_key("j", "a", "s0"), text_key("j", "b", "s0")] {
        assert!(keys.texts.contains(&wanted), "{wanted}");
    }
    assert!(keys.texts.contains(&piece("a.1", 1)));
}

#[test]
fn a_job_that_was_taken_in_twice_keeps_the_requests_of_its_newest_head() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.list("w", 0);
    world.list("w", 1);
    assert_eq!(world.drop_due(&mut garbage, 0).texts, [bundle_key("j", "b0")]);
    let mut head = (*world.index.jobs["j"].manifest).clone();
    head.bundles = ["c0", "c1"].map(|writer| text(&bundle_key("j", writer))).to_vec();
    world.append(manifest_record("j", &head));
    assert_eq!(world.drop_due(&mut garbage, 1).texts, [bundle_key("j", "c0")]);
    assert!(world.drop_due(&mut garbage, 2).is_empty(), "the others are to be run");
}

#[test]
fn what_lay_in_a_log_at_the_start_holds_no_results_back() {
    const ROOM: u64 = 1_000_000;
    let mut state = State::new(ROOM);
    let most = state.max_log_bytes(1);
    let mut log = Log::default();
    // Half of the room is live; all of it was read at once at the start.
    log.record(Time(0), 1_000, ROOM / 2);
    state.update(Time(0), ROOM / 2, log.bytes(most), 0);
    assert!(state.allows(Time(0), Purpose::Outcome, 1_000), "{} used", state.used());
    assert!(log.bytes(most) >= most, "it may be as full as it may be");
    log.expire(Time(301_000), 300_000);
    assert_eq!(log.bytes(most), 0, "nothing of it lives any more");
}

#[test]
fn a_caller_waits_for_drops_only_where_drops_make_the_room() {
    let mut state = State::new(1_000_000);
    state.update(Time(0), 100_000, 100_000, 0);
    state.record_refusal(Time(0));
    let trimmed_soon = state.admit(Time(0), 1_000, Some(55_000)).unwrap_err();
    assert!(trimmed_soon <= 5_000, "{trimmed_soon} ms");
    state.update(Time(5_000), 600_000, 0, 0);
    assert_eq!(state.admit(Time(5_000), 1_000, Some(55_000)), Err(55_000));
}

#[test]
fn what_is_spare_counts_until_it_can_have_been_dropped() {
    let mut state = State::new(1_000_000);
    state.update(Time(0), 600_000, 0, 0);
    state.update(Time(1_000), 300_000, 0, 0);
    assert_eq!(state.used(), 600_000, "it is there still");
    state.update(Time(3_000), 300_000, 0, 0);
    assert_eq!(state.used(), 300_000);
    state.appended(50_000);
    assert_eq!(state.used(), 350_000, "a burst counts before it is read");
    state.record_refusal(Time(6_000));
    state.update(Time(6_500), 100_000, 0, 0);
    assert_eq!(state.used(), 300_000, "a full store drops nothing");
    state.update(Time(7_500), 100_000, 0, 0);
    assert_eq!(state.used(), 100_000);
}

#[test]
fn a_log_is_never_trimmed_up_to_what_readers_may_still_want() {
    let mut log = Log::default();
    let mut trimmed = 0;
    for now in (0..200_000).step_by(40) {
        log.record(Time(now), now / 10, 1_000);
        let full = (now > 150_000).then_some(2_000);
        if let Some(before) = log.trim_offset(Time(now), 50_000, full) {
            let least_ms = full.unwrap_or(10_000);
            assert!(before * 10 + least_ms <= now, "at {now} before {before}");
            assert!(before >= trimmed, "never back");
            trimmed = before;
            log.trimmed(before);
        }
        if now > 20_000 {
            // 25 KB a second; 10 s of it may not be trimmed, marks are a
            // second apart.
            let bytes = log.bytes(0);
            assert!(bytes <= 25_000 * 12, "{bytes} bytes at {now}");
        }
    }
    assert!(trimmed > 19_000, "{trimmed}");
}

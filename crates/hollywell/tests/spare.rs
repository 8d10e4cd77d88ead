//! Garbage collection of stored records: deletes what is no longer needed, and
//! nothing else. Also log trimming and admission by free space.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;

use bytes::Bytes;
use hollywell::core::{
    batch::{
        Garbage, Index, Keys, Manifest, Outcome, Partial, Record, Retention, SampleMeta, TextRef,
        bundle_key, end_record, manifest_record, outcome_record, partial_record, partial_text_key,
        text_key,
    },
    capacity::{Log, Past, Purpose, State, Trim},
    time::Time,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

const RETENTION: Retention = Retention { status_ms: 120_000 };

/// The index of a log, and the log's end offset.
#[derive(Default)]
struct World {
    index: Index,
    end: u64,
}

impl World {
    /// A log with one job of two groups of two samples, with a bundle for each
    /// group.
    fn new() -> World {
        let mut world = World::default();
        let meta = |at: u32| SampleMeta {
            id: format!("s{at}"),
            group: format!("g{}", at / 2),
            tokens: 10,
            bundle: at / 2,
            at: at % 2,
            ..SampleMeta::default()
        };
        let bundles = ["b0", "b1"].map(|writer| text(&bundle_key("j", writer)));
        let manifest = Manifest {
            at_ms: 1_000,
            samples: (0..4).map(meta).collect(),
            bundles: bundles.to_vec(),
            ..Manifest::default()
        };
        world.append(manifest_record("j", &manifest));
        world
    }

    fn append(&mut self, (key, value): (String, Bytes)) {
        let value = (!value.is_empty()).then_some(value);
        self.index.apply(&Record { offset: self.end, key, value }).unwrap();
        self.end += 1;
    }

    fn store_result(&mut self, writer: &str, sample: usize) {
        let id = format!("s{sample}");
        let text = Some(text(&text_key("j", writer, &id)));
        let outcome = Outcome { id, abandoned: false, text, versions: vec![1], score: None };
        self.append(outcome_record("j", writer, &outcome));
    }

    fn store_partial(&mut self, writers: &[&str], sample: usize) {
        let id = format!("s{sample}");
        let texts = writers.iter().map(|writer| text(&partial_text_key("j", writer, &id)));
        let partial = Partial { last: 10, texts: texts.collect(), versions: vec![1] };
        self.append(partial_record("j", &id, &partial));
    }

    /// Runs one pass of garbage collection as an instance does, and returns the
    /// deleted keys.
    fn collect(&mut self, garbage: &mut Garbage, now: u64) -> Keys {
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
    TextRef { offset: 7, key: key.to_owned(), len: 100, ..TextRef::default() }
}

fn partial_key(writer: &str, sample: usize) -> String {
    partial_text_key("j", writer, &format!("s{sample}"))
}

#[test]
fn requests_are_deleted_when_their_group_has_results() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.store_result("w", 0);
    assert!(
        world.collect(&mut garbage, 0).is_empty(),
        "the group's other sample has no result yet"
    );
    world.store_result("w", 1);
    assert_eq!(world.collect(&mut garbage, 1).texts, [bundle_key("j", "b0")]);
    assert!(world.collect(&mut garbage, 2).is_empty(), "keys are deleted only once");
    world.append(end_record("j"));
    assert_eq!(world.collect(&mut garbage, 3).texts, [bundle_key("j", "b1")]);
}

#[test]
fn partial_texts_of_all_writers_are_deleted_when_the_sample_has_a_result() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.store_partial(&["a.1"], 0);
    world.store_partial(&["a.1", "a.2"], 0);
    world.store_partial(&["b.1"], 0);
    world.store_partial(&["a.3"], 2);
    assert!(world.collect(&mut garbage, 0).is_empty());
    world.store_result("a.4", 0);
    let keys = world.collect(&mut garbage, 1);
    assert_eq!(keys.texts, ["a.1", "a.2", "b.1"].map(|writer| partial_key(writer, 0)));
    assert_eq!(keys.jobs.len(), 1, "the record that names the partial texts");
    assert!(world.collect(&mut garbage, 2).is_empty(), "keys are deleted only once");
    // A partial text that was in transit when the result was stored.
    world.store_partial(&["b.1", "b.2"], 0);
    assert_eq!(world.collect(&mut garbage, 3).texts.len(), 2);
    assert!(!world.index.jobs["j"].partials.contains_key(&0));
    assert!(world.index.jobs["j"].partials.contains_key(&2), "the other sample has no result yet");
}

#[test]
fn partial_texts_outlive_their_job_by_a_limited_time() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.store_partial(&["a.1"], 3);
    world.append(end_record("j"));
    let keys = world.collect(&mut garbage, 1_000);
    assert_eq!(keys.texts, ["b0", "b1"].map(|writer| bundle_key("j", writer)));
    assert!(world.collect(&mut garbage, 15_900).is_empty());
    assert!(world.index.jobs["j"].partials.contains_key(&3));
    assert_eq!(world.collect(&mut garbage, 16_100).texts, [partial_key("a.1", 3)]);
    assert!(!world.index.jobs["j"].partials.contains_key(&3), "no later step resumed it");
}

#[test]
fn a_duplicate_result_is_deleted() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.store_result("a", 0);
    world.store_result("b", 0);
    let keys = world.collect(&mut garbage, 0);
    assert_eq!(keys.texts, [text_key("j", "b", "s0")]);
    assert!(keys.jobs[0].contains("|r|b|"), "{:?}", keys.jobs);
    assert!(world.collect(&mut garbage, 1).is_empty());
    assert_eq!(world.index.jobs["j"].results.len(), 1);
}

#[test]
fn a_text_shared_by_duplicate_results_is_kept() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    // The acknowledgement of the result's append was lost, so it was appended
    // again. Both records name the text that was stored before.
    let text = Some(text(&text_key("j", "a", "s0")));
    let outcome =
        Outcome { id: "s0".into(), abandoned: false, text, versions: vec![1], score: None };
    world.append(outcome_record("j", "a.1", &outcome));
    world.append(outcome_record("j", "a.2", &outcome));
    let keys = world.collect(&mut garbage, 0);
    assert_eq!(keys.jobs.len(), 1, "only the duplicate result is deleted");
    assert!(keys.texts.is_empty(), "{:?}", keys.texts);
}

#[test]
fn only_an_ended_job_expires_after_its_retention() {
    let (mut world, garbage) = (World::new(), Garbage::new(Time(0)));
    let late = (Time(10_000_000), 10_000_000);
    assert!(!garbage.is_expired(&world.index.jobs["j"], late.0, late.1, RETENTION));
    world.append(end_record("j"));
    let job = &world.index.jobs["j"];
    assert!(
        !garbage.is_expired(job, Time(119_999), 121_000, RETENTION),
        "not expired: clocks may differ"
    );
    assert!(
        garbage.is_expired(job, Time(119_999), 131_001, RETENTION),
        "expired: by its submission time, for an instance that started since"
    );
    assert!(garbage.is_expired(job, Time(120_001), 0, RETENTION));
}

#[test]
fn an_expired_job_names_all_keys_and_pairs_manifest_with_end() {
    let mut world = World::new();
    world.store_result("a", 0);
    world.store_result("b", 0);
    world.store_partial(&["a.1"], 1);
    world.append(end_record("j"));
    let keys = world.index.jobs["j"].keys("j");
    let pair = [end_record("j").0, manifest_record("j", &Manifest::default()).0];
    assert_eq!(
        keys.manifests,
        std::slice::from_ref(&pair),
        "manifest and end are deleted together"
    );
    assert!(!keys.jobs.contains(&pair[0]) && !keys.jobs.contains(&pair[1]));
    for wanted in [bundle_key("j", "b0"), text_key("j", "a", "s0"), text_key("j", "b", "s0")] {
        assert!(keys.texts.contains(&wanted), "{wanted}");
    }
    assert!(keys.texts.contains(&partial_key("a.1", 1)));
}

#[test]
fn a_resubmitted_job_keeps_the_requests_of_its_newest_manifest() {
    let (mut world, mut garbage) = (World::new(), Garbage::new(Time(0)));
    world.store_result("w", 0);
    world.store_result("w", 1);
    assert_eq!(world.collect(&mut garbage, 0).texts, [bundle_key("j", "b0")]);
    let mut manifest = (*world.index.jobs["j"].manifest).clone();
    manifest.bundles = ["c0", "c1"].map(|writer| text(&bundle_key("j", writer))).to_vec();
    world.append(manifest_record("j", &manifest));
    assert_eq!(world.collect(&mut garbage, 1).texts, [bundle_key("j", "c0")]);
    assert!(
        world.collect(&mut garbage, 2).is_empty(),
        "the other group's samples have no results yet"
    );
}

#[test]
fn a_log_read_at_start_does_not_block_results() {
    const CAPACITY: u64 = 1_000_000;
    let mut state = State::new(CAPACITY);
    let max_log_bytes = state.max_log_bytes(1);
    let mut log = Log::default();
    // Half of the capacity is live data, all of it read at once at the start.
    log.record(Time(0), 1_000, CAPACITY / 2);
    state.update(Time(0), CAPACITY / 2, log.bytes(max_log_bytes), 0);
    assert!(state.allows(Time(0), Purpose::Outcome, 1_000), "{} used", state.used());
    assert!(log.bytes(max_log_bytes) >= max_log_bytes, "the log may use its maximum");
    log.expire(Time(301_000), 300_000);
    assert_eq!(log.bytes(max_log_bytes), 0, "all records of the log have expired");
}

#[test]
fn a_refused_caller_retries_soon_only_if_trimming_frees_space() {
    let mut state = State::new(1_000_000);
    state.update(Time(0), 100_000, 100_000, 0);
    state.record_refusal(Time(0), 0);
    let retry_ms = state.admit(Time(0), 1_000, Some(55_000)).unwrap_err();
    assert!(retry_ms <= 5_000, "expected a retry within 5 s, got {retry_ms} ms");
    state.update(Time(5_000), 600_000, 0, 0);
    assert_eq!(state.admit(Time(5_000), 1_000, Some(55_000)), Err(55_000));
}

#[test]
fn garbage_counts_as_used_until_it_can_be_deleted() {
    let mut state = State::new(1_000_000);
    state.update(Time(0), 600_000, 0, 0);
    state.update(Time(1_000), 300_000, 0, 0);
    assert_eq!(state.used(), 600_000, "the garbage is not deleted yet");
    state.update(Time(3_000), 300_000, 0, 0);
    assert_eq!(state.used(), 300_000);
    state.appended(50_000);
    assert_eq!(state.used(), 350_000, "appended bytes count before they are read back");
    state.record_refusal(Time(6_000), 0);
    state.update(Time(6_500), 100_000, 0, 0);
    assert_eq!(state.used(), 300_000, "a full store accepts no deletions");
    state.update(Time(7_500), 100_000, 0, 0);
    assert_eq!(state.used(), 100_000);
}

// Each submission measured the fill anew, and what had been appended since the
// last read counted as nothing.
#[test]
fn what_was_appended_counts_until_it_can_have_been_read() {
    let mut state = State::new(1_000_000);
    state.update(Time(0), 0, 0, 0);
    for at in 0..10 {
        state.appended(50_000);
        state.update(Time(at * 50), 0, 0, 0);
    }
    assert_eq!(state.used(), 500_000);
    state.update(Time(3_000), 0, 0, 0);
    assert_eq!(state.used(), 0);
}

#[test]
fn a_log_is_not_trimmed_past_what_readers_may_need() {
    let mut log = Log::default();
    let mut trimmed = 0;
    for now in (0..200_000).step_by(40) {
        log.record(Time(now), now / 10, 1_000);
        let full = (now > 150_000).then_some(2_000);
        if let Some(before) = log.trim_offset(Time(now), 50_000, full) {
            let min_age_ms = full.unwrap_or(10_000);
            assert!(
                before * 10 + min_age_ms <= now,
                "trimmed before {before} at {now}, too recent"
            );
            assert!(before >= trimmed, "trim offset must not decrease");
            trimmed = before;
            log.trimmed(before);
        }
        if now > 20_000 {
            // 25 KB arrive per second. The last 10 s may not be trimmed, and
            // offsets are recorded 1 s apart.
            let bytes = log.bytes(0);
            assert!(bytes <= 25_000 * 12, "{bytes} bytes left at {now}");
        }
    }
    assert!(trimmed > 19_000, "{trimmed}");
}

// Instances estimated a log by what was written since their own start, and none
// lived long enough to trim it: the store filled up.
#[test]
fn a_log_is_trimmed_although_every_instance_is_restarted_before_it_has_grown() {
    const MAX: u64 = 1_000_000;
    const BYTES_PER_SECOND: u64 = 40_000;
    const INSTANCES: u64 = 6;
    /// Each instance is stopped this often, one after the other, and is down for
    /// a part of the time.
    const CYCLE_S: u64 = 20;
    const DOWN_S: u64 = 3;
    let mut logs: Vec<Option<Log>> = vec![None; INSTANCES as usize];
    let mut trimmed = 0;
    for second in 0..300 {
        let (now, end) = (Time(second * 1_000), second * 100);
        for (at, log) in logs.iter_mut().enumerate() {
            let phase = (second + at as u64 * CYCLE_S / INSTANCES) % CYCLE_S;
            if phase < DOWN_S {
                *log = None;
            } else {
                log.get_or_insert_default().record(now, end, BYTES_PER_SECOND);
            }
        }
        // The first live instance is responsible; the others hear of it.
        let owner = logs.iter().flatten().next().unwrap();
        if let Some(before) = owner.trim_offset(now, MAX, None) {
            trimmed = trimmed.max(before);
            logs.iter_mut().flatten().for_each(|log| log.trimmed(before));
        }
        let bytes = (end - trimmed) / 100 * BYTES_PER_SECOND;
        assert!(bytes <= 2 * MAX, "{bytes} bytes in the log after {second} s");
    }
}

// A started instance trimmed all that a log had held before, although there was room
// for it: callers' texts then had to be read by their keys, a page of 1 MB each.
#[test]
fn start_does_not_trim_records_that_a_log_has_room_for() {
    const MAX: u64 = 50_000;
    for (records, before) in [(400, None), (1_000, Some(500))] {
        let mut log = Log::default();
        log.record(Time(0), records, records * 20);
        log.set_past_record(Some(100));
        assert_eq!(log.bytes(MAX), MAX.min(records * 100));
        assert_eq!(log.trim_offset(Time(9_000), MAX, None), None);
        assert_eq!(log.trim_offset(Time(11_000), MAX, None), before);
        log.trimmed(before.unwrap_or_default());
        assert_eq!(log.trim_offset(Time(12_000), MAX, None), None);
        // What is written since takes the place of the older records.
        log.record(Time(13_000), records + 200, 20_000);
        assert_eq!(log.trim_offset(Time(13_000), MAX, None), Some(records - 300));
        assert_eq!(log.trim_offset(Time(13_000), MAX, Some(10_000)), Some(records));
    }
}

// Each log was trimmed at an equal share, whatever the others held.
#[test]
fn logs_that_fit_together_are_not_trimmed() {
    let mut state = State::new(10_000_000);
    state.update(Time(0), 500_000, 0, 500_000);
    let sizes = [20_000, 1_500_000, 30_000, 1_600_000];
    assert!(state.trim_limit(&sizes) > 1_600_000, "all of them fit in 3,500,000 bytes");
    // Where they don't, what remains of them does.
    for large in [2_000_000, 3_000_000, 9_000_000] {
        let sizes = [20_000, large, 30_000, large + 100_000];
        let limit = state.trim_limit(&sizes);
        assert!(limit < large, "a limit of {limit} for logs of {large} bytes");
        let left: u64 = sizes.iter().map(|bytes| limit.min(*bytes)).sum();
        assert!((3_400_000..=3_500_000).contains(&left), "{left} bytes of {large} each");
    }
}

// What a log held before a start counted as little, as each log's smallest share, while
// it was trimmed at a larger one.
#[test]
fn records_from_before_a_start_count_as_long_as_they_are_not_trimmed() {
    let mut log = Log::default();
    log.record(Time(0), 1_000, 0);
    assert!(!log.is_record_size_known());
    assert_eq!(log.estimated_bytes(20_000), 20_000, "of unknown size");
    log.set_past_record(Some(100));
    assert!(log.is_record_size_known());
    assert_eq!(log.estimated_bytes(20_000), 100_000);
    log.record(Time(11_000), 1_100, 10_000);
    assert_eq!(log.trim_offset(Time(11_000), 60_000, None), Some(500));
    log.trimmed(500);
    assert_eq!(log.estimated_bytes(20_000), 60_000);
}

// The estimate from the size of a record kept what was there at each start.
#[test]
fn a_log_of_records_of_known_size_is_trimmed_although_instances_restart() {
    const MAX: u64 = 1_000_000;
    const RECORD_BYTES: u64 = 400;
    let (mut log, mut trimmed) = (Log::default(), 0);
    for second in 0..300 {
        // Restarted every 15 s; no hint of earlier trims is read.
        if second % 15 == 0 {
            log = Log::default();
        }
        let (now, end) = (Time(second * 1_000), second * 100);
        log.record(now, end, 100 * RECORD_BYTES);
        log.set_past_record(Some(RECORD_BYTES));
        if let Some(before) = log.trim_offset(now, MAX, None) {
            trimmed = trimmed.max(before);
            log.trimmed(before);
        }
        let bytes = (end - trimmed) * RECORD_BYTES;
        assert!(bytes <= 2 * MAX, "{bytes} bytes in the log after {second} s");
    }
}

// An instance that starts reads hints of earlier trims, and took its logs for
// empty.
#[test]
fn a_trim_from_before_a_start_does_not_make_a_log_known() {
    const MAX: u64 = 50_000;
    let mut log = Log::default();
    log.record(Time(0), 1_000, 300_000);
    log.trimmed(600);
    assert_eq!(log.bytes(MAX), MAX, "records 600 to 999 are still there");
    log.record(Time(11_000), 1_100, 10_000);
    assert_eq!(log.trim_offset(Time(11_000), MAX, None), Some(1_000));
    log.trimmed(1_000);
    assert_eq!(log.bytes(MAX), 10_000);
}

// The estimate was too low: each second small records took what had become free,
// and ends were refused.
#[test]
fn a_refusal_reserves_space_for_ends_until_it_is_made() {
    const TOTAL: u64 = 1_000_000;
    let mut state = State::new(TOTAL);
    state.update(Time(0), 300_000, 100_000, 0);
    state.record_refusal(Time(10), 0);
    let others = [Purpose::Hint, Purpose::Suspect, Purpose::Usage, Purpose::Outcome, Purpose::Text];
    for now in [10, 500, 5_000] {
        for purpose in others {
            assert!(!state.allows(Time(now), purpose, 100), "{purpose:?} at {now}");
        }
        for purpose in [Purpose::End, Purpose::Delete, Purpose::Claim] {
            assert!(state.allows(Time(now), purpose, 100), "{purpose:?} at {now}");
        }
    }
    // Logs of 80 KB are trimmed.
    state.update(Time(5_100), 300_000, 20_000, 0);
    assert!(state.allows(Time(5_100), Purpose::Outcome, 1_000));
    assert!(!state.allows(Time(5_100), Purpose::Manifest, 1_000));
}

#[test]
fn past_of_a_log_is_estimated_within_a_quarter() {
    let mut random = SmallRng::seed_from_u64(3);
    for _ in 0..500 {
        // One of `every` records is large; both kinds grow at their own pace.
        let (first, count) = (random.random_range(0..1_000), random.random_range(300..900));
        let (every, small) = (random.random_range(1..4), random.random_range(100..400));
        let (large, growth) = (random.random_range(1_000..60_000), random.random_range(0..30));
        let size =
            |n: u64| if n.is_multiple_of(every) { large + growth * n } else { small + n / 10 };
        let mut past = Past::new(first, first + count);
        for offset in past.offsets() {
            let from = offset - first;
            let sample: Vec<u64> = (from..count).take(12).map(size).collect();
            past.add_sample(sample.len() as u64, sample.iter().sum());
        }
        let (bytes, truth) = (past.bytes().unwrap(), (0..count).map(size).sum::<u64>());
        assert!(
            bytes.abs_diff(truth) <= truth / 4,
            "{bytes} for {truth}: {count} records, each {every}th of {large} + {growth} n bytes"
        );
    }
}

#[test]
fn records_that_a_source_leaves_out_are_counted_by_their_offsets() {
    let mut log = Log::default();
    log.record_read(Time(0), 1_000, 40, 40 * 200);
    assert_eq!(log.bytes(0), 0, "what was there before counts by another estimate");
    log.set_past(200_000);
    assert_eq!(log.bytes(0), 200_000);
    log.record_read(Time(2_000), 1_100, 1, 200);
    log.record_read(Time(4_000), 1_200, 0, 0);
    assert_eq!(log.bytes(0), 200_000 + 200 * 200);
    log.expire(Time(300_001), 300_000);
    assert_eq!(log.bytes(0), 200 * 200, "the past has expired");
}

#[test]
fn a_trim_takes_back_what_the_estimate_lacked_of_its_log() {
    let mut state = State::new(1_000_000);
    state.update(Time(0), 100_000, 50_000, 0);
    state.record_refusal(Time(0), 50_000);
    assert_eq!(state.unaccounted(Time(0)), 800_000);
    state.record_sample(50_000, 150_000);
    assert_eq!(state.unaccounted(Time(0)), 700_000, "a sample shows a part of it");
    state.record_sample(150_000, 50_000);
    let trim = |freed, counted, was_unknown| Trim { freed, counted, was_unknown };
    state.record_trim(trim(Some(300_000), 50_000, true));
    assert_eq!(state.unaccounted(Time(0)), 550_000);
    assert!(!state.is_full(Time(0)));
    state.record_trim(trim(None, 10_000, false));
    assert_eq!(state.unaccounted(Time(0)), 550_000);
    assert_eq!(state.unaccounted(Time(150_000)), 275_000, "half of it has expired");
    assert_eq!(state.unaccounted(Time(300_000)), 0);
    state.record_trim(trim(None, 0, true));
    assert_eq!(state.unaccounted(Time(0)), 0, "all of it may have been in that log");
}

/// A store in which a log that no instance reads takes `foreign` bytes, and
/// instances that are restarted one after the other append results as fast as
/// they may. Returns the longest time in milliseconds until an end was stored.
fn longest_wait_of_an_end(seed: u64, total: u64) -> u64 {
    const INSTANCES: usize = 6;
    const STEP_MS: u64 = 50;
    let mut random = SmallRng::seed_from_u64(seed);
    let foreign = total * random.random_range(50..95) / 100;
    let (result_bytes, operator_bytes) = (total / 500, total / 10_000);
    let mut log: VecDeque<u64> = VecDeque::new();
    let (mut written, mut trimmed, mut operator) = (0, 0, 0);
    let mut instances = vec![(State::new(total), Log::default()); INSTANCES];
    let (mut waiting, mut longest) = (None, 0);
    for step in 0..1_200 {
        let now = Time(step * STEP_MS);
        let restarted = step % 60 == 0;
        if restarted {
            let at = random.random_range(0..INSTANCES);
            instances[at] = (State::new(total), Log::default());
        }
        if step % 10 == 0 {
            operator += operator_bytes;
        }
        if step % 20 == 0 && waiting.is_none() {
            waiting = Some((now, now));
        }
        let mut refused_end = false;
        for at in 0..INSTANCES {
            let used = foreign + operator + log.iter().sum::<u64>();
            let (state, own) = &mut instances[at];
            if step % 20 == 0 {
                own.record(now, written, 0);
                state.update(now, 0, operator + own.bytes(0), 0);
            }
            let is_end = at == 0 && waiting.is_some_and(|(_, next)| now >= next);
            let (purpose, bytes) =
                if is_end { (Purpose::End, 150) } else { (Purpose::Outcome, result_bytes) };
            if !state.allows(now, purpose, bytes) {
                continue;
            }
            if used + bytes > total {
                state.record_refusal(now, bytes);
                refused_end |= is_end;
                if let Some((since, _)) = waiting.filter(|_| is_end) {
                    waiting = Some((since, now.after(150)));
                }
                continue;
            }
            log.push_back(bytes);
            written += 1;
            instances.iter_mut().for_each(|(_, own)| own.record(now, written, bytes));
            instances[at].0.appended(bytes);
            if let Some((since, _)) = waiting.filter(|_| is_end) {
                longest = longest.max(now.since(since));
                waiting = None;
            }
        }
        let trims = refused_end || step % 20 == 0 && instances[0].0.is_short(now);
        if trims && let Some(before) = instances[0].1.trim_offset(now, total, Some(2_000)) {
            let freed = log.drain(..usize::try_from(before - trimmed).unwrap()).sum();
            trimmed = before;
            for (state, own) in &mut instances {
                let trim = own.record_trim(before, Some(freed), 0);
                state.record_trim(trim);
            }
        }
    }
    waiting.map_or(longest, |(since, _)| longest.max(60_000 - since.0))
}

#[test]
fn an_end_finds_space_in_a_store_that_others_have_filled() {
    for seed in 0..40 {
        let longest = longest_wait_of_an_end(seed, 10_000_000);
        assert!(longest <= 6_000, "an end waited {longest} ms, seed {seed}");
    }
}

// What an estimate lacked was more than the whole capacity after samples, and a
// share of nothing is no number: ends were not sent at all.
#[test]
fn an_end_is_sent_whatever_the_estimate_lacks() {
    let mut state = State::new(1_000_000);
    state.record_refusal(Time(0), 100);
    state.record_sample(800_000, 200_000);
    for purpose in [Purpose::End, Purpose::Delete, Purpose::Claim] {
        assert!(state.allows(Time(10), purpose, 1_000), "{purpose:?}");
    }
}

// What was read after a refusal counted twice: as read, and as lacking.
#[test]
fn what_is_read_after_a_refusal_is_no_longer_lacking() {
    let mut state = State::new(1_000_000);
    state.record_refusal(Time(0), 0);
    assert_eq!(state.unaccounted(Time(0)), 1_000_000);
    state.update(Time(1_000), 500_000, 100_000, 0);
    assert!(state.unaccounted(Time(1_000)) <= 400_000);
}

//! Keeps the store within its capacity: estimates its usage, trims logs, and
//! decides whether another job may be accepted, by the rules of
//! [`crate::core::capacity`].

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;

use crate::{
    core::{
        batch::{Job, MAX_CLOCK_SKEW_MS, Record, Submission},
        capacity::{self, LIVE_OVERHEAD, LOG_OVERHEAD, Log, Past, Purpose},
        dispatch::owner,
    },
    entry::{
        hints::{self, Hint},
        shared::{Control, JOBS, Shared, TEXTS, unix_ms},
        store::{Partition, Read, Records, StoreError},
    },
};

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum age of texts that are trimmed while the store is full, in
/// milliseconds: a text is mostly read right after its result was listed, by
/// the instance whose caller requested it.
const FULL_TEXTS_MS: u64 = 2_000;
/// Average number of instances that trim a log when its owner seems not to.
const HELPERS: f64 = 2.0;
/// Estimated bytes of text per token before any were observed. Texts at the
/// users' sites have seven.
const BYTES_PER_TOKEN: f64 = 8.0;
/// Bytes of a result besides its text, in both topics, including the store's
/// overhead.
const OUTCOME_BYTES: u64 = 400;
/// Maximum size of a sample of a log's older records, in KB.
const SAMPLE_KB: usize = 16;
/// Maximum bytes of a sample's entry in its job's manifest.
const BRIEF_BYTES: u64 = 100;

/// Manages the store's capacity until the instance stops.
pub async fn serve(shared: Rc<Shared>) {
    let mut rejecting = false;
    loop {
        // Whoever has no space for an end trims, and at once: others need not
        // know that the store is full.
        let must = timeout(CHECK_INTERVAL, shared.end_without_space.notified()).await.is_ok();
        let _ratio = measure(&shared);
        log_transition(&shared, &mut rejecting);
        for part in 0..shared.partition_changed.len() {
            trim(&shared, part, must).await;
        }
        if !must {
            sample_own_logs(&shared).await;
        }
    }
}

/// Estimates what a log held before its first read here. Without a snapshot
/// that is what was read; with one, all older records count as much as the
/// largest newest one, and if that is a lot they are sampled.
pub fn estimate_past(shared: &Rc<Shared>, part: &Partition, read: &Records, is_snapshot: bool) {
    let sizes = || read.records.iter().map(Record::log_bytes);
    let must_sample = {
        let control = &mut *shared.control.borrow_mut();
        let (bound, is_large) = control.capacity.past_bound(read.end, sizes().max().unwrap_or(0));
        let past = if is_snapshot { bound } else { sizes().sum() };
        control.other_logs.entry(part.clone()).or_default().set_past(past);
        is_snapshot && is_large
    };
    if must_sample {
        tokio::task::spawn_local(sample_past(shared.clone(), part.clone(), read.end));
    }
}

/// Reads a few of a log's older records, and estimates from their sizes what it
/// held.
async fn sample_past(shared: Rc<Shared>, part: Partition, end: u64) {
    if let Some(bytes) = sampled_bytes(&shared, &part, end).await {
        log::info!("{}/{} held {bytes} bytes before {end}", part.topic, part.number);
        let control = &mut *shared.control.borrow_mut();
        let log = control.other_logs.entry(part).or_default();
        let before = log.bytes(0);
        log.set_past(bytes);
        control.capacity.record_sample(before, log.bytes(0));
    }
}

/// Replaces what is assumed of the logs of jobs and texts by samples, if jobs
/// are rejected with it.
async fn sample_own_logs(shared: &Shared) {
    let unsampled: Vec<(usize, usize, u64)> = {
        let control = shared.control.borrow();
        if control.capacity.allows(shared.now(), Purpose::Manifest, 0) {
            return;
        }
        let logs = control.partitions.iter().enumerate().flat_map(|(part, partition)| {
            partition.logs.iter().enumerate().map(move |(at, log)| (part, at, log))
        });
        logs.filter_map(|(part, at, log)| Some((part, at, log.unsampled_before()?))).collect()
    };
    for (part, at, end) in unsampled {
        let topic = [JOBS, TEXTS][at];
        if let Some(bytes) = sampled_bytes(shared, &Partition::at(topic, part), end).await {
            log::info!("{topic}/{part} held {bytes} bytes before {end}");
            let control = &mut *shared.control.borrow_mut();
            let max_past_bytes = PastBytes::of(control);
            let log = &mut control.partitions[part].logs[at];
            let before = log.bytes(max_past_bytes.limit(log));
            log.set_past(bytes);
            control.capacity.record_sample(before, log.bytes(max_past_bytes.limit(log)));
        }
    }
}

/// The bytes that a log holds before an offset, from a few samples; `None` if
/// they cannot be read.
async fn sampled_bytes(shared: &Shared, part: &Partition, end: u64) -> Option<u64> {
    let read = async |from, max_kb| {
        let read = Read { part: part.clone(), from, wait: Duration::ZERO, max_kb };
        shared.reader.read(read).await
    };
    let sample = async |from| match read(from, Some(SAMPLE_KB)).await {
        // A record may be larger than that.
        Ok(sample) if sample.records.is_empty() => read(from, None).await,
        other => other,
    };
    let first = match read(0, Some(SAMPLE_KB)).await {
        Err(StoreError::Trimmed(first)) => first,
        Ok(_) | Err(_) => 0,
    };
    let mut past = Past::new(first, end);
    for from in past.offsets() {
        match sample(from).await {
            Ok(read) => {
                let bytes = read.records.iter().map(Record::log_bytes).sum();
                past.add_sample(read.records.len() as u64, bytes);
            }
            Err(error) => {
                log::info!("sampling {}/{} at {from}: {error}", part.topic, part.number);
                return None;
            }
        }
    }
    past.bytes()
}

/// Bytes of text per token, as far as they were observed.
fn bytes_per_token(shared: &Shared) -> f64 {
    let control = shared.control.borrow();
    let jobs = control.partitions.iter().flat_map(|partition| partition.index.jobs.values());
    let (tokens, bytes) =
        jobs.map(Job::finished_sizes).fold((0, 0), |sum, sizes| (sum.0 + sizes.0, sum.1 + sizes.1));
    if tokens == 0 { BYTES_PER_TOKEN } else { bytes as f64 / tokens as f64 }
}

/// Estimates what the store holds and what accepted jobs will add; returns the
/// bytes of text per token that were assumed.
fn measure(shared: &Shared) -> f64 {
    let bytes_per_token = bytes_per_token(shared);
    let now = shared.now();
    let retention_ms = shared.settings.store.retention_ms();
    let control = &mut *shared.control.borrow_mut();
    let own = control.partitions.iter_mut().flat_map(|partition| &mut partition.logs);
    for log in own.chain(control.other_logs.values_mut()) {
        log.expire(now, retention_ms);
    }
    let others: u64 = control.other_logs.values().map(|log| log.bytes(0)).sum();
    let jobs = || control.partitions.iter().flat_map(|partition| partition.index.jobs.values());
    let live = jobs().map(Job::bytes).sum();
    let tokens: u64 = jobs().map(Job::remaining_tokens).sum();
    let samples = jobs().filter(|job| !job.ended).map(|job| job.done.len() - job.results.len());
    let outcomes = samples.sum::<usize>() as u64 * OUTCOME_BYTES;
    let max_past_bytes = PastBytes::of(control);
    let own = control
        .partitions
        .iter()
        .flat_map(|partition| &partition.logs)
        .map(|log| log.bytes(max_past_bytes.limit(log)));
    let logs = own.sum::<u64>() + others;
    control.capacity.update(now, live, logs, (tokens as f64 * bytes_per_token) as u64 + outcomes);
    let gauge = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
    shared.meters.store_used_bytes.set(gauge(control.capacity.used()));
    shared.meters.store_unaccounted_bytes.set(gauge(control.capacity.unaccounted(now)));
    bytes_per_token
}

/// Logs one line each time that jobs begin or cease to be rejected for lack of
/// capacity.
fn log_transition(shared: &Shared, rejecting: &mut bool) {
    let now = shared.now();
    let control = shared.control.borrow();
    let allowed = control.capacity.allows(now, Purpose::Manifest, 0);
    if *rejecting == allowed {
        *rejecting = !allowed;
        let (used, total) = (control.capacity.used(), control.capacity.total());
        let full = control.capacity.is_full(now);
        let unaccounted = control.capacity.unaccounted(now);
        if allowed {
            log::info!("store has free capacity again: {used} of {total} bytes known to be used");
        } else {
            log::warn!(
                "store is nearly full: {used} of {total} bytes known to be used, \
                 {unaccounted} more by the store's refusals, reported full: {full}"
            );
        }
    }
}

/// Whether a submission may be accepted.
///
/// # Errors
///
/// When to retry, in milliseconds.
pub fn admit(shared: &Shared, submission: &Submission) -> Result<(), u64> {
    let bytes_per_token = measure(shared);
    let mut bytes = 0;
    for sample in &submission.samples {
        let request = prost::Message::encoded_len(sample) as u64;
        // Counted twice: in the log, and as the newest record of its key.
        bytes += 2 * (request + BRIEF_BYTES) + LOG_OVERHEAD + LIVE_OVERHEAD + OUTCOME_BYTES;
        bytes += (f64::from(sample.tokens_hint) * bytes_per_token) as u64;
    }
    let next_deletion_ms = next_deletion_ms(shared);
    shared.control.borrow().capacity.admit(shared.now(), bytes, next_deletion_ms)
}

/// Milliseconds until the records of a job will next be deleted.
fn next_deletion_ms(shared: &Shared) -> Option<u64> {
    let kept_ms = shared.settings.times.status_ms().saturating_add(MAX_CLOCK_SKEW_MS);
    let now_ms = unix_ms();
    let control = shared.control.borrow();
    let jobs = control.partitions.iter().flat_map(|partition| partition.index.jobs.values());
    let left = |at_ms: u64| kept_ms.saturating_sub(now_ms.saturating_sub(at_ms));
    jobs.filter(|job| job.ended).map(|job| left(job.manifest.at_ms)).min()
}

/// Trims the logs of a job partition and of the texts partition with the same
/// number, and publishes a hint, from which the other instances learn that the
/// log was in fact trimmed. Normally one instance, the owner, does it; if the
/// owner seems not to, or the store is full, any that finds it due may; if this
/// instance has no space for an end, it `must`.
async fn trim(shared: &Rc<Shared>, part: usize, must: bool) {
    for (at, topic) in [JOBS, TEXTS].into_iter().enumerate() {
        let Some((before, full)) = due_trim(shared, part, at, must) else {
            continue;
        };
        let before =
            if full && topic == TEXTS { partition_end(shared, part, before).await } else { before };
        let is_short = shared.control.borrow().capacity.unaccounted(shared.now()) > 0;
        // Samples take several reads, for which an end must not wait.
        let freed = match is_short && !must {
            true => sampled_bytes(shared, &Partition::at(topic, part), before).await,
            false => None,
        };
        match (shared.store.trim)((Partition::at(topic, part), before)).await {
            Ok(()) => {
                log::info!("{topic}/{part} trimmed before {before}");
                record_trim(shared, part, at, before, freed);
                let texts = topic == TEXTS;
                hints::publish(shared, &Hint::Trimmed { part, texts, before, freed }).await;
            }
            Err(error) => log::info!("{topic}/{part} is not trimmed yet: {error}"),
        }
    }
}

/// The offset before which this instance must trim a log now, if any, and
/// whether the store is full or nearly.
fn due_trim(shared: &Shared, part: usize, at: usize, must: bool) -> Option<(u64, bool)> {
    let now = shared.now();
    let control = shared.control.borrow();
    let members = control.roster.members();
    let limit = trim_limit(&control);
    let full = must || control.capacity.is_short(now);
    // Instances that follow the jobs would have to read a snapshot again if
    // records were trimmed before they read them. Texts can also be read by
    // their keys.
    let min_age_ms = if at == 0 { capacity::MIN_LOG_AGE_MS } else { FULL_TEXTS_MS };
    let log = &control.partitions[part].logs[at];
    let is_owner = owner(members, &format!("trim {part}"), "") == Some(shared.instance_id.as_str());
    let is_overdue = log.bytes(0) > limit + limit / 2;
    let is_helper =
        (full || is_overdue) && rand::random_bool((HELPERS / members.len() as f64).min(1.0));
    let before = log.trim_offset(now, limit, full.then_some(min_age_ms))?;
    (must || is_owner || is_helper).then_some((before, full))
}

/// Bytes beyond which a log of jobs or texts is trimmed.
fn trim_limit(control: &Control) -> u64 {
    let logs = || control.partitions.iter().flat_map(|partition| &partition.logs);
    let max_log_bytes = control.capacity.max_log_bytes(logs().count());
    let sizes: Vec<u64> = logs().map(|log| log.estimated_bytes(max_log_bytes)).collect();
    control.capacity.trim_limit(&sizes)
}

/// Bytes that the initial contents of a log of jobs or texts count as at most.
struct PastBytes {
    /// If the size of their records is known: more are trimmed.
    of_known_records: u64,
    of_others: u64,
}

impl PastBytes {
    fn of(control: &Control) -> PastBytes {
        PastBytes {
            of_known_records: trim_limit(control),
            of_others: control.capacity.max_log_bytes(2 * control.partitions.len()),
        }
    }

    const fn limit(&self, log: &Log) -> u64 {
        if log.is_record_size_known() { self.of_known_records } else { self.of_others }
    }
}

/// Records that a log was trimmed, by this or another instance.
pub fn record_trim(shared: &Shared, part: usize, at: usize, before: u64, freed: Option<u64>) {
    let control = &mut *shared.control.borrow_mut();
    let max_past_bytes = PastBytes::of(control);
    if let Some(partition) = control.partitions.get_mut(part) {
        let log = &mut partition.logs[at];
        let trim = log.record_trim(before, freed, max_past_bytes.limit(log));
        control.capacity.record_trim(trim);
    }
}

/// Reads the end of a texts partition; `known` if it cannot be read. The
/// partition is not followed, and texts without a reference may lie beyond the
/// last one with a reference. While the store is full no texts are appended,
/// and those still needed can be read by their keys.
async fn partition_end(shared: &Rc<Shared>, part: usize, known: u64) -> u64 {
    let read = Read {
        part: Partition::at(TEXTS, part),
        from: known,
        wait: Duration::ZERO,
        max_kb: Some(1),
    };
    match shared.reader.read(read).await {
        Ok(records) => records.end.max(known),
        Err(error) => {
            log::info!("the end of {TEXTS}/{part} is not known: {error}");
            known
        }
    }
}

//! Keeps the store from being filled: adds up what it holds, trims logs, and
//! says whether another job may be accepted. What is decided stands in
//! [`crate::core::capacity`].

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    core::{
        batch::{Job, MAX_CLOCK_SKEW_MS, Submission},
        capacity::{self, LIVE_OVERHEAD, LOG_OVERHEAD, Purpose},
        dispatch::owner,
    },
    entry::{
        hints::{self, Hint},
        shared::{JOBS, Shared, TEXTS, unix_ms},
        store::{Partition, Read},
    },
};

/// Time between looks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Age up to which texts are trimmed while the store is full, in milliseconds:
/// a text is read by whoever was asked for it right after it was listed.
const FULL_TEXTS_MS: u64 = 2_000;
/// How many instances trim a log, on the average, where its owner seems not to.
const HELPERS: f64 = 2.0;
/// Bytes of text for each token that a sample is estimated at, before any
/// was seen. Texts of the users' sites have seven.
const BYTES_PER_TOKEN: f64 = 8.0;
/// Bytes of a result besides its text, in both topics, with what the store
/// adds.
const OUTCOME_BYTES: u64 = 400;
/// Bytes that a sample takes in its job's head, at most.
const BRIEF_BYTES: u64 = 100;

/// Looks after the store's room until the instance stops.
pub async fn serve(shared: Rc<Shared>) {
    let mut tight = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let _ratio = measure(&shared);
        log_transition(&shared, &mut tight);
        for part in 0..shared.partition_changed.len() {
            trim(&shared, part).await;
        }
    }
}

/// Bytes of text for each token, as far as they were seen.
fn bytes_per_token(shared: &Shared) -> f64 {
    let control = shared.control.borrow();
    let jobs = control.partitions.iter().flat_map(|partition| partition.index.jobs.values());
    let (tokens, bytes) =
        jobs.map(Job::finished_sizes).fold((0, 0), |sum, sizes| (sum.0 + sizes.0, sum.1 + sizes.1));
    if tokens == 0 { BYTES_PER_TOKEN } else { bytes as f64 / tokens as f64 }
}

/// Adds up what the store holds, and what accepted jobs will add; the bytes of
/// text for each token that it reckoned with.
fn measure(shared: &Shared) -> f64 {
    let ratio = bytes_per_token(shared);
    let now = shared.now();
    let life_ms = u64::try_from(shared.settings.store.retention.as_millis()).unwrap_or(u64::MAX);
    let control = &mut *shared.control.borrow_mut();
    let own = control.partitions.iter_mut().flat_map(|partition| &mut partition.logs);
    for log in own.chain(control.other_logs.values_mut()) {
        log.expire(now, life_ms);
    }
    let others: u64 = control.other_logs.values().map(|log| log.bytes(0)).sum();
    let jobs = || control.partitions.iter().flat_map(|partition| partition.index.jobs.values());
    let live = jobs().map(Job::bytes).sum();
    let tokens: u64 = jobs().map(Job::remaining_tokens).sum();
    let samples = jobs().filter(|job| !job.ended).map(|job| job.done.len() - job.results.len());
    let outcomes = samples.sum::<usize>() as u64 * OUTCOME_BYTES;
    let max_log_bytes = control.capacity.max_log_bytes(2 * control.partitions.len());
    let own = control
        .partitions
        .iter()
        .flat_map(|partition| &partition.logs)
        .map(|log| log.bytes(max_log_bytes));
    let logs = own.sum::<u64>() + others;
    control.capacity.update(now, live, logs, (tokens as f64 * ratio) as u64 + outcomes);
    shared.meters.store_used_bytes.set(i64::try_from(control.capacity.used()).unwrap_or(i64::MAX));
    ratio
}

/// One line each time that jobs begin or cease to be rejected for room.
fn log_transition(shared: &Shared, tight: &mut bool) {
    let now = shared.now();
    let control = shared.control.borrow();
    let allowed = control.capacity.allows(now, Purpose::Manifest, 0);
    if *tight == allowed {
        *tight = !allowed;
        let (used, room) = (control.capacity.used(), control.capacity.total());
        let full = control.capacity.is_full(now);
        if allowed {
            log::info!("store has room again: {used} of {room} bytes known to be used");
        } else {
            log::warn!("store is tight: {used} of {room} bytes known to be used, full: {full}");
        }
    }
}

/// Whether a submission may be accepted.
///
/// # Errors
///
/// When to come back, in milliseconds.
pub fn admit(shared: &Shared, submission: &Submission) -> Result<(), u64> {
    let ratio = measure(shared);
    let mut bytes = 0;
    for sample in &submission.samples {
        let request = prost::Message::encoded_len(sample) as u64;
        // Twice: in the log, and as the newest of its key.
        bytes += 2 * (request + BRIEF_BYTES) + LOG_OVERHEAD + LIVE_OVERHEAD + OUTCOME_BYTES;
        bytes += (f64::from(sample.tokens_hint) * ratio) as u64;
    }
    let next_deletion_ms = next_deletion_ms(shared);
    shared.control.borrow().capacity.admit(shared.now(), bytes, next_deletion_ms)
}

/// In how many milliseconds the records of a job will be dropped next.
fn next_deletion_ms(shared: &Shared) -> Option<u64> {
    let kept_ms = shared.settings.times.status_ms().saturating_add(MAX_CLOCK_SKEW_MS);
    let now_ms = unix_ms();
    let control = shared.control.borrow();
    let jobs = control.partitions.iter().flat_map(|partition| partition.index.jobs.values());
    let left = |at_ms: u64| kept_ms.saturating_sub(now_ms.saturating_sub(at_ms));
    jobs.filter(|job| job.ended).map(|job| left(job.manifest.at_ms)).min()
}

/// Trims the logs of a partition of jobs and of the partition of texts with
/// the same number, and tells the others: nobody marks as trimmed what was
/// not. One instance does it as a rule; where that one seems not to, and while
/// the store is full, any that finds it due.
async fn trim(shared: &Rc<Shared>, part: usize) {
    for (at, topic) in [JOBS, TEXTS].into_iter().enumerate() {
        let Some((before, full)) = due_trim(shared, part, at) else {
            continue;
        };
        let before =
            if full && topic == TEXTS { partition_end(shared, part, before).await } else { before };
        match (shared.store.trim)((Partition::at(topic, part), before)).await {
            Ok(()) => {
                log::info!("{topic}/{part} trimmed before {before}");
                record_trim(shared, part, at, before);
                hints::publish(shared, &Hint::Trimmed { part, texts: topic == TEXTS, before })
                    .await;
            }
            Err(fault) => log::info!("{topic}/{part} is not trimmed yet: {fault}"),
        }
    }
}

/// Before which offset a log is to be trimmed by this instance now, if at
/// all, and whether that is since the store is full.
fn due_trim(shared: &Shared, part: usize, at: usize) -> Option<(u64, bool)> {
    let now = shared.now();
    let control = shared.control.borrow();
    let members = control.roster.members();
    let max_log_bytes = control.capacity.max_log_bytes(2 * control.partitions.len());
    let full = control.capacity.is_full(now);
    // Jobs have followers, which would have to begin anew; texts are found by
    // their keys as well.
    let young_ms = if at == 0 { capacity::MIN_LOG_AGE_MS } else { FULL_TEXTS_MS };
    let log = &control.partitions[part].logs[at];
    let is_owner = owner(members, &format!("trim {part}"), "") == Some(shared.instance_id.as_str());
    let late = log.bytes(0) > max_log_bytes + max_log_bytes / 2;
    let is_helper = (full || late) && rand::random_bool((HELPERS / members.len() as f64).min(1.0));
    let before = log.trim_offset(now, max_log_bytes, full.then_some(young_ms))?;
    (is_owner || is_helper).then_some((before, full))
}

/// Notes that a log was trimmed, by whomever.
pub fn record_trim(shared: &Shared, part: usize, at: usize, before: u64) {
    let mut control = shared.control.borrow_mut();
    if let Some(partition) = control.partitions.get_mut(part) {
        partition.logs[at].trimmed(before);
    }
}

/// Where a partition of texts ends; `known` if that cannot be read. Nobody
/// follows it, and texts that nothing names lie beyond the last that is named.
/// While the store is full nothing is added there, and whoever still wants one
/// of the texts finds it by its key.
async fn partition_end(shared: &Rc<Shared>, part: usize, known: u64) -> u64 {
    let read = Read {
        part: Partition::at(TEXTS, part),
        from: known,
        wait: Duration::ZERO,
        max_kb: Some(1),
    };
    match shared.reader.read(read).await {
        Ok(records) => records.end.max(known),
        Err(fault) => {
            log::info!("the end of {TEXTS}/{part} is not known: {fault}");
            known
        }
    }
}

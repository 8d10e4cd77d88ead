//! Keeps the store from being filled: adds up what it holds, trims logs, and
//! says whether another job may be accepted. What is decided stands in
//! [`crate::core::room`].

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    core::{
        batch::{CLOCKS_APART_MS, Job, Submission},
        dispatch::owner,
        room::{self, LIVE_OVERHEAD, LOG_OVERHEAD, Use},
    },
    entry::{
        news::{self, News},
        shared::{JOBS, Shared, TEXTS, wall_ms},
        store::{Part, Read},
    },
};

/// Time between looks.
const LOOK: Duration = Duration::from_secs(1);
/// Age up to which texts are trimmed while the store is full, in milliseconds:
/// a text is read by whoever was asked for it right after it was listed.
const FULL_TEXTS_MS: u64 = 2_000;
/// How many instances trim a log, on the average, where its owner seems not to.
const HELPERS: f64 = 2.0;
/// Bytes of text for each token that a sample is estimated at, before any
/// was seen. Texts of the users' sites have seven.
const BYTES_A_TOKEN: f64 = 8.0;
/// Bytes of a result besides its text, in both topics, with what the store
/// adds.
const OUTCOME_BYTES: u64 = 400;
/// Bytes that a sample takes in its job's head, at most.
const BRIEF_BYTES: u64 = 100;

/// Looks after the store's room until the instance stops.
pub async fn serve(shared: Rc<Shared>) {
    let mut tight = false;
    loop {
        sleep(LOOK).await;
        let _ratio = look(&shared);
        tell(&shared, &mut tight);
        for part in 0..shared.listed.len() {
            trim(&shared, part).await;
        }
    }
}

/// Bytes of text for each token, as far as they were seen.
fn bytes_a_token(shared: &Shared) -> f64 {
    let world = shared.world.borrow();
    let jobs = world.shelves.iter().flat_map(|shelf| shelf.book.jobs.values());
    let (tokens, bytes) =
        jobs.map(Job::sizes).fold((0, 0), |sum, sizes| (sum.0 + sizes.0, sum.1 + sizes.1));
    if tokens == 0 { BYTES_A_TOKEN } else { bytes as f64 / tokens as f64 }
}

/// Adds up what the store holds, and what accepted jobs will add; the bytes of
/// text for each token that it reckoned with.
fn look(shared: &Shared) -> f64 {
    let ratio = bytes_a_token(shared);
    let now = shared.now();
    let life_ms = u64::try_from(shared.settings.store.retention.as_millis()).unwrap_or(u64::MAX);
    let world = &mut *shared.world.borrow_mut();
    let own = world.shelves.iter_mut().flat_map(|shelf| &mut shelf.logs);
    for log in own.chain(world.others.values_mut()) {
        log.expire(now, life_ms);
    }
    let others: u64 = world.others.values().map(|log| log.bytes(0)).sum();
    let jobs = || world.shelves.iter().flat_map(|shelf| shelf.book.jobs.values());
    let live = jobs().map(Job::bytes).sum();
    let tokens: u64 = jobs().map(Job::tokens_to_come).sum();
    let samples = jobs().filter(|job| !job.ended).map(|job| job.done.len() - job.listed.len());
    let outcomes = samples.sum::<usize>() as u64 * OUTCOME_BYTES;
    let most = world.room.log_most(2 * world.shelves.len());
    let own = world.shelves.iter().flat_map(|shelf| &shelf.logs).map(|log| log.bytes(most));
    let logs = own.sum::<u64>() + others;
    world.room.seen(now, live, logs, (tokens as f64 * ratio) as u64 + outcomes);
    shared.meters.store_used_bytes.set(i64::try_from(world.room.used()).unwrap_or(i64::MAX));
    ratio
}

/// One line each time that jobs begin or cease to be rejected for room.
fn tell(shared: &Shared, tight: &mut bool) {
    let now = shared.now();
    let world = shared.world.borrow();
    let allowed = world.room.allows(now, Use::Head, 0);
    if *tight == allowed {
        *tight = !allowed;
        let (used, room) = (world.room.used(), world.room.room());
        let full = world.room.is_full(now);
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
    let ratio = look(shared);
    let mut bytes = 0;
    for sample in &submission.samples {
        let request = prost::Message::encoded_len(sample) as u64;
        // Twice: in the log, and as the newest of its key.
        bytes += 2 * (request + BRIEF_BYTES) + LOG_OVERHEAD + LIVE_OVERHEAD + OUTCOME_BYTES;
        bytes += (f64::from(sample.tokens_hint) * ratio) as u64;
    }
    let next_drop_ms = next_drop_ms(shared);
    shared.world.borrow().room.admit(shared.now(), bytes, next_drop_ms)
}

/// In how many milliseconds the records of a job will be dropped next.
fn next_drop_ms(shared: &Shared) -> Option<u64> {
    let kept_ms = shared.settings.times.status_ms().saturating_add(CLOCKS_APART_MS);
    let now_ms = wall_ms();
    let world = shared.world.borrow();
    let jobs = world.shelves.iter().flat_map(|shelf| shelf.book.jobs.values());
    let left = |at_ms: u64| kept_ms.saturating_sub(now_ms.saturating_sub(at_ms));
    jobs.filter(|job| job.ended).map(|job| left(job.head.at_ms)).min()
}

/// Trims the logs of a partition of jobs and of the partition of texts with
/// the same number, and tells the others: nobody marks as trimmed what was
/// not. One instance does it as a rule; where that one seems not to, and while
/// the store is full, any that finds it due.
async fn trim(shared: &Rc<Shared>, part: usize) {
    for (at, topic) in [JOBS, TEXTS].into_iter().enumerate() {
        let Some((before, full)) = due(shared, part, at) else {
            continue;
        };
        let before = if full && topic == TEXTS { end(shared, part, before).await } else { before };
        match (shared.store.trim)((Part::at(topic, part), before)).await {
            Ok(()) => {
                log::info!("{topic}/{part} trimmed before {before}");
                trimmed(shared, part, at, before);
                news::tell(shared, &News::Trimmed { part, texts: topic == TEXTS, before }).await;
            }
            Err(fault) => log::info!("{topic}/{part} is not trimmed yet: {fault}"),
        }
    }
}

/// Before which offset a log is to be trimmed by this instance now, if at
/// all, and whether that is since the store is full.
fn due(shared: &Shared, part: usize, at: usize) -> Option<(u64, bool)> {
    let now = shared.now();
    let world = shared.world.borrow();
    let members = world.roster.members();
    let most = world.room.log_most(2 * world.shelves.len());
    let full = world.room.is_full(now);
    // Jobs have followers, which would have to begin anew; texts are found by
    // their keys as well.
    let young_ms = if at == 0 { room::LEAST_MS } else { FULL_TEXTS_MS };
    let log = &world.shelves[part].logs[at];
    let mine = owner(members, &format!("trim {part}"), "") == Some(shared.me.as_str());
    let late = log.bytes(0) > most + most / 2;
    let lucky = (full || late) && rand::random_bool((HELPERS / members.len() as f64).min(1.0));
    let before = log.cut(now, most, full.then_some(young_ms))?;
    (mine || lucky).then_some((before, full))
}

/// Notes that a log was trimmed, by whomever.
pub fn trimmed(shared: &Shared, part: usize, at: usize, before: u64) {
    let mut world = shared.world.borrow_mut();
    if let Some(shelf) = world.shelves.get_mut(part) {
        shelf.logs[at].trimmed(before);
    }
}

/// Where a partition of texts ends; `known` if that cannot be read. Nobody
/// follows it, and texts that nothing names lie beyond the last that is named.
/// While the store is full nothing is added there, and whoever still wants one
/// of the texts finds it by its key.
async fn end(shared: &Rc<Shared>, part: usize, known: u64) -> u64 {
    let read =
        Read { part: Part::at(TEXTS, part), from: known, wait: Duration::ZERO, most_kb: Some(1) };
    match shared.reader.read(read).await {
        Ok(records) => records.end.max(known),
        Err(fault) => {
            log::info!("the end of {TEXTS}/{part} is not known: {fault}");
            known
        }
    }
}

//! Keeps the store from being filled: adds up what it holds, trims logs, and
//! says whether another job may be accepted. What is decided stands in
//! [`crate::core::room`].

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    core::{
        batch::{CLOCKS_APART_MS, Submission},
        dispatch::owner,
        room::{self, LIVE_OVERHEAD, LOG_OVERHEAD, Use},
    },
    entry::{
        shared::{JOBS, Shared, TEXTS, wall_ms},
        store::{Part, Read},
    },
};

/// Time between looks.
const LOOK: Duration = Duration::from_secs(1);
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
        look(&shared);
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
    let (tokens, bytes) = jobs
        .map(crate::core::batch::Job::sizes)
        .fold((0, 0), |sum, sizes| (sum.0 + sizes.0, sum.1 + sizes.1));
    if tokens == 0 { BYTES_A_TOKEN } else { bytes as f64 / tokens as f64 }
}

/// Adds up what the store holds, and what accepted jobs will add.
fn look(shared: &Shared) {
    let ratio = bytes_a_token(shared);
    let world = &mut *shared.world.borrow_mut();
    let jobs = || world.shelves.iter().flat_map(|shelf| shelf.book.jobs.values());
    let live = jobs().map(crate::core::batch::Job::bytes).sum();
    let tokens: u64 = jobs().map(crate::core::batch::Job::tokens_to_come).sum();
    let samples = jobs().filter(|job| !job.ended).map(|job| job.done.len() - job.listed.len());
    let outcomes = samples.sum::<usize>() as u64 * OUTCOME_BYTES;
    let logs = world.shelves.iter().map(|shelf| shelf.logs[0].bytes() + shelf.logs[1].bytes());
    let logs = logs.sum();
    world.room.seen(live, logs, (tokens as f64 * ratio) as u64 + outcomes);
    shared.meters.used.set(i64::try_from(world.room.used()).unwrap_or(i64::MAX));
}

/// One line each time that jobs begin or cease to be rejected for room.
fn tell(shared: &Shared, tight: &mut bool) {
    let now = shared.now();
    let world = shared.world.borrow();
    let allowed = world.room.allows(now, Use::Head);
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
    look(shared);
    let ratio = bytes_a_token(shared);
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
    let status_ms = u64::try_from(shared.settings.times.status.as_millis()).unwrap_or(u64::MAX);
    let kept_ms = status_ms.saturating_add(CLOCKS_APART_MS);
    let now_ms = wall_ms();
    let world = shared.world.borrow();
    let jobs = world.shelves.iter().flat_map(|shelf| shelf.book.jobs.values());
    let left = |at_ms: u64| kept_ms.saturating_sub(now_ms.saturating_sub(at_ms));
    jobs.filter(|job| job.ended).map(|job| left(job.head.at_ms)).min()
}

/// Trims the logs of a partition of jobs and of the partition of texts with
/// the same number. All instances reckon with it; one does it.
async fn trim(shared: &Rc<Shared>, part: usize) {
    for (at, topic) in [JOBS, TEXTS].into_iter().enumerate() {
        let (cut, mine, full) = {
            let now = shared.now();
            let world = &mut *shared.world.borrow_mut();
            let most = world.room.log_most(2 * world.shelves.len());
            let full = world.room.is_full(now);
            let deal = format!("trim {part}");
            let mine = owner(world.roster.members(), &deal, "") == Some(shared.me.as_str());
            let log = &mut world.shelves[part].logs[at];
            let cut = log.cut(now, most, full);
            if let Some(before) = cut.filter(|_| !mine) {
                log.trimmed(before);
            }
            (cut, mine, full)
        };
        let Some(before) = cut.filter(|_| mine) else {
            continue;
        };
        let before = if full && topic == TEXTS { end(shared, part, before).await } else { before };
        match (shared.store.trim)((Part::at(topic, part), before)).await {
            Ok(()) => {
                log::info!("{topic}/{part} trimmed before {before}");
                shared.world.borrow_mut().shelves[part].logs[at].trimmed(before);
            }
            Err(fault) => log::info!("{topic}/{part} is not trimmed yet: {fault}"),
        }
    }
}

/// Where a partition of texts ends; `known` if that cannot be read. Nobody
/// follows it, and texts that nothing names lie beyond the last that is named.
/// While the store is full nothing is added there, and whoever still wants one
/// of the texts finds it by its key.
async fn end(shared: &Rc<Shared>, part: usize, known: u64) -> u64 {
    let read =
        Read { part: Part::at(TEXTS, part), from: known, wait: Duration::ZERO, most_kb: Some(1) };
    match (shared.store.read)(read).await {
        Ok(records) => records.end.max(known),
        Err(fault) => {
            log::info!("the end of {TEXTS}/{part} is not known: {fault}");
            known
        }
    }
}

/// A log of a partition that nothing was read of yet.
#[must_use]
pub fn logs() -> [room::Log; 2] {
    [room::Log::default(), room::Log::default()]
}

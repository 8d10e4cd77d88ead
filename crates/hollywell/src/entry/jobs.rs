//! Batch jobs at this instance: taking them in, reading them, ending them,
//! and scoring their samples.
//!
//! What it leaves out: bringing results to the store
//! ([`crate::entry::outbox`]).

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    core::{
        batch::{self, Manifest, Outcome, Sample, Submission, TextRef},
        capacity::Purpose,
        dispatch::{Event, Slot},
    },
    entry::{
        caller::Caller,
        capacity,
        codec::{Delivered, Results},
        ends,
        forward::{self, ForwardResult, PlainRequest},
        hints::{self, Hint},
        samples,
        shared::{JOBS, Shared, unix_ms},
        store::{Append, Partition, Read, StoreError},
        texts, unstarted,
    },
    error::Kind,
};

/// Most bytes of results in one answer, of the 1 MB that callers take; the
/// rest is for names and escapes.
const PAGE_BYTES: usize = 700_000;
/// What a result takes in an answer besides its text, at most.
const OVERHEAD_BYTES: usize = 300;
/// How long to look for an append's records whose answer was lost.
const LOOK_FOR: Duration = Duration::from_millis(2_500);
/// Pause between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// Time that a scoring request is given, in milliseconds.
const SCORE_MS: u64 = 800;
/// When to come back after the store itself had no room, in milliseconds:
/// records are dropped and logs trimmed each second.
const FULL_MS: u64 = 2_000;
/// Pause before a scoring request is sent again.
const SCORE_PAUSE: Duration = Duration::from_millis(30);
/// The same where no target could take it: each try writes a line of log.
const SCORE_REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// Most by which that pause is stretched after a send that broke off. What
/// broke off together must not come back together: else the same requests are
/// at one end of a target after the other, and none stands out.
const SCORE_SPREAD: f64 = 5.0;
/// The same for one that is held back.
const SCORE_HELD_PAUSE: Duration = Duration::from_secs(5);

/// What became of a caller's wish about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// It was done.
    Done,
    /// It was not done and never will be.
    Rejected,
    /// It was not done, since the store has no room for it, and never will
    /// be; when to come back, in milliseconds.
    StoreFull(u64),
    /// It may be done later.
    OutcomeUnknown,
    /// There is no such job or sample.
    NotFound,
    /// This instance cannot be sure now.
    Unavailable,
    /// The wish makes no sense.
    Malformed(String),
    /// Here it is.
    Body(Bytes),
}

/// Takes a job in. [`JobReply::Done`] means that it is kept from now on.
pub async fn submit(
    shared: &Rc<Shared>,
    caller: &Caller,
    job: &str,
    host: &str,
    path: &str,
    decoded: &Submission,
) -> JobReply {
    let part = shared.partition_of(job);
    if let Some(reply) = accepted(shared, caller, part, job) {
        return reply;
    }
    if !batch::is_id(job) || decoded.samples.iter().any(|sample| !batch::is_id(&sample.id)) {
        return JobReply::Malformed(format!(
            "ids have 1 to {} bytes, none of them '|'",
            batch::MAX_ID_LEN
        ));
    }
    // Another instance may just have accepted it. Where that cannot be read,
    // the two heads that there may be name the same samples.
    let current = catch_up(shared, part).await;
    if let Some(reply) = accepted(shared, caller, part, job) {
        return reply;
    }
    log::debug!("job {job} is new here, partition {part} read to its end: {current}");
    if let Err(come_back_ms) = capacity::admit(shared, decoded) {
        return no_room(shared, job, come_back_ms);
    }
    // The samples first: until the head is there, nothing is kept and nothing
    // runs, whatever became of this append.
    let (samples, bundles) = match samples::put(shared, job, decoded).await {
        Ok(put) => put,
        Err(StoreError::Full) => return no_room(shared, job, FULL_MS),
        Err(fault) => {
            if fault.is_not_applied() {
                shared.orphans.mark_refused(shared.now(), job);
            }
            log::info!("job {job} refused, its samples: {fault}");
            return JobReply::Rejected;
        }
    };
    let head = Manifest {
        host: host.to_owned(),
        path: path.to_owned(),
        at_ms: unix_ms(),
        step: decoded.step,
        model: decoded.model.clone(),
        min_version: decoded.min_version,
        groups_wanted: decoded.groups_wanted,
        samples,
        bundles,
        organisation: caller.organisation().to_owned(),
    };
    let (key, value) = batch::manifest_record(job, &head);
    let most = shared.settings.store.record_bytes;
    if key.len() + value.len() >= most {
        return JobReply::Malformed(format!("{} bytes of a job's head exceed {most}", value.len()));
    }
    let what = format!("job {job} of {} samples", decoded.samples.len());
    let kept = keep(shared, part, (key, value), &what, |shared| known(shared, part, job)).await;
    if matches!(kept, JobReply::Rejected | JobReply::StoreFull(_)) {
        shared.orphans.mark_refused(shared.now(), job);
    }
    if kept == JobReply::Done {
        tokio::task::spawn_local(unstarted::watch(shared.clone(), part, job.to_owned()));
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            hints::publish(&shared, &Hint::Accepted { part }).await;
        });
    }
    kept
}

fn no_room(shared: &Shared, job: &str, come_back_ms: u64) -> JobReply {
    log::info!("job {job} refused: no room in the store, come back in {come_back_ms} ms");
    shared.meters.jobs_without_space.inc();
    shared.orphans.mark_refused(shared.now(), job);
    JobReply::StoreFull(come_back_ms)
}

/// Appends a job's head; where no answer comes, looks whether it is there.
async fn keep(
    shared: &Rc<Shared>,
    part: usize,
    (key, value): (String, Bytes),
    what: &str,
    there: impl Fn(&Shared) -> bool,
) -> JobReply {
    let records = vec![(Some(key), value)];
    let (at, purpose) = (Partition::at(JOBS, part), Purpose::Manifest);
    let append = Append { part: at, records, expected_end: None, purpose };
    match shared.append(append).await {
        Ok(_) => {
            log::info!("{what} accepted");
            JobReply::Done
        }
        Err(StoreError::Full) => JobReply::StoreFull(FULL_MS),
        Err(fault) if fault.is_not_applied() => {
            log::info!("{what} refused: {fault}");
            JobReply::Rejected
        }
        Err(fault) => {
            log::info!("{what}: {fault}; looking for it");
            look_for(shared, part, there).await
        }
    }
}

fn known(shared: &Shared, part: usize, job: &str) -> bool {
    shared.control.borrow().partitions[part].index.jobs.contains_key(job)
}

/// Whether a job is known that the caller may see.
fn is_seen(shared: &Shared, caller: &Caller, part: usize, job: &str) -> bool {
    let control = shared.control.borrow();
    let head = control.partitions[part].index.jobs.get(job).map(|job| &job.manifest);
    head.is_some_and(|head| caller.may_see(&head.organisation))
}

/// What a submission is answered whose job is there. Another organisation's
/// job of that id is none that this caller is told of.
fn accepted(shared: &Shared, caller: &Caller, part: usize, job: &str) -> Option<JobReply> {
    if !known(shared, part, job) {
        return None;
    }
    Some(if is_seen(shared, caller, part, job) { JobReply::Done } else { JobReply::NotFound })
}

/// Waits until something that may have been appended is read.
async fn look_for(shared: &Rc<Shared>, part: usize, there: impl Fn(&Shared) -> bool) -> JobReply {
    let until = Instant::now() + LOOK_FOR;
    while Instant::now() < until {
        let _unsure = catch_up(shared, part).await;
        if there(shared) {
            return JobReply::Done;
        }
        sleep(LOOK_PAUSE).await;
    }
    JobReply::OutcomeUnknown
}

/// Reads a partition to its end, whatever its follower is doing. Returns
/// whether that went well.
pub async fn catch_up(shared: &Rc<Shared>, part: usize) -> bool {
    loop {
        let (from, loaded) = {
            let control = shared.control.borrow();
            (control.partitions[part].next, control.partitions[part].loaded)
        };
        if !loaded {
            return false;
        }
        let read =
            Read { part: Partition::at(JOBS, part), from, wait: Duration::ZERO, max_kb: None };
        match shared.reader.read(read).await {
            Ok(records) => {
                shared.record_store_result(true);
                shared.apply_records(part, &records.records, 0);
                if shared.control.borrow().partitions[part].next >= records.end {
                    return true;
                }
            }
            // The follower starts over by itself.
            Err(StoreError::Trimmed(_)) => return false,
            Err(fault) => {
                shared.record_store_result(false);
                log::info!("catching up with {JOBS}/{part}: {fault}");
                return false;
            }
        }
    }
}

/// Reads a job's results from a position on, waiting for `hold` at most for
/// those that are worth an answer ([`batch::Job::is_worth_answering`]).
///
/// Trainers wait for a number of whole groups, and come back half a second
/// after each answer. With an answer at the first result, the last one that a
/// step needed often came right after an answer that was of no use.
pub async fn results(
    shared: &Rc<Shared>,
    caller: &Caller,
    job: &str,
    after: usize,
    hold: Duration,
) -> JobReply {
    let part = shared.partition_of(job);
    let until = Instant::now() + hold;
    let listed = |shared: &Shared| {
        let control = shared.control.borrow();
        let job = control.partitions[part].index.jobs.get(job)?;
        let due = job.is_worth_answering(after) || after >= job.done.len();
        Some((job.results.len(), due))
    };
    // A position beyond the fold was read elsewhere, or never existed.
    if listed(shared).is_none_or(|(len, _)| len < after) && !catch_up(shared, part).await {
        return JobReply::Unavailable;
    }
    if !is_seen(shared, caller, part, job) {
        return JobReply::NotFound;
    }
    let _waits = Waits::new(shared, part);
    loop {
        let notified = shared.partition_changed[part].notified();
        let Some((len, due)) = listed(shared) else {
            return JobReply::NotFound;
        };
        let waited = Instant::now() >= until;
        if due || waited && len > after {
            return page(shared, part, job, after).await;
        }
        if waited {
            // "Nothing yet" is a claim about the store, which may have gone
            // silent since the follower last heard from it.
            return match catch_up(shared, part).await {
                true => page(shared, part, job, after).await,
                false => JobReply::Unavailable,
            };
        }
        let _no_news = timeout_at(until, notified).await;
    }
}

/// Counts a caller who waits here for results of a partition.
struct Waits {
    shared: Rc<Shared>,
    part: usize,
}

impl Waits {
    fn new(shared: &Rc<Shared>, part: usize) -> Waits {
        let readers = &shared.result_waiters[part];
        readers.set(readers.get() + 1);
        Waits { shared: shared.clone(), part }
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        let readers = &self.shared.result_waiters[self.part];
        readers.set(readers.get() - 1);
    }
}

async fn page(shared: &Rc<Shared>, part: usize, job: &str, after: usize) -> JobReply {
    let Some((total, outcomes)) = outcomes(shared, part, job, after) else {
        return JobReply::NotFound;
    };
    let wanted: Vec<TextRef> = outcomes.iter().filter_map(|o| o.text.clone()).collect();
    let mut texts = match texts::fetch(shared, &wanted).await {
        Ok(texts) => texts.into_iter(),
        Err(fault) => {
            log::info!("texts of job {job} from {after} on: {fault}");
            return JobReply::Unavailable;
        }
    };
    let next = after + outcomes.len();
    log::debug!("results of job {job} from {after} to {next} of {total} go out");
    let delivered = |outcome: Outcome| {
        let text = outcome.text.as_ref().and_then(|_| texts.next()).unwrap_or_default();
        Delivered { outcome, text }
    };
    let results = outcomes.into_iter().map(delivered).collect();
    JobReply::Body((shared.codec.results)(&Results { total, next, results }))
}

/// A job's number of samples and as many of its results as fit in an answer.
fn outcomes(
    shared: &Shared,
    part: usize,
    job: &str,
    after: usize,
) -> Option<(usize, Vec<Outcome>)> {
    let control = shared.control.borrow();
    let job = control.partitions[part].index.jobs.get(job)?;
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut bytes = 0;
    for listed in job.results.iter().skip(after) {
        let outcome: Outcome = match Outcome::decode(listed.value.clone()) {
            Ok(outcome) => outcome,
            Err(error) => {
                log::error!("result at offset {} cannot be read: {error}", listed.offset);
                break;
            }
        };
        bytes += outcome.text.as_ref().map_or(0, TextRef::bytes) + OVERHEAD_BYTES;
        if bytes > PAGE_BYTES && !outcomes.is_empty() {
            break;
        }
        outcomes.push(outcome);
    }
    Some((job.done.len(), outcomes))
}

/// The body of a sample that is not listed.
pub async fn sample_body(
    shared: &Rc<Shared>,
    caller: &Caller,
    job: &str,
    sample: &str,
) -> JobReply {
    let part = shared.partition_of(job);
    if !known(shared, part, job) && !catch_up(shared, part).await {
        return JobReply::Unavailable;
    }
    if !is_seen(shared, caller, part, job) {
        return JobReply::NotFound;
    }
    let at = {
        let control = shared.control.borrow();
        let found = control.partitions[part].index.jobs.get(job);
        found.and_then(|job| job.index.get(sample).copied().filter(|at| !job.done[*at]))
    };
    let Some(at) = at else {
        return JobReply::NotFound;
    };
    let slot = Slot { job: job.to_owned(), at };
    match samples::get(shared, &slot).await {
        Some(sample) => JobReply::Body(sample.body),
        None => JobReply::Unavailable,
    }
}

/// Ends a job. It stops at once and at all instances, whatever the store
/// does ([`ends`]).
pub async fn end(shared: &Rc<Shared>, caller: &Caller, job: &str) -> JobReply {
    if !batch::is_id(job) {
        return JobReply::NotFound;
    }
    let part = shared.partition_of(job);
    let current = known(shared, part, job) || catch_up(shared, part).await;
    if known(shared, part, job) && !is_seen(shared, caller, part, job) {
        return JobReply::NotFound;
    }
    let ended = {
        let control = shared.control.borrow();
        control.partitions[part].index.jobs.get(job).map(|job| job.ended)
    };
    match ended {
        None if current => {
            ends::store_early_end(shared, job);
            JobReply::NotFound
        }
        Some(true) => JobReply::Done,
        known => ends::end_job(shared, job, known.is_some()).await,
    }
}

/// Sends a finished sample's scoring request until it is scored or has
/// failed for good.
pub async fn score(shared: Rc<Shared>, slot: Slot) {
    let part = shared.partition_of(&slot.job);
    let (mut failures, mut tries) = (0, 0);
    loop {
        let wanted = shared.control.borrow().is_sample_open(part, &slot);
        if !wanted {
            return;
        }
        let Some(Sample { scorer, .. }) = samples::get(&shared, &slot).await else {
            sleep(SCORE_PAUSE).await;
            continue;
        };
        let Some(scorer) = scorer else {
            shared.handle_event(&Event::Scored(slot));
            return;
        };
        let plan = shared.control.borrow().configuration.clone();
        let route = plan.as_ref().and_then(|plan| plan.route(&scorer.host, &scorer.path));
        let Some(mut route) = route.cloned() else {
            sleep(SCORE_PAUSE).await;
            continue;
        };
        // One target at a time: each failure counts.
        let most = std::mem::replace(&mut route.attempts, 1).max(1);
        let plain = PlainRequest {
            method: http::Method::POST,
            target: scorer.path.clone(),
            host: scorer.host.clone(),
            id: scorer.id.clone(),
            organisation: String::new(),
            headers: http::HeaderMap::new(),
            body: scorer.body.clone(),
            deadline: shared.now().after(SCORE_MS),
            began: Cell::new(None),
            digest: OnceCell::new(),
        };
        // Reading the request may have taken long.
        if !shared.may_send(&slot) {
            sleep(SCORE_PAUSE).await;
            continue;
        }
        tries += 1;
        let mut pause = SCORE_PAUSE;
        match forward::run(&shared, &route, &plain, tries).await {
            ForwardResult::Answered(answer) if answer.status.is_success() => {
                let signature = answer.signature(&shared.codec.headers.signature);
                if let Some(text) = shared.control.borrow_mut().partial_texts.get_mut(&slot) {
                    text.score = signature;
                }
                shared.handle_event(&Event::Scored(slot));
                return;
            }
            ForwardResult::Answered(answer) => {
                if answer.status == http::StatusCode::INTERNAL_SERVER_ERROR {
                    failures += 1;
                }
                log::debug!("scoring {}/{}: {}", slot.job, slot.at, answer.status);
            }
            ForwardResult::Refused(kind, come_back_ms) => {
                log::debug!("scoring {}/{}: {kind:?}", slot.job, slot.at);
                let come_back = come_back_ms.map_or(SCORE_HELD_PAUSE, Duration::from_millis);
                pause = match kind {
                    Kind::EndsTargets => come_back.min(SCORE_HELD_PAUSE),
                    Kind::OutcomeUnknown => {
                        SCORE_REFUSED_PAUSE.mul_f64(rand::random_range(1.0..=SCORE_SPREAD))
                    }
                    _ => SCORE_REFUSED_PAUSE,
                };
            }
        }
        if failures >= most {
            log::info!("scoring {}/{} failed {failures} times", slot.job, slot.at);
            shared.handle_event(&Event::Unscored(slot));
            return;
        }
        sleep(pause).await;
    }
}

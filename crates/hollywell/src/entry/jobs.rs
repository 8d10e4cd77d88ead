//! Operations on batch jobs: reading results, ending a job, and scoring its
//! samples. Jobs are stored by [`crate::entry::submission`].
//!
//! Results are written to the store by [`crate::entry::outbox`].

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    core::{
        batch::{self, End, Outcome, Retention, Sample, TextRef},
        dispatch::{Event, SampleId},
        host,
        organisation::Caller,
        waits::{self, Waits},
    },
    entry::{
        codec::{Delivered, Results},
        ends,
        forward::{self, ForwardResult, PlainRequest},
        interest, samples,
        shared::{JOBS, Shared, unix_ms},
        store::{Partition, Read, StoreError},
        texts,
    },
    error::Kind,
};

/// Limit on the results in one response, in bytes. Callers accept 1 MB; the
/// rest is left for field names and JSON escapes.
pub(super) const MAX_PAGE_BYTES: usize = 700_000;
/// Upper bound of a result's size in a response apart from its text, in bytes.
const MAX_OVERHEAD_BYTES: usize = 300;
/// Time after which a page that has a result ends rather than to make another read.
/// Callers wait a second for results, and little longer for the response.
const PAGE_READ_TIME: Duration = Duration::from_millis(500);
/// How long the reply to an end waits for the read that shows whether its job
/// exists. A read may take several seconds.
const END_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of a scoring request, in milliseconds.
const SCORE_TIMEOUT_MS: u64 = 800;
/// Delay before a scoring request is retried.
const SCORE_RETRY_DELAY: Duration = Duration::from_millis(30);
/// The same after no target accepted it; longer, because each failed request
/// writes a log line.
const SCORE_REFUSED_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the random factor applied to [`SCORE_REFUSED_DELAY`] after an
/// exchange broke. Requests that failed together must not be retried together:
/// otherwise the same set of requests is present at each crash of a target, and
/// the poison request among them cannot be told apart.
const SCORE_MAX_JITTER: f64 = 5.0;
/// Upper bound of the delay while a scoring request is held back as poison.
const SCORE_MAX_HELD_DELAY: Duration = Duration::from_secs(5);

/// The result of an operation on a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// The operation succeeded.
    Done,
    /// The operation failed without effect.
    Rejected,
    /// The operation failed without effect because the store is full; with the
    /// retry delay in milliseconds.
    StoreFull(u64),
    /// The job was rejected without effect because the accepted jobs have too many
    /// samples; with the retry delay in milliseconds.
    TooManySamples(u64),
    /// The operation failed without effect because the store serves no more calls
    /// at present; with the retry delay in milliseconds.
    RateLimited(u64),
    /// The job was rejected without effect because no result of its partition can
    /// be stored here; with the retry delay in milliseconds.
    HeldBack(u64),
    /// The job was rejected without effect because it would be late; with the
    /// retry delay in milliseconds.
    Late(u64),
    /// The operation may have taken effect, or still may.
    OutcomeUnknown,
    /// The job or sample does not exist, or the caller may not see it.
    NotFound,
    /// This instance cannot read the job's current state.
    Unavailable,
    /// The request is invalid; with the reason, for the log.
    Malformed(String),
    /// The body of the response.
    Body(Bytes),
}

pub(super) fn is_known(shared: &Shared, part: usize, job: &str) -> bool {
    shared.control.borrow().partitions[part].index.jobs.contains_key(job)
}

/// Whether the job exists and the caller may see it.
pub(super) fn is_visible(shared: &Shared, caller: &Caller, part: usize, job: &str) -> bool {
    let control = shared.control.borrow();
    let manifest = control.partitions[part].index.jobs.get(job).map(|job| &job.manifest);
    manifest.is_some_and(|manifest| caller.may_see(&manifest.organisation))
}

/// Reads a partition to its end, independently of the task that follows it.
/// Returns whether that succeeded.
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
            // The follower reloads the partition.
            Err(StoreError::Trimmed(_)) => return false,
            Err(error) => {
                shared.record_store_result(false);
                log::info!("failed to catch up with {JOBS}/{part}: {error}");
                return false;
            }
        }
    }
}

/// Reads a job's results from a position, waiting up to `max_wait` until they
/// are worth reading ([`batch::Job::is_worth_answering`]).
///
/// Trainers need a number of complete groups and poll again half a second after
/// each response. When the first result ended the wait, the last one that a
/// step needed often arrived right after a response that did not help.
pub async fn results(
    shared: &Rc<Shared>,
    caller: &Caller,
    job: &str,
    after: usize,
    max_wait: Duration,
) -> JobReply {
    let part = shared.partition_of(job);
    let mut deadline = Instant::now() + max_wait;
    let listed = |shared: &Shared| {
        let control = shared.control.borrow();
        let job = control.partitions[part].index.jobs.get(job)?;
        let due = job.is_worth_answering(after) || after >= job.done.len();
        Some((job.results.len(), due))
    };
    // A position beyond the folded results was read at another instance, or
    // does not exist.
    if listed(shared).is_none_or(|(len, _)| len < after) && !catch_up(shared, part).await {
        return JobReply::Unavailable;
    }
    if !is_visible(shared, caller, part, job) {
        return JobReply::NotFound;
    }
    if !max_wait.is_zero() {
        interest::record_wait(shared, part, job);
    }
    let waiting = WaitingReader::new(shared, part);
    loop {
        let notified = shared.partition_changed[part].notified();
        let Some((len, due)) = listed(shared) else {
            return JobReply::NotFound;
        };
        let timed_out = Instant::now() >= deadline;
        if due || timed_out && len > after {
            return page(shared, part, job, after).await;
        }
        if timed_out {
            // "No results yet" is a statement about the store, which may have
            // become unresponsive since the follower last read from it.
            return match catch_up(shared, part).await {
                true => page(shared, part, job, after).await,
                false => JobReply::Unavailable,
            };
        }
        tokio::select! {
            _timed_out = timeout_at(deadline, notified) => {}
            () = waiting.end.notified() => deadline = Instant::now(),
        }
    }
}

/// Reads that wait for results, of all partitions.
#[derive(Debug)]
pub struct WaitingReads {
    state: RefCell<Waits>,
    ends: RefCell<HashMap<waits::Id, Rc<Notify>>>,
}

impl WaitingReads {
    /// Creates an empty set for at most `limit` reads.
    #[must_use]
    pub fn new(limit: usize) -> WaitingReads {
        WaitingReads { state: RefCell::new(Waits::new(limit)), ends: RefCell::default() }
    }
}

/// Counts a caller that waits for results of a partition, until dropped.
struct WaitingReader {
    shared: Rc<Shared>,
    part: usize,
    id: waits::Id,
    /// Notified when the wait is to end for another one.
    end: Rc<Notify>,
}

impl WaitingReader {
    fn new(shared: &Rc<Shared>, part: usize) -> WaitingReader {
        let readers = &shared.result_waiters[part];
        readers.set(readers.get() + 1);
        let end = Rc::new(Notify::new());
        let waiting = &shared.waiting_reads;
        let (id, oldest) = waiting.state.borrow_mut().begin();
        let mut ends = waiting.ends.borrow_mut();
        ends.insert(id, end.clone());
        if let Some(oldest) = oldest.and_then(|oldest| ends.get(&oldest)) {
            oldest.notify_one();
        }
        drop(ends);
        WaitingReader { shared: shared.clone(), part, id, end }
    }
}

impl Drop for WaitingReader {
    fn drop(&mut self) {
        let readers = &self.shared.result_waiters[self.part];
        readers.set(readers.get() - 1);
        let waiting = &self.shared.waiting_reads;
        waiting.state.borrow_mut().end(self.id);
        waiting.ends.borrow_mut().remove(&self.id);
    }
}

async fn page(shared: &Rc<Shared>, part: usize, job: &str, after: usize) -> JobReply {
    let Some((total, mut outcomes)) = outcomes(shared, part, job, after) else {
        return JobReply::NotFound;
    };
    let wanted: Vec<TextRef> = outcomes.iter().filter_map(|o| o.text.clone()).collect();
    let until = Some(Instant::now() + PAGE_READ_TIME);
    let fetched = texts::fetch_until(&shared.reader, &shared.text_cache, &wanted, until).await;
    let texts = fetched.texts;
    end_before_unread(&mut outcomes, texts.len());
    if let Some(error) = fetched.error {
        let read = after + outcomes.len();
        log::info!("failed to read the texts of job {job} from position {read}: {error}");
        if outcomes.is_empty() {
            return JobReply::Unavailable;
        }
    }
    let next = after + outcomes.len();
    log::debug!("results of job {job} from {after} to {next} of {total} go out");
    if texts.contains(&None) && !is_retained(shared, part, job).await {
        log::info!("the texts of job {job} from position {after} may have been deleted with it");
        return JobReply::Unavailable;
    }
    let mut texts = texts.into_iter();
    let delivered = |outcome: Outcome| {
        let text = if outcome.text.is_some() { texts.next().flatten() } else { Some(Bytes::new()) };
        match text {
            Some(text) => Delivered { outcome, text },
            None => without_text(job, outcome),
        }
    };
    let results = outcomes.into_iter().map(delivered).collect();
    JobReply::Body((shared.codec.results)(&Results { total, next, results }))
}

/// Ends a page before the first result whose text was not read; `read` is the number
/// of texts that were.
fn end_before_unread(outcomes: &mut Vec<Outcome>, read: usize) {
    let mut with_text = outcomes.iter().enumerate().filter(|(_, outcome)| outcome.text.is_some());
    if let Some((at, _)) = with_text.nth(read) {
        outcomes.truncate(at);
    }
}

/// Whether the store still has to keep a job's results. Where it need not, a
/// text that is missing may have been deleted with the job.
async fn is_retained(shared: &Rc<Shared>, part: usize, job: &str) -> bool {
    if !catch_up(shared, part).await {
        return false;
    }
    let retention = Retention { status_ms: shared.settings.times.status_ms() };
    let control = shared.control.borrow();
    let job = control.partitions[part].index.jobs.get(job);
    job.is_some_and(|job| !job.may_be_expired(unix_ms(), retention))
}

/// The answer for a result whose text is gone for good. It keeps its position,
/// so that the results after it can be read, and is given as abandoned: no
/// other text would be the sample's output.
fn without_text(job: &str, outcome: Outcome) -> Delivered {
    log::error!("the text of sample {} of job {job} is lost; it is given as abandoned", outcome.id);
    let outcome = Outcome { abandoned: true, text: None, versions: vec![], score: None, ..outcome };
    Delivered { outcome, text: Bytes::new() }
}

/// The number of samples in a job, and as many of its results from a position
/// as fit in a response.
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
                log::error!("failed to decode the result at offset {}: {error}", listed.offset);
                break;
            }
        };
        bytes += outcome.text.as_ref().map_or(0, TextRef::bytes) + MAX_OVERHEAD_BYTES;
        if bytes > MAX_PAGE_BYTES && !outcomes.is_empty() {
            break;
        }
        outcomes.push(outcome);
    }
    Some((job.done.len(), outcomes))
}

/// Reads the body of a sample that has no result yet.
pub async fn sample_body(
    shared: &Rc<Shared>,
    caller: &Caller,
    job: &str,
    sample: &str,
) -> JobReply {
    let part = shared.partition_of(job);
    if !is_known(shared, part, job) && !catch_up(shared, part).await {
        return JobReply::Unavailable;
    }
    if !is_visible(shared, caller, part, job) {
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
    let sample_id = SampleId { job: job.to_owned(), index: at };
    match samples::get(shared, &sample_id).await {
        Some(sample) => JobReply::Body(sample.body),
        None => JobReply::Unavailable,
    }
}

/// Ends a job. It stops immediately at all instances, even if the store is
/// unavailable ([`ends`]), and even if the caller does not wait for the reply.
pub async fn end(shared: &Rc<Shared>, caller: &Caller, job: &str) -> JobReply {
    let (shared, caller, job) = (shared.clone(), caller.clone(), job.to_owned());
    let ending = tokio::task::spawn_local(async move { end_known(&shared, &caller, &job).await });
    ending.await.unwrap_or_else(|error| {
        log::error!("the task that ends a job failed: {error}");
        JobReply::OutcomeUnknown
    })
}

async fn end_known(shared: &Rc<Shared>, caller: &Caller, job: &str) -> JobReply {
    if !batch::is_id(job) {
        return JobReply::NotFound;
    }
    let part = shared.partition_of(job);
    if !is_known(shared, part, job) {
        return end_unread(shared, caller, job).await;
    }
    if !is_visible(shared, caller, part, job) {
        return JobReply::NotFound;
    }
    let is_ended = {
        let control = shared.control.borrow();
        control.partitions[part].index.jobs.get(job).is_some_and(|job| job.ended)
    };
    if is_ended {
        return JobReply::Done;
    }
    let end = End::from(job);
    ends::request(shared, &end);
    match ends::is_stored_in_time(shared, &end).await {
        true => JobReply::Done,
        false => JobReply::OutcomeUnknown,
    }
}

/// Ends a job that is not known here. The end doesn't wait for the read that
/// shows whether the job exists and the caller may end it; the reply does.
async fn end_unread(shared: &Rc<Shared>, caller: &Caller, job: &str) -> JobReply {
    let part = shared.partition_of(job);
    let end = End { job: job.to_owned(), by: caller.clone() };
    ends::request(shared, &end);
    shared.meters.ends_reading.inc();
    let read = timeout(END_READ_TIMEOUT, catch_up(shared, part)).await;
    shared.meters.ends_reading.dec();
    let is_current = read.is_ok_and(|is_current| is_current);
    if is_current && !is_visible(shared, caller, part, job) {
        return JobReply::NotFound;
    }
    let is_stored = ends::is_stored_in_time(shared, &end).await;
    if is_known(shared, part, job) && !is_visible(shared, caller, part, job) {
        return JobReply::NotFound;
    }
    let may_end = *caller == Caller::Unrestricted || is_visible(shared, caller, part, job);
    match is_stored && may_end {
        true => JobReply::Done,
        false => JobReply::OutcomeUnknown,
    }
}

/// Sends the scoring request of a sample whose text is complete, with retries,
/// until it is scored or its attempts are used up.
pub async fn score(shared: Rc<Shared>, sample_id: SampleId) {
    let part = shared.partition_of(&sample_id.job);
    let (mut failures, mut attempts) = (0, 0);
    loop {
        let is_open = shared.control.borrow().is_sample_open(part, &sample_id);
        if !is_open {
            return;
        }
        let Some(Sample { scorer, .. }) = samples::get(&shared, &sample_id).await else {
            sleep(SCORE_RETRY_DELAY).await;
            continue;
        };
        let Some(scorer) = scorer else {
            shared.handle_event(&Event::Scored(sample_id));
            return;
        };
        let configuration = shared.control.borrow().configuration.clone();
        let host = host::name(&scorer.host);
        let route = configuration
            .as_ref()
            .and_then(|configuration| configuration.route(&host, &scorer.path));
        let Some(mut route) = route.cloned() else {
            sleep(SCORE_RETRY_DELAY).await;
            continue;
        };
        // One attempt per call, so that each failure is counted here.
        let max_failures = std::mem::replace(&mut route.max_attempts, 1).max(1);
        let request = PlainRequest {
            method: http::Method::POST,
            target: scorer.path.clone(),
            host,
            authority: scorer.host.clone(),
            id: scorer.id.clone(),
            organisation: String::new(),
            headers: http::HeaderMap::new(),
            body: scorer.body.clone(),
            deadline: shared.now().after(SCORE_TIMEOUT_MS),
            usage_window: Cell::new(None),
            is_owed: true,
            may_have_run: Rc::default(),
            digest: OnceCell::new(),
        };
        // Reading the request may have taken a while.
        if !shared.may_send(&sample_id) {
            sleep(SCORE_RETRY_DELAY).await;
            continue;
        }
        attempts += 1;
        let mut delay = SCORE_RETRY_DELAY;
        match forward::run(&shared, &route, &request, attempts).await {
            ForwardResult::Answered(response) if response.status.is_success() => {
                let signature = response.signature(&shared.codec.headers.signature);
                if let Some(text) = shared.control.borrow_mut().partial_texts.get_mut(&sample_id) {
                    text.score = signature;
                }
                shared.handle_event(&Event::Scored(sample_id));
                return;
            }
            ForwardResult::Answered(response) => {
                if response.status == http::StatusCode::INTERNAL_SERVER_ERROR {
                    failures += 1;
                }
                log::debug!(
                    "scoring sample {}/{}: {}",
                    sample_id.job,
                    sample_id.index,
                    response.status
                );
            }
            ForwardResult::Refused(kind, retry_after_ms) => {
                log::debug!("scoring sample {}/{}: {kind:?}", sample_id.job, sample_id.index);
                let retry_after =
                    retry_after_ms.map_or(SCORE_MAX_HELD_DELAY, Duration::from_millis);
                delay = match kind {
                    Kind::EndsTargets => retry_after.min(SCORE_MAX_HELD_DELAY),
                    Kind::OutcomeUnknown => {
                        SCORE_REFUSED_DELAY.mul_f64(rand::random_range(1.0..=SCORE_MAX_JITTER))
                    }
                    _ => SCORE_REFUSED_DELAY,
                };
            }
        }
        if failures >= max_failures {
            log::info!(
                "scoring sample {}/{} failed {failures} times",
                sample_id.job,
                sample_id.index
            );
            shared.handle_event(&Event::ScoringFailed(sample_id));
            return;
        }
        sleep(delay).await;
    }
}

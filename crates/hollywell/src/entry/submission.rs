//! Submission of batch jobs.
//!
//! A job's requests are stored first and then its manifest, which refers to
//! them. The same job may be submitted again at this instance while an append
//! of an earlier attempt is still open, so each attempt knows only its own
//! appends.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep};

use crate::{
    account::Charge,
    core::{
        batch::{self, Manifest, MayArrive, Submission},
        capacity::Purpose,
        unstored,
    },
    entry::{
        backlog,
        caller::Caller,
        capacity,
        hints::{self, Hint},
        interest,
        jobs::{JobReply, catch_up, is_known, is_visible},
        samples,
        shared::{JOBS, Shared, unix_ms},
        store::{Append, Appended, Partition, StoreError},
        unstarted,
    },
};

/// How long to poll for the record of an append whose response was lost.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay between these polls.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Retry delay for a job that was rejected because too many samples are kept, in
/// milliseconds: ended jobs are deleted each second.
const SAMPLES_RETRY_MS: u64 = 2_000;
/// Retry delay for a job that the store rejected because it was full, in
/// milliseconds: records are deleted and logs trimmed each second.
const STORE_FULL_RETRY_MS: u64 = 2_000;

/// Submits a job. [`JobReply::Done`] means that the job is stored durably.
///
/// A rejection says that no part of the job runs. It is not given while an
/// earlier submission of the same job at this instance may still be accepted.
pub async fn submit(
    shared: &Rc<Shared>,
    caller: &Caller,
    job: &str,
    host: &str,
    path: &str,
    submission: &Submission,
) -> JobReply {
    let reply = store_job(shared, caller, job, host, path, submission).await;
    let rejects = matches!(
        reply,
        JobReply::Rejected
            | JobReply::StoreFull(_)
            | JobReply::TooManySamples(_)
            | JobReply::RateLimited(_)
            | JobReply::HeldBack(_)
            | JobReply::Late(_)
    );
    if rejects && shared.orphans.borrow().may_be_accepted(shared.now(), job) {
        log::info!("job {job}: {reply:?}, but an earlier submission may still be accepted");
        return JobReply::OutcomeUnknown;
    }
    reply
}

async fn store_job(
    shared: &Rc<Shared>,
    caller: &Caller,
    job: &str,
    host: &str,
    path: &str,
    submission: &Submission,
) -> JobReply {
    let part = shared.partition_of(job);
    if let Some(reply) = reply_to_duplicate(shared, caller, part, job) {
        return reply;
    }
    if !batch::is_id(job) || submission.samples.iter().any(|sample| !batch::is_id(&sample.id)) {
        return JobReply::Malformed(format!(
            "ids must have 1 to {} bytes and contain no '|'",
            batch::MAX_ID_LEN
        ));
    }
    let max_bytes = shared.settings.store.record_bytes;
    let metadata_bytes = batch::min_metadata_bytes(submission);
    if metadata_bytes >= max_bytes {
        return metadata_too_large(metadata_bytes, max_bytes);
    }
    // Another instance may just have accepted the job. If the partition cannot
    // be read, the job may get two metadata records, which name the same
    // samples.
    let current = catch_up(shared, part).await;
    if let Some(reply) = reply_to_duplicate(shared, caller, part, job) {
        return reply;
    }
    log::debug!("job {job} is not known here; read to the end of partition {part}: {current}");
    // While the partition cannot be read, the job may have been accepted by
    // another instance, and a rejection would be untrue.
    if current
        && let Err(retry_after_ms) = backlog::admit(shared, caller, job, (host, path), submission)
    {
        return JobReply::Late(retry_after_ms);
    }
    let now = shared.now();
    let holds_back = shared.control.borrow().partitions[part].unstored.holds_back(now);
    if holds_back {
        log::info!("job {job} refused: no result of partition {part} can be stored");
        return JobReply::HeldBack(unstored::RETRY_AFTER_MS);
    }
    let _charge = match admit_samples(shared, job, submission.samples.len(), metadata_bytes) {
        Ok(charge) => charge,
        Err(retry_after_ms) => return JobReply::TooManySamples(retry_after_ms),
    };
    if let Err(retry_after_ms) = capacity::admit(shared, submission) {
        return store_full(shared, job, retry_after_ms);
    }
    let now = shared.now();
    let admitted = shared.control.borrow_mut().throttle.admit(now);
    if admitted.is_err() {
        return rate_limited(shared, &format!("job {job}"));
    }
    // Samples are stored first. Whatever happens to this append, the job does
    // not exist, and nothing runs, until its metadata is stored.
    let stored = match samples::store_submission(shared, job, submission).await {
        Ok(stored) => stored,
        Err(StoreError::Full) => return store_full(shared, job, STORE_FULL_RETRY_MS),
        Err(StoreError::RateLimited) => return rate_limited(shared, &format!("job {job}")),
        Err(error) => {
            log::info!("job {job} refused: its samples could not be stored: {error}");
            return JobReply::Rejected;
        }
    };
    let manifest = Manifest {
        host: host.to_owned(),
        path: path.to_owned(),
        at_ms: unix_ms(),
        step: submission.step,
        model: submission.model.clone(),
        min_version: submission.min_version,
        groups_wanted: submission.groups_wanted,
        samples: stored.samples,
        bundles: stored.bundles,
        organisation: caller.organisation().to_owned(),
        may_be_repeated: !current,
    };
    let (key, value) = batch::manifest_record(job, &manifest);
    if key.len() + value.len() >= max_bytes {
        return metadata_too_large(value.len(), max_bytes);
    }
    let what = format!("job {job} of {} samples", submission.samples.len());
    let is_stored = |shared: &Shared| is_known(shared, part, job);
    let accepted =
        append_metadata(shared, &stored.attempt, part, (key, value), &what, is_stored).await;
    let reply = match accepted {
        Ok(offset) if current => {
            interest::record_accepted(shared, part, job, offset);
            JobReply::Done
        }
        Ok(_) => JobReply::Done,
        Err(reply) => reply,
    };
    if reply == JobReply::Done {
        tokio::task::spawn_local(unstarted::watch(shared.clone(), part, job.to_owned()));
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            hints::publish(&shared, &Hint::Accepted { part }).await;
        });
    }
    reply
}

fn metadata_too_large(bytes: usize, max_bytes: usize) -> JobReply {
    JobReply::Malformed(format!("the job's metadata has {bytes} bytes, the limit is {max_bytes}"))
}

/// The samples that all instances keep, and the memory that they take here, in
/// bytes.
fn kept(shared: &Shared) -> (usize, usize) {
    let control = shared.control.borrow();
    let jobs = control.partitions.iter().flat_map(|partition| partition.index.jobs.values());
    jobs.fold((0, 0), |(samples, bytes), job| {
        (samples + job.done.len(), bytes + job.memory_bytes())
    })
}

/// Sets the memory of kept samples aside. They are accepted by all instances, so
/// that this one can't refuse them.
pub(super) fn set_aside_kept(shared: &Shared) {
    shared.caller_memory.set_aside(kept(shared).1);
}

/// Decides whether the samples of a job may be accepted beside those that all
/// instances keep, and takes memory for them until they are among those.
///
/// # Errors
///
/// When the caller may come back, in milliseconds.
fn admit_samples(
    shared: &Shared,
    job: &str,
    more: usize,
    metadata_bytes: usize,
) -> Result<Charge, u64> {
    let (kept, kept_bytes) = kept(shared);
    shared.caller_memory.set_aside(kept_bytes);
    let mut charge = Charge::new(&shared.caller_memory);
    if batch::may_keep_samples(kept, more, shared.limits.samples)
        && charge.try_grow(batch::kept_bytes(more, metadata_bytes))
    {
        return Ok(charge);
    }
    log::info!("job {job} refused: {kept} samples are kept, it has {more}");
    shared.meters.jobs_without_memory.inc();
    Err(SAMPLES_RETRY_MS)
}

fn store_full(shared: &Shared, job: &str, retry_after_ms: u64) -> JobReply {
    log::info!("job {job} refused: no room in the store, come back in {retry_after_ms} ms");
    shared.meters.jobs_without_space.inc();
    JobReply::StoreFull(retry_after_ms)
}

fn rate_limited(shared: &Shared, what: &str) -> JobReply {
    let retry_after_ms = shared.control.borrow().throttle.retry_after_ms(shared.now());
    log::info!("{what} refused: the store serves no more calls, come back in {retry_after_ms} ms");
    shared.meters.jobs_without_rate.inc();
    JobReply::RateLimited(retry_after_ms)
}

/// Appends a job's metadata, and returns its offset. If the outcome of the append
/// is unknown, checks whether the record arrived.
///
/// # Errors
///
/// Another reply, also if the record has arrived without a response.
async fn append_metadata(
    shared: &Rc<Shared>,
    attempt: &Attempt,
    part: usize,
    (key, value): (String, Bytes),
    what: &str,
    is_stored: impl Fn(&Shared) -> bool,
) -> Result<u64, JobReply> {
    let records = vec![(Some(key), value)];
    let (at, purpose) = (Partition::at(JOBS, part), Purpose::Manifest);
    let append = Append { part: at, records, expected_end: None, purpose };
    match attempt.append_manifest(append).await {
        Ok(appended) => {
            log::info!("{what} accepted");
            Ok(appended.offset)
        }
        Err(StoreError::Full) => Err(JobReply::StoreFull(STORE_FULL_RETRY_MS)),
        Err(StoreError::RateLimited) => Err(rate_limited(shared, what)),
        Err(error) if error.is_not_applied() => {
            log::info!("{what} refused: {error}");
            Err(JobReply::Rejected)
        }
        Err(error) => {
            log::info!("{what}: {error}; checking whether it was stored");
            Err(confirm_append(shared, part, is_stored).await)
        }
    }
}

/// The reply to a submission whose job id is already taken. The existence of
/// another organisation's job is not revealed.
fn reply_to_duplicate(
    shared: &Shared,
    caller: &Caller,
    part: usize,
    job: &str,
) -> Option<JobReply> {
    if !is_known(shared, part, job) {
        return None;
    }
    Some(if is_visible(shared, caller, part, job) { JobReply::Done } else { JobReply::NotFound })
}

/// Polls until a record that may have been appended is read.
async fn confirm_append(
    shared: &Rc<Shared>,
    part: usize,
    is_stored: impl Fn(&Shared) -> bool,
) -> JobReply {
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    while Instant::now() < deadline {
        let _is_current = catch_up(shared, part).await;
        if is_stored(shared) {
            return JobReply::Done;
        }
        sleep(CONFIRM_INTERVAL).await;
    }
    JobReply::OutcomeUnknown
}

/// An attempt at storing a job. Ends when dropped, which also covers a caller
/// that disconnects.
pub struct Attempt {
    shared: Rc<Shared>,
    job: String,
    id: batch::AttemptId,
    may_arrive: Cell<MayArrive>,
}

impl Attempt {
    /// Begins an attempt that stores requests under `keys`.
    pub fn begin(
        shared: &Rc<Shared>,
        part: usize,
        job: &str,
        keys: impl IntoIterator<Item = String>,
    ) -> Attempt {
        let id = shared.orphans.borrow_mut().add_requests(part, job, keys);
        Attempt { shared: shared.clone(), job: job.to_owned(), id, may_arrive: Cell::default() }
    }

    /// Appends requests.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn append_requests(&self, append: Append) -> Result<Appended, StoreError> {
        let before = self.expect(MayArrive::Requests);
        let appended = self.shared.append(append).await;
        if appended.as_ref().map_or_else(StoreError::is_not_applied, |_| true) {
            self.may_arrive.set(before);
        }
        appended
    }

    /// Appends the manifest, which refers to the requests.
    ///
    /// # Errors
    ///
    /// The store's [`StoreError`].
    pub async fn append_manifest(&self, append: Append) -> Result<Appended, StoreError> {
        let before = self.expect(MayArrive::Manifest);
        let appended = self.shared.append(append).await;
        if appended.as_ref().is_err_and(StoreError::is_not_applied) {
            self.may_arrive.set(before);
        }
        appended
    }

    /// Records, before an append, what it may leave behind if its outcome does
    /// not become known. Returns what earlier appends may have left.
    fn expect(&self, may_arrive: MayArrive) -> MayArrive {
        self.may_arrive.replace(self.may_arrive.get().max(may_arrive))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut orphans = self.shared.orphans.borrow_mut();
        orphans.end_attempt(now, &self.job, self.id, self.may_arrive.get());
    }
}

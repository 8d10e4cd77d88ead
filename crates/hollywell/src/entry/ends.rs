//! Ends that are not in the store yet: what [`crate::core::ending`] decides
//! is carried out here, and peers' word is taken in.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use prost::Message as _;
use tokio::time::{Instant, sleep};

use crate::{
    core::{
        batch,
        capacity::Purpose,
        ending::{Effect, Event},
    },
    entry::{
        jobs::JobReply,
        peers,
        shared::{JOBS, Shared},
        store::{Append, Appended, Partition, StoreError},
    },
};

/// The path on which peers tell of ends.
pub const PATH: &str = "/ends";
/// How long to wait for an end whose append got no answer to be read.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between ticks of the reducer while an end is held.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What one peer tells another.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct EndNotice {
    /// Who tells.
    #[prost(string, tag = "1")]
    by: String,
    /// Jobs whose ends were asked for.
    #[prost(string, repeated, tag = "2")]
    jobs: Vec<String>,
}

/// Takes an event in and carries its effects out.
pub fn handle_event(shared: &Rc<Shared>, event: &Event) {
    let now = shared.now();
    let effects = shared.control.borrow_mut().ending.step(now, event);
    for effect in effects {
        match effect {
            Effect::Close(job) => {
                log::info!("end of job {job} is held: nothing more of it runs here");
                shared.close_job(&job);
            }
            Effect::Append(job) => {
                tokio::task::spawn_local(append(shared.clone(), job));
            }
            Effect::Notify { member, jobs } => {
                tokio::task::spawn_local(notify_peer(shared.clone(), member, jobs));
            }
        }
    }
}

/// Ends a job for a caller: it stops at once, whatever the store does. The
/// answer is [`JobReply::Done`] only once the store has the end.
pub async fn end_job(shared: &Rc<Shared>, job: &str, known: bool) -> JobReply {
    handle_event(shared, &Event::Requested { job: job.to_owned(), known });
    if !known {
        return JobReply::OutcomeUnknown;
    }
    let until = Instant::now() + END_TIMEOUT;
    loop {
        match progress(shared, job) {
            Progress::Done => return JobReply::Done,
            // It goes on being tried; the caller is not kept for that.
            Progress::Refused => return JobReply::OutcomeUnknown,
            Progress::Open if Instant::now() >= until => return JobReply::OutcomeUnknown,
            Progress::Open => sleep(POLL_INTERVAL).await,
        }
    }
}

enum Progress {
    Done,
    Refused,
    Open,
}

/// Whether a job's end was read.
fn is_ended(shared: &Shared, job: &str) -> bool {
    let control = shared.control.borrow();
    let job = control.partitions[shared.partition_of(job)].index.jobs.get(job);
    job.is_some_and(|job| job.ended)
}

fn progress(shared: &Shared, job: &str) -> Progress {
    let control = shared.control.borrow();
    let known = control.partitions[shared.partition_of(job)].index.jobs.get(job);
    if known.is_none_or(|job| job.ended) || control.ending.is_stored(job) {
        return Progress::Done;
    }
    if control.ending.is_refused(job) { Progress::Refused } else { Progress::Open }
}

/// Leaves the end of a job that does not exist in the store, for when its
/// head is appended late: whoever was told nothing about its submission may
/// ask for its end first. It is dropped if the job does not come.
pub fn store_early_end(shared: &Rc<Shared>, job: &str) {
    shared.orphans.end(shared.now(), shared.partition_of(job), job);
    let (shared, job) = (shared.clone(), job.to_owned());
    tokio::task::spawn_local(async move {
        if let Err(fault) = append_end(&shared, &job).await {
            log::info!("end of job {job}, which is not known, is not kept: {fault}");
        }
    });
}

async fn append_end(shared: &Shared, job: &str) -> Result<Appended, StoreError> {
    let part = Partition::at(JOBS, shared.partition_of(job));
    let (key, value) = batch::end_record(job);
    let records = vec![(Some(key), value)];
    shared.append(Append { part, records, expected_end: None, purpose: Purpose::End }).await
}

async fn append(shared: Rc<Shared>, job: String) {
    let event = match append_end(&shared, &job).await {
        Ok(_) => {
            log::info!("end of job {job} accepted");
            Event::Stored(job)
        }
        Err(fault) => {
            log::info!("end of job {job} is kept for another append: {fault}");
            let refused = fault.is_not_applied() || matches!(fault, StoreError::Malformed(_));
            Event::Failed { job, refused }
        }
    };
    handle_event(&shared, &event);
}

async fn notify_peer(shared: Rc<Shared>, member: String, jobs: Vec<String>) {
    let notice = EndNotice { by: shared.instance_id.clone(), jobs };
    match peers::post(&shared, &member, PATH, notice.encode_to_vec().into()).await {
        Ok(()) => handle_event(&shared, &Event::Confirmed { member, jobs: notice.jobs }),
        Err(why) => log::info!("telling {member} of {} ends: {why}", notice.jobs.len()),
    }
}

/// Lets time pass for the ends that are held.
pub async fn tick(shared: Rc<Shared>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let (members, known) = {
            let control = shared.control.borrow();
            let known: BTreeSet<String> = control
                .ending
                .jobs()
                .filter(|job| {
                    control.partitions[shared.partition_of(job)].index.jobs.contains_key(*job)
                })
                .map(str::to_owned)
                .collect();
            if control.ending.jobs().next().is_none() {
                continue;
            }
            (control.roster.members().to_vec(), known)
        };
        for job in known.iter().filter(|job| is_ended(&shared, job)) {
            handle_event(&shared, &Event::Settled(job.clone()));
        }
        handle_event(&shared, &Event::Tick { members, known });
    }
}

/// Takes in what a peer tells.
pub async fn receive(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let EndNotice { by, jobs } = match peers::decode_body(request).await {
        Ok(notice) => notice,
        Err(status) => return peers::empty_response(status),
    };
    log::info!("{by} tells of ends of {}", jobs.join(" "));
    let (_read, open): (Vec<_>, Vec<_>) = jobs.into_iter().partition(|job| is_ended(shared, job));
    handle_event(shared, &Event::Reported { by, jobs: open });
    peers::empty_response(StatusCode::OK)
}

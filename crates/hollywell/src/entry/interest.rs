//! Jobs that were open in the store at the start and that nobody vouches for:
//! notes which of them callers wait for, and tells peers.
//! [`crate::core::interest`] decides which of them run.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use prost::Message as _;
use tokio::time::sleep;

use crate::{
    core::roster,
    entry::{ends, peers, shared::Shared},
};

/// The path on which peers tell which jobs are wanted.
pub(super) const PATH: &str = "/wanted";

/// Interval between questions to a peer while jobs are in doubt here.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// A notice of jobs that callers wait for, sent to a peer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct WantedNotice {
    /// The sender.
    #[prost(string, tag = "1")]
    by: String,
    /// The jobs.
    #[prost(string, repeated, tag = "2")]
    jobs: Vec<String>,
}

/// Asks peers which jobs they vouch for while any is in doubt here.
pub(super) async fn settle(shared: Rc<Shared>) {
    loop {
        let restarted = shared.inquiry_restarted.notified();
        settle_once(&shared).await;
        restarted.await;
    }
}

async fn settle_once(shared: &Rc<Shared>) {
    loop {
        sleep(ASK_INTERVAL).await;
        let (is_complete, is_read) = {
            let control = shared.control.borrow();
            (control.inquiry.is_complete(), control.interest.is_read())
        };
        if !is_complete {
            continue;
        }
        match (shared.jobs_in_doubt(), is_read) {
            (0, true) => return,
            (0, false) => {}
            _ => {
                for peer in peers::random_peers(shared, 1) {
                    ends::ask_peer(shared, roster::instance(&peer), ends::ASK_TIMEOUT).await;
                }
                shared.open_waiting_jobs();
            }
        }
    }
}

/// Notes that a caller waits for results of a job, and runs the job if it was in
/// doubt.
pub(super) fn record_wait(shared: &Rc<Shared>, part: usize, job: &str) {
    let was_in_doubt = {
        let now = shared.now();
        let control = &mut *shared.control.borrow_mut();
        let Some(found) = control.partitions[part].index.jobs.get(job) else {
            return;
        };
        let offset = found.first_offset;
        if found.ended || control.is_end_pending(part, job) {
            return;
        }
        let was_in_doubt = control.interest.is_in_doubt(part, offset, job);
        if was_in_doubt || control.interest.is_wanted(job) {
            control.interest.record_wait(now, job);
        }
        was_in_doubt
    };
    if was_in_doubt {
        log::info!("job {job}, open at the start, is wanted: a caller waits for its results");
        shared.meters.doubts_settled.with_label_values(&["caller"]).inc();
        shared.open_waiting_jobs();
    }
}

/// Notes that a job which did not exist before was accepted here, at an offset: its
/// caller wants it, although it may be older than what this instance vouches for.
pub(super) fn record_accepted(shared: &Rc<Shared>, part: usize, job: &str, offset: u64) {
    let now = shared.now();
    let control = &mut *shared.control.borrow_mut();
    if control.interest.is_in_doubt(part, offset, job) {
        control.interest.record_wait(now, job);
    }
}

/// Notes jobs that are wanted according to a peer, and runs those in doubt. It may
/// not know yet that the end of one was requested.
pub(super) fn record_report(shared: &Rc<Shared>, by: &str, mut jobs: Vec<String>) {
    let new = {
        let now = shared.now();
        let control = &mut *shared.control.borrow_mut();
        jobs.retain(|job| !control.is_end_pending(shared.partition_of(job), job));
        control.interest.record_report(now, by, jobs)
    };
    if new.is_empty() {
        return;
    }
    log::info!("jobs {} are wanted: {by} says so", new.join(" "));
    shared.meters.doubts_settled.with_label_values(&["peer"]).inc_by(new.len() as u64);
    shared.open_waiting_jobs();
}

/// Notifies peers that do not know yet which jobs are wanted.
pub(super) fn notify_peers(shared: &Rc<Shared>) {
    let notices = {
        let now = shared.now();
        let control = &mut *shared.control.borrow_mut();
        if control.interest.wanted().next().is_none() {
            return;
        }
        control.interest.due_notices(now, control.roster.members())
    };
    for (member, jobs) in notices {
        tokio::task::spawn_local(notify(shared.clone(), member, jobs));
    }
}

async fn notify(shared: Rc<Shared>, member: String, jobs: Vec<String>) {
    let notice = WantedNotice { by: shared.instance_id.clone(), jobs };
    match peers::post(&shared, &member, PATH, notice.encode_to_vec().into()).await {
        Ok(()) => shared.control.borrow_mut().interest.confirm(&member, &notice.jobs),
        Err(why) => log::info!("notifying {member} of {} wanted jobs: {why}", notice.jobs.len()),
    }
}

/// Receives a peer's notice.
pub(super) async fn receive(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match peers::decode_body(request).await {
        Ok(WantedNotice { by, jobs }) => {
            record_report(shared, &by, jobs);
            peers::empty_response(StatusCode::OK)
        }
        Err(status) => peers::empty_response(status),
    }
}

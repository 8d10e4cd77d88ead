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
        ending::{Effect, Event},
        room::Use,
    },
    entry::{
        jobs::JobReply,
        peers,
        shared::{JOBS, Shared},
        store::{Append, Appended, Fault, Part},
    },
};

/// The path on which peers tell of ends.
pub const PATH: &str = "/ends";
/// How long to wait for an end whose append got no answer to be read.
const LOOK_FOR: Duration = Duration::from_millis(2_500);
/// Pause between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Time between ticks of the reducer while an end is held.
const TICK: Duration = Duration::from_millis(50);

/// What one peer tells another.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Word {
    /// Who tells.
    #[prost(string, tag = "1")]
    by: String,
    /// Jobs whose ends were asked for.
    #[prost(string, repeated, tag = "2")]
    jobs: Vec<String>,
}

/// Takes an event in and carries its effects out.
pub fn tell(shared: &Rc<Shared>, event: &Event) {
    let now = shared.now();
    let effects = shared.world.borrow_mut().ending.step(now, event);
    for effect in effects {
        match effect {
            Effect::Close(job) => {
                log::info!("end of job {job} is held: nothing more of it runs here");
                shared.close(&job);
            }
            Effect::Append(job) => {
                tokio::task::spawn_local(append(shared.clone(), job));
            }
            Effect::Tell { member, jobs } => {
                tokio::task::spawn_local(tell_peer(shared.clone(), member, jobs));
            }
        }
    }
}

/// Ends a job for a caller: it stops at once, whatever the store does. The
/// answer is [`JobReply::Done`] only once the store has the end.
pub async fn ask(shared: &Rc<Shared>, job: &str, known: bool) -> JobReply {
    tell(shared, &Event::Asked { job: job.to_owned(), known });
    if !known {
        return JobReply::OutcomeUnknown;
    }
    let until = Instant::now() + LOOK_FOR;
    loop {
        match progress(shared, job) {
            Progress::Done => return JobReply::Done,
            // It goes on being tried; the caller is not kept for that.
            Progress::Refused => return JobReply::OutcomeUnknown,
            Progress::Open if Instant::now() >= until => return JobReply::OutcomeUnknown,
            Progress::Open => sleep(LOOK_PAUSE).await,
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
    let world = shared.world.borrow();
    let job = world.shelves[shared.part_of(job)].book.jobs.get(job);
    job.is_some_and(|job| job.ended)
}

fn progress(shared: &Shared, job: &str) -> Progress {
    let world = shared.world.borrow();
    let known = world.shelves[shared.part_of(job)].book.jobs.get(job);
    if known.is_none_or(|job| job.ended) || world.ending.is_stored(job) {
        return Progress::Done;
    }
    if world.ending.is_refused(job) { Progress::Refused } else { Progress::Open }
}

/// Leaves the end of a job that does not exist in the store, for when its
/// head is appended late: whoever was told nothing about its submission may
/// ask for its end first. It is dropped if the job does not come.
pub fn leave(shared: &Rc<Shared>, job: &str) {
    shared.orphans.end(shared.now(), shared.part_of(job), job);
    let (shared, job) = (shared.clone(), job.to_owned());
    tokio::task::spawn_local(async move {
        if let Err(fault) = append_end(&shared, &job).await {
            log::info!("end of job {job}, which is not known, is not kept: {fault}");
        }
    });
}

async fn append_end(shared: &Shared, job: &str) -> Result<Appended, Fault> {
    let part = Part::at(JOBS, shared.part_of(job));
    let (key, value) = batch::end_record(job);
    let records = vec![(Some(key), value)];
    shared.append(Append { part, records, expected_end: None, purpose: Use::End }).await
}

async fn append(shared: Rc<Shared>, job: String) {
    let event = match append_end(&shared, &job).await {
        Ok(_) => {
            log::info!("end of job {job} accepted");
            Event::Stored(job)
        }
        Err(fault) => {
            log::info!("end of job {job} is kept for another append: {fault}");
            let refused = fault.is_not_done() || matches!(fault, Fault::Malformed(_));
            Event::Failed { job, refused }
        }
    };
    tell(&shared, &event);
}

async fn tell_peer(shared: Rc<Shared>, member: String, jobs: Vec<String>) {
    let word = Word { by: shared.me.clone(), jobs };
    match peers::post(&shared, &member, PATH, word.encode_to_vec().into()).await {
        Ok(()) => tell(&shared, &Event::Confirmed { member, jobs: word.jobs }),
        Err(why) => log::info!("telling {member} of {} ends: {why}", word.jobs.len()),
    }
}

/// Lets time pass for the ends that are held.
pub async fn watch(shared: Rc<Shared>) {
    loop {
        sleep(TICK).await;
        let (members, known) = {
            let world = shared.world.borrow();
            let known: BTreeSet<String> = world
                .ending
                .jobs()
                .filter(|job| world.shelves[shared.part_of(job)].book.jobs.contains_key(*job))
                .map(str::to_owned)
                .collect();
            if world.ending.jobs().next().is_none() {
                continue;
            }
            (world.roster.members().to_vec(), known)
        };
        for job in known.iter().filter(|job| is_ended(&shared, job)) {
            tell(&shared, &Event::Settled(job.clone()));
        }
        tell(&shared, &Event::Tick { members, known });
    }
}

/// Takes in what a peer tells.
pub async fn hear(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Word { by, jobs } = match peers::word(request).await {
        Ok(word) => word,
        Err(status) => return peers::nothing(status),
    };
    log::info!("{by} tells of ends of {}", jobs.join(" "));
    let (_read, open): (Vec<_>, Vec<_>) = jobs.into_iter().partition(|job| is_ended(shared, job));
    tell(shared, &Event::Told { by, jobs: open });
    peers::nothing(StatusCode::OK)
}

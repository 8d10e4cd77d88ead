//! Requested ends of jobs that are not stored yet. Carries out the decisions of
//! [`crate::core::ending`], receives peers' notices of ends, and asks peers for
//! them at the start.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use prost::Message as _;
use rand::seq::SliceRandom as _;
use tokio::time::{Instant, sleep};

use crate::{
    core::{
        batch::End,
        capacity::Purpose,
        ending::{Effect, Event, Failure, Notice},
        inquiry::{Answer, Grounds, Round},
        organisation::Caller,
        roster,
    },
    entry::{
        exchange::Listening,
        interest, peers,
        shared::{JOBS, Shared},
        store::{Append, Appended, Partition, StoreError},
    },
};

/// The path on which peers send notices of ends, and ask for them.
pub const PATH: &str = "/ends";
/// Number of peers that a starting instance asks at a time. All of them may be
/// starting as well.
const PEERS_PER_ROUND: usize = 3;
/// The same once some have not answered: many machines may be off.
const PEERS_PER_RETRY: usize = 16;
/// Timeout of the response of a peer that accepted a connection before, and did
/// not answer within [`ASK_TIMEOUT`].
const BUSY_ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a peer's response.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between rounds in which a starting instance asks, and between checks
/// whether the members were read. No sample starts meanwhile.
const ROUND_INTERVAL: Duration = Duration::from_millis(25);
/// The same after a round in which an instance did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The same once samples start although no informed peer has answered.
const SLOW_ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which all members have rejoined after an outage of the store, in
/// milliseconds: two heartbeats and a reading.
const REJOIN_MS: u64 = 1_000;
/// Maximum number of instances in one line of the log.
const MAX_LOGGED: usize = 5;
/// Limit on a peer's response, in bytes: far more than all ends that an instance
/// holds.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// How long a caller waits until the end is stored or read.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval between checks of that.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between ticks of the reducer while any end is held.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// An end whose caller's right to it was not checked, as told to a peer. It is
/// apart from the others, which an earlier build takes for checked.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct UncheckedEnd {
    /// The job.
    #[prost(string, tag = "1")]
    job: String,
    /// The caller's organisation; empty if it has none.
    #[prost(string, tag = "2")]
    organisation: String,
    /// How long ago the end was requested, in milliseconds.
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

/// A notice of ends, sent to a peer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct EndNotice {
    /// The sender.
    #[prost(string, tag = "1")]
    by: String,
    /// Jobs whose ends were requested.
    #[prost(string, repeated, tag = "2")]
    jobs: Vec<String>,
    /// How long ago each of them was requested, in milliseconds; an instance of
    /// an earlier build does not say.
    #[prost(uint64, repeated, tag = "3")]
    ages_ms: Vec<u64>,
    /// Ends whose callers' right to them was not checked.
    #[prost(message, repeated, tag = "4")]
    unchecked: Vec<UncheckedEnd>,
}

/// The ends that an instance holds, sent to a peer that asks.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct EndList {
    /// The sender.
    #[prost(string, tag = "1")]
    by: String,
    /// Jobs whose ends were requested.
    #[prost(string, repeated, tag = "2")]
    jobs: Vec<String>,
    /// What an earlier build calls informed: that it met an informed peer, or some
    /// that were starting. Only such a build reads it.
    #[prost(bool, tag = "3")]
    is_informed: bool,
    /// How long ago each end was requested, in milliseconds.
    #[prost(uint64, repeated, tag = "4")]
    ages_ms: Vec<u64>,
    /// The instances that the sender has accounted for, if it is not informed.
    #[prost(fixed64, repeated, tag = "5")]
    accounted: Vec<u64>,
    /// The sender knows what its own peers held when it started.
    #[prost(bool, tag = "6")]
    knows_all: bool,
    /// The offsets, by partition, before which jobs are in doubt for the sender; an
    /// earlier build states none.
    #[prost(uint64, repeated, tag = "7")]
    doubted_before: Vec<u64>,
    /// Jobs that were in doubt and are wanted.
    #[prost(string, repeated, tag = "8")]
    wanted: Vec<String>,
    /// Ends whose callers' right to them was not checked.
    #[prost(message, repeated, tag = "9")]
    unchecked: Vec<UncheckedEnd>,
}

fn notices(jobs: Vec<String>, ages_ms: &[u64], unchecked: Vec<UncheckedEnd>) -> Vec<Notice> {
    let ages = ages_ms.iter().copied().chain(std::iter::repeat(0));
    let by_job = |(job, age_ms)| Notice { end: End { job, by: Caller::Unrestricted }, age_ms };
    let by_caller = |UncheckedEnd { job, organisation, age_ms }| {
        let by = Caller::from_organisation(&organisation);
        Notice { end: End { job, by }, age_ms }
    };
    let checked = jobs.into_iter().zip(ages).map(by_job);
    checked.chain(unchecked.into_iter().map(by_caller)).collect()
}

/// The fields of a message that tell of ends: jobs, ages, and unchecked ends.
fn encode(notices: Vec<Notice>) -> (Vec<String>, Vec<u64>, Vec<UncheckedEnd>) {
    let (mut jobs, mut ages_ms, mut unchecked) = (vec![], vec![], vec![]);
    for Notice { end: End { job, by }, age_ms } in notices {
        if by == Caller::Unrestricted {
            jobs.push(job);
            ages_ms.push(age_ms);
        } else {
            let organisation = by.organisation().to_owned();
            unchecked.push(UncheckedEnd { job, organisation, age_ms });
        }
    }
    (jobs, ages_ms, unchecked)
}

/// Steps the reducer of ends with an event and applies its effects.
pub fn handle_event(shared: &Rc<Shared>, event: &Event) {
    let now = shared.now();
    let effects = shared.control.borrow_mut().ending.step(now, event);
    for effect in effects {
        match effect {
            Effect::Close(end) => close(shared, &end),
            Effect::Append(end) => {
                tokio::task::spawn_local(append(shared.clone(), end));
            }
            Effect::Notify { member, ends } => {
                tokio::task::spawn_local(notify_peer(shared.clone(), member, ends));
            }
            Effect::Overdue { end, history } => {
                log::warn!("end of job {} is not stored after {history}", end.job);
            }
        }
    }
}

/// Stops a job here. One that is not known is stopped once it is read, if the
/// caller may end it.
fn close(shared: &Rc<Shared>, end: &End) {
    let job = &end.job;
    if standing(shared, end) == Standing::Denied {
        log::info!("end of job {job} is held in vain: its caller may not end the job");
        return;
    }
    log::info!("end of job {job} is held: none of its samples runs here any more");
    shared.control.borrow_mut().interest.forget(job);
    shared.close_job(job);
}

/// What is known here of the job of an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// The job's end was read, or that of a job that is not known.
    Ended,
    /// The job is known, and not ended.
    Known,
    /// The job is known, and the caller may not end it.
    Denied,
    /// The partition was not read here, or not lately.
    Unread,
    /// No such job exists, as far as was read.
    Unknown,
}

fn standing(shared: &Shared, end: &End) -> Standing {
    let control = shared.control.borrow();
    let partition = &control.partitions[shared.partition_of(&end.job)];
    match partition.index.jobs.get(&end.job) {
        Some(job) if !end.is_allowed(&job.manifest.organisation) => Standing::Denied,
        Some(job) if job.ended => Standing::Ended,
        Some(_) => Standing::Known,
        None if partition.index.has_early_end(end) => Standing::Ended,
        None if partition.is_current(shared.now()) => Standing::Unknown,
        None => Standing::Unread,
    }
}

/// Forgets the pending ends of a job, whose end or deletion was read.
pub fn settle(shared: &Rc<Shared>, job: &str) {
    let ends: Vec<End> = shared.control.borrow().ending.ends_of(job).cloned().collect();
    for end in ends {
        handle_event(shared, &Event::Settled(end));
    }
}

/// Ends a job for a caller: stops it at once, whether or not the store is
/// available, and appends its end, whether or not the job was read.
pub fn request(shared: &Rc<Shared>, end: &End) {
    let known = standing(shared, end) == Standing::Known;
    handle_event(shared, &Event::Requested { end: end.clone(), known });
}

/// Waits until a requested end is stored, for a limited time, and returns whether
/// it is.
pub async fn is_stored_in_time(shared: &Shared, end: &End) -> bool {
    let until = Instant::now() + END_TIMEOUT;
    loop {
        match progress(shared, end) {
            Progress::Done => return true,
            // The append is retried, but the caller does not wait for that.
            Progress::Refused => return false,
            Progress::Open if Instant::now() >= until => return false,
            Progress::Open => sleep(POLL_INTERVAL).await,
        }
    }
}

enum Progress {
    Done,
    Refused,
    Open,
}

fn progress(shared: &Shared, end: &End) -> Progress {
    let is_ended = standing(shared, end) == Standing::Ended;
    let ending = &shared.control.borrow().ending;
    if is_ended || ending.is_stored(end) {
        return Progress::Done;
    }
    if ending.is_refused(end) { Progress::Refused } else { Progress::Open }
}

/// Appends an end. That of a job that is not known is stored in case its manifest
/// is read, or appended, later: a caller whose submission got no response may
/// request the end before that. The record is deleted if the job does not appear.
async fn append_end(shared: &Shared, end: &End) -> Result<Appended, StoreError> {
    let number = shared.partition_of(&end.job);
    if matches!(standing(shared, end), Standing::Unread | Standing::Unknown) {
        shared.orphans.borrow_mut().add_end(shared.now(), number, end);
    }
    let part = Partition::at(JOBS, number);
    let (key, value) = end.record();
    let records = vec![(Some(key), value)];
    shared.append(Append { part, records, expected_end: None, purpose: Purpose::End }).await
}

async fn append(shared: Rc<Shared>, end: End) {
    let event = match append_end(&shared, &end).await {
        Ok(_) => {
            log::info!("end of job {} accepted", end.job);
            Event::Stored(end)
        }
        Err(error) => {
            log::info!("end of job {} is kept for another append: {error}", end.job);
            Event::Failed { end, why: failure(&error) }
        }
    };
    handle_event(&shared, &event);
}

fn failure(error: &StoreError) -> Failure {
    match error {
        StoreError::Full => Failure::Full,
        StoreError::RateLimited => Failure::RateLimited,
        StoreError::Unavailable => Failure::Unavailable,
        StoreError::Refused(_) => Failure::NotSent,
        StoreError::TimedOut | StoreError::OutcomeUnknown(_) => Failure::NoResponse,
        StoreError::EndMismatch(_) | StoreError::Trimmed(_) | StoreError::Malformed(_) => {
            Failure::Malformed
        }
    }
}

async fn notify_peer(shared: Rc<Shared>, member: String, ends: Vec<Notice>) {
    let told: Vec<End> = ends.iter().map(|notice| notice.end.clone()).collect();
    let (jobs, ages_ms, unchecked) = encode(ends);
    let notice = EndNotice { by: shared.instance_id.clone(), jobs, ages_ms, unchecked };
    match peers::post(&shared, &member, PATH, notice.encode_to_vec().into()).await {
        Ok(()) => handle_event(&shared, &Event::Confirmed { member, ends: told }),
        Err(why) => log::info!("notifying {member} of {} ends: {why}", told.len()),
    }
}

/// Sends the reducer ticks, and ends that were read, while any end is held.
pub async fn tick(shared: Rc<Shared>) {
    loop {
        sleep(TICK_INTERVAL).await;
        interest::notify_peers(&shared);
        let ends: Vec<End> = shared.control.borrow().ending.ends().cloned().collect();
        if ends.is_empty() {
            continue;
        }
        let mut may_exist = BTreeSet::new();
        for end in ends {
            match standing(&shared, &end) {
                Standing::Ended | Standing::Denied => {
                    handle_event(&shared, &Event::Settled(end));
                }
                Standing::Known | Standing::Unread => {
                    may_exist.insert(end.job);
                }
                Standing::Unknown => {}
            }
        }
        let times = append_times(&shared);
        if *shared.control.borrow().ending.append_times() != times {
            handle_event(&shared, &Event::AppendTimes(times));
        }
        let members = shared.control.borrow().roster.members().to_vec();
        handle_event(&shared, &Event::Tick { members, may_exist });
    }
}

/// How long the append of each pending end may take whose partition is slow, in
/// milliseconds.
fn append_times(shared: &Shared) -> BTreeMap<String, u64> {
    let (now, control) = (shared.now(), shared.control.borrow());
    let time = |end: &End| {
        let part = Partition::at(JOBS, shared.partition_of(&end.job));
        let append_ms = control.append_queues.longest_append_ms(now, &part)?;
        Some((end.job.clone(), append_ms))
    };
    control.ending.ends().filter_map(time).collect()
}

/// Asks peers for the ends that they hold, until it knows what they know. No
/// sample starts here before the inquiry is complete.
pub async fn learn(shared: Rc<Shared>) {
    loop {
        let restarted = shared.inquiry_restarted.notified();
        let mut interval = ROUND_INTERVAL;
        if are_members_known(&shared) {
            let round = ask_peers(&shared).await;
            let is_unanswered =
                |(_, answer): &(_, _)| matches!(answer, Answer::Silent | Answer::Busy);
            let is_unanswered = round.answers.iter().any(is_unanswered);
            record_round(&shared, &round);
            let (is_informed, is_complete) = {
                let inquiry = &shared.control.borrow().inquiry;
                (inquiry.is_informed(), inquiry.is_complete())
            };
            if is_informed {
                restarted.await;
                continue;
            }
            if is_complete {
                interval = SLOW_ROUND_INTERVAL;
            } else if is_unanswered {
                interval = RETRY_INTERVAL;
            }
        }
        sleep(interval).await;
    }
}

/// Whether the group was read. Where neither it nor the record names another
/// instance, members of an earlier build, which has no record, may be about to
/// return after an outage of the store.
fn are_members_known(shared: &Shared) -> bool {
    let now = shared.now();
    let control = shared.control.borrow();
    let members = control.roster.members();
    let is_alone = control.instances.others(members).is_some_and(|others| others.is_empty());
    let recovered_at = control.fleet.store_recovered_at;
    let is_settled = recovered_at.is_none_or(|at| now.since(at) > REJOIN_MS);
    !members.is_empty() && (!is_alone || is_settled)
}

/// Applies a round, and says on what grounds jobs run here whenever that changes.
fn record_round(shared: &Rc<Shared>, round: &Round) {
    let grounds = {
        let now = shared.now();
        let control = &mut *shared.control.borrow_mut();
        let before = control.inquiry.grounds();
        control.inquiry.step(now, round);
        let grounds = control.inquiry.grounds().filter(|grounds| Some(*grounds) != before);
        // Others tell an instance of ends once they know of it.
        if control.inquiry.is_informed() || grounds == Some(Grounds::Alone) {
            control.interest.begin();
        }
        grounds
    };
    if let Some(grounds) = grounds {
        log_grounds(shared, round, grounds);
        shared.close_doubtful_jobs();
        shared.open_waiting_jobs();
    }
}

fn log_grounds(shared: &Shared, round: &Round, grounds: Grounds) {
    shared.meters.inquiries.with_label_values(&[grounds.as_str()]).inc();
    let known = round.known.as_ref();
    let count = known.map_or_else(|| String::from("unread"), |known| known.len().to_string());
    let grounds_name = grounds.as_str();
    if grounds == Grounds::Silence {
        let inquiry = &shared.control.borrow().inquiry;
        let open: Vec<&String> =
            known.into_iter().flatten().filter(|member| inquiry.is_open(member)).collect();
        let first: Vec<&str> = open.iter().take(MAX_LOGGED).map(|name| name.as_str()).collect();
        let (open, first) = (open.len(), first.join(" "));
        log::warn!("ends of jobs: {grounds_name}; {open} of {count} do not answer: {first}");
    } else {
        log::info!("ends of jobs: {grounds_name}; other instances: {count}");
    }
}

/// The instances that have to be asked next, and all that exist if that is known.
/// Those that were asked least come first.
fn next_questions(shared: &Shared) -> (Option<BTreeSet<String>>, Vec<(String, Duration)>) {
    let control = shared.control.borrow();
    let (members, inquiry) = (control.roster.members(), &control.inquiry);
    let known = control.instances.others(members);
    let own = roster::instance(&shared.instance_id);
    let mut open: BTreeSet<&str> = members.iter().map(|member| roster::instance(member)).collect();
    open.extend(known.iter().flatten().map(String::as_str));
    open.retain(|member| *member != own && inquiry.is_open(member));
    let mut open: Vec<&str> = open.into_iter().collect();
    open.shuffle(&mut rand::rng());
    open.sort_by_key(|member| inquiry.questions(member));
    let is_unanswered = open.iter().any(|member| inquiry.questions(member) > 0);
    open.truncate(if is_unanswered { PEERS_PER_RETRY } else { PEERS_PER_ROUND });
    let timeout =
        |member: &str| if inquiry.is_busy(member) { BUSY_ASK_TIMEOUT } else { ASK_TIMEOUT };
    let questions = open.into_iter().map(|member| (member.to_owned(), timeout(member))).collect();
    (known, questions)
}

/// Asks some instances that were not accounted for at the same time, and holds
/// the ends that they report.
async fn ask_peers(shared: &Rc<Shared>) -> Round {
    let (known, questions) = next_questions(shared);
    let ask = |(peer, timeout): (String, Duration)| {
        let (shared, asked) = (shared.clone(), peer.clone());
        (peer, tokio::task::spawn_local(async move { ask_peer(&shared, &asked, timeout).await }))
    };
    let tasks: Vec<_> = questions.into_iter().map(ask).collect();
    let mut answers = Vec::new();
    for (peer, task) in tasks {
        let answer = task.await.unwrap_or_else(|error| {
            log::error!("a task that asks a peer for ends failed: {error}");
            Answer::Silent
        });
        answers.push((peer, answer));
    }
    Round { known, answers }
}

/// Asks a peer for the ends that it holds, and holds them too.
pub(super) async fn ask_peer(shared: &Rc<Shared>, peer: &str, timeout: Duration) -> Answer {
    match fetch_ends(shared, peer, timeout).await {
        Ok(list) if roster::instance(&list.by) != peer => {
            log::info!("{} answers for {peer}, which was asked for ends of jobs", list.by);
            Answer::Exited
        }
        Ok(list) => {
            let EndList { by, jobs, ages_ms, accounted, knows_all, doubted_before, .. } = list;
            let EndList { wanted, unchecked, .. } = list;
            shared.control.borrow_mut().interest.record_peer(knows_all, &doubted_before);
            hold_reported(shared, by.clone(), notices(jobs, &ages_ms, unchecked));
            interest::record_report(shared, &by, wanted);
            if knows_all {
                Answer::Informed
            } else {
                Answer::Starting(accounted.into_iter().collect())
            }
        }
        Err(why) => {
            log::info!("asking {peer} for ends of jobs: {why}");
            let Some(address) = roster::address(peer) else {
                return Answer::Exited;
            };
            match shared.pool.is_listening(address).await {
                Listening::Yes => Answer::Busy,
                Listening::Nobody => Answer::Exited,
                Listening::Unknown => Answer::Silent,
            }
        }
    }
}

async fn fetch_ends(shared: &Shared, peer: &str, timeout: Duration) -> Result<EndList, String> {
    let response = peers::get(shared, peer, PATH, timeout).await?;
    let status = response.head.status;
    let body =
        response.read_body(MAX_RESPONSE_BYTES, timeout).await.map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(status.to_string());
    }
    EndList::decode(body).map_err(|error| error.to_string())
}

/// Responds to a peer with the ends that are held here.
pub(super) fn respond(shared: &Shared) -> Response<Full<Bytes>> {
    shared.check_standstill();
    let control = shared.control.borrow();
    let (jobs, ages_ms, unchecked) = encode(control.ending.notices(shared.now()));
    let (by, is_informed) = (shared.instance_id.clone(), control.inquiry.is_informed());
    let accounted = if is_informed { vec![] } else { control.inquiry.accounted().collect() };
    let doubted_before = control.interest.doubted_before();
    let wanted = control.interest.wanted().map(str::to_owned).collect();
    let list = EndList {
        by,
        jobs,
        is_informed,
        ages_ms,
        accounted,
        knows_all: is_informed,
        doubted_before,
        wanted,
        unchecked,
    };
    Response::new(Full::new(list.encode_to_vec().into()))
}

/// Receives a peer's notice of ends.
pub async fn receive(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let EndNotice { by, jobs, ages_ms, unchecked } = match peers::decode_body(request).await {
        Ok(notice) => notice,
        Err(status) => return peers::empty_response(status),
    };
    hold_reported(shared, by, notices(jobs, &ages_ms, unchecked));
    peers::empty_response(StatusCode::OK)
}

/// Holds the ends that a peer reports, apart from those read from the store and
/// those whose callers may not end the job.
fn hold_reported(shared: &Rc<Shared>, by: String, mut ends: Vec<Notice>) {
    ends.retain(|Notice { end, .. }| match standing(shared, end) {
        Standing::Denied => {
            log::info!("{by} reports an end of {} whose caller may not end it", end.job);
            false
        }
        Standing::Ended => false,
        Standing::Known | Standing::Unread | Standing::Unknown => true,
    });
    let new: Vec<&str> = {
        let control = shared.control.borrow();
        let new = ends.iter().filter(|notice| !control.ending.holds(&notice.end));
        new.map(|notice| notice.end.job.as_str()).collect()
    };
    if !new.is_empty() {
        log::info!("{by} reports ends of {}", new.join(" "));
    }
    handle_event(shared, &Event::Reported { by, ends });
}

/// Holds an end that a peer takes care of, apart from one whose caller may not end
/// the job.
pub(super) fn hold_by_peer(shared: &Rc<Shared>, peer: String, end: End, age_ms: u64) {
    hold_reported(shared, peer, vec![Notice { end, age_ms }]);
}

/// Whether this instance knows of any other that it may tell of ends.
pub(super) fn has_peers(shared: &Shared) -> bool {
    let control = shared.control.borrow();
    control.ending.has_peers(control.roster.members())
}

/// Tells all peers of the ends that are held here, as this instance stops.
pub fn hand_over(shared: &Rc<Shared>) {
    handle_event(shared, &Event::Stopping);
}

/// Whether this instance may exit: all ends that it holds are stored or known to
/// a peer, or there is no peer.
#[must_use]
pub fn are_handed_over(shared: &Shared) -> bool {
    shared.control.borrow().ending.is_shared() || !has_peers(shared)
}

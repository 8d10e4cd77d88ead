//! What is known against requests, shared by all instances: through a keyed
//! topic of the store, and from peer to peer while the store takes nothing.
//! [`crate::core::poison`] decides what follows from it.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use prost::Message as _;
use tokio::{sync::Notify, time::timeout};

use crate::{
    core::{
        capacity::Purpose,
        dispatch,
        fleet::Announcement,
        poison::{self, Digest, Verdict},
        time::Time,
    },
    entry::{
        follow, peers,
        shared::{Control, Shared, unix_ms},
        store::{Append, Partition, StoreError},
    },
};

/// The path on which peers tell what they know.
pub const PATH: &str = "/suspects";
/// The topic, of one partition: a target that ends brings a few records.
const TOPIC: &str = "keyed.suspects";
/// Least time between reads. The same request comes again within a few
/// milliseconds, at any instance.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// The path on which turns to try a suspect are asked for.
pub const PERMIT_PATH: &str = "/suspects/turn";
/// How long the answer to that is waited for: a round trip, and what a busy
/// instance takes. Callers of plain requests wait for a second or so.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Most records of one append or one peer's word.
const MAX_BATCH: usize = 256;
/// Pause after a failed append, at first and at most.
const RETRY: Duration = Duration::from_millis(200);
/// See [`RETRY`].
const MAX_RETRY: Duration = Duration::from_secs(5);

/// What one peer tells another.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct SuspectList {
    #[prost(message, repeated, tag = "1")]
    records: Vec<SuspectRecord>,
}

/// A record as the store keeps it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct SuspectRecord {
    #[prost(string, tag = "1")]
    digest: String,
    /// Empty if nothing is known against the request any more.
    #[prost(bytes = "bytes", tag = "2")]
    record: Bytes,
}

/// A word about a turn.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct PermitRequest {
    #[prost(string, tag = "1")]
    pool: String,
    /// Names the try.
    #[prost(string, tag = "2")]
    who: String,
    /// The turn is given back.
    #[prost(bool, tag = "3")]
    is_over: bool,
}

impl PermitRequest {
    fn over(&self) -> Bytes {
        PermitRequest { is_over: true, ..self.clone() }.encode_to_vec().into()
    }
}

/// What others are still to be told.
#[derive(Debug, Default)]
pub struct UnsavedSuspects {
    digests: RefCell<BTreeSet<Digest>>,
    changed: Notify,
}

impl UnsavedSuspects {
    fn add(&self, digest: Digest) {
        self.digests.borrow_mut().insert(digest);
        self.changed.notify_one();
    }

    /// Keeps what the store did not take for the next append.
    fn put_back(&self, digests: Vec<Digest>) {
        self.digests.borrow_mut().extend(digests);
    }

    fn take(&self) -> Vec<Digest> {
        let mut digests = self.digests.borrow_mut();
        std::iter::from_fn(|| digests.pop_first()).take(MAX_BATCH).collect()
    }
}

/// What is to be done with a request. Its digest is taken only if something
/// is known against any.
pub fn verdict(shared: &Shared, digest: impl FnOnce() -> Digest) -> Verdict {
    let control = shared.control.borrow();
    if control.poison.is_empty() {
        return Verdict::Free;
    }
    control.poison.verdict(unix_ms(), digest())
}

/// Where a suspect may be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeTarget {
    /// At this target.
    At(Box<Announcement>),
    /// Nowhere for now: its pool would be left without a sound target.
    Nowhere,
}

/// Where a suspect may be tried among a pool's targets.
pub fn probe_target(shared: &Shared, pool: &str, digest: Digest) -> ProbeTarget {
    let (now, control) = (shared.now(), shared.control.borrow());
    let since_ms = control.poison.since_end_ms(unix_ms(), digest).unwrap_or(u64::MAX);
    let id = poison::probe_target(&healthy(&control, now, pool), since_ms);
    match id.and_then(|id| control.fleet.targets.get(id)) {
        Some(target) => ProbeTarget::At(Box::new(target.announcement.clone())),
        None => ProbeTarget::Nowhere,
    }
}

/// A pool's targets at which no exchange broke a moment ago.
fn healthy<'a>(control: &'a Control, now: Time, pool: &'a str) -> Vec<&'a str> {
    let all = control.fleet.usable(pool).map(|target| target.announcement.id.as_str());
    all.filter(|id| !control.observations.has_failed_recently(now, id)).collect()
}

/// Whether a suspect's last end is so long ago that it is alone where it is
/// tried.
pub fn is_settled(shared: &Shared, digest: Digest) -> bool {
    let since_ms = shared.control.borrow().poison.since_end_ms(unix_ms(), digest);
    since_ms.is_none_or(|since_ms| since_ms >= poison::PROBE_DELAY_MS)
}

/// The target of a pool that is kept free for suspects, while any may be
/// tried soon.
pub fn reserved_target(shared: &Shared, pool: &str) -> Option<String> {
    let (now, control) = (shared.now(), shared.control.borrow());
    if !control.poison.has_pending_probe(unix_ms()) {
        return None;
    }
    poison::probe_target(&healthy(&control, now, pool), 0).map(str::to_owned)
}

/// The turn to try a suspect at a pool, which one of all instances has at a
/// time. Dropped, it is given back.
pub struct ProbePermit {
    shared: Rc<Shared>,
    request: PermitRequest,
    /// The turn that was taken of those that this instance gives out.
    subject: String,
    /// Who gives out the pool's; `None` if that is this instance.
    issuer: Option<String>,
    expires: bool,
}

impl ProbePermit {
    /// Leaves the turn taken until it ends by itself: others are to learn
    /// first what came of the try.
    pub fn keep(mut self) {
        self.expires = true;
    }
}

impl Drop for ProbePermit {
    fn drop(&mut self) {
        if self.expires {
            return;
        }
        self.shared.probe_permits.borrow_mut().release(&self.subject, &self.request.who);
        let Some(issuer) = self.issuer.take() else {
            return;
        };
        let (shared, over) = (self.shared.clone(), self.request.over());
        tokio::task::spawn_local(async move {
            // It ends by itself where this is lost.
            let _told = peers::post(&shared, &issuer, PERMIT_PATH, over).await;
        });
    }
}

/// Asks for the turn to try a suspect at a pool; `None` while another one is
/// tried there, or whoever gives turns out cannot be reached.
pub async fn acquire_probe_permit(shared: &Rc<Shared>, pool: &str) -> Option<ProbePermit> {
    let issuer = {
        let control = shared.control.borrow();
        dispatch::owner(control.roster.members(), PERMIT_PATH, pool).map(str::to_owned)
    }?;
    let issuer = Some(issuer).filter(|issuer| *issuer != shared.instance_id);
    // An instance asks for one at a time, however many suspects wait here.
    let subject = if issuer.is_some() { format!("here/{pool}") } else { pool.to_owned() };
    let request =
        PermitRequest { pool: pool.to_owned(), who: shared.unique_key_part(), is_over: false };
    let now = shared.now();
    if !shared.probe_permits.borrow_mut().try_acquire(now, &subject, &request.who) {
        return None;
    }
    let word = Bytes::from(request.encode_to_vec());
    let permit = ProbePermit { shared: shared.clone(), request, subject, issuer, expires: false };
    let Some(issuer) = permit.issuer.clone() else {
        return Some(permit);
    };
    // One whose answer comes too late is given back, as any other.
    let given = timeout(PERMIT_TIMEOUT, peers::post(shared, &issuer, PERMIT_PATH, word)).await;
    matches!(given, Ok(Ok(()))).then_some(permit)
}

/// Gives a turn to a peer, or takes it back.
pub async fn receive_permit_request(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let PermitRequest { pool, who, is_over } = match peers::decode_body(request).await {
        Ok(request) => request,
        Err(status) => return peers::empty_response(status),
    };
    let (now, mut permits) = (shared.now(), shared.probe_permits.borrow_mut());
    if is_over {
        permits.release(&pool, &who);
        return peers::empty_response(StatusCode::OK);
    }
    let is_free = permits.try_acquire(now, &pool, &who);
    peers::empty_response(if is_free { StatusCode::OK } else { StatusCode::CONFLICT })
}

/// Finds out whether a target, with which an exchange has broken, has ended;
/// if so, that counts against the request that was there.
/// `is_alone` if nothing else was sent there meanwhile, as far as is known.
pub async fn check_ended(
    shared: &Rc<Shared>,
    target: &Announcement,
    digest: Digest,
    is_alone: bool,
) -> bool {
    if !shared.pool.has_exited(target.address).await {
        return false;
    }
    let life = target.incarnation();
    let (is_new, verdict) = {
        let mut control = shared.control.borrow_mut();
        let is_new = match is_alone {
            true => control.poison.record_isolated_end(unix_ms(), digest, &life),
            false => control.poison.record_target_end(unix_ms(), digest, &life),
        };
        (is_new, control.poison.verdict(unix_ms(), digest))
    };
    shared.meters.targets_ended.inc();
    log::info!("target {life} has ended while {digest} was there: {verdict:?}");
    if is_new {
        shared.unsaved_suspects.add(digest);
    }
    true
}

/// Notes that a target has answered a request, or goes on with it.
pub fn record_served(shared: &Shared, digest: impl FnOnce() -> Digest) {
    let known = {
        let mut control = shared.control.borrow_mut();
        if control.poison.is_empty() {
            return;
        }
        let digest = digest();
        control.poison.record_answer(digest).then_some(digest)
    };
    if let Some(digest) = known {
        log::info!("{digest} was served: nothing is held against it");
        shared.unsaved_suspects.add(digest);
    }
}

/// Forgets what nothing follows from any more. One instance drops it from the
/// store.
pub fn expire(shared: &Shared) {
    let mut control = shared.control.borrow_mut();
    let over = control.poison.expire(unix_ms());
    let members = control.roster.members();
    let is_mine = |digest: &&Digest| {
        dispatch::owner(members, &digest.to_string(), "") == Some(shared.instance_id.as_str())
    };
    over.iter().filter(is_mine).for_each(|digest| shared.unsaved_suspects.add(*digest));
}

/// Brings what is known here to the store until the instance stops, and to
/// the peers while the store does not take it.
pub async fn save(shared: Rc<Shared>) {
    let mut pause = RETRY;
    loop {
        let digests = shared.unsaved_suspects.take();
        if digests.is_empty() {
            shared.unsaved_suspects.changed.notified().await;
            continue;
        }
        let records = records_of(&shared, &digests);
        match append(&shared, &records).await {
            Ok(()) => pause = RETRY,
            Err(fault) => {
                log::info!("{} suspects are kept for another append: {fault}", records.len());
                notify_all(&shared, &records);
                shared.unsaved_suspects.put_back(digests);
                // What becomes known meanwhile does not wait: peers must know
                // it however long the store has been away.
                let _woken = timeout(pause, shared.unsaved_suspects.changed.notified()).await;
                pause = (pause * 2).min(MAX_RETRY);
            }
        }
    }
}

fn records_of(shared: &Shared, digests: &[Digest]) -> Vec<SuspectRecord> {
    let control = shared.control.borrow();
    let one = |digest: &Digest| SuspectRecord {
        digest: digest.to_string(),
        record: control.poison.record(*digest).unwrap_or_default().into(),
    };
    digests.iter().map(one).collect()
}

async fn append(shared: &Shared, records: &[SuspectRecord]) -> Result<(), StoreError> {
    let record = |records: &SuspectRecord| (Some(records.digest.clone()), records.record.clone());
    let records = records.iter().map(record).collect();
    let (part, purpose) = (Partition::new(TOPIC, 0), Purpose::Suspect);
    shared.append(Append { part, records, expected_end: None, purpose }).await.map(|_| ())
}

fn notify_all(shared: &Rc<Shared>, records: &[SuspectRecord]) {
    let word = Bytes::from(SuspectList { records: records.to_vec() }.encode_to_vec());
    let members = shared.control.borrow().roster.members().to_vec();
    for member in members.into_iter().filter(|member| *member != shared.instance_id) {
        tokio::task::spawn_local(notify(shared.clone(), member, word.clone()));
    }
}

async fn notify(shared: Rc<Shared>, member: String, word: Bytes) {
    if let Err(why) = peers::post(&shared, &member, PATH, word).await {
        log::info!("telling {member} of suspects: {why}");
    }
}

/// Takes in what a peer tells.
pub async fn receive(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let SuspectList { records } = match peers::decode_body(request).await {
        Ok(word) => word,
        Err(status) => return peers::empty_response(status),
    };
    records.iter().for_each(|records| apply_record(shared, &records.digest, &records.record));
    peers::empty_response(StatusCode::OK)
}

/// Takes a record in, the store's or a peer's.
fn apply_record(shared: &Shared, key: &str, record: &[u8]) {
    let mut control = shared.control.borrow_mut();
    let taken = key.parse::<Digest>().and_then(|digest| {
        if record.is_empty() {
            control.poison.record_answer(digest);
            return Ok(());
        }
        control.poison.read(unix_ms(), digest, record)
    });
    if let Err(error) = taken {
        shared.meters.suspects_skipped.inc();
        log::warn!("record {key:?} of suspects skipped: {error}");
    }
}

/// Follows what the instances have recorded.
pub async fn serve(shared: Rc<Shared>) {
    let part = Partition::new(TOPIC, 0);
    follow::follow(
        shared,
        part,
        |_| READ_INTERVAL,
        None,
        true,
        |shared, records, _| {
            for record in &records.records {
                apply_record(shared, &record.key, record.value.as_deref().unwrap_or_default());
            }
            shared.control.borrow_mut().poison_loaded = true;
        },
    )
    .await;
}

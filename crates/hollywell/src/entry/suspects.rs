//! Suspects, requests that may have ended targets, as shared by all instances:
//! through a keyed topic of the store, and from peer to peer while the store
//! accepts no appends. [`crate::core::poison`] decides what follows.

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

/// The path on which peers send records of suspects.
pub const PATH: &str = "/suspects";
/// The topic; one partition is enough, as a target that ends causes only a few
/// records.
const TOPIC: &str = "keyed.suspects";
/// Minimum interval between reads. The same request is retried within a few
/// milliseconds, at any instance.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// The path on which peers request permits for isolated probes.
pub const PERMIT_PATH: &str = "/suspects/turn";
/// Timeout of such a request: a round trip, and the time that a busy instance
/// takes. Callers of plain requests wait for about a second.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of records in one append or message.
const MAX_BATCH: usize = 256;
/// Delay after a failed append, doubled with each further failure.
const RETRY: Duration = Duration::from_millis(200);
/// Maximum delay after failed appends.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Records of suspects, sent to a peer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct SuspectList {
    #[prost(message, repeated, tag = "1")]
    records: Vec<SuspectRecord>,
}

/// A record of a suspect as it is stored.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct SuspectRecord {
    #[prost(string, tag = "1")]
    digest: String,
    /// Empty if the request is no longer suspected.
    #[prost(bytes = "bytes", tag = "2")]
    record: Bytes,
}

/// A request for a permit, or the return of one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct PermitRequest {
    #[prost(string, tag = "1")]
    pool: String,
    /// Identifies the probe.
    #[prost(string, tag = "2")]
    who: String,
    /// The permit is returned.
    #[prost(bool, tag = "3")]
    is_return: bool,
}

impl PermitRequest {
    fn encode_return(&self) -> Bytes {
        PermitRequest { is_return: true, ..self.clone() }.encode_to_vec().into()
    }
}

/// Suspects whose records are not stored yet.
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

    /// Puts back what the store did not accept, for the next append.
    fn put_back(&self, digests: Vec<Digest>) {
        self.digests.borrow_mut().extend(digests);
    }

    fn take(&self) -> Vec<Digest> {
        let mut digests = self.digests.borrow_mut();
        std::iter::from_fn(|| digests.pop_first()).take(MAX_BATCH).collect()
    }
}

/// A request that may be suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subject {
    /// Identifies it across retries and instances.
    pub digest: Digest,
    /// It scores an accepted sample, so that nobody retries it if it is given up.
    pub is_owed: bool,
}

/// How to treat a request. Its digest is computed only if there is any suspect.
pub fn verdict(shared: &Shared, subject: impl FnOnce() -> Subject) -> Verdict {
    let poison = &shared.control.borrow().poison;
    if poison.is_empty() {
        return Verdict::Free;
    }
    let Subject { digest, is_owed } = subject();
    match is_owed {
        true => poison.verdict_of_owed(unix_ms(), digest),
        false => poison.verdict(unix_ms(), digest),
    }
}

/// The target of an isolated probe of a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeTarget {
    /// This target.
    At(Box<Announcement>),
    /// No target for now: the pool would be left without a healthy one.
    Nowhere,
}

/// Selects a pool's target for an isolated probe of a suspect.
pub fn probe_target(shared: &Shared, pool: &str, digest: Digest) -> ProbeTarget {
    let (now, control) = (shared.now(), shared.control.borrow());
    let since_ms = control.poison.since_end_ms(unix_ms(), digest).unwrap_or(u64::MAX);
    let id = poison::probe_target(&healthy(&control, now, pool), since_ms);
    match id.and_then(|id| control.fleet.targets.get(id)) {
        Some(target) => ProbeTarget::At(Box::new(target.announcement.clone())),
        None => ProbeTarget::Nowhere,
    }
}

/// A pool's targets without a recently broken exchange.
fn healthy<'a>(control: &'a Control, now: Time, pool: &'a str) -> Vec<&'a str> {
    let all = control.fleet.usable(pool).map(|target| target.announcement.id.as_str());
    all.filter(|id| !control.observations.has_failed_recently(now, id)).collect()
}

/// Whether a suspect last ended a target so long ago that a probe of it would
/// run alone at its target.
pub fn is_settled(shared: &Shared, digest: Digest) -> bool {
    let since_ms = shared.control.borrow().poison.since_end_ms(unix_ms(), digest);
    since_ms.is_none_or(|since_ms| since_ms >= poison::PROBE_DELAY_MS)
}

/// The target of a pool that is kept free for isolated probes, while any may
/// start soon.
pub fn reserved_target(shared: &Shared, pool: &str) -> Option<String> {
    let (now, control) = (shared.now(), shared.control.borrow());
    if !control.poison.has_pending_probe(unix_ms()) {
        return None;
    }
    poison::probe_target(&healthy(&control, now, pool), 0).map(str::to_owned)
}

/// Permit for an isolated probe of a suspect at a pool. One instance of all
/// holds it at a time; it is returned on drop.
pub struct ProbePermit {
    shared: Rc<Shared>,
    request: PermitRequest,
    /// Name of the permit taken from those that this instance issues.
    subject: String,
    /// The instance that issues the pool's permit; `None` if it is this one.
    issuer: Option<String>,
    expires: bool,
}

impl ProbePermit {
    /// Leaves the permit taken until it expires, so that the other instances
    /// learn the outcome of the probe before the next one.
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
        let (shared, body) = (self.shared.clone(), self.request.encode_return());
        tokio::task::spawn_local(async move {
            // If this is lost, the permit expires.
            let _result = peers::post(&shared, &issuer, PERMIT_PATH, body).await;
        });
    }
}

/// Acquires the permit for an isolated probe at a pool; `None` while another
/// suspect is probed there, or if the issuer cannot be reached.
pub async fn acquire_probe_permit(shared: &Rc<Shared>, pool: &str) -> Option<ProbePermit> {
    let issuer = {
        let control = shared.control.borrow();
        dispatch::owner(control.roster.members(), PERMIT_PATH, pool).map(str::to_owned)
    }?;
    let issuer = Some(issuer).filter(|issuer| *issuer != shared.instance_id);
    // One request at a time per instance and pool, however many suspects wait.
    let subject = if issuer.is_some() { format!("here/{pool}") } else { pool.to_owned() };
    let request =
        PermitRequest { pool: pool.to_owned(), who: shared.unique_key_part(), is_return: false };
    let now = shared.now();
    if !shared.probe_permits.borrow_mut().try_acquire(now, &subject, &request.who) {
        return None;
    }
    let body = Bytes::from(request.encode_to_vec());
    let permit = ProbePermit { shared: shared.clone(), request, subject, issuer, expires: false };
    let Some(issuer) = permit.issuer.clone() else {
        return Some(permit);
    };
    // If the response is late, the permit is returned on drop like any other.
    let given = timeout(PERMIT_TIMEOUT, peers::post(shared, &issuer, PERMIT_PATH, body)).await;
    matches!(given, Ok(Ok(()))).then_some(permit)
}

/// Receives a peer's request for a permit, or the return of one.
pub async fn receive_permit_request(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let PermitRequest { pool, who, is_return } = match peers::decode_body(request).await {
        Ok(request) => request,
        Err(status) => return peers::empty_response(status),
    };
    let (now, mut permits) = (shared.now(), shared.probe_permits.borrow_mut());
    if is_return {
        permits.release(&pool, &who);
        return peers::empty_response(StatusCode::OK);
    }
    let is_free = permits.try_acquire(now, &pool, &who);
    peers::empty_response(if is_free { StatusCode::OK } else { StatusCode::CONFLICT })
}

/// Checks whether a target has ended after an exchange with it broke; if so,
/// that counts against the request. `is_alone` says that nothing else was sent
/// to the target meanwhile, as far as is known.
pub async fn check_ended(
    shared: &Rc<Shared>,
    target: &Announcement,
    subject: Subject,
    is_alone: bool,
) -> bool {
    if !shared.pool.has_exited(target.address).await {
        return false;
    }
    let (life, digest) = (target.incarnation(), subject.digest);
    let is_new = {
        let poison = &mut shared.control.borrow_mut().poison;
        match is_alone {
            true => poison.record_isolated_end(unix_ms(), digest, &life),
            false => poison.record_target_end(unix_ms(), digest, &life),
        }
    };
    let verdict = verdict(shared, || subject);
    shared.meters.targets_ended.inc();
    log::info!("target {life} has ended while {digest} was there: {verdict:?}");
    if is_new {
        shared.unsaved_suspects.add(digest);
    }
    true
}

/// Records that a target has answered a request or is still generating.
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
        log::info!("{digest} was served: it is no longer suspected");
        shared.unsaved_suspects.add(digest);
    }
}

/// Expires suspects without further effect. One instance of all deletes their
/// records from the store.
pub fn expire(shared: &Shared) {
    let mut control = shared.control.borrow_mut();
    let expired = control.poison.expire(unix_ms());
    let members = control.roster.members();
    let is_owner = |digest: &&Digest| {
        dispatch::owner(members, &digest.to_string(), "") == Some(shared.instance_id.as_str())
    };
    expired.iter().filter(is_owner).for_each(|digest| shared.unsaved_suspects.add(*digest));
}

/// Stores the suspects known here until the instance stops, and sends them to
/// the peers while the store does not accept them.
pub async fn save(shared: Rc<Shared>) {
    let mut delay = RETRY;
    loop {
        let digests = shared.unsaved_suspects.take();
        if digests.is_empty() {
            shared.unsaved_suspects.changed.notified().await;
            continue;
        }
        let records = records_of(&shared, &digests);
        match append(&shared, &records).await {
            Ok(()) => delay = RETRY,
            Err(error) => {
                log::info!("{} suspects are kept for another append: {error}", records.len());
                notify_all(&shared, &records);
                shared.unsaved_suspects.put_back(digests);
                // A new suspect ends the delay: peers must learn of it however
                // long the store has been unavailable.
                let _woken = timeout(delay, shared.unsaved_suspects.changed.notified()).await;
                delay = (delay * 2).min(MAX_RETRY);
            }
        }
    }
}

fn records_of(shared: &Shared, digests: &[Digest]) -> Vec<SuspectRecord> {
    let control = shared.control.borrow();
    let encode = |digest: &Digest| SuspectRecord {
        digest: digest.to_string(),
        record: control.poison.record(*digest).unwrap_or_default().into(),
    };
    digests.iter().map(encode).collect()
}

async fn append(shared: &Shared, records: &[SuspectRecord]) -> Result<(), StoreError> {
    let encode = |record: &SuspectRecord| (Some(record.digest.clone()), record.record.clone());
    let records = records.iter().map(encode).collect();
    let (part, purpose) = (Partition::new(TOPIC, 0), Purpose::Suspect);
    shared.append(Append { part, records, expected_end: None, purpose }).await.map(|_| ())
}

fn notify_all(shared: &Rc<Shared>, records: &[SuspectRecord]) {
    let body = Bytes::from(SuspectList { records: records.to_vec() }.encode_to_vec());
    let members = shared.control.borrow().roster.members().to_vec();
    for member in members.into_iter().filter(|member| *member != shared.instance_id) {
        tokio::task::spawn_local(notify(shared.clone(), member, body.clone()));
    }
}

async fn notify(shared: Rc<Shared>, member: String, body: Bytes) {
    if let Err(why) = peers::post(&shared, &member, PATH, body).await {
        log::info!("notifying {member} of suspects: {why}");
    }
}

/// Receives records of suspects from a peer.
pub async fn receive(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let SuspectList { records } = match peers::decode_body(request).await {
        Ok(body) => body,
        Err(status) => return peers::empty_response(status),
    };
    records.iter().for_each(|records| apply_record(shared, &records.digest, &records.record));
    peers::empty_response(StatusCode::OK)
}

/// Applies a record from the store or a peer.
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

/// Follows the records of all instances.
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

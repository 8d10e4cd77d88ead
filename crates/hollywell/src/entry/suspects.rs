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
        dispatch,
        fleet::Announcement,
        poison::{self, Digest, Verdict},
        room::Use,
        time::Time,
    },
    entry::{
        follow, peers,
        shared::{Shared, World, wall_ms},
        store::{Append, Fault, Part},
    },
};

/// The path on which peers tell what they know.
pub const PATH: &str = "/suspects";
/// The topic, of one partition: a target that ends brings a few records.
const TOPIC: &str = "keyed.suspects";
/// Least time between reads. The same request comes again within a few
/// milliseconds, at any instance.
const PAUSE: Duration = Duration::from_millis(20);
/// The path on which turns to try a suspect are asked for.
pub const TURN_PATH: &str = "/suspects/turn";
/// How long the answer to that is waited for: a round trip, and what a busy
/// instance takes. Callers of plain requests wait for a second or so.
const TURN_WAIT: Duration = Duration::from_millis(150);
/// Most records of one append or one peer's word.
const AT_ONCE: usize = 256;
/// Pause after a failed append, at first and at most.
const RETRY: Duration = Duration::from_millis(200);
/// See [`RETRY`].
const RETRY_MOST: Duration = Duration::from_secs(5);

/// What one peer tells another.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Word {
    #[prost(message, repeated, tag = "1")]
    records: Vec<Said>,
}

/// A record as the store keeps it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Said {
    #[prost(string, tag = "1")]
    digest: String,
    /// Empty if nothing is known against the request any more.
    #[prost(bytes = "bytes", tag = "2")]
    record: Bytes,
}

/// A word about a turn.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Asked {
    #[prost(string, tag = "1")]
    pool: String,
    /// Names the try.
    #[prost(string, tag = "2")]
    who: String,
    /// The turn is given back.
    #[prost(bool, tag = "3")]
    is_over: bool,
}

impl Asked {
    fn over(&self) -> Bytes {
        Asked { is_over: true, ..self.clone() }.encode_to_vec().into()
    }
}

/// What others are still to be told.
#[derive(Debug, Default)]
pub struct Unsaved {
    digests: RefCell<BTreeSet<Digest>>,
    changed: Notify,
}

impl Unsaved {
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
        std::iter::from_fn(|| digests.pop_first()).take(AT_ONCE).collect()
    }
}

/// What is to be done with a request. Its digest is taken only if something
/// is known against any.
pub fn verdict(shared: &Shared, digest: impl FnOnce() -> Digest) -> Verdict {
    let world = shared.world.borrow();
    if world.poison.is_empty() {
        return Verdict::Free;
    }
    world.poison.verdict(wall_ms(), digest())
}

/// Where a suspect may be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trial {
    /// At this target.
    At(Box<Announcement>),
    /// Nowhere for now: its pool would be left without a sound target.
    Nowhere,
}

/// Where a suspect may be tried among a pool's targets.
pub fn trial(shared: &Shared, pool: &str, digest: Digest) -> Trial {
    let (now, world) = (shared.now(), shared.world.borrow());
    let since_ms = world.poison.since_end_ms(wall_ms(), digest).unwrap_or(u64::MAX);
    let id = poison::trial(&sound(&world, now, pool), since_ms);
    match id.and_then(|id| world.fleet.targets.get(id)) {
        Some(target) => Trial::At(Box::new(target.said.clone())),
        None => Trial::Nowhere,
    }
}

/// A pool's targets at which no exchange broke a moment ago.
fn sound<'a>(world: &'a World, now: Time, pool: &'a str) -> Vec<&'a str> {
    let all = world.fleet.usable(pool).map(|target| target.said.id.as_str());
    all.filter(|id| !world.sights.is_broken(now, id)).collect()
}

/// Whether a suspect's last end is so long ago that it is alone where it is
/// tried.
pub fn is_settled(shared: &Shared, digest: Digest) -> bool {
    let since_ms = shared.world.borrow().poison.since_end_ms(wall_ms(), digest);
    since_ms.is_none_or(|since_ms| since_ms >= poison::SETTLE_MS)
}

/// The target of a pool that is kept free for suspects, while any may be
/// tried soon.
pub fn reserved(shared: &Shared, pool: &str) -> Option<String> {
    let (now, world) = (shared.now(), shared.world.borrow());
    if !world.poison.is_trying(wall_ms()) {
        return None;
    }
    poison::trial(&sound(&world, now, pool), 0).map(str::to_owned)
}

/// The turn to try a suspect at a pool, which one of all instances has at a
/// time. Dropped, it is given back.
pub struct Turn {
    shared: Rc<Shared>,
    asked: Asked,
    /// The turn that was taken of those that this instance gives out.
    subject: String,
    /// Who gives out the pool's; `None` if that is this instance.
    keeper: Option<String>,
    ends_by_itself: bool,
}

impl Turn {
    /// Leaves the turn taken until it ends by itself: others are to learn
    /// first what came of the try.
    pub fn keep(mut self) {
        self.ends_by_itself = true;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.ends_by_itself {
            return;
        }
        self.shared.turns.borrow_mut().give_back(&self.subject, &self.asked.who);
        let Some(keeper) = self.keeper.take() else {
            return;
        };
        let (shared, over) = (self.shared.clone(), self.asked.over());
        tokio::task::spawn_local(async move {
            // It ends by itself where this is lost.
            let _told = peers::post(&shared, &keeper, TURN_PATH, over).await;
        });
    }
}

/// Asks for the turn to try a suspect at a pool; `None` while another one is
/// tried there, or whoever gives turns out cannot be reached.
pub async fn turn(shared: &Rc<Shared>, pool: &str) -> Option<Turn> {
    let keeper = {
        let world = shared.world.borrow();
        dispatch::owner(world.roster.members(), TURN_PATH, pool).map(str::to_owned)
    }?;
    let keeper = Some(keeper).filter(|keeper| *keeper != shared.me);
    // An instance asks for one at a time, however many suspects wait here.
    let subject = if keeper.is_some() { format!("here/{pool}") } else { pool.to_owned() };
    let asked = Asked { pool: pool.to_owned(), who: shared.unique(), is_over: false };
    let now = shared.now();
    if !shared.turns.borrow_mut().take(now, &subject, &asked.who) {
        return None;
    }
    let word = Bytes::from(asked.encode_to_vec());
    let turn = Turn { shared: shared.clone(), asked, subject, keeper, ends_by_itself: false };
    let Some(keeper) = turn.keeper.clone() else {
        return Some(turn);
    };
    // One whose answer comes too late is given back, as any other.
    let given = timeout(TURN_WAIT, peers::post(shared, &keeper, TURN_PATH, word)).await;
    matches!(given, Ok(Ok(()))).then_some(turn)
}

/// Gives a turn to a peer, or takes it back.
pub async fn hear_turn(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Asked { pool, who, is_over } = match peers::word(request).await {
        Ok(asked) => asked,
        Err(status) => return peers::nothing(status),
    };
    let (now, mut turns) = (shared.now(), shared.turns.borrow_mut());
    if is_over {
        turns.give_back(&pool, &who);
        return peers::nothing(StatusCode::OK);
    }
    let is_free = turns.take(now, &pool, &who);
    peers::nothing(if is_free { StatusCode::OK } else { StatusCode::CONFLICT })
}

/// Finds out whether a target, with which an exchange has broken, has ended;
/// if so, that counts against the request that was there.
/// `is_alone` if nothing else was sent there meanwhile, as far as is known.
pub async fn look(
    shared: &Rc<Shared>,
    target: &Announcement,
    digest: Digest,
    is_alone: bool,
) -> bool {
    if !shared.pool.has_exited(target.address).await {
        return false;
    }
    let life = target.life();
    let (is_news, verdict) = {
        let mut world = shared.world.borrow_mut();
        let is_news = match is_alone {
            true => world.poison.ended_alone(wall_ms(), digest, &life),
            false => world.poison.ended(wall_ms(), digest, &life),
        };
        (is_news, world.poison.verdict(wall_ms(), digest))
    };
    shared.meters.targets_ended.inc();
    log::info!("target {life} has ended while {digest} was there: {verdict:?}");
    if is_news {
        shared.unsaved.add(digest);
    }
    true
}

/// Notes that a target has answered a request, or goes on with it.
pub fn served(shared: &Shared, digest: impl FnOnce() -> Digest) {
    let known = {
        let mut world = shared.world.borrow_mut();
        if world.poison.is_empty() {
            return;
        }
        let digest = digest();
        world.poison.served(digest).then_some(digest)
    };
    if let Some(digest) = known {
        log::info!("{digest} was served: nothing is held against it");
        shared.unsaved.add(digest);
    }
}

/// Forgets what nothing follows from any more. One instance drops it from the
/// store.
pub fn expire(shared: &Shared) {
    let mut world = shared.world.borrow_mut();
    let over = world.poison.expire(wall_ms());
    let members = world.roster.members();
    let is_mine = |digest: &&Digest| {
        dispatch::owner(members, &digest.to_string(), "") == Some(shared.me.as_str())
    };
    over.iter().filter(is_mine).for_each(|digest| shared.unsaved.add(*digest));
}

/// Brings what is known here to the store until the instance stops, and to
/// the peers while the store does not take it.
pub async fn save(shared: Rc<Shared>) {
    let mut pause = RETRY;
    loop {
        let digests = shared.unsaved.take();
        if digests.is_empty() {
            shared.unsaved.changed.notified().await;
            continue;
        }
        let said = said(&shared, &digests);
        match append(&shared, &said).await {
            Ok(()) => pause = RETRY,
            Err(fault) => {
                log::info!("{} suspects are kept for another append: {fault}", said.len());
                tell_all(&shared, &said);
                shared.unsaved.put_back(digests);
                // What becomes known meanwhile does not wait: peers must know
                // it however long the store has been away.
                let _woken = timeout(pause, shared.unsaved.changed.notified()).await;
                pause = (pause * 2).min(RETRY_MOST);
            }
        }
    }
}

fn said(shared: &Shared, digests: &[Digest]) -> Vec<Said> {
    let world = shared.world.borrow();
    let one = |digest: &Digest| Said {
        digest: digest.to_string(),
        record: world.poison.record(*digest).unwrap_or_default().into(),
    };
    digests.iter().map(one).collect()
}

async fn append(shared: &Shared, said: &[Said]) -> Result<(), Fault> {
    let record = |said: &Said| (Some(said.digest.clone()), said.record.clone());
    let records = said.iter().map(record).collect();
    let (part, purpose) = (Part::new(TOPIC, 0), Use::Suspect);
    shared.append(Append { part, records, expected_end: None, purpose }).await.map(|_| ())
}

fn tell_all(shared: &Rc<Shared>, said: &[Said]) {
    let word = Bytes::from(Word { records: said.to_vec() }.encode_to_vec());
    let members = shared.world.borrow().roster.members().to_vec();
    for member in members.into_iter().filter(|member| *member != shared.me) {
        tokio::task::spawn_local(tell(shared.clone(), member, word.clone()));
    }
}

async fn tell(shared: Rc<Shared>, member: String, word: Bytes) {
    if let Err(why) = peers::post(&shared, &member, PATH, word).await {
        log::info!("telling {member} of suspects: {why}");
    }
}

/// Takes in what a peer tells.
pub async fn hear(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Word { records } = match peers::word(request).await {
        Ok(word) => word,
        Err(status) => return peers::nothing(status),
    };
    records.iter().for_each(|said| take(shared, &said.digest, &said.record));
    peers::nothing(StatusCode::OK)
}

/// Takes a record in, the store's or a peer's.
fn take(shared: &Shared, key: &str, record: &[u8]) {
    let mut world = shared.world.borrow_mut();
    let taken = key.parse::<Digest>().and_then(|digest| {
        if record.is_empty() {
            world.poison.served(digest);
            return Ok(());
        }
        world.poison.read(wall_ms(), digest, record)
    });
    if let Err(error) = taken {
        shared.meters.suspects_skipped.inc();
        log::warn!("record {key:?} of suspects skipped: {error}");
    }
}

/// Follows what the instances have recorded.
pub async fn serve(shared: Rc<Shared>) {
    let part = Part::new(TOPIC, 0);
    follow::follow(
        shared,
        part,
        |_| PAUSE,
        None,
        true,
        |shared, records, _| {
            for record in &records.records {
                take(shared, &record.key, record.value.as_deref().unwrap_or_default());
            }
            shared.world.borrow_mut().poison_known = true;
        },
    )
    .await;
}

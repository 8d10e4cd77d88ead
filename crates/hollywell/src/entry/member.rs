//! Membership: this instance stays in a group of the store and reads who
//! else is in it. The store judges who lives; nothing is exchanged directly.
//!
//! A reading lists all members, so that all of them reading it costs their
//! number squared. Where the store is crowded, those that read it for the
//! others hand the members on too, with how old their reading is.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use prost::Message as _;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    core::{
        dispatch::Event,
        group::{Listing, TOPICS},
        time::Time,
    },
    entry::{
        feed, peers,
        shared::Shared,
        store::{Fault, Join},
    },
};

/// The group of all instances.
pub const GROUP: &str = "instances";
/// Where peers ask for the members; a mark of those that they know follows.
pub const PATH: &str = "/members/";
/// Time between calls that keep the member in the group.
const BEAT: Duration = Duration::from_millis(300);
/// How long a member lasts without one: a few lost calls must not end it,
/// and the work of one that died waits for so long.
const TTL: Duration = Duration::from_millis(1_400);
/// Time between readings of the members while nothing changes.
const LOOK: Duration = Duration::from_millis(900);
/// Least time between readings: a change mostly comes with others.
const LOOK_LEAST: Duration = Duration::from_millis(100);
/// Readers up to which the group is read as often as that; with more, less
/// often in proportion.
const LOOK_MEMBERS: f64 = 30.0;
/// Spread of the pauses between readings.
const SPREAD: std::ops::RangeInclusive<f64> = 0.7..=1.3;
/// How long whoever asks is kept while its members are the ones known here.
const WAIT: Duration = Duration::from_millis(400);
/// Silence after which another instance is asked, or the store.
const SILENCE: Duration = Duration::from_millis(700);
/// Age from which on a reading is of no use, in milliseconds: the member that
/// it still shows has been gone for longer than [`TTL`] and two looks.
const MOST_AGE_MS: u64 = 6_000;
/// Largest answer of a peer: some thousand names.
const ANSWER_BYTES: usize = 1 << 20;
/// Members that a line of log names at most, of those that came or went.
const NAMED: usize = 5;

/// What one instance tells another of the group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Word {
    /// How long ago the store was asked, in milliseconds.
    #[prost(uint64, tag = "1")]
    age_ms: u64,
    /// Marks these members.
    #[prost(uint64, tag = "2")]
    mark: u64,
    /// The members; none where whoever asks knows them.
    #[prost(string, repeated, tag = "3")]
    members: Vec<String>,
    /// There may be others that do not show.
    #[prost(bool, tag = "4")]
    full: bool,
}

/// What others are told.
#[derive(Debug, Default)]
pub struct Membership {
    /// When the store was asked for what is known.
    known_at: Cell<Option<Time>>,
    /// The members were taken anew.
    changed: Notify,
    /// It was logged that some may not show.
    full: Cell<bool>,
}

/// Stays in the group until the instance stops.
pub async fn stay(shared: Rc<Shared>) {
    let ttl = TTL.max(shared.settings.store.ttl_min);
    let mut generation = 0;
    let mut stop = shared.stop.subscribe();
    loop {
        if *stop.borrow() {
            return;
        }
        let join = Join {
            group: GROUP.to_owned(),
            member: shared.me.clone(),
            topics: (0..TOPICS).map(|n| format!("deal.{n}")).collect(),
            ttl,
            generation,
        };
        match (shared.store.join)(join).await {
            Ok(newest) => {
                shared.store_did(true);
                if newest != generation {
                    shared.regrouped.notify_one();
                }
                generation = newest;
            }
            Err(fault) => {
                shared.store_did(false);
                log::info!("staying in the group: {fault}");
            }
        }
        tokio::select! {
            () = sleep(BEAT) => {}
            _ = stop.changed() => {}
        }
    }
}

/// Leaves the group, so that others take this instance's work at once.
///
/// # Errors
///
/// The store's [`Fault`]; the member then ends by its time to live.
pub async fn leave(shared: &Rc<Shared>) -> Result<(), Fault> {
    (shared.store.leave)((GROUP.to_owned(), shared.me.clone())).await
}

/// Reads who is in the group: as often as it takes to notice by itself, and
/// at once where the group's generation says that something changed.
pub async fn watch(shared: Rc<Shared>) {
    let mut failures = 0;
    loop {
        if follow(&shared).await {
            sleep(LOOK_LEAST).await;
            continue;
        }
        let asked_at = shared.now();
        match shared.reader.members(GROUP.to_owned()).await {
            Ok(listing) => {
                shared.store_did(true);
                failures = 0;
                note(&shared, &listing);
                take(&shared, &listing.members, asked_at);
            }
            Err(fault) => {
                shared.store_did(false);
                log::info!("reading the group: {fault}");
                failures += 1;
                shared.reader.pause(failures).await;
            }
        }
        pause(&shared).await;
    }
}

/// Waits until the group is to be read again.
async fn pause(shared: &Shared) {
    let is_unsettled = {
        let world = shared.world.borrow();
        world.roster.is_unsettled() || !world.census.is_settled()
    };
    // A reading lists every partition, and all readers share the store.
    let crowd = (feed::readers(shared) as f64 / LOOK_MEMBERS).max(1.0);
    // All instances that start together read it again, but not all at once.
    sleep(LOOK_LEAST.mul_f64(crowd * rand::random_range(SPREAD))).await;
    if !is_unsettled {
        let rest = (LOOK - LOOK_LEAST).mul_f64(crowd);
        let _either = timeout(rest, shared.regrouped.notified()).await;
    }
}

/// Notes how many members a reading of the store shows, of how many may.
fn note(shared: &Shared, listing: &Listing) {
    let is_full = {
        let world = &mut *shared.world.borrow_mut();
        world.census.read(listing.members.len(), listing.partitions);
        let is_full = world.census.is_full();
        world.roster.is_of_full_group(is_full);
        is_full
    };
    if is_full && !shared.membership.full.replace(true) {
        let most = listing.partitions;
        log::warn!("the group shows {most} instances at most: others run no samples");
    }
}

/// Takes the members from an instance that reads them for others; returns
/// whether that went well.
async fn follow(shared: &Rc<Shared>) -> bool {
    if !shared.world.borrow().census.is_settled() {
        return false;
    }
    for source in feed::sources(shared) {
        let asked_at = shared.now();
        match ask(shared, &source).await {
            Ok(word) => {
                let known = {
                    let world = &mut *shared.world.borrow_mut();
                    world.roster.is_of_full_group(word.full);
                    world.roster.members().to_vec()
                };
                let members = if word.members.is_empty() { known } else { word.members };
                take(shared, &members, Time(asked_at.0.saturating_sub(word.age_ms)));
                return true;
            }
            Err(why) => log::info!("the members are not to be had from {source}: {why}"),
        }
    }
    false
}

async fn ask(shared: &Rc<Shared>, source: &str) -> Result<Word, String> {
    let known = mark(shared.world.borrow().roster.members());
    let answer = peers::get(shared, source, &format!("{PATH}{known}"), SILENCE).await?;
    let status = answer.head.status;
    let body = answer.read_body(ANSWER_BYTES, SILENCE).await.map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(status.to_string());
    }
    let word = Word::decode(body).map_err(|error| error.to_string())?;
    let told = if word.members.is_empty() { known } else { mark(&word.members) };
    if told != word.mark {
        return Err(format!("{} members marked {}, not {told}", word.members.len(), word.mark));
    }
    if word.age_ms > MOST_AGE_MS {
        return Err(format!("they were read {} ms ago, more than {MOST_AGE_MS}", word.age_ms));
    }
    Ok(word)
}

/// Tells a peer the members, once they are others than those that it knows.
pub(super) async fn answer(shared: &Rc<Shared>, path: &str) -> Response<Full<Bytes>> {
    let Some(known) = path.strip_prefix(PATH).and_then(|mark| mark.parse::<u64>().ok()) else {
        return peers::nothing(StatusCode::NOT_FOUND);
    };
    let until = Instant::now() + WAIT;
    loop {
        let changed = shared.membership.changed.notified();
        let Some(known_at) = shared.membership.known_at.get() else {
            return peers::nothing(StatusCode::SERVICE_UNAVAILABLE);
        };
        let (members, full) = {
            let world = shared.world.borrow();
            (world.roster.members().to_vec(), world.census.is_full())
        };
        let (mark, age_ms) = (mark(&members), shared.now().since(known_at));
        if mark != known {
            return Response::new(Full::new(
                Word { age_ms, mark, members, full }.encode_to_vec().into(),
            ));
        }
        if timeout_at(until, changed).await.is_err() {
            let age_ms = shared.now().since(known_at);
            let word = Word { age_ms, mark, members: vec![], full };
            return Response::new(Full::new(word.encode_to_vec().into()));
        }
    }
}

/// Marks a list of members.
fn mark(members: &[String]) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
    for member in members {
        hash.update(member.as_bytes());
        hash.update(b"\n");
    }
    hash.digest()
}

fn take(shared: &Rc<Shared>, read: &[String], asked_at: Time) {
    let now = shared.now();
    let (before, changed) = {
        let world = &mut *shared.world.borrow_mut();
        let before = world.roster.members().to_vec();
        let changed = world.roster.read(now, read, world.fleet.store_back_at);
        (before, changed.then(|| world.roster.members().to_vec()))
    };
    shared.membership.known_at.set(Some(asked_at));
    if let Some(members) = changed {
        shared.reader.shared_by(members.len());
        log::info!("{}", changes(&before, &members));
        shared.tell(&Event::Members(members));
        shared.membership.changed.notify_waiters();
    }
}

/// The line that says what changed among the members: it names those that
/// came and went, since a list of hundreds at each change would be most of
/// what an instance writes. Both lists are sorted.
fn changes(before: &[String], members: &[String]) -> String {
    let named = |some: Vec<&String>| {
        let more = some.len().saturating_sub(NAMED);
        let first: Vec<&str> = some.into_iter().take(NAMED).map(String::as_str).collect();
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{}{more}", first.join(" "))
    };
    let came = members.iter().filter(|member| before.binary_search(member).is_err()).collect();
    let went = before.iter().filter(|member| members.binary_search(member).is_err()).collect();
    format!("instances: {}, came: {}, went: {}", members.len(), named(came), named(went))
}

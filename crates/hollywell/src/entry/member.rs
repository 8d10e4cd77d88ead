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
        store::{Join, StoreError},
    },
};

/// The group of all instances.
pub const GROUP: &str = "instances";
/// Where peers ask for the members; a mark of those that they know follows.
pub const PATH: &str = "/members/";
/// Time between calls that keep the member in the group.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// How long a member lasts without one: a few lost calls must not end it,
/// and the work of one that died waits for so long.
const TTL: Duration = Duration::from_millis(1_400);
/// Time between readings of the members while nothing changes.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Least time between readings: a change mostly comes with others.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Readers up to which the group is read as often as that; with more, less
/// often in proportion.
const READERS_AT_FULL_RATE: f64 = 30.0;
/// Spread of the pauses between readings.
const JITTER: std::ops::RangeInclusive<f64> = 0.7..=1.3;
/// How long whoever asks is kept while its members are the ones known here.
const LONG_POLL: Duration = Duration::from_millis(400);
/// Silence after which another instance is asked, or the store.
const IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age from which on a reading is of no use, in milliseconds: the member that
/// it still shows has been gone for longer than [`TTL`] and two looks.
const MAX_AGE_MS: u64 = 6_000;
/// Largest answer of a peer: some thousand names.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Members that a line of log names at most, of those that came or went.
const MAX_LOGGED_MEMBERS: usize = 5;

/// What one instance tells another of the group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct MemberList {
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
    read_at: Cell<Option<Time>>,
    /// The members were taken anew.
    changed: Notify,
    /// It was logged that some may not show.
    full_logged: Cell<bool>,
}

/// Stays in the group until the instance stops.
pub async fn heartbeat(shared: Rc<Shared>) {
    let ttl = TTL.max(shared.settings.store.ttl_min);
    let mut generation = 0;
    let mut stop = shared.stop.subscribe();
    loop {
        if *stop.borrow() {
            return;
        }
        let join = Join {
            group: GROUP.to_owned(),
            member: shared.instance_id.clone(),
            topics: (0..TOPICS).map(|n| format!("deal.{n}")).collect(),
            ttl,
            generation,
        };
        match (shared.store.join)(join).await {
            Ok(newest) => {
                shared.record_store_result(true);
                if newest != generation {
                    shared.group_changed.notify_one();
                }
                generation = newest;
            }
            Err(fault) => {
                shared.record_store_result(false);
                log::info!("staying in the group: {fault}");
            }
        }
        tokio::select! {
            () = sleep(HEARTBEAT_INTERVAL) => {}
            _ = stop.changed() => {}
        }
    }
}

/// Leaves the group, so that others take this instance's work at once.
///
/// # Errors
///
/// The store's [`StoreError`]; the member then ends by its time to live.
pub async fn leave(shared: &Rc<Shared>) -> Result<(), StoreError> {
    (shared.store.leave)((GROUP.to_owned(), shared.instance_id.clone())).await
}

/// Reads who is in the group: as often as it takes to notice by itself, and
/// at once where the group's generation says that something changed.
pub async fn follow_members(shared: Rc<Shared>) {
    let mut failures = 0;
    loop {
        if read_from_source(&shared).await {
            sleep(MIN_READ_INTERVAL).await;
            continue;
        }
        let requested_at = shared.now();
        match shared.reader.members(GROUP.to_owned()).await {
            Ok(listing) => {
                shared.record_store_result(true);
                failures = 0;
                record_census(&shared, &listing);
                apply_members(&shared, &listing.members, requested_at);
            }
            Err(fault) => {
                shared.record_store_result(false);
                log::info!("reading the group: {fault}");
                failures += 1;
                shared.reader.back_off(failures).await;
            }
        }
        wait_for_next_read(&shared).await;
    }
}

/// Waits until the group is to be read again.
async fn wait_for_next_read(shared: &Shared) {
    let is_unsettled = {
        let control = shared.control.borrow();
        control.roster.is_unsettled() || !control.group_size.is_settled()
    };
    // A reading lists every partition, and all readers share the store.
    let crowd = (feed::readers(shared) as f64 / READERS_AT_FULL_RATE).max(1.0);
    // All instances that start together read it again, but not all at once.
    sleep(MIN_READ_INTERVAL.mul_f64(crowd * rand::random_range(JITTER))).await;
    if !is_unsettled {
        let rest = (READ_INTERVAL - MIN_READ_INTERVAL).mul_f64(crowd);
        let _either = timeout(rest, shared.group_changed.notified()).await;
    }
}

/// Notes how many members a reading of the store shows, of how many may.
fn record_census(shared: &Shared, listing: &Listing) {
    let is_full = {
        let control = &mut *shared.control.borrow_mut();
        control.group_size.read(listing.members.len(), listing.partitions);
        let is_full = control.group_size.is_full();
        control.roster.set_group_full(is_full);
        is_full
    };
    if is_full && !shared.membership.full_logged.replace(true) {
        let most = listing.partitions;
        log::warn!("the group shows {most} instances at most: others run no samples");
    }
}

/// Takes the members from an instance that reads them for others; returns
/// whether that went well.
async fn read_from_source(shared: &Rc<Shared>) -> bool {
    if !shared.control.borrow().group_size.is_settled() {
        return false;
    }
    for source in feed::sources(shared) {
        let requested_at = shared.now();
        match fetch(shared, &source).await {
            Ok(list) => {
                let known = {
                    let control = &mut *shared.control.borrow_mut();
                    control.roster.set_group_full(list.full);
                    control.roster.members().to_vec()
                };
                let members = if list.members.is_empty() { known } else { list.members };
                apply_members(shared, &members, Time(requested_at.0.saturating_sub(list.age_ms)));
                return true;
            }
            Err(why) => log::info!("the members are not to be had from {source}: {why}"),
        }
    }
    false
}

async fn fetch(shared: &Rc<Shared>, source: &str) -> Result<MemberList, String> {
    let known = fingerprint(shared.control.borrow().roster.members());
    let answer = peers::get(shared, source, &format!("{PATH}{known}"), IDLE_TIMEOUT).await?;
    let status = answer.head.status;
    let body = answer
        .read_body(MAX_RESPONSE_BYTES, IDLE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(status.to_string());
    }
    let list = MemberList::decode(body).map_err(|error| error.to_string())?;
    let told = if list.members.is_empty() { known } else { fingerprint(&list.members) };
    if told != list.mark {
        return Err(format!("{} members marked {}, not {told}", list.members.len(), list.mark));
    }
    if list.age_ms > MAX_AGE_MS {
        return Err(format!("they were read {} ms ago, more than {MAX_AGE_MS}", list.age_ms));
    }
    Ok(list)
}

/// Tells a peer the members, once they are others than those that it knows.
pub(super) async fn respond(shared: &Rc<Shared>, path: &str) -> Response<Full<Bytes>> {
    let Some(known) = path.strip_prefix(PATH).and_then(|mark| mark.parse::<u64>().ok()) else {
        return peers::empty_response(StatusCode::NOT_FOUND);
    };
    let until = Instant::now() + LONG_POLL;
    loop {
        let changed = shared.membership.changed.notified();
        let Some(read_at) = shared.membership.read_at.get() else {
            return peers::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let (members, full) = {
            let control = shared.control.borrow();
            (control.roster.members().to_vec(), control.group_size.is_full())
        };
        let (mark, age_ms) = (fingerprint(&members), shared.now().since(read_at));
        if mark != known {
            return Response::new(Full::new(
                MemberList { age_ms, mark, members, full }.encode_to_vec().into(),
            ));
        }
        if timeout_at(until, changed).await.is_err() {
            let age_ms = shared.now().since(read_at);
            let list = MemberList { age_ms, mark, members: vec![], full };
            return Response::new(Full::new(list.encode_to_vec().into()));
        }
    }
}

/// Marks a list of members.
fn fingerprint(members: &[String]) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
    for member in members {
        hash.update(member.as_bytes());
        hash.update(b"\n");
    }
    hash.digest()
}

fn apply_members(shared: &Rc<Shared>, read: &[String], requested_at: Time) {
    let now = shared.now();
    let (before, changed) = {
        let control = &mut *shared.control.borrow_mut();
        let before = control.roster.members().to_vec();
        let changed = control.roster.read(now, read, control.fleet.store_recovered_at);
        (before, changed.then(|| control.roster.members().to_vec()))
    };
    shared.membership.read_at.set(Some(requested_at));
    if let Some(members) = changed {
        shared.reader.set_instance_count(members.len());
        log::info!("{}", changes(&before, &members));
        shared.handle_event(&Event::Members(members));
        shared.membership.changed.notify_waiters();
    }
}

/// The line that says what changed among the members: it names those that
/// came and went, since a list of hundreds at each change would be most of
/// what an instance writes. Both lists are sorted.
fn changes(before: &[String], members: &[String]) -> String {
    let named = |some: Vec<&String>| {
        let more = some.len().saturating_sub(MAX_LOGGED_MEMBERS);
        let first: Vec<&str> =
            some.into_iter().take(MAX_LOGGED_MEMBERS).map(String::as_str).collect();
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{}{more}", first.join(" "))
    };
    let came = members.iter().filter(|member| before.binary_search(member).is_err()).collect();
    let went = before.iter().filter(|member| members.binary_search(member).is_err()).collect();
    format!("instances: {}, came: {}, went: {}", members.len(), named(came), named(went))
}

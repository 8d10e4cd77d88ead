//! Membership: this instance keeps itself in a group of the store with
//! heartbeats, and reads the group's other members. The store decides who is
//! alive; instances exchange no heartbeats.
//!
//! A read lists all members, so its total cost is quadratic in their number.
//! With many instances, the sources of [`crate::entry::feed`] pass on the
//! members too, with the age of their read.

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
/// Prefix of the path on which peers request the members; the fingerprint of
/// the members that they know follows.
pub const PATH: &str = "/members/";
/// Interval between the calls that keep this instance in the group.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time to live of a member without such a call. A few lost calls must not end
/// the membership, and the work of an instance that died waits for so long.
const TTL: Duration = Duration::from_millis(1_400);
/// Interval between reads of the members while nothing changes.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Minimum interval between reads: changes mostly come several at a time.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Number of readers up to which these intervals apply; with more, they grow in
/// proportion.
const READERS_AT_FULL_RATE: f64 = 30.0;
/// Jitter of the interval between reads, as a factor.
const JITTER: std::ops::RangeInclusive<f64> = 0.7..=1.3;
/// How long a request waits while the peer's members equal those known here.
const LONG_POLL: Duration = Duration::from_millis(400);
/// Time without progress after which another source is asked, or the store.
const IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum age of a read that is used, in milliseconds. A member that an older
/// one still shows has been gone for longer than [`TTL`] and two reads.
const MAX_AGE_MS: u64 = 6_000;
/// Maximum size of a peer's response, in bytes: some thousand names.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Maximum number of members that came, and of those that went, in one line of
/// the log.
const MAX_LOGGED_MEMBERS: usize = 5;

/// The members of the group, as sent to a peer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct MemberList {
    /// How long ago the store was asked, in milliseconds.
    #[prost(uint64, tag = "1")]
    age_ms: u64,
    /// Fingerprint of the members.
    #[prost(uint64, tag = "2")]
    fingerprint: u64,
    /// The members; empty if the peer knows them already.
    #[prost(string, repeated, tag = "3")]
    members: Vec<String>,
    /// The group is full, so that it may not show all instances.
    #[prost(bool, tag = "4")]
    full: bool,
}

/// State of the members as read by this instance.
#[derive(Debug, Default)]
pub struct Membership {
    /// When the store was asked for the members known here.
    read_at: Cell<Option<Time>>,
    /// Notified when the members changed.
    changed: Notify,
    /// It was logged that the group is full.
    full_logged: Cell<bool>,
}

/// Keeps this instance in the group until it stops.
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
            Err(error) => {
                shared.record_store_result(false);
                log::info!("staying in the group: {error}");
            }
        }
        tokio::select! {
            () = sleep(HEARTBEAT_INTERVAL) => {}
            _ = stop.changed() => {}
        }
    }
}

/// Leaves the group, so that others take over this instance's work at once.
///
/// # Errors
///
/// The store's [`StoreError`]; the membership then ends by its time to live.
pub async fn leave(shared: &Rc<Shared>) -> Result<(), StoreError> {
    (shared.store.leave)((GROUP.to_owned(), shared.instance_id.clone())).await
}

/// Reads the group's members, periodically and at once when the group's
/// generation has changed.
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
            Err(error) => {
                shared.record_store_result(false);
                log::info!("reading the group: {error}");
                failures += 1;
                shared.reader.back_off(failures).await;
            }
        }
        wait_for_next_read(&shared).await;
    }
}

/// Waits until the next read of the group is due.
async fn wait_for_next_read(shared: &Shared) {
    let is_unsettled = {
        let control = shared.control.borrow();
        control.roster.is_unsettled() || !control.group_size.is_settled()
    };
    // A read lists every partition, and all readers share the store.
    let factor = (feed::readers(shared) as f64 / READERS_AT_FULL_RATE).max(1.0);
    // Instances that start together read it again, but not all at once.
    sleep(MIN_READ_INTERVAL.mul_f64(factor * rand::random_range(JITTER))).await;
    if !is_unsettled {
        let remaining = (READ_INTERVAL - MIN_READ_INTERVAL).mul_f64(factor);
        let _woken = timeout(remaining, shared.group_changed.notified()).await;
    }
}

/// Records how many members a read of the store shows, and how many it can
/// show.
fn record_census(shared: &Shared, listing: &Listing) {
    let is_full = {
        let control = &mut *shared.control.borrow_mut();
        control.group_size.read(listing.members.len(), listing.partitions);
        let is_full = control.group_size.is_full();
        control.roster.set_group_full(is_full);
        is_full
    };
    if is_full && !shared.membership.full_logged.replace(true) {
        let max = listing.partitions;
        log::warn!("the group shows {max} instances at most: others run no samples");
    }
}

/// Reads the members from a source; returns whether one answered.
async fn read_from_source(shared: &Rc<Shared>) -> bool {
    if !shared.control.borrow().group_size.is_settled() {
        return false;
    }
    for source in feed::sources(shared) {
        match fetch(shared, &source).await {
            Ok((list, read_at)) => {
                let known = {
                    let control = &mut *shared.control.borrow_mut();
                    control.roster.set_group_full(list.full);
                    control.roster.members().to_vec()
                };
                let members = if list.members.is_empty() { known } else { list.members };
                apply_members(shared, &members, read_at);
                return true;
            }
            Err(why) => log::info!("reading the members from {source} failed: {why}"),
        }
    }
    false
}

/// Fetches the members from a source, with the time at which they were read.
async fn fetch(shared: &Rc<Shared>, source: &str) -> Result<(MemberList, Time), String> {
    let requested_at = shared.now();
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
    let computed = if list.members.is_empty() { known } else { fingerprint(&list.members) };
    if computed != list.fingerprint {
        return Err(format!(
            "{} members sent with fingerprint {}, theirs is {computed}",
            list.members.len(),
            list.fingerprint
        ));
    }
    match requested_at.before(list.age_ms) {
        Some(read_at) if list.age_ms <= MAX_AGE_MS => Ok((list, read_at)),
        _ => Err(format!("they were read {} ms ago, more than {MAX_AGE_MS}", list.age_ms)),
    }
}

/// Answers a peer with the members, once they differ from those that it knows;
/// after [`LONG_POLL`] only with the age of the last read.
pub(super) async fn respond(shared: &Rc<Shared>, path: &str) -> Response<Full<Bytes>> {
    let Some(known) = path.strip_prefix(PATH).and_then(|known| known.parse::<u64>().ok()) else {
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
        let (fingerprint, age_ms) = (fingerprint(&members), shared.now().since(read_at));
        if fingerprint != known {
            return Response::new(Full::new(
                MemberList { age_ms, fingerprint, members, full }.encode_to_vec().into(),
            ));
        }
        if timeout_at(until, changed).await.is_err() {
            let age_ms = shared.now().since(read_at);
            let list = MemberList { age_ms, fingerprint, members: vec![], full };
            return Response::new(Full::new(list.encode_to_vec().into()));
        }
    }
}

/// A hash of a list of members.
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

/// The log line for a change of the members. It names only those that came and
/// went: a list of hundreds at each change would be most of an instance's log.
/// Both lists are sorted.
fn changes(before: &[String], members: &[String]) -> String {
    let list = |names: Vec<&String>| {
        let more = names.len().saturating_sub(MAX_LOGGED_MEMBERS);
        let first: Vec<&str> =
            names.into_iter().take(MAX_LOGGED_MEMBERS).map(String::as_str).collect();
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{}{more}", first.join(" "))
    };
    let came = members.iter().filter(|member| before.binary_search(member).is_err()).collect();
    let went = before.iter().filter(|member| members.binary_search(member).is_err()).collect();
    format!("instances: {}, came: {}, went: {}", members.len(), list(came), list(went))
}

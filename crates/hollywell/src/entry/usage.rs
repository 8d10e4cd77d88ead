//! Usage of organisations as this instance counts it, and its way to the
//! store. [`crate::core::usage`] says what counts.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use prost::Message as _;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    core::{
        capacity::Purpose,
        usage::{self, SteadyClock, Tally},
    },
    entry::{
        peers,
        shared::{Shared, unix_ms},
        store::{Append, Partition, StoreError},
    },
};

/// The path on which peers bring what they could not store.
pub const PATH: &str = "/counts";
/// The topic of what instances counted, of one partition: it is read whole,
/// once a window, by whoever holds the duty.
pub(super) const TOPIC: &str = "keyed.usage";
/// Time in which counts are gathered before they are stored: what the loss of
/// an instance costs. Longer with many instances, as they share the store's
/// rate.
const GATHER: Duration = Duration::from_millis(250);
/// Instances up to which it is that short.
const GATHER_INSTANCES: f64 = 50.0;
/// How long the store may take before peers are asked: a window is added up
/// some seconds after its end, and a silent store lets calls hang for as long.
const APPEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Most time between tries to store counts.
const MAX_RETRY: Duration = Duration::from_millis(1_000);
/// Peers that are asked to store what the store does not take from here.
const PEERS_ASKED: usize = 2;
/// Records that are carried for peers at most.
const MAX_PEER_COUNTS: usize = 1_024;

/// What a peer is asked to store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct CountList {
    #[prost(message, repeated, tag = "1")]
    records: Vec<CountRecord>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct CountRecord {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
}

/// What this instance counted and has not stored.
#[derive(Debug, Default)]
pub struct Usage {
    tally: RefCell<Tally>,
    day: RefCell<SteadyClock>,
    /// Records of peers that could not store them.
    peer_counts: RefCell<BTreeMap<String, Bytes>>,
    changed: Notify,
}

/// The true time of day, in milliseconds since 1970, as far as it is known.
pub(super) fn day_ms(shared: &Shared) -> u64 {
    shared.usage.day.borrow_mut().read(shared.now(), unix_ms())
}

/// Counts a request of an organisation that begins now; its window, if it is
/// counted at all.
pub(super) fn count_request(shared: &Shared, organisation: &str) -> Option<u64> {
    let duties = shared.settings.duties.filter(|_| !organisation.is_empty())?;
    let window = duties.usage.window(day_ms(shared));
    shared.usage.tally.borrow_mut().begin(window, organisation);
    shared.usage.changed.notify_one();
    Some(window)
}

/// Takes one back that did not begin after all.
pub(super) fn uncount_request(shared: &Shared, window: u64, organisation: &str) {
    shared.usage.tally.borrow_mut().undo(window, organisation);
    shared.usage.changed.notify_one();
}

/// Brings what is counted here to the store until the process ends, by way
/// of peers where the store does not take it.
pub async fn store_counts(shared: Rc<Shared>) {
    let mut is_failing = false;
    loop {
        shared.usage.changed.notified().await;
        let members = shared.control.borrow().roster.members().len() as f64;
        sleep(GATHER.mul_f64((members / GATHER_INSTANCES).max(1.0))).await;
        let own = shared.usage.tally.borrow_mut().take_changed(&shared.writer_id);
        let peer_counts = std::mem::take(&mut *shared.usage.peer_counts.borrow_mut());
        if own.is_empty() && peer_counts.is_empty() {
            continue;
        }
        let all: Vec<_> = own.iter().cloned().chain(peer_counts.clone()).collect();
        // Whatever is counted while the store fails does not wait for it.
        if is_failing {
            hand_to_peers(&shared, &own);
        }
        let appended = append(&shared, &all).await;
        let failed_before = std::mem::replace(&mut is_failing, appended.is_err());
        if let Err(fault) = appended {
            log::info!("usage of {} windows is kept for another append: {fault}", own.len());
            if !failed_before {
                hand_to_peers(&shared, &own);
            }
            shared.usage.tally.borrow_mut().mark_unsaved(&own);
            shared.usage.peer_counts.borrow_mut().extend(peer_counts);
            sleep(MAX_RETRY.mul_f64(rand::random_range(0.0..=1.0))).await;
            shared.usage.changed.notify_one();
        }
    }
}

/// Appends keyed records of usage.
async fn append(shared: &Shared, records: &[(String, Bytes)]) -> Result<(), StoreError> {
    let records = records.iter().map(|(key, value)| (Some(key.clone()), value.clone())).collect();
    let (part, purpose) = (Partition::new(TOPIC, 0), Purpose::Usage);
    let append = shared.append(Append { part, records, expected_end: None, purpose });
    // Where it is done after all, the same records come twice.
    let late = |_| StoreError::OutcomeUnknown(String::from("no answer in time"));
    timeout(APPEND_TIMEOUT, append).await.map_err(late)?.map(|_| ())
}

/// Asks some peers to store records for this instance.
fn hand_to_peers(shared: &Rc<Shared>, records: &[(String, Bytes)]) {
    let record =
        |(key, value): &(String, Bytes)| CountRecord { key: key.clone(), value: value.clone() };
    let message =
        Bytes::from(CountList { records: records.iter().map(record).collect() }.encode_to_vec());
    for peer in peers::random_peers(shared, PEERS_ASKED) {
        let (shared, message) = (shared.clone(), message.clone());
        tokio::task::spawn_local(async move {
            if let Err(why) = peers::post(&shared, &peer, PATH, message).await {
                log::info!("{peer} does not carry usage: {why}");
            }
        });
    }
}

/// Takes in what a peer could not store.
pub(super) async fn receive(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let CountList { records } = match peers::decode_body(request).await {
        Ok(message) => message,
        Err(status) => return peers::empty_response(status),
    };
    {
        let mut peer_counts = shared.usage.peer_counts.borrow_mut();
        for CountRecord { key, value } in records {
            if peer_counts.len() < MAX_PEER_COUNTS {
                peer_counts.insert(usage::forwarded_key(&key, &shared.writer_id), value);
            }
        }
    }
    shared.usage.changed.notify_one();
    peers::empty_response(StatusCode::OK)
}

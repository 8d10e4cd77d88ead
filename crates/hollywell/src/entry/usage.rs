//! Counts the requests of organisations at this instance and stores the
//! counts. [`crate::core::usage`] defines what is counted.

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

/// The path on which peers send counts that they could not store.
pub const PATH: &str = "/counts";
/// The topic of the instances' counts. It has one partition, as the holder of
/// the duty reads all of it once a window.
pub(super) const TOPIC: &str = "keyed.usage";
/// How long counts are gathered before they are stored; the counts of this time
/// are lost with an instance. It grows with the number of instances beyond
/// [`GATHER_INSTANCES`], as they share the store's rate of calls.
const GATHER: Duration = Duration::from_millis(250);
/// Number of instances up to which [`GATHER`] applies.
const GATHER_INSTANCES: f64 = 50.0;
/// Timeout of an append, after which peers are asked. A window is added up some
/// seconds after its end, and calls to an unresponsive store hang for as long.
const APPEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum delay between attempts to store counts.
const MAX_RETRY: Duration = Duration::from_millis(1_000);
/// Number of peers that are asked to store counts in place of this instance.
const PEERS_ASKED: usize = 2;
/// Maximum number of records that are stored for peers at a time.
const MAX_PEER_COUNTS: usize = 1_024;

/// Counts that a peer is asked to store.
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

/// Counts that are not stored yet.
#[derive(Debug, Default)]
pub struct Usage {
    tally: RefCell<Tally>,
    day: RefCell<SteadyClock>,
    /// Records of peers, which could not store them.
    peer_counts: RefCell<BTreeMap<String, Bytes>>,
    changed: Notify,
}

/// Best estimate of the time, in milliseconds since the Unix epoch.
pub(super) fn day_ms(shared: &Shared) -> u64 {
    shared.usage.day.borrow_mut().read(shared.now(), unix_ms())
}

/// Counts a request of an organisation that begins now. Returns its window, or
/// `None` if the request is not counted.
pub(super) fn count_request(shared: &Shared, organisation: &str) -> Option<u64> {
    let duties = shared.settings.duties.filter(|_| !organisation.is_empty())?;
    let window = duties.usage.window(day_ms(shared));
    shared.usage.tally.borrow_mut().begin(window, organisation);
    shared.usage.changed.notify_one();
    Some(window)
}

/// Takes back the count of a request that did not begin after all.
pub(super) fn uncount_request(shared: &Shared, window: u64, organisation: &str) {
    shared.usage.tally.borrow_mut().undo(window, organisation);
    shared.usage.changed.notify_one();
}

/// Stores the counts of this instance until the process ends, through peers
/// while the store does not accept its appends.
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
        // While the store fails, new counts go to peers without waiting for it.
        if is_failing {
            hand_to_peers(&shared, &own);
        }
        let appended = append(&shared, &all).await;
        let failed_before = std::mem::replace(&mut is_failing, appended.is_err());
        if let Err(error) = appended {
            log::info!("usage of {} windows is kept for another append: {error}", own.len());
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
    // If the append succeeds after all, the retry repeats the same records.
    let late = |_| StoreError::OutcomeUnknown(String::from("no answer in time"));
    timeout(APPEND_TIMEOUT, append).await.map_err(late)?.map(|_| ())
}

/// Asks some peers to store records in place of this instance.
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

/// Receives counts that a peer could not store.
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

//! Asks peers which targets leave, while the store does not tell this instance.
//!
//! Each instance that asks tells what it learned to those that ask it, so news
//! that one of them has read reaches all within a few rounds, however few the
//! store serves. [`crate::core::departure`] decides what is taken over.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use prost::Message as _;

use crate::{
    core::departure::Page,
    entry::{peers, shared::Shared},
};

/// Prefix of the path of a request; the offset up to which departures are known
/// follows.
pub const PATH: &str = "/departures/";
/// Time between checks of the age of what is known.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Divisor: peers are asked once what is known is older than this part of the
/// time within which a leaving target must get no more requests.
const ASK_DIVISOR: u32 = 2;
/// Peers that are asked at a time: some know as little as this instance.
const PEERS_PER_ROUND: usize = 3;
/// Timeout of a peer's response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Limit on a peer's response, in bytes: enough for all targets of a large
/// platform.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A departure in a [`Listing`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Departure {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    offset: u64,
}

/// A peer's response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Listing {
    /// The age of what the peer knows, in milliseconds.
    #[prost(uint64, tag = "1")]
    age_ms: u64,
    /// All departures at or beyond this offset are listed.
    #[prost(uint64, tag = "2")]
    from: u64,
    /// The departures before this offset are known.
    #[prost(uint64, tag = "3")]
    end: u64,
    #[prost(message, repeated, tag = "4")]
    departures: Vec<Departure>,
}

/// Asks peers until the process ends, whenever what is known is too old.
pub async fn serve(shared: Rc<Shared>) {
    let limit = shared.settings.times.drain / ASK_DIVISOR;
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let age_ms = shared.control.borrow().fleet.departures.age_ms(shared.now());
        if age_ms.is_none_or(|age_ms| age_ms <= limit_ms) {
            continue;
        }
        peers::ask_random(&shared, PEERS_PER_ROUND, update_from).await;
    }
}

async fn update_from(shared: Rc<Shared>, peer: String) {
    let end = shared.control.borrow().fleet.departures.end();
    let requested_at = shared.now();
    let listing = match request(&shared, &peer, end).await {
        Ok(listing) => listing,
        Err(why) => {
            log::info!("asking {peer} for departures: {why}");
            return;
        }
    };
    let Some(known_at) = requested_at.before(listing.age_ms) else {
        log::info!("{peer} knows of departures up to {} ms ago only", listing.age_ms);
        return;
    };
    let departures = listing.departures.into_iter().map(|each| (each.target, each.offset));
    let page = Page { from: listing.from, end: listing.end, departures: departures.collect() };
    let is_taken = {
        let fleet = &mut shared.control.borrow_mut().fleet;
        fleet.merge_departures(shared.now(), known_at, &page)
    };
    if is_taken {
        log::debug!("{} departures up to {} taken from {peer}", page.departures.len(), page.end);
        shared.handle_event(&crate::core::dispatch::Event::Tick);
    }
}

async fn request(shared: &Shared, peer: &str, end: u64) -> Result<Listing, String> {
    let response = peers::get(shared, peer, &format!("{PATH}{end}"), REQUEST_TIMEOUT).await?;
    let status = response.head.status;
    let body = response
        .read_body(MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(status.to_string());
    }
    Listing::decode(body).map_err(|error| error.to_string())
}

/// Responds to a peer with the departures from the offset that it names.
pub(super) fn respond(shared: &Shared, path: &str) -> Response<Full<Bytes>> {
    let Some(offset) = path.strip_prefix(PATH).and_then(|offset| offset.parse().ok()) else {
        return peers::empty_response(StatusCode::NOT_FOUND);
    };
    let control = shared.control.borrow();
    let departures = &control.fleet.departures;
    let Some(age_ms) = departures.age_ms(shared.now()) else {
        return peers::empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let Page { from, end, departures } = departures.since(offset);
    let departures =
        departures.into_iter().map(|(target, offset)| Departure { target, offset }).collect();
    let listing = Listing { age_ms, from, end, departures };
    Response::new(Full::new(listing.encode_to_vec().into()))
}

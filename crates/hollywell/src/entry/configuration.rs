//! The configuration in force and its age.
//!
//! The configuration is read from the store, or from peers while the store does
//! not respond to this instance: the store may reject some instances while it
//! serves the operator and the others, and a revoked API key must not keep
//! working at those. A peer sends the configuration as it decoded it, without
//! any key, together with the age of what it knows.
//!
//! What follows from the age is decided in [`crate::entry::caller`].

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    core::{configuration::Configuration, fleet::Memory, time::Time},
    entry::{peers, shared::Shared},
};

/// The path of peers' requests, followed by the version that the peer has.
pub const PATH: &str = "/configuration/";
/// Time between checks of the configuration's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Age from which peers are asked, in milliseconds: a long poll of the store
/// that returns nothing takes less.
const STALE_MS: u64 = 1_500;
/// Peers that are asked at a time: one of them may be out of date for the same
/// reason.
const PEERS_PER_ROUND: usize = 3;
/// Timeout of a peer's response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Limit on a peer's response, in bytes: enough for thousands of organisations.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A peer's response.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    /// The age of what the peer knows, in milliseconds.
    age_ms: u64,
    /// The configuration's version.
    version: u64,
    /// The configuration, if it is newer than the requester's.
    #[serde(rename = "plan")]
    configuration: Option<Configuration>,
    /// The newest version of each model's weights.
    #[serde(rename = "named")]
    newest_versions: BTreeMap<String, u64>,
    /// Failure domains that are evacuated; `None` from a peer that does not
    /// report them.
    #[serde(default)]
    evacuated: Option<BTreeSet<String>>,
}

/// Puts a configuration in force if it is newer than the current one.
pub(super) fn adopt(shared: &Shared, configuration: Configuration, from: &str) {
    let mut control = shared.control.borrow_mut();
    let before = control.configuration.as_ref().map_or(0, |configuration| configuration.version);
    if configuration.version > before {
        log::info!("configuration {} in force, was {before}, from {from}", configuration.version);
        control.fleet.configure(configuration.pools.iter().map(|pool| pool.name.as_str()));
        control.fleet.set_memory(configuration.pools.iter().map(|pool| {
            let (tokens, event_tokens) = (pool.memory_tokens, pool.event_tokens);
            (pool.name.clone(), Memory { tokens, event_tokens })
        }));
        control.configuration = Some(Rc::new(configuration));
    }
}

/// Records the newest version of a model's weights.
pub(super) fn adopt_version(shared: &Shared, model: &str, version: u64) {
    let mut control = shared.control.borrow_mut();
    let newest = control.models.newest.entry(model.to_owned()).or_insert(0);
    if *newest < version {
        *newest = version;
        log::info!("model {model} is named version {version}");
    }
}

/// Records whether a failure domain is evacuated.
pub(super) fn set_evacuated(shared: &Shared, domain: &str, is_on: bool) {
    if !shared.control.borrow_mut().fleet.evacuate(domain, is_on) {
        return;
    }
    let change = if is_on { "gets nothing new from now on" } else { "takes work again" };
    log::info!("failure domain {domain} {change}");
    if !shared.settings.domains.iter().any(|known| known == domain) {
        log::warn!("failure domain {domain} is none of {:?}", shared.settings.domains);
    }
}

/// Sets the failure domains that are evacuated. All others are no longer
/// evacuated, except those for which `keep` returns true because their state is
/// unknown.
pub(super) fn replace_evacuated(
    shared: &Shared,
    on: &BTreeSet<String>,
    keep: impl Fn(&str) -> bool,
) {
    let before = shared.control.borrow().fleet.evacuated().clone();
    let ended = before.difference(on).filter(|domain| !keep(domain));
    ended.for_each(|domain| set_evacuated(shared, domain, false));
    on.iter().for_each(|domain| set_evacuated(shared, domain, true));
}

/// Records that the operator's topic was read up to its state at an instant, here
/// or by the peer `by`.
pub(super) fn mark_current(shared: &Shared, at: Time, by: &str) {
    let mut control = shared.control.borrow_mut();
    if control.configuration_read_at < Some(at) {
        control.configuration_read_at = Some(at);
        by.clone_into(&mut control.configuration_read_by);
    }
    shared.configuration_read.notify_waiters();
}

/// Who read the configuration last, and how long ago, for log lines.
pub(super) fn provenance(shared: &Shared) -> String {
    match age_ms(shared) {
        Some(age_ms) => {
            format!("read {age_ms} ms ago by {}", shared.control.borrow().configuration_read_by)
        }
        None => "never read to its end".to_owned(),
    }
}

/// The time since the configuration was known to be current, in milliseconds;
/// `None` before it was first read.
#[must_use]
pub fn age_ms(shared: &Shared) -> Option<u64> {
    let at = shared.control.borrow().configuration_read_at?;
    Some(shared.now().since(at))
}

/// Requests the configuration from peers while the store does not provide it.
pub async fn serve(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if age_ms(&shared).is_some_and(|age| age < STALE_MS) {
            continue;
        }
        peers::ask_random(&shared, PEERS_PER_ROUND, update_from).await;
    }
}

async fn update_from(shared: Rc<Shared>, peer: String) {
    let requested_at = shared.now();
    match request(&shared, &peer).await {
        Ok(message) => {
            if let Some(configuration) = message.configuration {
                adopt(&shared, configuration, &peer);
            }
            message
                .newest_versions
                .iter()
                .for_each(|(model, version)| adopt_version(&shared, model, *version));
            let known_at = requested_at.before(message.age_ms);
            if let Some(evacuated) = message.evacuated
                && shared.control.borrow().configuration_read_at < known_at
            {
                replace_evacuated(&shared, &evacuated, |_| false);
            }
            // The peer's age applies only if all that it knew was adopted.
            let version = shared
                .control
                .borrow()
                .configuration
                .as_ref()
                .map_or(0, |configuration| configuration.version);
            if let Some(known_at) = known_at.filter(|_| version >= message.version) {
                mark_current(&shared, known_at, &peer);
            }
            shared.apply_routes();
        }
        Err(why) => log::info!("asking {peer} for the configuration: {why}"),
    }
}

async fn request(shared: &Shared, peer: &str) -> Result<Message, String> {
    let own_version = shared
        .control
        .borrow()
        .configuration
        .as_ref()
        .map_or(0, |configuration| configuration.version);
    let response =
        peers::get(shared, peer, &format!("{PATH}{own_version}"), REQUEST_TIMEOUT).await?;
    let status = response.head.status;
    let body = response
        .read_body(MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(status.to_string());
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Responds to a peer with the configuration, if this instance has one.
pub(super) fn respond(shared: &Shared, path: &str) -> Response<Full<Bytes>> {
    let requester_version: u64 = path
        .strip_prefix(PATH)
        .and_then(|requester_version| requester_version.parse().ok())
        .unwrap_or(0);
    let Some(age_ms) = age_ms(shared) else {
        return peers::empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let control = shared.control.borrow();
    let version = control.configuration.as_ref().map_or(0, |configuration| configuration.version);
    let configuration = control
        .configuration
        .as_deref()
        .filter(|configuration| configuration.version > requester_version)
        .cloned();
    let evacuated = Some(control.fleet.evacuated().clone());
    let message = Message {
        age_ms,
        version,
        configuration,
        newest_versions: control.models.newest.clone(),
        evacuated,
    };
    match serde_json::to_vec(&message) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            log::error!("failed to encode the configuration: {error}");
            peers::empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

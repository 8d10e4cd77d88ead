//! The configuration in force, and how old what is known of it is.
//!
//! It comes from the store, and from peers where the store does not answer
//! this instance: the store may turn some instances away while it serves the
//! operator and the others, and a key that was taken away must not work there
//! for as long. A peer tells the configuration as it has decoded it, without
//! any key, and how old its knowledge is.
//!
//! What it leaves out: what follows from the age ([`crate::entry::caller`]).

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
    core::{plan::Plan, time::Time},
    entry::{peers, shared::Shared},
};

/// The path on which peers ask; the version that they have follows.
pub const PATH: &str = "/configuration/";
/// Time between looks at how old the configuration is.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Age from which on peers are asked, in milliseconds: a read of the store
/// that waits in vain takes less.
const STALE_MS: u64 = 1_500;
/// Peers that are asked at once: one may be behind for the same reason.
const PEERS_PER_ROUND: usize = 3;
/// Time that a peer's answer may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer of a peer: thousands of organisations.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// What a peer tells.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    /// How old it is, in milliseconds.
    age_ms: u64,
    /// The configuration's version.
    version: u64,
    /// The configuration, if it is newer than the asker's.
    plan: Option<Plan>,
    /// Newest weights of each model.
    named: BTreeMap<String, u64>,
    /// Failure domains that are evacuated; `None` from a peer that does not
    /// tell.
    #[serde(default)]
    evacuated: Option<BTreeSet<String>>,
}

/// Puts a configuration in force, if it is newer.
pub(super) fn adopt(shared: &Shared, plan: Plan, from: &str) {
    let mut control = shared.control.borrow_mut();
    let before = control.configuration.as_ref().map_or(0, |plan| plan.version);
    if plan.version > before {
        log::info!("configuration {} in force, was {before}, from {from}", plan.version);
        control.fleet.configure(plan.pools.iter().map(|pool| pool.name.as_str()));
        control.configuration = Some(Rc::new(plan));
    }
}

/// Takes over which weights of a model are the newest.
pub(super) fn adopt_version(shared: &Shared, model: &str, version: u64) {
    let mut control = shared.control.borrow_mut();
    let named = control.models.named.entry(model.to_owned()).or_insert(0);
    if *named < version {
        *named = version;
        log::info!("model {model} is named version {version}");
    }
}

/// Takes over whether a failure domain is evacuated.
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

/// Takes over which failure domains are evacuated; all others are not, but
/// for those of which `keep` says that nothing is known.
pub(super) fn replace_evacuated(
    shared: &Shared,
    on: &BTreeSet<String>,
    keep: impl Fn(&str) -> bool,
) {
    let before = shared.control.borrow().fleet.evacuated().clone();
    let over = before.difference(on).filter(|domain| !keep(domain));
    over.for_each(|domain| set_evacuated(shared, domain, false));
    on.iter().for_each(|domain| set_evacuated(shared, domain, true));
}

/// Notes that the operator's topic, as it was at an instant, is known.
pub(super) fn mark_current(shared: &Shared, at: Time) {
    let mut control = shared.control.borrow_mut();
    control.configuration_read_at = control.configuration_read_at.max(Some(at));
    shared.configuration_read.notify_waiters();
}

/// How old what is known of the configuration is, in milliseconds.
#[must_use]
pub fn age_ms(shared: &Shared) -> Option<u64> {
    let at = shared.control.borrow().configuration_read_at?;
    Some(shared.now().since(at))
}

/// Asks peers while the store does not tell.
pub async fn serve(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if age_ms(&shared).is_some_and(|age| age < STALE_MS) {
            continue;
        }
        let peers = peers::random_peers(&shared, PEERS_PER_ROUND);
        let asked: Vec<_> =
            peers.into_iter().map(|peer| update_from(shared.clone(), peer)).collect();
        let asked: Vec<_> = asked.into_iter().map(tokio::task::spawn_local).collect();
        for one in asked {
            if let Err(error) = one.await {
                log::error!("asking a peer for the configuration: {error}");
            }
        }
    }
}

async fn update_from(shared: Rc<Shared>, peer: String) {
    let asked_at = shared.now();
    match request(&shared, &peer).await {
        Ok(message) => {
            if let Some(plan) = message.plan {
                adopt(&shared, plan, &peer);
            }
            message
                .named
                .iter()
                .for_each(|(model, version)| adopt_version(&shared, model, *version));
            let known_at = Time(asked_at.0.saturating_sub(message.age_ms));
            if let Some(evacuated) = message.evacuated
                && shared.control.borrow().configuration_read_at < Some(known_at)
            {
                replace_evacuated(&shared, &evacuated, |_| false);
            }
            // What the peer knew is of use for as far as it was taken over.
            let version =
                shared.control.borrow().configuration.as_ref().map_or(0, |plan| plan.version);
            if version >= message.version {
                mark_current(&shared, known_at);
            }
            shared.open_waiting_jobs();
        }
        Err(why) => log::info!("asking {peer} for the configuration: {why}"),
    }
}

async fn request(shared: &Shared, peer: &str) -> Result<Message, String> {
    let have = shared.control.borrow().configuration.as_ref().map_or(0, |plan| plan.version);
    let answer = peers::get(shared, peer, &format!("{PATH}{have}"), REQUEST_TIMEOUT).await?;
    let status = answer.head.status;
    let body = answer
        .read_body(MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(status.to_string());
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Tells a peer the configuration, if this instance knows one.
pub(super) fn respond(shared: &Shared, path: &str) -> Response<Full<Bytes>> {
    let have: u64 = path.strip_prefix(PATH).and_then(|have| have.parse().ok()).unwrap_or(0);
    let Some(age_ms) = age_ms(shared) else {
        return peers::empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let control = shared.control.borrow();
    let version = control.configuration.as_ref().map_or(0, |plan| plan.version);
    let plan = control.configuration.as_deref().filter(|plan| plan.version > have).cloned();
    let evacuated = Some(control.fleet.evacuated().clone());
    let message = Message { age_ms, version, plan, named: control.models.named.clone(), evacuated };
    match serde_json::to_vec(&message) {
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            log::error!("the configuration cannot be told: {error}");
            peers::empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

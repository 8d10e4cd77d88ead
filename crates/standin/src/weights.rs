//! The weight store: versions by trainer, with a rate limit on fetches.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::Method;
use serde::Deserialize;
use serde_json::json;

use crate::web::{self, Answer, Received};

#[derive(Debug)]
struct Store {
    latest: HashMap<String, u64>,
    rate: u64,
    window: Instant,
    fetched: u64,
    refused: u64,
}

#[derive(Debug, Deserialize)]
struct Publish {
    version: u64,
}

/// Serves the store.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn run(listen: &str, rate: u64) -> std::io::Result<()> {
    let store =
        Store { latest: HashMap::new(), rate, window: Instant::now(), fetched: 0, refused: 0 };
    let store = Arc::new(Mutex::new(store));
    web::serve(listen, move |request| {
        let store = Arc::clone(&store);
        async move { answer(&store, &request) }
    })
    .await
}

fn answer(store: &Mutex<Store>, request: &Received) -> Answer {
    let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
    match (request.method(), request.path().as_slice()) {
        (&Method::GET, ["trainers", trainer, "versions"]) => {
            let latest = store.latest.get(*trainer).copied().unwrap_or_default();
            web::json(200, &json!({ "latest": latest }))
        }
        (&Method::POST, ["trainers", trainer, "versions"]) => {
            let Some(publish) = request.json::<Publish>() else {
                return web::json(400, &"not a version");
            };
            let latest = store.latest.entry((*trainer).to_owned()).or_default();
            *latest = publish.version.max(*latest);
            web::json(200, &json!({ "latest": *latest }))
        }
        (&Method::GET, ["trainers", trainer, "versions", version]) => {
            let latest = store.latest.get(*trainer).copied().unwrap_or_default();
            if version.parse::<u64>().is_ok_and(|version| version <= latest) {
                fetch(&mut store)
            } else {
                web::json(404, &"no such version")
            }
        }
        (&Method::GET, ["stats"]) => {
            web::json(200, &json!({ "fetched": store.fetched, "refused": store.refused }))
        }
        _ => web::json(404, &"no such path"),
    }
}

fn fetch(store: &mut Store) -> Answer {
    if store.window.elapsed() >= Duration::from_secs(1) {
        store.window = Instant::now();
        store.fetched = 0;
    }
    if store.fetched >= store.rate {
        store.refused += 1;
        return web::json(429, &"too many fetches");
    }
    store.fetched += 1;
    web::json(200, &"weights")
}

//! The platform's list of instances and targets, which lags.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::Method;
use serde_json::{Value, json};

use crate::web::{self, Answer, Received};

type Entries = BTreeMap<String, Value>;

#[derive(Debug, Default)]
struct List {
    lag: Duration,
    versions: Vec<(Instant, Entries)>,
}

impl List {
    fn change(&mut self, change: impl FnOnce(&mut Entries)) {
        let mut entries = self.versions.last().map(|(_, entries)| entries.clone());
        change(entries.get_or_insert_default());
        self.versions.push((Instant::now(), entries.unwrap_or_default()));
    }

    /// The list as it was one lag ago; older versions are dropped.
    fn lagging(&mut self) -> Entries {
        let old = |(at, _): &(Instant, Entries)| at.elapsed() >= self.lag;
        let seen = self.versions.iter().rposition(old);
        if let Some(seen) = seen {
            self.versions.drain(..seen);
            return self.versions[0].1.clone();
        }
        Entries::new()
    }
}

/// Serves the list.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn run(listen: &str, lag_ms: u64) -> std::io::Result<()> {
    let list = List { lag: Duration::from_millis(lag_ms), versions: vec![] };
    let list = Arc::new(Mutex::new(list));
    web::serve(listen, move |request| {
        let list = Arc::clone(&list);
        async move { answer(&list, &request) }
    })
    .await
}

fn answer(list: &Mutex<List>, request: &Received) -> Answer {
    let mut list = list.lock().unwrap_or_else(PoisonError::into_inner);
    match (request.method(), request.path().as_slice()) {
        (&Method::GET, ["list"]) => {
            let entries: Vec<Value> = list.lagging().into_values().collect();
            web::json(200, &json!({ "entries": entries }))
        }
        (&Method::POST, ["entries"]) => {
            let Some(entry) = request.json::<Value>() else {
                return web::json(400, &"not an entry");
            };
            let name = entry["name"].as_str().unwrap_or_default().to_owned();
            list.change(|entries| {
                entries.insert(name, entry);
            });
            web::json(200, &"ok")
        }
        (&Method::POST, ["entries", name, "leaving"]) => {
            list.change(|entries| {
                if let Some(entry) = entries.get_mut(*name) {
                    entry["leaving"] = Value::Bool(true);
                }
            });
            web::json(200, &"ok")
        }
        (&Method::DELETE, ["entries", name]) => {
            list.change(|entries| {
                entries.remove(*name);
            });
            web::json(200, &"ok")
        }
        _ => web::json(404, &"no such path"),
    }
}

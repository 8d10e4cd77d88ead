//! What the stand-ins of engines have in common: their entry in the store, and
//! the configuration that names their services.

use std::{net::SocketAddr, thread, time::Duration};

use crate::store::Store;

/// The host of all routes.
pub const HOST: &str = "ficu95.example";

/// Writes an engine's entry in the store every `heartbeat_ms`. `models` is the
/// JSON list of its models; `None` for an engine that has none.
pub fn announce(
    store: &Store,
    id: &str,
    service: &str,
    domain: &str,
    slots: usize,
    address: SocketAddr,
    models: impl Fn() -> Option<String> + Send + 'static,
) {
    let (store, id) = (store.clone(), id.to_owned());
    let (service, domain) = (service.to_owned(), domain.to_owned());
    thread::spawn(move || {
        for seq in 1_u64.. {
            let models = models().map(|list| format!("\"stage\":\"both\",\"models\":{list},"));
            let entry = format!(
                "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{domain}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,{}\
                 \"seq\":{seq}}}",
                models.unwrap_or_default(),
            );
            store.put("keyed.servers", &id, &entry);
            thread::sleep(Duration::from_millis(1_200));
        }
    });
}

/// Writes a configuration with these routes and services, each a JSON object.
pub fn configure(store: &Store, version: u64, routes: &[String], services: &[String]) {
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(","),
    );
    store.put("keyed.op", "config", &config);
}

/// A route of a plain service.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u64, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":150,\
         \"priority\":2,\"backend\":\"{service}\",\"max_attempts\":4}}"
    )
}

/// A plain service.
pub fn service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}"
    )
}

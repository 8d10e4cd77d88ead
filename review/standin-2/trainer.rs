//! The operator's configuration, and the calls of a trainer.

use std::{net::SocketAddr, time::Duration};

use crate::{
    engine::MODEL,
    http::{self, Message},
    record::Record,
    store::Store,
    text::base64,
};

pub const HOST: &str = "ficu95.example";
/// Prefixes of the routes for batch jobs and scoring.
pub const JOBS: &str = "/pule252/";
pub const SCORES: &str = "/pufi791/";

/// The services with model engines.
pub const WADI: &str = "wadi";
pub const WADI_NEXT: &str = "wadinext";

/// The fields of a route that goes to one service, or to two by weight.
pub fn to_one(service: &str) -> String {
    format!("\"backend\":\"{service}\"")
}

pub fn to_two(first: (&str, u32), second: (&str, u32)) -> String {
    let share = |(service, weight): (&str, u32)| {
        format!("{{\"backend\":\"{service}\",\"weight\":{weight}}}")
    };
    format!("\"traffic_split\":[{},{}]", share(first), share(second))
}

/// Writes a configuration with a route for batch jobs, whose `goal` is a result of
/// [`to_one`] or [`to_two`], and a safe route.
pub fn configure(store: &Store, version: u64, goal: &str) {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",{rest}}}"
        )
    };
    let jobs = format!(
        "\"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":0,\
         {goal},\"max_attempts\":3,\"deadline_ms\":7500,\"retention_s\":40"
    );
    let scores = "\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\
                  \"backend\":\"board\",\"max_attempts\":4";
    let routes = [route("r-jobs", JOBS, &jobs), route("r-scores", SCORES, scores)];
    let model_service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":170,\
             \"engine\":{{\"slots\":12,\"kv_capacity_tokens\":83311,\"stride\":52,\
             \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
        )
    };
    let (wadi, next) = (model_service(WADI), model_service(WADI_NEXT));
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{wadi},{next},\
         {{\"name\":\"board\",\"health_path\":\"/health\",\"max_conns\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    );
    store.put("keyed.op", "config", &config);
}

/// The id of an item of a job.
pub fn item_id(job: &str, item: usize) -> String {
    format!("{job}i{item:02}")
}

pub fn item_body(job: &str, item: usize) -> String {
    format!("the prompt of item {item} of {job}")
}

/// A batch job of so many items in groups of two.
pub fn job(job: &str, step: u64, min_version: u64, items: usize) -> String {
    let item = |n: usize| {
        let (id, body) = (item_id(job, n), base64(item_body(job, n).as_bytes()));
        format!(
            "{{\"id\":\"{id}\",\"path\":\"{JOBS}3/{id}\",\"headers\":{{\"Model\":\"{MODEL}\",\
             \"Token-Usage\":\"540,400\",\"Prompt-Prefix\":\"9c2e41:300,5d07b8:240\"}},\
             \"body\":\"{body}\",\"tokens\":940,\"group\":\"{job}g{}\",\"scorer\":{{\"id\":\"{id}s\",\
             \"hostname\":\"{HOST}\",\"path\":\"{SCORES}5e07\",\"body\":\"{}\"}}}}",
            n / 2,
            base64(b"score")
        )
    };
    let entries: Vec<String> = (0..items).map(item).collect();
    format!(
        "{{\"step\":{step},\"model\":\"{MODEL}\",\"min_version\":{min_version},\
         \"group_count\":{},\"entries\":[{}]}}",
        items.div_ceil(2),
        entries.join(",")
    )
}

/// Sends a call and records it; the status is 0 without an answer.
pub fn call(
    record: &Record,
    node: (&str, SocketAddr),
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Message {
    let mut all = vec![("Host", HOST), ("Content-Type", "application/json")];
    all.extend_from_slice(headers);
    record.line(&format!("{method} {target} to {}", node.0));
    match http::send(node.1, method, target, &all, body, patience) {
        Ok(answer) => {
            record.line(&format!("{method} {target} at {}: {}", node.0, answer.status()));
            answer
        }
        Err(error) => {
            record.line(&format!("{method} {target} at {}: no answer, {error}", node.0));
            Message::default()
        }
    }
}

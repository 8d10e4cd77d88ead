//! A caller of an application. It makes calls that must run at most once,
//! through any entry instance, and retries a key until it is answered.

use std::{path::PathBuf, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

use crate::{
    history::{Event, Reply, Writer, now_ms},
    web,
};

/// Maximum number of sends of one key.
const MAX_SENDS: u32 = 12;
/// Maximum number of calls in flight.
const MAX_CALLS: usize = 32;
/// One in this many refusals as not run is not retried, so that a run in spite
/// of the refusal is noticed.
const FINAL_ONE_IN: u32 = 4;

/// Options of the caller.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name in histories and keys.
    pub name: String,
    /// Addresses of the entry instances; each send goes to a random one.
    pub entries: Vec<String>,
    /// Pool to call.
    pub pool: String,
    /// Calls to make.
    pub calls: u64,
    /// Interval between calls, in milliseconds.
    pub pause_ms: u64,
    /// Timeout of a send, in milliseconds.
    pub timeout_ms: u64,
    /// Percentage of answered calls that are sent once more.
    pub resend_percent: u32,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Directory of history files.
    pub history: PathBuf,
}

/// Makes the calls and returns when each has ended.
///
/// # Errors
///
/// If the history cannot be written.
pub async fn run(options: Options) -> std::io::Result<()> {
    let writer = Writer::open(&options.history, &format!("caller-{}", options.name))?;
    let history = std::sync::Arc::new(writer);
    let mut calls = JoinSet::new();
    for number in 0..options.calls {
        let call = Call {
            options: options.clone(),
            history: std::sync::Arc::clone(&history),
            key: format!("{}-{}-{number}", options.name, now_ms()),
            rng: StdRng::seed_from_u64(options.seed.wrapping_mul(1_000_003) + number),
        };
        calls.spawn(call.make());
        sleep(Duration::from_millis(options.pause_ms)).await;
        while calls.len() >= MAX_CALLS {
            calls.join_next().await;
        }
    }
    while calls.join_next().await.is_some() {}
    Ok(())
}

struct Call {
    options: Options,
    history: std::sync::Arc<Writer>,
    key: String,
    rng: StdRng,
}

impl Call {
    async fn make(mut self) {
        let mut answered = false;
        for send in 0..MAX_SENDS {
            let reply = self.send().await;
            let last = match reply {
                Reply::Answer if answered => true,
                Reply::Answer => {
                    answered = true;
                    !self.rng.random_ratio(self.options.resend_percent.min(100), 100)
                }
                Reply::NotRun => self.rng.random_ratio(1, FINAL_ONE_IN),
                Reply::Unknown | Reply::Nothing | Reply::Cut => false,
            };
            if last {
                return;
            }
            let pause_ms = self.rng.random_range(100..300) * u64::from(send + 1);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn send(&mut self) -> Reply {
        let index = self.rng.random_range(0..self.options.entries.len());
        let entry = self.options.entries[index].clone();
        let key = self.key.clone();
        self.history.record(Event::Sent { key: key.clone(), entry: entry.clone() });
        let (reply, matches) = self.exchange(&entry).await;
        self.history.record(Event::Replied { key, entry, reply, matches });
        reply
    }

    async fn exchange(&self, entry: &str) -> (Reply, bool) {
        let body = json!({ "sealed": self.key }).to_string();
        let uri = format!("http://{entry}/svc/{}/envelopes", self.options.pool);
        let request = Request::post(uri)
            .header("idempotency-key", &self.key)
            .header("hollywell-timeout-ms", self.options.timeout_ms)
            .body(Full::new(Bytes::from(body.clone())));
        let Ok(request) = request else {
            return (Reply::Nothing, true);
        };
        let timeout = Duration::from_millis(self.options.timeout_ms + 1_000);
        let exchange = async {
            let response = match web::client().request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => return (Reply::Nothing, true),
                Err(_) => return (Reply::Cut, true),
            };
            let (head, whole) = response.into_parts();
            match whole.collect().await {
                Ok(bytes) => self.classify(&Response::from_parts(head, bytes.to_bytes()), &body),
                Err(_) => (Reply::Cut, true),
            }
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or((Reply::Unknown, true))
    }

    fn classify(&self, response: &Response<Bytes>, body: &str) -> (Reply, bool) {
        let outcome = response.headers().get("hollywell-outcome");
        match outcome.and_then(|outcome| outcome.to_str().ok()) {
            Some("not-run") => (Reply::NotRun, true),
            Some(_) => (Reply::Unknown, true),
            None => {
                let answer: Value = serde_json::from_slice(response.body()).unwrap_or_default();
                let own = answer["key"] == self.key.as_str() && answer["echo"] == body;
                (Reply::Answer, own)
            }
        }
    }
}

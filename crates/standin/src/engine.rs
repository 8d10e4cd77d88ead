//! A model engine: streamed completions over a limited number of slots, a
//! prefix cache, priorities, weight versions that may change in mid-stream,
//! lagging load reports, late and gappy cache events, and orders with a
//! fencing number.

use std::{
    collections::{BTreeMap, VecDeque},
    convert::Infallible,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Response};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

use crate::{
    history::{Event, Writer},
    web::{self, Answer, Received},
};

/// Prompt prefixes that the cache holds.
const CACHED_PREFIXES: usize = 32;
/// Length of a prefix, in bytes.
const PREFIX_BYTES: usize = 64;
/// Tokens' time that a prompt costs if its prefix is not cached.
const PREFILL_TOKENS: u32 = 8;
/// One in so many samples is a straggler.
const STRAGGLER_ONE_IN: u32 = 40;
/// How many times as long a straggler is.
const STRAGGLER_FACTOR: u32 = 6;
/// One in so many cache events is lost.
const EVENT_LOST_ONE_IN: u32 = 5;

/// How it is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address and port to listen on.
    pub listen: String,
    /// Name in histories.
    pub name: String,
    /// Trainers whose weights it serves.
    pub trainers: Vec<String>,
    /// Requests generated for at once.
    pub slots: u32,
    /// Time for a token, in milliseconds.
    pub token_ms: u64,
    /// How far load reports lag, in milliseconds.
    pub lag_ms: u64,
    /// Time to change weights, in milliseconds.
    pub swap_ms: u64,
    /// Address of the weight store; empty for none.
    pub weights: String,
    /// Seed of all draws.
    pub seed: u64,
    /// True if an order with an old fencing number is refused.
    pub enforce: bool,
    /// Directory of history files.
    pub history: PathBuf,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Switch {
    /// Refuse this many more weight swaps.
    #[serde(default)]
    fail_swaps: u32,
    /// Say that it is leaving.
    #[serde(default)]
    leaving: bool,
    /// Leave the versions out of the stream.
    #[serde(default)]
    unversioned: bool,
    /// Answer completions with something else.
    #[serde(default)]
    garbage: bool,
}

#[derive(Debug)]
struct State {
    running: u32,
    waiting: BTreeMap<(u64, u64), oneshot::Sender<()>>,
    next_ticket: u64,
    generated: u64,
    versions: BTreeMap<String, u64>,
    fence: u64,
    cache: VecDeque<u64>,
    events: Vec<Value>,
    reported: Value,
    switch: Switch,
    rng: StdRng,
}

struct Engine {
    options: Options,
    history: Writer,
    state: Mutex<State>,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: u32,
    #[serde(default)]
    priority: u64,
}

#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    trainer: String,
    version: u64,
}

/// Serves the engine.
///
/// # Errors
///
/// If the address cannot be bound or the history cannot be written.
pub async fn run(options: Options) -> std::io::Result<()> {
    let listen = options.listen.clone();
    let history = Writer::open(&options.history, &options.name)?;
    let versions = options.trainers.iter().map(|trainer| (trainer.clone(), 0)).collect();
    let state = State {
        running: 0,
        waiting: BTreeMap::new(),
        next_ticket: 0,
        generated: 0,
        versions,
        fence: 0,
        cache: VecDeque::new(),
        events: vec![],
        reported: Value::Null,
        switch: Switch::default(),
        rng: StdRng::seed_from_u64(options.seed),
    };
    let engine = Arc::new(Engine { options, history, state: Mutex::new(state) });
    engine.report();
    tokio::spawn(Arc::clone(&engine).keep_reporting());
    web::serve(&listen, move |request| {
        let engine = Arc::clone(&engine);
        async move { engine.answer(&request).await }
    })
    .await
}

/// A slot; it is passed on to the first in the queue when dropped.
struct Held(Arc<Engine>);

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.0.state();
        while let Some((_, next)) = state.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}

impl Engine {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) {
        let mut state = self.state();
        state.reported = json!({
            "slots": self.options.slots,
            "running": state.running,
            "waiting": state.waiting.len(),
            "versions": state.versions,
            "leaving": state.switch.leaving,
        });
    }

    async fn keep_reporting(self: Arc<Engine>) {
        loop {
            sleep(Duration::from_millis(self.options.lag_ms)).await;
            self.report();
        }
    }

    async fn answer(self: &Arc<Engine>, request: &Received) -> Answer {
        match (request.method(), request.path().as_slice()) {
            (&Method::GET, ["load"]) => web::json(200, &self.state().reported),
            (&Method::GET, ["events"]) => self.events(request),
            (&Method::POST, ["orders"]) => self.order(request).await,
            (&Method::POST, ["switch"]) => self.switch(request),
            (&Method::POST, ["v1", "completions"]) => self.complete(request),
            _ => web::json(404, &"no such path"),
        }
    }

    fn switch(&self, request: &Received) -> Answer {
        let Some(switch) = request.json::<Switch>() else {
            return web::json(400, &"not a switch");
        };
        if switch.leaving {
            self.history.record(Event::Leaving { target: self.options.name.clone() });
        }
        self.state().switch = switch;
        web::json(200, &"ok")
    }

    fn events(&self, request: &Received) -> Answer {
        let from = usize::try_from(request.query("from").unwrap_or_default()).unwrap_or(usize::MAX);
        let state = self.state();
        let events: Vec<&Value> = state.events.iter().skip(from).collect();
        web::json(200, &json!({ "next": state.events.len(), "events": events }))
    }

    async fn order(&self, request: &Received) -> Answer {
        let Some(order) = request.json::<Order>() else {
            return web::json(400, &"not an order");
        };
        {
            let mut state = self.state();
            if self.options.enforce && order.fence < state.fence {
                return web::json(409, &"an order with a later fencing number was taken");
            }
            state.fence = order.fence.max(state.fence);
        }
        if !self.fetch(&order).await {
            return web::json(503, &"weights not fetched");
        }
        sleep(Duration::from_millis(self.options.swap_ms)).await;
        let mut state = self.state();
        if state.switch.fail_swaps > 0 {
            state.switch.fail_swaps -= 1;
            return web::json(500, &"swap failed");
        }
        let fenced = self.options.enforce && order.fence < state.fence;
        if fenced || !state.versions.contains_key(&order.trainer) {
            return web::json(409, &"not taken");
        }
        state.versions.insert(order.trainer, order.version);
        web::json(200, &"ok")
    }

    async fn fetch(&self, order: &Order) -> bool {
        if self.options.weights.is_empty() {
            return true;
        }
        let path = format!("/trainers/{}/versions/{}", order.trainer, order.version);
        let timeout = Duration::from_secs(1);
        let fetched = web::send(Method::GET, &self.options.weights, &path, &(), timeout).await;
        fetched.is_some_and(|answer| answer.status().is_success())
    }

    fn complete(self: &Arc<Engine>, request: &Received) -> Answer {
        let Some(completion) = request.json::<Completion>() else {
            return web::json(400, &"not a completion");
        };
        if self.state().switch.garbage {
            return web::json(200, &"no events here");
        }
        if !self.state().versions.contains_key(&completion.model) {
            return web::json(404, &"no such model");
        }
        self.history.record(Event::Given { target: self.options.name.clone() });
        let (frames, stream) = mpsc::channel::<Bytes>(4);
        tokio::spawn(Arc::clone(self).generate(completion, frames));
        let body = StreamBody::new(Frames(stream)).boxed_unsync();
        let mut response = Response::new(body);
        let kind = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", kind);
        Some(response)
    }

    /// Waits for a slot, in order of priority and then of arrival.
    async fn slot(self: &Arc<Engine>, priority: u64) -> Option<Held> {
        let granted = {
            let mut state = self.state();
            if state.running < self.options.slots {
                state.running += 1;
                None
            } else {
                let (grant, granted) = oneshot::channel();
                let ticket = (priority, state.next_ticket);
                state.next_ticket += 1;
                state.waiting.insert(ticket, grant);
                Some(granted)
            }
        };
        if let Some(granted) = granted {
            granted.await.ok()?;
        }
        Some(Held(Arc::clone(self)))
    }

    /// Generates until done, or until nobody reads any longer.
    async fn generate(self: Arc<Engine>, completion: Completion, frames: mpsc::Sender<Bytes>) {
        let slot = tokio::select! {
            slot = self.slot(completion.priority) => slot,
            () = frames.closed() => None,
        };
        let Some(_slot) = slot else {
            return;
        };
        let (id, tokens, prefill) = self.begin(&completion);
        let token = Duration::from_millis(self.options.token_ms);
        sleep(token * prefill).await;
        let mut versions: Vec<u64> = vec![];
        for number in 0..tokens {
            sleep(token).await;
            let (version, unversioned) = {
                let state = self.state();
                let version = state.versions.get(&completion.model).copied();
                (version.unwrap_or_default(), state.switch.unversioned)
            };
            if versions.last() != Some(&version) {
                versions.push(version);
            }
            let last = number + 1 == tokens;
            if last {
                let versions = versions.clone();
                self.history.record(Event::Generated { id: id.clone(), versions });
            }
            let text = if number == 0 { format!("{id} ") } else { String::from("w ") };
            let mut chunk = json!({
                "choices": [{
                    "index": 0,
                    "text": text,
                    "finish_reason": last.then_some("length"),
                }],
            });
            if !unversioned {
                chunk["weight_version"] = json!(version);
            }
            if frames.send(Bytes::from(format!("data: {chunk}\n\n"))).await.is_err() {
                return;
            }
        }
        let _gone = frames.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
    }

    /// Draws a generation's length and looks its prefix up in the cache.
    fn begin(&self, completion: &Completion) -> (String, u32, u32) {
        let mut state = self.state();
        state.generated += 1;
        let id = format!("{}-{}", self.options.name, state.generated);
        let most = completion.max_tokens.max(2);
        let mut tokens = state.rng.random_range(most / 2..=most);
        if state.rng.random_ratio(1, STRAGGLER_ONE_IN) {
            tokens *= STRAGGLER_FACTOR;
        }
        let prefill = if state.touch(&completion.prompt) { 0 } else { PREFILL_TOKENS };
        (id, tokens, prefill)
    }
}

impl State {
    /// Looks a prompt's prefix up and puts it into the cache. True if it was
    /// there.
    fn touch(&mut self, prompt: &str) -> bool {
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let mut hasher = DefaultHasher::new();
        prefix.hash(&mut hasher);
        let hash = hasher.finish();
        let known = self.cache.iter().position(|cached| *cached == hash);
        if let Some(place) = known {
            self.cache.remove(place);
        }
        self.cache.push_back(hash);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        if known.is_none() && !self.rng.random_ratio(1, EVENT_LOST_ONE_IN) {
            self.events.push(json!({ "cached": hash }));
        }
        known.is_some()
    }
}

struct Frames(mpsc::Receiver<Bytes>);

impl futures_core::Stream for Frames {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(context).map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}

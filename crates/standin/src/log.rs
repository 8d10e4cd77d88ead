//! The platform's append-only log: streams with offsets, long polls, limited
//! retention, a cap on appends, and switches for its failures.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::Notify, time::sleep};

use crate::web::{self, Answer, Received};

/// How it is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address and port to listen on.
    pub listen: String,
    /// Records kept in a stream.
    pub retain: usize,
    /// Appends a second at most.
    pub rate: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<Value>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    #[default]
    Up,
    Down,
    Slow,
    LostAnswer,
}

#[derive(Debug, Deserialize)]
struct Switch {
    mode: Mode,
    #[serde(default)]
    delay_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Batch {
    records: Vec<Value>,
}

#[derive(Debug)]
struct State {
    streams: HashMap<String, Stream>,
    mode: Mode,
    delay: Duration,
    window: Instant,
    appended: u64,
}

struct Log {
    options: Options,
    state: Mutex<State>,
    changed: Notify,
}

/// Serves the log.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn run(options: &Options) -> std::io::Result<()> {
    let state = State {
        streams: HashMap::new(),
        mode: Mode::Up,
        delay: Duration::ZERO,
        window: Instant::now(),
        appended: 0,
    };
    let log = Arc::new(Log {
        options: options.clone(),
        state: Mutex::new(state),
        changed: Notify::new(),
    });
    web::serve(&options.listen, move |request| {
        let log = Arc::clone(&log);
        async move { log.answer(&request).await }
    })
    .await
}

impl Log {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: &Received) -> Answer {
        let (mode, delay) = {
            let state = self.state();
            (state.mode.clone(), state.delay)
        };
        let path = request.path();
        if path == ["switch"] {
            return self.switch(request);
        }
        match mode {
            Mode::Down => return None,
            Mode::Slow => sleep(delay).await,
            Mode::Up | Mode::LostAnswer => {}
        }
        match (request.method(), path.as_slice()) {
            (&Method::POST, ["streams", name, "records"]) => {
                let answer = self.append(name, request);
                if mode == Mode::LostAnswer { None } else { answer }
            }
            (&Method::GET, ["streams", name, "records"]) => self.read(name, request).await,
            _ => web::json(404, &"no such path"),
        }
    }

    fn switch(&self, request: &Received) -> Answer {
        let Some(switch) = request.json::<Switch>() else {
            return web::json(400, &"not a switch");
        };
        let mut state = self.state();
        state.mode = switch.mode;
        state.delay = Duration::from_millis(switch.delay_ms);
        drop(state);
        self.changed.notify_waiters();
        web::json(200, &"ok")
    }

    fn append(&self, name: &str, request: &Received) -> Answer {
        let Some(batch) = request.json::<Batch>() else {
            return web::json(400, &"not a batch of records");
        };
        let mut state = self.state();
        if state.window.elapsed() >= Duration::from_secs(1) {
            state.window = Instant::now();
            state.appended = 0;
        }
        if state.appended >= self.options.rate {
            return web::json(429, &"too many appends");
        }
        state.appended += 1;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.extend(batch.records);
        let excess = stream.records.len().saturating_sub(self.options.retain);
        stream.records.drain(..excess);
        stream.first += excess as u64;
        drop(state);
        self.changed.notify_waiters();
        web::json(200, &json!({ "offset": offset }))
    }

    async fn read(&self, name: &str, request: &Received) -> Answer {
        let from = request.query("from").unwrap_or_default();
        let wait = Duration::from_millis(request.query("wait_ms").unwrap_or_default());
        let most = usize::try_from(request.query("max").unwrap_or(1_000)).unwrap_or(1_000);
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let (page, has_records) = self.page(name, from, most);
            if self.state().mode == Mode::Down {
                return None;
            }
            if has_records || Instant::now() >= deadline {
                return web::json(200, &page);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let _changed = tokio::time::timeout(left, changed).await;
        }
    }

    fn page(&self, name: &str, from: u64, most: usize) -> (Value, bool) {
        let mut state = self.state();
        let stream = state.streams.entry(name.to_owned()).or_default();
        let start = from.max(stream.first);
        let skip = usize::try_from(start - stream.first).unwrap_or(usize::MAX);
        let records: Vec<Value> = stream
            .records
            .iter()
            .skip(skip)
            .take(most)
            .enumerate()
            .map(|(index, data)| json!({ "offset": start + index as u64, "data": data }))
            .collect();
        let has_records = !records.is_empty();
        let (first, next) = (stream.first, stream.next());
        (json!({ "first": first, "next": next, "records": records }), has_records)
    }
}

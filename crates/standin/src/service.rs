//! A plain service that counts its runs by idempotency key.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{HeaderValue, Method};
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    history::{Event, Writer},
    web::{self, Answer, Received},
};

/// How it is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address and port to listen on.
    pub listen: String,
    /// Name in histories.
    pub name: String,
    /// Time for a run, in milliseconds.
    pub delay_ms: u64,
    /// Directory of history files.
    pub history: PathBuf,
}

/// What it does wrong on purpose; posted to `/_switch`.
#[derive(Clone, Debug, Default, Deserialize)]
struct Switch {
    /// Refuse every so many calls as not run; 0 for none.
    #[serde(default)]
    not_run_every: u64,
    /// Cut the connection after every so many runs; 0 for none.
    #[serde(default)]
    die_after_run_every: u64,
    /// Say that it is leaving.
    #[serde(default)]
    leaving: bool,
    /// Time for a run, in milliseconds, if it changes.
    delay_ms: Option<u64>,
}

struct Service {
    options: Options,
    history: Writer,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u64>,
    calls: u64,
    switch: Switch,
}

/// Serves the service.
///
/// # Errors
///
/// If the address cannot be bound or the history cannot be written.
pub async fn run(options: Options) -> std::io::Result<()> {
    let listen = options.listen.clone();
    let history = Writer::open(&options.history, &options.name)?;
    let service = Arc::new(Service { options, history, state: Mutex::default() });
    web::serve(&listen, move |request| {
        let service = Arc::clone(&service);
        async move { service.answer(&request).await }
    })
    .await
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: &Received) -> Answer {
        match (request.method(), request.path().as_slice()) {
            (&Method::GET, ["_runs"]) => web::json(200, &self.state().runs),
            (&Method::POST, ["_switch"]) => self.switch(request),
            _ => self.call(request).await,
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

    async fn call(&self, request: &Received) -> Answer {
        let key = request.header("idempotency-key").unwrap_or_default().to_owned();
        self.history.record(Event::Given { target: self.options.name.clone() });
        let (number, switch) = {
            let mut state = self.state();
            state.calls += 1;
            (state.calls, state.switch.clone())
        };
        let every = |count: u64| count > 0 && number.is_multiple_of(count);
        if every(switch.not_run_every) {
            let mut refused = web::json(503, &"not run")?;
            refused.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
            return Some(refused);
        }
        self.run_call(&key);
        let delay_ms = switch.delay_ms.unwrap_or(self.options.delay_ms);
        sleep(Duration::from_millis(delay_ms)).await;
        if every(switch.die_after_run_every) {
            return None;
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let answer = json!({ "key": key, "target": self.options.name, "echo": body });
        let mut answer = web::json(200, &answer)?;
        if switch.leaving {
            answer.headers_mut().insert("x-leaving", HeaderValue::from_static("1"));
        }
        Some(answer)
    }

    fn run_call(&self, key: &str) {
        *self.state().runs.entry(key.to_owned()).or_default() += 1;
        let target = self.options.name.clone();
        self.history.record(Event::Ran { target, key: key.to_owned() });
    }
}

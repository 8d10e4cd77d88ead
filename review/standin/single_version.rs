//! VERSION: a result on a `single_version` route names several versions.

use std::{
    net::{SocketAddr, TcpStream},
    io::Write as _,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{HOST, announce, configure, route, service},
    http::{self, Message},
    json::{Value, base64},
    process::{DOMAINS, Instance},
    record::Record,
    store::Store,
};

const MODEL: &str = "daka510000";
/// Events of a text, and the time between two of them.
const EVENTS: u64 = 40;
const INTERVAL: Duration = Duration::from_millis(50);
/// A change of version takes 0.9 s.
const LOAD: Duration = Duration::from_millis(900);
const SLOTS: usize = 12;

/// A model engine: streams, reports and orders.
struct Engine {
    id: String,
    record: Record,
    state: Mutex<State>,
}

struct State {
    version: u64,
    busy_until: Option<Instant>,
    ordered: u64,
    /// The newest version that the trainer has named.
    newest: Arc<Mutex<u64>>,
    running: usize,
    fence: u64,
    mode: String,
}

impl Engine {
    fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    fn models(&self) -> String {
        let version = self.version();
        format!("[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}]")
    }

    fn serve(self: &Arc<Engine>, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        http::answer_all(stream, |request| {
            if request.header("Target-Instance").is_some_and(|target| target != self.id) {
                return Some(Message::answer(421, "").with("Not-Run", 1).bytes());
            }
            match (request.method(), request.path()) {
                ("GET", "/health") => {
                    Some(Message::answer(200, "").with("Instance-Id", &self.id).bytes())
                }
                ("GET", "/-/report") => Some(self.report().bytes()),
                ("POST", "/-/order") => Some(self.order(request).bytes()),
                _ => self.generate(request, &mut out),
            }
        });
    }

    fn report(&self) -> Message {
        let models = self.models();
        let state = self.state.lock().unwrap();
        let body = format!(
            "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"seq\":{},\"num_waiting\":0,\
             \"num_running\":{},\"kv_used\":0,\"kv_total\":83311,\"handles\":0}}",
            state.busy_until.is_some(),
            state.ordered,
            state.running,
        );
        Message::answer(200, body).with("Content-Type", "application/json")
    }

    fn order(self: &Arc<Engine>, request: &Message) -> Message {
        let order = Value::parse(&request.text()).unwrap_or(Value::Null);
        self.record.line(&format!("{} gets the order {order}", self.id));
        let mut state = self.state.lock().unwrap();
        let (Some(fence), Some(version)) =
            (order.get("fence").number(), order.get("version").number())
        else {
            return Message::answer(400, "");
        };
        if order.get("op").text() != "version" || version > *state.newest.lock().unwrap() {
            return Message::answer(400, "");
        }
        if fence < state.fence {
            return Message::answer(412, "");
        }
        if version <= state.version {
            return Message::answer(200, "");
        }
        let expected = order.get("expected").number();
        if state.busy_until.is_some() || expected.is_some_and(|seq| seq != state.ordered) {
            return Message::answer(409, "");
        }
        state.fence = fence;
        state.ordered += 1;
        state.busy_until = Some(Instant::now() + LOAD);
        state.mode = order.get("mode").text().to_owned();
        let engine = self.clone();
        thread::spawn(move || engine.load(version));
        Message::answer(202, "")
    }

    /// Carries out an order as its mode says.
    fn load(&self, version: u64) {
        loop {
            let mut state = self.state.lock().unwrap();
            let waits = state.mode == "wait" && state.running > 0;
            let is_due = state.busy_until.is_some_and(|at| Instant::now() >= at);
            if is_due && !waits {
                state.version = version;
                state.busy_until = None;
                break;
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(&format!("{} has version {version}", self.id));
    }

    /// Streams the text of an item, or answers that it did not run.
    fn generate(&self, request: &Message, out: &mut TcpStream) -> Option<Vec<u8>> {
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let from =
            request.header("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let (mut known, expected) = {
            let mut state = self.state.lock().unwrap();
            let expected = request.header("Expected-Version").and_then(|v| v.parse::<u64>().ok());
            if state.busy_until.is_some() || state.running >= SLOTS {
                let answer = Message::answer(503, "").with("Request-Id", &id);
                return Some(answer.with("Not-Run", 1).bytes());
            }
            if expected.is_some_and(|version| version != state.version) {
                let answer = Message::answer(421, "").with("Request-Id", &id);
                return Some(answer.with("Not-Run", 1).bytes());
            }
            state.running += 1;
            (state.version, expected)
        };
        self.record.line(&format!(
            "{} runs {id} after event {from} with version {known}, expected {expected:?}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Server-Stamp: stamp.{id}\r\nWeight-Versions: {known}\r\nInstance-Load: 1,0,{SLOTS}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_sent = out.write_all(head.as_bytes()).is_ok();
        for event in from + 1..=EVENTS {
            thread::sleep(INTERVAL);
            let (version, is_cut) = {
                let state = self.state.lock().unwrap();
                (state.version, state.mode == "truncate" && state.busy_until.is_some())
            };
            if is_cut {
                is_sent = false;
            }
            let line = match version != known {
                true => format!("weight-versions: {version}\n"),
                false => String::new(),
            };
            known = version;
            let event = format!("{line}id: {event}\ndata: {id}.{event}.v{version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && out.write_all(chunk.as_bytes()).is_ok();
            if !is_sent {
                break;
            }
        }
        self.state.lock().unwrap().running -= 1;
        if !is_sent {
            return None;
        }
        self.record.line(&format!("{} is done with {id}", self.id));
        Some(b"0\r\n\r\n".to_vec())
    }
}

/// The service that scores texts.
fn scorer(store: &Store) {
    let address = http::listen(move |stream| {
        http::answer_all(stream, |request| {
            if request.path() == "/health" {
                return Some(Message::answer(200, "").with("Instance-Id", "i-score").bytes());
            }
            let id = request.header("Request-Id").unwrap_or_default();
            thread::sleep(Duration::from_millis(30));
            let answer = Message::answer(200, "score")
                .with("Request-Id", id)
                .with("Server-Stamp", format!("stamp.{id}"))
                .with("Instance-Load", "1,0,6");
            Some(answer.bytes())
        });
    });
    announce(store, "i-score", "board-app", DOMAINS[0], 6, address, || None);
}

fn name_version(store: &Store, version: u64) {
    let record = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
    store.put("keyed.op", &format!("version/{MODEL}"), &record);
}

/// The body of a batch job: groups of four items.
fn job(items: usize) -> String {
    let entry = |n: usize| {
        format!(
            "{{\"id\":\"item-{n}\",\"path\":\"/rollout/x\",\"headers\":{{\"Model\":\"{MODEL}\",\
             \"Token-Usage\":\"1016,2080\",\"Prompt-Prefix\":\"9c{group:x}:1000,5d{n:x}:16\",\
             \"Length-Hint\":\"2000\"}},\"body\":\"{}\",\"tokens\":3096,\"group\":\"g{group}\",\
             \"scorer\":{{\"id\":\"score-{n}\",\"hostname\":\"{HOST}\",\"path\":\"/sync/s\",\
             \"body\":\"{}\"}}}}",
            base64(format!("item {n}").as_bytes()),
            base64(b"score"),
            group = n / 4,
        )
    };
    let entries: Vec<String> = (0..items).map(entry).collect();
    format!(
        "{{\"step\":0,\"model\":\"{MODEL}\",\"min_version\":1,\"group_count\":{},\"entries\":[{}]}}",
        items / 4,
        entries.join(","),
    )
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    const ITEMS: usize = 16;
    let store = Store::start();
    let rollout = format!(
        "{{\"name\":\"runoff-rollout\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/rollout/\",\
         \"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":0,\
         \"backend\":\"wadi-gen\",\"max_attempts\":3,\"deadline_ms\":7500,\"retention_s\":40,\
         \"sticky\":true,\"resumable\":true,\"single_version\":true}}"
    );
    let llm = format!(
        "{{\"name\":\"wadi-gen\",\"health_path\":\"/health\",\"max_conns\":170,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\
         \"kv_capacity_tokens\":83311,\"kv_token_bytes\":327680,\"stride\":52,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
    );
    let routes = [rollout, route("record-sync", "/sync/", "safe", 1_500, "board-app")];
    configure(&store, 1, &routes, &[llm, service("board-app")]);
    let newest = Arc::new(Mutex::new(1));
    for n in 0..4 {
        let engine = Arc::new(Engine {
            id: format!("i-{n}"),
            record: record.clone(),
            state: Mutex::new(State {
                version: 1,
                busy_until: None,
                ordered: 0,
                newest: newest.clone(),
                running: 0,
                fence: 0,
                mode: String::new(),
            }),
        });
        let (served, listed) = (engine.clone(), engine.clone());
        let address = http::listen(move |stream| served.serve(stream));
        let models = move || Some(listed.models());
        announce(&store, &engine.id, "wadi-gen", DOMAINS[n % 2], SLOTS, address, models);
    }
    scorer(&store);
    let instances: Vec<Instance> =
        (0..2).map(|n| Instance::start(&store, &format!("front-{n}"), DOMAINS[n])).collect();
    record.line("both instances are ready");
    // The leases on the engines' domains are taken by now, whatever the order.
    thread::sleep(Duration::from_secs(3));
    submit(instances[0].front, &job(ITEMS), record);
    if trouble {
        thread::sleep(Duration::from_millis(300));
        record.line("the trainer names version 2");
        *newest.lock().unwrap() = 2;
        name_version(&store, 2);
    }
    let results = read_all(instances[1].front, ITEMS, record);
    judge(record, &results, ITEMS)
}

fn submit(front: SocketAddr, body: &str, record: &Record) {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Request-Id", String::from("job-1")),
            ("Content-Type", String::from("application/json")),
        ];
        let answer = http::exchange(front, "POST /rollout/1", &headers, body.as_bytes());
        let status = answer.map(|answer| answer.status()).unwrap_or(0);
        record.line(&format!("the batch job is answered {status}"));
        if status == 202 {
            return;
        }
        assert!(Instant::now() < until, "the batch job was not accepted");
        thread::sleep(Duration::from_millis(200));
    }
}

/// Reads results until all are listed, for at most 20 s.
fn read_all(front: SocketAddr, items: usize, record: &Record) -> Vec<Value> {
    let until = Instant::now() + Duration::from_secs(20);
    let mut results: Vec<Value> = Vec::new();
    while results.len() < items && Instant::now() < until {
        let first = format!("GET /-/lots/job-1?after={}", results.len());
        let headers = [("Host", HOST.to_owned()), ("Wait-Ms", String::from("1000"))];
        if let Ok(answer) = http::exchange(front, &first, &headers, b"")
            && answer.status() == 200
        {
            let page = Value::parse(&answer.text()).unwrap_or(Value::Null);
            for result in page.get("results").list() {
                record.line(&format!(
                    "result {}: {} {}, versions {}",
                    results.len(),
                    result.get("id"),
                    result.get("state"),
                    result.get("versions"),
                ));
                results.push(result.clone());
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    results
}

fn judge(record: &Record, results: &[Value], items: usize) -> Vec<String> {
    record.line(&format!("{} of {items} items are listed", results.len()));
    let succeeded: Vec<&Value> =
        results.iter().filter(|result| result.get("state").text() == "succeeded").collect();
    assert!(!succeeded.is_empty(), "no item succeeded");
    let mixed = succeeded.iter().filter(|result| result.get("versions").list().len() != 1);
    mixed
        .map(|result| {
            let (id, versions) = (result.get("id"), result.get("versions"));
            format!("VERSION: on a single_version route, the result of {id} has versions {versions}")
        })
        .collect()
}

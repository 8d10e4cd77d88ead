//! MIXED: an engine sends an extra response late, at the point where the next
//! response is expected. It bears the id of an item that can never be done. The
//! item that waits there is listed as dead, though no engine has failed it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    io::Write as _,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
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
const EVENTS: u64 = 12;
const INTERVAL: Duration = Duration::from_millis(20);
const SLOTS: usize = 12;
/// Of how many answers a faulty engine spoils one: `garble`, "extra late",
/// share 0.6, x 0.03, for_s 5.0 on the site's sheet.
const EVERY: usize = 34;
const FAULTY: usize = 2;
const TROUBLE: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Seen {
    /// Statuses that engines answered an item with.
    statuses: BTreeMap<String, Vec<u16>>,
    extras: usize,
}

struct Engine {
    id: String,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    running: AtomicUsize,
    answered: AtomicUsize,
    is_faulty: AtomicBool,
    /// Its last answer to an item that can never be done.
    refusal: Mutex<Option<(String, Vec<u8>)>>,
}

impl Engine {
    fn serve(self: &Arc<Engine>, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut extra: Option<(String, Vec<u8>)> = None;
        http::answer_all(stream, |request| {
            if request.header("Target-Instance").is_some_and(|target| target != self.id) {
                return Some(Message::answer(421, "").with("Not-Run", 1).bytes());
            }
            match (request.method(), request.path()) {
                ("GET", "/health") => {
                    Some(Message::answer(200, "").with("Instance-Id", &self.id).bytes())
                }
                ("GET", "/-/report") => {
                    let body = format!(
                        "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\
                         \"adapters\":[]}}],\"busy\":false,\"seq\":0,\"num_waiting\":0,\
                         \"num_running\":0,\"kv_used\":0,\"kv_total\":83311,\"handles\":0}}"
                    );
                    Some(Message::answer(200, body).bytes())
                }
                _ => self.run(request, &mut out, &mut extra),
            }
        });
    }

    fn run(
        &self,
        request: &Message,
        out: &mut TcpStream,
        extra: &mut Option<(String, Vec<u8>)>,
    ) -> Option<Vec<u8>> {
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let answer = Message::answer(503, "").with("Request-Id", &id).with("Not-Run", 1);
            return Some(answer.bytes());
        }
        let bytes = self.generate(request, &id, out, extra);
        self.running.fetch_sub(1, Ordering::SeqCst);
        bytes
    }

    fn generate(
        &self,
        request: &Message,
        id: &str,
        out: &mut TcpStream,
        extra: &mut Option<(String, Vec<u8>)>,
    ) -> Option<Vec<u8>> {
        let from: u64 =
            request.header("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let is_impossible = request.text().starts_with("impossible");
        let status = if is_impossible { 422 } else { 200 };
        self.record.line(&format!("{} runs {id} after event {from}: {status}", self.id));
        self.seen.lock().unwrap().statuses.entry(id.to_owned()).or_default().push(status);
        if is_impossible {
            thread::sleep(INTERVAL);
            let answer = Message::answer(422, "never")
                .with("Request-Id", id)
                .with("Server-Stamp", format!("stamp.{id}"))
                .with("Weight-Versions", 1);
            let bytes = answer.bytes();
            *self.refusal.lock().unwrap() = Some((id.to_owned(), bytes.clone()));
            return Some(bytes);
        }
        let mut head = Vec::new();
        if let Some((other, late)) = extra.take() {
            self.record.line(&format!(
                "{} sends its answer to {other} a second time, before its answer to {id}",
                self.id
            ));
            self.seen.lock().unwrap().extras += 1;
            head.extend_from_slice(&late);
        }
        head.extend_from_slice(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
                 Server-Stamp: stamp.{id}\r\nWeight-Versions: 1\r\nInstance-Load: 1,0,{SLOTS}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        );
        out.write_all(&head).ok()?;
        for event in from + 1..=EVENTS {
            thread::sleep(INTERVAL);
            let event = format!("id: {event}\ndata: {id}.{event}\n\n");
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
        }
        let number = self.answered.fetch_add(1, Ordering::SeqCst) + 1;
        if self.is_faulty.load(Ordering::SeqCst) && number % EVERY == 0 {
            *extra = self.refusal.lock().unwrap().clone();
        }
        Some(b"0\r\n\r\n".to_vec())
    }
}

fn scorer(store: &Store) {
    let address = http::listen(move |stream| {
        http::answer_all(stream, |request| {
            if request.path() == "/health" {
                return Some(Message::answer(200, "").with("Instance-Id", "i-score").bytes());
            }
            let id = request.header("Request-Id").unwrap_or_default();
            thread::sleep(Duration::from_millis(10));
            let answer = Message::answer(200, "score")
                .with("Request-Id", id)
                .with("Server-Stamp", format!("stamp.{id}"))
                .with("Instance-Load", "1,0,6");
            Some(answer.bytes())
        });
    });
    announce(store, "i-score", "board-app", DOMAINS[0], 6, address, || None);
}

/// A batch job in groups of four; one item in sixteen can never be done.
fn job(name: &str, items: usize) -> String {
    let entry = |n: usize| {
        let body = if n % 16 == 0 { format!("impossible {n}") } else { format!("item {n}") };
        format!(
            "{{\"id\":\"{name}-{n}\",\"path\":\"/rollout/x\",\"headers\":{{\"Model\":\"{MODEL}\",\
             \"Token-Usage\":\"1016,624\",\"Prompt-Prefix\":\"9c{group:x}:1000,5d{n:x}:16\",\
             \"Length-Hint\":\"600\"}},\"body\":\"{}\",\"tokens\":1640,\"group\":\"g{group}\",\
             \"scorer\":{{\"id\":\"score-{name}-{n}\",\"hostname\":\"{HOST}\",\
             \"path\":\"/sync/s\",\"body\":\"{}\"}}}}",
            base64(body.as_bytes()),
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
    const ITEMS: usize = 224;
    const JOBS: usize = 4;
    let store = Store::start();
    let rollout = format!(
        "{{\"name\":\"runoff-rollout\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/rollout/\",\
         \"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":0,\
         \"backend\":\"wadi-gen\",\"max_attempts\":3,\"deadline_ms\":7500,\"retention_s\":40,\
         \"sticky\":true,\"resumable\":true}}"
    );
    let llm = format!(
        "{{\"name\":\"wadi-gen\",\"health_path\":\"/health\",\"max_conns\":170,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\
         \"kv_capacity_tokens\":83311,\"kv_token_bytes\":327680,\"stride\":52,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
    );
    let routes = [rollout, route("record-sync", "/sync/", "safe", 1_500, "board-app")];
    configure(&store, 1, &routes, &[llm, service("board-app")]);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let engines: Vec<Arc<Engine>> = (0..4)
        .map(|n| {
            let engine = Arc::new(Engine {
                id: format!("i-{n}"),
                record: record.clone(),
                seen: seen.clone(),
                running: AtomicUsize::new(0),
                answered: AtomicUsize::new(0),
                is_faulty: AtomicBool::new(false),
                refusal: Mutex::new(None),
            });
            let served = engine.clone();
            let address = http::listen(move |stream| served.serve(stream));
            let models = format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]");
            let models = move || Some(models.clone());
            announce(&store, &engine.id, "wadi-gen", DOMAINS[n], SLOTS, address, models);
            engine
        })
        .collect();
    scorer(&store);
    let instances: Vec<Instance> =
        (0..2).map(|n| Instance::start(&store, &format!("front-{n}"), DOMAINS[n])).collect();
    record.line("both instances are ready");
    if trouble {
        record.line("two of four engines send extra responses for 5 s from now on");
        for engine in engines.iter().take(FAULTY) {
            engine.is_faulty.store(true, Ordering::SeqCst);
        }
    }
    let stop = engines.clone();
    thread::spawn(move || {
        thread::sleep(TROUBLE);
        stop.iter().for_each(|engine| engine.is_faulty.store(false, Ordering::SeqCst));
    });
    let jobs: Vec<String> = (0..JOBS).map(|n| format!("job{n}")).collect();
    let mut results = Vec::new();
    for name in &jobs {
        submit(instances[0].front, name, &job(name, ITEMS), record);
        results.extend(read_all(instances[1].front, name, ITEMS, record));
    }
    judge(record, &results, &seen.lock().unwrap(), trouble)
}

fn submit(front: SocketAddr, name: &str, body: &str, record: &Record) {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Request-Id", name.to_owned()),
            ("Content-Type", String::from("application/json")),
        ];
        let answer = http::exchange(front, "POST /rollout/1", &headers, body.as_bytes());
        let status = answer.map(|answer| answer.status()).unwrap_or(0);
        record.line(&format!("the batch job {name} is answered {status}"));
        if status == 202 {
            return;
        }
        assert!(Instant::now() < until, "the batch job was not accepted");
        thread::sleep(Duration::from_millis(200));
    }
}

/// Reads results until all are listed, for at most 15 s.
fn read_all(front: SocketAddr, name: &str, items: usize, record: &Record) -> Vec<Value> {
    let until = Instant::now() + Duration::from_secs(15);
    let mut results: Vec<Value> = Vec::new();
    while results.len() < items && Instant::now() < until {
        let first = format!("GET /-/lots/{name}?after={}", results.len());
        let headers = [("Host", HOST.to_owned()), ("Wait-Ms", String::from("1000"))];
        if let Ok(answer) = http::exchange(front, &first, &headers, b"")
            && answer.status() == 200
        {
            let page = Value::parse(&answer.text()).unwrap_or(Value::Null);
            for result in page.get("results").list() {
                let (id, state) = (result.get("id"), result.get("state"));
                record.line(&format!("{name} lists {id} as {state}"));
                results.push(result.clone());
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    results
}

fn judge(record: &Record, results: &[Value], seen: &Seen, trouble: bool) -> Vec<String> {
    record.line(&format!("{} results, {} extra responses", results.len(), seen.extras));
    assert!(seen.extras > 0 || !trouble, "no extra response was sent");
    let mut breaks = Vec::new();
    for result in results.iter().filter(|result| result.get("state").text() == "dead") {
        let id = result.get("id").text();
        let statuses = seen.statuses.get(id).cloned().unwrap_or_default();
        if !statuses.contains(&422) {
            breaks.push(format!(
                "MIXED: {id} is listed as dead; engines ran it and answered {statuses:?}"
            ));
        }
    }
    breaks
}

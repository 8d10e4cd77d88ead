//! TWICE: an engine sends an extra response late, at the point where the next
//! response is expected. It bears the id of a request that the engine had
//! refused. The request that waits there is not idempotent, and has run.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{HOST, announce, configure, route, service},
    http::{self, Client, Message},
    process::{DOMAINS, Instance},
    record::Record,
    store::Store,
};

/// Slots of an engine, and how many more requests it queues.
const SLOTS: usize = 6;
const QUEUE: usize = 2;
/// How long an engine works on a request.
const WORK: Duration = Duration::from_millis(25);
/// How long the disruption lasts, and of how many answers an engine spoils one:
/// `garble`, "extra late", share 0.6, x 0.03, for_s 5.0 on the site's sheet.
const TROUBLE_S: f64 = 5.0;
const EVERY: usize = 34;
/// Two of four engines are faulty.
const FAULTY: usize = 2;

#[derive(Default)]
struct Seen {
    /// Engines that began to work on a request, by its id.
    runs: BTreeMap<String, Vec<String>>,
    /// Status that the client got, by the request's id.
    answers: BTreeMap<String, Option<u16>>,
    extras: usize,
}

struct Engine {
    id: String,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    busy: AtomicUsize,
    answered: AtomicUsize,
    /// Sends extra responses while set.
    is_faulty: AtomicBool,
    /// The last answer that refused a request, with that request's id.
    refusal: Mutex<Option<(String, Vec<u8>)>>,
}

impl Engine {
    fn serve(&self, stream: TcpStream) {
        // The extra response that is to arrive with the next one.
        let mut extra: Option<(String, Vec<u8>)> = None;
        http::answer_all(stream, |request| {
            let id = request.header("Request-Id").unwrap_or_default().to_owned();
            if request.header("Target-Instance").is_some_and(|target| target != self.id) {
                let answer = Message::answer(421, "").with("Instance-Id", &self.id);
                return Some(answer.with("Not-Run", 1).bytes());
            }
            if request.path() == "/health" {
                return Some(Message::answer(200, "").with("Instance-Id", &self.id).bytes());
            }
            if self.busy.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
                self.busy.fetch_sub(1, Ordering::SeqCst);
                self.record.line(&format!("{} refuses {id}, as it is full", self.id));
                let answer = Message::answer(503, "").with("Request-Id", &id).with("Not-Run", 1);
                let bytes = answer.bytes();
                *self.refusal.lock().unwrap() = Some((id, bytes.clone()));
                return Some(bytes);
            }
            self.record.line(&format!("{} runs {id}", self.id));
            self.seen.lock().unwrap().runs.entry(id.clone()).or_default().push(self.id.clone());
            thread::sleep(WORK);
            let load = self.busy.fetch_sub(1, Ordering::SeqCst);
            let answer = Message::answer(200, format!("done {id}"))
                .with("Request-Id", &id)
                .with("Server-Stamp", format!("stamp.{id}"))
                .with("Instance-Load", format!("{},0,{SLOTS}", load.min(SLOTS)));
            let mut bytes = Vec::new();
            if let Some((other, late)) = extra.take() {
                self.record.line(&format!(
                    "{} sends its answer to {other} a second time, before its answer to {id}",
                    self.id
                ));
                self.seen.lock().unwrap().extras += 1;
                bytes.extend_from_slice(&late);
            }
            bytes.extend_from_slice(&answer.bytes());
            let number = self.answered.fetch_add(1, Ordering::SeqCst) + 1;
            if self.is_faulty.load(Ordering::SeqCst) && number % EVERY == 0 {
                extra = self.refusal.lock().unwrap().clone();
            }
            Some(bytes)
        });
    }
}

/// Sends requests of a route on a kept connection, one after the other.
fn client(
    front: std::net::SocketAddr,
    path: &str,
    name: &str,
    until: Instant,
    pause: Duration,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    let mut connection = None;
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{name}-{number}");
        let headers = [
            ("Host", HOST.to_owned()),
            ("Request-Id", id.clone()),
            ("Deadline-Ms", String::from("1500")),
        ];
        let open = connection.take().or_else(|| Client::connect(front).ok());
        let Some(mut open) = open else {
            continue;
        };
        let answer = open.exchange(&format!("POST {path}{id}"), &headers, id.as_bytes());
        let status = answer.as_ref().ok().map(Message::status);
        record.line(&format!("client of {id} gets {status:?}"));
        seen.lock().unwrap().answers.insert(id, status);
        let closes = answer.as_ref().is_ok_and(|answer| {
            answer.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        if answer.is_ok() && !closes {
            connection = Some(open);
        }
        thread::sleep(pause);
    }
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let store = Store::start();
    let routes = [
        route("survey-read", "/read/", "safe", 1_500, "board-app"),
        route("survey-update", "/update/", "unsafe", 1_500, "board-app"),
    ];
    configure(&store, 1, &routes, &[service("board-app")]);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let engines: Vec<Arc<Engine>> = (0..4)
        .map(|n| {
            let engine = Arc::new(Engine {
                id: format!("i-{n}"),
                record: record.clone(),
                seen: seen.clone(),
                busy: AtomicUsize::new(0),
                answered: AtomicUsize::new(0),
                is_faulty: AtomicBool::new(false),
                refusal: Mutex::new(None),
            });
            let served = engine.clone();
            let address = http::listen(move |stream| served.serve(stream));
            announce(&store, &engine.id, "board-app", DOMAINS[n], SLOTS, address, || None);
            engine
        })
        .collect();
    let instances: Vec<Instance> = (0..2)
        .map(|n| Instance::start(&store, &format!("front-{n}"), DOMAINS[n]))
        .collect();
    record.line("both instances are ready");
    let play = |name: &str, path: &'static str, each: usize, seconds: f64, pause_ms: u64| {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        let mut threads = Vec::new();
        for (n, instance) in instances.iter().enumerate() {
            for k in 0..each {
                let (front, name) = (instance.front, format!("{name}-{n}-{k}"));
                let (seen, record) = (seen.clone(), record.clone());
                threads.push(thread::spawn(move || {
                    let pause = Duration::from_millis(pause_ms);
                    client(front, path, &name, until, pause, &seen, &record);
                }));
            }
        }
        for thread in threads {
            thread.join().expect("a client");
        }
    };
    // A burst of lookups, of which the engines refuse some.
    for burst in 0..5 {
        play(&format!("read-{burst}"), "/read/", 30, 0.5, 0);
        if engines.iter().take(FAULTY).all(|engine| engine.refusal.lock().unwrap().is_some()) {
            break;
        }
    }
    let refused = |engine: &Arc<Engine>| engine.refusal.lock().unwrap().is_some();
    assert!(engines.iter().take(FAULTY).all(refused), "no request was refused");
    thread::sleep(Duration::from_millis(300));
    if trouble {
        record.line("two of four engines send extra responses from now on");
        for engine in engines.iter().take(FAULTY) {
            engine.is_faulty.store(true, Ordering::SeqCst);
        }
    }
    play("update", "/update/", 4, TROUBLE_S, 10);
    for engine in &engines {
        engine.is_faulty.store(false, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_millis(500));
    judge(record, &seen.lock().unwrap(), trouble)
}

fn judge(record: &Record, seen: &Seen, trouble: bool) -> Vec<String> {
    let updates: BTreeSet<&String> =
        seen.answers.keys().filter(|id| id.starts_with("update-")).collect();
    record.line(&format!("{} updates sent, {} extra responses", updates.len(), seen.extras));
    assert!(updates.len() >= 100, "only {} updates were sent", updates.len());
    assert!(seen.extras > 0 || !trouble, "no extra response was sent");
    let mut breaks = Vec::new();
    for id in updates {
        let runs = seen.runs.get(id).cloned().unwrap_or_default();
        let answer = seen.answers.get(id).copied().flatten();
        if runs.len() > 1 {
            breaks.push(format!("TWICE: {id} is not idempotent and was run at {}", runs.join(", ")));
        }
        if matches!(answer, Some(408 | 421 | 429 | 503)) && !runs.is_empty() {
            breaks.push(format!("REFUSED: {id} was answered {answer:?} and was run"));
        }
    }
    breaks
}

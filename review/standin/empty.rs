//! LOST: a batch job that was read can't be read again after all instances were
//! stopped and started in turn. The text of one of its items is empty.

use std::{
    io::Write as _,
    net::SocketAddr,
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
const ITEMS: usize = 16;
/// The item whose text is empty.
const EMPTY: &str = "item-5";
/// How long a batch job is read, again after each failure: `finish_s`.
const READ_S: u64 = 10;

fn engine(store: &Store, n: usize, record: &Record) {
    let (id, record) = (format!("i-{n}"), record.clone());
    let own_id = id.clone();
    let address = http::listen(move |stream| {
        let Ok(mut out) = stream.try_clone() else { return };
        http::answer_all(stream, |request| {
            if request.header("Target-Instance").is_some_and(|target| target != own_id) {
                return Some(Message::answer(421, "").with("Not-Run", 1).bytes());
            }
            if request.path() == "/health" {
                return Some(Message::answer(200, "").with("Instance-Id", &own_id).bytes());
            }
            if request.path() == "/-/report" {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"seq\":0,\"num_waiting\":0,\
                     \"num_running\":0,\"kv_used\":0,\"kv_total\":83311,\"handles\":0}}"
                );
                return Some(Message::answer(200, body).bytes());
            }
            let item = request.header("Request-Id").unwrap_or_default();
            let from: u64 =
                request.header("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
            let is_empty = item == EMPTY;
            let events = if is_empty { 1 } else { 10 };
            record.line(&format!("{own_id} runs {item} after event {from}, {events} events"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {item}\r\n\
                 Server-Stamp: stamp.{item}\r\nWeight-Versions: 1\r\nInstance-Load: 1,0,12\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            out.write_all(head.as_bytes()).ok()?;
            for event in from + 1..=events {
                thread::sleep(Duration::from_millis(20));
                let data = if is_empty { String::new() } else { format!("{item}.{event}") };
                let event = format!("id: {event}\ndata: {data}\n\n");
                out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
            }
            Some(b"0\r\n\r\n".to_vec())
        });
    });
    let models = format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]");
    announce(store, &id, "wadi-gen", DOMAINS[n], 12, address, move || Some(models.clone()));
}

fn scorer(store: &Store) {
    let address = http::listen(move |stream| {
        http::answer_all(stream, |request| {
            if request.path() == "/health" {
                return Some(Message::answer(200, "").with("Instance-Id", "i-score").bytes());
            }
            let id = request.header("Request-Id").unwrap_or_default();
            let answer = Message::answer(200, "score")
                .with("Request-Id", id)
                .with("Server-Stamp", format!("stamp.{id}"))
                .with("Instance-Load", "1,0,6");
            Some(answer.bytes())
        });
    });
    announce(store, "i-score", "board-app", DOMAINS[0], 6, address, || None);
}

fn job() -> String {
    let entry = |n: usize| {
        format!(
            "{{\"id\":\"item-{n}\",\"path\":\"/rollout/x\",\"headers\":{{\"Model\":\"{MODEL}\",\
             \"Token-Usage\":\"1016,624\",\"Prompt-Prefix\":\"9c{group:x}:1000,5d{n:x}:16\",\
             \"Length-Hint\":\"600\"}},\"body\":\"{}\",\"tokens\":1640,\"group\":\"g{group}\",\
             \"scorer\":{{\"id\":\"score-{n}\",\"hostname\":\"{HOST}\",\"path\":\"/sync/s\",\
             \"body\":\"{}\"}}}}",
            base64(format!("item {n}").as_bytes()),
            base64(b"score"),
            group = n / 4,
        )
    };
    let entries: Vec<String> = (0..ITEMS).map(entry).collect();
    format!(
        "{{\"step\":0,\"model\":\"{MODEL}\",\"min_version\":1,\"group_count\":4,\"entries\":[{}]}}",
        entries.join(","),
    )
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let store = Store::start();
    let rollout = format!(
        "{{\"name\":\"runoff-rollout\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/rollout/\",\
         \"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":0,\
         \"backend\":\"wadi-gen\",\"max_attempts\":3,\"deadline_ms\":7500,\"retention_s\":40,\
         \"sticky\":true,\"resumable\":true}}"
    );
    let llm = format!(
        "{{\"name\":\"wadi-gen\",\"health_path\":\"/health\",\"max_conns\":170,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\
         \"kv_capacity_tokens\":83311,\"kv_token_bytes\":327680,\"stride\":52,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}"
    );
    let routes = [rollout, route("record-sync", "/sync/", "safe", 1_500, "board-app")];
    configure(&store, 1, &routes, &[llm, service("board-app")]);
    for n in 0..4 {
        engine(&store, n, record);
    }
    scorer(&store);
    let mut instances: Vec<Instance> =
        (0..3).map(|n| Instance::start(&store, &format!("front-{n}"), DOMAINS[n])).collect();
    record.line("three instances are ready");
    thread::sleep(Duration::from_secs(1));
    submit(instances[0].front, record);
    let fronts: Vec<SocketAddr> = instances.iter().map(|instance| instance.front).collect();
    let first = read_anywhere(&fronts, record);
    assert_eq!(first, ITEMS, "the batch job could not be read at first");
    record.line("the trainer has read the whole batch job");
    if trouble {
        for (n, instance) in instances.iter_mut().enumerate() {
            record.line(&format!("front-{n} gets SIGTERM"));
            instance.restart();
            record.line(&format!("front-{n} is ready again"));
        }
        thread::sleep(Duration::from_secs(1));
    }
    record.line("the batch job is read from the start once more");
    let again = read_anywhere(&fronts, record);
    if again == ITEMS {
        return vec![];
    }
    vec![format!(
        "LOST: all {ITEMS} results of an open batch job had been read; read from the start again, \
         no instance gives more than {again} for {READ_S} s"
    )]
}

/// Reads a batch job from the start at one instance after the other, until one
/// gives all results, for at most [`READ_S`]; returns how many came at most.
fn read_anywhere(fronts: &[SocketAddr], record: &Record) -> usize {
    let until = Instant::now() + Duration::from_secs(READ_S);
    let mut most = 0;
    while Instant::now() < until {
        for (n, front) in fronts.iter().enumerate() {
            let (listed, status) = read_from_start(*front);
            record.line(&format!("front-{n} gives {listed} results, then {status}"));
            most = most.max(listed);
            if listed == ITEMS {
                return most;
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    most
}

fn submit(front: SocketAddr, record: &Record) {
    let headers = [("Host", HOST.to_owned()), ("Request-Id", String::from("job-1"))];
    let answer = http::exchange(front, "POST /rollout/1", &headers, job().as_bytes());
    let status = answer.map(|answer| answer.status()).unwrap_or(0);
    record.line(&format!("the batch job is answered {status}"));
    assert_eq!(status, 202, "the batch job was not accepted");
}

/// Reads the results from the start until an answer brings none; returns their
/// number and the last status.
fn read_from_start(front: SocketAddr) -> (usize, u16) {
    let mut listed = 0;
    loop {
        let headers = [("Host", HOST.to_owned()), ("Wait-Ms", String::from("1000"))];
        let first = format!("GET /-/lots/job-1?after={listed}");
        let answer = http::exchange(front, &first, &headers, b"");
        let status = answer.as_ref().map(Message::status).unwrap_or(0);
        let page = answer.ok().filter(|answer| answer.status() == 200);
        let page = page.and_then(|answer| Value::parse(&answer.text())).unwrap_or(Value::Null);
        let results = page.get("results").list().len();
        listed += results;
        if results == 0 || listed == ITEMS {
            return (listed, status);
        }
    }
}

//! Targets of `hollywell serve` that send bytes without end: what is read of all
//! of them has to fit into a small machine. Each test runs in a process of its
//! own, whose peak of memory is checked.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    process::Command,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hollywell::{
    clock::Clock,
    control::{self, Options},
    core::{
        event::Event,
        id::{Dispatch, Instance},
        member::{Kind, Listed},
        reducer::Config,
        time::Time,
    },
    engine::{self, GenerateRequest},
    http::Client,
    metrics::Metrics,
    platform, service,
    settings::Platform,
    traffic::registry::{BufferedRequest, Prompt},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    task::JoinSet,
    time::sleep,
};

/// Memory of the smallest machines, in MB.
const MACHINE_MB: u64 = 130;
/// Exchanges with the endless target at once.
const EXCHANGES: usize = 128;
const TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the body of one response, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Most bytes that are sent on one connection.
const MAX_SENT: usize = 128 << 20;

/// Set in the process of a test.
const IS_CHILD: &str = "HOLLYWELL_ENDLESS_CHILD";

/// Held by the test whose process runs.
static ALONE: Mutex<()> = Mutex::new(());

/// Runs a test in a process of its own.
fn alone(name: &str, test: impl Future<Output = ()>) {
    if std::env::var_os(IS_CHILD).is_none() {
        let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let mut child = Command::new(std::env::current_exe().unwrap());
        let ended = child.args(["--exact", name, "--nocapture"]).env(IS_CHILD, "1").status();
        assert!(ended.unwrap().success(), "the test has failed in its process");
        return;
    }
    // As in `hollywell serve`.
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().unwrap().block_on(test);
    check_peak();
}

/// Starts a target that answers with `start`, and `part` without end.
async fn start(start: &'static str, part: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let part = part.clone();
            tokio::spawn(async move {
                let mut head = [0; 4_096];
                let _read = stream.read(&mut head).await;
                let mut sent = stream.write_all(start.as_bytes()).await;
                let mut left = MAX_SENT;
                while sent.is_ok() && left > 0 {
                    sent = stream.write_all(part.as_bytes()).await;
                    left = left.saturating_sub(part.len());
                }
                if sent.is_ok() {
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    address
}

fn check_peak() {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak = peak.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() / 1_024;
    println!("peak: {peak} MB");
    assert!(peak < MACHINE_MB, "the process has used {peak} MB");
}

async fn call_all(start_of: &'static str, part: &str) {
    let address = start(start_of, part.repeat(64)).await;
    let client = Client::new();
    let mut calls = JoinSet::new();
    for _ in 0..EXCHANGES {
        let (client, address) = (client.clone(), address.clone());
        calls.spawn(async move {
            let request = BufferedRequest {
                method: http::Method::GET,
                path: String::from("/x"),
                headers: http::HeaderMap::new(),
                body: bytes::Bytes::new(),
            };
            let sent = service::send(&client, &address, &request, BODY_BYTES, TIMEOUT).await;
            sent.response.is_none()
        });
    }
    assert!(calls.join_all().await.into_iter().all(|is_failed| is_failed));
}

// Each response had a limit, but all of them together had none.
#[test]
fn endless_bodies_of_services_take_the_memory() {
    alone(
        "endless_bodies_of_services_take_the_memory",
        call_all("HTTP/1.1 200 OK\r\n\r\n", &"x".repeat(1_024)),
    );
}

// What is buffered of each connection is limited, in a head too.
#[test]
fn endless_heads_of_services_take_the_memory() {
    alone(
        "endless_heads_of_services_take_the_memory",
        call_all("HTTP/1.1 200 OK\r\nx-more: ", &"x".repeat(1_024)),
    );
}

async fn generate_all(part: &str) {
    let address = start("HTTP/1.1 200 OK\r\n\r\n", part.repeat(64)).await;
    let client = Client::new();
    let mut streams = JoinSet::new();
    for n in 0..EXCHANGES {
        let (client, address) = (client.clone(), address.clone());
        streams.spawn(async move {
            let dispatch = Dispatch(n as u64);
            let request = GenerateRequest { dispatch, address, priority: 0, deadline: Time(0) };
            let prompt = Prompt { text: String::from("x"), max_tokens: 10 };
            engine::generate(&client, &request, "t", &prompt, TIMEOUT).await.is_err()
        });
    }
    assert!(streams.join_all().await.into_iter().all(|is_failed| is_failed));
}

// Each event is sound, but there is no end of them.
#[test]
fn endless_events_of_engines_take_the_memory() {
    let text = "x".repeat(1_000);
    let event = format!(r#"{{"choices":[{{"text":"{text}"}}],"weight_version":4}}"#);
    let part = format!("data: {event}\n\n");
    alone("endless_events_of_engines_take_the_memory", generate_all(&part));
}

#[test]
fn endless_lines_of_engines_take_the_memory() {
    alone("endless_lines_of_engines_take_the_memory", generate_all(&"x".repeat(1_024)));
}

// The load of an engine was read like a page of the log, of up to 64 MB, and
// again each interval while earlier reads went on.
#[test]
fn endless_load_reports_take_the_memory() {
    alone("endless_load_reports_take_the_memory", poll_loads());
}

async fn poll_loads() {
    let address = start("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(64 << 10)).await;
    let config = Config::new(Instance::new("a", 1), "d", &["d"]);
    let (metrics, clock) = (Metrics::new().unwrap(), Clock::start());
    let options = Options { config, queue: 64, trace: None, metrics, clock };
    let (control, _effects) = control::start(options).unwrap();
    let engine = |n: usize| Listed {
        name: format!("e{n}"),
        kind: Kind::Engine,
        pool: String::from("llm"),
        domain: String::from("d"),
        address: address.clone(),
        leaving: false,
    };
    control.send(Event::Listed((0..8).map(engine).collect())).await;
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = Platform {
        log: nowhere,
        list: nowhere,
        weights: nowhere,
        list_ms: 1_000,
        load_ms: 100,
        poll_ms: 1_000,
    };
    tokio::spawn(platform::follow_load(settings, control));
    sleep(TIMEOUT).await;
}

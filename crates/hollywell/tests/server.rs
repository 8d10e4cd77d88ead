//! Invalid input over HTTP: every answer is one of the defined error kinds, is
//! counted, and leaves the instance serving.

use std::{net::SocketAddr, time::Duration};

use hollywell::{
    account::Account,
    clock::Clock,
    control::{self, Options},
    core::{
        event::Event,
        id::Instance,
        member::{Kind, Listed},
        memory::Memory,
        reducer::Config,
    },
    metrics::Metrics,
    settings::{Limits, Platform},
    traffic::{executor::Executor, server::Server},
    watchdog::Watchdog,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
};

const UNREACHABLE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

struct Running {
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

async fn start() -> Running {
    let clock = Clock::start();
    let metrics = Metrics::new().expect("metric names are unique");
    let config = Config::new(Instance::new("a", 1), "d", &["d"]);
    let options = Options { config, queue: 64, trace: None, metrics: metrics.clone(), clock };
    let (control, effects) = control::start(options).expect("the control thread starts");
    let platform = Platform {
        log: UNREACHABLE,
        list: UNREACHABLE,
        weights: UNREACHABLE,
        list_ms: 1_000,
        load_ms: 1_000,
        poll_ms: 1_000,
    };
    let limits = Limits {
        queue: 64,
        body_bytes: 2_000,
        request_bytes: 8_000,
        connections: 64,
        answer_bytes: 100_000,
        header_bytes: 8_192,
        receive_ms: 300,
        timeout_ms: 2_000,
        max_timeout_ms: 5_000,
    };
    let executor = Executor::new(control.clone(), clock, platform, &limits, metrics.clone());
    let registry = executor.registry.clone();
    tokio::spawn(executor.run(effects));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let (stop, stopping) = watch::channel(false);
    let watchdog = Watchdog::new(clock.now());
    tokio::spawn(watchdog.clone().run(clock));
    let request_memory = Account::new(Memory::with_reserve(8_000, 2_000));
    let control_of_server = control.clone();
    let server = Server {
        control: control_of_server,
        clock,
        registry,
        watchdog,
        limits,
        request_memory,
        metrics,
    };
    tokio::spawn(server.serve(listener, stopping));
    control.send(Event::Listed(targets().await)).await;
    Running { address, stop }
}

/// Starts targets and lists them, one pool each: one answers invalid HTTP, one
/// stops in the middle of an answer, one is unreachable, one exceeds the size
/// limit, and one answers correctly.
async fn targets() -> Vec<Listed> {
    let long = format!("HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n{}", "x".repeat(9_000));
    let answers = [
        ("garbage", String::from("this is not HTTP\r\n\r\n")),
        ("partial", String::from("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of")),
        ("long", long),
        ("good", String::from("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood")),
    ];
    let mut targets = vec![listed("absent", UNREACHABLE)];
    for (name, answer) in answers {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        targets.push(listed(name, listener.local_addr().expect("the listener is bound")));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut header = [0; 4_096];
                let _read = stream.read(&mut header).await;
                let _written = stream.write_all(answer.as_bytes()).await;
            }
        });
    }
    targets
}

fn listed(pool: &str, address: SocketAddr) -> Listed {
    Listed {
        name: format!("{pool}-1"),
        kind: Kind::Service,
        pool: pool.into(),
        domain: "d".into(),
        address: address.to_string(),
        leaving: false,
    }
}

/// Sends raw bytes and reads the answer until the connection closes.
async fn exchange(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    stream.write_all(bytes.as_bytes()).await.expect("the server reads");
    let mut answer = vec![];
    // A connection reset after the answer is accepted as its end.
    let _ended = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
}

async fn assert_answer(running: &Running, request: &str, status: &str, kind: &str) {
    let answer = exchange(running.address, request).await;
    let first = request.lines().next().unwrap_or_default();
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{first}: {answer}");
    assert!(answer.contains(&format!("\"kind\":\"{kind}\"")), "{first}: {answer}");
}

#[tokio::test]
async fn invalid_requests_get_defined_errors_and_are_counted() {
    let running = start().await;
    let step = |trainer: &str, samples: u32| {
        format!(
            "{{\"trainer\":\"{trainer}\",\"step\":1,\"timeout_ms\":10,\
             \"groups\":[{{\"group\":0,\"prompt\":\"p\",\"samples\":{samples}}}]}}"
        )
    };
    let long = "x".repeat(3_000);
    let cases = [
        (post("/v1/steps", "{not json"), "400", "malformed"),
        (post("/v1/steps", &step("nobody", 1)), "404", "unknown_trainer"),
        (post("/v1/steps", &step("nobody", 0)), "400", "malformed"),
        (post("/v1/steps", &step("nobody", 1_000_000)), "400", "malformed"),
        (post("/v1/steps", &long), "413", "too_large"),
        (post("/svc/good/x", &long), "413", "too_large"),
        (post("/svc/nowhere/x", "b"), "404", "unknown_pool"),
        (get("/elsewhere"), "404", "no_route"),
        (post("/admin/edits", "{}"), "400", "malformed"),
        (post("/svc/absent/x", "b"), "503", "target_refused"),
        (post("/svc/garbage/x", "b"), "502", "outcome_unknown"),
        (post("/svc/partial/x", "b"), "502", "outcome_unknown"),
        (post("/svc/long/x", "b"), "502", "outcome_unknown"),
    ];
    for (request, status, kind) in &cases {
        assert_answer(&running, request, status, kind).await;
    }
    let bad_timeout = post("/svc/good/x", "b").replace("host: a", "hollywell-timeout-ms: soon");
    assert_answer(&running, &bad_timeout, "400", "malformed").await;
    let long_key = post("/svc/good/x", "b").replace("host: a", &format!("idempotency-key: {long}"));
    assert_answer(&running, &long_key, "400", "malformed").await;

    let good = exchange(running.address, &post("/svc/good/x", "b")).await;
    assert!(good.starts_with("HTTP/1.1 200") && good.ends_with("good"), "{good}");
    let metrics = exchange(running.address, &get("/metrics")).await;
    for line in [
        "hollywell_refusals_total{kind=\"malformed\"} 6",
        "hollywell_refusals_total{kind=\"too_large\"} 2",
        "hollywell_refusals_total{kind=\"outcome_unknown\"} 3",
        "hollywell_answers_total{class=\"target\"} 1",
    ] {
        assert!(metrics.contains(line), "{line} not in\n{metrics}");
    }
}

#[tokio::test]
async fn oversized_headers_and_slow_callers_are_refused_and_others_served() {
    let running = start().await;
    let long_header = get("/healthz").replace("host: a", &format!("x: {}", "y".repeat(20_000)));
    let answer = exchange(running.address, &long_header).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    // An incomplete header times out without an answer; an incomplete body is
    // refused.
    let answer = exchange(running.address, "GET /healthz HTTP/1.1\r\n").await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
    let incomplete = post("/svc/good/x", "whole").replace("whole", "w");
    assert_answer(&running, &incomplete, "400", "malformed").await;
    // A caller that disconnects does not affect others.
    let mut disconnecting = TcpStream::connect(running.address).await.expect("the server listens");
    disconnecting.write_all(post("/svc/good/x", "b").as_bytes()).await.expect("the server reads");
    drop(disconnecting);
    let answer = exchange(running.address, &get("/healthz")).await;
    assert!(answer.ends_with("ok\n"), "{answer}");
}

#[tokio::test]
async fn a_stopping_server_answers_existing_connections() {
    let running = start().await;
    let mut early = TcpStream::connect(running.address).await.expect("the server listens");
    // The connection is accepted, but its first request arrives after the stop.
    tokio::time::sleep(Duration::from_millis(20)).await;
    running.stop.send_replace(true);
    tokio::time::sleep(Duration::from_millis(20)).await;
    early.write_all(get("/healthz").as_bytes()).await.expect("the connection is open");
    let mut answer = String::new();
    early.read_to_string(&mut answer).await.expect("the request is answered");
    assert!(answer.ends_with("ok\n"), "{answer}");
}

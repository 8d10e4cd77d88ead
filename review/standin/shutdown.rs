//! LOST: a process that is stopped by SIGTERM ends while it still sends an
//! answer, long before its grace period is over.

use std::{
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd as _,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
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

/// Size of an answer.
const BYTES: usize = 6_000_000;
/// What the client's link carries in a second: 8 Mbit.
const BYTES_PER_S: f64 = 1_000_000.0;
/// When SIGTERM is sent, counted from the begin of the answer.
const STOP_AFTER: Duration = Duration::from_millis(100);
const GRACE_S: f64 = 8.0;

/// The largest segment and the receive buffer of the client's connection, as on a
/// network: on loopback they would hold megabytes.
const SEGMENT: i32 = 1_400;
const RECEIVE_BUFFER: i32 = 64 << 10;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with small segments and a small window.
fn connect_as_over_a_network(to: SocketAddr) -> TcpStream {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(to) = to else { panic!("{to} is no IPv4 address") };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        assert!(fd >= 0, "no socket");
        let stream = TcpStream::from_raw_fd(fd);
        assert_eq!(setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4), 0);
        assert_eq!(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4), 0);
        assert_eq!(connect(fd, &address, 16), 0, "no connection");
        stream
    }
}

fn engine(store: &Store, n: usize, record: &Record) {
    let (id, record) = (format!("i-{n}"), record.clone());
    let own_id = id.clone();
    let address = http::listen(move |stream| {
        http::answer_all(stream, |request| {
            let request_id = request.header("Request-Id").unwrap_or_default();
            if request.header("Target-Instance").is_some_and(|target| target != own_id) {
                return Some(Message::answer(421, "").with("Not-Run", 1).bytes());
            }
            if request.path() == "/health" {
                return Some(Message::answer(200, "").with("Instance-Id", &own_id).bytes());
            }
            record.line(&format!("{own_id} runs {request_id}"));
            thread::sleep(Duration::from_millis(25));
            let answer = Message::answer(200, vec![b'a'; BYTES])
                .with("Request-Id", request_id)
                .with("Server-Stamp", format!("stamp.{request_id}"))
                .with("Instance-Load", "1,0,6");
            Some(answer.bytes())
        });
    });
    announce(store, &id, "board-app", DOMAINS[n], 6, address, || None);
}

/// Reads an answer as fast as the link carries it; returns the number of bytes
/// of its body, and whether they are all.
fn read_answer(
    front: SocketAddr,
    id: &str,
    record: &Record,
    has_begun: &AtomicBool,
) -> (usize, bool) {
    let mut client = Client::over(connect_as_over_a_network(front)).expect("a connection");
    let headers = [
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", String::from("9000")),
    ];
    record.line(&format!("{id} is sent"));
    client.send(&format!("POST /survey/{id}"), &headers, b"survey").expect("a send");
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 16 << 10];
    let mut body_at = None;
    let mut started = Instant::now();
    loop {
        let read = match client.read_some(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) => {
                record.line(&format!("{id}: {error}"));
                break;
            }
        };
        if bytes.is_empty() {
            started = Instant::now();
        }
        bytes.extend_from_slice(&buffer[..read]);
        if body_at.is_none() {
            body_at = bytes.windows(4).position(|part| part == b"\r\n\r\n").map(|at| at + 4);
            if let Some(at) = body_at {
                let head = String::from_utf8_lossy(&bytes[..at]).replace("\r\n", "; ");
                record.line(&format!("{id} begins to be answered: {head}"));
                has_begun.store(true, Ordering::SeqCst);
            }
        }
        if body_at.is_some_and(|at| bytes.len() >= at + BYTES) {
            break;
        }
        let due = Duration::from_secs_f64(bytes.len() as f64 / BYTES_PER_S);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let body = body_at.map_or(0, |at| bytes.len() - at);
    let is_ok = bytes.starts_with(b"HTTP/1.1 200");
    record.line(&format!("{id}: {body} of {BYTES} bytes of the answer arrived"));
    (body, is_ok && body == BYTES)
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let store = Store::start();
    let routes = [route("survey-read", "/survey/", "safe", 10_000, "board-app")];
    configure(&store, 1, &routes, &[service("board-app")]);
    for n in 0..2 {
        engine(&store, n, record);
    }
    let mut instance = Instance::start(&store, "front-0", DOMAINS[0]);
    record.line("the instance is ready");
    let (front, seen) = (instance.front, record.clone());
    let has_begun = Arc::new(AtomicBool::new(false));
    let begun = has_begun.clone();
    let reader = thread::spawn(move || read_answer(front, "survey-1", &seen, &begun));
    let mut stopped = None;
    if trouble {
        while !has_begun.load(Ordering::SeqCst) {
            assert!(!reader.is_finished(), "the answer did not begin");
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(STOP_AFTER);
        record.line("the instance gets SIGTERM");
        stopped = Some(Instant::now());
        instance.terminate();
        while !instance.has_ended() && !reader.is_finished() {
            thread::sleep(Duration::from_millis(10));
        }
        if instance.has_ended() {
            let ms = stopped.map_or(0, |at| at.elapsed().as_millis());
            record.line(&format!("the instance has ended by itself {ms} ms after SIGTERM"));
        }
    }
    let (_, is_whole) = reader.join().expect("the client");
    let took = stopped.map_or(0.0, |at| at.elapsed().as_secs_f64());
    if is_whole || took > GRACE_S + 1.0 {
        return vec![];
    }
    vec![format!(
        "LOST: a request that was read and passed on before SIGTERM ended without its whole \
         answer {took:.1} s after SIGTERM, with grace_s {GRACE_S}"
    )]
}

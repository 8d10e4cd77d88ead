//! Stand-in for a model engine or a plain service, as PROTOCOL.md describes it.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
    text::json_field,
};

/// The name of the only model.
pub const MODEL: &str = "daka51";

/// How an engine works.
#[derive(Clone, Debug)]
pub struct Traits {
    /// Requests at the same time; more are refused as not run.
    pub slots: usize,
    /// How long a plain request takes.
    pub work: Duration,
    /// Events of a stream, and the time between two of them.
    pub events: u64,
    pub gap: Duration,
    /// How long a change of version takes.
    pub load: Duration,
}

impl Default for Traits {
    fn default() -> Traits {
        Traits {
            slots: 12,
            work: Duration::from_millis(20),
            events: 20,
            gap: Duration::from_millis(30),
            load: Duration::from_millis(900),
        }
    }
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    backend: String,
    zone: String,
    is_model: bool,
    store: Store,
    record: Record,
    traits: Mutex<Traits>,
    running: AtomicUsize,
    version: AtomicU64,
    orders: AtomicU64,
    busy: AtomicBool,
    beats: AtomicU64,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
}

/// A place of an engine, until dropped.
struct Place<'a>(&'a AtomicUsize);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Engine {
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        backend: &str,
        zone: &str,
        is_model: bool,
        traits: Traits,
    ) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let inner = Inner {
            backend: backend.to_owned(),
            zone: zone.to_owned(),
            is_model,
            store: store.clone(),
            record: record.clone(),
            traits: Mutex::new(traits),
            running: AtomicUsize::new(0),
            version: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            busy: AtomicBool::new(false),
            beats: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
        };
        let engine = Engine { id: id.to_owned(), address, inner: Arc::new(inner) };
        let (served, beating) = (engine.clone(), engine.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_gone() {
                    return;
                }
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        thread::spawn(move || {
            while !beating.is_gone() {
                beating.beat();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        engine
    }

    /// Requests that it works on.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    fn is_gone(&self) -> bool {
        self.inner.is_gone.load(Ordering::SeqCst)
    }

    /// A planned shutdown: reports `draining`, goes on serving for `drain` and a
    /// little longer, and exits.
    pub fn drain(&self, drain: Duration) {
        self.inner.is_draining.store(true, Ordering::SeqCst);
        self.beat();
        self.inner.record.line(&format!("{} drains", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(drain + Duration::from_millis(500));
            while engine.inner.running.load(Ordering::SeqCst) > 0 {
                thread::sleep(Duration::from_millis(20));
            }
            engine.inner.is_gone.store(true, Ordering::SeqCst);
            engine.inner.store.put("keyed.servers", &engine.id, "");
            let _wakes_the_listener = TcpStream::connect(engine.address);
            engine.inner.record.line(&format!("{} has left", engine.id));
        });
    }

    fn traits(&self) -> Traits {
        self.inner.traits.lock().unwrap().clone()
    }

    fn models(&self) -> String {
        if !self.inner.is_model {
            return String::new();
        }
        let version = self.inner.version.load(Ordering::SeqCst);
        format!(
            ",\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}]"
        )
    }

    /// Writes the engine's entry to the store.
    fn beat(&self) {
        let seq = self.inner.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let Inner { backend, zone, .. } = &*self.inner;
        let (address, slots, models) = (self.address, self.traits().slots, self.models());
        let is_draining = self.inner.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"backend\":\"{backend}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0{models},\"seq\":{seq}}}"
        );
        self.inner.store.put("keyed.servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.is_gone() {
                return;
            }
            let Ok(answered) = self.answer(&request, &mut writer) else { return };
            if answered.is_some_and(|answer| writer.write_all(&answer).is_err()) {
                return;
            }
        }
    }

    /// The bytes of the answer; `None` if it was written as a stream.
    fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
    ) -> std::io::Result<Option<Vec<u8>>> {
        let bytes = |status: u16, headers: &[(&str, String)], body: &[u8]| {
            let mut answer = Vec::new();
            http::respond(&mut answer, status, headers, body).map(|()| Some(answer))
        };
        let own = [("Instance-Id", self.id.clone())];
        if request.header("Target-Instance").is_some_and(|target| target != self.id) {
            return bytes(421, &own, b"");
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => {
                let leaves = self.inner.is_draining.load(Ordering::SeqCst);
                return bytes(if leaves { 503 } else { 200 }, &own, b"");
            }
            ("GET", "/-/report") => return bytes(200, &[], self.report().as_bytes()),
            ("POST", "/-/order") => return bytes(self.order(&request.text()), &[], b""),
            _ => {}
        }
        let Some(id) = request.header("Request-Id").map(str::to_owned) else {
            return bytes(400, &[("Not-Run", String::from("1"))], b"");
        };
        let traits = self.traits();
        let before = self.inner.running.fetch_add(1, Ordering::SeqCst);
        let _place = Place(&self.inner.running);
        let load = format!("{},0,{}", before.min(traits.slots), traits.slots);
        let is_loading = self.inner.is_model && self.inner.busy.load(Ordering::SeqCst);
        if before >= traits.slots || is_loading {
            self.inner.record.line(&format!("{} refuses {id} as not run", self.id));
            let not_run = String::from("1");
            let headers = [("Request-Id", id), ("Not-Run", not_run), ("Instance-Load", load)];
            return bytes(503, &headers, b"");
        }
        if self.inner.is_model {
            return self.stream(request, &id, &traits, writer).map(|()| None);
        }
        let run = self.inner.record.run(&self.id, &id, request.path());
        thread::sleep(traits.work);
        let stamp = format!("stamp.{id}.{run}");
        let headers = [("Request-Id", id), ("Server-Stamp", stamp), ("Instance-Load", load)];
        bytes(200, &headers, b"whole body")
    }

    fn stream(
        &self,
        request: &Message,
        id: &str,
        traits: &Traits,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let last: u64 = request.header("Last-Event-Id").and_then(|n| n.parse().ok()).unwrap_or(0);
        let run = self.inner.record.run(&self.id, id, &format!("item after event {last}"));
        let mut version = self.inner.version.load(Ordering::SeqCst);
        let started = Instant::now();
        thread::sleep(traits.gap);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nServer-Stamp: stamp.{id}.{run}\r\nWeight-Versions: {version}\r\n\r\n"
        )?;
        for n in last + 1..=traits.events {
            let now = self.inner.version.load(Ordering::SeqCst);
            let mut event = String::new();
            if now != version {
                version = now;
                event.push_str(&format!("weight-versions: {version}\n"));
            }
            event.push_str(&format!("id: {n}\ndata: t{n}\n\n"));
            self.inner.record.at_engine(id);
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(traits.gap);
        }
        write!(writer, "0\r\n\r\n")?;
        let took = started.elapsed().as_millis();
        self.inner.record.line(&format!("{} has made all events of {id} in {took} ms", self.id));
        Ok(())
    }

    fn report(&self) -> String {
        let Inner { busy, orders, running, .. } = &*self.inner;
        let (busy, orders) = (busy.load(Ordering::SeqCst), orders.load(Ordering::SeqCst));
        let running = running.load(Ordering::SeqCst);
        let models = self.models();
        let models = models.trim_start_matches(',');
        format!(
            "{{{models},\"busy\":{busy},\"seq\":{orders},\"num_waiting\":0,\"num_running\":{running},\
             \"kv_used\":0,\"kv_total\":83311,\"handles\":0}}"
        )
    }

    /// Carries out an order for a version; the runs go on under it.
    fn order(&self, body: &str) -> u16 {
        let field = |name| json_field(body, name).and_then(|n: String| n.parse::<u64>().ok());
        let version = field("version").unwrap_or(0);
        let inner = self.inner.clone();
        self.inner.record.line(&format!("{} is ordered {body}", self.id));
        // No version but the first is ever named here.
        if version > 1 {
            return 400;
        }
        if inner.version.load(Ordering::SeqCst) >= version {
            return 200;
        }
        let expected = field("expected");
        if expected.is_some_and(|seq| seq != inner.orders.load(Ordering::SeqCst))
            || inner.busy.swap(true, Ordering::SeqCst)
        {
            return 409;
        }
        inner.orders.fetch_add(1, Ordering::SeqCst);
        let (engine, load) = (self.clone(), self.traits().load);
        thread::spawn(move || {
            thread::sleep(load);
            engine.inner.version.store(version, Ordering::SeqCst);
            engine.inner.busy.store(false, Ordering::SeqCst);
            engine.inner.record.line(&format!("{} has version {version}", engine.id));
            engine.beat();
        });
        202
    }
}

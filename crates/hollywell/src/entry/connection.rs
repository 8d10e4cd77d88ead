//! Connections of callers: accepting them, and closing those that have to make
//! room or that keep the instance waiting.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    convert::Infallible,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use http::{HeaderValue, header};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::timeout,
};

use crate::{
    core::{
        callers::{Callers, Id, Phase},
        machine::BUFFER_BYTES,
        time::Time,
    },
    entry::{ingress, shared::Shared},
};

/// Idle timeout of callers' connections until a configuration is loaded, in
/// milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;
/// Limit on the head of a request where the configuration sets none, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;
/// How long a connection is read after an answer to a request whose body was
/// not read: closing it with unread bytes could reset it before the answer has
/// arrived.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Time without progress after which an answer is given up when another has found
/// no room, in milliseconds.
const BLOCKED_MS: u64 = 1_000;
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Counts connections that have carried a request, for a graceful shutdown. As
/// idle ones end at once when the instance stops, those that are left then have
/// an answer under way.
#[derive(Debug, Default)]
pub struct OpenConnections {
    connections: Cell<usize>,
}

impl OpenConnections {
    /// The number of these connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.connections.get()
    }
}

struct OpenConnectionGuard(Rc<OpenConnections>);

impl OpenConnectionGuard {
    fn new(open: &Rc<OpenConnections>) -> OpenConnectionGuard {
        open.connections.set(open.connections.get() + 1);
        OpenConnectionGuard(open.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// All connections of callers.
#[derive(Debug)]
pub struct Connections {
    state: RefCell<Callers>,
    signals: RefCell<HashMap<Id, Rc<Signals>>>,
    /// Connections that were closed for others or were overdue, since the last
    /// log line.
    closed: Cell<usize>,
}

/// What a connection is told.
#[derive(Debug, Default)]
struct Signals {
    /// It is to be closed.
    close: Notify,
    /// The body that it receives is to be refused.
    is_body_given_up: Cell<bool>,
    /// Notified when that changes.
    body_given_up: Notify,
}

impl Connections {
    /// Creates an empty set for at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Connections {
        Connections {
            state: RefCell::new(Callers::new(limit)),
            signals: RefCell::default(),
            closed: Cell::new(0),
        }
    }

    /// The number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.state.borrow().len()
    }

    /// Gives up the body of a stalled connection other than `other`. Returns false
    /// if there is none.
    pub(super) fn give_up_body(&self, now: Time, other: &Connection) -> bool {
        let Some(id) = self.state.borrow_mut().give_up_body(now, other.id) else {
            return false;
        };
        if let Some(signals) = self.signals.borrow().get(&id) {
            signals.is_body_given_up.set(true);
            signals.body_given_up.notify_one();
        }
        true
    }

    /// Closes connections whose caller takes too long.
    pub(super) fn close_overdue(&self, shared: &Shared) {
        let (head_ms, blocked_ms) = {
            let control = shared.control.borrow();
            let configuration = control.configuration.as_ref();
            let times = configuration.map(|plan| (plan.header_timeout_ms, plan.idle_timeout_ms));
            let or_default = |ms: u64| if ms == 0 { DEFAULT_IDLE_MS } else { ms };
            times.map_or((DEFAULT_IDLE_MS, DEFAULT_IDLE_MS), |(head_ms, idle_ms)| {
                (or_default(head_ms), or_default(idle_ms))
            })
        };
        // Answers that are not read hold the memory that others need.
        let is_short =
            shared.response_memory.take_shortage() | shared.caller_memory.take_shortage();
        let blocked_ms = if is_short { BLOCKED_MS } else { blocked_ms };
        let overdue = self.state.borrow_mut().overdue(shared.now(), head_ms, blocked_ms);
        for id in overdue {
            self.close(shared, id, "overdue");
        }
        let closed = self.closed.take();
        if closed > 0 {
            log::info!(
                "{closed} connections of callers closed that were overdue or made room; {} are open",
                self.count()
            );
        }
    }

    fn close(&self, shared: &Shared, id: Id, reason: &str) {
        self.closed.set(self.closed.get() + 1);
        shared.meters.connections_closed.with_label_values(&[reason]).inc();
        if let Some(signals) = self.signals.borrow().get(&id) {
            signals.close.notify_one();
        }
    }

    /// Makes room for another connection if all that there may be are open.
    /// Returns false if every one is being served.
    fn make_room(&self, shared: &Shared) -> bool {
        if !self.state.borrow().is_full() {
            return true;
        }
        let chosen = self.state.borrow_mut().make_room(shared.now());
        if let Some(id) = chosen {
            self.close(shared, id, "made_room");
        }
        chosen.is_some()
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub(super) struct Connection {
    id: Id,
    signals: Rc<Signals>,
    shared: Rc<Shared>,
    /// The body of the last request was not read to its end.
    pub(super) has_unread_body: Cell<bool>,
    /// The request that is being served may have run.
    pub(super) may_have_run: Rc<Cell<bool>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.callers.state.borrow_mut().close(self.id);
        self.shared.callers.signals.borrow_mut().remove(&self.id);
    }
}

impl Connection {
    fn new(shared: &Rc<Shared>) -> Rc<Connection> {
        let id = shared.callers.state.borrow_mut().open(shared.now());
        let signals = Rc::new(Signals::default());
        shared.callers.signals.borrow_mut().insert(id, signals.clone());
        let shared = shared.clone();
        let (has_unread_body, may_have_run) = (Cell::new(false), Rc::default());
        Rc::new(Connection { id, signals, shared, has_unread_body, may_have_run })
    }

    /// Records what the connection does from now on.
    pub(super) fn enter(&self, phase: Phase) {
        self.shared.callers.state.borrow_mut().enter(self.shared.now(), self.id, phase);
    }

    /// Records that a body is being received, and completes when it is to be
    /// refused.
    pub(super) async fn body_given_up(&self) {
        self.signals.is_body_given_up.set(false);
        while !self.signals.is_body_given_up.get() {
            self.signals.body_given_up.notified().await;
        }
    }

    fn phase(&self) -> Option<Phase> {
        self.shared.callers.state.borrow().phase(self.id)
    }

    fn record_received(&self, bytes: usize) {
        match self.phase() {
            Some(Phase::Idle) => self.enter(Phase::Head),
            Some(Phase::Head | Phase::Body) => self.record_bytes(bytes),
            Some(Phase::Serving | Phase::Blocked) | None => {}
        }
    }

    fn record_sent(&self, sent: &Poll<io::Result<usize>>) {
        match (self.phase(), sent) {
            (Some(Phase::Idle | Phase::Serving), Poll::Pending) => self.enter(Phase::Blocked),
            (Some(Phase::Blocked), Poll::Ready(Ok(_))) => self.enter(Phase::Idle),
            _ => {}
        }
    }

    fn record_bytes(&self, bytes: usize) {
        self.shared.callers.state.borrow_mut().record_bytes(self.shared.now(), self.id, bytes);
    }
}

/// The byte stream of a connection.
struct Stream<'a> {
    tcp: &'a mut TcpStream,
    connection: &'a Connection,
}

impl AsyncRead for Stream<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut *self.tcp).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.connection.record_received(received);
        }
        read
    }
}

impl AsyncWrite for Stream<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut *self.tcp).poll_write(context, bytes);
        self.connection.record_sent(&sent);
        sent
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut *self.tcp).poll_write_vectored(context, slices);
        self.connection.record_sent(&sent);
        sent
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.tcp).poll_shutdown(context)
    }
}

/// Accepts callers' connections until the instance stops.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener, open: Rc<OpenConnections>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.callers.make_room(&shared) => {
                tokio::task::spawn_local(run(Connection::new(&shared), stream, open.clone()));
            }
            // Closed unread, which tells the caller that its request has not run.
            Ok(_) => shared.meters.connections_closed.with_label_values(&["no_room"]).inc(),
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn run(connection: Rc<Connection>, stream: TcpStream, open: Rc<OpenConnections>) {
    let served = serve_to_end(&connection, stream, &open);
    tokio::select! {
        () = served => {}
        () = connection.signals.close.notified() => log::debug!("a connection was closed: it was overdue or made room"),
    }
}

async fn serve_to_end(
    connection: &Rc<Connection>,
    mut stream: TcpStream,
    open: &Rc<OpenConnections>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on a connection: {error}");
    }
    let guard = OnceCell::new();
    let on_request = || {
        guard.get_or_init(|| OpenConnectionGuard::new(open));
    };
    match serve_requests(connection, &mut stream, on_request).await {
        Ok(false) if !connection.has_unread_body.get() => {}
        Ok(is_stopping) => {
            // hyper has handed the end of the answer to the kernel, which drops it
            // if the socket is closed with unread bytes. The caller closes once it
            // has read everything.
            connection.enter(Phase::Idle);
            let drained = async { tokio::io::copy(&mut stream, &mut tokio::io::sink()).await };
            let drained = match is_stopping {
                true => Ok(drained.await),
                false => timeout(LINGER_TIME, drained).await,
            };
            if let Ok(Err(error)) = drained {
                log::debug!("a connection failed after its last answer: {error}");
            }
        }
        Err(error) => log::debug!("a connection failed: {error}"),
    }
}

/// Serves a connection until the caller closes it or the instance stops, and
/// what is under way then to its end. Returns whether anything was.
async fn serve_requests(
    connection: &Rc<Connection>,
    stream: &mut TcpStream,
    on_request: impl Fn(),
) -> hyper::Result<bool> {
    let shared = &connection.shared;
    let (idle_ms, max_head_bytes) = {
        let control = shared.control.borrow();
        let limits = control.configuration.as_ref().map(|configuration| {
            let idle_ms = configuration.idle_timeout_ms.max(configuration.header_timeout_ms);
            (idle_ms, configuration.max_head_bytes)
        });
        let (idle_ms, max_head_bytes) = limits.unwrap_or((DEFAULT_IDLE_MS, 0));
        (idle_ms, if max_head_bytes == 0 { DEFAULT_MAX_HEAD_BYTES } else { max_head_bytes })
    };
    let first_request = Notify::new();
    let service = service_fn(|request| {
        on_request();
        first_request.notify_one();
        let connection = connection.clone();
        async move {
            connection.enter(Phase::Serving);
            let mut response = ingress::answer(&connection.shared, &connection, request).await;
            connection.enter(Phase::Idle);
            if connection.shared.control.borrow().is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    // hyper's timeout for reading a head starts when the previous response
    // ends, so it has to cover the connection's idle time as well.
    builder.timer(TokioTimer::new()).header_read_timeout(Duration::from_millis(idle_ms.max(1)));
    builder.keep_alive(true);
    builder.max_header_size(max_head_bytes).max_buf_size(max_head_bytes.max(BUFFER_BYTES));
    let stream = Stream { tcp: stream, connection };
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let mut stop = shared.stop.subscribe();
    let is_late = *stop.borrow();
    let may_close = async {
        let _stopping = stop.wait_for(|stop| *stop).await;
        // The caller of a connection that was made during the stop is about to
        // send a request; closing it would leave that without an answer.
        if is_late {
            first_request.notified().await;
        }
    };
    tokio::select! {
        biased;
        ended = served.as_mut() => return ended.map(|()| is_late),
        () = may_close => served.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        // An idle connection ends at once.
        ended = served.as_mut() => ended.map(|()| false),
        () = std::future::ready(()) => served.await.map(|()| true),
    }
}

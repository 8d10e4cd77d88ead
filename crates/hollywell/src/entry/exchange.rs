//! An HTTP/1.1 client with a connection pool.
//!
//! A new connection costs a round trip and a handshake at the target, and has
//! a price. Connections are therefore kept open for the next request to the
//! same address. If the peer closes a pooled connection while a request is in
//! flight, that is distinguished from a fault of the target
//! ([`Error::StaleConnection`]).
//!
//! Retries are left to the callers, which know what is safe to repeat.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Request,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    account::{Account, Charge},
    body,
    clock::since_boot,
    http::is_final,
};

/// Timeout for opening a connection. Round trips take milliseconds, but a lost
/// packet is retransmitted only after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for checking whether a target has exited. An address without a
/// listener refuses a connection within a round trip, and a caller is waiting.
const EXIT_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a connection opened for that check has to stay open.
const EXIT_SETTLE_TIME: Duration = Duration::from_millis(25);
/// Fraction of the peer's idle timeout after which a pooled connection is no
/// longer used, so that a request does not race with the peer's close.
const IDLE_FRACTION: f64 = 0.7;
/// How long a connection is pooled that was opened but not used.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a byte from an address after which a pooled connection that is
/// given up is taken for silent.
const SILENCE: Duration = Duration::from_millis(400);
/// Maximum size of a response's head, and of what is read of a body at a time,
/// in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of bytes that are read until the head of a response is
/// complete. Interim responses precede it, each of which may be short; some of the
/// body may have arrived with it.
const MAX_READ_BYTES: usize = 4 * MAX_BUFFER_BYTES;
/// Idle timeout if the peer states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection could not be opened, so nothing was sent.
    NotSent(String),
    /// The connection was refused: nothing listens at the address, so the
    /// process that did has exited.
    ConnectionRefused,
    /// A pooled connection was closed before any byte of a response. That is no
    /// fault of the target; whether the request ran is unknown.
    StaleConnection,
    /// Something was sent, but no complete response arrived.
    Broken(String),
    /// The response has a status outside 200 to 599, which is none (RFC 9110,
    /// section 15). Whether the request ran is open.
    NoStatus(u16),
    /// The response belongs to another request: it names another id, or names
    /// one where the request has none, or none where it has one. Whether the
    /// request ran is open.
    Foreign,
    /// The timeout elapsed before the complete response arrived.
    TimedOut,
    /// The request was not sent, because it was no longer allowed or needed when
    /// a connection was available.
    Cancelled,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(cause) => write!(f, "no connection: {cause}"),
            Error::ConnectionRefused => f.write_str("no connection: nobody listens"),
            Error::StaleConnection => f.write_str("a pooled connection was closed by the peer"),
            Error::Broken(cause) => write!(f, "exchange broke: {cause}"),
            Error::NoStatus(number) => write!(f, "the response's status is none: {number}"),
            Error::Foreign => f.write_str("the response belongs to another request"),
            Error::TimedOut => f.write_str("no complete response in time"),
            Error::Cancelled => f.write_str("cancelled before it was sent"),
        }
    }
}

impl std::error::Error for Error {}

/// What a new connection shows of the process at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// The connection was accepted.
    Yes,
    /// The connection was refused: the process that listened has exited.
    Nobody,
    /// Neither happened in time.
    Unknown,
}

impl Error {
    /// Whether it is certain that nothing was sent.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Error::NotSent(_) | Error::ConnectionRefused | Error::Cancelled)
    }

    /// Whether the process may have exited during the exchange. A timeout alone does
    /// not mean that.
    #[must_use]
    pub const fn may_be_an_exit(&self) -> bool {
        matches!(self, Error::StaleConnection | Error::Broken(_) | Error::NoStatus(_))
    }

    /// The label value in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Error::NotSent(_) => "not_sent",
            Error::ConnectionRefused => "nobody_there",
            Error::StaleConnection => "stale",
            Error::Broken(_) => "broken",
            Error::NoStatus(_) => "no_status",
            Error::Foreign => "foreign",
            Error::TimedOut => "timed_out",
            Error::Cancelled => "unwanted",
        }
    }
}

/// What all connections to an address have received.
#[derive(Debug, Default)]
struct Received {
    /// Number of reads that returned bytes.
    reads: Cell<u64>,
    /// Number of these bytes.
    bytes: Cell<u64>,
}

impl Received {
    fn add(&self, bytes: usize) {
        self.reads.set(self.reads.get() + 1);
        self.bytes.set(self.bytes.get() + bytes as u64);
    }
}

/// An open connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Bytes were received since the last request was sent.
    has_received: Rc<Cell<bool>>,
    /// What was received from the address.
    received: Rc<Received>,
    /// Bytes that may be read until the head of a response is complete; `None`
    /// while none is expected.
    head_bytes_left: Rc<Cell<Option<usize>>>,
}

/// The byte stream of a connection.
struct Stream {
    tcp: TcpStream,
    has_received: Rc<Cell<bool>>,
    received: Rc<Received>,
    head_bytes_left: Rc<Cell<Option<usize>>>,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.has_received.set(true);
            self.received.add(received);
        }
        if let Some(left) = self.head_bytes_left.get() {
            let Some(left) = left.checked_sub(received) else {
                let why = "a response has no head within the bytes that it may have";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
            };
            self.head_bytes_left.set(Some(left));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}

/// Whether a pooled connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// It may.
    Allowed,
    /// A new one is opened.
    Avoided,
}

/// A connection that one request may use. Dropping it closes the connection.
pub struct Checkout {
    /// `None` once a response has it.
    connection: Option<Connection>,
    is_reused: bool,
    /// When the request was sent, as time since boot, and the number of reads from
    /// the address before.
    sent: Option<(Duration, u64)>,
    pool: Rc<Pool>,
    address: SocketAddr,
}

impl fmt::Debug for Checkout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Checkout").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Checkout {
    /// Whether a request was sent on a pooled connection and nothing came back.
    /// Connections may pass nothing any more without having been closed.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        let is_silent = |connection: &Connection| !connection.has_received.get();
        self.is_reused && self.sent.is_some() && self.connection.as_ref().is_some_and(is_silent)
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let Some((sent_at, reads)) = self.sent.filter(|_| self.is_unanswered()) else {
            return;
        };
        let is_silent = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.received.reads.get() == reads);
        if is_silent && since_boot() - sent_at >= SILENCE {
            // Those that were idle meanwhile may be silent as well.
            self.pool.forget_before(self.address, sent_at);
        }
    }
}

struct PooledConnection {
    connection: Connection,
    /// When it was pooled, as time since boot.
    since: Duration,
    /// When it expires, as time since boot. That clock also runs while this
    /// machine is suspended, during which the peer may close the connection.
    until: Duration,
}

/// A pool of idle connections, by address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>,
    /// What was received, by address.
    received: RefCell<HashMap<SocketAddr, Rc<Received>>>,
    /// The number of connections opened so far.
    pub opened: Cell<u64>,
    /// The header with a request's id, which responses echo.
    id_header: Option<HeaderName>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("opened", &self.opened.get()).finish_non_exhaustive()
    }
}

/// A response whose body is not read yet. Dropping it closes the connection.
pub struct IncomingResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    connection: Option<Connection>,
    pool: Rc<Pool>,
    address: SocketAddr,
}

impl fmt::Debug for IncomingResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IncomingResponse").field("head", &self.head).finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Rc<Pool> {
        Rc::new(Pool::default())
    }

    /// Creates an empty pool for peers that echo the id of a request: a response
    /// with another one is not handed out.
    #[must_use]
    pub fn checking(id_header: HeaderName) -> Rc<Pool> {
        Rc::new(Pool { id_header: Some(id_header), ..Pool::default() })
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        let now = since_boot();
        while let Some(entry) = list.pop() {
            if entry.until > now && entry.connection.sender.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: Connection, idle: Duration) {
        let since = since_boot();
        let entry = PooledConnection { connection, since, until: since + idle };
        self.idle.borrow_mut().entry(address).or_default().push(entry);
    }

    /// Closes connections that have been idle for too long or that the peer has
    /// closed.
    pub fn sweep(&self) {
        let now = since_boot();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|entry| entry.until > now && !entry.connection.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
        self.received.borrow_mut().retain(|_, received| Rc::strong_count(received) > 1);
    }

    /// Bytes received from an address since the first of its connections that are
    /// open now, or were pooled or used a moment ago, was opened.
    #[must_use]
    pub fn received_bytes(&self, address: SocketAddr) -> u64 {
        self.received.borrow().get(&address).map_or(0, |received| received.bytes.get())
    }

    /// Closes all idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections to an address that have been idle since before a
    /// time, as time since boot.
    fn forget_before(&self, address: SocketAddr, time: Duration) {
        if let Some(list) = self.idle.borrow_mut().get_mut(&address) {
            list.retain(|entry| entry.since >= time);
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let not_sent = |cause: &dyn fmt::Display| Error::NotSent(cause.to_string());
        let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| Error::NotSent(String::from("connecting timed out")))?
            .map_err(|error| match error.kind() {
                std::io::ErrorKind::ConnectionRefused => Error::ConnectionRefused,
                _ => not_sent(&error),
            })?;
        tcp.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let has_received = Rc::new(Cell::new(false));
        let received = self.received.borrow_mut().entry(address).or_default().clone();
        let head_bytes_left = Rc::new(Cell::new(None));
        let stream = Stream {
            tcp,
            has_received: has_received.clone(),
            received: received.clone(),
            head_bytes_left: head_bytes_left.clone(),
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(|error| not_sent(&error))?;
        self.opened.set(self.opened.get() + 1);
        log::debug!("connection to {address} opened");
        // A failure of the connection is reported by the request that uses it.
        tokio::task::spawn_local(async move {
            let _reported_by_request = connection.await;
        });
        Ok(Connection { sender, has_received, received, head_bytes_left })
    }

    /// Checks, after an exchange failed, whether the process at an address has
    /// exited. If it has not, the connection opened for the check is pooled.
    ///
    /// An exiting process may close its listener after its connections, and the
    /// system accepts new ones until then: only one that stays open counts.
    pub async fn has_exited(&self, address: SocketAddr) -> bool {
        self.is_listening(address).await == Listening::Nobody
    }

    /// Whether a process listens at an address, as a new connection shows.
    pub async fn is_listening(&self, address: SocketAddr) -> Listening {
        let check = async {
            let mut opened = self.connect(address).await;
            if let Ok(connection) = &opened {
                sleep(EXIT_SETTLE_TIME).await;
                if connection.sender.is_closed() {
                    opened = self.connect(address).await;
                }
            }
            opened
        };
        match timeout(EXIT_CHECK_TIMEOUT, check).await {
            Ok(Err(Error::ConnectionRefused)) => {
                self.forget(address);
                Listening::Nobody
            }
            Ok(Ok(connection)) => {
                self.keep(address, connection, UNUSED_TIMEOUT);
                Listening::Yes
            }
            // A process that cannot be reached may still be alive.
            Ok(Err(_)) | Err(_) => Listening::Unknown,
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn send(
        self: &Rc<Pool>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<IncomingResponse, Error> {
        self.send_if(address, request, limit, || true).await
    }

    /// As [`Pool::send`], but sends the request only if `still_allowed` returns
    /// true once a connection is available: opening one takes a while, and the
    /// process may be paused meanwhile.
    ///
    /// # Errors
    ///
    /// See [`Error`]; [`Error::Cancelled`] if it returned false.
    pub async fn send_if(
        self: &Rc<Pool>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        still_allowed: impl Fn() -> bool,
    ) -> Result<IncomingResponse, Error> {
        let exchange = async {
            let mut checkout = self.check_out(address, Reuse::Allowed).await?;
            if !still_allowed() {
                self.give_back(checkout);
                return Err(Error::Cancelled);
            }
            self.send_on(&mut checkout, request).await
        };
        timeout(limit, exchange).await.map_err(|_| Error::TimedOut)?
    }

    /// Takes a connection to an address from the pool, or opens one.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::ConnectionRefused`].
    pub async fn check_out(
        self: &Rc<Pool>,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<Checkout, Error> {
        let pooled = if reuse == Reuse::Allowed { self.take(address) } else { None };
        let is_reused = pooled.is_some();
        let connection = match pooled {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        Ok(Checkout {
            connection: Some(connection),
            is_reused,
            sent: None,
            pool: self.clone(),
            address,
        })
    }

    /// Returns a connection on which nothing was sent.
    pub fn give_back(&self, mut checkout: Checkout) {
        if let Some(connection) = checkout.connection.take() {
            self.keep(checkout.address, connection, UNUSED_TIMEOUT);
        }
    }

    fn id_of(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(self.id_header.as_ref()?).cloned()
    }

    /// Sends a request on a connection and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn send_on(
        self: &Rc<Pool>,
        checkout: &mut Checkout,
        request: Request<Full<Bytes>>,
    ) -> Result<IncomingResponse, Error> {
        let (address, is_reused) = (checkout.address, checkout.is_reused);
        let Some(connection) = &mut checkout.connection else {
            return Err(Error::NotSent(String::from("the connection was used")));
        };
        let id = self.id_of(request.headers());
        connection.has_received.set(false);
        connection.head_bytes_left.set(Some(MAX_READ_BYTES));
        checkout.sent = Some((since_boot(), connection.received.reads.get()));
        let response = connection.sender.send_request(request).await;
        connection.head_bytes_left.set(None);
        let response = response.map_err(|error| {
            // A response that ends within its head is a fault of the target.
            let is_unanswered = is_reused && !connection.has_received.get();
            if error.is_canceled() {
                Error::NotSent(error.to_string())
            } else if is_unanswered && (error.is_incomplete_message() || error.is_closed()) {
                Error::StaleConnection
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        // Dropping the response and the checkout closes the connection: what follows
        // on it cannot be attributed to any request either.
        if !is_final(response.status()) {
            return Err(Error::NoStatus(response.status().as_u16()));
        }
        if self.id_of(response.headers()) != id {
            return Err(Error::Foreign);
        }
        let (head, body) = response.into_parts();
        let connection = checkout.connection.take();
        Ok(IncomingResponse { head, body, connection, pool: self.clone(), address })
    }
}

impl IncomingResponse {
    /// The value of a header, if it is present and text.
    #[must_use]
    pub fn header(&self, name: &HeaderName) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection is closed before the end of the body.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => {
                    self.finish();
                    return Ok(None);
                }
                Some(Err(error)) => return Err(Error::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection is closed before the end of the body
    /// or the body is longer than `limit` bytes; [`Error::TimedOut`].
    pub async fn read_body(self, limit: usize, time_limit: Duration) -> Result<Bytes, Error> {
        let all = self.read_body_with_idle_timeout(limit, time_limit);
        timeout(time_limit, all).await.map_err(|_| Error::TimedOut)?
    }

    /// As [`IncomingResponse::read_body`], for one of many bodies that share the
    /// limit of `memory`, until nobody has the body any more.
    ///
    /// # Errors
    ///
    /// As [`IncomingResponse::read_body`].
    pub async fn read_body_within(
        mut self,
        memory: &Arc<Account>,
        time_limit: Duration,
    ) -> Result<Bytes, Error> {
        let mut charge = Charge::new(memory);
        let all = self.collect(time_limit, |_, more| charge.try_grow(more));
        let body = timeout(time_limit, all).await.map_err(|_| Error::TimedOut)??;
        Ok(charge.attach(body))
    }

    /// Reads the complete body. There is no limit on the total time, but each
    /// chunk has to arrive within `idle_timeout`.
    ///
    /// # Errors
    ///
    /// As [`IncomingResponse::read_body`].
    pub async fn read_body_with_idle_timeout(
        mut self,
        limit: usize,
        idle_timeout: Duration,
    ) -> Result<Bytes, Error> {
        self.collect(idle_timeout, |held, more| held + more <= limit).await
    }

    /// Reads the complete body as long as `may_grow` admits the next bytes, given
    /// the number of those before them and of these.
    async fn collect(
        &mut self,
        idle_timeout: Duration,
        mut may_grow: impl FnMut(usize, usize) -> bool,
    ) -> Result<Bytes, Error> {
        let mut held = 0;
        let mut first: Option<Bytes> = None;
        let mut rest = Vec::new();
        loop {
            let next = timeout(idle_timeout, self.chunk()).await.map_err(|_| Error::TimedOut)??;
            let Some(data) = next else {
                // Most bodies have a single chunk, which is not copied.
                return Ok(if rest.is_empty() { first.unwrap_or_default() } else { rest.into() });
            };
            if !may_grow(held, data.len()) {
                let why = format!("the body is longer than the {held} bytes that it may have");
                return Err(Error::Broken(why));
            }
            held += data.len();
            match &first {
                None => first = Some(data),
                Some(start) => {
                    if rest.is_empty() {
                        body::append(&mut rest, start);
                    }
                    body::append(&mut rest, &data);
                }
            }
        }
    }

    fn finish(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let header = |name| self.head.headers.get(name).and_then(|value| value.to_str().ok());
        let closes = header(http::header::CONNECTION)
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            return;
        }
        let stated = header(http::HeaderName::from_static("keep-alive"))
            .and_then(|value| value.split("timeout=").nth(1))
            .and_then(|value| value.split([',', ' ']).next()?.parse::<u64>().ok());
        let idle = stated.map_or(DEFAULT_IDLE, Duration::from_secs);
        log::debug!("connection to {} pooled, idle timeout {stated:?}", self.address);
        self.pool.keep(self.address, connection, idle.mul_f64(IDLE_FRACTION));
    }
}

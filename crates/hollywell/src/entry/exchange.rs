//! Exchanges over HTTP/1.1 with kept connections.
//!
//! Connections cost: a handshake at the target, a price, a round trip. So
//! they are kept for the next request to the same address. A kept connection
//! that the other side closes while a request is on its way is told apart
//! from a target's fault ([`Error::StaleConnection`]).
//!
//! What it leaves out: retries, which depend on what may be repeated.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Request,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::clock::since_boot;

/// Longest time to wait for a connection. Round trips take milliseconds; a
/// lost packet is sent again after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to find out whether a target has ended: an address without a
/// listener says so within a round trip, and a caller waits meanwhile.
const LOOK_TIMEOUT: Duration = Duration::from_millis(150);
/// A kept connection is not used after this share of the idle time that the
/// other side granted, so that its closing does not cross a request.
const IDLE_SHARE: f64 = 0.7;
/// How long a connection is kept that was made and not used.
const UNUSED: Duration = Duration::from_secs(1);
/// Idle time where the other side states none.
const IDLE: Duration = Duration::from_secs(4);

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// The same, because nobody listens at the address: the process that did
    /// has ended.
    ConnectionRefused,
    /// A kept connection ended before any answer. It says nothing about the
    /// target; whether the request ran is not known.
    StaleConnection,
    /// Something was sent, and no whole answer came.
    Broken(String),
    /// The time was up before a whole answer came.
    TimedOut,
    /// It was no longer wanted once it could have been sent, and was not.
    Cancelled,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(cause) => write!(f, "no connection: {cause}"),
            Error::ConnectionRefused => f.write_str("no connection: nobody listens"),
            Error::StaleConnection => f.write_str("a kept connection had ended"),
            Error::Broken(cause) => write!(f, "exchange broke: {cause}"),
            Error::TimedOut => f.write_str("no whole answer in time"),
            Error::Cancelled => f.write_str("no longer wanted"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Whether nothing was sent, for certain.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Error::NotSent(_) | Error::ConnectionRefused | Error::Cancelled)
    }

    /// Its kind's name in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Error::NotSent(_) => "not_sent",
            Error::ConnectionRefused => "nobody_there",
            Error::StaleConnection => "stale",
            Error::Broken(_) => "broken",
            Error::TimedOut => "timed_out",
            Error::Cancelled => "unwanted",
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

struct Kept {
    sender: Sender,
    /// Time since the machine's start up to which it may be used: while this
    /// one is suspended, the other side closes it.
    until: Duration,
}

/// Kept connections, by address.
#[derive(Default)]
pub struct Pool {
    kept: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
    /// Connections opened so far.
    pub opened: Cell<u64>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("opened", &self.opened.get()).finish_non_exhaustive()
    }
}

/// An answer whose body is still to come. Dropping it closes the connection.
pub struct IncomingResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    sender: Option<Sender>,
    pool: Rc<Pool>,
    address: SocketAddr,
}

impl fmt::Debug for IncomingResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IncomingResponse").field("head", &self.head).finish_non_exhaustive()
    }
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub fn new() -> Rc<Pool> {
        Rc::new(Pool::default())
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut kept = self.kept.borrow_mut();
        let list = kept.get_mut(&address)?;
        let now = since_boot();
        while let Some(entry) = list.pop() {
            if entry.until > now && entry.sender.is_ready() {
                return Some(entry.sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: Sender, idle: Duration) {
        let until = since_boot() + idle;
        self.kept.borrow_mut().entry(address).or_default().push(Kept { sender, until });
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = since_boot();
        let mut kept = self.kept.borrow_mut();
        for list in kept.values_mut() {
            list.retain(|entry| entry.until > now && !entry.sender.is_closed());
        }
        kept.retain(|_, list| !list.is_empty());
    }

    /// Closes all kept connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.kept.borrow_mut().remove(&address);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Error> {
        let not_sent = |cause: &dyn fmt::Display| Error::NotSent(cause.to_string());
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| Error::NotSent(String::from("connecting took too long")))?
            .map_err(|error| match error.kind() {
                std::io::ErrorKind::ConnectionRefused => Error::ConnectionRefused,
                _ => not_sent(&error),
            })?;
        stream.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| not_sent(&error))?;
        self.opened.set(self.opened.get() + 1);
        log::debug!("connection to {address} opened");
        // A connection that breaks shows at the request that is on it.
        tokio::task::spawn_local(async move {
            let _shown_elsewhere = connection.await;
        });
        Ok(sender)
    }

    /// Whether the process at an address, with which an exchange has just
    /// broken, has ended. If it has not, the connection that this takes is kept
    /// for the next request.
    pub async fn has_exited(&self, address: SocketAddr) -> bool {
        match timeout(LOOK_TIMEOUT, self.connect(address)).await {
            Ok(Err(Error::ConnectionRefused)) => {
                self.forget(address);
                true
            }
            Ok(Ok(sender)) => {
                self.keep(address, sender, UNUSED);
                false
            }
            // Whoever is cut off may live.
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Sends a request and waits for the head of its answer.
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

    /// The same if, once there is a connection, the request is still
    /// `wanted`: making one takes a while, and a process may be paused in it.
    ///
    /// # Errors
    ///
    /// See [`Error`]; [`Error::Cancelled`] if it was not.
    pub async fn send_if(
        self: &Rc<Pool>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        wanted: impl Fn() -> bool,
    ) -> Result<IncomingResponse, Error> {
        let exchange = self.exchange(address, request, wanted);
        timeout(limit, exchange).await.map_err(|_| Error::TimedOut)?
    }

    async fn exchange(
        self: &Rc<Pool>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        wanted: impl Fn() -> bool,
    ) -> Result<IncomingResponse, Error> {
        let (mut sender, kept) = match self.take(address) {
            Some(sender) => (sender, true),
            None => (self.connect(address).await?, false),
        };
        if !wanted() {
            self.keep(address, sender, UNUSED);
            return Err(Error::Cancelled);
        }
        let response = sender.send_request(request).await.map_err(|error| {
            if error.is_canceled() {
                Error::NotSent(error.to_string())
            } else if kept && (error.is_incomplete_message() || error.is_closed()) {
                Error::StaleConnection
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        let (head, body) = response.into_parts();
        Ok(IncomingResponse { head, body, sender: Some(sender), pool: self.clone(), address })
    }
}

impl IncomingResponse {
    /// The value of a header, if it is there once and is text.
    #[must_use]
    pub fn header(&self, name: &http::HeaderName) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection ends before the body does.
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

    /// The whole body.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection ends before the body does or the
    /// body is longer than `limit` bytes; [`Error::TimedOut`].
    pub async fn read_body(self, limit: usize, within: Duration) -> Result<Bytes, Error> {
        let all = self.read_body_with_idle_timeout(limit, within);
        timeout(within, all).await.map_err(|_| Error::TimedOut)?
    }

    /// The whole body, however long it takes, as long as none of its pieces
    /// is late by more than `silence`.
    ///
    /// # Errors
    ///
    /// As [`IncomingResponse::read_body`].
    pub async fn read_body_with_idle_timeout(
        mut self,
        limit: usize,
        silence: Duration,
    ) -> Result<Bytes, Error> {
        let mut first: Option<Bytes> = None;
        let mut rest = Vec::new();
        loop {
            let next = timeout(silence, self.chunk()).await.map_err(|_| Error::TimedOut)??;
            let Some(data) = next else {
                // One piece is mostly all there is, and is not copied.
                return Ok(if rest.is_empty() { first.unwrap_or_default() } else { rest.into() });
            };
            match &first {
                None => first = Some(data),
                Some(start) => {
                    if rest.is_empty() {
                        rest.extend_from_slice(start);
                    }
                    rest.extend_from_slice(&data);
                }
            }
            if rest.len() > limit {
                return Err(Error::Broken(format!("the body exceeds {limit} bytes")));
            }
        }
    }

    fn finish(&mut self) {
        let Some(sender) = self.sender.take() else {
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
        let idle = stated.map_or(IDLE, Duration::from_secs);
        log::debug!("connection to {} kept, idle {stated:?}", self.address);
        self.pool.keep(self.address, sender, idle.mul_f64(IDLE_SHARE));
    }
}

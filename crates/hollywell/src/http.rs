//! HTTP client for the platform, targets and command line tools.
//!
//! Every exchange uses a new connection. If a pooled connection turns out to be
//! closed by the server, it is unknown whether the request was processed; if a
//! new connection fails, the request was certainly not sent. The cost is one
//! round trip per exchange.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{
    account::{Account, Charge},
    body,
    core::memory::Memory,
};

/// Memory for the responses that a client reads at once unless it is set, in
/// bytes: a quarter of the smallest machine.
pub const RESPONSE_BYTES: usize = 32 << 20;
/// Maximum size of a response's head, and of what is read of a body at a time,
/// in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection failed, so nothing was sent.
    NotSent(String),
    /// The request may have been sent, but no complete response was received.
    Broken(String),
    /// The response has a status outside 200 to 599, which is none (RFC 9110,
    /// section 15).
    NoStatus(u16),
    /// The response exceeds the limit, in bytes.
    TooLarge(usize),
    /// No complete response was received within the timeout.
    TimedOut,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(cause) => write!(f, "no connection: {cause}"),
            Error::Broken(cause) => write!(f, "exchange broke: {cause}"),
            Error::NoStatus(number) => write!(f, "the response's status is none: {number}"),
            Error::TooLarge(limit) => write!(f, "response exceeds {limit} bytes"),
            Error::TimedOut => f.write_str("no complete response within the timeout"),
        }
    }
}

impl std::error::Error for Error {}

/// An HTTP/1.1 client without a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
    /// Memory of all responses that are being read; clones share it.
    memory: Arc<Account>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Creates a client. It must be used within a tokio runtime.
    #[must_use]
    pub fn new() -> Client {
        Client::with_memory(RESPONSE_BYTES)
    }

    /// Creates a client with this many bytes of memory for all responses that it
    /// reads at once. It must be used within a tokio runtime.
    #[must_use]
    pub fn with_memory(bytes: usize) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_BUFFER_BYTES)
            .build(connector);
        Client { inner, memory: Account::new(Memory::new(bytes)) }
    }

    /// A part of the memory for responses that are being read.
    pub(crate) fn charge(&self) -> Charge {
        Charge::new(&self.memory)
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if the connection failed, [`Error::NoStatus`], otherwise
    /// [`Error::Broken`].
    pub async fn open(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let response = self.inner.request(request).await.map_err(|error| {
            let cause = error_chain(&error);
            match error.is_connect() {
                true => Error::NotSent(cause),
                false => Error::Broken(cause),
            }
        })?;
        match response.status() {
            status if is_final(status) => Ok(response),
            status => Err(Error::NoStatus(status.as_u16())),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Those of [`Client::open`], [`Error::TooLarge`] if the body has more than
    /// `limit` bytes, and [`Error::TimedOut`] after `timeout`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = async {
            let (head, body) = self.open(request).await?.into_parts();
            Ok(Response::from_parts(head, self.read(body, limit).await?))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(Error::TimedOut))
    }

    async fn read(&self, mut body: Incoming, limit: usize) -> Result<Bytes, Error> {
        let (mut bytes, mut charge) = (Vec::new(), self.charge());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > limit {
                return Err(Error::TooLarge(limit));
            }
            if !charge.try_grow(data.len()) {
                let why = format!("no memory after {} bytes of the body", bytes.len());
                return Err(Error::Broken(why));
            }
            body::append(&mut bytes, &data);
        }
        Ok(bytes.into())
    }

    /// Sends a GET request for `path` to `address`.
    ///
    /// # Errors
    ///
    /// Those of [`Client::fetch`].
    pub async fn get(
        &self,
        address: &str,
        path: &str,
        limit: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let request = build(Request::get(uri(address, path)), Bytes::new())?;
        self.fetch(request, limit, timeout).await
    }

    /// Sends a POST request with a JSON body to `path` at `address`.
    ///
    /// # Errors
    ///
    /// Those of [`Client::fetch`].
    pub async fn post(
        &self,
        address: &str,
        path: &str,
        body: Vec<u8>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let builder = Request::post(uri(address, path)).header("content-type", "application/json");
        let request = build(builder, Bytes::from(body))?;
        self.fetch(request, limit, timeout).await
    }
}

/// Whether a status is that of a final response (RFC 9110, section 15): others
/// are interim or none.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns the URI of `path` at an address and port.
#[must_use]
pub fn uri(address: &str, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Builds a request with a body.
///
/// # Errors
///
/// [`Error::NotSent`] if the URI or a header is invalid.
pub fn build(builder: http::request::Builder, body: Bytes) -> Result<Request<Full<Bytes>>, Error> {
    builder.body(Full::new(body)).map_err(|error| Error::NotSent(error.to_string()))
}

/// Joins the messages of an error and its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

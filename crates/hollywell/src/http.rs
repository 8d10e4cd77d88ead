//! The HTTP client side that platform, targets and tools share.
//!
//! Every exchange uses a connection of its own. A pooled connection that the
//! other side has just closed leaves it open whether the request was sent;
//! with a fresh one, a failure to connect certainly sent nothing. The cost
//! is one round trip an exchange.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Longest time to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// Something was or may have been sent, and no whole answer came.
    Broken(String),
    /// The answer is larger than the limit, in bytes.
    TooLarge(usize),
    /// The time was up before a whole answer came.
    TimedOut,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(cause) => write!(f, "no connection: {cause}"),
            Error::Broken(cause) => write!(f, "exchange broke: {cause}"),
            Error::TooLarge(limit) => write!(f, "answer exceeds {limit} bytes"),
            Error::TimedOut => f.write_str("no whole answer in time"),
        }
    }
}

impl std::error::Error for Error {}

/// An HTTP/1.1 client without a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// A client. It must be used within a tokio runtime.
    #[must_use]
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Client { inner }
    }

    /// Sends a request and returns the answer's head with its body unread.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if no connection was made, else [`Error::Broken`].
    pub async fn open(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.inner.request(request).await.map_err(|error| {
            let cause = chain(&error);
            match error.is_connect() {
                true => Error::NotSent(cause),
                false => Error::Broken(cause),
            }
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Client::open`]; besides, [`Error::TooLarge`] if the answer has
    /// more than `limit` bytes and [`Error::TimedOut`] after `timeout`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = async {
            let (head, body) = self.open(request).await?.into_parts();
            let whole = Limited::new(body, limit).collect().await;
            let bytes = whole.map_err(|error| match error.is::<LengthLimitError>() {
                true => Error::TooLarge(limit),
                false => Error::Broken(error.to_string()),
            })?;
            Ok(Response::from_parts(head, bytes.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(Error::TimedOut))
    }

    /// Reads `path` at `address`.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`].
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

    /// Posts a JSON body to `path` at `address`.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`].
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

/// The URI of `path` at an address and port.
#[must_use]
pub fn uri(address: &str, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Finishes a request.
///
/// # Errors
///
/// [`Error::NotSent`] if the URI or a header cannot be sent.
pub fn build(builder: http::request::Builder, body: Bytes) -> Result<Request<Full<Bytes>>, Error> {
    builder.body(Full::new(body)).map_err(|error| Error::NotSent(error.to_string()))
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

//! The little HTTP that all stand-ins share.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
};
use serde::Serialize;
use tokio::net::TcpListener;

/// Body of every answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What a handler returns: an answer, or nothing to cut the connection.
pub type Answer = Option<Response<Body>>;

/// A request with its body read.
#[derive(Debug)]
pub struct Received {
    /// Method, path and headers.
    pub head: http::request::Parts,
    /// The body.
    pub body: Bytes,
}

impl Received {
    /// The parts of the path.
    #[must_use]
    pub fn path(&self) -> Vec<&str> {
        self.head.uri.path().trim_matches('/').split('/').collect()
    }

    /// The method.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// A number in the query.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<u64> {
        let query = self.head.uri.query().unwrap_or_default();
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }

    /// A header's text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The body as JSON.
    #[must_use]
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Serves until the process ends.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn serve<H, F>(listen: &str, handler: H) -> std::io::Result<()>
where
    H: Fn(Received) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    let handler = Arc::new(handler);
    loop {
        let (stream, _) = listener.accept().await?;
        let _no_delay = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let handler = Arc::clone(&handler);
                async move { answer(handler.as_ref(), request).await }
            });
            let _ended =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer<H, F>(handler: &H, request: Request<Incoming>) -> Result<Response<Body>, Cut>
where
    H: Fn(Received) -> F,
    F: Future<Output = Answer>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
    handler(Received { head, body }).await.ok_or(Cut)
}

/// Makes hyper cut the connection.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut on purpose")
    }
}

impl std::error::Error for Cut {}

/// A JSON answer.
#[must_use]
pub fn json(status: u16, value: &impl Serialize) -> Answer {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)).boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    Some(response)
}

/// A client without a pool.
#[must_use]
pub fn client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Sends a request and reads the whole answer, `None` if there is none.
pub async fn fetch(request: Request<Full<Bytes>>, timeout: Duration) -> Option<Response<Bytes>> {
    let exchange = async {
        let (head, body) = client().request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(head, body))
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}

/// Sends JSON and reads the whole answer, `None` if there is none.
pub async fn send(
    method: Method,
    address: &str,
    path: &str,
    value: &impl Serialize,
    timeout: Duration,
) -> Option<Response<Bytes>> {
    let body = Bytes::from(serde_json::to_vec(value).ok()?);
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(body))
        .ok()?;
    fetch(request, timeout).await
}

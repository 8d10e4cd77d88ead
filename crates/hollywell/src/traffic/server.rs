//! HTTP server for callers, trainers and operators.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::JoinSet,
    time::timeout,
};

use super::{admin, calls, registry::Registry, steps};
use crate::{
    account::{Account, Charge},
    body,
    clock::Clock,
    control::Handle,
    error::Kind,
    metrics::Metrics,
    settings::Limits,
    watchdog::Watchdog,
};

/// The body of every response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Header that states whether a refused request may have run.
pub const OUTCOME: &str = "hollywell-outcome";

/// How long a stopping instance waits for another connection.
const DRAIN_WAIT: Duration = Duration::from_millis(300);
/// Maximum time for which a stopping instance accepts connections.
const MAX_DRAIN: Duration = Duration::from_secs(5);

/// Handles requests.
#[derive(Clone, Debug)]
pub struct Server {
    /// Queue to the reducer.
    pub control: Handle,
    /// Clock of the process.
    pub clock: Clock,
    /// Buffered requests and responses.
    pub registry: Registry,
    /// Detects pauses of the process.
    pub watchdog: Watchdog,
    /// Limits on the resources of one caller.
    pub limits: Limits,
    /// Memory of the bodies of all requests.
    pub request_memory: Arc<Account>,
    /// Metrics of the process.
    pub metrics: Metrics,
}

impl Server {
    /// Serves until `stop` turns true, no connection has arrived for [`DRAIN_WAIT`]
    /// afterwards, and every request in flight is answered.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                // Beyond the limit, callers wait until a connection has ended: each
                // has a timeout for what it receives.
                accepted = listener.accept(), if connections.len() < server.limits.connections => {
                    server.accept(accepted, &mut connections, &stop);
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
                () = stopped(&mut stop) => break,
            }
        }
        // Connections that the load balancer made before it noticed the stop are
        // still served. The wait restarts with each connection, so that a process
        // that was paused finds those that arrived meanwhile.
        let deadline = Instant::now() + MAX_DRAIN;
        while let Ok(accepted) = timeout(DRAIN_WAIT, listener.accept()).await {
            server.accept(accepted, &mut connections, &stop);
            if Instant::now() > deadline {
                break;
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn accept(
        self: &Arc<Server>,
        accepted: std::io::Result<(TcpStream, SocketAddr)>,
        connections: &mut JoinSet<()>,
        stop: &watch::Receiver<bool>,
    ) {
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(Arc::clone(self).connection(stream, stop.clone()));
            }
            Err(error) => log::warn!("cannot accept a connection: {error}"),
        }
    }

    async fn connection(self: Arc<Server>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        let _best_effort = stream.set_nodelay(true);
        let receive = Duration::from_millis(self.limits.receive_ms);
        let first_request = Notify::new();
        let service = service_fn(|request| {
            first_request.notify_one();
            let server = Arc::clone(&self);
            async move { Ok::<_, Infallible>(server.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(receive)
            .max_buf_size(self.limits.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        // A new connection is not shut down before its first request is read: the
        // caller may have sent it already and would get no response.
        let may_close = async {
            first_request.notified().await;
            stopped(&mut stop).await;
        };
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = may_close => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("connection ended: {error}");
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived = self.clock.now();
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["healthz"]) => text(StatusCode::OK, "ok\n"),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::POST, ["v1", "steps"]) => steps::open(self, request).await,
            (_, ["svc", pool, ..]) => calls::call(self, request, pool, arrived).await,
            (_, ["admin", ..]) => admin::handle(self, request, &parts).await,
            _ => self.refusal(Kind::NoRoute, arrived),
        }
    }

    fn readiness(&self) -> Response<Body> {
        match self.control.view().ready {
            true => text(StatusCode::OK, "ready\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    fn metrics(&self) -> Response<Body> {
        match self.metrics.render(&self.control.view()) {
            Ok(bytes) => {
                let mut response = Response::new(full_body(Bytes::from(bytes)));
                let kind = HeaderValue::from_static("text/plain; version=0.0.4");
                response.headers_mut().insert(header::CONTENT_TYPE, kind);
                response
            }
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Creates the response of a refusal and counts it.
    pub(super) fn refusal(&self, kind: Kind, arrived: crate::core::time::Time) -> Response<Body> {
        let elapsed = Duration::from_millis(self.clock.now().since(arrived));
        self.metrics.refused(kind, elapsed);
        refusal(kind)
    }

    /// Reads the complete body of a request within the limits of size and time.
    pub(super) async fn read_body(&self, body: Incoming) -> Result<Bytes, Kind> {
        let take = async |charge: &mut Charge, more| match charge.try_grow(more) {
            true => Ok(()),
            false => Err(Kind::NoMemory),
        };
        let charge = Charge::new(&self.request_memory);
        let collected = body::collect(body, self.limits.body_bytes, charge, take);
        let receive = Duration::from_millis(self.limits.receive_ms);
        timeout(receive, collected).await.unwrap_or(Err(Kind::Malformed))
    }

    /// Returns the caller's timeout from its header, or the default.
    pub(super) fn timeout_ms(&self, headers: &HeaderMap) -> Result<u64, Kind> {
        let Some(value) = headers.get("hollywell-timeout-ms") else {
            return Ok(self.limits.timeout_ms);
        };
        let number = value.to_str().ok().and_then(|value| value.parse::<u64>().ok());
        let allowed = number.filter(|ms| *ms > 0);
        allowed.map(|ms| ms.min(self.limits.max_timeout_ms)).ok_or(Kind::Malformed)
    }
}

/// Completes when `stop` turns true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _stopped = stop.wait_for(|stop| *stop).await;
}

/// Creates the response for an error kind.
pub fn refusal(kind: Kind) -> Response<Body> {
    let answer = kind.answer();
    let body = serde_json::json!({
        "error": {
            "kind": kind.as_str(),
            "message": answer.text,
            "outcome": answer.outcome.as_str(),
            "retry_after_s": answer.retry_after_s,
        }
    });
    let mut response = json(StatusCode::OK, &body);
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    if let Some(seconds) = answer.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Creates a body from complete content.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).boxed_unsync()
}

fn text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Creates a JSON response.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(bytes)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

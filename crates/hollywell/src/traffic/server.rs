//! The HTTP side towards callers, trainers and operators.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited, combinators::UnsyncBoxBody};
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
    clock::Clock, control::Handle, error::Kind, metrics::Metrics, settings::Limits,
    watchdog::Watchdog,
};

/// The body of every answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Header that says whether a refused request ran.
pub const OUTCOME: &str = "hollywell-outcome";

/// How long a stopping instance waits for another connection.
const LINGER: Duration = Duration::from_millis(300);
/// How long a stopping instance accepts connections at most.
const LONGEST_LINGER: Duration = Duration::from_secs(5);

/// What answering requests takes.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where events go.
    pub control: Handle,
    /// The process's clock.
    pub clock: Clock,
    /// The bytes held.
    pub registry: Registry,
    /// Whether the process was paused.
    pub watchdog: Watchdog,
    /// What one caller can take up.
    pub limits: Limits,
    /// Counts.
    pub metrics: Metrics,
}

impl Server {
    /// Serves until `stop` turns true, no connection has come for
    /// [`LINGER`] after that, and every request in flight is answered.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    server.accept(accepted, &mut connections, &stop);
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
                () = stopped(&mut stop) => break,
            }
        }
        // Callers that the balancer sent before it learnt of the stop are
        // answered. The wait starts anew with each, so that a process that
        // was paused finds those that came meanwhile.
        let last = Instant::now() + LONGEST_LINGER;
        while let Ok(accepted) = timeout(LINGER, listener.accept()).await {
            server.accept(accepted, &mut connections, &stop);
            if Instant::now() > last {
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
        let _no_delay = stream.set_nodelay(true);
        let receive = Duration::from_millis(self.limits.receive_ms);
        let first = Notify::new();
        let service = service_fn(|request| {
            first.notify_one();
            let server = Arc::clone(&self);
            async move { Ok::<_, Infallible>(server.answer(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(receive)
            .max_buf_size(self.limits.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        // A new connection is not closed before its first request is read:
        // the caller has sent it already, and would be cut off.
        let may_close = async {
            first.notified().await;
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

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let arrived = self.clock.now();
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["healthz"]) => text(StatusCode::OK, "ok\n"),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (&Method::GET, ["metrics"]) => self.metrics(),
            (&Method::POST, ["v1", "steps"]) => steps::open(self, request).await,
            (_, ["svc", pool, ..]) => calls::call(self, request, pool, arrived).await,
            (_, ["admin", ..]) => admin::answer(self, request, &parts).await,
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

    /// Answers with a refusal from the closed table, and counts it.
    pub(super) fn refusal(&self, kind: Kind, arrived: crate::core::time::Time) -> Response<Body> {
        let took = Duration::from_millis(self.clock.now().since(arrived));
        self.metrics.refused(kind, took);
        refusal(kind)
    }

    /// Reads a request's whole body, within the limits of size and time.
    pub(super) async fn read_body(&self, body: Incoming) -> Result<Bytes, Kind> {
        let whole = Limited::new(body, self.limits.body_bytes).collect();
        let receive = Duration::from_millis(self.limits.receive_ms);
        match tokio::time::timeout(receive, whole).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::TooLarge),
            Ok(Err(_)) | Err(_) => Err(Kind::Malformed),
        }
    }

    /// How long a caller waits, from its header or by default.
    pub(super) fn timeout_ms(&self, headers: &HeaderMap) -> Result<u64, Kind> {
        let Some(value) = headers.get("hollywell-timeout-ms") else {
            return Ok(self.limits.timeout_ms);
        };
        let number = value.to_str().ok().and_then(|value| value.parse::<u64>().ok());
        let allowed = number.filter(|ms| *ms > 0);
        allowed.map(|ms| ms.min(self.limits.max_timeout_ms)).ok_or(Kind::Malformed)
    }
}

/// Completes when `stop` turns true, or when nobody can turn it any longer.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _stopped = stop.wait_for(|stop| *stop).await;
}

/// The answer that the closed table gives to a kind.
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

/// A body that is all here.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).boxed_unsync()
}

fn text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(bytes)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

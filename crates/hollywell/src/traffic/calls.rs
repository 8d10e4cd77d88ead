//! Calls to plain services under `/svc/{pool}/{path at the target}`.

use std::time::Duration;

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use xxhash_rust::xxh3::Xxh3;

use super::{
    registry::{BufferedRequest, BufferedResponse, RequestOutcome},
    server::{Body, Server, full_body},
};
use crate::{
    core::{
        event::{Call, Event},
        id,
        time::Time,
    },
    error::Kind,
    service::end_to_end,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Handles a call.
pub(super) async fn call(
    server: &Server,
    request: Request<Incoming>,
    pool: &str,
    arrived: Time,
) -> Response<Body> {
    let earliest = server.watchdog.earliest_arrival(arrived);
    let (head, body) = request.into_parts();
    let body = server.read_body(body).await;
    let prepared = body.and_then(|body| {
        let path = path_at_target(&head.uri, pool);
        let buffered =
            BufferedRequest { method: head.method, path, headers: end_to_end(&head.headers), body };
        let call = describe(server, &head.headers, pool, &buffered)?;
        Ok((call, buffered))
    });
    let (call, buffered) = match prepared {
        Ok(prepared) => prepared,
        Err(kind) => return server.refusal(kind, arrived),
    };
    let has_key = call.key.is_some();
    let (number, outcome) = server.registry.register(buffered);
    let mut guard = CancelGuard { server, request: Some(number) };
    let event = Event::Call { request: number, arrived: earliest, call };
    if server.control.try_send(event).is_err() {
        let kind = if has_key { Kind::Unverified } else { Kind::Overloaded };
        return server.refusal(kind, arrived);
    }
    let outcome = outcome.await;
    guard.request = None;
    match outcome {
        Ok(RequestOutcome::Response { response, .. }) => {
            let elapsed = Duration::from_millis(server.clock.now().since(arrived));
            server.metrics.answered(elapsed);
            log::debug!("request {}: answered {} in {elapsed:?}", number.0, response.status);
            into_http(response)
        }
        Ok(RequestOutcome::Refused { kind, .. }) => {
            let outcome = kind.answer().outcome.as_str();
            log::info!("request {}: refused as {}, {outcome}", number.0, kind.as_str());
            server.refusal(kind, arrived)
        }
        Ok(RequestOutcome::Edited(_)) | Err(_) => server.refusal(Kind::Internal, arrived),
    }
}

/// Reports to the reducer that the caller has disconnected if dropped before the
/// response is ready.
struct CancelGuard<'a> {
    server: &'a Server,
    request: Option<id::Request>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            // If the queue is full, the reducer's reply is discarded later.
            let _full = self.server.control.try_send(Event::CallerGone { request });
        }
    }
}

fn path_at_target(uri: &http::Uri, pool: &str) -> String {
    let prefix = format!("/svc/{pool}");
    let full_path = uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let rest = full_path.strip_prefix(&prefix).unwrap_or(full_path);
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

fn describe(
    server: &Server,
    headers: &HeaderMap,
    pool: &str,
    request: &BufferedRequest,
) -> Result<Call, Kind> {
    let text = |name: &str| -> Result<Option<String>, Kind> {
        let Some(value) = headers.get(name) else {
            return Ok(None);
        };
        let value = value.to_str().map_err(|_| Kind::Malformed)?;
        let fits = !value.is_empty() && value.len() <= MAX_KEY_BYTES;
        fits.then(|| Some(value.to_owned())).ok_or(Kind::Malformed)
    };
    Ok(Call {
        pool: pool.to_owned(),
        // RFC 9110 also defines PUT and DELETE as idempotent, but not all
        // services behind this one honour that. Only safe methods are repeated
        // without an idempotency key.
        idempotent: matches!(request.method, Method::GET | Method::HEAD | Method::OPTIONS),
        key: text("idempotency-key")?,
        home: text("hollywell-home")?,
        digest: digest(pool, request),
        timeout_ms: server.timeout_ms(headers)?,
    })
}

fn digest(pool: &str, request: &BufferedRequest) -> u64 {
    let mut hash = Xxh3::new();
    for part in [pool.as_bytes(), request.method.as_str().as_bytes(), request.path.as_bytes()] {
        hash.update(part);
        hash.update(&[0]);
    }
    hash.update(&request.body);
    hash.digest()
}

fn into_http(buffered: BufferedResponse) -> Response<Body> {
    let mut response = Response::new(full_body(buffered.body));
    *response.status_mut() =
        StatusCode::from_u16(buffered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = buffered.headers;
    response
}

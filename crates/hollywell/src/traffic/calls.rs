//! Calls to plain services: `/svc/{pool}/{path at the target}`.

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

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Answers a call.
pub(super) async fn call(
    server: &Server,
    request: Request<Incoming>,
    pool: &str,
    arrived: Time,
) -> Response<Body> {
    let earliest = server.watchdog.earliest_arrival(arrived);
    let (head, body) = request.into_parts();
    let read = server.read_body(body).await;
    let prepared = read.and_then(|body| {
        let path = path_at_target(&head.uri, pool);
        let sent =
            BufferedRequest { method: head.method, path, headers: end_to_end(&head.headers), body };
        let call = describe(server, &head.headers, pool, &sent)?;
        Ok((call, sent))
    });
    let (call, sent) = match prepared {
        Ok(prepared) => prepared,
        Err(kind) => return server.refusal(kind, arrived),
    };
    let keyed = call.key.is_some();
    let (number, replied) = server.registry.register(sent);
    let mut guard = Guard { server, request: Some(number) };
    let event = Event::Call { request: number, arrived: earliest, call };
    if server.control.try_send(event).is_err() {
        let kind = if keyed { Kind::Unverified } else { Kind::Overloaded };
        return server.refusal(kind, arrived);
    }
    let replied = replied.await;
    guard.request = None;
    match replied {
        Ok(RequestOutcome::Response { response, .. }) => {
            let took = Duration::from_millis(server.clock.now().since(arrived));
            server.metrics.answered(took);
            log::debug!("request {}: answered {} in {took:?}", number.0, response.status);
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

/// Tells the reducer that the caller has gone, if the answer is not out when
/// this is dropped.
struct Guard<'a> {
    server: &'a Server,
    request: Option<id::Request>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            // If the queue is full the reducer answers into the void later.
            let _full = self.server.control.try_send(Event::CallerGone { request });
        }
    }
}

fn path_at_target(uri: &http::Uri, pool: &str) -> String {
    let prefix = format!("/svc/{pool}");
    let whole = uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let rest = whole.strip_prefix(&prefix).unwrap_or(whole);
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

fn describe(
    server: &Server,
    headers: &HeaderMap,
    pool: &str,
    sent: &BufferedRequest,
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
        // RFC 9110 calls PUT and DELETE idempotent too, but the services
        // behind us say otherwise of some: only what changes nothing may be
        // repeated without a key.
        idempotent: matches!(sent.method, Method::GET | Method::HEAD | Method::OPTIONS),
        key: text("idempotency-key")?,
        home: text("hollywell-home")?,
        digest: digest(pool, sent),
        timeout_ms: server.timeout_ms(headers)?,
    })
}

fn digest(pool: &str, sent: &BufferedRequest) -> u64 {
    let mut hash = Xxh3::new();
    for part in [pool.as_bytes(), sent.method.as_str().as_bytes(), sent.path.as_bytes()] {
        hash.update(part);
        hash.update(&[0]);
    }
    hash.update(&sent.body);
    hash.digest()
}

fn into_http(buffered: BufferedResponse) -> Response<Body> {
    let mut response = Response::new(full_body(buffered.body));
    *response.status_mut() =
        StatusCode::from_u16(buffered.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = buffered.headers;
    response
}

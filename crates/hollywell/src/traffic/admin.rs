//! Endpoints for operators: status, and edits of the table of trainers.

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::{
    registry::{BufferedRequest, RequestOutcome},
    server::{Body, Server, json},
};
use crate::{
    core::{
        event::Event,
        table::{Edit, Outcome},
    },
    error::Kind,
};

/// Maximum weight of a row.
const MAX_WEIGHT: u32 = 1_000_000;

/// Handles a request to `/admin/...`.
pub(super) async fn handle(
    server: &Server,
    request: Request<Incoming>,
    parts: &[&str],
) -> Response<Body> {
    let arrived = server.clock.now();
    let method = request.method().clone();
    match (&method, parts) {
        (&Method::GET, ["admin", "status"]) => json(StatusCode::OK, server.control.view().as_ref()),
        (&Method::GET, ["admin", "edits", id]) => outcome(server, id),
        (&Method::POST, ["admin", "edits"]) => edit(server, request).await,
        _ => server.refusal(Kind::NoRoute, arrived),
    }
}

fn outcome(server: &Server, id: &str) -> Response<Body> {
    match server.control.view().outcomes.get(id) {
        Some(outcome) => json(StatusCode::OK, outcome),
        None => json(StatusCode::NOT_FOUND, &"no such edit is known here; ask again later"),
    }
}

async fn edit(server: &Server, request: Request<Incoming>) -> Response<Body> {
    let arrived = server.clock.now();
    let body = match server.read_body(request.into_body()).await {
        Ok(body) => body,
        Err(kind) => return server.refusal(kind, arrived),
    };
    let Some(edit) = serde_json::from_slice::<Edit>(&body).ok().filter(is_valid) else {
        return server.refusal(Kind::Malformed, arrived);
    };
    // An edit has no request to pass on to a target.
    let empty = BufferedRequest {
        method: Method::POST,
        path: String::new(),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
    };
    let (number, outcome) = server.registry.register(empty);
    if server.control.try_send(Event::Edit { request: number, edit }).is_err() {
        server.registry.discard(number);
        return server.refusal(Kind::Overloaded, arrived);
    }
    match outcome.await {
        Ok(RequestOutcome::Edited(outcome @ Outcome::Accepted { .. })) => {
            json(StatusCode::OK, &outcome)
        }
        Ok(RequestOutcome::Edited(outcome)) => json(StatusCode::CONFLICT, &outcome),
        Ok(RequestOutcome::Refused { kind, .. }) => server.refusal(kind, arrived),
        Ok(RequestOutcome::Response { .. }) | Err(_) => server.refusal(Kind::Internal, arrived),
    }
}

fn is_valid(edit: &Edit) -> bool {
    let has_names = !edit.id.is_empty() && !edit.trainer.is_empty() && !edit.by.is_empty();
    let row_fits = edit.row.as_ref().is_none_or(|row| {
        row.trainer == edit.trainer && (1..=MAX_WEIGHT).contains(&row.weight) && row.in_flight >= 1
    });
    has_names && row_fits
}

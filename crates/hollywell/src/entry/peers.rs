//! Requests between instances: the client's calls and the server.
//!
//! Peers use HTTP/1.1 with protocol buffers as bodies, over the connection pool
//! that exists anyway. gRPC, which is used between `serve` instances, would add
//! a second server to a process whose memory is priced.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use rand::seq::IndexedRandom as _;
use tokio::{net::TcpListener, time::timeout};

use crate::{
    core::roster,
    entry::{
        configuration, departures, ends, exchange::IncomingResponse, feed, interest, listener,
        member, relay, shared::Shared, suspects, unidentified_ends, usage,
    },
};

/// Timeout of a message to a peer. An unconfirmed message is sent again
/// by the modules that need the confirmation.
const POST_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a peer's message, and of the response to one, in bytes: some
/// hundred ids.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Sends a message to a member of the group.
///
/// # Errors
///
/// Why the member may not have received it.
pub(super) async fn post(
    shared: &Shared,
    member: &str,
    path: &str,
    body: Bytes,
) -> Result<(), String> {
    let status = exchange(shared, member, path, body).await?;
    if status == StatusCode::OK { Ok(()) } else { Err(status.to_string()) }
}

/// Sends a message to a member of the group, and returns the status of the response.
///
/// # Errors
///
/// Why there is no response.
pub(super) async fn exchange(
    shared: &Shared,
    member: &str,
    path: &str,
    body: Bytes,
) -> Result<StatusCode, String> {
    let answer = send(shared, member, Request::post(path), body, POST_TIMEOUT).await?;
    let status = answer.head.status;
    // Read to its end, so that the connection can be reused.
    let read = answer.read_body(MAX_MESSAGE_BYTES, POST_TIMEOUT).await;
    read.map_err(|error| error.to_string())?;
    Ok(status)
}

/// Sends a GET request to a member of the group; `limit` is the timeout of the
/// response's head.
///
/// # Errors
///
/// Why there is no response.
pub(super) async fn get(
    shared: &Shared,
    member: &str,
    path: &str,
    limit: Duration,
) -> Result<IncomingResponse, String> {
    send(shared, member, Request::get(path), Bytes::new(), limit).await
}

async fn send(
    shared: &Shared,
    member: &str,
    request: http::request::Builder,
    body: Bytes,
    limit: Duration,
) -> Result<IncomingResponse, String> {
    let address = roster::address(member).ok_or("no address in its name")?;
    let request = request.header(http::header::HOST, address.to_string()).body(Full::new(body));
    let request = request.map_err(|error| error.to_string())?;
    shared.pool.send(address, request, limit).await.map_err(|error| error.to_string())
}

/// Up to `max` other members of the group, chosen at random.
pub(super) fn random_peers(shared: &Shared, max: usize) -> Vec<String> {
    let control = shared.control.borrow();
    let others = control.roster.members().iter().filter(|member| **member != shared.instance_id);
    let others: Vec<&String> = others.collect();
    others.choose_multiple(&mut rand::rng(), max).map(|peer| (*peer).clone()).collect()
}

/// Asks up to `max` other members, chosen at random, at the same time, and waits
/// until all are done.
pub(super) async fn ask_random<A>(
    shared: &Rc<Shared>,
    max: usize,
    ask: impl Fn(Rc<Shared>, String) -> A,
) where
    A: Future<Output = ()> + 'static,
{
    let peers = random_peers(shared, max).into_iter();
    let tasks: Vec<_> =
        peers.map(|peer| tokio::task::spawn_local(ask(shared.clone(), peer))).collect();
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("a task that asks a peer failed: {error}");
        }
    }
}

/// Serves peers until the process ends.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let limit = shared.limits.peer_connections;
    listener::serve(shared, listener, limit, respond).await;
}

async fn respond(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match *request.method() {
        Method::POST if path == ends::PATH => ends::receive(shared, request).await,
        Method::POST if path == unidentified_ends::PATH => {
            unidentified_ends::receive(shared, request).await
        }
        Method::POST if path == interest::PATH => interest::receive(shared, request).await,
        Method::POST if path == suspects::PATH => suspects::receive(shared, request).await,
        Method::POST if path == suspects::PERMIT_PATH => {
            suspects::receive_permit_request(shared, request).await
        }
        Method::POST if path == usage::PATH => usage::receive(shared, request).await,
        Method::GET if path == ends::PATH => ends::respond(shared),
        Method::GET if path.starts_with(feed::PATH) => feed::respond(shared, &path).await,
        Method::GET if path.starts_with(relay::PATH) => relay::respond(shared, &path).await,
        Method::GET if path.starts_with(relay::HELD_PATH) => relay::respond_held(shared, &path),
        Method::GET if path.starts_with(member::PATH) => member::respond(shared, &path).await,
        Method::GET if path.starts_with(configuration::PATH) => {
            configuration::respond(shared, &path)
        }
        Method::GET if path.starts_with(departures::PATH) => departures::respond(shared, &path),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

/// A response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Decodes the body of a peer's request.
///
/// # Errors
///
/// The status to answer with if the body cannot be read or decoded.
pub(super) async fn decode_body<T>(request: Request<Incoming>) -> Result<T, StatusCode>
where
    T: prost::Message + Default,
{
    let path = request.uri().path().to_owned();
    // The sender gives up after that.
    let body =
        timeout(POST_TIMEOUT, Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect());
    let body = body.await.map_err(|_| {
        log::info!("a peer's message on {path} did not arrive in time");
        StatusCode::REQUEST_TIMEOUT
    })?;
    let body = body.map_err(|error| {
        log::info!("a peer's message on {path} was cut short: {error}");
        StatusCode::BAD_REQUEST
    })?;
    T::decode(body.to_bytes()).map_err(|error| {
        log::warn!("a peer's message on {path} cannot be decoded: {error}");
        StatusCode::BAD_REQUEST
    })
}

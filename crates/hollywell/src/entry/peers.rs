//! What other instances ask of this one.
//!
//! Peers speak HTTP/1.1 with a protocol buffer as the body, over the
//! connections that exist anyway. gRPC, which the project uses between `serve`
//! instances, would bring a second server into a process whose memory is
//! priced.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::seq::IndexedRandom as _;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    core::roster,
    entry::{
        configuration, ends, exchange::IncomingResponse, feed, member, relay, shared::Shared,
        suspects, usage,
    },
};

/// How long a peer's connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time that telling a peer may take. It is told again where it did not
/// confirm.
const POST_TIMEOUT: Duration = Duration::from_millis(600);
/// Most bytes of a peer's word, and of the answer to one: some hundred ids.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Tells a member of the group something.
///
/// # Errors
///
/// Why it may not have taken it.
pub(super) async fn post(
    shared: &Shared,
    member: &str,
    path: &str,
    body: Bytes,
) -> Result<(), String> {
    let answer = send(shared, member, Request::post(path), body, POST_TIMEOUT).await?;
    let status = answer.head.status;
    // Read to its end, so that the connection can be kept.
    let read = answer.read_body(MAX_MESSAGE_BYTES, POST_TIMEOUT).await;
    read.map_err(|error| error.to_string())?;
    if status == StatusCode::OK { Ok(()) } else { Err(status.to_string()) }
}

/// Asks a member of the group for something; `limit` is how long the head of
/// its answer may take.
///
/// # Errors
///
/// Why there is no answer.
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

/// Some of the other members of the group, so many at most.
pub(super) fn random_peers(shared: &Shared, max: usize) -> Vec<String> {
    let control = shared.control.borrow();
    let others = control.roster.members().iter().filter(|member| **member != shared.instance_id);
    let others: Vec<&String> = others.collect();
    others.choose_multiple(&mut rand::rng(), max).map(|peer| (*peer).clone()).collect()
}

/// Serves peers until the process ends.
pub async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(shared.clone(), stream));
            }
            Err(error) => {
                log::warn!("accepting a peer's connection: {error}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection(shared: Rc<Shared>, stream: TcpStream) {
    let service = service_fn(|request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(&shared, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("a peer's connection ended: {error}");
    }
}

async fn respond(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match *request.method() {
        Method::POST if path == ends::PATH => ends::receive(shared, request).await,
        Method::POST if path == suspects::PATH => suspects::receive(shared, request).await,
        Method::POST if path == suspects::PERMIT_PATH => {
            suspects::receive_permit_request(shared, request).await
        }
        Method::POST if path == usage::PATH => usage::receive(shared, request).await,
        Method::GET if path.starts_with(feed::PATH) => feed::respond(shared, &path).await,
        Method::GET if path.starts_with(relay::PATH) => relay::respond(shared, &path).await,
        Method::GET if path.starts_with(member::PATH) => member::respond(shared, &path).await,
        Method::GET if path.starts_with(configuration::PATH) => {
            configuration::respond(shared, &path)
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

/// An answer without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// What a peer tells.
///
/// # Errors
///
/// What it is to be answered, where that cannot be read.
pub(super) async fn decode_body<T>(request: Request<Incoming>) -> Result<T, StatusCode>
where
    T: prost::Message + Default,
{
    let path = request.uri().path().to_owned();
    let body =
        Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await.map_err(|error| {
            log::info!("a peer's word on {path} was cut short: {error}");
            StatusCode::BAD_REQUEST
        })?;
    T::decode(body.to_bytes()).map_err(|error| {
        log::warn!("a peer's word on {path} cannot be read: {error}");
        StatusCode::BAD_REQUEST
    })
}

//! gRPC server for other instances.

use std::{future::Future, net::SocketAddr};

use http::Method;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

use super::{
    from_wire,
    generated::{
        Ack, ForwardReply, ForwardRequest, Packet,
        peer_server::{Peer, PeerServer},
    },
    to_wire,
};
use crate::{
    control::Handle,
    core::{
        event::{Event, Forward, ForwardResult},
        id::Instance,
    },
    error::Kind,
    traffic::registry::{BufferedRequest, Registry, RequestOutcome},
};

struct Service {
    control: Handle,
    registry: Registry,
}

/// Serves peers until `stop` completes and all calls in flight are answered.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve(
    listener: TcpListener,
    control: Handle,
    registry: Registry,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let service = PeerServer::new(Service { control, registry })
        .max_decoding_message_size(usize::MAX)
        .max_encoding_message_size(usize::MAX);
    let incoming = TcpListenerStream::new(listener);
    Server::builder().add_service(service).serve_with_incoming_shutdown(incoming, stop).await
}

/// Binds the listener for peers.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

#[tonic::async_trait]
impl Peer for Service {
    async fn exchange(&self, request: Request<Packet>) -> Result<Response<Ack>, Status> {
        let packet = request.into_inner();
        let message = serde_json::from_slice(&packet.message)
            .map_err(|error| Status::invalid_argument(format!("not a message: {error}")))?;
        let from = Instance::new(&packet.name, packet.incarnation);
        let event = Event::Peer { from, message };
        self.control.try_send(event).map_err(|_| Status::resource_exhausted("queue is full"))?;
        Ok(Response::new(Ack {}))
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let request = request.into_inner();
        let forward: Forward = serde_json::from_slice(&request.forward)
            .map_err(|error| Status::invalid_argument(format!("not a forward: {error}")))?;
        let method = Method::from_bytes(request.method.as_bytes())
            .map_err(|error| Status::invalid_argument(format!("not a method: {error}")))?;
        let buffered = BufferedRequest {
            method,
            path: request.path,
            headers: from_wire(&request.headers),
            body: request.body.into(),
        };
        let (number, outcome) = self.registry.register(buffered);
        let event = Event::Forwarded { request: number, forward };
        if self.control.try_send(event).is_err() {
            self.registry.discard(number);
            return Err(Status::resource_exhausted("queue is full"));
        }
        let outcome = outcome.await.map_err(|_| Status::aborted("the instance stops"))?;
        Ok(Response::new(to_reply(outcome)))
    }
}

fn to_reply(outcome: RequestOutcome) -> ForwardReply {
    let (refused, reading, response) = match outcome {
        RequestOutcome::Response { response, reading } => (None, reading, Some(response)),
        RequestOutcome::Refused { kind, reading } => (Some(kind), reading, None),
        RequestOutcome::Edited(_) => (Some(Kind::Internal), None, None),
    };
    let result = serde_json::to_vec(&ForwardResult { refused, reading }).unwrap_or_default();
    let response = response.unwrap_or_default();
    ForwardReply {
        result,
        status: u32::from(response.status),
        headers: to_wire(&response.headers),
        body: response.body.to_vec(),
    }
}

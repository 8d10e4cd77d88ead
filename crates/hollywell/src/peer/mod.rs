//! gRPC transport between instances.
//!
//! Control messages are sent without acknowledgement; the reducer repeats those
//! that must not be lost. Their meaning is documented at
//! [`crate::core::event::Message`].

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use tonic::transport::{Channel, Endpoint};

use crate::{
    core::{
        event::{Forward, ForwardResult, Message},
        id::Instance,
    },
    traffic::registry::{BufferedRequest, BufferedResponse},
};

// Kept exactly as generated, so that CI can check that it is up to date.
#[rustfmt::skip]
#[allow(missing_docs, unreachable_pub, clippy::all)]
mod generated;
pub mod server;

use generated::{ForwardRequest, Header, Packet, peer_client::PeerClient};

/// Timeout of a control message.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client for peers, with one connection to each.
#[derive(Clone, Debug, Default)]
pub struct Client {
    channels: Arc<Mutex<HashMap<String, Channel>>>,
}

impl Client {
    /// Creates a client without connections. It must be used within a tokio runtime.
    #[must_use]
    pub fn new() -> Client {
        Client::default()
    }

    fn channel(&self, address: &str) -> Option<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Some(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy();
        channels.insert(address.to_owned(), channel.clone());
        Some(channel)
    }

    /// Sends a control message, which may be lost.
    pub async fn send(&self, from: &Instance, address: &str, message: &Message) {
        let Some(channel) = self.channel(address) else {
            return;
        };
        let Ok(message) = serde_json::to_vec(message) else {
            return;
        };
        let packet = Packet { name: from.name.clone(), incarnation: from.incarnation, message };
        let mut client = PeerClient::new(channel).max_decoding_message_size(usize::MAX);
        let sent = tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(packet)).await;
        if let Ok(Err(status)) = sent {
            log::debug!("message to {address} lost: {}", status.message());
        }
    }

    /// Forwards a call to the owner of its key and returns the owner's result, with
    /// the target's response if there is one.
    ///
    /// Returns `None` without a complete reply; the owner may still have received
    /// the call.
    pub async fn forward(
        &self,
        address: &str,
        forward: &Forward,
        buffered: &BufferedRequest,
        timeout: Duration,
    ) -> Option<(ForwardResult, Option<BufferedResponse>)> {
        let request = ForwardRequest {
            name: forward.owner.name.clone(),
            incarnation: forward.owner.incarnation,
            forward: serde_json::to_vec(forward).ok()?,
            method: buffered.method.to_string(),
            path: buffered.path.clone(),
            headers: to_wire(&buffered.headers),
            body: buffered.body.to_vec(),
        };
        let channel = self.channel(address)?;
        let mut client = PeerClient::new(channel).max_decoding_message_size(usize::MAX);
        let exchange = tokio::time::timeout(timeout, client.forward(request)).await;
        let reply = exchange.ok()?.ok()?.into_inner();
        let result: ForwardResult = serde_json::from_slice(&reply.result).ok()?;
        let response = match result.refused {
            Some(_) => None,
            None => Some(BufferedResponse {
                status: u16::try_from(reply.status).ok()?,
                headers: from_wire(&reply.headers),
                body: Bytes::from(reply.body),
            }),
        };
        Some((result, response))
    }
}

fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn from_wire(headers: &[Header]) -> HeaderMap {
    let parse = |header: &Header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        Some((name, value))
    };
    headers.iter().filter_map(parse).collect()
}

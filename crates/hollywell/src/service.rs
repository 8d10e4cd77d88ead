//! Client for plain services, which determines from the response whether a request
//! was executed.

use std::time::Duration;

use http::Request;

use crate::{
    core::event::End,
    http::{Client, Error, build, uri},
    traffic::registry::{BufferedRequest, BufferedResponse},
};

/// Response header by which a target states that it did not execute the request.
pub const NOT_RUN: &str = "x-not-run";
/// Response header by which a target announces that it is shutting down.
pub const LEAVING: &str = "x-leaving";

/// Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Result of one attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub end: End,
    /// The target's complete response, if there is one to pass on.
    pub response: Option<BufferedResponse>,
    /// True if the target announced that it is shutting down.
    pub leaving: bool,
}

/// Sends a request to the target at `address` and reads the complete response.
///
/// A response that is truncated or exceeds the limit results in [`End::Broken`],
/// because the target may have executed the request.
pub async fn send(
    client: &Client,
    address: &str,
    request: &BufferedRequest,
    max_response_bytes: usize,
    timeout: Duration,
) -> AttemptResult {
    let mut builder = Request::builder().method(&request.method).uri(uri(address, &request.path));
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    let outgoing = match build(builder, request.body.clone()) {
        Ok(outgoing) => outgoing,
        Err(_) => return AttemptResult { end: End::NotSent, response: None, leaving: false },
    };
    match client.fetch(outgoing, max_response_bytes, timeout).await {
        Ok(response) => classify(response),
        Err(Error::NotSent(cause)) => {
            log::debug!("target {address}: {cause}");
            AttemptResult { end: End::NotSent, response: None, leaving: false }
        }
        Err(error) => {
            log::info!("target {address}: {error}");
            AttemptResult { end: End::Broken, response: None, leaving: false }
        }
    }
}

fn classify(response: http::Response<bytes::Bytes>) -> AttemptResult {
    let (head, body) = response.into_parts();
    let leaving = head.headers.contains_key(LEAVING);
    if head.headers.contains_key(NOT_RUN) && !head.status.is_success() {
        return AttemptResult { end: End::NotRun, response: None, leaving };
    }
    let headers = end_to_end(&head.headers);
    let response = BufferedResponse { status: head.status.as_u16(), headers, body };
    AttemptResult { end: End::Answered, response: Some(response), leaving }
}

/// Returns the headers that are forwarded.
#[must_use]
pub fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let forwarded = headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

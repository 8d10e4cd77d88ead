//! Sending a request to a plain service, and telling from what comes back
//! whether it ran.

use std::time::Duration;

use http::Request;

use crate::{
    core::event::End,
    http::{Client, Error, build, uri},
    traffic::registry::{BufferedRequest, BufferedResponse},
};

/// Header by which a target says that it did not run a request.
pub const NOT_RUN: &str = "x-not-run";
/// Header by which a target says that it is leaving.
pub const LEAVING: &str = "x-leaving";

/// Headers that belong to one connection (RFC 9110, section 7.6.1) and are
/// not passed on.
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

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// What is known of it.
    pub end: End,
    /// The target's whole answer, if there is one to pass on.
    pub response: Option<BufferedResponse>,
    /// True if the target said that it is leaving.
    pub leaving: bool,
}

/// Sends a request to the target at `address` and reads the whole answer.
///
/// An answer counts only if it came whole and within the limit: a part of
/// one is [`End::Broken`], because the target may have run the request.
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

/// The headers that are passed on.
#[must_use]
pub fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let kept = headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

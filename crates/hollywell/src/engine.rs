//! Client for model engines: completions as server-sent events in the
//! OpenAI-compatible format, and orders to load weights.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::{
    account::Charge,
    core::{effect::Order, id::Dispatch, rollout::End, time::Time},
    http::{Client, Error, build, uri},
    traffic::registry::Prompt,
};

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response to an order, in bytes.
const MAX_ORDER_BYTES: usize = 64 << 10;
/// Maximum length of an incomplete line of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of a sample, in bytes.
const MAX_SAMPLE_BYTES: usize = 16 << 20;

/// Parameters of a completion besides the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateRequest {
    /// The attempt.
    pub dispatch: Dispatch,
    /// The engine's address.
    pub address: String,
    /// Priority in the engine's queue; lower values go first.
    pub priority: u8,
    /// Time by which the sample must be complete.
    pub deadline: Time,
}

/// A complete sample.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// The text.
    pub text: String,
    /// Weight versions that generated the sample, in order, without consecutive
    /// duplicates.
    pub versions: Vec<u64>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    weight_version: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

/// Requests a sample from an engine and reads the complete stream.
///
/// # Errors
///
/// [`End::Refused`] if the engine did not accept the request; [`End::Broken`] if
/// the stream ended early, was malformed, or had a chunk with text but without a
/// version.
pub async fn generate(
    client: &Client,
    generate: &GenerateRequest,
    trainer: &str,
    prompt: &Prompt,
    timeout: Duration,
) -> Result<Sample, End> {
    let body = serde_json::json!({
        "model": trainer,
        "prompt": prompt.text,
        "max_tokens": prompt.max_tokens,
        "priority": generate.priority,
        "stream": true,
    });
    let builder = Request::post(uri(&generate.address, "/v1/completions"))
        .header("content-type", "application/json");
    let request = build(builder, Bytes::from(body.to_string())).map_err(|_| End::Refused)?;
    let exchange = async {
        let response = client.open(request).await.map_err(|error| match error {
            Error::NotSent(_) => End::Refused,
            _ => End::Broken,
        })?;
        if !response.status().is_success() {
            return Err(End::Refused);
        }
        read_stream(response.into_body(), client.charge()).await
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(End::Broken))
}

async fn read_stream(mut body: Incoming, mut charge: Charge) -> Result<Sample, End> {
    let mut reader = Reader::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| End::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        reader.push(data)?;
        let held = reader.held();
        charge.shrink_to(held);
        if !charge.try_grow(held - charge.held()) {
            log::info!("no memory for a stream of an engine after {held} bytes");
            return Err(End::Broken);
        }
        if reader.done {
            return reader.finish();
        }
    }
    Err(End::Broken)
}

/// Parser of a completion's server-sent events (WHATWG HTML, section 9.2).
#[derive(Debug, Default)]
pub struct Reader {
    pending: Vec<u8>,
    sample: Sample,
    finished: bool,
    done: bool,
}

impl Reader {
    /// Parses the next part of the stream.
    ///
    /// # Errors
    ///
    /// [`End::Broken`] if the stream is malformed or too large.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::{core::rollout::End, engine::Reader};
    ///
    /// let mut reader = Reader::default();
    /// let chunk = r#"{"choices":[{"text":"a"}],"weight_version":4}"#;
    /// reader.push(format!("data: {chunk}\n\nda").as_bytes())?;
    /// // The stream ended before its end marker, so the sample is incomplete.
    /// assert_eq!(reader.finish(), Err(End::Broken));
    /// # Ok::<(), End>(())
    /// ```
    pub fn push(&mut self, data: &[u8]) -> Result<(), End> {
        self.pending.extend_from_slice(data);
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            let line = std::str::from_utf8(&line).map_err(|_| End::Broken)?;
            self.parse_line(line.trim_end())?;
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(End::Broken),
            false => Ok(()),
        }
    }

    /// Memory that it takes, in bytes.
    fn held(&self) -> usize {
        let versions = self.sample.versions.capacity() * size_of::<u64>();
        self.pending.capacity() + self.sample.text.capacity() + versions
    }

    fn parse_line(&mut self, line: &str) -> Result<(), End> {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            return Ok(());
        };
        if data == "[DONE]" {
            self.done = true;
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_str(data).map_err(|_| End::Broken)?;
        for choice in &chunk.choices {
            self.sample.text.push_str(&choice.text);
            self.finished |= choice.finish_reason.is_some();
            let version = match chunk.weight_version {
                Some(version) => version,
                None if choice.text.is_empty() => continue,
                None => return Err(End::Broken),
            };
            if self.sample.versions.last() != Some(&version) {
                self.sample.versions.push(version);
            }
        }
        match self.sample.text.len() > MAX_SAMPLE_BYTES {
            true => Err(End::Broken),
            false => Ok(()),
        }
    }

    /// Returns the complete sample.
    ///
    /// # Errors
    ///
    /// [`End::Broken`] if the stream has not marked its end.
    pub fn finish(self) -> Result<Sample, End> {
        match self.done && self.finished {
            true => Ok(self.sample),
            false => Err(End::Broken),
        }
    }
}

/// Sends an order to an engine and returns true if the engine accepted it.
pub async fn order(client: &Client, address: &str, order: &Order) -> bool {
    let Ok(body) = serde_json::to_vec(order) else {
        return false;
    };
    let sent = client.post(address, "/orders", body, MAX_ORDER_BYTES, ORDER_TIMEOUT).await;
    match sent {
        Ok(response) if response.status().is_success() => true,
        Ok(response) => {
            log::info!("engine {address} refused an order: status {}", response.status());
            false
        }
        Err(error) => {
            log::info!("order to engine {address} failed: {error}");
            false
        }
    }
}

//! Steps: a trainer opens a step with a POST request, and the response streams its
//! samples as lines of JSON.

use std::{collections::HashMap, convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::{StreamExt as _, wrappers::ReceiverStream};

use super::{
    registry::{OpenStep, Prompt, Registry},
    server::{Body, Server},
};
use crate::{
    core::{
        event::Event,
        id::{self, Dispatch},
        rollout::{Group, Opening, Slot},
    },
    error::Kind,
};

/// Maximum number of samples in one request.
const MAX_SAMPLES: usize = 65_536;
/// Maximum number of tokens to generate if the trainer names none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A step as a trainer posts it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepBody {
    /// The trainer.
    pub trainer: String,
    /// Number of the step, assigned by the trainer.
    pub step: u64,
    /// Attempt number, which the trainer increments each time it opens this step.
    #[serde(default)]
    pub attempt: u32,
    /// Newest weight version that the trainer has published.
    #[serde(default)]
    pub version: u64,
    /// How long the trainer waits, in milliseconds.
    pub timeout_ms: u64,
    /// The requested groups.
    pub groups: Vec<GroupBody>,
}

/// A group as a trainer posts it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupBody {
    /// Number of the group, assigned by the trainer.
    pub group: u32,
    /// The prompt that the group's samples share.
    pub prompt: String,
    /// Number of samples in the group.
    pub samples: u32,
    /// Indices of samples that the trainer already has.
    #[serde(default)]
    pub have: Vec<u32>,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
}

/// One line of a step's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// A sample.
    Sample {
        /// Its group.
        group: u32,
        /// Its index in the group.
        index: u32,
        /// Weight versions that generated the sample, in order.
        versions: Vec<u64>,
        /// Its text.
        text: String,
    },
    /// The last line.
    End {
        /// Number of samples that were not delivered.
        missing: usize,
        /// Why the stream ends, if the step is incomplete.
        kind: Option<Kind>,
        /// Time after which to open the step again, in seconds.
        retry_after_s: Option<u32>,
    },
}

/// Handles a request to open a step.
pub(super) async fn open(server: &Server, request: Request<Incoming>) -> Response<Body> {
    let arrived = server.clock.now();
    let body = match server.read_body(request.into_body()).await {
        Ok(body) => body,
        Err(kind) => return server.refusal(kind, arrived),
    };
    let Ok(step) = serde_json::from_slice::<StepBody>(&body) else {
        return server.refusal(Kind::Malformed, arrived);
    };
    if let Some(kind) = refusal(server, &step) {
        return server.refusal(kind, arrived);
    }
    let opening = opening(&step);
    let max_lines = opening.groups.iter().map(|group| group.missing.len()).sum::<usize>() + 1;
    let (lines, stream) = mpsc::channel(max_lines);
    let number = server.registry.next_request();
    let open_step = OpenStep { trainer: step.trainer.clone(), prompts: prompts(&step), lines };
    server.registry.open_step(number, open_step);
    if server.control.try_send(Event::StepOpened { request: number, opening }).is_err() {
        let _step = server.registry.close_step(number);
        return server.refusal(Kind::Overloaded, arrived);
    }
    let guard = CancelGuard { server: server.clone(), request: number };
    respond(stream, guard)
}

/// Returns the reason to refuse a step with a status before its stream begins.
fn refusal(server: &Server, step: &StepBody) -> Option<Kind> {
    let view = server.control.view();
    let samples: usize = step.groups.iter().map(|group| group.samples as usize).sum();
    let known = view.table.iter().any(|row| row.row.trainer == step.trainer);
    let mut numbers: Vec<u32> = step.groups.iter().map(|group| group.group).collect();
    numbers.sort_unstable();
    let repeated = numbers.windows(2).any(|pair| pair[0] == pair[1]);
    if samples == 0 || samples > MAX_SAMPLES || step.timeout_ms == 0 || repeated {
        Some(Kind::Malformed)
    } else if view.draining {
        Some(Kind::Draining)
    } else if !known {
        Some(Kind::UnknownTrainer)
    } else {
        None
    }
}

fn opening(step: &StepBody) -> Opening {
    let group = |group: &GroupBody| Group {
        group: group.group,
        missing: (0..group.samples).filter(|index| !group.have.contains(index)).collect(),
    };
    Opening {
        trainer: step.trainer.clone(),
        step: step.step,
        attempt: step.attempt,
        version: step.version,
        groups: step.groups.iter().map(group).collect(),
        timeout_ms: step.timeout_ms,
    }
}

fn prompts(step: &StepBody) -> Arc<HashMap<u32, Prompt>> {
    let prompt = |group: &GroupBody| {
        let max_tokens = group.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        (group.group, Prompt { text: group.prompt.clone(), max_tokens })
    };
    Arc::new(step.groups.iter().map(prompt).collect())
}

/// Reports to the reducer that the trainer has disconnected if its stream is
/// dropped before the step has ended.
struct CancelGuard {
    server: Server,
    request: id::Request,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.server.registry.close_step(self.request).is_some() {
            let event = Event::CallerGone { request: self.request };
            let _full = self.server.control.try_send(event);
        }
    }
}

fn respond(stream: mpsc::Receiver<Bytes>, guard: CancelGuard) -> Response<Body> {
    let frames = ReceiverStream::new(stream).map(move |line| {
        // The stream owns the guard, so that both are dropped together.
        let _guard = &guard;
        Ok::<_, Infallible>(Frame::data(line))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn write(lines: &mpsc::Sender<Bytes>, line: &Line) -> bool {
    let Ok(mut bytes) = serde_json::to_vec(line) else {
        return false;
    };
    bytes.push(b'\n');
    // The channel has capacity for every line of the step. A failure means that
    // the trainer has disconnected, which the dropped stream reports.
    lines.try_send(Bytes::from(bytes)).is_ok()
}

/// Sends a sample to its trainer.
pub(super) fn deliver(
    registry: &Registry,
    request: id::Request,
    dispatch: Dispatch,
    slot: Slot,
    versions: &[u64],
) {
    let (Some(step), Some(text)) = (registry.step(request), registry.take_sample(dispatch)) else {
        return;
    };
    let (group, index) = (slot.group, slot.index);
    let line = Line::Sample { group, index, versions: versions.to_vec(), text };
    if !write(&step.lines, &line) {
        log::info!("step {} of {}: trainer has disconnected", request.0, step.trainer);
    }
}

/// Ends a step's stream.
pub(super) fn end(registry: &Registry, request: id::Request, missing: usize, kind: Option<Kind>) {
    let Some(step) = registry.close_step(request) else {
        return;
    };
    let retry_after_s = kind.and_then(|kind| kind.answer().retry_after_s);
    write(&step.lines, &Line::End { missing, kind, retry_after_s });
}

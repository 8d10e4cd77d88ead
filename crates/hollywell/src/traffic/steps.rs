//! Steps: a trainer opens one with a POST, and samples stream back as lines
//! of JSON over the answer.

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

/// Most samples that one opening may ask for.
const MAX_SAMPLES: usize = 65_536;
/// Tokens to generate where the trainer does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A step as a trainer posts it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepBody {
    /// The trainer.
    pub trainer: String,
    /// The trainer's number for the step.
    pub step: u64,
    /// Counts how often the trainer opened this step.
    #[serde(default)]
    pub attempt: u32,
    /// The newest version that the trainer has published.
    #[serde(default)]
    pub version: u64,
    /// How long it waits, in milliseconds.
    pub timeout_ms: u64,
    /// What it wants.
    pub groups: Vec<GroupBody>,
}

/// A group as a trainer posts it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupBody {
    /// The trainer's number for the group.
    pub group: u32,
    /// The prompt that its samples share.
    pub prompt: String,
    /// Number of samples in it.
    pub samples: u32,
    /// Indices that the trainer has already.
    #[serde(default)]
    pub have: Vec<u32>,
    /// Tokens to generate at most.
    pub max_tokens: Option<u32>,
}

/// One line of a step's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// A sample.
    Sample {
        /// Its group.
        group: u32,
        /// Its index in the group.
        index: u32,
        /// The weight versions that produced it, in order.
        versions: Vec<u64>,
        /// Its text.
        text: String,
    },
    /// The last line.
    End {
        /// Samples that did not come.
        missing: usize,
        /// Why the stream ends, if the step is not whole.
        kind: Option<Kind>,
        /// When to open the step again, in seconds.
        retry_after_s: Option<u32>,
    },
}

/// Opens a step.
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
    let room = opening.groups.iter().map(|group| group.missing.len()).sum::<usize>() + 1;
    let (lines, stream) = mpsc::channel(room);
    let number = server.registry.next_request();
    let open_step = OpenStep { trainer: step.trainer.clone(), prompts: prompts(&step), lines };
    server.registry.open_step(number, open_step);
    if server.control.try_send(Event::StepOpened { request: number, opening }).is_err() {
        let _step = server.registry.close_step(number);
        return server.refusal(Kind::Overloaded, arrived);
    }
    let watch = Watch { server: server.clone(), request: number };
    respond(stream, watch)
}

/// Faults that can be answered with a status, before the stream begins.
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

/// Tells the reducer that a trainer has gone when its stream is dropped.
struct Watch {
    server: Server,
    request: id::Request,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.server.registry.close_step(self.request).is_some() {
            let event = Event::CallerGone { request: self.request };
            let _full = self.server.control.try_send(event);
        }
    }
}

fn respond(stream: mpsc::Receiver<Bytes>, watch: Watch) -> Response<Body> {
    let frames = ReceiverStream::new(stream).map(move |line| {
        // The stream owns the watch, so that it is dropped with it.
        let _watched = &watch;
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
    // There is room for every line of the step; a failure means that the
    // trainer has gone, which the dropped stream reports.
    lines.try_send(Bytes::from(bytes)).is_ok()
}

/// Passes a sample on to its trainer.
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
        log::info!("step {} of {}: trainer has gone", request.0, step.trainer);
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

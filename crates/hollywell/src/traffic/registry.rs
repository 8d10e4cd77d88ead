//! Bytes that wait for a decision: requests under their number, targets'
//! answers and samples under the dispatch that produced them.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{
    core::{
        id::{Dispatch, Request},
        member::Reading,
        rollout::Slot,
        table,
    },
    error::Kind,
};

/// A request's bytes, as a target is to get them.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// Path and query at the target.
    pub path: String,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A target's whole answer.
#[derive(Clone, Debug, Default)]
pub struct BufferedResponse {
    /// The status.
    pub status: u16,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What a request was answered with.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A target's answer.
    Response {
        /// The response.
        response: BufferedResponse,
        /// What this instance says of itself as an owner.
        reading: Option<Reading>,
    },
    /// A refusal.
    Refused {
        /// Why.
        kind: Kind,
        /// What this instance says of itself as an owner.
        reading: Option<Reading>,
    },
    /// What became of an edit.
    Edited(table::Outcome),
}

/// One group of a step, with its prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The prompt's text.
    pub text: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
}

/// An open step's prompts and the stream to its trainer.
#[derive(Clone, Debug)]
pub struct OpenStep {
    /// The trainer.
    pub trainer: String,
    /// Prompts by group.
    pub prompts: Arc<HashMap<u32, Prompt>>,
    /// Lines to the trainer.
    pub lines: mpsc::Sender<Bytes>,
}

#[derive(Debug, Default)]
struct Buffers {
    requests: HashMap<Request, (Arc<BufferedRequest>, oneshot::Sender<RequestOutcome>)>,
    relayed: HashMap<Request, BufferedResponse>,
    responses: HashMap<Dispatch, BufferedResponse>,
    /// The answers' dispatches in the order in which they came, those that
    /// were forgotten among them.
    insertion_order: VecDeque<Dispatch>,
    response_bytes: usize,
    steps: HashMap<Request, OpenStep>,
    samples: HashMap<Dispatch, String>,
    running: HashMap<Dispatch, Arc<Notify>>,
}

impl Buffers {
    fn drop_response(&mut self, dispatch: Dispatch) {
        if let Some(response) = self.responses.remove(&dispatch) {
            self.response_bytes -= response.body.len();
        }
    }
}

/// The bytes that one instance holds. Clones share them.
#[derive(Clone, Debug)]
pub struct Registry {
    buffers: Arc<Mutex<Buffers>>,
    last_request: Arc<AtomicU64>,
    max_response_bytes: usize,
}

impl Registry {
    /// A registry that keeps targets' answers of at most so many bytes in
    /// all. The oldest make room; a key whose answer is gone is answered
    /// "unknown" when it is sent again.
    #[must_use]
    pub fn new(max_response_bytes: usize) -> Registry {
        let (buffers, last_request) = Default::default();
        Registry { buffers, last_request, max_response_bytes }
    }

    fn lock(&self) -> MutexGuard<'_, Buffers> {
        // Every critical section is a single map operation, so a panic in
        // another thread cannot have left the maps half changed.
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for a new request.
    #[must_use]
    pub fn next_request(&self) -> Request {
        Request(self.last_request.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Holds a request until it is replied to.
    #[must_use]
    pub fn register(&self, sent: BufferedRequest) -> (Request, oneshot::Receiver<RequestOutcome>) {
        let request = self.next_request();
        let (reply, outcome) = oneshot::channel();
        self.lock().requests.insert(request, (Arc::new(sent), reply));
        (request, outcome)
    }

    /// The bytes of a request that is not replied to yet.
    #[must_use]
    pub fn request(&self, request: Request) -> Option<Arc<BufferedRequest>> {
        self.lock().requests.get(&request).map(|(sent, _)| Arc::clone(sent))
    }

    /// Replies to a request and drops its bytes.
    pub fn reply(&self, request: Request, outcome: RequestOutcome) {
        let removed = self.lock().requests.remove(&request);
        if let Some((_, reply)) = removed {
            // The caller may have gone; then nobody needs the answer.
            let _gone = reply.send(outcome);
        }
    }

    /// Drops a request without a reply.
    pub fn discard(&self, request: Request) {
        self.lock().requests.remove(&request);
    }

    /// Keeps the answer that the owner of a key sent back.
    pub fn store_relayed(&self, request: Request, response: BufferedResponse) {
        self.lock().relayed.insert(request, response);
    }

    /// Takes the answer that the owner of a key sent back.
    #[must_use]
    pub fn take_relayed(&self, request: Request) -> Option<BufferedResponse> {
        self.lock().relayed.remove(&request)
    }

    /// Keeps a target's answer until it is forgotten.
    pub fn store_response(&self, dispatch: Dispatch, response: BufferedResponse) {
        let mut buffers = self.lock();
        buffers.response_bytes += response.body.len();
        buffers.responses.insert(dispatch, response);
        buffers.insertion_order.push_back(dispatch);
        while buffers.response_bytes > self.max_response_bytes && buffers.insertion_order.len() > 1
        {
            if let Some(oldest) = buffers.insertion_order.pop_front() {
                buffers.drop_response(oldest);
            }
        }
    }

    /// A target's answer.
    #[must_use]
    pub fn response(&self, dispatch: Dispatch) -> Option<BufferedResponse> {
        self.lock().responses.get(&dispatch).cloned()
    }

    /// Drops what a dispatch produced.
    pub fn forget(&self, dispatch: Dispatch) {
        let mut buffers = self.lock();
        buffers.drop_response(dispatch);
        buffers.samples.remove(&dispatch);
        while buffers
            .insertion_order
            .front()
            .is_some_and(|oldest| !buffers.responses.contains_key(oldest))
        {
            buffers.insertion_order.pop_front();
        }
    }

    /// Holds an open step.
    pub fn open_step(&self, request: Request, step: OpenStep) {
        self.lock().steps.insert(request, step);
    }

    /// An open step.
    #[must_use]
    pub fn step(&self, request: Request) -> Option<OpenStep> {
        self.lock().steps.get(&request).cloned()
    }

    /// Drops a step; its stream ends once all lines are sent.
    #[must_use]
    pub fn close_step(&self, request: Request) -> Option<OpenStep> {
        self.lock().steps.remove(&request)
    }

    /// The prompt of a slot, with the trainer.
    #[must_use]
    pub fn prompt(&self, request: Request, slot: Slot) -> Option<(String, Prompt)> {
        let buffers = self.lock();
        let step = buffers.steps.get(&request)?;
        let prompt = step.prompts.get(&slot.group)?;
        Some((step.trainer.clone(), prompt.clone()))
    }

    /// Keeps a sample's text until it is delivered or forgotten.
    pub fn store_sample(&self, dispatch: Dispatch, text: String) {
        self.lock().samples.insert(dispatch, text);
    }

    /// Takes a sample's text.
    #[must_use]
    pub fn take_sample(&self, dispatch: Dispatch) -> Option<String> {
        self.lock().samples.remove(&dispatch)
    }

    /// Notes that an attempt runs, and returns what tells it to stop.
    #[must_use]
    pub fn start_attempt(&self, dispatch: Dispatch) -> Arc<Notify> {
        let stop = Arc::new(Notify::new());
        self.lock().running.insert(dispatch, Arc::clone(&stop));
        stop
    }

    /// Notes that an attempt has ended.
    pub fn end_attempt(&self, dispatch: Dispatch) {
        self.lock().running.remove(&dispatch);
    }

    /// Tells an attempt to stop, if it still runs.
    pub fn cancel_attempt(&self, dispatch: Dispatch) {
        let running = self.lock().running.get(&dispatch).cloned();
        if let Some(stop) = running {
            stop.notify_one();
        }
    }
}

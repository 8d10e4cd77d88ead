//! Buffers that await a decision of the reducer: requests by number, responses
//! and samples by the dispatch that produced them.

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

/// A request as it is sent to a target.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// Path and query at the target.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A target's complete response.
#[derive(Clone, Debug, Default)]
pub struct BufferedResponse {
    /// The status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How a request ended.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A target responded.
    Response {
        /// The response.
        response: BufferedResponse,
        /// This instance's state as an owner, for the forwarding instance.
        reading: Option<Reading>,
    },
    /// The request was refused.
    Refused {
        /// The reason.
        kind: Kind,
        /// This instance's state as an owner, for the forwarding instance.
        reading: Option<Reading>,
    },
    /// Outcome of an edit.
    Edited(table::Outcome),
}

/// The prompt of one group of a step.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The prompt's text.
    pub text: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Prompts of an open step, and the stream to its trainer.
#[derive(Clone, Debug)]
pub struct OpenStep {
    /// The trainer.
    pub trainer: String,
    /// Prompts by group.
    pub prompts: Arc<HashMap<u32, Prompt>>,
    /// Lines of the response to the trainer.
    pub lines: mpsc::Sender<Bytes>,
}

#[derive(Debug, Default)]
struct Buffers {
    requests: HashMap<Request, (Arc<BufferedRequest>, oneshot::Sender<RequestOutcome>)>,
    relayed: HashMap<Request, BufferedResponse>,
    responses: HashMap<Dispatch, BufferedResponse>,
    /// Dispatches in the order in which their responses arrived. May contain
    /// dispatches that were forgotten meanwhile.
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

/// The buffers of one instance. Clones share them.
#[derive(Clone, Debug)]
pub struct Registry {
    buffers: Arc<Mutex<Buffers>>,
    last_request: Arc<AtomicU64>,
    max_response_bytes: usize,
}

impl Registry {
    /// Creates a registry that stores at most `max_response_bytes` of targets'
    /// responses in total. The oldest are evicted first; if a request is repeated
    /// under an idempotency key whose response was evicted, its outcome is reported
    /// as unknown.
    #[must_use]
    pub fn new(max_response_bytes: usize) -> Registry {
        let (buffers, last_request) = Default::default();
        Registry { buffers, last_request, max_response_bytes }
    }

    fn lock(&self) -> MutexGuard<'_, Buffers> {
        // Every critical section is a single map operation, so a panic in another
        // thread cannot leave the maps in an inconsistent state.
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Allocates a number for a new request.
    #[must_use]
    pub fn next_request(&self) -> Request {
        Request(self.last_request.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Stores a request until it is replied to.
    #[must_use]
    pub fn register(&self, sent: BufferedRequest) -> (Request, oneshot::Receiver<RequestOutcome>) {
        let request = self.next_request();
        let (reply, outcome) = oneshot::channel();
        self.lock().requests.insert(request, (Arc::new(sent), reply));
        (request, outcome)
    }

    /// Returns a request that has not been replied to yet.
    #[must_use]
    pub fn request(&self, request: Request) -> Option<Arc<BufferedRequest>> {
        self.lock().requests.get(&request).map(|(sent, _)| Arc::clone(sent))
    }

    /// Replies to a request and frees its buffer.
    pub fn reply(&self, request: Request, outcome: RequestOutcome) {
        let removed = self.lock().requests.remove(&request);
        if let Some((_, reply)) = removed {
            // The caller may have disconnected; the reply is then discarded.
            let _disconnected = reply.send(outcome);
        }
    }

    /// Frees a request without a reply.
    pub fn discard(&self, request: Request) {
        self.lock().requests.remove(&request);
    }

    /// Stores the response that the owner of a key returned.
    pub fn store_relayed(&self, request: Request, response: BufferedResponse) {
        self.lock().relayed.insert(request, response);
    }

    /// Removes and returns the response that the owner of a key returned.
    #[must_use]
    pub fn take_relayed(&self, request: Request) -> Option<BufferedResponse> {
        self.lock().relayed.remove(&request)
    }

    /// Stores a target's response until it is forgotten or evicted.
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

    /// Returns a stored response of a target.
    #[must_use]
    pub fn response(&self, dispatch: Dispatch) -> Option<BufferedResponse> {
        self.lock().responses.get(&dispatch).cloned()
    }

    /// Frees the response and the sample of a dispatch.
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

    /// Stores an open step.
    pub fn open_step(&self, request: Request, step: OpenStep) {
        self.lock().steps.insert(request, step);
    }

    /// Returns an open step.
    #[must_use]
    pub fn step(&self, request: Request) -> Option<OpenStep> {
        self.lock().steps.get(&request).cloned()
    }

    /// Removes a step. Its stream ends once all lines are sent.
    #[must_use]
    pub fn close_step(&self, request: Request) -> Option<OpenStep> {
        self.lock().steps.remove(&request)
    }

    /// Returns the trainer and the prompt of a slot.
    #[must_use]
    pub fn prompt(&self, request: Request, slot: Slot) -> Option<(String, Prompt)> {
        let buffers = self.lock();
        let step = buffers.steps.get(&request)?;
        let prompt = step.prompts.get(&slot.group)?;
        Some((step.trainer.clone(), prompt.clone()))
    }

    /// Stores the text of a sample until it is delivered or forgotten.
    pub fn store_sample(&self, dispatch: Dispatch, text: String) {
        self.lock().samples.insert(dispatch, text);
    }

    /// Removes and returns the text of a sample.
    #[must_use]
    pub fn take_sample(&self, dispatch: Dispatch) -> Option<String> {
        self.lock().samples.remove(&dispatch)
    }

    /// Registers a running attempt and returns the signal that cancels it.
    #[must_use]
    pub fn start_attempt(&self, dispatch: Dispatch) -> Arc<Notify> {
        let stop = Arc::new(Notify::new());
        self.lock().running.insert(dispatch, Arc::clone(&stop));
        stop
    }

    /// Unregisters an attempt that has ended.
    pub fn end_attempt(&self, dispatch: Dispatch) {
        self.lock().running.remove(&dispatch);
    }

    /// Cancels an attempt if it still runs.
    pub fn cancel_attempt(&self, dispatch: Dispatch) {
        let running = self.lock().running.get(&dispatch).cloned();
        if let Some(stop) = running {
            stop.notify_one();
        }
    }
}

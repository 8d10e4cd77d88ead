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
pub struct Sent {
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
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What a request was answered with.
#[derive(Debug)]
pub enum Replied {
    /// A target's answer.
    Answer {
        /// The answer.
        answer: Answer,
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
struct Held {
    requests: HashMap<Request, (Arc<Sent>, oneshot::Sender<Replied>)>,
    relayed: HashMap<Request, Answer>,
    answers: HashMap<Dispatch, Answer>,
    /// The answers' dispatches in the order in which they came, those that
    /// were forgotten among them.
    order: VecDeque<Dispatch>,
    answer_bytes: usize,
    steps: HashMap<Request, OpenStep>,
    samples: HashMap<Dispatch, String>,
    running: HashMap<Dispatch, Arc<Notify>>,
}

impl Held {
    fn drop_answer(&mut self, dispatch: Dispatch) {
        if let Some(answer) = self.answers.remove(&dispatch) {
            self.answer_bytes -= answer.body.len();
        }
    }
}

/// The bytes that one instance holds. Clones share them.
#[derive(Clone, Debug)]
pub struct Registry {
    held: Arc<Mutex<Held>>,
    last_request: Arc<AtomicU64>,
    most_answer_bytes: usize,
}

impl Registry {
    /// A registry that keeps targets' answers of at most so many bytes in
    /// all. The oldest make room; a key whose answer is gone is answered
    /// "unknown" when it is sent again.
    #[must_use]
    pub fn new(most_answer_bytes: usize) -> Registry {
        let (held, last_request) = Default::default();
        Registry { held, last_request, most_answer_bytes }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        // Every critical section is a single map operation, so a panic in
        // another thread cannot have left the maps half changed.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for a new request.
    #[must_use]
    pub fn number(&self) -> Request {
        Request(self.last_request.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Holds a request until it is replied to.
    #[must_use]
    pub fn open(&self, sent: Sent) -> (Request, oneshot::Receiver<Replied>) {
        let request = self.number();
        let (reply, replied) = oneshot::channel();
        self.held().requests.insert(request, (Arc::new(sent), reply));
        (request, replied)
    }

    /// The bytes of a request that is not replied to yet.
    #[must_use]
    pub fn sent(&self, request: Request) -> Option<Arc<Sent>> {
        self.held().requests.get(&request).map(|(sent, _)| Arc::clone(sent))
    }

    /// Replies to a request and drops its bytes.
    pub fn reply(&self, request: Request, replied: Replied) {
        let held = self.held().requests.remove(&request);
        if let Some((_, reply)) = held {
            // The caller may have gone; then nobody needs the answer.
            let _gone = reply.send(replied);
        }
    }

    /// Drops a request without a reply.
    pub fn close(&self, request: Request) {
        self.held().requests.remove(&request);
    }

    /// Keeps the answer that the owner of a key sent back.
    pub fn keep_relayed(&self, request: Request, answer: Answer) {
        self.held().relayed.insert(request, answer);
    }

    /// Takes the answer that the owner of a key sent back.
    #[must_use]
    pub fn take_relayed(&self, request: Request) -> Option<Answer> {
        self.held().relayed.remove(&request)
    }

    /// Keeps a target's answer until it is forgotten.
    pub fn keep_answer(&self, dispatch: Dispatch, answer: Answer) {
        let mut held = self.held();
        held.answer_bytes += answer.body.len();
        held.answers.insert(dispatch, answer);
        held.order.push_back(dispatch);
        while held.answer_bytes > self.most_answer_bytes && held.order.len() > 1 {
            if let Some(oldest) = held.order.pop_front() {
                held.drop_answer(oldest);
            }
        }
    }

    /// A target's answer.
    #[must_use]
    pub fn answer(&self, dispatch: Dispatch) -> Option<Answer> {
        self.held().answers.get(&dispatch).cloned()
    }

    /// Drops what a dispatch produced.
    pub fn forget(&self, dispatch: Dispatch) {
        let mut held = self.held();
        held.drop_answer(dispatch);
        held.samples.remove(&dispatch);
        while held.order.front().is_some_and(|oldest| !held.answers.contains_key(oldest)) {
            held.order.pop_front();
        }
    }

    /// Holds an open step.
    pub fn open_step(&self, request: Request, step: OpenStep) {
        self.held().steps.insert(request, step);
    }

    /// An open step.
    #[must_use]
    pub fn step(&self, request: Request) -> Option<OpenStep> {
        self.held().steps.get(&request).cloned()
    }

    /// Drops a step; its stream ends once all lines are sent.
    #[must_use]
    pub fn close_step(&self, request: Request) -> Option<OpenStep> {
        self.held().steps.remove(&request)
    }

    /// The prompt of a slot, with the trainer.
    #[must_use]
    pub fn prompt(&self, request: Request, slot: Slot) -> Option<(String, Prompt)> {
        let held = self.held();
        let step = held.steps.get(&request)?;
        let prompt = step.prompts.get(&slot.group)?;
        Some((step.trainer.clone(), prompt.clone()))
    }

    /// Keeps a sample's text until it is delivered or forgotten.
    pub fn keep_sample(&self, dispatch: Dispatch, text: String) {
        self.held().samples.insert(dispatch, text);
    }

    /// Takes a sample's text.
    #[must_use]
    pub fn take_sample(&self, dispatch: Dispatch) -> Option<String> {
        self.held().samples.remove(&dispatch)
    }

    /// Notes that an attempt runs, and returns what tells it to stop.
    #[must_use]
    pub fn start(&self, dispatch: Dispatch) -> Arc<Notify> {
        let stop = Arc::new(Notify::new());
        self.held().running.insert(dispatch, Arc::clone(&stop));
        stop
    }

    /// Notes that an attempt has ended.
    pub fn end(&self, dispatch: Dispatch) {
        self.held().running.remove(&dispatch);
    }

    /// Tells an attempt to stop, if it still runs.
    pub fn cancel(&self, dispatch: Dispatch) {
        let running = self.held().running.get(&dispatch).cloned();
        if let Some(stop) = running {
            stop.notify_one();
        }
    }
}

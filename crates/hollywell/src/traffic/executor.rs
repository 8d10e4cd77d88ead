//! Executes the reducer's effects.
//!
//! Effects that only move local bytes are executed inline and in order. Effects
//! that need network I/O run as separate tasks, which report their end as an
//! event.

use std::{sync::Arc, time::Duration};

use tokio::sync::{Notify, Semaphore, mpsc};

use super::registry::{Registry, RequestOutcome};
use crate::{
    clock::Clock,
    control::Handle,
    core::{
        effect::{Effect, Order, Reply},
        event::{End, Event, Forward},
        id::{Dispatch, Request},
        member::Reading,
        rollout,
        stream::Record,
        time::Time,
    },
    engine,
    error::Kind,
    http::{self, Client},
    metrics::Metrics,
    peer, platform, service,
    settings::{Limits, Platform},
};

/// Maximum number of concurrent appends, since all instances share the log.
const MAX_APPENDS: usize = 8;

/// Executes effects. Clones share all state.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Queue to the reducer, which receives the ends of effects.
    pub control: Handle,
    /// Clock of the process.
    pub clock: Clock,
    /// Buffered requests and responses.
    pub registry: Registry,
    /// Client for other instances.
    pub peers: peer::Client,
    /// Client for targets and the platform.
    pub http: Client,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Maximum size of a target's response, in bytes.
    pub max_response_bytes: usize,
    /// Metrics of the process.
    pub metrics: Metrics,
    appends: Arc<Semaphore>,
    exit: Arc<Notify>,
}

impl Executor {
    /// Creates an executor that reports to `control`.
    #[must_use]
    pub fn new(
        control: Handle,
        clock: Clock,
        platform: Platform,
        limits: &Limits,
        metrics: Metrics,
    ) -> Executor {
        Executor {
            control,
            clock,
            registry: Registry::new(limits.answer_bytes),
            peers: peer::Client::new(),
            http: Client::with_memory(http::RESPONSE_BYTES.max(limits.body_bytes)),
            platform,
            max_response_bytes: limits.body_bytes,
            metrics,
            appends: Arc::new(Semaphore::new(MAX_APPENDS)),
            exit: Arc::new(Notify::new()),
        }
    }

    /// Waits until the reducer allows the process to exit.
    pub async fn exited(&self) {
        self.exit.notified().await;
    }

    /// Executes effects until the channel is closed.
    pub async fn run(self, mut effects: mpsc::Receiver<Effect>) {
        while let Some(effect) = effects.recv().await {
            self.execute(effect);
        }
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Dispatch { request, dispatch, address, before, deadline } => {
                let this = self.clone();
                tokio::spawn(async move {
                    this.dispatch(request, dispatch, &address, before, deadline).await;
                });
            }
            Effect::Forward { request, address, forward } => {
                let this = self.clone();
                tokio::spawn(async move { this.forward(request, &address, &forward).await });
            }
            Effect::Reply { request, reply, reading } => self.reply(request, reply, reading),
            Effect::Forget { dispatch } => self.registry.forget(dispatch),
            Effect::Send { from, address, message } => {
                let peers = self.peers.clone();
                tokio::spawn(async move { peers.send(&from, &address, &message).await });
            }
            Effect::Append { record } => self.append(record),
            Effect::Generate { request, dispatch, slot, address, priority, deadline } => {
                let this = self.clone();
                let generate = engine::GenerateRequest { dispatch, address, priority, deadline };
                tokio::spawn(async move { this.generate(request, slot, &generate).await });
            }
            Effect::Cancel { dispatch } => self.registry.cancel_attempt(dispatch),
            Effect::Deliver { request, dispatch, slot, versions } => {
                super::steps::deliver(&self.registry, request, dispatch, slot, &versions);
            }
            Effect::EndStep { request, missing, reason } => {
                self.metrics.step_ended(missing, reason);
                super::steps::end(&self.registry, request, missing, reason);
            }
            Effect::Order { target, address, order, before } => {
                let this = self.clone();
                tokio::spawn(async move { this.order(target, &address, &order, before).await });
            }
            Effect::Count(counted) => self.metrics.count(counted),
            Effect::Exit => self.exit.notify_one(),
        }
    }

    async fn dispatch(
        &self,
        request: Request,
        dispatch: Dispatch,
        address: &str,
        before: Time,
        deadline: Time,
    ) {
        let timeout = self.clock.left(deadline);
        let buffered = self.registry.request(request);
        let (end, leaving) = match buffered {
            Some(buffered) if self.clock.now() < before => {
                let attempt =
                    service::send(&self.http, address, &buffered, self.max_response_bytes, timeout)
                        .await;
                if let Some(response) = attempt.response {
                    self.registry.store_response(dispatch, response);
                }
                (attempt.end, attempt.leaving)
            }
            _ => (End::NotSent, false),
        };
        self.control.send(Event::TargetEnded { dispatch, end, leaving }).await;
    }

    async fn forward(&self, request: Request, address: &str, forward: &Forward) {
        let timeout = Duration::from_millis(forward.call.timeout_ms);
        let forwarded = match self.registry.request(request) {
            Some(buffered) => self.peers.forward(address, forward, &buffered, timeout).await,
            None => None,
        };
        let result = forwarded.map(|(result, response)| {
            if let Some(response) = response {
                self.registry.store_relayed(request, response);
            }
            result
        });
        self.control.send(Event::ForwardEnded { request, result }).await;
    }

    fn reply(&self, request: Request, reply: Reply, reading: Option<Reading>) {
        let response = match reply {
            Reply::Stored(dispatch) => self.registry.response(dispatch),
            Reply::Relayed => self.registry.take_relayed(request),
            Reply::Refused(kind) => {
                self.registry.reply(request, RequestOutcome::Refused { kind, reading });
                return;
            }
            Reply::Edited(outcome) => {
                self.registry.reply(request, RequestOutcome::Edited(outcome));
                return;
            }
        };
        let outcome = match response {
            Some(response) => RequestOutcome::Response { response, reading },
            None => RequestOutcome::Refused { kind: Kind::OutcomeUnknown, reading },
        };
        self.registry.reply(request, outcome);
    }

    fn append(&self, record: Record) {
        let Ok(permit) = Arc::clone(&self.appends).try_acquire_owned() else {
            // The reducer repeats records that it does not read back.
            log::debug!("append dropped: {MAX_APPENDS} appends are in progress");
            return;
        };
        let (http, platform) = (self.http.clone(), self.platform.clone());
        tokio::spawn(async move {
            platform::append(&http, &platform, &record).await;
            drop(permit);
        });
    }

    async fn generate(
        &self,
        request: Request,
        slot: rollout::Slot,
        generate: &engine::GenerateRequest,
    ) {
        let stop = self.registry.start_attempt(generate.dispatch);
        let end = match self.registry.prompt(request, slot) {
            Some((trainer, prompt)) => {
                let timeout = self.clock.left(generate.deadline);
                let generated = engine::generate(&self.http, generate, &trainer, &prompt, timeout);
                tokio::select! {
                    sample = generated => self.keep_sample(generate.dispatch, sample),
                    () = stop.notified() => rollout::End::Broken,
                }
            }
            None => rollout::End::Broken,
        };
        self.registry.end_attempt(generate.dispatch);
        self.control.send(Event::SampleEnded { dispatch: generate.dispatch, end }).await;
    }

    fn keep_sample(
        &self,
        dispatch: Dispatch,
        sample: Result<engine::Sample, rollout::End>,
    ) -> rollout::End {
        match sample {
            Ok(sample) => {
                self.registry.store_sample(dispatch, sample.text);
                rollout::End::Complete(sample.versions)
            }
            Err(end) => end,
        }
    }

    async fn order(&self, target: String, address: &str, order: &Order, before: Time) {
        let is_valid = self.clock.now() < before;
        let taken = is_valid && engine::order(&self.http, address, order).await;
        self.control.send(Event::OrderEnded { target, taken }).await;
    }
}

//! The reducer: a state machine that takes events and returns effects as data.
//!
//! [`State::step`] is the only entry point. It takes a time and an [`Event`]
//! and returns [`Effect`]s. It has no hidden inputs: the same configuration
//! and events always give the same effects, on which recorded traces and
//! generated schedules rely. The submodules handle the events by subject.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    core::{
        claim::Claims,
        effect::{Counted, Effect, Reply},
        event::{Call, Event, Forward, Message},
        id::{Dispatch, Instance, Request},
        lease,
        member::{Members, Peer, Reading},
        owner,
        pace::Pacer,
        retry::Budget,
        rollout::{Slot, Steps},
        route::Policy,
        stream::{Fold, Record},
        table,
        time::Time,
    },
    error::Kind,
};

mod agreed;
mod calls;
mod keyed;
mod orders;
mod peers;
mod samples;
mod stop;

/// Configuration of an instance, fixed at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Id of this instance and of its current run.
    #[serde(rename = "me")]
    pub id: Instance,
    /// Failure domain of this instance.
    pub domain: String,
    /// All failure domains; the list must be the same at every instance. Keys
    /// without a home domain named by the caller are distributed over them.
    pub domains: Vec<String>,
    /// Seed of the random choice among targets.
    pub seed: u64,
    /// Durations for ownership and for the lease on orders.
    pub ownership: owner::Config,
    /// Interval of heartbeats within the failure domain, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// Interval of heartbeats to other failure domains, in milliseconds.
    #[serde(rename = "remote_beat_ms")]
    pub remote_heartbeat_ms: u64,
    /// Time without an answer after which a peer counts as failed, in
    /// milliseconds.
    pub suspect_ms: u64,
    /// How long a change of membership must persist before a new map is
    /// proposed, in milliseconds.
    pub settle_ms: u64,
    /// Number of records between snapshots.
    pub snapshot_records: u64,
    /// Longest time between snapshots, in milliseconds.
    pub snapshot_ms: u64,
    /// Maximum number of calls in attempt.
    pub calls: usize,
    /// Maximum number of open steps.
    pub steps: usize,
    /// Percentage of an engine's slots that is reserved for live traffic and
    /// not used by rollouts.
    pub reserve_percent: u32,
    /// How long a replica may take to confirm its copy of a claim, in
    /// milliseconds.
    #[serde(rename = "deputy_ms")]
    pub replica_timeout_ms: u64,
    /// Time limit of an order to an engine, in milliseconds.
    pub order_ms: u64,
    /// Maximum number of engines of the failure domain that change weights at
    /// the same time.
    pub orders: usize,
    /// Time limit of an operator's edit, in milliseconds.
    pub edit_ms: u64,
    /// Weight fetches per second that the store allows to all instances
    /// together.
    #[serde(default = "default_fetches")]
    pub fetches_a_s: u64,
    /// How samples are placed. Traces recorded before this field existed get
    /// the default.
    #[serde(default)]
    pub policy: Policy,
    /// How long a stopping instance waits for other members to take over its
    /// keys, in milliseconds.
    pub resign_ms: u64,
}

impl Config {
    /// Creates a configuration with the default durations and limits.
    #[must_use]
    pub fn new(id: Instance, domain: &str, domains: &[&str]) -> Config {
        Config {
            seed: id.incarnation,
            id,
            domain: domain.to_owned(),
            domains: domains.iter().map(|name| (*name).to_owned()).collect(),
            ownership: owner::Config::default(),
            heartbeat_ms: 500,
            remote_heartbeat_ms: 2_000,
            suspect_ms: 2_000,
            settle_ms: 500,
            snapshot_records: 500,
            snapshot_ms: 60_000,
            calls: 1_024,
            steps: 64,
            reserve_percent: 25,
            replica_timeout_ms: 1_000,
            order_ms: 5_000,
            orders: 2,
            edit_ms: 5_000,
            fetches_a_s: default_fetches(),
            policy: Policy::default(),
            resign_ms: 4_000,
        }
    }
}

/// Default number of weight fetches per second.
const fn default_fetches() -> u64 {
    20
}

/// A caller's request in progress.
#[derive(Clone, Debug)]
struct Pending {
    call: Call,
    deadline: Time,
    path: Path,
}

#[derive(Clone, Debug)]
enum Path {
    /// A call without a key, dispatched by this instance.
    Plain { tried: Vec<String> },
    /// A keyed call whose key this instance owns.
    Owned,
    /// A keyed call that was forwarded to the key's owner.
    Forwarded { forward: Forward, address: String, tries: u32 },
}

/// An attempt at a target.
#[derive(Clone, Debug)]
struct Attempt {
    target: String,
    purpose: Purpose,
}

#[derive(Clone, Debug)]
enum Purpose {
    Call(Request),
    Key { key: String, request: Request, tried: Vec<String> },
    Sample { request: Request, slot: Slot },
}

/// A claim whose copy the replica has not confirmed yet.
#[derive(Clone, Debug)]
struct PendingCopy {
    request: Request,
    epoch: u64,
    replica: Instance,
    since: Time,
    until: Time,
}

/// An operator's edit that was not read back from the log yet.
#[derive(Clone, Debug)]
struct PendingEdit {
    request: Request,
    edit: table::Edit,
    since: Time,
    appended_at: Time,
}

/// The complete state of one instance.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     effect::{Effect, Reply}, event::{Call, Event}, id::{Instance, Request},
///     reducer::{Config, State}, time::Time,
/// };
/// use hollywell::error::Kind;
///
/// let config = Config::new(Instance::new("a", 1), "ruwi-hall", &["ruwi-hall"]);
/// let mut state = State::new(config);
/// let call = Call {
///     pool: "board-app".into(), idempotent: false, key: Some("k1".into()),
///     home: None, digest: 7, timeout_ms: 1_000,
/// };
/// let event = Event::Call { request: Request(1), arrived: Time(4), call };
/// // The key has no owner yet, so no instance knows whether it ran.
/// let refused = Reply::Refused(Kind::Unverified);
/// assert_eq!(
///     state.step(Time(5), &event),
///     [Effect::Reply { request: Request(1), reply: refused, reading: None }],
/// );
/// ```
#[derive(Clone, Debug)]
pub struct State {
    config: Config,
    now: Time,
    members: Members,
    fold: Fold,
    /// Since when a peer has been ahead of this instance.
    behind_since: Option<Time>,
    /// Whether the log was read to its end without a gap.
    log_read: bool,
    snapshot_at: Time,
    snapshot_tried_at: Time,
    owner: owner::State,
    /// Members that the map should have, and since when.
    desired: (BTreeSet<Instance>, Time),
    proposed_at: Option<Time>,
    claims: Claims,
    /// Number of the last refusal as an owner, or of the last activation.
    refusals: u64,
    /// Times of the latest refusals, with their numbers.
    refused_at: VecDeque<(Time, u64)>,
    /// Number of the last activation in the order of refusals. Sends whose
    /// entry did not know of it yet must not run.
    activated_order: u64,
    pending_copies: BTreeMap<String, PendingCopy>,
    pending: BTreeMap<Request, Pending>,
    attempts: BTreeMap<Dispatch, Attempt>,
    last_dispatch: u64,
    budget: Budget,
    steps: Steps,
    edits: Vec<PendingEdit>,
    lease: lease::State,
    /// When orders may be sent, after the lease was acquired.
    lease_from: Time,
    sent_orders: BTreeMap<String, orders::SentOrder>,
    pacer: Pacer,
    draining: Option<Time>,
    idle_ticks: u32,
    exited: bool,
    /// Number of targets chosen so far, for round robin.
    choices: u64,
    rng: SmallRng,
    /// Effects of the current event.
    out: Vec<Effect>,
}

impl State {
    /// Creates the state of an instance that has not read anything yet.
    #[must_use]
    pub fn new(config: Config) -> State {
        State {
            now: Time(0),
            members: Members::default(),
            fold: Fold::default(),
            behind_since: None,
            log_read: false,
            snapshot_at: Time::EARLIEST,
            snapshot_tried_at: Time(0),
            owner: owner::State::new(config.id.clone(), config.ownership),
            desired: (BTreeSet::new(), Time(0)),
            proposed_at: None,
            claims: Claims::default(),
            refusals: 0,
            refused_at: VecDeque::new(),
            activated_order: 0,
            pending_copies: BTreeMap::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_dispatch: 0,
            budget: Budget::default(),
            steps: Steps::default(),
            edits: vec![],
            lease: lease::State::default(),
            lease_from: Time(0),
            sent_orders: BTreeMap::new(),
            pacer: Pacer::new(config.policy.pace, orders::interval_ms(&config)),
            draining: None,
            idle_ticks: 0,
            exited: false,
            choices: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            out: vec![],
            config,
        }
    }

    /// Handles an event at `now` and returns the effects to carry out, in
    /// order.
    ///
    /// If `now` is earlier than that of the previous event, the time of the
    /// previous event is used.
    pub fn step(&mut self, now: Time, event: &Event) -> Vec<Effect> {
        self.now = now.max(self.now);
        if is_request(event) {
            self.idle_ticks = 0;
        }
        match event {
            Event::Tick => self.on_tick(),
            Event::Listed(list) => self.members.update(list.clone(), &self.config.id.name),
            Event::LogRead { sent, first, records, at_end } => {
                self.on_log(*sent, *first, records, *at_end);
            }
            Event::Peer { from, message } => self.on_message(from, message),
            Event::Call { request, arrived, call } => self.on_call(*request, *arrived, call),
            Event::Forwarded { request, forward } => self.on_forwarded(*request, forward),
            Event::ForwardEnded { request, result } => {
                self.on_forward_ended(*request, result.as_ref());
            }
            Event::TargetEnded { dispatch, end, leaving } => {
                self.on_target_ended(*dispatch, *end, *leaving);
            }
            Event::CallerGone { request } => self.on_caller_disconnected(*request),
            Event::Loaded { target, load } => self.on_load(target, load.as_ref()),
            Event::Version { trainer, version } => self.steps.record_version(trainer, *version),
            Event::StepOpened { request, opening } => self.on_step_opened(*request, opening),
            Event::SampleEnded { dispatch, end } => self.on_sample_ended(*dispatch, end),
            Event::Edit { request, edit } => self.on_edit(*request, edit),
            Event::OrderEnded { target, taken } => self.on_order_ended(target, *taken),
            Event::Drain => self.draining = self.draining.or(Some(self.now)),
        }
        self.start_samples();
        std::mem::take(&mut self.out)
    }

    fn on_tick(&mut self) {
        self.send_heartbeats();
        self.tick_ownership();
        self.tick_claims();
        self.tick_agreed();
        self.tick_orders();
        self.hedge_samples();
        self.end_late_steps();
        self.tick_stopping();
    }

    fn emit(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    fn count(&mut self, counted: Counted) {
        self.emit(Effect::Count(counted));
    }

    fn reply(&mut self, request: Request, reply: Reply) {
        self.pending.remove(&request);
        let reading = self.reading();
        self.emit(Effect::Reply { request, reply, reading });
    }

    fn refuse(&mut self, request: Request, kind: Kind) {
        self.reply(request, Reply::Refused(kind));
    }

    fn send(&mut self, address: &str, message: Message) {
        let from = self.owner.local().clone();
        let address = address.to_owned();
        self.emit(Effect::Send { from, address, message });
    }

    fn send_to(&mut self, to: &Instance, message: Message) {
        let peer = self.members.peers.get(&to.name);
        if let Some(address) = peer.map(|peer| peer.listed.address.clone()) {
            self.send(&address, message);
        }
    }

    fn append(&mut self, record: Record) {
        self.emit(Effect::Append { record });
    }

    fn new_dispatch(&mut self) -> Dispatch {
        self.last_dispatch += 1;
        Dispatch(self.last_dispatch)
    }

    /// Returns the offset of the first record that is not folded yet, and
    /// whether the folded state has no gap.
    #[must_use]
    pub fn folded(&self) -> (u64, bool) {
        (self.fold.state().next, !self.fold.has_gap())
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns true if a peer answered recently.
    #[must_use]
    pub fn is_live(&self, peer: &Peer) -> bool {
        let is_local = peer.listed.domain == self.config.domain;
        let remote_ms = self.config.suspect_ms.max(self.config.remote_heartbeat_ms * 2);
        let window_ms = if is_local { self.config.suspect_ms } else { remote_ms };
        peer.is_live(self.now, window_ms)
    }

    /// Returns the agreed state, as far as it was folded here.
    #[must_use]
    pub fn agreed(&self) -> &crate::core::stream::Snapshot {
        self.fold.state()
    }

    /// Returns the instances and targets that are known here.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns this instance's state in the ownership protocol.
    #[must_use]
    pub fn ownership(&self) -> &owner::State {
        &self.owner
    }

    /// Returns the number of claims that are known here.
    #[must_use]
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Returns the open steps.
    #[must_use]
    pub fn steps(&self) -> &Steps {
        &self.steps
    }

    /// Returns the number of calls, steps and edits in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pending.len() + self.steps.open.len() + self.edits.len()
    }

    /// Returns true once the instance was asked to stop.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Returns true if this instance can accept calls and steps: it has read
    /// the log to its end without gaps and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.log_read && !self.fold.has_gap() && self.draining.is_none()
    }

    /// What this instance reports about itself as an owner, if it is active.
    fn reading(&self) -> Option<Reading> {
        let reading = || Reading {
            from: self.owner.local().clone(),
            epoch: self.owner.map().epoch,
            order: self.refusals,
            clock: self.now,
        };
        self.owner.is_active().then(reading)
    }
}

/// Returns true for an event that must be answered.
const fn is_request(event: &Event) -> bool {
    matches!(
        event,
        Event::Call { .. }
            | Event::Forwarded { .. }
            | Event::StepOpened { .. }
            | Event::Edit { .. }
    )
}

//! Which samples this instance runs, where, and when they move: a reducer.
//!
//! Groups of samples are dealt out over the live instances by rendezvous
//! hashing, so that one big job is run by many and a change of the members
//! moves few groups. A sample that is listed, by whomever, is done. Two
//! instances may run one sample for a while after a change; the store's
//! order decides which result counts ([`crate::core::batch`]).
//!
//! The module `leave` judges which runs should leave their target, `near` says
//! which targets of many are looked at, `owners` who runs which group.
//!
//! Events go in with the time, effects come out as data. Text never passes
//! through here: the driver keeps it, the reducer counts events.

mod leave;
mod locality;
mod owners;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use locality::{Locality, Who};
pub use owners::owner;
use owners::{Change, Owners};

use crate::core::{
    choice::{Need, Observations},
    fleet::Fleet,
    time::Time,
};

/// Requests at a target for each of its slots, everybody's, up to which more
/// are sent there. Beyond it a sample waits here, where it can still go to
/// whichever target has room first.
const MOST_LOAD: f64 = 1.6;
/// Events by which another instance's text must be ahead for a run to start
/// anew after it.
const AHEAD_EVENTS: u32 = 12;
/// Tokens in one event, where the platform does not say: only the relation
/// between run and queue depends on it.
const TOKENS_AN_EVENT: f64 = 50.0;
/// Wait after a sample's request could not be read, in milliseconds.
const UNREADY_MS: u64 = 200;
/// Wait before it is looked again whether a sample that may end its targets
/// may be tried, in milliseconds. It is held back for seconds or for minutes.
const HELD_MS: u64 = 1_000;
/// Wait after a failed attempt, in milliseconds, times the number of them.
const BACKOFF_MS: u64 = 50;

/// A sample of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// The job.
    pub job: String,
    /// The sample's position in the submission.
    pub at: usize,
}

/// One run of a sample at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Run(pub u64);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Its text is whole.
    Whole,
    /// The target had no room and ran nothing.
    Full,
    /// The target runs another incarnation or version, and ran nothing.
    Misdirected,
    /// A kept connection ended first, which says nothing about the target.
    Stale,
    /// The target failed the request.
    Failed,
    /// The request can never be done.
    Impossible,
    /// The connection broke, or what came was no answer.
    Broken,
    /// No connection was made, so that nothing was sent.
    Unreached,
    /// The sample's request could not be read from the store; no target was
    /// asked.
    Unready,
    /// Targets that ran it have ended; none was asked.
    Held,
    /// The text would name a version that is not allowed; it was discarded.
    WrongVersion,
}

/// A sample as it is run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Samples of one group are run by one instance.
    pub group: String,
    /// Estimate of the tokens that it will take.
    pub tokens: u32,
    /// An earlier step asked for it. The trainer waits for all of these,
    /// whatever else is whole.
    pub carried: bool,
}

/// A job as it is run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Its id.
    pub job: String,
    /// The partition of the store that tells of its end.
    pub part: usize,
    /// The pool that runs it.
    pub pool: String,
    /// The model that generates its text.
    pub model: String,
    /// The oldest version that may.
    pub min_version: u64,
    /// Failures after which a sample may be given up.
    pub attempts: u32,
    /// When its samples may be given up.
    pub keep_until: Time,
    /// Its samples.
    pub samples: Vec<Item>,
    /// Samples that were listed before.
    pub done: Vec<bool>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A job is there to be run.
    Opened(Work),
    /// A sample was listed.
    Listed(Slot),
    /// A job was ended or dropped.
    Closed(String),
    /// The live instances changed.
    Members(Vec<String>),
    /// Whether what is known of a partition's jobs is out of date.
    Stale {
        /// The partition.
        part: usize,
        /// Whether it is.
        stale: bool,
    },
    /// A run's answer began.
    #[serde(rename = "Head")]
    AnswerStarted {
        /// The run.
        run: Run,
    },
    /// A whole event of a run's stream came.
    #[serde(rename = "Piece")]
    StreamEvent {
        /// The run.
        run: Run,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: Run,
        /// How.
        end: End,
    },
    /// Another instance has kept a sample's text up to an event.
    Ahead {
        /// The sample.
        slot: Slot,
        /// The last event kept.
        last: u32,
    },
    /// A finished sample was scored.
    Scored(Slot),
    /// Scoring a sample failed for good.
    Unscored(Slot),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Run a sample at a target, going on after what is kept of its text.
    Start {
        /// The run.
        run: Run,
        /// The sample.
        slot: Slot,
        /// The target's id.
        target: String,
        /// Rank at the target, 0 first.
        priority: u8,
    },
    /// Close a run's connection. Its end is not reported.
    Cancel(Run),
    /// Nothing to do: a run left its target, for the log.
    Moved {
        /// The sample.
        slot: Slot,
        /// The target that it left.
        target: String,
        /// Why.
        why: MoveReason,
    },
    /// Forget what is kept of a sample's text.
    Discard(Slot),
    /// Send a finished sample's scoring request.
    Score(Slot),
    /// Append a sample's result.
    Deliver(Slot),
    /// Append that a sample is given up.
    GiveUp(Slot),
}

/// Why a run leaves its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveReason {
    /// Nothing has come for so long that the target must be broken.
    Broken,
    /// Nothing has come for a while, and another target has a free place.
    Stalled,
    /// The target is gone.
    Gone,
    /// Another target is faster by more than the move costs.
    Slow,
}

/// Where a sample stands here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Running(Run),
    Scoring,
    Delivering,
    Done,
}

#[derive(Clone, Debug)]
struct Progress {
    stage: Stage,
    mine: bool,
    not_before: Time,
    failures: u32,
    events: u32,
}

#[derive(Clone, Debug)]
struct Running {
    slot: Slot,
    target: String,
    /// The target's start, as it was known at the run's.
    born: Option<u64>,
    head: bool,
    heard_at: Time,
    events: u32,
}

#[derive(Clone, Debug)]
struct ActiveJob {
    work: Work,
    progress: Vec<Progress>,
    /// Positions in the order in which they are started.
    order: Vec<usize>,
    /// Who runs its groups.
    owners: Owners,
    /// Targets that are looked at for them.
    locality: Locality,
}

/// The reducer's state.
#[derive(Clone, Debug, Default)]
pub struct State {
    me: String,
    /// The failure domain of this instance.
    domain: String,
    /// Targets of the open jobs' pools, and when they were counted.
    targets: Option<(Time, usize)>,
    now: Time,
    members: Vec<String>,
    jobs: BTreeMap<String, ActiveJob>,
    /// Jobs in the order in which they came.
    arrival: Vec<String>,
    runs: HashMap<Run, Running>,
    next_run: u64,
    /// Partitions whose jobs may have been ended unnoticed.
    stale: BTreeSet<usize>,
}

impl State {
    /// The state of an instance that knows nobody, itself included: it runs
    /// nothing until it is told who lives. Counting itself alone was tried:
    /// each instance that started ran all samples of all jobs at once, until
    /// it had read the members.
    #[must_use]
    pub fn new(me: &str) -> State {
        State { me: me.to_owned(), ..State::default() }
    }

    /// The same of an instance of a failure domain.
    #[must_use]
    pub fn in_domain(self, domain: &str) -> State {
        State { domain: domain.to_owned(), ..self }
    }

    /// Runs in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Takes an event in and returns what is to be done.
    pub fn step(
        &mut self,
        now: Time,
        event: &Event,
        fleet: &Fleet,
        observations: &mut Observations,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.now = now;
        match event {
            Event::Tick => self.watch(now, fleet, observations, &mut effects),
            Event::Opened(work) => self.open(work.clone()),
            Event::Listed(slot) => self.listed(slot, observations, &mut effects),
            Event::Closed(job) => self.close(job, observations, &mut effects),
            Event::Members(members) => self.members(members),
            Event::Stale { part, stale: true } => {
                self.stale.insert(*part);
            }
            Event::Stale { part, stale: false } => {
                self.stale.remove(part);
            }
            Event::AnswerStarted { run } => self.head(now, *run),
            Event::StreamEvent { run } => self.piece(now, *run, observations),
            Event::Ended { run, end } => self.ended(now, *run, *end, observations, &mut effects),
            Event::Ahead { slot, last } => self.ahead(slot, *last, observations, &mut effects),
            Event::Scored(slot) => {
                self.delivered(slot, Effect::Deliver(slot.clone()), &mut effects);
            }
            Event::Unscored(slot) => {
                self.delivered(slot, Effect::GiveUp(slot.clone()), &mut effects);
            }
        }
        if !matches!(event, Event::AnswerStarted { .. } | Event::StreamEvent { .. }) {
            self.start(now, fleet, observations, &mut effects);
        }
        effects
    }

    fn open(&mut self, work: Work) {
        if self.jobs.contains_key(&work.job) {
            return;
        }
        let owners = Owners::new(&self.members, &work);
        let progress = |(at, item): (usize, &Item)| Progress {
            stage: if work.done[at] { Stage::Done } else { Stage::Idle },
            mine: owners.is(&item.group, &self.me),
            not_before: Time(0),
            failures: 0,
            events: 0,
        };
        let progress: Vec<Progress> = work.samples.iter().enumerate().map(progress).collect();
        let mut order: Vec<usize> = (0..work.samples.len()).collect();
        // Those that the trainer cannot do without, then the longest: a step
        // ends with its longest sample.
        order.sort_by_key(|at| {
            let item = &work.samples[*at];
            (!item.carried, std::cmp::Reverse(item.tokens))
        });
        self.arrival.push(work.job.clone());
        self.jobs.insert(
            work.job.clone(),
            ActiveJob { work, progress, order, owners, locality: Locality::default() },
        );
    }

    fn listed(&mut self, slot: &Slot, observations: &mut Observations, effects: &mut Vec<Effect>) {
        let Some(open) = self.jobs.get_mut(&slot.job) else {
            return;
        };
        let progress = &mut open.progress[slot.at];
        let stage = std::mem::replace(&mut progress.stage, Stage::Done);
        if let Stage::Running(run) = stage {
            self.stop(run, observations, effects);
        }
        if stage != Stage::Done {
            effects.push(Effect::Discard(slot.clone()));
        }
    }

    /// Starts a run anew where another instance got further: after a change
    /// of the members two may run one sample.
    fn ahead(
        &mut self,
        slot: &Slot,
        last: u32,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) {
        let Some(progress) = self.jobs.get_mut(&slot.job).map(|open| &mut open.progress[slot.at])
        else {
            return;
        };
        let Stage::Running(run) = progress.stage else {
            return;
        };
        let here = progress.events + self.runs.get(&run).map_or(0, |running| running.events);
        if here + AHEAD_EVENTS < last {
            progress.stage = Stage::Idle;
            progress.events = last;
            self.stop(run, observations, effects);
        }
    }

    fn close(&mut self, job: &str, observations: &mut Observations, effects: &mut Vec<Effect>) {
        let Some(open) = self.jobs.remove(job) else {
            return;
        };
        self.arrival.retain(|other| other != job);
        for (at, progress) in open.progress.iter().enumerate() {
            if let Stage::Running(run) = progress.stage {
                self.stop(run, observations, effects);
            }
            if progress.stage != Stage::Done {
                effects.push(Effect::Discard(Slot { job: job.to_owned(), at }));
            }
        }
    }

    fn members(&mut self, members: &[String]) {
        let change = Change::between(&self.members, members);
        for open in self.jobs.values_mut() {
            open.owners.change(&open.work.job, members, &change);
            for (item, progress) in open.work.samples.iter().zip(&mut open.progress) {
                progress.mine = open.owners.is(&item.group, &self.me);
            }
        }
        self.members = members.to_vec();
    }

    fn head(&mut self, now: Time, run: Run) {
        if let Some(running) = self.runs.get_mut(&run) {
            running.head = true;
            running.heard_at = now;
        }
    }

    fn piece(&mut self, now: Time, run: Run, observations: &mut Observations) {
        let Some(running) = self.runs.get_mut(&run) else {
            return;
        };
        if running.events > 0 {
            observations.record_event_gap(&running.target, now.since(running.heard_at) as f64);
        }
        running.events += 1;
        running.heard_at = now;
    }

    fn ended(
        &mut self,
        now: Time,
        run: Run,
        end: End,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) {
        let Some(running) = self.runs.remove(&run) else {
            return;
        };
        observations.request_ended(now, &running.target);
        if matches!(end, End::Broken | End::Unreached | End::WrongVersion) {
            observations.connection_closed(&running.target);
        }
        let Some(open) = self.jobs.get_mut(&running.slot.job) else {
            return;
        };
        let attempts = open.work.attempts.max(1);
        let progress = &mut open.progress[running.slot.at];
        progress.stage = Stage::Idle;
        progress.events += running.events;
        match end {
            End::Whole => {
                observations.record_success(now, &running.target);
                progress.stage = Stage::Scoring;
                effects.push(Effect::Score(running.slot));
            }
            End::Full | End::Misdirected | End::Stale => {
                observations.record_refusal(now, &running.target)
            }
            End::Unready => progress.not_before = now.after(UNREADY_MS),
            End::Held => progress.not_before = now.after(HELD_MS),
            End::Broken | End::Unreached => {
                observations.record_failure(now, &running.target);
                progress.not_before = now.after(BACKOFF_MS);
            }
            End::WrongVersion => {
                progress.events = 0;
                observations.record_refusal(now, &running.target);
                effects.push(Effect::Discard(running.slot));
            }
            End::Failed => {
                progress.failures += 1;
                progress.not_before = now.after(BACKOFF_MS * u64::from(progress.failures));
                if progress.failures >= attempts {
                    progress.stage = Stage::Delivering;
                    effects.push(Effect::GiveUp(running.slot));
                }
            }
            End::Impossible => {
                progress.stage = Stage::Delivering;
                effects.push(Effect::GiveUp(running.slot));
            }
        }
    }

    fn delivered(&mut self, slot: &Slot, effect: Effect, effects: &mut Vec<Effect>) {
        let open = self.jobs.get_mut(&slot.job);
        let Some(progress) = open.map(|open| &mut open.progress[slot.at]) else {
            return;
        };
        if progress.stage == Stage::Scoring {
            progress.stage = Stage::Delivering;
            effects.push(effect);
        }
    }

    fn stop(&mut self, run: Run, observations: &mut Observations, effects: &mut Vec<Effect>) {
        if let Some(running) = self.runs.remove(&run) {
            observations.request_ended(self.now, &running.target);
            observations.connection_closed(&running.target);
            effects.push(Effect::Cancel(run));
        }
    }

    fn give_up(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for open in self.jobs.values_mut() {
            if now < open.work.keep_until {
                continue;
            }
            for at in 0..open.progress.len() {
                let progress = &mut open.progress[at];
                if progress.mine && progress.stage == Stage::Idle {
                    progress.stage = Stage::Delivering;
                    effects.push(Effect::GiveUp(Slot { job: open.work.job.clone(), at }));
                }
            }
        }
    }

    fn start(
        &mut self,
        now: Time,
        fleet: &Fleet,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) {
        let salt = xxhash_rust::xxh3::xxh3_64(self.me.as_bytes());
        for job in &self.arrival {
            let Some(open) = self.jobs.get_mut(job) else {
                continue;
            };
            if self.stale.contains(&open.work.part) {
                continue;
            }
            let longest = open.work.samples.iter().map(|item| item.tokens).max().unwrap_or(1);
            let is_due = |progress: &Progress| {
                progress.mine && progress.stage == Stage::Idle && now >= progress.not_before
            };
            if !open.progress.iter().any(is_due) {
                continue;
            }
            let samples = open.progress.iter().filter(|progress| progress.mine).count();
            let who = Who { salt, domain: &self.domain, samples };
            open.locality.renew(now, who, &open.work, fleet, observations);
            let work = &open.work;
            let targets = open.locality.targets(work, fleet);
            for &at in &open.order {
                let progress = &mut open.progress[at];
                if !is_due(progress) {
                    continue;
                }
                let need = Need {
                    events: f64::from(work.samples[at].tokens) / TOKENS_AN_EVENT,
                    max_load: MOST_LOAD,
                    instances: self.members.len() as f64,
                    salt: salt ^ self.next_run,
                };
                let Some(target) = observations.choose(now, targets.iter().copied(), need) else {
                    open.locality.ran_dry();
                    break;
                };
                let run = Run(self.next_run);
                self.next_run += 1;
                progress.stage = Stage::Running(run);
                observations.request_started(&target.id);
                let slot = Slot { job: job.clone(), at };
                let running = Running {
                    slot: slot.clone(),
                    target: target.id.clone(),
                    born: target.born,
                    head: false,
                    heard_at: now,
                    events: 0,
                };
                self.runs.insert(run, running);
                let priority = priority(&work.samples[at], longest);
                effects.push(Effect::Start { run, slot, target: target.id.clone(), priority });
            }
        }
    }
}

/// Rank of a sample at a target: 4 to 8, long ones first, after those that an
/// earlier step asked for. Live traffic ranks before all samples.
fn priority(item: &Item, longest: u32) -> u8 {
    const FIRST: u64 = 4;
    const STEPS: u64 = 4;
    if item.carried {
        return FIRST as u8;
    }
    let share = u64::from(item.tokens) * STEPS / u64::from(longest.max(1));
    u8::try_from(FIRST + STEPS - share.min(STEPS)).unwrap_or(u8::MAX)
}

//! The simulation: a queue of actions ordered by virtual time, with randomly
//! injected faults.

mod calls;
mod faults;
mod rollouts;

use std::collections::{BTreeMap, BTreeSet};

use arbtest::arbitrary::{Result, Unstructured};
use hollywell::{
    core::{
        effect::Order,
        event::Forward,
        member::{Kind as MemberKind, Listed},
        rollout::Slot,
        stream::Record,
    },
    error::Outcome,
    prelude::{Dispatch, Effect, Event, Reply, Request, Time},
};

use crate::{
    checks::{Checks, Fault},
    log::Log,
    node::Node,
    trainer::Trainer,
};

/// Virtual time of the phase with random work and faults, in milliseconds.
const FAULT_PHASE_MS: u64 = 14_000;
/// Virtual time without faults within which the system must converge
/// afterwards, in milliseconds.
const CONVERGENCE_MS: u64 = 9_000;
const TICK_MS: u64 = 100;
/// Time for which a process still accepts requests after its reducer has
/// ended.
const LINGER_MS: u64 = 300;
const MAX_LINGERS: u32 = 10;
const POLL_MS: u64 = 150;
/// Time within which every change must be in force at all instances.
const IN_FORCE_MS: u64 = 4_000;
/// Delay before a caller resends a key. Longer than any delay from a caller to
/// a process, so that the earlier send has arrived.
const RESEND_MS: u64 = 250;
const MAX_SENDS: usize = 6;

/// The setup that a schedule exercises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    OneDomain,
    TwoDomains,
    Table,
    Rollouts,
}

impl Scenario {
    pub(crate) fn test_name(self) -> &'static str {
        match self {
            Scenario::OneDomain => "keyed_calls_run_at_most_once_in_one_domain",
            Scenario::TwoDomains => "keyed_calls_run_at_most_once_across_domains",
            Scenario::Table => "the_table_never_reverts_and_comes_into_force",
            Scenario::Rollouts => "samples_come_exactly_once_with_their_versions",
        }
    }

    fn domains(self) -> &'static [&'static str] {
        match self {
            Scenario::OneDomain => &["d0", "d0", "d0"],
            Scenario::TwoDomains => &["d0", "d0", "d1", "d1"],
            Scenario::Table => &["d0", "d1", "d1"],
            Scenario::Rollouts => &["d0", "d0"],
        }
    }
}

/// A scheduled action of the simulation.
#[derive(Clone, Debug)]
enum Action {
    Tick {
        node: usize,
        run: u64,
    },
    Poll {
        node: usize,
        run: u64,
    },
    Event {
        node: usize,
        run: u64,
        event: Event,
    },
    /// An instance checks the deadline of a request just before sending it to a
    /// target.
    CheckDeadline {
        node: usize,
        run: u64,
        request: Request,
        dispatch: Dispatch,
        before: Time,
    },
    /// A request reaches a target.
    Arrive {
        node: usize,
        run: u64,
        dispatch: Dispatch,
        key: String,
    },
    Forward {
        node: usize,
        run: u64,
        request: Request,
        to: String,
        forward: Forward,
    },
    Append(Record),
    Send {
        key: usize,
    },
    ReplyReceived {
        send: usize,
        reply: Reply,
    },
    EditRow {
        trainer: u64,
    },
    OpenStep,
    Generate {
        node: usize,
        run: u64,
        dispatch: Dispatch,
        engine: usize,
        began: u64,
    },
    CheckOrder {
        node: usize,
        run: u64,
        order: Order,
        engine: usize,
        before: Time,
    },
    Order {
        node: usize,
        run: u64,
        order: Order,
        engine: usize,
    },
    Exited {
        node: usize,
        run: u64,
    },
    Restart {
        node: usize,
    },
}

/// A simulated engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) version: u64,
    pub(crate) fence: u64,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub(crate) checks_fence: bool,
    /// The versions served, each with its start time.
    pub(crate) served: Vec<(u64, u64)>,
}

/// One send of a key.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) key: usize,
    pub(crate) at: u64,
    /// When some instance decided on its refusal or answer.
    pub(crate) decided_at: u64,
    /// When the caller received an answer, and the outcome if it was a refusal.
    pub(crate) answer: Option<(u64, Option<Outcome>)>,
}

/// State of the simulation.
pub(crate) struct World {
    scenario: Scenario,
    print: bool,
    pub(crate) now: u64,
    queue: BTreeMap<(u64, u64), Action>,
    queued: u64,
    pub(crate) nodes: Vec<Node>,
    starts: u64,
    pub(crate) log: Log,
    partitions: BTreeMap<(usize, usize), u64>,
    pub(crate) sends: Vec<Sent>,
    keys: usize,
    pub(crate) engines: Vec<Engine>,
    pub(crate) trainer: Trainer,
    samples: BTreeMap<(usize, u64, Dispatch), (Request, Slot)>,
    edits: u64,
    pub(crate) checks: Checks,
    faults_ended: bool,
}

impl World {
    pub(crate) fn new(scenario: Scenario, print: bool, u: &mut Unstructured<'_>) -> Result<World> {
        let max_records =
            if scenario == Scenario::Table { u.int_in_range(40..=120)? } else { 1_000 };
        let mut world = World {
            scenario,
            print,
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            nodes: vec![],
            starts: 0,
            log: Log::new(max_records),
            partitions: BTreeMap::new(),
            sends: vec![],
            keys: 0,
            engines: vec![],
            trainer: Trainer::default(),
            samples: BTreeMap::new(),
            edits: 0,
            checks: Checks::default(),
            faults_ended: false,
        };
        if scenario == Scenario::Rollouts {
            world.engines = vec![
                Engine { checks_fence: true, ..Engine::default() },
                Engine { checks_fence: false, ..Engine::default() },
            ];
            world.at(700, Action::EditRow { trainer: 0 });
            world.at(1_500, Action::OpenStep);
        }
        for index in 0..scenario.domains().len() {
            world.start(index);
        }
        Ok(world)
    }

    fn trace(&self, text: impl FnOnce() -> String) {
        if self.print {
            println!("{:>6} {}", self.now, text());
        }
    }

    fn at(&mut self, due: u64, action: Action) {
        self.queued += 1;
        self.queue.insert((due.max(self.now), self.queued), action);
    }

    fn after(&mut self, ms: u64, action: Action) {
        self.at(self.now + ms, action);
    }

    fn domains(&self) -> Vec<&'static str> {
        let mut domains = self.scenario.domains().to_vec();
        domains.dedup();
        domains
    }

    fn start(&mut self, index: usize) {
        self.starts += 1;
        let domains = self.domains();
        let domain = self.scenario.domains()[index];
        let node = Node::start(index, domain, &domains, self.starts, self.now);
        match self.nodes.get_mut(index) {
            Some(old) => *old = node,
            None => self.nodes.push(node),
        }
        let run = self.starts;
        let event = Event::Listed(self.list());
        self.after(0, Action::Event { node: index, run, event });
        self.after(1, Action::Tick { node: index, run });
        self.after(2, Action::Poll { node: index, run });
    }

    fn list(&self) -> Vec<Listed> {
        let domains = self.scenario.domains();
        let listed = |name: String, kind, pool: &str, domain: &str| Listed {
            address: name.clone(),
            name,
            kind,
            pool: pool.to_owned(),
            domain: domain.to_owned(),
            leaving: false,
        };
        let instances = domains
            .iter()
            .enumerate()
            .map(|(index, domain)| listed(format!("n{index}"), MemberKind::Instance, "", domain));
        let services =
            (0..2).map(|index| listed(format!("s{index}"), MemberKind::Service, "app", "d0"));
        let engines = (0..self.engines.len())
            .map(|index| listed(format!("e{index}"), MemberKind::Engine, "gen", "d0"));
        instances.chain(services).chain(engines).collect()
    }

    /// Runs the phase in which random work and faults are injected between
    /// actions.
    pub(crate) fn run(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        while self.now < FAULT_PHASE_MS && !u.is_empty() {
            if u.ratio(1, 120)? {
                self.inject_fault(u)?;
            }
            if u.ratio(1, 25)? {
                self.inject_work(u)?;
            }
            self.next(u)?;
        }
        Ok(())
    }

    /// Ends all faults, lets the system converge, and checks the final state.
    pub(crate) fn settle(&mut self) {
        self.faults_ended = true;
        self.partitions.clear();
        self.log.down_until = 0;
        let pauses_end = self.nodes.iter().map(|node| node.paused_until).max().unwrap_or_default();
        for node in &mut self.nodes {
            node.log_cut_until = 0;
        }
        if self.scenario == Scenario::Table {
            // One instance stays partitioned from the platform and has to get
            // the table from its peers.
            self.nodes[2].log_cut_until = u64::MAX;
        }
        let until = self.now.max(pauses_end) + CONVERGENCE_MS;
        let mut no_randomness = Unstructured::new(&[]);
        while self.now < until {
            if self.next(&mut no_randomness).is_err() {
                break;
            }
        }
        self.check_converged();
    }

    fn next(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(((due, _), action)) = self.queue.pop_first() else {
            self.now += 1;
            return Ok(());
        };
        self.now = due.max(self.now);
        self.perform(action, u)
    }

    /// Draws a message delay: 1 to 8 ms, now and then 50 to 2,500 ms while
    /// faults are injected.
    fn delay(&self, u: &mut Unstructured<'_>) -> Result<u64> {
        if !self.faults_ended && u.ratio(1, 40)? {
            u.int_in_range(50..=2_500)
        } else {
            u.int_in_range(1..=8)
        }
    }

    fn chance(&self, u: &mut Unstructured<'_>, one_in: u32) -> Result<bool> {
        if self.faults_ended { Ok(false) } else { u.ratio(1, one_in) }
    }

    fn runs_on(&self, node: usize, run: u64) -> bool {
        self.nodes[node].alive && self.nodes[node].run == run
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.get(&(a.min(b), a.max(b))).is_some_and(|until| *until > self.now)
    }

    /// Postpones an action whose process is paused until the process resumes.
    /// Returns true if it did.
    fn postpone_if_paused(&mut self, action: &Action) -> bool {
        let (node, run) = match action {
            Action::Tick { node, run }
            | Action::Poll { node, run }
            | Action::Event { node, run, .. }
            | Action::CheckDeadline { node, run, .. }
            | Action::Forward { node, run, .. }
            | Action::Exited { node, run }
            | Action::CheckOrder { node, run, .. } => (*node, *run),
            _ => return false,
        };
        let paused = self.runs_on(node, run) && self.nodes[node].is_paused(self.now);
        if paused {
            self.at(self.nodes[node].paused_until, action.clone());
        }
        paused
    }

    fn perform(&mut self, action: Action, u: &mut Unstructured<'_>) -> Result<()> {
        if self.postpone_if_paused(&action) {
            return Ok(());
        }
        match action {
            Action::Tick { node, run } if self.runs_on(node, run) => {
                self.after(TICK_MS, Action::Tick { node, run });
                self.report_load(node, u)?;
                self.step(node, &Event::Tick, u)
            }
            Action::Poll { node, run } if self.runs_on(node, run) => self.poll(node, run, u),
            Action::Event { node, run, event } if self.runs_on(node, run) => {
                self.step(node, &event, u)
            }
            Action::CheckDeadline { node, run, request, dispatch, before }
                if self.runs_on(node, run) =>
            {
                self.dispatch_before_deadline(node, run, request, dispatch, before, u)
            }
            Action::Arrive { node, run, dispatch, key } => {
                self.arrive_at_target(node, run, dispatch, &key, u)
            }
            Action::Forward { node, run, request, to, forward } => {
                self.forward(node, run, request, &to, forward, u)
            }
            Action::Append(record) => {
                if self.log.down_until <= self.now {
                    self.log.append(self.now, &record);
                }
                Ok(())
            }
            Action::Send { key } => self.send(key, u),
            Action::ReplyReceived { send, reply } => self.reply_received(send, &reply, u),
            Action::EditRow { trainer } => self.edit_row(trainer, u),
            Action::OpenStep => self.open_step(u),
            Action::Generate { node, run, dispatch, engine, began } => {
                self.generation_ended(node, run, dispatch, engine, began, u)
            }
            Action::CheckOrder { node, run, order, engine, before }
                if self.runs_on(node, run) && self.nodes[node].clock(self.now) < before =>
            {
                let delay = self.delay(u)?.min(300);
                self.after(delay, Action::Order { node, run, order, engine });
                Ok(())
            }
            Action::Order { node, run, order, engine } => {
                self.order_arrived(node, run, &order, engine, u)
            }
            Action::Exited { node, run } if self.runs_on(node, run) => {
                self.exit(node, run);
                Ok(())
            }
            Action::Restart { node } => {
                self.trace(|| format!("restart n{node}"));
                self.start(node);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn step(&mut self, node: usize, event: &Event, u: &mut Unstructured<'_>) -> Result<()> {
        let clock = self.nodes[node].clock(self.now);
        if !matches!(event, Event::Tick) {
            self.trace(|| format!("n{node} {clock:?} {event:?}"));
        }
        if let Event::Forwarded { request, .. } = event {
            self.nodes[node].forwarded.insert(*request);
        }
        let effects = self.nodes[node].state.step(clock, event);
        for effect in effects {
            if !matches!(effect, Effect::Send { .. }) {
                self.trace(|| format!("n{node}   {effect:?}"));
            }
            self.apply_effect(node, effect, u)?;
        }
        self.check_folded_state(node);
        Ok(())
    }

    fn apply_effect(
        &mut self,
        node: usize,
        effect: Effect,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let run = self.nodes[node].run;
        let delay = self.delay(u)?;
        match effect {
            Effect::Dispatch { request, dispatch, before, .. } => {
                self.after(delay, Action::CheckDeadline { node, run, request, dispatch, before });
            }
            Effect::Forward { request, address, forward } => {
                self.after(0, Action::Forward { node, run, request, to: address, forward });
            }
            Effect::Reply { request, reply, reading } => {
                self.reply(node, request, &reply, reading, delay);
            }
            Effect::Send { from, address, message } => {
                let Some(to) = self.node_index(&address) else {
                    return Ok(());
                };
                if self.is_partitioned(node, to) || self.chance(u, 50)? {
                    return Ok(());
                }
                let event = Event::Peer { from, message };
                let run = self.nodes[to].run;
                if self.chance(u, 50)? {
                    let event = event.clone();
                    self.after(delay * 3, Action::Event { node: to, run, event });
                }
                self.after(delay, Action::Event { node: to, run, event });
            }
            Effect::Append { record } => {
                let cut = self.nodes[node].log_cut_until > self.now;
                if cut || self.chance(u, 12)? {
                    return Ok(());
                }
                if self.chance(u, 15)? {
                    self.after(delay + 100, Action::Append(record.clone()));
                }
                self.after(delay, Action::Append(record));
            }
            Effect::Generate { request, dispatch, slot, address, .. } => {
                let Some(engine) = self.engine_index(&address) else {
                    return Ok(());
                };
                self.samples.insert((node, run, dispatch), (request, slot));
                let began = self.now + delay;
                let took = if self.chance(u, 4)? { 1_200 } else { 60 };
                self.at(began + took, Action::Generate { node, run, dispatch, engine, began });
            }
            Effect::Deliver { request, dispatch, slot, versions } => {
                let row = self.nodes[node].state.agreed().table.row("t0").cloned();
                let produced = self.samples.get(&(node, run, dispatch)).map(|(_, slot)| *slot);
                let verdict =
                    self.trainer.receive((node, run, request), slot, &versions, row.as_ref());
                let slot_matches = produced == Some(slot);
                self.checks.sample(self.now, verdict, slot_matches);
                self.trainer.check_versions(
                    &mut self.checks,
                    self.now,
                    &versions,
                    dispatch,
                    (node, run),
                );
            }
            Effect::EndStep { request, .. } => {
                self.nodes[node].waiters.remove(&request);
                if self.trainer.is_open_as(node, run, request) {
                    self.trainer.close();
                }
                self.after(60, Action::OpenStep);
            }
            Effect::Order { address, order, before, .. } => {
                if let Some(engine) = self.engine_index(&address) {
                    self.after(delay, Action::CheckOrder { node, run, order, engine, before });
                }
            }
            Effect::Exit => {
                self.trace(|| format!("n{node} exits"));
                self.checks.count(Fault::Exited);
                self.nodes[node].exiting = true;
                self.after(LINGER_MS, Action::Exited { node, run });
            }
            _ => {}
        }
        Ok(())
    }

    fn node_index(&self, address: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == address)
    }

    fn engine_index(&self, address: &str) -> Option<usize> {
        address.strip_prefix('e').and_then(|index| index.parse().ok())
    }

    fn poll(&mut self, node: usize, run: u64, u: &mut Unstructured<'_>) -> Result<()> {
        let reachable =
            self.log.down_until <= self.now && self.nodes[node].log_cut_until <= self.now;
        self.after(POLL_MS, Action::Poll { node, run });
        if !reachable {
            return Ok(());
        }
        let sent = self.nodes[node].clock(self.now);
        let from = self.nodes[node].log_from;
        let (first, records) = self.log.read(from);
        let after_last = records.last().map(|(offset, _)| offset + 1);
        self.nodes[node].log_from = after_last.unwrap_or(from.max(first));
        let event = Event::LogRead { sent, first, records, at_end: true };
        let delay = self.delay(u)?;
        // The answer arrives before the next poll.
        self.after(delay.min(POLL_MS - 10), Action::Event { node, run, event });
        Ok(())
    }

    fn check_folded_state(&mut self, node: usize) {
        let state = &self.nodes[node].state;
        let agreed = state.agreed();
        let (next, complete) = state.folded();
        let before = self.nodes[node].folded;
        if next < before {
            let text = format!("n{node} went back from offset {before} to {next}");
            self.checks.violate(Fault::Reverted, self.now, text);
        }
        if next != before && complete && !self.log.matches(agreed) {
            let text = format!("n{node} differs from the log at offset {next}");
            self.checks.violate(Fault::Reverted, self.now, text);
        }
        self.nodes[node].folded = next;
    }

    fn check_converged(&mut self) {
        let expected: BTreeSet<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].alive).collect();
        for node in expected {
            let (next, complete) = self.nodes[node].state.folded();
            let state = &self.nodes[node].state;
            if state.is_draining() {
                continue;
            }
            let due = self.log.next_at(self.now - IN_FORCE_MS);
            if !complete || next < due {
                let text = format!(
                    "n{node} has folded up to {next}, expected {due}; complete: {complete}"
                );
                self.checks.violate(Fault::NotInForce, self.now, text);
            }
            if self.scenario == Scenario::OneDomain && !state.ownership().is_active() {
                let (ready_at, now) =
                    (state.ownership().ready_at(), self.nodes[node].clock(self.now));
                let text =
                    format!("n{node} owns no keys after convergence time at {now:?}: {ready_at:?}");
                self.checks.violate(Fault::NotInForce, self.now, text);
            }
        }
        let lost = self.checks.lost_edits(self.log.state());
        for revision in lost {
            let text = format!("accepted revision {revision} is not in the log's state");
            self.checks.violate(Fault::Reverted, self.now, text);
        }
        if self.scenario == Scenario::Rollouts && !self.trainer.needs_row() {
            let newest = self.trainer.newest_version();
            for index in 0..self.engines.len() {
                let served = self.engines[index].version;
                if served != newest {
                    let text = format!(
                        "e{index} serves version {served} after convergence time, expected {newest}"
                    );
                    self.checks.violate(Fault::WrongVersion, self.now, text);
                }
            }
        }
    }

    pub(crate) fn has_no_violations(&self) -> bool {
        self.checks.violations.is_empty()
    }

    pub(crate) fn assert_no_violations(&self) {
        assert!(self.has_no_violations(), "{:#?}", self.checks.violations);
    }
}

//! The modelled world: a queue of happenings ordered by time, into which
//! faults are drawn.

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
    error::Outcome as Ran,
    prelude::{Dispatch, Effect, Event, Reply, Request, Time},
};

use crate::{
    checks::{Checks, Fault},
    log::Log,
    node::Node,
    trainer::Trainer,
};

/// Virtual time of the drawn part of a schedule, in milliseconds.
const DRAWN_MS: u64 = 14_000;
/// Virtual time in which everything must come right afterwards.
const CALM_MS: u64 = 9_000;
const TICK_MS: u64 = 100;
/// How long a process goes on accepting after its reducer has ended.
const LINGER_MS: u64 = 300;
const MOST_LINGERS: u32 = 10;
const POLL_MS: u64 = 150;
/// Time in which every change must be in force everywhere.
const IN_FORCE_MS: u64 = 4_000;
/// Pause after which a caller sends a key again. Longer than any way from a
/// caller to a process, so that an earlier send has arrived.
const RESEND_MS: u64 = 250;
const MOST_SENDS: usize = 6;

/// What a schedule is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    OneDomain,
    TwoDomains,
    Table,
    Rollouts,
}

impl Shape {
    pub(crate) fn test_name(self) -> &'static str {
        match self {
            Shape::OneDomain => "keyed_calls_run_at_most_once_in_one_domain",
            Shape::TwoDomains => "keyed_calls_run_at_most_once_across_domains",
            Shape::Table => "the_table_never_reverts_and_comes_into_force",
            Shape::Rollouts => "samples_come_exactly_once_with_their_versions",
        }
    }

    fn domains(self) -> &'static [&'static str] {
        match self {
            Shape::OneDomain => &["d0", "d0", "d0"],
            Shape::TwoDomains => &["d0", "d0", "d1", "d1"],
            Shape::Table => &["d0", "d1", "d1"],
            Shape::Rollouts => &["d0", "d0"],
        }
    }
}

/// Something that is to happen at a time.
#[derive(Clone, Debug)]
enum Happening {
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
    /// A request's bytes are about to be sent to a target.
    Check {
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
    Told {
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

/// A modelled engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) version: u64,
    pub(crate) fence: u64,
    pub(crate) enforces: bool,
    /// Versions that it served, with the time from which on.
    pub(crate) served: Vec<(u64, u64)>,
}

/// One send of a key.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) key: usize,
    pub(crate) at: u64,
    /// When its refusal or answer was decided, wherever that was.
    pub(crate) decided: u64,
    pub(crate) told: Option<(u64, Option<Ran>)>,
}

/// The modelled world.
pub(crate) struct World {
    shape: Shape,
    print: bool,
    pub(crate) now: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    queued: u64,
    pub(crate) nodes: Vec<Node>,
    runs: u64,
    pub(crate) log: Log,
    cuts: BTreeMap<(usize, usize), u64>,
    pub(crate) sends: Vec<Sent>,
    keys: usize,
    pub(crate) engines: Vec<Engine>,
    pub(crate) trainer: Trainer,
    samples: BTreeMap<(usize, u64, Dispatch), (Request, Slot)>,
    edits: u64,
    pub(crate) checks: Checks,
    calm: bool,
}

impl World {
    pub(crate) fn new(shape: Shape, print: bool, u: &mut Unstructured<'_>) -> Result<World> {
        let retain = if shape == Shape::Table { u.int_in_range(40..=120)? } else { 1_000 };
        let mut world = World {
            shape,
            print,
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            nodes: vec![],
            runs: 0,
            log: Log::new(retain),
            cuts: BTreeMap::new(),
            sends: vec![],
            keys: 0,
            engines: vec![],
            trainer: Trainer::default(),
            samples: BTreeMap::new(),
            edits: 0,
            checks: Checks::default(),
            calm: false,
        };
        if shape == Shape::Rollouts {
            world.engines = vec![
                Engine { enforces: true, ..Engine::default() },
                Engine { enforces: false, ..Engine::default() },
            ];
            world.at(700, Happening::EditRow { trainer: 0 });
            world.at(1_500, Happening::OpenStep);
        }
        for place in 0..shape.domains().len() {
            world.start(place);
        }
        Ok(world)
    }

    fn note(&self, text: impl FnOnce() -> String) {
        if self.print {
            println!("{:>6} {}", self.now, text());
        }
    }

    fn at(&mut self, due: u64, happening: Happening) {
        self.queued += 1;
        self.queue.insert((due.max(self.now), self.queued), happening);
    }

    fn after(&mut self, ms: u64, happening: Happening) {
        self.at(self.now + ms, happening);
    }

    fn domains(&self) -> Vec<&'static str> {
        let mut domains = self.shape.domains().to_vec();
        domains.dedup();
        domains
    }

    fn start(&mut self, place: usize) {
        self.runs += 1;
        let domains = self.domains();
        let domain = self.shape.domains()[place];
        let node = Node::start(place, domain, &domains, self.runs, self.now);
        match self.nodes.get_mut(place) {
            Some(old) => *old = node,
            None => self.nodes.push(node),
        }
        let run = self.runs;
        let event = Event::Listed(self.list());
        self.after(0, Happening::Event { node: place, run, event });
        self.after(1, Happening::Tick { node: place, run });
        self.after(2, Happening::Poll { node: place, run });
    }

    fn list(&self) -> Vec<Listed> {
        let domains = self.shape.domains();
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
            .map(|(place, domain)| listed(format!("n{place}"), MemberKind::Instance, "", domain));
        let services =
            (0..2).map(|place| listed(format!("s{place}"), MemberKind::Service, "app", "d0"));
        let engines = (0..self.engines.len())
            .map(|place| listed(format!("e{place}"), MemberKind::Engine, "gen", "d0"));
        instances.chain(services).chain(engines).collect()
    }

    /// Runs the drawn part: faults fall between happenings as drawn.
    pub(crate) fn run(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        while self.now < DRAWN_MS && !u.is_empty() {
            if u.ratio(1, 120)? {
                self.draw_fault(u)?;
            }
            if u.ratio(1, 25)? {
                self.draw_work(u)?;
            }
            self.next(u)?;
        }
        Ok(())
    }

    /// Ends all faults and lets everything come right.
    pub(crate) fn settle(&mut self) {
        self.calm = true;
        self.cuts.clear();
        self.log.down_until = 0;
        let ends = self.nodes.iter().map(|node| node.paused_until).max().unwrap_or_default();
        for node in &mut self.nodes {
            node.log_cut_until = 0;
        }
        if self.shape == Shape::Table {
            // One instance stays cut off from the platform: its peers have
            // to bring the table to it.
            self.nodes[2].log_cut_until = u64::MAX;
        }
        let until = self.now.max(ends) + CALM_MS;
        let mut nothing = Unstructured::new(&[]);
        while self.now < until {
            if self.next(&mut nothing).is_err() {
                break;
            }
        }
        self.check_settled();
    }

    fn next(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(((due, _), happening)) = self.queue.pop_first() else {
            self.now += 1;
            return Ok(());
        };
        self.now = due.max(self.now);
        self.happen(happening, u)
    }

    /// How long a message takes; sometimes long.
    fn delay(&self, u: &mut Unstructured<'_>) -> Result<u64> {
        if !self.calm && u.ratio(1, 40)? {
            u.int_in_range(50..=2_500)
        } else {
            u.int_in_range(1..=8)
        }
    }

    fn chance(&self, u: &mut Unstructured<'_>, one_in: u32) -> Result<bool> {
        if self.calm { Ok(false) } else { u.ratio(1, one_in) }
    }

    fn runs_on(&self, node: usize, run: u64) -> bool {
        self.nodes[node].alive && self.nodes[node].run == run
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.get(&(a.min(b), a.max(b))).is_some_and(|until| *until > self.now)
    }

    /// If a happening needs a process that is paused, puts it off until the
    /// process goes on.
    fn put_off(&mut self, happening: &Happening) -> bool {
        let (node, run) = match happening {
            Happening::Tick { node, run }
            | Happening::Poll { node, run }
            | Happening::Event { node, run, .. }
            | Happening::Check { node, run, .. }
            | Happening::Forward { node, run, .. }
            | Happening::Exited { node, run }
            | Happening::CheckOrder { node, run, .. } => (*node, *run),
            _ => return false,
        };
        let paused = self.runs_on(node, run) && self.nodes[node].is_paused(self.now);
        if paused {
            self.at(self.nodes[node].paused_until, happening.clone());
        }
        paused
    }

    fn happen(&mut self, happening: Happening, u: &mut Unstructured<'_>) -> Result<()> {
        if self.put_off(&happening) {
            return Ok(());
        }
        match happening {
            Happening::Tick { node, run } if self.runs_on(node, run) => {
                self.after(TICK_MS, Happening::Tick { node, run });
                self.report_load(node, u)?;
                self.step(node, &Event::Tick, u)
            }
            Happening::Poll { node, run } if self.runs_on(node, run) => self.poll(node, run, u),
            Happening::Event { node, run, event } if self.runs_on(node, run) => {
                self.step(node, &event, u)
            }
            Happening::Check { node, run, request, dispatch, before }
                if self.runs_on(node, run) =>
            {
                self.check_and_send(node, run, request, dispatch, before, u)
            }
            Happening::Arrive { node, run, dispatch, key } => {
                self.arrive(node, run, dispatch, &key, u)
            }
            Happening::Forward { node, run, request, to, forward } => {
                self.forward(node, run, request, &to, forward, u)
            }
            Happening::Append(record) => {
                if self.log.down_until <= self.now {
                    self.log.append(self.now, &record);
                }
                Ok(())
            }
            Happening::Send { key } => self.send(key, u),
            Happening::Told { send, reply } => self.told(send, &reply, u),
            Happening::EditRow { trainer } => self.edit_row(trainer, u),
            Happening::OpenStep => self.open_step(u),
            Happening::Generate { node, run, dispatch, engine, began } => {
                self.generated(node, run, dispatch, engine, began, u)
            }
            Happening::CheckOrder { node, run, order, engine, before }
                if self.runs_on(node, run) && self.nodes[node].clock(self.now) < before =>
            {
                let delay = self.delay(u)?.min(300);
                self.after(delay, Happening::Order { node, run, order, engine });
                Ok(())
            }
            Happening::Order { node, run, order, engine } => {
                self.order(node, run, &order, engine, u)
            }
            Happening::Exited { node, run } if self.runs_on(node, run) => {
                self.exit(node, run);
                Ok(())
            }
            Happening::Restart { node } => {
                self.note(|| format!("restart n{node}"));
                self.start(node);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn step(&mut self, node: usize, event: &Event, u: &mut Unstructured<'_>) -> Result<()> {
        let clock = self.nodes[node].clock(self.now);
        if !matches!(event, Event::Tick) {
            self.note(|| format!("n{node} {clock:?} {event:?}"));
        }
        if let Event::Forwarded { request, .. } = event {
            self.nodes[node].forwarded.insert(*request);
        }
        let effects = self.nodes[node].state.step(clock, event);
        for effect in effects {
            if !matches!(effect, Effect::Send { .. }) {
                self.note(|| format!("n{node}   {effect:?}"));
            }
            self.carry_out(node, effect, u)?;
        }
        self.check_agreed(node);
        Ok(())
    }

    fn carry_out(&mut self, node: usize, effect: Effect, u: &mut Unstructured<'_>) -> Result<()> {
        let run = self.nodes[node].run;
        let delay = self.delay(u)?;
        match effect {
            Effect::Dispatch { request, dispatch, before, .. } => {
                self.after(delay, Happening::Check { node, run, request, dispatch, before });
            }
            Effect::Forward { request, address, forward } => {
                self.after(0, Happening::Forward { node, run, request, to: address, forward });
            }
            Effect::Reply { request, reply, reading } => {
                self.reply(node, request, &reply, reading, delay);
            }
            Effect::Send { from, address, message } => {
                let Some(to) = self.place_of(&address) else {
                    return Ok(());
                };
                if self.is_cut(node, to) || self.chance(u, 50)? {
                    return Ok(());
                }
                let event = Event::Peer { from, message };
                let run = self.nodes[to].run;
                if self.chance(u, 50)? {
                    let event = event.clone();
                    self.after(delay * 3, Happening::Event { node: to, run, event });
                }
                self.after(delay, Happening::Event { node: to, run, event });
            }
            Effect::Append { record } => {
                let cut = self.nodes[node].log_cut_until > self.now;
                if cut || self.chance(u, 12)? {
                    return Ok(());
                }
                if self.chance(u, 15)? {
                    self.after(delay + 100, Happening::Append(record.clone()));
                }
                self.after(delay, Happening::Append(record));
            }
            Effect::Generate { request, dispatch, slot, address, .. } => {
                let Some(engine) = self.engine_of(&address) else {
                    return Ok(());
                };
                self.samples.insert((node, run, dispatch), (request, slot));
                let began = self.now + delay;
                let took = if self.chance(u, 4)? { 1_200 } else { 60 };
                self.at(began + took, Happening::Generate { node, run, dispatch, engine, began });
            }
            Effect::Deliver { request, dispatch, slot, versions } => {
                let row = self.nodes[node].state.agreed().table.row("t0").cloned();
                let produced = self.samples.get(&(node, run, dispatch)).map(|(_, slot)| *slot);
                let verdict =
                    self.trainer.receive((node, run, request), slot, &versions, row.as_ref());
                let place = produced == Some(slot);
                self.checks.sample(self.now, verdict, place);
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
                self.after(60, Happening::OpenStep);
            }
            Effect::Order { address, order, before, .. } => {
                if let Some(engine) = self.engine_of(&address) {
                    self.after(delay, Happening::CheckOrder { node, run, order, engine, before });
                }
            }
            Effect::Exit => {
                self.note(|| format!("n{node} exits"));
                self.checks.count(Fault::Exited);
                self.nodes[node].exiting = true;
                self.after(LINGER_MS, Happening::Exited { node, run });
            }
            _ => {}
        }
        Ok(())
    }

    fn place_of(&self, address: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == address)
    }

    fn engine_of(&self, address: &str) -> Option<usize> {
        address.strip_prefix('e').and_then(|place| place.parse().ok())
    }

    fn poll(&mut self, node: usize, run: u64, u: &mut Unstructured<'_>) -> Result<()> {
        let reachable =
            self.log.down_until <= self.now && self.nodes[node].log_cut_until <= self.now;
        self.after(POLL_MS, Happening::Poll { node, run });
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
        // The next poll comes after this one's answer.
        self.after(delay.min(POLL_MS - 10), Happening::Event { node, run, event });
        Ok(())
    }

    // Checks.

    fn check_agreed(&mut self, node: usize) {
        let state = &self.nodes[node].state;
        let agreed = state.agreed();
        let (next, whole) = state.folded();
        let before = self.nodes[node].folded;
        if next < before {
            let text = format!("n{node} went back from offset {before} to {next}");
            self.checks.violate(Fault::Reverted, self.now, text);
        }
        if next != before && whole && !self.log.agrees(agreed) {
            let text = format!("n{node} differs from the log at offset {next}");
            self.checks.violate(Fault::Reverted, self.now, text);
        }
        self.nodes[node].folded = next;
    }

    fn check_settled(&mut self) {
        let expected: BTreeSet<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].alive).collect();
        for node in expected {
            let (next, whole) = self.nodes[node].state.folded();
            let state = &self.nodes[node].state;
            if state.is_draining() {
                continue;
            }
            let due = self.log.next_at(self.now - IN_FORCE_MS);
            if !whole || next < due {
                let text = format!("n{node} is at {next}, due is {due}, whole: {whole}");
                self.checks.violate(Fault::NotInForce, self.now, text);
            }
            if self.shape == Shape::OneDomain && !state.ownership().is_active() {
                let (ready_at, now) =
                    (state.ownership().ready_at(), self.nodes[node].clock(self.now));
                let text = format!("n{node} owns no keys after calm at {now:?}: {ready_at:?}");
                self.checks.violate(Fault::NotInForce, self.now, text);
            }
        }
        let lost = self.checks.lost_edits(self.log.whole());
        for revision in lost {
            let text = format!("accepted revision {revision} is not in the log's state");
            self.checks.violate(Fault::Reverted, self.now, text);
        }
        if self.shape == Shape::Rollouts && !self.trainer.needs_row() {
            let newest = self.trainer.newest();
            for place in 0..self.engines.len() {
                let served = self.engines[place].version;
                if served != newest {
                    let text = format!("e{place} serves {served} of {newest} after calm");
                    self.checks.violate(Fault::WrongVersion, self.now, text);
                }
            }
        }
    }

    pub(crate) fn is_sound(&self) -> bool {
        self.checks.violations.is_empty()
    }

    pub(crate) fn assert_sound(&self) {
        assert!(self.is_sound(), "{:#?}", self.checks.violations);
    }
}

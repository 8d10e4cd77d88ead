//! One run: a deployment, a policy, a seed.

use std::collections::BTreeMap;

use hollywell::{
    core::{
        effect::Counted,
        event::End,
        member::{Kind as MemberKind, Listed},
        rollout::{self, Group, Opening},
        route::Policy,
        stream::Record,
        table::{Edit, Row},
    },
    prelude::*,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    Deployment,
    engine::{Engine, Job, Work},
    figures::Figures,
};

/// How long a run is, in virtual milliseconds.
const RUN_MS: u64 = 180_000;
const TICK_MS: u64 = 100;
/// How far load reports lag at most, in milliseconds.
const REPORT_MS: u64 = 200;
const VERSION_MS: u64 = 500;
/// Trainers: weights of their rows.
const WEIGHTS: [u32; 2] = [3, 1];
const GROUPS: u32 = 16;
const SAMPLES: u32 = 8;
/// Time for a step, in milliseconds.
const STEP_MS: u64 = 30_000;
/// Time that a trainer trains between steps, in milliseconds.
const TRAIN_MS: u64 = 3_000;
/// Time to load weights, in milliseconds.
const SWAP_MS: u64 = 400;
/// Weight fetches that the store allows in a second.
const STORE_A_S: u64 = 8;
const LIVE_TIMEOUT_MS: u64 = 10_000;
// Failures: an engine crashes, a failure domain's engines are cut off from
// the others, live traffic bursts.
const CRASH: (u64, u64) = (40_000, 10_000);
const CUT: (u64, u64) = (80_000, 10_000);
const BURST: (u64, u64) = (120_000, 15_000);
const BURST_FACTOR: f64 = 3.0;

#[derive(Clone, Debug)]
enum Happening {
    Tick(usize),
    Report(usize),
    Versions(usize),
    Event(usize, Event),
    Finish { engine: usize, job: u64 },
    Swap { engine: usize, instance: usize, trainer: usize, version: u64 },
    OpenStep(usize),
    Live,
    Crash,
}

#[derive(Debug, Default)]
struct Trainer {
    version: u64,
    step: u64,
    opened_at: u64,
}

/// A run under way.
pub struct World {
    deployment: Deployment,
    with_trainers: bool,
    now: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    queued: u64,
    instances: Vec<State>,
    engines: Vec<Engine>,
    trainers: Vec<Trainer>,
    log: Vec<Record>,
    last_request: u64,
    steps: BTreeMap<Request, (usize, u64)>,
    live: BTreeMap<Request, u64>,
    samples: BTreeMap<(usize, Dispatch), (usize, u64)>,
    fetched: Vec<u64>,
    rng: StdRng,
    figures: Figures,
}

/// Runs a deployment under a policy and returns its figures.
#[must_use]
pub fn run(deployment: Deployment, policy: Policy, seed: u64, with_trainers: bool) -> Figures {
    let mut world = World::new(deployment, policy, seed, with_trainers);
    while let Some(((due, _), happening)) = world.queue.pop_first() {
        if due > RUN_MS {
            break;
        }
        world.now = due;
        world.happen(happening);
    }
    world.end()
}

impl World {
    fn new(deployment: Deployment, policy: Policy, seed: u64, with_trainers: bool) -> World {
        let mut world = World {
            deployment,
            with_trainers,
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            instances: vec![],
            engines: (0..deployment.engines).map(|_| Engine::new(WEIGHTS.len())).collect(),
            trainers: WEIGHTS.iter().map(|_| Trainer::default()).collect(),
            log: vec![],
            last_request: 0,
            steps: BTreeMap::new(),
            live: BTreeMap::new(),
            samples: BTreeMap::new(),
            fetched: vec![],
            rng: StdRng::seed_from_u64(seed),
            figures: Figures::default(),
        };
        world.engines[1].failing_swaps = 2;
        world.log =
            WEIGHTS.iter().enumerate().map(|(n, weight)| row(n, *weight, deployment)).collect();
        let names: Vec<String> = (0..deployment.domains).map(|n| format!("d{n}")).collect();
        let domains: Vec<&str> = names.iter().map(String::as_str).collect();
        for n in 0..deployment.instances {
            let me = Instance::new(&format!("i{n}"), 1);
            let mut config = Config::new(me, domains[n % domains.len()], &domains);
            config.policy = policy;
            config.fetches_a_s = STORE_A_S;
            config.seed = seed * 100 + n as u64;
            world.instances.push(State::new(config));
            world.at(1, Happening::Event(n, Event::Listed(world.list())));
            world.at(2 + n as u64, Happening::Tick(n));
            world.at(3, Happening::Versions(n));
        }
        for engine in 0..deployment.engines {
            world.at(4 + engine as u64 * 7, Happening::Report(engine));
        }
        if with_trainers {
            for trainer in 0..WEIGHTS.len() {
                world.at(3_000 + trainer as u64 * 500, Happening::OpenStep(trainer));
            }
        }
        world.at(2_000, Happening::Live);
        world.at(CRASH.0, Happening::Crash);
        world
    }

    fn at(&mut self, due: u64, happening: Happening) {
        self.queued += 1;
        self.queue.insert((due, self.queued), happening);
    }

    fn after(&mut self, ms: u64, happening: Happening) {
        self.at(self.now + ms, happening);
    }

    fn domain_of(&self, place: usize) -> String {
        format!("d{}", place % self.deployment.domains)
    }

    fn list(&self) -> Vec<Listed> {
        let listed = |name: String, kind, pool: &str, place| Listed {
            address: name.clone(),
            name,
            kind,
            pool: pool.into(),
            domain: self.domain_of(place),
            leaving: false,
        };
        let instances = (0..self.deployment.instances)
            .map(|n| listed(format!("i{n}"), MemberKind::Instance, "", n));
        let engines = (0..self.deployment.engines)
            .map(|n| listed(format!("e{n}"), MemberKind::Engine, "gen", n));
        instances.chain(engines).collect()
    }

    /// True if an instance cannot reach an engine now.
    fn is_away(&self, instance: usize, engine: usize) -> bool {
        let domains = self.deployment.domains;
        let (a, b) = (instance % domains, engine % domains);
        let cut = (CUT.0..CUT.0 + CUT.1).contains(&self.now) && a != b && (a == 0 || b == 0);
        cut || self.engines[engine].down_until > self.now
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(n) => {
                self.after(TICK_MS, Happening::Tick(n));
                self.read_log(n);
                self.step(n, &Event::Tick);
            }
            Happening::Report(engine) => self.report(engine),
            Happening::Versions(n) => self.versions(n),
            Happening::Event(n, event) => self.step(n, &event),
            Happening::Finish { engine, job } => self.finish(engine, job),
            Happening::Swap { engine, instance, trainer, version } => {
                self.swap(engine, instance, trainer, version);
            }
            Happening::OpenStep(trainer) => self.open_step(trainer),
            Happening::Live => self.live_call(),
            Happening::Crash => {
                self.engines[0].down_until = self.now + CRASH.1;
                for job in self.engines[0].crash(self.now) {
                    self.break_job(&job);
                }
            }
        }
    }

    fn read_log(&mut self, n: usize) {
        let (next, _) = self.instances[n].folded();
        let from = usize::try_from(next).unwrap_or(usize::MAX);
        let records = self.log.iter().enumerate().skip(from);
        let records = records.map(|(offset, record)| (offset as u64, record.clone())).collect();
        let sent = Time(self.now.saturating_sub(1));
        self.step(n, &Event::LogRead { sent, first: 0, records, at_end: true });
    }

    fn report(&mut self, engine: usize) {
        self.after(REPORT_MS, Happening::Report(engine));
        for n in 0..self.instances.len() {
            let load = (!self.is_away(n, engine)).then(|| self.engines[engine].load());
            let target = format!("e{engine}");
            let lag = self.rng.random_range(1..REPORT_MS / 2);
            self.after(lag, Happening::Event(n, Event::Loaded { target, load }));
        }
    }

    fn versions(&mut self, n: usize) {
        self.after(VERSION_MS, Happening::Versions(n));
        for trainer in 0..self.trainers.len() {
            let version = self.trainers[trainer].version;
            let trainer = format!("trainer-{trainer}");
            self.step(n, &Event::Version { trainer, version });
        }
    }

    fn step(&mut self, n: usize, event: &Event) {
        let effects = self.instances[n].step(Time(self.now), event);
        for effect in effects {
            self.carry_out(n, effect);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        let way_ms = self.deployment.way_ms;
        match effect {
            Effect::Append { record } => self.log.push(record),
            Effect::Send { from, address, message } => {
                let to = address.strip_prefix('i').and_then(|place| place.parse().ok());
                if let Some(to) = to {
                    self.after(way_ms, Happening::Event(to, Event::Peer { from, message }));
                }
            }
            Effect::Generate { request, dispatch, slot, address, priority, .. } => {
                let Some((trainer, step)) = self.steps.get(&request).copied() else {
                    return;
                };
                self.samples.insert((n, dispatch), (trainer, 0));
                let prompt = (step << 16 | u64::from(slot.group)) << 2 | trainer as u64;
                let work = Work::Sample { trainer, prompt };
                self.start_job(n, dispatch, &address, priority.max(1), work);
            }
            Effect::Dispatch { dispatch, address, .. } => {
                self.start_job(n, dispatch, &address, 0, Work::Live);
            }
            Effect::Cancel { dispatch } => {
                for engine in 0..self.engines.len() {
                    if let Some(ms) = self.engines[engine].cancel(n, dispatch, self.now) {
                        self.figures.slots_ms.1 += ms;
                        self.start_jobs(engine);
                    }
                }
            }
            Effect::Deliver { dispatch, versions, .. } => self.delivered(n, dispatch, &versions),
            Effect::EndStep { request, missing, .. } => self.end_step(request, missing),
            Effect::Reply { request, reply, .. } => self.replied(request, &reply),
            Effect::Order { address, order, .. } => {
                let trainer = order.trainer.strip_prefix("trainer-");
                let trainer = trainer.and_then(|place| place.parse().ok());
                if let (Some(engine), Some(trainer)) = (engine_of(&address), trainer) {
                    let (instance, version) = (n, order.version);
                    let swap = Happening::Swap { engine, instance, trainer, version };
                    self.after(SWAP_MS, swap);
                }
            }
            Effect::Count(Counted::Retry) => self.figures.retries += 1,
            Effect::Count(Counted::SampleStale) => self.figures.stale += 1,
            _ => {}
        }
    }

    fn start_job(&mut self, n: usize, dispatch: Dispatch, address: &str, priority: u8, work: Work) {
        let Some(engine) = engine_of(address) else {
            return;
        };
        let job = Job { instance: n, dispatch, work, began: self.now };
        if self.is_away(n, engine) {
            self.break_job(&job);
            return;
        }
        self.engines[engine].queue(priority, job);
        self.start_jobs(engine);
    }

    fn start_jobs(&mut self, engine: usize) {
        let started = self.engines[engine].start(self.now, &mut self.rng);
        for (job, took_ms) in started {
            self.after(took_ms, Happening::Finish { engine, job });
        }
    }

    fn break_job(&mut self, job: &Job) {
        let dispatch = job.dispatch;
        let event = match job.work {
            Work::Live => Event::TargetEnded { dispatch, end: End::Broken, leaving: false },
            Work::Sample { .. } => Event::SampleEnded { dispatch, end: rollout::End::Broken },
        };
        self.figures.slots_ms.1 += self.now - job.began;
        self.after(self.deployment.way_ms, Happening::Event(job.instance, event));
    }

    fn finish(&mut self, engine: usize, number: u64) {
        let Some(job) = self.engines[engine].finish(number, self.now) else {
            return;
        };
        self.start_jobs(engine);
        let dispatch = job.dispatch;
        let event = match job.work {
            Work::Live => Event::TargetEnded { dispatch, end: End::Answered, leaving: false },
            Work::Sample { trainer, .. } => {
                if let Some((_, ms)) = self.samples.get_mut(&(job.instance, dispatch)) {
                    *ms = self.now - job.began;
                    self.figures.slots_ms.1 += *ms;
                }
                let versions = self.engines[engine].versions(trainer, job.began, self.now);
                Event::SampleEnded { dispatch, end: rollout::End::Complete(versions) }
            }
        };
        self.after(self.deployment.way_ms, Happening::Event(job.instance, event));
    }

    fn delivered(&mut self, n: usize, dispatch: Dispatch, versions: &[u64]) {
        let Some((trainer, ms)) = self.samples.remove(&(n, dispatch)) else {
            return;
        };
        // It was counted as wasted when it ended.
        self.figures.slots_ms.1 -= ms;
        let oldest = versions.iter().min().copied().unwrap_or_default();
        let behind = self.trainers[trainer].version.saturating_sub(oldest);
        self.figures.behind.record(behind).expect("an unbounded histogram takes any value");
    }

    fn swap(&mut self, engine: usize, instance: usize, trainer: usize, version: u64) {
        let now = self.now;
        self.fetched.retain(|at| now - at < 1_000);
        let over = self.fetched.len() as u64 >= STORE_A_S;
        let away = self.is_away(instance, engine);
        let known = &mut self.engines[engine];
        let fails = known.failing_swaps > 0;
        known.failing_swaps = known.failing_swaps.saturating_sub(1);
        let taken = !over && !fails && !away;
        self.figures.store_refused += u64::from(over && !away);
        if taken {
            if version == self.trainers[trainer].version {
                let took_ms = now - self.trainers[trainer].opened_at;
                self.figures.served.record(took_ms).expect("an unbounded histogram");
            }
            self.fetched.push(now);
            known.served[trainer].push((now, version));
        }
        let event = Event::OrderEnded { target: format!("e{engine}"), taken };
        self.after(1, Happening::Event(instance, event));
    }

    fn open_step(&mut self, place: usize) {
        let trainer = &mut self.trainers[place];
        trainer.version += 1;
        trainer.step += 1;
        trainer.opened_at = self.now;
        let (version, step) = (trainer.version, trainer.step);
        let request = self.request();
        self.steps.insert(request, (place, step));
        let missing = || (0..SAMPLES).collect();
        let opening = Opening {
            trainer: format!("trainer-{place}"),
            step,
            attempt: 1,
            version,
            groups: (0..GROUPS).map(|group| Group { group, missing: missing() }).collect(),
            timeout_ms: STEP_MS,
        };
        let n = self.rng.random_range(0..self.instances.len());
        self.after(1, Happening::Event(n, Event::StepOpened { request, opening }));
    }

    fn end_step(&mut self, request: Request, missing: usize) {
        let Some((place, _)) = self.steps.remove(&request) else {
            return;
        };
        let took_ms = self.now - self.trainers[place].opened_at;
        self.figures.idle_ms += took_ms;
        self.figures.busy_ms += TRAIN_MS;
        match missing {
            0 => self.figures.steps.record(took_ms).expect("an unbounded histogram"),
            _ => self.figures.late += 1,
        }
        self.after(TRAIN_MS, Happening::OpenStep(place));
    }

    fn live_call(&mut self) {
        let bursts = (BURST.0..BURST.0 + BURST.1).contains(&self.now);
        let factor = if bursts { BURST_FACTOR } else { 1.0 };
        let mean_ms = 1_000.0 / (self.deployment.live_a_s * factor);
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap_ms = (-draw.ln() * mean_ms).clamp(1.0, 10_000.0);
        self.after(gap_ms as u64, Happening::Live);
        let request = self.request();
        self.live.insert(request, self.now);
        self.figures.asked += 1;
        let call = Call {
            pool: "gen".into(),
            idempotent: true,
            key: None,
            home: None,
            digest: 0,
            timeout_ms: LIVE_TIMEOUT_MS,
        };
        let n = self.rng.random_range(0..self.instances.len());
        let arrived = Time(self.now);
        self.step(n, &Event::Call { request, arrived, call });
    }

    fn replied(&mut self, request: Request, reply: &Reply) {
        let Some(asked_at) = self.live.remove(&request) else {
            return;
        };
        match reply {
            Reply::Stored(_) => {
                let took_ms = self.now - asked_at;
                self.figures.live.record(took_ms).expect("an unbounded histogram");
            }
            _ => self.figures.refused += 1,
        }
    }

    fn request(&mut self) -> Request {
        self.last_request += 1;
        Request(self.last_request)
    }

    fn end(mut self) -> Figures {
        for engine in &self.engines {
            self.figures.hits.0 += engine.hits.0;
            self.figures.hits.1 += engine.hits.1;
            self.figures.slots_ms.0 += engine.spent_ms;
        }
        debug_assert!(self.with_trainers || self.figures.steps.is_empty());
        self.figures
    }
}

fn engine_of(address: &str) -> Option<usize> {
    address.strip_prefix('e').and_then(|place| place.parse().ok())
}

fn row(place: usize, weight: u32, deployment: Deployment) -> Record {
    let trainer = format!("trainer-{place}");
    let row = Row {
        trainer: trainer.clone(),
        weight,
        staleness: deployment.staleness,
        priority: 10,
        in_flight: 128,
    };
    let id = format!("row-{place}");
    Record::Edit(Edit { id, by: "measure".into(), trainer, base: None, row: Some(row) })
}

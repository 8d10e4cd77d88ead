//! Samples that wait at an instance although targets have room for them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use hollywell::core::{
    choice::{Load, Need, Observations},
    dispatch::{
        Cause, Demand, Effect, End, Event, JobSpec, Run, SampleSpec, Size, State, Texts, owner,
    },
    fleet::{Announcement, Fleet, Memory},
    time::Time,
};

/// Time that no sample of an open job may be at no target, while targets have
/// room, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;
const TICK_MS: u64 = 50;
const SLOTS: u32 = 12;

struct World {
    state: State,
    fleet: Fleet,
    observations: Observations,
    now: u64,
    /// Requests of other instances at each target.
    others: u32,
    /// The target of each run in flight.
    runs: BTreeMap<Run, (usize, String)>,
    /// What was reported of samples at no target: the cause, and each sample with
    /// the time.
    unplaced: Vec<(Cause, Vec<(usize, u64)>)>,
    /// What was reported of the instances whose turn it is.
    reassigned: Vec<(Option<String>, Option<String>, Vec<usize>)>,
}

fn target(number: usize) -> Announcement {
    Announcement {
        id: format!("e{number}"),
        pool: "llm".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "d".into(),
        slots: SLOTS,
        draining: false,
        cold: false,
        start_ms: None,
        sequence: 0,
        versions: BTreeMap::from([("m".to_owned(), 1)]),
    }
}

/// A job of one group.
fn job_spec(job: &str, samples: usize) -> JobSpec {
    let sample =
        SampleSpec { group: "g".into(), tokens: 5_000, size: Size::default(), resumed: false };
    JobSpec {
        job: job.into(),
        part: 0,
        pools: vec![("llm".into(), 1)],
        model: "m".into(),
        min_version: 1,
        max_attempts: 3,
        keep_until: Time(400_000),
        demand: Demand::default(),
        texts: Texts::default(),
        done: vec![false; samples],
        samples: vec![sample; samples],
    }
}

impl World {
    fn new(members: &[String], targets: usize) -> World {
        let mut fleet = Fleet::default();
        for number in 0..targets {
            fleet.announce(Time(1), target(number));
        }
        let mut world = World {
            state: State::new("me"),
            fleet,
            observations: Observations::default(),
            now: 0,
            others: 0,
            runs: BTreeMap::new(),
            unplaced: vec![],
            reassigned: vec![],
        };
        world.step(&Event::Members(members.to_vec()));
        world
    }

    /// Applies an event. Returns the runs that it starts.
    fn step(&mut self, event: &Event) -> Vec<Run> {
        let now = Time(self.now);
        let effects = self.state.step(now, event, &self.fleet, &mut self.observations);
        let mut started = vec![];
        for effect in effects {
            match effect {
                Effect::Start { run, sample_id, target, .. } => {
                    self.runs.insert(run, (sample_id.index, target));
                    started.push(run);
                }
                Effect::Cancel(run) => drop(self.runs.remove(&run)),
                Effect::Unplaced { cause, samples, .. } => {
                    let samples = samples.iter().map(|(at, since)| (*at, since.0)).collect();
                    self.unplaced.push((cause, samples));
                }
                Effect::Reassigned { from, to, samples, .. } => {
                    self.reassigned.push((from, to, samples));
                }
                _ => {}
            }
        }
        started
    }

    fn end(&mut self, run: Run, end: End) {
        self.runs.remove(&run);
        self.step(&Event::Ended { run, end });
    }

    fn runs_at(&self, target: &str) -> u32 {
        u32::try_from(self.runs.values().filter(|(_, at)| at == target).count()).unwrap()
    }

    /// Lets the targets answer runs that have just started, and make an event of
    /// every run.
    fn serve(&mut self, started: &[Run]) {
        for run in started {
            let Some((_, target)) = self.runs.get(run).cloned() else {
                continue;
            };
            let load = Load {
                running: self.runs_at(&target) + self.others,
                waiting: 0,
                slots: SLOTS,
                slowdown_percent: None,
            };
            self.observations.record_load(Time(self.now), &target, load);
            self.step(&Event::AnswerStarted { run: *run });
        }
        for run in self.runs.keys().copied().collect::<Vec<_>>() {
            self.step(&Event::StreamEvent { run });
        }
    }

    /// Lets time pass while all targets serve.
    fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += TICK_MS;
            let started = self.step(&Event::Tick);
            self.serve(&started);
        }
    }

    /// Time until a sample is at a target, while all targets serve.
    fn wait_of(&mut self, sample: usize) -> u64 {
        let since = self.now;
        while !self.runs.values().any(|(index, _)| *index == sample) {
            assert!(self.now < since + 60_000, "the sample is not placed within 60 s");
            self.run_for(TICK_MS);
        }
        self.now - since
    }
}

fn members(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn sample_at_no_target_is_reported_with_its_cause() {
    let mut world = World::new(&members(&["me"]), 0);
    world.now = 1_000;
    world.step(&Event::Opened(job_spec("j", 1)));
    world.run_for(950);
    assert_eq!(world.unplaced, [], "reported before the sample has waited for a second");
    world.run_for(2_000);
    let none = (Cause::NoTarget, vec![(0, 1_000)]);
    assert_eq!(world.unplaced, [none.clone(), none]);

    world.fleet.announce(Time(world.now), target(0));
    world.step(&Event::Stale { part: 0, stale: true });
    world.run_for(1_000);
    assert_eq!(world.unplaced.last(), Some(&(Cause::Stale, vec![(0, 1_000)])));

    let started = world.step(&Event::Stale { part: 0, stale: false });
    let target = String::from("e0");
    for _ in 0..1_000 / TICK_MS {
        world.now += TICK_MS;
        world.step(&Event::Tick);
    }
    let unsent = Cause::Unsent { target: target.clone() };
    assert_eq!(world.unplaced.last(), Some(&(unsent, vec![(0, 1_000)])));
    world.step(&Event::Sent { run: started[0] });
    for _ in 0..1_000 / TICK_MS {
        world.now += TICK_MS;
        world.step(&Event::Tick);
    }
    let unanswered = Cause::Unanswered { target };
    assert_eq!(world.unplaced.last(), Some(&(unanswered, vec![(0, 1_000)])));

    let reports = world.unplaced.len();
    world.serve(&started);
    world.run_for(2_000);
    assert_eq!(world.unplaced.len(), reports, "reported while it is at a target");
}

#[test]
fn a_change_of_the_instance_whose_turn_it_is_is_reported() {
    let me = Some(String::from("me"));
    let mut world = World::new(&members(&["me"]), 0);
    world.step(&Event::Opened(job_spec("j", 2)));
    assert_eq!(world.reassigned, [(None, me.clone(), vec![0, 1])]);
    let all = members(&["a", "b", "c", "me"]);
    let other = owner(&all, "j", "g").map(str::to_owned);
    assert_ne!(other, me, "the case needs a group that moves");
    world.step(&Event::Members(all));
    assert_eq!(world.reassigned.last(), Some(&(me, other, vec![0, 1])));
}

/// One instance had nearly all runs that there were, and took the others to
/// have as many each, so that all targets seemed full to it.
#[test]
fn sample_is_placed_although_others_are_expected_to_fill_the_targets() {
    let mut all: Vec<String> = (0..12).map(|n| format!("i{n}")).collect();
    all.push("me".into());
    let is_own = |job: &String| owner(&all, job, "g") == Some("me");
    let job = (0..).map(|n| format!("j{n}")).find(is_own).unwrap();
    let mut world = World::new(&all, 11);
    world.now = 1_000;
    let started = world.step(&Event::Opened(job_spec(&job, 24)));
    world.serve(&started);
    world.run_for(2_000);
    assert_eq!(world.runs.len(), 24);
    let (run, (sample, _)) = world.runs.first_key_value().map(|(r, s)| (*r, s.clone())).unwrap();
    world.end(run, End::Broken);
    let wait_ms = world.wait_of(sample);
    assert!(wait_ms <= MAX_WAIT_MS, "the sample waited for {wait_ms} ms");
}

/// All targets had failed several times in a row, and served again: each was
/// left alone for a fixed time.
#[test]
fn sample_is_placed_although_all_targets_have_failed_before() {
    for targets in [2, 70] {
        for back_at in (3_000..=12_000).step_by(500) {
            let wait_ms = longest_wait_after_failures(targets, back_at);
            assert!(
                wait_ms <= MAX_WAIT_MS,
                "{targets} targets, back at {back_at} ms: one sample waited for {wait_ms} ms"
            );
        }
    }
}

/// The longest wait of twelve samples after the time at which targets that could
/// not be reached serve again.
fn longest_wait_after_failures(targets: usize, back_at: u64) -> u64 {
    let mut world = World::new(&members(&["me"]), targets);
    world.now = 1_000;
    let mut started = world.step(&Event::Opened(job_spec("j", 12)));
    while world.now < back_at {
        for run in started {
            world.end(run, End::Unreached);
        }
        world.now += TICK_MS;
        started = world.step(&Event::Tick);
    }
    for run in started {
        world.end(run, End::Unreached);
    }
    for sample in 0..12 {
        world.wait_of(sample);
    }
    world.now - back_at
}

/// Plain services seemed full of the samples that other instances were expected
/// to run, which run at engines.
#[test]
fn plain_services_are_not_expected_to_run_samples() {
    let mut all: Vec<String> = (0..12).map(|n| format!("i{n}")).collect();
    all.push("me".into());
    let with_owner = |is_own: bool| {
        let is_wanted = |job: &String| (owner(&all, job, "g") == Some("me")) == is_own;
        (0..).map(|n| format!("j{n}")).find(is_wanted).unwrap()
    };
    let mut world = World::new(&all, 11);
    world.now = 1_000;
    let started = world.step(&Event::Opened(job_spec(&with_owner(true), 24)));
    world.serve(&started);
    world.step(&Event::Opened(job_spec(&with_owner(false), 300)));
    world.run_for(2_000);
    assert_eq!(world.runs.len(), 24);
    let service = Announcement { pool: "app".into(), slots: 6, ..target(100) };
    let need = Need { events: 1.0, max_load: 3.0, instances: 1.0, salt: 1 };
    let now = Time(world.now);
    let chosen = world.observations.choose(now, [&service].into_iter(), need);
    assert!(chosen.is_some(), "a service without a request seems full");
}

/// Places were kept for instances that ran nothing: each sample beyond the share
/// of this instance waited until one of its runs ended.
#[test]
fn share_of_instances_that_run_nothing_is_used() {
    let (mut world, own) = one_of_twelve(240);
    assert!((10..=24).contains(&own), "{own} samples of half of the places");
    world.run_for(MAX_WAIT_MS);
    assert_eq!(world.runs.len(), own, "samples at targets after 5 s, of those to run");
}

/// An instance that had used the places of others went on doing so.
#[test]
fn share_of_others_is_given_back_once_they_run_something() {
    let (mut world, own) = one_of_twelve(960);
    world.run_for(MAX_WAIT_MS);
    let most = world.runs.len();
    assert!(most < 48, "{most} runs, of {own}: nothing is left for the others");
    assert!(most > 24, "{most} runs, of {own}: the case needs places that are used for others");
    world.others = 8;
    for run in world.runs.keys().copied().collect::<Vec<_>>() {
        world.now += TICK_MS;
        let started = {
            world.runs.remove(&run);
            world.step(&Event::Ended { run, end: End::Whole })
        };
        world.serve(&started);
    }
    world.run_for(2_000);
    assert!(world.runs.len() <= 8, "{} runs, of a share of 4", world.runs.len());
}

/// This instance and eleven others that run nothing, with a job of so many samples
/// and four targets. Returns the number of samples that are its own.
fn one_of_twelve(samples: usize) -> (World, usize) {
    let mut all: Vec<String> = (0..11).map(|n| format!("i{n}")).collect();
    all.push("me".into());
    let mut world = World::new(&all, 4);
    let memory = Memory { tokens: 10_000_000, event_tokens: 50 };
    world.fleet.set_memory([("llm".to_owned(), memory)].into_iter());
    world.now = 1_000;
    let mut spec = job_spec("j", samples);
    for (at, sample) in spec.samples.iter_mut().enumerate() {
        sample.group = format!("g{at}");
    }
    let is_own = |at: &usize| owner(&all, "j", &format!("g{at}")) == Some("me");
    let own = (0..samples).filter(is_own).count();
    let started = world.step(&Event::Opened(spec));
    world.serve(&started);
    (world, own)
}

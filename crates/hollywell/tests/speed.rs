//! Targets of uneven speed that are slow for moments: single cases, and a load
//! that is replayed with and without what the targets state.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, HashMap, VecDeque};

use hollywell::core::{
    choice::{Load, Need, Observations},
    dispatch::{
        Demand, Effect, End, Event, JobSpec, MoveReason, Run, SampleId, SampleSpec, Size, State,
    },
    fleet::{Announcement, Fleet},
    speed::{PASSING_MS, Speed, Unsound},
    time::Time,
};
use serde::Deserialize;

const SLOTS: u32 = 6;
const NEED: Need = Need { events: 1.0, max_load: 1.6, instances: 1.0, salt: 7 };

fn target(id: &str, pool: &str) -> Announcement {
    Announcement {
        id: id.into(),
        pool: pool.into(),
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

fn load(running: usize, slowdown_percent: Option<u32>) -> Load {
    Load { running: running as u32, waiting: 0, slots: SLOTS, slowdown_percent }
}

/// Observations of targets by id, pace and stated slowdown, as of 1,000 ms.
fn observations(targets: &[(&str, f64, u32)]) -> Observations {
    let mut observations = Observations::default();
    for (id, pace_ms, slowdown) in targets {
        observations.record_load(Time(1), id, load(0, Some(100))).unwrap();
        for n in 0..30 {
            observations.record_event_gap(Time(10 + n), id, *pace_ms);
        }
        // Connections and free slots are alike.
        observations.request_started(id);
        observations.request_ended(Time(1_000), id);
        observations.record_load(Time(1_000), id, load(0, Some(*slowdown))).unwrap();
    }
    observations
}

fn chosen(observations: &Observations, now: u64, events: f64) -> String {
    let targets = [target("fast", "llm"), target("slow", "llm")];
    let need = Need { events, ..NEED };
    observations.choose(Time(now), targets.iter(), need).unwrap().id.clone()
}

#[test]
fn long_samples_go_to_what_lasts_fast_and_short_ones_away_from_what_is_slow_now() {
    let observations = observations(&[("fast", 40.0, 250), ("slow", 72.0, 100)]);
    assert_eq!(chosen(&observations, 1_010, 100.0), "fast", "the slow moment is a small part");
    assert_eq!(chosen(&observations, 1_010, 2.0), "slow", "the slow moment lasts for all of it");
    assert_eq!(chosen(&observations, 1_000 + PASSING_MS, 2.0), "fast", "the moment has passed");
}

#[test]
fn plain_requests_go_away_from_what_is_slow_now_and_what_lasts_slow() {
    let (a, b) = (target("a", "web"), target("b", "web"));
    let choice = |observations: &Observations, now: u64| {
        let targets = [&a, &b].into_iter();
        observations.choose_for_answer(Time(now), targets, NEED).unwrap().id.clone()
    };
    let mut observations = Observations::default();
    for n in 0..20 {
        for (id, took_ms) in [("a", 60), ("b", 20)] {
            observations.request_started(id);
            observations.record_load(Time(n), id, load(0, Some(100))).unwrap();
            observations.record_answer_time(Time(n), id, took_ms);
            observations.request_ended(Time(n), id);
        }
    }
    assert_eq!(choice(&observations, 100), "b");
    observations.record_load(Time(101), "b", load(0, Some(900))).unwrap();
    assert_eq!(choice(&observations, 102), "a");
    assert_eq!(choice(&observations, 101 + PASSING_MS), "b");
}

#[test]
fn a_statement_that_makes_no_sense_leaves_the_last_sound_one() {
    let mut speed = Speed::default();
    speed.record_statement(Time(5), 250).unwrap();
    for percent in [0, 1, 10_001, u32::MAX] {
        assert_eq!(speed.record_statement(Time(6), percent), Err(Unsound { percent }));
    }
    assert!((speed.factor(Time(7)) - 2.5).abs() < 1e-9, "{speed:?}");
    assert_eq!(
        Unsound { percent: 0 }.to_string(),
        "slowdown of 0 percent, 10 to 10000 expected",
        "the log line has the value"
    );
    // The rest of such a report is recorded, and one without a statement
    // changes nothing.
    let mut observations = Observations::default();
    observations.record_load(Time(5), "a", load(2, Some(250))).unwrap();
    observations.record_load(Time(6), "a", load(4, Some(0))).unwrap_err();
    observations.record_load(Time(6), "a", load(4, None)).unwrap();
    assert!(observations.load_of(Time(6), "a") > 3.9);
    let factor = observations.get("a").unwrap().speed.factor(Time(7));
    assert!((factor - 2.5).abs() < 1e-9, "{factor}");
}

/// Records gaps of one length for a while, from one head on.
fn stream(speed: &mut Speed, from: u64, percent: u32, gap_ms: u64, lasts_ms: u64) -> u64 {
    speed.record_statement(Time(from), percent).unwrap();
    let mut now = from;
    while now < from + lasts_ms {
        now += gap_ms;
        speed.record_gap(Time(now), gap_ms as f64, 0.0);
    }
    now
}

#[test]
fn a_stated_slowness_leaves_the_lasting_speed() {
    let mut speed = Speed::default();
    let now = stream(&mut speed, 0, 100, 40, 600);
    let now = stream(&mut speed, now, 250, 100, 900);
    let pace = speed.pace_ms().unwrap();
    assert!((pace - 40.0).abs() < 1.0, "{pace} ms an event, 40 expected");
    // Also if it ends soon after it was stated.
    stream(&mut speed, now, 250, 40, 600);
    let pace = speed.pace_ms().unwrap();
    assert!((pace - 40.0).abs() < 1.0, "{pace} ms an event, 40 expected");
    // And if nothing else was seen of the target yet.
    let mut speed = Speed::default();
    let now = stream(&mut speed, 0, 250, 100, 300);
    stream(&mut speed, now, 100, 40, 600);
    let pace = speed.pace_ms().unwrap();
    assert!((pace - 40.0).abs() < 4.0, "{pace} ms an event, 40 expected");
}

#[test]
fn a_slowness_that_is_not_stated_and_lasts_is_found_and_its_end_too() {
    let mut speed = Speed::default();
    let mut now = stream(&mut speed, 0, 100, 40, 1_000);
    // Streams that begin in the meantime state that all is as usual.
    for _ in 0..6 {
        now = stream(&mut speed, now, 100, 130, 300);
    }
    let pace = speed.pace_ms().unwrap();
    assert!(pace > 100.0, "{pace} ms an event after two slow seconds, 130 expected");
    stream(&mut speed, now, 100, 40, 1_000);
    let pace = speed.pace_ms().unwrap();
    assert!(pace < 55.0, "{pace} ms an event after another second, 40 expected");
}

#[test]
fn first_events_that_arrive_at_once_do_not_make_a_target_fast_for_good() {
    let mut speed = Speed::default();
    speed.record_statement(Time(0), 100).unwrap();
    (0..5).for_each(|_| speed.record_gap(Time(200), 0.0, 0.0));
    stream(&mut speed, 200, 100, 40, 1_500);
    let pace = speed.pace_ms().unwrap();
    assert!(pace > 35.0, "{pace} ms an event, 40 expected");
}

#[test]
fn times_of_zero_leave_sound_expectations() {
    let mut speed = Speed::default();
    let now = stream(&mut speed, 0, 100, 40, 1_000);
    (0..2_000).for_each(|_| speed.record_gap(Time(now), 0.0, 0.0));
    speed.record_answer(Time(now), 0.0);
    let run_ms = speed.run_ms(Time(now), 100.0);
    assert!(run_ms.is_finite() && run_ms > 0.0, "{run_ms} ms for 100 ms of work");
    (0..100).for_each(|_| speed.record_answer(Time(now + PASSING_MS), 60.0));
    let answer_ms = speed.own_answer_ms().unwrap();
    assert!((50.0..70.0).contains(&answer_ms), "{answer_ms} ms, 60 expected");
}

#[test]
fn the_lasting_speed_is_that_of_an_empty_target() {
    let (mut empty, mut full) = (Speed::default(), Speed::default());
    for n in 0..40 {
        empty.record_gap(Time(n), 40.0, 0.0);
        full.record_gap(Time(n), 40.0 * 1.04, 8.0);
    }
    for speed in [&mut empty, &mut full] {
        speed.record_statement(Time(50), 100).unwrap();
    }
    let (empty, full) = (empty.pace_ms().unwrap(), full.pace_ms().unwrap());
    assert!((empty - full).abs() < 0.1, "{empty} ms an event empty, {full} full");
}

fn job_spec(job: &str, events: &[u32]) -> JobSpec {
    let item = |(n, events): (usize, &u32)| SampleSpec {
        group: format!("g{n}"),
        tokens: events * 50,
        size: Size::default(),
        resumed: false,
    };
    let samples: Vec<SampleSpec> = events.iter().enumerate().map(item).collect();
    JobSpec {
        job: job.into(),
        part: 0,
        pool: "llm".into(),
        model: "m".into(),
        min_version: 1,
        max_attempts: 3,
        keep_until: Time(100_000),
        demand: Demand::default(),
        done: vec![false; samples.len()],
        samples,
    }
}

fn fleet(pool: &str, targets: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for n in 0..targets {
        fleet.announce(Time(1), target(&format!("{pool}{n}"), pool));
    }
    fleet
}

/// A slowness of a target that usually takes 40 ms an event.
struct Slowness {
    gap_ms: u64,
    lasts_ms: u64,
    /// What the target states before and when it begins, in percent.
    stated: Option<(u32, u32)>,
}

/// When a run leaves a target that turns slow at 1,000 ms for one that takes
/// 40 ms an event throughout.
fn leaves_at(slowness: &Slowness) -> Option<u64> {
    let mut fleet = fleet("llm", 1);
    let (mut state, mut observations) = (State::new("me"), Observations::default());
    state.step(Time(0), &Event::Members(vec!["me".into()]), &fleet, &mut observations);
    let run = Run(0);
    state.step(Time(10), &Event::Opened(job_spec("j", &[60])), &fleet, &mut observations);
    fleet.announce(Time(20), target("llm1", "llm"));
    state.step(Time(40), &Event::AnswerStarted { run }, &fleet, &mut observations);
    let (usual, slow) = (slowness.stated.map(|s| s.0), slowness.stated.map(|s| s.1));
    observations.record_load(Time(40), "llm0", load(1, usual)).unwrap();
    let slow_ms = 1_000..1_000 + slowness.lasts_ms;
    let mut next = 80;
    for now in (50..4_000).step_by(10) {
        if now % 40 == 0 {
            observations.record_load(Time(now), "llm1", load(0, usual)).unwrap();
            observations.record_event_gap(Time(now), "llm1", 40.0);
        }
        if now == slow_ms.start {
            observations.record_load(Time(now), "llm0", load(1, slow)).unwrap();
        }
        if now == next {
            state.step(Time(now), &Event::StreamEvent { run }, &fleet, &mut observations);
            next += if slow_ms.contains(&now) { slowness.gap_ms } else { 40 };
        }
        let effects = state.step(Time(now), &Event::Tick, &fleet, &mut observations);
        let moved = |effect: &Effect| matches!(effect, Effect::Moved { why: MoveReason::Slow, .. });
        if effects.iter().any(moved) {
            return Some(now);
        }
    }
    None
}

#[test]
fn a_run_stays_for_a_slowness_that_ends_sooner_than_a_move_pays() {
    let moment = |stated| Slowness { gap_ms: 100, lasts_ms: 600, stated };
    assert_eq!(leaves_at(&moment(Some((100, 250)))), None, "600 ms at 2.5 times the usual time");
    assert_eq!(leaves_at(&moment(None)), Some(1_100), "as by one mean, without statements");
}

#[test]
fn a_run_leaves_what_has_turned_slow_for_seconds() {
    let fault = |stated| Slowness { gap_ms: 130, lasts_ms: 6_000, stated };
    for stated in [None, Some((100, 100)), Some((100, 325))] {
        let left = leaves_at(&fault(stated)).unwrap();
        assert!(left <= 2_500, "{stated:?}: left at {left} ms, slow from 1,000 ms on");
    }
}

/// A target of the written load.
#[derive(Debug, Deserialize)]
struct Worker {
    pace_ms: f64,
    /// From, until, percent.
    slow: Vec<(u64, u64, u32)>,
}

impl Worker {
    fn percent(&self, now: u64) -> u32 {
        let is_now = |(from, until, _): &&(u64, u64, u32)| (*from..*until).contains(&now);
        self.slow.iter().find(is_now).map_or(100, |(_, _, percent)| *percent)
    }

    fn factor(&self, now: u64) -> f64 {
        f64::from(self.percent(now)) / 100.0
    }
}

#[derive(Debug, Deserialize)]
struct Job {
    at_ms: u64,
    events: Vec<u32>,
}

#[derive(Debug, Deserialize)]
struct Written {
    engines: Vec<Worker>,
    services: Vec<Worker>,
    jobs: Vec<Job>,
    requests: Vec<(u64, f64)>,
}

fn written() -> Written {
    serde_json::from_str(include_str!("loads/uneven-targets.json")).unwrap()
}

/// What callers feel of the samples.
#[derive(Debug, Default, PartialEq, Eq)]
struct Felt {
    /// Milliseconds until a job has nine tenths of its samples, mean.
    mean_ms: u64,
    /// The same, of the slowest job.
    worst_ms: u64,
    /// Runs that moved.
    moves: usize,
}

struct Active {
    sample_id: SampleId,
    engine: usize,
    progress: f64,
    answered: bool,
}

/// Replays the jobs at one instance; engines state their slowness or not.
fn replay_jobs(load: &Written, states: bool) -> Felt {
    const STEP_MS: u64 = 2;
    let fleet = fleet("llm", load.engines.len());
    let (mut state, mut observations) = (State::new("me"), Observations::default());
    state.step(Time(0), &Event::Members(vec!["me".into()]), &fleet, &mut observations);
    let mut runs: BTreeMap<Run, Active> = BTreeMap::new();
    let mut got: HashMap<SampleId, u32> = HashMap::new();
    let mut ends: Vec<Vec<u64>> = load.jobs.iter().map(|_| vec![]).collect();
    let mut felt = Felt::default();
    let mut now = 0;
    while ends.iter().zip(&load.jobs).any(|(ends, job)| ends.len() < job.events.len()) {
        now += STEP_MS;
        assert!(now < 60_000, "{felt:?}");
        let mut events: VecDeque<Event> = VecDeque::new();
        let due = load
            .jobs
            .iter()
            .enumerate()
            .filter(|(_, job)| (now - STEP_MS..now).contains(&job.at_ms));
        events.extend(due.map(|(n, job)| Event::Opened(job_spec(&n.to_string(), &job.events))));
        let mut running = vec![0; load.engines.len()];
        for (run, active) in &mut runs {
            let engine = &load.engines[active.engine];
            if running[active.engine] == SLOTS as usize {
                continue;
            }
            running[active.engine] += 1;
            let id = format!("llm{}", active.engine);
            if !active.answered {
                active.answered = true;
                let percent = states.then(|| engine.percent(now));
                observations
                    .record_load(Time(now), &id, self::load(running[active.engine], percent))
                    .unwrap();
                events.push_back(Event::AnswerStarted { run: *run });
            }
            active.progress += STEP_MS as f64 / engine.pace_ms / engine.factor(now);
            if active.progress >= 1.0 {
                active.progress -= 1.0;
                events.push_back(Event::StreamEvent { run: *run });
                let got = got.entry(active.sample_id.clone()).or_default();
                *got += 1;
                let job: usize = active.sample_id.job.parse().unwrap();
                if *got >= load.jobs[job].events[active.sample_id.index] {
                    events.push_back(Event::Ended { run: *run, end: End::Whole });
                }
            }
        }
        if now % 50 == 0 {
            events.push_back(Event::Tick);
        }
        while let Some(event) = events.pop_front() {
            if let Event::Ended { run, .. } = &event {
                runs.remove(run);
            }
            for effect in state.step(Time(now), &event, &fleet, &mut observations) {
                match effect {
                    Effect::Start { run, sample_id, target, .. } => {
                        let engine = target[3..].parse().unwrap();
                        let active = Active { sample_id, engine, progress: 0.0, answered: false };
                        runs.insert(run, active);
                    }
                    Effect::Cancel(run) => {
                        runs.remove(&run);
                        events.retain(|event| !is_of(event, run));
                    }
                    Effect::Moved { .. } => felt.moves += 1,
                    Effect::Score(sample_id) => events.push_back(Event::Scored(sample_id)),
                    Effect::Deliver(sample_id) => {
                        let job: usize = sample_id.job.parse().unwrap();
                        ends[job].push(now - load.jobs[job].at_ms);
                        events.push_back(Event::ResultStored(sample_id));
                    }
                    Effect::Discard(_) | Effect::GiveUp(_) | Effect::Waits { .. } => {}
                }
            }
        }
    }
    let nine_tenths = |ends: &Vec<u64>| ends[ends.len() * 9 / 10];
    felt.mean_ms = ends.iter().map(nine_tenths).sum::<u64>() / ends.len() as u64;
    felt.worst_ms = ends.iter().map(nine_tenths).max().unwrap();
    felt
}

fn is_of(event: &Event, of: Run) -> bool {
    match event {
        Event::AnswerStarted { run } | Event::StreamEvent { run } | Event::Ended { run, .. } => {
            *run == of
        }
        _ => false,
    }
}

/// Replays the plain requests at one instance and returns how long each took.
fn replay_requests(load: &Written, states: bool) -> Vec<u64> {
    let targets: Vec<Announcement> =
        (0..load.services.len()).map(|n| target(&format!("web{n}"), "web")).collect();
    let mut observations = Observations::default();
    // Requests in flight: when each ends, its target, and when it was sent.
    let mut in_flight: Vec<(u64, usize, u64)> = vec![];
    let mut took = vec![];
    for (at, work_ms) in &load.requests {
        let ended = |(until, ..): &mut (u64, usize, u64)| *until <= *at;
        let mut ended: Vec<_> = in_flight.extract_if(.., ended).collect();
        ended.sort_unstable();
        for (until, n, sent) in ended {
            let id = &targets[n].id;
            let percent = states.then(|| load.services[n].percent(until));
            observations.record_load(Time(until), id, self::load(0, percent)).unwrap();
            observations.record_answer_time(Time(until), id, until - sent);
            observations.request_ended(Time(until), id);
            took.push(until - sent);
        }
        let need = Need { salt: *at, ..NEED };
        let choice = observations.choose_for_answer(Time(*at), targets.iter(), need);
        let n = targets.iter().position(|target| Some(target) == choice).unwrap();
        observations.request_started(&targets[n].id);
        let mut left_ms = work_ms * load.services[n].pace_ms / 100.0;
        let mut until = *at;
        while left_ms > 0.0 {
            left_ms -= 1.0 / load.services[n].factor(until);
            until += 1;
        }
        in_flight.push((until, n, *at));
    }
    took.sort_unstable();
    took
}

#[test]
fn jobs_end_as_soon_with_fewer_moves_on_engines_that_state_their_slowness() {
    let load = written();
    let (before, after) = (replay_jobs(&load, false), replay_jobs(&load, true));
    println!("without statements {before:?}, with them {after:?}");
    let as_by_one_mean = Felt { mean_ms: 1_681, worst_ms: 2_475, moves: 109 };
    assert_eq!(before, as_by_one_mean, "without statements");
    assert!(after.moves < before.moves, "{after:?}, without statements {before:?}");
    assert!(after.mean_ms <= before.mean_ms, "{after:?}, without statements {before:?}");
}

#[test]
fn fewer_plain_requests_are_late_at_services_that_state_their_slowness() {
    const OBJECTIVE_MS: u64 = 100;
    let load = written();
    let felt = |states: bool| {
        let took = replay_requests(&load, states);
        let late = took.iter().filter(|took| **took > OBJECTIVE_MS).count();
        (took[took.len() / 2], late, took.len())
    };
    let (before, after) = (felt(false), felt(true));
    println!("median in ms, late, all: without statements {before:?}, with them {after:?}");
    assert_eq!(before, (28, 25, 390), "without statements, as if all were alike");
    assert!(after.1 < before.1, "{after:?}, without statements {before:?}");
}

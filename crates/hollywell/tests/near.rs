//! Choices among thousands of targets by many instances that know nothing of
//! each other's: spread, distance, and what is left when a domain is lost.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use hollywell::core::{
    choice::Observations,
    dispatch::{Effect, End, Event, JobSpec, Run, SampleSpec, State},
    fleet::{Announcement, Fleet},
    time::Time,
};

const DOMAINS: usize = 6;
const ENGINES: usize = 1_030 * DOMAINS;
const SLOTS: u32 = 6;

fn domain(n: usize) -> String {
    format!("hall-{}", n % DOMAINS)
}

/// Engines of which one in so many has the version that is asked for.
fn fleet(one_in: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for n in 0..ENGINES {
        let version = if (n / DOMAINS).is_multiple_of(one_in) { 2 } else { 1 };
        let said = Announcement {
            id: format!("e{n}"),
            pool: "llm".into(),
            address: ([10, 0, 0, 1], 80).into(),
            domain: domain(n),
            slots: SLOTS,
            draining: false,
            cold: false,
            start_ms: None,
            sequence: 0,
            versions: BTreeMap::from([("m".to_owned(), version)]),
        };
        fleet.announce(Time(1), said);
    }
    fleet
}

fn work(job: &str, samples: usize) -> JobSpec {
    let item = |_| SampleSpec { group: "g".into(), tokens: 500, resumed: false };
    JobSpec {
        job: job.into(),
        part: 0,
        pool: "llm".into(),
        model: "m".into(),
        min_version: 2,
        max_attempts: 3,
        keep_until: Time(40_000),
        done: vec![false; samples],
        samples: (0..samples).map(item).collect(),
    }
}

/// An instance that alone owns a job of so many samples.
fn started(n: usize, fleet: &Fleet, samples: usize) -> (State, Observations, Vec<Effect>) {
    let me = format!("i{n}");
    let (mut state, mut observations) =
        (State::new(&me).in_domain(&domain(n)), Observations::default());
    state.step(Time(10), &Event::Members(vec![me]), fleet, &mut observations);
    let job = Event::Opened(work(&format!("j{n}"), samples));
    let effects = state.step(Time(11), &job, fleet, &mut observations);
    (state, observations, effects)
}

fn targets(effects: &[Effect]) -> Vec<(Run, String)> {
    let start = |effect: &Effect| match effect {
        Effect::Start { run, target, .. } => Some((*run, target.clone())),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

#[test]
fn instances_spread_over_the_engines_of_their_own_domain() {
    let fleet = fleet(10);
    let mut load: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..120 {
        let (_, _, effects) = started(n, &fleet, 8);
        let used = targets(&effects);
        assert_eq!(used.len(), 8, "all samples of {n} start");
        for (_, target) in used {
            assert_eq!(fleet.targets[&target].announcement.domain, domain(n), "{n} at {target}");
            assert_eq!(fleet.targets[&target].announcement.versions["m"], 2, "{n} at {target}");
            *load.entry(target).or_default() += 1;
        }
    }
    // 960 samples on 618 engines; nobody knows of the others. An engine queues
    // what exceeds its places, up to six tenths more.
    let most = load.values().max().unwrap();
    assert!(*most <= SLOTS * 16 / 10, "{most} at one engine of {SLOTS} places");
}

#[test]
fn where_few_engines_have_the_version_all_domains_are_used() {
    // Seven in each domain.
    let fleet = fleet(150);
    let (_, _, effects) = started(0, &fleet, 60);
    assert_eq!(targets(&effects).len(), 60);
}

#[test]
fn samples_of_a_lost_domain_go_on_elsewhere_at_once() {
    let fleet = fleet(10);
    let (mut state, mut observations, effects) = started(0, &fleet, 8);
    let mut now = 1_000;
    let mut lost = targets(&effects);
    for round in 0..40 {
        // Whatever is sent to the lost domain breaks.
        let mut again = Vec::new();
        for (run, target) in lost {
            if fleet.targets[&target].announcement.domain != domain(0) {
                continue;
            }
            let ended = Event::Ended { run, end: End::Unreached };
            again.extend(state.step(Time(now), &ended, &fleet, &mut observations));
        }
        now += 60;
        again.extend(state.step(Time(now), &Event::Tick, &fleet, &mut observations));
        lost = targets(&again);
        let elsewhere =
            lost.iter().all(|(_, id)| fleet.targets[id].announcement.domain != domain(0));
        if lost.is_empty() || elsewhere {
            assert!(round > 0, "the first ones were at home");
            return;
        }
    }
    panic!("samples are still sent to the lost domain after {now} ms");
}

#[test]
fn an_engine_that_is_new_enough_only_now_is_found_soon() {
    let mut fleet = fleet(ENGINES);
    for n in 0..DOMAINS {
        let mut said = fleet.targets[&format!("e{n}")].announcement.clone();
        said.draining = true;
        fleet.announce(Time(5), said);
    }
    let (mut state, mut observations, effects) = started(0, &fleet, 1);
    assert!(targets(&effects).is_empty(), "nobody has the version");
    fleet.record_version("e4000", None, "m", 2);
    let effects = state.step(Time(120), &Event::Tick, &fleet, &mut observations);
    assert_eq!(targets(&effects).len(), 1, "looked again after 100 ms");
}

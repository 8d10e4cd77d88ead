//! What runs where: cases, and schedules in which every sample of every
//! member set is run by somebody.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use hollywell::core::{
    choice::Observations,
    dispatch::{Effect, End, Event, JobSpec, MoveReason, Run, SampleId, SampleSpec, State, owner},
    fleet::{Announcement, Fleet},
    time::Time,
};

struct World {
    state: State,
    fleet: Fleet,
    observations: Observations,
}

fn target(id: &str, version: u64) -> Announcement {
    Announcement {
        id: id.into(),
        pool: "llm".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "d".into(),
        slots: 4,
        draining: false,
        cold: false,
        start_ms: None,
        sequence: 0,
        versions: BTreeMap::from([("m".to_owned(), version)]),
    }
}

fn work(job: &str, hints: &[u32]) -> JobSpec {
    let item = |(n, tokens): (usize, &u32)| SampleSpec {
        group: format!("g{n}"),
        tokens: *tokens,
        resumed: false,
    };
    let samples: Vec<SampleSpec> = hints.iter().enumerate().map(item).collect();
    JobSpec {
        job: job.into(),
        part: 0,
        pool: "llm".into(),
        model: "m".into(),
        min_version: 1,
        max_attempts: 3,
        keep_until: Time(40_000),
        done: vec![false; samples.len()],
        samples,
    }
}

fn world(targets: &[Announcement]) -> World {
    let mut fleet = Fleet::default();
    for target in targets {
        fleet.announce(Time(1), target.clone());
    }
    let mut world = World { state: State::new("me"), fleet, observations: Observations::default() };
    world.state.step(
        Time(0),
        &Event::Members(vec!["me".into()]),
        &world.fleet,
        &mut world.observations,
    );
    world
}

#[test]
fn an_instance_that_has_not_read_who_lives_runs_nothing() {
    let mut world = world(&[target("a", 1)]);
    world.state = State::new("me");
    let opened = Event::Opened(work("j", &[10, 20]));
    assert_eq!(world.state.step(Time(1), &opened, &world.fleet, &mut world.observations), []);
    let members = Event::Members(vec!["me".into()]);
    let started = world.state.step(Time(2), &members, &world.fleet, &mut world.observations);
    assert_eq!(started.len(), 2, "{started:?}");
}

impl World {
    fn step(&mut self, now: u64, event: &Event) -> Vec<Effect> {
        self.state.step(Time(now), event, &self.fleet, &mut self.observations)
    }
}

fn starts(effects: &[Effect]) -> Vec<(Run, usize, String)> {
    let start = |effect: &Effect| match effect {
        Effect::Start { run, sample_id, target, .. } => {
            Some((*run, sample_id.index, target.clone()))
        }
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

fn slot(job: &str, at: usize) -> SampleId {
    SampleId { job: job.into(), index: at }
}

#[test]
fn the_longest_samples_start_first_and_a_listed_one_never() {
    let mut world = world(&[target("a", 1)]);
    let mut job = work("j", &[100, 900, 500]);
    job.done[2] = true;
    let order: Vec<usize> =
        starts(&world.step(10, &Event::Opened(job))).iter().map(|start| start.1).collect();
    assert_eq!(order, [1, 0]);
}

#[test]
fn an_engine_with_an_old_version_gets_nothing() {
    let mut world = world(&[target("old", 1), target("new", 2)]);
    let job = JobSpec { min_version: 2, ..work("j", &[100, 100]) };
    let started = starts(&world.step(10, &Event::Opened(job)));
    assert!(started.iter().all(|start| start.2 == "new"), "{started:?}");
}

#[test]
fn nothing_starts_on_a_partition_that_is_out_of_date() {
    let mut world = world(&[target("a", 1)]);
    world.step(5, &Event::Stale { part: 0, stale: true });
    assert!(starts(&world.step(10, &Event::Opened(work("j", &[100])))).is_empty());
    let effects = world.step(20, &Event::Stale { part: 0, stale: false });
    assert_eq!(starts(&effects).len(), 1, "it starts once the partition was read");
}

#[test]
fn an_ended_job_is_cancelled_and_its_late_ends_change_nothing() {
    let mut world = world(&[target("a", 1)]);
    let run = starts(&world.step(10, &Event::Opened(work("j", &[100]))))[0].0;
    let effects = world.step(20, &Event::Closed("j".into()));
    assert!(effects.contains(&Effect::Cancel(run)), "{effects:?}");
    assert!(world.step(30, &Event::Ended { run, end: End::Whole }).is_empty());
}

#[test]
fn a_whole_text_is_scored_and_then_delivered_once() {
    let mut world = world(&[target("a", 1)]);
    let run = starts(&world.step(10, &Event::Opened(work("j", &[100]))))[0].0;
    let effects = world.step(20, &Event::Ended { run, end: End::Whole });
    assert_eq!(effects, [Effect::Score(slot("j", 0))]);
    assert_eq!(world.step(30, &Event::Scored(slot("j", 0))), [Effect::Deliver(slot("j", 0))]);
    assert!(world.step(40, &Event::Scored(slot("j", 0))).is_empty());
}

#[test]
fn failures_count_until_a_sample_may_be_given_up_and_refusals_do_not() {
    let mut world = world(&[target("a", 1), target("b", 1)]);
    let mut now = 10;
    let mut effects = world.step(now, &Event::Opened(work("j", &[100])));
    for end in [End::Full, End::Failed, End::Misdirected, End::Failed, End::Failed] {
        let mut started = starts(&effects);
        while started.is_empty() {
            now += 50;
            started = starts(&world.step(now, &Event::Tick));
            assert!(now < 5_000, "it starts again");
        }
        effects = world.step(now, &Event::Ended { run: started[0].0, end });
    }
    assert_eq!(effects, [Effect::GiveUp(slot("j", 0))]);
}

#[test]
fn a_silent_stream_moves_only_while_another_engine_has_a_free_place() {
    let mut world = world(&[target("a", 1)]);
    let (run, _, _) = starts(&world.step(10, &Event::Opened(work("j", &[100]))))[0].clone();
    world.step(20, &Event::AnswerStarted { run });
    assert!(world.step(500, &Event::Tick).is_empty(), "there is nowhere to go");
    world.fleet.announce(Time(500), target("b", 1));
    let effects = world.step(520, &Event::Tick);
    assert!(effects.contains(&Effect::Cancel(run)), "{effects:?}");
    assert_eq!(starts(&effects)[0].2, "b");
    let stalled =
        |effect: &Effect| matches!(effect, Effect::Moved { why: MoveReason::Stalled, .. });
    assert!(effects.iter().any(stalled));
}

#[test]
fn a_run_that_could_not_begin_again_here_stays_on_a_slow_engine() {
    let moves = |members: &[&str], stale: bool| {
        let mut world = world(&[target("a", 1)]);
        let started = starts(&world.step(10, &Event::Opened(work("j", &[5_000]))));
        world.fleet.announce(Time(20), target("b", 1));
        let run = started[0].0;
        world.step(20, &Event::AnswerStarted { run });
        for n in 0..10 {
            world.step(20 + n * 100, &Event::StreamEvent { run });
        }
        // The other engine is known to be three times as fast.
        (0..10).for_each(|_| world.observations.record_event_gap("b", 30.0));
        let members = members.iter().map(|member| (*member).to_owned()).collect();
        world.step(921, &Event::Members(members));
        world.step(921, &Event::Stale { part: 0, stale });
        let effects = world.step(930, &Event::Tick);
        effects.iter().any(|effect| matches!(effect, Effect::Moved { .. }))
    };
    assert!(moves(&["me"], false));
    assert!(!moves(&["somebody else"], false), "its new owner may not know of it yet");
    assert!(!moves(&["me"], true), "its job may have been ended");
}

#[test]
fn a_run_leaves_an_engine_that_is_gone() {
    let mut world = world(&[target("a", 1), target("b", 1)]);
    let (run, _, at) = starts(&world.step(10, &Event::Opened(work("j", &[100]))))[0].clone();
    world.fleet.record_expiry(Time(20), &at);
    let effects = world.step(20, &Event::Tick);
    assert!(effects.contains(&Effect::Cancel(run)), "{effects:?}");
    assert_ne!(starts(&effects)[0].2, at);
}

#[test]
fn every_group_has_one_owner_and_a_change_moves_only_what_it_must() {
    let members: Vec<String> = (0..9).map(|n| format!("m{n}")).collect();
    let mut moved = 0;
    for group in 0..200 {
        let group = format!("g{group}");
        let before = owner(&members, "j", &group).unwrap();
        let left: Vec<String> = members[1..].to_vec();
        let after = owner(&left, "j", &group).unwrap();
        if before != after {
            assert_eq!(before, "m0");
            moved += 1;
        }
    }
    assert!((8..=40).contains(&moved), "about a ninth of 200 groups moves, not {moved}");
}

#[test]
fn a_new_member_set_hands_idle_samples_over_and_takes_others() {
    let mut world = world(&[]);
    world.step(10, &Event::Opened(work("j", &[100; 20])));
    let members = vec!["me".to_owned(), "you".to_owned()];
    world.step(20, &Event::Members(members.clone()));
    world.fleet.announce(Time(30), target("a", 1));
    world.fleet.announce(Time(30), target("b", 1));
    world.fleet.announce(Time(30), target("c", 1));
    let mut mine: Vec<usize> =
        starts(&world.step(30, &Event::Tick)).iter().map(|start| start.1).collect();
    mine.sort_unstable();
    let expected: Vec<usize> =
        (0..20).filter(|at| owner(&members, "j", &format!("g{at}")) == Some("me")).collect();
    assert_eq!(mine, expected);
}

#[test]
fn samples_that_an_earlier_step_asked_for_come_before_longer_ones() {
    let mut world = world(&[target("a", 1)]);
    let mut job = work("j", &[900, 100]);
    job.samples[1].resumed = true;
    let effects = world.step(10, &Event::Opened(job));
    let order: Vec<usize> = starts(&effects).iter().map(|start| start.1).collect();
    assert_eq!(order, [1, 0]);
    let ranks: Vec<u8> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Start { priority, .. } => Some(*priority),
            _ => None,
        })
        .collect();
    assert!(ranks[0] <= ranks[1], "{ranks:?}");
}

#[test]
fn a_run_begins_anew_after_a_text_that_is_well_ahead_of_its_own() {
    let mut world = world(&[target("a", 1)]);
    let (run, _, _) = starts(&world.step(10, &Event::Opened(work("j", &[100]))))[0].clone();
    world.step(20, &Event::StreamEvent { run });
    assert!(
        world.step(30, &Event::PartialTextStored { sample_id: slot("j", 0), last: 5 }).is_empty()
    );
    let effects = world.step(40, &Event::PartialTextStored { sample_id: slot("j", 0), last: 60 });
    assert!(effects.contains(&Effect::Cancel(run)), "{effects:?}");
    assert_eq!(starts(&effects).len(), 1);
}

#[test]
fn after_any_changes_of_the_members_each_group_is_its_owner_s() {
    arbtest::arbtest(|u| {
        let names: Vec<String> = (0..9).map(|n| format!("i{n}")).collect();
        let mut world = world(&[]);
        world.state = State::new("i0");
        world.step(1, &Event::Opened(work("j", &[10; 24])));
        let mut members = Vec::new();
        for round in 0..6 {
            members.clear();
            for name in &names {
                if u.ratio(2, 3)? {
                    members.push(name.clone());
                }
            }
            world.step(2 + round, &Event::Members(members.clone()));
        }
        let engine = Announcement { slots: 1_000, ..target("e", 1) };
        world.fleet.announce(Time(50), engine);
        let mut started: Vec<usize> =
            starts(&world.step(100, &Event::Tick)).into_iter().map(|(_, at, _)| at).collect();
        started.sort_unstable();
        let is_own = |n: &usize| owner(&members, "j", &format!("g{n}")) == Some("i0");
        assert_eq!(started, (0..24).filter(is_own).collect::<Vec<_>>());
        Ok(())
    });
}

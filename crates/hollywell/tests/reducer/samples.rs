//! Steps, samples and second runs.

use hollywell::{
    core::{
        member::{Kind as MemberKind, Load},
        rollout::{End as SampleEnd, Group, Opening},
        stream::Record,
        table::{Edit, Row},
    },
    prelude::*,
};

use crate::help::*;

fn loaded(version: u64) -> Event {
    let load =
        Load { slots: 8, versions: [(String::from("t"), version)].into(), ..Load::default() };
    Event::Loaded { target: "e1".into(), load: Some(load) }
}

fn open_step(version: u64) -> Event {
    let opening = Opening {
        trainer: "t".into(),
        step: 1,
        attempt: 1,
        version,
        groups: vec![Group { group: 0, missing: vec![0, 1, 2] }],
        timeout_ms: 10_000,
    };
    Event::StepOpened { request: Request(9), opening }
}

fn generated(effects: &[Effect]) -> Vec<Dispatch> {
    let one = |effect: &Effect| match effect {
        Effect::Generate { dispatch, .. } => Some(*dispatch),
        _ => None,
    };
    effects.iter().filter_map(one).collect()
}

fn delivered(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Deliver { .. })).count()
}

fn rollout_state() -> State {
    let mut state = state_with(vec![listed("e1", MemberKind::Engine, "gen")]);
    state.step(Time(1_001), &edit(0, None, 1));
    state.step(Time(1_002), &loaded(4));
    state
}

#[test]
fn a_trainer_has_no_more_samples_in_flight_than_its_row_allows() {
    let mut state = rollout_state();
    assert_eq!(generated(&state.step(Time(1_003), &open_step(4))).len(), 2);
}

#[test]
fn a_bound_that_is_tightened_in_mid_flight_holds_at_delivery() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(5)));
    let whole = |dispatch| Event::SampleEnded { dispatch, end: SampleEnd::Complete(vec![4, 5]) };
    assert_eq!(delivered(&state.step(Time(1_004), &whole(started[0]))), 1, "one behind is fine");
    state.step(Time(1_005), &edit(1, Some(0), 0));
    let effects = state.step(Time(1_006), &whole(started[1]));
    assert_eq!(delivered(&effects), 0, "nothing behind is allowed any longer");
}

#[test]
fn a_late_duplicate_is_dropped() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let whole = Event::SampleEnded { dispatch: started[0], end: SampleEnd::Complete(vec![4]) };
    assert_eq!(delivered(&state.step(Time(1_004), &whole)), 1);
    assert_eq!(delivered(&state.step(Time(1_005), &whole)), 0);
}

#[test]
fn a_sample_that_names_no_version_runs_again() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let unnamed = Event::SampleEnded { dispatch: started[0], end: SampleEnd::Complete(vec![]) };
    let effects = state.step(Time(1_004), &unnamed);
    assert_eq!((delivered(&effects), generated(&effects).len()), (0, 1));
}

#[test]
fn a_stopping_instance_hands_a_step_over_after_its_samples_in_flight() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    state.step(Time(1_004), &Event::Drain);
    for (number, dispatch) in started.iter().enumerate() {
        let whole = Event::SampleEnded { dispatch: *dispatch, end: SampleEnd::Complete(vec![4]) };
        let effects = state.step(Time(1_005 + number as u64), &whole);
        assert_eq!(delivered(&effects), 1, "what is in flight is delivered");
        let ended = |effect: &Effect| match effect {
            Effect::EndStep { missing, reason, .. } => Some((*missing, *reason)),
            _ => None,
        };
        let ended: Vec<_> = effects.iter().filter_map(ended).collect();
        match number + 1 == started.len() {
            true => assert_eq!(ended, [(1, Some(Kind::Draining))]),
            false => assert_eq!(ended, []),
        }
    }
}

#[test]
fn a_trainer_that_goes_does_not_make_its_engine_look_faulty() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let effects = state.step(Time(1_004), &Event::CallerGone { request: Request(9) });
    let cancelled = |effect: &&Effect| matches!(effect, Effect::Cancel { .. });
    assert_eq!(effects.iter().filter(cancelled).count(), started.len());
    for dispatch in started {
        state.step(Time(1_005), &Event::SampleEnded { dispatch, end: SampleEnd::Broken });
    }
    assert_eq!(generated(&state.step(Time(1_006), &open_step(4))).len(), 2, "it takes new work");
}

/// Two engines, and a step of three samples of which two ended after 100 ms.
fn straggling_state() -> (State, Dispatch) {
    let engine = |name: &str| listed(name, MemberKind::Engine, "gen");
    let mut state = state_with(vec![engine("e1"), engine("e2")]);
    state.step(Time(1_001), &edit(0, None, 1));
    for name in ["e1", "e2"] {
        let Event::Loaded { load, .. } = loaded(4) else { unreachable!("it is a report") };
        state.step(Time(1_002), &Event::Loaded { target: name.into(), load });
    }
    let mut running = generated(&state.step(Time(1_003), &open_step(4)));
    let last = running.pop().expect("two samples were started");
    let whole = |dispatch| Event::SampleEnded { dispatch, end: SampleEnd::Complete(vec![4]) };
    let next = generated(&state.step(Time(1_103), &whole(running[0])));
    let early = state.step(Time(1_150), &Event::Tick);
    assert_eq!(generated(&early), [], "147 ms are less than twice the average of 100 ms");
    state.step(Time(1_203), &whole(next[0]));
    (state, last)
}

fn engine_of(effects: &[Effect]) -> Vec<String> {
    let one = |effect: &Effect| match effect {
        Effect::Generate { address, .. } => Some(address.clone()),
        _ => None,
    };
    effects.iter().filter_map(one).collect()
}

#[test]
fn a_straggler_is_run_a_second_time_elsewhere_and_the_loser_is_cancelled() {
    let (mut state, straggler) = straggling_state();
    let hedge = state.step(Time(1_204), &Event::Tick);
    assert_eq!(engine_of(&hedge).len(), 1);
    let second = generated(&hedge)[0];
    let effects = state.step(
        Time(1_300),
        &Event::SampleEnded { dispatch: second, end: SampleEnd::Complete(vec![4]) },
    );
    assert_eq!(delivered(&effects), 1);
    assert!(effects.contains(&Effect::Cancel { dispatch: straggler }));
    // The loser's stream was whole after all, a moment too late.
    let late = Event::SampleEnded { dispatch: straggler, end: SampleEnd::Complete(vec![4]) };
    assert_eq!(delivered(&state.step(Time(1_301), &late)), 0);
}

#[test]
fn a_hedge_goes_to_another_engine_and_only_within_the_budget() {
    let (mut state, _) = straggling_state();
    let Event::Loaded { load, .. } = loaded(4) else { unreachable!("it is a report") };
    let hedge = state.step(Time(1_204), &Event::Tick);
    let first = engine_of(&hedge)[0].clone();
    // The engine that has the straggler is the only one left: no hedge.
    let (mut other, _) = straggling_state();
    let gone = first.split(':').next().unwrap_or_default().to_owned();
    other.step(Time(1_203), &Event::Loaded { target: gone, load: None });
    assert_eq!(generated(&other.step(Time(1_204), &Event::Tick)), []);
    // A tenth of three samples is one.
    state.step(Time(1_205), &Event::Loaded { target: "e1".into(), load });
    assert_eq!(generated(&state.step(Time(9_000), &Event::Tick)), []);
}

#[test]
fn no_more_than_the_budget_is_run_a_second_time() {
    let engine = |name: &str| listed(name, MemberKind::Engine, "gen");
    let mut state = state_with(vec![engine("e1"), engine("e2"), engine("e3")]);
    state.step(Time(1_001), &edit_to(0, None, Row { in_flight: 100, ..row(1) }));
    for name in ["e1", "e2", "e3"] {
        let Event::Loaded { load, .. } = loaded(4) else { unreachable!("it is a report") };
        state.step(Time(1_002), &Event::Loaded { target: name.into(), load });
    }
    let opening = Opening {
        trainer: "t".into(),
        step: 1,
        attempt: 1,
        version: 4,
        groups: vec![Group { group: 0, missing: (0..10).collect() }],
        timeout_ms: 60_000,
    };
    let opened = Event::StepOpened { request: Request(9), opening };
    let running = generated(&state.step(Time(1_003), &opened));
    assert_eq!(running.len(), 10);
    for dispatch in &running[..7] {
        let whole = SampleEnd::Complete(vec![4]);
        state.step(Time(1_103), &Event::SampleEnded { dispatch: *dispatch, end: whole });
    }
    // Three samples straggle, and a tenth of ten is one.
    let second = (0..20).flat_map(|n| generated(&state.step(Time(2_000 + n * 100), &Event::Tick)));
    assert_eq!(second.count(), 1);
}

#[test]
fn a_step_whose_row_is_removed_ends_at_once() {
    let mut state = rollout_state();
    state.step(Time(1_003), &open_step(4));
    let removal =
        Edit { id: "x".into(), by: "o".into(), trainer: "t".into(), base: Some(0), row: None };
    let records = vec![(1, Record::Edit(removal))];
    state.step(Time(1_004), &Event::LogRead { sent: Time(1_004), first: 0, records, at_end: true });
    let effects = state.step(Time(1_104), &Event::Tick);
    let reason = Some(Kind::UnknownTrainer);
    assert!(
        effects.contains(&Effect::EndStep { request: Request(9), missing: 3, reason }),
        "{effects:?}"
    );
}

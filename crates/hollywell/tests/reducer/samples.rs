//! Steps, samples and hedged samples.

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
    let select = |effect: &Effect| match effect {
        Effect::Generate { dispatch, .. } => Some(*dispatch),
        _ => None,
    };
    effects.iter().filter_map(select).collect()
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
fn samples_in_flight_stay_within_the_row_s_limit() {
    let mut state = rollout_state();
    assert_eq!(generated(&state.step(Time(1_003), &open_step(4))).len(), 2);
}

#[test]
fn a_tightened_staleness_bound_applies_at_delivery() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(5)));
    let complete = |dispatch| Event::SampleEnded { dispatch, end: SampleEnd::Complete(vec![4, 5]) };
    assert_eq!(
        delivered(&state.step(Time(1_004), &complete(started[0]))),
        1,
        "a staleness of one is within the bound"
    );
    state.step(Time(1_005), &edit(1, Some(0), 0));
    let effects = state.step(Time(1_006), &complete(started[1]));
    assert_eq!(delivered(&effects), 0, "a staleness of one exceeds the tightened bound of zero");
}

#[test]
fn a_duplicate_sample_is_not_delivered() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let complete = Event::SampleEnded { dispatch: started[0], end: SampleEnd::Complete(vec![4]) };
    assert_eq!(delivered(&state.step(Time(1_004), &complete)), 1);
    assert_eq!(delivered(&state.step(Time(1_005), &complete)), 0);
}

#[test]
fn a_sample_without_versions_is_generated_again() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let unnamed = Event::SampleEnded { dispatch: started[0], end: SampleEnd::Complete(vec![]) };
    let effects = state.step(Time(1_004), &unnamed);
    assert_eq!((delivered(&effects), generated(&effects).len()), (0, 1));
}

#[test]
fn a_draining_instance_ends_a_step_after_its_samples_in_flight() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    state.step(Time(1_004), &Event::Drain);
    for (number, dispatch) in started.iter().enumerate() {
        let complete =
            Event::SampleEnded { dispatch: *dispatch, end: SampleEnd::Complete(vec![4]) };
        let effects = state.step(Time(1_005 + number as u64), &complete);
        assert_eq!(delivered(&effects), 1, "samples in flight are delivered while draining");
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
fn cancelled_samples_do_not_count_as_engine_faults() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let effects = state.step(Time(1_004), &Event::CallerGone { request: Request(9) });
    let cancelled = |effect: &&Effect| matches!(effect, Effect::Cancel { .. });
    assert_eq!(effects.iter().filter(cancelled).count(), started.len());
    for dispatch in started {
        state.step(Time(1_005), &Event::SampleEnded { dispatch, end: SampleEnd::Broken });
    }
    assert_eq!(
        generated(&state.step(Time(1_006), &open_step(4))).len(),
        2,
        "the engine must still get samples"
    );
}

/// Returns a state with two engines and a step of three samples, two of which
/// ended after 100 ms, and the dispatch of the third.
fn straggling_state() -> (State, Dispatch) {
    let engine = |name: &str| listed(name, MemberKind::Engine, "gen");
    let mut state = state_with(vec![engine("e1"), engine("e2")]);
    state.step(Time(1_001), &edit(0, None, 1));
    for name in ["e1", "e2"] {
        let Event::Loaded { load, .. } = loaded(4) else {
            unreachable!("loaded() returns Event::Loaded")
        };
        state.step(Time(1_002), &Event::Loaded { target: name.into(), load });
    }
    let mut running = generated(&state.step(Time(1_003), &open_step(4)));
    let last = running.pop().expect("two samples were started");
    let complete = |dispatch| Event::SampleEnded { dispatch, end: SampleEnd::Complete(vec![4]) };
    let next = generated(&state.step(Time(1_103), &complete(running[0])));
    let early = state.step(Time(1_150), &Event::Tick);
    assert_eq!(
        generated(&early),
        [],
        "no hedge after 147 ms, less than twice the average of 100 ms"
    );
    state.step(Time(1_203), &complete(next[0]));
    (state, last)
}

fn engine_addresses(effects: &[Effect]) -> Vec<String> {
    let select = |effect: &Effect| match effect {
        Effect::Generate { address, .. } => Some(address.clone()),
        _ => None,
    };
    effects.iter().filter_map(select).collect()
}

#[test]
fn a_straggler_is_hedged_and_the_slower_run_cancelled() {
    let (mut state, straggler) = straggling_state();
    let hedge = state.step(Time(1_204), &Event::Tick);
    assert_eq!(engine_addresses(&hedge).len(), 1);
    let second = generated(&hedge)[0];
    let effects = state.step(
        Time(1_300),
        &Event::SampleEnded { dispatch: second, end: SampleEnd::Complete(vec![4]) },
    );
    assert_eq!(delivered(&effects), 1);
    assert!(effects.contains(&Effect::Cancel { dispatch: straggler }));
    // The cancelled stream still completes, but after the hedge was delivered.
    let late = Event::SampleEnded { dispatch: straggler, end: SampleEnd::Complete(vec![4]) };
    assert_eq!(delivered(&state.step(Time(1_301), &late)), 0);
}

#[test]
fn a_hedge_needs_another_engine_and_budget() {
    let (mut state, _) = straggling_state();
    let Event::Loaded { load, .. } = loaded(4) else {
        unreachable!("loaded() returns Event::Loaded")
    };
    let hedge = state.step(Time(1_204), &Event::Tick);
    let first = engine_addresses(&hedge)[0].clone();
    // Only the straggler's own engine is left, so there is no hedge.
    let (mut other, _) = straggling_state();
    let gone = first.split(':').next().unwrap_or_default().to_owned();
    other.step(Time(1_203), &Event::Loaded { target: gone, load: None });
    assert_eq!(generated(&other.step(Time(1_204), &Event::Tick)), []);
    // The hedge budget is a tenth of the three samples, rounded up to one, and
    // is spent.
    state.step(Time(1_205), &Event::Loaded { target: "e1".into(), load });
    assert_eq!(generated(&state.step(Time(9_000), &Event::Tick)), []);
}

#[test]
fn hedges_stay_within_the_budget() {
    let engine = |name: &str| listed(name, MemberKind::Engine, "gen");
    let mut state = state_with(vec![engine("e1"), engine("e2"), engine("e3")]);
    state.step(Time(1_001), &edit_to(0, None, Row { in_flight: 100, ..row(1) }));
    for name in ["e1", "e2", "e3"] {
        let Event::Loaded { load, .. } = loaded(4) else {
            unreachable!("loaded() returns Event::Loaded")
        };
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
        let complete = SampleEnd::Complete(vec![4]);
        state.step(Time(1_103), &Event::SampleEnded { dispatch: *dispatch, end: complete });
    }
    // Three samples straggle; the budget, a tenth of ten, allows one hedge.
    let hedges = (0..20).flat_map(|n| generated(&state.step(Time(2_000 + n * 100), &Event::Tick)));
    assert_eq!(hedges.count(), 1);
}

#[test]
fn a_step_ends_when_its_table_row_is_removed() {
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

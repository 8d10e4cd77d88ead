//! The reducer, one decision a test: calls without a key, leaving targets,
//! overload, and stopping.

use hollywell::{
    core::{
        event::{End, Forward},
        member::{Kind as MemberKind, Listed, Load},
        owner::{self, Proposal},
        rollout::{End as SampleEnd, Group, Opening},
        stream::Record,
        table::{Edit, Row},
    },
    error::Outcome,
    prelude::*,
};

const POOL: &str = "app";

fn listed(name: &str, kind: MemberKind, pool: &str) -> Listed {
    Listed {
        name: name.into(),
        kind,
        pool: pool.into(),
        domain: "d".into(),
        address: format!("{name}:1"),
        leaving: false,
    }
}

fn service(name: &str) -> Listed {
    listed(name, MemberKind::Service, POOL)
}

fn state_with(list: Vec<Listed>) -> State {
    let mut config = Config::new(Instance::new("a", 1), "d", &["d"]);
    config.calls = 4;
    let mut state = State::new(config);
    state.step(Time(1_000), &Event::Listed(list));
    state
}

fn call(idempotent: bool) -> Call {
    Call { pool: POOL.into(), idempotent, key: None, home: None, digest: 0, timeout_ms: 500 }
}

fn arrive(state: &mut State, now: Time, number: u64, call: Call) -> Vec<Effect> {
    state.step(now, &Event::Call { request: Request(number), arrived: now, call })
}

fn dispatched(effects: &[Effect]) -> Vec<(Dispatch, String)> {
    let one = |effect: &Effect| match effect {
        Effect::Dispatch { dispatch, address, .. } => Some((*dispatch, address.clone())),
        _ => None,
    };
    effects.iter().filter_map(one).collect()
}

fn refused(effects: &[Effect]) -> Vec<Kind> {
    let one = |effect: &Effect| match effect {
        Effect::Reply { reply: Reply::Refused(kind), .. } => Some(*kind),
        _ => None,
    };
    effects.iter().filter_map(one).collect()
}

fn end(state: &mut State, now: Time, dispatch: Dispatch, end: End, leaving: bool) -> Vec<Effect> {
    state.step(now, &Event::TargetEnded { dispatch, end, leaving })
}

#[test]
fn a_call_that_may_have_run_is_not_sent_again() {
    let mut state = state_with(vec![service("s1"), service("s2")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    let effects = end(&mut state, Time(1_002), first[0].0, End::Broken, false);
    assert_eq!(dispatched(&effects), []);
    assert_eq!(refused(&effects), [Kind::OutcomeUnknown]);
}

#[test]
fn a_call_that_certainly_did_not_run_goes_to_another_target_once() {
    let mut state = state_with(vec![service("s1"), service("s2")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    let second = dispatched(&end(&mut state, Time(1_002), first[0].0, End::NotRun, false));
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].1, first[0].1, "another target");
    let effects = end(&mut state, Time(1_003), second[0].0, End::NotSent, false);
    assert_eq!(refused(&effects), [Kind::TargetRefused]);
}

#[test]
fn an_idempotent_call_is_tried_again_after_a_broken_answer() {
    let mut state = state_with(vec![service("s1"), service("s2")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(true)));
    let effects = end(&mut state, Time(1_002), first[0].0, End::Broken, false);
    assert_eq!(dispatched(&effects).len(), 1);
}

#[test]
fn retries_end_with_the_budget() {
    let mut state = state_with((0..40).map(|n| service(&format!("s{n}"))).collect());
    let mut attempts = 0;
    for number in 0..20 {
        let now = Time(1_001 + number * 10);
        let mut open = dispatched(&arrive(&mut state, now, number, call(true)));
        while let Some((dispatch, _)) = open.pop() {
            attempts += 1;
            open = dispatched(&end(&mut state, now, dispatch, End::Broken, false));
        }
    }
    assert_eq!(attempts, 20 + 10, "20 calls and the 10 retries that were saved up");
}

#[test]
fn a_target_that_says_it_leaves_gets_no_new_work_whatever_the_list_says() {
    let list = vec![service("s1"), service("s2")];
    let mut state = state_with(list.clone());
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    let leaver = first[0].1.clone();
    end(&mut state, Time(1_002), first[0].0, End::Answered, true);
    // The list lags and still says that both are live.
    state.step(Time(1_003), &Event::Listed(list));
    for number in 2..20 {
        let now = Time(1_003 + number);
        let sent = dispatched(&arrive(&mut state, now, number, call(false)));
        assert_ne!(sent[0].1, leaver, "call {number}");
        end(&mut state, now, sent[0].0, End::Answered, false);
    }
}

#[test]
fn peers_tell_each_other_who_leaves() {
    let list = vec![service("s1"), service("s2"), listed("b", MemberKind::Instance, "")];
    let mut state = state_with(list);
    let leaving = vec![String::from("s1"), String::from("s2")];
    let message = Message::Beat { sent: Time(7), next: 0, leaving, demand: 0 };
    state.step(Time(1_001), &Event::Peer { from: Instance::new("b", 1), message });
    let effects = arrive(&mut state, Time(1_002), 1, call(false));
    assert_eq!(refused(&effects), [Kind::NoTarget]);
}

#[test]
fn a_target_is_free_again_once_it_was_off_the_list() {
    let mut state = state_with(vec![service("s1")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    end(&mut state, Time(1_002), first[0].0, End::Answered, true);
    state.step(Time(1_003), &Event::Listed(vec![]));
    state.step(Time(1_004), &Event::Listed(vec![service("s1")]));
    assert_eq!(dispatched(&arrive(&mut state, Time(1_005), 2, call(false))).len(), 1);
}

#[test]
fn more_calls_than_allowed_are_refused_at_once() {
    let mut state = state_with(vec![service("s1")]);
    for number in 1..=4 {
        assert_eq!(dispatched(&arrive(&mut state, Time(1_001), number, call(false))).len(), 1);
    }
    let effects = arrive(&mut state, Time(1_001), 5, call(false));
    assert_eq!(refused(&effects), [Kind::Overloaded]);
    assert!(Kind::Overloaded.answer().retry_after_s.is_some(), "told when to come back");
}

#[test]
fn a_keyed_call_is_never_told_not_run_by_an_entry_that_does_not_own_it() {
    let mut state = state_with(vec![service("s1")]);
    let keyed = |pool: &str| Call { key: Some("k".into()), pool: pool.into(), ..call(false) };
    let mut kinds = refused(&arrive(&mut state, Time(1_001), 1, keyed(POOL)));
    kinds.extend(refused(&arrive(&mut state, Time(1_002), 2, keyed("elsewhere"))));
    state.step(Time(1_003), &Event::Drain);
    kinds.extend(refused(&arrive(&mut state, Time(1_004), 3, keyed(POOL))));
    assert_eq!(kinds.len(), 3);
    for kind in kinds {
        assert_eq!(kind.answer().outcome, Outcome::Unknown, "{kind:?}");
    }
}

#[test]
fn a_stopping_instance_answers_what_is_in_flight_and_then_ends() {
    let mut state = state_with(vec![service("s1")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    state.step(Time(1_002), &Event::Drain);
    let effects = arrive(&mut state, Time(1_003), 2, call(false));
    assert_eq!(refused(&effects), [Kind::Draining]);
    let ticks = |state: &mut State, from: u64| -> bool {
        let step = |n: u64| state.step(Time(from + n * 100), &Event::Tick);
        (0..30).flat_map(step).any(|effect| effect == Effect::Exit)
    };
    assert!(!ticks(&mut state, 1_010), "a call is in flight");
    let effects = end(&mut state, Time(5_000), first[0].0, End::Answered, false);
    assert!(matches!(effects[0], Effect::Reply { reply: Reply::Stored(_), .. }));
    assert!(ticks(&mut state, 5_010));
}

// Keys.

/// The sole owner of a failure domain's keys, which it has just read.
fn owning_state() -> State {
    let mut state = state_with(vec![service("s1"), listed("b", MemberKind::Instance, "")]);
    let proposal =
        Proposal { domain: "d".into(), base: None, members: [Instance::new("a", 1)].into() };
    let records = vec![(0, Record::Proposal(proposal))];
    state.step(Time(1_010), &Event::LogRead { sent: Time(1_005), first: 0, records, at_end: true });
    assert!(state.ownership().is_active());
    state
}

fn keyed(digest: u64) -> Call {
    Call { key: Some("k".into()), digest, ..call(false) }
}

fn forwarded(state: &mut State, now: Time, number: u64, seen: u64) -> Vec<Effect> {
    let owner = Instance::new("a", 1);
    let forward = Forward { call: keyed(1), owner, epoch: 0, seen, until: now.after(500) };
    state.step(now, &Event::Forwarded { request: Request(number), forward })
}

#[test]
fn a_key_runs_once_and_is_answered_from_memory() {
    let mut state = owning_state();
    let first = dispatched(&arrive(&mut state, Time(1_020), 1, keyed(1)));
    let joined = arrive(&mut state, Time(1_021), 2, keyed(1));
    assert_eq!((dispatched(&joined).len(), refused(&joined).len()), (0, 0), "it waits");
    let effects = end(&mut state, Time(1_022), first[0].0, End::Answered, false);
    let stored = |effect: &&Effect| matches!(effect, Effect::Reply { reply: Reply::Stored(_), .. });
    assert_eq!(effects.iter().filter(stored).count(), 2, "both sends get the answer");
    let later = arrive(&mut state, Time(1_900), 3, keyed(1));
    assert_eq!(later.iter().filter(stored).count(), 1);
    let other = arrive(&mut state, Time(1_901), 4, keyed(2));
    assert_eq!(refused(&other), [Kind::KeyMismatch], "another request under the same key");
}

#[test]
fn a_send_from_before_the_owner_became_active_does_not_run() {
    let mut state = owning_state();
    let effects = forwarded(&mut state, Time(1_020), 1, 0);
    assert_eq!((dispatched(&effects).len(), refused(&effects)), (0, vec![Kind::Unverified]));
    let effects = forwarded(&mut state, Time(1_021), 2, 1);
    assert_eq!(dispatched(&effects).len(), 1, "its entry had heard of the activation");
}

#[test]
fn a_local_send_that_arrived_before_a_refusal_does_not_run_after_it() {
    let mut state = owning_state();
    let first = dispatched(&arrive(&mut state, Time(1_030), 1, keyed(1)));
    let effects = end(&mut state, Time(1_040), first[0].0, End::NotRun, false);
    assert_eq!(refused(&effects), [Kind::TargetRefused]);
    // It waited in a socket since before the refusal.
    let event = Event::Call { request: Request(2), arrived: Time(1_035), call: keyed(1) };
    let effects = state.step(Time(1_050), &event);
    assert_eq!((dispatched(&effects).len(), refused(&effects)), (0, vec![Kind::Superseded]));
    // A send that came after the refusal may be running at this moment.
    assert_eq!(Kind::Superseded.answer().outcome, Outcome::Unknown);
    assert_eq!(dispatched(&arrive(&mut state, Time(1_051), 3, keyed(1))).len(), 1);
}

#[test]
fn an_owner_without_a_lease_says_unknown() {
    let mut state = owning_state();
    let late = Time(1_005 + owner::Config::default().log_away_ms);
    let effects = arrive(&mut state, late, 1, keyed(1));
    assert_eq!(refused(&effects), [Kind::Unverified]);
}

#[test]
fn an_instance_that_has_said_it_ends_owns_nothing_new() {
    let mut state = owning_state();
    state.step(Time(1_020), &Event::Drain);
    let ticks = (1..50).flat_map(|n| state.step(Time(1_020 + n * 100), &Event::Tick));
    assert!(ticks.collect::<Vec<_>>().contains(&Effect::Exit));
    let effects = forwarded(&mut state, Time(6_500), 1, 1);
    assert_eq!((dispatched(&effects).len(), refused(&effects)), (0, vec![Kind::Unverified]));
}

// The table.

#[test]
fn an_edit_whose_append_is_lost_is_appended_again_and_then_given_up_as_unknown() {
    let mut state = state_with(vec![]);
    let edit = Edit { id: "x".into(), by: "o".into(), trainer: "t".into(), base: None, row: None };
    let asked = Event::Edit { request: Request(1), edit };
    let mut appended = 0;
    let mut kinds = vec![];
    let mut count = |effects: &[Effect]| {
        let append =
            |effect: &&Effect| matches!(effect, Effect::Append { record: Record::Edit(_) });
        appended += effects.iter().filter(append).count();
        kinds.extend(refused(effects));
    };
    count(&state.step(Time(2_000), &asked));
    for n in 1..60 {
        count(&state.step(Time(2_000 + n * 100), &Event::Tick));
    }
    assert_eq!((appended, kinds), (5, vec![Kind::LogAway]));
    assert_eq!(Kind::LogAway.answer().outcome, Outcome::Unknown, "a record may still come");
}

#[test]
fn snapshots_are_written_by_the_next_in_rank_when_the_first_does_not() {
    let mut config = Config::new(Instance::new("b", 1), "d", &["d"]);
    config.snapshot_records = 10;
    let mut state = State::new(config);
    state.step(Time(1_000), &Event::Listed(vec![listed("a", MemberKind::Instance, "")]));
    let mut written_at = vec![];
    for offset in 0..20 {
        let now = Time(1_100 + offset * 100);
        // The first in rank answers heartbeats but cannot reach the log.
        let (epoch, reading, next) = (0, None, 0);
        let message = Message::Echo { sent: now, epoch, reading, next, draining: false };
        state.step(now, &Event::Peer { from: Instance::new("a", 1), message });
        let base = offset.checked_sub(1);
        state.step(now, &edit(offset, base, 1));
        let effects = state.step(now, &Event::Tick);
        let snapshot =
            |effect: &Effect| matches!(effect, Effect::Append { record: Record::Snapshot(_) });
        if effects.iter().any(snapshot) {
            written_at.push(offset + 1);
        }
    }
    assert_eq!(written_at, [15], "half again as many records as the first one waits for");
}

// Rollouts.

fn row(staleness: u64) -> Row {
    Row { trainer: "t".into(), weight: 1, staleness, priority: 0, in_flight: 2 }
}

fn edit(offset: u64, base: Option<u64>, staleness: u64) -> Event {
    let edit = Edit {
        id: format!("e{offset}"),
        by: "o".into(),
        trainer: "t".into(),
        base,
        row: Some(row(staleness)),
    };
    let records = vec![(offset, Record::Edit(edit))];
    Event::LogRead { sent: Time(1_000), first: 0, records, at_end: true }
}

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
    let whole = |dispatch| Event::SampleEnded { dispatch, end: SampleEnd::Whole(vec![4, 5]) };
    assert_eq!(delivered(&state.step(Time(1_004), &whole(started[0]))), 1, "one behind is fine");
    state.step(Time(1_005), &edit(1, Some(0), 0));
    let effects = state.step(Time(1_006), &whole(started[1]));
    assert_eq!(delivered(&effects), 0, "nothing behind is allowed any longer");
}

#[test]
fn a_late_duplicate_is_dropped() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let whole = Event::SampleEnded { dispatch: started[0], end: SampleEnd::Whole(vec![4]) };
    assert_eq!(delivered(&state.step(Time(1_004), &whole)), 1);
    assert_eq!(delivered(&state.step(Time(1_005), &whole)), 0);
}

#[test]
fn a_sample_that_names_no_version_runs_again() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    let unnamed = Event::SampleEnded { dispatch: started[0], end: SampleEnd::Whole(vec![]) };
    let effects = state.step(Time(1_004), &unnamed);
    assert_eq!((delivered(&effects), generated(&effects).len()), (0, 1));
}

#[test]
fn a_stopping_instance_hands_a_step_over_after_its_samples_in_flight() {
    let mut state = rollout_state();
    let started = generated(&state.step(Time(1_003), &open_step(4)));
    state.step(Time(1_004), &Event::Drain);
    for (number, dispatch) in started.iter().enumerate() {
        let whole = Event::SampleEnded { dispatch: *dispatch, end: SampleEnd::Whole(vec![4]) };
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
    let whole = |dispatch| Event::SampleEnded { dispatch, end: SampleEnd::Whole(vec![4]) };
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
        &Event::SampleEnded { dispatch: second, end: SampleEnd::Whole(vec![4]) },
    );
    assert_eq!(delivered(&effects), 1);
    assert!(effects.contains(&Effect::Cancel { dispatch: straggler }));
    // The loser's stream was whole after all, a moment too late.
    let late = Event::SampleEnded { dispatch: straggler, end: SampleEnd::Whole(vec![4]) };
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

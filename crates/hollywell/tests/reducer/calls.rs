//! Calls without an idempotency key, leaving targets, overload and draining.

use hollywell::{
    core::{event::End, member::Kind as MemberKind, rollout::End as SampleEnd},
    error::Outcome,
    prelude::*,
};

use crate::help::*;

#[test]
fn a_call_with_unknown_outcome_is_not_retried() {
    let mut state = state_with(vec![service("s1"), service("s2")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    let effects = end(&mut state, Time(1_002), first[0].0, End::Broken, false);
    assert_eq!(dispatched(&effects), []);
    assert_eq!(refused(&effects), [Kind::OutcomeUnknown]);
}

#[test]
fn a_call_that_did_not_run_is_retried_once_elsewhere() {
    let mut state = state_with(vec![service("s1"), service("s2")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    let second = dispatched(&end(&mut state, Time(1_002), first[0].0, End::NotRun, false));
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].1, first[0].1, "the retry goes to another target");
    let effects = end(&mut state, Time(1_003), second[0].0, End::NotSent, false);
    assert_eq!(refused(&effects), [Kind::TargetRefused]);
}

#[test]
fn an_idempotent_call_is_retried_after_a_broken_answer() {
    let mut state = state_with(vec![service("s1"), service("s2")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(true)));
    let effects = end(&mut state, Time(1_002), first[0].0, End::Broken, false);
    assert_eq!(dispatched(&effects).len(), 1);
}

#[test]
fn retries_stay_within_the_retry_budget() {
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
    assert_eq!(attempts, 20 + 10, "20 calls and the 10 retries saved up in the budget");
}

#[test]
fn a_leaving_target_gets_no_calls_even_while_listed_as_live() {
    let list = vec![service("s1"), service("s2")];
    let mut state = state_with(list.clone());
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    let leaving_target = first[0].1.clone();
    end(&mut state, Time(1_002), first[0].0, End::Answered, true);
    // The membership list lags and still shows both targets as live.
    state.step(Time(1_003), &Event::Listed(list));
    for number in 2..20 {
        let now = Time(1_003 + number);
        let sent = dispatched(&arrive(&mut state, now, number, call(false)));
        assert_ne!(sent[0].1, leaving_target, "call {number}");
        end(&mut state, now, sent[0].0, End::Answered, false);
    }
}

#[test]
fn heartbeats_report_leaving_targets() {
    let list = vec![service("s1"), service("s2"), listed("b", MemberKind::Instance, "")];
    let mut state = state_with(list);
    let leaving = vec![String::from("s1"), String::from("s2")];
    let message = Message::Heartbeat { sent: Time(7), next: 0, leaving, demand: 0 };
    state.step(Time(1_001), &Event::Peer { from: Instance::new("b", 1), message });
    let effects = arrive(&mut state, Time(1_002), 1, call(false));
    assert_eq!(refused(&effects), [Kind::NoTarget]);
}

#[test]
fn a_relisted_target_gets_calls_again() {
    let mut state = state_with(vec![service("s1")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    end(&mut state, Time(1_002), first[0].0, End::Answered, true);
    state.step(Time(1_003), &Event::Listed(vec![]));
    state.step(Time(1_004), &Event::Listed(vec![service("s1")]));
    assert_eq!(dispatched(&arrive(&mut state, Time(1_005), 2, call(false))).len(), 1);
}

#[test]
fn calls_above_the_limit_are_refused_at_once() {
    let mut state = state_with(vec![service("s1")]);
    for number in 1..=4 {
        assert_eq!(dispatched(&arrive(&mut state, Time(1_001), number, call(false))).len(), 1);
    }
    let effects = arrive(&mut state, Time(1_001), 5, call(false));
    assert_eq!(refused(&effects), [Kind::Overloaded]);
    assert!(
        Kind::Overloaded.answer().retry_after_s.is_some(),
        "an overload refusal names a retry delay"
    );
}

#[test]
fn only_the_owner_answers_a_keyed_call_as_not_run() {
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
fn a_draining_instance_answers_calls_in_flight_then_exits() {
    let mut state = state_with(vec![service("s1")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    state.step(Time(1_002), &Event::Drain);
    let effects = arrive(&mut state, Time(1_003), 2, call(false));
    assert_eq!(refused(&effects), [Kind::Draining]);
    let ticks = |state: &mut State, from: u64| -> bool {
        let step = |n: u64| state.step(Time(from + n * 100), &Event::Tick);
        (0..30).flat_map(step).any(|effect| effect == Effect::Exit)
    };
    assert!(!ticks(&mut state, 1_010), "must not exit while a call is in flight");
    let effects = end(&mut state, Time(5_000), first[0].0, End::Answered, false);
    assert!(matches!(effects[0], Effect::Reply { reply: Reply::Stored(_), .. }));
    assert!(ticks(&mut state, 5_010));
}

#[test]
fn a_call_is_still_answered_after_its_caller_left() {
    let mut state = state_with(vec![service("s1")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    state.step(Time(1_002), &Event::CallerGone { request: Request(1) });
    // The reply makes the process free the bytes of the call.
    let effects = end(&mut state, Time(1_003), first[0].0, End::Answered, false);
    let replied = |effect: &&Effect| matches!(effect, Effect::Reply { .. });
    assert_eq!(effects.iter().filter(replied).count(), 1);
}

#[test]
fn results_of_unknown_dispatches_are_discarded() {
    let mut state = state_with(vec![service("s1")]);
    let dispatch = Dispatch(77);
    let effects = end(&mut state, Time(1_001), dispatch, End::Answered, false);
    assert_eq!(effects, [Effect::Forget { dispatch }]);
    let complete = SampleEnd::Complete(vec![1]);
    let effects = state.step(Time(1_002), &Event::SampleEnded { dispatch, end: complete });
    assert_eq!(effects, [Effect::Forget { dispatch }]);
}

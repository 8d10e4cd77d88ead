//! Calls without a key, leaving targets, overload and stopping.

use hollywell::{
    core::{event::End, member::Kind as MemberKind, rollout::End as SampleEnd},
    error::Outcome,
    prelude::*,
};

use crate::help::*;

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
    let message = Message::Heartbeat { sent: Time(7), next: 0, leaving, demand: 0 };
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

#[test]
fn a_call_whose_caller_has_gone_is_still_ended_so_that_its_bytes_are_dropped() {
    let mut state = state_with(vec![service("s1")]);
    let first = dispatched(&arrive(&mut state, Time(1_001), 1, call(false)));
    state.step(Time(1_002), &Event::CallerGone { request: Request(1) });
    let effects = end(&mut state, Time(1_003), first[0].0, End::Answered, false);
    let replied = |effect: &&Effect| matches!(effect, Effect::Reply { .. });
    assert_eq!(effects.iter().filter(replied).count(), 1);
}

#[test]
fn what_comes_of_an_attempt_that_is_not_known_any_longer_is_forgotten() {
    let mut state = state_with(vec![service("s1")]);
    let dispatch = Dispatch(77);
    let effects = end(&mut state, Time(1_001), dispatch, End::Answered, false);
    assert_eq!(effects, [Effect::Forget { dispatch }]);
    let whole = SampleEnd::Complete(vec![1]);
    let effects = state.step(Time(1_002), &Event::SampleEnded { dispatch, end: whole });
    assert_eq!(effects, [Effect::Forget { dispatch }]);
}

//! Calls with an idempotency key at the owner of the key.

use hollywell::{
    core::{
        event::{End, Forward},
        member::Kind as MemberKind,
        owner::{self, Proposal},
        stream::Record,
    },
    error::Outcome,
    prelude::*,
};

use crate::help::*;

/// Returns the state of the sole owner of a failure domain's keys, just after it
/// has read from the log that it is the owner.
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
fn a_key_runs_once_and_resends_get_the_stored_answer() {
    let mut state = owning_state();
    let first = dispatched(&arrive(&mut state, Time(1_020), 1, keyed(1)));
    let joined = arrive(&mut state, Time(1_021), 2, keyed(1));
    assert_eq!(
        (dispatched(&joined).len(), refused(&joined).len()),
        (0, 0),
        "a second send waits for the first one's answer"
    );
    let effects = end(&mut state, Time(1_022), first[0].0, End::Answered, false);
    let stored = |effect: &&Effect| matches!(effect, Effect::Reply { reply: Reply::Stored(_), .. });
    assert_eq!(effects.iter().filter(stored).count(), 2, "both sends get the answer");
    let later = arrive(&mut state, Time(1_900), 3, keyed(1));
    assert_eq!(later.iter().filter(stored).count(), 1);
    let other = arrive(&mut state, Time(1_901), 4, keyed(2));
    assert_eq!(
        refused(&other),
        [Kind::KeyMismatch],
        "a different request under the same key is refused"
    );
}

#[test]
fn a_forward_that_predates_the_owner_s_activation_does_not_run() {
    let mut state = owning_state();
    let effects = forwarded(&mut state, Time(1_020), 1, 0);
    assert_eq!((dispatched(&effects).len(), refused(&effects)), (0, vec![Kind::Unverified]));
    let effects = forwarded(&mut state, Time(1_021), 2, 1);
    assert_eq!(dispatched(&effects).len(), 1, "the forwarding instance knew of the activation");
}

#[test]
fn a_send_that_arrived_before_a_refusal_does_not_run_after_it() {
    let mut state = owning_state();
    let first = dispatched(&arrive(&mut state, Time(1_030), 1, keyed(1)));
    let effects = end(&mut state, Time(1_040), first[0].0, End::NotRun, false);
    assert_eq!(refused(&effects), [Kind::TargetRefused]);
    // The send waited in a socket buffer since before the refusal.
    let event = Event::Call { request: Request(2), arrived: Time(1_035), call: keyed(1) };
    let effects = state.step(Time(1_050), &event);
    assert_eq!((dispatched(&effects).len(), refused(&effects)), (0, vec![Kind::Superseded]));
    // A send made after the refusal may be running now, so the outcome is
    // unknown.
    assert_eq!(Kind::Superseded.answer().outcome, Outcome::Unknown);
    assert_eq!(dispatched(&arrive(&mut state, Time(1_051), 3, keyed(1))).len(), 1);
}

#[test]
fn an_owner_without_a_lease_answers_unverified() {
    let mut state = owning_state();
    let late = Time(1_005 + owner::Config::default().log_away_ms);
    let effects = arrive(&mut state, late, 1, keyed(1));
    assert_eq!(refused(&effects), [Kind::Unverified]);
}

#[test]
fn an_instance_that_exits_accepts_no_new_keys() {
    let mut state = owning_state();
    state.step(Time(1_020), &Event::Drain);
    let ticks = (1..50).flat_map(|n| state.step(Time(1_020 + n * 100), &Event::Tick));
    assert!(ticks.collect::<Vec<_>>().contains(&Effect::Exit));
    let effects = forwarded(&mut state, Time(6_500), 1, 1);
    assert_eq!((dispatched(&effects).len(), refused(&effects)), (0, vec![Kind::Unverified]));
}

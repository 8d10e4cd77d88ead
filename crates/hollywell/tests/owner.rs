//! Ownership of keys: activation, leases and lost claims, one case each.
//! The generated schedules are in `interleavings`; these are the cases that
//! they found, kept small.

use std::collections::BTreeSet;

use hollywell::core::{
    claim::Copy,
    id::Instance,
    owner::{Config, Handoff, Map, Maps, Proposal, State},
    time::Time,
};

const LEASE_MS: u64 = 1_000;
const GUARD_MS: u64 = 100;
const AWAY_MS: u64 = 60_000;

fn config() -> Config {
    Config { lease_ms: LEASE_MS, guard_ms: GUARD_MS, log_away_ms: AWAY_MS, horizon_ms: 600_000 }
}

fn instance(name: &str) -> Instance {
    Instance::new(name, 1)
}

fn map(epoch: u64, base: Option<u64>, names: &[&str]) -> Map {
    Map { epoch, base, members: names.iter().map(|name| instance(name)).collect() }
}

fn state(name: &str) -> State {
    State::new(instance(name), config())
}

/// A state that is active in the given map, and heard of it at `now`.
fn active_alone(name: &str, epoch: u64, now: Time) -> State {
    let mut state = state(name);
    state.install(&map(epoch, None, &[name]), now);
    assert!(state.activate(now).is_some(), "the first map ever needs no wait");
    state
}

fn handoff(epoch: u64, last_active: Option<u64>) -> Handoff {
    let former_ids = vec![];
    Handoff {
        epoch,
        last_active,
        former_ids,
        history: vec![],
        copies: vec![],
        claim_losses: vec![],
    }
}

#[test]
fn a_joining_member_waits_for_the_handover_of_the_one_that_stays() {
    let mut a = active_alone("a", 1, Time(10));
    let mut b = state("b");
    b.install(&map(1, None, &["a"]), Time(20));
    b.install(&map(4, Some(1), &["a", "b"]), Time(30));
    assert_eq!(b.activate(Time(30 + LEASE_MS + GUARD_MS)), None, "it is waited for");
    a.install(&map(4, Some(1), &["a", "b"]), Time(40));
    let copy = Copy { key: "k".into(), digest: 3, age_ms: 5 };
    let told = a.handoff(|| vec![copy.clone()], Time(41)).clone();
    b.receive(&instance("a"), &told, Time(50));
    assert_eq!(b.activate(Time(50)), Some(vec![copy]));
    assert!(!b.may_have_lost_claims("any", Time(50)), "everything was handed over");
}

#[test]
fn a_member_that_stays_but_cannot_be_heard_is_given_up_on() {
    let mut b = state("b");
    b.install(&map(1, None, &["a", "c"]), Time(20));
    b.install(&map(4, Some(1), &["a", "b", "c"]), Time(30));
    b.receive(&instance("c"), &handoff(4, Some(1)), Time(40));
    let given_up = Time(40 + 2 * LEASE_MS + GUARD_MS);
    assert_eq!(b.activate(Time(given_up.0 - 1)), None);
    assert!(b.activate(given_up).is_some());
    let before = map(1, None, &["a", "c"]);
    let unknown = |key: &String| b.may_have_lost_claims(key, given_up);
    let keys: Vec<String> = (0..50).map(|n| format!("k{n}")).collect();
    // In a map of two each is the other's replica, so c knows every key.
    assert_eq!(keys.iter().filter(|key| unknown(key)).count(), 0, "{before:?}");
}

#[test]
fn a_removed_members_lease_is_waited_for_once_however_many_maps_follow() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b"]), Time(10));
    a.receive(&instance("b"), &handoff(1, None), Time(10));
    assert!(a.activate(Time(10)).is_some());
    a.install(&map(2, Some(1), &["a"]), Time(100));
    a.install(&map(3, Some(2), &["a", "c"]), Time(110));
    a.install(&map(4, Some(3), &["a"]), Time(120));
    let wait_ends = Time(120).after(LEASE_MS + GUARD_MS);
    assert_eq!(a.ready_at(), wait_ends, "the waits do not add up");
    assert_eq!(a.activate(Time(wait_ends.0 - 1)), None);
    assert!(a.activate(wait_ends).is_some());
}

#[test]
fn without_any_survivor_the_wait_starts_when_the_replacement_was_read() {
    let mut c = state("c");
    c.install(&map(1, None, &["a"]), Time(10));
    c.install(&map(2, Some(1), &["c"]), Time(20));
    c.install(&map(3, Some(2), &["c"]), Time(5_000));
    let wait_ends = Time(20).after(AWAY_MS + GUARD_MS);
    assert_eq!(c.ready_at(), wait_ends, "a later map does not start it anew");
    assert!(c.activate(wait_ends).is_some());
    assert!(c.may_have_lost_claims("any", wait_ends), "nobody handed over a's claims");
}

#[test]
fn a_handover_for_a_later_map_proves_nothing_for_this_one() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b", "c"]), Time(10));
    for other in ["b", "c"] {
        a.receive(&instance(other), &handoff(1, None), Time(10));
    }
    a.activate(Time(10));
    a.install(&map(2, Some(1), &["a", "b"]), Time(20));
    a.install(&map(3, Some(2), &["a"]), Time(30));
    // b was active in 2 and hands over to a map that a has not read yet.
    a.receive(&instance("b"), &handoff(7, Some(2)), Time(40));
    let late = Time(100_000);
    a.activate(late);
    let lost = (0..64).filter(|n| a.may_have_lost_claims(&format!("k{n}"), late)).count();
    assert!(lost > 0, "claims of b and c in map 1 were not handed over: {lost} of 64 unknown");
}

#[test]
fn promises_of_all_others_stand_in_for_the_log_and_end_with_its_bound() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b"]), Time(10));
    a.receive(&instance("b"), &handoff(1, None), Time(10));
    a.activate(Time(10));
    assert_eq!(a.lease_until(), Time(0), "the log was never reached");
    a.confirm_by_log(Time(50));
    assert_eq!(a.lease_until(), Time(50 + LEASE_MS));
    a.confirm_by_peer(&instance("b"), 1, Time(5_000));
    assert_eq!(a.lease_until(), Time(5_000 + LEASE_MS));
    a.confirm_by_peer(&instance("b"), 9, Time(7_000));
    assert_eq!(a.lease_until(), Time(5_000 + LEASE_MS), "a promise for another epoch");
    a.confirm_by_peer(&instance("b"), 1, Time(AWAY_MS * 2));
    assert_eq!(a.lease_until(), Time(50 + AWAY_MS), "the log is away for too long");
}

#[test]
fn a_removed_instance_comes_back_under_a_higher_incarnation() {
    let mut a = active_alone("a", 1, Time(10));
    a.install(&map(2, Some(1), &["b"]), Time(20));
    assert!(a.rejoin());
    assert_eq!(*a.local(), Instance::new("a", 2));
    assert!(!a.rejoin(), "once is enough");
}

#[test]
fn the_first_proposal_on_a_base_wins() {
    let proposal = |base, names: &[&str]| Proposal {
        domain: "d".into(),
        base,
        members: names.iter().map(|name| instance(name)).collect::<BTreeSet<Instance>>(),
    };
    let mut maps = Maps::default();
    assert!(maps.apply(3, &proposal(None, &["a"])));
    assert!(!maps.apply(4, &proposal(None, &["b"])));
    assert!(maps.apply(5, &proposal(Some(3), &["a", "b"])));
    assert!(!maps.apply(6, &proposal(Some(3), &["a"])));
    assert!(!maps.apply(7, &proposal(Some(5), &[])), "nobody would own the keys");
    assert_eq!(maps.0["d"].epoch, 5);
}

#[test]
fn a_change_of_one_member_moves_few_keys() {
    let before = map(1, None, &["a", "b", "c", "d", "e"]);
    let after = map(2, Some(1), &["a", "b", "c", "d"]);
    let keys: Vec<String> = (0..1_000).map(|n| format!("key-{n}")).collect();
    let moved = keys.iter().filter(|key| before.owner(key) != after.owner(key)).count();
    let of_e = keys.iter().filter(|key| before.owner(key) == Some(&instance("e"))).count();
    assert_eq!(moved, of_e, "only the removed member's keys move");
    let to_deputy = keys.iter().filter(|key| before.owner(key) == Some(&instance("e")));
    for key in to_deputy {
        assert_eq!(after.owner(key), before.replica(key), "the replica takes {key} over");
    }
}

#[test]
fn a_removed_instance_still_knows_what_it_knew() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b"]), Time(10));
    a.receive(&instance("b"), &handoff(1, None), Time(10));
    a.activate(Time(10));
    // b removes a, and then a removes b without having heard from it.
    a.install(&map(2, Some(1), &["b"]), Time(20));
    assert!(a.rejoin());
    let mut alone = map(3, Some(2), &[]);
    alone.members.insert(a.local().clone());
    a.install(&alone, Time(30));
    let key = (0..64)
        .map(|n| format!("k{n}"))
        .find(|key| map(1, None, &["a", "b"]).owner(key) == Some(&instance("a")));
    let key = key.expect("a owns some of 64 keys");
    assert_eq!(a.activate(Time(20 + AWAY_MS + GUARD_MS - 1)), None, "b may act alone in map 2");
    let late = Time(20 + AWAY_MS + GUARD_MS + 10);
    assert!(a.activate(late).is_some());
    assert!(a.may_have_lost_claims(&key, late), "b owned it in map 2, and is gone");
}

#[test]
fn lost_keys_are_unknown_for_as_long_as_their_members_may_have_gone_on() {
    let mut n = state("n");
    n.install(&map(1, None, &["a", "s"]), Time(10));
    n.install(&map(2, Some(1), &["n", "s"]), Time(20));
    // s stays but is not heard: it may still promise to a, and both go on.
    let active = Time(20 + 2 * LEASE_MS + GUARD_MS);
    assert!(n.activate(active).is_some());
    let last_claim = Time(20 + AWAY_MS + GUARD_MS);
    let still = Time(last_claim.0 + 600_000 - 1);
    assert!(n.may_have_lost_claims("any", still), "a caller may still send a key of a's again");
    assert!(!n.may_have_lost_claims("any", Time(still.0 + 1)));
}

#[test]
fn two_that_removed_each_other_lose_nothing_once_they_meet() {
    let mut b = state("b");
    b.install(&map(1, None, &["a", "b"]), Time(10));
    b.receive(&instance("a"), &handoff(1, None), Time(10));
    b.activate(Time(10));
    b.install(&map(2, Some(1), &["a"]), Time(20));
    assert!(b.rejoin());
    let (a_again, b_again) = (Instance::new("a", 2), Instance::new("b", 2));
    let later = |epoch: u64, members: &[&Instance]| Map {
        epoch,
        base: Some(epoch - 1),
        members: members.iter().map(|member| (*member).clone()).collect(),
    };
    b.install(&later(3, &[&b_again]), Time(30));
    b.install(&later(4, &[&a_again, &b_again]), Time(40));
    // a was removed before it could act in the map of its own.
    let told = Handoff { former_ids: vec![instance("a")], ..handoff(4, Some(1)) };
    b.receive(&a_again, &told, Time(50));
    assert!(b.activate(Time(50)).is_some(), "everybody who ever acted has handed over");
    let unknown = (0..64).filter(|n| b.may_have_lost_claims(&format!("k{n}"), Time(50))).count();
    assert_eq!(unknown, 0, "of 64 keys");
}

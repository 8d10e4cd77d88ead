//! Ownership of keys: activation, leases and lost claims. These are minimal
//! regression tests for cases that the generated schedules in `interleavings`
//! found.

use std::collections::BTreeSet;

use hollywell::core::{
    claim::Copy,
    id::Instance,
    owner::{Config, Handoff, Map, Maps, Proposal, State},
    time::Time,
};

const LEASE_MS: u64 = 1_000;
const GUARD_MS: u64 = 100;
const MAX_LOG_OUTAGE_MS: u64 = 60_000;

fn config() -> Config {
    Config {
        lease_ms: LEASE_MS,
        guard_ms: GUARD_MS,
        log_away_ms: MAX_LOG_OUTAGE_MS,
        horizon_ms: 600_000,
    }
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

/// Returns the state of the sole member of a map, which it read and became
/// active in at `now`.
fn active_alone(name: &str, epoch: u64, now: Time) -> State {
    let mut state = state(name);
    state.install(&map(epoch, None, &[name]), now);
    assert!(state.activate(now).is_some(), "activation in the first map needs no wait");
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
fn a_joining_member_waits_for_the_hand_off_of_a_staying_one() {
    let mut a = active_alone("a", 1, Time(10));
    let mut b = state("b");
    b.install(&map(1, None, &["a"]), Time(20));
    b.install(&map(4, Some(1), &["a", "b"]), Time(30));
    assert_eq!(
        b.activate(Time(30 + LEASE_MS + GUARD_MS)),
        None,
        "the hand-off of a has not arrived"
    );
    a.install(&map(4, Some(1), &["a", "b"]), Time(40));
    let copy = Copy { key: "k".into(), digest: 3, age_ms: 5 };
    let handoff = a.handoff(|| vec![copy.clone()], Time(41)).clone();
    b.receive(&instance("a"), &handoff, Time(50));
    assert_eq!(b.activate(Time(50)), Some(vec![copy]));
    assert!(!b.may_have_lost_claims("any", Time(50)), "a handed over all claims");
}

#[test]
fn an_unresponsive_member_delays_activation_for_a_bounded_time() {
    let mut b = state("b");
    b.install(&map(1, None, &["a", "c"]), Time(20));
    b.install(&map(4, Some(1), &["a", "b", "c"]), Time(30));
    b.receive(&instance("c"), &handoff(4, Some(1)), Time(40));
    let wait_ends = Time(40 + 2 * LEASE_MS + GUARD_MS);
    assert_eq!(b.activate(Time(wait_ends.0 - 1)), None);
    assert!(b.activate(wait_ends).is_some());
    let before = map(1, None, &["a", "c"]);
    let unknown = |key: &String| b.may_have_lost_claims(key, wait_ends);
    let keys: Vec<String> = (0..50).map(|n| format!("k{n}")).collect();
    // In a map of two members each is the other's replica, so c has every claim.
    assert_eq!(keys.iter().filter(|key| unknown(key)).count(), 0, "{before:?}");
}

#[test]
fn later_maps_do_not_extend_the_wait_for_a_removed_member() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b"]), Time(10));
    a.receive(&instance("b"), &handoff(1, None), Time(10));
    assert!(a.activate(Time(10)).is_some());
    a.install(&map(2, Some(1), &["a"]), Time(100));
    a.install(&map(3, Some(2), &["a", "c"]), Time(110));
    a.install(&map(4, Some(3), &["a"]), Time(120));
    let wait_ends = Time(120).after(LEASE_MS + GUARD_MS);
    assert_eq!(a.ready_at(), wait_ends, "the waits for several maps run concurrently");
    assert_eq!(a.activate(Time(wait_ends.0 - 1)), None);
    assert!(a.activate(wait_ends).is_some());
}

#[test]
fn without_survivors_the_wait_starts_at_the_replacement_map() {
    let mut c = state("c");
    c.install(&map(1, None, &["a"]), Time(10));
    c.install(&map(2, Some(1), &["c"]), Time(20));
    c.install(&map(3, Some(2), &["c"]), Time(5_000));
    let wait_ends = Time(20).after(MAX_LOG_OUTAGE_MS + GUARD_MS);
    assert_eq!(c.ready_at(), wait_ends, "a later map does not restart the wait");
    assert!(c.activate(wait_ends).is_some());
    assert!(c.may_have_lost_claims("any", wait_ends), "the claims of a were not handed over");
}

#[test]
fn a_hand_off_for_a_later_map_does_not_count() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b", "c"]), Time(10));
    for other in ["b", "c"] {
        a.receive(&instance(other), &handoff(1, None), Time(10));
    }
    a.activate(Time(10));
    a.install(&map(2, Some(1), &["a", "b"]), Time(20));
    a.install(&map(3, Some(2), &["a"]), Time(30));
    // b was active in map 2 and hands off to map 7, which a has not read yet.
    a.receive(&instance("b"), &handoff(7, Some(2)), Time(40));
    let late = Time(100_000);
    a.activate(late);
    let lost = (0..64).filter(|n| a.may_have_lost_claims(&format!("k{n}"), late)).count();
    assert!(lost > 0, "claims of b and c in map 1 were not handed over: {lost} of 64 unknown");
}

#[test]
fn peers_extend_the_lease_without_the_log_up_to_a_bound() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b"]), Time(10));
    a.receive(&instance("b"), &handoff(1, None), Time(10));
    a.activate(Time(10));
    assert_eq!(a.lease_until(), Time(0), "no lease before the first read of the log");
    a.confirm_by_log(Time(50));
    assert_eq!(a.lease_until(), Time(50 + LEASE_MS));
    a.confirm_by_peer(&instance("b"), 1, Time(5_000));
    assert_eq!(a.lease_until(), Time(5_000 + LEASE_MS));
    a.confirm_by_peer(&instance("b"), 9, Time(7_000));
    assert_eq!(
        a.lease_until(),
        Time(5_000 + LEASE_MS),
        "a confirmation for another epoch does not count"
    );
    a.confirm_by_peer(&instance("b"), 1, Time(MAX_LOG_OUTAGE_MS * 2));
    assert_eq!(
        a.lease_until(),
        Time(50 + MAX_LOG_OUTAGE_MS),
        "the log has been unavailable for the maximum time"
    );
}

#[test]
fn a_removed_instance_rejoins_with_a_higher_incarnation() {
    let mut a = active_alone("a", 1, Time(10));
    a.install(&map(2, Some(1), &["b"]), Time(20));
    assert!(a.rejoin());
    assert_eq!(*a.local(), Instance::new("a", 2));
    assert!(!a.rejoin(), "a second call must not raise the incarnation");
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
    assert!(!maps.apply(7, &proposal(Some(5), &[])), "a map without members is rejected");
    assert_eq!(maps.0["d"].epoch, 5);
}

#[test]
fn removing_a_member_moves_only_its_keys_to_their_replicas() {
    let before = map(1, None, &["a", "b", "c", "d", "e"]);
    let after = map(2, Some(1), &["a", "b", "c", "d"]);
    let keys: Vec<String> = (0..1_000).map(|n| format!("key-{n}")).collect();
    let moved = keys.iter().filter(|key| before.owner(key) != after.owner(key)).count();
    let owned_by_e = keys.iter().filter(|key| before.owner(key) == Some(&instance("e"))).count();
    assert_eq!(moved, owned_by_e, "only the removed member's keys move");
    let to_replica = keys.iter().filter(|key| before.owner(key) == Some(&instance("e")));
    for key in to_replica {
        assert_eq!(after.owner(key), before.replica(key), "the replica becomes the owner of {key}");
    }
}

#[test]
fn a_rejoined_instance_treats_former_keys_as_possibly_lost() {
    let mut a = state("a");
    a.install(&map(1, None, &["a", "b"]), Time(10));
    a.receive(&instance("b"), &handoff(1, None), Time(10));
    a.activate(Time(10));
    // b removes a, and then a removes b without a message from it.
    a.install(&map(2, Some(1), &["b"]), Time(20));
    assert!(a.rejoin());
    let mut alone = map(3, Some(2), &[]);
    alone.members.insert(a.local().clone());
    a.install(&alone, Time(30));
    let key = (0..64)
        .map(|n| format!("k{n}"))
        .find(|key| map(1, None, &["a", "b"]).owner(key) == Some(&instance("a")));
    let key = key.expect("a owns some of 64 keys");
    assert_eq!(
        a.activate(Time(20 + MAX_LOG_OUTAGE_MS + GUARD_MS - 1)),
        None,
        "b may be active alone in map 2"
    );
    let late = Time(20 + MAX_LOG_OUTAGE_MS + GUARD_MS + 10);
    assert!(a.activate(late).is_some());
    assert!(a.may_have_lost_claims(&key, late), "b owned {key} in map 2 and did not hand off");
}

#[test]
fn lost_claims_stay_unknown_while_former_owners_may_be_active() {
    let mut n = state("n");
    n.install(&map(1, None, &["a", "s"]), Time(10));
    n.install(&map(2, Some(1), &["n", "s"]), Time(20));
    // s stays but is unresponsive: it may still confirm the lease of a, so that
    // both stay active.
    let active = Time(20 + 2 * LEASE_MS + GUARD_MS);
    assert!(n.activate(active).is_some());
    let last_claim = Time(20 + MAX_LOG_OUTAGE_MS + GUARD_MS);
    let last_unknown = Time(last_claim.0 + 600_000 - 1);
    assert!(
        n.may_have_lost_claims("any", last_unknown),
        "a caller may still resend a key that a owned"
    );
    assert!(!n.may_have_lost_claims("any", Time(last_unknown.0 + 1)));
}

#[test]
fn mutually_removed_instances_lose_no_claims_after_rejoining() {
    let mut b = state("b");
    b.install(&map(1, None, &["a", "b"]), Time(10));
    b.receive(&instance("a"), &handoff(1, None), Time(10));
    b.activate(Time(10));
    b.install(&map(2, Some(1), &["a"]), Time(20));
    assert!(b.rejoin());
    let (a_rejoined, b_rejoined) = (Instance::new("a", 2), Instance::new("b", 2));
    let later = |epoch: u64, members: &[&Instance]| Map {
        epoch,
        base: Some(epoch - 1),
        members: members.iter().map(|member| (*member).clone()).collect(),
    };
    b.install(&later(3, &[&b_rejoined]), Time(30));
    b.install(&later(4, &[&a_rejoined, &b_rejoined]), Time(40));
    // a was removed before it became active in map 2.
    let handoff = Handoff { former_ids: vec![instance("a")], ..handoff(4, Some(1)) };
    b.receive(&a_rejoined, &handoff, Time(50));
    assert!(b.activate(Time(50)).is_some(), "all members that were ever active have handed off");
    let unknown = (0..64).filter(|n| b.may_have_lost_claims(&format!("k{n}"), Time(50))).count();
    assert_eq!(unknown, 0, "no claim of 64 keys may count as lost");
}

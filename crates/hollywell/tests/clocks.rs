//! Times and ages at the boundary between two processes, or between two runs of one,
//! with clocks as processes have them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use hollywell::{
    clock::Clock,
    core::{
        capacity,
        claim::Copy,
        event::Message,
        id::Instance,
        member::{Kind as MemberKind, Listed},
        owner::{self, ClaimLossCopy, Handoff, Map, Proposal},
        store_lease::{StoreLease, Timing},
        stream::Record,
    },
    prelude::*,
};

/// How long a member waits after the last hand-over until it may act, in milliseconds.
const WAIT_MS: u64 = 60_000;

fn instance(name: &str) -> Instance {
    Instance::new(name, 1)
}

fn handoff(epoch: u64) -> Handoff {
    Handoff {
        epoch,
        last_active: None,
        former_ids: vec![],
        history: vec![],
        copies: vec![],
        claim_losses: vec![],
    }
}

/// A member that was handed `handoff` over as its process began, and became active
/// [`WAIT_MS`] later; with the claims that it keeps since.
fn activated_late(handoff: &Handoff) -> (owner::State, Vec<Copy>, Time) {
    let start = Clock::start().now();
    let config = owner::Config { log_away_ms: WAIT_MS, ..owner::Config::default() };
    let mut state = owner::State::new(instance("b"), config);
    let map = |epoch, base, names: &[&str]| Map {
        epoch,
        base,
        members: names.iter().map(|name| instance(name)).collect(),
    };
    state.install(&map(1, None, &["z"]), start);
    state.install(&map(2, Some(1), &["a", "b"]), start);
    state.receive(&instance("a"), handoff, start);
    let active_at = state.ready_at();
    assert!(active_at.since(start) >= WAIT_MS, "the wait for the lost member");
    let copies = state.activate(active_at).unwrap();
    (state, copies, active_at)
}

// The time between a hand-over and the activation was left out of a claim's age.
#[test]
fn claim_grows_younger_while_its_new_owner_waits() {
    let copy = Copy { key: "k".into(), digest: 7, age_ms: 400_000 };
    let (_, copies, _) = activated_late(&Handoff { copies: vec![copy], ..handoff(2) });
    assert!(copies[0].age_ms >= 400_000 + WAIT_MS, "{copies:?}");
}

// The time left of a lost claim began again with each activation.
#[test]
fn lost_claim_outlives_the_retry_horizon_in_restarts_in_series() {
    let (map, sources) = (Map::default(), [].into());
    let loss = ClaimLossCopy { map, sources, left_ms: 1_000 };
    let given = Handoff { claim_losses: vec![loss], ..handoff(2) };
    let (mut state, _, active_at) = activated_late(&given);
    let next = Map { epoch: 3, base: Some(2), members: [instance("b")].into() };
    state.install(&next, active_at);
    let losses = &state.handoff(Vec::new, active_at).claim_losses;
    let inherited = losses.iter().find(|loss| loss.map == Map::default());
    assert_eq!(inherited, None, "it had a second left when it was handed over");
}

// An answer to a heartbeat of the process before counted as one of the future.
#[test]
fn answer_to_an_earlier_run_extends_the_lease() {
    let start = Clock::start().now();
    let mut state = State::new(Config::new(instance("a"), "d", &["d"]));
    let listed = |name: &str, kind, pool: &str| Listed {
        name: name.into(),
        kind,
        pool: pool.into(),
        domain: "d".into(),
        address: format!("{name}:1"),
        leaving: false,
    };
    let list =
        vec![listed("s1", MemberKind::Service, "app"), listed("b", MemberKind::Instance, "")];
    state.step(start, &Event::Listed(list));
    let members = [instance("a"), instance("b")].into();
    let proposal = Proposal { domain: "d".into(), base: None, members };
    let records = vec![(0, Record::Proposal(proposal))];
    state.step(start, &Event::LogRead { sent: start, first: 0, records, at_end: true });
    let epoch = state.ownership().map().epoch;
    let from_b = |message| Event::Peer { from: instance("b"), message };
    state.step(start, &from_b(Message::Handoff(handoff(epoch))));
    assert!(state.ownership().is_active());
    let lease_ms = owner::Config::default().lease_ms;
    assert_eq!(state.ownership().lease_until(), start.after(lease_ms));
    // The run before had been up for five minutes.
    let sent = start.after(300_000);
    let echo = Message::Echo { sent, epoch, reading: None, next: 0, draining: false };
    let now = start.after(1_000);
    state.step(now, &from_b(echo));
    let left_ms = state.ownership().lease_until().since(now);
    assert!(left_ms <= lease_ms, "a lease of {left_ms} ms on a promise from the future");
}

// What a process had appended in its first second was forgotten at the first update.
#[test]
fn burst_after_the_start_is_left_out_of_the_estimate() {
    let start = Clock::start().now();
    let mut state = capacity::State::new(1_000_000);
    state.appended(400_000);
    // Nothing was read back yet.
    state.update(start.after(100), 0, 0, 0);
    assert_eq!(state.used(), 400_000);
}

// The delay by rank was an instant of a clock that begins at zero.
#[test]
fn instances_claim_a_lease_without_a_holder_all_at_once() {
    let timing = Timing { term_ms: 3_000, apart_ms: 10_000 };
    let start = Clock::start().now();
    let mut lease = StoreLease::default();
    lease.observe_end(start, 0);
    let claims_at = |rank, at| lease.claim("a@10.0.0.1:80/1", at, timing, rank, false).is_some();
    assert!(claims_at(0, start));
    assert!(!claims_at(7, start), "the last instance claims with the first");
    assert!(claims_at(7, start.after(timing.term_ms)));
}

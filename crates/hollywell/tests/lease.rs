//! The lease on orders to load weights: which instance may give them, and for how
//! long.

use hollywell::core::{
    id::Instance,
    lease::{Grant, State, Step},
    time::Time,
};

const LEASE_MS: u64 = 900;
const GUARD_MS: u64 = 100;

fn grant(name: &str, renewed: u64) -> Grant {
    Grant { holder: Instance::new(name, 1), fence: 1, renewed }
}

fn local() -> Instance {
    Instance::new("a", 1)
}

#[test]
fn a_lease_counts_from_the_first_of_repeated_claims() {
    let mut state = State::default();
    assert_eq!(state.step(false, Time(100), LEASE_MS, GUARD_MS), Step::Claim);
    assert_eq!(state.step(false, Time(200), LEASE_MS, GUARD_MS), Step::Wait);
    assert_eq!(
        state.step(false, Time(500), LEASE_MS, GUARD_MS),
        Step::Claim,
        "an unanswered claim is repeated"
    );
    // It is unknown which of the two claims was accepted, and others may have read
    // the first one long ago.
    state.observe(&local(), &grant("a", 7), Time(600), LEASE_MS);
    assert_eq!(state.held_until(), Time(100 + LEASE_MS));
}

#[test]
fn renewal_is_due_at_a_third_and_a_challenge_after_lease_and_guard() {
    let mut holder = State::default();
    holder.step(false, Time(0), LEASE_MS, GUARD_MS);
    holder.observe(&local(), &grant("a", 7), Time(10), LEASE_MS);
    assert_eq!(holder.step(true, Time(10 + LEASE_MS / 3 - 1), LEASE_MS, GUARD_MS), Step::Wait);
    assert_eq!(holder.step(true, Time(10 + LEASE_MS / 3), LEASE_MS, GUARD_MS), Step::Claim);

    let mut challenger = State::default();
    challenger.observe(&local(), &grant("b", 7), Time(10), LEASE_MS);
    let due = 10 + LEASE_MS + GUARD_MS;
    assert_eq!(challenger.step(false, Time(due - 1), LEASE_MS, GUARD_MS), Step::Wait);
    assert_eq!(challenger.step(false, Time(due), LEASE_MS, GUARD_MS), Step::Claim);
}

#[test]
fn a_grant_to_another_holder_ends_the_lease() {
    let mut state = State::default();
    state.step(false, Time(100), LEASE_MS, GUARD_MS);
    state.observe(&local(), &grant("a", 7), Time(110), LEASE_MS);
    state.observe(&local(), &grant("b", 9), Time(120), LEASE_MS);
    assert_eq!(state.held_until(), Time(0));
}

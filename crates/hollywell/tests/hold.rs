//! Admission of requests while no target has a free slot: which are held and
//! which are rejected.

use hollywell::core::admission::{Decision, Situation, decide};

/// Default situation of the cases below: a full pool.
const FULL: Situation = Situation { known: true, usable: 4, usual_ms: Some(40), left_ms: 800 };

/// Returns how long a caller is held, in the cases below with 800 ms left, before
/// it is rejected. Decides every 25 ms as the instance does.
fn held_ms(situation: Situation) -> u64 {
    let checks = (0..=situation.left_ms).step_by(25);
    let is_decided = |waited: &u64| {
        decide(Situation { left_ms: situation.left_ms - waited, ..situation }) != Decision::Hold
    };
    checks.into_iter().find(is_decided).unwrap_or(situation.left_ms)
}

#[test]
fn a_pool_without_usable_targets_rejects_at_once() {
    assert_eq!(held_ms(Situation { usable: 0, ..FULL }), 0);
    // The same if no target has answered yet.
    assert_eq!(held_ms(Situation { usable: 0, usual_ms: None, ..FULL }), 0);
}

#[test]
fn callers_are_held_until_the_targets_are_known() {
    assert_eq!(
        decide(Situation { known: false, usable: 0, usual_ms: None, left_ms: 800 }),
        Decision::Hold
    );
}

#[test]
fn a_full_pool_holds_while_an_answer_can_still_be_in_time() {
    // A slot that becomes free with 40 ms or less left is too late.
    assert_eq!(held_ms(FULL), 775);
    let slow = Situation { usual_ms: Some(300), ..FULL };
    assert_eq!(held_ms(slow), 500);
    assert_eq!(decide(Situation { left_ms: 300, ..slow }), Decision::Reject(300));
}

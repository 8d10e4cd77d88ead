//! Requests that no target can take: which are held, which are rejected.

use hollywell::core::admission::{Decision, Situation, decide};

/// What is known in the load patterns below, where nothing else is said.
const FULL: Situation = Situation { known: true, usable: 4, usual_ms: Some(40), left_ms: 800 };

/// How long callers with 800 ms to go are held before they are told, looked at
/// every 25 ms as the instance does.
fn held_ms(situation: Situation) -> u64 {
    let looks = (0..=situation.left_ms).step_by(25);
    let told = |waited: &u64| {
        decide(Situation { left_ms: situation.left_ms - waited, ..situation }) != Decision::Hold
    };
    looks.into_iter().find(told).unwrap_or(situation.left_ms)
}

#[test]
fn a_pool_whose_targets_all_vanished_rejects_at_once() {
    assert_eq!(held_ms(Situation { usable: 0, ..FULL }), 0);
    // Also where nobody has answered yet.
    assert_eq!(held_ms(Situation { usable: 0, usual_ms: None, ..FULL }), 0);
}

#[test]
fn an_instance_that_has_not_read_the_targets_yet_holds_its_callers() {
    assert_eq!(
        decide(Situation { known: false, usable: 0, usual_ms: None, left_ms: 800 }),
        Decision::Hold
    );
}

#[test]
fn a_full_pool_holds_as_long_as_an_answer_may_come_in_time() {
    // A place that comes with 40 ms or less to go comes too late.
    assert_eq!(held_ms(FULL), 775);
    let slow = Situation { usual_ms: Some(300), ..FULL };
    assert_eq!(held_ms(slow), 500);
    assert_eq!(decide(Situation { left_ms: 300, ..slow }), Decision::Reject(300));
}

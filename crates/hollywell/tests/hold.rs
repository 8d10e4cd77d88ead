//! Requests that no target can take: which are held, which are rejected.

use hollywell::core::admission::{Next, Sight, next};

/// What is known in the load patterns below, where nothing else is said.
const FULL: Sight = Sight { known: true, usable: 4, usual_ms: Some(40), left_ms: 800 };

/// How long callers with 800 ms to go are held before they are told, looked at
/// every 25 ms as the instance does.
fn held_ms(sight: Sight) -> u64 {
    let looks = (0..=sight.left_ms).step_by(25);
    let told =
        |waited: &u64| next(Sight { left_ms: sight.left_ms - waited, ..sight }) != Next::Hold;
    looks.into_iter().find(told).unwrap_or(sight.left_ms)
}

#[test]
fn a_pool_whose_targets_all_vanished_rejects_at_once() {
    assert_eq!(held_ms(Sight { usable: 0, ..FULL }), 0);
    // Also where nobody has answered yet.
    assert_eq!(held_ms(Sight { usable: 0, usual_ms: None, ..FULL }), 0);
}

#[test]
fn an_instance_that_has_not_read_the_targets_yet_holds_its_callers() {
    assert_eq!(next(Sight { known: false, usable: 0, usual_ms: None, left_ms: 800 }), Next::Hold);
}

#[test]
fn a_full_pool_holds_as_long_as_an_answer_may_come_in_time() {
    // A place that comes with 40 ms or less to go comes too late.
    assert_eq!(held_ms(FULL), 775);
    let slow = Sight { usual_ms: Some(300), ..FULL };
    assert_eq!(held_ms(slow), 500);
    assert_eq!(next(Sight { left_ms: 300, ..slow }), Next::Reject(300));
}

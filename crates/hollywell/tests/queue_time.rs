//! How much of a response time is spent in the store's queue.

use hollywell::core::{queue_time::QueueTime, time::Time};

// A queue that many instances keep filled for minutes seemed to be a slow store.
#[test]
fn queue_that_is_never_empty_is_taken_for_a_slow_store() {
    let mut times = QueueTime::default();
    let queues_ms: Vec<u64> = (0..6_000).map(|at| times.record(Time(at * 100), 1_500)).collect();
    assert!(queues_ms.iter().all(|queue_ms| *queue_ms >= 1_000), "{:?}", queues_ms.last());
}

// The first responses after a loss of power, all from a long queue, seemed to be usual.
#[test]
fn first_responses_are_taken_for_usual_ones() {
    let mut times = QueueTime::default();
    assert_eq!(times.record(Time(1_000), 380), 380);
    assert_eq!(times.record(Time(2_000), 380), 380);
}

// A store counted as slow for as long after it was fast again as before.
#[test]
fn fast_response_ends_a_slow_time_at_once() {
    let mut times = QueueTime::default();
    for at in 0..900 {
        times.record(Time(at * 100), 300);
    }
    assert_eq!(times.record(Time(90_000), 300), 0);
    assert_eq!(times.record(Time(90_100), 5), 0);
    assert_eq!(times.record(Time(90_200), 300), 295);
}

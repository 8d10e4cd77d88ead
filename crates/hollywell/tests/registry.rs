//! The bytes that an instance holds are bounded.

use bytes::Bytes;
use hollywell::{
    core::id::Dispatch,
    traffic::registry::{BufferedResponse, Registry},
};

fn answer(bytes: usize) -> BufferedResponse {
    BufferedResponse { body: Bytes::from(vec![b'x'; bytes]), ..BufferedResponse::default() }
}

#[test]
fn the_oldest_answers_make_room_for_new_ones() {
    let registry = Registry::new(1_000);
    for number in 1..=4 {
        registry.store_response(Dispatch(number), answer(400));
    }
    let held: Vec<u64> =
        (1..=4).filter(|number| registry.response(Dispatch(*number)).is_some()).collect();
    assert_eq!(held, [3, 4], "1,600 bytes do not fit into 1,000");
}

#[test]
fn forgotten_answers_make_room_and_the_newest_is_always_held() {
    let registry = Registry::new(1_000);
    registry.store_response(Dispatch(1), answer(900));
    registry.forget(Dispatch(1));
    registry.store_response(Dispatch(2), answer(900));
    assert!(registry.response(Dispatch(2)).is_some());
    // Its caller waits for it: one answer over the bound is passed on.
    registry.store_response(Dispatch(3), answer(5_000));
    assert!(registry.response(Dispatch(3)).is_some());
    assert!(registry.response(Dispatch(2)).is_none());
}

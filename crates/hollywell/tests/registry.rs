//! The registry of buffered responses holds a bounded number of bytes.

use bytes::Bytes;
use hollywell::{
    core::id::Dispatch,
    traffic::registry::{BufferedResponse, Registry},
};

fn response(bytes: usize) -> BufferedResponse {
    BufferedResponse { body: Bytes::from(vec![b'x'; bytes]), ..BufferedResponse::default() }
}

#[test]
fn the_oldest_responses_are_evicted() {
    let registry = Registry::new(1_000);
    for number in 1..=4 {
        registry.store_response(Dispatch(number), response(400));
    }
    let held: Vec<u64> =
        (1..=4).filter(|number| registry.response(Dispatch(*number)).is_some()).collect();
    assert_eq!(held, [3, 4], "1,600 bytes do not fit into 1,000");
}

#[test]
fn forgotten_responses_free_space_and_the_newest_is_kept() {
    let registry = Registry::new(1_000);
    registry.store_response(Dispatch(1), response(900));
    registry.forget(Dispatch(1));
    registry.store_response(Dispatch(2), response(900));
    assert!(registry.response(Dispatch(2)).is_some());
    // A caller waits for the newest response, so it is kept even if it exceeds the
    // bound.
    registry.store_response(Dispatch(3), response(5_000));
    assert!(registry.response(Dispatch(3)).is_some());
    assert!(registry.response(Dispatch(2)).is_none());
}

//! Which read that waits is answered early: the oldest, and only beyond the
//! limit.

use hollywell::core::waits::Waits;

/// Limit on waits.
const LIMIT: usize = 4;

#[test]
fn waits_within_the_limit_end_early() {
    let mut waits = Waits::new(LIMIT);
    for _ in 0..10 {
        let ids: Vec<_> = (0..LIMIT).map(|_| waits.begin()).collect();
        assert!(ids.iter().all(|(_, ended)| ended.is_none()), "{ids:?}");
        ids.iter().rev().for_each(|(id, _)| waits.end(*id));
    }
}

#[test]
fn waits_beyond_the_limit_go_on() {
    let mut waits = Waits::new(LIMIT);
    let ids: Vec<_> = (0..LIMIT).map(|_| waits.begin().0).collect();
    waits.end(ids[1]);
    assert_eq!(waits.begin().1, None);
    assert_eq!(waits.begin().1, Some(ids[0]));
    waits.end(ids[0]);
    assert_eq!(waits.begin().1, Some(ids[2]), "one that was ended makes room twice");
}

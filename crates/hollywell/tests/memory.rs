//! Memory of response bodies: bounded whatever targets send, and always enough
//! for small bodies.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use hollywell::{
    account::{Account, Charge},
    core::memory::Memory,
};

/// Number of generated schedules, with fixed seeds.
const SCHEDULES: u64 = 500;
/// Size of a schedule in random bytes.
const SIZE: u64 = 600;
/// Limit of all bodies together, in bytes.
const LIMIT: usize = 1 << 20;
/// Size of a body that is read however much is in use, in bytes.
const SMALL: usize = 64 << 10;
/// Number of bodies that are read at once.
const BODIES: usize = 12;

#[test]
fn endless_bodies_stay_within_the_limit_and_small_ones_are_read() {
    for seed in 0..SCHEDULES {
        arbtest(read_bodies).seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE).run();
    }
}

fn read_bodies(u: &mut Unstructured<'_>) -> Result<(), arbitrary::Error> {
    let mut memory = Memory::new(LIMIT);
    let mut held = [0; BODIES];
    while !u.is_empty() {
        let body = u.choose_index(BODIES)?;
        let more = u.int_in_range(0..=2 * SMALL)?;
        if memory.try_grow(held[body], more) {
            held[body] += more;
        } else {
            assert!(held[body] + more > SMALL, "a body of {} is refused", held[body] + more);
            // The exchange is broken off.
            memory.release(std::mem::take(&mut held[body]));
        }
        let used: usize = held.iter().sum();
        assert_eq!(memory.used(), used);
        assert!(used <= LIMIT + BODIES * SMALL, "{used} bytes in use");
    }
    Ok(())
}

/// Memory for small bodies beyond the limit, in bytes.
const RESERVE: usize = 4 * SMALL;

#[test]
fn small_bodies_without_number_stay_within_the_reserve() {
    for seed in 0..SCHEDULES {
        arbtest(read_small_bodies).seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE).run();
    }
}

fn read_small_bodies(u: &mut Unstructured<'_>) -> Result<(), arbitrary::Error> {
    let mut memory = Memory::with_reserve(LIMIT, RESERVE);
    let mut held = Vec::new();
    while !u.is_empty() {
        let is_small = u.ratio(2, 3)?;
        let bytes =
            if is_small { u.int_in_range(1..=SMALL)? } else { u.int_in_range(SMALL + 1..=LIMIT)? };
        let used = memory.used();
        if memory.try_grow(0, bytes) {
            held.push(bytes);
        } else if is_small {
            assert!(used + bytes > LIMIT + RESERVE, "refused with {used} bytes in use");
        } else {
            assert!(used + bytes > LIMIT, "refused with {used} bytes in use");
        }
        if !held.is_empty() && u.ratio(1, 8)? {
            memory.release(held.swap_remove(u.choose_index(held.len())?));
        }
        assert!(memory.used() <= LIMIT + RESERVE, "{} bytes in use", memory.used());
        assert_eq!(memory.used(), held.iter().sum::<usize>());
    }
    Ok(())
}

#[test]
fn parts_of_an_account_take_more_than_the_whole() {
    let whole = Account::new(Memory::with_reserve(LIMIT, SMALL));
    let parts = [LIMIT, LIMIT / 2].map(|limit| Account::within(&whole, Memory::new(limit)));
    let mut charges = parts.each_ref().map(Charge::new);
    assert!(charges[0].try_grow(LIMIT / 4));
    assert!(!charges[1].try_grow(LIMIT * 3 / 4), "over its own limit");
    assert!(charges[1].try_grow(LIMIT / 2));
    assert!(!charges[0].try_grow(LIMIT / 2), "over the limit of both");
    assert!(whole.take_shortage() && !parts[0].take_shortage());
    assert_eq!((parts[0].used(), parts[1].used()), (LIMIT / 4, LIMIT / 2));
    whole.set_aside(LIMIT / 4);
    assert!(!charges[0].try_grow(1), "the rest is set aside");
    assert!(Charge::new(&parts[0]).try_grow(SMALL), "a small body is refused");
    drop(charges);
    assert_eq!(whole.used(), LIMIT / 4);
    whole.set_aside(0);
    assert_eq!((whole.used(), parts[0].used(), parts[1].used()), (0, 0, 0));
}

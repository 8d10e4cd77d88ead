//! The clock used for decisions includes time in which the machine was
//! suspended. The tests do not suspend the machine: they compare the clock with
//! the kernel's uptime, and simulate a suspension by a time source that jumps.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use hollywell::clock::{Clock, since_boot};

#[test]
fn the_clock_matches_the_kernel_s_uptime() {
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap();
    let uptime: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let difference_s = (since_boot().as_secs_f64() - uptime).abs();
    assert!(difference_s < 1.0, "the clock differs from the kernel's uptime by {difference_s} s");
}

#[test]
fn a_lease_expires_during_a_suspension() {
    static MS: AtomicU64 = AtomicU64::new(50_000);
    let clock = Clock::reading(|| Duration::from_millis(MS.load(Ordering::Relaxed)));
    let lease_until = clock.now().after(3_000);
    assert_eq!(clock.left(lease_until), Duration::from_secs(3));
    MS.fetch_add(5_000, Ordering::Relaxed);
    assert!(clock.now() > lease_until);
    assert_eq!(clock.left(lease_until), Duration::ZERO);
}

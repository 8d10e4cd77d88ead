//! The clock that decisions go by counts the time in which the machine was
//! suspended. No suspension is brought about here: the kernel's own count of
//! it is compared, and a source that jumps stands in for one.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use hollywell::clock::{Clock, since_boot};

#[test]
fn it_is_the_clock_that_the_kernel_counts_suspended_time_on() {
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap();
    let uptime: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let apart = (since_boot().as_secs_f64() - uptime).abs();
    assert!(apart < 1.0, "{apart} s apart from the kernel's uptime");
}

#[test]
fn what_was_known_before_a_suspension_has_aged_by_it() {
    static MS: AtomicU64 = AtomicU64::new(50_000);
    let clock = Clock::reading(|| Duration::from_millis(MS.load(Ordering::Relaxed)));
    let lease_until = clock.now().after(3_000);
    assert_eq!(clock.left(lease_until), Duration::from_secs(3));
    MS.fetch_add(5_000, Ordering::Relaxed);
    assert!(clock.now() > lease_until);
    assert_eq!(clock.left(lease_until), Duration::ZERO);
}

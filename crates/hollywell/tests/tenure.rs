//! The lease by compare-and-append: one holder at a time, orders of two
//! holders far enough apart, fences that rise.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use arbtest::arbtest;
use hollywell::core::{
    store_lease::{Claim, StoreLease, Timing},
    time::Time,
};

/// Schedules of each generated test, with fixed seeds.
const SCHEDULES: u64 = 2_000;
/// Random bytes of a schedule.
const SIZE: u64 = 1500;

const TERMS: Timing = Timing { term_ms: 1_800, apart_ms: 3_000 };
const MARGIN_MS: u64 = 600;

struct Instance {
    name: String,
    lease: StoreLease,
}

/// A partition with compare-and-append.
#[derive(Default)]
struct Log(Vec<Claim>);

impl Log {
    fn read(&self, to: &mut Instance, now: Time) {
        for (offset, claim) in self.0.iter().enumerate().skip(to.lease.end as usize) {
            to.lease.observe(&to.name, now, offset as u64, claim);
        }
        to.lease.observe_end(self.0.len() as u64);
    }

    /// Appends a claim, unless somebody was first; `heard` says whether the
    /// claimant gets the answer.
    fn append(&mut self, by: &mut Instance, sent: Time, claim: &Claim, heard: bool) -> bool {
        if by.lease.end != self.0.len() as u64 {
            return false;
        }
        let offset = self.0.len() as u64;
        self.0.push(claim.clone());
        if heard {
            by.lease.record_grant(sent, offset, claim, TERMS);
        }
        true
    }
}

fn instance(name: &str) -> Instance {
    Instance { name: name.into(), lease: StoreLease::default() }
}

fn turn(log: &mut Log, instance: &mut Instance, now: u64, orders: bool) -> bool {
    if !instance.lease.is_held() {
        log.read(instance, Time(now));
    }
    let claim = instance.lease.claim(&instance.name, Time(now), TERMS, 0, orders);
    claim.is_some_and(|claim| log.append(instance, Time(now), &claim, true))
}

#[test]
fn a_quiet_holder_that_gives_up_is_followed_at_once() {
    let (mut log, mut a, mut b) = (Log::default(), instance("a"), instance("b"));
    assert!(turn(&mut log, &mut a, 0, false));
    assert!(!turn(&mut log, &mut b, 100, true), "the lease is held");
    let release = a.lease.release("a", Time(200)).unwrap();
    assert!(log.append(&mut a, Time(200), &release, true));
    assert!(turn(&mut log, &mut b, 210, true));
    assert!(turn(&mut log, &mut b, 220, true), "the claim that announces orders");
    assert!(b.lease.fence(Time(230), MARGIN_MS).is_some(), "nobody ever gave an order");
    assert!(a.lease.fence(Time(230), MARGIN_MS).is_none());
}

#[test]
fn orders_of_two_holders_are_apart_also_when_the_first_just_vanishes() {
    let (mut log, mut a, mut b) = (Log::default(), instance("a"), instance("b"));
    assert!(turn(&mut log, &mut a, 0, true));
    assert!(turn(&mut log, &mut a, 10, true));
    let last = (10..5_000).rev().find(|now| a.lease.fence(Time(*now), MARGIN_MS).is_some());
    let last = last.unwrap();
    let mut first = None;
    for now in (20..10_000).step_by(100) {
        turn(&mut log, &mut b, now, true);
        if b.lease.fence(Time(now), MARGIN_MS).is_some() {
            first = Some(now);
            break;
        }
    }
    let first = first.unwrap();
    assert!(first >= last + TERMS.apart_ms, "a orders until {last}, b from {first}");
    assert!(first <= last + 2 * TERMS.apart_ms, "b waits no longer than it must: {first}");
}

#[test]
fn a_holder_that_said_it_gives_no_orders_says_otherwise_first() {
    let (mut log, mut a) = (Log::default(), instance("a"));
    assert!(turn(&mut log, &mut a, 0, false));
    assert!(turn(&mut log, &mut a, 400, false));
    assert!(a.lease.must_announce());
    assert_eq!(a.lease.fence(Time(410), MARGIN_MS), None);
    assert!(turn(&mut log, &mut a, 420, true));
    assert!(a.lease.fence(Time(430), MARGIN_MS).is_some());
}

#[test]
fn an_instance_that_restarts_takes_its_own_lease_up_at_once() {
    let (mut log, mut before) = (Log::default(), instance("a@10.1.0.1:80/1"));
    assert!(turn(&mut log, &mut before, 0, true));
    assert!(turn(&mut log, &mut before, 10, true));
    before.lease.record_order(Time(20));
    // Everybody loses power; only this instance knows that its run has ended.
    let (mut after, mut other) = (instance("a@10.1.0.1:80/2"), instance("b@10.1.0.2:80/2"));
    assert!(!turn(&mut log, &mut other, 600, true), "the lease may still be held");
    assert!(turn(&mut log, &mut after, 600, true));
    assert!(turn(&mut log, &mut after, 610, true), "the claim that announces orders");
    assert!(after.lease.fence(Time(620), MARGIN_MS) > Some(0), "engines take both for one holder");
}

#[test]
fn an_instance_that_restarts_still_waits_for_what_another_ordered() {
    let (mut log, mut other) = (Log::default(), instance("b@10.1.0.2:80/1"));
    assert!(turn(&mut log, &mut other, 0, true));
    assert!(turn(&mut log, &mut other, 10, true));
    other.lease.record_order(Time(1_000));
    let release = other.lease.release("b@10.1.0.2:80/1", Time(1_000)).unwrap();
    assert!(log.append(&mut other, Time(1_000), &release, true));
    let mut before = instance("a@10.1.0.1:80/1");
    assert!(turn(&mut log, &mut before, 1_010, true));
    assert!(turn(&mut log, &mut before, 1_020, true));
    let mut after = instance("a@10.1.0.1:80/2");
    for now in (1_600..4_000).step_by(100) {
        turn(&mut log, &mut after, now, true);
        assert_eq!(after.lease.fence(Time(now), MARGIN_MS), None, "b ordered 3 s before 4 s");
    }
    // How old the claim was that it read at 1,600 ms is not known.
    assert!(turn(&mut log, &mut after, 4_600, true));
    assert!(after.lease.fence(Time(4_610), MARGIN_MS).is_some());
}

/// Plays a generated schedule of three instances, which may restart where
/// `restarts` says so; the orders given, with time, instance and fence.
fn orders(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    restarts: bool,
) -> arbtest::arbitrary::Result<Vec<(u64, usize, u64)>> {
    const NAMES: [&str; 3] = ["a@10.1.0.1:80", "b@10.1.0.2:80", "c@10.1.0.3:80"];
    let mut log = Log::default();
    let mut all = NAMES.map(|name| instance(&format!("{name}/0")));
    let mut orders: Vec<(u64, usize, u64)> = vec![];
    let mut now = 0;
    for step in 1..=u.int_in_range(10..=120usize)? {
        now += u.int_in_range(1..=900u64)?;
        let who = u.int_in_range(0..=2usize)?;
        let instance = &mut all[who];
        match u.int_in_range(0..=if restarts { 10 } else { 9u8 })? {
            0 => {
                if let Some(claim) = instance.lease.release(&instance.name, Time(now)) {
                    log.append(instance, Time(now), &claim, u.arbitrary()?);
                }
            }
            1 => {
                // A claim that is done without an answer.
                let wants = u.arbitrary()?;
                let name = instance.name.clone();
                let claim = instance.lease.claim(&name, Time(now), TERMS, 0, wants);
                if let Some(claim) = claim {
                    log.append(instance, Time(now), &claim, false);
                }
            }
            2 => log.read(instance, Time(now)),
            3..=5 => {
                turn(&mut log, instance, now, u.arbitrary()?);
            }
            10 => *instance = self::instance(&format!("{}/{step}", NAMES[who])),
            _ => {
                if let Some(fence) = instance.lease.fence(Time(now), MARGIN_MS) {
                    instance.lease.record_order(Time(now));
                    orders.push((now, who, fence));
                }
            }
        }
    }
    Ok(orders)
}

#[test]
fn generated_schedules_keep_orders_apart_and_fences_rising() {
    for (seed, restarts) in (0..SCHEDULES).flat_map(|seed| [(seed, false), (seed, true)]) {
        arbtest(|u| {
            let orders = orders(u, restarts)?;
            for pair in orders.windows(2) {
                let ((at, who, fence), (next_at, next_who, next_fence)) = (pair[0], pair[1]);
                assert!(fence <= next_fence, "{orders:?}");
                if who != next_who {
                    assert!(fence < next_fence, "{orders:?}");
                    assert!(next_at >= at + TERMS.apart_ms, "{orders:?}");
                }
            }
            Ok(())
        })
        .seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE)
        .run();
    }
}

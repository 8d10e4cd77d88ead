//! The lease kept by compare-and-append on the store: one holder at a time, a
//! minimum time between the orders of two holders, and increasing fencing tokens.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use arbtest::arbtest;
use hollywell::core::{
    store_lease::{Claim, StoreLease, Timing},
    time::Time,
};

/// Number of generated schedules, with fixed seeds.
const SCHEDULES: u64 = 2_000;
/// Size of a schedule in random bytes.
const SIZE: u64 = 1500;

const TIMING: Timing = Timing { term_ms: 1_800, apart_ms: 3_000 };
const MARGIN_MS: u64 = 600;

struct Instance {
    name: String,
    lease: StoreLease,
}

/// A simulated partition of the store with compare-and-append.
#[derive(Default)]
struct Log(Vec<Claim>);

impl Log {
    fn read(&self, to: &mut Instance, now: Time) {
        for (offset, claim) in self.0.iter().enumerate().skip(to.lease.end as usize) {
            to.lease.observe(&to.name, now, offset as u64, claim);
        }
        to.lease.observe_end(now, self.0.len() as u64);
    }

    /// Appends a claim unless another record was appended since the claimant's
    /// last read. `acknowledged` says whether the claimant receives the answer.
    /// Returns whether the claim was appended.
    fn append(&mut self, by: &mut Instance, sent: Time, claim: &Claim, acknowledged: bool) -> bool {
        if by.lease.end != self.0.len() as u64 {
            return false;
        }
        let offset = self.0.len() as u64;
        self.0.push(claim.clone());
        if acknowledged {
            by.lease.record_grant(sent, offset, claim, TIMING);
        }
        true
    }
}

fn instance(name: &str) -> Instance {
    Instance { name: name.into(), lease: StoreLease::default() }
}

fn read_and_claim(log: &mut Log, instance: &mut Instance, now: u64, orders: bool) -> bool {
    if !instance.lease.is_held() {
        log.read(instance, Time(now));
    }
    let claim = instance.lease.claim(&instance.name, Time(now), TIMING, 0, orders);
    claim.is_some_and(|claim| log.append(instance, Time(now), &claim, true))
}

#[test]
fn a_released_lease_without_orders_is_taken_over_at_once() {
    let (mut log, mut a, mut b) = (Log::default(), instance("a"), instance("b"));
    assert!(read_and_claim(&mut log, &mut a, 0, false));
    assert!(!read_and_claim(&mut log, &mut b, 100, true), "the lease is held");
    let release = a.lease.release("a", Time(200)).unwrap();
    assert!(log.append(&mut a, Time(200), &release, true));
    assert!(read_and_claim(&mut log, &mut b, 210, true));
    assert!(read_and_claim(&mut log, &mut b, 220, true), "the claim that announces orders");
    assert!(
        b.lease.fence(Time(230), MARGIN_MS).is_some(),
        "no order was given before, so there is nothing to wait for"
    );
    assert!(a.lease.fence(Time(230), MARGIN_MS).is_none());
}

#[test]
fn orders_of_two_holders_stay_apart_after_a_crash() {
    let (mut log, mut a, mut b) = (Log::default(), instance("a"), instance("b"));
    assert!(read_and_claim(&mut log, &mut a, 0, true));
    assert!(read_and_claim(&mut log, &mut a, 10, true));
    let last = (10..5_000).rev().find(|now| a.lease.fence(Time(*now), MARGIN_MS).is_some());
    let last = last.unwrap();
    let mut first = None;
    for now in (20..10_000).step_by(100) {
        read_and_claim(&mut log, &mut b, now, true);
        if b.lease.fence(Time(now), MARGIN_MS).is_some() {
            first = Some(now);
            break;
        }
    }
    let first = first.unwrap();
    assert!(first >= last + TIMING.apart_ms, "a may order until {last}, b from {first}: too close");
    assert!(first <= last + 2 * TIMING.apart_ms, "b waits for too long: until {first}");
}

#[test]
fn a_holder_announces_orders_before_it_gives_any() {
    let (mut log, mut a) = (Log::default(), instance("a"));
    assert!(read_and_claim(&mut log, &mut a, 0, false));
    assert!(read_and_claim(&mut log, &mut a, 400, false));
    assert!(a.lease.must_announce());
    assert_eq!(a.lease.fence(Time(410), MARGIN_MS), None);
    assert!(read_and_claim(&mut log, &mut a, 420, true));
    assert!(a.lease.fence(Time(430), MARGIN_MS).is_some());
}

#[test]
fn a_restarted_instance_takes_over_its_own_lease_at_once() {
    let (mut log, mut before) = (Log::default(), instance("a@10.1.0.1:80/1"));
    assert!(read_and_claim(&mut log, &mut before, 0, true));
    assert!(read_and_claim(&mut log, &mut before, 10, true));
    before.lease.record_order(Time(20));
    // All instances lose power. Only the restarted holder knows that its former
    // incarnation has ended.
    let (mut after, mut other) = (instance("a@10.1.0.1:80/2"), instance("b@10.1.0.2:80/2"));
    assert!(!read_and_claim(&mut log, &mut other, 600, true), "the lease may still be held");
    assert!(read_and_claim(&mut log, &mut after, 600, true));
    assert!(read_and_claim(&mut log, &mut after, 610, true), "the claim that announces orders");
    assert!(
        after.lease.fence(Time(620), MARGIN_MS) > Some(0),
        "the fencing token must rise, as engines see one holder"
    );
}

#[test]
fn a_restarted_instance_still_waits_after_another_s_orders() {
    let (mut log, mut other) = (Log::default(), instance("b@10.1.0.2:80/1"));
    assert!(read_and_claim(&mut log, &mut other, 0, true));
    assert!(read_and_claim(&mut log, &mut other, 10, true));
    other.lease.record_order(Time(1_000));
    let release = other.lease.release("b@10.1.0.2:80/1", Time(1_000)).unwrap();
    assert!(log.append(&mut other, Time(1_000), &release, true));
    let mut before = instance("a@10.1.0.1:80/1");
    assert!(read_and_claim(&mut log, &mut before, 1_010, true));
    assert!(read_and_claim(&mut log, &mut before, 1_020, true));
    let mut after = instance("a@10.1.0.1:80/2");
    for now in (1_600..4_000).step_by(100) {
        read_and_claim(&mut log, &mut after, now, true);
        assert_eq!(
            after.lease.fence(Time(now), MARGIN_MS),
            None,
            "no orders before 4 s, 3 s after the order of b"
        );
    }
    // The age of the claim that it read at 1,600 ms is unknown to it, so it waits
    // 3 s from then.
    assert!(read_and_claim(&mut log, &mut after, 4_600, true));
    assert!(after.lease.fence(Time(4_610), MARGIN_MS).is_some());
}

/// Runs a generated schedule of three instances, which may restart if `restarts`
/// is set. Returns the orders given, with time, instance and fencing token.
fn run_schedule(
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
                // A claim that is appended but not acknowledged.
                let with_orders = u.arbitrary()?;
                let name = instance.name.clone();
                let claim = instance.lease.claim(&name, Time(now), TIMING, 0, with_orders);
                if let Some(claim) = claim {
                    log.append(instance, Time(now), &claim, false);
                }
            }
            2 => log.read(instance, Time(now)),
            3..=5 => {
                read_and_claim(&mut log, instance, now, u.arbitrary()?);
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
fn orders_stay_apart_and_fencing_tokens_rise() {
    for (seed, restarts) in (0..SCHEDULES).flat_map(|seed| [(seed, false), (seed, true)]) {
        arbtest(|u| {
            let orders = run_schedule(u, restarts)?;
            for pair in orders.windows(2) {
                let ((at, who, fence), (next_at, next_who, next_fence)) = (pair[0], pair[1]);
                assert!(fence <= next_fence, "{orders:?}");
                if who != next_who {
                    assert!(fence < next_fence, "{orders:?}");
                    assert!(next_at >= at + TIMING.apart_ms, "{orders:?}");
                }
            }
            Ok(())
        })
        .seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE)
        .run();
    }
}

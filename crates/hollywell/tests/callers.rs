//! Which connection of a caller makes room: always one that has stopped or
//! hardly moves, never one whose request is being served.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use hollywell::core::{
    callers::{Callers, Id, Phase},
    time::Time,
};

/// Number of generated schedules, with fixed seeds.
const SCHEDULES: u64 = 500;
/// Size of a schedule in random bytes.
const SIZE: u64 = 1_200;
/// Limit on connections.
const LIMIT: usize = 8;
/// Time without a byte after which a connection is stalled, in milliseconds.
const STALL_MS: u64 = 1_000;
/// Time for the head of a request, and to accept part of a response, in
/// milliseconds.
const HEAD_MS: u64 = 3_000;
const BLOCKED_MS: u64 = 15_000;
/// Bytes of a body that arrives at a healthy rate, each time.
const HEALTHY_BYTES: usize = 64 << 10;

/// What the test knows of a connection.
#[derive(Clone, Copy, Debug)]
struct Seen {
    phase: Phase,
    since: Time,
    moved_at: Time,
    is_closing: bool,
}

#[test]
fn connections_that_move_are_closed_for_others() {
    for seed in 0..SCHEDULES {
        arbtest(open_and_stall).seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE).run();
    }
}

fn phase(u: &mut Unstructured<'_>) -> Result<Phase, arbitrary::Error> {
    let phases = [Phase::Idle, Phase::Head, Phase::Body, Phase::Serving, Phase::Blocked];
    u.choose(&phases).copied()
}

fn open_and_stall(u: &mut Unstructured<'_>) -> Result<(), arbitrary::Error> {
    let mut callers = Callers::new(LIMIT);
    let mut seen: BTreeMap<Id, Seen> = BTreeMap::new();
    let mut now = Time(0);
    while !u.is_empty() {
        now = now.after(u.int_in_range(0..=700)?);
        let ids: Vec<Id> = seen.keys().copied().collect();
        match u.int_in_range(0..=4)? {
            0 if callers.is_full() => {
                assert_eq!(callers.len(), LIMIT);
                let chosen = callers.make_room(now);
                check_room(now, &seen, chosen);
                if let Some(id) = chosen {
                    callers.close(id);
                    seen.remove(&id);
                }
            }
            0 => {
                let (phase, is_closing) = (Phase::Idle, false);
                let id = callers.open(now);
                seen.insert(id, Seen { phase, since: now, moved_at: now, is_closing });
            }
            1 if !ids.is_empty() => {
                let id = *u.choose(&ids)?;
                let phase = phase(u)?;
                callers.enter(now, id, phase);
                let is_closing = seen[&id].is_closing;
                seen.insert(id, Seen { phase, since: now, moved_at: now, is_closing });
            }
            2 if !ids.is_empty() => {
                let id = *u.choose(&ids)?;
                callers.record_bytes(now, id, HEALTHY_BYTES);
                seen.get_mut(&id).unwrap().moved_at = now;
            }
            3 if !ids.is_empty() => {
                let presser = *u.choose(&ids)?;
                if let Some(id) = callers.give_up_body(now, presser) {
                    assert_ne!(id, presser, "a body was given up for itself");
                    assert_eq!(seen[&id].phase, Phase::Body);
                    assert!(
                        now.since(seen[&id].moved_at) >= STALL_MS,
                        "{:?} at {now:?}",
                        seen[&id]
                    );
                    callers.enter(now, id, Phase::Serving);
                    let Seen { is_closing, .. } = seen[&id];
                    let phase = Phase::Serving;
                    seen.insert(id, Seen { phase, since: now, moved_at: now, is_closing });
                }
            }
            _ => {
                for id in callers.overdue(now, HEAD_MS, BLOCKED_MS) {
                    let Seen { phase, since, moved_at, is_closing } = seen[&id];
                    let is_late = match phase {
                        Phase::Head => now.since(since) > HEAD_MS,
                        Phase::Blocked => now.since(moved_at) > BLOCKED_MS,
                        _ => false,
                    };
                    assert!(is_late && !is_closing, "{:?} at {now:?}", seen[&id]);
                    seen.get_mut(&id).unwrap().is_closing = true;
                }
            }
        }
        assert_eq!(callers.len(), seen.len());
    }
    Ok(())
}

/// The one that makes room is stalled, if any is, and never one that is served.
fn check_room(now: Time, seen: &BTreeMap<Id, Seen>, chosen: Option<Id>) {
    let open = || seen.values().filter(|seen| !seen.is_closing);
    let Some(chosen) = chosen.map(|id| seen[&id]) else {
        assert!(open().all(|seen| seen.phase == Phase::Serving), "nobody makes room: {seen:?}");
        return;
    };
    assert!(!chosen.is_closing && chosen.phase != Phase::Serving, "{chosen:?} at {now:?}");
    let is_stalled = |seen: &Seen| {
        let is_receiving = matches!(seen.phase, Phase::Head | Phase::Body | Phase::Blocked);
        is_receiving && now.since(seen.moved_at) >= STALL_MS
    };
    if open().any(is_stalled) {
        assert!(is_stalled(&chosen), "{chosen:?} at {now:?} of {seen:?}");
        let longest = open().filter(|seen| is_stalled(seen)).map(|seen| seen.moved_at).min();
        assert_eq!(Some(chosen.moved_at), longest);
    }
}

#[test]
fn a_body_that_trickles_holds_its_memory() {
    let mut callers = Callers::new(LIMIT);
    let (trickling, moving) = (callers.open(Time(0)), callers.open(Time(0)));
    let presser = callers.open(Time(0));
    for id in [trickling, moving, presser] {
        callers.enter(Time(0), id, Phase::Body);
    }
    for ms in (0..=3_000).step_by(250) {
        callers.record_bytes(Time(ms), trickling, 1);
        callers.record_bytes(Time(ms), moving, HEALTHY_BYTES);
    }
    assert_eq!(callers.give_up_body(Time(3_100), presser), Some(trickling));
    assert_eq!(callers.give_up_body(Time(3_100), presser), None, "a body that moves is given up");
}

#[test]
fn a_connection_that_was_chosen_is_chosen_again() {
    let mut callers = Callers::new(2);
    let (first, second) = (callers.open(Time(0)), callers.open(Time(10)));
    assert_eq!(callers.make_room(Time(20)), Some(first));
    assert_eq!(callers.make_room(Time(20)), Some(second));
    assert_eq!(callers.make_room(Time(20)), None);
}

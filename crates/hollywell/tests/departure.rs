//! What is known of targets that leave: its age, what is taken from peers, and
//! records that are read late.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};

use arbtest::{arbitrary::Unstructured, arbtest};
use hollywell::core::{
    departure::{Departures, Page},
    fleet::{AnnounceOutcome, Announcement, Fleet, Standing},
    time::Time,
};

/// Maximum age of what is known, in milliseconds.
const MAX_AGE_MS: u64 = 1_500;

fn target(id: &str, draining: bool) -> Announcement {
    Announcement {
        id: id.into(),
        pool: "llm".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "d".into(),
        slots: 4,
        draining,
        cold: false,
        start_ms: None,
        sequence: 0,
        versions: BTreeMap::new(),
    }
}

fn fleet(at: Time, ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    for (offset, id) in (0..).zip(ids) {
        fleet.announce_at(at, offset, target(id, false));
    }
    fleet.departures.restart(100);
    fleet.departures.mark_known(at, 100);
    fleet
}

// A follower that had read a drain was given an older snapshot, and sent to the
// target again.
#[test]
fn an_older_record_returns_no_target_that_leaves() {
    let mut fleet = fleet(Time(1), &["a", "b"]);
    fleet.announce_at(Time(2), 120, target("a", true));
    fleet.record_end(Time(2), 121, "b");
    for (offset, id) in [(110, "a"), (111, "b")] {
        let outcome = fleet.announce_at(Time(3), offset, target(id, false));
        assert_eq!(outcome, AnnounceOutcome::Outdated, "{id}");
    }
    assert_eq!(fleet.usable("llm").count(), 0);
    // A later one does.
    fleet.announce_at(Time(4), 130, target("b", false));
    assert_eq!(fleet.usable("llm").count(), 1);
}

// An entry that was written late says less than an earlier one of the same
// target.
#[test]
fn an_entry_that_was_written_late_returns_no_target_that_leaves() {
    let mut fleet = fleet(Time(1), &[]);
    let entry =
        |sequence, draining| Announcement { start_ms: Some(7), sequence, ..target("a", draining) };
    fleet.announce_at(Time(1), 110, entry(1, false));
    fleet.announce_at(Time(2), 120, entry(3, true));
    assert_eq!(fleet.announce_at(Time(3), 121, entry(2, false)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.usable("llm").count(), 0);
    assert_eq!(fleet.departures.since(0).departures, [(String::from("a"), 120)]);
}

#[test]
fn a_departure_that_a_peer_knows_holds_until_a_later_entry() {
    let mut fleet = fleet(Time(1_000), &["a"]);
    let page = Page { from: 100, end: 121, departures: vec![(String::from("a"), 120)] };
    assert!(fleet.merge_departures(Time(2_000), Time(1_900), &page));
    assert_eq!(fleet.standing(Time(2_000), "a", MAX_AGE_MS), Standing::Leaving);
    fleet.announce_at(Time(2_100), 110, target("a", false));
    assert_eq!(fleet.standing(Time(2_100), "a", MAX_AGE_MS), Standing::Leaving);
    fleet.announce_at(Time(2_200), 130, target("a", false));
    assert_eq!(fleet.standing(Time(2_200), "a", MAX_AGE_MS), Standing::InUse);
}

// Sends went on by a view of the targets that nobody knew the age of.
#[test]
fn an_old_view_confirms_no_target() {
    let mut fleet = fleet(Time(1_000), &["a"]);
    let standing = |fleet: &Fleet, now| fleet.standing(Time(now), "a", MAX_AGE_MS);
    assert_eq!(standing(&fleet, 1_000 + MAX_AGE_MS), Standing::InUse);
    assert_eq!(standing(&fleet, 1_001 + MAX_AGE_MS), Standing::Unconfirmed);
    fleet.record_store_state(Time(2_000), true);
    assert_eq!(standing(&fleet, 4_000), Standing::Unconfirmed, "an outage changes nothing");
    // A confirmation by the target holds for as long.
    fleet.confirm(Time(4_000), "a");
    assert_eq!(standing(&fleet, 4_000 + MAX_AGE_MS), Standing::InUse);
    assert_eq!(standing(&fleet, 4_001 + MAX_AGE_MS), Standing::Unconfirmed);
    assert_eq!(fleet.standing(Time(4_000), "unknown", MAX_AGE_MS), Standing::Leaving);
}

#[test]
fn an_entry_that_expired_around_an_outage_needs_a_confirmation_by_the_target() {
    let mut fleet = fleet(Time(1_000), &["a"]);
    fleet.record_store_state(Time(2_000), true);
    fleet.record_store_state(Time(5_000), false);
    fleet.record_end(Time(5_100), 120, "a");
    fleet.departures.mark_known(Time(5_100), 121);
    assert_eq!(fleet.standing(Time(5_100), "a", MAX_AGE_MS), Standing::Unconfirmed);
    fleet.confirm(Time(5_200), "a");
    assert_eq!(fleet.standing(Time(5_200), "a", MAX_AGE_MS), Standing::InUse);
    // Peers are told of the end all the same.
    assert_eq!(fleet.departures.since(100).departures, [(String::from("a"), 120)]);
}

#[test]
fn what_a_peer_knows_is_taken_only_without_a_gap() {
    let mut own = Departures::default();
    let page = |from, end| Page { from, end, departures: vec![(String::from("a"), end - 1)] };
    assert!(!own.merge(Time(9), Time(5), &page(0, 50)), "nothing was read yet");
    own.restart(100);
    own.mark_known(Time(10), 100);
    assert!(!own.merge(Time(20), Time(15), &page(101, 150)), "100 is missing");
    assert!(!own.merge(Time(20), Time(10), &page(100, 150)), "it knows no later time");
    assert!(!own.contains("a"));
    assert!(own.merge(Time(20), Time(15), &page(100, 150)));
    assert!(own.contains("a"));
    assert_eq!((own.age_ms(Time(20)), own.end()), (Some(5), 150));
}

#[test]
fn a_departure_that_is_forgotten_is_missing_in_what_is_passed_on() {
    let mut own = Departures::default();
    own.restart(100);
    own.record(Time(0), "a", 120);
    own.mark_known(Time(0), 121);
    own.expire(Time(59_999));
    assert_eq!(own.since(100).from, 100);
    own.expire(Time(60_000));
    assert_eq!(own.since(100), Page { from: 121, end: 121, departures: vec![] });
}

/// Instances that read one log as far as they like, late and in any order, and
/// ask each other: whoever claims to know a time knows all departures before it.
#[test]
fn what_is_claimed_to_be_known_is_known() {
    const TARGETS: [&str; 3] = ["a", "b", "c"];
    const INSTANCES: usize = 3;
    /// Bytes of randomness for each run.
    const SIZE: u64 = 1_024;
    let merged = std::cell::Cell::new(0);
    let run = |u: &mut Unstructured<'_>| {
        let mut log: Vec<(&str, bool)> = Vec::new();
        // The log's end at each time.
        let mut ends = vec![0];
        let mut all = vec![Departures::default(); INSTANCES];
        let mut read = [0; INSTANCES];
        for each in &mut all {
            each.mark_known(Time(0), 0);
        }
        for now in 1..u.int_in_range(1..=60)? {
            let at = u.choose_index(INSTANCES)?;
            match u.int_in_range(0..=3)? {
                0 => log.push((TARGETS[u.choose_index(3)?], u.arbitrary()?)),
                1 => {
                    // Reads on from where it read last, perhaps not to the end.
                    let to = u.int_in_range(read[at]..=log.len())?;
                    for (offset, (id, leaves)) in (read[at]..to).zip(&log[read[at]..to]) {
                        match leaves {
                            true => all[at].record(Time(now), id, offset as u64),
                            false => all[at].record_return(id, offset as u64),
                        }
                    }
                    read[at] = to;
                    if to == log.len() {
                        all[at].mark_known(Time(now), to as u64);
                    }
                }
                2 => {
                    let peer = all[u.choose_index(INSTANCES)?].clone();
                    let known_at = peer.known_at().unwrap();
                    let page = peer.since(all[at].end());
                    let is_merged = all[at].merge(Time(now), known_at, &page);
                    merged.set(merged.get() + u64::from(is_merged));
                }
                _ => {}
            }
            ends.push(log.len());
            for each in &all {
                let known = each.known_at().unwrap().0 as usize;
                let newest: BTreeMap<&str, bool> = log[..ends[known]].iter().copied().collect();
                let leaving: BTreeSet<&str> =
                    newest.iter().filter(|(_, leaves)| **leaves).map(|(id, _)| *id).collect();
                // One that has returned since may be taken to leave, never the
                // other way round, except by a later record.
                for id in leaving {
                    let returns = log[ends[known]..].iter().any(|(other, _)| *other == id);
                    assert!(each.contains(id) || returns, "{id} leaves by {log:?}, known {known}");
                }
            }
        }
        Ok(())
    };
    for seed in 0..2_000_u64 {
        arbtest(run).seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE).run();
    }
    assert!(merged.get() > 1_000, "{} lists of peers were taken", merged.get());
}

//! Targets as they announce themselves: leaving, vanishing, lapsing.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use hollywell::core::{
    fleet::{AnnounceOutcome, Announcement, EXPIRY_GRACE_MS, Fleet},
    time::Time,
};

fn target(id: &str, version: u64, draining: bool) -> Announcement {
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
        versions: BTreeMap::from([("m".to_owned(), version)]),
    }
}

#[test]
fn a_leaving_or_vanished_target_gets_nothing_new_at_once() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), target("a", 1, false));
    fleet.announce(Time(1), target("b", 1, false));
    assert_eq!(fleet.usable("llm").count(), 2);
    fleet.announce(Time(2), target("a", 1, true));
    fleet.record_expiry(Time(2), "b");
    assert_eq!(fleet.usable("llm").count(), 0);
}

#[test]
fn an_entry_that_lapsed_with_the_store_is_believed_until_it_should_be_back() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), target("a", 1, false));
    fleet.announce(Time(1), target("b", 1, false));
    fleet.record_store_state(Time(10), true);
    fleet.record_store_state(Time(5_000), false);
    fleet.record_expiry(Time(5_100), "a");
    fleet.record_expiry(Time(5_100), "b");
    fleet.expire(Time(5_200));
    assert_eq!(fleet.usable("llm").count(), 2);
    fleet.announce(Time(6_000), target("a", 1, false));
    fleet.expire(Time(5_000 + EXPIRY_GRACE_MS));
    let left: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(left, ["a"]);
    fleet.record_expiry(Time(9_000), "a");
    assert_eq!(fleet.usable("llm").count(), 0, "long after an outage it is gone at once");
}

#[test]
fn a_version_learned_from_an_answer_outlives_an_older_announcement() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), target("a", 1, false));
    fleet.record_version("a", None, "m", 3);
    fleet.announce(Time(2), target("a", 2, false));
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 3);
}

/// An entry of a life that began at `born`, the `beats`-th of it.
fn of_life(id: &str, born: u64, beats: u64, version: u64) -> Announcement {
    Announcement { start_ms: Some(born), sequence: beats, ..target(id, version, false) }
}

#[test]
fn a_target_that_starts_again_holds_only_what_it_says_in_its_new_life() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.announce(Time(1), of_life("a", 100, 7, 1)), AnnounceOutcome::Accepted);
    fleet.record_version("a", Some(100), "m", 5);
    let heard = fleet.announce(Time(2), of_life("a", 200, 1, 1));
    assert_eq!(heard, AnnounceOutcome::Restarted(([127, 0, 0, 1], 80).into()));
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 1);
    // What its earlier life said comes late.
    fleet.record_version("a", Some(100), "m", 5);
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 1);
    assert_eq!(fleet.announce(Time(3), of_life("a", 100, 8, 5)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.targets["a"].announcement.start_ms, Some(200));
}

#[test]
fn an_older_entry_does_not_come_back_even_after_the_target_vanished() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), of_life("a", 200, 7, 1));
    assert_eq!(fleet.announce(Time(2), of_life("a", 200, 6, 1)), AnnounceOutcome::Outdated);
    fleet.record_expiry(Time(3), "a");
    assert_eq!(fleet.announce(Time(4), of_life("a", 100, 90, 1)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.announce(Time(4), of_life("a", 200, 6, 1)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.usable("llm").count(), 0);
    assert_eq!(fleet.announce(Time(5), of_life("a", 200, 8, 1)), AnnounceOutcome::Accepted);
    assert_eq!(fleet.usable("llm").count(), 1);
}

#[test]
fn a_start_named_in_a_report_voids_what_was_known_too() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), of_life("a", 100, 7, 4));
    assert!(!fleet.record_start("a", Some(100)));
    assert!(!fleet.record_start("a", None));
    assert!(fleet.record_start("a", Some(200)));
    assert!(fleet.targets["a"].announcement.versions.is_empty());
    assert_eq!(fleet.announce(Time(2), of_life("a", 100, 8, 4)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.announce(Time(3), of_life("a", 200, 1, 1)), AnnounceOutcome::Accepted);
}

#[test]
fn an_entry_that_cannot_be_understood_names_no_target_until_the_next_one() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), of_life("a", 100, 1, 1));
    fleet.announce(Time(1), of_life("b", 100, 1, 1));
    assert!(fleet.record_invalid("a", "no address"), "it is news once");
    assert!(!fleet.record_invalid("a", "no address"));
    let left: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(left, ["b"]);
    fleet.announce(Time(2), of_life("a", 100, 2, 1));
    assert_eq!(fleet.usable("llm").count(), 2);
    assert!(fleet.record_invalid("a", "no address"), "and again after a sound one");
}

#[test]
fn a_target_of_a_pool_that_is_not_configured_is_none_of_ours() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), of_life("a", 100, 1, 1));
    assert_eq!(fleet.accepting().count(), 1, "before a configuration is known");
    fleet.configure(["app"].into_iter());
    assert_eq!(fleet.accepting().count(), 0);
    fleet.configure(["app", "llm"].into_iter());
    assert_eq!(fleet.accepting().count(), 1);
}

#[test]
fn where_targets_tell_their_start_one_that_does_not_is_another_writer_s() {
    let mut fleet = Fleet::default();
    fleet.configure(["llm"].into_iter());
    fleet.announce(Time(1), target("a", 1, false));
    assert_eq!(fleet.usable("llm").count(), 1, "nobody tells it here");
    fleet.announce(Time(2), Announcement { pool: "x".into(), ..of_life("s", 100, 1, 1) });
    assert_eq!(fleet.usable("llm").count(), 1, "a stranger does not count");
    fleet.announce(Time(3), of_life("b", 100, 1, 1));
    let left: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(left, ["b"]);
    assert_eq!(fleet.announce(Time(4), target("b", 1, false)), AnnounceOutcome::Outdated);
}

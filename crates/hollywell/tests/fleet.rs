//! The fleet of targets, built from their announcements: leaving targets,
//! expired entries and restarts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use hollywell::{
    core::{
        batch::Record,
        fleet::{AnnounceOutcome, Announcement, EXPIRY_GRACE_MS, Fleet, LATE_ENTRY_MS},
        time::Time,
    },
    entry::store::Records,
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
fn a_leaving_or_expired_target_is_unusable_at_once() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), target("a", 1, false));
    fleet.announce(Time(1), target("b", 1, false));
    assert_eq!(fleet.usable("llm").count(), 2);
    fleet.announce(Time(2), target("a", 1, true));
    fleet.record_expiry(Time(2), "b");
    assert_eq!(fleet.usable("llm").count(), 0);
}

// A target whose entry was renewed while a snapshot was read was taken for gone.
#[test]
fn only_a_target_that_a_snapshot_does_not_list_is_gone() {
    let mut fleet = Fleet::default();
    for id in ["read", "beyond", "missing"] {
        fleet.announce_at(Time(1), 1, target(id, 1, false));
    }
    let newest = Records {
        end: 10,
        records: vec![Record { offset: 8, key: "read".into(), value: None }],
        beyond: vec!["beyond".into()],
    };
    fleet.restart(Time(2), newest.end, &newest.keys());
    let usable: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(usable, ["beyond", "read"]);
}

#[test]
fn an_entry_that_expires_in_a_store_outage_is_kept_for_a_grace_period() {
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
    let usable: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(usable, ["a"]);
    fleet.record_expiry(Time(9_000), "a");
    assert_eq!(
        fleet.usable("llm").count(),
        0,
        "after the grace period an expired entry is removed at once"
    );
}

#[test]
fn a_version_learned_from_an_answer_outlives_an_older_announcement() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), target("a", 1, false));
    fleet.record_version("a", None, "m", 3);
    fleet.announce(Time(2), target("a", 2, false));
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 3);
}

/// Returns an announcement with a start time and a sequence number.
fn announcement(id: &str, start_ms: u64, sequence: u64, version: u64) -> Announcement {
    Announcement { start_ms: Some(start_ms), sequence, ..target(id, version, false) }
}

#[test]
fn a_restarted_target_has_only_newly_announced_versions() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.announce(Time(1), announcement("a", 100, 7, 1)), AnnounceOutcome::Accepted);
    fleet.record_version("a", Some(100), "m", 5);
    let outcome = fleet.announce(Time(2), announcement("a", 200, 1, 1));
    assert_eq!(outcome, AnnounceOutcome::Restarted(([127, 0, 0, 1], 80).into()));
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 1);
    // Late reports from before the restart are ignored.
    fleet.record_version("a", Some(100), "m", 5);
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 1);
    assert_eq!(fleet.announce(Time(3), announcement("a", 100, 8, 5)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.targets["a"].announcement.start_ms, Some(200));
}

#[test]
fn an_outdated_entry_is_rejected_even_after_expiry() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), announcement("a", 200, 7, 1));
    assert_eq!(fleet.announce(Time(2), announcement("a", 200, 6, 1)), AnnounceOutcome::Outdated);
    fleet.record_expiry(Time(3), "a");
    assert_eq!(fleet.announce(Time(4), announcement("a", 100, 90, 1)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.announce(Time(4), announcement("a", 200, 6, 1)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.usable("llm").count(), 0);
    assert_eq!(fleet.announce(Time(5), announcement("a", 200, 8, 1)), AnnounceOutcome::Accepted);
    assert_eq!(fleet.usable("llm").count(), 1);
}

#[test]
fn a_restart_seen_in_a_load_report_clears_known_versions() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), announcement("a", 100, 7, 4));
    assert!(!fleet.record_start("a", Some(100)));
    assert!(!fleet.record_start("a", None));
    assert!(fleet.record_start("a", Some(200)));
    assert!(fleet.targets["a"].announcement.versions.is_empty());
    assert_eq!(fleet.announce(Time(2), announcement("a", 100, 8, 4)), AnnounceOutcome::Outdated);
    assert_eq!(fleet.announce(Time(3), announcement("a", 200, 1, 1)), AnnounceOutcome::Accepted);
}

#[test]
fn an_invalid_entry_hides_its_target_until_the_next_valid_one() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), announcement("a", 100, 1, 1));
    fleet.announce(Time(1), announcement("b", 100, 1, 1));
    assert!(fleet.record_invalid("a", "no address"), "the first invalid entry must be reported");
    assert!(!fleet.record_invalid("a", "no address"));
    let usable: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(usable, ["b"]);
    fleet.announce(Time(2), announcement("a", 100, 2, 1));
    assert_eq!(fleet.usable("llm").count(), 2);
    assert!(
        fleet.record_invalid("a", "no address"),
        "an invalid entry after a valid one must be reported again"
    );
}

#[test]
fn targets_of_unconfigured_pools_are_ignored() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), announcement("a", 100, 1, 1));
    assert_eq!(fleet.accepting().count(), 1, "all pools count until a configuration is known");
    fleet.configure(["app"].into_iter());
    assert_eq!(fleet.accepting().count(), 0);
    fleet.configure(["app", "llm"].into_iter());
    assert_eq!(fleet.accepting().count(), 1);
}

#[test]
fn entries_without_start_are_ignored_once_others_have_one() {
    let mut fleet = Fleet::default();
    fleet.configure(["llm"].into_iter());
    fleet.announce(Time(1), target("a", 1, false));
    assert_eq!(fleet.usable("llm").count(), 1, "no target of the pool announces a start time");
    fleet.announce(Time(2), Announcement { pool: "x".into(), ..announcement("s", 100, 1, 1) });
    assert_eq!(fleet.usable("llm").count(), 1, "a target of an unconfigured pool does not count");
    fleet.announce(Time(3), announcement("b", 100, 1, 1));
    let usable: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(usable, ["b"]);
    assert_eq!(fleet.announce(Time(4), target("b", 1, false)), AnnounceOutcome::Outdated);
}

// One entry with a version beyond all others kept its target's own entries from
// telling the version that it has.
#[test]
fn announced_version_holds_until_the_next_entry() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), announcement("a", 100, 1, 3));
    fleet.announce(Time(2), announcement("a", 100, 2, u64::MAX));
    fleet.announce(Time(3), announcement("a", 100, 3, 3));
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 3);
    // What its own answer named holds.
    fleet.record_version("a", Some(100), "m", 4);
    fleet.announce(Time(4), announcement("a", 100, 4, 3));
    assert_eq!(fleet.targets["a"].announcement.versions["m"], 4);
}

// One entry with a start time kept all targets of a platform that reports none
// from being used.
#[test]
fn single_entry_with_a_start_withholds_no_others() {
    let mut fleet = Fleet::default();
    fleet.configure(["llm"].into_iter());
    for id in ["a", "b", "c"] {
        fleet.announce(Time(1), target(id, 1, false));
    }
    fleet.announce(Time(2), announcement("odd", 100, 1, 1));
    assert_eq!(fleet.usable("llm").count(), 4);
    // The same under the id of a target, until its own next entry.
    fleet.announce(Time(3), announcement("a", u64::MAX, 1, 1));
    fleet.record_expiry(Time(3), "odd");
    assert!(matches!(fleet.announce(Time(4), target("a", 1, true)), AnnounceOutcome::Restarted(_)));
    let usable: Vec<&str> =
        fleet.usable("llm").map(|target| target.announcement.id.as_str()).collect();
    assert_eq!(usable, ["b", "c"]);
}

// One entry with a start or a number beyond all others kept all later entries of
// its target from being applied.
#[test]
fn later_entries_hold_after_one_with_a_number_too_large() {
    for (start_ms, sequence) in [(u64::MAX, 1), (100, u64::MAX), (101, 0)] {
        let mut fleet = Fleet::default();
        fleet.departures.restart(10);
        fleet.announce_at(Time(1_000), 10, announcement("a", 100, 7, 1));
        fleet.announce_at(Time(2_000), 11, announcement("a", start_ms, sequence, 1));
        let own = |sequence| announcement("a", 100, sequence, 1);
        assert_eq!(fleet.announce_at(Time(3_000), 12, own(8)), AnnounceOutcome::Outdated);
        // That it leaves holds at once.
        let leaves = Announcement { draining: true, ..own(9) };
        assert_eq!(fleet.announce_at(Time(4_000), 13, leaves.clone()), AnnounceOutcome::Outdated);
        assert_eq!(fleet.usable("llm").count(), 0);
        assert_eq!(fleet.departures.since(0).departures, [(String::from("a"), 13)]);
        // The rest holds once nothing else was written for long enough.
        let due = Time(3_000).after(LATE_ENTRY_MS);
        fleet.departures.mark_known(Time(due.0 - 1), 14);
        assert_eq!(fleet.apply_late(due.after(10_000)), []);
        fleet.departures.mark_known(due, 14);
        let address = ([127, 0, 0, 1], 80).into();
        assert_eq!(fleet.apply_late(due.after(10_000)), [(String::from("a"), address)]);
        assert_eq!(fleet.targets["a"].announcement, leaves);
        assert_eq!(fleet.announce_at(due, 15, own(10)), AnnounceOutcome::Accepted);
        assert_eq!(fleet.usable("llm").count(), 1);
    }
}

#[test]
fn entry_that_was_written_late_is_forgotten_with_the_next_one() {
    let mut fleet = Fleet::default();
    fleet.departures.restart(10);
    fleet.announce_at(Time(1_000), 10, announcement("a", 100, 7, 1));
    let long = Time(2_000).after(2 * LATE_ENTRY_MS);
    let next: [fn(&mut Fleet); 3] = [
        |fleet| {
            fleet.announce_at(Time(3_000), 12, announcement("a", 100, 8, 1));
        },
        |fleet| {
            fleet.record_invalid("a", "no address");
        },
        |fleet| fleet.record_end(Time(3_000), 12, "a"),
    ];
    for next in next {
        let mut fleet = fleet.clone();
        fleet.announce_at(Time(2_000), 11, announcement("a", 90, 99, 1));
        next(&mut fleet);
        let before = fleet.clone();
        fleet.departures.mark_known(long, 13);
        assert_eq!(fleet.apply_late(long), []);
        assert_eq!(fleet.targets, before.targets);
    }
}

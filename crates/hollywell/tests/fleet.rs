//! Targets as they announce themselves: leaving, vanishing, lapsing.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use hollywell::core::{
    fleet::{Announcement, Fleet, LAPSE_MS},
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
    fleet.vanish(Time(2), "b");
    assert_eq!(fleet.usable("llm").count(), 0);
}

#[test]
fn an_entry_that_lapsed_with_the_store_is_believed_until_it_should_be_back() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), target("a", 1, false));
    fleet.announce(Time(1), target("b", 1, false));
    fleet.store(Time(10), true);
    fleet.store(Time(5_000), false);
    fleet.vanish(Time(5_100), "a");
    fleet.vanish(Time(5_100), "b");
    fleet.expire(Time(5_200));
    assert_eq!(fleet.usable("llm").count(), 2);
    fleet.announce(Time(6_000), target("a", 1, false));
    fleet.expire(Time(5_000 + LAPSE_MS));
    let left: Vec<&str> = fleet.usable("llm").map(|target| target.said.id.as_str()).collect();
    assert_eq!(left, ["a"]);
    fleet.vanish(Time(9_000), "a");
    assert_eq!(fleet.usable("llm").count(), 0, "long after an outage it is gone at once");
}

#[test]
fn a_version_learned_from_an_answer_outlives_an_older_announcement() {
    let mut fleet = Fleet::default();
    fleet.announce(Time(1), target("a", 1, false));
    fleet.answered("a", "m", 3);
    fleet.announce(Time(2), target("a", 2, false));
    assert_eq!(fleet.targets["a"].said.versions["m"], 3);
}

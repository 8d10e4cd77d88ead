//! How a group of instances that start together comes to show all of them,
//! and what knowing the targets costs the store, by the decision parts alone.

use std::cmp::Reverse;

use hollywell::core::{
    group::{Census, FIRST, MOST},
    relay::{Demand, Supply, depth, is_crowded, parent, sources},
    roster::{domain, link_mbps},
};

/// Partitions of a topic, bandwidth and calls of the store, as its operators
/// state them.
const PARTS: u32 = 48;
const SUPPLY: Supply = Supply { reads: 16_000, bytes: 80_000_000 };
/// Bytes of a target's entry in a page of newest records, and in a log.
const PAGE_ENTRY: usize = 420;
const LOG_ENTRY: usize = 300;
const BEAT_S: usize = 5;
/// Time from a start to its first traffic, in seconds.
const LEAD_S: usize = 24;

/// Instances of six failure domains, one of five with a wide link.
fn fleet(instances: usize) -> Vec<String> {
    let link = |n: usize| if n.is_multiple_of(5) { 600 } else { 60 };
    let member =
        |n: usize| format!("i{n}@10.{}.{}.7:80+{}*{}/1a", n / 250, n % 250, n % 6, link(n / 6));
    (0..instances).map(member).collect()
}

/// Readings until all members show and that is known, and the topics then.
fn readings(instances: usize) -> (usize, u32) {
    let mut census = Census::default();
    for reading in 1..=10 {
        let partitions = (census.topics() * PARTS) as usize;
        // The first comes before most of them have joined.
        let shown = if reading == 1 { 2 } else { instances };
        census.read(shown.min(partitions), partitions, PARTS);
        if census.is_settled() && instances <= partitions {
            return (reading, census.topics());
        }
    }
    panic!("{instances} instances do not show");
}

#[test]
fn all_members_show_after_a_few_readings() {
    for instances in [13, 86, 300, 384, 385, 985, 2_000] {
        let (took, topics) = readings(instances);
        assert!(took <= 4, "{instances} instances: {took} readings");
        assert!((topics * PARTS) as usize >= instances);
        assert!(topics <= MOST);
    }
    // Small groups are as they were.
    assert_eq!(readings(13).1, FIRST);
    assert_eq!(readings(86).1, FIRST);
}

#[test]
fn more_members_than_can_show_are_known_to_be_too_many() {
    let mut census = Census::default();
    for _ in 0..6 {
        let partitions = (census.topics() * PARTS) as usize;
        census.read(partitions, partitions, PARTS);
    }
    assert!(census.is_short() && !census.is_settled());
}

#[test]
fn a_group_that_nobody_has_joined_is_not_full() {
    let mut census = Census::default();
    for (members, partitions) in [(0, 0), (0, 0), (1, 1), (2, 384)] {
        census.read(members, partitions, PARTS);
        assert_eq!(census.topics(), FIRST, "{members} on {partitions}");
    }
}

#[test]
fn topics_that_others_have_added_are_kept() {
    let mut census = Census::default();
    census.read(985, 32 * PARTS as usize, PARTS);
    assert_eq!(census.topics(), 32);
    census.read(40, 32 * PARTS as usize, PARTS);
    assert_eq!(census.topics(), 32, "it does not shrink while others come back");
}

/// The law at the size of a fleet and at twice that: who reads the store does
/// not grow with the instances.
#[test]
fn what_all_read_of_the_targets_fits_the_store_s_bandwidth() {
    for (instances, targets) in [(300, 3_000), (985, 10_000), (2_000, 20_000)] {
        let members = fleet(instances);
        let demand = Demand { instances, targets, beat_ms: 1_000 * BEAT_S as u64 };
        let crowded = is_crowded(SUPPLY, demand);
        let at_start = members.iter().filter(|me| parent(&members, me).is_none()).count();
        let start_s = at_start * targets * PAGE_ENTRY / SUPPLY.bytes as usize;
        assert!(start_s * 4 <= LEAD_S, "{instances}: {start_s} s of all bandwidth at a start");
        let readers = members.iter().filter(|me| sources(&members, me, crowded).is_empty()).count();
        let stream = readers * targets * LOG_ENTRY / BEAT_S;
        assert!(stream * 2 <= SUPPLY.bytes as usize, "{instances}: {stream} bytes a second");
    }
}

#[test]
fn wide_links_serve_narrow_ones() {
    let members = fleet(985);
    for me in &members {
        if let Some(parent) = parent(&members, me) {
            assert!(link_mbps(parent) >= link_mbps(me), "{me} takes from {parent}");
        }
        for source in sources(&members, me, true) {
            assert_eq!(link_mbps(source), 600, "{me} follows {source}");
            assert_eq!(domain(source), domain(me));
        }
    }
    let mut deepest: Vec<u32> = members.iter().map(|me| depth(&members, me)).collect();
    deepest.sort_by_key(|depth| Reverse(*depth));
    assert!(deepest[0] <= 4, "{} steps", deepest[0]);
}

//! What a group shows of instances that start together and are more than it can
//! show, and what knowing the targets costs the store, by the decision parts alone.

use std::cmp::Reverse;

use hollywell::core::{
    dispatch::owner,
    group::GroupSize,
    relay::{Demand, Supply, depth, is_overloaded, parent, sources},
    roster::{Roster, domain, link_mbps},
    time::Time,
};

/// Partitions that the group deals out, bandwidth and calls of the store, as its
/// operators state them.
const PARTITIONS: usize = 8 * 48;
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

#[test]
fn a_start_knows_after_two_readings_whom_there_is_to_follow() {
    for instances in [1, 13, 86, 300, 384, 385, 985, 2_000] {
        let mut group_size = GroupSize::default();
        let mut readings = 0;
        while !group_size.is_settled() {
            // The first comes before most of them have joined.
            let shown = if readings == 0 { 2.min(instances) } else { instances };
            group_size.read(shown.min(PARTITIONS), PARTITIONS);
            readings += 1;
        }
        assert!((2..=3).contains(&readings), "{instances} instances: {readings} readings");
        assert_eq!(group_size.is_full(), instances * 16 >= PARTITIONS * 15, "{instances}");
    }
}

#[test]
fn a_group_that_nobody_has_joined_is_not_full() {
    let mut group_size = GroupSize::default();
    group_size.read(0, 0);
    assert!(!group_size.is_full() && !group_size.is_settled());
}

/// Each instance that did not show counted itself among those that did: 600 of
/// them would have run one and a half copies of each sample.
#[test]
fn each_group_of_samples_has_one_owner_where_most_members_do_not_show() {
    let members = fleet(985);
    let mut shown: Vec<String> = members.iter().step_by(3).cloned().collect();
    shown.sort();
    let mut owners = 0;
    for me in &members {
        let mut roster = Roster::new(me);
        roster.set_group_full(true);
        roster.read(Time(10), &shown, None);
        assert_eq!(roster.members(), shown);
        let owner = owner(roster.members(), "job", "group");
        owners += usize::from(owner == Some(me.as_str()));
    }
    assert_eq!(owners, 1);
}

#[test]
fn one_that_shows_no_longer_is_believed_for_a_moment() {
    let members = fleet(3);
    let mut roster = Roster::new(&members[0]);
    roster.set_group_full(true);
    roster.read(Time(10), &members, None);
    roster.read(Time(100), &members[1..], None);
    assert_eq!(roster.members().len(), 3, "work is dealt anew");
    roster.read(Time(400), &members[1..], None);
    assert_eq!(roster.members().len(), 2);
}

/// The law at the size of a fleet and at twice that: who reads the store does
/// not grow with the instances.
#[test]
fn what_all_read_of_the_targets_fits_the_store_s_bandwidth() {
    for (instances, targets) in [(300, 3_000), (985, 10_000), (2_000, 20_000)] {
        let members = fleet(instances);
        let demand = Demand { instances, targets, beat_ms: 1_000 * BEAT_S as u64 };
        let crowded = is_overloaded(SUPPLY, demand);
        let at_start = members.iter().filter(|me| parent(&members, me).is_none()).count();
        let start_s = at_start * targets * PAGE_ENTRY / SUPPLY.bytes as usize;
        assert!(start_s * 4 <= LEAD_S, "{instances}: {start_s} s of all bandwidth at a start");
        // As many show as can, of all domains.
        let one_in = instances.div_ceil(PARTITIONS);
        let shows = |(n, _): &(usize, &String)| (n / 6).is_multiple_of(one_in);
        let shown: Vec<String> =
            members.iter().enumerate().filter(shows).map(|(_, member)| member.clone()).collect();
        let readers = members.iter().filter(|me| sources(&shown, me, crowded).is_empty()).count();
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

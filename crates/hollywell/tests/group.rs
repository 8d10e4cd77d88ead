//! Membership of a consumer group when more instances start together than the
//! group can list, and the store bandwidth needed to read the targets. Uses only
//! the decision logic.

use std::cmp::Reverse;

use hollywell::core::{
    dispatch::owner,
    group::GroupSize,
    relay::{Demand, Supply, depth, is_overloaded, parent, sources},
    roster::{Roster, domain, link_mbps},
    time::Time,
};

/// Partitions that the group assigns, and the store's limits on calls and
/// bandwidth as its operators state them.
const PARTITIONS: usize = 8 * 48;
const SUPPLY: Supply = Supply { reads: 16_000, bytes: 80_000_000 };
/// Bytes of a target's entry in a page of newest records, and in a log.
const PAGE_ENTRY_BYTES: usize = 420;
const LOG_ENTRY_BYTES: usize = 300;
const HEARTBEAT_S: usize = 5;
/// Time from a start of all instances to the first traffic, in seconds.
const STARTUP_S: usize = 24;

/// Returns instances in six failure domains, one in five with a fast link.
fn fleet(instances: usize) -> Vec<String> {
    let link = |n: usize| if n.is_multiple_of(5) { 600 } else { 60 };
    let member =
        |n: usize| format!("i{n}@10.{}.{}.7:80+{}*{}/1a", n / 250, n % 250, n % 6, link(n / 6));
    (0..instances).map(member).collect()
}

#[test]
fn the_group_size_settles_after_two_or_three_readings() {
    for instances in [1, 13, 86, 300, 384, 385, 985, 2_000] {
        let mut group_size = GroupSize::default();
        let mut readings = 0;
        while !group_size.is_settled() {
            // The first reading comes before most instances have joined.
            let shown = if readings == 0 { 2.min(instances) } else { instances };
            group_size.read(shown.min(PARTITIONS), PARTITIONS);
            readings += 1;
        }
        assert!((2..=3).contains(&readings), "{instances} instances: {readings} readings");
        assert_eq!(group_size.is_full(), instances * 16 >= PARTITIONS * 15, "{instances}");
    }
}

#[test]
fn an_empty_group_is_not_full() {
    let mut group_size = GroupSize::default();
    group_size.read(0, 0);
    assert!(!group_size.is_full() && !group_size.is_settled());
}

/// Guards against duplicate owners. When each instance that the group did not list
/// counted itself as a member, 600 of them would have run one and a half copies of
/// each sample.
#[test]
fn a_sample_group_has_one_owner_when_most_members_are_unlisted() {
    let members = fleet(985);
    let mut listed: Vec<String> = members.iter().step_by(3).cloned().collect();
    listed.sort();
    let mut owners = 0;
    for member in &members {
        let mut roster = Roster::new(member);
        roster.set_group_full(true);
        roster.read(Time(10), &listed, None);
        assert_eq!(roster.members(), listed);
        let owner = owner(roster.members(), "job", "group");
        owners += usize::from(owner == Some(member.as_str()));
    }
    assert_eq!(owners, 1);
}

#[test]
fn a_member_no_longer_listed_is_kept_briefly() {
    let members = fleet(3);
    let mut roster = Roster::new(&members[0]);
    roster.set_group_full(true);
    roster.read(Time(10), &members, None);
    roster.read(Time(100), &members[1..], None);
    assert_eq!(
        roster.members().len(),
        3,
        "a removal reassigns work, so the member is kept at first"
    );
    roster.read(Time(400), &members[1..], None);
    assert_eq!(roster.members().len(), 2);
}

/// At the size of a fleet and at twice that size the number of instances that
/// read the store must not grow with the number of instances.
#[test]
fn reads_of_the_targets_fit_the_store_s_bandwidth() {
    for (instances, targets) in [(300, 3_000), (985, 10_000), (2_000, 20_000)] {
        let members = fleet(instances);
        let demand = Demand { instances, targets, beat_ms: 1_000 * HEARTBEAT_S as u64 };
        let overloaded = is_overloaded(SUPPLY, demand);
        let readers_at_start =
            members.iter().filter(|member| parent(&members, member).is_none()).count();
        let start_s = readers_at_start * targets * PAGE_ENTRY_BYTES / SUPPLY.bytes as usize;
        assert!(
            start_s * 4 <= STARTUP_S,
            "{instances}: a start takes {start_s} s of the whole bandwidth"
        );
        // The group lists as many instances as it can, from all domains.
        let one_in = instances.div_ceil(PARTITIONS);
        let is_listed = |(n, _): &(usize, &String)| (n / 6).is_multiple_of(one_in);
        let listed: Vec<String> = members
            .iter()
            .enumerate()
            .filter(is_listed)
            .map(|(_, member)| member.clone())
            .collect();
        let readers =
            members.iter().filter(|member| sources(&listed, member, overloaded).is_empty()).count();
        let bytes_per_second = readers * targets * LOG_ENTRY_BYTES / HEARTBEAT_S;
        assert!(
            bytes_per_second * 2 <= SUPPLY.bytes as usize,
            "{instances}: {bytes_per_second} bytes per second"
        );
    }
}

#[test]
fn faster_links_serve_slower_ones() {
    let members = fleet(985);
    for member in &members {
        if let Some(parent) = parent(&members, member) {
            assert!(
                link_mbps(parent) >= link_mbps(member),
                "{member} reads from {parent}, which has a slower link"
            );
        }
        for source in sources(&members, member, true) {
            assert_eq!(link_mbps(source), 600, "{member} follows {source}");
            assert_eq!(domain(source), domain(member));
        }
    }
    let mut depths: Vec<u32> = members.iter().map(|member| depth(&members, member)).collect();
    depths.sort_by_key(|depth| Reverse(*depth));
    assert!(depths[0] <= 4, "expected at most 4 hops, got {}", depths[0]);
}

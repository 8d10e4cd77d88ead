//! Who reads the store after a start of all, and who follows whom.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};

use arbtest::arbitrary::Unstructured;
use hollywell::core::{
    relay::{has_relays, parent},
    roster::{address, domain, instance},
};

fn fleet(instances: usize, domains: usize) -> Vec<String> {
    let member = |n| format!("i{n}@10.0.0.{}:{}+{}/1a", n % 250, 80 + n / 250, n % domains);
    (0..instances).map(member).collect()
}

/// Steps from an instance to one that reads the store.
fn depth(members: &[String], me: &str) -> usize {
    let mut at = me.to_owned();
    for steps in 0..=members.len() {
        match parent(members, &at) {
            None => return steps,
            Some(next) => at = next.to_owned(),
        }
    }
    panic!("{me} follows a circle");
}

#[test]
fn readers_of_the_store_are_few_and_nobody_is_far_from_one() {
    for (instances, domains) in [(13, 4), (30, 6), (100, 6), (295, 6), (340, 33), (1_000, 6)] {
        let members = fleet(instances, domains);
        let readers = members.iter().filter(|me| parent(&members, me).is_none()).count();
        let each = instances.div_ceil(domains);
        assert!(readers <= domains * 8, "{readers} of {instances} read the store");
        let deepest = members.iter().map(|me| depth(&members, me)).max().unwrap();
        assert!(3_usize.pow(deepest as u32) <= each, "{deepest} steps among {each}");
        let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
        for parent in members.iter().filter_map(|me| parent(&members, me)) {
            *followers.entry(parent).or_default() += 1;
        }
        assert!(followers.values().all(|count| *count <= 3), "{followers:?}");
    }
}

#[test]
fn whoever_is_followed_is_of_the_same_domain() {
    let members = fleet(295, 6);
    for me in &members {
        if let Some(parent) = parent(&members, me) {
            assert_eq!(domain(parent), domain(me));
        }
        assert!(has_relays(&members, me));
    }
    assert!(!has_relays(&fleet(13, 4), "i1@10.0.0.1:80+1/1a"));
}

#[test]
fn lists_that_differ_make_no_circle() {
    arbtest::arbtest(|u| {
        let all = fleet(60, 2);
        let some = |u: &mut Unstructured<'_>| {
            let kept: Result<Vec<bool>, _> = all.iter().map(|_| u.ratio(4, 5)).collect();
            let kept = all.iter().zip(kept?).filter(|(_, kept)| *kept);
            // Some list an earlier run of an instance.
            let run = u.choose(&["1a", "0b"])?;
            let renamed = kept.map(|(member, _)| format!("{}/{run}", instance(member)));
            Ok::<Vec<String>, arbtest::arbitrary::Error>(renamed.collect())
        };
        let mut follows: BTreeMap<String, String> = BTreeMap::new();
        for me in &all {
            let list = some(u)?;
            if let Some(parent) = parent(&list, me) {
                follows.insert(instance(me).to_owned(), instance(parent).to_owned());
            }
        }
        for start in follows.keys() {
            let mut seen = BTreeSet::new();
            let mut at = start;
            while let Some(next) = follows.get(at) {
                assert!(seen.insert(at), "{start} follows a circle: {seen:?}");
                at = next;
            }
        }
        Ok(())
    });
}

#[test]
fn a_member_s_name_carries_its_address_and_domain() {
    let member = "front-1@10.0.0.7:7720+3/1a2b";
    assert_eq!(address(member), Some(([10, 0, 0, 7], 7_720).into()));
    assert_eq!(domain(member), Some("3"));
    let without = "front-1@10.0.0.7:7720/1a2b";
    assert_eq!(address(without), Some(([10, 0, 0, 7], 7_720).into()));
    assert_eq!((domain(without), parent(&[], without)), (None, None));
    assert_eq!(address("nobody"), None);
}

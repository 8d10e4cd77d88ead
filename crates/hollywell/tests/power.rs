//! Groups of samples among instances of very different size: a fleet in which a
//! quarter of the instances has thirteen times the bandwidth of the smallest.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use hollywell::core::{
    choice::Observations,
    dispatch::{Demand, Event, JobSpec, SampleSpec, Size, State},
    fleet::Fleet,
    roster,
    time::Time,
};

const GROUPS: usize = 2_000;

/// Names of members whose links have these bandwidths, in Mbit/s.
fn members(links: &[Option<u64>]) -> Vec<String> {
    let name = |(n, link): (usize, &Option<u64>)| {
        let link = link.map_or(String::new(), |link| format!("*{link}"));
        format!("i{n}@10.0.0.{n}:80+0{link}/1")
    };
    links.iter().enumerate().map(name).collect()
}

fn job() -> JobSpec {
    let sample = |n| SampleSpec {
        group: format!("g{n}"),
        tokens: 100,
        size: Size::default(),
        resumed: false,
    };
    JobSpec {
        job: "j".into(),
        part: 0,
        pool: "llm".into(),
        model: "m".into(),
        min_version: 1,
        max_attempts: 3,
        keep_until: Time(0),
        demand: Demand::default(),
        done: vec![false; GROUPS],
        samples: (0..GROUPS).map(sample).collect(),
    }
}

/// The owner of each group, as the instances themselves decide: a sample whose
/// time is over is given up by its owner.
fn owners(histories: &[Vec<String>], members: &[String]) -> BTreeMap<usize, String> {
    let mut owners = BTreeMap::new();
    for member in members {
        let (mut state, mut observations) = (State::new(member), Observations::default());
        let fleet = Fleet::default();
        let first = Event::Members(histories[0].clone());
        state.step(Time(1), &first, &fleet, &mut observations);
        state.step(Time(2), &Event::Opened(job()), &fleet, &mut observations);
        for later in &histories[1..] {
            state.step(Time(3), &Event::Members(later.clone()), &fleet, &mut observations);
        }
        for effect in state.step(Time(4), &Event::Tick, &fleet, &mut observations) {
            let hollywell::core::dispatch::Effect::GiveUp(sample_id) = effect else {
                panic!("{effect:?}");
            };
            let twice = owners.insert(sample_id.index, member.clone());
            assert_eq!(twice, None, "{member} owns group {} too", sample_id.index);
        }
    }
    assert_eq!(owners.len(), GROUPS);
    owners
}

/// Shares of the groups by the owner's bandwidth.
fn shares(owners: &BTreeMap<usize, String>) -> BTreeMap<u64, f64> {
    let mut shares = BTreeMap::new();
    for owner in owners.values() {
        *shares.entry(roster::link_mbps(owner)).or_insert(0.0) += 1.0 / GROUPS as f64;
    }
    shares
}

fn uneven() -> Vec<String> {
    let links = [vec![Some(600); 18], vec![Some(150); 15], vec![Some(45); 43]].concat();
    members(&links)
}

#[test]
fn groups_are_owned_in_proportion_to_bandwidth() {
    let all = uneven();
    let shares = shares(&owners(std::slice::from_ref(&all), &all));
    // 10,800, 2,250 and 1,935 Mbit/s of 14,985.
    for (link, expected) in [(600, 0.721), (150, 0.150), (45, 0.129)] {
        assert!((shares[&link] - expected).abs() < 0.03, "{link}: {shares:?}, {expected}");
    }
}

#[test]
fn instances_of_equal_or_unknown_bandwidth_own_equal_numbers_of_groups() {
    for link in [None, Some(0), Some(60), Some(u64::MAX)] {
        let all = members(&[link; 8]);
        let owners = owners(std::slice::from_ref(&all), &all);
        for member in &all {
            let owned = owners.values().filter(|owner| *owner == member).count();
            assert!((200..300).contains(&owned), "{member}: {owned} of {GROUPS}");
        }
    }
}

#[test]
fn the_loss_of_a_large_instance_moves_its_own_groups_only() {
    let all = uneven();
    let before = owners(std::slice::from_ref(&all), &all);
    let left: Vec<String> = all[1..].to_vec();
    let after = owners(&[all.clone(), left.clone()], &left);
    let moved: Vec<_> = before.iter().filter(|(group, owner)| after[group] != **owner).collect();
    assert!(moved.iter().all(|(_, owner)| **owner == all[0]), "{moved:?}");
    // An instance that knows only the members that are left decides alike.
    assert_eq!(after, owners(std::slice::from_ref(&left), &left));
    // It comes back with its own groups, and only these.
    assert_eq!(before, owners(&[all.clone(), left, all.clone()], &all));
}

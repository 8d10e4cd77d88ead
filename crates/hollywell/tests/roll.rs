//! Which engines load what, and when.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use hollywell::core::{
    choice::Sights,
    fleet::{Announcement, Fleet},
    roll::{Models, State, Step, is_due},
    time::Time,
};

fn fleet(engines: usize, models: &[&str], version: u64) -> Fleet {
    let mut fleet = Fleet::default();
    for n in 0..engines {
        let versions = models.iter().map(|model| ((*model).to_owned(), version)).collect();
        let said = Announcement {
            id: format!("e{n}"),
            pool: "llm".into(),
            address: ([127, 0, 0, 1], 80).into(),
            domain: "d".into(),
            slots: 4,
            draining: false,
            cold: false,
            versions,
        };
        fleet.announce(Time(1), said);
    }
    fleet
}

fn named(versions: &[(&str, u64)]) -> Models {
    let named = versions.iter().map(|(model, version)| ((*model).to_owned(), *version)).collect();
    Models { named, ..Models::default() }
}

/// Carries all orders out, one pass after the other; how many there were.
fn settle(fleet: &mut Fleet, named: &Models) -> usize {
    let (mut state, sights) = (State::default(), Sights::default());
    let mut count = 0;
    for now in 1..100 {
        for order in state.step(Time(now), "d", named, fleet, &sights) {
            fleet.answered(&order.target, &order.model, order.version);
            count += 1;
        }
    }
    assert!(!is_due("d", named, fleet));
    count
}

#[test]
fn each_version_is_loaded_by_half_and_no_engine_falls_two_behind() {
    let mut fleet = fleet(11, &["m"], 1);
    for version in 2..12 {
        let count = settle(&mut fleet, &named(&[("m", version)]));
        assert!((5..=6).contains(&count), "{count} loads for version {version}");
        let oldest = fleet.targets.values().map(|target| target.said.versions["m"]).min();
        assert!(oldest >= Some(version - 1), "{oldest:?} at version {version}");
    }
}

#[test]
fn engines_that_hold_two_models_keep_up_both() {
    let mut fleet = fleet(9, &["m", "n"], 1);
    for version in 2..8 {
        let count = settle(&mut fleet, &named(&[("m", version), ("n", version)]));
        // Half of the engines for each: as many as there are, in all.
        assert!(count <= 10, "{count} loads for version {version}");
        for model in ["m", "n"] {
            let fresh = |id: &str| fleet.targets[id].said.versions[model] + 1 >= version;
            let able = fleet.targets.keys().filter(|id| fresh(id)).count();
            assert_eq!(able, 9, "engines that can serve {model} at {version}");
        }
    }
}

#[test]
fn engines_that_hold_three_models_keep_up_two_each() {
    let models = ["m", "n", "o"];
    let mut fleet = fleet(12, &models, 1);
    for version in 2..8 {
        let named: Vec<(&str, u64)> = models.iter().map(|model| (*model, version)).collect();
        let count = settle(&mut fleet, &self::named(&named));
        assert!(count <= 12, "{count} loads for version {version}");
        for model in models {
            let fresh = |id: &str| fleet.targets[id].said.versions[model] + 1 >= version;
            let able = fleet.targets.keys().filter(|id| fresh(id)).count();
            assert!(able >= 8, "{able} engines can serve {model} at {version}");
        }
    }
}

#[test]
fn the_model_whose_samples_have_the_fewest_places_loads_first() {
    let fleet = fleet(12, &["calm", "waits"], 1);
    let mut models = named(&[("calm", 9), ("waits", 2)]);
    let step = |min_version, samples| vec![Step { min_version, samples }];
    models.steps.insert("calm".into(), step(1, 10));
    models.steps.insert("waits".into(), step(2, 70));
    let orders = State::default().step(Time(10), "d", &models, &fleet, &Sights::default());
    let order: Vec<&str> = orders.iter().map(|order| order.model.as_str()).collect();
    assert_eq!(order, ["waits"; 3], "though the engines are further behind with the other");
}

#[test]
fn an_order_without_effect_is_given_again_and_others_wait_for_it() {
    let fleet = fleet(2, &["m"], 1);
    let named = named(&[("m", 3)]);
    let (mut state, sights) = (State::default(), Sights::default());
    let first = state.step(Time(10), "d", &named, &fleet, &sights);
    assert_eq!(first.len(), 1);
    assert!(state.step(Time(500), "d", &named, &fleet, &sights).is_empty());
    state.failed(&first[0].target);
    assert_eq!(state.step(Time(600), "d", &named, &fleet, &sights).len(), 1);
    let again = state.step(Time(9_000), "d", &named, &fleet, &sights);
    assert_eq!(again.len(), 1, "an order does not block for good");
}

#[test]
fn engines_of_other_failure_domains_and_leaving_ones_get_no_orders() {
    let mut fleet = fleet(3, &["m"], 1);
    fleet.targets.get_mut("e0").unwrap().said.domain = "elsewhere".into();
    fleet.targets.get_mut("e1").unwrap().said.draining = true;
    let named = named(&[("m", 3)]);
    let orders = State::default().step(Time(10), "d", &named, &fleet, &Sights::default());
    let targets: Vec<&str> = orders.iter().map(|order| order.target.as_str()).collect();
    assert_eq!(targets, ["e2"]);
}

#[test]
fn engines_are_dealt_out_by_the_tokens_that_are_asked_for() {
    let mut fleet = fleet(12, &["large", "small"], 1);
    let mut models = named(&[("large", 3), ("small", 3)]);
    models.asked("large", 90_000);
    models.asked("small", 30_000);
    settle(&mut fleet, &models);
    let kept = |model: &str| {
        fleet.targets.values().filter(|target| target.said.versions[model] == 3).count()
    };
    // 9 and 3 of 12 places, twice.
    assert_eq!((kept("large"), kept("small")), (12, 6));
    // A step that is somewhat larger moves no engine.
    models.asked("small", 36_000);
    assert!(!is_due("d", &models, &fleet));
}

#[test]
fn a_fifth_of_a_failure_domains_engines_load_at_a_time() {
    for (engines, expected) in [(2, 1), (5, 1), (6, 2), (11, 3)] {
        let fleet = fleet(engines, &["m"], 1);
        let named = named(&[("m", 3)]);
        let orders = State::default().step(Time(10), "d", &named, &fleet, &Sights::default());
        assert_eq!(orders.len(), expected, "{engines} engines");
    }
}

//! Which engines load what, and when.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use hollywell::core::{
    choice::Observations,
    fleet::{Announcement, Fleet},
    time::Time,
    weight_loading::{Models, State, Step, has_due_load},
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
            start_ms: None,
            sequence: 0,
            versions,
        };
        fleet.announce(Time(1), said);
    }
    fleet
}

fn named(versions: &[(&str, u64)]) -> Models {
    let named = versions.iter().map(|(model, version)| ((*model).to_owned(), *version)).collect();
    Models { newest: named, ..Models::default() }
}

/// Carries all orders out, one pass after the other; how many there were.
fn settle(fleet: &mut Fleet, named: &Models) -> usize {
    let (mut state, observations) = (State::default(), Observations::default());
    let mut count = 0;
    for now in 1..100 {
        for order in state.step(Time(now), "d", named, fleet, &observations) {
            fleet.record_version(&order.target, order.start_ms, &order.model, order.version);
            count += 1;
        }
    }
    assert!(!has_due_load("d", named, fleet));
    count
}

#[test]
fn each_version_is_loaded_by_half_and_no_engine_falls_two_behind() {
    let mut fleet = fleet(11, &["m"], 1);
    for version in 2..12 {
        let count = settle(&mut fleet, &named(&[("m", version)]));
        assert!((5..=6).contains(&count), "{count} loads for version {version}");
        let oldest = fleet.targets.values().map(|target| target.announcement.versions["m"]).min();
        assert!(oldest >= Some(version - 1), "{oldest:?} at version {version}");
    }
}

/// Loads for each version, and engines that can serve each model then, where
/// all models are named a version at a time.
fn kept(engines: usize, models: &[&str]) -> Vec<(usize, Vec<usize>)> {
    let mut fleet = fleet(engines, models, 1);
    let mut seen = Vec::new();
    for version in 2..10 {
        let named: Vec<(&str, u64)> = models.iter().map(|model| (*model, version)).collect();
        let loads = settle(&mut fleet, &self::named(&named));
        let able = |model: &&str| {
            let fresh =
                |id: &&String| fleet.targets[*id].announcement.versions[*model] + 1 >= version;
            fleet.targets.keys().filter(fresh).count()
        };
        seen.push((loads, models.iter().map(able).collect()));
    }
    // At first the version that all began with serves too.
    seen.split_off(2)
}

#[test]
fn engines_that_hold_several_models_keep_up_one_and_a_half_each() {
    for (loads, able) in kept(9, &["m", "n"]) {
        assert!(loads <= 8, "{loads} loads for a version of each");
        assert!(able.iter().all(|able| (6..=7).contains(able)), "{able:?} engines can serve");
    }
    for (loads, able) in kept(12, &["m", "n", "o"]) {
        assert!(loads <= 9, "{loads} loads for a version of each");
        assert!(able.iter().all(|able| *able == 6), "{able:?} engines can serve");
    }
}

/// A trainer whose steps have work for 56 engines of the 560 that there are.
/// With all engines kept up each version was loaded 280 times, which took
/// longer than a step, and cost more than all the rest of a day.
#[test]
fn a_crowd_of_engines_loads_no_more_than_the_work_needs() {
    const DOMAINS: usize = 4;
    const SAMPLES: u64 = 224;
    let mut fleet = fleet(560, &["m"], 1);
    for (n, target) in fleet.targets.values_mut().enumerate() {
        target.announcement.domain = format!("d{}", n % DOMAINS);
    }
    let observations = Observations::default();
    for version in 2..8 {
        let mut models = named(&[("m", version)]);
        models.record_step("m", 100_000, SAMPLES);
        let mut states = vec![State::default(); DOMAINS];
        let mut loads = 0;
        for now in 1..100 {
            for (domain, state) in states.iter_mut().enumerate() {
                let name = format!("d{domain}");
                for order in state.step(Time(now), &name, &models, &fleet, &observations) {
                    fleet.record_version(
                        &order.target,
                        order.start_ms,
                        &order.model,
                        order.version,
                    );
                    loads += 1;
                }
            }
        }
        // Twice what its samples take, each version on half of the engines.
        assert!(loads <= 2 * 560 / 10 + 10, "{loads} loads for version {version}");
        // Whichever failure domain is lost, the newest step has its places.
        for lost in 0..DOMAINS {
            let lost = format!("d{lost}");
            let can = fleet.targets.values().filter(|target| {
                target.announcement.domain != lost
                    && target.announcement.versions["m"] + 1 >= version
            });
            let places: u64 = can.map(|target| u64::from(target.announcement.slots)).sum();
            assert!(places >= SAMPLES, "{places} places without {lost} for version {version}");
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
    let orders = State::default().step(Time(10), "d", &models, &fleet, &Observations::default());
    let order: Vec<&str> = orders.iter().map(|order| order.model.as_str()).collect();
    assert_eq!(order, ["waits"; 3], "though the engines are further behind with the other");
}

/// Three trainers that are behind: each version is named at the moment at
/// which its step of 72 samples is asked for, 1.2 s after another trainer's.
/// A load takes 0.9 s, with more than two at a time as much longer as there
/// are more. Mean time, in milliseconds, until a step has places for half of
/// its samples at once: 1,428 where engines keep up two models and loads go by
/// age, 972 as it is.
fn places_after_ms() -> u64 {
    const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
    const MODELS: [&str; 3] = ["m", "n", "o"];
    const PERIOD_MS: u64 = 3_600;
    let mut fleet = fleet(12, &MODELS, 1);
    for (n, target) in fleet.targets.values_mut().enumerate() {
        target.announcement.domain = DOMAINS[n % 4].into();
        target.announcement.slots = 12;
    }
    let mut offices = DOMAINS.map(|_| State::default());
    let mut models = Models::default();
    let mut loading: Vec<(u64, String, String, u64)> = Vec::new();
    let mut waiting: Vec<(&str, u64, u64)> = Vec::new();
    let mut waits = Vec::new();
    for now in (0..80_000).step_by(100) {
        for (n, model) in MODELS.iter().enumerate() {
            let asked = now + PERIOD_MS - 1_200 * n as u64;
            if asked.is_multiple_of(PERIOD_MS) {
                let version = asked / PERIOD_MS + 1;
                models.newest.insert((*model).into(), version);
                let step = Step { min_version: version - 1, samples: 72 };
                models.steps.insert((*model).into(), vec![step]);
                waiting.push((*model, version - 1, now));
            }
        }
        loading.retain(|(until, target, model, version)| {
            if *until <= now {
                fleet.record_version(target, None, model, *version);
            }
            *until > now
        });
        for (office, domain) in offices.iter_mut().zip(DOMAINS) {
            for order in office.step(Time(now), domain, &models, &fleet, &Observations::default()) {
                let takes = (900 * (loading.len() as u64 + 1) / 2).max(900);
                loading.push((now + takes, order.target, order.model, order.version));
            }
        }
        waiting.retain(|(model, min_version, asked)| {
            let fits =
                fleet.targets.values().filter(|t| t.announcement.versions[*model] >= *min_version);
            let served = fits.map(|target| target.announcement.slots).sum::<u32>() >= 36;
            if served {
                waits.push(now - asked);
                if let Some(steps) = models.steps.get_mut(*model) {
                    steps[0].samples = 10;
                }
            }
            !served
        });
    }
    waits.iter().sum::<u64>() / waits.len() as u64
}

#[test]
fn trainers_that_are_behind_find_places_for_their_steps() {
    let mean_ms = places_after_ms();
    assert!(mean_ms < 1_200, "{mean_ms} ms until half of a step has places");
}

#[test]
fn an_order_without_effect_is_given_again_and_others_wait_for_it() {
    let fleet = fleet(2, &["m"], 1);
    let named = named(&[("m", 3)]);
    let (mut state, observations) = (State::default(), Observations::default());
    let first = state.step(Time(10), "d", &named, &fleet, &observations);
    assert_eq!(first.len(), 1);
    assert!(state.step(Time(500), "d", &named, &fleet, &observations).is_empty());
    state.order_failed(&first[0].target);
    assert_eq!(state.step(Time(600), "d", &named, &fleet, &observations).len(), 1);
    let again = state.step(Time(9_000), "d", &named, &fleet, &observations);
    assert_eq!(again.len(), 1, "an order does not block for good");
}

#[test]
fn engines_of_other_failure_domains_and_leaving_ones_get_no_orders() {
    let mut fleet = fleet(3, &["m"], 1);
    fleet.targets.get_mut("e0").unwrap().announcement.domain = "elsewhere".into();
    fleet.targets.get_mut("e1").unwrap().announcement.draining = true;
    let named = named(&[("m", 3)]);
    let orders = State::default().step(Time(10), "d", &named, &fleet, &Observations::default());
    let targets: Vec<&str> = orders.iter().map(|order| order.target.as_str()).collect();
    assert_eq!(targets, ["e2"]);
}

#[test]
fn engines_are_dealt_out_by_the_tokens_that_are_asked_for() {
    let mut fleet = fleet(12, &["large", "small"], 1);
    let mut models = named(&[("large", 3), ("small", 3)]);
    models.record_step("large", 90_000, 100);
    models.record_step("small", 30_000, 100);
    settle(&mut fleet, &models);
    let kept = |model: &str| {
        fleet.targets.values().filter(|target| target.announcement.versions[model] == 3).count()
    };
    // 9 and 3 of 12 places, one and a half times, no more than there are.
    assert_eq!((kept("large"), kept("small")), (12, 4));
    // A step that is somewhat larger moves no engine.
    models.record_step("small", 36_000, 100);
    assert!(!has_due_load("d", &models, &fleet));
}

#[test]
fn a_fifth_of_a_failure_domains_engines_load_at_a_time() {
    for (engines, expected) in [(2, 1), (5, 1), (6, 2), (11, 3)] {
        let fleet = fleet(engines, &["m"], 1);
        let named = named(&[("m", 3)]);
        let orders = State::default().step(Time(10), "d", &named, &fleet, &Observations::default());
        assert_eq!(orders.len(), expected, "{engines} engines");
    }
}

//! Which engine gets which weights next, under one failure domain's lease.
//!
//! A step allows the version that it is asked for and the one before. So an
//! engine that loads every second version can always serve, and if half of
//! the engines load the even and half the odd ones, half of them can serve
//! the newest step at once while the others load. Loading every version on
//! every engine was tried: with two loads at a time a pass over eleven
//! engines takes longer than a step.
//!
//! Where several models share the engines each engine keeps up one of them;
//! loading all of them everywhere would take twice as long as the trainers
//! give.
//!
//! Level-triggered: what is wanted is compared with what the engines report,
//! again and again, so a lost, doubled or late order ends in the right state.
//!
//! What it leaves out: the lease ([`crate::core::tenure`]) and the calls.

use std::{cmp::Reverse, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use crate::core::{
    choice::Sights,
    fleet::{Fleet, Target},
    time::Time,
};

/// How long an order may be under way before it is given again, in
/// milliseconds: a load takes 0.9 s alone, several at once take longer.
const ORDER_MS: u64 = 4_000;

/// Versions behind the newest at which an engine can serve no step that is
/// still to come.
const BEHIND: u64 = 2;

/// The engines that keep up a model, with the version that each has: of
/// those that hold several models, every engine keeps up one.
fn keepers<'a>(
    fleet: &'a Fleet,
    named: &BTreeMap<String, u64>,
    model: &str,
) -> Vec<(u64, &'a str)> {
    let holds =
        |target: &&Target| !target.said.draining && target.said.versions.contains_key(model);
    let mut keepers = Vec::new();
    for (n, target) in fleet.targets.values().filter(holds).enumerate() {
        let models: Vec<&String> =
            target.said.versions.keys().filter(|held| named.contains_key(*held)).collect();
        if models.get(n % models.len().max(1)).is_some_and(|kept| *kept == model) {
            keepers.push((target.said.versions[model], target.said.id.as_str()));
        }
    }
    keepers
}

/// The engines of all failure domains that are to load a model's newest
/// version now, with the version that each has: those that are too far
/// behind, and as many more as it takes for half to have it.
fn due<'a>(
    fleet: &'a Fleet,
    named: &BTreeMap<String, u64>,
    model: &str,
    version: u64,
) -> Vec<(u64, &'a str)> {
    let mut keepers = keepers(fleet, named, model);
    let half = keepers.len().div_ceil(2);
    let all = keepers.len();
    keepers.retain(|(has, _)| *has < version);
    keepers.sort_unstable();
    let have = all - keepers.len();
    let too_old = keepers.iter().filter(|(has, _)| has + BEHIND <= version).count();
    keepers.truncate(too_old.max(half.saturating_sub(have)));
    keepers
}

/// Whether an engine of a failure domain is to load something.
#[must_use]
pub fn is_due(domain: &str, named: &BTreeMap<String, u64>, fleet: &Fleet) -> bool {
    named.iter().any(|(model, version)| {
        let due = due(fleet, named, model, *version);
        due.iter().any(|(_, target)| fleet.targets[*target].said.domain == domain)
    })
}

/// One order to give; once it is carried out, what is told to all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine's id.
    pub target: String,
    /// The model.
    pub model: String,
    /// The version that it is to load.
    pub version: u64,
}

#[derive(Clone, Debug)]
struct UnderWay {
    given_at: Time,
    model: String,
    version: u64,
}

/// Orders under way in one failure domain.
#[derive(Clone, Debug, Default)]
pub struct State {
    under_way: BTreeMap<String, UnderWay>,
}

impl State {
    /// The orders to give now. `named` holds the newest version of each
    /// model; `at_once` bounds how many engines load at the same time.
    pub fn step(
        &mut self,
        now: Time,
        domain: &str,
        named: &BTreeMap<String, u64>,
        fleet: &Fleet,
        sights: &Sights,
        at_once: usize,
    ) -> Vec<Order> {
        self.under_way.retain(|id, order| {
            let target = fleet.targets.get(id);
            let has = target.and_then(|target| target.said.versions.get(&order.model));
            has < Some(&order.version) && now.since(order.given_at) < ORDER_MS
        });
        let mut wanted = Vec::new();
        for (model, version) in named {
            for (has, target) in due(fleet, named, model, *version) {
                let said = &fleet.targets[target].said;
                if said.domain != domain || self.under_way.contains_key(target) {
                    continue;
                }
                let behind = version - has;
                let load = sights.load_of(now, target) as u64;
                wanted.push((Reverse(behind), load, target.to_owned(), model.clone(), *version));
            }
        }
        wanted.sort();
        let mut orders: Vec<Order> = Vec::new();
        for (_, _, target, model, version) in wanted {
            if self.under_way.len() >= at_once {
                break;
            }
            if orders.iter().all(|order| order.target != target) {
                let order = UnderWay { given_at: now, model: model.clone(), version };
                self.under_way.insert(target.clone(), order);
                orders.push(Order { target, model, version });
            }
        }
        orders
    }

    /// Notes that an order was refused or got no answer: it is given again.
    pub fn failed(&mut self, target: &str) {
        self.under_way.remove(target);
    }
}

//! Which engine gets which weights next, under one failure domain's lease.
//!
//! Level-triggered: what is wanted is compared with what the engines report,
//! again and again, so a lost, doubled or late order ends in the right state.
//! The engines that can serve the least go first; among equals the one with
//! the least to do. Few load at once, so that the others keep serving.
//!
//! What it leaves out: the lease ([`crate::core::tenure`]) and the calls.

use std::collections::BTreeMap;

use crate::core::{choice::Sights, fleet::Fleet, time::Time};

/// How long an order may be under way before it is given again, in
/// milliseconds: a load takes 0.9 s alone, several at once take longer.
const ORDER_MS: u64 = 4_000;

/// One order to give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine's id.
    pub target: String,
    /// The model.
    pub model: String,
    /// The version that it is to load.
    pub version: u64,
}

/// Orders under way in one failure domain.
#[derive(Clone, Debug, Default)]
pub struct State {
    under_way: BTreeMap<String, (Time, u64)>,
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
        let version_of = |id: &str, model: &str| {
            fleet.targets.get(id).and_then(|t| t.said.versions.get(model).copied())
        };
        self.under_way.retain(|id, (at, _)| {
            let behind = named.iter().any(|(model, v)| version_of(id, model) < Some(*v));
            behind && now.since(*at) < ORDER_MS
        });
        let mut wanted = Vec::new();
        for target in fleet.targets.values().filter(|t| t.said.domain == domain) {
            if target.said.draining || self.under_way.contains_key(&target.said.id) {
                continue;
            }
            for (model, version) in named {
                let Some(has) = target.said.versions.get(model).filter(|has| *has < version) else {
                    continue;
                };
                let load = sights.load_of(now, &target.said.id) as u64;
                wanted.push((*has, load, target.said.id.clone(), model.clone(), *version));
            }
        }
        wanted.sort();
        let mut orders: Vec<Order> = Vec::new();
        for (_, _, target, model, version) in wanted {
            if self.under_way.len() >= at_once {
                break;
            }
            if orders.iter().all(|order| order.target != target) {
                self.under_way.insert(target.clone(), (now, version));
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

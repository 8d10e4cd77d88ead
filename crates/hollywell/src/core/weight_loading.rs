//! Decides which engine of a failure domain loads which version of the weights
//! next. Orders of one domain are given under that domain's lease.
//!
//! A step may be served by the version that it requests and by the one before.
//! An engine that loads every second version can therefore always serve. If
//! half of the engines load the even versions and half the odd ones, half of
//! them can serve the newest step at once while the others load. Loading every
//! version on every engine was tried: with two loads at a time a pass over
//! eleven engines takes longer than a step.
//!
//! Where several models share the engines, each engine keeps only some of them
//! current; loading all of them everywhere would take twice the time that the
//! trainers leave. While trainers are late the source of the weights is the
//! bottleneck: a version is then named at the moment at which its step is
//! requested, and only engines with the version before can serve the step's
//! samples. Loads therefore go first to the model with the fewest slots for its
//! samples.
//!
//! The decision is level-triggered: the wanted state is compared with what the
//! engines report again and again, so that the final state is right even if
//! orders are lost, duplicated or late.
//!
//! The lease ([`crate::core::store_lease`]) and the calls to engines are not decided
//! here.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::{Deserialize, Serialize};

use crate::core::{
    choice::Observations,
    fleet::{Fleet, Target},
    time::Time,
};

/// Time after which an order that has not been carried out is given again, in
/// milliseconds: a load takes 0.9 s alone, and longer if several run at once.
const ORDER_TIMEOUT_MS: u64 = 4_000;

/// Divisor: one in this many of a failure domain's engines may load at a time.
/// Half of the engines load each version, so a pass takes two and a half loads.
/// The source of the weights is shared, and in existing deployments it slows
/// down when more than about a fifth of the engines load.
const LOADING_DIVISOR: usize = 5;

/// Mean number of models that an engine keeps current, of those that it holds.
/// All samples of a step arrive at once, right after its version was named,
/// when half of the model's engines are about to load. With one model per
/// engine, 224 samples of a step met 60 slots and the last of them began 1.8 s
/// late. With two per engine, three trainers ask for 3 loads a second where the
/// source gives 2.2, so each load comes late: 0.739 of the worth was earned,
/// with one and a half 0.754 (mean of 40 test days of three trainers with
/// faults, standard error 0.012).
const MODELS_PER_ENGINE: f64 = 1.5;

/// Slots that a model's engines should have for each sample of a step, not
/// counting engines that cannot serve the step yet: samples of the step before
/// are still running, and engines differ.
const SLOTS_PER_SAMPLE: f64 = 1.5;

/// Number of versions behind the newest from which on an engine can serve no
/// future step.
const MAX_LAG: u64 = 2;

/// What is known of the models: the newest version of each, and the demand of
/// its trainer.
#[derive(Clone, Debug, Default)]
pub struct Models {
    /// Newest version of each model.
    pub newest: BTreeMap<String, u64>,
    /// Tokens of a step of each model, by its samples' estimates.
    pub tokens: BTreeMap<String, u64>,
    /// Samples of a step of each model: a decaying maximum of recent steps.
    pub samples: BTreeMap<String, u64>,
    /// Open steps, by model.
    pub steps: BTreeMap<String, Vec<Step>>,
}

/// What the choice of loads needs to know of an open step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The oldest version of the weights that may generate its samples.
    pub min_version: u64,
    /// Number of samples whose results are not in the store yet.
    pub samples: u64,
}

/// Divisor of the decay of [`Models::samples`]: each smaller step lowers the
/// maximum by this part of it.
const SAMPLES_DECAY: u64 = 8;
/// Relative change of a trainer's demand from which on it is taken over: each
/// change moves engines from one model to another.
const DEMAND_CHANGE: f64 = 0.3;

impl Models {
    /// Records the demand of a step of a model.
    pub fn record_step(&mut self, model: &str, tokens: u64, samples: u64) {
        let largest = self.samples.entry(model.to_owned()).or_insert(samples);
        // Decays, so that a trainer whose steps have become smaller frees
        // engines.
        *largest = samples.max(*largest - *largest / SAMPLES_DECAY);
        let noted = self.tokens.entry(model.to_owned()).or_insert(tokens);
        if tokens.abs_diff(*noted) as f64 > *noted as f64 * DEMAND_CHANGE {
            *noted = tokens;
        }
    }

    /// How many of the engines that hold a model should keep it current, so
    /// that its step finds free slots at once: half of them have its version by
    /// then, and a failure domain may be lost. With many engines not all are
    /// needed: before this limit, 300 engines loaded each version for a step
    /// that had work for 40.
    fn engines_needed(&self, all: &[&Target], model: &str) -> usize {
        let Some(samples) = self.samples.get(model) else {
            return all.len();
        };
        let slots: u64 = all.iter().map(|target| u64::from(target.announcement.slots.max(1))).sum();
        let slots_per_engine = slots as f64 / all.len().max(1) as f64;
        let domains: BTreeSet<&str> = all.iter().map(|t| t.announcement.domain.as_str()).collect();
        let remaining = 1.0 - 1.0 / domains.len().max(2) as f64;
        let needed = 2.0 * *samples as f64 * SLOTS_PER_SAMPLE / slots_per_engine / remaining;
        (needed.ceil() as usize).min(all.len())
    }

    /// The range of engines, of those that hold certain models, that keeps one
    /// of the models current. The models' ranges follow one another around the
    /// engines; each is [`MODELS_PER_ENGINE`] times the model's share of the
    /// requested tokens, and at most `max_share`. `None` if the engines do not
    /// hold the model.
    fn range(&self, held: &BTreeMap<String, u64>, model: &str, max_share: f64) -> Option<Range> {
        let tokens = |model: &String| self.tokens.get(model).copied().unwrap_or(1).max(1) as f64;
        let models = || self.newest.keys().filter(|model| held.contains_key(*model));
        let total: f64 = models().map(tokens).sum();
        let before: f64 = models().take_while(|other| *other != model).map(tokens).sum();
        let own = models().find(|other| *other == model).map(tokens)?;
        Some(Range {
            begin: before / total,
            share: (own / total * MODELS_PER_ENGINE).min(max_share),
        })
    }

    /// Samples per thousand slots that may run them, for the open step of a
    /// model with the most. Loads in progress count as done.
    fn samples_per_1000_slots(
        &self,
        fleet: &Fleet,
        pending: &BTreeMap<String, Pending>,
        model: &str,
    ) -> u64 {
        let version = |target: &Target| {
            let order = pending.get(&target.announcement.id).filter(|order| order.model == model);
            target.announcement.versions.get(model).copied().max(order.map(|order| order.version))
        };
        let slots = |step: &Step| -> u64 {
            let fits = |target: &&Target| version(target) >= Some(step.min_version);
            fleet.accepting().filter(fits).map(|target| u64::from(target.announcement.slots)).sum()
        };
        let steps = self.steps.get(model).into_iter().flatten();
        steps.map(|step| step.samples * 1_000 / slots(step).max(1)).max().unwrap_or(0)
    }
}

/// A circular range of the ordered engines, as positions from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct Range {
    begin: f64,
    share: f64,
}

impl Range {
    fn holds(self, position: f64) -> bool {
        (position - self.begin).rem_euclid(1.0) < self.share
    }
}

/// The engines that keep a model current, with the version that each has. Of
/// the engines that hold several models, each keeps some current.
fn current_engines<'a>(fleet: &'a Fleet, models: &Models, model: &str) -> Vec<(u64, &'a str)> {
    let holds = |target: &&Target| target.announcement.versions.contains_key(model);
    let all: Vec<&Target> = fleet.accepting().filter(holds).collect();
    let max_share = models.engines_needed(&all, model) as f64 / all.len().max(1) as f64;
    let mut current_engines = Vec::new();
    // Nearly all of thousands of engines hold the same models, so the last
    // range is reused.
    let mut last_range: Option<(&BTreeMap<String, u64>, Option<Range>)> = None;
    for (n, target) in all.iter().enumerate() {
        let position = (n as f64 + 0.5) / all.len() as f64;
        let held = &target.announcement.versions;
        let cached = last_range.filter(|(other, _)| other.keys().eq(held.keys()));
        let range = cached.map_or_else(|| models.range(held, model, max_share), |(_, range)| range);
        last_range = Some((held, range));
        if range.is_some_and(|range| range.holds(position)) {
            current_engines.push((held[model], target.announcement.id.as_str()));
        }
    }
    current_engines
}

/// The engines of all failure domains that should load a model's newest version
/// now, with the version that each has: those that are too far behind, and as
/// many more as it takes for half of the engines to have it.
fn due<'a>(fleet: &'a Fleet, models: &Models, model: &str, version: u64) -> Vec<(u64, &'a str)> {
    let mut current_engines = current_engines(fleet, models, model);
    let half = current_engines.len().div_ceil(2);
    let all = current_engines.len();
    current_engines.retain(|(has, _)| *has < version);
    current_engines.sort_unstable();
    let have = all - current_engines.len();
    let too_old = current_engines.iter().filter(|(has, _)| version - has >= MAX_LAG).count();
    current_engines.truncate(too_old.max(half.saturating_sub(have)));
    current_engines
}

/// Whether any engine of a failure domain should load a version now.
#[must_use]
pub fn has_due_load(domain: &str, models: &Models, fleet: &Fleet) -> bool {
    models.newest.iter().any(|(model, version)| {
        let due = due(fleet, models, model, *version);
        due.iter().any(|(_, target)| fleet.targets[*target].announcement.domain == domain)
    })
}

/// An order to load a version. Once it is carried out it is also reported to
/// all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine's id.
    pub target: String,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// The engine's start time as known when the order was given: loaded
    /// weights are lost with a restart.
    #[serde(default, rename = "born")]
    pub start_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Pending {
    sent_at: Time,
    start_ms: Option<u64>,
    model: String,
    version: u64,
}

/// The orders in progress in one failure domain.
#[derive(Clone, Debug, Default)]
pub struct State {
    pending: BTreeMap<String, Pending>,
}

impl State {
    /// Returns the orders to give now.
    pub fn step(
        &mut self,
        now: Time,
        domain: &str,
        models: &Models,
        fleet: &Fleet,
        observations: &Observations,
    ) -> Vec<Order> {
        let engines = fleet.targets.values().filter(|target| {
            target.announcement.domain == domain && !target.announcement.versions.is_empty()
        });
        let max_loads = engines.count().div_ceil(LOADING_DIVISOR);
        self.pending.retain(|id, order| {
            let target = fleet.targets.get(id);
            let has = target.and_then(|target| target.announcement.versions.get(&order.model));
            let same_start =
                target.is_none_or(|target| target.announcement.start_ms == order.start_ms);
            same_start && has < Some(&order.version) && now.since(order.sent_at) < ORDER_TIMEOUT_MS
        });
        let mut wanted = Vec::new();
        for (model, version) in &models.newest {
            let samples_per_1000_slots = models.samples_per_1000_slots(fleet, &self.pending, model);
            for (has, target) in due(fleet, models, model, *version) {
                let announcement = &fleet.targets[target].announcement;
                if announcement.domain != domain || self.pending.contains_key(target) {
                    continue;
                }
                let behind = version - has;
                let load = observations.load_of(now, target) as u64;
                // With loads ordered by age alone, loads for models whose steps
                // had slots went before those for which samples waited: 0.742
                // of the worth was earned, in this order 0.754 (mean of 40 test
                // days of three trainers with faults, standard error 0.012).
                let first = (Reverse(samples_per_1000_slots), Reverse(behind), load);
                wanted.push((first, target.to_owned(), model.clone(), *version));
            }
        }
        wanted.sort();
        let mut orders: Vec<Order> = Vec::new();
        for (_, target, model, version) in wanted {
            if self.pending.len() >= max_loads {
                break;
            }
            if orders.iter().all(|order| order.target != target) {
                let start_ms = fleet.targets[&target].announcement.start_ms;
                let order = Pending { sent_at: now, start_ms, model: model.clone(), version };
                self.pending.insert(target.clone(), order);
                orders.push(Order { target, model, version, start_ms });
            }
        }
        orders
    }

    /// Records that an order was refused or not answered; it will be given
    /// again.
    pub fn order_failed(&mut self, target: &str) {
        self.pending.remove(target);
    }
}

//! Which engine gets which weights next, under one failure domain's lease.
//!
//! A step allows the version that it is asked for and the one before. So an
//! engine that loads every second version can always serve, and if half of
//! the engines load the even and half the odd ones, half of them can serve
//! the newest step at once while the others load. Loading every version on
//! every engine was tried: with two loads at a time a pass over eleven
//! engines takes longer than a step.
//!
//! Where several models share the engines each engine keeps up some of them;
//! loading all of them everywhere would take twice as long as the trainers
//! give. The source of weights is the narrow place while trainers are
//! behind: a version is then named at the moment at which its step is asked
//! for, and the step's samples have only the engines of the version before.
//! So loads go first to the model whose samples have the fewest places.
//!
//! Level-triggered: what is wanted is compared with what the engines report,
//! again and again, so a lost, doubled or late order ends in the right state.
//!
//! What it leaves out: the lease ([`crate::core::store_lease`]) and the calls.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::{Deserialize, Serialize};

use crate::core::{
    choice::Sights,
    fleet::{Fleet, Target},
    time::Time,
};

/// How long an order may be under way before it is given again, in
/// milliseconds: a load takes 0.9 s alone, several at once take longer.
const ORDER_MS: u64 = 4_000;

/// One in so many of a failure domain's engines loads at a time. Half of the
/// engines load each version, so a pass takes two and a half loads; the
/// weights' source is shared, and on the deployments at hand it slows down
/// when more than about a fifth of the engines load.
const LOADING_PART: usize = 5;

/// Models that an engine keeps up, of those that it holds, on average. A step
/// comes all at once, right after its version was named, when half of the
/// model's engines are about to load. With one model each, 224 samples of a
/// step met 60 places and the last of them began 1.8 s late. With two each,
/// three trainers ask for 3 loads a second where the source gives 2.2, so
/// each load comes late: 0.739 of the worth was earned, with one and a half
/// 0.754 (mean of 40 played days of three trainers with faults, standard
/// error 0.012).
const KEPT: f64 = 1.5;

/// Places that a model's engines are to have for each sample of a step, those
/// that cannot serve it yet left out: the samples of the step before are still
/// there, and engines differ.
const PLACES: f64 = 1.5;

/// Versions behind the newest at which an engine can serve no step that is
/// still to come.
const BEHIND: u64 = 2;

/// What is known of the models: the newest version of each, and how much
/// text its trainer asks for in a step.
#[derive(Clone, Debug, Default)]
pub struct Models {
    /// Newest versions.
    pub named: BTreeMap<String, u64>,
    /// Tokens of a step, as its samples' estimates say.
    pub tokens: BTreeMap<String, u64>,
    /// Samples of a step, the most of the steps seen lately.
    pub samples: BTreeMap<String, u64>,
    /// Steps that are open, by model.
    pub steps: BTreeMap<String, Vec<Step>>,
}

/// An open step, as far as the choice of loads needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The oldest version that may run its samples.
    pub min_version: u64,
    /// Samples that are not listed.
    pub samples: u64,
}

/// A step's number of samples counts for less by this part of it with each
/// smaller step that follows.
const MOST_FADES: u64 = 8;
/// A trainer's demand must differ by this share of what was noted before it
/// is noted anew: each change moves engines from one model to another.
const DEMAND_CHANGE: f64 = 0.3;

impl Models {
    /// Notes what a step of a model asks for.
    pub fn asked(&mut self, model: &str, tokens: u64, samples: u64) {
        let most = self.samples.entry(model.to_owned()).or_insert(samples);
        // It fades, so that a trainer whose steps got smaller frees engines.
        *most = samples.max(*most - *most / MOST_FADES);
        let noted = self.tokens.entry(model.to_owned()).or_insert(tokens);
        if tokens.abs_diff(*noted) as f64 > *noted as f64 * DEMAND_CHANGE {
            *noted = tokens;
        }
    }

    /// How many engines of so many keep up a model, of those that hold it, so
    /// that its step finds places at once: half of them have its version by
    /// then, and a failure domain may be lost. Fewer of a crowd of engines:
    /// with all of them, 300 engines loaded each version for a step that had
    /// work for 40.
    fn engines_needed(&self, all: &[&Target], model: &str) -> usize {
        let Some(samples) = self.samples.get(model) else {
            return all.len();
        };
        let places: u64 = all.iter().map(|target| u64::from(target.said.slots.max(1))).sum();
        let each = places as f64 / all.len().max(1) as f64;
        let domains: BTreeSet<&str> = all.iter().map(|t| t.said.domain.as_str()).collect();
        let left = 1.0 - 1.0 / domains.len().max(2) as f64;
        let needed = 2.0 * *samples as f64 * PLACES / each / left;
        (needed.ceil() as usize).min(all.len())
    }

    /// The part of the engines that hold certain models which keeps up one of
    /// them: models follow one another around the engines, each with [`KEPT`]
    /// times its share of the tokens that are asked for, and no more than the
    /// share `most`. `None` if they do not hold it.
    fn part(&self, held: &BTreeMap<String, u64>, model: &str, most: f64) -> Option<Part> {
        let tokens = |model: &String| self.tokens.get(model).copied().unwrap_or(1).max(1) as f64;
        let models = || self.named.keys().filter(|model| held.contains_key(*model));
        let total: f64 = models().map(tokens).sum();
        let before: f64 = models().take_while(|other| *other != model).map(tokens).sum();
        let own = models().find(|other| *other == model).map(tokens)?;
        Some(Part { begin: before / total, share: (own / total * KEPT).min(most) })
    }

    /// Samples of a model's open step for each thousand places that may run
    /// them, loads under way counted as done; the most of its steps.
    fn crowd(&self, fleet: &Fleet, under_way: &BTreeMap<String, UnderWay>, model: &str) -> u64 {
        let version = |target: &Target| {
            let order = under_way.get(&target.said.id).filter(|order| order.model == model);
            target.said.versions.get(model).copied().max(order.map(|order| order.version))
        };
        let places = |step: &Step| -> u64 {
            let fits = |target: &&Target| version(target) >= Some(step.min_version);
            fleet.taking().filter(fits).map(|target| u64::from(target.said.slots)).sum()
        };
        let steps = self.steps.get(model).into_iter().flatten();
        steps.map(|step| step.samples * 1_000 / places(step).max(1)).max().unwrap_or(0)
    }
}

/// A part of the engines in their order, from 0 to 1 around.
#[derive(Clone, Copy, Debug)]
struct Part {
    begin: f64,
    share: f64,
}

impl Part {
    fn holds(self, place: f64) -> bool {
        (place - self.begin).rem_euclid(1.0) < self.share
    }
}

/// The engines that keep up a model, with the version that each has: of
/// those that hold several models, every engine keeps up some.
fn keepers<'a>(fleet: &'a Fleet, models: &Models, model: &str) -> Vec<(u64, &'a str)> {
    let holds = |target: &&Target| target.said.versions.contains_key(model);
    let all: Vec<&Target> = fleet.taking().filter(holds).collect();
    let most = models.engines_needed(&all, model) as f64 / all.len().max(1) as f64;
    let mut keepers = Vec::new();
    // Of thousands of engines nearly all hold the same models.
    let mut before: Option<(&BTreeMap<String, u64>, Option<Part>)> = None;
    for (n, target) in all.iter().enumerate() {
        let place = (n as f64 + 0.5) / all.len() as f64;
        let held = &target.said.versions;
        let same = before.filter(|(other, _)| other.keys().eq(held.keys()));
        let part = same.map_or_else(|| models.part(held, model, most), |(_, part)| part);
        before = Some((held, part));
        if part.is_some_and(|part| part.holds(place)) {
            keepers.push((held[model], target.said.id.as_str()));
        }
    }
    keepers
}

/// The engines of all failure domains that are to load a model's newest
/// version now, with the version that each has: those that are too far
/// behind, and as many more as it takes for half to have it.
fn due<'a>(fleet: &'a Fleet, models: &Models, model: &str, version: u64) -> Vec<(u64, &'a str)> {
    let mut keepers = keepers(fleet, models, model);
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
pub fn is_due(domain: &str, models: &Models, fleet: &Fleet) -> bool {
    models.named.iter().any(|(model, version)| {
        let due = due(fleet, models, model, *version);
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
    /// The engine's start, as it was known: what it loads goes with it.
    #[serde(default)]
    pub born: Option<u64>,
}

#[derive(Clone, Debug)]
struct UnderWay {
    given_at: Time,
    born: Option<u64>,
    model: String,
    version: u64,
}

/// Orders under way in one failure domain.
#[derive(Clone, Debug, Default)]
pub struct State {
    under_way: BTreeMap<String, UnderWay>,
}

impl State {
    /// The orders to give now.
    pub fn step(
        &mut self,
        now: Time,
        domain: &str,
        models: &Models,
        fleet: &Fleet,
        sights: &Sights,
    ) -> Vec<Order> {
        let engines = fleet
            .targets
            .values()
            .filter(|target| target.said.domain == domain && !target.said.versions.is_empty());
        let at_once = engines.count().div_ceil(LOADING_PART);
        self.under_way.retain(|id, order| {
            let target = fleet.targets.get(id);
            let has = target.and_then(|target| target.said.versions.get(&order.model));
            let same_life = target.is_none_or(|target| target.said.born == order.born);
            same_life && has < Some(&order.version) && now.since(order.given_at) < ORDER_MS
        });
        let mut wanted = Vec::new();
        for (model, version) in &models.named {
            let crowd = models.crowd(fleet, &self.under_way, model);
            for (has, target) in due(fleet, models, model, *version) {
                let said = &fleet.targets[target].said;
                if said.domain != domain || self.under_way.contains_key(target) {
                    continue;
                }
                let behind = version - has;
                let load = sights.load_of(now, target) as u64;
                // By age alone, loads for models whose steps had places went
                // before those for which samples waited: 0.742 of the worth
                // was earned, in this order 0.754 (mean of 40 played days of three
                // trainers with faults, standard error 0.012).
                let first = (Reverse(crowd), Reverse(behind), load);
                wanted.push((first, target.to_owned(), model.clone(), *version));
            }
        }
        wanted.sort();
        let mut orders: Vec<Order> = Vec::new();
        for (_, target, model, version) in wanted {
            if self.under_way.len() >= at_once {
                break;
            }
            if orders.iter().all(|order| order.target != target) {
                let born = fleet.targets[&target].said.born;
                let order = UnderWay { given_at: now, born, model: model.clone(), version };
                self.under_way.insert(target.clone(), order);
                orders.push(Order { target, model, version, born });
            }
        }
        orders
    }

    /// Notes that an order was refused or got no answer: it is given again.
    pub fn failed(&mut self, target: &str) {
        self.under_way.remove(target);
    }
}

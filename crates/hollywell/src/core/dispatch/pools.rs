//! Assigns the samples of an open job to the pools of its route.
//!
//! The operator may move a route to another pool, split it between several, or
//! take all targets of a pool away while jobs are open, so the pool of a sample
//! that waits is decided anew each time it is considered. Groups are assigned,
//! not samples, because the samples of a group share their prompt. Weighted
//! rendezvous hashing gives all instances the same answer, and a pool that
//! comes or goes changes only the groups that it must.

use super::{JobSpec, State};
use crate::core::fleet::{Fleet, Target};

/// The pools that may run a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    /// Their names and weights.
    all: Vec<(String, u32)>,
    /// Which of them have a target that can run the job now.
    usable: Vec<bool>,
}

impl Pools {
    pub(super) fn new(pools: &[(String, u32)]) -> Pools {
        Pools { all: pools.to_vec(), usable: vec![true; pools.len()] }
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        self.all.iter().map(|(pool, _)| pool.as_str())
    }

    pub(super) fn contains(&self, pool: &str) -> bool {
        self.names().any(|name| name == pool)
    }

    /// Finds out which pools have a target that can run the job.
    fn refresh(&mut self, spec: &JobSpec, fleet: &Fleet) {
        if self.all.len() < 2 {
            return;
        }
        let can_run = |target: &Target| target.may_run(&spec.model, spec.min_version);
        let is_usable = |(pool, _): &(String, u32)| fleet.usable(pool).any(can_run);
        self.usable = self.all.iter().map(is_usable).collect();
    }

    /// The pool of a group: in proportion to the weights, of those that can run
    /// the job. Empty if there is no pool.
    pub(super) fn of(&self, job: &str, group: &str) -> &str {
        let [(only, _)] = self.all.as_slice() else {
            let any_usable = self.usable.contains(&true);
            let pools = self.all.iter().zip(&self.usable);
            let pools = pools.filter(|(_, is_usable)| **is_usable || !any_usable);
            let cost = |(pool, weight): &(String, u32)| {
                -uniform(job, group, pool).ln() / f64::from((*weight).max(1))
            };
            let cheapest = pools.min_by(|a, b| cost(a.0).total_cmp(&cost(b.0)));
            return cheapest.map_or("", |((pool, _), _)| pool.as_str());
        };
        only
    }
}

/// A number in (0, 1) that depends on the names only.
fn uniform(job: &str, group: &str, pool: &str) -> f64 {
    let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
    for part in [job, "|", group, "|", pool] {
        hash.update(part.as_bytes());
    }
    const BITS: u32 = 53;
    ((hash.digest() >> (u64::BITS - BITS)) as f64 + 0.5) / (1_u64 << BITS) as f64
}

impl State {
    /// An open job, with its route as last stated.
    #[must_use]
    pub fn job(&self, job: &str) -> Option<&JobSpec> {
        self.jobs.get(job).map(|active| &active.spec)
    }

    /// The open jobs, with their routes as last stated.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobSpec> {
        self.jobs.values().map(|active| &active.spec)
    }

    /// Sets the pools of a job, and what its route asks of texts. What runs stays
    /// where it runs.
    pub(super) fn set_route(&mut self, job: &str, pools: &[(String, u32)], single_version: bool) {
        let Some(active) = self.jobs.get_mut(job) else {
            return;
        };
        active.spec.texts.single_version = single_version;
        if active.spec.pools == pools {
            return;
        }
        active.pools = Pools::new(pools);
        active.spec.pools = pools.to_vec();
        active.localities.retain(|pool, _| active.pools.contains(pool));
        self.demand.expire();
    }

    /// Finds out, for each job, which of its pools can run it.
    pub(super) fn refresh_pools(&mut self, fleet: &Fleet) {
        for active in self.jobs.values_mut() {
            active.pools.refresh(&active.spec, fleet);
        }
    }
}

//! Selects the targets of a large pool that one instance considers for a job's
//! samples.
//!
//! Examining thousands of targets for each sample, and for each run at each
//! tick, takes a small instance more time than it has. So each instance
//! considers a few dozen that can run the job: first those of its own failure
//! domain, since traffic between domains is expensive, and among equals those
//! with the lowest hash of both names. The hash spreads the instances evenly
//! over the targets, and a change of targets or instances changes few
//! selections. Targets that are avoided are left out while there are others, so
//! that those of a lost domain are replaced.

use super::JobSpec;
use crate::core::{
    choice::Observations,
    fleet::{Announcement, Fleet, Target},
    time::Time,
};

/// Number of targets up to which all are considered, and minimum size of the
/// selection from more: with six slots each, more than the samples of a dozen
/// groups need.
const MIN_SELECTION: usize = 64;
/// How long a selection is kept, in milliseconds: an engine that has loaded a
/// version should be found soon.
const REFRESH_MS: u64 = 500;
/// How long a selection is kept once none of its targets had a free slot, in
/// milliseconds.
const REFRESH_EXHAUSTED_MS: u64 = 100;
/// Targets selected per sample of the job that this instance runs.
const TARGETS_PER_SAMPLE: usize = 4;

/// The targets of one pool that are selected for a job.
#[derive(Clone, Debug)]
pub(super) struct Locality {
    selected_at: Option<Time>,
    ids: Vec<String>,
    exhausted: bool,
}

/// The instance that selects.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selector<'a> {
    /// Hash of the instance's name.
    pub salt: u64,
    /// The instance's failure domain.
    pub domain: &'a str,
    /// Number of samples of the job that the instance runs.
    pub samples: usize,
}

impl Locality {
    pub(super) const fn new() -> Locality {
        Locality { selected_at: None, ids: Vec::new(), exhausted: false }
    }

    /// Records that no selected target had a free slot.
    pub(super) fn mark_exhausted(&mut self) {
        self.exhausted = true;
    }

    /// Selects again, if the current selection has expired.
    pub(super) fn refresh(
        &mut self,
        now: Time,
        selector: Selector<'_>,
        (pool, spec): (&str, &JobSpec),
        fleet: &Fleet,
        observations: &Observations,
    ) {
        let refresh_ms = if self.exhausted { REFRESH_EXHAUSTED_MS } else { REFRESH_MS };
        let is_current = self.selected_at.is_some_and(|at| now.since(at) < refresh_ms);
        if is_current || is_small(fleet) {
            return;
        }
        let is_suitable = |target: &&Target| target.may_run(&spec.model, spec.min_version);
        let is_avoided = |target: &Target| observations.is_avoided(now, &target.announcement.id);
        let rank = |target: &Target| {
            let id = target.announcement.id.as_bytes();
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id, selector.salt);
            (is_avoided(target), target.announcement.domain != selector.domain, hash)
        };
        let all = fleet.usable(pool).filter(is_suitable);
        let mut all: Vec<_> = all.map(|target| (rank(target), &target.announcement.id)).collect();
        let limit = MIN_SELECTION.max(selector.samples * TARGETS_PER_SAMPLE);
        if all.len() > limit {
            all.select_nth_unstable(limit);
            all.truncate(limit);
        }
        // Those that are avoided are of use only where there is no other.
        if all.iter().any(|((is_avoided, ..), _)| !is_avoided) {
            all.retain(|((is_avoided, ..), _)| !is_avoided);
        }
        self.ids = all.into_iter().map(|(_, id)| id.clone()).collect();
        (self.selected_at, self.exhausted) = (Some(now), false);
    }

    /// The targets of a pool to consider for a job's samples.
    pub(super) fn targets<'a>(
        &self,
        pool: &'a str,
        spec: &JobSpec,
        fleet: &'a Fleet,
    ) -> Vec<&'a Announcement> {
        let is_suitable = |target: &&Target| target.may_run(&spec.model, spec.min_version);
        if is_small(fleet) {
            return fleet
                .usable(pool)
                .filter(is_suitable)
                .map(|target| &target.announcement)
                .collect();
        }
        let selected = self.ids.iter().filter_map(|id| fleet.targets.get(id));
        let is_usable =
            |target: &&Target| target.announcement.pool == pool && fleet.accepts(target);
        selected.filter(is_usable).filter(is_suitable).map(|target| &target.announcement).collect()
    }
}

/// Whether there are so few targets that all are considered.
pub(super) fn is_small(fleet: &Fleet) -> bool {
    fleet.targets.len() <= MIN_SELECTION
}

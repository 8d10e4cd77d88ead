//! Which targets of a large pool one instance looks at for a job's samples.
//!
//! Answers the load of a pool of thousands: to look at all of them for each
//! sample, and for each run at each tick, takes a small instance more time than
//! it has. So each looks at some dozens that can run the job: those of its own
//! failure domain first, since bytes between domains are dear, and among equals
//! those that a hash of both names picks. That spreads the instances evenly, and
//! a change of targets or instances changes few of anybody's. Targets that are
//! avoided are left out, so that a lost domain's are replaced by others.

use super::Work;
use crate::core::{
    choice::Observations,
    fleet::{Announcement, Fleet, Target},
    time::Time,
};

/// Targets up to which all are looked at, and how many at least of more: with
/// six places each, more than the samples of a dozen groups.
const FEW: usize = 64;
/// How long the targets are kept that were picked, in milliseconds: an engine
/// that has loaded a version should be found soon.
const KEEP_MS: u64 = 500;
/// The same once none of them had a place.
const KEEP_DRY_MS: u64 = 100;
/// Targets for each sample of a job that this instance runs.
const EACH: usize = 4;

/// The targets picked for a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Locality {
    picked_at: Option<Time>,
    ids: Vec<String>,
    is_dry: bool,
}

/// Who picks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Who<'a> {
    /// A hash of its name.
    pub salt: u64,
    /// Its failure domain.
    pub domain: &'a str,
    /// Samples of the job that it runs.
    pub samples: usize,
}

impl Locality {
    /// Notes that no target picked had a place.
    pub(super) fn ran_dry(&mut self) {
        self.is_dry = true;
    }

    /// Picks anew, if that is due.
    pub(super) fn renew(
        &mut self,
        now: Time,
        who: Who<'_>,
        work: &Work,
        fleet: &Fleet,
        observations: &Observations,
    ) {
        let keep_ms = if self.is_dry { KEEP_DRY_MS } else { KEEP_MS };
        let is_kept = self.picked_at.is_some_and(|at| now.since(at) < keep_ms);
        if is_kept || is_small(fleet) {
            return;
        }
        let is_fit = |target: &&Target| {
            target.may_run(&work.model, work.min_version)
                && !observations.is_avoided(now, &target.announcement.id)
        };
        let rank = |target: &Target| {
            let id = target.announcement.id.as_bytes();
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id, who.salt);
            (target.announcement.domain != who.domain, hash)
        };
        let all = fleet.usable(&work.pool).filter(is_fit);
        let mut all: Vec<_> = all.map(|target| (rank(target), &target.announcement.id)).collect();
        let most = FEW.max(who.samples * EACH);
        if all.len() > most {
            all.select_nth_unstable(most);
            all.truncate(most);
        }
        self.ids = all.into_iter().map(|(_, id)| id.clone()).collect();
        (self.picked_at, self.is_dry) = (Some(now), false);
    }

    /// The targets to look at for a job's samples.
    pub(super) fn targets<'a>(&self, work: &'a Work, fleet: &'a Fleet) -> Vec<&'a Announcement> {
        let is_fit = |target: &&Target| target.may_run(&work.model, work.min_version);
        if is_small(fleet) {
            return fleet
                .usable(&work.pool)
                .filter(is_fit)
                .map(|target| &target.announcement)
                .collect();
        }
        let picked = self.ids.iter().filter_map(|id| fleet.targets.get(id));
        let is_usable =
            |target: &&Target| target.announcement.pool == work.pool && fleet.accepts(target);
        picked.filter(is_usable).filter(is_fit).map(|target| &target.announcement).collect()
    }
}

/// Whether there are so few targets that all are looked at.
pub(super) fn is_small(fleet: &Fleet) -> bool {
    fleet.targets.len() <= FEW
}

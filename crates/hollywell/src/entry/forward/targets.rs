//! Chooses the targets of plain requests.

use crate::{
    core::{admission, choice::Need, configuration::Route, fleet::Announcement},
    entry::{shared::Shared, suspects},
};

/// Limit on the requests at a target, as a multiple of its slots. Plain
/// services reject requests that they cannot start soon.
const MAX_LOAD: f64 = 3.0;

/// The state of a route's targets when none of them can take a request, as
/// input to admission control.
pub(super) fn situation(
    shared: &Shared,
    route: &Route,
    salt: u64,
    left_ms: u64,
) -> admission::Situation {
    let control = shared.control.borrow();
    let pool = pick_pool(route, salt).unwrap_or("");
    let usable = || control.fleet.usable(pool).map(|target| target.announcement.id.as_str());
    let answers = usable().filter_map(|id| control.observations.get(id)?.answer_ms);
    let usual_ms = answers.min_by(f64::total_cmp).map(|ms| ms as u64);
    admission::Situation {
        known: control.fleet_loaded,
        usable: usable().count(),
        usual_ms,
        left_ms,
    }
}

pub(super) fn choose_target(
    shared: &Shared,
    route: &Route,
    tried: &[String],
    salt: u64,
) -> Option<Announcement> {
    let control = shared.control.borrow();
    let pool = pick_pool(route, salt)?;
    let now = shared.now();
    let all = || control.fleet.usable(pool).map(|target| &target.announcement);
    let reserved = suspects::reserved_target(shared, pool);
    let is_reserved = |target: &Announcement| reserved.as_ref() == Some(&target.id);
    let fresh = all().filter(|target| !tried.contains(&target.id) && !is_reserved(target));
    // Instances without any load figures must not all choose the same target.
    let own = xxhash_rust::xxh3::xxh3_64(shared.instance_id.as_bytes());
    let salt = own ^ salt.wrapping_add(tried.len() as u64);
    let need = Need { events: 1.0, max_load: MAX_LOAD, instances: 1.0, salt };
    let choice = control.observations.choose(now, fresh, need);
    // If every target was tried or is avoided, retry one that was tried
    // before rather than let the deadline pass.
    let choice = choice.or_else(|| {
        let times = |target: &&Announcement| tried.iter().filter(|id| **id == target.id).count();
        let usable =
            all().filter(|target| control.observations.load_of(now, target) < capacity(target));
        usable.min_by_key(times)
    });
    choice.cloned()
}

/// The target for a second send of a request that `tried` and `first` got: one
/// that may answer before `first` does, and never one of them.
pub(super) fn choose_second(
    shared: &Shared,
    first: &Announcement,
    tried: &[String],
    salt: u64,
) -> Option<Announcement> {
    let control = shared.control.borrow();
    let (now, pool) = (shared.now(), first.pool.as_str());
    let reserved = suspects::reserved_target(shared, pool);
    let is_fresh = |target: &&Announcement| {
        target.id != first.id
            && !tried.contains(&target.id)
            && reserved.as_ref() != Some(&target.id)
    };
    let all = control.fleet.usable(pool).map(|target| &target.announcement);
    let fresh = all.filter(is_fresh).filter(|target| control.hedges.may_win(now, pool, &target.id));
    let own = xxhash_rust::xxh3::xxh3_64(shared.instance_id.as_bytes());
    let need = Need { events: 1.0, max_load: MAX_LOAD, instances: 1.0, salt: own ^ salt };
    control.observations.choose(now, fresh, need).cloned()
}

/// Whether a target is below its load limit.
pub(super) fn has_capacity(shared: &Shared, target: &Announcement) -> bool {
    let control = shared.control.borrow();
    control.observations.load_of(shared.now(), target) < capacity(target)
}

/// The number of requests at which a target counts as full.
fn capacity(target: &Announcement) -> f64 {
    f64::from(target.slots.max(1)) * MAX_LOAD
}

/// Picks a pool of the route in proportion to the pools' weights.
pub(super) fn pick_pool(route: &Route, salt: u64) -> Option<&str> {
    let total: u64 = route.pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return route.pools.first().map(|(pool, _)| pool.as_str());
    }
    let mut at = xxhash_rust::xxh3::xxh3_64(&salt.to_le_bytes()) % total;
    for (pool, weight) in &route.pools {
        if at < u64::from(*weight) {
            return Some(pool);
        }
        at -= u64::from(*weight);
    }
    None
}

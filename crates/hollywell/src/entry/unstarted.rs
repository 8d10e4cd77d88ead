//! Detects accepted jobs that no instance starts.
//!
//! An instance that accepts a job promises its results, but other instances may
//! have to run it. If nothing starts, whatever the cause, this is reported in
//! the log and in a metric of the instance that accepted the job.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    core::{configuration::Route, fleet::Target},
    entry::shared::Shared,
};

/// Time within which an accepted job starts: normally its samples are read, sent
/// and mostly complete by then.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Number of checks, one per interval.
const CHECKS: u32 = 4;

/// Why a job has not started, as far as this instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// This instance has not read the job's metadata from the store.
    Unread,
    /// The state of its partition is out of date.
    Stale,
    /// No instance is known, so the job has no owner.
    NoInstances,
    /// The configuration has no route for it.
    Unrouted,
    /// No target can run its samples.
    NoTarget,
    /// The owners of its samples have not started them.
    OwnerIdle,
}

impl Reason {
    const fn as_str(self) -> &'static str {
        match self {
            Reason::Unread => "unread",
            Reason::Stale => "stale",
            Reason::NoInstances => "alone",
            Reason::Unrouted => "unrouted",
            Reason::NoTarget => "no_target",
            Reason::OwnerIdle => "waits",
        }
    }
}

/// Checks whether a job that was accepted here starts.
pub(super) async fn watch(shared: Rc<Shared>, part: usize, job: String) {
    let mut elapsed = Duration::ZERO;
    for _ in 0..CHECKS {
        sleep(CHECK_INTERVAL).await;
        elapsed += CHECK_INTERVAL;
        let Some(reason) = unstarted(&shared, part, &job) else {
            return;
        };
        shared.meters.unstarted_jobs.with_label_values(&[reason.as_str()]).inc();
        log::warn!(
            "job {job}: nothing has begun {elapsed:?} after its acceptance: {}",
            reason.as_str()
        );
    }
}

/// Why a job has not started; `None` if it has, or was ended.
fn unstarted(shared: &Shared, part: usize, id: &str) -> Option<Reason> {
    let now = shared.now();
    let control = shared.control.borrow();
    let partition = &control.partitions[part];
    let Some(job) = partition.index.jobs.get(id) else {
        return (!control.is_end_pending(part, id)).then_some(Reason::Unread);
    };
    let is_running_here = control.partial_texts.keys().any(|slot| slot.job == id);
    if job.ended || is_running_here || !job.results.is_empty() || !job.partials.is_empty() {
        return None;
    }
    let configuration = control.configuration.as_ref();
    let route = configuration
        .and_then(|configuration| configuration.route(&job.manifest.host, &job.manifest.path));
    let pools = route.map(Route::used_pools).filter(|pools| !pools.is_empty());
    let Some(pools) = pools else {
        return Some(Reason::Unrouted);
    };
    if control.is_stale(now, part) {
        return Some(Reason::Stale);
    }
    if control.roster.members().is_empty() {
        return Some(Reason::NoInstances);
    }
    let can_run = |target: &Target| target.may_run(&job.manifest.model, job.manifest.min_version);
    let is_served = pools.iter().any(|(pool, _)| control.fleet.usable(pool).any(can_run));
    Some(if is_served { Reason::OwnerIdle } else { Reason::NoTarget })
}

//! Jobs that were accepted and that nobody begins.
//!
//! Whoever accepted a job has promised its results, and any other instance
//! may be the one that is to run it. That nothing begins must be seen where it
//! was promised, whatever the cause: in the log and in a metric.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{core::fleet::Target, entry::shared::Shared};

/// Time in which a job that was accepted begins: its samples are read, sent
/// and mostly whole by then.
const WITHIN: Duration = Duration::from_secs(2);
/// Looks after that, each as long after the one before.
const LOOKS: u32 = 4;

/// Reason nothing of a job is known to have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Its own acceptance was not read here.
    Unread,
    /// What is known of its partition is out of date.
    Stale,
    /// No instance is known, so that nobody owns anything.
    NoInstances,
    /// Its route is in no configuration that is known here.
    Unrouted,
    /// No target may take its samples.
    NoTarget,
    /// Its owners have not begun.
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

/// Looks whether a job that was accepted here begins.
pub(super) async fn watch(shared: Rc<Shared>, part: usize, job: String) {
    let mut since = Duration::ZERO;
    for _ in 0..LOOKS {
        sleep(WITHIN).await;
        since += WITHIN;
        let Some(why) = unstarted(&shared, part, &job) else {
            return;
        };
        shared.meters.unstarted_jobs.with_label_values(&[why.as_str()]).inc();
        log::warn!("job {job}: nothing has begun {since:?} after its acceptance: {}", why.as_str());
    }
}

/// Reason nothing of a job has begun; `None` if something has, or it was ended.
fn unstarted(shared: &Shared, part: usize, id: &str) -> Option<Reason> {
    let now = shared.now();
    let control = shared.control.borrow();
    let partition = &control.partitions[part];
    let Some(job) = partition.index.jobs.get(id) else {
        return (!control.ending.holds(id)).then_some(Reason::Unread);
    };
    let is_here = control.partial_texts.keys().any(|slot| slot.job == id);
    if job.ended || is_here || !job.listed.is_empty() || !job.partials.is_empty() {
        return None;
    }
    let plan = control.configuration.as_ref();
    let route = plan.and_then(|plan| plan.route(&job.head.host, &job.head.path));
    let pool = route.and_then(|route| route.pools.first());
    let Some((pool, _)) = pool else {
        return Some(Reason::Unrouted);
    };
    if control.is_stale(now, part) {
        return Some(Reason::Stale);
    }
    if control.roster.members().is_empty() {
        return Some(Reason::NoInstances);
    }
    let fits = |target: &Target| target.may_run(&job.head.model, job.head.min_version);
    let is_served = control.fleet.usable(pool).any(fits);
    Some(if is_served { Reason::OwnerIdle } else { Reason::NoTarget })
}

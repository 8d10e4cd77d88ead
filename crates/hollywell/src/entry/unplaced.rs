//! Log lines that tell, from a sample's id alone, whose turn it is to run the
//! sample and why it is at no target.

use crate::{
    core::{dispatch::Cause, time::Time},
    entry::shared::Shared,
};

/// Maximum number of samples named in one line.
const MAX_SAMPLES: usize = 32;

/// Logs which samples of a job have been at no target for a while.
pub(super) fn log_unplaced(shared: &Shared, job: &str, cause: &Cause, samples: &[(usize, Time)]) {
    let now = shared.now();
    let list = |(at, since): &(usize, Time)| {
        format!("{at} ({}) for {} ms", sample_id(shared, job, *at), now.since(*since))
    };
    for samples in samples.chunks(MAX_SAMPLES) {
        let samples: Vec<String> = samples.iter().map(list).collect();
        log::info!("job {job}: at no target, {cause:?}: {}", samples.join(", "));
    }
}

/// Logs which instance runs samples of a job from now on, and which did before.
pub(super) fn log_reassigned(
    shared: &Shared,
    job: &str,
    (from, to): (Option<&str>, Option<&str>),
    samples: &[usize],
) {
    let list = |at: &usize| format!("{at} ({})", sample_id(shared, job, *at));
    let from = from.map(|from| format!(", before by {from}")).unwrap_or_default();
    let to = to.unwrap_or("no instance");
    for samples in samples.chunks(MAX_SAMPLES) {
        let samples: Vec<String> = samples.iter().map(list).collect();
        log::info!("job {job}: run by {to}{from}: {}", samples.join(", "));
    }
}

/// The request id of a sample.
fn sample_id(shared: &Shared, job: &str, at: usize) -> String {
    let control = shared.control.borrow();
    let job = control.partitions[shared.partition_of(job)].index.jobs.get(job);
    let sample = job.and_then(|job| job.manifest.samples.get(at));
    sample.map(|sample| sample.id.clone()).unwrap_or_default()
}

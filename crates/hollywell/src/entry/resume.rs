//! Samples that an earlier step asked for and a later one asks for again.
//!
//! The trainer waits for all of them, so they go first, and what was
//! generated of their text is used where its versions still fit.

use crate::{
    core::{
        batch::{Manifest, Partial},
        dispatch::SampleSpec,
    },
    entry::shared::JobPartition,
};

/// Steps after which unfinished texts are of no use: trainers ask again at
/// once or not at all.
const STEPS: u64 = 3;

/// The samples of a job that is opened, as they are run. Unfinished texts of
/// earlier steps are handed to the job; old ones are dropped.
pub fn items(
    partitions: &mut [JobPartition],
    part: usize,
    job: &str,
    head: &Manifest,
) -> Vec<SampleSpec> {
    forget(partitions, head);
    let mut items = Vec::new();
    for (at, sample) in head.samples.iter().enumerate() {
        let earlier = earlier(partitions, job, &sample.id);
        let carried = earlier.is_some();
        let text = earlier.flatten().filter(|text| text.is_allowed(head.min_version));
        if let (Some(text), Some(job)) = (text, partitions[part].index.jobs.get_mut(job))
            && !job.done[at]
        {
            job.partials.entry(at).or_insert(text);
        }
        let (group, tokens) = (sample.group.clone(), sample.tokens);
        items.push(SampleSpec { group, tokens, carried });
    }
    items
}

/// Whether another job has the sample, and what is kept of its text there.
fn earlier(partitions: &[JobPartition], job: &str, sample: &str) -> Option<Option<Partial>> {
    let jobs = partitions.iter().flat_map(|partition| &partition.index.jobs);
    let mut found = None;
    for (_, other) in jobs.filter(|(id, _)| *id != job) {
        if let Some(at) = other.index.get(sample) {
            let text = other.partials.get(at).cloned();
            found = Some(found.flatten().or(text));
        }
    }
    found
}

fn forget(partitions: &mut [JobPartition], head: &Manifest) {
    let jobs = partitions.iter_mut().flat_map(|partition| partition.index.jobs.values_mut());
    for job in jobs {
        let old = job.manifest.model == head.model && job.manifest.step + STEPS < head.step;
        if old {
            job.partials.clear();
        }
    }
}

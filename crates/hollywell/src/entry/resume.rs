//! Resumes samples that an earlier step requested and a later one requests
//! again.
//!
//! The trainer waits for all of them, so they run first. The partial text of an
//! earlier step is reused if the versions that generated it are still allowed.

use crate::{
    core::{
        batch::{Manifest, Partial},
        dispatch::{SampleSpec, Size},
    },
    entry::shared::JobPartition,
};

/// Steps after which partial texts are discarded: trainers request a sample
/// again in the next step or not at all.
const MAX_STEPS: u64 = 3;

/// The work items of a job that is opened. Moves partial texts of earlier steps
/// to the job and discards outdated ones.
pub fn items(
    partitions: &mut [JobPartition],
    part: usize,
    job: &str,
    manifest: &Manifest,
) -> Vec<SampleSpec> {
    discard_outdated(partitions, manifest);
    let mut items = Vec::new();
    for (at, sample) in manifest.samples.iter().enumerate() {
        let earlier = find_earlier(partitions, job, &sample.id);
        let resumed = earlier.is_some();
        let text = earlier.flatten().filter(|text| text.is_allowed(manifest.min_version));
        if let (Some(text), Some(job)) = (text, partitions[part].index.jobs.get_mut(job))
            && !job.done[at]
        {
            job.partials.entry(at).or_insert(text);
        }
        let (group, tokens) = (sample.group.clone(), sample.tokens);
        let size = Size {
            prompt: sample.prompt_tokens,
            shared: sample.shared_tokens,
            limit: sample.max_tokens,
        };
        items.push(SampleSpec { group, tokens, size, resumed });
    }
    items
}

/// Finds a sample in other jobs; with its partial text there, if any.
fn find_earlier(partitions: &[JobPartition], job: &str, sample: &str) -> Option<Option<Partial>> {
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

fn discard_outdated(partitions: &mut [JobPartition], manifest: &Manifest) {
    let jobs = partitions.iter_mut().flat_map(|partition| partition.index.jobs.values_mut());
    for job in jobs {
        let is_outdated =
            job.manifest.model == manifest.model && job.manifest.step + MAX_STEPS < manifest.step;
        if is_outdated {
            job.partials.clear();
        }
    }
}

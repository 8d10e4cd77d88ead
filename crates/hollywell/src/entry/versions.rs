//! The rule on versions of the weights that applies to a sample now, and the
//! texts that it concerns. The rule itself is [`crate::core::versions`].

use std::rc::Rc;

use crate::{
    core::{
        batch::Partial,
        configuration::RouteKind,
        dispatch::{Event, SampleId},
        fleet::Announcement,
        versions::Rule,
    },
    entry::shared::{Control, Shared},
};

/// The rule for a job's texts, by the configuration in force. A job whose route
/// is gone keeps the last one.
#[must_use]
pub fn rule(shared: &Shared, control: &Control, job: &str) -> Rule {
    let index = &control.partitions[shared.partition_of(job)].index;
    let Some(manifest) = index.jobs.get(job).map(|job| &job.manifest) else {
        return Rule::default();
    };
    let configuration = control.configuration.as_ref();
    let route = configuration
        .and_then(|configuration| configuration.route(&manifest.host, &manifest.path))
        .filter(|route| route.kind == RouteKind::Batch);
    let single_version = route.map_or_else(
        || control.dispatch.job(job).is_some_and(|spec| spec.texts.single_version),
        |route| route.single_version,
    );
    Rule { min_version: manifest.min_version, single_version }
}

/// The version of a job's model that a target is known to have.
#[must_use]
pub fn of_target(
    shared: &Shared,
    control: &Control,
    job: &str,
    target: &Announcement,
) -> Option<u64> {
    let index = &control.partitions[shared.partition_of(job)].index;
    let model = &index.jobs.get(job)?.manifest.model;
    let known = control.fleet.targets.get(&target.id).map(|target| &target.announcement);
    known.unwrap_or(target).versions.get(model).copied()
}

/// The version of a stored text, if it is only one.
#[must_use]
pub fn of_partial(partial: &Partial) -> Option<u64> {
    let [version] = partial.versions.as_slice() else {
        return None;
    };
    Some(*version)
}

/// Tells the reducer which version generated a sample's text, in memory or, if
/// that one is longer and may be continued, in the store.
pub fn report_text(shared: &Rc<Shared>, sample_id: &SampleId) {
    let version = {
        let control = shared.control.borrow();
        let text = control.partial_texts.get(sample_id);
        let in_memory = text.map_or(0, |text| text.last_event);
        let index = &control.partitions[shared.partition_of(&sample_id.job)].index;
        let stored = index.jobs.get(&sample_id.job).and_then(|job| {
            let stored = job.partials.get(&sample_id.index)?;
            let rule = rule(shared, &control, &sample_id.job);
            let is_better = stored.last > in_memory && rule.allows(stored.versions.iter().copied());
            is_better.then(|| of_partial(stored))
        });
        let own = || text.filter(|text| text.versions.len() == 1)?.versions.first().copied();
        stored.unwrap_or_else(own)
    };
    shared.handle_event(&Event::TextVersion { sample_id: sample_id.clone(), version });
}

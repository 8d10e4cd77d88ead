//! Admission of jobs by the work that was accepted before, by the rules of
//! [`crate::core::backlog`].

use crate::{
    core::{
        backlog::{Decision, Supply, Work, decide},
        batch::Submission,
        configuration::RouteKind,
        dispatch::TOKENS_PER_EVENT,
        fleet::Target,
        share::Quorum,
    },
    entry::{caller::Caller, shared::Shared},
};

/// Decides whether a job may be accepted. Only routes that state when results
/// are due reject any.
///
/// # Errors
///
/// When the caller may come back, in milliseconds, if the job would be late.
pub(super) fn admit(
    shared: &Shared,
    caller: &Caller,
    job: &str,
    (host, path): (&str, &str),
    submission: &Submission,
) -> Result<(), u64> {
    let now = shared.now();
    let control = shared.control.borrow();
    let Some(configuration) = &control.configuration else {
        return Ok(());
    };
    let route = configuration.route(host, path).filter(|route| route.kind == RouteKind::Batch);
    let Some(route) = route else {
        return Ok(());
    };
    let pools = route.used_pools();
    if pools.is_empty() {
        return Ok(());
    }
    let organisation = caller.organisation();
    let directory = configuration.organisations.as_ref();
    let priority = directory.and_then(|directory| directory.priority(organisation));
    let samples = &submission.samples;
    let groups = samples.iter().map(|item| (item.group.as_str(), item.tokens_hint, false, false));
    let count = usize::try_from(submission.groups_wanted).unwrap_or(usize::MAX);
    let quorum = Quorum::new(count, groups);
    let wanted = samples.iter().enumerate().filter(|(at, _)| quorum.wants(*at));
    let own = Work {
        organisation,
        priority: priority.unwrap_or(route.priority),
        due: (route.due_ms > 0).then(|| now.after(route.due_ms)),
        samples: samples.len(),
        tokens: quorum.tokens_left(),
        longest: wanted.map(|(_, item)| item.tokens_hint).max().unwrap_or(0),
    };
    let holds_model =
        |target: &&Target| target.announcement.versions.contains_key(&submission.model);
    let all = || pools.iter().flat_map(|(pool, _)| control.fleet.usable(pool));
    let targets = || all().filter(holds_model);
    let load = |target: &Target| {
        let slots = f64::from(target.announcement.slots);
        control.observations.load_of(now, &target.announcement).min(slots)
    };
    let supply = Supply {
        places: targets().map(|target| target.announcement.slots).fold(0, u32::saturating_add),
        taken: targets().map(load).sum(),
        token_ms: control.observations.median_pace().map(|pace| pace / TOKENS_PER_EVENT),
    };
    let accepted = control.dispatch.accepted_work(&pools);
    match decide(now, &own, &accepted, supply) {
        Decision::Accept => Ok(()),
        Decision::Reject { complete_ms, retry_after_ms } => {
            log::info!(
                "job {job} refused: it would be complete in {complete_ms} ms and is due in {} ms; \
                 {} jobs with {} tokens are accepted, {:.0} of {} places are taken; \
                 come back in {retry_after_ms} ms",
                route.due_ms,
                accepted.len(),
                accepted.iter().map(|work| work.tokens).sum::<u64>(),
                supply.taken,
                supply.places,
            );
            shared.meters.late_jobs.inc();
            Err(retry_after_ms)
        }
    }
}

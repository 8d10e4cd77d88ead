//! Starts waiting samples: in which order they are considered, and where each
//! of them runs.

use std::collections::BTreeSet;

use super::{
    Effect, Progress, Run, Running, SampleId, SampleSpec, Stage, State, TOKENS_PER_EVENT, Wait,
    locality::Selector,
    place::{self, Request},
};
use crate::core::{
    choice::{Need, Observations},
    fleet::Fleet,
    time::Time,
};

/// Highest load at which requests are still sent to a target: requests of all
/// instances per slot. Above it a sample waits in this instance, where it can
/// still go to whichever target has a free slot first.
const MAX_LOAD: f64 = 1.6;

/// Priority of all samples at targets whose memory is stated. A target preempts
/// a request for a more urgent one, which is then the only thing that its
/// priority decides: which sample goes first is decided here, and the queues at
/// targets are short.
const EQUAL: u8 = 6;

impl State {
    /// Starts as many waiting samples as the targets have capacity for.
    pub(super) fn start_samples(
        &mut self,
        now: Time,
        fleet: &Fleet,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) {
        let salt = xxhash_rust::xxh3::xxh3_64(self.own_id.as_bytes());
        // Jobs whose targets have no capacity left.
        let mut exhausted: BTreeSet<String> = BTreeSet::new();
        self.count_demand(now, fleet);
        self.count_running();
        for sample_id in self.waiting(now) {
            if exhausted.contains(&sample_id.job) {
                continue;
            }
            let members = self.members.len() as f64;
            let Some(active) = self.jobs.get_mut(&sample_id.job) else {
                continue;
            };
            let samples = active.progress.iter().filter(|progress| progress.assigned).count();
            let selector = Selector { salt, domain: &self.domain, samples };
            active.locality.refresh(now, selector, &active.spec, fleet, observations);
            let spec = &active.spec;
            let item = &spec.samples[sample_id.index];
            let need = Need {
                events: f64::from(item.tokens) / TOKENS_PER_EVENT,
                max_load: MAX_LOAD,
                instances: members,
                salt: salt ^ self.next_run,
            };
            let targets = active.locality.targets(spec, fleet);
            let memory = fleet.memory_of(&spec.pool);
            let tokens = memory
                .map(|memory| place::tokens(item, active.progress[sample_id.index].events, memory));
            let chosen = match memory.zip(tokens) {
                None => observations.choose(now, targets.into_iter(), need).ok_or(Wait::Places),
                Some((memory, tokens)) => {
                    let (model, group) = (&spec.model, &item.group);
                    let request = Request { salt, job: &sample_id.job, model, group, tokens, need };
                    self.demand.choose(now, &self.room, targets, observations, (&request, memory))
                }
            };
            let target = match chosen {
                Ok(target) => target,
                Err(why) => {
                    active.locality.mark_exhausted();
                    if memory.is_some() && active.waits.replace(why) != Some(why) {
                        effects.push(Effect::Waits { sample_id: sample_id.clone(), why });
                    }
                    exhausted.insert(sample_id.job);
                    continue;
                }
            };
            active.waits = None;
            let run = Run(self.next_run);
            self.next_run += 1;
            active.progress[sample_id.index].stage = Stage::Running(run);
            observations.request_started(&target.id);
            if let Some(tokens) = tokens {
                self.room.started(run, &target.id, &item.group, tokens);
                self.demand.started(&sample_id.job, &target.id);
            }
            let running = Running {
                sample_id: sample_id.clone(),
                target: target.id.clone(),
                start_ms: target.start_ms,
                answered: false,
                last_event_at: now,
                events: 0,
            };
            self.runs.insert(run, running);
            let longest = spec.samples.iter().map(|item| item.tokens).max().unwrap_or(1);
            // Among samples of equal priority none preempts another.
            let priority = if memory.is_some() { EQUAL } else { priority(item, longest) };
            effects.push(Effect::Start { run, sample_id, target: target.id.clone(), priority });
        }
    }

    /// The samples that this instance could start now, in the order in which
    /// they are started: jobs by arrival, and each job's samples in its order.
    fn waiting(&self, now: Time) -> Vec<SampleId> {
        let is_due = |progress: &Progress| {
            progress.assigned && progress.stage == Stage::Idle && now >= progress.not_before
        };
        let mut waiting = Vec::new();
        for job in &self.arrival {
            let Some(active) = self.jobs.get(job) else {
                continue;
            };
            if self.stale.contains(&active.spec.part) {
                continue;
            }
            let due = active.order.iter().filter(|at| is_due(&active.progress[**at]));
            waiting.extend(due.map(|at| SampleId { job: job.clone(), index: *at }));
        }
        waiting
    }
}

/// Priority of a sample at a target, 4 to 8: resumed samples first, then the
/// longer the sample, the higher its priority. Live traffic has priority over
/// all samples.
fn priority(item: &SampleSpec, longest: u32) -> u8 {
    const FIRST: u64 = 4;
    const STEPS: u64 = 4;
    if item.resumed {
        return FIRST as u8;
    }
    let share = u64::from(item.tokens) * STEPS / u64::from(longest.max(1));
    u8::try_from(FIRST + STEPS - share.min(STEPS)).unwrap_or(u8::MAX)
}

//! Starts waiting samples: in which order they are considered, and where each
//! of them runs.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    ActiveJob, Effect, JobSpec, Progress, Run, Running, SampleId, SampleSpec, Stage, State,
    TOKENS_PER_EVENT, Wait,
    locality::{Locality, Selector},
    place::{self, Request},
};
use crate::core::{
    backlog::Work,
    choice::{Need, Observations},
    fleet::{Announcement, Fleet},
    share::{self, Quorum, Rule, Waiting},
    time::Time,
};

/// Highest load at which requests are still sent to a target: requests of all
/// instances per slot. Above it a sample waits in this instance, where it can
/// still go to whichever target has a free slot first.
pub(super) const MAX_LOAD: f64 = 1.6;

/// Time at no target after which a sample tries a target that is avoided, or takes a place
/// beyond this instance's share that nobody uses, in milliseconds.
const TRIAL_WAIT_MS: u64 = 1_000;

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
        self.refresh_pools(fleet);
        self.count_demand(now, fleet);
        self.count_running();
        for (pool, samples) in self.waiting(now, fleet, observations) {
            // Jobs whose targets have no capacity left.
            let mut exhausted: BTreeSet<String> = BTreeSet::new();
            for sample_id in samples {
                if exhausted.contains(&sample_id.job) {
                    continue;
                }
                if !self.start_sample(now, (&pool, &sample_id), fleet, observations, effects) {
                    exhausted.insert(sample_id.job);
                }
            }
        }
    }

    /// Starts a sample at a target of a pool. Returns false if none has the
    /// capacity.
    fn start_sample(
        &mut self,
        now: Time,
        (pool, sample_id): (&str, &SampleId),
        fleet: &Fleet,
        observations: &mut Observations,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let salt = xxhash_rust::xxh3::xxh3_64(self.own_id.as_bytes());
        let members = self.members.len() as f64;
        let Some(active) = self.jobs.get_mut(&sample_id.job) else {
            return true;
        };
        let samples = active.progress.iter().filter(|progress| progress.assigned).count();
        let selector = Selector { salt, domain: &self.domain, samples };
        active.refresh_localities(now, selector, fleet, observations);
        let spec = &active.spec;
        let item = &spec.samples[sample_id.index];
        let need = Need {
            events: f64::from(item.tokens) / TOKENS_PER_EVENT,
            max_load: MAX_LOAD,
            instances: members,
            salt: salt ^ self.next_run,
        };
        let waits_long = now.since(active.progress[sample_id.index].idle_since) >= TRIAL_WAIT_MS;
        let choices = active.choices(sample_id.index, active.targets(pool, fleet));
        let memory = fleet.memory_of(pool);
        let tokens = memory
            .map(|memory| place::tokens(item, active.progress[sample_id.index].events, memory));
        let choose = |(targets, max_load)| {
            let need = Need { max_load, ..need };
            match memory.zip(tokens) {
                None => observations.choose(now, Vec::into_iter(targets), need).ok_or(Wait::Places),
                Some((memory, tokens)) => {
                    let (model, group) = (&spec.model, &item.group);
                    let job = &sample_id.job;
                    let request = Request { salt, job, model, group, tokens, need, waits_long };
                    self.demand.choose(now, &self.room, targets, observations, (&request, memory))
                }
            }
        };
        let mut chosen = Err(Wait::Places);
        for choice in choices {
            chosen = choose(choice);
            if chosen.is_ok() {
                break;
            }
        }
        let trial = if chosen.is_err() && waits_long {
            let has_room = |target: &Announcement| {
                let place = |memory| self.demand.place(now, target, memory, observations);
                memory.zip(tokens).is_none_or(|(memory, tokens)| {
                    self.room.fits(&target.id, &item.group, tokens, place(memory))
                })
            };
            let targets = active.targets(pool, fleet).into_iter();
            let targets = targets.filter(|target| {
                !place::is_loading(&self.room, now, target, &spec.model) && has_room(target)
            });
            observations.choose_trial(now, targets, need.salt)
        } else {
            None
        };
        let chosen = trial.map_or(chosen, Ok);
        let target = match chosen {
            Ok(target) => target,
            Err(why) => {
                if let Some(locality) = active.localities.get_mut(pool) {
                    locality.mark_exhausted();
                }
                if active.waits.replace(why) != Some(why) && memory.is_some() {
                    effects.push(Effect::Waits { sample_id: sample_id.clone(), why });
                }
                return false;
            }
        };
        // Among samples of equal priority none preempts another.
        let longest = spec.samples.iter().map(|item| item.tokens).max().unwrap_or(1);
        let priority = if memory.is_some() { EQUAL } else { priority(item, longest) };
        let run = Run(self.next_run);
        self.next_run += 1;
        if let Some(ledger) = self.ledgers.get_mut(pool) {
            ledger.start(now, Rule::InTime, &share_job(active), item.tokens);
        }
        observations.request_started(&target.id);
        if let Some(tokens) = tokens {
            self.room.started(run, &target.id, &item.group, tokens);
            self.demand.started(pool, &sample_id.job, &target.id);
        }
        let running = Running {
            sample_id: sample_id.clone(),
            target: target.id.clone(),
            pool: pool.to_owned(),
            start_ms: target.start_ms,
            idle_since: active.progress[sample_id.index].idle_since,
            is_trial: trial.is_some(),
            sent: false,
            answered: false,
            last_event_at: now,
            events: 0,
        };
        self.runs.insert(run, running);
        let (sample_id, target) = (sample_id.clone(), target.id.clone());
        active.waits = None;
        active.progress[sample_id.index].stage = Stage::Running(run);
        effects.push(Effect::Start { run, sample_id, target, priority });
        true
    }

    /// What is left of the accepted jobs that may be run by any of these pools,
    /// at all instances.
    #[must_use]
    pub fn accepted_work(&self, pools: &[(String, u32)]) -> Vec<Work<'_>> {
        let is_shared =
            |active: &&ActiveJob| pools.iter().any(|(pool, _)| active.pools.contains(pool));
        self.jobs.values().filter(is_shared).map(accepted_work).collect()
    }

    /// Samples that wait here and cannot be complete in time.
    #[must_use]
    pub fn late_samples(&self) -> usize {
        self.ledgers.values().map(share::Ledger::late).sum()
    }

    /// The samples that this instance could start now, by pool, in the order in
    /// which they are started.
    fn waiting(
        &mut self,
        now: Time,
        fleet: &Fleet,
        observations: &Observations,
    ) -> Vec<(String, Vec<SampleId>)> {
        let pace_ms = observations.pace_now();
        let mut pools: BTreeMap<&str, Pool<'_>> = BTreeMap::new();
        for active in self.arrival.iter().filter_map(|job| self.jobs.get(job)) {
            let is_expired = now >= active.spec.keep_until;
            if !is_expired && !self.stale.contains(&active.spec.part) {
                let may_begin = !self.held_back.contains(&active.spec.part);
                for pool in active.pools.names() {
                    pools.entry(pool).or_default().add(now, (pool, active, may_begin), pace_ms);
                }
            }
        }
        self.ledgers.retain(|pool, _| pools.contains_key(pool.as_str()));
        let mut waiting = Vec::new();
        for (name, Pool { jobs, samples, .. }) in pools {
            let jobs: Vec<share::Job<'_>> = jobs.into_iter().map(share_job).collect();
            let rule = share::rule(&jobs);
            let slots = fleet.usable(name).map(|target| f64::from(target.announcement.slots));
            let supply =
                share::Supply { places: slots.sum(), token_ms: pace_ms / TOKENS_PER_EVENT };
            if rule == Rule::InTime && !self.ledgers.contains_key(name) {
                self.ledgers.insert(name.to_owned(), share::Ledger::default());
            }
            let ledger = self.ledgers.get_mut(name);
            let samples = match ledger {
                Some(ledger) => share::order(rule, now, supply, &jobs, samples, ledger),
                None => samples,
            };
            let sample_id =
                |next: &Waiting| SampleId { job: jobs[next.job].id.to_owned(), index: next.sample };
            waiting.push((name.to_owned(), samples.iter().map(sample_id).collect()));
        }
        waiting
    }
}

/// The jobs of one pool, in the order of arrival, and their samples that wait.
#[derive(Default)]
struct Pool<'a> {
    jobs: Vec<&'a ActiveJob>,
    samples: Vec<Waiting>,
}

impl<'a> Pool<'a> {
    /// Adds a job and its samples that wait; those that have no text yet if they
    /// `may_begin`.
    fn add(
        &mut self,
        now: Time,
        (pool, active, may_begin): (&str, &'a ActiveJob, bool),
        pace_ms: f64,
    ) {
        let job = self.jobs.len();
        self.jobs.push(active);
        let due = active.order.iter().copied().filter(|at| is_due(now, &active.progress[*at]));
        let due = due.filter(|at| active.pool_of(*at) == pool);
        let due = due.filter(|at| may_begin || active.progress[*at].has_begun());
        self.samples.extend(due.map(|sample| {
            let tokens = active.spec.samples[sample].tokens;
            let events = f64::from(tokens) / TOKENS_PER_EVENT;
            let left = events - f64::from(active.progress[sample].events);
            Waiting {
                job,
                sample,
                group: active.quorum.group(sample),
                tokens,
                run_ms: (left.max(1.0) * pace_ms) as u64,
                wanted: active.quorum.wants(sample),
            }
        }));
    }
}

impl ActiveJob {
    /// Selects the targets of each pool again, where that has expired.
    pub(super) fn refresh_localities(
        &mut self,
        now: Time,
        selector: Selector<'_>,
        fleet: &Fleet,
        observations: &Observations,
    ) {
        for pool in self.pools.names() {
            if !self.localities.contains_key(pool) {
                self.localities.insert(pool.to_owned(), Locality::new());
            }
            if let Some(locality) = self.localities.get_mut(pool) {
                locality.refresh(now, selector, (pool, &self.spec), fleet, observations);
            }
        }
    }
}

fn share_job(active: &ActiveJob) -> share::Job<'_> {
    let spec = &active.spec;
    share::Job {
        id: &spec.job,
        organisation: &spec.demand.organisation,
        trainer: &spec.model,
        priority: spec.demand.priority,
        due: spec.demand.due,
        opened: active.opened_at,
        quorum: &active.quorum,
    }
}

/// Whether a sample could start now if it had a place.
fn is_due(now: Time, progress: &Progress) -> bool {
    progress.assigned && progress.stage == Stage::Idle && now >= progress.not_before
}

fn accepted_work(active: &ActiveJob) -> Work<'_> {
    let left = active.progress.iter().enumerate();
    let left = left.filter(|(_, progress)| progress.stage != Stage::Done);
    let wanted = left.clone().filter(|(at, _)| active.quorum.wants(*at));
    let demand = &active.spec.demand;
    Work {
        organisation: &demand.organisation,
        priority: demand.priority,
        due: demand.due,
        samples: left.count(),
        tokens: active.quorum.tokens_left(),
        longest: wanted.map(|(at, _)| active.spec.samples[at].tokens).max().unwrap_or(0),
    }
}

/// The groups that the trainer of a job waits for.
pub(super) fn quorum(spec: &JobSpec) -> Quorum {
    let samples = spec.samples.iter().zip(&spec.done);
    let samples = samples.map(|(item, done)| (&*item.group, item.tokens, item.resumed, *done));
    Quorum::new(spec.demand.groups_wanted, samples)
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

//! Finds a target with room for a sample: for its tokens, and within this
//! instance's share of the places ([`crate::core::room`]). Pools whose memory
//! the configuration does not state are left to [`Observations::choose`] alone.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{
    ActiveJob, Effect, End, JobSpec, Progress, Run, Running, SampleId, SampleSpec, Stage, State,
    TOKENS_PER_EVENT, TOO_LARGE_MS, locality,
};
use crate::core::{
    choice::{Need, Observations},
    fleet::{Announcement, Fleet, Memory, Target},
    room::{self, Ledger, Place, Tokens, Typical},
    time::Time,
};

/// How long the demand on a pool is reused, in milliseconds.
const DEMAND_AGE_MS: u64 = 100;
/// Requests per slot that all instances together place at targets: what is more
/// waits here, where it can go to whichever target has a free slot first, and is
/// not lost to the next load of weights. Shares are uneven enough for targets
/// to have a short queue all the same.
const SHARE_LOAD: f64 = 1.0;
/// How long an instance keeps to the same draw of targets, in milliseconds.
const DRAW_MS: u64 = 250;
/// Time after which an instance that runs nothing of a job starts one sample
/// whatever its share is, in milliseconds.
const STANDSTILL_MS: u64 = 1_000;
/// Targets whose memory is checked for one sample, the best first: if none of
/// them has room, the others are full as well, or slow.
const MAX_CHECKED: usize = 8;

/// Why a sample waits. The variant names are written to logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Wait {
    /// No target has a free place, as far as this instance knows.
    Places,
    /// This instance has taken its share of the places.
    Share,
    /// Targets have places, but their memory would run out.
    Memory,
    /// It is larger than any target's memory, and was refused.
    TooLarge,
}

/// What one more sample needs, and of whom.
pub(super) struct Request<'a> {
    /// Hash of the instance's name.
    pub salt: u64,
    pub job: &'a str,
    pub model: &'a str,
    pub group: &'a str,
    pub tokens: Tokens,
    pub need: Need,
    /// Whether the sample has waited for long.
    pub waits_long: bool,
}

/// One job's part in the demand on its targets.
#[derive(Clone, Debug, Default)]
struct JobDemand {
    /// When its samples were first counted.
    since: Time,
    /// Its open samples that this instance runs, for each of its targets.
    own_per_target: f64,
    /// Runs that this instance may have of it.
    share: f64,
    /// Runs that it has.
    running: usize,
    /// The same by target.
    running_at: HashMap<String, usize>,
}

/// The demand of all open jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    counted_at: Option<Time>,
    /// By pool and job.
    jobs: BTreeMap<String, BTreeMap<String, JobDemand>>,
    /// Open samples for each place at a target, if each job's samples are spread
    /// evenly over the targets that can run them.
    per_place: HashMap<String, f64>,
    typical: BTreeMap<String, Typical>,
}

impl Demand {
    /// Has the demand counted anew: jobs or members have changed.
    pub(super) fn expire(&mut self) {
        self.counted_at = None;
    }

    fn of(&self, pool: &str, job: &str) -> Option<&JobDemand> {
        self.jobs.get(pool)?.get(job)
    }

    fn typical(&self, pool: &str) -> Typical {
        self.typical.get(pool).copied().unwrap_or_default()
    }
}

/// Tokens that one event carries.
pub(super) fn tokens_per_event(memory: Memory) -> u32 {
    match memory.event_tokens {
        0 => TOKENS_PER_EVENT as u32,
        tokens => tokens,
    }
}

/// The tokens of a sample that has received `events` so far.
pub(super) fn tokens(item: &SampleSpec, events: u32, memory: Memory) -> Tokens {
    Tokens {
        shared: item.size.shared.min(item.size.prompt),
        own: item.size.prompt.saturating_sub(item.size.shared),
        generated: events.saturating_mul(tokens_per_event(memory)),
        estimate: item.tokens,
        limit: item.size.limit,
    }
}

/// Whether a target is loading a newer version of a model.
pub(super) fn is_loading(room: &Ledger, now: Time, target: &Announcement, model: &str) -> bool {
    let held = target.versions.get(model).copied();
    room.is_loading(now, &target.id, target.start_ms, (model, held))
}

impl State {
    /// Counts the demand on the pools whose memory is stated, unless it was
    /// counted a moment ago.
    pub(super) fn count_demand(&mut self, now: Time, fleet: &Fleet) {
        if self.demand.counted_at.is_some_and(|at| now.since(at) < DEMAND_AGE_MS) {
            return;
        }
        let mut demand = Demand { counted_at: Some(now), ..Demand::default() };
        for (pool, memory) in fleet.pools_with_memory() {
            let active = || self.jobs.values().filter(|active| active.pools.contains(pool));
            let open = active().flat_map(|active| open_samples(active, pool));
            let sizes = open.map(|(item, _)| tokens(item, 0, memory));
            demand.typical.insert(pool.to_owned(), Typical::of(sizes));
            // In a large fleet each instance considers its own selection, and a
            // small instance has no time to count for thousands of targets.
            if !locality::is_small(fleet) {
                continue;
            }
            let jobs = demand.jobs.entry(pool.to_owned()).or_default();
            let mut targets_of: Vec<(&JobSpec, Vec<&Announcement>)> = Vec::new();
            for active in active() {
                let (open, own) = open_samples(active, pool)
                    .fold((0, 0), |(open, own), (_, progress)| {
                        (open + 1, own + usize::from(progress.assigned))
                    });
                let targets = self.able_targets(now, (pool, &active.spec), fleet);
                for target in &targets {
                    let places = f64::from(target.slots.max(1)) * SHARE_LOAD;
                    let per_target = open as f64 / targets.len() as f64;
                    *demand.per_place.entry(target.id.clone()).or_default() += per_target / places;
                }
                let job = &active.spec.job;
                let since = self.demand.of(pool, job).map_or(now, |demand| demand.since);
                let own_per_target = own as f64 / targets.len().max(1) as f64;
                let job_demand = JobDemand { since, own_per_target, ..JobDemand::default() };
                jobs.insert(job.clone(), job_demand);
                targets_of.push((&active.spec, targets));
            }
            for (spec, targets) in targets_of {
                let share = |job: &JobDemand| {
                    targets.iter().map(|target| demand.share_at(job, target)).sum()
                };
                let share = demand.of(pool, &spec.job).map(share).unwrap_or_default();
                let job = demand.jobs.get_mut(pool).and_then(|jobs| jobs.get_mut(&spec.job));
                if let Some(job) = job {
                    job.share = share;
                }
            }
        }
        self.demand = demand;
    }

    /// The targets that can run a job's samples now.
    fn able_targets<'a>(
        &self,
        now: Time,
        (pool, spec): (&'a str, &JobSpec),
        fleet: &'a Fleet,
    ) -> Vec<&'a Announcement> {
        let is_able = |target: &&Target| {
            target.may_run(&spec.model, spec.min_version)
                && !is_loading(&self.room, now, &target.announcement, &spec.model)
        };
        fleet.usable(pool).filter(is_able).map(|target| &target.announcement).collect()
    }

    /// Counts this instance's runs of each job.
    pub(super) fn count_running(&mut self) {
        for demand in self.demand.jobs.values_mut().flat_map(BTreeMap::values_mut) {
            demand.running = 0;
            demand.running_at.clear();
        }
        for running in self.runs.values() {
            self.demand.started(&running.pool, &running.sample_id.job, &running.target);
        }
    }
}

impl State {
    /// Whether a target has room for a run of another one.
    pub(super) fn has_room(
        &self,
        now: Time,
        target: &Announcement,
        running: &Running,
        memory: Memory,
        observations: &Observations,
    ) -> bool {
        let Some(active) = self.jobs.get(&running.sample_id.job) else {
            return false;
        };
        let item = &active.spec.samples[running.sample_id.index];
        let events = active.progress[running.sample_id.index].events + running.events;
        let place = self.demand.place(now, target, memory, observations);
        !is_loading(&self.room, now, target, &active.spec.model)
            && self.room.fits(&target.id, &item.group, tokens(item, events, memory), place)
    }

    /// The sample of a run that was refused because it is larger than any
    /// target's memory.
    pub(super) fn too_large(&self, run: Run, end: End, fleet: &Fleet) -> Option<SampleId> {
        let running = self.runs.get(&run).filter(|_| end == End::Full)?;
        let spec = &self.jobs.get(&running.sample_id.job)?.spec;
        let memory = fleet.memory_of(&running.pool)?;
        let tokens = tokens(&spec.samples[running.sample_id.index], 0, memory);
        tokens.exceed(memory.tokens).then(|| running.sample_id.clone())
    }

    /// Holds a sample that is too large, so that it is not refused in a circle.
    /// Nobody may give it up before its job's time is over.
    pub(super) fn hold_too_large(
        &mut self,
        now: Time,
        sample_id: Option<SampleId>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(sample_id) = sample_id else {
            return;
        };
        if let Some(active) = self.jobs.get_mut(&sample_id.job) {
            active.progress[sample_id.index].not_before = now.after(TOO_LARGE_MS);
            effects.push(Effect::Waits { sample_id, why: Wait::TooLarge });
        }
    }

    /// Tokens that are expected to stay free at the targets of each pool whose
    /// memory is stated.
    #[must_use]
    pub fn free_tokens(
        &self,
        now: Time,
        fleet: &Fleet,
        observations: &Observations,
    ) -> BTreeMap<String, u64> {
        let free = |(pool, memory): (&str, Memory)| {
            let free = fleet.usable(pool).map(|target| {
                let place = self.demand.place(now, &target.announcement, memory, observations);
                self.room.free(&target.announcement.id, place)
            });
            (pool.to_owned(), free.sum())
        };
        fleet.pools_with_memory().map(free).collect()
    }
}

/// The samples of a job that are assigned to a pool and have no result yet.
fn open_samples<'a>(
    active: &'a ActiveJob,
    pool: &'a str,
) -> impl Iterator<Item = (&'a SampleSpec, &'a Progress)> {
    let samples = active.spec.samples.iter().zip(&active.progress).enumerate();
    let samples = samples.filter(|(_, (_, progress))| progress.stage != Stage::Done);
    samples.filter(move |(at, _)| active.pool_of(*at) == pool).map(|(_, sample)| sample)
}

impl Demand {
    /// Records that a sample of a job was started.
    pub(super) fn started(&mut self, pool: &str, job: &str, target: &str) {
        if let Some(demand) = self.jobs.get_mut(pool).and_then(|jobs| jobs.get_mut(job)) {
            demand.running += 1;
            *demand.running_at.entry(target.to_owned()).or_default() += 1;
        }
    }

    /// Runs of a job that this instance may have at a target.
    fn share_at(&self, job: &JobDemand, target: &Announcement) -> f64 {
        let per_place = self.per_place.get(&target.id).copied().unwrap_or(0.0);
        room::share(job.own_per_target, per_place)
    }

    /// Whether this instance may start one more run of a job at a target.
    fn is_within_share(&self, now: Time, request: &Request<'_>, target: &Announcement) -> bool {
        let Some(job) = self.of(&target.pool, request.job) else {
            return true;
        };
        if job.running == 0 && now.since(job.since) > STANDSTILL_MS {
            return true;
        }
        let running = job.running_at.get(&target.id).copied().unwrap_or(0);
        let seed = request.salt ^ (now.0 / DRAW_MS);
        let share = room::draw(self.share_at(job, target), &target.id, seed);
        // Drawn once for all: what is drawn anew would add up while runs last.
        running < share && job.running < room::draw(job.share, request.job, request.salt)
    }

    /// The place that a target has for one more run.
    pub(super) fn place(
        &self,
        now: Time,
        target: &Announcement,
        memory: Memory,
        observations: &Observations,
    ) -> Place {
        let own = observations.get(&target.id).map_or(0, |observation| observation.own_requests);
        Place {
            memory: memory.tokens,
            slots: target.slots,
            others: observations.load_of(now, target) - f64::from(own),
            typical: self.typical(&target.pool),
        }
    }

    /// Chooses the best target that has room for a sample: one at which this
    /// instance has places of its share left, else, for a sample that has
    /// waited for long, one that has places which nobody uses.
    pub(super) fn choose<'a>(
        &self,
        now: Time,
        room: &Ledger,
        mut targets: Vec<&'a Announcement>,
        observations: &Observations,
        (request, memory): (&Request<'_>, Memory),
    ) -> Result<&'a Announcement, Wait> {
        targets.retain(|target| !is_loading(room, now, target, request.model));
        let is_within = |target: &&Announcement| self.is_within_share(now, request, target);
        let (own, mut beyond): (Vec<_>, Vec<_>) = targets.into_iter().partition(is_within);
        let all_own = beyond.is_empty();
        beyond.retain(|target| {
            request.waits_long && observations.may_borrow(now, target, request.salt)
        });
        let mut wait = if all_own { Wait::Places } else { Wait::Share };
        for targets in [own, beyond] {
            match self.choose_of(now, room, targets, observations, (request, memory)) {
                Ok(target) => return Ok(target),
                Err(Wait::Memory) => wait = Wait::Memory,
                Err(_) => {}
            }
        }
        Err(wait)
    }

    /// Chooses the best of these targets that has room for a sample.
    fn choose_of<'a>(
        &self,
        now: Time,
        room: &Ledger,
        mut targets: Vec<&'a Announcement>,
        observations: &Observations,
        (request, memory): (&Request<'_>, Memory),
    ) -> Result<&'a Announcement, Wait> {
        let mut wait = Wait::Places;
        for _ in 0..MAX_CHECKED {
            let best = observations.choose(now, targets.iter().copied(), request.need);
            let Some(target) = best else {
                return Err(wait);
            };
            let place = self.place(now, target, memory, observations);
            // What exceeds the memory is refused and takes none of it.
            if request.tokens.exceed(memory.tokens)
                || room.fits(&target.id, request.group, request.tokens, place)
            {
                return Ok(target);
            }
            wait = Wait::Memory;
            targets.retain(|other| other.id != target.id);
        }
        Err(wait)
    }
}

//! The order of waiting samples: written loads replayed under each order, with
//! what their callers feel, and single cases.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use hollywell::core::{
    choice::Observations,
    dispatch::{
        Demand, Effect, End, Event, JobSpec, Run, SampleId, SampleSpec, Size, State, Texts,
    },
    fleet::{Announcement, Fleet},
    share::{Job, Ledger, PATIENCE_MS, Quorum, Rule, Supply, Waiting, order},
    time::Time,
};

const RULES: [Rule; 5] =
    [Rule::Arrival, Rule::EarliestDue, Rule::LeastSlack, Rule::Shares, Rule::InTime];
/// Lengths of samples relative to their mean: a few are several times as long.
const LENGTHS: [f64; 16] =
    [0.2, 0.3, 0.4, 0.4, 0.5, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2, 1.4, 1.8, 2.4, 3.0];
/// Estimates relative to the lengths: right in the middle, often far off.
const ESTIMATES: [f64; 8] = [0.5, 0.6, 0.8, 0.9, 1.1, 1.2, 1.6, 2.0];
const TOKENS_PER_EVENT: u64 = 50;

struct Step {
    at: u64,
    organisation: String,
    trainer: String,
    priority: u8,
    groups: usize,
    size: usize,
    tokens: f64,
    wanted: usize,
    due: u64,
}

struct Load {
    places: usize,
    pace_ms: u64,
    steps: Vec<Step>,
}

fn load(text: &str) -> Load {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let mut lines = lines.map(|line| line.split_whitespace().collect::<Vec<_>>());
    let head = lines.next().unwrap();
    let step = |line: Vec<&str>| Step {
        at: line[0].parse().unwrap(),
        organisation: line[1].into(),
        trainer: line[2].into(),
        priority: line[3].parse().unwrap(),
        groups: line[4].parse().unwrap(),
        size: line[5].parse().unwrap(),
        tokens: line[6].parse().unwrap(),
        wanted: line[7].parse().unwrap(),
        due: line[8].parse().unwrap(),
    };
    Load {
        places: head[0].parse().unwrap(),
        pace_ms: head[1].parse().unwrap(),
        steps: lines.map(step).collect(),
    }
}

/// A sample of a replayed step: its group, its estimated and its true tokens,
/// and whether it is resumed.
#[derive(Clone)]
struct Sample {
    group: String,
    estimate: u32,
    tokens: u64,
    resumed: bool,
}

struct Open<'a> {
    step: &'a Step,
    id: String,
    due: Time,
    samples: Vec<Sample>,
    done: Vec<bool>,
    begun: Vec<bool>,
    quorum: Quorum,
}

impl Open<'_> {
    fn complete_groups(&self) -> usize {
        let all: BTreeSet<&str> = self.samples.iter().map(|s| s.group.as_str()).collect();
        let left = self.samples.iter().zip(&self.done).filter(|(_, done)| !**done);
        all.len() - left.map(|(s, _)| s.group.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// Whether the trainer can go on.
    fn is_enough(&self) -> bool {
        let resumed = self.samples.iter().zip(&self.done).all(|(s, done)| *done || !s.resumed);
        resumed && self.complete_groups() >= self.step.wanted
    }
}

/// What callers feel.
#[derive(Default)]
struct Felt {
    /// For each trainer its steps that were whole in time, and all of them.
    steps: BTreeMap<String, (usize, usize)>,
    /// Wanted groups that were complete in time, and all of them.
    groups: (usize, usize),
    /// Mean time until a step that was whole in time was, in milliseconds.
    whole_ms: u64,
    /// The longest time without a place while it waited, by organisation.
    waits: BTreeMap<String, u64>,
}

impl fmt::Display for Felt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let worst = self.steps.values().map(|(good, all)| good * 100 / all).min().unwrap_or(0);
        let (good, all) = self.steps.values().fold((0, 0), |(a, b), (c, d)| (a + c, b + d));
        let wait = self.waits.values().max().copied().unwrap_or(0);
        write!(
            f,
            "groups in time {}/{}, steps {good}/{all}, worst trainer {worst}%, mean step {} ms, \
             longest wait of an organisation {wait} ms",
            self.groups.0, self.groups.1, self.whole_ms
        )
    }
}

/// Samples of a step, drawn by a hash: the same for every order.
fn samples(step: &Step) -> Vec<Sample> {
    let draw = |what: &str, group: usize, at: usize, from: &[f64]| {
        let name = format!("{what} {} {} {group} {at}", step.at, step.trainer);
        from[usize::try_from(xxhash_rust::xxh3::xxh3_64(name.as_bytes())).unwrap() % from.len()]
    };
    let sample = |n: usize| {
        let (group, at) = (n / step.size, n % step.size);
        let tokens = step.tokens * draw("length", group, at, &LENGTHS);
        let estimate = tokens * draw("estimate", group, at, &ESTIMATES);
        let group = format!("{}-{group}", step.at);
        Sample { group, estimate: estimate as u32, tokens: tokens as u64, resumed: false }
    };
    (0..step.groups * step.size).map(sample).collect()
}

/// Plays a load at one instance that has all places.
fn replay(load: &Load, rule: Rule) -> Felt {
    let mut felt = Felt::default();
    let token_ms = load.pace_ms as f64 / TOKENS_PER_EVENT as f64;
    let supply = Supply { places: load.places as f64, token_ms };
    let mut ledger = Ledger::default();
    let mut carried: BTreeMap<&str, Vec<Sample>> = BTreeMap::new();
    let mut coming: Vec<&Step> = load.steps.iter().rev().collect();
    let mut open: Vec<Open<'_>> = Vec::new();
    // When a place becomes free, and for which sample of which job.
    let mut running: Vec<(u64, String, usize)> = Vec::new();
    let mut waits_since: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut whole, mut now) = (0, 0);
    while !coming.is_empty() || !open.is_empty() {
        while let Some(step) = coming.pop_if(|step| step.at <= now) {
            let mut samples = samples(step);
            let again = carried.remove(step.trainer.as_str()).unwrap_or_default();
            let again = &again[..again.len().min(step.wanted / 2 * step.size)];
            samples.splice(..again.len(), again.iter().cloned());
            let spec = samples.iter().map(|s| (s.group.as_str(), s.estimate, s.resumed, false));
            let quorum = Quorum::new(step.wanted, spec);
            let due = Time(step.at + step.due);
            let (done, begun) = (vec![false; samples.len()], vec![false; samples.len()]);
            let id = format!("{}-{}", step.trainer, step.at);
            open.push(Open { step, id, due, samples, done, begun, quorum });
        }
        running.retain(|(at, id, sample)| {
            if let Some(job) = open.iter_mut().find(|job| job.id == *id && *at <= now) {
                job.done[*sample] = true;
                job.quorum.stored(*sample);
            }
            *at > now
        });
        open.retain(|job| {
            let is_whole = job.is_enough();
            if !is_whole && now < job.due.0 {
                return true;
            }
            let steps = felt.steps.entry(job.step.trainer.clone()).or_default();
            *steps = (steps.0 + usize::from(is_whole), steps.1 + 1);
            whole += if is_whole { now - job.step.at } else { 0 };
            felt.groups.0 += job.complete_groups().min(job.step.wanted);
            felt.groups.1 += job.step.wanted;
            let left: BTreeSet<&str> = job
                .samples
                .iter()
                .zip(&job.done)
                .filter(|(_, done)| !**done)
                .map(|(s, _)| s.group.as_str())
                .collect();
            let again = job.samples.iter().filter(|s| left.contains(s.group.as_str()));
            let again = again.map(|s| Sample { resumed: true, ..s.clone() }).collect();
            carried.insert(&job.step.trainer, again);
            running.retain(|(_, id, _)| *id != job.id);
            false
        });
        let jobs: Vec<Job<'_>> = open
            .iter()
            .map(|job| Job {
                id: &job.id,
                organisation: &job.step.organisation,
                trainer: &job.step.trainer,
                priority: job.step.priority,
                due: Some(job.due),
                opened: Time(job.step.at),
                quorum: &job.quorum,
            })
            .collect();
        let steps: Vec<&Step> = open.iter().map(|job| job.step).collect();
        let mut waiting = Vec::new();
        for (at, job) in open.iter().enumerate() {
            let mut own: Vec<usize> = (0..job.samples.len()).filter(|n| !job.begun[*n]).collect();
            own.sort_by_key(|n| {
                (!job.samples[*n].resumed, std::cmp::Reverse(job.samples[*n].estimate))
            });
            waiting.extend(own.into_iter().map(|sample| Waiting {
                job: at,
                sample,
                group: job.quorum.group(sample),
                tokens: job.samples[sample].estimate,
                run_ms: u64::from(job.samples[sample].estimate) / TOKENS_PER_EVENT * load.pace_ms,
                wanted: job.quorum.wants(sample),
            }));
        }
        let free = load.places - running.len();
        let count = waiting.len();
        let ordered = order(rule, Time(now), supply, &jobs, waiting, &mut ledger);
        // No order leaves a place idle while a sample waits.
        assert_eq!(ordered.len(), count);
        let taken: Vec<Waiting> = ordered.iter().take(free).copied().collect();
        let still: BTreeSet<&str> =
            ordered.iter().skip(free).map(|next| &*steps[next.job].organisation).collect();
        for next in &taken {
            ledger.start(Time(now), rule, &jobs[next.job], next.tokens);
        }
        let started: BTreeSet<&str> = taken.iter().map(|n| &*steps[n.job].organisation).collect();
        for next in taken {
            let job = &mut open[next.job];
            job.begun[next.sample] = true;
            let run_ms = (job.samples[next.sample].tokens / TOKENS_PER_EVENT).max(1) * load.pace_ms;
            running.push((now + run_ms, job.id.clone(), next.sample));
        }
        for job in &open {
            let name = job.step.organisation.as_str();
            if started.contains(name) || !still.contains(name) {
                waits_since.remove(name);
            }
            if still.contains(name) {
                let since = *waits_since.entry(name).or_insert(now);
                let longest = felt.waits.entry(name.to_owned()).or_default();
                *longest = (*longest).max(now - since);
            }
        }
        let next = running.iter().map(|run| run.0).chain(coming.last().map(|step| step.at));
        now = next
            .chain(open.iter().map(|job| job.due.0))
            .filter(|at| *at > now)
            .min()
            .unwrap_or(now + 1);
    }
    let good: usize = felt.steps.values().map(|steps| steps.0).sum();
    felt.whole_ms = whole / good.max(1) as u64;
    felt
}

/// Replays a load under each order, and prints what callers feel.
fn compare(name: &str, text: &str) -> Vec<Felt> {
    let load = load(text);
    let felt: Vec<Felt> = RULES.iter().map(|rule| replay(&load, *rule)).collect();
    for (rule, felt) in RULES.iter().zip(&felt) {
        println!("{name}, {rule:?}: {felt}");
        println!("    in time by trainer: {:?}", felt.steps);
    }
    felt
}

/// Groups in time under a rule.
fn groups(felt: &[Felt], rule: Rule) -> usize {
    let at = RULES.iter().position(|other| *other == rule).unwrap();
    felt[at].groups.0
}

fn assert_most_groups_in_time(felt: &[Felt]) {
    for rule in RULES {
        let (own, other) = (groups(felt, Rule::InTime), groups(felt, rule));
        assert!(own >= other, "expected at least the {other} groups of {rule:?}, got {own}");
    }
}

#[test]
fn a_trainer_that_is_behind_is_helped_without_starving_the_others() {
    let felt = compare("behind", include_str!("loads/behind.txt"));
    assert_most_groups_in_time(&felt);
    let steps = &felt.last().unwrap().steps;
    assert!(steps["d"].0 > felt[0].steps["d"].0, "the one behind: {steps:?}");
    assert!(steps.values().all(|(good, _)| *good > 0), "nobody is starved: {steps:?}");
}

#[test]
fn all_trainers_at_once_after_a_loss() {
    let felt = compare("loss", include_str!("loads/loss.txt"));
    assert_most_groups_in_time(&felt);
    let whole = |felt: &Felt| felt.steps.values().map(|steps| steps.0).sum::<usize>();
    let (own, arrival) = (whole(felt.last().unwrap()), whole(&felt[0]));
    assert!(own > arrival, "expected more than the {arrival} steps of arrival, got {own}");
}

#[test]
fn one_organisation_with_ten_times_its_share() {
    let felt = compare("large", include_str!("loads/large.txt"));
    assert_most_groups_in_time(&felt);
    let own = felt.last().unwrap();
    for (trainer, (good, all)) in own.steps.iter().filter(|steps| steps.0.starts_with('s')) {
        assert_eq!(good, all, "small organisations have all steps in time, not so {trainer}");
    }
    let longest = *own.waits.values().max().unwrap();
    assert!(longest < PATIENCE_MS, "longest wait of an organisation: {longest} ms");
}

fn job<'a>(id: &'a str, organisation: &'a str, due: u64, quorum: &'a Quorum) -> Job<'a> {
    let (due, opened) = (Some(Time(due)), Time(0));
    Job { id, organisation, trainer: id, priority: 1, due, opened, quorum }
}

fn waiting(job: usize, sample: usize, tokens: u32, quorum: &Quorum) -> Waiting {
    let (group, wanted) = (quorum.group(sample), quorum.wants(sample));
    Waiting { job, sample, group, tokens, run_ms: u64::from(tokens), wanted }
}

/// One place that makes a token in a millisecond.
const ONE: Supply = Supply { places: 1.0, token_ms: 1.0 };

fn in_time(now: u64, jobs: &[Job<'_>], all: Vec<Waiting>, ledger: &mut Ledger) -> Vec<Waiting> {
    order(Rule::InTime, Time(now), ONE, jobs, all, ledger)
}

#[test]
fn the_last_tenth_of_a_step_waits_for_the_quorum_of_another() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let quorum = Quorum::new(9, names.map(|name| (name, 100, false, false)));
    let jobs = [job("first", "", 50_000, &quorum), job("second", "", 60_000, &quorum)];
    let all = (0..2).flat_map(|job| (0..10).map(move |sample| (job, sample)));
    let all = all.map(|(job, sample)| waiting(job, sample, 100, &quorum)).collect();
    let order = in_time(0, &jobs, all, &mut Ledger::default());
    let by_job: Vec<(usize, bool)> = order.iter().map(|next| (next.job, next.wanted)).collect();
    let expected =
        [vec![(0, true); 9], vec![(1, true); 9], vec![(0, false)], vec![(1, false)]].concat();
    assert_eq!(by_job, expected);
}

#[test]
fn what_cannot_be_in_time_yields_to_what_can() {
    let quorum = Quorum::new(0, [("a", 1_000, false, false)]);
    // The first is due before its run can end.
    let jobs = [job("late", "", 900, &quorum), job("good", "", 5_000, &quorum)];
    let all = vec![waiting(0, 0, 1_000, &quorum), waiting(1, 0, 1_000, &quorum)];
    let order = in_time(0, &jobs, all, &mut Ledger::default());
    assert_eq!(order.iter().map(|next| next.job).collect::<Vec<_>>(), [1, 0]);
}

#[test]
fn no_organisation_waits_longer_than_the_bound() {
    const BELOW: usize = 5;
    const RUN_MS: u64 = 100;
    let quorum = Quorum::new(0, [("a", 100, false, false)]);
    let names: Vec<String> = (0..BELOW).map(|n| format!("below-{n}")).collect();
    // The first organisation has the highest priority and always asks.
    let mut jobs = vec![Job { priority: 0, ..job("above", "above", 1 << 40, &quorum) }];
    jobs.extend(names.iter().map(|name| job(name, name, 1 << 40, &quorum)));
    let mut ledger = Ledger::default();
    let mut last: BTreeMap<usize, u64> = BTreeMap::new();
    let mut longest = 0;
    for now in (0..60_000).step_by(RUN_MS as usize) {
        let all = (0..=BELOW).map(|job| waiting(job, 0, 100, &quorum)).collect();
        let next = in_time(now, &jobs, all, &mut ledger)[0];
        ledger.start(Time(now), Rule::InTime, &jobs[next.job], next.tokens);
        longest = longest.max(now - last.insert(next.job, now).unwrap_or(0));
    }
    println!("longest wait {longest} ms");
    assert_eq!(last.len(), BELOW + 1, "everybody got a place");
    let bound = PATIENCE_MS + BELOW as u64 * RUN_MS;
    assert!(longest <= bound, "expected at most {bound} ms, got {longest} ms");
}

#[test]
fn an_unused_share_is_lent_at_once_and_taken_back_with_the_next_places() {
    let quorum = Quorum::new(0, [("a", 100, false, false)]);
    let jobs = [job("a", "a", 1 << 40, &quorum), job("b", "b", 1 << 40, &quorum)];
    let mut ledger = Ledger::default();
    let mut take = |now: u64, asking: &[usize]| {
        let all = asking.iter().map(|job| waiting(*job, 0, 100, &quorum)).collect();
        let next = in_time(now, &jobs, all, &mut ledger)[0].job;
        ledger.start(Time(now), Rule::InTime, &jobs[next], 100);
        next
    };
    assert!((0..50).all(|now| take(now, &[0]) == 0), "all places are lent to who asks");
    let next: Vec<usize> = (50..56).map(|now| take(now, &[0, 1])).collect();
    // What was lent is not owed: from here on both have the same.
    assert_eq!(next.iter().filter(|job| **job == 1).count(), 3, "{next:?}");
}

#[test]
fn odd_figures_lose_no_sample() {
    let quorum = Quorum::new(7, [("a", 0, false, false), ("", u32::MAX, true, false)]);
    let none = Quorum::new(0, []);
    let jobs = [job("a", "", 0, &quorum), Job { due: None, ..job("b", "b", 0, &none) }];
    let all: Vec<Waiting> =
        [(0, 0), (0, 1), (1, 5)].iter().map(|at| waiting(at.0, at.1, 0, &quorum)).collect();
    for places in [0.0, 1e300, f64::NAN, f64::INFINITY, -1.0] {
        for token_ms in [0.0, 1.0, f64::NAN, f64::INFINITY, -1.0] {
            for rule in RULES {
                let supply = Supply { places, token_ms };
                let ledger = &mut Ledger::default();
                let order = order(rule, Time(u64::MAX), supply, &jobs, all.clone(), ledger);
                let samples: BTreeSet<_> = order.iter().map(|n| (n.job, n.sample)).collect();
                assert_eq!((samples.len(), order.len()), (3, 3), "{places} {token_ms} {rule:?}");
            }
        }
    }
}

fn target(id: &str, slots: u32) -> Announcement {
    Announcement {
        id: id.into(),
        pool: "llm".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "d".into(),
        slots,
        draining: false,
        cold: false,
        start_ms: None,
        sequence: 0,
        versions: BTreeMap::from([("m".to_owned(), 1)]),
    }
}

fn spec(job: &str, groups: usize, demand: Demand) -> JobSpec {
    let sample = |n: usize| SampleSpec {
        group: format!("g{n}"),
        tokens: 500,
        size: Size::default(),
        resumed: false,
    };
    JobSpec {
        job: job.into(),
        part: 0,
        pools: vec![("llm".into(), 1)],
        model: "m".into(),
        min_version: 1,
        max_attempts: 3,
        keep_until: Time(40_000),
        demand,
        texts: Texts::default(),
        samples: (0..groups).map(sample).collect(),
        done: vec![false; groups],
    }
}

struct Instance {
    state: State,
    fleet: Fleet,
    observations: Observations,
}

impl Instance {
    /// An instance whose only target accepts one request.
    fn new(id: &str, members: &[&str]) -> Instance {
        let mut fleet = Fleet::default();
        fleet.announce(Time(1), target("a", 1));
        let (state, observations) = (State::new(id), Observations::default());
        let mut instance = Instance { state, fleet, observations };
        let members = members.iter().map(|member| (*member).to_owned()).collect();
        instance.step(1, &Event::Members(members));
        instance
    }

    fn step(&mut self, now: u64, event: &Event) -> Vec<Effect> {
        self.state.step(Time(now), event, &self.fleet, &mut self.observations)
    }

    /// Runs all samples one after the other; returns them in the order in
    /// which they started.
    fn drain(&mut self, mut effects: Vec<Effect>) -> Vec<SampleId> {
        let mut running: Vec<(Run, SampleId)> = Vec::new();
        let (mut started, mut now) = (Vec::new(), 100);
        loop {
            for effect in effects {
                match effect {
                    Effect::Start { run, sample_id, .. } => {
                        started.push(sample_id.clone());
                        running.push((run, sample_id));
                    }
                    Effect::Cancel(run) => panic!("{run:?} is ended for another's place"),
                    _ => {}
                }
            }
            if running.is_empty() {
                return started;
            }
            now += 50;
            let (run, sample_id) = running.remove(0);
            effects = self.step(now, &Event::Ended { run, end: End::Whole });
            effects.extend(self.step(now, &Event::ResultStored(sample_id)));
        }
    }
}

fn due(due: u64) -> Demand {
    Demand { due: Some(Time(due)), ..Demand::default() }
}

#[test]
fn jobs_of_equal_priority_start_by_arrival() {
    let order = |first: Demand, second: Demand| {
        let mut instance = Instance::new("me", &["me"]);
        // Another request holds the place until both are known.
        instance.observations.request_started("a");
        instance.observations.request_started("a");
        let mut effects = instance.step(5, &Event::Opened(spec("z", 3, first)));
        effects.extend(instance.step(6, &Event::Opened(spec("b", 3, second))));
        // Only whose turn the samples are is reported.
        let is_report = |effect: &Effect| matches!(effect, Effect::Reassigned { .. });
        assert!(effects.iter().all(is_report), "{effects:?}");
        instance.observations.request_ended(Time(7), "a");
        instance.observations.request_ended(Time(7), "a");
        let effects = instance.step(100, &Event::Tick);
        instance.drain(effects).into_iter().map(|sample_id| sample_id.job).collect::<Vec<_>>()
    };
    let arrived = ["z", "z", "z", "b", "b", "b"];
    assert_eq!(order(Demand::default(), Demand::default()), arrived);
    assert_eq!(order(due(60_000), due(30_000)), arrived);
    let owned = |priority, due| Demand { organisation: "survey".into(), priority, ..due };
    let by_class = order(owned(1, due(30_000)), owned(0, due(60_000)));
    assert_eq!(by_class, ["b", "b", "b", "z", "z", "z"]);
}

#[test]
fn instances_that_read_different_records_still_run_each_sample_once() {
    let members = ["me", "you"];
    let mut started: Vec<SampleId> = Vec::new();
    for id in members {
        let mut instance = Instance::new(id, &members);
        let owned = |priority, due| Demand { organisation: "survey".into(), priority, ..due };
        let demand = Demand { groups_wanted: 9, ..owned(1, due(30_000)) };
        // Only one of them has read this result and this job so far.
        let has_read = id == "me";
        let mut first = spec("a", 10, demand);
        first.done[0] = has_read;
        let mut effects = instance.step(5, &Event::Opened(first));
        if has_read {
            effects.extend(instance.step(6, &Event::Opened(spec("b", 10, owned(0, due(20_000))))));
        }
        started.extend(instance.drain(effects));
    }
    let all: BTreeSet<&SampleId> = started.iter().collect();
    assert_eq!(all.len(), started.len(), "no sample started twice: {started:?}");
    let first_job = started.iter().filter(|sample_id| sample_id.job == "a").count();
    assert!(first_job >= 9, "all samples without a result ran: {first_job}");
}

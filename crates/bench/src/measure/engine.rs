//! A modelled engine.

use std::collections::{BTreeMap, VecDeque};

use hollywell::{core::member::Load, prelude::Dispatch};
use rand::{Rng, rngs::StdRng};

/// Requests that an engine generates for at once.
pub const SLOTS: u32 = 8;
/// Time for a token, in milliseconds.
const TOKEN_MS: u64 = 10;
/// Time to read a prompt whose prefix is not cached, in milliseconds.
const PREFILL_MS: u64 = 400;
/// Prefixes that the cache holds.
const CACHED: usize = 12;
/// One in so many samples is a straggler.
const STRAGGLER_ONE_IN: u32 = 60;
/// How many times as long a straggler is.
const STRAGGLER_FACTOR: u64 = 6;
/// Tokens of a sample, least and most.
const SAMPLE_TOKENS: (u64, u64) = (40, 120);
/// Tokens of a live completion.
const LIVE_TOKENS: u64 = 20;

/// What a job generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A sample of the prompt with this number.
    Sample {
        /// The trainer's place.
        trainer: usize,
        /// Number of the prompt, the same for its group.
        prompt: u64,
    },
    /// A live completion.
    Live,
}

/// Something that an engine generates for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The instance that asked.
    pub instance: usize,
    /// Its attempt.
    pub dispatch: Dispatch,
    /// What it generates.
    pub work: Work,
    /// When it was given a slot.
    pub began: u64,
}

/// A modelled engine.
#[derive(Debug)]
pub struct Engine {
    running: BTreeMap<u64, Job>,
    waiting: BTreeMap<(u8, u64), Job>,
    cache: VecDeque<u64>,
    /// Version served by trainer, with the times from which on.
    pub served: Vec<Vec<(u64, u64)>>,
    /// Unreachable until then.
    pub down_until: u64,
    /// Orders that still fail.
    pub failing_swaps: u32,
    /// Prompts found in the cache, and looked up.
    pub hits: (u64, u64),
    /// Milliseconds of slots spent.
    pub spent_ms: u64,
    next_job: u64,
}

impl Engine {
    /// An idle engine that serves version 0 of each trainer.
    #[must_use]
    pub fn new(trainers: usize) -> Engine {
        Engine {
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            cache: VecDeque::new(),
            served: vec![vec![(0, 0)]; trainers],
            down_until: 0,
            failing_swaps: 0,
            hits: (0, 0),
            spent_ms: 0,
            next_job: 0,
        }
    }

    /// Puts a job into the queue; lower priorities go first.
    pub fn queue(&mut self, priority: u8, job: Job) {
        self.next_job += 1;
        self.waiting.insert((priority, self.next_job), job);
    }

    /// Gives free slots to waiting jobs and returns each with its number and
    /// how long it will take.
    pub fn start(&mut self, now: u64, rng: &mut StdRng) -> Vec<(u64, u64)> {
        let mut started = vec![];
        while self.running.len() < SLOTS as usize {
            let Some(((_, number), mut job)) = self.waiting.pop_first() else {
                break;
            };
            job.began = now;
            let took_ms = self.draw_ms(job.work, rng);
            self.running.insert(number, job);
            started.push((number, took_ms));
        }
        started
    }

    fn draw_ms(&mut self, work: Work, rng: &mut StdRng) -> u64 {
        match work {
            Work::Live => LIVE_TOKENS * TOKEN_MS,
            Work::Sample { prompt, .. } => {
                let mut tokens = rng.random_range(SAMPLE_TOKENS.0..=SAMPLE_TOKENS.1);
                if rng.random_ratio(1, STRAGGLER_ONE_IN) {
                    tokens *= STRAGGLER_FACTOR;
                }
                let prefill_ms = if self.touch(prompt) { 0 } else { PREFILL_MS };
                prefill_ms + tokens * TOKEN_MS
            }
        }
    }

    fn touch(&mut self, prompt: u64) -> bool {
        let known = self.cache.iter().position(|cached| *cached == prompt);
        if let Some(place) = known {
            self.cache.remove(place);
        }
        self.cache.push_back(prompt);
        if self.cache.len() > CACHED {
            self.cache.pop_front();
        }
        self.hits.0 += u64::from(known.is_some());
        self.hits.1 += 1;
        known.is_some()
    }

    /// Ends a running job, if it still runs.
    pub fn finish(&mut self, number: u64, now: u64) -> Option<Job> {
        let job = self.running.remove(&number)?;
        self.spent_ms += now - job.began;
        Some(job)
    }

    /// Drops a job that is not wanted any longer, and returns how long it
    /// had a slot, in milliseconds.
    pub fn cancel(&mut self, instance: usize, dispatch: Dispatch, now: u64) -> Option<u64> {
        let same = |job: &Job| job.instance == instance && job.dispatch == dispatch;
        self.waiting.retain(|_, job| !same(job));
        let number = self.running.iter().find(|(_, job)| same(job)).map(|(number, _)| *number)?;
        self.finish(number, now).map(|job| now - job.began)
    }

    /// Ends everything: the engine crashed.
    pub fn crash(&mut self, now: u64) -> Vec<Job> {
        self.spent_ms += self.running.values().map(|job| now - job.began).sum::<u64>();
        let running = std::mem::take(&mut self.running).into_values();
        let waiting = std::mem::take(&mut self.waiting).into_values();
        running.chain(waiting).collect()
    }

    /// The versions of a trainer that were served from `began` to `ended`.
    #[must_use]
    pub fn versions(&self, trainer: usize, began: u64, ended: u64) -> Vec<u64> {
        let served = &self.served[trainer];
        let before = served.iter().rev().find(|(at, _)| *at <= began);
        let mut versions = vec![before.map_or(0, |(_, version)| *version)];
        let during = served.iter().filter(|(at, _)| *at > began && *at <= ended);
        versions.extend(during.map(|(_, version)| *version));
        versions
    }

    /// What it reports.
    #[must_use]
    pub fn load(&self) -> Load {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let newest = |served: &Vec<(u64, u64)>| served.last().map_or(0, |(_, version)| *version);
        let versions = self.served.iter().enumerate();
        let versions = versions.map(|(n, served)| (format!("trainer-{n}"), newest(served)));
        Load {
            slots: SLOTS,
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            versions: versions.collect(),
            leaving: false,
        }
    }
}

//! What a run is judged by.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Figures of one run.
#[derive(Debug)]
pub struct Figures {
    /// Trainers' time spent waiting for samples, in milliseconds.
    pub idle_ms: u64,
    /// Trainers' time spent training, in milliseconds.
    pub busy_ms: u64,
    /// Times of whole steps, in milliseconds.
    pub steps: Histogram<u64>,
    /// Steps that were not whole in time.
    pub late: u64,
    /// Versions that delivered samples were behind.
    pub behind: Histogram<u64>,
    /// Samples refused as too old.
    pub stale: u64,
    /// Times of live completions, in milliseconds.
    pub live: Histogram<u64>,
    /// Live completions refused.
    pub refused: u64,
    /// Live completions asked for.
    pub asked: u64,
    /// Times from a version's publication to an engine's serving it, in
    /// milliseconds.
    pub served: Histogram<u64>,
    /// Fetches that the store refused.
    pub store_refused: u64,
    /// Tries beyond the first.
    pub retries: u64,
    /// Prompts found in caches, and looked up.
    pub hits: (u64, u64),
    /// Milliseconds of slots spent, and those whose result was not delivered.
    pub slots_ms: (u64, u64),
}

impl Default for Figures {
    fn default() -> Figures {
        // Three digits are well below the spread between seeds.
        let histogram = || Histogram::new(3).expect("three significant digits are supported");
        Figures {
            idle_ms: 0,
            busy_ms: 0,
            steps: histogram(),
            late: 0,
            behind: histogram(),
            stale: 0,
            live: histogram(),
            served: histogram(),
            store_refused: 0,
            refused: 0,
            asked: 0,
            retries: 0,
            hits: (0, 0),
            slots_ms: (0, 0),
        }
    }
}

/// One line of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The deployment.
    pub deployment: &'static str,
    /// The policy.
    pub policy: &'static str,
    /// Share of trainers' time spent waiting, in percent.
    pub idle_percent: f64,
    /// Whole steps.
    pub steps: u64,
    /// Steps not whole in time.
    pub late: u64,
    /// Median time of a step, in milliseconds.
    pub step_p50_ms: u64,
    /// 99th percentile of a step's time, in milliseconds.
    pub step_p99_ms: u64,
    /// Versions behind, on average.
    pub behind: f64,
    /// Samples refused as too old, in percent.
    pub stale_percent: f64,
    /// Median of live completions, relative to a run without trainers.
    pub live_p50_ratio: f64,
    /// 99th percentile of live completions, relative to one without trainers.
    pub live_p99_ratio: f64,
    /// Live completions refused, in percent.
    pub refused_percent: f64,
    /// Retries in a hundred live completions.
    pub retries_percent: f64,
    /// Prompts found in a cache, in percent.
    pub hits_percent: f64,
    /// Slots' time spent for nothing, in percent.
    pub wasted_percent: f64,
    /// 99th percentile of the time until an engine serves a new version, in
    /// milliseconds.
    pub served_p99_ms: u64,
    /// Fetches that the store refused.
    pub store_refused: u64,
}

fn percent(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        _ => part as f64 * 100.0 / whole as f64,
    }
}

impl Figures {
    /// Adds another run's figures.
    pub fn add(&mut self, other: &Figures) {
        self.idle_ms += other.idle_ms;
        self.busy_ms += other.busy_ms;
        for (own, others) in [
            (&mut self.steps, &other.steps),
            (&mut self.behind, &other.behind),
            (&mut self.live, &other.live),
            (&mut self.served, &other.served),
        ] {
            own.add(others).expect("histograms without a bound grow");
        }
        self.late += other.late;
        self.stale += other.stale;
        self.refused += other.refused;
        self.asked += other.asked;
        self.retries += other.retries;
        self.store_refused += other.store_refused;
        self.hits = (self.hits.0 + other.hits.0, self.hits.1 + other.hits.1);
        self.slots_ms = (self.slots_ms.0 + other.slots_ms.0, self.slots_ms.1 + other.slots_ms.1);
    }

    /// The line of the table, given a run without trainers.
    #[must_use]
    pub fn row(&self, deployment: &'static str, policy: &'static str, unloaded: &Figures) -> Row {
        let ratio = |quantile: f64| {
            let base = unloaded.live.value_at_quantile(quantile).max(1);
            self.live.value_at_quantile(quantile) as f64 / base as f64
        };
        Row {
            deployment,
            policy,
            idle_percent: percent(self.idle_ms, self.idle_ms + self.busy_ms),
            steps: self.steps.len(),
            late: self.late,
            step_p50_ms: self.steps.value_at_quantile(0.5),
            step_p99_ms: self.steps.value_at_quantile(0.99),
            behind: self.behind.mean(),
            stale_percent: percent(self.stale, self.stale + self.behind.len()),
            live_p50_ratio: ratio(0.5),
            live_p99_ratio: ratio(0.99),
            refused_percent: percent(self.refused, self.asked),
            retries_percent: percent(self.retries, self.asked),
            hits_percent: percent(self.hits.0, self.hits.1),
            wasted_percent: percent(self.slots_ms.1, self.slots_ms.0),
            served_p99_ms: self.served.value_at_quantile(0.99),
            store_refused: self.store_refused,
        }
    }
}

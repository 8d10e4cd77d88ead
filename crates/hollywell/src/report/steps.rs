//! Breakdown of the duration of steps, from the logs of all instances.
//!
//! A step ends with its last sample, so the breakdown follows that sample: until it
//! starts; while it runs, divided into the time on an idle engine and the excess;
//! until its result is listed; and until the trainer has read it and ends the step.
//! The logs must be written at level debug, and each line must be prefixed with its time
//! in seconds and its instance, as log collectors do: `41.2 h1
//! {"level":"DEBUG",...,"message":"..."}`.
//!
//! Steps without an end or without a complete sample are left out. The report does
//! not name causes; `docs/OPERATIONS.md` describes how to find them.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::{self, BufRead},
};

use serde::Deserialize;

/// Minimum number of events of a run that counts for the speed of an idle engine. Shorter
/// runs spend most of their time waiting.
const MIN_EVENTS: u64 = 20;
/// Quantile of the times per event that is taken as the time on an idle engine.
const IDLE_QUANTILE: f64 = 0.05;
/// Quantile of the start times of a step's samples for [`Step::most_begun`].
const MOST_BEGUN_QUANTILE: f64 = 0.9;

/// Breakdown of one step, in seconds. The fields are named like the printed columns.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Id of its job.
    pub job: String,
    /// Number of samples.
    pub samples: u64,
    /// From the acceptance of the job until 90% of the samples had started.
    pub most_begun: f64,
    /// From the acceptance of the job until the last sample, the one listed last, started.
    pub begins: f64,
    /// Time that the last sample would have taken on an idle engine.
    pub idle: f64,
    /// Excess over that time, due to overloaded or slow engines or to moves between engines.
    pub lost: f64,
    /// From the end of the last sample until its result was listed.
    pub listed: f64,
    /// From the listing of that result until the trainer ended the step.
    pub read: f64,
}

impl Step {
    /// Time from the acceptance of the job until its end.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.begins + self.idle + self.lost + self.listed + self.read
    }
}

/// The part of a JSON log line that the report reads.
#[derive(Deserialize)]
struct LogLine {
    message: String,
}

/// A sample as found in the logs.
#[derive(Clone, Debug, Default)]
struct Sample {
    started: Option<f64>,
    /// True if it was started more than once.
    moved: bool,
    /// When its text was complete, and its number of events.
    completed: Option<(f64, u64)>,
    /// When its result was listed.
    listed: Option<f64>,
}

/// A job as found in the logs.
#[derive(Clone, Debug, Default)]
struct Job {
    samples: u64,
    accepted: Option<f64>,
    ended: Option<f64>,
    samples_by_index: BTreeMap<u64, Sample>,
}

/// Reads the steps from a log and returns them in the order of their acceptance. Lines
/// that do not have the expected form are skipped.
///
/// # Errors
///
/// If the log cannot be read.
///
/// # Example
///
/// ```
/// use hollywell::report::steps::read;
///
/// let log = r#"1.0 h1 {"message":"job j of 1 samples accepted"}
/// 1.5 h2 {"message":"sample j/0 starts at e after event 0"}
/// 3.5 h2 {"message":"sample j/0 at e: Whole, 50 events"}
/// 3.6 h2 {"message":"sample j/0 is whole: record 2 or after"}
/// 4.0 h1 {"message":"end of job j accepted"}"#;
/// let step = &read(log.as_bytes())?[0];
/// assert!((step.begins - 0.5).abs() < 1e-9 && (step.idle - 2.0).abs() < 1e-9);
/// // A step without an end is left out, as its duration is unknown.
/// assert!(read(&log.as_bytes()[..log.len() - 40])?.is_empty());
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn read(log: impl BufRead) -> io::Result<Vec<Step>> {
    let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
    for line in log.lines() {
        let line = line?;
        let mut words = line.trim_start().splitn(3, ' ');
        let at = words.next().and_then(|at| at.parse::<f64>().ok());
        let parsed = words.nth(1).and_then(|json| serde_json::from_str::<LogLine>(json).ok());
        if let (Some(at), Some(LogLine { message })) = (at, parsed) {
            apply(&mut jobs, at, &message);
        }
    }
    let idle_seconds = idle_seconds_per_event(&jobs);
    let mut steps: Vec<(f64, Step)> = jobs
        .iter()
        .filter_map(|(id, job)| Some((job.accepted?, step(id, job, idle_seconds)?)))
        .collect();
    steps.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    Ok(steps.into_iter().map(|(_, step)| step).collect())
}

/// Applies one log message.
fn apply(jobs: &mut BTreeMap<String, Job>, at: f64, message: &str) {
    let words: Vec<&str> = message.split(' ').collect();
    match words[..] {
        ["job", id, "of", samples, "samples", "accepted"] => {
            let job = jobs.entry(id.to_owned()).or_default();
            job.accepted = job.accepted.or(Some(at));
            job.samples = samples.parse().unwrap_or_default();
        }
        ["end", "of", "job", id, "accepted"] => {
            let job = jobs.entry(id.to_owned()).or_default();
            job.ended = job.ended.or(Some(at));
        }
        ["sample", slot, ref rest @ ..] => {
            let Some((id, index)) = slot.split_once('/') else {
                return;
            };
            let Ok(index) = index.parse() else {
                return;
            };
            let job = jobs.entry(id.to_owned()).or_default();
            apply_to_sample(job.samples_by_index.entry(index).or_default(), at, rest);
        }
        _ => {}
    }
}

/// Applies a log message about a sample.
fn apply_to_sample(sample: &mut Sample, at: f64, words: &[&str]) {
    match words {
        ["starts", "at", ..] if sample.started.is_none() => sample.started = Some(at),
        ["starts", "at", ..] => sample.moved = true,
        ["at", _, "Whole,", events, "events"] if sample.completed.is_none() => {
            sample.completed = events.parse().ok().map(|events| (at, events));
        }
        ["is", "whole:", ..] if sample.listed.is_none() => sample.listed = Some(at),
        _ => {}
    }
}

/// Returns the seconds per event on an idle engine: those of the fastest runs that
/// never moved.
fn idle_seconds_per_event(jobs: &BTreeMap<String, Job>) -> f64 {
    let seconds_per_event = |sample: &Sample| {
        let (completed, events) = sample.completed?;
        let started = sample.started.filter(|_| !sample.moved && events >= MIN_EVENTS)?;
        Some((completed - started) / events as f64)
    };
    let mut all: Vec<f64> = jobs
        .values()
        .flat_map(|job| job.samples_by_index.values())
        .filter_map(seconds_per_event)
        .collect();
    quantile(&mut all, IDLE_QUANTILE)
}

/// Returns a quantile of the values, or 0 if there are none.
fn quantile(values: &mut [f64], ratio: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * ratio) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

/// Returns the breakdown of a job's step, or `None` if its end or a complete sample is
/// missing. Samples that were listed after the end do not count.
fn step(id: &str, job: &Job, idle_seconds_per_event: f64) -> Option<Step> {
    let (accepted, ended) = (job.accepted?, job.ended?);
    let listed_in_time = |sample: &&Sample| sample.listed.is_some_and(|listed| listed <= ended);
    let last = job.samples_by_index.values().filter(listed_in_time);
    let last = last.max_by(|a, b| a.listed.unwrap_or(0.0).total_cmp(&b.listed.unwrap_or(0.0)))?;
    let (started, listed) = (last.started?, last.listed?);
    let (completed, events) = last.completed?;
    let mut start_delays: Vec<f64> = job
        .samples_by_index
        .values()
        .filter_map(|sample| Some(sample.started? - accepted))
        .collect();
    let idle = events as f64 * idle_seconds_per_event;
    Some(Step {
        job: id.to_owned(),
        samples: job.samples,
        most_begun: quantile(&mut start_delays, MOST_BEGUN_QUANTILE),
        begins: started - accepted,
        idle,
        lost: completed - started - idle,
        listed: listed - completed,
        read: ended - listed,
    })
}

/// Formats the steps as a table with the median and the 90th percentile of each
/// column.
#[must_use]
pub fn text(steps: &[Step]) -> String {
    let mut out = String::from(
        "job               samples  most begun  begins  idle  lost  listed  read  total\n",
    );
    for step in steps {
        row(&mut out, &step.job, &step.samples.to_string(), columns(step));
    }
    for (name, ratio) in [("p50", 0.5), ("p90", 0.9)] {
        let column = |at: usize| {
            let mut values: Vec<f64> = steps.iter().map(|step| columns(step)[at]).collect();
            quantile(&mut values, ratio)
        };
        row(&mut out, name, "", std::array::from_fn(column));
    }
    out
}

/// Returns the values of the columns after `samples`.
fn columns(step: &Step) -> [f64; 7] {
    let total = step.total();
    [step.most_begun, step.begins, step.idle, step.lost, step.listed, step.read, total]
}

fn row(out: &mut String, name: &str, samples: &str, columns: [f64; 7]) {
    let [most, begins, idle, lost, listed, read, total] = columns;
    // Writing to a string cannot fail.
    let _infallible = writeln!(
        out,
        "{name:17} {samples:>7} {most:11.2} {begins:7.2} {idle:5.2} {lost:5.2} {listed:7.2} \
         {read:5.2} {total:6.2}"
    );
}

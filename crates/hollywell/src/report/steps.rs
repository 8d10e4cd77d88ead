//! What the time of a step is made of, from the logs of all instances.
//!
//! A step ends with its last sample, so that sample is followed: until it
//! begins, while it runs (as long as on an idle engine, and longer), until it
//! is listed, until the trainer, who has read it, ends the step. Logs must be
//! of level debug, each line with the seconds and the instance in front, as
//! collectors put them: `41.2 h1 {"level":"DEBUG",...,"message":"..."}`.
//!
//! What it leaves out: steps without an end or a whole sample, and who was at
//! fault; `docs/OPERATIONS.md` says where to look next.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::{self, BufRead},
};

use serde::Deserialize;

/// Events from which on a run tells of its engine's pace: shorter ones are
/// mostly waiting.
const MIN_EVENTS: u64 = 20;
/// Share of runs that are faster than what is taken for an idle engine's
/// pace.
const IDLE_SHARE: f64 = 0.05;
/// Share of the samples that have begun where "most have".
const MOST: f64 = 0.9;

/// One step, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its job.
    pub job: String,
    /// Samples.
    pub samples: u64,
    /// From its acceptance until nine tenths of the samples had begun.
    pub most_begun: f64,
    /// From its acceptance until its last sample began.
    pub begins: f64,
    /// What that sample would have taken on an idle engine.
    pub idle: f64,
    /// What it took beyond that: crowded or slow engines, moves.
    pub lost: f64,
    /// From its end until it was listed.
    pub listed: f64,
    /// From then until the trainer ended the step.
    pub read: f64,
}

impl Step {
    /// From its acceptance until its end.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.begins + self.idle + self.lost + self.listed + self.read
    }
}

#[derive(Deserialize)]
struct Line {
    message: String,
}

/// A sample as the logs tell of it.
#[derive(Clone, Debug, Default)]
struct Sample {
    began: Option<f64>,
    moved: bool,
    /// When its text was whole, and of how many events.
    whole: Option<(f64, u64)>,
    listed: Option<f64>,
}

/// A job as the logs tell of it.
#[derive(Clone, Debug, Default)]
struct Job {
    samples: u64,
    accepted: Option<f64>,
    ended: Option<f64>,
    by_place: BTreeMap<u64, Sample>,
}

/// Reads the steps that a log tells of, in the order of their acceptance.
/// Lines of another form are skipped.
///
/// # Errors
///
/// Those of the reader.
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
/// // A step without an end is none: nobody knows how long it took.
/// assert!(read(&log.as_bytes()[..log.len() - 40])?.is_empty());
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn read(log: impl BufRead) -> io::Result<Vec<Step>> {
    let mut jobs: BTreeMap<String, Job> = BTreeMap::new();
    for line in log.lines() {
        let line = line?;
        let mut words = line.trim_start().splitn(3, ' ');
        let at = words.next().and_then(|at| at.parse::<f64>().ok());
        let parsed = words.nth(1).and_then(|json| serde_json::from_str::<Line>(json).ok());
        if let (Some(at), Some(Line { message })) = (at, parsed) {
            take(&mut jobs, at, &message);
        }
    }
    let pace = idle_pace(&jobs);
    let mut steps: Vec<(f64, Step)> =
        jobs.iter().filter_map(|(id, job)| Some((job.accepted?, step(id, job, pace)?))).collect();
    steps.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    Ok(steps.into_iter().map(|(_, step)| step).collect())
}

/// Takes one message over.
fn take(jobs: &mut BTreeMap<String, Job>, at: f64, message: &str) {
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
            let Some((id, place)) = slot.split_once('/') else {
                return;
            };
            let Ok(place) = place.parse() else {
                return;
            };
            let job = jobs.entry(id.to_owned()).or_default();
            tell(job.by_place.entry(place).or_default(), at, rest);
        }
        _ => {}
    }
}

/// Takes over what a message says of a sample.
fn tell(sample: &mut Sample, at: f64, words: &[&str]) {
    match words {
        ["starts", "at", ..] if sample.began.is_none() => sample.began = Some(at),
        ["starts", "at", ..] => sample.moved = true,
        ["at", _, "Whole,", events, "events"] if sample.whole.is_none() => {
            sample.whole = events.parse().ok().map(|events| (at, events));
        }
        ["is", "whole:", ..] if sample.listed.is_none() => sample.listed = Some(at),
        _ => {}
    }
}

/// Seconds an event on an idle engine: as fast as the fastest runs that never
/// moved.
fn idle_pace(jobs: &BTreeMap<String, Job>) -> f64 {
    let pace = |sample: &Sample| {
        let (whole, events) = sample.whole?;
        let began = sample.began.filter(|_| !sample.moved && events >= MIN_EVENTS)?;
        Some((whole - began) / events as f64)
    };
    let mut paces: Vec<f64> =
        jobs.values().flat_map(|job| job.by_place.values()).filter_map(pace).collect();
    share_of(&mut paces, IDLE_SHARE)
}

/// The value below which a share of all values lies; 0 if there are none.
fn share_of(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * share) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

fn step(id: &str, job: &Job, pace: f64) -> Option<Step> {
    let (accepted, ended) = (job.accepted?, job.ended?);
    let counted = |sample: &&Sample| sample.listed.is_some_and(|listed| listed <= ended);
    let last = job.by_place.values().filter(counted);
    let last = last.max_by(|a, b| a.listed.unwrap_or(0.0).total_cmp(&b.listed.unwrap_or(0.0)))?;
    let (began, listed) = (last.began?, last.listed?);
    let (whole, events) = last.whole?;
    let mut begun: Vec<f64> =
        job.by_place.values().filter_map(|sample| Some(sample.began? - accepted)).collect();
    let idle = events as f64 * pace;
    Some(Step {
        job: id.to_owned(),
        samples: job.samples,
        most_begun: share_of(&mut begun, MOST),
        begins: began - accepted,
        idle,
        lost: whole - began - idle,
        listed: listed - whole,
        read: ended - listed,
    })
}

/// The steps as a table, and the median and ninth tenth of each column.
#[must_use]
pub fn text(steps: &[Step]) -> String {
    let mut out = String::from(
        "job               samples  most begun  begins  idle  lost  listed  read  total\n",
    );
    for step in steps {
        let all = columns(step);
        row(&mut out, &step.job, &step.samples.to_string(), all);
    }
    for (name, share) in [("p50", 0.5), ("p90", 0.9)] {
        let column = |at: usize| {
            let mut values: Vec<f64> = steps.iter().map(|step| columns(step)[at]).collect();
            share_of(&mut values, share)
        };
        row(&mut out, name, "", std::array::from_fn(column));
    }
    out
}

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

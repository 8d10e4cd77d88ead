//! Checks the histories of a concurrent run against the properties that must
//! always hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
};

use serde::Serialize;

use crate::history::{self, Event, Line, Reply};

/// Time after which a leaving target must get no new work, in milliseconds.
pub const LEAVING_MS: u64 = 4_000;
/// Time in which an accepted change must be in force, in milliseconds.
pub const IN_FORCE_MS: u64 = 5_000;
/// Maximum number of violations that are described.
const MAX_VIOLATION_TEXTS: usize = 20;

/// What the histories show. The counts from `samples_missing` on are
/// violations, except for `table_in_force` and `graceful_stops`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Steps that ended.
    pub steps: u64,
    /// Samples received.
    pub samples: u64,
    /// Samples that a step which ended as whole did not get, and those of
    /// steps that were not whole in time.
    pub samples_missing: u64,
    /// Samples received again.
    pub samples_twice: u64,
    /// Samples older than the bound.
    pub samples_too_stale: u64,
    /// Samples whose versions are not those that produced them.
    pub versions_unnamed: u64,
    /// Calls made.
    pub app_calls: u64,
    /// Calls that were answered at least once.
    pub app_answered: u64,
    /// Calls that ran more than once.
    pub app_ran_twice: u64,
    /// Calls told "not run" although they had run, or as the last word.
    pub refused_but_ran: u64,
    /// Answers that are not whole or belong to another call.
    pub answers_wrong: u64,
    /// Requests given to a target that had left long enough ago.
    pub leaving_given_work: u64,
    /// Requests that an orderly stopping instance cut off.
    pub stops_cut: u64,
    /// Readings in which a row went back.
    pub table_reverted: u64,
    /// True if every accepted change was seen in force in time at every
    /// instance that was read afterwards.
    pub table_in_force: bool,
    /// Instances that stopped with exit code 0 when asked to.
    pub graceful_stops: u64,
    /// Descriptions of the first violations.
    #[serde(skip)]
    pub violation_texts: Vec<String>,
}

impl Verdict {
    /// True if nothing was violated.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.violations() == 0 && self.table_in_force
    }

    /// True if nothing was violated, whatever the machine's speed: without
    /// samples that did not come in time, and without the times in which a
    /// change must be in force and a leaving target free of new work.
    #[must_use]
    pub fn holds_untimed(&self) -> bool {
        self.violations() == self.samples_missing + self.leaving_given_work
    }

    /// Number of violations.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.samples_missing
            + self.samples_twice
            + self.samples_too_stale
            + self.versions_unnamed
            + self.app_ran_twice
            + self.refused_but_ran
            + self.answers_wrong
            + self.leaving_given_work
            + self.stops_cut
            + self.table_reverted
    }

    fn describe(&mut self, text: String) {
        if self.violation_texts.len() < MAX_VIOLATION_TEXTS {
            self.violation_texts.push(text);
        }
    }
}

/// Reads a directory of histories, prints the verdict with one JSON object
/// as its last line, and returns true if everything held.
///
/// # Errors
///
/// If the histories cannot be read.
pub fn run(directory: &Path, untimed: bool) -> std::io::Result<bool> {
    let verdict = judge(&history::read(directory)?);
    for violation in &verdict.violation_texts {
        println!("violation: {violation}");
    }
    println!("{}", serde_json::to_string(&verdict)?);
    Ok(if untimed { verdict.holds_untimed() } else { verdict.holds() })
}

/// Checks histories, ordered by time.
#[must_use]
pub fn judge(lines: &[Line]) -> Verdict {
    let mut verdict = Verdict { table_in_force: true, ..Verdict::default() };
    judge_samples(lines, &mut verdict);
    judge_calls(lines, &mut verdict);
    judge_leaving(lines, &mut verdict);
    judge_stops(lines, &mut verdict);
    judge_table(lines, &mut verdict);
    verdict
}

/// A trainer and the number of its step.
type StepId = (String, u64);

fn judge_samples(lines: &[Line], verdict: &mut Verdict) {
    let mut produced: BTreeMap<&str, &Vec<u64>> = BTreeMap::new();
    for line in lines {
        if let Event::Generated { id, versions } = &line.event {
            produced.insert(id, versions);
        }
    }
    let mut opened: BTreeMap<StepId, (u64, u64)> = BTreeMap::new();
    let mut received: BTreeMap<StepId, BTreeSet<(u32, u32)>> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Opened { trainer, step, samples, version, staleness } => {
                let oldest = version.saturating_sub(*staleness);
                opened.insert((trainer.clone(), *step), (*samples, oldest));
            }
            Event::Sample { trainer, step, group, index, id, versions } => {
                let place = (trainer.clone(), *step);
                verdict.samples += 1;
                let known = received.entry(place.clone()).or_default();
                if !known.insert((*group, *index)) {
                    verdict.samples_twice += 1;
                    verdict.describe(format!("sample twice: {place:?} {group}/{index}"));
                }
                let oldest = opened.get(&place).map(|(_, oldest)| *oldest);
                if versions.iter().min().is_some_and(|version| Some(*version) < oldest) {
                    verdict.samples_too_stale += 1;
                    verdict.describe(format!("sample too stale: {id} of {versions:?}"));
                }
                if versions.is_empty() || produced.get(id.as_str()) != Some(&versions) {
                    verdict.versions_unnamed += 1;
                    let by = produced.get(id.as_str());
                    verdict.describe(format!("sample {id} names {versions:?}, produced by {by:?}"));
                }
            }
            Event::StepEnded { trainer, step, .. } => {
                verdict.steps += 1;
                let place = (trainer.clone(), *step);
                let wanted = opened.get(&place).map_or(0, |(samples, _)| *samples);
                let got = received.get(&place).map_or(0, BTreeSet::len) as u64;
                verdict.samples_missing += wanted.saturating_sub(got);
            }
            _ => {}
        }
    }
}

#[derive(Debug, Default)]
struct Call {
    sent: Vec<u64>,
    runs: Vec<u64>,
    replies: Vec<(u64, Reply)>,
}

fn judge_calls(lines: &[Line], verdict: &mut Verdict) {
    let mut calls: BTreeMap<&str, Call> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Sent { key, .. } => {
                calls.entry(key).or_default().sent.push(line.at);
            }
            Event::Ran { key, .. } if !key.is_empty() => {
                calls.entry(key).or_default().runs.push(line.at);
            }
            Event::Replied { key, reply, matches, .. } => {
                calls.entry(key).or_default().replies.push((line.at, *reply));
                if !matches {
                    verdict.answers_wrong += 1;
                    verdict.describe(format!("answer to {key} is not its own"));
                }
            }
            _ => {}
        }
    }
    for (key, call) in calls {
        verdict.app_calls += 1;
        verdict.app_answered +=
            u64::from(call.replies.iter().any(|(_, reply)| *reply == Reply::Answer));
        if call.runs.len() > 1 {
            verdict.app_ran_twice += 1;
            verdict.describe(format!("{key} ran {} times", call.runs.len()));
        }
        if let Some(at) = refused_but_ran(&call) {
            verdict.refused_but_ran += 1;
            verdict.describe(format!("{key} told not run at {at}, ran at {:?}", call.runs));
        }
    }
}

/// When a call was told "not run" although it had run before, or ran after
/// that without having been sent again.
fn refused_but_ran(call: &Call) -> Option<u64> {
    let refused = call.replies.iter().filter(|(_, reply)| *reply == Reply::NotRun);
    let untrue = |at: u64| {
        call.runs.iter().any(|run| {
            let sent_again = call.sent.iter().any(|sent| *sent >= at && sent <= run);
            *run < at || !sent_again
        })
    };
    refused.map(|(at, _)| *at).find(|at| untrue(*at))
}

fn judge_leaving(lines: &[Line], verdict: &mut Verdict) {
    let mut leaving: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Leaving { target } => {
                leaving.entry(target).or_insert(line.at);
            }
            Event::Given { target } => {
                let since = leaving.get(target.as_str());
                if since.is_some_and(|since| line.at > since + LEAVING_MS) {
                    verdict.leaving_given_work += 1;
                    verdict.describe(format!("leaving {target} was given work at {}", line.at));
                }
            }
            _ => {}
        }
    }
}

fn judge_stops(lines: &[Line], verdict: &mut Verdict) {
    let mut killed: BTreeSet<&str> = BTreeSet::new();
    let mut asked: BTreeSet<&str> = BTreeSet::new();
    for line in lines {
        match &line.event {
            Event::Killed { entry } => {
                killed.insert(entry);
            }
            Event::StopAsked { entry } => {
                asked.insert(entry);
            }
            _ => {}
        }
    }
    for line in lines {
        match &line.event {
            Event::Replied { entry, reply: Reply::Cut, .. } | Event::StreamCut { entry }
                if !killed.contains(entry.as_str()) =>
            {
                verdict.stops_cut += 1;
                verdict.describe(format!("{entry} cut a request off at {}", line.at));
            }
            Event::Stopped { entry, code } if asked.contains(entry.as_str()) => match code {
                0 => verdict.graceful_stops += 1,
                _ => {
                    verdict.stops_cut += 1;
                    verdict.describe(format!("{entry} stopped with code {code}"));
                }
            },
            _ => {}
        }
    }
}

fn judge_table(lines: &[Line], verdict: &mut Verdict) {
    let mut accepted: Vec<(u64, &str, u64)> = vec![];
    let mut last: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut rows_seen: BTreeMap<(&str, u64, &str), u64> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Accepted { trainer, revision } => accepted.push((line.at, trainer, *revision)),
            Event::InForce { entry, incarnation, next, rows } => {
                let before = last.insert((entry, *incarnation), *next).unwrap_or_default();
                if *next < before {
                    verdict.table_reverted += 1;
                    verdict.describe(format!("{entry} went back from offset {before} to {next}"));
                }
                for (row, revision) in rows {
                    let place = (entry.as_str(), *incarnation, row.as_str());
                    let seen = rows_seen.insert(place, *revision).unwrap_or_default();
                    if *revision < seen {
                        verdict.table_reverted += 1;
                        verdict.describe(format!("{entry}: row {row} went back to {revision}"));
                    }
                }
                let due = accepted.iter().filter(|(at, ..)| line.at > at + IN_FORCE_MS);
                for (_, trainer, revision) in due {
                    if next <= revision {
                        verdict.table_in_force = false;
                        verdict.describe(format!("{entry}: {trainer} not at {revision} in time"));
                    }
                }
            }
            _ => {}
        }
    }
}

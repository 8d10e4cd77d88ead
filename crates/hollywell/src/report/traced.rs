//! Reconstructs metrics for the report from a recorded trace, by counting the effects
//! that the reducer returns when the trace is replayed.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

use super::{LATENCY_THRESHOLD_S, scrape::Scrape};
use crate::{
    core::{
        effect::{Effect, Reply},
        event::Event,
        id::Request,
        time::Time,
    },
    error::{Kind, Outcome},
    trace,
};

/// Interval of the reconstructed scrapes, in milliseconds.
const SCRAPE_INTERVAL_MS: u64 = 1_000;

/// Counters of the reconstructed metrics.
#[derive(Debug, Default)]
struct Counts {
    /// Requests without a reply, with their arrival times.
    arrived: BTreeMap<Request, Time>,
    /// Steps that ended with all samples.
    complete: u64,
    /// Steps whose deadline passed.
    late: u64,
    /// Answers within [`LATENCY_THRESHOLD_S`].
    fast: u64,
    answered: u64,
    /// Refusals that state that the request was not run.
    not_run: u64,
    /// Refusals that cannot state whether the request was run.
    unknown: u64,
}

impl Counts {
    fn record(&mut self, now: Time, event: &Event, effects: &[Effect]) {
        if let Event::Call { request, .. } = event {
            self.arrived.insert(*request, now);
        }
        for effect in effects {
            match effect {
                Effect::EndStep { missing: 0, .. } => self.complete += 1,
                Effect::EndStep { reason: Some(Kind::DeadlinePassed), .. } => self.late += 1,
                Effect::Reply { request, reply, .. } => self.record_reply(now, *request, reply),
                _ => {}
            }
        }
    }

    fn record_reply(&mut self, now: Time, request: Request, reply: &Reply) {
        let Some(arrived) = self.arrived.remove(&request) else {
            return;
        };
        match reply {
            Reply::Stored(_) | Reply::Relayed => {
                self.answered += 1;
                let elapsed_s = now.since(arrived) as f64 / 1_000.0;
                self.fast += u64::from(elapsed_s <= LATENCY_THRESHOLD_S);
            }
            Reply::Refused(kind) => match kind.answer().outcome {
                Outcome::NotRun => self.not_run += 1,
                Outcome::Unknown => self.unknown += 1,
            },
            Reply::Edited(_) => {}
        }
    }

    /// Formats the counters in the Prometheus exposition format.
    fn text(&self) -> String {
        let Counts { complete, late, fast, answered, not_run, unknown, .. } = self;
        format!(
            "# TYPE hollywell_answer_seconds histogram\n\
             hollywell_steps_total{{result=\"whole\"}} {complete}\n\
             hollywell_steps_total{{result=\"late\"}} {late}\n\
             hollywell_answers_total{{class=\"target\"}} {answered}\n\
             hollywell_answers_total{{class=\"not-run\"}} {not_run}\n\
             hollywell_answers_total{{class=\"unknown\"}} {unknown}\n\
             hollywell_answer_seconds_bucket{{class=\"target\",\
             le=\"{LATENCY_THRESHOLD_S}\"}} {fast}\n\
             hollywell_answer_seconds_bucket{{class=\"target\",le=\"+Inf\"}} {answered}\n"
        )
    }
}

/// Converts a trace into scrapes, at most one for each second, and one of the state
/// at its end.
///
/// # Errors
///
/// If the trace cannot be read.
pub fn scrapes(trace: impl BufRead) -> io::Result<Vec<Scrape>> {
    let mut counts = Counts::default();
    let mut texts = vec![];
    let mut next_scrape = Time(0);
    trace::replay_each(trace, |now, event, effects| {
        if now >= next_scrape {
            texts.push((now.0 / 1_000, counts.text()));
            next_scrape = now.after(SCRAPE_INTERVAL_MS);
        }
        counts.record(now, event, effects);
    })?;
    let end_s = texts.last().map_or(0, |(at_s, _)| at_s + 1);
    texts.push((end_s, counts.text()));
    texts.iter().map(|(at_s, text)| Scrape::parse(*at_s, "trace", text)).collect()
}

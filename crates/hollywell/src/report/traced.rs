//! Reconstructs metrics for the report from a recorded trace, by the reducer's
//! effects.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

use super::{SLOW_S, scrape::Scrape};
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

#[derive(Debug, Default)]
struct Counts {
    arrived: BTreeMap<Request, Time>,
    whole: u64,
    late: u64,
    fast: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
}

impl Counts {
    fn record(&mut self, now: Time, event: &Event, effects: &[Effect]) {
        if let Event::Call { request, .. } = event {
            self.arrived.insert(*request, now);
        }
        for effect in effects {
            match effect {
                Effect::EndStep { missing: 0, .. } => self.whole += 1,
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
                let took_s = now.since(arrived) as f64 / 1_000.0;
                self.fast += u64::from(took_s <= SLOW_S);
            }
            Reply::Refused(kind) => match kind.answer().outcome {
                Outcome::NotRun => self.not_run += 1,
                Outcome::Unknown => self.unknown += 1,
            },
            Reply::Edited(_) => {}
        }
    }

    fn text(&self) -> String {
        let Counts { whole, late, fast, answered, not_run, unknown, .. } = self;
        format!(
            "# TYPE hollywell_answer_seconds histogram\n\
             hollywell_steps_total{{result=\"whole\"}} {whole}\n\
             hollywell_steps_total{{result=\"late\"}} {late}\n\
             hollywell_answers_total{{class=\"target\"}} {answered}\n\
             hollywell_answers_total{{class=\"not-run\"}} {not_run}\n\
             hollywell_answers_total{{class=\"unknown\"}} {unknown}\n\
             hollywell_answer_seconds_bucket{{class=\"target\",le=\"{SLOW_S}\"}} {fast}\n\
             hollywell_answer_seconds_bucket{{class=\"target\",le=\"+Inf\"}} {answered}\n"
        )
    }
}

/// Converts a trace into scrapes, one for each second of it.
///
/// # Errors
///
/// If the trace cannot be read.
pub fn scrapes(trace: impl BufRead) -> io::Result<Vec<Scrape>> {
    let mut counts = Counts::default();
    let mut texts = vec![];
    let mut due = Time(0);
    trace::replay_each(trace, |now, event, effects| {
        if now >= due {
            texts.push((now.0 / 1_000, counts.text()));
            due = now.after(SCRAPE_INTERVAL_MS);
        }
        counts.record(now, event, effects);
    })?;
    let end_s = texts.last().map_or(0, |(at_s, _)| at_s + 1);
    texts.push((end_s, counts.text()));
    texts.iter().map(|(at_s, text)| Scrape::parse(*at_s, "trace", text)).collect()
}

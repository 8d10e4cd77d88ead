//! Recorded runs of real processes, replayed against stated outcomes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::BufReader,
    path::PathBuf,
};

use hollywell::{
    prelude::{Effect, Reply},
    report::{burn_rates, traced::scrapes},
    trace::replay,
};
use serde::{Deserialize, Serialize};

/// What came of a trace, counted from its effects.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Outcomes {
    /// Samples delivered, and different places among them.
    delivered: usize,
    places: usize,
    /// Steps ended whole.
    steps_whole: usize,
    /// Attempts at services.
    dispatched: usize,
    /// Requests answered by a target or from memory.
    answered: usize,
    /// Requests refused, by kind.
    refused: BTreeMap<String, usize>,
    /// Edits accepted.
    edits: usize,
    /// Orders to engines.
    orders: usize,
    /// True if the last effect ends the process.
    exits: bool,
}

fn outcomes(effects: &[Effect]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut places = BTreeSet::new();
    for effect in effects {
        match effect {
            Effect::Deliver { request, slot, .. } => {
                outcomes.delivered += 1;
                places.insert((*request, *slot));
            }
            Effect::EndStep { missing: 0, .. } => outcomes.steps_whole += 1,
            Effect::Dispatch { .. } => outcomes.dispatched += 1,
            Effect::Reply { reply: Reply::Stored(_) | Reply::Relayed, .. } => {
                outcomes.answered += 1;
            }
            Effect::Reply { reply: Reply::Refused(kind), .. } => {
                *outcomes.refused.entry(kind.as_str().to_owned()).or_default() += 1;
            }
            Effect::Reply { reply: Reply::Edited(_), .. } => outcomes.edits += 1,
            Effect::Order { .. } => outcomes.orders += 1,
            _ => {}
        }
    }
    outcomes.places = places.len();
    outcomes.exits = effects.last() == Some(&Effect::Exit);
    outcomes
}

fn check(name: &str) {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let trace = File::open(directory.join(format!("{name}.jsonl"))).expect("the trace is there");
    let effects = replay(BufReader::new(trace)).expect("the trace can be read");
    let effects: Vec<Effect> = effects.into_iter().flatten().collect();
    let got = outcomes(&effects);
    let path = directory.join(format!("{name}.outcomes.json"));
    let stated = fs::read_to_string(&path).expect("the outcomes are stated");
    let stated: Outcomes = serde_json::from_str(&stated).expect("they can be read");
    let shown = serde_json::to_string_pretty(&got).unwrap_or_default();
    assert_eq!(got, stated, "{name}: if the change is meant, state\n{shown}");
}

#[test]
fn a_step_beside_calls_that_are_refused_or_die_and_are_sent_again() {
    check("step-and-calls");
}

#[test]
fn a_process_paused_past_its_lease_during_a_log_outage() {
    check("pause-and-log-outage");
}

#[test]
fn the_report_of_a_trace_counts_what_its_outcomes_state() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let trace = File::open(directory.join("step-and-calls.jsonl")).expect("the trace is there");
    let scrapes = scrapes(BufReader::new(trace)).expect("the trace can be read");
    let of = |name: &str| {
        let burns = burn_rates(&scrapes).into_iter();
        burns
            .filter(|burn| burn.objective == name)
            .map(|burn| (burn.long.bad, burn.long.all))
            .next()
    };
    assert_eq!(of("steps on time"), Some((0.0, 1.0)));
    assert_eq!(of("live latency"), Some((0.0, 8.0)));
    // 12 unknown of 8 answered, 5 refused as not run and 12 unknown.
    assert_eq!(of("truthful refusals"), Some((12.0, 25.0)));
}

//! Replays recorded runs of real processes and compares the outcomes with the
//! expected ones.

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

/// Outcomes of a trace, counted from its effects.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Outcomes {
    /// Samples delivered.
    delivered: usize,
    /// Distinct slots of steps to which samples were delivered.
    places: usize,
    /// Steps that ended with all samples.
    steps_whole: usize,
    /// Calls dispatched to services.
    dispatched: usize,
    /// Requests answered by a target or with a stored answer.
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
    let trace = File::open(directory.join(format!("{name}.jsonl"))).expect("the trace file exists");
    let effects = replay(BufReader::new(trace)).expect("the trace is valid");
    let effects: Vec<Effect> = effects.into_iter().flatten().collect();
    let got = outcomes(&effects);
    let path = directory.join(format!("{name}.outcomes.json"));
    let expected = fs::read_to_string(&path).expect("the file of expected outcomes exists");
    let expected: Outcomes =
        serde_json::from_str(&expected).expect("the expected outcomes are valid");
    let shown = serde_json::to_string_pretty(&got).unwrap_or_default();
    assert_eq!(got, expected, "{name}: if the change is intended, the new outcomes are\n{shown}");
}

#[test]
fn a_step_with_concurrent_calls_that_fail_and_are_retried() {
    check("step-and-calls");
}

#[test]
fn a_process_paused_past_its_lease_during_a_log_outage() {
    check("pause-and-log-outage");
}

#[test]
fn the_report_of_a_trace_matches_its_outcomes() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let trace = File::open(directory.join("step-and-calls.jsonl")).expect("the trace file exists");
    let scrapes = scrapes(BufReader::new(trace)).expect("the trace is valid");
    let tally = |name: &str| {
        let burns = burn_rates(&scrapes).into_iter();
        burns
            .filter(|burn| burn.objective == name)
            .map(|burn| (burn.long.bad, burn.long.all))
            .next()
    };
    assert_eq!(tally("steps on time"), Some((0.0, 1.0)));
    assert_eq!(tally("live latency"), Some((0.0, 8.0)));
    // 8 calls were answered, 5 refused as not run, and 12 had an unknown outcome.
    assert_eq!(tally("truthful refusals"), Some((12.0, 25.0)));
}

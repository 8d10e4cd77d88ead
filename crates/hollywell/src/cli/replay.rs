//! `hollywell replay`: replays a recorded trace through the reducer and prints its
//! effects, or compares them with those of an earlier replay.

use std::{
    fs::File,
    io::{BufRead as _, BufReader},
    path::{Path, PathBuf},
};

use clap::{Arg, ArgMatches, Command, value_parser};

use super::Failure;
use crate::{core::effect::Effect, trace};

pub(super) fn command() -> Command {
    Command::new("replay")
        .about("Replay a recorded trace through the reducer and print or compare its effects")
        .arg(
            Arg::new("trace")
                .value_name("TRACE")
                .help("Trace recorded by serve (settings: [trace] file)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("FILE")
                .help("Effects printed by an earlier replay; the first difference is an error")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<(), Failure> {
    let path = args.get_one::<PathBuf>("trace").cloned().unwrap_or_default();
    let with_path = |error| Failure::Input(format!("{}: {error}", path.display()));
    let trace = BufReader::new(File::open(&path).map_err(with_path)?);
    let effects: Vec<Effect> =
        trace::replay(trace).map_err(with_path)?.into_iter().flatten().collect();
    match args.get_one::<PathBuf>("expect") {
        Some(expected) => compare(&effects, expected),
        None => {
            for effect in &effects {
                println!("{}", serde_json::to_string(effect).map_err(Failure::run)?);
            }
            Ok(())
        }
    }
}

/// Compares effects with those in a file, one JSON object per line, and fails at the
/// first difference.
fn compare(effects: &[Effect], expected: &Path) -> Result<(), Failure> {
    let expected_lines = lines(expected)?;
    for (index, line) in expected_lines.iter().enumerate() {
        let expected_effect: Effect = serde_json::from_str(line).map_err(|error| {
            Failure::Input(format!("{}:{}: {error}", expected.display(), index + 1))
        })?;
        if effects.get(index) != Some(&expected_effect) {
            let got = effects.get(index).map(serde_json::to_string).transpose();
            let got = got.map_err(Failure::run)?.unwrap_or_else(|| String::from("no effect"));
            let number = index + 1;
            return Err(Failure::Run(format!("effect {number}: expected {line}, got {got}")));
        }
    }
    match effects.len() == expected_lines.len() {
        true => {
            println!("{} effects as expected", expected_lines.len());
            Ok(())
        }
        false => {
            let (got, expected) = (effects.len(), expected_lines.len());
            Err(Failure::Run(format!("expected {expected} effects, got {got}")))
        }
    }
}

fn lines(path: &Path) -> Result<Vec<String>, Failure> {
    let with_path = |error: std::io::Error| Failure::Input(format!("{}: {error}", path.display()));
    let file = File::open(path).map_err(with_path)?;
    BufReader::new(file).lines().collect::<Result<_, _>>().map_err(with_path)
}

//! `hollywell replay`: feeds a recorded trace to the reducer and prints or compares
//! its effects.

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
        .about("Feed a recorded trace to the reducer and print its effects, or compare them")
        .arg(
            Arg::new("trace")
                .value_name("TRACE")
                .help("Trace as recorded by serve (settings: [trace] file)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("FILE")
                .help("Effects as printed before; the first difference is an error")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<(), Failure> {
    let path = args.get_one::<PathBuf>("trace").cloned().unwrap_or_default();
    let in_file = |error| Failure::Input(format!("{}: {error}", path.display()));
    let trace = BufReader::new(File::open(&path).map_err(in_file)?);
    let effects: Vec<Effect> =
        trace::replay(trace).map_err(in_file)?.into_iter().flatten().collect();
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

fn compare(effects: &[Effect], expected: &Path) -> Result<(), Failure> {
    let expected_lines = lines(expected)?;
    for (index, line) in expected_lines.iter().enumerate() {
        let wanted: Effect = serde_json::from_str(line).map_err(|error| {
            Failure::Input(format!("{}:{}: {error}", expected.display(), index + 1))
        })?;
        if effects.get(index) != Some(&wanted) {
            let got = effects.get(index).map(serde_json::to_string).transpose();
            let got = got.map_err(Failure::run)?.unwrap_or_else(|| String::from("nothing"));
            let place = index + 1;
            return Err(Failure::Run(format!("effect {place}: expected {line}, got {got}")));
        }
    }
    match effects.len() == expected_lines.len() {
        true => {
            println!("{} effects as expected", expected_lines.len());
            Ok(())
        }
        false => {
            let (got, wanted) = (effects.len(), expected_lines.len());
            Err(Failure::Run(format!("expected {wanted} effects, got {got}")))
        }
    }
}

fn lines(path: &Path) -> Result<Vec<String>, Failure> {
    let in_file = |error: std::io::Error| Failure::Input(format!("{}: {error}", path.display()));
    let file = File::open(path).map_err(in_file)?;
    BufReader::new(file).lines().collect::<Result<_, _>>().map_err(in_file)
}

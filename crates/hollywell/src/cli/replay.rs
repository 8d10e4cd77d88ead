//! `hollywell replay`: feeds a recorded trace to the reducer.

use std::{
    fs::File,
    io::{BufRead as _, BufReader},
    path::{Path, PathBuf},
};

use clap::{Arg, ArgMatches, Command, value_parser};

use super::Failure;
use crate::{
    control::Recorded,
    core::{
        effect::Effect,
        id::Instance,
        reducer::{Config, State},
    },
};

pub(super) fn command() -> Command {
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").help(help).required(true)
    };
    Command::new("replay")
        .about("Feed a recorded trace to the reducer and print its effects, or compare them")
        .arg(
            Arg::new("trace")
                .value_name("TRACE")
                .help("Events as JSON lines, as recorded by serve")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(text("name", "Name of the instance that recorded it"))
        .arg(
            Arg::new("incarnation")
                .long("incarnation")
                .value_name("N")
                .help("Its incarnation")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(text("domain", "Its failure domain"))
        .arg(
            Arg::new("domains")
                .long("domains")
                .value_name("LIST")
                .help("All failure domains, with commas between them; its own if left out"),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("FILE")
                .help("Effects as JSON lines to compare with; the first difference is printed")
                .value_parser(value_parser!(PathBuf)),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<(), Failure> {
    let text = |name: &str| args.get_one::<String>(name).cloned().unwrap_or_default();
    let incarnation = args.get_one::<u64>("incarnation").copied().unwrap_or_default();
    let domain = text("domain");
    let listed = args.get_one::<String>("domains").cloned().unwrap_or_else(|| domain.clone());
    let domains: Vec<&str> = listed.split(',').map(str::trim).collect();
    let config = Config::new(Instance::new(&text("name"), incarnation), &domain, &domains);
    let trace = args.get_one::<PathBuf>("trace").cloned().unwrap_or_default();
    let effects = replay(config, &trace)?;
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

fn replay(config: Config, trace: &Path) -> Result<Vec<Effect>, Failure> {
    let mut state = State::new(config);
    let mut effects = vec![];
    for (index, line) in lines(trace)?.into_iter().enumerate() {
        let recorded: Recorded = serde_json::from_str(&line).map_err(|error| {
            Failure::Input(format!("{}:{}: {error}", trace.display(), index + 1))
        })?;
        effects.extend(state.step(recorded.now, &recorded.event));
    }
    Ok(effects)
}

fn compare(effects: &[Effect], expected: &Path) -> Result<(), Failure> {
    let wanted = lines(expected)?;
    for (index, line) in wanted.iter().enumerate() {
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
    match effects.len() == wanted.len() {
        true => {
            println!("{} effects as expected", wanted.len());
            Ok(())
        }
        false => {
            let (got, wanted) = (effects.len(), wanted.len());
            Err(Failure::Run(format!("expected {wanted} effects, got {got}")))
        }
    }
}

fn lines(path: &Path) -> Result<Vec<String>, Failure> {
    let at = |error: std::io::Error| Failure::Input(format!("{}: {error}", path.display()));
    let file = File::open(path).map_err(at)?;
    BufReader::new(file).lines().collect::<Result<_, _>>().map_err(at)
}

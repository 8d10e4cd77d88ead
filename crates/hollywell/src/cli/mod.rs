//! The command line. Each subcommand parses its arguments, calls the library or a
//! running instance, and prints the result.

use std::{fmt, path::PathBuf, process::ExitCode};

use crate::entry::serve::Adapter;
use clap::{Arg, ArgMatches, Command, value_parser};

mod ask;
mod replay;
mod report;
mod status;
pub mod table;

/// Exit code for invalid arguments, settings or input files.
const EXIT_INPUT: u8 = 2;

/// Why a subcommand failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The arguments, settings or input files are invalid.
    Input(String),
    /// Any other failure.
    Run(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Input(text) | Failure::Run(text) => f.write_str(text),
        }
    }
}

impl Failure {
    fn run(error: impl fmt::Display) -> Failure {
        Failure::Run(error.to_string())
    }
}

/// Runs the command given by the process's arguments and returns its exit code.
#[must_use]
pub fn run(adapter: &Adapter) -> ExitCode {
    let matches = match command().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            // If the output is closed, the failure to print cannot be reported either.
            let _ignored = error.print();
            let code = if error.use_stderr() { EXIT_INPUT } else { 0 };
            return ExitCode::from(code);
        }
    };
    let result = match matches.subcommand() {
        Some(("serve", args)) => serve(args),
        Some(("enter", args)) => enter(adapter, args),
        Some(("check", args)) => check(args),
        Some(("table", args)) => table::run(args),
        Some(("status", args)) => status::run(args),
        Some(("report", args)) => report::run(args),
        Some(("replay", args)) => replay::run(args),
        _ => Err(Failure::Input(String::from("no subcommand; see --help"))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("hollywell: {failure}");
            match failure {
                Failure::Input(_) => ExitCode::from(EXIT_INPUT),
                Failure::Run(_) => ExitCode::FAILURE,
            }
        }
    }
}

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("hollywell")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Rollouts for reinforcement learning on engines shared with live traffic")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("serve")
                .about("Run an entry instance until SIGTERM; it then hands off its work and exits")
                .arg(config_arg()),
        )
        .subcommand(
            Command::new("enter")
                .about("Run an entry instance on a platform whose store is a log")
                .arg(
                    config_arg()
                        .required(false)
                        .help("Settings file (INI); by default the path that the platform gives"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about(
                    "Validate a settings file and print all errors; exit code 2 if there are any",
                )
                .arg(config_arg()),
        )
        .subcommand(table::command())
        .subcommand(status::command())
        .subcommand(report::command())
        .subcommand(replay::command())
}

fn config_arg() -> Arg {
    Arg::new("config")
        .short('c')
        .long("config")
        .value_name("FILE")
        .help("Settings file (INI)")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Loads the settings file, or returns all its errors, one per line.
fn load(args: &ArgMatches) -> Result<crate::settings::Settings, Failure> {
    let path = args.get_one::<PathBuf>("config").cloned().unwrap_or_default();
    crate::settings::Settings::load(&path).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Failure::Input(lines.join("\nhollywell: "))
    })
}

fn serve(args: &ArgMatches) -> Result<(), Failure> {
    let settings = load(args)?;
    crate::logs::start(&settings.logs).map_err(Failure::run)?;
    crate::serve::run(&settings).map_err(Failure::run)
}

fn enter(adapter: &Adapter, args: &ArgMatches) -> Result<(), Failure> {
    let given = args.get_one::<PathBuf>("config").cloned();
    let path = given.or_else(adapter.settings_path).ok_or_else(|| {
        Failure::Input(String::from(
            "no settings file: --config is missing and the platform gives no path",
        ))
    })?;
    let settings = crate::entry::settings::Settings::load(&path).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Failure::Input(lines.join("\nhollywell: "))
    })?;
    crate::logs::start_stdout(settings.level).map_err(Failure::run)?;
    let served = crate::entry::serve::run(adapter, settings, &path);
    log::logger().flush();
    served.map_err(Failure::run)
}

fn check(args: &ArgMatches) -> Result<(), Failure> {
    let settings = load(args)?;
    let config = &settings.config;
    println!(
        "ok: instance {} in {}, callers on {}, peers on {}",
        config.id.name, config.domain, settings.listen, settings.peer_listen
    );
    Ok(())
}

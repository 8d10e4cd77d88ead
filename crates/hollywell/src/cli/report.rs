//! `hollywell report`: collects scrapes of metrics, and prints burn rates and the
//! breakdown of steps.

use std::{
    fs,
    io::BufReader,
    path::PathBuf,
    thread::sleep,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{
    Failure,
    ask::{AdminClient, address_arg},
};
use crate::report::{burn_rates, page, scrape::Scrape, steps, traced};

pub(super) fn command() -> Command {
    let directory = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("DIR").help(help).value_parser(value_parser!(PathBuf))
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .help(help)
            .value_parser(value_parser!(u64).range(1..))
    };
    Command::new("report")
        .about("Collect metrics and show how fast error budgets burn")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("collect")
                .about("Scrape the metrics of one instance periodically into a directory")
                .arg(address_arg())
                .arg(directory("into", "Directory to which the scrapes are written").required(true))
                .arg(number("every-s", "15", "Interval between scrapes, in seconds"))
                .arg(number("times", "1", "Number of scrapes")),
        )
        .subcommand(
            Command::new("steps")
                .about("Break down the duration of steps, from logs at level debug")
                .arg(
                    Arg::new("log")
                        .value_name("FILE")
                        .help("Log of all instances; lines of SECONDS INSTANCE JSON")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(Arg::new("job").long("job").value_name("ID").help("Show only this job")),
        )
        .subcommand(
            Command::new("show")
                .about("Compute burn rates from scrapes or from a recorded trace")
                .arg(
                    directory("from", "Directory of scrapes, named SECONDS-INSTANCE.prom")
                        .required_unless_present("trace"),
                )
                .arg(
                    Arg::new("trace")
                        .long("trace")
                        .value_name("TRACE")
                        .help("Trace recorded by serve, instead of scrapes")
                        .conflicts_with("from")
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(
                    Arg::new("json")
                        .long("json")
                        .help("Print JSON instead of a table")
                        .action(ArgAction::SetTrue),
                )
                .arg(
                    Arg::new("html")
                        .long("html")
                        .value_name("FILE")
                        .help("Also write an HTML page with plots to FILE")
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<(), Failure> {
    match args.subcommand() {
        Some(("collect", args)) => collect(args),
        Some(("steps", args)) => show_steps(args),
        Some(("show", args)) => show(args),
        _ => Err(Failure::Input(String::from("no subcommand; see --help"))),
    }
}

fn collect(args: &ArgMatches) -> Result<(), Failure> {
    let directory = args.get_one::<PathBuf>("into").cloned().unwrap_or_default();
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    fs::create_dir_all(&directory).map_err(Failure::run)?;
    let admin = AdminClient::new(args)?;
    let instance = admin.view()?.instance.name;
    for scrape in 0..number("times") {
        if scrape > 0 {
            sleep(Duration::from_secs(number("every-s")));
        }
        let metrics = admin.get("/metrics")?;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let path = Scrape::path(&directory, unix_time.as_secs(), &instance);
        fs::write(&path, metrics.body()).map_err(Failure::run)?;
        println!("{}", path.display());
    }
    Ok(())
}

fn show_steps(args: &ArgMatches) -> Result<(), Failure> {
    let path = args.get_one::<PathBuf>("log").cloned().unwrap_or_default();
    let with_path = |error| Failure::Input(format!("{}: {error}", path.display()));
    let log = BufReader::new(fs::File::open(&path).map_err(with_path)?);
    let mut steps = steps::read(log).map_err(with_path)?;
    if let Some(job) = args.get_one::<String>("job") {
        steps.retain(|step| step.job == *job);
    }
    print!("{}", steps::text(&steps));
    Ok(())
}

fn show(args: &ArgMatches) -> Result<(), Failure> {
    let scrapes = scrapes(args)?;
    if let Some(file) = args.get_one::<PathBuf>("html") {
        let page = page::html(&scrapes).map_err(Failure::run)?;
        fs::write(file, page).map_err(Failure::run)?;
    }
    match args.get_flag("json") {
        true => println!("{}", serde_json::to_string(&burn_rates(&scrapes)).map_err(Failure::run)?),
        false => print!("{}", page::text(&scrapes)),
    }
    Ok(())
}

fn scrapes(args: &ArgMatches) -> Result<Vec<Scrape>, Failure> {
    let path = |name: &str| args.get_one::<PathBuf>(name);
    if let Some(trace) = path("trace") {
        let with_path = |error| Failure::Input(format!("{}: {error}", trace.display()));
        let file = BufReader::new(fs::File::open(trace).map_err(with_path)?);
        return traced::scrapes(file).map_err(with_path);
    }
    let from = path("from").cloned().unwrap_or_default();
    let with_path = |error| Failure::Input(format!("{}: {error}", from.display()));
    Scrape::load_all(&from).map_err(with_path)
}

//! `hollywell report`: collects scrapes and prints burn rates and step breakdowns.

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
    ask::{AdminClient, at_arg},
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
                .about("Scrape one instance now and then into a directory")
                .arg(at_arg())
                .arg(directory("into", "Directory of scrapes").required(true))
                .arg(number("every-s", "15", "Seconds between scrapes"))
                .arg(number("times", "1", "Scrapes to make")),
        )
        .subcommand(
            Command::new("steps")
                .about("Show what the time of steps is made of, from logs of level debug")
                .arg(
                    Arg::new("log")
                        .value_name("FILE")
                        .help("Lines of all instances: seconds, instance, the line as written")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                )
                .arg(Arg::new("job").long("job").value_name("ID").help("This job only")),
        )
        .subcommand(
            Command::new("show")
                .about("Work the burn out of scrapes or of a recorded trace")
                .arg(
                    directory("from", "Directory of scrapes, named SECONDS-INSTANCE.prom")
                        .required_unless_present("trace"),
                )
                .arg(
                    Arg::new("trace")
                        .long("trace")
                        .value_name("TRACE")
                        .help("Trace as recorded by serve, instead of scrapes")
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
                        .help("Write a page with plots as well")
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
    let into = args.get_one::<PathBuf>("into").cloned().unwrap_or_default();
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    fs::create_dir_all(&into).map_err(Failure::run)?;
    let admin = AdminClient::new(args)?;
    let instance = admin.view()?.instance.name;
    for scrape in 0..number("times") {
        if scrape > 0 {
            sleep(Duration::from_secs(number("every-s")));
        }
        let metrics = admin.get("/metrics")?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let path = Scrape::path(&into, since.as_secs(), &instance);
        fs::write(&path, metrics.body()).map_err(Failure::run)?;
        println!("{}", path.display());
    }
    Ok(())
}

fn show_steps(args: &ArgMatches) -> Result<(), Failure> {
    let path = args.get_one::<PathBuf>("log").cloned().unwrap_or_default();
    let in_file = |error| Failure::Input(format!("{}: {error}", path.display()));
    let log = BufReader::new(fs::File::open(&path).map_err(in_file)?);
    let mut steps = steps::read(log).map_err(in_file)?;
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
        let in_file = |error| Failure::Input(format!("{}: {error}", trace.display()));
        let file = BufReader::new(fs::File::open(trace).map_err(in_file)?);
        return traced::scrapes(file).map_err(in_file);
    }
    let from = path("from").cloned().unwrap_or_default();
    let in_file = |error| Failure::Input(format!("{}: {error}", from.display()));
    Scrape::load_all(&from).map_err(in_file)
}

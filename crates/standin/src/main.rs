//! Small stand-ins for the systems that hollywell meets, one binary with a
//! subcommand each. Never shipped. What they speak is documented in
//! `docs/INTERFACES.md`.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command};
use standin::{
    caller, engine, instances, judge, log, ports, relay, service, trainer, watcher, web, weights,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("standin: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<bool, Box<dyn std::error::Error>> {
    match matches.subcommand() {
        Some(("log", args)) => {
            log::run(&log::Options {
                listen: text(args, "listen"),
                retain: number(args, "retain"),
                rate: number(args, "rate"),
            })
            .await?;
        }
        Some(("instances", args)) => {
            instances::run(&text(args, "listen"), number(args, "lag-ms")).await?;
        }
        Some(("weights", args)) => {
            weights::run(&text(args, "listen"), number(args, "rate")).await?;
        }
        Some(("engine", args)) => engine::run(engine_options(args)).await?,
        Some(("service", args)) => {
            service::run(service::Options {
                listen: text(args, "listen"),
                name: text(args, "name"),
                delay_ms: number(args, "delay-ms"),
                history: path(args, "history"),
            })
            .await?;
        }
        Some(("trainer", args)) => return Ok(trainer::run(trainer_options(args)).await?),
        Some(("caller", args)) => caller::run(caller_options(args)).await?,
        Some(("watch", args)) => {
            watcher::run(&watcher::Options {
                entries: list(args, "entries"),
                every_ms: number(args, "every-ms"),
                history: path(args, "history"),
            })
            .await?;
        }
        Some(("post", args)) => {
            let body: serde_json::Value = serde_json::from_str(&text(args, "json"))?;
            let timeout = std::time::Duration::from_secs(5);
            let (to, path) = (text(args, "to"), text(args, "path"));
            let answer = web::send(http::Method::POST, &to, &path, &body, timeout).await;
            return Ok(answer.is_some_and(|answer| answer.status().is_success()));
        }
        Some(("relay", args)) => relay::run(&text(args, "listen"), text(args, "to")).await?,
        Some(("ports", args)) => ports::print(number(args, "count"))?,
        Some(("judge", args)) => {
            return Ok(judge::run(&path(args, "history"), args.get_flag("untimed"))?);
        }
        _ => unreachable!("clap asks for a subcommand"),
    }
    Ok(true)
}

fn engine_options(args: &ArgMatches) -> engine::Options {
    engine::Options {
        listen: text(args, "listen"),
        name: text(args, "name"),
        trainers: list(args, "trainers"),
        slots: number(args, "slots"),
        token_ms: number(args, "token-ms"),
        lag_ms: number(args, "lag-ms"),
        swap_ms: number(args, "swap-ms"),
        weights: text(args, "weights"),
        seed: number(args, "seed"),
        enforce: !args.get_flag("ignore-fence"),
        history: path(args, "history"),
    }
}

fn trainer_options(args: &ArgMatches) -> trainer::Options {
    trainer::Options {
        name: text(args, "name"),
        entries: list(args, "entries"),
        weights: text(args, "weights"),
        first_step: number(args, "first-step"),
        steps: number(args, "steps"),
        groups: number(args, "groups"),
        samples: number(args, "samples"),
        max_tokens: number(args, "max-tokens"),
        timeout_ms: number(args, "timeout-ms"),
        staleness: number(args, "staleness"),
        seed: number(args, "seed"),
        history: path(args, "history"),
    }
}

fn caller_options(args: &ArgMatches) -> caller::Options {
    caller::Options {
        name: text(args, "name"),
        entries: list(args, "entries"),
        pool: text(args, "pool"),
        calls: number(args, "calls"),
        pause_ms: number(args, "pause-ms"),
        timeout_ms: number(args, "timeout-ms"),
        resend_percent: number(args, "resend-percent"),
        seed: number(args, "seed"),
        history: path(args, "history"),
    }
}

fn command() -> Command {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let listen = || option("listen", "127.0.0.1:0", "Address and port to listen on");
    let history = || option("history", "history", "Directory of history files");
    let name = || option("name", "standin", "Name in histories");
    let seed = || option("seed", "1", "Seed of all draws");
    let entries = || option("entries", "", "Entry instances, with commas between them");
    Command::new("standin")
        .about("Stand-ins for the systems that hollywell meets")
        .subcommand_required(true)
        .subcommand(
            Command::new("log")
                .about("Append-only log")
                .arg(listen())
                .arg(option("retain", "100000", "Records kept in a stream"))
                .arg(option("rate", "300", "Appends a second at most")),
        )
        .subcommand(
            Command::new("instances")
                .about("List of instances and targets")
                .arg(listen())
                .arg(option("lag-ms", "500", "How far it lags")),
        )
        .subcommand(Command::new("weights").about("Weight store").arg(listen()).arg(option(
            "rate",
            "20",
            "Fetches a second at most",
        )))
        .subcommand(
            Command::new("engine")
                .about("Model engine")
                .arg(listen())
                .arg(name())
                .arg(seed())
                .arg(history())
                .arg(option("trainers", "t", "Trainers served, with commas between them"))
                .arg(option("slots", "8", "Requests generated for at once"))
                .arg(option("token-ms", "2", "Time for a token"))
                .arg(option("lag-ms", "200", "How far load reports lag"))
                .arg(option("swap-ms", "100", "Time to change weights"))
                .arg(option("weights", "", "Weight store to fetch from, if any"))
                .arg(
                    Arg::new("ignore-fence")
                        .long("ignore-fence")
                        .help("Take orders whatever their fencing number")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(
            Command::new("service")
                .about("Plain service that counts its runs")
                .arg(listen())
                .arg(name())
                .arg(history())
                .arg(option("delay-ms", "5", "Time for a run")),
        )
        .subcommand(
            Command::new("trainer")
                .about("Opens steps and records what comes")
                .arg(name())
                .arg(entries())
                .arg(seed())
                .arg(history())
                .arg(option("weights", "", "Weight store to publish to"))
                .arg(option("first-step", "1", "Number of the first step"))
                .arg(option("steps", "2", "Steps to open"))
                .arg(option("groups", "8", "Groups in a step"))
                .arg(option("samples", "4", "Samples in a group"))
                .arg(option("max-tokens", "24", "Tokens in a sample at most"))
                .arg(option("timeout-ms", "30000", "Time for a step"))
                .arg(option("staleness", "1", "Versions that a sample may be behind")),
        )
        .subcommand(
            Command::new("caller")
                .about("Calls a plain service and records the answers")
                .arg(name())
                .arg(entries())
                .arg(seed())
                .arg(history())
                .arg(option("pool", "app", "Pool to call"))
                .arg(option("calls", "50", "Calls to make"))
                .arg(option("pause-ms", "20", "Time between calls"))
                .arg(option("timeout-ms", "5000", "Time for a call"))
                .arg(option("resend-percent", "20", "Answered calls that are sent again")),
        )
        .subcommand(
            Command::new("watch")
                .about("Records what table is in force at each entry instance")
                .arg(entries())
                .arg(history())
                .arg(option("every-ms", "100", "Time between readings")),
        )
        .subcommand(
            Command::new("ports")
                .about("Print free ports, one a line")
                .arg(option("count", "1", "How many")),
        )
        .subcommand(
            Command::new("relay")
                .about("Pass connections on to an instance's peer address")
                .arg(listen())
                .arg(option("to", "", "The instance's peer address")),
        )
        .subcommand(
            Command::new("post")
                .about("Post JSON to a stand-in")
                .arg(option("to", "", "Its address"))
                .arg(option("path", "/switch", "Path to post to"))
                .arg(option("json", "{}", "What to post")),
        )
        .subcommand(
            Command::new("judge")
                .about("Check the histories against what must always hold")
                .arg(history())
                .arg(
                    Arg::new("untimed")
                        .long("untimed")
                        .help("Leave out what depends on timing")
                        .action(ArgAction::SetTrue),
                ),
        )
}

fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

fn number<T: std::str::FromStr>(args: &ArgMatches, name: &str) -> T {
    let text = text(args, name);
    text.parse().unwrap_or_else(|_| {
        eprintln!("standin: --{name} {text}: not a number in range");
        std::process::exit(2)
    })
}

fn list(args: &ArgMatches, name: &str) -> Vec<String> {
    let text = text(args, name);
    text.split(',').filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

fn path(args: &ArgMatches, name: &str) -> PathBuf {
    PathBuf::from(text(args, name))
}

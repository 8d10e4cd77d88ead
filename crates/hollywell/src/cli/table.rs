//! `hollywell table`: prints and edits the table of trainers, and imports and
//! exports it as CSV.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read},
    path::PathBuf,
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http::StatusCode;

use super::{
    Failure,
    ask::{AdminClient, address_arg},
};
use crate::{
    core::table::{Edit, Outcome, Row},
    view::{View, ViewedRow},
};

/// Columns of the CSV format. The last one, the revision, is optional.
const COLUMNS: [&str; 6] = ["trainer", "weight", "staleness", "priority", "in_flight", "revision"];
/// Time after which `--wait` fails if a live instance has not applied the change.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls of `--wait`.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn command() -> Command {
    let by = Arg::new("by")
        .long("by")
        .value_name("NAME")
        .help("Name of the operator who makes the change, shown in the history")
        .required(true);
    let wait = Arg::new("wait")
        .long("wait")
        .help("Return once every live instance has applied the change")
        .action(ArgAction::SetTrue);
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("N").help(help).value_parser(value_parser!(u32))
    };
    Command::new("table")
        .about("Show and change the table of trainers")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("show").about("Print the table").arg(address_arg()))
        .subcommand(Command::new("export").about("Print the table as CSV").arg(address_arg()))
        .subcommand(Command::new("history").about("Print recent changes").arg(address_arg()))
        .subcommand(
            Command::new("import")
                .about("Apply the rows of a CSV file, made by export, that differ from the table")
                .arg(address_arg())
                .arg(by.clone())
                .arg(wait.clone())
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .help("CSV file, or - for standard input")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("edit")
                .about(
                    "Set or remove one trainer's row; columns that are not given keep their values",
                )
                .arg(address_arg())
                .arg(by)
                .arg(wait)
                .arg(Arg::new("trainer").value_name("TRAINER").required(true))
                .arg(number("weight", "Share of the engines, relative to the other rows"))
                .arg(number(
                    "staleness",
                    "Maximum number of versions that a sample may be behind the newest",
                ))
                .arg(number("priority", "Priority, 0 to 255; lower numbers go first"))
                .arg(number("in-flight", "Maximum number of samples in flight at one instance"))
                .arg(
                    Arg::new("remove")
                        .long("remove")
                        .help("Remove the row")
                        .action(ArgAction::SetTrue),
                ),
        )
}

pub(super) fn run(args: &ArgMatches) -> Result<(), Failure> {
    match args.subcommand() {
        Some(("show", args)) => show(&AdminClient::new(args)?.view()?),
        Some(("export", args)) => export(&AdminClient::new(args)?.view()?)?,
        Some(("history", args)) => history(&AdminClient::new(args)?.view()?),
        Some(("import", args)) => import(args)?,
        Some(("edit", args)) => edit(args)?,
        _ => return Err(Failure::Input(String::from("no subcommand; see --help"))),
    }
    Ok(())
}

fn show(view: &View) {
    println!(
        "{:<20} {:>8} {:>10} {:>9} {:>10} {:>9} {:>8}",
        "trainer", "weight", "staleness", "priority", "in_flight", "revision", "newest"
    );
    for ViewedRow { revision, row } in &view.table {
        let newest = view.versions.get(&row.trainer).copied().unwrap_or_default();
        println!(
            "{:<20} {:>8} {:>10} {:>9} {:>10} {:>9} {:>8}",
            row.trainer, row.weight, row.staleness, row.priority, row.in_flight, revision, newest
        );
    }
}

fn export(view: &View) -> Result<(), Failure> {
    let mut writer = csv::Writer::from_writer(io::stdout());
    writer.write_record(COLUMNS).map_err(Failure::run)?;
    for ViewedRow { revision, row } in &view.table {
        let cells = [
            row.trainer.clone(),
            row.weight.to_string(),
            row.staleness.to_string(),
            row.priority.to_string(),
            row.in_flight.to_string(),
            revision.to_string(),
        ];
        writer.write_record(&cells).map_err(Failure::run)?;
    }
    writer.flush().map_err(Failure::run)
}

fn history(view: &View) {
    for (offset, edit) in &view.history {
        let change = match &edit.row {
            None => String::from("removed"),
            Some(row) => format!(
                "weight {} staleness {} priority {} in_flight {}",
                row.weight, row.staleness, row.priority, row.in_flight
            ),
        };
        println!("{offset:>9} {:<16} {:<20} {change}", edit.by, edit.trainer);
    }
}

/// Parses rows in CSV format, each with the revision on which it is based.
///
/// # Errors
///
/// A message with the row and column of the first error and the allowed values.
///
/// # Example
///
/// ```
/// use hollywell::cli::table::parse_csv;
///
/// let csv = "trainer,weight,staleness,priority,in_flight,revision\nrunoff,3,x,1,8,\n";
/// let error = parse_csv(csv.as_bytes()).unwrap_err();
/// assert_eq!(error, r#"row 2, column staleness: "x": allowed is 0 to 1000000"#);
/// ```
pub fn parse_csv(input: impl Read) -> Result<Vec<(Row, Option<u64>)>, String> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(input);
    let headers = reader.headers().map_err(|error| error.to_string())?;
    if *headers != COLUMNS[..] && *headers != COLUMNS[..COLUMNS.len() - 1] {
        return Err(format!("row 1: the columns must be {}", COLUMNS.join(",")));
    }
    let mut rows = vec![];
    for (index, record) in reader.records().enumerate() {
        let record = record.map_err(|error| error.to_string())?;
        let cells = Cells { line: index + 2, record };
        let trainer = cells.text(0);
        if trainer.is_empty() {
            return Err(format!("row {}, column trainer: it must not be empty", cells.line));
        }
        let row = Row {
            trainer,
            weight: cells.number(1, 1, 1_000_000)?,
            staleness: cells.number(2, 0, 1_000_000)?,
            priority: cells.number(3, 0, 255)?,
            in_flight: cells.number(4, 1, 1_000_000)?,
        };
        let revision = match cells.text(5).is_empty() {
            true => None,
            false => Some(cells.number(5, 0, u64::MAX)?),
        };
        rows.push((row, revision));
    }
    Ok(rows)
}

/// Cells of one CSV record, with its line number for error messages.
struct Cells {
    line: usize,
    record: csv::StringRecord,
}

impl Cells {
    fn text(&self, column: usize) -> String {
        self.record.get(column).unwrap_or_default().to_owned()
    }

    fn number<T: TryFrom<u64>>(&self, column: usize, min: u64, max: u64) -> Result<T, String> {
        let text = self.text(column);
        let parsed = text.parse::<u64>().ok();
        let in_range = parsed.filter(|number| (min..=max).contains(number));
        let number = in_range.and_then(|number| T::try_from(number).ok());
        number.ok_or_else(|| {
            let (line, name) = (self.line, COLUMNS[column]);
            format!("row {line}, column {name}: {text:?}: allowed is {min} to {max}")
        })
    }
}

fn import(args: &ArgMatches) -> Result<(), Failure> {
    let path = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let rows = if path.as_os_str() == "-" {
        parse_csv(io::stdin())
    } else {
        let file = File::open(&path)
            .map_err(|error| Failure::Input(format!("{}: {error}", path.display())))?;
        parse_csv(file)
    };
    let rows = rows.map_err(|error| Failure::Input(format!("{}: {error}", path.display())))?;
    let admin = AdminClient::new(args)?;
    let view = admin.view()?;
    let current: BTreeMap<&str, &Row> =
        view.table.iter().map(|row| (row.row.trainer.as_str(), &row.row)).collect();
    let changed = rows.iter().filter(|(row, _)| current.get(row.trainer.as_str()) != Some(&row));
    let mut last = None;
    for (row, revision) in changed {
        last = last.max(Some(submit(args, &admin, &row.trainer, Some(row.clone()), *revision)?));
    }
    wait_if_requested(args, &admin, last)
}

fn edit(args: &ArgMatches) -> Result<(), Failure> {
    let admin = AdminClient::new(args)?;
    let view = admin.view()?;
    let trainer = args.get_one::<String>("trainer").cloned().unwrap_or_default();
    let current = view.table.iter().find(|row| row.row.trainer == trainer);
    let base = current.map(|row| row.revision);
    let row = match args.get_flag("remove") {
        true => None,
        false => Some(row_from_args(args, &trainer, current.map(|row| &row.row))?),
    };
    let revision = submit(args, &admin, &trainer, row, base)?;
    wait_if_requested(args, &admin, Some(revision))
}

/// Returns the current row, or the defaults of a new one, with the values that are given
/// as arguments.
fn row_from_args(args: &ArgMatches, trainer: &str, current: Option<&Row>) -> Result<Row, Failure> {
    let number = |name: &str| args.get_one::<u32>(name).copied();
    let mut row = current.cloned().unwrap_or(Row {
        trainer: trainer.to_owned(),
        weight: 1,
        staleness: 1,
        priority: 100,
        in_flight: 64,
    });
    row.weight = number("weight").unwrap_or(row.weight);
    row.staleness = number("staleness").map_or(row.staleness, u64::from);
    row.in_flight = number("in-flight").unwrap_or(row.in_flight);
    if let Some(priority) = number("priority") {
        row.priority = u8::try_from(priority)
            .map_err(|_| Failure::Input(format!("--priority {priority}: allowed is 0 to 255")))?;
    }
    Ok(row)
}

/// Submits one edit, based on the revision `base`, and returns the row's new revision.
/// The id of the edit contains the process id and the time, so that it is unique.
fn submit(
    args: &ArgMatches,
    admin: &AdminClient,
    trainer: &str,
    row: Option<Row>,
    base: Option<u64>,
) -> Result<u64, Failure> {
    let by = args.get_one::<String>("by").cloned().unwrap_or_default();
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = format!("{by}-{}-{}-{trainer}", std::process::id(), unix_time.as_nanos());
    let edit = Edit { id: id.clone(), by, trainer: trainer.to_owned(), base, row };
    let response = admin.post("/admin/edits", &edit)?;
    let outcome = serde_json::from_slice::<Outcome>(response.body());
    match (response.status(), outcome) {
        (StatusCode::OK, Ok(Outcome::Accepted { revision })) => {
            println!("{trainer}: accepted as revision {revision}");
            Ok(revision)
        }
        (_, Ok(Outcome::Conflict { by, revision })) => {
            let current = revision.map_or(String::from("no row"), |number| number.to_string());
            let text = format!(
                "{trainer}: conflict: {by} changed the row first; its revision is now {current}"
            );
            Err(Failure::Run(text))
        }
        (status, _) => {
            let text = String::from_utf8_lossy(response.body());
            Err(Failure::Run(format!(
                "{trainer}: unexpected response to edit {id}: status {status}: {text}"
            )))
        }
    }
}

/// With `--wait`, waits until every live instance has applied `revision`.
fn wait_if_requested(
    args: &ArgMatches,
    admin: &AdminClient,
    revision: Option<u64>,
) -> Result<(), Failure> {
    let Some(revision) = revision.filter(|_| args.get_flag("wait")) else {
        return Ok(());
    };
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let view = admin.view()?;
        let behind: Vec<&str> = view
            .peers
            .iter()
            .filter(|peer| peer.live && peer.next <= revision)
            .map(|peer| peer.name.as_str())
            .collect();
        if behind.is_empty() && view.next > revision {
            println!("in force at every live instance");
            return Ok(());
        }
        if Instant::now() > deadline {
            let timeout_s = WAIT_TIMEOUT.as_secs();
            let names = behind.join(" ");
            return Err(Failure::Run(format!("not applied within {timeout_s} s at: {names}")));
        }
        sleep(WAIT_POLL_INTERVAL);
    }
}

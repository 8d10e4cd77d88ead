//! `hollywell report`: draft, filled in with the report module.

use clap::{ArgMatches, Command};

use super::Failure;

pub(super) fn command() -> Command {
    Command::new("report").about("Service-level burn")
}

pub(super) fn run(_args: &ArgMatches) -> Result<(), Failure> {
    Err(Failure::Run(String::from("not there yet")))
}

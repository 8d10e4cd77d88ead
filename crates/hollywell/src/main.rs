//! The `hollywell` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollywell::cli::run()
}

//! Tasks of the developers, run as `cargo run -p xtask`.
//!
//! Without arguments it regenerates `crates/hollywell/src/peer/generated.rs`
//! from `crates/hollywell/proto/peer.proto`; with `--check` it writes nothing
//! and fails when the committed file is stale. `guards [NAME]` removes each
//! guard once and runs the proof that must then fail.

use std::{env, error::Error, fs, path::Path, process::ExitCode};

mod guards;

const PROTO: &str = "crates/hollywell/proto/peer.proto";
const GENERATED: &str = "crates/hollywell/src/peer/generated.rs";
const OUTPUT_NAME: &str = "hollywell.peer.rs";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "guards") {
        let only = args.get(1).map_or("", String::as_str);
        let all_failed = guards::run(only)?;
        return Ok(if all_failed { ExitCode::SUCCESS } else { ExitCode::FAILURE });
    }
    let fresh = generate()?;
    if args.iter().any(|arg| arg == "--check") {
        let committed = fs::read_to_string(GENERATED)?;
        if committed == fresh {
            println!("{GENERATED} is current");
            return Ok(ExitCode::SUCCESS);
        }
        eprintln!("{GENERATED} is stale: run `cargo run -p xtask`");
        return Ok(ExitCode::FAILURE);
    }
    fs::write(GENERATED, fresh)?;
    Ok(ExitCode::SUCCESS)
}

fn generate() -> Result<String, Box<dyn Error>> {
    let include = Path::new(PROTO).parent().ok_or("no proto directory")?;
    let descriptors = protox::compile([PROTO], [include])?;
    let out = env::temp_dir().join(format!("hollywell-xtask-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure().out_dir(&out).compile_fds(descriptors)?;
    let text = fs::read_to_string(out.join(OUTPUT_NAME))?;
    fs::remove_dir_all(&out)?;
    Ok(text)
}

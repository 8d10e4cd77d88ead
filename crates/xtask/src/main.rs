//! Regenerates `crates/hollywell/src/peer/generated.rs` from
//! `crates/hollywell/proto/peer.proto`. Run as `cargo run -p xtask`; with
//! `--check` it writes nothing and fails when the committed file is stale.

use std::{env, error::Error, fs, path::Path, process::ExitCode};

const PROTO: &str = "crates/hollywell/proto/peer.proto";
const GENERATED: &str = "crates/hollywell/src/peer/generated.rs";
const OUTPUT_NAME: &str = "hollywell.peer.rs";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let fresh = generate()?;
    if env::args().any(|arg| arg == "--check") {
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

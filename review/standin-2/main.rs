//! Runs one case of the review against stand-ins on loopback addresses:
//! `review-2 CASE FOLDER`, from the repository's root. FOLDER gets `record.txt`.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod engine;
mod http;
mod instance;
mod late_manifest;
mod moved_route;
mod record;
mod store;
mod text;
mod trainer;

use std::{process::ExitCode, thread, time::Duration};

use moved_route::Way;
use record::Record;

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken(String),
    /// The situation in question didn't come about.
    Unfit(String),
}

/// What a case needs besides the stand-ins.
pub struct Setting {
    pub record: Record,
    /// Folder for the settings and logs of instances.
    pub temporary: String,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        instance::kill_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let temporary = temporary.to_string_lossy().into_owned();
    let record = Record::create(&format!("{folder}/record.txt"));
    let setting = Setting { record: record.clone(), temporary: temporary.clone(), trouble };
    let outcome = match case.as_str() {
        "moved-route" => moved_route::run(&setting, Way::Moved),
        "split-route" => moved_route::run(&setting, Way::Split),
        "late-manifest" => late_manifest::run(&setting),
        other => Outcome::Unfit(format!("no case {other}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match outcome {
        Outcome::Held => {
            record.say("the rule held");
            ExitCode::from(0)
        }
        Outcome::Broken(why) => {
            record.say(&format!("the rule was broken: {why}"));
            ExitCode::from(1)
        }
        Outcome::Unfit(why) => {
            record.say(&format!("the case couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}

//! The cases of the review: `cases NAME RECORD` plays one against the built
//! program and writes what was sent, answered and run to the file RECORD.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run. With TROUBLE=0 in the environment the disruption is left out.

mod dead;
mod empty;
mod engine;
mod http;
mod json;
mod process;
mod record;
mod shutdown;
mod single_version;
mod store;
mod twice;

use std::{panic, process::exit, thread, time::Duration};

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, path] = &words[..] else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(path);
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    thread::spawn({
        let record = record.clone();
        move || {
            thread::sleep(Duration::from_secs(100));
            record.line("could not run: not done within 100 s");
            process::end_all();
            exit(2);
        }
    });
    let played = panic::catch_unwind(panic::AssertUnwindSafe(|| match name.as_str() {
        "dead" => dead::play(&record, trouble),
        "empty" => empty::play(&record, trouble),
        "twice" => twice::play(&record, trouble),
        "shutdown" => shutdown::play(&record, trouble),
        "single-version" => single_version::play(&record, trouble),
        _ => panic!("no case {name}"),
    }));
    process::end_all();
    let code = match played {
        Ok(breaks) if breaks.is_empty() => {
            record.line("held");
            0
        }
        Ok(breaks) => {
            for why in &breaks {
                record.line(&format!("BROKEN {why}"));
                println!("BROKEN {why}");
            }
            1
        }
        Err(_) => {
            record.line("could not run");
            2
        }
    };
    exit(code);
}

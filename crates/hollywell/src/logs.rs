//! Logging through log4rs: to standard error for a single instance by hand,
//! to standard output, bounded, on a platform.

use std::{
    collections::HashMap,
    io::Write as _,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
    },
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use serde::Serialize;

use crate::settings::{LogFormat, Logs};

/// Starts logging for the process.
///
/// # Errors
///
/// If logging was started before, or the configuration is refused.
pub fn start(logs: &Logs) -> Result<(), Box<dyn std::error::Error>> {
    let encoder: Box<dyn Encode> = match logs.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new(&logs.pattern)),
    };
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let appender = Appender::builder().build("stderr", Box::new(console));
    let root = Root::builder().appender("stderr").build(logs.level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Lines that may wait for standard output to take them. Whoever logs never
/// waits: a line that finds no room is counted and left out.
const WAITING_LINES: usize = 2_048;
/// Lines of one place in the code that are written in a second. More are
/// counted and left out; what repeats that often says nothing new.
const LINES_A_SECOND: u32 = 50;

/// Starts logging as JSON lines to standard output, bounded in rate and in
/// what waits, so that logging never holds up whoever logs.
///
/// # Errors
///
/// If logging was started before, the configuration is refused or the
/// writer's thread cannot be started.
pub fn start_stdout(level: log::LevelFilter) -> Result<(), Box<dyn std::error::Error>> {
    let (lines, waiting) = mpsc::sync_channel::<Vec<u8>>(WAITING_LINES);
    thread::Builder::new().name(String::from("logs")).spawn(move || write_out(&waiting))?;
    let bounded = Bounded { lines, rates: Mutex::default(), left_out: AtomicU64::new(0) };
    let appender = Appender::builder().build("stdout", Box::new(bounded));
    let root = Root::builder().appender("stdout").build(level);
    log4rs::init_config(Config::builder().appender(appender).build(root)?)?;
    Ok(())
}

fn write_out(waiting: &mpsc::Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    for line in waiting {
        // Nobody is left to tell if standard output is gone.
        let _gone = out.write_all(&line);
    }
}

/// Lines of one place in the code within one second.
#[derive(Debug, Default)]
struct Rate {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Hands lines to the writer's thread, or leaves them out.
#[derive(Debug)]
struct Bounded {
    lines: mpsc::SyncSender<Vec<u8>>,
    rates: Mutex<HashMap<(&'static str, u32), Rate>>,
    left_out: AtomicU64,
}

impl Bounded {
    /// Whether a line of this place may be written now, and how many were
    /// left out before it.
    fn admit(&self, record: &log::Record<'_>) -> Option<u64> {
        let place = (record.file_static().unwrap_or_default(), record.line().unwrap_or_default());
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        // A thread that panicked while it held the lock left counters, which
        // are as good as before.
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let rate = rates.entry(place).or_default();
        if rate.second != now {
            rate.second = now;
            rate.lines = 0;
        }
        rate.lines += 1;
        if rate.lines > LINES_A_SECOND {
            rate.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.left_out))
    }
}

impl Append for Bounded {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let Some(left_out) = self.admit(record) else {
            return Ok(());
        };
        let left_out = left_out + self.left_out.swap(0, Ordering::Relaxed);
        let line = line(record, left_out);
        if self.lines.try_send(line).is_err() {
            self.left_out.fetch_add(left_out + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// One line. The platform stamps the time; the place tells decisions apart.
fn line(record: &log::Record<'_>, left_out: u64) -> Vec<u8> {
    let text = record.args().to_string();
    let line = Line {
        level: record.level().as_str(),
        module: record.target(),
        line: record.line(),
        message: &text,
        left_out: (left_out > 0).then_some(left_out),
    };
    let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

#[derive(Serialize)]
struct Line<'a> {
    level: &'static str,
    module: &'a str,
    line: Option<u32>,
    message: &'a str,
    /// Lines of this kind that were not written since the last one.
    #[serde(skip_serializing_if = "Option::is_none")]
    left_out: Option<u64>,
}

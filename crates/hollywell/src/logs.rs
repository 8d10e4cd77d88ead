//! Logging through log4rs: to standard error for an instance that is run by hand,
//! and rate-limited to standard output on a platform.

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
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
/// If logging was started before or the configuration is invalid.
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

/// Capacity of the queue to standard output, in lines. Logging never blocks: lines
/// that find the queue full are counted and dropped.
const QUEUE_LINES: usize = 2_048;
/// Maximum lines per second from one source location. Further lines are counted
/// and dropped, since so frequent a message carries no new information.
const MAX_LINES_PER_SECOND: u32 = 50;
/// How long a flush waits for standard output, which may be blocked.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// What the writer thread is sent.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// The sender is dropped once all lines before are written.
    Flush(mpsc::Sender<()>),
}

/// Starts logging as JSON lines to standard output. Rate and queue are bounded, so
/// that logging never blocks its callers.
///
/// # Errors
///
/// If logging was started before, the configuration is invalid, or the writer
/// thread cannot be started.
pub fn start_stdout(level: log::LevelFilter) -> Result<(), Box<dyn std::error::Error>> {
    let bounded = BoundedAppender::writing_to(std::io::stdout())?;
    let appender = Appender::builder().build("stdout", Box::new(bounded));
    let root = Root::builder().appender("stdout").build(level);
    log4rs::init_config(Config::builder().appender(appender).build(root)?)?;
    Ok(())
}

fn write_out(queue: &mpsc::Receiver<Message>, mut out: impl Write) {
    for message in queue {
        match message {
            Message::Line(line) => {
                // A closed standard output cannot be reported anywhere.
                let _closed = out.write_all(&line);
            }
            Message::Flush(done) => drop(done),
        }
    }
}

/// Lines logged from one source location within one second.
#[derive(Debug, Default)]
struct Rate {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Appender that queues lines for the writer thread or drops them.
#[derive(Debug)]
pub struct BoundedAppender {
    messages: mpsc::SyncSender<Message>,
    rates: Mutex<HashMap<(&'static str, u32), Rate>>,
    left_out: AtomicU64,
}

impl BoundedAppender {
    /// Creates an appender whose lines a thread writes to `out`.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn writing_to(out: impl Write + Send + 'static) -> std::io::Result<BoundedAppender> {
        let (messages, queue) = mpsc::sync_channel(QUEUE_LINES);
        let name = String::from("logs");
        thread::Builder::new().name(name).spawn(move || write_out(&queue, out))?;
        Ok(BoundedAppender { messages, rates: Mutex::default(), left_out: AtomicU64::new(0) })
    }

    /// Returns `None` if the line exceeds the rate of its source location, otherwise
    /// the number of lines dropped from there since the last one written.
    fn admit(&self, record: &log::Record<'_>) -> Option<u64> {
        let location =
            (record.file_static().unwrap_or_default(), record.line().unwrap_or_default());
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        // A thread that panicked while holding the lock leaves only counters, which
        // are still valid.
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let rate = rates.entry(location).or_default();
        if rate.second != now {
            rate.second = now;
            rate.lines = 0;
        }
        rate.lines += 1;
        if rate.lines > MAX_LINES_PER_SECOND {
            rate.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.left_out))
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let Some(left_out) = self.admit(record) else {
            return Ok(());
        };
        let left_out = left_out + self.left_out.swap(0, Ordering::Relaxed);
        let line = line(record, left_out);
        if self.messages.try_send(Message::Line(line)).is_err() {
            self.left_out.fetch_add(left_out + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (flushed, is_flushed) = mpsc::channel();
        if self.messages.try_send(Message::Flush(flushed)).is_ok() {
            // Lines that are not written in time are lost, like those that find the
            // queue full.
            let _late = is_flushed.recv_timeout(FLUSH_TIME);
        }
    }
}

/// Encodes a line. The platform adds the time. Module and line number distinguish
/// messages with the same text.
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
    /// Number of lines dropped since the last one written.
    #[serde(skip_serializing_if = "Option::is_none")]
    left_out: Option<u64>,
}

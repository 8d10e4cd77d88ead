//! Histories of what callers, trainers and targets observed. Each process
//! writes its own file with one JSON object per line.

use std::{
    fs::{self, File, OpenOptions},
    io::{BufRead as _, BufReader, Write as _},
    path::Path,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The complete answer of the target.
    Answer,
    /// Refused, with the statement that it did not run.
    NotRun,
    /// Refused or timed out; it may have run.
    Unknown,
    /// No connection could be established.
    Nothing,
    /// The connection broke before the answer was complete.
    Cut,
}

/// An event that a process observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A caller sent a call.
    Sent {
        /// The call's key.
        key: String,
        /// Where it was sent.
        entry: String,
    },
    /// A call ended for its caller.
    #[serde(rename = "told")]
    Replied {
        /// The call's key.
        key: String,
        /// Where it had been sent.
        entry: String,
        /// How it ended.
        #[serde(rename = "told")]
        reply: Reply,
        /// True if an answer is complete and to this very call.
        matches: bool,
    },
    /// A service ran a call.
    Ran {
        /// The service.
        target: String,
        /// The call's key.
        key: String,
    },
    /// A target was given work.
    Given {
        /// The target.
        target: String,
    },
    /// A target received notice that it leaves.
    Leaving {
        /// The target.
        target: String,
    },
    /// An engine generated a sample.
    Generated {
        /// Number within the engine, in the sample's text.
        id: String,
        /// The versions that produced it, in order.
        versions: Vec<u64>,
    },
    /// A trainer published a version.
    Published {
        /// The trainer.
        trainer: String,
        /// The version.
        version: u64,
    },
    /// A trainer opened a step.
    Opened {
        /// The trainer.
        trainer: String,
        /// The step.
        step: u64,
        /// Samples wanted in all.
        samples: u64,
        /// The newest version that it has published.
        version: u64,
        /// Versions that a sample may be behind.
        staleness: u64,
    },
    /// A trainer received a sample.
    Sample {
        /// The trainer.
        trainer: String,
        /// The step.
        step: u64,
        /// The group.
        group: u32,
        /// The index in the group.
        index: u32,
        /// The generation's number, from the text.
        id: String,
        /// The versions that the sample names.
        versions: Vec<u64>,
    },
    /// A step was completed, or its trainer stopped waiting.
    StepEnded {
        /// The trainer.
        trainer: String,
        /// The step.
        step: u64,
        /// Whether it was complete in time.
        whole: bool,
    },
    /// A trainer's stream broke.
    StreamCut {
        /// Where the step was open.
        entry: String,
    },
    /// An operator's edit was accepted.
    Accepted {
        /// The row.
        trainer: String,
        /// The row's revision.
        revision: u64,
    },
    /// The table that is in force at an entry instance.
    InForce {
        /// The entry instance.
        entry: String,
        /// Its incarnation.
        incarnation: u64,
        /// Offset before which all changes are in force.
        next: u64,
        /// Revisions by row.
        rows: Vec<(String, u64)>,
    },
    /// A process was request to stop.
    StopAsked {
        /// The entry instance.
        entry: String,
    },
    /// A process was killed.
    Killed {
        /// The entry instance.
        entry: String,
    },
    /// A process ended by itself with this code.
    Stopped {
        /// The entry instance.
        entry: String,
        /// Its exit code.
        code: i32,
    },
}

/// A line of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Time in milliseconds since the Unix epoch; all stand-ins run on one machine.
    pub at: u64,
    /// The event.
    #[serde(rename = "saw")]
    pub event: Event,
}

/// Writes one process's history.
#[derive(Debug)]
pub struct Writer {
    file: Mutex<File>,
}

impl Writer {
    /// Opens `name` in a directory for appending.
    ///
    /// # Errors
    ///
    /// If the directory or the file cannot be created.
    pub fn open(directory: &Path, name: &str) -> std::io::Result<Writer> {
        fs::create_dir_all(directory)?;
        let path = directory.join(format!("{name}.jsonl"));
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Writer { file: Mutex::new(file) })
    }

    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let line = Line { at: now_ms(), event };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Err(error) = file.write_all(&text) {
            eprintln!("standin: writing the history: {error}");
        }
    }
}

/// Milliseconds since the epoch.
#[must_use]
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Reads all histories of a directory, ordered by time.
///
/// # Errors
///
/// If a file cannot be read or a line cannot be decoded.
pub fn read(directory: &Path) -> std::io::Result<Vec<Line>> {
    let mut lines = vec![];
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "jsonl") {
            continue;
        }
        for line in BufReader::new(File::open(&path)?).lines() {
            lines.push(serde_json::from_str::<Line>(&line?)?);
        }
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

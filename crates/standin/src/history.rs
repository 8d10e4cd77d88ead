//! Histories: what callers, trainers and targets saw, one JSON object a
//! line, each process in a file of its own.

use std::{
    fs::{self, File, OpenOptions},
    io::{BufRead as _, BufReader, Write as _},
    path::Path,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// The target's whole answer.
    Answer,
    /// Refused, and it did not run.
    NotRun,
    /// Refused or given up on, and it may have run.
    Unknown,
    /// No connection, so nothing was said.
    Nothing,
    /// The connection broke before the answer was whole.
    Cut,
}

/// Something that one process saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Saw {
    /// A caller sent a call.
    Sent {
        /// The call's key.
        key: String,
        /// Where it was sent.
        entry: String,
    },
    /// A caller was told how its call ended.
    Told {
        /// The call's key.
        key: String,
        /// Where it had been sent.
        entry: String,
        /// What it was told.
        told: Told,
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
    /// A target was told that it leaves.
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
        /// The versions named.
        versions: Vec<u64>,
    },
    /// A trainer stopped waiting for a step, or had it whole.
    StepEnded {
        /// The trainer.
        trainer: String,
        /// The step.
        step: u64,
        /// True if it was whole in time.
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
    /// What an entry instance has in force.
    InForce {
        /// The entry instance.
        entry: String,
        /// Its run.
        incarnation: u64,
        /// Offset before which all is in force.
        next: u64,
        /// Revisions by row.
        rows: Vec<(String, u64)>,
    },
    /// A process was asked to stop.
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
    /// When, in milliseconds since the epoch; all stand-ins share a machine.
    pub at: u64,
    /// What.
    pub saw: Saw,
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
    /// If the directory or the file cannot be made.
    pub fn open(directory: &Path, name: &str) -> std::io::Result<Writer> {
        fs::create_dir_all(directory)?;
        let path = directory.join(format!("{name}.jsonl"));
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Writer { file: Mutex::new(file) })
    }

    /// Writes what was seen just now.
    pub fn saw(&self, saw: Saw) {
        let line = Line { at: now_ms(), saw };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Err(error) = file.write_all(&text) {
            eprintln!("standin: history lost: {error}");
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
/// If a file cannot be read or has a line that is no history.
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

//! Records which table is in force at each entry instance.

use std::{path::PathBuf, time::Duration};

use http::Method;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    history::{Event, Writer},
    web,
};

/// Timeout of one reading.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Options of the watcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the entry instances.
    pub entries: Vec<String>,
    /// Interval between readings, in milliseconds.
    pub every_ms: u64,
    /// Directory of history files.
    pub history: PathBuf,
}

/// Reads and records until the process ends.
///
/// # Errors
///
/// If the history cannot be written.
pub async fn run(options: &Options) -> std::io::Result<()> {
    let history = Writer::open(&options.history, "watcher")?;
    loop {
        for entry in &options.entries {
            if let Some(event) = read(entry).await {
                history.record(event);
            }
        }
        sleep(Duration::from_millis(options.every_ms)).await;
    }
}

async fn read(entry: &str) -> Option<Event> {
    let answer = web::send(Method::GET, entry, "/admin/status", &(), TIMEOUT).await?;
    let view: Value = serde_json::from_slice(answer.body()).ok()?;
    let row = |row: &Value| {
        let trainer = row["row"]["trainer"].as_str()?.to_owned();
        Some((trainer, row["revision"].as_u64()?))
    };
    Some(Event::InForce {
        entry: entry.to_owned(),
        incarnation: view["instance"]["incarnation"].as_u64()?,
        next: view["next"].as_u64()?,
        rows: view["table"].as_array()?.iter().filter_map(row).collect(),
    })
}

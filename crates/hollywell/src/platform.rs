//! The platform's log, list and weight store, as documented in
//! `docs/INTERFACES.md`, and the load that engines report.
//!
//! Each is read in a loop of its own, which turns what it read into events.
//! A reading that fails is tried again after a pause; nothing here decides.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use tokio::time::sleep;

use crate::{
    clock::Clock,
    control::Handle,
    core::{
        event::Event,
        member::{Kind, Listed, Load},
        stream::Record,
        time::Time,
    },
    http::{Client, Error},
    settings::Platform,
};

/// The stream that hollywell keeps on the log.
pub const STREAM: &str = "hollywell";

/// Longest time for one exchange with the platform, besides a poll's wait.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed reading.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Largest answer of the platform, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Records asked for at once.
const PAGE_RECORDS: usize = 1_000;

#[derive(Debug, Deserialize)]
struct LogPage {
    first: u64,
    next: u64,
    records: Vec<LogRecord>,
}

#[derive(Debug, Deserialize)]
struct LogRecord {
    offset: u64,
    data: serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct ListPage {
    entries: Vec<Listed>,
}

#[derive(Debug, Deserialize)]
struct Newest {
    latest: u64,
}

/// Reads the log from its oldest record on, for as long as the process runs.
pub async fn follow_log(platform: Platform, control: Handle, clock: Clock) {
    let client = Client::new();
    let mut from = 0;
    loop {
        let sent = clock.now();
        match read_log(&client, &platform, from).await {
            Ok(page) => {
                from = page.next_from(from);
                control.send(page.into_event(sent, from)).await;
            }
            Err(error) => {
                log::debug!("log not read: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl LogPage {
    fn next_from(&self, from: u64) -> u64 {
        let after_last = self.records.last().map(|record| record.offset + 1);
        after_last.unwrap_or_else(|| from.max(self.first))
    }

    /// Records that cannot be read are left out of the event, and so leave a
    /// gap: a record of a later version must not be skipped over silently.
    fn into_event(self, sent: Time, from: u64) -> Event {
        let at_end = from >= self.next;
        let parse = |record: LogRecord| match serde_json::from_value::<Record>(record.data) {
            Ok(data) => Some((record.offset, data)),
            Err(error) => {
                log::error!("log record {} cannot be read: {error}", record.offset);
                None
            }
        };
        let records = self.records.into_iter().filter_map(parse).collect();
        Event::LogRead { sent, first: self.first, records, at_end }
    }
}

async fn read_log(client: &Client, platform: &Platform, from: u64) -> Result<LogPage, Error> {
    let wait_ms = platform.poll_ms;
    let path =
        format!("/streams/{STREAM}/records?from={from}&wait_ms={wait_ms}&max={PAGE_RECORDS}");
    let timeout = EXCHANGE_TIMEOUT + Duration::from_millis(wait_ms);
    get(client, platform.log, &path, timeout).await
}

async fn get<T: for<'de> Deserialize<'de>>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<T, Error> {
    let answer = client.get(&address.to_string(), path, MAX_RESPONSE_BYTES, timeout).await?;
    if !answer.status().is_success() {
        return Err(Error::Broken(format!("status {}", answer.status())));
    }
    serde_json::from_slice(answer.body()).map_err(|error| Error::Broken(error.to_string()))
}

/// Appends a record; it may be lost, and may be appended though this fails.
pub async fn append(client: &Client, platform: &Platform, record: &Record) {
    let body = serde_json::json!({ "records": [record] }).to_string().into_bytes();
    let path = format!("/streams/{STREAM}/records");
    let address = platform.log.to_string();
    let sent = client.post(&address, &path, body, MAX_RESPONSE_BYTES, EXCHANGE_TIMEOUT).await;
    match sent {
        Ok(answer) if answer.status().is_success() => {}
        Ok(answer) => log::debug!("append refused: status {}", answer.status()),
        Err(error) => log::debug!("append failed: {error}"),
    }
}

/// Reads the list of instances and targets, for as long as the process runs.
pub async fn follow_list(platform: Platform, control: Handle) {
    let client = Client::new();
    loop {
        match get::<ListPage>(&client, platform.list, "/list", EXCHANGE_TIMEOUT).await {
            Ok(page) => control.send(Event::Listed(page.entries)).await,
            Err(error) => log::debug!("list not read: {error}"),
        }
        sleep(Duration::from_millis(platform.list_ms)).await;
    }
}

/// Reads the newest version of each trainer in the table, for as long as the
/// process runs.
pub async fn follow_versions(platform: Platform, control: Handle) {
    let client = Client::new();
    loop {
        let view = control.view();
        for trainer in view.versions.keys() {
            let path = format!("/trainers/{trainer}/versions");
            let read = get::<Newest>(&client, platform.weights, &path, EXCHANGE_TIMEOUT).await;
            if let Ok(newest) = read {
                let (trainer, version) = (trainer.clone(), newest.latest);
                control.send(Event::Version { trainer, version }).await;
            }
        }
        sleep(Duration::from_millis(platform.list_ms)).await;
    }
}

/// Reads the engines' load, for as long as the process runs.
pub async fn follow_load(platform: Platform, control: Handle) {
    let client = Client::new();
    loop {
        let view = control.view();
        let engines = view.targets.iter().filter(|target| target.kind == Kind::Engine);
        for engine in engines {
            let (client, control) = (client.clone(), control.clone());
            let (target, address) = (engine.name.clone(), engine.address.clone());
            tokio::spawn(async move {
                let load = read_load(&client, &address).await.ok();
                control.send(Event::Loaded { target, load }).await;
            });
        }
        sleep(Duration::from_millis(platform.load_ms)).await;
    }
}

async fn read_load(client: &Client, address: &str) -> Result<Load, Error> {
    let answer = client.get(address, "/load", MAX_RESPONSE_BYTES, EXCHANGE_TIMEOUT).await?;
    serde_json::from_slice(answer.body()).map_err(|error| Error::Broken(error.to_string()))
}

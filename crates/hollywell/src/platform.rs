//! Client of the platform's log, instance list and weight store, as documented in
//! `docs/INTERFACES.md`, and of the engines' load reports.
//!
//! Each source is polled in a separate loop, which turns responses into events. A
//! failed read of the log is retried after `RETRY_DELAY`, other reads with the
//! next poll. No decisions are made here.

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

/// Name of hollywell's stream on the log.
pub const STREAM: &str = "hollywell";

/// Timeout of an exchange with the platform, in addition to the wait of a long
/// poll.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed read of the log is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum size of a response of the platform, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum size of an engine's load report, in bytes.
const MAX_LOAD_BYTES: usize = 64 << 10;
/// Maximum number of records per read.
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

/// Follows the log from its oldest record for as long as the process runs.
pub async fn follow_log(platform: Platform, control: Handle, clock: Clock) {
    let client = Client::with_memory(MAX_RESPONSE_BYTES);
    let mut from = 0;
    loop {
        let sent = clock.now();
        match read_log(&client, &platform, from).await {
            Ok(page) => {
                from = page.next_from(from);
                control.send(page.into_event(sent, from)).await;
            }
            Err(error) => {
                log::debug!("cannot read the log: {error}");
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

    /// Converts the page into an event. Records that cannot be decoded are left
    /// out, which leaves a gap in the offsets: records of a later version must not
    /// be skipped silently.
    fn into_event(self, sent: Time, from: u64) -> Event {
        let at_end = from >= self.next;
        let parse = |record: LogRecord| match serde_json::from_value::<Record>(record.data) {
            Ok(data) => Some((record.offset, data)),
            Err(error) => {
                log::error!("cannot decode log record {}: {error}", record.offset);
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
    let response = client.get(&address.to_string(), path, MAX_RESPONSE_BYTES, timeout).await?;
    if !response.status().is_success() {
        return Err(Error::Broken(format!("status {}", response.status())));
    }
    serde_json::from_slice(response.body()).map_err(|error| Error::Broken(error.to_string()))
}

/// Appends a record. The record may be lost, and it may be appended although the
/// call fails.
pub async fn append(client: &Client, platform: &Platform, record: &Record) {
    let body = serde_json::json!({ "records": [record] }).to_string().into_bytes();
    let path = format!("/streams/{STREAM}/records");
    let address = platform.log.to_string();
    let sent = client.post(&address, &path, body, MAX_RESPONSE_BYTES, EXCHANGE_TIMEOUT).await;
    match sent {
        Ok(response) if response.status().is_success() => {}
        Ok(response) => log::debug!("append refused: status {}", response.status()),
        Err(error) => log::debug!("append failed: {error}"),
    }
}

/// Polls the list of instances and targets for as long as the process runs.
pub async fn follow_list(platform: Platform, control: Handle) {
    let client = Client::with_memory(MAX_RESPONSE_BYTES);
    loop {
        match get::<ListPage>(&client, platform.list, "/list", EXCHANGE_TIMEOUT).await {
            Ok(page) => control.send(Event::Listed(page.entries)).await,
            Err(error) => log::debug!("cannot read the instance list: {error}"),
        }
        sleep(Duration::from_millis(platform.list_ms)).await;
    }
}

/// Polls the newest version of each trainer in the table for as long as the process
/// runs.
pub async fn follow_versions(platform: Platform, control: Handle) {
    let client = Client::with_memory(MAX_RESPONSE_BYTES);
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

/// Polls the load of all engines for as long as the process runs.
pub async fn follow_load(platform: Platform, control: Handle) {
    let client = Client::with_memory(MAX_RESPONSE_BYTES);
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
    let response = client.get(address, "/load", MAX_LOAD_BYTES, EXCHANGE_TIMEOUT).await?;
    serde_json::from_slice(response.body()).map_err(|error| Error::Broken(error.to_string()))
}

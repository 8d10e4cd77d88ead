//! Duties that one instance at a time performs: usage reports to the platform's
//! API.
//!
//! A lease selects the instance and provides the fencing token. A report is
//! stored before it is sent ([`crate::core::usage`]), so that a successor sends
//! the same bytes. Serving does not depend on any of this: the API may be slow
//! or unavailable.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::sleep;

use crate::{
    core::{
        capacity::Purpose,
        roster,
        usage::{self, Ledger, Next},
    },
    entry::{
        lease::Lease,
        settings::Duties,
        shared::Shared,
        store::{Append, Newest, Partition, Records, StoreError},
        usage as counted,
    },
};

/// The topic of the lease.
const LEASE: &str = "duties";
/// The topic of decided and sent reports; one partition.
const TOPIC: &str = "keyed.duties";
/// Interval between checks of what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// How long before a report is due the holder announces it on the lease.
const ANNOUNCE_AHEAD_MS: u64 = 500;
/// Timeout of a call: well within what is left of a lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Base of the back-off after failed calls, with full jitter; doubled each time.
const RETRY_BASE: Duration = Duration::from_millis(250);
/// Maximum number of doublings.
const RETRY_DOUBLINGS: u32 = 3;
/// Instances of each failure domain that compete for the lease. Each of them
/// reads it continuously; if one is lost there is another, and the other
/// domains have their own.
const CANDIDATES: usize = 2;
/// Maximum size of the API's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// State of an instance that may hold the duties.
struct DutyHolder {
    duties: Duties,
    lease: Rc<Lease>,
    /// The window in which this instance first held the lease.
    from: Option<u64>,
    /// Nothing is due before this time, in milliseconds since the Unix epoch.
    due_ms: u64,
    /// Number of failed calls in a row.
    failures: u32,
}

/// Performs the duties while this instance holds the lease.
pub async fn serve(shared: Rc<Shared>) {
    let Some(duties) = shared.settings.duties else {
        return;
    };
    let lease = Lease::new(&shared, Partition::new(LEASE, 0), LEASE);
    tokio::task::spawn_local(lease.clone().maintain(shared.clone(), is_candidate));
    let mut holder = DutyHolder { duties, lease, from: None, due_ms: 0, failures: 0 };
    loop {
        sleep(TICK_INTERVAL).await;
        if !holder.lease.is_held() {
            (holder.due_ms, holder.failures) = (0, 0);
            continue;
        }
        let now_ms = counted::day_ms(&shared);
        holder.from.get_or_insert(duties.usage.window(now_ms));
        let is_due_soon = now_ms + ANNOUNCE_AHEAD_MS >= holder.due_ms;
        holder.lease.set_wanted(is_due_soon);
        if now_ms >= holder.due_ms && !shared.control.borrow().is_stopping() {
            holder.step(&shared, now_ms).await;
        }
    }
}

/// Whether this instance competes for the lease. A few of each failure domain
/// do; all instances derive the same ones from the members.
fn is_candidate(shared: &Shared) -> bool {
    let control = shared.control.borrow();
    if control.is_stopping() {
        return false;
    }
    let domain = roster::domain(&shared.instance_id);
    roster::candidates(control.roster.members(), domain, LEASE, CANDIDATES)
        .contains(&shared.instance_id.as_str())
}

impl DutyHolder {
    /// Reads the stored state and performs the next step that is due.
    async fn step(&mut self, shared: &Rc<Shared>, now_ms: u64) {
        let (ledger, end, obsolete) = match read(shared).await {
            Ok(read) => read,
            Err(error) => {
                log::info!("reading usage: {error}");
                return self.back_off().await;
            }
        };
        let from = self.from.unwrap_or_default();
        let done = match ledger.next(now_ms, self.duties.usage, from) {
            Next::Wait(until_ms) => {
                self.due_ms = until_ms;
                delete_reported(shared, obsolete).await;
                return;
            }
            Next::Decide(window, counts) => {
                let report = (shared.codec.usage)(window, &counts);
                log::info!("usage of window {window} is decided: {} organisations", counts.len());
                write(shared, vec![usage::decision(window, report)], end).await
            }
            Next::Report(window, report) => self.report(shared, window, report, end).await,
        };
        if done {
            self.failures = 0;
        } else {
            self.back_off().await;
        }
    }

    async fn back_off(&mut self) {
        let max = RETRY_BASE * (1 << self.failures.min(RETRY_DOUBLINGS));
        self.failures += 1;
        sleep(max.mul_f64(rand::random_range(0.0..=1.0))).await;
    }

    /// Reports a window and records that; returns whether both succeeded.
    async fn report(&self, shared: &Rc<Shared>, window: u64, report: Bytes, end: u64) -> bool {
        // Checked last: the reads may have taken long, or the process may have
        // been paused.
        let Some(fence) = self.lease.fencing_token(shared, CALL_TIMEOUT) else {
            return false;
        };
        self.lease.record_use(shared);
        let status = self.call(shared, fence, report).await;
        let name = match status {
            Ok(status) => status.as_str().to_owned(),
            Err(ref why) => why.clone(),
        };
        log::info!("usage of window {window} reported, fence {fence}: {name}");
        let label = match status {
            Ok(ref status) => status.as_str(),
            Err(_) => "no_answer",
        };
        shared.meters.reports.with_label_values(&[label]).inc();
        match status {
            Ok(StatusCode::OK) => {
                shared.meters.reported_window.set(i64::try_from(window).unwrap_or(i64::MAX));
                write(shared, usage::reported(window), end).await
            }
            // The holder of a later grant has already called.
            Ok(StatusCode::CONFLICT) => {
                self.lease.release(shared).await;
                false
            }
            Ok(_) | Err(_) => false,
        }
    }

    async fn call(
        &self,
        shared: &Rc<Shared>,
        fence: u64,
        body: Bytes,
    ) -> Result<StatusCode, String> {
        let address = self.duties.address;
        let names = &shared.codec.headers;
        let request = Request::post(shared.codec.usage_path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(&names.holder, shared.settings.name.as_str())
            .header(&names.fence, fence)
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let answer = shared
            .pool
            .send(address, request, CALL_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        let status = answer.head.status;
        answer
            .read_body(MAX_RESPONSE_BYTES, CALL_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        Ok(status)
    }
}

/// Reads the usage in the store, the end of the partition of decisions, and the
/// keys of counts that are no longer needed.
async fn read(shared: &Shared) -> Result<(Ledger, u64, Vec<String>), StoreError> {
    let decided = newest(shared, TOPIC).await?;
    let pieces = newest(shared, counted::TOPIC).await?;
    let mut ledger = Ledger::default();
    let mut skipped = Vec::new();
    for record in &decided.records {
        let value = record.value.clone().unwrap_or_default();
        skipped.extend(ledger.add_record(&record.key, &value).err());
    }
    for record in &pieces.records {
        let value = record.value.clone().unwrap_or_default();
        skipped.extend(ledger.add_counts(&record.key, &value).err());
    }
    for error in skipped {
        shared.meters.usage_skipped.inc();
        log::warn!("{error}");
    }
    let keys = pieces.records.into_iter().map(|record| record.key);
    let obsolete = keys.filter(|key| ledger.is_obsolete(key)).collect();
    Ok((ledger, decided.end, obsolete))
}

async fn newest(shared: &Shared, topic: &str) -> Result<Records, StoreError> {
    let mut newest = Newest::default();
    let read = shared.reader.resume_newest(&Partition::new(topic, 0), &mut newest).await;
    shared.record_store_result(read.is_ok());
    read?;
    Ok(newest.into_records())
}

/// Appends records of decisions if their log still ends where it was read;
/// returns whether that succeeded.
async fn write(shared: &Shared, records: Vec<(String, Bytes)>, end: u64) -> bool {
    let records = records.into_iter().map(|(key, value)| (Some(key), value)).collect();
    let (part, purpose) = (Partition::new(TOPIC, 0), Purpose::Usage);
    let append = Append { part, records, expected_end: Some(end), purpose };
    match shared.append(append).await {
        Ok(_) => true,
        Err(error) => {
            log::info!("appending to {TOPIC}: {error}");
            false
        }
    }
}

/// Deletes the counts of windows that were reported.
async fn delete_reported(shared: &Shared, keys: Vec<String>) {
    if keys.is_empty() {
        return;
    }
    let records = keys.into_iter().map(|key| (Some(key), Bytes::new())).collect();
    let (part, purpose) = (Partition::new(counted::TOPIC, 0), Purpose::Delete);
    if let Err(error) = shared.append(Append { part, records, expected_end: None, purpose }).await {
        log::info!("deleting counts that were reported: {error}");
    }
}

//! An end that is not known to be in the store: its appends, and the peers that
//! know of it.

use std::collections::BTreeMap;

use crate::core::{
    batch::End,
    ending::{Failure, History, Notice, Reason},
    time::Time,
};

/// Time without a response after which an append counts as slow, in
/// milliseconds: peers are notified, and append too. A store that is slow answers
/// in some hundreds of milliseconds, a connection that is broken only after the
/// call's timeout.
const SLOW_APPEND_MS: u64 = 400;
/// The same after which the instance that received the request makes another
/// append, unless a peer knows of the end. The record is the same each time, so
/// that it does not matter which of them arrive.
const REPEAT_APPEND_MS: u64 = 800;
/// Maximum number of appends of an end that are in flight.
const MAX_IN_FLIGHT: u32 = 3;
/// Age in milliseconds from which an end that is not stored is reported, by the
/// instance that received the request: an end may take seconds, and most take
/// milliseconds. It is reported again each time its age has doubled.
const OVERDUE_MS: u64 = 2_000;
/// The same for an instance that was notified: if the one that received the
/// request is lost, some other has to report it.
const NOTIFIED_OVERDUE_MS: u64 = 16_000;

#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// When the end was requested.
    pub(super) since: Time,
    /// Whether the job may exist, as far as was known at the last tick.
    pub(super) may_exist: bool,
    /// Whether a caller requested the end at this instance.
    pub(super) is_origin: bool,
    /// Number of appends in flight, and when the last of them was started.
    pub(super) in_flight: u32,
    pub(super) started_at: Time,
    /// When the next append is made if none is in flight.
    pub(super) append_at: Time,
    /// Number of appends made.
    pub(super) appends: u32,
    /// Number of failed ones, and by cause.
    pub(super) failures: u32,
    pub(super) failed: BTreeMap<Failure, u32>,
    /// Whether peers have to be notified, since the store may not distribute
    /// the end: an append failed or is slow.
    pub(super) notify_peers: bool,
    /// Why the last append failed.
    pub(super) last_failure: Option<Failure>,
    /// The age at which the end is reported next, in milliseconds.
    pub(super) report_at_ms: u64,
    /// Whether it was appended, and not yet read back.
    pub(super) stored: bool,
    /// The members that have confirmed the end, and when.
    pub(super) confirmed: BTreeMap<String, Time>,
}

impl Pending {
    pub(super) fn reason(&self) -> Reason {
        match self.last_failure {
            Some(failure) => Reason::Failed(failure),
            None if self.in_flight > 0 => Reason::InFlight,
            None => Reason::Waiting,
        }
    }

    /// Counts an append that is started.
    pub(super) fn start_append(&mut self, now: Time) {
        self.in_flight += 1;
        self.started_at = now;
        self.appends += 1;
    }

    /// Whether the last append has been in flight for too long.
    pub(super) fn is_slow(&self, now: Time) -> bool {
        self.in_flight > 0 && now.since(self.started_at) >= SLOW_APPEND_MS
    }

    /// Whether an append is due, for an instance that waits for others first, where an
    /// append may take `append_ms`.
    pub(super) fn is_append_due(&self, now: Time, wait_ms: u64, append_ms: u64) -> bool {
        let is_repeated = self.is_origin
            && self.confirmed.is_empty()
            && self.in_flight < MAX_IN_FLIGHT
            && now.since(self.started_at) >= REPEAT_APPEND_MS.max(append_ms);
        now >= self.append_at.after(wait_ms) && (self.in_flight == 0 || is_repeated)
    }

    /// What a peer is told of the end.
    pub(super) fn notice(&self, now: Time, end: &End) -> Notice {
        Notice { end: end.clone(), age_ms: now.since(self.since) }
    }

    /// The history of the end if it is due to be reported.
    pub(super) fn report(&mut self, now: Time) -> Option<History> {
        let age_ms = now.since(self.since);
        let min_ms = if self.is_origin { OVERDUE_MS } else { NOTIFIED_OVERDUE_MS };
        let is_due = age_ms >= self.report_at_ms.max(min_ms);
        // Every instance holds the end of a job that does not exist.
        let is_reported = self.is_origin || self.may_exist;
        if self.stored || !is_due || !is_reported {
            return None;
        }
        self.report_at_ms = 2 * age_ms;
        Some(History {
            age_ms,
            reason: self.reason(),
            appends: self.appends,
            failed: self.failed.clone(),
            peers: self.confirmed.len(),
        })
    }
}

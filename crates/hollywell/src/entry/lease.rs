//! A lease on a role that one instance has at a time, kept by compare-and-append
//! on a partition of its own. [`crate::core::store_lease`] decides; this module makes
//! the calls.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::Notify, time::sleep};

use crate::{
    core::{
        capacity::Purpose,
        read_rate::ReadPurpose,
        store_lease::{Claim, StoreLease, Timing},
    },
    entry::{
        shared::Shared,
        store::{Append, Partition, Read, StoreError},
    },
};

/// Delay after a failed claim.
const CLAIM_RETRY: Duration = Duration::from_millis(100);
/// Term of a claim, in milliseconds. Short, since the role is vacant for so
/// long after its holder died, and long enough for some lost calls.
const TERM_MS: u64 = 1_800;
/// Interval between a holder's claims; the other candidates read them as they
/// arrive.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// A lease as one instance sees it.
#[derive(Debug)]
pub(super) struct Lease {
    part: Partition,
    /// What the lease is on, for logs.
    subject: String,
    terms: Timing,
    state: RefCell<StoreLease>,
    /// The holder has work to do.
    wanted: Cell<bool>,
    /// Notified when a claim must be made before the next regular one.
    urgent: Notify,
}

impl Lease {
    /// A lease without a known holder.
    pub(super) fn new(shared: &Shared, part: Partition, subject: &str) -> Rc<Lease> {
        let apart_ms = u64::try_from(shared.settings.times.lease.as_millis()).unwrap_or(u64::MAX);
        Rc::new(Lease {
            part,
            subject: subject.to_owned(),
            terms: Timing { term_ms: TERM_MS, apart_ms },
            state: RefCell::default(),
            wanted: Cell::new(false),
            urgent: Notify::new(),
        })
    }

    /// Whether this instance holds the lease, as far as it knows.
    pub(super) fn is_held(&self) -> bool {
        self.state.borrow().is_held()
    }

    /// Sets whether the holder has work to do.
    pub(super) fn set_wanted(&self, wanted: bool) {
        self.wanted.set(wanted);
        if wanted && self.state.borrow().must_announce() {
            self.urgent.notify_one();
        }
    }

    /// The fencing token, if a call that starts now and takes at most `call`
    /// ends within the lease.
    pub(super) fn fencing_token(&self, shared: &Shared, call: Duration) -> Option<u64> {
        let margin_ms = u64::try_from(call.as_millis()).unwrap_or_default();
        self.state.borrow().fence(shared.now(), margin_ms)
    }

    /// Records that a call with the fencing token is sent now.
    pub(super) fn record_use(&self, shared: &Shared) {
        self.state.borrow_mut().record_order(shared.now());
    }

    /// Releases the lease, if it is held.
    pub(super) async fn release(&self, shared: &Rc<Shared>) {
        let released = self.state.borrow().release(&shared.instance_id, shared.now());
        if let Some(claim) = released {
            self.append(shared, claim).await;
        }
    }

    /// Renews the lease, or waits until its holder stops renewing or releases
    /// it, while the instance is a candidate. Returns when the instance stops.
    pub(super) async fn maintain(
        self: Rc<Lease>,
        shared: Rc<Shared>,
        is_candidate: impl Fn(&Shared) -> bool,
    ) {
        let mut stop = shared.stop.subscribe();
        while !*stop.borrow() {
            if !self.is_held() {
                if !is_candidate(&shared) {
                    sleep(RENEW_INTERVAL).await;
                    continue;
                }
                self.read(&shared).await;
            }
            self.claim(&shared).await;
            if self.is_held() {
                tokio::select! {
                    () = sleep(RENEW_INTERVAL) => {}
                    () = self.urgent.notified() => {}
                    _ = stop.changed() => {}
                }
            }
        }
        self.release(&shared).await;
    }

    async fn read(&self, shared: &Rc<Shared>) {
        let from = self.state.borrow().end;
        let read = Read { part: self.part.clone(), from, wait: RENEW_INTERVAL, max_kb: None };
        match shared.reader.read_for(ReadPurpose::State, read).await {
            Ok(records) => {
                shared.record_store_result(true);
                let mut state = self.state.borrow_mut();
                for record in &records.records {
                    let value = record.value.clone().unwrap_or_default();
                    match serde_json::from_slice::<Claim>(&value) {
                        Ok(claim) => {
                            state.observe(&shared.instance_id, shared.now(), record.offset, &claim);
                        }
                        Err(error) => log::warn!("claim at {} skipped: {error}", record.offset),
                    }
                }
                state.observe_end(shared.now(), records.end);
            }
            Err(StoreError::Trimmed(first)) => self.state.borrow_mut().end = first,
            Err(error) => {
                shared.record_store_result(false);
                log::info!("reading the lease of {}: {error}", self.subject);
                sleep(RENEW_INTERVAL).await;
            }
        }
    }

    async fn claim(&self, shared: &Rc<Shared>) {
        let claim = {
            let state = self.state.borrow();
            state.claim(
                &shared.instance_id,
                shared.now(),
                self.terms,
                rank(shared),
                self.wanted.get(),
            )
        };
        if let Some(claim) = claim {
            self.append(shared, claim).await;
        }
    }

    async fn append(&self, shared: &Rc<Shared>, claim: Claim) {
        let sent = shared.now();
        let value = Bytes::from(serde_json::to_vec(&claim).unwrap_or_default());
        let expected_end = Some(self.state.borrow().end);
        let (part, records) = (self.part.clone(), vec![(None, value)]);
        let append = Append { part, records, expected_end, purpose: Purpose::Claim };
        match shared.append(append).await {
            Ok(appended) => {
                if claim.renews.is_none() {
                    log::info!("lease of {} granted, fence {}", self.subject, appended.offset);
                }
                self.state.borrow_mut().record_grant(sent, appended.offset, &claim, self.terms);
            }
            Err(StoreError::EndMismatch(_)) => {
                // Another claim came first, or one of this instance whose
                // response was lost; the next read shows which.
                self.read(shared).await;
            }
            Err(error) => {
                log::info!("claiming the lease of {}: {error}", self.subject);
                sleep(CLAIM_RETRY).await;
            }
        }
    }
}

/// A rank of this instance that spreads the challenges of the candidates in
/// time.
fn rank(shared: &Shared) -> u64 {
    xxhash_rust::xxh3::xxh3_64(shared.instance_id.as_bytes()) % 8
}

//! The agreed state: reading the log, adopting a peer's state while the log is
//! unavailable, snapshots, and operators' edits.

use super::{PendingEdit, State};
use crate::{
    core::{
        effect::Reply,
        event::Message,
        id::Request,
        lease,
        member::Peer,
        stream::{Change, Record, Snapshot},
        table,
        time::Time,
    },
    error::Kind,
};

/// How long a peer may be ahead before its state is requested, in
/// milliseconds. With a shorter time, every instance that polls the log
/// slightly later than another would request it.
const PULL_AFTER_MS: u64 = 1_000;
/// Interval of attempts to append a snapshot, in milliseconds. An instance
/// that was cut off from the log must not flood it with snapshots after it
/// reconnects.
const SNAPSHOT_RETRY_MS: u64 = 1_000;
/// Interval of appends of the same edit, in milliseconds.
const EDIT_RETRY_MS: u64 = 1_000;

impl State {
    pub(super) fn on_log(
        &mut self,
        sent: Time,
        first: u64,
        records: &[(u64, Record)],
        at_end: bool,
    ) {
        self.fold.retained_from(first);
        for (offset, record) in records {
            if matches!(record, Record::Snapshot(_)) {
                self.snapshot_at = self.now;
            }
            let changes = self.fold.read(*offset, record);
            self.on_changes(changes);
        }
        if at_end && !self.fold.has_gap() {
            if !self.log_read && self.snapshot_at == Time::EARLIEST {
                // A log without a snapshot is not overdue for one.
                self.snapshot_at = self.now;
            }
            self.log_read = true;
            self.owner.confirm_by_log(sent);
        }
    }

    fn on_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Edit { id, outcome } => self.end_edit(&id, &outcome),
                Change::Map(domain) if domain == self.config.domain => self.install_map(),
                Change::Map(_) => {}
                Change::Lease { domain, .. } if domain == self.config.domain => {
                    self.observe_lease();
                }
                Change::Lease { .. } => {}
                Change::Loaded => {
                    self.install_map();
                    self.observe_lease();
                    self.end_decided_edits();
                }
            }
        }
    }

    fn observe_lease(&mut self) {
        let Some(grant) = self.fold.state().leases.0.get(&self.config.domain) else {
            return;
        };
        let grant: lease::Grant = grant.clone();
        let held_before = self.lease.held_until() > self.now;
        let local = self.owner.local();
        self.lease.observe(local, &grant, self.now, self.config.ownership.lease_ms);
        if !held_before && self.lease.held_until() > self.now {
            let wait_ms = self.config.order_ms + self.config.ownership.guard_ms;
            self.lease_from = self.now.after(wait_ms);
        }
    }

    pub(super) fn on_push(&mut self, snapshot: &Snapshot) {
        let changes = self.fold.load(snapshot);
        self.on_changes(changes);
    }

    /// Requests the state of a peer that is ahead, appends a snapshot when one
    /// is due, and retries or times out edits.
    pub(super) fn tick_agreed(&mut self) {
        self.catch_up();
        self.write_snapshot();
        self.tick_edits();
    }

    fn catch_up(&mut self) {
        let next = self.fold.state().next;
        let peers = self.members.peers.values();
        let ahead = peers.filter(|peer| peer.next > next).max_by_key(|peer| peer.next);
        let Some(address) = ahead.map(|peer| peer.listed.address.clone()) else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(self.now);
        if self.now.since(since) >= PULL_AFTER_MS {
            self.behind_since = Some(self.now);
            self.send(&address, Message::Pull);
        }
    }

    /// Appends a snapshot when one is due. It is due first at the live
    /// instance with the smallest name. If that one cannot reach the log, so
    /// that no snapshot is read, it becomes due at the others one by one.
    fn write_snapshot(&mut self) {
        let factor = 2 + self.rank();
        let records = self.config.snapshot_records * factor / 2;
        let ms = self.config.snapshot_ms * factor / 2;
        let due_by_records = self.fold.since_snapshot() >= records;
        let due_by_time = self.now.since(self.snapshot_at) >= ms;
        let is_empty = self.fold.state().next == 0;
        let is_current = self.log_read && !self.fold.has_gap();
        let tried = self.now.since(self.snapshot_tried_at) < SNAPSHOT_RETRY_MS;
        if is_empty || !is_current || tried || !(due_by_records || due_by_time) {
            return;
        }
        self.snapshot_tried_at = self.now;
        let snapshot = Box::new(self.fold.state().clone());
        self.append(Record::Snapshot(snapshot));
    }

    /// Number of live instances with a smaller name.
    fn rank(&self) -> u64 {
        let smaller = |peer: &&Peer| peer.listed.name < self.config.id.name && self.is_live(peer);
        self.members.peers.values().filter(smaller).count() as u64
    }

    pub(super) fn on_edit(&mut self, request: Request, edit: &table::Edit) {
        if self.draining.is_some() {
            self.refuse(request, Kind::Draining);
            return;
        }
        if self.edits.len() >= self.config.calls {
            self.refuse(request, Kind::Overloaded);
            return;
        }
        let edit = edit.clone();
        let pending =
            PendingEdit { request, edit: edit.clone(), since: self.now, appended_at: self.now };
        self.edits.push(pending);
        self.append(Record::Edit(edit));
    }

    fn end_edit(&mut self, id: &str, outcome: &table::Outcome) {
        let ended = self.edits.extract_if(.., |pending| pending.edit.id == id);
        for pending in ended.collect::<Vec<PendingEdit>>() {
            self.reply(pending.request, Reply::Edited(outcome.clone()));
        }
    }

    fn end_decided_edits(&mut self) {
        let table = &self.fold.state().table;
        let known = |pending: &PendingEdit| {
            let outcome = table.outcome(&pending.edit.id).cloned();
            outcome.map(|outcome| (pending.edit.id.clone(), outcome))
        };
        let ended: Vec<_> = self.edits.iter().filter_map(known).collect();
        for (id, outcome) in ended {
            self.end_edit(&id, &outcome);
        }
    }

    /// Appends edits again whose record was not read back. At their time limit
    /// they are answered as "unknown": the record may still appear on the log,
    /// and the operator can query the outcome by the edit's id.
    fn tick_edits(&mut self) {
        let now = self.now;
        let edit_ms = self.config.edit_ms;
        let has_expired = |pending: &mut PendingEdit| now.since(pending.since) >= edit_ms;
        let expired: Vec<PendingEdit> = self.edits.extract_if(.., has_expired).collect();
        for pending in expired {
            self.refuse(pending.request, Kind::LogUnavailable);
        }
        let mut retries = vec![];
        for pending in &mut self.edits {
            if now.since(pending.appended_at) >= EDIT_RETRY_MS {
                pending.appended_at = now;
                retries.push(pending.edit.clone());
            }
        }
        for edit in retries {
            self.append(Record::Edit(edit));
        }
    }
}

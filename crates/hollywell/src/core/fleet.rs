//! The targets as they announce themselves, folded from the store.
//!
//! A target that leaves announces it or its entry expires; in either case it
//! gets no new work from then on. Entries that expire because the store itself
//! was unavailable do not show that a target has ended, so for a short while
//! after the store has recovered, a target whose entry has expired is still
//! assumed to be running.
//!
//! A target may restart under the same id. The start time distinguishes its
//! incarnations: nothing that was learned of an earlier incarnation applies to
//! a later one, and entries of an earlier incarnation are ignored. An entry
//! that cannot be decoded has another writer. It does not describe a usable
//! target, but other entries remain valid. Neither does an entry of another
//! writer that can be decoded keep the target's own entries from being applied:
//! those that seem older are applied once they have been the newest ones of the
//! log for long enough.
//!
//! Load, pace and failures are observed by each instance itself
//! ([`crate::core::choice`]).

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::core::{
    departure::{Departures, Page},
    time::Time,
};

/// How long after the recovery of the store an expired entry may take to
/// reappear, in milliseconds. The platform specifies about two seconds.
pub const EXPIRY_GRACE_MS: u64 = 2_500;
/// How long an entry that is older than one before it in the log must remain the
/// newest of its id to be applied, in milliseconds. A write that the store
/// carried out late is followed by the target's next entry, or the platform
/// removes the entry after three heartbeats.
pub const LATE_ENTRY_MS: u64 = 15_000;
/// How long the last entry of a target that is gone is remembered, in
/// milliseconds: longer than a log keeps records, which could be read again.
const REMOVED_RETENTION_MS: u64 = 600_000;

/// What a target announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The target's id.
    pub id: String,
    /// The pool that it serves.
    pub pool: String,
    /// IP address and port.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Number of requests that it serves at the same time.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Whether it is still slow because it started recently.
    pub cold: bool,
    /// Versions of the models that it holds.
    pub versions: BTreeMap<String, u64>,
    /// Unix time of its start in milliseconds; `None` on platforms whose
    /// targets do not report it and where each start has a new id.
    #[serde(rename = "born")]
    pub start_ms: Option<u64>,
    /// Number of entries that it has written since its start.
    #[serde(rename = "beats")]
    pub sequence: u64,
}

impl Announcement {
    /// Name of this incarnation of the target; a restarted process is another
    /// incarnation.
    #[must_use]
    pub fn incarnation(&self) -> String {
        self.start_ms.map_or_else(|| self.id.clone(), |start_ms| format!("{}/{start_ms}", self.id))
    }

    /// Whether this is older than an earlier entry of the same id, given by its
    /// start and its number: it belongs to an earlier incarnation, or has a
    /// smaller number in the same one. Numbers are reliable only for targets
    /// that report their start.
    fn is_older_than(&self, (start_ms, sequence): (Option<u64>, u64)) -> bool {
        match (self.start_ms, start_ms) {
            (Some(own), Some(other)) => (own, self.sequence) < (other, sequence),
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }
}

/// The effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It was accepted; the target is new, or the known incarnation.
    Accepted,
    /// It was accepted, and the target has restarted since its last entry,
    /// which gave this address: everything known of the earlier incarnation is
    /// void.
    Restarted(SocketAddr),
    /// It is older than the last entry, and was ignored.
    Outdated,
}

/// Whether a target may get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    InUse,
    /// It may, as far as is known, but that is too old to rely on.
    Unconfirmed,
    /// It may not: it leaves, or is not to be used.
    Leaving,
}

/// A target as known to this instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its last announcement, with versions raised to those that its answers
    /// named.
    #[serde(rename = "said")]
    pub announcement: Announcement,
    /// When the announcement was read.
    pub seen_at: Time,
    /// Whether its entry expired while the store was unavailable, or soon
    /// after.
    #[serde(rename = "lapsed")]
    pub expired: bool,
    /// Whether its newest entry cannot be decoded: it gets no new work.
    #[serde(rename = "withheld")]
    pub invalid_entry: bool,
    /// When the target itself last showed that it accepts work; `None` if it
    /// has not.
    #[serde(default)]
    pub confirmed_at: Option<Time>,
    /// Whether a peer knows of a record by which it leaves, which was not read
    /// here yet.
    #[serde(default)]
    pub leaving: bool,
    /// The newest version of each model that its own answers named since its
    /// start.
    #[serde(default)]
    named_versions: BTreeMap<String, u64>,
}

impl Target {
    /// Whether it may serve a request for this version of a model or a newer
    /// one, as far as it reports its versions.
    #[must_use]
    pub fn may_run(&self, model: &str, min_version: u64) -> bool {
        self.announcement.versions.get(model).is_none_or(|version| *version >= min_version)
    }
}

/// Memory of each target of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// Tokens that it holds.
    pub tokens: u64,
    /// Tokens that one event of a stream carries; 0 if that is not known.
    pub event_tokens: u32,
}

/// The last entry of a target that is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Gone {
    address: SocketAddr,
    #[serde(rename = "born")]
    start_ms: Option<u64>,
    #[serde(rename = "beats")]
    sequence: u64,
    at: Time,
}

/// The newest entry of an id in the log, if it is older than one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Late {
    announcement: Announcement,
    offset: u64,
    /// When the first such entry was read.
    since: Time,
}

/// All targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// By id.
    pub targets: BTreeMap<String, Target>,
    gone: BTreeMap<String, Gone>,
    #[serde(default)]
    late: BTreeMap<String, Late>,
    /// Why the newest entry of an id could not be decoded.
    skipped: BTreeMap<String, String>,
    /// Pools named by the configuration; `None` before it is known.
    pools: Option<BTreeSet<String>>,
    /// Number of targets of known pools, and of those that report their start.
    #[serde(default)]
    counts: (usize, usize),
    /// When the store last recovered; entries that disappear within
    /// [`EXPIRY_GRACE_MS`] after that may only have expired.
    #[serde(rename = "store_back_at")]
    pub store_recovered_at: Option<Time>,
    /// Whether the store is unavailable now.
    #[serde(rename = "store_away")]
    pub store_unavailable: bool,
    /// The targets that leave.
    #[serde(default)]
    pub departures: Departures,
    /// Failure domains whose targets get no new work.
    #[serde(default)]
    evacuated: BTreeSet<String>,
    /// By pool, as far as the configuration states it.
    #[serde(default)]
    memory: BTreeMap<String, Memory>,
}

impl Fleet {
    /// Applies an announcement that was read at an offset of the targets' log,
    /// unless a later record says that the target leaves: records may be read
    /// late, or again.
    pub fn announce_at(
        &mut self,
        now: Time,
        offset: u64,
        announcement: Announcement,
    ) -> AnnounceOutcome {
        let (id, is_draining) = (announcement.id.clone(), announcement.draining);
        if !is_draining && self.departures.is_superseded(&id, offset) {
            return AnnounceOutcome::Outdated;
        }
        let outcome = self.announce(now, announcement.clone());
        match (outcome, is_draining) {
            (AnnounceOutcome::Outdated, _) => {
                if is_draining {
                    self.departures.record(now, &id, offset);
                    if let Some(target) = self.targets.get_mut(&id) {
                        target.leaving = true;
                    }
                }
                let since = self.late.get(&id).map_or(now, |late| late.since);
                self.late.insert(id, Late { announcement, offset, since });
            }
            (_, true) => self.departures.record(now, &id, offset),
            (_, false) => self.departures.record_return(&id, offset),
        }
        outcome
    }

    /// Adds the departures that another instance knew at `known_at`. Returns
    /// whether that was of use, as [`Departures::merge`].
    pub fn merge_departures(&mut self, now: Time, known_at: Time, page: &Page) -> bool {
        let is_merged = self.departures.merge(now, known_at, page);
        for (id, _) in page.departures.iter().filter(|_| is_merged) {
            if let Some(target) = self.targets.get_mut(id) {
                target.leaving = self.departures.contains(id);
            }
        }
        is_merged
    }

    /// Applies an announcement. Within an incarnation no version is older than
    /// the target's own answers have named: a target that runs a newer version
    /// than it announces has just loaded it.
    pub fn announce(&mut self, now: Time, mut announcement: Announcement) -> AnnounceOutcome {
        let id = announcement.id.clone();
        let gone = self.gone.get(&id).map(|gone| (gone.address, gone.start_ms, gone.sequence));
        let known = self.targets.get(&id);
        let known = known.map(|known| {
            (known.announcement.address, known.announcement.start_ms, known.announcement.sequence)
        });
        let before = known.or(gone);
        let has_usual_start = announcement.start_ms.is_some() || self.are_starts_reported();
        if has_usual_start
            && before.is_some_and(|(_, start_ms, sequence)| {
                announcement.is_older_than((start_ms, sequence))
            })
        {
            return AnnounceOutcome::Outdated;
        }
        self.skipped.remove(&id);
        self.gone.remove(&id);
        self.late.remove(&id);
        let restarted = before.filter(|(_, start_ms, _)| *start_ms != announcement.start_ms);
        let before = self.targets.get(&id).filter(|_| restarted.is_none());
        let confirmed_at = before.and_then(|before| before.confirmed_at);
        let named_versions = before.map(|before| before.named_versions.clone()).unwrap_or_default();
        for (model, version) in &named_versions {
            let known = announcement.versions.entry(model.clone()).or_insert(*version);
            *known = (*known).max(*version);
        }
        let target = Target {
            announcement,
            seen_at: now,
            expired: false,
            invalid_entry: false,
            confirmed_at,
            leaving: false,
            named_versions,
        };
        self.insert_target(id, target);
        restarted
            .map_or(AnnounceOutcome::Accepted, |(address, ..)| AnnounceOutcome::Restarted(address))
    }

    /// Records that the newest entry of an id cannot be decoded. Returns
    /// whether that was not known.
    pub fn record_invalid(&mut self, id: &str, why: &str) -> bool {
        self.late.remove(id);
        if let Some(target) = self.targets.get_mut(id) {
            target.invalid_entry = true;
        }
        self.skipped.insert(id.to_owned(), why.to_owned()).is_none_or(|before| before != why)
    }

    /// Whether the newest entry of an id names no target to use.
    #[must_use]
    pub fn is_invalid(&self, id: &str) -> bool {
        self.skipped.contains_key(id)
    }

    /// Sets the pools of the configuration in force. Entries of other pools do
    /// not describe our targets.
    pub fn configure<'a>(&mut self, pools: impl Iterator<Item = &'a str>) {
        self.pools = Some(pools.map(str::to_owned).collect());
        let is_ours = |target: &&Target| self.is_known_pool(&target.announcement.pool);
        let has_start = |target: &&Target| target.announcement.start_ms.is_some();
        let ours = || self.targets.values().filter(is_ours);
        self.counts = (ours().count(), ours().filter(has_start).count());
    }

    /// Sets the memory of the pools' targets as the configuration in force
    /// states it.
    pub fn set_memory(&mut self, memory: impl Iterator<Item = (String, Memory)>) {
        self.memory = memory.filter(|(_, memory)| memory.tokens > 0).collect();
    }

    /// Memory of each target of a pool; `None` if the configuration does not
    /// state it.
    #[must_use]
    pub fn memory_of(&self, pool: &str) -> Option<Memory> {
        self.memory.get(pool).copied()
    }

    /// Pools whose targets' memory is stated.
    pub fn pools_with_memory(&self) -> impl Iterator<Item = (&str, Memory)> {
        self.memory.iter().map(|(pool, memory)| (pool.as_str(), *memory))
    }

    fn is_known_pool(&self, pool: &str) -> bool {
        self.pools.as_ref().is_none_or(|pools| pools.contains(pool))
    }

    /// Whether targets report their start: at least half of those of known
    /// pools do. A single one may be another writer's.
    fn are_starts_reported(&self) -> bool {
        let (all, reporting) = self.counts;
        reporting > 0 && reporting >= all - reporting
    }

    fn insert_target(&mut self, id: String, target: Target) {
        self.remove_target(&id);
        if self.is_known_pool(&target.announcement.pool) {
            self.counts.0 += 1;
            self.counts.1 += usize::from(target.announcement.start_ms.is_some());
        }
        self.targets.insert(id, target);
    }

    fn remove_target(&mut self, id: &str) -> Option<Announcement> {
        let announcement = self.targets.remove(id)?.announcement;
        if self.is_known_pool(&announcement.pool) {
            let (all, reporting) = &mut self.counts;
            *all -= 1;
            *reporting -= usize::from(announcement.start_ms.is_some());
        }
        Some(announcement)
    }

    /// Records that an entry ended with the record at an offset of the targets'
    /// log.
    pub fn record_end(&mut self, now: Time, offset: u64, id: &str) {
        if !self.departures.is_superseded(id, offset) {
            self.departures.record(now, id, offset);
            self.record_expiry(now, id);
        }
    }

    /// Begins at an offset of the targets' log, after a snapshot up to there.
    /// Targets that are not `listed` expired or left while the log was not read.
    /// Those whose newest entry lies beyond the snapshot must be listed: their
    /// earlier entries hold until it is read.
    pub fn restart(&mut self, now: Time, end: u64, listed: &HashSet<&str>) {
        let is_missing = |id: &&String| !listed.contains(id.as_str());
        let missing: Vec<String> = self.targets.keys().filter(is_missing).cloned().collect();
        for id in missing {
            self.record_end(now, end.saturating_sub(1), &id);
        }
        self.departures.restart(end);
    }

    /// Records that an entry disappeared from the store.
    pub fn record_expiry(&mut self, now: Time, id: &str) {
        self.skipped.remove(id);
        self.late.remove(id);
        let may_reappear = self.store_unavailable
            || self.store_recovered_at.is_some_and(|at| now.since(at) < EXPIRY_GRACE_MS);
        if !may_reappear {
            self.remove(now, id);
        } else if let Some(target) = self.targets.get_mut(id) {
            target.expired = true;
        }
    }

    fn remove(&mut self, now: Time, id: &str) {
        if let Some(announcement) = self.remove_target(id) {
            let gone = Gone {
                address: announcement.address,
                start_ms: announcement.start_ms,
                sequence: announcement.sequence,
                at: now,
            };
            self.gone.insert(id.to_owned(), gone);
        }
    }

    /// Records the start time that a target reported beside its versions.
    /// Returns whether it has restarted since its last entry: then it holds
    /// only the versions that it has reported since.
    pub fn record_start(&mut self, id: &str, start_ms: Option<u64>) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        let is_new = start_ms.is_some_and(|start_ms| {
            target.announcement.start_ms.is_some_and(|known| start_ms > known)
        });
        if is_new {
            target.announcement.start_ms = start_ms;
            target.announcement.sequence = 0;
            target.announcement.versions.clear();
            target.named_versions.clear();
        }
        is_new
    }

    /// Records the version that a target's own answer named, in the incarnation
    /// that started at `start_ms`.
    pub fn record_version(&mut self, id: &str, start_ms: Option<u64>, model: &str, version: u64) {
        if let Some(target) = self.targets.get_mut(id)
            && target.announcement.start_ms == start_ms
        {
            for versions in [&mut target.announcement.versions, &mut target.named_versions] {
                let known = versions.entry(model.to_owned()).or_insert(version);
                *known = (*known).max(version);
            }
        }
    }

    /// Records whether the store is unavailable.
    pub fn record_store_state(&mut self, now: Time, unavailable: bool) {
        if self.store_unavailable && !unavailable {
            self.store_recovered_at = Some(now);
        }
        self.store_unavailable = unavailable;
    }

    /// Records that a target showed at a time that it accepts work.
    pub fn confirm(&mut self, at: Time, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.confirmed_at = target.confirmed_at.max(Some(at));
        }
    }

    /// Whether a target may get a request now, if what is known of it may be at
    /// most `max_age_ms` old. An entry that expired around an outage of the
    /// store says nothing; only the target itself does.
    #[must_use]
    pub fn standing(&self, now: Time, id: &str, max_age_ms: u64) -> Standing {
        let Some(target) = self.targets.get(id).filter(|target| self.accepts(target)) else {
            return Standing::Leaving;
        };
        let read_at = self.departures.known_at().filter(|_| !target.expired);
        match read_at.max(target.confirmed_at) {
            Some(known_at) if now.since(known_at) <= max_age_ms => Standing::InUse,
            _ => Standing::Unconfirmed,
        }
    }

    /// Applies the entries that have been the newest of their ids for
    /// [`LATE_ENTRY_MS`], by what is known of the log, although they seemed
    /// older than others. Returns the targets of which all that was known is
    /// void, with the address that each had.
    pub fn apply_late(&mut self, now: Time) -> Vec<(String, SocketAddr)> {
        let known_at = self.departures.known_at();
        let is_due = |late: &Late| known_at >= Some(late.since.after(LATE_ENTRY_MS));
        let due: Vec<(String, Late)> = self.late.extract_if(.., |_, late| is_due(late)).collect();
        let mut restarted = Vec::new();
        for (id, Late { announcement, offset, .. }) in due {
            let before = self.remove_target(&id).map(|announcement| announcement.address);
            let gone = self.gone.remove(&id).map(|gone| gone.address);
            self.announce_at(now, offset, announcement);
            restarted.extend(before.or(gone).map(|address| (id, address)));
        }
        restarted
    }

    /// Removes targets whose entries have expired once the store has been
    /// available for long enough.
    pub fn expire(&mut self, now: Time) {
        let settled = !self.store_unavailable
            && self.store_recovered_at.is_none_or(|at| now.since(at) >= EXPIRY_GRACE_MS);
        if settled {
            let expired = self.targets.iter().filter(|(_, target)| target.expired);
            let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
            for id in expired {
                self.remove(now, &id);
            }
        }
        self.departures.expire(now);
        self.gone.retain(|_, gone| now.since(gone.at) < REMOVED_RETENTION_MS);
    }

    /// Targets of configured pools that accept new work.
    pub fn accepting(&self) -> impl Iterator<Item = &Target> {
        let is_ours = |target: &&Target| self.is_known_pool(&target.announcement.pool);
        self.targets.values().filter(|target| self.accepts(target)).filter(is_ours)
    }

    /// Targets of one pool that accept new work.
    pub fn usable<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets
            .values()
            .filter(move |target| target.announcement.pool == pool && self.accepts(target))
    }

    /// Sets whether the targets of a failure domain get no new work. Returns
    /// whether that is a change.
    pub fn evacuate(&mut self, domain: &str, is_on: bool) -> bool {
        match is_on {
            true => self.evacuated.insert(domain.to_owned()),
            false => self.evacuated.remove(domain),
        }
    }

    /// Failure domains whose targets get no new work.
    #[must_use]
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Whether a target accepts new work. If targets report their start, an
    /// entry without one does not come from a target.
    #[must_use]
    pub fn accepts(&self, target: &Target) -> bool {
        let is_complete = target.announcement.start_ms.is_some() || !self.are_starts_reported();
        let is_in_use = !self.evacuated.contains(&target.announcement.domain);
        let leaves = target.announcement.draining || target.leaving && !target.expired;
        is_complete && is_in_use && !leaves && !target.invalid_entry
    }
}

//! The targets as they announce themselves, folded from the store.
//!
//! A target that leaves says so or vanishes; either way it gets no new work
//! from then on. Entries that lapse because the store itself was away are no
//! sign of a target's end, so for a short while after the store is back a
//! vanished entry is still believed.
//!
//! A target may start again under its id. Its start tells its lives apart:
//! nothing that was learned of an earlier life holds for a later one, and an
//! entry of an earlier one says nothing any more. An entry that cannot be
//! understood is another writer's. It names no target to use; what others
//! say holds.
//!
//! What it leaves out: load, pace and faults, which the instance sees for
//! itself (see [`crate::core::choice`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// How long after the store is back a lapsed entry may take to return, in
/// milliseconds. The platform says about two seconds.
pub const LAPSE_GRACE_MS: u64 = 2_500;
/// How long the last entry of a target that is gone is remembered, in
/// milliseconds: longer than a log keeps a record that could be read again.
const REMEMBER_MS: u64 = 600_000;

/// A target's own word about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The incarnation's id.
    pub id: String,
    /// The pool that it serves.
    pub pool: String,
    /// IP address and port.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
    /// Versions of the models that it holds.
    pub versions: BTreeMap<String, u64>,
    /// Unix millisecond of its start; `None` on platforms whose targets do
    /// not tell, where each start has an id of its own.
    pub born: Option<u64>,
    /// Entries that it has written since its start.
    pub beats: u64,
}

impl Announcement {
    /// Names this life of the target: a process that has started again is
    /// another one.
    #[must_use]
    pub fn incarnation(&self) -> String {
        self.born.map_or_else(|| self.id.clone(), |born| format!("{}/{born}", self.id))
    }

    /// Whether this says less than an earlier entry of the same id: it is of
    /// an earlier life, or of the same one and older. Only targets that tell
    /// their start count reliably.
    fn is_older_than(&self, (born, beats): (Option<u64>, u64)) -> bool {
        match (self.born, born) {
            (Some(own), Some(other)) => (own, self.beats) < (other, beats),
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It holds; the target is new, or the one that was known.
    Accepted,
    /// It holds, and the target has started again since it was last heard
    /// of, then at this address: whatever was believed of it is void.
    Restarted(SocketAddr),
    /// It is older than what is known, and was dropped.
    Outdated,
}

/// A target as this instance believes it to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its last announcement, with versions raised by what its answers said.
    #[serde(rename = "said")]
    pub announcement: Announcement,
    /// When that was read.
    pub seen_at: Time,
    /// Its entry vanished while the store was away, or soon after.
    pub lapsed: bool,
    /// Its newest entry cannot be understood: it gets nothing new.
    #[serde(rename = "withheld")]
    pub invalid_entry: bool,
}

impl Target {
    /// Whether it may run what asks for a version of a model or a newer one,
    /// as far as it tells.
    #[must_use]
    pub fn may_run(&self, model: &str, min_version: u64) -> bool {
        self.announcement.versions.get(model).is_none_or(|version| *version >= min_version)
    }
}

/// The last entry of a target that is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Gone {
    address: SocketAddr,
    born: Option<u64>,
    beats: u64,
    at: Time,
}

/// All targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// By id.
    pub targets: BTreeMap<String, Target>,
    gone: BTreeMap<String, Gone>,
    /// Why the newest entry of an id was not understood.
    skipped: BTreeMap<String, String>,
    /// Pools that the configuration names; `None` before it is known.
    pools: Option<BTreeSet<String>>,
    /// A target of a known pool has told its start, so all of them do.
    births: bool,
    /// When the store last came back; entries that vanish within
    /// [`LAPSE_GRACE_MS`] of it may have lapsed only.
    #[serde(rename = "store_back_at")]
    pub store_recovered_at: Option<Time>,
    /// The store cannot be reached now.
    #[serde(rename = "store_away")]
    pub store_unavailable: bool,
    /// Failure domains whose targets get nothing new.
    #[serde(default)]
    evacuated: BTreeSet<String>,
}

impl Fleet {
    /// Notes an announcement. Within a life versions never go back: a target
    /// that runs a newer one than it announces has just loaded it.
    pub fn announce(&mut self, now: Time, mut said: Announcement) -> AnnounceOutcome {
        let id = said.id.clone();
        let gone = self.gone.get(&id).map(|gone| (gone.address, gone.born, gone.beats));
        let known = self.targets.get(&id);
        let known = known.map(|known| {
            (known.announcement.address, known.announcement.born, known.announcement.beats)
        });
        let before = known.or(gone);
        if before.is_some_and(|(_, born, beats)| said.is_older_than((born, beats))) {
            return AnnounceOutcome::Outdated;
        }
        self.skipped.remove(&id);
        self.gone.remove(&id);
        let restarted = before.filter(|(_, born, _)| *born != said.born);
        if restarted.is_none()
            && let Some(before) = self.targets.get(&id)
        {
            for (model, version) in &before.announcement.versions {
                let known = said.versions.entry(model.clone()).or_insert(*version);
                *known = (*known).max(*version);
            }
        }
        let target =
            Target { announcement: said, seen_at: now, lapsed: false, invalid_entry: false };
        self.targets.insert(id, target);
        self.note_births();
        restarted
            .map_or(AnnounceOutcome::Accepted, |(address, ..)| AnnounceOutcome::Restarted(address))
    }

    /// Notes that the newest entry of an id cannot be understood. Returns
    /// whether that is news.
    pub fn record_invalid(&mut self, id: &str, why: &str) -> bool {
        if let Some(target) = self.targets.get_mut(id) {
            target.invalid_entry = true;
        }
        self.skipped.insert(id.to_owned(), why.to_owned()).is_none_or(|before| before != why)
    }

    /// Notes the pools of the configuration in force. An entry of another
    /// pool names no target of ours.
    pub fn configure<'a>(&mut self, pools: impl Iterator<Item = &'a str>) {
        self.pools = Some(pools.map(str::to_owned).collect());
        self.note_births();
    }

    fn is_known_pool(&self, pool: &str) -> bool {
        self.pools.as_ref().is_none_or(|pools| pools.contains(pool))
    }

    fn note_births(&mut self) {
        let tells = |target: &Target| {
            target.announcement.born.is_some() && self.is_known_pool(&target.announcement.pool)
        };
        self.births = self.births || self.targets.values().any(tells);
    }

    /// Notes that an entry vanished.
    pub fn record_expiry(&mut self, now: Time, id: &str) {
        self.skipped.remove(id);
        let lapse_window = self.store_unavailable
            || self.store_recovered_at.is_some_and(|at| now.since(at) < LAPSE_GRACE_MS);
        if !lapse_window {
            self.remove(now, id);
        } else if let Some(target) = self.targets.get_mut(id) {
            target.lapsed = true;
        }
    }

    fn remove(&mut self, now: Time, id: &str) {
        if let Some(Target { announcement: said, .. }) = self.targets.remove(id) {
            let gone = Gone { address: said.address, born: said.born, beats: said.beats, at: now };
            self.gone.insert(id.to_owned(), gone);
        }
    }

    /// Notes the start that a target named beside its versions, in a report.
    /// Returns whether it has started again since it was last heard of: then
    /// it holds nothing that it has not told itself since.
    pub fn record_start(&mut self, id: &str, born: Option<u64>) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        let is_new =
            born.is_some_and(|born| target.announcement.born.is_some_and(|known| born > known));
        if is_new {
            target.announcement.born = born;
            target.announcement.beats = 0;
            target.announcement.versions.clear();
        }
        is_new
    }

    /// Notes the version that a target's own answer named, in the life that
    /// began at `born`.
    pub fn record_version(&mut self, id: &str, born: Option<u64>, model: &str, version: u64) {
        if let Some(target) = self.targets.get_mut(id)
            && target.announcement.born == born
        {
            let known = target.announcement.versions.entry(model.to_owned()).or_insert(version);
            *known = (*known).max(version);
        }
    }

    /// Notes whether the store can be reached.
    pub fn record_store_state(&mut self, now: Time, away: bool) {
        if self.store_unavailable && !away {
            self.store_recovered_at = Some(now);
        }
        self.store_unavailable = away;
    }

    /// Drops lapsed entries once the store has been back for long enough.
    pub fn expire(&mut self, now: Time) {
        let settled = !self.store_unavailable
            && self.store_recovered_at.is_none_or(|at| now.since(at) >= LAPSE_GRACE_MS);
        if settled {
            let lapsed = self.targets.iter().filter(|(_, target)| target.lapsed);
            let lapsed: Vec<String> = lapsed.map(|(id, _)| id.clone()).collect();
            for id in lapsed {
                self.remove(now, &id);
            }
        }
        self.gone.retain(|_, gone| now.since(gone.at) < REMEMBER_MS);
    }

    /// Targets of configured pools that take new work.
    pub fn accepting(&self) -> impl Iterator<Item = &Target> {
        let is_ours = |target: &&Target| self.is_known_pool(&target.announcement.pool);
        self.targets.values().filter(|target| self.accepts(target)).filter(is_ours)
    }

    /// Targets of a configured pool that take new work.
    pub fn usable<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets
            .values()
            .filter(move |target| target.announcement.pool == pool && self.accepts(target))
    }

    /// Notes whether a failure domain's targets are to get nothing new.
    /// Returns whether that changes anything.
    pub fn evacuate(&mut self, domain: &str, is_on: bool) -> bool {
        match is_on {
            true => self.evacuated.insert(domain.to_owned()),
            false => self.evacuated.remove(domain),
        }
    }

    /// Failure domains whose targets get nothing new.
    #[must_use]
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Whether a target takes new work. Where targets tell their start, one
    /// that does not is not what it says.
    #[must_use]
    pub fn accepts(&self, target: &Target) -> bool {
        let is_whole = target.announcement.born.is_some() || !self.births;
        let is_open = !self.evacuated.contains(&target.announcement.domain);
        is_whole && is_open && !target.announcement.draining && !target.invalid_entry
    }
}

//! What an instance has seen of each target, and the choice among targets.
//!
//! Targets tell their load on every answer, so it costs nothing; it is old
//! by the time it is used, and other instances act on the same figure. The
//! instance's own requests in flight are therefore counted exactly and only
//! the others' share is taken from the last answer, and fades. Instances
//! start their search at different targets (by the salt), so that equal
//! loads do not send everybody to one place.
//!
//! What it leaves out: which targets may be asked at all
//! ([`crate::core::fleet`]).

use std::collections::BTreeMap;

use crate::core::{fleet::Announcement, time::Time};

/// How long another instance's reported load is believed, in milliseconds:
/// about the time that a sample of median length runs.
const LOAD_FADES_MS: u64 = 1_000;
/// How long a target that broke an exchange is avoided, in milliseconds. A
/// target that is gone vanishes from the store within a few heartbeats.
const AVOID_MS: u64 = 1_500;
/// How long a target that refused for lack of room is avoided, in
/// milliseconds.
const FULL_MS: u64 = 100;
/// Weight of the newest figure in a target's mean pace.
const PACE_WEIGHT: f64 = 0.2;

/// Load as a target reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What was seen of one target.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// Requests of this instance that are at the target.
    pub mine: u32,
    others: u32,
    others_at: Time,
    avoid_until: Time,
    /// Mean time between events of its streams, in milliseconds.
    pub pace_ms: Option<f64>,
    /// Exchanges broken in a row.
    pub broken: u32,
    /// When anything last came from it.
    pub heard_at: Time,
}

/// What was seen of all targets, by id.
#[derive(Clone, Debug, Default)]
pub struct Sights {
    targets: BTreeMap<String, Sight>,
}

impl Sights {
    /// What was seen of a target.
    #[must_use]
    pub fn of(&self, id: &str) -> Option<&Sight> {
        self.targets.get(id)
    }

    fn at(&mut self, id: &str) -> &mut Sight {
        if !self.targets.contains_key(id) {
            self.targets.insert(id.to_owned(), Sight::default());
        }
        self.targets.entry(id.to_owned()).or_default()
    }

    /// Notes that a request went to a target.
    pub fn sent(&mut self, id: &str) {
        self.at(id).mine += 1;
    }

    /// Notes that a request at a target ended.
    pub fn ended(&mut self, id: &str) {
        let sight = self.at(id);
        sight.mine = sight.mine.saturating_sub(1);
    }

    /// Notes the load that came with an answer.
    pub fn load(&mut self, now: Time, id: &str, load: Load) {
        let sight = self.at(id);
        sight.others = (load.running + load.waiting).saturating_sub(sight.mine);
        sight.others_at = now;
        sight.heard_at = now;
    }

    /// Notes that a target works.
    pub fn sound(&mut self, now: Time, id: &str) {
        let sight = self.at(id);
        sight.broken = 0;
        sight.avoid_until = Time(0);
        sight.heard_at = now;
    }

    /// Notes that a target had no room.
    pub fn full(&mut self, now: Time, id: &str) {
        let sight = self.at(id);
        sight.avoid_until = sight.avoid_until.max(now.after(FULL_MS));
    }

    /// Notes that an exchange with a target broke; it is avoided for longer
    /// each time.
    pub fn broke(&mut self, now: Time, id: &str) {
        let sight = self.at(id);
        sight.broken += 1;
        let factor = u64::from(sight.broken.min(4));
        sight.avoid_until = now.after(AVOID_MS * factor);
    }

    /// Notes the time between two events of a target's stream.
    pub fn pace(&mut self, id: &str, gap_ms: f64) {
        let sight = self.at(id);
        let mean = sight.pace_ms.unwrap_or(gap_ms);
        sight.pace_ms = Some(mean + PACE_WEIGHT * (gap_ms - mean));
    }

    /// Whether a target is avoided now.
    #[must_use]
    pub fn avoided(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|sight| now < sight.avoid_until)
    }

    /// Requests believed to be at a target, everybody's.
    #[must_use]
    pub fn load_of(&self, now: Time, id: &str) -> f64 {
        let Some(sight) = self.targets.get(id) else {
            return 0.0;
        };
        let age = now.since(sight.others_at).min(LOAD_FADES_MS);
        let fresh = 1.0 - age as f64 / LOAD_FADES_MS as f64;
        f64::from(sight.mine) + f64::from(sight.others) * fresh
    }

    /// Median pace over targets whose pace is known, in milliseconds.
    #[must_use]
    pub fn median_pace(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self.targets.values().filter_map(|s| s.pace_ms).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    /// How much longer than the median a target takes, at least 1.
    #[must_use]
    pub fn slowness(&self, id: &str, median: Option<f64>) -> f64 {
        let pace = self.targets.get(id).and_then(|sight| sight.pace_ms);
        match (pace, median) {
            (Some(pace), Some(median)) if median > 0.0 => (pace / median).max(1.0),
            _ => 1.0,
        }
    }

    /// The target at which a request is expected to be done first: by load
    /// over slots, times pace. `most_load` is how many requests a target may
    /// have for each of its slots.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::{choice::Sights, fleet::Announcement, time::Time};
    ///
    /// let target = |id: &str| Announcement {
    ///     id: id.into(), pool: "wadi-gen".into(), address: ([127, 0, 0, 1], 80).into(),
    ///     domain: "ruwi-hall".into(), slots: 1, draining: false, cold: false,
    ///     versions: Default::default(),
    /// };
    /// let (a, b) = (target("a"), target("b"));
    /// let mut sights = Sights::default();
    /// sights.sent("a");
    /// let pick = sights.choose(Time(5), [&a, &b].into_iter(), 1.0, 0);
    /// assert_eq!(pick.unwrap().id, "b");
    /// // With both full there is no choice, not the lesser evil.
    /// sights.sent("b");
    /// assert!(sights.choose(Time(5), [&a, &b].into_iter(), 1.0, 0).is_none());
    /// ```
    #[must_use]
    pub fn choose<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Announcement>,
        most_load: f64,
        salt: u64,
    ) -> Option<&'a Announcement> {
        let median = self.median_pace();
        let score = |target: &Announcement| {
            let slots = f64::from(target.slots.max(1));
            let load = self.load_of(now, &target.id);
            if load >= slots * most_load || self.avoided(now, &target.id) {
                return None;
            }
            let cold = if target.cold { 2.0 } else { 1.0 };
            let slowness = self.slowness(&target.id, median);
            Some((1.0 + load) / slots * slowness * cold)
        };
        let scored = targets.filter_map(|target| Some((score(target)?, target)));
        let key = |target: &Announcement| {
            xxhash_rust::xxh3::xxh3_64_with_seed(target.id.as_bytes(), salt)
        };
        let best = scored.min_by(|(a, target), (b, other)| {
            a.total_cmp(b).then_with(|| key(target).cmp(&key(other)))
        });
        best.map(|(_, target)| target)
    }
}

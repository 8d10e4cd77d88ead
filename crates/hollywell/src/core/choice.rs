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
/// milliseconds; twice as long each time in a row. An engine that loads
/// weights refuses all for most of a second.
const FULL_MS: u64 = 100;
/// Doublings of that time.
const FULL_DOUBLINGS: u32 = 2;
/// How long a target whose streams stand still is avoided, in milliseconds:
/// about the time that loading weights takes.
const STALLED_MS: u64 = 700;
/// Pace of a target before anything is known, in milliseconds an event.
const UNKNOWN_PACE_MS: f64 = 40.0;
/// Events of a usual sample: how long a place at a target stays taken.
const USUAL_EVENTS: f64 = 20.0;
/// Each request that runs beside another slows it by so much; engines that
/// batch continuously lose about half a percent.
const SLOT_SLOWS: f64 = 0.005;
/// What a full target costs more than an empty one, in milliseconds, for all
/// that other instances may be sending there at this moment.
const SPREAD_MS: f64 = 100.0;
/// What a new connection is taken to cost, in milliseconds: a handshake at
/// the target, and a price that is worth some events of one sample. It
/// outweighs what half of a target's places cost ([`SPREAD_MS`]), so that a
/// small instance keeps to the few targets that it is connected to.
const CONNECT_COST_MS: f64 = 60.0;
/// How long an idle connection is expected to be kept, in milliseconds:
/// somewhat less than what is used of the 10 s that targets at hand grant.
const CONNECTION_MS: u64 = 6_000;
/// How long a target's word that it has room is believed, in milliseconds.
const ROOM_MS: u64 = 400;
/// Share of a target's places up to which it has room for more than an
/// instance's own share.
const ROOM_SHARE: f64 = 0.75;
/// Weight of the newest figure in a target's mean times.
const NEWEST_WEIGHT: f64 = 0.2;

/// A mean in which older figures fade; the first figure is its own mean.
fn moving_mean(mean: Option<f64>, newest: f64) -> f64 {
    let mean = mean.unwrap_or(newest);
    mean + NEWEST_WEIGHT * (newest - mean)
}

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
pub struct Observation {
    /// Requests of this instance that are at the target.
    pub own_requests: u32,
    other_requests: u32,
    other_requests_at: Time,
    avoid_until: Time,
    /// Mean time between events of its streams, in milliseconds.
    pub pace_ms: Option<f64>,
    /// Mean time that a plain request's whole answer took, in milliseconds.
    pub answer_ms: Option<f64>,
    /// Exchanges broken in a row.
    pub consecutive_failures: u32,
    /// Refusals for lack of room in a row.
    consecutive_refusals: u32,
    /// Connections that are probably open to it.
    open_connections: u32,
    /// When a request there last ended.
    ended_at: Time,
    /// When anything last came from it.
    pub last_response_at: Time,
}

/// What was seen of all targets, by id.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    targets: BTreeMap<String, Observation>,
    usual_others: f64,
}

impl Observations {
    /// What was seen of a target.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Observation> {
        self.targets.get(id)
    }

    fn at(&mut self, id: &str) -> &mut Observation {
        if !self.targets.contains_key(id) {
            self.targets.insert(id.to_owned(), Observation::default());
        }
        self.targets.entry(id.to_owned()).or_default()
    }

    /// Notes that a request went to a target.
    pub fn request_started(&mut self, id: &str) {
        let observation = self.at(id);
        observation.own_requests += 1;
        observation.open_connections = observation.open_connections.max(observation.own_requests);
    }

    /// Notes that a request at a target ended.
    pub fn request_ended(&mut self, now: Time, id: &str) {
        let observation = self.at(id);
        observation.own_requests = observation.own_requests.saturating_sub(1);
        observation.ended_at = now;
    }

    /// Notes that a request's connection was closed with it.
    pub fn connection_closed(&mut self, id: &str) {
        let observation = self.at(id);
        observation.open_connections = observation.open_connections.saturating_sub(1);
    }

    /// Whether a connection to a target is probably open and idle.
    fn has_connection(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|observation| {
            observation.own_requests < observation.open_connections
                && now.since(observation.ended_at) < CONNECTION_MS
        })
    }

    /// Forgets what was seen of a target that has started again, but for this
    /// instance's own requests, whose ends are still to be noted.
    pub fn reset(&mut self, id: &str) {
        if let Some(observation) = self.targets.get_mut(id) {
            *observation =
                Observation { own_requests: observation.own_requests, ..Observation::default() };
        }
    }

    /// Notes the load that came with an answer.
    pub fn record_load(&mut self, now: Time, id: &str, load: Load) {
        let observation = self.at(id);
        observation.other_requests =
            (load.running + load.waiting).saturating_sub(observation.own_requests);
        observation.other_requests_at = now;
        observation.last_response_at = now;
    }

    /// Notes that a target works.
    pub fn record_success(&mut self, now: Time, id: &str) {
        let observation = self.at(id);
        observation.consecutive_failures = 0;
        observation.consecutive_refusals = 0;
        observation.avoid_until = Time(0);
        observation.last_response_at = now;
    }

    /// Notes that a target had no room.
    pub fn record_refusal(&mut self, now: Time, id: &str) {
        let observation = self.at(id);
        let wait_ms = FULL_MS << observation.consecutive_refusals.min(FULL_DOUBLINGS);
        observation.consecutive_refusals += 1;
        observation.avoid_until = observation.avoid_until.max(now.after(wait_ms));
    }

    /// Notes that a target's streams stand still.
    pub fn record_stall(&mut self, now: Time, id: &str) {
        let observation = self.at(id);
        observation.avoid_until = observation.avoid_until.max(now.after(STALLED_MS));
    }

    /// Notes how many requests of others to expect at a target of which no
    /// recent figure is known.
    pub fn expect_others(&mut self, others: f64) {
        self.usual_others = others;
    }

    /// Notes that an exchange with a target broke; it is avoided for longer
    /// each time.
    pub fn record_failure(&mut self, now: Time, id: &str) {
        let observation = self.at(id);
        observation.consecutive_failures += 1;
        let factor = u64::from(observation.consecutive_failures.min(4));
        observation.avoid_until = now.after(AVOID_MS * factor);
    }

    /// Notes the time between two events of a target's stream.
    pub fn record_event_gap(&mut self, id: &str, gap_ms: f64) {
        let observation = self.at(id);
        observation.pace_ms = Some(moving_mean(observation.pace_ms, gap_ms));
    }

    /// Notes how long a plain request's whole answer took.
    pub fn record_answer_time(&mut self, id: &str, took_ms: u64) {
        let observation = self.at(id);
        observation.answer_ms = Some(moving_mean(observation.answer_ms, took_ms as f64));
    }

    /// Whether a target is avoided now.
    #[must_use]
    pub fn is_avoided(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|observation| now < observation.avoid_until)
    }

    /// Whether an exchange with a target broke a moment ago, and none went
    /// well since.
    #[must_use]
    pub fn has_failed_recently(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|observation| {
            observation.consecutive_failures > 0 && now < observation.avoid_until
        })
    }

    /// Requests believed to be at a target, everybody's.
    #[must_use]
    pub fn load_of(&self, now: Time, id: &str) -> f64 {
        let Some(observation) = self.targets.get(id) else {
            return self.usual_others;
        };
        let age = now.since(observation.other_requests_at).min(LOAD_FADES_MS);
        let fresh = 1.0 - age as f64 / LOAD_FADES_MS as f64;
        let others =
            f64::from(observation.other_requests) * fresh + self.usual_others * (1.0 - fresh);
        f64::from(observation.own_requests) + others
    }

    fn mine_at(&self, id: &str) -> f64 {
        self.targets.get(id).map_or(0.0, |observation| f64::from(observation.own_requests))
    }

    /// Whether a target reported a free place a moment ago.
    fn has_room(&self, now: Time, target: &Announcement) -> bool {
        let Some(observation) = self.targets.get(&target.id) else {
            return false;
        };
        let load = f64::from(observation.own_requests + observation.other_requests);
        now.since(observation.other_requests_at) < ROOM_MS
            && load < f64::from(target.slots) * ROOM_SHARE
    }

    /// Median pace over targets whose pace is known, in milliseconds.
    #[must_use]
    pub fn median_pace(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self.targets.values().filter_map(|s| s.pace_ms).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    /// A target's pace, or the median's where it is not known, in
    /// milliseconds an event.
    #[must_use]
    pub fn pace_of(&self, id: &str) -> f64 {
        let known = self.targets.get(id).and_then(|observation| observation.pace_ms);
        known.or_else(|| self.median_pace()).unwrap_or(UNKNOWN_PACE_MS)
    }

    /// The target at which a request is expected to be done first.
    ///
    /// `events` is how many events the request is expected to take; what a
    /// slow target costs grows with it, what a queue costs does not. So long
    /// requests go to fast targets and short ones to whatever is free.
    /// `max_load` is how many requests a target may have for each of its
    /// slots.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::{choice::{Need, Observations}, fleet::Announcement, time::Time};
    ///
    /// let target = |id: &str| Announcement {
    ///     id: id.into(), pool: "wadi-gen".into(), address: ([127, 0, 0, 1], 80).into(),
    ///     domain: "ruwi-hall".into(), slots: 1, draining: false, cold: false,
    ///     versions: Default::default(), born: None, beats: 0,
    /// };
    /// let (a, b) = (target("a"), target("b"));
    /// let need = Need { events: 20.0, max_load: 1.0, instances: 1.0, salt: 0 };
    /// let mut observations = Observations::default();
    /// observations.request_started("a");
    /// let pick = observations.choose(Time(5), [&a, &b].into_iter(), need);
    /// assert_eq!(pick.unwrap().id, "b");
    /// // With both full there is no choice, not the lesser evil.
    /// observations.request_started("b");
    /// assert!(observations.choose(Time(5), [&a, &b].into_iter(), need).is_none());
    /// ```
    #[must_use]
    pub fn choose<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Announcement>,
        need: Need,
    ) -> Option<&'a Announcement> {
        let median = self.median_pace().unwrap_or(UNKNOWN_PACE_MS);
        let cost = |target: &Announcement| {
            let slots = f64::from(target.slots.max(1));
            let load = self.load_of(now, &target.id);
            if load >= slots * need.max_load || self.is_avoided(now, &target.id) {
                return None;
            }
            let share = (slots * need.max_load / need.instances.max(1.0)).ceil();
            if self.mine_at(&target.id) >= share && !self.has_room(now, target) {
                return None;
            }
            let cold = if target.cold { 2.0 } else { 1.0 };
            let pace =
                self.get(&target.id).and_then(|observation| observation.pace_ms).unwrap_or(median);
            let run = need.events * pace * cold * (1.0 + SLOT_SLOWS * load);
            // A place comes free each time one of its requests ends.
            let queue = (load + 1.0 - slots).max(0.0) / slots * USUAL_EVENTS * pace;
            let connect = if self.has_connection(now, &target.id) { 0.0 } else { CONNECT_COST_MS };
            Some(run + queue + load / slots * SPREAD_MS + connect)
        };
        let costs = targets.filter_map(|target| Some((cost(target)?, target)));
        let key = |target: &Announcement| {
            xxhash_rust::xxh3::xxh3_64_with_seed(target.id.as_bytes(), need.salt)
        };
        let best = costs.min_by(|(a, target), (b, other)| {
            a.total_cmp(b).then_with(|| key(target).cmp(&key(other)))
        });
        best.map(|(_, target)| target)
    }
}

/// What a request needs of its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Events that it is expected to take; 1 for a plain request.
    pub events: f64,
    /// Requests that a target may have for each of its slots.
    pub max_load: f64,
    /// Instances that choose at the same time. Each keeps to its share of a
    /// target's places, unless the target has just said that it has room:
    /// else all of them would fill the few targets that can serve, before
    /// any answer tells them of the others.
    pub instances: f64,
    /// Breaks ties, so that not all instances choose alike.
    pub salt: u64,
}

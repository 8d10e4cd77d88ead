//! Records what an instance has observed of each target, and chooses among
//! targets.
//!
//! Targets report their load on every answer, so the figure is free, but it is
//! out of date by the time it is used, and other instances act on the same
//! figure. An instance's own requests in flight are therefore counted exactly;
//! only the share of the other instances is taken from the last answer, and it
//! decays. Instances break ties between targets differently (by the salt), so
//! that equal loads do not send all of them to one place.
//!
//! Which targets may be used at all is decided in [`crate::core::fleet`].

use std::collections::{BTreeMap, BTreeSet};

use crate::core::{fleet::Announcement, room, time::Time};

/// Time over which the reported load of other instances decays to the expected
/// one, in milliseconds: about the run time of a sample of median length.
const LOAD_DECAY_MS: u64 = 1_000;
/// How long a target is avoided after a failed exchange, in milliseconds. A
/// target that is gone disappears from the store within a few heartbeats.
const FAILURE_AVOID_MS: u64 = 1_500;
/// Time after a failed exchange from which a target that is avoided may be tried
/// by one request, in milliseconds.
const TRIAL_MS: u64 = 1_000;
/// How long a target that refused a request because it was full is avoided, in
/// milliseconds; twice as long each time in a row. An engine that loads weights
/// refuses all requests for most of a second.
const FULL_MS: u64 = 100;
/// Maximum number of doublings of [`FULL_MS`].
const MAX_FULL_DOUBLINGS: u32 = 2;
/// How long a target whose streams have stalled is avoided, in milliseconds:
/// about the time that loading weights takes.
const STALLED_MS: u64 = 700;
/// Pace assumed for targets before any is known, in milliseconds per event.
const DEFAULT_PACE_MS: f64 = 40.0;
/// Number of events of a typical sample: the time for which a slot stays taken.
const TYPICAL_EVENTS: f64 = 20.0;
/// Relative slow-down of a request by each other one that runs on the same
/// target; engines that batch continuously lose about half a percent.
const SLOT_SLOWDOWN: f64 = 0.005;
/// Extra cost of a full target over an empty one, in milliseconds, for what
/// other instances may be sending there at the same moment.
const SPREAD_MS: f64 = 100.0;
/// Cost assumed for a new connection, in milliseconds: a handshake at the
/// target, and a connection fee that is worth a few events of one sample. It
/// outweighs the extra cost of a half-full target ([`SPREAD_MS`]), so that a
/// small instance stays with the few targets to which it is connected.
const CONNECTION_COST_MS: f64 = 60.0;
/// How long an idle connection is assumed to stay open, in milliseconds.
/// Existing targets keep one for 10 s, of which a part is used; this is
/// somewhat less than that part.
const IDLE_CONNECTION_MS: u64 = 6_000;
/// How long a target's report of free slots is relied on, in milliseconds.
const REPORT_AGE_MS: u64 = 400;
/// How long a target's report of places that nobody uses lets an instance have more
/// than its share there, in milliseconds: longer than the wait of a sample after which
/// one does.
const IDLE_REPORT_AGE_MS: u64 = 2_000;
/// Load, as a share of a target's slots, up to which the target has room for
/// more than an instance's own share.
const FREE_SHARE: f64 = 0.75;
/// Weight of the newest value in a target's moving means.
const MEAN_WEIGHT: f64 = 0.2;

/// Exponentially weighted moving mean; the first value is its own mean.
fn moving_mean(mean: Option<f64>, newest: f64) -> f64 {
    let mean = mean.unwrap_or(newest);
    mean + MEAN_WEIGHT * (newest - mean)
}

/// The load that a target reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// How long work takes there at the moment, in percent of the usual time;
    /// `None` if the target does not state it. It changes many times a second.
    pub slowdown_percent: Option<u32>,
}

/// What was observed of one target.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// This instance's requests in flight at the target.
    pub own_requests: u32,
    other_requests: u32,
    other_requests_at: Time,
    /// This instance's requests there when that was reported.
    own_requests_then: u32,
    avoid_until: Time,
    /// When an exchange last failed.
    failed_at: Time,
    /// Mean time between events of its streams, in milliseconds.
    pub pace_ms: Option<f64>,
    /// Mean time until a plain request's answer was complete, in milliseconds.
    pub answer_ms: Option<f64>,
    /// Consecutive failed exchanges.
    pub consecutive_failures: u32,
    /// Consecutive refusals because the target was full.
    consecutive_refusals: u32,
    /// Connections to the target that are probably open.
    open_connections: u32,
    /// When a request at the target last ended.
    ended_at: Time,
    /// When anything was last received from the target.
    pub last_response_at: Time,
}

/// What was observed of all targets, by id.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    targets: BTreeMap<String, Observation>,
    /// Requests of other instances to assume at each target of `expected_pools`.
    expected_others: f64,
    expected_pools: BTreeSet<String>,
}

impl Observations {
    /// What was observed of a target.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Observation> {
        self.targets.get(id)
    }

    fn entry(&mut self, id: &str) -> &mut Observation {
        if !self.targets.contains_key(id) {
            self.targets.insert(id.to_owned(), Observation::default());
        }
        self.targets.entry(id.to_owned()).or_default()
    }

    /// Records that a request was sent to a target.
    pub fn request_started(&mut self, id: &str) {
        let observation = self.entry(id);
        observation.own_requests += 1;
        observation.open_connections = observation.open_connections.max(observation.own_requests);
    }

    /// Records that a request at a target ended.
    pub fn request_ended(&mut self, now: Time, id: &str) {
        let observation = self.entry(id);
        observation.own_requests = observation.own_requests.saturating_sub(1);
        observation.ended_at = now;
    }

    /// Records that a request's connection was closed with it.
    pub fn connection_closed(&mut self, id: &str) {
        let observation = self.entry(id);
        observation.open_connections = observation.open_connections.saturating_sub(1);
    }

    /// Whether a connection to a target is probably open and idle.
    fn has_connection(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|observation| {
            observation.own_requests < observation.open_connections
                && now.since(observation.ended_at) < IDLE_CONNECTION_MS
        })
    }

    /// Discards what was observed of a target that has restarted, except the
    /// number of this instance's requests, whose ends are still to be recorded.
    pub fn reset(&mut self, id: &str) {
        if let Some(observation) = self.targets.get_mut(id) {
            *observation =
                Observation { own_requests: observation.own_requests, ..Observation::default() };
        }
    }

    /// Records the load that came with an answer.
    pub fn record_load(&mut self, now: Time, id: &str, load: Load) {
        let observation = self.entry(id);
        observation.other_requests =
            load.running.saturating_add(load.waiting).saturating_sub(observation.own_requests);
        observation.other_requests_at = now;
        observation.own_requests_then = observation.own_requests;
        observation.last_response_at = now;
    }

    /// Records a successful exchange with a target.
    pub fn record_success(&mut self, now: Time, id: &str) {
        let observation = self.entry(id);
        observation.consecutive_failures = 0;
        observation.consecutive_refusals = 0;
        observation.avoid_until = Time(0);
        observation.last_response_at = now;
    }

    /// Records that a target refused a request because it was full.
    pub fn record_refusal(&mut self, now: Time, id: &str) {
        let observation = self.entry(id);
        let wait_ms = FULL_MS << observation.consecutive_refusals.min(MAX_FULL_DOUBLINGS);
        observation.consecutive_refusals += 1;
        observation.avoid_until = observation.avoid_until.max(now.after(wait_ms));
    }

    /// Records that a target's streams have stalled.
    pub fn record_stall(&mut self, now: Time, id: &str) {
        let observation = self.entry(id);
        observation.avoid_until = observation.avoid_until.max(now.after(STALLED_MS));
    }

    /// Sets the number of requests of other instances to assume at a target of
    /// these pools without a recent load report.
    pub fn expect_others(&mut self, others: f64, pools: &BTreeSet<&str>) {
        self.expected_others = others;
        if !self.expected_pools.iter().map(String::as_str).eq(pools.iter().copied()) {
            self.expected_pools = pools.iter().map(|pool| (*pool).to_owned()).collect();
        }
    }

    /// Records a failed exchange with a target. The more have failed in a row,
    /// the longer the target is avoided.
    pub fn record_failure(&mut self, now: Time, id: &str) {
        let observation = self.entry(id);
        observation.failed_at = now;
        observation.consecutive_failures += 1;
        let factor = u64::from(observation.consecutive_failures.min(4));
        observation.avoid_until = now.after(FAILURE_AVOID_MS * factor);
    }

    /// Records the time between two events of a target's stream.
    pub fn record_event_gap(&mut self, id: &str, gap_ms: f64) {
        let observation = self.entry(id);
        observation.pace_ms = Some(moving_mean(observation.pace_ms, gap_ms));
    }

    /// Records how long it took until a plain request's answer was complete.
    pub fn record_answer_time(&mut self, id: &str, took_ms: u64) {
        let observation = self.entry(id);
        observation.answer_ms = Some(moving_mean(observation.answer_ms, took_ms as f64));
    }

    /// Whether a target is avoided now.
    #[must_use]
    pub fn is_avoided(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|observation| now < observation.avoid_until)
    }

    /// Records that a target has answered the request that tried it.
    pub fn record_trial_answer(&mut self, id: &str) {
        self.entry(id).avoid_until = Time(0);
    }

    /// Whether an exchange with a target failed recently and none has succeeded
    /// since.
    #[must_use]
    pub fn has_failed_recently(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|observation| {
            observation.consecutive_failures > 0 && now < observation.avoid_until
        })
    }

    /// Estimated number of requests at a target, of all instances.
    #[must_use]
    pub fn load_of(&self, now: Time, target: &Announcement) -> f64 {
        let is_expected = self.expected_pools.contains(&target.pool);
        let expected = if is_expected { self.expected_others } else { 0.0 };
        let Some(observation) = self.targets.get(&target.id) else {
            return expected;
        };
        let age = now.since(observation.other_requests_at).min(LOAD_DECAY_MS);
        let weight = 1.0 - age as f64 / LOAD_DECAY_MS as f64;
        let others = f64::from(observation.other_requests) * weight + expected * (1.0 - weight);
        f64::from(observation.own_requests) + others
    }

    fn own_requests_at(&self, id: &str) -> f64 {
        self.targets.get(id).map_or(0.0, |observation| f64::from(observation.own_requests))
    }

    /// Of targets that are avoided after failed exchanges, the one to try: that
    /// which has failed the fewest times in a row.
    #[must_use]
    pub fn choose_trial<'a>(
        &self,
        now: Time,
        targets: impl Iterator<Item = &'a Announcement>,
        salt: u64,
    ) -> Option<&'a Announcement> {
        let key = |target: &&Announcement| {
            let failures = self.get(&target.id).map_or(0, |known| known.consecutive_failures);
            (failures, xxhash_rust::xxh3::xxh3_64_with_seed(target.id.as_bytes(), salt))
        };
        targets.filter(|target| self.may_try(now, &target.id)).min_by_key(key)
    }

    /// Whether a target that is avoided after failed exchanges may be tried by one
    /// request, to find out whether it serves again.
    fn may_try(&self, now: Time, id: &str) -> bool {
        self.targets.get(id).is_some_and(|observation| {
            observation.own_requests == 0
                && observation.consecutive_failures > 0
                && now.since(observation.failed_at) >= TRIAL_MS
        })
    }

    /// Whether a target reported enough free slots recently.
    fn has_free_slots(&self, now: Time, target: &Announcement) -> bool {
        let Some(observation) = self.targets.get(&target.id) else {
            return false;
        };
        let load = f64::from(observation.own_requests) + f64::from(observation.other_requests);
        now.since(observation.other_requests_at) < REPORT_AGE_MS
            && load < f64::from(target.slots) * FREE_SHARE
    }

    /// Whether this instance may have one more request at a target than its
    /// share, of the places that the target last reported as free.
    ///
    /// Whoever has requests there divides these places, each in proportion to
    /// its own, so that together they take no more than is free; instances that
    /// run nothing there are not counted. A report lets an instance at most
    /// double its requests, as others may act on one from the same moment.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::{choice::{Load, Observations}, fleet::Announcement, time::Time};
    ///
    /// let target = Announcement {
    ///     id: "a".into(), pool: "p".into(), address: ([127, 0, 0, 1], 80).into(),
    ///     domain: "d".into(), slots: 12, draining: false, cold: false,
    ///     versions: Default::default(), start_ms: None, sequence: 0,
    /// };
    /// let load = |running| Load { running, waiting: 0, slots: 12, slowdown_percent: None };
    /// let mut observations = Observations::default();
    /// observations.request_started("a");
    /// observations.record_load(Time(5), "a", load(1));
    /// assert!(observations.may_borrow(Time(6), &target, 0));
    /// observations.request_started("a");
    /// assert!(!observations.may_borrow(Time(6), &target, 0), "more than twice as many");
    /// // The others have come back: what they leave is kept for them.
    /// observations.record_load(Time(7), "a", load(9));
    /// assert!(!observations.may_borrow(Time(8), &target, 0));
    /// ```
    #[must_use]
    pub fn may_borrow(&self, now: Time, target: &Announcement, salt: u64) -> bool {
        let Some(observation) = self.targets.get(&target.id) else {
            return false;
        };
        let own = f64::from(observation.own_requests_then);
        let load = own + f64::from(observation.other_requests);
        let free = f64::from(target.slots) * FREE_SHARE - load;
        let is_known = now.since(observation.other_requests_at) < IDLE_REPORT_AGE_MS;
        if load <= 0.0 || free <= 0.0 || !is_known {
            return false;
        }
        // Drawn once for each report: what is drawn anew would add up.
        let seed = salt ^ observation.other_requests_at.0;
        let allowed = room::draw(own + own.min(free * own / load), &target.id, seed);
        (observation.own_requests as usize) < allowed
    }

    /// Median pace of the targets whose pace is known, in milliseconds per
    /// event.
    #[must_use]
    pub fn median_pace(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self.targets.values().filter_map(|s| s.pace_ms).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    /// The median pace, or a usual one before any is known, in milliseconds per
    /// event.
    #[must_use]
    pub fn pace_now(&self) -> f64 {
        self.median_pace().unwrap_or(DEFAULT_PACE_MS)
    }

    /// A target's pace, or the median if it is not known, in milliseconds per
    /// event.
    #[must_use]
    pub fn pace_of(&self, id: &str) -> f64 {
        let known = self.targets.get(id).and_then(|observation| observation.pace_ms);
        known.or_else(|| self.median_pace()).unwrap_or(DEFAULT_PACE_MS)
    }

    /// Chooses the target at which a request is expected to complete first.
    ///
    /// `need.events` is the number of events that the request is expected to
    /// take. The cost of a slow target grows with it, the cost of a queue does
    /// not, so long requests go to fast targets and short ones to whichever is
    /// free. A target whose load has reached `need.max_load` requests per slot
    /// is not chosen.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::{choice::{Need, Observations}, fleet::Announcement, time::Time};
    ///
    /// let target = |id: &str| Announcement {
    ///     id: id.into(), pool: "wadi-gen".into(), address: ([127, 0, 0, 1], 80).into(),
    ///     domain: "ruwi-hall".into(), slots: 1, draining: false, cold: false,
    ///     versions: Default::default(), start_ms: None, sequence: 0,
    /// };
    /// let (a, b) = (target("a"), target("b"));
    /// let need = Need { events: 20.0, max_load: 1.0, instances: 1.0, salt: 0 };
    /// let mut observations = Observations::default();
    /// observations.request_started("a");
    /// let pick = observations.choose(Time(5), [&a, &b].into_iter(), need);
    /// assert_eq!(pick.unwrap().id, "b");
    /// // If both are full none is chosen, not the less loaded one.
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
        let median = self.median_pace().unwrap_or(DEFAULT_PACE_MS);
        let cost = |target: &Announcement| {
            let slots = f64::from(target.slots.max(1));
            let load = self.load_of(now, target);
            if load >= slots * need.max_load || self.is_avoided(now, &target.id) {
                return None;
            }
            let share = (slots * need.max_load / need.instances.max(1.0)).ceil();
            if self.own_requests_at(&target.id) >= share && !self.has_free_slots(now, target) {
                return None;
            }
            let cold = if target.cold { 2.0 } else { 1.0 };
            let pace =
                self.get(&target.id).and_then(|observation| observation.pace_ms).unwrap_or(median);
            let run = need.events * pace * cold * (1.0 + SLOT_SLOWDOWN * load);
            // A slot becomes free each time one of the requests ends.
            let queue = (load + 1.0 - slots).max(0.0) / slots * TYPICAL_EVENTS * pace;
            let connect =
                if self.has_connection(now, &target.id) { 0.0 } else { CONNECTION_COST_MS };
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
    /// Number of events that it is expected to take; 1 for a plain request.
    pub events: f64,
    /// Highest load of a target at which it may be chosen, in requests per
    /// slot.
    pub max_load: f64,
    /// Number of instances that choose at the same time. Each keeps to its
    /// share of a target's slots, unless the target has just reported that it
    /// has room. Otherwise all of them would fill the few targets that can
    /// serve before any answer reports the requests of the others.
    pub instances: f64,
    /// Seed for breaking ties, so that not all instances choose the same
    /// target.
    pub salt: u64,
}

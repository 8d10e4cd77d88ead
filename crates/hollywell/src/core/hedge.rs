//! Decides when a request that may run twice is sent once more to another
//! target (a hedge), while the first target still has it.
//!
//! This answers pools whose targets are slow by turns: each runs at its usual
//! speed most of the time and several times slower for some hundred
//! milliseconds, and one may be slower for good. A request that meets a slow
//! spell is late although another target would have answered it in time.
//!
//! A hedge is extra work for the pool. It is only sent where it probably
//! answers first: after more time than nearly all recent answers of the pool
//! took, to a target that is not known to be full or slow, and not if the first
//! target answered other requests at its usual speed in the meantime, because
//! then the request itself is long. What hedges cost is limited to a share of
//! the pool's work, and none is sent while the pool is busy: a slow answer is
//! then caused by the load, and hedges would add to it.
//!
//! It takes effect only for pools whose targets state their slowdown
//! ([`Load::slowdown_percent`]). The second target is chosen in
//! [`crate::core::choice`], and the two requests are sent in
//! [`crate::entry::forward`].

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::core::{choice::Load, time::Time};

/// Quantile of a pool's recent answer times after which a hedge is sent.
const LATE_QUANTILE: f64 = 0.95;
/// Number of answers from which that quantile is known.
const MIN_ANSWERS: u64 = 20;
/// Answer times are kept for one to two windows of this length, in
/// milliseconds. A small instance sees about one answer a second, and
/// [`MIN_ANSWERS`] are needed.
const WINDOW_MS: u64 = 15_000;
/// Largest answer time that is distinguished, in milliseconds.
const MAX_ANSWER_MS: u64 = 60_000;
/// Significant digits of recorded answer times.
const DIGITS: u8 = 2;
/// Lower and upper bound of the delay, in milliseconds. Below the lower one the
/// two sends would differ by no more than a round trip.
const DELAY_MS: (u64, u64) = (10, 500);
/// Part of the route's target latency after which a hedge may be sent even if
/// the quantile is larger: the second target needs the rest to answer in time.
const MAX_DELAY_PART: u64 = 2;
/// Share of a pool's work that hedges may add.
const BUDGET_SHARE: f64 = 0.05;
/// Number of hedges that may be sent at once after a time without any. A spell
/// delays the few requests that are at one target at that moment.
const BURST: f64 = 3.0;
/// Largest cost of one hedge, in requests of mean length.
const MAX_COST: f64 = 20.0;
/// Load of a pool, in requests per slot, from which no hedge is sent. From
/// there on requests start to wait for each other's slots.
const MAX_POOL_LOAD: f64 = 0.75;
/// Weight of the newest report in a pool's mean load.
const LOAD_WEIGHT: f64 = 0.2;
/// Age from which the pool's load counts as unknown, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 5_000;
/// Age up to which a target's report says how it is now, in milliseconds: less
/// than a typical slow spell lasts.
const REPORT_AGE_MS: u64 = 500;
/// Slowdown from which a target counts as slow, in percent of the usual time.
const SLOW_PERCENT: u32 = 150;
/// Range of slowdowns that are believed, in percent of the usual time.
const PERCENT_RANGE: std::ops::RangeInclusive<u32> = 10..=10_000;
/// Largest number of requests at a target that is believed.
const MAX_REQUESTS: u32 = 100_000;

/// Why a request is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request must not run twice.
    NotRepeatable,
    /// The route allows no further target.
    Attempts,
    /// The pool's targets do not state their slowdown.
    NotStated,
    /// The request is suspected of ending its targets.
    Suspected,
    /// The exchange with the first target broke, and whether the target exited
    /// is being checked.
    Broken,
    /// The instance is stopping.
    Stopping,
    /// Too little time is left before the caller's deadline.
    Deadline,
    /// The pool's load is too high, or was not reported recently.
    Load,
    /// The first target answers other requests at its usual speed.
    LongRequest,
    /// No other target is known to be better.
    NoTarget,
    /// The budget is used up.
    Budget,
}

impl Reason {
    /// The label value in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::NotRepeatable => "not_repeatable",
            Reason::Attempts => "attempts",
            Reason::NotStated => "not_stated",
            Reason::Suspected => "suspected",
            Reason::Broken => "broken",
            Reason::Stopping => "stopping",
            Reason::Deadline => "deadline",
            Reason::Load => "load",
            Reason::LongRequest => "long_request",
            Reason::NoTarget => "no_target",
            Reason::Budget => "budget",
        }
    }
}

/// A request when it is sent to its first target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// It may run more than once.
    pub is_repeatable: bool,
    /// It is suspected of ending its targets.
    pub is_suspected: bool,
    /// Number of further targets that its route allows.
    pub targets_left: u32,
    /// The route's target latency, in milliseconds; 0 if it has none.
    pub target_latency_ms: u64,
}

/// What is known of a request when its hedge is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due<'a> {
    /// The target that has the request.
    pub first: &'a str,
    /// When the request was sent to it.
    pub sent_at: Time,
    /// Time until the caller's deadline, in milliseconds.
    pub left_ms: u64,
    /// The request is suspected of ending its targets.
    pub is_suspected: bool,
    /// The exchange with the first target broke.
    pub is_broken: bool,
    /// The instance is stopping.
    pub is_stopping: bool,
    /// There is a target to send it to; see [`State::may_win`].
    pub has_target: bool,
}

/// A load report whose values are not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsound(pub Load);

impl std::fmt::Display for Unsound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Load { running, waiting, slots, slowdown_percent } = self.0;
        write!(f, "load {running},{waiting},{slots} with a slowdown of {slowdown_percent:?} %")
    }
}

/// The newest report of a target.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Time,
    is_full: bool,
    slowdown_percent: u32,
}

impl Report {
    fn is_slow(&self) -> bool {
        self.slowdown_percent >= SLOW_PERCENT
    }
}

#[derive(Clone, Debug)]
struct Pool {
    /// Answer times of the current window and of the one before.
    answers: [Histogram<u32>; 2],
    window_began: Time,
    /// The quantile, the median and the mean of both, in milliseconds; `None`
    /// while too few answers are known.
    late_ms: Option<u64>,
    median_ms: u64,
    mean_ms: f64,
    /// The newest reports of the targets that state their slowdown.
    reports: BTreeMap<String, Report>,
    /// Mean load in requests per slot, and when it was last reported.
    load: Option<(Time, f64)>,
    /// What hedges may cost now, in requests of mean length; negative after a
    /// hedge that cost more than expected. A pool begins with all of it.
    budget: f64,
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_ANSWER_MS, DIGITS)
        .unwrap_or_else(|error| unreachable!("the bounds are constant: {error}"))
}

impl Pool {
    fn new(now: Time) -> Pool {
        Pool {
            answers: [new_histogram(), new_histogram()],
            window_began: now,
            late_ms: None,
            median_ms: 0,
            mean_ms: 0.0,
            reports: BTreeMap::new(),
            load: None,
            budget: BURST,
        }
    }

    /// Starts a new window if the current one is over.
    fn turn(&mut self, now: Time) {
        let age = now.since(self.window_began);
        if age < WINDOW_MS {
            return;
        }
        self.answers.swap(0, 1);
        self.answers[0].reset();
        if age >= 2 * WINDOW_MS {
            self.answers[1].reset();
        }
        self.window_began = now;
        self.reports.retain(|_, report| now.since(report.at) < WINDOW_MS);
        self.summarise();
    }

    fn record_time(&mut self, took_ms: u64) {
        self.answers[0].saturating_record(took_ms.clamp(1, MAX_ANSWER_MS));
        self.summarise();
    }

    fn summarise(&mut self) {
        let mut all = self.answers[0].clone();
        // Both have the same bounds, so nothing is lost.
        if all.add(&self.answers[1]).is_err() || all.len() < MIN_ANSWERS {
            self.late_ms = None;
            return;
        }
        self.late_ms = Some(all.value_at_quantile(LATE_QUANTILE));
        self.median_ms = all.value_at_quantile(0.5);
        self.mean_ms = all.mean();
    }

    fn is_busy(&self, now: Time) -> bool {
        self.load.is_none_or(|(at, load)| now.since(at) > MAX_LOAD_AGE_MS || load >= MAX_POOL_LOAD)
    }
}

/// What hedges are decided by, for all pools.
///
/// # Example
///
/// ```
/// use hollywell::core::{choice::Load, hedge::{Due, Reason, Request, State}, time::Time};
///
/// let mut hedges = State::default();
/// let request = Request {
///     is_repeatable: true, is_suspected: false, targets_left: 1, target_latency_ms: 150,
/// };
/// // Targets that do not state their slowdown: nothing is hedged.
/// let load = Load { running: 2, waiting: 0, slots: 6, slowdown_percent: None };
/// hedges.record_load(Time(0), "app", "a1", load)?;
/// assert_eq!(hedges.when(Time(0), "app", &request), Err(Reason::NotStated));
///
/// let load = Load { slowdown_percent: Some(100), ..load };
/// hedges.record_load(Time(0), "app", "a1", load)?;
/// (0..100).for_each(|n| hedges.record_answer(Time(n), "app", 20 + n / 4));
/// assert_eq!(hedges.when(Time(100), "app", &request), Ok(43));
///
/// let due = Due {
///     first: "a1", sent_at: Time(100), left_ms: 1_400, is_suspected: false, is_broken: false,
///     is_stopping: false, has_target: true,
/// };
/// // However many are due at once, the budget is limited.
/// let sent = (0..20).filter(|_| hedges.take(Time(143), "app", &due).is_ok()).count();
/// assert_eq!((sent, hedges.take(Time(143), "app", &due)), (3, Err(Reason::Budget)));
/// // The first target answered another request at its usual speed meanwhile.
/// hedges.record_load(Time(120), "app", "a1", load)?;
/// assert_eq!(hedges.take(Time(143), "app", &due), Err(Reason::LongRequest));
/// # Ok::<_, hollywell::core::hedge::Unsound>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct State {
    pools: BTreeMap<String, Pool>,
}

impl State {
    fn pool(&mut self, now: Time, name: &str) -> &mut Pool {
        if !self.pools.contains_key(name) {
            self.pools.insert(name.to_owned(), Pool::new(now));
        }
        let pool = self.pools.entry(name.to_owned()).or_insert_with(|| Pool::new(now));
        pool.turn(now);
        pool
    }

    /// Records a target's load report.
    ///
    /// # Errors
    ///
    /// [`Unsound`] if a value is out of range; what was believed is kept.
    pub fn record_load(
        &mut self,
        now: Time,
        pool: &str,
        target: &str,
        load: Load,
    ) -> Result<(), Unsound> {
        let requests = load.running.saturating_add(load.waiting);
        let is_sound = load.slots > 0
            && requests <= MAX_REQUESTS
            && load.slowdown_percent.is_none_or(|percent| PERCENT_RANGE.contains(&percent));
        if !is_sound {
            return Err(Unsound(load));
        }
        let Some(slowdown_percent) = load.slowdown_percent else {
            if let Some(pool) = self.pools.get_mut(pool) {
                pool.reports.remove(target);
            }
            return Ok(());
        };
        let pool = self.pool(now, pool);
        let is_full = requests >= load.slots;
        pool.reports.insert(target.to_owned(), Report { at: now, is_full, slowdown_percent });
        let newest = f64::from(requests) / f64::from(load.slots);
        let mean = match pool.load {
            Some((at, mean)) if now.since(at) <= MAX_LOAD_AGE_MS => {
                mean + LOAD_WEIGHT * (newest - mean)
            }
            _ => newest,
        };
        pool.load = Some((now, mean));
        Ok(())
    }

    /// Records the time that a target of a pool took to answer, which adds to
    /// the budget. Pools whose targets do not state their slowdown are not
    /// recorded.
    pub fn record_answer(&mut self, now: Time, pool: &str, took_ms: u64) {
        if !self.is_stated(pool) {
            return;
        }
        let pool = self.pool(now, pool);
        pool.budget = (pool.budget + BUDGET_SHARE).min(BURST);
        pool.record_time(took_ms);
    }

    fn is_stated(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|pool| !pool.reports.is_empty())
    }

    /// The delay, in milliseconds, after which a request to a pool may be
    /// hedged.
    ///
    /// # Errors
    ///
    /// Why it is not hedged however long it takes.
    pub fn when(&mut self, now: Time, pool: &str, request: &Request) -> Result<u64, Reason> {
        if !self.is_stated(pool) {
            return Err(Reason::NotStated);
        }
        let pool = self.pool(now, pool);
        if !request.is_repeatable {
            return Err(Reason::NotRepeatable);
        }
        if request.targets_left == 0 {
            return Err(Reason::Attempts);
        }
        if request.is_suspected {
            return Err(Reason::Suspected);
        }
        let longest = match request.target_latency_ms {
            0 => DELAY_MS.1,
            latency => (latency / MAX_DELAY_PART).clamp(DELAY_MS.0, DELAY_MS.1),
        };
        Ok(pool.late_ms.map_or(longest, |late| late.clamp(DELAY_MS.0, longest)))
    }

    /// Whether a target may answer before the one that has the request: its
    /// newest report, if it is recent, shows neither a full nor a slow target.
    /// A small instance has no recent report of most targets.
    #[must_use]
    pub fn may_win(&self, now: Time, pool: &str, target: &str) -> bool {
        let report = self.pools.get(pool).and_then(|pool| pool.reports.get(target));
        report.is_none_or(|report| {
            now.since(report.at) > REPORT_AGE_MS || !(report.is_full || report.is_slow())
        })
    }

    /// Takes a hedge that is due from the pool's budget.
    ///
    /// # Errors
    ///
    /// Why it is not sent.
    pub fn take(&mut self, now: Time, pool: &str, due: &Due<'_>) -> Result<(), Reason> {
        if !self.is_stated(pool) {
            return Err(Reason::NotStated);
        }
        let pool = self.pool(now, pool);
        let first = pool.reports.get(due.first);
        let is_well = first.is_some_and(|r| r.at > due.sent_at && !r.is_slow() && !r.is_full);
        let reason = if due.is_suspected {
            Reason::Suspected
        } else if due.is_broken {
            Reason::Broken
        } else if due.is_stopping {
            Reason::Stopping
        } else if due.left_ms <= pool.median_ms.max(DELAY_MS.0) {
            Reason::Deadline
        } else if pool.is_busy(now) {
            Reason::Load
        } else if is_well {
            Reason::LongRequest
        } else if !due.has_target {
            Reason::NoTarget
        } else if pool.budget < 1.0 {
            Reason::Budget
        } else {
            pool.budget -= 1.0;
            return Ok(());
        };
        Err(reason)
    }

    /// Records that one of the two targets of a hedged request lost, `spent_ms`
    /// after the request was sent to it.
    ///
    /// If the second one lost, that time is what the hedge cost. If the first
    /// one lost, it would have worked longer without the hedge.
    pub fn settle(&mut self, now: Time, pool: &str, is_first: bool, spent_ms: u64) {
        let pool = self.pool(now, pool);
        if is_first {
            pool.record_time(spent_ms);
            return;
        }
        let cost = spent_ms as f64 / pool.mean_ms.max(1.0);
        // One request's worth was taken when the hedge was sent.
        pool.budget -= (cost - 1.0).clamp(0.0, MAX_COST);
    }
}

//! How fast a target works: lastingly, and at the moment.
//!
//! Targets that share their machines with others differ in speed for as long
//! as they live, and each of them turns slow for a few hundred milliseconds
//! whenever a neighbour is busy. One mean over both takes a fast target in a
//! slow moment for a slow target, long after the moment has passed. So they are
//! kept apart: a lasting time per event, learned from the gaps between events
//! as far as no stated slowness explains them, and a passing factor that is
//! forgotten within [`PASSING_MS`].
//!
//! A target states its factor with the head of an answer. Between two heads the
//! gaps show it. A slowness that is not stated and outlasts [`PASSING_MS`] is
//! not passing: the lasting time takes it over.
//!
//! All of this holds for targets that state the factor. For the others there is
//! one moving mean of the gaps, without a passing factor: gaps alone do not show
//! in time which of the two has changed.

use std::ops::RangeInclusive;

use crate::core::time::Time;

/// Longest time for which a slowness counts as passing, and for which a
/// statement of it is relied on, in milliseconds.
pub const PASSING_MS: u64 = 1_000;
/// Statements that are taken as sound, in percent of the usual time. Outside of
/// this range a target would rather count as failed than as slow.
pub const SOUND_PERCENT: RangeInclusive<u32> = 10..=10_000;
/// Factor from which on a target counts as slow at the moment. Gaps of a target
/// whose load varies differ by up to a fifth.
const SLOW_FACTOR: f64 = 1.3;
/// Number of events over which the lasting time is averaged: about a second.
const MEMORY_EVENTS: f64 = 24.0;
/// The same for events that came faster than expected. A target does not work
/// faster than it can, so they prove more.
const MEMORY_FAST_EVENTS: f64 = 8.0;
/// Number of answers over which the lasting time of an answer is averaged: work
/// differs more between requests than between events.
const MEMORY_ANSWERS: f64 = 16.0;
/// Number of answers at other targets that count as much as the mean of these
/// answers when a target's own are few.
const PRIOR_ANSWERS: f64 = 8.0;
/// Ratio to the lasting time beyond which a single measurement counts no more:
/// a stream also pauses while its engine loads weights, and a few requests are
/// much larger than the others.
const MAX_RATIO: f64 = 4.0;
/// Shortest time of an answer that is told from others, in milliseconds.
const MIN_ANSWER_MS: f64 = 1.0;
/// Number of events from which on the lasting time is known.
const MIN_EVENTS: f64 = 4.0;
/// How long a statement describes the gaps that follow it while the lasting
/// time is not known, in milliseconds.
const TRUST_MS: u64 = 250;
/// Weight of the newest gap in the passing factor.
const FACTOR_WEIGHT: f64 = 0.8;
/// Weight of the newest gap in the mean of all gaps.
const MEAN_WEIGHT: f64 = 0.2;
/// Relative slow-down of a request by each other one that runs on the same
/// target; engines that batch continuously lose about half a percent.
const SLOT_SLOWDOWN: f64 = 0.005;

/// Factor by which a request takes longer at a target with a certain load.
#[must_use]
pub fn load_factor(load: f64) -> f64 {
    1.0 + SLOT_SLOWDOWN * load
}

/// A statement that cannot be right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsound {
    /// The value that was stated, in percent.
    pub percent: u32,
}

impl std::fmt::Display for Unsound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (least, most) = (SOUND_PERCENT.start(), SOUND_PERCENT.end());
        write!(f, "slowdown of {} percent, {least} to {most} expected", self.percent)
    }
}

impl std::error::Error for Unsound {}

/// What a target stated last.
#[derive(Clone, Copy, Debug)]
struct Statement {
    factor: f64,
    at: Time,
}

/// The factor at the moment, from statements and gaps.
#[derive(Clone, Copy, Debug)]
struct Passing {
    factor: f64,
    /// Since when the target has been slow, until a gap shows that it is not.
    slow_since: Option<Time>,
    at: Time,
}

/// What is known of one target's speed.
///
/// # Example
///
/// ```
/// use hollywell::core::{speed::Speed, time::Time};
///
/// # fn main() -> Result<(), hollywell::core::speed::Unsound> {
/// let mut speed = Speed::default();
/// speed.record_statement(Time(0), 250)?;
/// speed.record_gap(Time(100), 100.0, 0.0);
/// // The target usually takes 40 ms an event, and is slow at the moment.
/// assert_eq!(speed.pace_ms(), Some(40.0));
/// assert!(speed.run_ms(Time(100), 40.0) > 80.0);
/// // Most of a long run takes place after that moment.
/// assert!(speed.run_ms(Time(100), 4_000.0) < 4_500.0);
/// // A second later nothing is known of it any more.
/// assert_eq!(speed.run_ms(Time(1_100), 40.0), 40.0);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug, Default)]
pub struct Speed {
    mean_ms: Option<f64>,
    lasting_ms: Option<f64>,
    events: f64,
    answer_ms: Option<f64>,
    answers: f64,
    statement: Option<Statement>,
    passing: Option<Passing>,
}

impl Speed {
    /// Records how long work takes at the target now, in percent of the usual
    /// time.
    ///
    /// # Errors
    ///
    /// If the value cannot be right. What was known before is kept.
    pub fn record_statement(&mut self, now: Time, percent: u32) -> Result<(), Unsound> {
        if !SOUND_PERCENT.contains(&percent) {
            return Err(Unsound { percent });
        }
        let factor = f64::from(percent) / 100.0;
        self.statement = Some(Statement { factor, at: now });
        // A target need not know of each slowness of its own, so a statement
        // does not end one that the gaps show.
        let slow_since = self.known_passing(now).and_then(|passing| passing.slow_since);
        let slow_since = slow_since.or_else(|| (factor >= SLOW_FACTOR).then_some(now));
        self.passing = Some(Passing { factor, slow_since, at: now });
        Ok(())
    }

    /// Records the time between two events of a stream, at a certain load.
    pub fn record_gap(&mut self, now: Time, gap_ms: f64, load: f64) {
        let mean = self.mean_ms.unwrap_or(gap_ms);
        self.mean_ms = Some(mean + MEAN_WEIGHT * (gap_ms - mean));
        let gap = gap_ms / load_factor(load);
        let stated = self.statement.filter(|stated| now.since(stated.at) < PASSING_MS);
        let Some(lasting) = self.lasting_ms.filter(|_| self.events >= MIN_EVENTS) else {
            self.learn(now, gap, stated);
            return;
        };
        let factor = stated.map_or(1.0, |stated| stated.factor);
        // The stated slowness may have ended since: any time between is
        // explained by it. A slow gap is left to the passing factor.
        let (least, most) = (gap.min(gap / factor), gap.max(gap / factor));
        let unexplained = lasting.clamp(least, most);
        if unexplained < lasting * SLOW_FACTOR {
            self.events = (self.events + 1.0).min(MEMORY_EVENTS);
            let memory = if unexplained < lasting { MEMORY_FAST_EVENTS } else { MEMORY_EVENTS };
            let change = unexplained.max(lasting / MAX_RATIO) - lasting;
            self.lasting_ms = Some(lasting + change / self.events.min(memory));
        }
        // Events that arrive at once leave no lasting time to compare with.
        let ratio = if lasting > 0.0 { gap / lasting } else { MAX_RATIO };
        self.see_factor(now, ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO));
        self.take_over(now, load);
    }

    /// Learns the lasting time from the first gaps.
    fn learn(&mut self, now: Time, gap: f64, stated: Option<Statement>) {
        let factor = stated.map_or(1.0, |stated| stated.factor);
        let is_old = stated.is_some_and(|stated| now.since(stated.at) >= TRUST_MS);
        if is_old && factor >= SLOW_FACTOR && self.lasting_ms.is_some() {
            return;
        }
        let gap = gap / factor;
        let lasting = self.lasting_ms.unwrap_or(gap);
        self.events += 1.0;
        self.lasting_ms = Some(lasting + (gap - lasting) / self.events);
    }

    /// Takes a gap's ratio to the lasting time into the passing factor.
    fn see_factor(&mut self, now: Time, ratio: f64) {
        let before = self.factor(now);
        let factor = before + FACTOR_WEIGHT * (ratio - before);
        let since = self.known_passing(now).and_then(|passing| passing.slow_since).unwrap_or(now);
        let slow_since = (factor >= SLOW_FACTOR).then_some(since);
        self.passing = Some(Passing { factor, slow_since, at: now });
    }

    /// Takes over as lasting what has been slow for too long to pass.
    fn take_over(&mut self, now: Time, load: f64) {
        let since = self.passing.and_then(|passing| passing.slow_since);
        let outlasts = since.is_some_and(|since| now.since(since) >= PASSING_MS);
        let stated = self.statement.filter(|stated| now.since(stated.at) < PASSING_MS);
        if outlasts && stated.is_none_or(|stated| stated.factor < SLOW_FACTOR) {
            self.lasting_ms = self.mean_ms.map(|mean| mean / load_factor(load));
            self.events = MIN_EVENTS;
            self.passing = None;
        }
    }

    /// Records how long a plain request took.
    pub fn record_answer(&mut self, now: Time, took_ms: f64) {
        let took = took_ms.max(MIN_ANSWER_MS) / self.factor(now);
        let mean = self.answer_ms.unwrap_or(took);
        self.answers = (self.answers + 1.0).min(MEMORY_ANSWERS);
        let bounded = took.clamp(mean / MAX_RATIO, mean * MAX_RATIO);
        self.answer_ms = Some(mean + (bounded - mean) / self.answers);
    }

    /// Whether the target states how slow it is.
    #[must_use]
    pub const fn is_stated(&self) -> bool {
        self.statement.is_some()
    }

    /// The target's lasting time per event, in milliseconds; for a target that
    /// does not state how slow it is, the recent time.
    #[must_use]
    pub const fn pace_ms(&self) -> Option<f64> {
        if self.is_stated() { self.lasting_ms } else { self.mean_ms }
    }

    /// The lasting time of an answer, in milliseconds. The fewer answers are
    /// known, the closer it is to `usual_ms`, that of other targets.
    #[must_use]
    pub fn answer_ms(&self, usual_ms: f64) -> f64 {
        let own = self.answer_ms.unwrap_or(usual_ms) * self.answers;
        (own + usual_ms * PRIOR_ANSWERS) / (self.answers + PRIOR_ANSWERS)
    }

    /// The lasting time of an answer by this target's answers alone.
    #[must_use]
    pub const fn own_answer_ms(&self) -> Option<f64> {
        self.answer_ms
    }

    fn known_passing(&self, now: Time) -> Option<Passing> {
        let passing = self.passing.filter(|_| self.is_stated());
        passing.filter(|passing| now.since(passing.at) < PASSING_MS)
    }

    /// The factor by which work takes longer at the moment than it usually
    /// does; 1 if nothing recent is known.
    #[must_use]
    pub fn factor(&self, now: Time) -> f64 {
        self.known_passing(now).map_or(1.0, |passing| passing.factor)
    }

    /// Expected time of a run that takes `work_ms` at the target's lasting
    /// speed and begins now.
    #[must_use]
    pub fn run_ms(&self, now: Time, work_ms: f64) -> f64 {
        let known = |passing: Passing| slowed_ms(work_ms, passing.factor, now.since(passing.at));
        self.known_passing(now).map_or(work_ms, known)
    }

    /// Expected time of the rest of a run that is at the target already. The
    /// longer a slowness has lasted, the sooner it ends.
    #[must_use]
    pub fn rest_ms(&self, now: Time, work_ms: f64) -> f64 {
        let age_ms = |passing: Passing| now.since(passing.slow_since.unwrap_or(passing.at));
        let known = |passing: Passing| slowed_ms(work_ms, passing.factor, age_ms(passing));
        self.known_passing(now).map_or(work_ms, known)
    }
}

/// The time that work takes if a factor applies until it passes: on average
/// for half of what is left of [`PASSING_MS`].
fn slowed_ms(work_ms: f64, factor: f64, age_ms: u64) -> f64 {
    let passes_ms = PASSING_MS.saturating_sub(age_ms) as f64 / 2.0;
    work_ms + passes_ms.min(factor * work_ms) * (1.0 - 1.0 / factor)
}

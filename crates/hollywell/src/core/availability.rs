//! Decides whether the store is available to this instance, and whether a view of
//! the jobs is recent enough for samples to begin.
//!
//! A store that refuses calls works: it may serve all other instances, and take the
//! end of a job from one of them. A store that does not respond may do so too, as
//! nothing tells a store that is down from a link that is cut. Whether samples may
//! begin therefore depends on the age of the view alone.

use crate::core::time::Time;

/// Time without a successful call, in milliseconds, after which the store counts as
/// unavailable; one refused call is not an outage.
const UNAVAILABLE_MS: u64 = 700;
/// Age of a view of jobs in milliseconds up to which samples may begin. One of the
/// jobs may have been ended since, and no sample of a job may be sent later than
/// three seconds after the job's end.
const MAX_VIEW_AGE_MS: u64 = 2_000;

/// The store, as one instance sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It serves calls; some may be refused.
    #[default]
    Available,
    /// It refuses all calls of this instance.
    Refusing,
    /// It does not respond to this instance: it is down, or a link is.
    Silent,
}

/// The availability of the store.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     availability::{Availability, State},
///     time::Time,
/// };
///
/// let mut store = Availability::default();
/// // A refusal is an answer.
/// store.record_failure(Time(1_000), Some(Time(1_000)));
/// store.record_failure(Time(1_800), Some(Time(1_800)));
/// assert_eq!(store.state(), State::Refusing);
/// store.record_failure(Time(2_600), Some(Time(1_800)));
/// assert_eq!(store.state(), State::Silent);
/// store.record_success();
/// assert_eq!(store.state(), State::Available);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    state: State,
    /// Time of the first failure since the last successful call; `None` if that call
    /// was the last one.
    failing_since: Option<Time>,
}

impl Availability {
    /// The state by the calls recorded so far.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Whether the store serves calls of this instance.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.state == State::Available
    }

    /// Time for which no call has succeeded, in milliseconds.
    #[must_use]
    pub fn failing_ms(&self, now: Time) -> u64 {
        self.failing_since.map_or(0, |since| now.since(since))
    }

    /// Records a call that succeeded.
    pub const fn record_success(&mut self) {
        *self = Availability { state: State::Available, failing_since: None };
    }

    /// Records a call that failed; `answered_at` is when the store last responded to
    /// any call, whether or not it refused it.
    pub fn record_failure(&mut self, now: Time, answered_at: Option<Time>) {
        let since = *self.failing_since.get_or_insert(now);
        let is_recent = |at: Time| now.since(at) <= UNAVAILABLE_MS;
        self.state = if is_recent(since) {
            State::Available
        } else if answered_at.is_some_and(is_recent) {
            State::Refusing
        } else {
            State::Silent
        };
    }
}

/// Whether samples may begin on a view of jobs that is complete up to `read_at`.
#[must_use]
pub const fn is_view_current(now: Time, read_at: Time) -> bool {
    now.since(read_at) <= MAX_VIEW_AGE_MS
}

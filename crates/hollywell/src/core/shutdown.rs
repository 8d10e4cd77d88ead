//! What a stopping instance may still begin, and when it gives its last answers.

use crate::core::time::Time;

/// Time in which a stopping instance begins any request, in milliseconds: the
/// load balancer has not yet seen that it is not ready.
const SERVED_MS: u64 = 2_300;
/// Fraction of the grace period in which any request may be begun, if that is
/// shorter than [`SERVED_MS`].
const SERVED_FRACTION: f64 = 0.3;
/// Fraction of the grace period after which what is unanswered gets its last
/// answer: there has to be time to write it.
const ANSWER_FRACTION: f64 = 0.86;
/// Fraction of the grace period after which the instance exits even if answers
/// have not arrived whole.
const EXIT_FRACTION: f64 = 0.9;

/// The times of a planned stop.
///
/// # Example
///
/// ```
/// use hollywell::core::{shutdown::Shutdown, time::Time};
///
/// let shutdown = Shutdown::new(Time(1_000), 8_000);
/// // Soon after the stop began, every request is served.
/// assert!(shutdown.may_begin(Time(1_100), Time(30_000)));
/// // Later, only those that end in time.
/// assert!(shutdown.may_begin(Time(5_000), Time(6_000)));
/// assert!(!shutdown.may_begin(Time(5_000), Time(30_000)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    served_until: Time,
    half: Time,
    answer_by: Time,
    exit_by: Time,
}

impl Shutdown {
    /// A stop that began at a time, with a grace period in milliseconds.
    #[must_use]
    pub fn new(began: Time, grace_ms: u64) -> Shutdown {
        let part = |fraction: f64| (grace_ms as f64 * fraction) as u64;
        Shutdown {
            served_until: began.after(SERVED_MS.min(part(SERVED_FRACTION))),
            half: began.after(grace_ms / 2),
            answer_by: began.after(part(ANSWER_FRACTION)),
            exit_by: began.after(part(EXIT_FRACTION)),
        }
    }

    /// Whether a request may be begun that is answered at `answered_by` at the
    /// latest.
    #[must_use]
    pub fn may_begin(&self, now: Time, answered_by: Time) -> bool {
        now < self.served_until || answered_by <= self.answer_by
    }

    /// Until when any request is begun, and texts are saved before the instance
    /// leaves its group.
    #[must_use]
    pub const fn served_until(&self) -> Time {
        self.served_until
    }

    /// When half of the grace period has passed.
    #[must_use]
    pub const fn half(&self) -> Time {
        self.half
    }

    /// When what is unanswered gets its last answer.
    #[must_use]
    pub const fn answer_by(&self) -> Time {
        self.answer_by
    }

    /// When the instance exits at the latest.
    #[must_use]
    pub const fn exit_by(&self) -> Time {
        self.exit_by
    }
}

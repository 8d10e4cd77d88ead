//! Whether samples begin although no result can be stored. Pure.
//!
//! The results of samples that are whole are lost with the process until they
//! are stored. Where the store has taken none for a while, each further sample
//! only adds to that: a loss of power undoes it, and it may run again although
//! its job was ended meanwhile. Then no sample begins at this instance and no
//! job is accepted, until a result is stored. Samples that have begun go on.
//!
//! [`crate::entry::outbox`] stores the results.

use crate::core::time::Time;

/// Time without a stored result, while one waits, from which no sample begins,
/// in milliseconds: a steady store acknowledges an end within 4 to 10 s
/// (`ack_ms`), and takes a result no later; and a sample may be at no target for
/// 5 s of steady state.
pub const MAX_UNSTORED_MS: u64 = 4_000;
/// Time after which a caller whose job was refused may come back, in
/// milliseconds: results are tried again each second.
pub const RETRY_AFTER_MS: u64 = 2_000;

/// The results of one partition that wait to be stored here.
///
/// # Example
///
/// ```
/// use hollywell::core::{time::Time, unstored::Unstored};
///
/// let mut unstored = Unstored::default();
/// unstored.record_waiting(Time(0));
/// assert!(!unstored.holds_back(Time(1_000)));
/// assert!(unstored.holds_back(Time(4_000)));
/// // Others may wait still.
/// unstored.record_stored(Time(5_000));
/// assert!(!unstored.holds_back(Time(5_000)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unstored {
    /// When the last result was stored, or the first of those that wait came.
    since: Option<Time>,
    /// Why the last attempt failed.
    why: Option<&'static str>,
    /// What [`Unstored::change`] said last.
    is_held: bool,
}

impl Unstored {
    /// Records that a result waits.
    pub fn record_waiting(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    /// Records that an attempt to store results failed.
    pub const fn record_failure(&mut self, why: &'static str) {
        self.why = Some(why);
    }

    /// Why the last attempt failed; `None` if none had an answer.
    #[must_use]
    pub const fn why(&self) -> Option<&'static str> {
        self.why
    }

    /// Records that results were stored, and others may wait.
    pub const fn record_stored(&mut self, now: Time) {
        (self.since, self.why) = (Some(now), None);
    }

    /// Records that no result waits any more.
    pub const fn record_none(&mut self) {
        (self.since, self.why) = (None, None);
    }

    /// How long no result has been stored, in milliseconds, if one waits.
    #[must_use]
    pub fn waiting_ms(&self, now: Time) -> Option<u64> {
        self.since.map(|since| now.since(since))
    }

    /// How long no result has been stored while one waits, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Time) -> u64 {
        self.waiting_ms(now).unwrap_or_default()
    }

    /// Whether no sample may begin and no job be accepted.
    #[must_use]
    pub fn holds_back(&self, now: Time) -> bool {
        self.age_ms(now) >= MAX_UNSTORED_MS
    }

    /// What [`Unstored::holds_back`] says now, if that has changed since the last
    /// call.
    pub fn change(&mut self, now: Time) -> Option<bool> {
        let holds_back = self.holds_back(now);
        (std::mem::replace(&mut self.is_held, holds_back) != holds_back).then_some(holds_back)
    }
}

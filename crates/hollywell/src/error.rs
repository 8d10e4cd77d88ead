//! The closed list of error kinds, and the table from kind to answer.
//!
//! Everything that hollywell can tell a caller other than a target's own
//! answer is one [`Kind`]. [`Kind::answer`] is the single place where a kind
//! becomes a status, a `Retry-After` and a word on whether the request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What hollywell knows about whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It did not run, and no earlier send of the same key did.
    NotRun,
    /// It may have run. Sending it again with the same key is safe.
    Unknown,
}

impl Outcome {
    /// The value of the `Hollywell-Outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request could not be understood.
    Malformed,
    /// The body or the headers exceed the configured size.
    TooLarge,
    /// No such path or method.
    NoRoute,
    /// The caller sent no key, or none that an organisation has.
    UnknownCaller,
    /// The table has no row for the trainer.
    UnknownTrainer,
    /// No target of that pool has ever been listed.
    UnknownPool,
    /// The key was used before with a different request.
    KeyMismatch,
    /// Another edit of the same row came first.
    Conflict,
    /// The instance has no room for more work.
    Overloaded,
    /// The instance is stopping.
    Draining,
    /// No usable target at the moment.
    NoTarget,
    /// The target refused the connection or said that it did not run it.
    TargetRefused,
    /// Targets that ran the same request before have ended.
    EndsTargets,
    /// The deadline passed before the request was dispatched.
    DeadlinePassed,
    /// A copy of the claim could not be placed, so it was not dispatched.
    #[serde(rename = "no_deputy")]
    NoReplica,
    /// The send was overtaken by an earlier refusal of the same key.
    Superseded,
    /// The key's owner could not be asked, or cannot act now.
    Unverified,
    /// The request was dispatched and no whole answer came back.
    OutcomeUnknown,
    /// The platform's log cannot be reached.
    #[serde(rename = "log_away")]
    LogUnavailable,
    /// The platform's store did not take what must be kept, or cannot be
    /// asked for what is not known here.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// The platform's store has no room for what would have to be kept.
    StoreFull,
    /// A fault of hollywell itself.
    Internal,
}

/// How a kind is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status (RFC 9110, section 15).
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// When to come back, in seconds; `None` where repeating cannot help.
    pub retry_after_s: Option<u32>,
    /// One sentence for a person.
    pub text: &'static str,
}

const fn answer(
    status: u16,
    outcome: Outcome,
    retry_after_s: Option<u32>,
    text: &'static str,
) -> Answer {
    Answer { status, outcome, retry_after_s, text }
}

impl Kind {
    /// Every kind, in the order of the documentation.
    pub const ALL: [Kind; 22] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::NoRoute,
        Kind::UnknownCaller,
        Kind::UnknownTrainer,
        Kind::UnknownPool,
        Kind::KeyMismatch,
        Kind::Conflict,
        Kind::Overloaded,
        Kind::Draining,
        Kind::NoTarget,
        Kind::TargetRefused,
        Kind::EndsTargets,
        Kind::DeadlinePassed,
        Kind::NoReplica,
        Kind::Superseded,
        Kind::Unverified,
        Kind::OutcomeUnknown,
        Kind::LogUnavailable,
        Kind::StoreUnavailable,
        Kind::StoreFull,
        Kind::Internal,
    ];

    /// The answer that a kind is given.
    ///
    /// A kind whose outcome is [`Outcome::NotRun`] may only be used by code
    /// that knows it: for a keyed request that is the key's owner alone.
    /// Anyone else uses [`Kind::Unverified`], because an earlier send of the
    /// same key may have run elsewhere.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::error::{Kind, Outcome};
    ///
    /// // A stopping instance that does not own the key cannot say "not run".
    /// assert_eq!(Kind::Draining.answer().outcome, Outcome::NotRun);
    /// assert_eq!(Kind::Unverified.answer().outcome, Outcome::Unknown);
    /// ```
    #[must_use]
    pub const fn answer(self) -> Answer {
        use Outcome::{NotRun, Unknown};
        match self {
            Kind::Malformed => answer(400, NotRun, None, "the request is malformed"),
            Kind::TooLarge => answer(413, NotRun, None, "the request is too large"),
            Kind::NoRoute => answer(404, NotRun, None, "no such path or method"),
            Kind::UnknownCaller => answer(401, NotRun, None, "no key of any organisation"),
            Kind::UnknownTrainer => answer(404, NotRun, None, "the table has no such trainer"),
            Kind::UnknownPool => answer(404, NotRun, None, "no such pool of targets"),
            Kind::KeyMismatch => answer(422, Unknown, None, "the key belongs to another request"),
            Kind::Conflict => answer(409, NotRun, None, "the row was changed meanwhile"),
            Kind::Overloaded => answer(429, NotRun, Some(1), "no room for more work"),
            Kind::Draining => answer(503, NotRun, Some(1), "the instance is stopping"),
            Kind::NoTarget => answer(503, NotRun, Some(1), "no usable target"),
            Kind::TargetRefused => answer(503, NotRun, Some(1), "the target refused it"),
            Kind::EndsTargets => answer(503, NotRun, Some(600), "targets that ran it have ended"),
            Kind::DeadlinePassed => answer(504, NotRun, Some(1), "the deadline passed first"),
            Kind::NoReplica => answer(503, NotRun, Some(2), "the claim could not be copied"),
            // Not "not run": another send of the key that came after the
            // refusal may be running.
            Kind::Superseded => answer(503, Unknown, Some(1), "an earlier refusal overtook it"),
            Kind::Unverified => answer(503, Unknown, Some(1), "the key's owner cannot act now"),
            Kind::OutcomeUnknown => answer(502, Unknown, Some(5), "no whole answer came back"),
            Kind::LogUnavailable => answer(503, Unknown, Some(5), "the platform's log is away"),
            Kind::StoreUnavailable => answer(503, NotRun, Some(1), "the platform's store is away"),
            Kind::StoreFull => answer(503, NotRun, Some(2), "the platform's store is full"),
            Kind::Internal => answer(500, Unknown, Some(5), "a fault of hollywell"),
        }
    }

    /// The kind's name in metrics, logs and answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Malformed => "malformed",
            Kind::TooLarge => "too_large",
            Kind::NoRoute => "no_route",
            Kind::UnknownCaller => "unknown_caller",
            Kind::UnknownTrainer => "unknown_trainer",
            Kind::UnknownPool => "unknown_pool",
            Kind::KeyMismatch => "key_mismatch",
            Kind::Conflict => "conflict",
            Kind::Overloaded => "overloaded",
            Kind::Draining => "draining",
            Kind::NoTarget => "no_target",
            Kind::TargetRefused => "target_refused",
            Kind::EndsTargets => "ends_targets",
            Kind::DeadlinePassed => "deadline_passed",
            Kind::NoReplica => "no_deputy",
            Kind::Superseded => "superseded",
            Kind::Unverified => "unverified",
            Kind::OutcomeUnknown => "outcome_unknown",
            Kind::LogUnavailable => "log_away",
            Kind::StoreUnavailable => "store_away",
            Kind::StoreFull => "store_full",
            Kind::Internal => "internal",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().text)
    }
}

impl std::error::Error for Kind {}

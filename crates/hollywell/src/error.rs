//! All error kinds, and the HTTP answers that they are mapped to.
//!
//! Every answer by hollywell itself, as opposed to a target's answer, has a
//! [`Kind`]. [`Kind::answer`] is the only place that maps a kind to a status, a
//! `Retry-After` header and a statement on whether the request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What hollywell knows about whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run, and neither did an earlier send of the same
    /// key.
    NotRun,
    /// The request may have run. It is safe to send it again with the same key.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Hollywell-Outcome` header.
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
    /// The request is malformed.
    Malformed,
    /// The body or the headers exceed the configured size.
    TooLarge,
    /// The body did not arrive in time.
    ReceiveTimeout,
    /// The instance has no memory for the request at present.
    NoMemory,
    /// The path or the method does not exist.
    NoRoute,
    /// The caller sent no key, or one that no organisation has.
    UnknownCaller,
    /// The table has no row for the trainer.
    UnknownTrainer,
    /// No target of that pool has ever been listed.
    UnknownPool,
    /// The key was used before with a different request.
    KeyMismatch,
    /// Another edit of the same row came first.
    Conflict,
    /// The instance has no capacity for more work.
    Overloaded,
    /// The instance is stopping.
    Draining,
    /// No target is usable at the moment.
    NoTarget,
    /// The target refused the connection or reported that it did not run the
    /// request.
    TargetRefused,
    /// Targets that ran the same request before have crashed.
    EndsTargets,
    /// The deadline passed before the request was dispatched.
    DeadlinePassed,
    /// The replica did not confirm its copy of the claim, so the request was
    /// not dispatched.
    #[serde(rename = "no_deputy")]
    NoReplica,
    /// The same key was refused before this send could be judged.
    Superseded,
    /// The key's owner could not be reached, or cannot act now.
    Unverified,
    /// The request was dispatched, but no complete answer was received.
    OutcomeUnknown,
    /// The platform's log cannot be reached.
    #[serde(rename = "log_away")]
    LogUnavailable,
    /// The platform's store did not accept a record that must be stored, or a
    /// required record could not be read from it.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// The platform's store has no capacity for what would have to be stored.
    StoreFull,
    /// An internal error of hollywell.
    Internal,
}

/// The HTTP answer to a request that was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status (RFC 9110, section 15).
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// When to retry, in seconds; `None` if a retry cannot succeed.
    pub retry_after_s: Option<u32>,
    /// Short description for people.
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
    pub const ALL: [Kind; 24] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::ReceiveTimeout,
        Kind::NoMemory,
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

    /// Returns the answer for this kind.
    ///
    /// Kinds with the outcome [`Outcome::NotRun`] may only be used where it is
    /// known that the request did not run. For a keyed request, only the key's
    /// owner knows that; all other instances must use [`Kind::Unverified`],
    /// because an earlier send of the same key may have run elsewhere.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::error::{Kind, Outcome};
    ///
    /// // A stopping instance that does not own the key must not use `Draining`.
    /// assert_eq!(Kind::Draining.answer().outcome, Outcome::NotRun);
    /// assert_eq!(Kind::Unverified.answer().outcome, Outcome::Unknown);
    /// ```
    #[must_use]
    pub const fn answer(self) -> Answer {
        use Outcome::{NotRun, Unknown};
        match self {
            Kind::Malformed => answer(400, NotRun, None, "the request is malformed"),
            Kind::TooLarge => answer(413, NotRun, None, "the request is too large"),
            Kind::ReceiveTimeout => answer(408, NotRun, Some(1), "the body did not arrive in time"),
            Kind::NoMemory => answer(503, NotRun, Some(1), "no memory for the request at present"),
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
            // The outcome is unknown, because a send of the key that arrived
            // after the refusal may be running.
            Kind::Superseded => answer(503, Unknown, Some(1), "an earlier refusal overtook it"),
            Kind::Unverified => answer(503, Unknown, Some(1), "the key's owner cannot act now"),
            Kind::OutcomeUnknown => answer(502, Unknown, Some(5), "no whole answer came back"),
            Kind::LogUnavailable => answer(503, Unknown, Some(5), "the platform's log is away"),
            Kind::StoreUnavailable => answer(503, NotRun, Some(1), "the platform's store is away"),
            Kind::StoreFull => answer(503, NotRun, Some(2), "the platform's store is full"),
            Kind::Internal => answer(500, Unknown, Some(5), "a fault of hollywell"),
        }
    }

    /// Returns the name used in metrics, logs and answers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Malformed => "malformed",
            Kind::TooLarge => "too_large",
            Kind::ReceiveTimeout => "receive_timeout",
            Kind::NoMemory => "no_memory",
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

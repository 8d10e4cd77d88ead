//! Decides whether a job is accepted, or rejected at once because it cannot be
//! complete in time.
//!
//! This answers callers that submit more than a pool can do: a job that will be
//! late whatever is done takes places from those that would not be. Its caller
//! learns it at once, before anything is stored, and when to come back.
//!
//! A job is rejected only if it would be late even if all goes well: if a pace
//! [`MAX_SPEEDUP`] times the one seen now would not be enough for what goes
//! before it ([`crate::core::share`]) and for the groups that its trainer waits
//! for. A doubt is for the job: it is accepted while the targets, their pace or
//! their load are not known, and while half of the places are free.
//!
//! Each instance decides by what it has folded from the store. Two that accept
//! jobs at the same moment do not see each other's, so that a little more may be
//! accepted than can be done; the order of samples takes care of that.
//!
//! Whether the store has room for a job is decided in
//! [`crate::core::capacity`].

use std::collections::BTreeSet;

use crate::core::time::Time;

/// Factor by which the pace may turn out better than it is now: the estimates of
/// single samples are often far off, those of a whole step by a tenth.
pub const MAX_SPEEDUP: f64 = 1.1;
/// Share of the places that must be taken for a job to be rejected. While as
/// many are free, a job can at least start, and a refusal would be a guess.
pub const MIN_TAKEN: f64 = 0.5;
/// Limits of the time after which a caller may come back, in milliseconds: a
/// place becomes free several times in the first, and the second is longer than
/// a job is due after.
const RETRY_AFTER_MS: (u64, u64) = (500, 10_000);

/// What a job asks for, or what is left of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work<'a> {
    /// The organisation that owns the job; empty if there are none.
    pub organisation: &'a str,
    /// Its class; 0 is the highest.
    pub priority: u8,
    /// When its results are due; `None` if that is not stated.
    pub due: Option<Time>,
    /// Samples without a result.
    pub samples: usize,
    /// Tokens left to generate of the groups that its trainer waits for.
    pub tokens: u64,
    /// Tokens left of the longest sample of these groups.
    pub longest: u32,
}

/// The places of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Supply {
    /// Places of the targets that hold the job's model.
    pub places: u32,
    /// Places that are taken, as far as it is seen.
    pub taken: f64,
    /// Time that one place takes for a token, in milliseconds; `None` before
    /// any was seen.
    pub token_ms: Option<f64>,
}

/// What to do with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Accept it.
    Accept,
    /// Reject it.
    Reject {
        /// When it would be complete, counted from now, in milliseconds.
        complete_ms: u64,
        /// When its caller may come back, counted from now, in milliseconds:
        /// when enough of the work before it will be done at the pace now.
        retry_after_ms: u64,
    },
}

/// Decides whether a job is accepted beside the work that was accepted before.
///
/// # Example
///
/// ```
/// use hollywell::core::{backlog::{Decision, Supply, Work, decide}, time::Time};
///
/// let work = |due, tokens| Work {
///     organisation: "", priority: 1, due: Some(Time(due)), samples: 100, tokens, longest: 1_000,
/// };
/// // Ten places make 10,000 tokens in a second.
/// let supply = Supply { places: 10, taken: 10.0, token_ms: Some(1.0) };
/// let accepted = [work(4_000, 60_000)];
/// let decision = decide(Time(0), &work(5_000, 30_000), &accepted, supply);
/// assert!(matches!(decision, Decision::Reject { complete_ms: 9_000, .. }));
/// // Work that is due later does not go before it.
/// let later = [work(8_000, 60_000)];
/// assert_eq!(decide(Time(0), &work(5_000, 30_000), &later, supply), Decision::Accept);
/// // Places are free: it can start at once.
/// let free = Supply { taken: 4.0, ..supply };
/// assert_eq!(decide(Time(0), &work(5_000, 30_000), &accepted, free), Decision::Accept);
/// ```
#[must_use]
pub fn decide(now: Time, job: &Work<'_>, accepted: &[Work<'_>], supply: Supply) -> Decision {
    let (Some(due), Some(token_ms)) = (job.due, usable(supply.token_ms)) else {
        return Decision::Accept;
    };
    let places = f64::from(supply.places);
    let samples: usize = accepted.iter().map(|work| work.samples).sum();
    // Load reports may include others' requests, and accepted work may wait
    // for a version of the weights: a place is taken if both say so.
    let taken = supply.taken.min(samples as f64);
    if supply.places == 0 || !supply.taken.is_finite() || taken <= places * MIN_TAKEN {
        return Decision::Accept;
    }
    let ahead_ms = ahead(job, accepted) as f64 * token_ms / places;
    let (own_ms, longest_ms) =
        (job.tokens as f64 * token_ms / places, f64::from(job.longest) * token_ms);
    let complete_ms = (ahead_ms + own_ms).max(longest_ms);
    let left_ms = due.since(now) as f64;
    // Work that is too long in itself would be rejected each time.
    let is_late = |ms: f64| ms / MAX_SPEEDUP > left_ms;
    if !is_late(complete_ms) || is_late(own_ms.max(longest_ms)) {
        return Decision::Accept;
    }
    let (least, most) = RETRY_AFTER_MS;
    let retry_after_ms = ((complete_ms - left_ms) as u64).clamp(least, most);
    Decision::Reject { complete_ms: complete_ms as u64, retry_after_ms }
}

/// A pace that something was seen to have.
fn usable(token_ms: Option<f64>) -> Option<f64> {
    token_ms.filter(|token_ms| token_ms.is_finite() && *token_ms > 0.0)
}

/// Tokens that are generated before a job is complete: those of higher classes,
/// and in its class those that are due earlier, of its own organisation, and of
/// the others as far as their shares go.
fn ahead(job: &Work<'_>, accepted: &[Work<'_>]) -> u64 {
    let higher = accepted.iter().filter(|work| work.priority < job.priority);
    let equal = || accepted.iter().filter(|work| work.priority == job.priority);
    let is_earlier =
        |work: &&Work<'_>| work.due.is_some_and(|due| job.due.is_none_or(|own_due| due <= own_due));
    let tokens =
        |works: &mut dyn Iterator<Item = &Work<'_>>| -> u64 { works.map(|work| work.tokens).sum() };
    let own =
        tokens(&mut equal().filter(|w| w.organisation == job.organisation).filter(is_earlier));
    let others: BTreeSet<&str> = equal()
        .map(|work| work.organisation)
        .filter(|organisation| *organisation != job.organisation)
        .collect();
    let share = own + job.tokens;
    let of = |name: &str| tokens(&mut equal().filter(|work| work.organisation == name)).min(share);
    tokens(&mut higher.into_iter()) + own + others.into_iter().map(of).sum::<u64>()
}

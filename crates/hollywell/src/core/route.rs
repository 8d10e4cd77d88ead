//! Load balancing: which target gets a request.
//!
//! Load reports lag, and several instances choose by the same reports. If all
//! of them chose the least loaded target, they would overload it together.
//! Therefore two candidates are drawn at random and the less loaded one is
//! chosen (Mitzenmacher, "The power of two choices in randomized load
//! balancing", 2001); the instance's own requests in flight are added to the
//! reported load.

use rand::{Rng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::core::pace::Pacing;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// Round robin, regardless of load: the baseline of measurements.
    RoundRobin,
    /// The less loaded of two drawn at random.
    TwoChoices,
}

/// How samples are placed and repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// How an engine is chosen.
    pub choice: Choice,
    /// Fixed limit of one instance's samples in flight at an engine. If `None`,
    /// the limit follows from the engine's slots and the reserve.
    pub fixed_samples: Option<u32>,
    /// Maximum share of a step's samples that may get a hedged attempt as
    /// stragglers, in percent.
    pub hedge_percent: u32,
    /// True if samples of a group go to the same engine unless it is much more
    /// loaded than the others.
    pub affinity: bool,
    /// How weight fetches are limited to the store's rate.
    pub pace: Pacing,
}

impl Policy {
    /// Returns the baseline of measurements: round robin, a fixed number of
    /// samples at each engine, no hedging.
    #[must_use]
    pub const fn baseline() -> Policy {
        Policy {
            choice: Choice::RoundRobin,
            fixed_samples: Some(4),
            hedge_percent: 0,
            affinity: false,
            pace: Pacing::Unpaced,
        }
    }

    /// Chooses among candidates; `count` is the choices made so far.
    #[must_use]
    pub fn choose<'a>(
        self,
        candidates: &[Candidate<'a>],
        count: u64,
        rng: &mut SmallRng,
    ) -> Option<&'a str> {
        match self.choice {
            Choice::RoundRobin => choose_round_robin(candidates, count),
            Choice::TwoChoices => choose(candidates, rng),
        }
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            choice: Choice::TwoChoices,
            fixed_samples: None,
            hedge_percent: 10,
            affinity: true,
            pace: Pacing::Gcra,
        }
    }
}

/// A target that could take the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// The target's name.
    pub name: &'a str,
    /// Its load; comparable among candidates of one choice.
    pub load: f64,
    /// True if it is in the local failure domain.
    pub is_local: bool,
}

/// Chooses the less loaded of two candidates that are drawn at random. If there
/// are candidates in the local failure domain, only those are considered.
///
/// # Example
///
/// ```
/// use hollywell::core::route::{Candidate, choose};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let local = Candidate { name: "local", load: 0.9, is_local: true };
/// let remote = Candidate { name: "remote", load: 0.1, is_local: false };
/// let mut rng = SmallRng::seed_from_u64(1);
/// // A loaded local target is preferred to an idle remote one.
/// assert_eq!(choose(&[remote, local], &mut rng), Some("local"));
/// ```
#[must_use]
pub fn choose<'a>(candidates: &[Candidate<'a>], rng: &mut SmallRng) -> Option<&'a str> {
    let local: Vec<&Candidate<'a>> = candidates.iter().filter(|c| c.is_local).collect();
    let all: Vec<&Candidate<'a>> = candidates.iter().collect();
    let drawn = if local.is_empty() { all } else { local };
    match drawn.as_slice() {
        [] => None,
        [only] => Some(only.name),
        many => {
            let first = rng.random_range(0..many.len());
            let step = rng.random_range(1..many.len());
            let (a, b) = (many[first], many[(first + step) % many.len()]);
            Some(if b.load < a.load { b.name } else { a.name })
        }
    }
}

/// Maximum load of a preferred candidate, relative to the candidates' average.
const LOAD_BOUND: f64 = 2.0;

/// Returns the preferred candidate if it exists and its load is within a bound
/// of the average (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
/// Bounded Loads", 2018).
///
/// # Example
///
/// ```
/// use hollywell::core::route::{Candidate, within_bound};
///
/// let loaded = |name, load| Candidate { name, load, is_local: true };
/// let engines = [loaded("a", 0.5), loaded("b", 0.5), loaded("c", 5.0)];
/// assert_eq!(within_bound(&engines, "a"), Some("a"));
/// // The cached prompt is not worth the wait.
/// assert_eq!(within_bound(&engines, "c"), None);
/// ```
#[must_use]
pub fn within_bound<'a>(candidates: &[Candidate<'a>], preferred: &str) -> Option<&'a str> {
    let sum: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let average = sum / candidates.len().max(1) as f64;
    let chosen = candidates.iter().find(|candidate| candidate.name == preferred)?;
    (chosen.load <= average * LOAD_BOUND).then_some(chosen.name)
}

/// Chooses the candidates in rotation; `count` is the number of choices made
/// so far.
fn choose_round_robin<'a>(candidates: &[Candidate<'a>], count: u64) -> Option<&'a str> {
    let len = u64::try_from(candidates.len()).ok().filter(|len| *len > 0)?;
    let index = usize::try_from(count % len).ok()?;
    candidates.get(index).map(|candidate| candidate.name)
}

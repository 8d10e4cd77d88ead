//! Whether a target's memory takes one more sample.
//!
//! A target's memory holds the prompts of the requests that it runs, a part
//! that several of them share once, and what each has generated so far. When
//! it runs out the target preempts a request, whose caller sees its stream
//! pause while all of it is read in again. At the start of a burst every prompt
//! fits; the memory runs out seconds later, when the texts have grown. So a
//! start is weighed against the fullest moment to come: all runs grow at about
//! the same pace, short ones end on the way, and a few grow far beyond their
//! estimate. The distribution of lengths comes from the runs that have ended.
//! The runs of other instances are known by their number only, and count as
//! typical ones.
//!
//! A sample that has no room anywhere waits in its instance, where it can still
//! go to whichever target has room first.
//!
//! Besides, this module keeps what else makes a target refuse: the loading of
//! weights, and queues that many instances fill at once ([`share`]).

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::core::{dispatch::Run, time::Time};

/// How long a load of weights is expected to last at most, in milliseconds. It
/// begins once the runs in progress have ended.
const MAX_LOAD_MS: u64 = 4_000;
/// Buckets of the ratio between a text's length and its estimate; each is
/// larger than the one before by a factor of the square root of two.
const RATIOS: usize = 14;
/// The bucket of texts that are as long as estimated.
const EXACT: usize = 6;
/// Counts before any run has ended: estimates are right at the median, and
/// texts are more often far longer than far shorter.
const PRIOR: [f64; RATIOS] = [1.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 6.0, 4.0, 3.0, 2.0, 1.0, 1.0, 1.0];
/// Factor by which all counts shrink with each text, so that the last few
/// hundred decide.
const FADE: f64 = 0.995;
/// Length of a text, as a share of what it already has, once it is longer than
/// any expected.
const OVERLONG: f64 = 1.5;
/// Growth per run at which the fill of a target is computed, in tokens.
const GROWTH: [f64; 9] = [0.0, 64.0, 128.0, 256.0, 512.0, 1_024.0, 2_048.0, 4_096.0, 8_192.0];

/// The tokens of one sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// Part of the prompt that the whole group shares.
    pub shared: u32,
    /// The rest of the prompt.
    pub own: u32,
    /// Generated so far.
    pub generated: u32,
    /// Estimated length of the whole text.
    pub estimate: u32,
    /// Limit on that length; 0 if there is none.
    pub limit: u32,
}

impl Tokens {
    /// Whether no target with so much memory can run the sample.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::room::Tokens;
    ///
    /// let tokens = Tokens { shared: 1_000, own: 16, limit: 500, ..Tokens::default() };
    /// assert!(!tokens.exceed(1_516));
    /// assert!(tokens.exceed(1_515));
    /// ```
    #[must_use]
    pub fn exceed(&self, memory: u64) -> bool {
        u64::from(self.shared) + u64::from(self.own) + u64::from(self.limit) > memory
    }
}

/// The lengths of texts, relative to their estimates.
#[derive(Clone, Debug)]
struct Lengths {
    counts: [f64; RATIOS],
}

impl Default for Lengths {
    fn default() -> Lengths {
        Lengths { counts: PRIOR }
    }
}

impl Lengths {
    fn ratio(bucket: usize) -> f64 {
        2.0_f64.powf((bucket as f64 - EXACT as f64) / 2.0)
    }

    fn record(&mut self, estimate: u32, length: u32) {
        if estimate == 0 || length == 0 {
            return;
        }
        let steps = 2.0 * (f64::from(length) / f64::from(estimate)).log2() + EXACT as f64;
        let bucket = steps.round().clamp(0.0, (RATIOS - 1) as f64) as usize;
        self.counts.iter_mut().for_each(|count| *count *= FADE);
        self.counts[bucket] += 1.0;
    }

    /// Adds what one run is expected to hold at each step of [`GROWTH`],
    /// without the shared part of its prompt.
    fn add(&self, tokens: &Tokens, fill: &mut [f64; GROWTH.len()]) {
        let generated = f64::from(tokens.generated);
        let limit = if tokens.limit == 0 { f64::INFINITY } else { f64::from(tokens.limit) };
        let length =
            |bucket: usize| (f64::from(tokens.estimate) * Lengths::ratio(bucket)).min(limit);
        let held = f64::from(tokens.own) + generated;
        let possible = || (0..RATIOS).filter(|bucket| length(*bucket) > generated);
        let all: f64 = possible().map(|bucket| self.counts[bucket]).sum();
        let mut runs: Vec<(f64, f64)> = possible()
            .map(|bucket| (length(bucket) - generated, self.counts[bucket] / all))
            .collect();
        if runs.is_empty() {
            runs.push(((generated * (OVERLONG - 1.0)).min((limit - generated).max(0.0)), 1.0));
        }
        for (growth, fill) in GROWTH.iter().zip(fill) {
            // Within the last doubling a text counts with its whole length.
            let alive = runs.iter().filter(|(left, _)| *growth <= left * 2.0);
            *fill += alive.map(|(left, share)| share * (held + growth.min(*left))).sum::<f64>();
        }
    }
}

/// What one run holds of a target's memory.
#[derive(Clone, Debug)]
struct Holding {
    group: String,
    tokens: Tokens,
}

/// What a typical run holds, by the sizes of the samples that are open.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Typical {
    mean: f64,
}

impl Typical {
    /// Computes it from the samples' sizes. A run is seen halfway on average,
    /// and long ones are seen for longer.
    #[must_use]
    pub fn of(samples: impl Iterator<Item = Tokens>) -> Typical {
        // Weighted by the length, as that is the time for which it is seen.
        let (mut weights, mut sum) = (0.0, 0.0);
        for tokens in samples {
            let weight = f64::from(tokens.estimate.max(1));
            let held = f64::from(tokens.shared) + f64::from(tokens.own);
            let held = held + f64::from(tokens.estimate) / 2.0;
            weights += weight;
            sum += weight * held;
        }
        if weights <= 0.0 {
            return Typical::default();
        }
        Typical { mean: sum / weights }
    }
}

/// Whom else a target runs, and how much it holds in all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Memory in tokens.
    pub memory: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Estimated number of requests of other instances there.
    pub others: f64,
    /// What a typical one of them holds.
    pub typical: Typical,
}

/// An order to load weights that a target is carrying out.
#[derive(Clone, Debug)]
struct Loading {
    model: String,
    version: u64,
    start_ms: Option<u64>,
    until: Time,
}

/// What this instance's runs hold at each target, and which targets load.
///
/// # Example
///
/// ```
/// use hollywell::core::{dispatch::Run, room::{Ledger, Place, Tokens, Typical}};
///
/// let place = Place { memory: 3_000, slots: 8, others: 0.0, typical: Typical::default() };
/// let tokens = Tokens { shared: 1_000, own: 16, estimate: 400, limit: 800, generated: 0 };
/// let mut ledger = Ledger::default();
/// ledger.started(Run(1), "a", "group", tokens);
/// ledger.started(Run(2), "a", "group", tokens);
/// // A third of the same group shares the prompt. One of another group brings
/// // its own, which fits now, but not once the texts have grown.
/// assert!(ledger.fits("a", "group", tokens, place));
/// assert!(!ledger.fits("a", "other", tokens, place));
/// ledger.ended(Run(1), "a", false);
/// assert!(ledger.fits("a", "other", tokens, place));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    held: HashMap<String, BTreeMap<Run, Holding>>,
    lengths: Lengths,
    loading: HashMap<String, Loading>,
}

impl Ledger {
    /// Records that a run was sent to a target.
    pub fn started(&mut self, run: Run, target: &str, group: &str, tokens: Tokens) {
        let holding = Holding { group: group.to_owned(), tokens };
        self.held.entry(target.to_owned()).or_default().insert(run, holding);
    }

    /// Records what a run has generated since it started.
    pub fn grew(&mut self, run: Run, target: &str, by: u32) {
        let holding = self.held.get_mut(target).and_then(|runs| runs.get_mut(&run));
        if let Some(Holding { tokens, .. }) = holding {
            tokens.generated = tokens.generated.saturating_add(by);
        }
    }

    /// Records that a run has left a target, and whether its text is complete.
    pub fn ended(&mut self, run: Run, target: &str, complete: bool) {
        let Some(runs) = self.held.get_mut(target) else {
            return;
        };
        let holding = runs.remove(&run);
        if runs.is_empty() {
            self.held.remove(target);
        }
        if let Some(Holding { tokens, .. }) = holding.filter(|_| complete) {
            self.lengths.record(tokens.estimate, tokens.generated);
        }
    }

    /// Tokens that a target's memory is expected to hold at the fullest moment
    /// to come, with one more sample if one is given.
    fn peak(&self, target: &str, more: Option<(&str, Tokens)>, place: Place) -> f64 {
        let mut fill = [0.0; GROWTH.len()];
        let mut groups: BTreeMap<&str, u32> = BTreeMap::new();
        let own = self.held.get(target).into_iter().flat_map(BTreeMap::values);
        let own = own.map(|holding| (holding.group.as_str(), holding.tokens));
        let mut runs = 0.0;
        for (group, tokens) in own.chain(more) {
            self.lengths.add(&tokens, &mut fill);
            let shared = groups.entry(group).or_default();
            *shared = (*shared).max(tokens.shared);
            runs += 1.0;
        }
        let shared: f64 = groups.values().map(|shared| f64::from(*shared)).sum();
        // What waits for a slot holds nothing.
        let others = place.others.max(0.0).min((f64::from(place.slots) - runs).max(0.0));
        fill.into_iter().fold(0.0, f64::max) + shared + others * place.typical.mean
    }

    /// Whether one more sample fits into a target's memory until it ends. A
    /// target that runs nothing else takes whatever its memory holds.
    #[must_use]
    pub fn fits(&self, target: &str, group: &str, tokens: Tokens, place: Place) -> bool {
        let is_alone = place.others < 1.0 && !self.held.contains_key(target);
        is_alone || self.peak(target, Some((group, tokens)), place) <= place.memory as f64
    }

    /// Tokens of a target's memory that are expected to stay free.
    #[must_use]
    pub fn free(&self, target: &str, place: Place) -> u64 {
        (place.memory as f64 - self.peak(target, None, place)).max(0.0) as u64
    }

    /// Records that a target carries out an order to load a version: it refuses
    /// the model's requests until then.
    pub fn load_ordered(
        &mut self,
        now: Time,
        target: &str,
        start_ms: Option<u64>,
        (model, version): (&str, u64),
    ) {
        self.loading.retain(|_, loading| now < loading.until);
        let until = now.after(MAX_LOAD_MS);
        let loading = Loading { model: model.to_owned(), version, start_ms, until };
        self.loading.insert(target.to_owned(), loading);
    }

    /// Whether a target that was started at `start_ms` and holds the version
    /// `held` of a model is loading a newer one.
    #[must_use]
    pub fn is_loading(
        &self,
        now: Time,
        target: &str,
        start_ms: Option<u64>,
        (model, held): (&str, Option<u64>),
    ) -> bool {
        self.loading.get(target).is_some_and(|loading| {
            now < loading.until
                && loading.start_ms == start_ms
                && loading.model == model
                && held < Some(loading.version)
        })
    }
}

/// How many runs an instance may have at a target, given its open samples per
/// target and the open samples of all instances for each place there. Each
/// instance knows all jobs, so that together they take about as many places as
/// there are.
///
/// # Example
///
/// ```
/// use hollywell::core::room::share;
///
/// // Three samples for each place: a third of them has one.
/// assert_eq!(share(1.5, 3.0), 0.5);
/// // More places than samples.
/// assert_eq!(share(1.5, 0.5), 3.0);
/// ```
#[must_use]
pub fn share(own: f64, per_place: f64) -> f64 {
    if per_place > 0.0 { own / per_place } else { f64::INFINITY }
}

/// Rounds an instance's share of a target's places up or down, up at as many
/// targets and instances as the fraction says. Rounded up everywhere, the
/// shares of seventy instances would fill a target several times over.
///
/// # Example
///
/// ```
/// use hollywell::core::room::draw;
///
/// let places: usize = (0..1_000).map(|instance| draw(0.16, "target", instance)).sum();
/// assert!((130..190).contains(&places), "{places}");
/// assert_eq!(draw(2.0, "target", 1), 2);
/// ```
#[must_use]
pub fn draw(share: f64, target: &str, seed: u64) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), seed);
    let fraction = hash as f64 / u64::MAX as f64;
    (share.floor() as usize).saturating_add(usize::from(fraction < share.fract()))
}

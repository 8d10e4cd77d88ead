//! Detects poison requests: requests that end the targets which run them and
//! are sent again and again.
//!
//! A caller that got no answer sends the request again, under another id and to
//! another instance. What stays the same is the caller and the request's
//! content; a [`Digest`] of both identifies the request across retries. All
//! instances fold the same records of which request was at a target when that
//! target ended, so that each of them knows what one has observed.
//!
//! This guards against callers, above all of scoring requests, that repeatedly
//! send dozens of poison requests among many innocent ones. Samples of batch
//! jobs are exempt: they are owed once accepted, and a wrong verdict would end
//! their step. Their scoring requests are owed too, but end the same targets as
//! callers' requests: one that seems to be to blame is sent again once no target
//! has ended for a while, and later after each further end.
//!
//! When a target ends, every request that ran there is interrupted, and usually
//! only one of them is to blame. A single end does not tell which. The rules
//! are:
//!
//! A request that is answered later is innocent and is forgotten at once. A
//! request is to blame if it was at several ends at which no other suspect was.
//! It is also to blame if it was at as many ends and alone at one of them: from
//! its first end on a suspect is run as an isolated probe, one at a time over
//! all instances, at a target that gets no other requests meanwhile. Any other
//! request that was at as many ends has to wait, longer with each end. This
//! wait does not depend on what becomes of other requests, so that poison
//! requests that always arrive together cannot exonerate each other.
//!
//! Times are Unix times in milliseconds: a record outlives the instances that
//! wrote it, and is minutes old before its age matters.
//!
//! How an end is distinguished from a broken connection, and how records are
//! distributed, is in [`crate::entry::suspects`].

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, str,
};

use prost::Message as _;
use sha2::{Digest as _, Sha256};

pub use crate::core::malformed::Malformed;

/// Length of a digest in bytes: enough that no caller can forge the digest of
/// another caller's request.
const DIGEST_BYTES: usize = 16;

/// Identifies a request and its retries.
///
/// # Example
///
/// ```
/// use hollywell::core::poison::Digest;
///
/// let digest = Digest::of(&["h.example", "/plain/x"], b"body");
/// assert_eq!(digest, Digest::of(&["h.example", "/plain/x"], b"body"));
/// // The boundaries between the parts count.
/// assert_ne!(digest, Digest::of(&["h.example/", "plain/x"], b"body"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of parts that say what is requested and by whom, and of the
    /// body.
    #[must_use]
    pub fn of(parts: &[&str], body: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        for part in parts.iter().map(|part| part.as_bytes()).chain([body]) {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Digest(digest)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// Parses the format that [`Digest`] is displayed in.
impl str::FromStr for Digest {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Digest, Malformed> {
        let malformed = || Malformed(format!("{text:?} is no digest of {DIGEST_BYTES} bytes"));
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(malformed());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (at, byte) in digest.iter_mut().enumerate() {
            let pair = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| malformed())?;
        }
        Ok(Digest(digest))
    }
}

/// Number of ends of targets from which on a request to blame is held. Targets
/// end for reasons of their own, now and then two while one request is retried.
pub const TARGET_END_LIMIT: u32 = 3;
/// Number of ends from which on a request that may or may not be to blame waits
/// before it is run again: where several poison requests arrive together all
/// the time, none stands out, and each end would lead to the next.
const DOUBT_THRESHOLD: u32 = TARGET_END_LIMIT + 1;
/// Duration of that wait in milliseconds, by the number of ends since
/// [`DOUBT_THRESHOLD`]; the last entry applies to all further ends. It is short
/// at first, so that a request that was there by chance is served soon. Spread
/// out like this, a request rarely coincides with another suspect, and is
/// either served or stands out. After three more attempts it has to be treated
/// as if it were to blame.
const DOUBT_MS: [u64; 4] = [2_000, 8_000, 120_000, 600_000];
/// How long a request is held after the last target that it ended, in
/// milliseconds: the software of the targets may be fixed by then. Twice as
/// long for each further target, so that a request whose fault is never fixed
/// costs a few targets a day.
const HOLD_MS: u64 = 600_000;
/// Maximum number of doublings of [`HOLD_MS`], which gives up to a day and a
/// half.
const MAX_HOLD_DOUBLINGS: u32 = 8;
/// How long a request that is not held is suspected, in milliseconds: callers
/// retry within seconds.
const SUSPECT_MS: u64 = 600_000;
/// Time after which a second end reported for the same incarnation of a target
/// must be that of a later one, in milliseconds: requests that were interrupted
/// by the same end report it well within that time.
const SAME_END_MS: u64 = 500;
/// How long after an end a target is kept free for probes, in milliseconds:
/// callers retry within seconds.
const PROBE_WINDOW_MS: u64 = 5_000;
/// Time without an end of any target after which an owed request that seems to
/// be to blame is sent again, in milliseconds. Other suspects are decided by then.
const CALM_MS: u64 = 5_000;
/// Maximum number of requests that are remembered; those with the fewest ends
/// are evicted first. A target that ends adds a few dozen.
const MAX_CASES: usize = 4_096;
/// Maximum number of incarnations of targets that are remembered per request;
/// enough to distinguish it from others.
const MAX_INCARNATIONS: usize = 16;

/// The record of a request in the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct StoredCase {
    /// Incarnations of targets that ended while the request was there.
    #[prost(string, repeated, tag = "1")]
    incarnations: Vec<String>,
    /// Number of ends.
    #[prost(uint32, tag = "2")]
    ends: u32,
    /// Unix time of the last end, in milliseconds.
    #[prost(uint64, tag = "3")]
    last_ms: u64,
    /// Those of the incarnations at which no other request ran meanwhile.
    #[prost(string, repeated, tag = "4")]
    isolated: Vec<String>,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Case {
    incarnations: BTreeSet<String>,
    /// Those of them at which it was alone, as far as its sender knows.
    isolated: BTreeSet<String>,
    ends: u32,
    last_ms: u64,
}

impl Case {
    /// The incarnation of a target that has ended; `incarnation` is the one
    /// that the sender assumes. If that one has ended before, the target has
    /// restarted since and its new entry was not read yet.
    fn ended_incarnation(&self, now_ms: u64, incarnation: &str) -> String {
        if now_ms.saturating_sub(self.last_ms) < SAME_END_MS
            || !self.incarnations.contains(incarnation)
        {
            return incarnation.to_owned();
        }
        let again = self.incarnations.iter().filter(|known| known.starts_with(incarnation)).count();
        format!("{incarnation}+{again}")
    }

    /// Adds the end of a target. Returns whether it was not known before.
    fn add(&mut self, at_ms: u64, incarnation: &str) -> bool {
        if self.incarnations.contains(incarnation) {
            return false;
        }
        self.ends += 1;
        self.last_ms = self.last_ms.max(at_ms);
        self.remember(incarnation);
        true
    }

    /// Merges the record of another instance. An end that both know counts
    /// once; ends beyond [`MAX_INCARNATIONS`] are only counted.
    fn merge(&mut self, stored: &StoredCase, last_ms: u64) {
        stored.incarnations.iter().for_each(|incarnation| self.remember(incarnation));
        let is_known = |incarnation: &&String| self.incarnations.contains(*incarnation);
        self.isolated.extend(stored.isolated.iter().filter(is_known).cloned());
        let incarnations = u32::try_from(self.incarnations.len()).unwrap_or(u32::MAX);
        self.ends = self.ends.max(stored.ends).max(incarnations);
        self.last_ms = self.last_ms.max(last_ms);
    }

    /// Whether the request was at all of these incarnations.
    fn covers(&self, incarnations: &BTreeSet<String>) -> bool {
        incarnations.is_subset(&self.incarnations)
    }

    fn remember(&mut self, incarnation: &str) {
        if self.incarnations.len() < MAX_INCARNATIONS {
            self.incarnations.insert(incarnation.to_owned());
        }
    }

    fn hold_ms(&self) -> u64 {
        HOLD_MS << self.ends.saturating_sub(TARGET_END_LIMIT).min(MAX_HOLD_DOUBLINGS)
    }

    /// How long the request waits if it may or may not be to blame;
    /// `stands_out` if no other request that was there was at as many ends.
    fn doubt_ms(&self, stands_out: bool) -> u64 {
        let ends = self.ends + u32::from(stands_out);
        match ends.checked_sub(DOUBT_THRESHOLD) {
            None => 0,
            Some(more) => DOUBT_MS[(more as usize).min(DOUBT_MS.len() - 1)],
        }
    }

    /// Whether the case has expired. A request that was held stays known for as
    /// long again, so that one more end is enough to hold it.
    fn is_expired(&self, now_ms: u64) -> bool {
        let keep_ms = if self.ends < TARGET_END_LIMIT { SUSPECT_MS } else { 2 * self.hold_ms() };
        now_ms.saturating_sub(self.last_ms) >= keep_ms
    }
}

/// How to treat a request. The variant names are written to logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not suspected.
    Free,
    /// The request was at a target that ended, and has not been answered since.
    Suspect,
    /// The request must not be sent to any target for so many milliseconds.
    Held(u64),
}

/// How to treat a suspect that is held for `hold_ms` from `since_ms` on.
fn hold(now_ms: u64, since_ms: u64, hold_ms: u64) -> Verdict {
    match since_ms.saturating_add(hold_ms).saturating_sub(now_ms) {
        0 => Verdict::Suspect,
        left_ms => Verdict::Held(left_ms),
    }
}

/// How long a suspect waits for a second usable target, in milliseconds: most
/// targets that ended are back by then. If no other appears, the suspect is
/// sent to the last one.
pub const LAST_TARGET_WAIT_MS: u64 = 5_000;

/// How long a suspect waits after an end before it is probed, in milliseconds:
/// requests that ran at the target that is kept free for the probe are answered
/// by then.
pub const PROBE_DELAY_MS: u64 = 300;

/// The target for probing suspects, of the usable targets of their pool: the
/// same one for all instances and all suspects, so that suspects are only run
/// beside each other and the other targets go on serving. `None` while it would
/// be the only usable target.
///
/// # Example
///
/// ```
/// use hollywell::core::poison::{LAST_TARGET_WAIT_MS, probe_target};
///
/// assert_eq!(probe_target(&["a", "b", "c"], 0), probe_target(&["c", "b", "a"], 0));
/// assert_eq!(probe_target(&["a"], 0), None);
/// // No other target has appeared.
/// assert_eq!(probe_target(&["a"], LAST_TARGET_WAIT_MS), Some("a"));
/// ```
#[must_use]
pub fn probe_target<'a>(usable: &[&'a str], since_end_ms: u64) -> Option<&'a str> {
    if usable.len() < 2 && since_end_ms < LAST_TARGET_WAIT_MS {
        return None;
    }
    usable.iter().copied().min_by_key(|id| xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
}

/// All suspected requests.
///
/// # Example
///
/// ```
/// use hollywell::core::poison::{Digest, State, Verdict};
///
/// let (culprit, other) = (Digest::of(&["/a"], b""), Digest::of(&["/b"], b""));
/// let mut state = State::default();
/// for life in ["x/1", "y/1", "x/2"] {
///     state.record_target_end(1_000, culprit, life);
///     state.record_target_end(1_000, other, life);
/// }
/// // Either may be to blame, until one of them is answered.
/// assert_eq!(state.verdict(1_000, culprit), Verdict::Suspect);
/// state.record_answer(other);
/// assert!(matches!(state.verdict(1_000, culprit), Verdict::Held(_)));
/// assert_eq!(state.verdict(1_000, other), Verdict::Free);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    cases: BTreeMap<Digest, Case>,
}

impl State {
    /// Whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Number of suspected requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Decides how to treat a request.
    #[must_use]
    pub fn verdict(&self, now_ms: u64, digest: Digest) -> Verdict {
        let Some(case) = self.cases.get(&digest).filter(|case| !case.is_expired(now_ms)) else {
            return Verdict::Free;
        };
        hold(now_ms, case.last_ms, self.hold_ms(digest, case))
    }

    /// Decides how to treat a request that is owed to its sample. Nobody else
    /// retries it, so it is not held for good as one that is to blame: it waits
    /// as long as one that may or may not be, and until no target has ended for
    /// a while, so that it does not delay finding out which others are.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::poison::{Digest, State, Verdict};
    ///
    /// let (digest, mut state) = (Digest::of(&["/score"], b""), State::default());
    /// for life in ["x/1", "y/1", "z/1"] {
    ///     state.record_target_end(1_000, digest, life);
    /// }
    /// assert_eq!(state.verdict(1_000, digest), Verdict::Held(600_000));
    /// assert_eq!(state.verdict_of_owed(1_000, digest), Verdict::Held(5_000));
    /// // Another request was at a target that ended.
    /// state.record_target_end(3_000, Digest::of(&["/other"], b""), "x/2");
    /// assert_eq!(state.verdict_of_owed(3_000, digest), Verdict::Held(5_000));
    /// ```
    #[must_use]
    pub fn verdict_of_owed(&self, now_ms: u64, digest: Digest) -> Verdict {
        let Some(case) = self.cases.get(&digest).filter(|case| !case.is_expired(now_ms)) else {
            return Verdict::Free;
        };
        let (hold_ms, doubt_ms) = (self.hold_ms(digest, case), case.doubt_ms(true));
        if hold_ms <= doubt_ms {
            return hold(now_ms, case.last_ms, hold_ms);
        }
        let last_end_ms = self.cases.values().map(|case| case.last_ms).max().unwrap_or(0);
        let until_ms = (case.last_ms + doubt_ms).max(last_end_ms + CALM_MS);
        hold(now_ms, until_ms, 0)
    }

    /// How long a request is held or waits after its last end.
    fn hold_ms(&self, digest: Digest, case: &Case) -> u64 {
        let unshared = self.unexplained(digest, case, |_| true);
        if unshared >= TARGET_END_LIMIT || self.was_isolated(digest, case) {
            return case.hold_ms();
        }
        let stands_out =
            self.unexplained(digest, case, |other| other.ends >= case.ends) >= TARGET_END_LIMIT;
        case.doubt_ms(stands_out)
    }

    /// Whether a request that was at enough ends ran as an isolated probe at
    /// one of them. Other requests that were there too do not exonerate it, as
    /// they cannot be kept away from the last usable target of a pool; only one
    /// that was at every one of its ends may be to blame in its place.
    fn was_isolated(&self, digest: Digest, case: &Case) -> bool {
        let is_at_all =
            |(id, other): (&Digest, &Case)| *id != digest && other.covers(&case.incarnations);
        let is_probed = case.ends >= TARGET_END_LIMIT && !case.isolated.is_empty();
        is_probed && !self.cases.iter().any(is_at_all)
    }

    /// Number of targets that ended under a request while none of the other
    /// requests selected by `explains` was there. An innocent request that was
    /// there is answered sooner or later and then no longer counts.
    fn unexplained(&self, digest: Digest, case: &Case, explains: impl Fn(&Case) -> bool) -> u32 {
        if case.ends < TARGET_END_LIMIT {
            return 0;
        }
        let others = self.cases.iter().filter(|(id, other)| {
            **id != digest && !other.incarnations.is_disjoint(&case.incarnations) && explains(other)
        });
        let others: Vec<&Case> = others.map(|(_, other)| other).collect();
        let is_own = |incarnation: &&String| {
            !others.iter().any(|other| other.incarnations.contains(*incarnation))
        };
        u32::try_from(case.incarnations.iter().filter(is_own).count()).unwrap_or(u32::MAX)
    }

    /// Time since a target last ended under a request, in milliseconds.
    #[must_use]
    pub fn since_end_ms(&self, now_ms: u64, digest: Digest) -> Option<u64> {
        Some(now_ms.saturating_sub(self.cases.get(&digest)?.last_ms))
    }

    /// Records that a request was at a target when that incarnation of it
    /// ended. Returns whether that was not known.
    pub fn record_target_end(&mut self, now_ms: u64, digest: Digest, incarnation: &str) -> bool {
        self.note_end(now_ms, digest, incarnation, false)
    }

    /// The same for a request that ran there as an isolated probe: other
    /// requests to the pool were kept away from that target.
    pub fn record_isolated_end(&mut self, now_ms: u64, digest: Digest, incarnation: &str) -> bool {
        self.note_end(now_ms, digest, incarnation, true)
    }

    fn note_end(
        &mut self,
        now_ms: u64,
        digest: Digest,
        incarnation: &str,
        is_isolated: bool,
    ) -> bool {
        let case = self.cases.entry(digest).or_default();
        let incarnation = case.ended_incarnation(now_ms, incarnation);
        let is_new = case.add(now_ms, &incarnation);
        if is_isolated && case.incarnations.contains(&incarnation) {
            case.isolated.insert(incarnation);
        }
        self.bound();
        is_new
    }

    /// Whether a suspect may be probed soon, so that a target has to be kept
    /// free for it.
    #[must_use]
    pub fn has_pending_probe(&self, now_ms: u64) -> bool {
        self.cases.values().any(|case| now_ms.saturating_sub(case.last_ms) < PROBE_WINDOW_MS)
    }

    /// Records that a target has answered a request or continues to generate
    /// it, which clears the request. Returns whether it was suspected.
    pub fn record_answer(&mut self, digest: Digest) -> bool {
        self.cases.remove(&digest).is_some()
    }

    /// The record of a request to store; `None` if the request is not
    /// suspected.
    #[must_use]
    pub fn record(&self, digest: Digest) -> Option<Vec<u8>> {
        let case = self.cases.get(&digest)?;
        let (incarnations, isolated) = (&case.incarnations, &case.isolated);
        let stored = StoredCase {
            incarnations: incarnations.iter().cloned().collect(),
            ends: case.ends,
            last_ms: case.last_ms,
            isolated: isolated.iter().cloned().collect(),
        };
        Some(stored.encode_to_vec())
    }

    /// Merges the stored record of a request. Records may arrive in any order
    /// and more than once.
    ///
    /// # Errors
    ///
    /// If the record cannot be decoded; the state is then unchanged.
    pub fn read(&mut self, now_ms: u64, digest: Digest, record: &[u8]) -> Result<(), Malformed> {
        let stored = StoredCase::decode(record).map_err(|error| Malformed(error.to_string()))?;
        if stored.incarnations.is_empty() || stored.incarnations.len() > MAX_INCARNATIONS {
            return Err(Malformed(format!(
                "{} incarnations, expected 1 to {MAX_INCARNATIONS}",
                stored.incarnations.len()
            )));
        }
        if let Some(incarnation) =
            stored.isolated.iter().find(|incarnation| !stored.incarnations.contains(incarnation))
        {
            return Err(Malformed(format!(
                "isolated at {incarnation:?}, which is none of its incarnations"
            )));
        }
        // A clock of another instance that is ahead must not prolong a hold.
        let last_ms = stored.last_ms.min(now_ms);
        self.cases.entry(digest).or_default().merge(&stored, last_ms);
        self.bound();
        Ok(())
    }

    /// Removes expired cases and returns their digests.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Digest> {
        let expired: Vec<Digest> =
            self.cases.iter().filter(|(_, c)| c.is_expired(now_ms)).map(|(d, _)| *d).collect();
        for digest in &expired {
            self.cases.remove(digest);
        }
        expired
    }

    fn bound(&mut self) {
        while self.cases.len() > MAX_CASES {
            let least = self.cases.iter().min_by_key(|(_, case)| (case.ends, case.last_ms));
            let Some(least) = least.map(|(digest, _)| *digest) else {
                return;
            };
            self.cases.remove(&least);
        }
    }
}

//! Requests that end the targets which run them, as they come again.
//!
//! A caller that got no answer asks again, under another id and at another
//! instance. What stays the same is who asks for what: a [`Digest`] of that
//! names the request for as long as it comes. All instances fold the same
//! records of which request was at a target when that ended, so that one
//! instance's loss is everybody's warning.
//!
//! Answers the load of callers, scoring requests above all, that send dozens
//! of culprits among many innocent requests, again and again.
//!
//! When a target ends, whatever ran there breaks off, and mostly one request
//! of many is to blame. Nobody can tell which by that one end. A request that
//! is answered after all is innocent, and is forgotten at once; one that was
//! at several ends without any that is still suspected is to blame. So is one
//! that was at as many and alone at one of them: from its first end on a
//! suspect is tried by itself, one at a time of all instances, at a target that
//! gets nothing else meanwhile. Whoever else was at as many waits, longer with
//! each end: that does not depend on what becomes of others, so that culprits
//! that always come together cannot speak for each other.
//!
//! Times are of the day, in milliseconds since 1970: a record outlives the
//! instances that wrote it, and is minutes old before its age matters.
//!
//! What it leaves out: how an end is told from a broken connection, and how
//! records are spread ([`crate::entry::suspects`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, str,
};

use prost::Message as _;
use sha2::{Digest as _, Sha256};

pub use crate::core::malformed::Malformed;

/// Bytes of a digest that are kept: so many that no caller can make one that
/// names another caller's request.
const DIGEST_BYTES: usize = 16;

/// What one request has in common with the same request asked again.
///
/// # Example
///
/// ```
/// use hollywell::core::poison::Digest;
///
/// let digest = Digest::of(&["h.example", "/plain/x"], b"body");
/// assert_eq!(digest, Digest::of(&["h.example", "/plain/x"], b"body"));
/// // Where one part ends and the next begins counts.
/// assert_ne!(digest, Digest::of(&["h.example/", "plain/x"], b"body"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of what a request is for and who asks, and of its body.
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

/// Reads what [`Digest`] displays.
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

/// Targets that a request has ended before it is held back. Targets end for
/// reasons of their own, now and then two while one request is retried.
pub const TARGET_END_LIMIT: u32 = 3;
/// Ends from which on a request that may or may not be to blame waits before
/// it is tried again: where several culprits come together all the time, none
/// stands out, and each end would bring the next.
const DOUBTFUL: u32 = TARGET_END_LIMIT + 1;
/// How long it waits, in milliseconds, by the ends since then; the last holds
/// for all further ones. First short, so that what was merely there is served
/// soon; so spread, it mostly meets no other suspect, and is served or stands
/// out. After three tries more it must be as if it were to blame.
const DOUBT_MS: [u64; 4] = [2_000, 8_000, 120_000, 600_000];
/// How long a request is held back since the last target that it ended, in
/// milliseconds: what runs at the targets may be mended by then. Twice as
/// long for each target more, so that one that is never mended costs a few
/// targets a day.
const HOLD_MS: u64 = 600_000;
/// Doublings of that time: up to a day and a half.
const HOLD_DOUBLINGS: u32 = 8;
/// How long a request that is not held back is suspected, in milliseconds:
/// callers ask again within seconds.
const SUSPECT_MS: u64 = 600_000;
/// Time after which a target that ends again must have started in between, in
/// milliseconds: sends that saw one end tell of it well within that.
const AGAIN_MS: u64 = 500;
/// How long after an end a target is kept free for trials, in milliseconds:
/// callers come back within seconds.
const TRYING_MS: u64 = 5_000;
/// Requests that are remembered; those that ended least go first. A target
/// that ends brings a few dozen.
const MOST: usize = 4_096;
/// Lives of targets that are remembered of one request; enough to tell it
/// from others.
const MOST_LIVES: usize = 16;

/// What is kept of a request in the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Kept {
    /// Lives of targets that ended while it was there.
    #[prost(string, repeated, tag = "1")]
    lives: Vec<String>,
    /// How many that were.
    #[prost(uint32, tag = "2")]
    ends: u32,
    /// When the last of them ended, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    last_ms: u64,
    /// Those of the lives at which nothing else was sent meanwhile.
    #[prost(string, repeated, tag = "4")]
    alone: Vec<String>,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Case {
    lives: BTreeSet<String>,
    /// Those of them at which it was alone, as far as its sender knows.
    alone: BTreeSet<String>,
    ends: u32,
    last_ms: u64,
}

impl Case {
    /// The life of a target that has ended, where `life` is what its sender
    /// takes it for. One that ended before has started again since, and its new
    /// entry was not read yet.
    fn life_at(&self, now_ms: u64, life: &str) -> String {
        if now_ms.saturating_sub(self.last_ms) < AGAIN_MS || !self.lives.contains(life) {
            return life.to_owned();
        }
        let again = self.lives.iter().filter(|known| known.starts_with(life)).count();
        format!("{life}+{again}")
    }

    /// Adds a target's end; returns whether it was not known.
    fn add(&mut self, at_ms: u64, life: &str) -> bool {
        if self.lives.contains(life) {
            return false;
        }
        self.ends += 1;
        self.last_ms = self.last_ms.max(at_ms);
        self.remember(life);
        true
    }

    /// Takes over what another instance knows. An end that both know counts
    /// once; those that there is no room to remember are only counted.
    fn merge(&mut self, kept: &Kept, last_ms: u64) {
        kept.lives.iter().for_each(|life| self.remember(life));
        let is_known = |life: &&String| self.lives.contains(*life);
        self.alone.extend(kept.alone.iter().filter(is_known).cloned());
        let lives = u32::try_from(self.lives.len()).unwrap_or(u32::MAX);
        self.ends = self.ends.max(kept.ends).max(lives);
        self.last_ms = self.last_ms.max(last_ms);
    }

    fn remember(&mut self, life: &str) {
        if self.lives.len() < MOST_LIVES {
            self.lives.insert(life.to_owned());
        }
    }

    fn hold_ms(&self) -> u64 {
        HOLD_MS << self.ends.saturating_sub(TARGET_END_LIMIT).min(HOLD_DOUBLINGS)
    }

    /// How long it waits where it may or may not be to blame; `stands_out` if
    /// nobody else who was there was at as many ends.
    fn doubt_ms(&self, stands_out: bool) -> u64 {
        let ends = self.ends + u32::from(stands_out);
        match ends.checked_sub(DOUBTFUL) {
            None => 0,
            Some(more) => DOUBT_MS[(more as usize).min(DOUBT_MS.len() - 1)],
        }
    }

    /// Whether nothing follows from it any more. Who was held back stays
    /// known for as long again, so that one end more is enough.
    fn is_over(&self, now_ms: u64) -> bool {
        let keep_ms = if self.ends < TARGET_END_LIMIT { SUSPECT_MS } else { 2 * self.hold_ms() };
        now_ms.saturating_sub(self.last_ms) >= keep_ms
    }
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Free,
    /// It was at a target that ended, and has not been answered since.
    Suspect,
    /// It is to reach no target for so many milliseconds.
    Held(u64),
}

/// How long a suspect waits for a second sound target, in milliseconds: most
/// targets that ended are back by then. Where no other comes, the last one is
/// all there is.
pub const LAST_TARGET_WAIT_MS: u64 = 5_000;

/// How long a suspect waits after an end before it is tried, in milliseconds:
/// what was at the target that is kept free for it is answered by then.
pub const PROBE_DELAY_MS: u64 = 300;

/// The target at which a suspect is tried, of those of its pool that are
/// `sound`: the same one for all instances and all suspects, so that they
/// meet each other there and the other targets go on serving. `None` while it
/// would be the last one.
///
/// # Example
///
/// ```
/// use hollywell::core::poison::{LAST_TARGET_WAIT_MS, probe_target};
///
/// assert_eq!(probe_target(&["a", "b", "c"], 0), probe_target(&["c", "b", "a"], 0));
/// assert_eq!(probe_target(&["a"], 0), None);
/// // Nobody else is to be had.
/// assert_eq!(probe_target(&["a"], LAST_TARGET_WAIT_MS), Some("a"));
/// ```
#[must_use]
pub fn probe_target<'a>(sound: &[&'a str], since_end_ms: u64) -> Option<&'a str> {
    if sound.len() < 2 && since_end_ms < LAST_TARGET_WAIT_MS {
        return None;
    }
    sound.iter().copied().min_by_key(|id| xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
}

/// All requests that were at a target when it ended.
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
/// // Either may be to blame, until one is answered.
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
    /// Whether nothing is known against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// How many requests something is known against.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// What is to be done with a request.
    #[must_use]
    pub fn verdict(&self, now_ms: u64, digest: Digest) -> Verdict {
        let Some(case) = self.cases.get(&digest).filter(|case| !case.is_over(now_ms)) else {
            return Verdict::Free;
        };
        let until_ms = case.last_ms.saturating_add(self.hold_ms(digest, case));
        if now_ms < until_ms { Verdict::Held(until_ms - now_ms) } else { Verdict::Suspect }
    }

    /// How long a request is held back since the last end under it.
    fn hold_ms(&self, digest: Digest, case: &Case) -> u64 {
        let by_itself = self.unexplained(digest, case, |_| true);
        if by_itself >= TARGET_END_LIMIT || self.was_alone(digest, case) {
            return case.hold_ms();
        }
        let stands_out =
            self.unexplained(digest, case, |its| its.ends >= case.ends) >= TARGET_END_LIMIT;
        case.doubt_ms(stands_out)
    }

    /// Whether a request that was at enough ends was tried by itself at one of
    /// them, by what its sender saw and by what all others have told. What was
    /// there too by chance, at its first end, does not speak for it: at a
    /// pool's last sound target nothing can be kept away.
    fn was_alone(&self, digest: Digest, case: &Case) -> bool {
        let explains = |its: &Case, life: &String| its.ends > 1 && its.lives.contains(life);
        let is_explained = |life: &String| {
            self.cases.iter().any(|(other, its)| *other != digest && explains(its, life))
        };
        case.ends >= TARGET_END_LIMIT && case.alone.iter().any(|life| !is_explained(life))
    }

    /// How many targets ended under a request without any of those others.
    /// Whoever was there too and is innocent is answered sooner or later, and
    /// then no longer counts.
    fn unexplained(&self, digest: Digest, case: &Case, explains: impl Fn(&Case) -> bool) -> u32 {
        if case.ends < TARGET_END_LIMIT {
            return 0;
        }
        let others = self.cases.iter().filter(|(other, its)| {
            **other != digest && !its.lives.is_disjoint(&case.lives) && explains(its)
        });
        let others: Vec<&Case> = others.map(|(_, its)| its).collect();
        let is_own = |life: &&String| !others.iter().any(|its| its.lives.contains(*life));
        u32::try_from(case.lives.iter().filter(is_own).count()).unwrap_or(u32::MAX)
    }

    /// How long ago a target last ended under a request, in milliseconds.
    #[must_use]
    pub fn since_end_ms(&self, now_ms: u64, digest: Digest) -> Option<u64> {
        Some(now_ms.saturating_sub(self.cases.get(&digest)?.last_ms))
    }

    /// Notes that a request was at a target when that life of it ended.
    /// Returns whether that is news.
    pub fn record_target_end(&mut self, now_ms: u64, digest: Digest, life: &str) -> bool {
        self.note_end(now_ms, digest, life, false)
    }

    /// The same for a request that was tried there by itself: what else is
    /// sent to the pool was kept away from that target.
    pub fn record_isolated_end(&mut self, now_ms: u64, digest: Digest, life: &str) -> bool {
        self.note_end(now_ms, digest, life, true)
    }

    fn note_end(&mut self, now_ms: u64, digest: Digest, life: &str, is_alone: bool) -> bool {
        let case = self.cases.entry(digest).or_default();
        let life = case.life_at(now_ms, life);
        let is_news = case.add(now_ms, &life);
        if is_alone && case.lives.contains(&life) {
            case.alone.insert(life);
        }
        self.bound();
        is_news
    }

    /// Whether a suspect may be tried soon, so that a target is to be kept
    /// free for it.
    #[must_use]
    pub fn has_pending_probe(&self, now_ms: u64) -> bool {
        self.cases.values().any(|case| now_ms.saturating_sub(case.last_ms) < TRYING_MS)
    }

    /// Notes that a target has answered a request, or goes on with it.
    /// Returns whether something was known against it.
    pub fn record_answer(&mut self, digest: Digest) -> bool {
        self.cases.remove(&digest).is_some()
    }

    /// What the store is to keep of a request; `None` if nothing.
    #[must_use]
    pub fn record(&self, digest: Digest) -> Option<Vec<u8>> {
        let case = self.cases.get(&digest)?;
        let (lives, alone) = (&case.lives, &case.alone);
        let kept = Kept {
            lives: lives.iter().cloned().collect(),
            ends: case.ends,
            last_ms: case.last_ms,
            alone: alone.iter().cloned().collect(),
        };
        Some(kept.encode_to_vec())
    }

    /// Takes over what another instance has recorded of a request. Records
    /// may come in any order and more than once.
    ///
    /// # Errors
    ///
    /// If it cannot be read; it then changes nothing.
    pub fn read(&mut self, now_ms: u64, digest: Digest, record: &[u8]) -> Result<(), Malformed> {
        let kept = Kept::decode(record).map_err(|error| Malformed(error.to_string()))?;
        if kept.lives.is_empty() || kept.lives.len() > MOST_LIVES {
            return Err(Malformed(format!("{} lives, not 1 to {MOST_LIVES}", kept.lives.len())));
        }
        if let Some(life) = kept.alone.iter().find(|life| !kept.lives.contains(life)) {
            return Err(Malformed(format!("alone at {life:?}, which is none of its lives")));
        }
        // A clock that is ahead must not hold anything back for longer.
        let last_ms = kept.last_ms.min(now_ms);
        self.cases.entry(digest).or_default().merge(&kept, last_ms);
        self.bound();
        Ok(())
    }

    /// Forgets what nothing follows from any more; returns that.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Digest> {
        let over: Vec<Digest> =
            self.cases.iter().filter(|(_, c)| c.is_over(now_ms)).map(|(d, _)| *d).collect();
        for digest in &over {
            self.cases.remove(digest);
        }
        over
    }

    fn bound(&mut self) {
        while self.cases.len() > MOST {
            let least = self.cases.iter().min_by_key(|(_, case)| (case.ends, case.last_ms));
            let Some(least) = least.map(|(digest, _)| *digest) else {
                return;
            };
            self.cases.remove(&least);
        }
    }
}

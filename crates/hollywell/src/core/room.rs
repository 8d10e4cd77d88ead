//! The store's room: how much of it is used, and for what it is left.
//!
//! The store has a fixed room, and everything that an instance writes shares
//! it: what may wait as well as what must never fail. So each append says
//! what it is for, and the less it matters the sooner it has to wait: what
//! is left when everything else is refused belongs to ends and drops.
//!
//! A store whose topics keep the newest record of each key counts a record
//! twice: in its log, until that is trimmed or expires, and as the newest of
//! its key, until that is dropped. [`Log`] says how far a log may be trimmed;
//! which keys may be dropped is said by [`crate::core::batch::Garbage`].
//!
//! Nobody is told how full the store is, so [`State`] adds up what is known
//! from folding the records. It is an estimate, and the store's own refusal
//! ([`State::refused`]) counts for more.
//!
//! What it leaves out: the appends themselves ([`crate::entry::store`]).

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// What a record takes in a log besides its key and value, in bytes, as
/// measured at the users' store.
pub const LOG_OVERHEAD: u64 = 41;
/// What the newest record of a key takes besides its key and value, in
/// bytes, as measured there.
pub const LIVE_OVERHEAD: u64 = 60;

/// How long a record stays in its log before the log is trimmed, in
/// milliseconds: readers are a second behind at most unless they are cut off,
/// and then they begin anew from the newest records.
pub const LEAST_MS: u64 = 10_000;
/// Time between two marks of a log, in milliseconds.
const MARK_MS: u64 = 1_000;
/// Share of the room that all logs together may take before they are trimmed.
/// Old texts are read from the log at a fraction of the cost of reading them
/// by their keys.
const LOG_SHARE: f64 = 0.2;
/// Share of the room up to which a job is accepted, of what is kept by
/// promise and what the jobs that are accepted will add to it.
const LIVE_SHARE: f64 = 0.6;
/// How long records that nothing needs may take to be dropped, in
/// milliseconds: drops are looked for each second, and are read after that.
const DROP_MS: u64 = 3_000;
/// How long the store's word that it is full counts, in milliseconds.
const FULL_MS: u64 = 1_000;
/// Shortest and longest time that a caller is told to wait for room, in
/// milliseconds: logs are trimmed and drops looked for each second, and a
/// minute is longer than a trainer waits for a step.
const COME_BACK_MS: (u64, u64) = (2_000, 60_000);

/// What an append is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Use {
    /// A job's end.
    End,
    /// Records that nothing needs any more are dropped.
    Drop,
    /// A claim of the lease on orders.
    Claim,
    /// News for the other instances.
    News,
    /// What is known against a request.
    Suspect,
    /// What an instance counted, and what was decided of it.
    Usage,
    /// A sample's result, without its text.
    Outcome,
    /// A sample's whole text.
    Text,
    /// A sample's unfinished text, and the note of it.
    Unfinished,
    /// A job's head: from then on it is accepted.
    Head,
    /// The requests of a job's samples.
    Requests,
}

impl Use {
    /// Its name in logs and metrics.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::room::Use;
    ///
    /// assert_eq!(Use::Unfinished.as_str(), "unfinished");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Use::End => "end",
            Use::Drop => "drop",
            Use::Claim => "claim",
            Use::News => "news",
            Use::Suspect => "suspect",
            Use::Usage => "usage",
            Use::Outcome => "outcome",
            Use::Text => "text",
            Use::Unfinished => "unfinished",
            Use::Head => "head",
            Use::Requests => "requests",
        }
    }

    /// Share of the room that may be used before an append of this use has to
    /// wait. What others need to go on, and what frees room, goes on longest.
    const fn share(self) -> f64 {
        match self {
            Use::End | Use::Drop => f64::INFINITY,
            Use::Claim | Use::News | Use::Suspect | Use::Usage => 0.97,
            Use::Outcome | Use::Text => 0.94,
            Use::Unfinished => 0.8,
            Use::Head | Use::Requests => 0.75,
        }
    }

    /// Whether it may wait or be left out at no loss of what was promised.
    const fn may_wait(self) -> bool {
        matches!(self, Use::Unfinished | Use::Head | Use::Requests)
    }
}

/// Where a log stood at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mark {
    at: Time,
    end: u64,
    written: u64,
}

/// One partition's log: what was written to it lately, and how far it may be
/// trimmed.
///
/// # Example
///
/// ```
/// use hollywell::core::{room::Log, time::Time};
///
/// let mut log = Log::default();
/// for second in 0..60 {
///     log.note(Time(second * 1_000), second * 10, 1_000);
/// }
/// // 60 KB fit in what it may take.
/// assert_eq!(log.cut(Time(59_000), 100_000, None), None);
/// // 20 KB do not: all but the last of them may go.
/// assert_eq!(log.cut(Time(59_000), 20_000, None), Some(390));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Log {
    marks: VecDeque<Mark>,
    written: u64,
    /// Bytes written when it was last trimmed, or first seen.
    cut: u64,
    /// It was trimmed, or seen for as long as records live, so that what lies
    /// in it is known.
    known: bool,
}

impl Log {
    /// Notes that it ends at `end`, `bytes` having been added since the last
    /// note.
    pub fn note(&mut self, now: Time, end: u64, bytes: u64) {
        self.written += bytes;
        let due = |last: &Mark| end > last.end && now.since(last.at) >= MARK_MS;
        if self.marks.is_empty() && !self.known {
            // What lay there before is not known; it is no news of this.
            self.cut = self.written;
        }
        if self.marks.back().is_none_or(due) {
            self.marks.push_back(Mark { at: now, end, written: self.written });
        }
    }

    /// Bytes that it holds, as far as is known. What lay in it when it was
    /// first seen may be as much as it may take, `most`.
    #[must_use]
    pub const fn bytes(&self, most: u64) -> u64 {
        let unknown = if self.known { 0 } else { most };
        self.written - self.cut + unknown
    }

    /// Forgets what has expired: records live for `life_ms`.
    pub fn expire(&mut self, now: Time, life_ms: u64) {
        let old = |mark: &Mark| now.since(mark.at) > life_ms;
        while let Some(mark) = self.marks.pop_front_if(|mark| old(mark)) {
            self.known = true;
            self.cut = self.cut.max(mark.written);
        }
    }

    /// The offset before which it should be trimmed, if it should be, where
    /// it may take `most` bytes. If the store is `full`, it is trimmed up to
    /// records of the age given, whatever it holds.
    #[must_use]
    pub fn cut(&self, now: Time, most: u64, full: Option<u64>) -> Option<u64> {
        let least_ms = full.unwrap_or(LEAST_MS);
        let old = |mark: &&Mark| now.since(mark.at) >= least_ms;
        let enough = |mark: &&Mark| self.written - mark.written <= most;
        let mut olds = self.marks.iter().filter(old);
        let newest = olds.clone().next_back()?;
        if full.is_some() {
            return Some(newest.end);
        }
        let mark = olds.find(enough).unwrap_or(newest);
        let due = mark.written > self.cut && self.written - self.cut > most;
        due.then_some(mark.end)
    }

    /// Notes that it was trimmed before an offset.
    pub fn trimmed(&mut self, before: u64) {
        self.known = true;
        while self.marks.front().is_some_and(|mark| mark.end <= before) {
            if let Some(mark) = self.marks.pop_front() {
                self.cut = self.cut.max(mark.written);
            }
        }
    }
}

/// What is known of the room.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     room::{State, Use},
///     time::Time,
/// };
///
/// let mut state = State::new(1_000_000);
/// let (now, next_drop) = (Time(0), None);
/// state.seen(now, 500_000, 100_000, 50_000);
/// assert!(state.allows(now, Use::Text, 1_000));
/// assert!(state.admit(now, 40_000, next_drop).is_ok());
/// // What is kept, what is to come and this job exceed 600 KB.
/// assert!(state.admit(now, 60_000, next_drop).is_err());
/// // The store's own word counts for more than any sum.
/// state.refused(now);
/// assert!(state.admit(now, 1, next_drop).is_err());
/// assert!(!state.allows(now, Use::Unfinished, 1_000));
/// assert!(state.allows(now, Use::End, 1_000_000));
/// ```
#[derive(Clone, Debug)]
pub struct State {
    room: u64,
    live: u64,
    /// When `live` was taken over.
    live_at: Time,
    logs: u64,
    to_come: u64,
    /// Bytes that this instance has appended since the rest was added up.
    appended: u64,
    full_at: Option<Time>,
}

impl State {
    /// The state of an instance that has seen nothing of a store with so
    /// many bytes of room.
    #[must_use]
    pub const fn new(room: u64) -> State {
        State { room, live: 0, live_at: Time(0), logs: 0, to_come: 0, appended: 0, full_at: None }
    }

    /// Takes over what is known: bytes of the newest records of keys that are
    /// needed, of logs, and what accepted jobs will add.
    pub fn seen(&mut self, now: Time, live: u64, logs: u64, to_come: u64) {
        // What nothing needs any more is there until it is dropped, which
        // takes a while, and for as long as a full store drops nothing.
        let dropped = now.since(self.live_at) >= DROP_MS && !self.is_full(now);
        if live >= self.live || dropped {
            self.live = live;
            self.live_at = now;
        }
        self.logs = logs;
        self.to_come = to_come;
        self.appended = 0;
    }

    /// Notes that this instance has appended so many bytes: what is known is
    /// added up each second only, and a burst must not outrun that.
    pub const fn appended(&mut self, bytes: u64) {
        self.appended = self.appended.saturating_add(bytes);
    }

    /// Notes that the store had no room.
    pub const fn refused(&mut self, now: Time) {
        self.full_at = Some(now);
    }

    /// Whether the store said lately that it is full.
    #[must_use]
    pub fn is_full(&self, now: Time) -> bool {
        self.full_at.is_some_and(|at| now.since(at) < FULL_MS)
    }

    /// Bytes in use, as far as is known.
    #[must_use]
    pub const fn used(&self) -> u64 {
        self.live.saturating_add(self.logs).saturating_add(self.appended)
    }

    /// Bytes of room.
    #[must_use]
    pub const fn room(&self) -> u64 {
        self.room
    }

    /// Bytes that one log of so many may take before it is trimmed.
    #[must_use]
    pub fn log_most(&self, logs: usize) -> u64 {
        (self.room as f64 * LOG_SHARE) as u64 / logs.max(1) as u64
    }

    /// Whether an append of some use, which adds so many bytes to what the
    /// store holds, should be made now.
    #[must_use]
    pub fn allows(&self, now: Time, purpose: Use, bytes: u64) -> bool {
        let waits = purpose.may_wait() && self.is_full(now);
        let then = self.used().saturating_add(bytes);
        !waits && (then as f64) < self.room as f64 * purpose.share()
    }

    /// Whether a job that will take so many bytes may be accepted.
    ///
    /// # Errors
    ///
    /// The time in milliseconds after which there should be room, where
    /// `next_drop_ms` is when records will be dropped next.
    pub fn admit(&self, now: Time, bytes: u64, next_drop_ms: Option<u64>) -> Result<(), u64> {
        let kept = self.live.saturating_add(self.to_come).saturating_add(bytes);
        let (least, most) = COME_BACK_MS;
        if kept as f64 > self.room as f64 * LIVE_SHARE {
            return Err(next_drop_ms.unwrap_or(least).clamp(least, most));
        }
        // Else it is logs that take the room, which are trimmed each second.
        if self.allows(now, Use::Head, bytes) { Ok(()) } else { Err(least) }
    }
}

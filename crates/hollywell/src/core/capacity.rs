//! The store's capacity: how much of it is used, and which appends the rest is
//! reserved for.
//!
//! The store has a fixed size, and all that an instance writes shares it:
//! records that may wait as well as records that must never fail. Each append
//! therefore states its [`Purpose`], and the less important the purpose, the
//! lower the fill level from which on the append has to wait. What is left when
//! everything else is refused is reserved for ends of jobs and deletions.
//!
//! A store whose topics keep the newest record of each key counts a record
//! twice: in its log, until the log is trimmed or the record expires, and as
//! the newest record of its key, until the key is deleted. [`Log`] decides how
//! far a log may be trimmed, [`crate::core::batch::Garbage`] which keys may be
//! deleted.
//!
//! The store does not report its fill level, so [`State`] estimates it: from the
//! folded records, and for what a log held before this instance read it, from
//! samples ([`Past`]). A refusal by the store itself
//! ([`State::record_refusal`]) shows what the estimate lacks. All shares are of
//! the rest from then on, so that what is reserved for ends is there, and logs
//! are trimmed at once.
//!
//! The appends themselves are made in [`crate::entry::store`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::core::time::Time;

/// Bytes that a record takes in a log of the users' store besides its key and
/// value.
pub const LOG_OVERHEAD: u64 = 41;
/// Bytes that the newest record of a key takes there besides its key and value.
pub const LIVE_OVERHEAD: u64 = 60;

/// Minimum age of records that are trimmed from a log, in milliseconds: readers
/// lag by at most one second unless they are cut off, and then they start again
/// from the newest records.
pub const MIN_LOG_AGE_MS: u64 = 10_000;
/// Minimum time between two marks of a log, in milliseconds.
const MARK_MS: u64 = 1_000;
/// Share of the capacity that all logs together may take, whatever else is kept.
const LOGS_SHARE: f64 = 0.2;
/// Share of the capacity up to which logs are not trimmed, together with what else
/// is kept; the rest is for what is written before records are old enough to be
/// trimmed. Reading old texts from the log costs a fraction of reading them by their
/// keys.
const USED_SHARE: f64 = 0.45;
/// Share of the capacity up to which jobs are accepted, by the bytes of live
/// records plus those that accepted jobs will still add.
const ADMISSION_SHARE: f64 = 0.6;
/// How long unneeded records may take to be deleted, in milliseconds: the
/// deletion runs each second, and its records are read after that.
const DELETE_MS: u64 = 3_000;
/// Time after which what this instance has appended has been read, in
/// milliseconds. Until then it counts apart.
const READ_BACK_MS: u64 = 1_000;
/// How long the store counts as full after it refused an append, in
/// milliseconds.
const FULL_MS: u64 = 1_000;
/// Retention time of records in a log if the settings name none, in
/// milliseconds.
const RETENTION_MS: u64 = 300_000;
/// Number of places at which the past of a log is sampled: it may have been
/// written by few large records or many small ones, and both change with time.
const PAST_SAMPLES: u64 = 3;
/// Shortest and longest time that a caller is told to wait for free space, in
/// milliseconds: logs are trimmed and records deleted each second, and a minute
/// is longer than a trainer waits for a step.
const RETRY_AFTER_MS: (u64, u64) = (2_000, 60_000);

/// What an append is for. The names of the variants in logs, metrics and
/// serialised form are given by [`Purpose::as_str`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// A job's end.
    End,
    /// Deletion of records that are no longer needed.
    #[serde(rename = "drop")]
    Delete,
    /// A claim of the lease for giving orders.
    Claim,
    /// A hint for the other instances.
    #[serde(rename = "news")]
    Hint,
    /// A record of a request suspected of ending its targets.
    Suspect,
    /// The record of an instance.
    Instance,
    /// What keeps room for ends of jobs.
    Reserve,
    /// Usage that an instance counted, or a decision on usage.
    Usage,
    /// A sample's result, without its text.
    Outcome,
    /// A sample's complete text.
    Text,
    /// A sample's partial text, and the record that refers to it.
    #[serde(rename = "unfinished")]
    PartialText,
    /// A job's manifest; the job is accepted once it is stored.
    #[serde(rename = "head")]
    Manifest,
    /// The requests of a job's samples.
    Requests,
}

impl Purpose {
    /// The name in logs and metrics.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::capacity::Purpose;
    ///
    /// assert_eq!(Purpose::PartialText.as_str(), "unfinished");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Purpose::End => "end",
            Purpose::Delete => "drop",
            Purpose::Claim => "claim",
            Purpose::Hint => "news",
            Purpose::Suspect => "suspect",
            Purpose::Instance => "instance",
            Purpose::Reserve => "reserve",
            Purpose::Usage => "usage",
            Purpose::Outcome => "outcome",
            Purpose::Text => "text",
            Purpose::PartialText => "unfinished",
            Purpose::Manifest => "head",
            Purpose::Requests => "requests",
        }
    }

    /// Share of the capacity up to which appends for this purpose are made.
    /// What other instances need to proceed and what frees space is allowed
    /// longest.
    const fn share(self) -> f64 {
        match self {
            Purpose::End
            | Purpose::Delete
            | Purpose::Claim
            | Purpose::Instance
            | Purpose::Reserve => f64::INFINITY,
            Purpose::Hint | Purpose::Suspect | Purpose::Usage => 0.97,
            Purpose::Outcome | Purpose::Text => 0.94,
            Purpose::PartialText => 0.8,
            Purpose::Manifest | Purpose::Requests => 0.75,
        }
    }

    /// Whether the append is made although the store refused another. Small
    /// records of all other purposes would take the bytes that an end needs.
    const fn is_urgent(self) -> bool {
        matches!(
            self,
            Purpose::End | Purpose::Delete | Purpose::Claim | Purpose::Instance | Purpose::Reserve
        )
    }
}

/// The records that a log held before this instance read it: how many there
/// are is known by their offsets, their sizes from samples.
///
/// # Example
///
/// ```
/// use hollywell::core::capacity::Past;
///
/// let mut past = Past::new(100, 400);
/// assert_eq!(past.offsets(), [150, 250, 350]);
/// // One large record, then ten small ones, then one of medium size.
/// for (records, bytes) in [(1, 5_000), (10, 1_000), (1, 600)] {
///     past.add_sample(records, bytes);
/// }
/// assert_eq!(past.bytes(), Some(100 * 5_000 + 100 * 100 + 100 * 600));
/// ```
#[derive(Clone, Debug)]
pub struct Past {
    first: u64,
    end: u64,
    samples: u64,
    /// Sum of the samples' mean record sizes.
    mean_bytes: u64,
}

impl Past {
    /// The past of a log that retains records from `first` up to `end`.
    #[must_use]
    pub const fn new(first: u64, end: u64) -> Past {
        Past { first, end, samples: 0, mean_bytes: 0 }
    }

    /// The offsets from which samples are to be read: the middles of equal
    /// parts.
    #[must_use]
    pub fn offsets(&self) -> Vec<u64> {
        let count = self.end.saturating_sub(self.first);
        let middle = |at| self.first + count * (2 * at + 1) / (2 * PAST_SAMPLES);
        let mut offsets: Vec<u64> = (0..PAST_SAMPLES).map(middle).collect();
        offsets.dedup();
        offsets.retain(|offset| *offset < self.end);
        offsets
    }

    /// Adds a sample of consecutive records, which take `bytes` in the log.
    pub fn add_sample(&mut self, records: u64, bytes: u64) {
        if records > 0 {
            self.samples += 1;
            self.mean_bytes = self.mean_bytes.saturating_add(bytes.div_ceil(records));
        }
    }

    /// Estimated number of bytes in the log; `None` without a sample.
    #[must_use]
    pub fn bytes(&self) -> Option<u64> {
        let count = self.end.saturating_sub(self.first);
        if count == 0 {
            return Some(0);
        }
        let sum = u128::from(count) * u128::from(self.mean_bytes);
        let mean = sum.checked_div(u128::from(self.samples))?;
        Some(u64::try_from(mean).unwrap_or(u64::MAX))
    }
}

/// The end of a log at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mark {
    at: Time,
    end: u64,
    written: u64,
}

/// One partition's log: what was written to it recently, and how far it may be
/// trimmed.
///
/// # Example
///
/// ```
/// use hollywell::core::{capacity::Log, time::Time};
///
/// let mut log = Log::default();
/// for second in 0..60 {
///     log.record(Time(second * 1_000), second * 10, 1_000);
/// }
/// // 60 KB are within the limit.
/// assert_eq!(log.trim_offset(Time(59_000), 100_000, None), None);
/// // With a limit of 20 KB all but the last 20 KB are trimmed.
/// assert_eq!(log.trim_offset(Time(59_000), 20_000, None), Some(390));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Log {
    marks: VecDeque<Mark>,
    written: u64,
    /// Value of `written` up to which the log was trimmed, or when it was first
    /// seen.
    trimmed_bytes: u64,
    /// Whether its contents are known: it was trimmed, or observed for the
    /// whole retention time of its records.
    is_known: bool,
    /// Estimated bytes of what it held before it was first seen.
    past: Option<u64>,
    /// Estimated bytes of each record that it held then.
    past_record_bytes: Option<u64>,
    /// The offset before which it was trimmed.
    trimmed_to: u64,
    /// The offset up to which its records are counted.
    counted_to: u64,
    /// Mean size of the records read last.
    record_bytes: u64,
}

impl Log {
    /// Records that the log ends at `end` and that `bytes` were added since the
    /// last call.
    pub fn record(&mut self, now: Time, end: u64, bytes: u64) {
        self.written += bytes;
        let due = |last: &Mark| end > last.end && now.since(last.at) >= MARK_MS;
        if self.marks.is_empty() && !self.is_known {
            // What the log held before is not known and does not count as
            // written now.
            self.trimmed_bytes = self.written;
        }
        if self.marks.back().is_none_or(due) {
            self.marks.push_back(Mark { at: now, end, written: self.written });
        }
    }

    /// Records that the log ends at `end` and that so many records were read
    /// since the last call, with `bytes` in all. Others before `end` that were
    /// not read count as much as these.
    pub fn record_read(&mut self, now: Time, end: u64, records: u64, bytes: u64) {
        self.record_bytes = bytes.checked_div(records).unwrap_or(self.record_bytes);
        let is_first = self.marks.is_empty() && !self.is_known;
        let advance = if is_first { 0 } else { end.saturating_sub(self.counted_to) };
        let unread = advance.saturating_sub(records);
        self.counted_to = self.counted_to.max(end);
        self.record(now, end, bytes.saturating_add(unread.saturating_mul(self.record_bytes)));
    }

    /// Sets the estimated bytes of a record that the log held before it was first
    /// seen, if there is an estimate.
    pub const fn set_past_record(&mut self, bytes: Option<u64>) {
        self.past_record_bytes = bytes;
    }

    /// Whether the size of the records is known that the log held before it was first
    /// seen.
    #[must_use]
    pub const fn is_record_size_known(&self) -> bool {
        self.past_record_bytes.is_some()
    }

    /// Sets the estimated bytes of what the log held before it was first seen.
    pub const fn set_past(&mut self, bytes: u64) {
        self.past = Some(bytes);
    }

    /// The offset before which the contents of the log are only assumed.
    #[must_use]
    pub fn unsampled_before(&self) -> Option<u64> {
        let is_unsampled = !self.is_known && self.past.is_none();
        self.marks.front().filter(|_| is_unsampled).map(|mark| mark.end)
    }

    /// Estimated number of bytes in the log. While its initial contents are not
    /// known, and no other estimate of them was set, they are assumed to be as
    /// large as the limit, `max`, or as their records if these are fewer.
    #[must_use]
    pub fn bytes(&self, max: u64) -> u64 {
        let unknown = match self.past {
            _ if self.is_known => 0,
            Some(past) => past,
            None => self.past_bytes().map_or(max, |bytes| bytes.min(max)),
        };
        (self.written - self.trimmed_bytes).saturating_add(unknown)
    }

    /// Estimated number of bytes in the log, like [`Log::bytes`], but all of its initial
    /// contents count if the size of their records is known.
    #[must_use]
    pub fn estimated_bytes(&self, max: u64) -> u64 {
        self.bytes(self.past_bytes().unwrap_or(max))
    }

    /// Estimated bytes of its initial contents, if the size of a record is known.
    fn past_bytes(&self) -> Option<u64> {
        let end = self.marks.front()?.end;
        Some(end.saturating_sub(self.trimmed_to).saturating_mul(self.past_record_bytes?))
    }

    /// Removes marks whose records have expired after the retention time
    /// `life_ms`.
    pub fn expire(&mut self, now: Time, life_ms: u64) {
        let old = |mark: &Mark| now.since(mark.at) > life_ms;
        while let Some(mark) = self.marks.pop_front_if(|mark| old(mark)) {
            self.is_known = true;
            self.trimmed_bytes = self.trimmed_bytes.max(mark.written);
        }
    }

    /// Returns the offset before which the log should be trimmed, if it should
    /// be, where it may take `max` bytes. If the store is full, `full` is the
    /// minimum age of the records that are trimmed, whatever the size of the
    /// log.
    ///
    /// A log whose initial contents are not known is trimmed once they are old
    /// enough: instances that are restarted more often than a log grows by `max`
    /// would otherwise never trim it. If the size of their records is known, the
    /// newest of them are kept as far as there is room.
    #[must_use]
    pub fn trim_offset(&self, now: Time, max: u64, full: Option<u64>) -> Option<u64> {
        let min_age_ms = full.unwrap_or(MIN_LOG_AGE_MS);
        let old = |mark: &&Mark| now.since(mark.at) >= min_age_ms;
        let enough = |mark: &&Mark| self.written - mark.written <= max;
        let mut olds = self.marks.iter().filter(old);
        let newest = olds.clone().next_back()?;
        if full.is_some() {
            return Some(newest.end);
        }
        let mark = olds.find(enough).unwrap_or(newest);
        let has_excess =
            mark.written > self.trimmed_bytes && self.written - self.trimmed_bytes > max;
        match has_excess {
            true => Some(mark.end),
            false if self.is_known => None,
            false => self.past_trim_offset(mark, max),
        }
    }

    /// The offset before which initial contents that end before a mark should be
    /// trimmed, if they should be.
    fn past_trim_offset(&self, mark: &Mark, max: u64) -> Option<u64> {
        let room = max.saturating_sub(self.written - self.trimmed_bytes);
        let kept = self.past_record_bytes.map_or(0, |bytes| room / bytes.max(1));
        let before = mark.end.saturating_sub(kept);
        (before > self.trimmed_to).then_some(before)
    }

    /// Records that the log, which may take `max` bytes, was trimmed before an
    /// offset, which freed so many bytes.
    pub fn record_trim(&mut self, before: u64, freed: Option<u64>, max: u64) -> Trim {
        let (was_known, bytes) = (self.is_known, self.bytes(max));
        self.trimmed(before);
        let was_unknown = !was_known && self.is_known;
        Trim { freed, counted: bytes - self.bytes(max), was_unknown }
    }

    /// Records that the log was trimmed before an offset. Its initial contents
    /// are gone once all records from before the first mark are.
    pub fn trimmed(&mut self, before: u64) {
        self.trimmed_to = self.trimmed_to.max(before);
        self.is_known |= self.marks.front().is_some_and(|mark| mark.end <= before);
        while self.marks.front().is_some_and(|mark| mark.end <= before) {
            if let Some(mark) = self.marks.pop_front() {
                self.trimmed_bytes = self.trimmed_bytes.max(mark.written);
            }
        }
    }
}

/// What a trim of a log removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trim {
    /// Bytes of the removed records, if they were sampled.
    pub freed: Option<u64>,
    /// Bytes that this instance had counted for them.
    pub counted: u64,
    /// Whether some of them were from before this instance's first read.
    pub was_unknown: bool,
}

/// What is known of the use of the store.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     capacity::{State, Purpose},
///     time::Time,
/// };
///
/// let mut state = State::new(1_000_000);
/// let (now, next_delete) = (Time(0), None);
/// state.update(now, 500_000, 100_000, 50_000);
/// assert!(state.allows(now, Purpose::Text, 1_000));
/// assert!(state.admit(now, 40_000, next_delete).is_ok());
/// // Live records, accepted jobs and this job exceed 600 KB.
/// assert!(state.admit(now, 60_000, next_delete).is_err());
/// // A refusal by the store takes precedence over the estimate.
/// state.record_refusal(now, 1_000);
/// assert_eq!(state.unaccounted(now), 1_000_000 - 1_000 - 600_000);
/// assert!(state.admit(now, 1, next_delete).is_err());
/// assert!(!state.allows(now, Purpose::Outcome, 1_000));
/// assert!(state.allows(now, Purpose::End, 1_000_000));
/// ```
#[derive(Clone, Debug)]
pub struct State {
    total: u64,
    live: u64,
    /// When `live` was last updated.
    live_at: Time,
    logs: u64,
    expected: u64,
    /// Bytes that this instance has appended since `appended_from`, and in the
    /// period before it.
    appended: [u64; 2],
    appended_from: Option<Time>,
    full_at: Option<Time>,
    /// Retention time of records in a log, in milliseconds.
    retention_ms: u64,
    /// Bytes that the estimate lacked when the store refused an append, and
    /// when that was.
    unaccounted: (u64, Time),
}

impl State {
    /// The state of an instance that has read nothing of a store with so many
    /// bytes of capacity.
    #[must_use]
    pub const fn new(total: u64) -> State {
        State {
            total,
            live: 0,
            live_at: Time(0),
            logs: 0,
            expected: 0,
            appended: [0, 0],
            appended_from: None,
            full_at: None,
            retention_ms: RETENTION_MS,
            unaccounted: (0, Time(0)),
        }
    }

    /// The same for logs whose records expire after `retention_ms`.
    #[must_use]
    pub const fn with_retention(mut self, retention_ms: u64) -> State {
        self.retention_ms = retention_ms;
        self
    }

    /// Updates the estimate: bytes of live records, bytes of logs, and bytes
    /// that accepted jobs will add.
    pub fn update(&mut self, now: Time, live: u64, logs: u64, expected: u64) {
        // Records that are no longer needed take space until they are deleted,
        // which takes a while, and a full store deletes nothing.
        let deleted = now.since(self.live_at) >= DELETE_MS && !self.is_full(now);
        if live >= self.live || deleted {
            self.live = live;
            self.live_at = now;
        }
        self.logs = logs;
        self.expected = expected;
        self.expire_appended(now);
        // What has been read since a refusal is no longer lacking.
        let (unaccounted, rest) = (self.unaccounted(now), self.total.saturating_sub(self.used()));
        if unaccounted > rest {
            self.unaccounted = (rest, now);
        }
    }

    /// Drops what this instance has appended once it is part of the estimate.
    const fn expire_appended(&mut self, now: Time) {
        let Some(from) = self.appended_from else {
            self.appended_from = Some(now);
            return;
        };
        let age_ms = now.since(from);
        if age_ms >= READ_BACK_MS {
            let last = if age_ms < 2 * READ_BACK_MS { self.appended[0] } else { 0 };
            (self.appended, self.appended_from) = ([0, last], Some(now));
        }
    }

    /// Adds bytes that this instance has appended: they are part of the estimate
    /// only once they were read, and a burst must not exceed the limits
    /// meanwhile.
    pub const fn appended(&mut self, bytes: u64) {
        self.appended[0] = self.appended[0].saturating_add(bytes);
    }

    /// Records that the store refused an append because it was full, of which
    /// this instance has not read enough to tell what the estimate lacks.
    pub const fn record_full(&mut self, now: Time) {
        self.full_at = Some(now);
    }

    /// Records that the store refused an append of so many bytes because it was
    /// full: the rest of its capacity is in use, whatever was known of it.
    pub fn record_refusal(&mut self, now: Time, bytes: u64) {
        self.full_at = Some(now);
        let lacking = self.total.saturating_sub(bytes).saturating_sub(self.used());
        if lacking >= self.unaccounted(now) {
            self.unaccounted = (lacking, now);
        }
    }

    /// Records that a log, counted with `before` bytes so far, was sampled and
    /// counts with `after` from now on. What the estimate lacked at a refusal
    /// changes by as much.
    pub const fn record_sample(&mut self, before: u64, after: u64) {
        let (bytes, at) = self.unaccounted;
        if bytes > 0 {
            self.unaccounted = (bytes.saturating_add(before).saturating_sub(after), at);
        }
    }

    /// Records that a log was trimmed, which `trim` tells about: appends need
    /// not wait any longer than the estimate says, and of what the estimate
    /// lacked, that part is gone which the log held.
    pub const fn record_trim(&mut self, trim: Trim) {
        self.full_at = None;
        let (bytes, at) = self.unaccounted;
        let beyond = match trim.freed {
            Some(freed) => freed.saturating_sub(trim.counted),
            None if trim.was_unknown => bytes,
            None => 0,
        };
        self.unaccounted = (bytes.saturating_sub(beyond), at);
    }

    /// Bytes in use beyond the estimate, as far as the store's refusals showed.
    /// They expire within the retention time of records, at an even rate if
    /// they were written at one.
    #[must_use]
    pub fn unaccounted(&self, now: Time) -> u64 {
        let (bytes, at) = self.unaccounted;
        let left_ms = self.retention_ms.saturating_sub(now.since(at));
        let left = u128::from(bytes) * u128::from(left_ms) / u128::from(self.retention_ms.max(1));
        u64::try_from(left).unwrap_or(bytes)
    }

    /// Whether the store recently refused an append because it was full.
    #[must_use]
    pub fn is_full(&self, now: Time) -> bool {
        self.full_at.is_some_and(|at| now.since(at) < FULL_MS)
    }

    /// The part of the capacity that is left for what the estimate includes.
    fn usable(&self, now: Time) -> u64 {
        self.total.saturating_sub(self.unaccounted(now))
    }

    /// Whether results have to wait for free space, so that logs are trimmed
    /// whatever their size. The store itself is not asked while they wait.
    #[must_use]
    pub fn is_short(&self, now: Time) -> bool {
        !self.allows(now, Purpose::Outcome, 0)
    }

    /// Estimated number of bytes in use.
    #[must_use]
    pub const fn used(&self) -> u64 {
        let appended = self.appended[0].saturating_add(self.appended[1]);
        self.live.saturating_add(self.logs).saturating_add(appended)
    }

    /// The capacity in bytes.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Bytes that the past of a log counts as, where none of its records is
    /// known to be larger than `record_bytes`, and whether that is so much that
    /// the log has to be sampled.
    #[must_use]
    pub fn past_bound(&self, records: u64, record_bytes: u64) -> (u64, bool) {
        let (bound, max) = (records.saturating_mul(record_bytes), self.max_log_bytes(1));
        (bound.min(max), bound > max)
    }

    /// Bytes that each of so many logs may take, whatever else is kept.
    #[must_use]
    pub fn max_log_bytes(&self, logs: usize) -> u64 {
        (self.total as f64 * LOGS_SHARE) as u64 / logs.max(1) as u64
    }

    /// Bytes beyond which a log is trimmed, where all logs hold so many bytes: an equal
    /// share of what live records and accepted jobs leave, and what smaller logs leave of
    /// theirs. At least [`State::max_log_bytes`].
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::{capacity::State, time::Time};
    ///
    /// let mut state = State::new(1_000_000);
    /// state.update(Time(0), 100_000, 0, 50_000);
    /// assert_eq!(state.trim_limit(&[400_000, 400_000]), 150_000);
    /// // A small log leaves the rest of its share to the other one.
    /// assert_eq!(state.trim_limit(&[400_000, 10_000]), 290_000);
    /// // None is trimmed while all of them have room.
    /// assert_eq!(state.trim_limit(&[200_000, 10_000]), 290_000);
    /// state.update(Time(1_000), 300_000, 0, 50_000);
    /// assert_eq!(state.trim_limit(&[400_000, 400_000]), state.max_log_bytes(2));
    /// ```
    #[must_use]
    pub fn trim_limit(&self, logs: &[u64]) -> u64 {
        let kept = self.live.saturating_add(self.expected);
        let mut spare = ((self.total as f64 * USED_SHARE) as u64).saturating_sub(kept);
        let mut sizes = logs.to_vec();
        sizes.sort_unstable();
        let mut share = spare;
        for (at, bytes) in sizes.iter().enumerate() {
            share = spare / (sizes.len() - at) as u64;
            if *bytes >= share {
                break;
            }
            spare -= bytes;
        }
        share.max(self.max_log_bytes(logs.len()))
    }

    /// Whether an append that adds so many bytes should be made now.
    #[must_use]
    pub fn allows(&self, now: Time, purpose: Purpose, bytes: u64) -> bool {
        if purpose.is_urgent() {
            return true;
        }
        let then = self.used().saturating_add(bytes);
        !self.is_full(now) && (then as f64) < self.usable(now) as f64 * purpose.share()
    }

    /// Decides whether a job that will take so many bytes may be accepted.
    ///
    /// # Errors
    ///
    /// The time in milliseconds after which there should be free space;
    /// `next_delete_ms` is the time until records are deleted next.
    pub fn admit(&self, now: Time, bytes: u64, next_delete_ms: Option<u64>) -> Result<(), u64> {
        let kept = self.live.saturating_add(self.expected).saturating_add(bytes);
        let (min, max) = RETRY_AFTER_MS;
        if kept as f64 > self.usable(now) as f64 * ADMISSION_SHARE {
            return Err(next_delete_ms.unwrap_or(min).clamp(min, max));
        }
        // Otherwise the space is taken by logs, which are trimmed each second.
        if self.allows(now, Purpose::Manifest, bytes) { Ok(()) } else { Err(min) }
    }
}

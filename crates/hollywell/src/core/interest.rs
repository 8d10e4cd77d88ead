//! Decides which jobs may run that were open in the store when this instance
//! started. A pure reducer.
//!
//! A job is open in the store until its end is stored. Ends that the store has
//! not taken yet are held in memory ([`crate::core::ending`]). If all instances
//! lose it at once, the store shows the job as if nobody had ended it, and an
//! instance that starts cannot tell it from a job that is wanted. Unless an
//! informed peer vouches for the jobs ([`crate::core::inquiry`]), those that were
//! open at the start are in doubt. Instances that start together may have read a
//! partition at different moments, and vouch for what was submitted after that. A
//! job in doubt runs once a caller waits for its results, at any instance, which
//! then notifies its peers: a caller that has ended a job does not wait for more
//! of it.
//!
//! A read that does not wait shows nothing, as dashboards and other clients read
//! results of ended jobs too, before and after the results are due. Nor does a
//! repeated submission: what repeats it need not know that the job was ended.
//!
//! Running what nobody asks for after some time was rejected: no time is long
//! enough to tell an ended job from a wanted one. Such a job stays in the store,
//! and runs when its caller returns within the time for which samples are kept.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::{roster, time::Time};

/// Interval between notifications of a peer that did not confirm, in
/// milliseconds.
const NOTIFY_MS: u64 = 300;
/// Maximum number of peers that are notified at a time.
const MAX_NOTICES: usize = 50;
/// Maximum number of jobs that are known to be wanted; the oldest are evicted
/// first. Far more than are open at a time.
const MAX_WANTED: usize = 4_096;

/// The jobs of one partition that are in doubt.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// The partition's end when it was first read to its end after the begin.
    first_end: Option<u64>,
    /// Jobs that were submitted before this offset are in doubt.
    before: u64,
}

/// A job that is wanted although it was in doubt.
#[derive(Clone, Debug, Default)]
struct Wanted {
    /// When this instance learned of it.
    since: Time,
    /// Whether a caller asked this instance.
    is_origin: bool,
    /// Peers that know of it.
    confirmed: BTreeSet<String>,
}

/// The jobs in doubt, and those that turned out to be wanted.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     interest::Interest,
///     time::Time,
/// };
///
/// let mut interest = Interest::new("a@10.0.0.1:80/1", 1);
/// interest.begin();
/// interest.record_end(0, 10);
/// // A job from before the start is in doubt until a caller waits for it.
/// assert!(interest.is_in_doubt(0, 9, "old"));
/// assert!(!interest.is_in_doubt(0, 10, "new"));
/// interest.record_wait(Time(1), "old");
/// assert!(!interest.is_in_doubt(0, 9, "old"));
/// ```
#[derive(Clone, Debug)]
pub struct Interest {
    own_id: String,
    parts: Vec<Doubt>,
    /// Whether peers tell this instance of ends.
    has_begun: bool,
    wanted: BTreeMap<String, Wanted>,
    /// Jobs in doubt that were reported as such.
    doubted: BTreeSet<String>,
    /// When each peer was last notified of something that it has not confirmed.
    notified_at: BTreeMap<String, Time>,
}

impl Interest {
    /// The state of an instance that starts: all jobs that it finds in its
    /// partitions are in doubt.
    #[must_use]
    pub fn new(own_id: &str, parts: usize) -> Interest {
        Interest {
            own_id: own_id.to_owned(),
            parts: vec![Doubt { first_end: None, before: u64::MAX }; parts],
            has_begun: false,
            wanted: BTreeMap::new(),
            doubted: BTreeSet::new(),
            notified_at: BTreeMap::new(),
        }
    }

    /// Records that this instance is told of ends from now on: it has asked its
    /// peers, or has none.
    pub const fn begin(&mut self) {
        self.has_begun = true;
    }

    /// Records that this instance may have missed ends, as it stood still: it knows
    /// no more than one that starts.
    pub fn restart(&mut self) {
        *self = Interest::new(&self.own_id, self.parts.len());
    }

    /// Records that a partition was read to its end. The first end after the begin
    /// separates jobs of which this instance would know if they had been ended
    /// from earlier ones.
    pub fn record_end(&mut self, part: usize, end: u64) {
        if let Some(doubt) = self.parts.get_mut(part)
            && self.has_begun
            && doubt.first_end.is_none()
        {
            doubt.first_end = Some(end);
            doubt.before = doubt.before.min(end);
        }
    }

    /// Records the offsets, by partition, before which jobs are in doubt for a
    /// peer: it was there when the others were submitted. An informed one of an
    /// earlier build states none, and doubts none.
    pub fn record_peer(&mut self, is_informed: bool, doubted_before: &[u64]) {
        let unstated = if is_informed { 0 } else { u64::MAX };
        for (part, doubt) in self.parts.iter_mut().enumerate() {
            doubt.before = doubt.before.min(doubted_before.get(part).copied().unwrap_or(unstated));
        }
        if !self.has_doubts() {
            self.wanted.clear();
            self.doubted.clear();
        }
    }

    /// The offsets, by partition, before which jobs are in doubt.
    #[must_use]
    pub fn doubted_before(&self) -> Vec<u64> {
        self.parts.iter().map(|doubt| doubt.before).collect()
    }

    /// Whether all partitions were read to their ends, so that no further job will
    /// be in doubt.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.parts.iter().all(|doubt| doubt.first_end.is_some())
    }

    /// Whether any job may be in doubt.
    #[must_use]
    pub fn has_doubts(&self) -> bool {
        self.parts.iter().any(|doubt| doubt.before > 0)
    }

    /// Whether a job is in doubt; `offset` is that of its submission.
    #[must_use]
    pub fn is_in_doubt(&self, part: usize, offset: u64, job: &str) -> bool {
        let is_old = self.parts.get(part).is_some_and(|doubt| offset < doubt.before);
        is_old && !self.wanted.contains_key(job)
    }

    /// Records that a job waits, as it is in doubt; returns whether it is the first
    /// time.
    pub fn doubt(&mut self, job: &str) -> bool {
        self.doubted.insert(job.to_owned())
    }

    /// Records that a caller waits for results of a job, which is therefore wanted.
    /// Each instance that was asked notifies peers, as another may be lost.
    pub fn record_wait(&mut self, now: Time, job: &str) {
        self.want(now, job).is_origin = true;
    }

    /// Records jobs that are wanted according to a peer. Returns those that were
    /// not known to be.
    pub fn record_report(&mut self, now: Time, by: &str, jobs: Vec<String>) -> Vec<String> {
        if !self.has_doubts() {
            return vec![];
        }
        let is_new = |job: &String| !self.wanted.contains_key(job);
        let new: Vec<String> = jobs.iter().filter(|job| is_new(job)).cloned().collect();
        for job in jobs {
            self.want(now, &job).confirmed.insert(by.to_owned());
        }
        new
    }

    fn want(&mut self, now: Time, job: &str) -> &mut Wanted {
        if self.wanted.len() >= MAX_WANTED && !self.wanted.contains_key(job) {
            let oldest = self.wanted.iter().min_by_key(|(_, wanted)| wanted.since);
            if let Some(oldest) = oldest.map(|(job, _)| job.clone()) {
                self.wanted.remove(&oldest);
            }
        }
        let first = || Wanted { since: now, ..Wanted::default() };
        self.wanted.entry(job.to_owned()).or_insert_with(first)
    }

    /// Forgets a job whose end was requested or read, or that was deleted.
    pub fn forget(&mut self, job: &str) {
        self.wanted.remove(job);
        self.doubted.remove(job);
    }

    /// Whether a job is wanted although it was in doubt.
    #[must_use]
    pub fn is_wanted(&self, job: &str) -> bool {
        self.wanted.contains_key(job)
    }

    /// The jobs that are wanted although they were in doubt.
    pub fn wanted(&self) -> impl Iterator<Item = &str> {
        self.wanted.keys().map(String::as_str)
    }

    /// The peers to notify now, and of which jobs.
    pub fn due_notices(&mut self, now: Time, members: &[String]) -> Vec<(String, Vec<String>)> {
        self.notified_at.retain(|member, _| members.contains(member));
        let own = roster::instance(&self.own_id);
        let mut notices = Vec::new();
        for member in members.iter().filter(|member| roster::instance(member) != own) {
            if self.notified_at.get(member).is_some_and(|at| now.since(*at) < NOTIFY_MS) {
                continue;
            }
            let is_open = |wanted: &Wanted| wanted.is_origin && !wanted.confirmed.contains(member);
            let jobs = self.wanted.iter().filter(|(_, wanted)| is_open(wanted));
            let jobs: Vec<String> = jobs.map(|(job, _)| job.clone()).collect();
            if !jobs.is_empty() {
                notices.push((member.clone(), jobs));
            }
            if notices.len() == MAX_NOTICES {
                break;
            }
        }
        for (member, _) in &notices {
            self.notified_at.insert(member.clone(), now);
        }
        notices
    }

    /// Records that a peer knows that jobs are wanted.
    pub fn confirm(&mut self, member: &str, jobs: &[String]) {
        self.notified_at.remove(member);
        for job in jobs {
            if let Some(wanted) = self.wanted.get_mut(job) {
                wanted.confirmed.insert(member.to_owned());
            }
        }
    }
}

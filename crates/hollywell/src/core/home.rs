//! Decides which of the store's partitions is the home of a job. A pure state
//! with the answers of one instance, and the decision of one that moves a job.
//! Nothing in [`crate::entry`] uses it yet: `docs/design/home.md` lists what is
//! open before that.
//!
//! The load that it answers: a store of several partitions loses some of them
//! for a while. A job's home is given by its id, so new jobs whose home is away
//! are refused for as long as the partition is away, although others answer.
//! Here a new job gets another home, by agreement of all live instances.
//!
//! A job has one home for good: whoever has served a job from one partition must
//! never read that it is in another, because results keep their positions.
//! Therefore a job moves only before anybody knows it. The manifest at the new
//! home says that the job was moved, and always wins over a manifest without
//! that mark, in whatever order the two are read. Comparing offsets was
//! rejected: the store keeps only the newest manifest of a key, so an append
//! that is executed late hides where an earlier one was.
//!
//! What makes this safe, each of which `tests/home.rs` shows to be needed:
//!
//! - All members agree, and a member that has agreed believes no manifest of the
//!   job at its first home until the move is resolved.
//! - The group had no change from before one of them read the first home to its
//!   end until after all had agreed. Otherwise an instance that has left may
//!   have served the job from there, where nobody else reads now.
//! - The append at the new home has an epoch, so it can be fenced. The epoch is
//!   derived from the partition's end and not from a clock.
//! - An instance that has started, or whose membership lapsed, believes no
//!   further manifest and accepts no job until it is settled: it knows all moves
//!   that were agreed without it.
//!
//! Not part of this module: calls, records, and the policy that counts a
//! partition as away.

use std::collections::{BTreeMap, BTreeSet};

/// Largest number of members that are asked. Each move asks all of them, so an
/// instance with a tenth of a core would be busy for a second with more.
pub const MAX_MEMBERS: usize = 320;
/// Bits of an epoch that tell apart moves noted at the same end of a partition.
const SALT_BITS: u32 = 16;

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Home {
    /// This instance knows of no such job.
    Unknown,
    /// In this partition, for good.
    At(usize),
    /// This instance must not say: the job may be in one of two partitions.
    Undecided,
}

/// A move of a job to another home than the one given by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Move {
    /// The partition given by the job's id.
    pub from: usize,
    /// The new home.
    pub to: usize,
    /// Epoch of the append at the new home.
    pub epoch: u64,
}

/// A member's answer to the request for a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The member takes part in the move.
    Agreed {
        /// The group's generation when the member requested its last read of the
        /// first home that reached the end; `None` if there was none since the
        /// member joined, or if it showed a manifest of the job.
        read_in: Option<u64>,
    },
    /// The member knows the job.
    Known,
    /// The first home answers the member.
    Reached,
    /// The member has agreed to a move of the job to another partition.
    Busy,
    /// The member does not know all moves agreed without it.
    Unsettled,
}

/// What a member knows of moves, for an instance that is not settled.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Moves {
    /// Moves that are not resolved, by job.
    pub pending: BTreeMap<String, BTreeSet<Move>>,
    /// Homes of jobs that were moved.
    pub moved: BTreeMap<String, usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Job {
    /// Partition of a manifest without the mark of a move.
    plain: Option<usize>,
    /// That partition was the job's home here. It stays the home.
    is_believed: bool,
    /// Partition of a manifest with the mark.
    moved: Option<usize>,
    /// Agreed moves that are not resolved.
    pending: BTreeSet<Move>,
}

impl Job {
    fn believe(&mut self) {
        self.is_believed |= self.plain.is_some() && self.pending.is_empty();
    }
}

/// One instance's knowledge of the homes of jobs.
///
/// # Example
///
/// ```
/// use hollywell::core::home::{Answer, Home, Move, State};
///
/// let mut state = State::new(2);
/// state.settle();
/// state.record_read(0, 7);
/// state.record_failure(0);
/// let to_other = Move { from: 0, to: 1, epoch: 5 };
/// assert_eq!(state.prepare("j", to_other), Answer::Agreed { read_in: Some(7) });
/// // An append of an instance that is gone is executed late, at the first home.
/// state.record_manifest("j", 0, false);
/// assert_eq!(state.home("j"), Home::Undecided);
/// state.record_manifest("j", 1, true);
/// assert_eq!(state.home("j"), Home::At(1));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// This instance knows all moves agreed without it.
    is_settled: bool,
    /// For each partition, the group's generation when the last read that
    /// reached the end was requested.
    read_in: Vec<Option<u64>>,
    /// Whether the last call of each partition succeeded.
    is_reached: Vec<bool>,
    jobs: BTreeMap<String, Job>,
}

impl State {
    /// Creates the state of an instance that starts, for a number of partitions.
    #[must_use]
    pub fn new(parts: usize) -> State {
        State {
            is_settled: false,
            read_in: vec![None; parts],
            is_reached: vec![false; parts],
            jobs: BTreeMap::new(),
        }
    }

    /// Returns true if this instance knows all moves agreed without it.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Where a job is. A caller that asks for a job that is
    /// [`Home::Undecided`] must be told to retry.
    #[must_use]
    pub fn home(&self, job: &str) -> Home {
        let Some(job) = self.jobs.get(job) else {
            return Home::Unknown;
        };
        match (job.moved, job.plain) {
            (Some(part), _) => Home::At(part),
            (None, Some(part)) if job.is_believed => Home::At(part),
            (None, Some(_)) => Home::Undecided,
            (None, None) if job.pending.is_empty() => Home::Unknown,
            (None, None) => Home::Undecided,
        }
    }

    /// Whether this instance may append the manifest of a job at the home given
    /// by its id.
    #[must_use]
    pub fn may_append(&self, job: &str) -> bool {
        self.is_settled && self.home(job) == Home::Unknown
    }

    /// Records that the store has acknowledged a manifest without the mark that
    /// this instance appended. Returns the job's home; unless it is
    /// [`Home::At`], the submitter must not be told that the job is accepted.
    pub fn record_append(&mut self, job: &str, part: usize) -> Home {
        self.record_manifest(job, part, false);
        self.home(job)
    }

    /// Records a manifest that was read in a partition.
    pub fn record_manifest(&mut self, job: &str, part: usize, is_moved: bool) {
        let is_settled = self.is_settled;
        let job = self.jobs.entry(job.to_owned()).or_default();
        if is_moved {
            job.moved = Some(part);
            job.pending.clear();
            return;
        }
        job.plain = Some(part);
        if is_settled {
            job.believe();
        }
    }

    /// Forgets a job whose records were deleted.
    pub fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Records that a partition was read to its end. `generation` is that of the
    /// group when the read was requested, as confirmed by the store before.
    pub fn record_read(&mut self, part: usize, generation: u64) {
        self.read_in[part] = Some(generation);
        self.is_reached[part] = true;
    }

    /// Records that a call of a partition failed.
    pub fn record_failure(&mut self, part: usize) {
        self.is_reached[part] = false;
    }

    /// Records that this instance's membership is no longer confirmed.
    pub fn lapse(&mut self) {
        self.is_settled = false;
        self.read_in.fill(None);
    }

    /// Records that this instance, after it has joined, has fenced each
    /// partition with the epoch of its end ([`fence`]) and read it to its end.
    pub fn settle(&mut self) {
        self.is_settled = true;
        for job in self.jobs.values_mut() {
            job.believe();
        }
    }

    /// Settles this instance by the moves that a settled member knows, asked for
    /// after this instance has joined. No partition need be read for that.
    pub fn adopt(&mut self, moves: &Moves) {
        for (job, pending) in &moves.pending {
            let job = self.jobs.entry(job.clone()).or_default();
            if job.moved.is_none() {
                job.pending.extend(pending);
            }
        }
        for (job, part) in &moves.moved {
            self.record_manifest(job, *part, true);
        }
        self.settle();
    }

    /// What an instance that is not settled has to know; `None` if this one is
    /// not settled either.
    #[must_use]
    pub fn moves(&self) -> Option<Moves> {
        let pending = self.jobs.iter().filter(|(_, job)| !job.pending.is_empty());
        let moved = self.jobs.iter().filter_map(|(id, job)| Some((id.clone(), job.moved?)));
        self.is_settled.then(|| Moves {
            pending: pending.map(|(id, job)| (id.clone(), job.pending.clone())).collect(),
            moved: moved.collect(),
        })
    }

    /// Answers a request for a move.
    pub fn prepare(&mut self, job: &str, requested: Move) -> Answer {
        if !self.is_settled {
            return Answer::Unsettled;
        }
        if let Home::At(_) = self.home(job) {
            return Answer::Known;
        }
        if self.is_reached[requested.from] {
            return Answer::Reached;
        }
        let entry = self.jobs.entry(job.to_owned()).or_default();
        // Two moves to the same partition do no harm: the job gets two
        // manifests at one home.
        if entry.pending.iter().any(|pending| pending.to != requested.to) {
            return Answer::Busy;
        }
        entry.pending.insert(requested);
        // A manifest that was read and is not believed may have been believed
        // by an instance that has left, so the read proves nothing.
        let read_in = self.read_in[requested.from].filter(|_| entry.plain.is_none());
        Answer::Agreed { read_in }
    }

    /// Resolves one move, of which its mover says that it will never be
    /// appended.
    pub fn release(&mut self, job: &str, released: Move) {
        self.resolve(job, |pending| *pending == released);
    }

    /// Resolves the moves of a job to a partition that was fenced with `epoch`
    /// and then read to its end, where no manifest of the job was found.
    pub fn record_absent(&mut self, job: &str, to: usize, epoch: u64) {
        self.resolve(job, |pending| pending.to == to && pending.epoch < epoch);
    }

    fn resolve(&mut self, id: &str, is_resolved: impl Fn(&Move) -> bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.pending.retain(|pending| !is_resolved(pending));
        if self.is_settled {
            job.believe();
        }
        if *job == Job::default() {
            self.jobs.remove(id);
        }
    }

    /// The moves of a job that are not resolved.
    pub fn pending(&self, job: &str) -> impl Iterator<Item = &Move> {
        self.jobs.get(job).into_iter().flat_map(|job| &job.pending)
    }
}

/// What to do about a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Members have not answered yet.
    Wait,
    /// Append the manifest at the new home.
    Append,
    /// The job is known, so the submission is a duplicate.
    Known,
    /// Release the members that have agreed, and answer as if there were no
    /// other partition.
    Refuse,
}

/// A move, at the instance that received the submission.
///
/// # Example
///
/// ```
/// use hollywell::core::home::{Answer, Move, Mover, Verdict};
///
/// let to_other = Move { from: 0, to: 1, epoch: 5 };
/// let mut mover = Mover::new(to_other, 7, ["a", "b"]);
/// mover.record("a", Answer::Agreed { read_in: Some(7) });
/// assert_eq!(mover.verdict(7), Verdict::Wait);
/// mover.record("b", Answer::Agreed { read_in: None });
/// assert_eq!(mover.verdict(7), Verdict::Append);
/// // A member joined or left meanwhile.
/// assert_eq!(mover.verdict(8), Verdict::Refuse);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Mover {
    /// The move.
    pub requested: Move,
    generation: u64,
    answers: BTreeMap<String, Option<Answer>>,
}

impl Mover {
    /// Begins a move in a generation of the group, whose members were listed
    /// after the generation was received.
    pub fn new<'a>(
        requested: Move,
        generation: u64,
        members: impl IntoIterator<Item = &'a str>,
    ) -> Mover {
        let answers = members.into_iter().map(|member| (member.to_owned(), None)).collect();
        Mover { requested, generation, answers }
    }

    /// The members that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &str> {
        self.answers
            .iter()
            .filter(|(_, answer)| answer.is_none())
            .map(|(member, _)| member.as_str())
    }

    /// Records a member's answer.
    pub fn record(&mut self, member: &str, answer: Answer) {
        if let Some(slot) = self.answers.get_mut(member) {
            *slot = Some(answer);
        }
    }

    /// What to do, given the generation of the group as received from the store
    /// after the last answer.
    #[must_use]
    pub fn verdict(&self, generation: u64) -> Verdict {
        let answers = || self.answers.values().flatten();
        if answers().any(|answer| *answer == Answer::Known) {
            return Verdict::Known;
        }
        let is_agreed = |answer: &&Answer| matches!(answer, Answer::Agreed { .. });
        let is_refused = answers().any(|answer| !is_agreed(&answer));
        if is_refused || self.answers.len() > MAX_MEMBERS {
            return Verdict::Refuse;
        }
        if self.answers.values().any(Option::is_none) {
            return Verdict::Wait;
        }
        let read = Answer::Agreed { read_in: Some(self.generation) };
        if self.generation == generation && answers().any(|answer| *answer == read) {
            return Verdict::Append;
        }
        Verdict::Refuse
    }
}

/// The epoch of a move to a partition that ends at `end`. `salt` tells apart
/// movers that noted the same end.
#[must_use]
pub fn epoch(end: u64, salt: u16) -> u64 {
    (end << SALT_BITS) | u64::from(salt)
}

/// The epoch that fences all moves noted before a partition ended at `end`.
#[must_use]
pub fn fence(end: u64) -> u64 {
    (end + 1) << SALT_BITS
}

/// The partitions of a job in the order in which they are its home: first the
/// one given by the hash of its id, then the others, which the rest of the hash
/// orders, so that the jobs of a partition that is away spread over all others.
///
/// # Example
///
/// ```
/// use hollywell::core::home::ranked;
///
/// assert_eq!(ranked(6, 4).collect::<Vec<_>>(), [2, 0, 1, 3]);
/// assert_eq!(ranked(6, 1).collect::<Vec<_>>(), [0]);
/// ```
pub fn ranked(hash: u64, parts: usize) -> impl Iterator<Item = usize> {
    let parts = parts.max(1) as u64;
    let (first, others) = (hash % parts, (parts - 1).max(1));
    let start = hash / parts % others;
    let next = move |rank: u64| (first + 1 + (start + rank) % others) % parts;
    let all = std::iter::once(first).chain((0..parts - 1).map(next));
    all.map(|part| usize::try_from(part).unwrap_or_default())
}

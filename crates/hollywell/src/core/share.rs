//! Decides which waiting sample takes the next place of a short pool.
//!
//! This answers a pool with fewer places than samples that wait: several
//! trainers ask at once after a loss, one is behind the others, or one
//! organisation asks for many times its share. Without shares, whoever asks
//! most takes most; without due times, a step that could be in time waits
//! behind one that cannot.
//!
//! The order, from the outside in:
//!
//! 1. An organisation, or a trainer of one, that waits and got no place for
//!    [`PATIENCE_MS`] takes the next one, whatever its priority.
//! 2. Priorities are strict classes.
//! 3. Samples that a trainer waits for ([`Quorum`]) and that can be complete in
//!    time go first, then the other ones that can, then those that cannot.
//! 4. Organisations have max-min shares: whoever started the fewest tokens goes
//!    first ([`Ledger`]).
//! 5. In an organisation, the job that is due first goes first; a job's own
//!    samples come in their order, the longest first, as a step ends with its
//!    longest sample.
//!
//! What cannot be complete in time is found for whole steps, since one step that
//! is complete is of more use than two that are not. Ordering samples by their
//! own slack, the time until they are due less that of their run, was tried: it
//! starts the longest samples of all steps first, and all of them end late.
//!
//! The order only says who takes a place, not whether one is free, so a share
//! that nobody asks for is lent at once. It is taken back as places become
//! free, never by ending a run: runs last for about a second, and one that is
//! ended has to be read in again elsewhere.
//!
//! An instance orders what it has folded from the store and counts the tokens
//! that it started itself. Samples are assigned to instances evenly by a hash,
//! so shares that hold at each instance hold in the pool. Instances that have
//! read different records may order differently for as long as a record takes
//! to reach them; no sample runs twice for that, since the order does not say
//! who runs a sample.
//!
//! Which target a sample takes is decided in [`crate::core::choice`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::core::time::Time;

/// Time after which an organisation or a trainer that waits takes the next place
/// before all others, in milliseconds. Callers read results about twice a second and give
/// a job several seconds, so that one that progresses this often is seen to.
pub const PATIENCE_MS: u64 = 3_000;

/// How waiting samples are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// Jobs in the order of their arrival, each one's samples in their order.
    #[default]
    Arrival,
    /// The earliest due first.
    EarliestDue,
    /// The least slack first.
    LeastSlack,
    /// Equal shares of organisations and trainers, each one's jobs by arrival.
    Shares,
    /// The order of this module: as many groups in time as possible.
    InTime,
}

/// The order for the jobs of one pool: by shares where their priorities differ,
/// which is so where organisations have priorities of their own; else by
/// arrival.
#[must_use]
pub fn rule(jobs: &[Job<'_>]) -> Rule {
    let differs = jobs.windows(2).any(|pair| pair[0].priority != pair[1].priority);
    if differs { Rule::InTime } else { Rule::Arrival }
}

/// A job with samples that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job<'a> {
    /// Its id.
    pub id: &'a str,
    /// The organisation that owns it; empty if there are none.
    pub organisation: &'a str,
    /// The trainer that asks, by its model.
    pub trainer: &'a str,
    /// Its class; 0 is the highest.
    pub priority: u8,
    /// When its results are due; a job without a time has slack without end.
    pub due: Option<Time>,
    /// When it became known here.
    pub opened: Time,
    /// Its groups.
    pub quorum: &'a Quorum,
}

/// The places of a pool, of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Requests that its targets serve at the same time.
    pub places: f64,
    /// Time that one of them takes for a token, in milliseconds.
    pub token_ms: f64,
}

/// A sample that waits for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Position of its job in the list of jobs.
    pub job: usize,
    /// Index of the sample in its job.
    pub sample: usize,
    /// Index of its group in its job.
    pub group: usize,
    /// Estimated tokens to generate.
    pub tokens: u32,
    /// Expected time of its run at the pace now, in milliseconds.
    pub run_ms: u64,
    /// Whether the trainer waits for its group.
    pub wanted: bool,
}

/// Orders waiting samples; the first one takes the next place. `waiting` comes
/// in the order of arrival, which decides among equals.
///
/// # Example
///
/// ```
/// use hollywell::core::{
///     share::{Job, Ledger, Quorum, Rule, Supply, Waiting, order}, time::Time,
/// };
///
/// let quorum = Quorum::new(0, ["a", "b", "c"].map(|group| (group, 500, false, false)));
/// let job = |id, organisation, due| Job {
///     id, organisation, trainer: "m", priority: 1, due: Some(Time(due)), opened: Time(0),
///     quorum: &quorum,
/// };
/// let waiting = |job, sample| Waiting {
///     job, sample, group: sample, tokens: 500, run_ms: 400, wanted: true,
/// };
/// let jobs = [job("a", "many", 5_000), job("b", "few", 9_000)];
/// let all = vec![waiting(0, 0), waiting(0, 1), waiting(0, 2), waiting(1, 0)];
/// let supply = Supply { places: 1.0, token_ms: 0.8 };
/// let order = order(Rule::InTime, Time(10), supply, &jobs, all, &mut Ledger::default());
/// // The organisation with one sample need not wait for the one with three,
/// // although its results are due later.
/// let order: Vec<_> = order.iter().map(|next| jobs[next.job].id).collect();
/// assert_eq!(order, ["a", "b", "a", "a"]);
/// ```
#[must_use]
pub fn order(
    rule: Rule,
    now: Time,
    supply: Supply,
    jobs: &[Job<'_>],
    waiting: Vec<Waiting>,
    ledger: &mut Ledger,
) -> Vec<Waiting> {
    let mut waiting = waiting;
    ledger.late = 0;
    if waiting.is_empty() {
        return waiting;
    }
    let due = |next: &Waiting| jobs[next.job].due.map_or(u64::MAX, |due| due.0);
    let name = |next: &Waiting| match rule {
        Rule::Shares => (jobs[next.job].organisation, jobs[next.job].trainer),
        _ => (jobs[next.job].organisation, ""),
    };
    ledger.settle(now, waiting.iter().map(name));
    match rule {
        Rule::Arrival => waiting,
        Rule::EarliestDue => {
            waiting.sort_by_key(|next| (due(next), jobs[next.job].id));
            waiting
        }
        Rule::LeastSlack => {
            let slack = |next: &Waiting| due(next).saturating_sub(next.run_ms);
            waiting.sort_by_key(|next| (slack(next), jobs[next.job].id));
            waiting
        }
        Rule::Shares => {
            let key = |next: &Waiting| (jobs[next.job].priority, Tier::of(next, false));
            waiting.sort_by_key(key);
            let shared = deal(&waiting, key, name, ledger);
            overdue_first(now, jobs, shared, ledger)
        }
        Rule::InTime => {
            let mut late = late_groups(now, supply, jobs);
            let is_late = |next: &&Waiting| {
                jobs[next.job].due.is_some_and(|due| due.since(now) < next.run_ms)
            };
            late.extend(waiting.iter().filter(is_late).map(|next| (next.job, next.group)));
            let key = |next: &Waiting| {
                let is_late = late.contains(&(next.job, next.group));
                (jobs[next.job].priority, Tier::of(next, is_late))
            };
            waiting.sort_by_key(|next| (key(next), due(next), jobs[next.job].id));
            ledger.late = waiting.iter().filter(|next| key(next).1 == Tier::Late).count();
            let shared = deal(&waiting, key, name, ledger);
            overdue_first(now, jobs, shared, ledger)
        }
    }
}

/// How a sample's wait ends, in the order in which samples go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Its trainer waits for it, and it can be complete in time.
    Wanted,
    /// It can be complete in time, but its trainer can go on without it.
    Spare,
    /// Its group cannot be complete in time.
    Late,
}

impl Tier {
    const fn of(next: &Waiting, is_late: bool) -> Tier {
        match (is_late, next.wanted) {
            (true, _) => Tier::Late,
            (false, true) => Tier::Wanted,
            (false, false) => Tier::Spare,
        }
    }
}

/// The groups that cannot be complete in time if as many steps as possible are:
/// of the groups in the order in which they are due, one is left out each time
/// that they do not fit (after Moore's algorithm), of the job that has most left
/// to do. A job from which one was left out is left out from first, since its
/// trainer goes on at its due time anyhow.
fn late_groups(now: Time, supply: Supply, jobs: &[Job<'_>]) -> BTreeSet<(usize, usize)> {
    let mut late = BTreeSet::new();
    let asked: BTreeMap<&str, u64> = jobs.iter().fold(BTreeMap::new(), |mut asked, job| {
        *asked.entry(job.organisation).or_default() += job.quorum.tokens_left();
        asked
    });
    let all: u64 = asked.values().sum();
    // Samples that run are half done in the mean.
    let samples: usize = jobs.iter().map(|job| job.quorum.samples_left()).sum();
    let running = (samples as f64).min(supply.places) / samples.max(1) as f64;
    let begun = (all as f64 * running / 2.0) as u64;
    for (organisation, own) in &asked {
        // An equal share, and what the others leave.
        let room = |due: Time| {
            let tokens = (supply.places * due.since(now) as f64 / supply.token_ms) as u64;
            let tokens = tokens.saturating_add(begun);
            (tokens / asked.len() as u64).max(tokens.saturating_sub(all - own))
        };
        let own = jobs.iter().enumerate().filter(|(_, job)| job.organisation == *organisation);
        let mut groups: Vec<(Time, usize, usize, &Group)> = own
            .filter_map(|(at, job)| Some((job.due?, at, job)))
            .flat_map(|(due, at, job)| {
                let groups = job.quorum.groups.iter().enumerate();
                let left = groups.filter(|(_, group)| group.left > 0);
                left.map(move |(group, work)| (due, at, group, work))
            })
            .collect();
        groups.sort_by_key(|(due, job, _, group)| {
            (jobs[*job].priority, !group.wanted, *due, jobs[*job].id)
        });
        let mut kept = Kept::default();
        for (due, job, group, work) in groups {
            let left = (jobs[job].quorum.tokens_left(), jobs[job].id);
            kept.add(left, Chosen { tokens: work.tokens, job, group });
            while kept.tokens > room(due)
                && let Some(chosen) = kept.leave_out()
            {
                late.insert((chosen.job, chosen.group));
            }
        }
    }
    late
}

/// A group that is to be complete in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Chosen {
    tokens: u64,
    job: usize,
    group: usize,
}

/// The groups that are to be complete in time, by what is left of their jobs.
#[derive(Debug, Default)]
struct Kept<'a> {
    tokens: u64,
    whole: BTreeMap<(u64, &'a str), BTreeSet<Chosen>>,
    /// Of jobs from which a group was left out.
    short: BTreeMap<(u64, &'a str), BTreeSet<Chosen>>,
}

impl<'a> Kept<'a> {
    fn add(&mut self, job: (u64, &'a str), chosen: Chosen) {
        self.tokens = self.tokens.saturating_add(chosen.tokens);
        let all = match self.short.get_mut(&job) {
            Some(short) => short,
            None => self.whole.entry(job).or_default(),
        };
        all.insert(chosen);
    }

    fn leave_out(&mut self) -> Option<Chosen> {
        let is_left = |(_, groups): &(&(u64, &str), &mut BTreeSet<Chosen>)| !groups.is_empty();
        let chosen = match self.short.iter_mut().rfind(is_left) {
            Some((_, groups)) => groups.pop_last(),
            None => {
                let (job, groups) = self.whole.pop_last()?;
                self.short.entry(job).or_insert(groups).pop_last()
            }
        };
        self.tokens -= chosen.map_or(0, |chosen| chosen.tokens);
        chosen
    }
}

/// Deals places out, among those with the same key, to whichever name has taken
/// the least. `sorted` is sorted by the key.
fn deal<'a, K: PartialEq>(
    sorted: &[Waiting],
    key: impl Fn(&Waiting) -> K,
    name: impl Fn(&Waiting) -> Name<'a>,
    ledger: &Ledger,
) -> Vec<Waiting> {
    let names: BTreeSet<Name<'a>> = sorted.iter().map(&name).collect();
    if names.len() < 2 {
        return sorted.to_vec();
    }
    let mut clocks: BTreeMap<Name<'a>, u64> =
        names.into_iter().map(|name| (name, ledger.clock(name))).collect();
    let mut dealt = Vec::with_capacity(sorted.len());
    for block in sorted.chunk_by(|a, b| key(a) == key(b)) {
        let mut queues: BTreeMap<Name<'a>, VecDeque<(usize, Waiting)>> = BTreeMap::new();
        for (at, next) in block.iter().enumerate() {
            queues.entry(name(next)).or_default().push_back((at, *next));
        }
        let key = |(name, queue): &(&Name<'a>, &VecDeque<_>), clocks: &BTreeMap<Name<'a>, u64>| {
            (clocks.get(*name).copied(), queue.front().map(|(at, _)| *at))
        };
        while let Some((least, _)) = queues.iter().min_by_key(|queue| key(queue, &clocks)) {
            let least = *least;
            let Some((_, next)) = queues.get_mut(&least).and_then(VecDeque::pop_front) else {
                queues.remove(&least);
                continue;
            };
            *clocks.entry(least).or_default() += u64::from(next.tokens.max(1));
            dealt.push(next);
        }
    }
    dealt
}

/// Puts one sample of each organisation and trainer that waits for too long in
/// front, the one that has waited longest first.
fn overdue_first(
    now: Time,
    jobs: &[Job<'_>],
    order: Vec<Waiting>,
    ledger: &Ledger,
) -> Vec<Waiting> {
    let name = |next: &Waiting| (jobs[next.job].organisation, jobs[next.job].trainer);
    let mut since: BTreeMap<Name<'_>, Time> = BTreeMap::new();
    for next in &order {
        let opened = jobs[next.job].opened;
        let first = since.entry(name(next)).or_insert(opened);
        *first = opened.min(*first);
    }
    since.retain(|name, since| now.since((*since).max(ledger.started_at(*name))) >= PATIENCE_MS);
    if since.is_empty() {
        return order;
    }
    let mut first = Vec::new();
    let mut rest = Vec::with_capacity(order.len());
    for next in order {
        match since.remove(&name(&next)) {
            Some(since) => first.push((since.max(ledger.started_at(name(&next))), next)),
            None => rest.push(next),
        }
    }
    first.sort_by_key(|(since, _)| *since);
    first.into_iter().map(|(_, next)| next).chain(rest).collect()
}

/// An organisation and a trainer of it.
type Name<'a> = (&'a str, &'a str);

/// What an instance started for each organisation and trainer: tokens, as
/// clocks that advance with them. The one whose clock is behind goes first. A
/// clock that stands while its owner asks for nothing is set to the least of
/// those that wait, so that a share that was not asked for cannot be saved up.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Samples that waited at the last ordering and cannot be in time.
    late: usize,
    least: u64,
    clocks: BTreeMap<String, BTreeMap<String, u64>>,
    /// When one last took a place.
    started: BTreeMap<String, BTreeMap<String, Time>>,
}

impl Ledger {
    /// Records that a sample of a job took a place.
    pub fn start(&mut self, now: Time, rule: Rule, job: &Job<'_>, tokens: u32) {
        let trainer = if rule == Rule::Shares { job.trainer } else { "" };
        let clock = self.clock((job.organisation, trainer)) + u64::from(tokens.max(1));
        *entry(&mut self.clocks, (job.organisation, trainer)) = clock;
        *entry(&mut self.started, (job.organisation, job.trainer)) = now;
    }

    /// Samples that waited at the last ordering and cannot be in time.
    #[must_use]
    pub fn late(&self) -> usize {
        self.late
    }

    fn clock(&self, (organisation, trainer): Name<'_>) -> u64 {
        let known = self.clocks.get(organisation).and_then(|all| all.get(trainer));
        known.copied().unwrap_or(0).max(self.least)
    }

    fn started_at(&self, (organisation, trainer): Name<'_>) -> Time {
        let known = self.started.get(organisation).and_then(|all| all.get(trainer));
        known.copied().unwrap_or(Time(0))
    }

    /// Sets the clocks of all that do not wait, and forgets what has no effect
    /// any more.
    fn settle<'a>(&mut self, now: Time, waiting: impl Iterator<Item = Name<'a>>) {
        if let Some(least) = waiting.map(|name| self.clock(name)).min() {
            self.least = least;
        }
        let least = self.least;
        self.clocks.retain(|_, all| {
            all.retain(|_, clock| *clock > least);
            !all.is_empty()
        });
        self.started.retain(|_, all| {
            all.retain(|_, at| now.since(*at) < PATIENCE_MS);
            !all.is_empty()
        });
    }
}

fn entry<'a, T: Default>(
    all: &'a mut BTreeMap<String, BTreeMap<String, T>>,
    (organisation, trainer): Name<'_>,
) -> &'a mut T {
    if !all.contains_key(organisation) {
        all.insert(organisation.to_owned(), BTreeMap::new());
    }
    let all = all.entry(organisation.to_owned()).or_default();
    all.entry(trainer.to_owned()).or_default()
}

/// The groups of a job that its trainer waits for.
///
/// A trainer goes on once it has a number of complete groups and all resumed
/// samples. Wanted are the groups with resumed samples, those that are complete,
/// and of the others those with the shortest longest sample, as many as are
/// missing. All of this is folded from the store, so every instance finds the
/// same groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quorum {
    /// Number of complete groups that the trainer waits for.
    count: usize,
    /// Group, estimated tokens, and whether a result is missing, by sample.
    samples: Vec<(usize, u32, bool)>,
    groups: Vec<Group>,
    tokens_left: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Group {
    /// Samples without a result, and their tokens.
    left: usize,
    tokens: u64,
    longest: u32,
    resumed: bool,
    wanted: bool,
}

impl Quorum {
    /// The groups of a job's samples; of each sample its group's name, its
    /// estimated tokens, whether it is resumed, and whether it has a result. A
    /// count of 0 stands for all groups.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::share::Quorum;
    ///
    /// let samples = [("a", 900, false, false), ("b", 100, false, false), ("c", 2_000, true, false)];
    /// let mut quorum = Quorum::new(2, samples);
    /// // The resumed group is waited for however long it is.
    /// assert_eq!([0, 1, 2].map(|at| quorum.wants(at)), [false, true, true]);
    /// quorum.stored(0);
    /// assert_eq!([0, 1, 2].map(|at| quorum.wants(at)), [true, false, true]);
    /// ```
    #[must_use]
    pub fn new<'a>(
        count: usize,
        samples: impl IntoIterator<Item = (&'a str, u32, bool, bool)>,
    ) -> Quorum {
        let mut quorum = Quorum { count, ..Quorum::default() };
        let mut names: BTreeMap<&str, usize> = BTreeMap::new();
        for (name, tokens, resumed, done) in samples {
            let group = match names.get(name) {
                // A sample without a group is one by itself.
                Some(group) if !name.is_empty() => *group,
                _ => {
                    quorum.groups.push(Group::default());
                    quorum.groups.len() - 1
                }
            };
            names.insert(name, group);
            quorum.samples.push((group, tokens, !done));
            let group = &mut quorum.groups[group];
            group.left += usize::from(!done);
            group.tokens += if done { 0 } else { u64::from(tokens) };
            group.longest = group.longest.max(tokens);
            group.resumed |= resumed;
        }
        quorum.choose();
        quorum
    }

    /// Records that a sample has a result.
    pub fn stored(&mut self, sample: usize) {
        let Some((group, tokens, is_left)) = self.samples.get_mut(sample) else {
            return;
        };
        if !std::mem::take(is_left) {
            return;
        }
        let group = &mut self.groups[*group];
        group.left -= 1;
        group.tokens -= u64::from(*tokens);
        if group.left == 0 {
            self.choose();
        } else if group.wanted {
            self.tokens_left -= u64::from(*tokens);
        }
    }

    /// Tokens left to generate of the groups that the trainer waits for.
    #[must_use]
    pub fn tokens_left(&self) -> u64 {
        self.tokens_left
    }

    /// Samples without a result of the groups that the trainer waits for.
    fn samples_left(&self) -> usize {
        self.groups.iter().filter(|group| group.wanted).map(|group| group.left).sum()
    }

    /// The index of a sample's group.
    #[must_use]
    pub fn group(&self, sample: usize) -> usize {
        self.samples.get(sample).map_or(0, |sample| sample.0)
    }

    /// Whether the trainer waits for the group of a sample.
    #[must_use]
    pub fn wants(&self, sample: usize) -> bool {
        self.groups.get(self.group(sample)).is_none_or(|group| group.wanted)
    }

    fn choose(&mut self) {
        let mut ranks: Vec<usize> = (0..self.groups.len()).collect();
        ranks.sort_by_key(|at| {
            let group = &self.groups[*at];
            (group.left > 0, !group.resumed, group.longest, *at)
        });
        let count = if self.count == 0 { self.groups.len() } else { self.count };
        for (rank, at) in ranks.into_iter().enumerate() {
            let group = &mut self.groups[at];
            group.wanted = rank < count || group.resumed;
        }
        let wanted = self.groups.iter().filter(|group| group.wanted);
        self.tokens_left = wanted.map(|group| group.tokens).sum();
    }
}

//! Homes of jobs when a part of the store is away: every order of two
//! instances, two partitions, appends of unknown outcome, crashes, restarts and
//! lapses of membership, up to small limits on each.
//!
//! No link is modelled as up or down: each call may happen at any time or not at
//! all, which covers every such state and every order of changes. The rules must
//! hold in all states that are reached, and each guard is needed: without it, a
//! state is reached that breaks a rule.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    collections::{BTreeSet, HashSet, VecDeque},
    hash::{DefaultHasher, Hash as _, Hasher as _},
    thread,
};

use hollywell::core::home::{
    Answer, Home, MAX_MEMBERS, Move, Mover, State, Verdict, epoch, fence, ranked,
};

const JOB: &str = "j";
/// The home given by the job's id, and the other partition.
const FIRST: usize = 0;
const OTHER: usize = 1;

/// A guard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    /// A member that does not answer counts as one that agrees.
    SilenceAgrees,
    /// A member that knows the job agrees.
    KnownAgrees,
    /// A member that does not know all earlier moves counts as one that agrees.
    UnsettledAgrees,
    /// A member that has agreed goes on as before.
    AgreementForgotten,
    /// The mover does not look whether the group has changed meanwhile.
    ChangesIgnored,
    /// The mover does not ask for a read by the same group.
    OldReads,
    /// A read counts although it showed a manifest that is not believed.
    ShownReads,
    /// The append at the new home has no epoch.
    NoEpoch,
    /// A pending move counts as absent after a read without a fence.
    AbsentUnfenced,
    /// A late release of one move ends all moves of the job.
    ReleasesAll,
    /// The mover releases the members after an append of unknown outcome.
    ReleasedAfterAppend,
    /// An instance believes manifests as soon as it has joined.
    JoinSettles,
    /// A starting instance reads the other partition without a fence.
    SettlesUnfenced,
    /// An instance whose membership lapsed goes on as before.
    LapseIgnored,
    /// A submitter is told that its job is accepted whenever the store has
    /// acknowledged the append.
    AckTrusted,
    /// The manifest that is read last wins, whether or not it has the mark.
    MarkIgnored,
}

/// All flaws, and the limits under which each breaks a rule.
const FLAWS: [(Flaw, Left); 16] = [
    (Flaw::SilenceAgrees, ONE_MOVE),
    (Flaw::KnownAgrees, ONE_MOVE),
    (Flaw::UnsettledAgrees, CRASH),
    (Flaw::AgreementForgotten, ONE_MOVE),
    (Flaw::ChangesIgnored, CRASH),
    (Flaw::OldReads, CRASH),
    (Flaw::ShownReads, CRASH),
    (Flaw::NoEpoch, ONE_MOVE),
    (Flaw::AbsentUnfenced, ONE_MOVE),
    (Flaw::ReleasesAll, TWO_MOVES),
    (Flaw::ReleasedAfterAppend, ONE_MOVE),
    (Flaw::JoinSettles, CRASH),
    (Flaw::SettlesUnfenced, CRASH),
    (Flaw::LapseIgnored, LAPSE),
    (Flaw::AckTrusted, ONE_MOVE),
    (Flaw::MarkIgnored, ONE_MOVE),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Plain,
    Moved,
    Fence,
}

/// An append that was sent and is not executed, or not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sent {
    part: usize,
    epoch: u64,
    /// The incarnation that waits for the response.
    by: Option<u8>,
    is_executed: bool,
}

/// A read whose response is on its way: partition, end, and the reader's
/// generation when it was requested.
type Response = (usize, usize, Option<u64>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    id: u8,
    state: State,
    is_confirmed: bool,
    generation: u64,
    reading: Option<Response>,
    mover: Option<Mover>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Left {
    appends: u8,
    moves: u8,
    crashes: u8,
    lapses: u8,
    fences: u8,
    /// Responses of reads may be under way for any time.
    has_late_reads: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    logs: [Vec<Entry>; 2],
    /// The highest epoch that the other partition has seen.
    epoch: u64,
    sent: Vec<Sent>,
    generation: u64,
    members: BTreeSet<u8>,
    nodes: [Option<Node>; 2],
    next_id: u8,
    left: Left,
    most_moves: u8,
    /// The home that a reader has believed, at any time.
    believed: Option<usize>,
}

fn name(id: u8) -> String {
    format!("i{id}")
}

impl Node {
    fn new(id: u8) -> Node {
        let (state, reading, mover) = (State::new(2), None, None);
        Node { id, state, is_confirmed: false, generation: 0, reading, mover }
    }

    fn fold(&mut self, part: usize, entries: &[Entry], flaw: Option<Flaw>) {
        for entry in entries.iter().filter(|entry| **entry != Entry::Fence) {
            let is_moved = *entry == Entry::Moved && flaw != Some(Flaw::MarkIgnored);
            self.state.record_manifest(JOB, part, is_moved);
        }
    }
}

impl World {
    /// Two settled instances that have read both partitions.
    fn new(left: Left) -> World {
        let node = |id| {
            let mut node = Node { is_confirmed: true, generation: 1, ..Node::new(id) };
            node.state.settle();
            node.state.record_read(FIRST, 1);
            Some(node)
        };
        World {
            logs: [vec![], vec![]],
            epoch: 0,
            sent: vec![],
            generation: 1,
            members: BTreeSet::from([0, 1]),
            nodes: [node(0), node(1)],
            next_id: 2,
            most_moves: left.moves,
            left,
            believed: None,
        }
    }

    fn position(&self, id: u8) -> Option<usize> {
        self.nodes.iter().position(|node| node.as_ref().is_some_and(|node| node.id == id))
    }

    fn node(&mut self, at: usize) -> &mut Node {
        self.nodes[at].as_mut().unwrap()
    }

    /// Fences the other partition and returns the epoch.
    fn fence(&mut self) -> u64 {
        let epoch = fence(self.logs[OTHER].len() as u64);
        self.epoch = self.epoch.max(epoch);
        self.logs[OTHER].push(Entry::Fence);
        epoch
    }

    fn execute(&mut self, at: usize, flaw: Option<Flaw>) {
        let sent = &mut self.sent[at];
        sent.is_executed = true;
        let entry = if sent.part == FIRST { Entry::Plain } else { Entry::Moved };
        if sent.part == FIRST || flaw == Some(Flaw::NoEpoch) {
            self.logs[sent.part].push(entry);
        } else if sent.epoch >= self.epoch {
            self.epoch = sent.epoch;
            self.logs[sent.part].push(entry);
        }
        // Only the acknowledgement of an append at the first home matters: a
        // mover answers when it reads the job at its new home.
        if sent.by.is_none() || sent.part == OTHER {
            self.sent.remove(at);
        }
    }

    fn release(&mut self, released: Move, flaw: Option<Flaw>) {
        for node in self.nodes.iter_mut().flatten() {
            if flaw == Some(Flaw::ReleasesAll) {
                node.state.record_absent(JOB, released.to, u64::MAX);
            } else {
                node.state.release(JOB, released);
            }
        }
    }

    /// Resolves the pending moves of a node by a fence and a read.
    fn resolve(&mut self, at: usize, flaw: Option<Flaw>) {
        let epoch = if flaw == Some(Flaw::AbsentUnfenced) { u64::MAX } else { self.fence() };
        let entries = self.logs[OTHER].clone();
        let node = self.node(at);
        node.fold(OTHER, &entries, flaw);
        if !entries.contains(&Entry::Moved) {
            node.state.record_absent(JOB, OTHER, epoch);
        }
    }

    fn receive(&mut self, at: usize, (part, end, generation): Response, flaw: Option<Flaw>) {
        let entries = self.logs[part][..end].to_vec();
        let node = self.node(at);
        node.reading = None;
        node.fold(part, &entries, flaw);
        if let Some(generation) = generation {
            node.state.record_read(part, generation);
        }
    }

    fn settle(&mut self, at: usize, flaw: Option<Flaw>) {
        if flaw != Some(Flaw::SettlesUnfenced) {
            self.fence();
        }
        let entries = self.logs[OTHER].clone();
        let node = self.node(at);
        node.fold(OTHER, &entries, flaw);
        node.state.settle();
    }

    fn join(&mut self, at: usize, flaw: Option<Flaw>) {
        let id = self.node(at).id;
        if self.members.insert(id) {
            self.generation += 1;
        }
        let generation = self.generation;
        let node = self.node(at);
        node.is_confirmed = true;
        node.generation = generation;
        if flaw == Some(Flaw::JoinSettles) {
            node.state.settle();
        }
    }

    /// All worlds that one event leads to.
    fn next(&self, flaw: Option<Flaw>) -> Vec<World> {
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        for at in 0..self.sent.len() {
            let sent = &self.sent[at];
            if !sent.is_executed {
                add(&|world| world.execute(at, flaw));
            }
            if let Some(by) = sent.by {
                add(&|world| world.sent[at].by = None);
                if let (true, Some(node)) = (sent.is_executed, self.position(by)) {
                    add(&|world| {
                        world.sent.remove(at);
                        world.node(node).state.record_append(JOB, FIRST);
                        if flaw == Some(Flaw::AckTrusted) {
                            world.believe(FIRST);
                        }
                    });
                }
            }
        }
        for id in &self.members {
            let node = self.position(*id).and_then(|at| self.nodes[at].as_ref());
            if node.is_none_or(|node| !node.is_confirmed) {
                add(&|world| {
                    world.members.remove(id);
                    world.generation += 1;
                });
            }
        }
        for at in 0..2 {
            match &self.nodes[at] {
                Some(node) => self.next_of(at, node, flaw, &mut add),
                None => add(&|world| {
                    world.nodes[at] = Some(Node::new(world.next_id));
                    world.next_id += 1;
                }),
            }
        }
        for world in &mut next {
            world.observe();
        }
        next
    }

    fn next_of(
        &self,
        at: usize,
        node: &Node,
        flaw: Option<Flaw>,
        add: &mut impl FnMut(&dyn Fn(&mut World)),
    ) {
        let id = node.id;
        if self.left.crashes > 0 {
            add(&|world| {
                world.left.crashes -= 1;
                world.nodes[at] = None;
                for sent in world.sent.iter_mut().filter(|sent| sent.by == Some(id)) {
                    sent.by = None;
                }
                world.sent.retain(|sent| !sent.is_executed || sent.by.is_some());
            });
        }
        self.next_of_reader(at, node, flaw, add);
        if !node.is_confirmed || node.generation != self.generation {
            add(&|world| world.join(at, flaw));
        }
        if !node.is_confirmed {
            return;
        }
        if self.left.lapses > 0 {
            add(&|world| {
                world.left.lapses -= 1;
                let node = world.node(at);
                node.is_confirmed = false;
                if flaw != Some(Flaw::LapseIgnored) {
                    node.state.lapse();
                    node.mover = None;
                }
            });
        }
        if !node.state.is_settled() {
            if self.left.fences > 0 {
                add(&|world| {
                    world.left.fences -= 1;
                    world.settle(at, flaw);
                });
            }
            if let Some(peer) = self.nodes[1 - at].as_ref().filter(|peer| peer.is_confirmed)
                && let Some(moves) = peer.state.moves()
            {
                add(&|world| world.node(at).state.adopt(&moves));
            }
        }
        if node.state.pending(JOB).next().is_some() && self.left.fences > 0 {
            add(&|world| {
                world.left.fences -= 1;
                world.resolve(at, flaw);
            });
        }
        if node.state.may_append(JOB) && self.left.appends > 0 {
            add(&|world| {
                world.left.appends -= 1;
                world.sent.push(Sent { part: FIRST, epoch: 0, by: Some(id), is_executed: false });
            });
        }
        match &node.mover {
            None => self.next_of_submitter(at, node, add),
            Some(mover) => self.next_of_mover(at, node, mover, flaw, add),
        }
    }

    fn next_of_reader(
        &self,
        at: usize,
        node: &Node,
        flaw: Option<Flaw>,
        add: &mut impl FnMut(&dyn Fn(&mut World)),
    ) {
        let generation = node.is_confirmed.then_some(node.generation);
        for part in [FIRST, OTHER] {
            let response = (part, self.logs[part].len(), generation);
            if self.left.has_late_reads && node.reading.is_none() {
                add(&|world| world.node(at).reading = Some(response));
            } else if !self.left.has_late_reads {
                add(&|world| world.receive(at, response, flaw));
            }
        }
        if let Some(response) = node.reading {
            add(&|world| world.receive(at, response, flaw));
        }
    }

    fn next_of_submitter(&self, at: usize, node: &Node, add: &mut impl FnMut(&dyn Fn(&mut World))) {
        let may_move = node.state.is_settled() && !matches!(node.state.home(JOB), Home::At(_));
        // Members are listed after the generation was received.
        // The two are alike, so the first to move is always the same one.
        let is_next = self.left.moves < self.most_moves || at == 0;
        if is_next && may_move && self.left.moves > 0 && self.members.contains(&node.id) {
            add(&|world| {
                world.left.moves -= 1;
                let (generation, members) = (world.generation, world.members.clone());
                let epoch = epoch(world.logs[OTHER].len() as u64, 1 + u16::from(world.left.moves));
                let requested = Move { from: FIRST, to: OTHER, epoch };
                let members: Vec<String> = members.into_iter().map(name).collect();
                let members = members.iter().map(String::as_str);
                let node = world.node(at);
                node.generation = generation;
                node.mover = Some(Mover::new(requested, generation, members));
            });
        }
    }

    fn next_of_mover(
        &self,
        at: usize,
        node: &Node,
        mover: &Mover,
        flaw: Option<Flaw>,
        add: &mut impl FnMut(&dyn Fn(&mut World)),
    ) {
        for asked in mover.unanswered() {
            let to = (0..2)
                .find(|to| self.nodes[*to].as_ref().is_some_and(|node| name(node.id) == asked));
            if flaw == Some(Flaw::SilenceAgrees) {
                add(&|world| {
                    let mover = world.node(at).mover.as_mut().unwrap();
                    mover.record(asked, Answer::Agreed { read_in: None });
                });
            }
            let Some(to) = to else {
                continue;
            };
            add(&|world| {
                let (requested, generation) = (mover.requested, node.generation);
                let state = &mut world.node(to).state;
                let was_shown =
                    flaw == Some(Flaw::ShownReads) && state.home(JOB) == Home::Undecided;
                // Whether the first home answers is a matter of policy.
                state.record_failure(FIRST);
                let mut answer = state.prepare(JOB, requested);
                if flaw == Some(Flaw::KnownAgrees) && answer == Answer::Known
                    || flaw == Some(Flaw::UnsettledAgrees) && answer == Answer::Unsettled
                {
                    answer = Answer::Agreed { read_in: None };
                }
                if flaw == Some(Flaw::AgreementForgotten) {
                    state.release(JOB, requested);
                }
                let is_agreed = matches!(answer, Answer::Agreed { .. });
                if is_agreed && (flaw == Some(Flaw::OldReads) || was_shown) {
                    answer = Answer::Agreed { read_in: Some(generation) };
                }
                world.node(at).mover.as_mut().unwrap().record(asked, answer);
            });
        }
        // The mover gives up, and its releases arrive or don't.
        add(&|world| world.node(at).mover = None);
        add(&|world| {
            world.node(at).mover = None;
            world.release(mover.requested, flaw);
        });
        // The generation as the store knows it now; a member that has expired
        // would join again.
        let seen =
            if flaw == Some(Flaw::ChangesIgnored) { node.generation } else { self.generation };
        if self.members.contains(&node.id) && mover.verdict(seen) == Verdict::Append {
            add(&|world| {
                let (id, epoch) = (node.id, mover.requested.epoch);
                world.node(at).mover = None;
                world.sent.push(Sent { part: OTHER, epoch, by: Some(id), is_executed: false });
                if flaw == Some(Flaw::ReleasedAfterAppend) {
                    world.release(mover.requested, flaw);
                }
            });
        }
    }

    fn believe(&mut self, part: usize) {
        match self.believed {
            // No partition has this number: the rule is broken.
            Some(other) if other != part => self.believed = Some(usize::MAX),
            _ => self.believed = Some(part),
        }
    }

    fn observe(&mut self) {
        for at in 0..2 {
            if let Some(Home::At(part)) = self.nodes[at].as_ref().map(|node| node.state.home(JOB)) {
                self.believe(part);
            }
        }
    }

    /// Checks the rules: nobody believes two homes at any time, and whatever
    /// becomes of appends that are not executed, all instances come to know a
    /// job that was accepted, and none is left undecided.
    fn check(&self, flaw: Option<Flaw>) -> Result<(), &'static str> {
        if self.believed == Some(usize::MAX) {
            return Err("two homes were believed");
        }
        for executes in [false, true] {
            let mut world = self.clone();
            while executes && let Some(at) = world.sent.iter().position(|sent| !sent.is_executed) {
                world.sent[at].by = None;
                world.execute(at, flaw);
            }
            let mut homes = Vec::new();
            for at in (0..2).filter(|at| self.nodes[*at].is_some()) {
                world.join(at, flaw);
                world.settle(at, flaw);
                world.resolve(at, flaw);
                for part in [OTHER, FIRST] {
                    let entries = world.logs[part].clone();
                    world.node(at).fold(part, &entries, flaw);
                }
                homes.push(world.node(at).state.home(JOB));
            }
            if homes.contains(&Home::Undecided) {
                return Err("a job is never decided");
            }
            if homes.iter().any(|home| self.believed.is_some_and(|part| *home != Home::At(part))) {
                return Err("an accepted job is not where it was");
            }
            if homes.windows(2).any(|pair| pair[0] != pair[1]) {
                return Err("two instances disagree");
            }
        }
        Ok(())
    }
}

/// Visits all worlds. Returns their number, of which in how many the job was
/// moved and accepted, or the first broken rule.
fn explore(left: Left, flaw: Option<Flaw>) -> Result<(usize, usize), &'static str> {
    let hash = |world: &World| {
        let mut hasher = DefaultHasher::new();
        world.hash(&mut hasher);
        hasher.finish()
    };
    let first = World::new(left);
    let (mut seen, mut moved) = (HashSet::from([hash(&first)]), 0);
    let mut open = VecDeque::from([first]);
    while let Some(world) = open.pop_front() {
        if let Err(rule) = world.check(flaw) {
            if flaw.is_none() {
                println!("{world:#?}");
            }
            return Err(rule);
        }
        moved += usize::from(world.believed == Some(OTHER));
        open.extend(world.next(flaw).into_iter().filter(|next| seen.insert(hash(next))));
    }
    Ok((seen.len(), moved))
}

const fn left(moves: u8, crashes: u8, lapses: u8, fences: u8) -> Left {
    Left { appends: 1, moves, crashes, lapses, fences, has_late_reads: false }
}

const ONE_MOVE: Left = left(1, 0, 0, 1);
const TWO_MOVES: Left = left(2, 0, 0, 1);
const CRASH: Left = left(1, 1, 0, 1);
const LAPSE: Left = left(1, 0, 1, 1);
const LATE_READS: Left = Left { has_late_reads: true, ..left(1, 0, 0, 0) };

/// Limits under which all worlds are visited.
const LIMITS: [Left; 5] = [ONE_MOVE, TWO_MOVES, CRASH, LAPSE, LATE_READS];

#[test]
fn no_order_of_events_gives_a_job_two_homes_or_forgets_it() {
    thread::scope(|scope| {
        let threads = LIMITS.map(|left| {
            let limits = left.clone();
            (limits, scope.spawn(move || explore(left, None)))
        });
        for (left, thread) in threads {
            let (worlds, moved) = thread.join().unwrap().unwrap();
            println!("{left:?}: {worlds} worlds, {moved} with the job at its new home");
            assert!(moved > 0, "no job was moved");
        }
    });
}

#[test]
fn each_guard_is_needed() {
    for (flaw, left) in FLAWS {
        let broken = explore(left, Some(flaw));
        println!("{flaw:?}: {broken:?}");
        assert!(broken.is_err(), "without a guard, {flaw:?}, no rule is broken");
    }
}

#[test]
fn while_the_first_home_answers_nothing_moves() {
    let mut state = State::new(4);
    state.settle();
    state.record_read(2, 1);
    let requested = Move { from: 2, to: 0, epoch: 1 };
    assert_eq!(state.prepare(JOB, requested), Answer::Reached);
    assert!(state.may_append(JOB), "it is accepted at its first home, as ever");
    state.record_failure(2);
    assert_eq!(state.prepare(JOB, requested), Answer::Agreed { read_in: Some(1) });
    assert!(!state.may_append(JOB));
    // A second partition cannot get the job meanwhile.
    assert_eq!(state.prepare(JOB, Move { to: 1, ..requested }), Answer::Busy);
}

#[test]
fn too_many_members_are_not_asked() {
    let members: Vec<String> = (0..=MAX_MEMBERS).map(|number| format!("i{number}")).collect();
    let verdict = |count: usize| {
        let requested = Move { from: 0, to: 1, epoch: 1 };
        let mut mover = Mover::new(requested, 1, members[..count].iter().map(String::as_str));
        members[..count]
            .iter()
            .for_each(|member| mover.record(member, Answer::Agreed { read_in: Some(1) }));
        mover.verdict(1)
    };
    assert_eq!(verdict(MAX_MEMBERS), Verdict::Append);
    assert_eq!(verdict(MAX_MEMBERS + 1), Verdict::Refuse);
}

#[test]
fn the_first_home_is_the_one_that_jobs_had_before_and_others_share_its_jobs() {
    let mut second = [0_usize; 4];
    for hash in (0..4_000_u64).map(|number| number.wrapping_mul(0x9E37_79B9_7F4A_7C15)) {
        let order: Vec<usize> = ranked(hash, 4).collect();
        assert_eq!(order[0], usize::try_from(hash % 4).unwrap());
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 4);
        if order[0] == 0 {
            second[order[1]] += 1;
        }
    }
    println!("second homes of jobs of partition 0: {second:?}");
    assert!(second[1..].iter().all(|count| (250..420).contains(count)));
}

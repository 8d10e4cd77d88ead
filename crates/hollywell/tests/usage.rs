//! Usage as it is counted, decided once and reported: whatever is lost,
//! repeated or late, no window is ever reported in two ways.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeSet, HashSet, VecDeque};

use arbtest::arbtest;
use bytes::Bytes;
use hollywell::core::{
    time::Time,
    usage::{
        Counts, Ledger, Next, Schedule, SteadyClock, Tally, decision, forwarded_key, reported,
    },
};

const TERMS: Schedule = Schedule { window_ms: 5_000, late_ms: 10_000 };

fn ledger(records: &[(String, Bytes)]) -> Ledger {
    let mut ledger = Ledger::default();
    records.iter().for_each(|(key, value)| ledger.add_counts(key, value).unwrap());
    ledger
}

fn counts(of: &[(&str, u64)]) -> Counts {
    of.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
}

#[test]
fn pieces_of_all_instances_are_added_up_once() {
    let (mut a, mut b) = (Tally::default(), Tally::default());
    (0..3).for_each(|_| a.begin(4, "survey"));
    let early = a.take_changed("a1");
    a.begin(4, "harbour");
    a.undo(4, "survey");
    let late = a.take_changed("a1");
    b.begin(4, "survey");
    // The same window again, by a peer, and older than what is there.
    let forwarded: Vec<_> =
        early.iter().map(|(key, value)| (forwarded_key(key, "b1"), value.clone())).collect();
    let all: Vec<_> = [late, b.take_changed("b1"), forwarded].concat();
    let sum = ledger(&all).next(TERMS.settled_ms(4), TERMS, 4);
    assert_eq!(sum, Next::Decide(4, counts(&[("harbour", 1), ("survey", 3)])));
}

#[test]
fn what_the_store_did_not_take_is_brought_again() {
    let mut tally = Tally::default();
    tally.begin(4, "survey");
    let taken = tally.take_changed("a1");
    tally.mark_unsaved(&taken);
    let again = tally.take_changed("a1");
    assert_eq!(again.len(), 1);
    let sum = ledger(&[taken, again].concat()).next(TERMS.settled_ms(4), TERMS, 4);
    assert_eq!(sum, Next::Decide(4, counts(&[("survey", 1)])));
}

#[test]
fn what_is_written_down_is_reported_to_the_byte_oldest_first() {
    let mut ledger = Ledger::default();
    let report = Bytes::from_static(b"as it was decided");
    for (key, value) in [decision(8, report.clone()), decision(7, report.clone())] {
        ledger.add_record(&key, &value).unwrap();
    }
    let now = TERMS.settled_ms(9);
    assert_eq!(ledger.next(now, TERMS, 7), Next::Report(7, report.clone()));
    for (key, value) in reported(7).into_iter().filter(|(_, value)| !value.is_empty()) {
        ledger.add_record(&key, &value).unwrap();
    }
    assert_eq!(ledger.next(now, TERMS, 7), Next::Report(8, report));
    assert_eq!(ledger.last_reported(), Some(7));
}

#[test]
fn a_duty_left_undone_for_long_is_taken_up_near_the_present() {
    let mut ledger = Ledger::default();
    for (key, value) in reported(3).into_iter().filter(|(_, value)| !value.is_empty()) {
        ledger.add_record(&key, &value).unwrap();
    }
    let now = TERMS.settled_ms(1_000);
    let Next::Decide(window, _) = ledger.next(now, TERMS, 0) else { panic!("nothing is due") };
    assert!((970..=990).contains(&window), "{window}");
}

#[test]
fn what_cannot_be_read_is_skipped() {
    arbtest(|u| {
        let mut ledger = Ledger::default();
        let (key, value): (String, Vec<u8>) = (u.arbitrary()?, u.arbitrary()?);
        let before = ledger.next(0, TERMS, 5);
        let _either = ledger.add_counts(&key, &value);
        let read = ledger.add_record(&key, &Bytes::from(value));
        assert!(read.is_ok() || ledger.next(0, TERMS, 5) == before || ledger.is_obsolete(""));
        Ok(())
    })
    .seed(0x5eed_0000_0400)
    .run();
    let mut ledger = Ledger::default();
    for key in ["", "7", "x|a", "7|", "reported|", "decided|x"] {
        assert!(ledger.add_record(key, &Bytes::from_static(b"x")).is_err(), "{key:?}");
    }
    assert!(ledger.add_counts("7|a", b"\xff").is_err());
    assert_eq!(ledger.next(0, TERMS, 5), Next::Wait(TERMS.settled_ms(5)));
}

#[test]
fn a_clock_that_jumps_and_comes_back_moves_no_window() {
    let mut day = SteadyClock::default();
    let (start, wall) = (Time(1_000), 1_000_000);
    assert_eq!(day.read(start, wall), wall);
    for ms in (100..20_000).step_by(100) {
        let jump = if (5_000..12_000).contains(&ms) { 2_000 } else { 0 };
        assert_eq!(day.read(start.after(ms), wall + ms + jump), wall + ms);
    }
    // One that was wrong from the start is put right.
    for ms in (20_000..60_000).step_by(100) {
        day.read(start.after(ms), wall + ms + 3_000);
    }
    assert_eq!(day.read(start.after(60_000), wall + 63_000), wall + 63_000);
}

/// Everything that can happen to two windows with three instances, any of
/// which may believe at any time to hold the duty: the lease is left out, as
/// the worst that it can fail to do.
mod everything {
    use super::*;

    const INSTANCES: usize = 3;
    const WINDOWS: usize = 2;
    /// Writes to the log of decisions that are explored.
    const MOST_END: u8 = 7;

    /// What the store holds of a window.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
    struct Window {
        /// The piece of an instance that was held up is there.
        late_piece: bool,
        /// What was decided, by whether that piece was in it.
        decided: Option<bool>,
    }

    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
    struct Kept {
        windows: [Window; WINDOWS],
        reported: Option<u8>,
        end: u8,
    }

    /// What an instance is doing. A crash, or a loss of the lease, is to be
    /// idle.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
    enum Instance {
        #[default]
        Idle,
        /// It has read this.
        Read(Kept),
        /// It was answered that a window is reported, and had read this.
        Answered(u8, Kept),
    }

    #[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
    struct World {
        kept: Kept,
        instances: [Instance; INSTANCES],
        /// Reports that the platform may still carry out, by window.
        late: BTreeSet<(u8, bool)>,
        /// What the platform has accepted of each window.
        accepted: [Option<bool>; WINDOWS],
    }

    fn report(late_piece: bool) -> Bytes {
        Bytes::from_static(if late_piece { b"2" } else { b"1" })
    }

    /// The product's own decision on what was read.
    fn next(kept: &Kept) -> Next {
        let mut ledger = Ledger::default();
        for (window, known) in kept.windows.iter().enumerate() {
            let window = window as u64;
            let mut pieces = vec!["on time"];
            pieces.extend(known.late_piece.then_some("late"));
            for writer in pieces {
                let mut tally = Tally::default();
                tally.begin(window, "survey");
                let records = tally.take_changed(writer);
                records.iter().for_each(|(key, value)| ledger.add_counts(key, value).unwrap());
            }
            if let Some(late_piece) = known.decided {
                let (key, value) = decision(window, report(late_piece));
                ledger.add_record(&key, &value).unwrap();
            }
        }
        if let Some(last) = kept.reported {
            let (key, value) = reported(u64::from(last)).swap_remove(0);
            ledger.add_record(&key, &value).unwrap();
        }
        ledger.next(TERMS.settled_ms(WINDOWS as u64 - 1), TERMS, 0)
    }

    impl World {
        /// A report reaches the platform. Panics if it had another.
        fn accept(&mut self, window: u8, late_piece: bool) {
            let accepted = &mut self.accepted[usize::from(window)];
            assert!(
                accepted.is_none_or(|before| before == late_piece),
                "window {window} is reported in two ways"
            );
            *accepted = Some(late_piece);
        }

        /// Whatever can happen next.
        fn successors(&self) -> Vec<World> {
            let mut all = Vec::new();
            for window in 0..WINDOWS {
                let mut arrives = self.clone();
                arrives.kept.windows[window].late_piece = true;
                all.push(arrives);
            }
            for (window, late_piece) in &self.late {
                let mut late = self.clone();
                late.accept(*window, *late_piece);
                all.push(late);
            }
            for at in 0..INSTANCES {
                all.extend(self.steps_of(at));
            }
            all
        }

        fn steps_of(&self, at: usize) -> Vec<World> {
            let become_ = |instance: Instance| {
                let mut world = self.clone();
                world.instances[at] = instance;
                world
            };
            let mut all = vec![become_(Instance::Idle)];
            match self.instances[at] {
                Instance::Idle => all.push(become_(Instance::Read(self.kept))),
                Instance::Read(kept) => match next(&kept) {
                    Next::Wait(_) => {}
                    Next::Decide(window, counts) => {
                        let mut world = become_(Instance::Idle);
                        let late_piece = counts.get("survey") == Some(&2);
                        if world.write(kept.end) {
                            world.kept.windows[window as usize].decided = Some(late_piece);
                        }
                        all.push(world);
                    }
                    Next::Report(window, report) => {
                        let (window, late_piece) = (window as u8, report == "2");
                        // It is carried out and answered, or may be later.
                        let mut answered = become_(Instance::Answered(window, kept));
                        answered.accept(window, late_piece);
                        let mut lost = become_(Instance::Idle);
                        lost.late.insert((window, late_piece));
                        all.extend([answered, lost]);
                    }
                },
                Instance::Answered(window, kept) => {
                    let mut world = become_(Instance::Idle);
                    if world.write(kept.end) {
                        world.kept.reported = world.kept.reported.max(Some(window));
                        world.kept.windows[usize::from(window)].decided = None;
                    }
                    all.push(world);
                }
            }
            all
        }

        /// Appends where the log ended when it was read.
        fn write(&mut self, end: u8) -> bool {
            if self.kept.end != end || end >= MOST_END {
                return false;
            }
            self.kept.end += 1;
            true
        }
    }

    #[test]
    fn no_window_is_ever_reported_in_two_ways() {
        let mut seen: HashSet<World> = HashSet::from([World::default()]);
        let mut open: VecDeque<World> = seen.iter().cloned().collect();
        let mut done = 0;
        while let Some(world) = open.pop_front() {
            done += usize::from(world.kept.reported == Some(WINDOWS as u8 - 1));
            for next in world.successors() {
                if seen.insert(next.clone()) {
                    open.push_back(next);
                }
            }
        }
        println!("{} states, {done} of them with all windows reported", seen.len());
        assert!(done > 0, "no way leads to the end");
    }
}

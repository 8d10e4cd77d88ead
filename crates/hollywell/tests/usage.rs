//! Usage counts: counted by instances, decided once for each window, and
//! reported. Despite lost, repeated and late messages no window is ever reported
//! with two different contents.

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

const SCHEDULE: Schedule = Schedule { window_ms: 5_000, late_ms: 10_000 };

fn ledger(records: &[(String, Bytes)]) -> Ledger {
    let mut ledger = Ledger::default();
    records.iter().for_each(|(key, value)| ledger.add_counts(key, value).unwrap());
    ledger
}

fn counts(of: &[(&str, u64)]) -> Counts {
    of.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
}

#[test]
fn counts_of_all_instances_are_summed_once() {
    let (mut a, mut b) = (Tally::default(), Tally::default());
    (0..3).for_each(|_| a.begin(4, "survey"));
    let early = a.take_changed("a1");
    a.begin(4, "harbour");
    a.undo(4, "survey");
    let late = a.take_changed("a1");
    b.begin(4, "survey");
    // A peer forwards an older state of the same window.
    let forwarded: Vec<_> =
        early.iter().map(|(key, value)| (forwarded_key(key, "b1"), value.clone())).collect();
    let all: Vec<_> = [late, b.take_changed("b1"), forwarded].concat();
    let sum = ledger(&all).next(SCHEDULE.settled_ms(4), SCHEDULE, 4);
    assert_eq!(sum, Next::Decide(4, counts(&[("harbour", 1), ("survey", 3)])));
}

#[test]
fn counts_not_stored_are_written_again() {
    let mut tally = Tally::default();
    tally.begin(4, "survey");
    let taken = tally.take_changed("a1");
    tally.mark_unsaved(&taken);
    let rewritten = tally.take_changed("a1");
    assert_eq!(rewritten.len(), 1);
    let sum = ledger(&[taken, rewritten].concat()).next(SCHEDULE.settled_ms(4), SCHEDULE, 4);
    assert_eq!(sum, Next::Decide(4, counts(&[("survey", 1)])));
}

#[test]
fn decisions_are_reported_unchanged_oldest_first() {
    let mut ledger = Ledger::default();
    let report = Bytes::from_static(b"as it was decided");
    for (key, value) in [decision(8, report.clone()), decision(7, report.clone())] {
        ledger.add_record(&key, &value).unwrap();
    }
    let now = SCHEDULE.settled_ms(9);
    assert_eq!(ledger.next(now, SCHEDULE, 7), Next::Report(7, report.clone()));
    for (key, value) in reported(7).into_iter().filter(|(_, value)| !value.is_empty()) {
        ledger.add_record(&key, &value).unwrap();
    }
    assert_eq!(ledger.next(now, SCHEDULE, 7), Next::Report(8, report));
    assert_eq!(ledger.last_reported(), Some(7));
}

#[test]
fn reporting_after_a_long_gap_starts_near_the_present() {
    let mut ledger = Ledger::default();
    for (key, value) in reported(3).into_iter().filter(|(_, value)| !value.is_empty()) {
        ledger.add_record(&key, &value).unwrap();
    }
    let now = SCHEDULE.settled_ms(1_000);
    let Next::Decide(window, _) = ledger.next(now, SCHEDULE, 0) else {
        panic!("expected a window to decide")
    };
    assert!((970..=990).contains(&window), "expected a window from 970 to 990, got {window}");
}

#[test]
fn malformed_records_are_skipped() {
    arbtest(|u| {
        let mut ledger = Ledger::default();
        let (key, value): (String, Vec<u8>) = (u.arbitrary()?, u.arbitrary()?);
        let before = ledger.next(0, SCHEDULE, 5);
        let _either = ledger.add_counts(&key, &value);
        let read = ledger.add_record(&key, &Bytes::from(value));
        assert!(read.is_ok() || ledger.next(0, SCHEDULE, 5) == before || ledger.is_obsolete(""));
        Ok(())
    })
    .seed(0x5eed_0000_0400)
    .run();
    let mut ledger = Ledger::default();
    for key in ["", "7", "x|a", "7|", "reported|", "decided|x"] {
        assert!(ledger.add_record(key, &Bytes::from_static(b"x")).is_err(), "{key:?}");
    }
    assert!(ledger.add_counts("7|a", b"\xff").is_err());
    assert_eq!(ledger.next(0, SCHEDULE, 5), Next::Wait(SCHEDULE.settled_ms(5)));
}

#[test]
fn a_temporary_clock_jump_moves_no_window() {
    let mut clock = SteadyClock::default();
    let (start, unix_ms) = (Time(1_000), 1_000_000);
    assert_eq!(clock.read(start, unix_ms), unix_ms);
    for ms in (100..20_000).step_by(100) {
        let jump = if (5_000..12_000).contains(&ms) { 2_000 } else { 0 };
        assert_eq!(clock.read(start.after(ms), unix_ms + ms + jump), unix_ms + ms);
    }
    // A lasting offset is adopted, so that a clock that was wrong from the start
    // is corrected.
    for ms in (20_000..60_000).step_by(100) {
        clock.read(start.after(ms), unix_ms + ms + 3_000);
    }
    assert_eq!(clock.read(start.after(60_000), unix_ms + 63_000), unix_ms + 63_000);
}

/// Exhaustive exploration of two windows and three instances. The lease is not
/// modelled: any instance may act as its holder at any time, which covers every
/// failure of the lease.
mod exhaustive {
    use super::*;

    const INSTANCES: usize = 3;
    const WINDOWS: usize = 2;
    /// Maximum number of explored appends to the log of decisions.
    const MAX_END: u8 = 7;

    /// State of a window in the store.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
    struct Window {
        /// Whether the counts of a delayed instance have arrived.
        late_counts: bool,
        /// The decision, if any: whether it includes the late counts.
        decided: Option<bool>,
    }

    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
    struct Stored {
        windows: [Window; WINDOWS],
        reported: Option<u8>,
        end: u8,
    }

    /// State of an instance. A crash or the loss of the lease makes it idle.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
    enum Instance {
        #[default]
        Idle,
        /// The instance has read this state.
        Read(Stored),
        /// The platform has acknowledged the report of a window; the instance had
        /// read this state before.
        Answered(u8, Stored),
    }

    #[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
    struct World {
        stored: Stored,
        instances: [Instance; INSTANCES],
        /// Unacknowledged reports, by window, that the platform may still accept.
        pending_reports: BTreeSet<(u8, bool)>,
        /// The report that the platform has accepted for each window.
        accepted: [Option<bool>; WINDOWS],
    }

    fn report(late_counts: bool) -> Bytes {
        Bytes::from_static(if late_counts { b"2" } else { b"1" })
    }

    /// Returns what the code under test does next after reading this state.
    fn next(stored: &Stored) -> Next {
        let mut ledger = Ledger::default();
        for (window, window_state) in stored.windows.iter().enumerate() {
            let window = window as u64;
            let mut writers = vec!["on time"];
            writers.extend(window_state.late_counts.then_some("late"));
            for writer in writers {
                let mut tally = Tally::default();
                tally.begin(window, "survey");
                let records = tally.take_changed(writer);
                records.iter().for_each(|(key, value)| ledger.add_counts(key, value).unwrap());
            }
            if let Some(late_counts) = window_state.decided {
                let (key, value) = decision(window, report(late_counts));
                ledger.add_record(&key, &value).unwrap();
            }
        }
        if let Some(last) = stored.reported {
            let (key, value) = reported(u64::from(last)).swap_remove(0);
            ledger.add_record(&key, &value).unwrap();
        }
        ledger.next(SCHEDULE.settled_ms(WINDOWS as u64 - 1), SCHEDULE, 0)
    }

    impl World {
        /// The platform accepts a report. Panics if it has accepted a different one
        /// for the window.
        fn accept(&mut self, window: u8, late_counts: bool) {
            let accepted = &mut self.accepted[usize::from(window)];
            assert!(
                accepted.is_none_or(|before| before == late_counts),
                "window {window} is reported with two different contents"
            );
            *accepted = Some(late_counts);
        }

        /// Returns all possible next states.
        fn successors(&self) -> Vec<World> {
            let mut all = Vec::new();
            for window in 0..WINDOWS {
                let mut arrives = self.clone();
                arrives.stored.windows[window].late_counts = true;
                all.push(arrives);
            }
            for (window, late_counts) in &self.pending_reports {
                let mut late = self.clone();
                late.accept(*window, *late_counts);
                all.push(late);
            }
            for at in 0..INSTANCES {
                all.extend(self.steps_of(at));
            }
            all
        }

        fn steps_of(&self, at: usize) -> Vec<World> {
            let with_instance_state = |instance: Instance| {
                let mut world = self.clone();
                world.instances[at] = instance;
                world
            };
            let mut all = vec![with_instance_state(Instance::Idle)];
            match self.instances[at] {
                Instance::Idle => all.push(with_instance_state(Instance::Read(self.stored))),
                Instance::Read(stored) => match next(&stored) {
                    Next::Wait(_) => {}
                    Next::Decide(window, counts) => {
                        let mut world = with_instance_state(Instance::Idle);
                        let late_counts = counts.get("survey") == Some(&2);
                        if world.compare_and_append(stored.end) {
                            world.stored.windows[window as usize].decided = Some(late_counts);
                        }
                        all.push(world);
                    }
                    Next::Report(window, report) => {
                        let (window, late_counts) = (window as u8, report == "2");
                        // The report is accepted and acknowledged, or the answer is lost
                        // and it may be accepted later.
                        let mut answered = with_instance_state(Instance::Answered(window, stored));
                        answered.accept(window, late_counts);
                        let mut lost = with_instance_state(Instance::Idle);
                        lost.pending_reports.insert((window, late_counts));
                        all.extend([answered, lost]);
                    }
                },
                Instance::Answered(window, stored) => {
                    let mut world = with_instance_state(Instance::Idle);
                    if world.compare_and_append(stored.end) {
                        world.stored.reported = world.stored.reported.max(Some(window));
                        world.stored.windows[usize::from(window)].decided = None;
                    }
                    all.push(world);
                }
            }
            all
        }

        /// Appends if the log still ends where the instance read it. Returns
        /// whether it did.
        fn compare_and_append(&mut self, end: u8) -> bool {
            if self.stored.end != end || end >= MAX_END {
                return false;
            }
            self.stored.end += 1;
            true
        }
    }

    #[test]
    fn no_window_is_reported_with_two_contents() {
        let mut seen: HashSet<World> = HashSet::from([World::default()]);
        let mut queue: VecDeque<World> = seen.iter().cloned().collect();
        let mut done = 0;
        while let Some(world) = queue.pop_front() {
            done += usize::from(world.stored.reported == Some(WINDOWS as u8 - 1));
            for next in world.successors() {
                if seen.insert(next.clone()) {
                    queue.push_back(next);
                }
            }
        }
        println!("{} states, {done} of them with all windows reported", seen.len());
        assert!(done > 0, "no explored path reports all windows");
    }
}

//! Ends that the store does not take: they hold at once, reach everybody
//! without the store, and reach the store in the end.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;

use arbtest::{arbitrary::Unstructured, arbtest};
use hollywell::core::{
    ending::{Effect, Event, State},
    time::Time,
};

/// Generated schedules, with fixed seeds.
const SCHEDULES: u64 = 1_000;
/// Random bytes of a schedule.
const SIZE: u64 = 2_000;
/// Time between ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// How long a live instance may not know of an end after it was asked for, in
/// milliseconds, where at most half of the calls between instances are lost
/// and each may lose all of its first three: four tries and a relay's.
const SPREAD_MS: u64 = 3_000;
/// How long an end may take to reach a store that takes appends again: the
/// slowest retry.
const STORE_MS: u64 = 12_000;

fn name(number: usize) -> String {
    format!("i{number}@10.0.0.{number}:80/1")
}

fn asked(job: &str) -> Event {
    Event::Requested { job: job.into(), known: true }
}

fn tick(members: &[String], known: &[&str]) -> Event {
    let known: BTreeSet<String> = known.iter().map(|job| (*job).to_owned()).collect();
    Event::Tick { members: members.to_vec(), known }
}

fn members(count: usize) -> Vec<String> {
    (0..count).map(name).collect()
}

#[test]
fn an_end_that_the_store_takes_at_once_is_told_to_nobody() {
    let all = members(3);
    let mut state = State::new(&all[0]);
    state.step(Time(0), &asked("j"));
    state.step(Time(5), &Event::Stored("j".into()));
    assert!(state.is_pending("j"), "until it is read");
    assert!(state.is_stored("j"));
    for at in (50..4_000).step_by(50) {
        assert_eq!(state.step(Time(at), &tick(&all, &["j"])), [], "at {at}");
    }
    state.step(Time(4_000), &Event::Settled("j".into()));
    assert!(!state.is_pending("j"));
}

#[test]
fn a_refused_end_is_told_to_all_by_the_one_that_was_asked_and_by_others_to_two() {
    let all = members(6);
    let refused = Event::Failed { job: "j".into(), refused: true };
    let mut first = State::new(&all[0]);
    first.step(Time(0), &asked("j"));
    first.step(Time(5), &refused);
    let told = |effects: Vec<Effect>| -> Vec<String> {
        let tell = |effect| match effect {
            Effect::Notify { member, .. } => Some(member),
            _ => None,
        };
        effects.into_iter().filter_map(tell).collect()
    };
    assert_eq!(told(first.step(Time(50), &tick(&all, &["j"]))), all[1..]);
    let mut last = State::new(&all[5]);
    let by = all[0].clone();
    let close = last.step(Time(60), &Event::Reported { by, jobs: vec!["j".into()] });
    assert_eq!(close, [Effect::Close("j".into())]);
    // The first in the ring told it; the one after is the second relay.
    assert_eq!(told(last.step(Time(100), &tick(&all, &["j"]))), [all[1].clone()]);
}

#[test]
fn an_end_of_a_job_that_is_not_known_is_not_appended_and_is_forgotten() {
    let all = members(2);
    let mut state = State::new(&all[0]);
    let effects = state.step(Time(0), &Event::Requested { job: "j".into(), known: false });
    assert_eq!(effects, [Effect::Close("j".into())]);
    let effects = state.step(Time(50), &tick(&all, &[]));
    assert!(matches!(&effects[..], [Effect::Notify { .. }]), "{effects:?}");
    state.step(Time(20_000), &tick(&all, &[]));
    assert!(state.is_pending("j"), "it may be read late");
    state.step(Time(31_000), &tick(&all, &[]));
    assert!(!state.is_pending("j"));
}

/// Instances, a store that refuses for a while, and one job.
struct World {
    names: Vec<String>,
    states: Vec<State>,
    /// Whether the end is in the store.
    stored: bool,
    /// Tells that each pair may still lose.
    losses: Vec<Vec<u8>>,
}

impl World {
    fn new(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<World> {
        let count = u.int_in_range(2..=9usize)?;
        let names = members(count);
        let states = names.iter().map(|name| State::new(name)).collect();
        let mut losses = vec![vec![0; count]; count];
        for row in &mut losses {
            for loss in row {
                *loss = u.int_in_range(0..=3u8)?;
            }
        }
        Ok(World { names, states, stored: false, losses })
    }

    /// One tick of everybody. `takes` says whether the store takes appends.
    fn turn(&mut self, now: Time, takes: bool) {
        for at in 0..self.states.len() {
            if self.stored {
                self.states[at].step(now, &Event::Settled("j".into()));
            }
            let effects = self.states[at].step(now, &tick(&self.names, &["j"]));
            for effect in effects {
                self.carry_out(now, at, effect, takes);
            }
        }
    }

    fn carry_out(&mut self, now: Time, at: usize, effect: Effect, takes: bool) {
        match effect {
            Effect::Close(_) => {}
            Effect::Append(job) => {
                self.stored |= takes;
                let event = match takes {
                    true => Event::Stored(job),
                    false => Event::Failed { job, refused: true },
                };
                self.states[at].step(now, &event);
            }
            Effect::Notify { member, jobs } => {
                let to = self.names.iter().position(|name| *name == member).unwrap();
                if self.losses[at][to] > 0 {
                    self.losses[at][to] -= 1;
                    return;
                }
                let by = self.names[at].clone();
                self.states[to].step(now, &Event::Reported { by, jobs: jobs.clone() });
                self.states[at].step(now, &Event::Confirmed { member, jobs });
            }
        }
    }

    /// Instance `at` is replaced by a new run that knows nothing.
    fn restart(&mut self, at: usize, run: u64) {
        self.names[at] = format!("i{at}@10.0.0.{at}:80/{run}");
        self.states[at] = State::new(&self.names[at]);
    }
}

/// One schedule: an end is asked while the store refuses; instances are
/// replaced, also the one that was asked once it has told somebody; each new
/// one learns of the end, and the store gets it once it takes appends.
fn schedule(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut world = World::new(u)?;
    let first = u.int_in_range(0..=world.states.len() - 1)?;
    let back_ms = u.int_in_range(2_000..=20_000u64)?;
    let mut changed = vec![0; world.states.len()];
    for effect in world.states[first].step(Time(0), &asked("j")) {
        world.carry_out(Time(0), first, effect, false);
    }
    let mut now = 0;
    while now < back_ms + STORE_MS {
        now += TICK_MS;
        world.turn(Time(now), now >= back_ms);
        let holders = world.states.iter().filter(|state| state.is_pending("j")).count();
        let at = u.int_in_range(0..=world.states.len() - 1)?;
        // Replaced is at most one at a time, so that somebody still knows.
        let calm = changed.iter().all(|at| now > at + SPREAD_MS);
        if !world.stored && calm && holders == world.states.len() && u.ratio(1, 8)? {
            world.restart(at, now);
            changed[at] = now;
        }
        for (at, state) in world.states.iter().enumerate() {
            let late = now > changed[at] + SPREAD_MS;
            assert!(world.stored || !late || state.is_pending("j"), "instance {at} at {now}");
        }
    }
    assert!(world.stored, "the end never reached the store");
    world.turn(Time(now), true);
    assert!(world.states.iter().all(|state| !state.is_pending("j")), "nothing is held for good");
    Ok(())
}

#[test]
fn generated_schedules_spread_an_end_without_the_store_and_bring_it_there() {
    for seed in 0..SCHEDULES {
        arbtest(schedule).seed((seed + 1).wrapping_mul(0x9E37_79B9) << 32 | SIZE).run();
    }
}

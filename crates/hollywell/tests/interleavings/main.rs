//! Randomised interleavings over the reducers of several instances, with a
//! simulated log, network, callers, trainers and targets. Every fault is an
//! event that can be injected between any two others.
//!
//! Seeds and counts are fixed. `HOLLYWELL_SCHEDULES` and `HOLLYWELL_SEED`
//! set the number of schedules and the base seed; `HOLLYWELL_REPLAY` with a
//! printed seed replays one schedule, prints its history and searches for a
//! shorter failing one.

mod checks;
mod log;
mod node;
mod trainer;
mod world;

use std::{env, thread};

use arbtest::arbitrary::Unstructured;
use world::{Scenario, World};

/// Schedules of each scenario that CI runs.
const SCHEDULES: u64 = 2_600;
/// Upper limit of the random bytes of a schedule, which set its length.
const MAX_SIZE: u64 = 6_000;

fn env_number(name: &str) -> Option<u64> {
    let text = env::var(name).ok()?;
    let hex = text.strip_prefix("0x");
    hex.map_or_else(|| text.parse().ok(), |hex| u64::from_str_radix(hex, 16).ok())
}

/// The seed of one schedule in arbtest's encoding: random state in the high
/// 32 bits, size in the low 32 bits.
fn seed_of(base: u64, index: u64) -> u64 {
    let mixed = (base * 1_000_003 + index).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    mixed << 32 | (MAX_SIZE / 2 + index % (MAX_SIZE / 2))
}

fn run_schedule(
    scenario: Scenario,
    u: &mut Unstructured<'_>,
    print: bool,
) -> arbtest::arbitrary::Result<World> {
    let mut world = World::new(scenario, print, u)?;
    world.run(u)?;
    world.settle();
    Ok(world)
}

fn run_scenario(scenario: Scenario) {
    if let Some(seed) = env_number("HOLLYWELL_REPLAY") {
        arbtest::arbtest(|u| {
            run_schedule(scenario, u, true)?.assert_no_violations();
            Ok(())
        })
        .seed(seed)
        .run();
        return;
    }
    let schedules = env_number("HOLLYWELL_SCHEDULES").unwrap_or(SCHEDULES);
    let base = env_number("HOLLYWELL_SEED").unwrap_or(1);
    let threads = 4;
    let totals = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                scope.spawn(move || run_every_nth(scenario, base, worker, threads, schedules))
            })
            .collect();
        let join = |worker: thread::ScopedJoinHandle<'_, checks::Totals>| match worker.join() {
            Ok(totals) => totals,
            Err(panic) => std::panic::resume_unwind(panic),
        };
        workers.into_iter().map(join).fold(checks::Totals::default(), checks::Totals::merge)
    });
    println!("{}", totals.json(scenario, schedules));
    totals.assert_coverage(scenario);
}

fn run_every_nth(
    scenario: Scenario,
    base: u64,
    first: u64,
    step: u64,
    count: u64,
) -> checks::Totals {
    let mut totals = checks::Totals::default();
    let mut index = first;
    while index < count {
        let seed = seed_of(base, index);
        arbtest::arbtest(|u| {
            let world = run_schedule(scenario, u, false)?;
            totals.add_schedule(&world);
            if world.has_no_violations() {
                return Ok(());
            }
            eprintln!(
                "replay: HOLLYWELL_REPLAY={seed:#x} cargo test --test interleavings {}",
                scenario.test_name()
            );
            world.assert_no_violations();
            Ok(())
        })
        .seed(seed)
        .run();
        index += step;
    }
    totals
}

#[test]
fn keyed_calls_run_at_most_once_in_one_domain() {
    run_scenario(Scenario::OneDomain);
}

#[test]
fn keyed_calls_run_at_most_once_across_domains() {
    run_scenario(Scenario::TwoDomains);
}

#[test]
fn the_table_never_reverts_and_comes_into_force() {
    run_scenario(Scenario::Table);
}

#[test]
fn samples_come_exactly_once_with_their_versions() {
    run_scenario(Scenario::Rollouts);
}

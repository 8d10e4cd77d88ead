//! Ages that are stated between processes, at processes that are younger than what
//! they learn, and in series of restarts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{fs, path::Path};

use arbtest::arbtest;
use hollywell::{
    clock::Clock,
    core::{
        claim::{Claims, Copy},
        departure::{Departures, Page},
        ending::{Event, Notice, State},
        id::Instance,
        owner::{self, Map},
        store_lease::{Claim, StoreLease, Timing},
        time::Time,
    },
};

/// What a process knows before the first of a series of restarts, in milliseconds.
const KNOWN_MS: u64 = 400_000;
/// Restarts in series.
const RESTARTS: u64 = 5;
/// How long each of these processes lives, in milliseconds.
const LIFE_MS: u64 = 700;

/// Passes an age on through processes that are started one after the other: `pass`
/// takes the start of a process, the stated age and the end of its life, and returns
/// the age that the process states then.
fn age_after_restarts(pass: impl Fn(Time, u64, Time) -> u64) -> u64 {
    (0..RESTARTS).fold(KNOWN_MS, |age_ms, _| {
        let start = Clock::start().now();
        pass(start, age_ms, start.after(LIFE_MS))
    })
}

/// The true age after all restarts, in milliseconds.
const AGE_MS: u64 = KNOWN_MS + RESTARTS * LIFE_MS;

// Each process took what is older than itself for as old as itself.
#[test]
fn instant_before_the_process_began_counts_as_its_start() {
    let age_ms = age_after_restarts(|start, age_ms, end| end.since(start.before(age_ms).unwrap()));
    assert_eq!(age_ms, AGE_MS);
    arbtest(|u| {
        let (now, age_ms) = (Time(u.arbitrary()?), u.arbitrary()?);
        match now.before(age_ms) {
            Some(at) => assert_eq!(now.since(at), age_ms),
            None => assert!(now.since(Time::EARLIEST) < age_ms),
        }
        Ok(())
    });
}

#[test]
fn end_grows_younger_with_each_instance_that_passes_it_on() {
    let age_ms = age_after_restarts(|start, age_ms, end| {
        let mut state = State::new("c@10.0.0.3:80/1");
        let ends = vec![Notice { end: "j".into(), age_ms }];
        state.step(start, &Event::Reported { by: "b@10.0.0.2:80/1".into(), ends });
        state.notices(end).first().map_or(0, |notice| notice.age_ms)
    });
    assert_eq!(age_ms, AGE_MS);
}

#[test]
fn departures_grow_younger_with_each_instance_that_passes_them_on() {
    let age_ms = age_after_restarts(|start, age_ms, end| {
        // Each has taken all targets from one peer, and takes later departures from
        // another.
        let mut departures = Departures::default();
        departures.restart(100);
        departures.mark_known(start.before(age_ms + LIFE_MS).unwrap(), 100);
        let page = Page { from: 100, end: 121, departures: vec![("a".into(), 120)] };
        assert!(departures.merge(start, start.before(age_ms).unwrap(), &page), "news isn't taken");
        departures.age_ms(end).unwrap()
    });
    assert_eq!(age_ms, AGE_MS);
}

// What was read last, but is known of an earlier time, does not make it younger.
#[test]
fn departures_that_a_peer_knew_earlier_are_taken_for_news() {
    let start = Clock::start().now();
    let mut departures = Departures::default();
    departures.restart(100);
    departures.mark_known(start.before(KNOWN_MS).unwrap(), 100);
    let page = Page { from: 100, end: 121, departures: vec![] };
    let earlier = start.before(KNOWN_MS + LIFE_MS).unwrap();
    assert!(!departures.merge(start, earlier, &page), "older knowledge is taken");
    assert_eq!(departures.age_ms(start), Some(KNOWN_MS));
}

#[test]
fn claim_outlives_the_retry_horizon_in_restarts_in_series() {
    let age_ms = age_after_restarts(|start, age_ms, end| {
        let mut claims = Claims::default();
        claims.keep(&Copy { key: "k".into(), digest: 7, age_ms }, start);
        claims.copies(end)[0].age_ms
    });
    assert_eq!(age_ms, AGE_MS);
    // At a young process it expires when callers stop to retry it.
    let start = Clock::start().now();
    let mut claims = Claims::default();
    claims.keep(&Copy { key: "k".into(), digest: 7, age_ms: KNOWN_MS }, start);
    claims.expire(start, KNOWN_MS - 1);
    assert!(claims.is_empty(), "the claim is kept beyond the horizon");
}

#[test]
fn replaced_map_grows_younger_with_each_hand_over() {
    let config =
        owner::Config { lease_ms: 1_000, guard_ms: 100, log_away_ms: 60_000, horizon_ms: 600_000 };
    let map = |epoch, base, name| Map {
        epoch,
        base,
        members: [Instance::new(name, 1)].into_iter().collect(),
    };
    let start = Clock::start().now();
    // What a member of the second map remembers of the first.
    let mut before = owner::State::new(Instance::new("b", 1), config);
    before.install(&map(1, None, "a"), Time(1_000));
    before.install(&map(2, Some(1), "b"), Time(2_000));
    before.install(&map(3, Some(2), "c"), Time(2_000));
    let handoff = before.handoff(Vec::new, Time(2_000).after(KNOWN_MS)).clone();
    // The members of the first map have been without a lease for long.
    let mut after = owner::State::new(Instance::new("c", 1), config);
    after.install(&map(3, Some(2), "c"), start);
    after.receive(&Instance::new("b", 1), &handoff, start);
    assert_eq!(after.ready_at(), start, "the wait for leases that ended long ago");
}

#[test]
fn order_waits_for_an_order_that_is_older_than_the_process() {
    let timing = Timing { term_ms: 3_000, apart_ms: 10_000 };
    let start = Clock::start().now();
    let mut lease = StoreLease::default();
    let claim = Claim {
        holder: "a@10.0.0.1:80/1".into(),
        renews: None,
        orders: false,
        quiet_ms: Some(9_000),
        others_ms: None,
        released: true,
    };
    lease.observe("b@10.0.0.2:80/1", start, 0, &claim);
    lease.observe_end(start, 1);
    let at = start.after(1_500);
    let own = lease.claim("b@10.0.0.2:80/1", at, timing, 0, true).unwrap();
    assert_eq!(own.quiet_ms, Some(10_500), "the last order's age, as the next holder states it");
    lease.record_grant(at, 1, &own, timing);
    let renewal = lease.claim("b@10.0.0.2:80/1", at, timing, 0, true).unwrap();
    lease.record_grant(at, 2, &renewal, timing);
    assert!(lease.fence(at, 0).is_some(), "an order waits for one that was given long before");
}

#[test]
fn order_grows_younger_with_each_holder_of_the_lease() {
    let timing = Timing { term_ms: 3_000, apart_ms: 10_000 };
    let stated = |run: u64, start: Time, age_ms, end| {
        let mut lease = StoreLease::default();
        // The same instance after a restart, so that the orders of others count.
        let (before, own) = (format!("a@10.0.0.1:80/{run}"), format!("a@10.0.0.1:80/{}", run + 1));
        let claim = Claim {
            holder: before,
            renews: None,
            orders: false,
            quiet_ms: Some(age_ms),
            others_ms: Some(age_ms),
            released: true,
        };
        lease.observe(&own, start, 0, &claim);
        lease.observe_end(start, 1);
        let claim = lease.claim(&own, end, timing, 0, false).unwrap();
        lease.record_grant(end, 1, &claim, timing);
        (claim.quiet_ms.unwrap(), lease.release(&own, end).unwrap().others_ms.unwrap())
    };
    for of_others in [false, true] {
        let age_ms = age_after_restarts(|start, age_ms, end| {
            let (any, others) = stated(1, start, age_ms, end);
            if of_others { others } else { any }
        });
        assert_eq!(age_ms, AGE_MS, "orders of others only: {of_others}");
    }
}

fn is_part_of_name(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '.'
}

/// Expressions that subtract from a [`Time`] other than by its own operations.
fn subtractions(source: &str) -> Vec<&str> {
    let methods = ["saturating_sub", "checked_sub", "wrapping_sub", "overflowing_sub"];
    let is_subtraction = |rest: &str| {
        let rest = rest.trim_start();
        let method = rest.strip_prefix('.').map(str::trim_start);
        rest.starts_with("- ")
            || rest.starts_with("-=")
            || method.is_some_and(|method| methods.iter().any(|name| method.starts_with(name)))
    };
    let code = |at: usize| !source[..at].rsplit('\n').next().unwrap().contains("//");
    let found = source.match_indices(".0").filter(|(at, _)| {
        // Not the fraction of a number.
        let before = source[..*at].trim_end_matches(|c: char| c.is_ascii_digit());
        let is_number = before.len() < *at && !before.ends_with(is_part_of_name);
        !is_number && code(*at) && is_subtraction(&source[at + 2..])
    });
    found.map(|(at, _)| source[..at].rsplit('\n').next().unwrap_or_default()).collect()
}

/// Expressions that build a [`Time`] from a computed number, and patterns that take
/// its number out.
fn constructions(source: &str) -> Vec<&str> {
    let is_literal = |argument: &str| {
        let number = argument.chars().all(|c| c.is_ascii_digit() || c == '_');
        number && !argument.is_empty() || argument == "u64::MAX"
    };
    let found = source.match_indices("Time").filter(|(at, name)| {
        let (before, after) = (&source[..*at], &source[at + name.len()..]);
        let is_comment = before.rsplit('\n').next().unwrap().contains("//");
        let argument = after.trim_start().strip_prefix('(').map(str::trim_start);
        let is_call = argument.is_some_and(|argument| {
            argument.split_once(')').is_none_or(|(argument, _)| !is_literal(argument))
        });
        // As a function, for instance of `map`.
        let is_function = after.starts_with(')')
            && before.strip_suffix('(').is_some_and(|before| {
                let name = before.rsplit(|c: char| !(c.is_alphanumeric() || c == '_')).next();
                name.unwrap().starts_with(|c: char| c.is_ascii_lowercase())
            });
        let is_name = before.ends_with(|c: char| c.is_alphanumeric() || c == '_');
        !is_name && !is_comment && (is_call || is_function)
    });
    let line = |at: usize| {
        let begin = source[..at].rfind('\n').map_or(0, |end| end + 1);
        let end = source[at..].find('\n').map_or(source.len(), |length| at + length);
        &source[begin..end]
    };
    found.map(|(at, _)| line(at)).collect()
}

fn check_folder(folder: &Path, search: &impl Fn(&str) -> Vec<&str>, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            check_folder(&path, search, found);
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && !path.ends_with("core/time.rs")
        {
            let source = fs::read_to_string(&path).unwrap();
            let lines = search(&source).into_iter();
            found.extend(lines.map(|line| format!("{}: {}", path.display(), line.trim())));
        }
    }
}

// An age that was subtracted by hand ended at the process's start.
#[test]
fn age_is_subtracted_by_hand() {
    for written in [
        "Time(now.0.saturating_sub(age))",
        "Time(now.0 - age)",
        "let ms = now\n    .0\n    .checked_sub(age)",
        "shared.now().0 .wrapping_sub(age)",
        "at.0 -= age",
        "self.desired.1.0 - age",
        "at2.0.saturating_sub(age)",
    ] {
        assert_eq!(subtractions(written).len(), 1, "{written}");
    }
    for written in
        ["1.0 - share", "0.1.0 + age", "now.before(age)", "pair.0 + age", "// Time(now.0 - age)"]
    {
        assert!(subtractions(written).is_empty(), "{written}");
    }
    let found = in_sources(&subtractions);
    assert!(found.is_empty(), "use Time::before or Time::since: {found:#?}");
}

fn in_sources(search: &impl Fn(&str) -> Vec<&str>) -> Vec<String> {
    let mut found = Vec::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    check_folder(&root.join("src"), search, &mut found);
    check_folder(&root.join("../../platform/src"), search, &mut found);
    found
}

// A number that was taken out of a time, or made up, says nothing of where the clock
// begins.
#[test]
fn time_is_built_from_a_number() {
    for written in [
        "let ms = now.0; let at = Time(ms.saturating_sub(age));",
        "let Time(ms) = now; known_at(ms - age)",
        "time::Time(u64::saturating_sub(now.0, age))",
        "Time(now.0 as i64 - age)",
        "let at = now.0.checked_sub(age).map(Time);",
        "Time(\n    rank * RANK_MS,\n)",
    ] {
        assert_eq!(constructions(written).len(), 1, "{written}");
    }
    for written in [
        "Time(0)",
        "Time(1_000)",
        "Time(u64::MAX)",
        "fn at(&self) -> Time {",
        "RetryTime(ms)",
        "At(Time)",
        "(u64, Time)",
        "/// Time(ms)",
        "Time::START",
    ] {
        assert!(constructions(written).is_empty(), "{written}");
    }
    let mut found = in_sources(&constructions);
    // Times of the process's own clock that other threads share.
    found.retain(|line| !(line.contains("/watchdog.rs: ") && line.contains(".load(Ordering::")));
    assert!(found.is_empty(), "use the operations of Time: {found:#?}");
}

//! Admission of jobs: a burst replayed with and without it, and single cases.

use hollywell::core::{
    backlog::{Decision, MAX_SPEEDUP, MIN_TAKEN, Supply, Work, decide},
    time::Time,
};

const STEP_MS: u64 = 10;
/// Samples of a job, for the places that it takes.
const SAMPLES: usize = 64;

struct Asked {
    at: u64,
    tokens: f64,
    due: u64,
}

#[derive(Default, Debug, PartialEq, Eq)]
struct Felt {
    in_time: usize,
    late: usize,
    rejected: usize,
    /// Rejected while half of the places were free.
    rejected_with_room: usize,
    /// Rejected, and in time when they came back as told.
    in_time_again: usize,
}

fn load(text: &str) -> (u32, f64, Vec<Asked>) {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let mut lines = lines.map(|line| {
        let numbers = line.split_whitespace().map(|word| word.parse().expect("a number"));
        numbers.collect::<Vec<f64>>()
    });
    let head = lines.next().expect("a first line");
    let asked = |line: Vec<f64>| Asked { at: line[0] as u64, tokens: line[1], due: line[2] as u64 };
    (head[0] as u32, head[1], lines.map(asked).collect())
}

fn work(due: u64, tokens: u64) -> Work<'static> {
    let due = Some(Time(due));
    Work { organisation: "", priority: 1, due, samples: SAMPLES, tokens, longest: 100 }
}

struct Open {
    due: u64,
    left: f64,
    is_again: bool,
}

/// Plays a load at places that serve the job that is due first.
fn replay(text: &str, admits: bool) -> Felt {
    let (places, token_ms, asked) = load(text);
    let mut coming: Vec<(u64, f64, u64, bool)> =
        asked.iter().map(|job| (job.at, job.tokens, job.due, false)).collect();
    let mut open: Vec<Open> = Vec::new();
    let mut felt = Felt::default();
    let mut now = 0;
    while !coming.is_empty() || !open.is_empty() {
        let (come, later): (Vec<_>, Vec<_>) = coming.into_iter().partition(|job| job.0 <= now);
        coming = later;
        for (_, tokens, due, is_again) in come {
            let accepted: Vec<Work<'_>> =
                open.iter().map(|job| work(job.due, job.left as u64)).collect();
            let taken = f64::from(places).min((open.len() * SAMPLES) as f64);
            let supply = Supply { places, taken, token_ms: Some(token_ms) };
            let decision = decide(Time(now), &work(now + due, tokens as u64), &accepted, supply);
            match decision {
                Decision::Reject { retry_after_ms, .. } if admits => {
                    felt.rejected += usize::from(!is_again);
                    let is_free = taken <= f64::from(places) * MIN_TAKEN;
                    felt.rejected_with_room += usize::from(is_free);
                    coming.push((now + retry_after_ms, tokens, due, true));
                }
                _ => open.push(Open { due: now + due, left: tokens, is_again }),
            }
        }
        open.sort_by_key(|job| job.due);
        let mut made = f64::from(places) * STEP_MS as f64 / token_ms;
        for job in &mut open {
            let own = made.min(job.left);
            job.left -= own;
            made -= own;
        }
        now += STEP_MS;
        open.retain(|job| {
            if job.left > 0.0 {
                return true;
            }
            match (now <= job.due, job.is_again) {
                (true, true) => felt.in_time_again += 1,
                (true, false) => felt.in_time += 1,
                (false, _) => felt.late += 1,
            }
            false
        });
    }
    felt
}

#[test]
fn a_burst_is_answered_at_once_and_what_is_accepted_is_in_time() {
    let text = include_str!("loads/burst.txt");
    let (before, after) = (replay(text, false), replay(text, true));
    println!("all accepted: {before:?}");
    println!("with admission: {after:?}");
    assert!(after.late < before.late, "late: {} before, {} after", before.late, after.late);
    assert!(after.in_time > before.in_time, "in time: {before:?} before, {after:?} after");
    assert!(after.in_time_again > 0, "coming back as told helps: {after:?}");
    assert_eq!(after.rejected_with_room, 0);
}

const FULL: Supply = Supply { places: 10, taken: 10.0, token_ms: Some(1.0) };

fn is_accepted(job: &Work<'_>, accepted: &[Work<'_>], supply: Supply) -> bool {
    decide(Time(0), job, accepted, supply) == Decision::Accept
}

#[test]
fn a_job_is_rejected_only_if_a_better_pace_would_not_help() {
    // The accepted work takes 6 s, the job 1 s.
    let accepted = [work(1, 60_000)];
    let due = (7_000.0 / MAX_SPEEDUP) as u64;
    assert!(is_accepted(&work(due + 1, 10_000), &accepted, FULL));
    assert!(!is_accepted(&work(due - 1, 10_000), &accepted, FULL));
}

#[test]
fn no_job_is_rejected_while_half_of_the_places_are_free() {
    let accepted = [work(1, 1 << 40)];
    let job = work(2_000, 10_000);
    assert!(!is_accepted(&job, &accepted, FULL));
    assert!(is_accepted(&job, &accepted, Supply { taken: 5.0, ..FULL }));
    // Nor if few samples are accepted, whatever loads are reported.
    assert!(is_accepted(&job, &[Work { samples: 5, ..accepted[0] }], FULL));
    assert!(is_accepted(&job, &[], FULL));
}

#[test]
fn a_job_is_accepted_where_the_facts_are_missing_or_odd() {
    let accepted = [work(1, 1 << 40)];
    let job = work(2_000, 10_000);
    for token_ms in [None, Some(0.0), Some(-1.0), Some(f64::NAN), Some(f64::INFINITY)] {
        assert!(is_accepted(&job, &accepted, Supply { token_ms, ..FULL }), "{token_ms:?}");
    }
    for taken in [f64::NAN, -1.0] {
        assert!(is_accepted(&job, &accepted, Supply { taken, ..FULL }), "{taken}");
    }
    assert!(is_accepted(&job, &accepted, Supply { places: 0, ..FULL }));
}

#[test]
fn a_route_that_states_no_due_time_rejects_nothing() {
    let accepted = [work(1, 1 << 40)];
    assert!(is_accepted(&Work { due: None, ..work(0, 10_000) }, &accepted, FULL));
}

#[test]
fn a_job_that_is_too_long_in_itself_is_accepted() {
    // Coming back later would not help it.
    assert!(is_accepted(&work(500, 100_000), &[work(1, 1 << 40)], FULL));
    let long = Work { longest: 10_000, ..work(2_000, 10_000) };
    assert!(is_accepted(&long, &[work(1, 1 << 40)], FULL));
}

#[test]
fn only_work_that_goes_before_it_counts() {
    let job = work(2_000, 10_000);
    let later = work(2_001, 1 << 40);
    assert!(is_accepted(&job, &[later], FULL), "due later");
    let lower = Work { priority: 2, ..work(1, 1 << 40) };
    assert!(is_accepted(&job, &[lower], FULL), "of a lower class");
    let higher = Work { priority: 0, ..later };
    assert!(!is_accepted(&job, &[higher], FULL), "of a higher class");
    // Another organisation has the same share, however much it asks for.
    let other = Work { organisation: "b", ..work(1, 1 << 40) };
    assert!(is_accepted(&job, &[other], FULL), "of one other organisation");
    let others = ["b", "c", "d", "e"].map(|organisation| Work { organisation, ..other });
    assert!(!is_accepted(&job, &others, FULL), "of four other organisations");
}

#[test]
fn an_instance_that_has_not_read_the_accepted_work_accepts() {
    let job = work(2_000, 10_000);
    let known = [work(1, 1 << 40)];
    assert_ne!(is_accepted(&job, &known, FULL), is_accepted(&job, &[], FULL));
}

#[test]
fn a_caller_is_told_when_enough_will_be_done() {
    let retry_after = |due: u64, tokens: u64| match decide(
        Time(0),
        &work(due, 1_000),
        &[work(1, tokens)],
        FULL,
    ) {
        Decision::Reject { retry_after_ms, .. } => retry_after_ms,
        Decision::Accept => 0,
    };
    // At this pace the work ends after 9 s, which is 7 s too late.
    assert_eq!(retry_after(2_000, 89_000), 7_000);
    assert_eq!(retry_after(300, 4_000), 500, "not at once");
    assert_eq!(retry_after(2_000, 1 << 40), 10_000, "nor after ages");
}

//! Goodput must recover by itself after a burst. Requests that timed out still
//! occupy the targets, so that retries without a budget would keep them busy with
//! work that nobody waits for.

use std::collections::{BTreeMap, VecDeque};

use hollywell::{
    core::{
        event::End,
        member::{Kind as MemberKind, Listed},
    },
    prelude::*,
};

const TARGETS: usize = 4;
/// Requests that a target serves in one tick.
const SERVED_A_TICK: usize = 3;
/// Ticks after which an attempt times out.
const TIMEOUT_TICKS: u64 = 8;
const TICK_MS: u64 = 100;
/// Requests per tick outside the burst: three quarters of the targets' capacity.
const ARRIVALS: usize = 9;
const BURST: usize = 40;
const BURST_TICKS: std::ops::Range<u64> = 50..70;
const TICKS: u64 = 200;

struct Attempt {
    dispatch: Dispatch,
    request: Request,
    since: u64,
}

/// Simulated targets that serve in order of arrival, including attempts that have
/// timed out.
struct Targets {
    queues: Vec<VecDeque<Attempt>>,
    waiting: BTreeMap<Dispatch, u64>,
}

impl Targets {
    fn new() -> Targets {
        let queues = (0..TARGETS).map(|_| VecDeque::new()).collect();
        Targets { queues, waiting: BTreeMap::new() }
    }

    fn take(&mut self, effects: &[Effect], now: u64) {
        for effect in effects {
            if let Effect::Dispatch { request, dispatch, address, .. } = effect {
                let index: usize = address.parse().expect("the address is the target's index");
                let (dispatch, request) = (*dispatch, *request);
                self.queues[index].push_back(Attempt { dispatch, request, since: now });
                self.waiting.insert(dispatch, now);
            }
        }
    }

    /// Returns the attempts that end in this tick, and how.
    fn tick(&mut self, now: u64) -> Vec<(Dispatch, End)> {
        let mut ended = vec![];
        for queue in &mut self.queues {
            let served = queue.len().min(SERVED_A_TICK);
            for attempt in queue.drain(..served) {
                debug_assert!(attempt.request.0 > 0 && attempt.since <= now);
                if self.waiting.remove(&attempt.dispatch).is_some() {
                    ended.push((attempt.dispatch, End::Answered));
                }
            }
        }
        let timed_out = self.waiting.extract_if(.., |_, since| now - *since >= TIMEOUT_TICKS);
        ended.extend(timed_out.map(|(dispatch, _)| (dispatch, End::Broken)));
        ended
    }
}

fn list() -> Vec<Listed> {
    let target = |index: usize| Listed {
        name: format!("s{index}"),
        kind: MemberKind::Service,
        pool: "app".into(),
        domain: "d".into(),
        address: index.to_string(),
        leaving: false,
    };
    (0..TARGETS).map(target).collect()
}

fn answered(effects: &[Effect]) -> usize {
    let stored = |effect: &&Effect| matches!(effect, Effect::Reply { reply: Reply::Stored(_), .. });
    effects.iter().filter(stored).count()
}

/// Runs the simulation and returns the number of requests answered in each tick.
fn goodput_per_tick() -> Vec<usize> {
    let mut config = Config::new(Instance::new("a", 1), "d", &["d"]);
    config.calls = 100_000;
    let mut state = State::new(config);
    state.step(Time(1_000), &Event::Listed(list()));
    let mut targets = Targets::new();
    let mut goodput = vec![];
    let mut last_request = 0;
    for tick in 0..TICKS {
        let now = Time(1_000 + tick * TICK_MS);
        let mut good = 0;
        for (dispatch, end) in targets.tick(tick) {
            let event = Event::TargetEnded { dispatch, end, leaving: false };
            let effects = state.step(now, &event);
            good += answered(&effects);
            targets.take(&effects, tick);
        }
        let arrivals = if BURST_TICKS.contains(&tick) { BURST } else { ARRIVALS };
        for _ in 0..arrivals {
            last_request += 1;
            let call = Call {
                pool: "app".into(),
                idempotent: true,
                key: None,
                home: None,
                digest: 0,
                timeout_ms: 3_000,
            };
            let request = Request(last_request);
            let effects = state.step(now, &Event::Call { request, arrived: now, call });
            targets.take(&effects, tick);
        }
        goodput.push(good);
    }
    goodput
}

#[test]
fn goodput_recovers_after_a_burst() {
    let goodput = goodput_per_tick();
    let per_tick = |ticks: &[usize]| ticks.iter().sum::<usize>() as f64 / ticks.len() as f64;
    let before = per_tick(&goodput[10..50]);
    let after = per_tick(&goodput[150..200]);
    println!("answered a tick: {before:.1} before the burst, {after:.1} after");
    assert!(
        before > 8.5,
        "expected more than 8.5 of {ARRIVALS} answered per tick before the burst, got {before:.1}"
    );
    assert!(
        after > 8.5,
        "expected more than 8.5 of {ARRIVALS} answered per tick long after the burst, got {after:.1}"
    );
}

//! A burst that ends must leave nothing behind: goodput comes back without
//! anybody's help. Work that timed out still takes up the targets, so
//! retries without a budget keep them busy for nothing.

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
const SERVED: usize = 3;
/// Ticks after which an attempt is given up.
const PATIENCE: u64 = 8;
const TICK_MS: u64 = 100;
/// Requests a tick: three quarters of what the targets serve.
const USUAL: usize = 9;
const BURST: usize = 40;
const BURST_TICKS: std::ops::Range<u64> = 50..70;
const TICKS: u64 = 200;

struct Attempt {
    dispatch: Dispatch,
    request: Request,
    since: u64,
}

/// Targets that serve in order of arrival and do not know who has given up.
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
                let place: usize = address.parse().expect("the address is the target's place");
                let (dispatch, request) = (*dispatch, *request);
                self.queues[place].push_back(Attempt { dispatch, request, since: now });
                self.waiting.insert(dispatch, now);
            }
        }
    }

    /// Attempts that end in this tick, and how.
    fn tick(&mut self, now: u64) -> Vec<(Dispatch, End)> {
        let mut ended = vec![];
        for queue in &mut self.queues {
            let served = queue.len().min(SERVED);
            for attempt in queue.drain(..served) {
                debug_assert!(attempt.request.0 > 0 && attempt.since <= now);
                if self.waiting.remove(&attempt.dispatch).is_some() {
                    ended.push((attempt.dispatch, End::Answered));
                }
            }
        }
        let given_up = self.waiting.extract_if(.., |_, since| now - *since >= PATIENCE);
        ended.extend(given_up.map(|(dispatch, _)| (dispatch, End::Broken)));
        ended
    }
}

fn list() -> Vec<Listed> {
    let target = |place: usize| Listed {
        name: format!("s{place}"),
        kind: MemberKind::Service,
        pool: "app".into(),
        domain: "d".into(),
        address: place.to_string(),
        leaving: false,
    };
    (0..TARGETS).map(target).collect()
}

fn answered(effects: &[Effect]) -> usize {
    let stored = |effect: &&Effect| matches!(effect, Effect::Reply { reply: Reply::Stored(_), .. });
    effects.iter().filter(stored).count()
}

/// Requests answered in each tick.
fn run() -> Vec<usize> {
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
        let arrivals = if BURST_TICKS.contains(&tick) { BURST } else { USUAL };
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
fn goodput_comes_back_after_a_burst() {
    let goodput = run();
    let per_tick = |ticks: &[usize]| ticks.iter().sum::<usize>() as f64 / ticks.len() as f64;
    let before = per_tick(&goodput[10..50]);
    let after = per_tick(&goodput[150..200]);
    println!("answered a tick: {before:.1} before the burst, {after:.1} after");
    assert!(before > 8.5, "{before:.1} of {USUAL} a tick before the burst");
    assert!(after > 8.5, "{after:.1} of {USUAL} a tick long after the burst");
}

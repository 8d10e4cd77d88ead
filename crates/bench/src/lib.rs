//! Reducers of given sizes, and the events that their steps are measured
//! with.

pub mod measure;

use hollywell::{
    core::{
        event::{End, Message},
        member::{Kind, Listed, Load},
        owner::Proposal,
        rollout::{self, Group, Opening},
        stream::Record,
        table::{Edit, Row},
    },
    prelude::*,
};

/// How much of everything a reducer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Other instances, a tenth of them in the own failure domain.
    pub peers: usize,
    /// Engines.
    pub engines: usize,
    /// Plain services of one pool.
    pub services: usize,
    /// Rows of the table.
    pub rows: usize,
    /// Samples of one open step.
    pub slots: u32,
    /// Keys whose claims are known.
    pub claims: usize,
}

/// Today's size: twelve peers, ten engines, four services, two trainers.
pub const TODAY: Size =
    Size { peers: 12, engines: 10, services: 4, rows: 2, slots: 64, claims: 100 };

/// The instant at which everything is set up.
pub const START: Time = Time(10_000);

fn listed(name: String, kind: Kind, pool: &str, domain: &str) -> Listed {
    Listed {
        address: format!("127.0.0.1:{}", 10_000 + name.len()),
        name,
        kind,
        pool: pool.into(),
        domain: domain.into(),
        leaving: false,
    }
}

/// The platform's list for a size.
#[must_use]
pub fn list(size: Size) -> Vec<Listed> {
    let domain = |n: usize| if n.is_multiple_of(10) { "d0" } else { "d1" };
    let peers = (0..size.peers).map(|n| listed(format!("peer-{n}"), Kind::Instance, "", domain(n)));
    let engines =
        (0..size.engines).map(|n| listed(format!("engine-{n}"), Kind::Engine, "gen", "d0"));
    let services =
        (0..size.services).map(|n| listed(format!("service-{n}"), Kind::Service, "app", "d0"));
    peers.chain(engines).chain(services).collect()
}

/// An engine's load report.
#[must_use]
pub fn loaded(engine: usize, rows: usize) -> Event {
    let versions = (0..rows).map(|n| (format!("trainer-{n}"), 7)).collect();
    let load = Load { slots: 16, running: 3, versions, ..Load::default() };
    Event::Loaded { target: format!("engine-{engine}"), load: Some(load) }
}

fn edit(offset: u64, row: usize, base: Option<u64>) -> (u64, Record) {
    let trainer = format!("trainer-{row}");
    let row = Row {
        trainer: trainer.clone(),
        weight: 1,
        staleness: 1,
        priority: 1,
        in_flight: 1_000_000,
    };
    let id = format!("edit-{offset}");
    (offset, Record::Edit(Edit { id, by: "bench".into(), trainer, base, row: Some(row) }))
}

/// A reading of the log with one edit of the first row.
#[must_use]
pub fn one_edit(state: &State) -> Event {
    let (next, _) = state.folded();
    let base = state.agreed().table.base_of("trainer-0");
    let records = vec![edit(next, 0, base)];
    Event::LogRead { sent: START, first: 0, records, at_end: true }
}

/// A keyed call of the pool of services.
#[must_use]
pub fn call(number: u64) -> Event {
    let call = Call {
        pool: "app".into(),
        idempotent: false,
        key: Some(format!("key-{number}")),
        home: Some("d0".into()),
        digest: 1,
        timeout_ms: 5_000,
    };
    Event::Call { request: Request(number), arrived: START, call }
}

/// A step of `slots` samples.
#[must_use]
pub fn step(number: u64, slots: u32) -> Event {
    let opening = Opening {
        trainer: "trainer-0".into(),
        step: number,
        attempt: 1,
        version: 7,
        groups: vec![Group { group: 0, missing: (0..slots).collect() }],
        timeout_ms: 360_000,
    };
    Event::StepOpened { request: Request(u64::MAX - number), opening }
}

/// A heartbeat of a peer.
#[must_use]
pub fn heartbeat(peer: usize) -> Event {
    let message = Message::Heartbeat { sent: START, next: 3, leaving: vec![], demand: 0 };
    Event::Peer { from: Instance::new(&format!("peer-{peer}"), 1), message }
}

/// A peer's answer to a heartbeat.
#[must_use]
pub fn echo(peer: usize) -> Event {
    let (epoch, reading, next) = (0, None, 3);
    let message = Message::Echo { sent: START, epoch, reading, next, draining: false };
    Event::Peer { from: Instance::new(&format!("peer-{peer}"), 1), message }
}

/// The dispatch of the first call or sample among effects.
#[must_use]
pub fn dispatch_of(effects: &[Effect]) -> Option<Dispatch> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { dispatch, .. } | Effect::Generate { dispatch, .. } => Some(*dispatch),
        _ => None,
    })
}

/// All dispatches of samples among effects.
#[must_use]
pub fn dispatches_of(effects: &[Effect]) -> Vec<Dispatch> {
    let one = |effect: &Effect| match effect {
        Effect::Generate { dispatch, .. } => Some(*dispatch),
        _ => None,
    };
    effects.iter().filter_map(one).collect()
}

/// A whole answer to a dispatch.
#[must_use]
pub fn answered(dispatch: Dispatch) -> Event {
    Event::TargetEnded { dispatch, end: End::Answered, leaving: false }
}

/// A whole sample of a dispatch.
#[must_use]
pub fn sampled(dispatch: Dispatch) -> Event {
    Event::SampleEnded { dispatch, end: rollout::End::Complete(vec![7]) }
}

/// A reducer that owns its failure domain's keys alone and knows as much as
/// `size` says.
#[must_use]
pub fn reducer(size: Size) -> State {
    let mut config = Config::new(Instance::new("bench", 1), "d0", &["d0"]);
    config.calls = usize::MAX;
    config.reserve_percent = 0;
    let mut state = State::new(config);
    state.step(START, &Event::Listed(list(size)));
    let proposal =
        Proposal { domain: "d0".into(), base: None, members: [Instance::new("bench", 1)].into() };
    let mut records = vec![(0, Record::Proposal(proposal))];
    records.extend((0..size.rows).map(|row| edit(row as u64 + 1, row, None)));
    state.step(START, &Event::LogRead { sent: START, first: 0, records, at_end: true });
    for peer in 0..size.peers {
        state.step(START, &echo(peer));
    }
    for engine in 0..size.engines {
        state.step(START, &loaded(engine, size.rows));
    }
    for number in 0..size.claims as u64 {
        let effects = state.step(START, &call(number));
        if let Some(dispatch) = dispatch_of(&effects) {
            state.step(START, &answered(dispatch));
        }
    }
    if size.slots > 0 {
        state.step(START, &step(0, size.slots));
    }
    state
}

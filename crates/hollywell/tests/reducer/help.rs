//! Fixtures: states, events, and filters of effects.

use hollywell::{
    core::{
        event::End,
        member::{Kind as MemberKind, Listed},
        stream::Record,
        table::{Edit, Row},
    },
    prelude::*,
};

pub(crate) const POOL: &str = "app";

pub(crate) fn listed(name: &str, kind: MemberKind, pool: &str) -> Listed {
    Listed {
        name: name.into(),
        kind,
        pool: pool.into(),
        domain: "d".into(),
        address: format!("{name}:1"),
        leaving: false,
    }
}

pub(crate) fn service(name: &str) -> Listed {
    listed(name, MemberKind::Service, POOL)
}

pub(crate) fn state_with(list: Vec<Listed>) -> State {
    let mut config = Config::new(Instance::new("a", 1), "d", &["d"]);
    config.calls = 4;
    let mut state = State::new(config);
    state.step(Time(1_000), &Event::Listed(list));
    state
}

pub(crate) fn call(idempotent: bool) -> Call {
    Call { pool: POOL.into(), idempotent, key: None, home: None, digest: 0, timeout_ms: 500 }
}

pub(crate) fn arrive(state: &mut State, now: Time, number: u64, call: Call) -> Vec<Effect> {
    state.step(now, &Event::Call { request: Request(number), arrived: now, call })
}

pub(crate) fn dispatched(effects: &[Effect]) -> Vec<(Dispatch, String)> {
    let select = |effect: &Effect| match effect {
        Effect::Dispatch { dispatch, address, .. } => Some((*dispatch, address.clone())),
        _ => None,
    };
    effects.iter().filter_map(select).collect()
}

pub(crate) fn refused(effects: &[Effect]) -> Vec<Kind> {
    let select = |effect: &Effect| match effect {
        Effect::Reply { reply: Reply::Refused(kind), .. } => Some(*kind),
        _ => None,
    };
    effects.iter().filter_map(select).collect()
}

pub(crate) fn end(
    state: &mut State,
    now: Time,
    dispatch: Dispatch,
    end: End,
    leaving: bool,
) -> Vec<Effect> {
    state.step(now, &Event::TargetEnded { dispatch, end, leaving })
}

pub(crate) fn row(staleness: u64) -> Row {
    Row { trainer: "t".into(), weight: 1, staleness, priority: 0, in_flight: 2 }
}

pub(crate) fn edit(offset: u64, base: Option<u64>, staleness: u64) -> Event {
    edit_to(offset, base, row(staleness))
}

pub(crate) fn edit_to(offset: u64, base: Option<u64>, row: Row) -> Event {
    let (id, trainer) = (format!("e{offset}"), row.trainer.clone());
    let edit = Edit { id, by: "o".into(), trainer, base, row: Some(row) };
    let records = vec![(offset, Record::Edit(edit))];
    Event::LogRead { sent: Time(1_000), first: 0, records, at_end: true }
}

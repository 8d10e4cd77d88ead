//! Edits of the replicated table, and log snapshots.

use hollywell::{
    core::{member::Kind as MemberKind, stream::Record, table::Edit},
    error::Outcome,
    prelude::*,
};

use crate::help::*;

#[test]
fn a_lost_edit_append_is_retried_then_answered_as_unknown() {
    let mut state = state_with(vec![]);
    let edit = Edit { id: "x".into(), by: "o".into(), trainer: "t".into(), base: None, row: None };
    let edit_event = Event::Edit { request: Request(1), edit };
    let mut appended = 0;
    let mut kinds = vec![];
    let mut count = |effects: &[Effect]| {
        let append =
            |effect: &&Effect| matches!(effect, Effect::Append { record: Record::Edit(_) });
        appended += effects.iter().filter(append).count();
        kinds.extend(refused(effects));
    };
    count(&state.step(Time(2_000), &edit_event));
    for n in 1..60 {
        count(&state.step(Time(2_000 + n * 100), &Event::Tick));
    }
    assert_eq!((appended, kinds), (5, vec![Kind::LogUnavailable]));
    assert_eq!(
        Kind::LogUnavailable.answer().outcome,
        Outcome::Unknown,
        "an earlier append may still take effect"
    );
}

#[test]
fn the_second_ranked_instance_writes_snapshots_if_the_first_does_not() {
    let mut config = Config::new(Instance::new("b", 1), "d", &["d"]);
    config.snapshot_records = 10;
    let mut state = State::new(config);
    state.step(Time(1_000), &Event::Listed(vec![listed("a", MemberKind::Instance, "")]));
    let mut written_at = vec![];
    for offset in 0..20 {
        let now = Time(1_100 + offset * 100);
        // The first in rank answers heartbeats but cannot reach the log.
        let (epoch, reading, next) = (0, None, 0);
        let message = Message::Echo { sent: now, epoch, reading, next, draining: false };
        state.step(now, &Event::Peer { from: Instance::new("a", 1), message });
        let base = offset.checked_sub(1);
        state.step(now, &edit(offset, base, 1));
        let effects = state.step(now, &Event::Tick);
        let snapshot =
            |effect: &Effect| matches!(effect, Effect::Append { record: Record::Snapshot(_) });
        if effects.iter().any(snapshot) {
            written_at.push(offset + 1);
        }
    }
    assert_eq!(
        written_at,
        [15],
        "the second in rank waits for 1.5 times as many records as the first"
    );
}

//! Membership: which instances count as live when a reading of the group is
//! incomplete or outdated.

use hollywell::core::{roster::Roster, time::Time};

fn name(instance: &str, incarnation: u32) -> String {
    format!("{instance}@10.0.0.1:80/{incarnation}")
}

fn roster_of_three() -> Roster {
    let mut roster = Roster::new(&name("a", 1));
    roster.read(Time(0), &[name("a", 1), name("b", 1), name("c", 1)], None);
    roster
}

#[test]
fn a_reading_right_after_an_outage_removes_no_member() {
    let mut roster = roster_of_three();
    let back_at = Some(Time(10_000));
    for at in [10_050, 10_400, 11_000] {
        assert!(!roster.read(Time(at), &[name("a", 1)], back_at), "at {at}");
    }
    assert!(roster.is_unsettled());
    roster.read(Time(11_300), &[name("a", 1), name("b", 1)], back_at);
    assert!(roster.read(Time(13_000), &[name("a", 1), name("b", 1)], back_at));
    assert_eq!(
        roster.members(),
        [name("a", 1), name("b", 1)],
        "a member that stays missing is removed"
    );
    assert!(!roster.is_unsettled());
}

#[test]
fn a_new_incarnation_replaces_the_old_one_at_once() {
    let mut roster = roster_of_three();
    roster.read(Time(10), &[name("a", 1), name("b", 1), name("b", 2), name("c", 1)], None);
    assert_eq!(roster.members(), [name("a", 1), name("b", 2), name("c", 1)]);
}

#[test]
fn the_local_incarnation_wins_even_if_lower() {
    // The clock went back, so that the former incarnation has the higher number.
    let mut roster = Roster::new(&name("a", 1));
    roster.read(Time(0), &[name("a", 2), name("b", 1)], None);
    assert_eq!(roster.members(), [name("a", 1), name("b", 1)]);
}

#[test]
fn a_member_missing_now_and_then_is_kept() {
    let mut roster = roster_of_three();
    for round in 0..20 {
        let now = Time(1_000 + round * 150);
        let read =
            if round % 2 == 0 { vec![name("a", 1)] } else { roster_of_three().members().to_vec() };
        assert!(!roster.read(now, &read, None), "round {round}");
    }
}

#[test]
fn a_leaving_instance_is_not_a_member() {
    let mut roster = roster_of_three();
    roster.leave();
    assert!(roster.read(Time(10), &[name("b", 1), name("c", 1)], None));
    assert_eq!(roster.members(), [name("b", 1), name("c", 1)]);
}

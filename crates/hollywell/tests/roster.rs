//! Who is believed to live: readings that must not be taken at their word.

use hollywell::core::{roster::Roster, time::Time};

fn name(instance: &str, run: u32) -> String {
    format!("{instance}@10.0.0.1:80/{run}")
}

fn three() -> Roster {
    let mut roster = Roster::new(&name("a", 1));
    roster.read(Time(0), &[name("a", 1), name("b", 1), name("c", 1)], None);
    roster
}

#[test]
fn a_reading_right_after_an_outage_ends_nobody() {
    let mut roster = three();
    let back_at = Some(Time(10_000));
    for at in [10_050, 10_400, 11_000] {
        assert!(!roster.read(Time(at), &[name("a", 1)], back_at), "at {at}");
    }
    assert!(roster.is_unsettled());
    roster.read(Time(11_300), &[name("a", 1), name("b", 1)], back_at);
    assert!(roster.read(Time(13_000), &[name("a", 1), name("b", 1)], back_at));
    assert_eq!(roster.members(), [name("a", 1), name("b", 1)], "who stays away is gone");
    assert!(!roster.is_unsettled());
}

#[test]
fn a_new_run_replaces_the_old_one_at_once() {
    let mut roster = three();
    roster.read(Time(10), &[name("a", 1), name("b", 1), name("b", 2), name("c", 1)], None);
    assert_eq!(roster.members(), [name("a", 1), name("b", 2), name("c", 1)]);
}

#[test]
fn an_instance_whose_clock_went_back_counts_itself_and_not_its_former_run() {
    let mut roster = Roster::new(&name("a", 1));
    roster.read(Time(0), &[name("a", 2), name("b", 1)], None);
    assert_eq!(roster.members(), [name("a", 1), name("b", 1)]);
}

#[test]
fn a_member_that_is_missing_now_and_then_stays() {
    let mut roster = three();
    for round in 0..20 {
        let now = Time(1_000 + round * 150);
        let read = if round % 2 == 0 { vec![name("a", 1)] } else { three().members().to_vec() };
        assert!(!roster.read(now, &read, None), "round {round}");
    }
}

#[test]
fn an_instance_that_leaves_does_not_count_itself() {
    let mut roster = three();
    roster.leave();
    assert!(roster.read(Time(10), &[name("b", 1), name("c", 1)], None));
    assert_eq!(roster.members(), [name("b", 1), name("c", 1)]);
}

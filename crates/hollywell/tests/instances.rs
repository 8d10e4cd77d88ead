//! The record of all instances, which outlives an outage of the store's group.

use hollywell::core::{
    instances::{Changes, Group, Instances},
    time::Time,
};

const A: &str = "a@10.0.0.1:80+0";
const B: &str = "b@10.0.0.2:80+1*600";

fn members(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| format!("{name}/1")).collect()
}

/// The state of `own`, which has read a record of these instances.
fn recorded(own: &str, names: &[&str]) -> Instances {
    let mut instances = Instances::new(&format!("{own}/1"));
    instances.replace(names.iter().copied());
    instances
}

fn others(instances: &Instances, in_group: &[&str]) -> Option<Vec<String>> {
    Some(instances.others(&members(in_group))?.into_iter().collect())
}

fn changes(instances: &mut Instances, at: u64, in_group: &[&str], is_whole: bool) -> Changes {
    instances.changes(Time(at), Group { members: &members(in_group), is_whole })
}

/// Names of which `first` is the one that keeps the record.
fn keeper_first() -> [&'static str; 2] {
    let is_keeper = Instances::new(&format!("{A}/1")).is_keeper(&members(&[A, B]));
    if is_keeper { [A, B] } else { [B, A] }
}

#[test]
fn nobody_is_known_before_the_record_was_read() {
    let mut instances = Instances::new(&format!("{A}/1"));
    assert_eq!(others(&instances, &[A, B]), None);
    assert!(changes(&mut instances, 0, &[A, B], true).is_empty());
}

#[test]
fn an_instance_that_the_group_does_not_show_exists() {
    assert_eq!(others(&recorded(A, &[A, B]), &[A]), Some(vec![B.to_owned()]));
}

#[test]
fn a_member_without_a_record_exists() {
    assert_eq!(others(&recorded(A, &[A]), &[A, B]), Some(vec![B.to_owned()]));
}

// Only members that the group showed were recorded, and a full group does not
// show all.
#[test]
fn an_instance_adds_itself_whether_or_not_it_is_a_member() {
    for in_group in [&[][..], &[B], &[A, B]] {
        let mut instances = recorded(A, &[B]);
        let due = changes(&mut instances, 0, in_group, false);
        assert_eq!((due.added.as_slice(), due.removed.len()), (&[A.to_owned()][..], 0));
        instances.written(&due);
        assert!(changes(&mut instances, 1, in_group, false).is_empty());
    }
}

#[test]
fn one_instance_adds_members_that_do_not_add_themselves() {
    let [keeper, other] = keeper_first();
    let added = changes(&mut recorded(keeper, &[keeper]), 0, &[A, B], true).added;
    assert_eq!(added, [other]);
    assert!(changes(&mut recorded(other, &[other]), 0, &[A, B], true).is_empty());
}

#[test]
fn an_instance_that_is_gone_for_good_is_removed() {
    let mut instances = recorded(A, &[A, B]);
    assert!(changes(&mut instances, 0, &[A], true).is_empty());
    assert!(changes(&mut instances, 59_000, &[A], true).is_empty());
    let due = changes(&mut instances, 60_000, &[A], true);
    assert_eq!((due.removed.as_slice(), due.added.len()), (&[B.to_owned()][..], 0));
    instances.written(&due);
    assert_eq!(others(&instances, &[]), Some(vec![]));
}

// An instance that kept the record again went on counting from an earlier time.
#[test]
fn time_in_which_another_keeps_the_record_counts_nobody_as_missing() {
    let [keeper, other] = keeper_first();
    let gone = "gone@10.0.0.3:80";
    let mut instances = recorded(other, &[A, B, gone]);
    assert!(changes(&mut instances, 0, &[other], true).is_empty());
    assert!(changes(&mut instances, 30_000, &[keeper, other, gone], true).is_empty());
    assert!(changes(&mut instances, 70_000, &[other], true).is_empty());
    assert_eq!(changes(&mut instances, 130_000, &[other], true).removed.len(), 2);
}

// After an outage of the store its group shows only the first that return, and a
// full group never shows all.
#[test]
fn a_group_that_does_not_show_all_removes_nobody() {
    let mut instances = recorded(A, &[A, B]);
    for at in (0..600_000).step_by(1_000) {
        let due = changes(&mut instances, at, &[A], at % 50_000 != 0);
        assert!(due.is_empty(), "{due:?} at {at} ms");
    }
}

#[test]
fn a_record_of_another_program_names_no_instance() {
    let names = [A, B, "", "b", "b@10.0.0.2:0", "b@10.0.0.2:99999", "b@host:80", "\u{fffd}@/"];
    assert_eq!(others(&recorded(A, &names), &[]), Some(vec![B.to_owned()]));
}

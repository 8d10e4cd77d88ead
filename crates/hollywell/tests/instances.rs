//! The record of all instances, which outlives an outage of the store's group.

use hollywell::core::{instances::Instances, time::Time};

const A: &str = "a@10.0.0.1:80+0";
const B: &str = "b@10.0.0.2:80+1*600";

fn members(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| format!("{name}/1")).collect()
}

fn recorded(names: &[&str]) -> Instances {
    let mut instances = Instances::default();
    instances.replace(names.iter().copied());
    instances
}

#[test]
fn nobody_is_known_before_the_record_was_read() {
    let mut instances = Instances::default();
    assert_eq!(instances.others(&members(&[A, B]), "a@10.0.0.1:80+0/2"), None);
    assert!(instances.changes(Time(0), &members(&[A]), true).is_empty());
}

#[test]
fn an_instance_that_the_group_does_not_show_exists() {
    let instances = recorded(&[A, B]);
    let others = instances.others(&members(&[A]), "a@10.0.0.1:80+0/2").unwrap_or_default();
    assert_eq!(others.into_iter().collect::<Vec<_>>(), [B]);
}

#[test]
fn a_member_without_a_record_exists_and_is_added() {
    let mut instances = recorded(&[A]);
    assert_eq!(instances.others(&members(&[A, B]), A).map(|others| others.len()), Some(1));
    let changes = instances.changes(Time(0), &members(&[A, B]), true);
    assert_eq!((changes.added.as_slice(), changes.removed.len()), (&[B.to_owned()][..], 0));
    instances.written(&changes);
    assert!(instances.changes(Time(1), &members(&[A, B]), true).is_empty());
}

#[test]
fn an_instance_that_is_gone_for_good_is_removed() {
    let mut instances = recorded(&[A, B]);
    assert!(instances.changes(Time(0), &members(&[A]), true).is_empty());
    assert!(instances.changes(Time(59_000), &members(&[A]), true).is_empty());
    let changes = instances.changes(Time(60_000), &members(&[A]), true);
    assert_eq!((changes.removed.as_slice(), changes.added.len()), (&[B.to_owned()][..], 0));
    instances.written(&changes);
    assert_eq!(instances.others(&[], A).map(|others| others.len()), Some(0));
}

// After an outage of the store its group shows only the first that return.
#[test]
fn an_outage_of_the_store_removes_nobody() {
    let mut instances = recorded(&[A, B]);
    for at in (0..600_000).step_by(1_000) {
        let is_settled = at % 50_000 != 0;
        let changes = instances.changes(Time(at), &members(&[A]), is_settled);
        assert!(changes.is_empty(), "{changes:?} at {at} ms");
    }
}

#[test]
fn a_record_of_another_program_names_no_instance() {
    let mut instances = recorded(&[A, "", "b", "b@10.0.0.2:0", "b@10.0.0.2:99999", "b@host:80"]);
    instances.apply("\u{fffd}@/", true);
    assert_eq!(instances.recorded().map(|all| all.len()), Some(1));
}

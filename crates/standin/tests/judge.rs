//! The checker on hand-written histories: one good, and for each property
//! at least one bad that it must reject.

use standin::{
    history::{Event, Line, Reply},
    judge::{IN_FORCE_MS, LEAVING_MS, Verdict, judge},
};

fn at(at: u64, event: Event) -> Line {
    Line { at, event }
}

fn sent(time: u64, key: &str) -> Line {
    at(time, Event::Sent { key: key.into(), entry: "e1".into() })
}

fn replied(time: u64, key: &str, reply: Reply, matches: bool) -> Line {
    at(time, Event::Replied { key: key.into(), entry: "e1".into(), reply, matches })
}

fn ran(time: u64, key: &str) -> Line {
    at(time, Event::Ran { target: "b1".into(), key: key.into() })
}

fn opened(time: u64, version: u64, staleness: u64) -> Line {
    let (trainer, step, samples) = ("t".into(), 1, 1);
    at(time, Event::Opened { trainer, step, samples, version, staleness })
}

fn generated(time: u64, id: &str, versions: &[u64]) -> Line {
    at(time, Event::Generated { id: id.into(), versions: versions.to_vec() })
}

fn sample(time: u64, id: &str, versions: &[u64]) -> Line {
    let (trainer, versions) = ("t".into(), versions.to_vec());
    at(time, Event::Sample { trainer, step: 1, group: 0, index: 0, id: id.into(), versions })
}

fn step_ended(time: u64) -> Line {
    at(time, Event::StepEnded { trainer: "t".into(), step: 1, whole: true })
}

fn in_force(time: u64, next: u64, revision: u64) -> Line {
    let rows = vec![(String::from("t"), revision)];
    at(time, Event::InForce { entry: "e1".into(), incarnation: 1, next, rows })
}

fn accepted(time: u64, revision: u64) -> Line {
    at(time, Event::Accepted { trainer: "t".into(), revision })
}

fn stop(code: i32) -> [Line; 2] {
    let asked = Event::StopAsked { entry: "e1".into() };
    [at(100, asked), at(200, Event::Stopped { entry: "e1".into(), code })]
}

#[test]
fn a_good_history_holds() {
    let mut lines = vec![
        sent(1, "k"),
        ran(2, "k"),
        replied(3, "k", Reply::Answer, true),
        sent(4, "k"),
        replied(5, "k", Reply::Answer, true),
        sent(6, "r"),
        replied(7, "r", Reply::NotRun, true),
        opened(10, 3, 1),
        generated(11, "g-1", &[2, 3]),
        sample(12, "g-1", &[2, 3]),
        step_ended(13),
        accepted(20, 5),
        in_force(30, 6, 5),
    ];
    lines.extend(stop(0));
    let verdict = judge(&lines);
    assert!(verdict.holds(), "{verdict:?}");
    assert_eq!((verdict.app_calls, verdict.samples, verdict.graceful_stops), (2, 1, 1));
}

fn rejected(name: &str, lines: &[Line], count: impl Fn(&Verdict) -> u64) {
    let verdict = judge(lines);
    assert_eq!(count(&verdict), 1, "{name}: {verdict:?}");
    assert!(!verdict.holds(), "{name} must not hold: {verdict:?}");
}

#[test]
fn versions_other_than_those_that_produced_the_sample_are_rejected() {
    let lines = [opened(1, 3, 1), generated(2, "g-1", &[2, 3]), sample(3, "g-1", &[3])];
    rejected("a version left out", &lines, |verdict| verdict.versions_unnamed);
    let lines = [opened(1, 3, 1), generated(2, "g-1", &[3]), sample(3, "g-1", &[])];
    rejected("no version", &lines, |verdict| verdict.versions_unnamed);
}

#[test]
fn a_sample_older_than_the_bound_is_rejected() {
    let lines = [opened(1, 3, 1), generated(2, "g-1", &[1, 3]), sample(3, "g-1", &[1, 3])];
    rejected("too stale", &lines, |verdict| verdict.samples_too_stale);
}

#[test]
fn a_sample_twice_and_a_missing_one_are_rejected() {
    let twice = [
        opened(1, 3, 1),
        generated(2, "g-1", &[3]),
        sample(3, "g-1", &[3]),
        sample(4, "g-1", &[3]),
        step_ended(5),
    ];
    rejected("twice", &twice, |verdict| verdict.samples_twice);
    rejected("missing", &[opened(1, 3, 1), step_ended(2)], |verdict| verdict.samples_missing);
}

#[test]
fn an_answer_to_another_call_is_rejected() {
    let lines = [sent(1, "k"), ran(2, "k"), replied(3, "k", Reply::Answer, false)];
    rejected("another's answer", &lines, |verdict| verdict.answers_wrong);
}

#[test]
fn a_refusal_as_not_run_of_what_ran_is_rejected() {
    let before = [sent(1, "k"), ran(2, "k"), replied(3, "k", Reply::NotRun, true)];
    rejected("ran before", &before, |verdict| verdict.refused_but_ran);
    let after = [sent(1, "k"), replied(2, "k", Reply::NotRun, true), ran(3, "k")];
    rejected("ran after the last word", &after, |verdict| verdict.refused_but_ran);
}

#[test]
fn a_run_after_a_refusal_that_was_sent_again_holds() {
    let lines = [
        sent(1, "k"),
        replied(2, "k", Reply::NotRun, true),
        sent(3, "k"),
        ran(4, "k"),
        replied(5, "k", Reply::Answer, true),
    ];
    let verdict = judge(&lines);
    assert!(verdict.holds(), "{verdict:?}");
    // The caller was ended before it was told anything about the second.
    let verdict = judge(&lines[..4]);
    assert!(verdict.holds(), "{verdict:?}");
    let lost = [sent(1, "k"), replied(2, "k", Reply::NotRun, true), ran(4, "k"), sent(5, "k")];
    rejected("sent again only after the run", &lost, |verdict| verdict.refused_but_ran);
}

#[test]
fn a_second_run_is_rejected() {
    let lines = [sent(1, "k"), ran(2, "k"), ran(3, "k"), replied(4, "k", Reply::Answer, true)];
    rejected("two runs", &lines, |verdict| verdict.app_ran_twice);
}

#[test]
fn work_for_a_target_that_left_is_rejected() {
    let leaving = at(1, Event::Leaving { target: "b1".into() });
    let given = |time| at(time, Event::Given { target: "b1".into() });
    let in_time = judge(&[leaving.clone(), given(LEAVING_MS)]);
    assert!(in_time.holds(), "{in_time:?}");
    let late = [leaving, given(LEAVING_MS + 2)];
    rejected("given work late", &late, |verdict| verdict.leaving_given_work);
}

#[test]
fn an_orderly_stop_that_cuts_a_request_off_is_rejected() {
    let mut lines = vec![sent(1, "k"), replied(150, "k", Reply::Cut, true)];
    lines.extend(stop(0));
    rejected("cut off", &lines, |verdict| verdict.stops_cut);
    rejected("exit code", &stop(1), |verdict| verdict.stops_cut);
}

#[test]
fn a_kill_may_cut_requests_off() {
    let killed = at(100, Event::Killed { entry: "e1".into() });
    let verdict = judge(&[sent(1, "k"), killed, replied(150, "k", Reply::Cut, true)]);
    assert!(verdict.holds(), "{verdict:?}");
}

#[test]
fn a_table_that_goes_back_is_rejected() {
    let lines = [in_force(1, 6, 5), in_force(2, 6, 4)];
    rejected("row went back", &lines, |verdict| verdict.table_reverted);
    let lines = [in_force(1, 6, 5), in_force(2, 5, 5)];
    rejected("offset went back", &lines, |verdict| verdict.table_reverted);
}

#[test]
fn a_change_that_is_not_in_force_in_time_is_rejected() {
    let in_time = judge(&[accepted(1, 5), in_force(1 + IN_FORCE_MS, 5, 4)]);
    assert!(in_time.holds(), "{in_time:?}");
    let late = judge(&[accepted(1, 5), in_force(2 + IN_FORCE_MS, 5, 4)]);
    assert!(!late.holds(), "{late:?}");
}

//! Invariants checked while a schedule runs, and coverage counts over many
//! schedules.

use std::collections::BTreeMap;

use hollywell::{
    core::{effect::Order, stream::Snapshot},
    error::Outcome,
    prelude::Reply,
};

use crate::{
    trainer::Received,
    world::{Scenario, Sent, World},
};

/// Injected faults and invariant violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    Kill,
    Pause,
    Cut,
    LogDown,
    LogCut,
    Isolate,
    Stop,
    Exited,
    RanTwice,
    RefusedButRan,
    Reverted,
    NotInForce,
    StopCut,
    Twice,
    Stale,
    Unversioned,
    WrongVersion,
    FenceBroken,
}

/// Fault counts, replies and violations of one schedule.
#[derive(Default)]
pub(crate) struct Checks {
    runs: BTreeMap<String, Vec<u64>>,
    pub(crate) faults: BTreeMap<Fault, u64>,
    pub(crate) violations: Vec<(Fault, u64, String)>,
    pub(crate) replies: BTreeMap<&'static str, u64>,
    accepted_revisions: Vec<u64>,
    accepted_bases: Vec<(String, Option<u64>)>,
    max_fences: BTreeMap<usize, u64>,
    pub(crate) samples: u64,
    pub(crate) orders: u64,
}

impl Checks {
    pub(crate) fn count(&mut self, fault: Fault) {
        *self.faults.entry(fault).or_default() += 1;
    }

    pub(crate) fn violate(&mut self, fault: Fault, now: u64, text: String) {
        self.violations.push((fault, now, text));
    }

    /// Records that a target ran `key`; `sends` are all sends of the key so far.
    pub(crate) fn ran(&mut self, now: u64, key: &str, sends: &[Sent]) {
        let runs = self.runs.entry(key.to_owned()).or_default();
        runs.push(now);
        if runs.len() > 1 {
            let text = format!("{key} ran at {runs:?}");
            self.violate(Fault::RanTwice, now, text);
        }
        // After a caller has received "not run", only a later send of the key
        // may run.
        let refused = |sent: &&Sent| matches!(sent.answer, Some((_, Some(Outcome::NotRun))));
        let last_refused = sends.iter().filter(refused).map(|sent| sent.at).max();
        let last_sent = sends.iter().map(|sent| sent.at).max();
        if last_refused.is_some() && last_refused == last_sent {
            let text = format!("{key} ran after its send at {last_sent:?} was answered as not run");
            self.violate(Fault::RefusedButRan, now, text);
        }
    }

    pub(crate) fn replied(&mut self, now: u64, key: usize, decided_at: u64, reply: &Reply) {
        let name = match reply {
            Reply::Refused(kind) => kind.as_str(),
            _ => "answered",
        };
        *self.replies.entry(name).or_default() += 1;
        let not_run =
            matches!(reply, Reply::Refused(kind) if kind.answer().outcome == Outcome::NotRun);
        let runs = self.runs.entry(format!("k{key}")).or_default().clone();
        if not_run && runs.iter().any(|run| *run < decided_at) {
            let text =
                format!("k{key} answered {name}, decided at {decided_at}, but it ran at {runs:?}");
            self.violate(Fault::RefusedButRan, now, text);
        }
        if matches!(reply, Reply::Stored(_) | Reply::Relayed) && runs.is_empty() {
            self.violate(Fault::RefusedButRan, now, format!("k{key} answered, but never ran"));
        }
    }

    /// Records that an operator's edit was accepted. At most one edit based on
    /// a given revision may be accepted.
    pub(crate) fn accepted(&mut self, now: u64, trainer: String, base: Option<u64>, revision: u64) {
        self.accepted_revisions.push(revision);
        let trainer_base = (trainer, base);
        if base.is_some() && self.accepted_bases.contains(&trainer_base) {
            let text = format!("two edits based on {trainer_base:?} accepted");
            self.violate(Fault::Reverted, now, text);
        }
        self.accepted_bases.push(trainer_base);
        *self.replies.entry("accepted").or_default() += 1;
    }

    /// Accepted revisions that are missing from the log's state.
    pub(crate) fn lost_edits(&self, log_state: &Snapshot) -> Vec<u64> {
        let known: Vec<u64> = log_state.table.history().map(|(offset, _)| *offset).collect();
        self.accepted_revisions
            .iter()
            .filter(|revision| !known.contains(revision))
            .copied()
            .collect()
    }

    pub(crate) fn sample(&mut self, now: u64, received: Received, slot_matches: bool) {
        match received {
            Received::Closed => {}
            Received::Good => self.samples += 1,
            Received::Twice => {
                self.violate(Fault::Twice, now, String::from("sample delivered twice"));
            }
            Received::Stale => self.violate(
                Fault::Stale,
                now,
                String::from("sample staler than the trainer's bound"),
            ),
        }
        if !slot_matches {
            self.violate(
                Fault::Twice,
                now,
                String::from("sample delivered under another sample's slot"),
            );
        }
    }

    pub(crate) fn order(&mut self, now: u64, engine: usize, order: &Order, fenced: bool) {
        self.orders += 1;
        let newest = self.max_fences.entry(engine).or_default();
        // A former lease holder's order reached the engine after one of the
        // later holder, and the engine did not reject it.
        if order.fence < *newest && !fenced {
            let text =
                format!("e{engine}: order with fencing token {} after {newest}", order.fence);
            self.violations.push((Fault::FenceBroken, now, text));
        }
        *newest = order.fence.max(*newest);
    }
}

/// Counts summed over many schedules.
#[derive(Default)]
pub(crate) struct Totals {
    faults: BTreeMap<Fault, u64>,
    replies: BTreeMap<&'static str, u64>,
    violations: u64,
    samples: u64,
    orders: u64,
    steps: u64,
}

impl Totals {
    pub(crate) fn add_schedule(&mut self, world: &World) {
        let checks = &world.checks;
        for (fault, count) in &checks.faults {
            *self.faults.entry(*fault).or_default() += count;
        }
        for (name, count) in &checks.replies {
            *self.replies.entry(name).or_default() += count;
        }
        self.violations += checks.violations.len() as u64;
        self.samples += checks.samples;
        self.orders += checks.orders;
        self.steps += world.trainer.steps_completed;
    }

    pub(crate) fn merge(mut self, other: Totals) -> Totals {
        for (fault, count) in other.faults {
            *self.faults.entry(fault).or_default() += count;
        }
        for (name, count) in other.replies {
            *self.replies.entry(name).or_default() += count;
        }
        self.violations += other.violations;
        self.samples += other.samples;
        self.orders += other.orders;
        self.steps += other.steps;
        self
    }

    pub(crate) fn json(&self, scenario: Scenario, schedules: u64) -> String {
        let faults = self.faults.iter().map(|(fault, count)| (format!("{fault:?}"), count));
        let line = serde_json::json!({
            "proof": scenario.test_name(),
            "schedules": schedules,
            "violations": self.violations,
            "faults": faults.collect::<BTreeMap<_, _>>(),
            "told": self.replies,
            "samples": self.samples,
            "orders": self.orders,
            "steps": self.steps,
        });
        line.to_string()
    }

    /// Fails if the schedules completed too little work: without completed
    /// work, the absence of violations shows nothing.
    pub(crate) fn assert_coverage(&self, scenario: Scenario) {
        let replies = |name: &str| self.replies.get(name).copied().unwrap_or_default();
        match scenario {
            Scenario::OneDomain | Scenario::TwoDomains => {
                assert!(
                    replies("answered") > 1_000,
                    "expected more than 1000 answers, got {:?}",
                    self.replies
                );
                assert!(
                    replies("outcome_unknown") > 0,
                    "expected an unknown outcome, got {:?}",
                    self.replies
                );
            }
            Scenario::Table => assert!(
                replies("accepted") > 1_000,
                "expected more than 1000 accepted edits, got {:?}",
                self.replies
            ),
            Scenario::Rollouts => {
                assert!(
                    self.samples > 1_000,
                    "expected more than 1000 samples, got {}",
                    self.samples
                );
                assert!(self.orders > 100, "expected more than 100 orders, got {}", self.orders);
            }
        }
    }
}

//! What must always hold, checked while a schedule runs, and the counts that
//! show what the schedules reached.

use std::collections::BTreeMap;

use hollywell::{
    core::{effect::Order, stream::Snapshot},
    error::Outcome,
    prelude::Reply,
};

use crate::{
    trainer::Received,
    world::{Sent, Shape, World},
};

/// Faults that are drawn, and violations that are found.
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

/// One schedule's findings.
#[derive(Default)]
pub(crate) struct Checks {
    runs: BTreeMap<String, Vec<u64>>,
    pub(crate) faults: BTreeMap<Fault, u64>,
    pub(crate) violations: Vec<(Fault, u64, String)>,
    pub(crate) told: BTreeMap<&'static str, u64>,
    revisions: Vec<u64>,
    bases: Vec<(String, Option<u64>)>,
    fences: BTreeMap<usize, u64>,
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

    /// A key ran; `sends` are all its sends so far.
    pub(crate) fn ran(&mut self, now: u64, key: &str, sends: &[Sent]) {
        let runs = self.runs.entry(key.to_owned()).or_default();
        runs.push(now);
        if runs.len() > 1 {
            let text = format!("{key} ran at {runs:?}");
            self.violate(Fault::RanTwice, now, text);
        }
        // Once a caller has read "not run", only a send made after the one
        // that was refused may run.
        let refused = |sent: &&Sent| matches!(sent.told, Some((_, Some(Outcome::NotRun))));
        let last_refused = sends.iter().filter(refused).map(|sent| sent.at).max();
        let last_sent = sends.iter().map(|sent| sent.at).max();
        if last_refused.is_some() && last_refused == last_sent {
            let text = format!("{key} ran after its send at {last_sent:?} was told not run");
            self.violate(Fault::RefusedButRan, now, text);
        }
    }

    pub(crate) fn told(&mut self, now: u64, key: usize, decided: u64, reply: &Reply) {
        let name = match reply {
            Reply::Refused(kind) => kind.as_str(),
            _ => "answered",
        };
        *self.told.entry(name).or_default() += 1;
        let not_run =
            matches!(reply, Reply::Refused(kind) if kind.answer().outcome == Outcome::NotRun);
        let runs = self.runs.entry(format!("k{key}")).or_default().clone();
        if not_run && runs.iter().any(|run| *run < decided) {
            let text = format!("k{key} told {name}, decided at {decided}, but it ran at {runs:?}");
            self.violate(Fault::RefusedButRan, now, text);
        }
        if matches!(reply, Reply::Stored(_) | Reply::Relayed) && runs.is_empty() {
            self.violate(Fault::RefusedButRan, now, format!("k{key} answered, but never ran"));
        }
    }

    /// An operator was told that an edit is accepted. No two may be that
    /// were based on one revision.
    pub(crate) fn accepted(&mut self, now: u64, trainer: String, base: Option<u64>, revision: u64) {
        self.revisions.push(revision);
        let place = (trainer, base);
        if base.is_some() && self.bases.contains(&place) {
            let text = format!("two edits of {place:?} accepted");
            self.violate(Fault::Reverted, now, text);
        }
        self.bases.push(place);
        *self.told.entry("accepted").or_default() += 1;
    }

    /// Accepted revisions that the log's state does not know.
    pub(crate) fn lost_edits(&self, whole: &Snapshot) -> Vec<u64> {
        let known: Vec<u64> = whole.table.history().map(|(offset, _)| *offset).collect();
        self.revisions.iter().filter(|revision| !known.contains(revision)).copied().collect()
    }

    pub(crate) fn sample(&mut self, now: u64, received: Received, in_place: bool) {
        match received {
            Received::Closed => {}
            Received::Good => self.samples += 1,
            Received::Twice => self.violate(Fault::Twice, now, String::from("sample twice")),
            Received::Stale => self.violate(Fault::Stale, now, String::from("sample too old")),
        }
        if !in_place {
            self.violate(Fault::Twice, now, String::from("sample in another's place"));
        }
    }

    pub(crate) fn order(&mut self, now: u64, engine: usize, order: &Order, fenced: bool) {
        self.orders += 1;
        let newest = self.fences.entry(engine).or_default();
        // An order that a lease should have kept from being sent reaches the
        // engine after a later holder's.
        if order.fence < *newest && !fenced {
            let text = format!("e{engine}: order of fence {} after {newest}", order.fence);
            self.violations.push((Fault::FenceBroken, now, text));
        }
        *newest = order.fence.max(*newest);
    }
}

/// What many schedules reached.
#[derive(Default)]
pub(crate) struct Totals {
    faults: BTreeMap<Fault, u64>,
    told: BTreeMap<&'static str, u64>,
    violations: u64,
    samples: u64,
    orders: u64,
    steps: u64,
}

impl Totals {
    pub(crate) fn take(&mut self, world: &World) {
        let checks = &world.checks;
        for (fault, count) in &checks.faults {
            *self.faults.entry(*fault).or_default() += count;
        }
        for (name, count) in &checks.told {
            *self.told.entry(name).or_default() += count;
        }
        self.violations += checks.violations.len() as u64;
        self.samples += checks.samples;
        self.orders += checks.orders;
        self.steps += world.trainer.steps_whole;
    }

    pub(crate) fn add(mut self, other: Totals) -> Totals {
        for (fault, count) in other.faults {
            *self.faults.entry(fault).or_default() += count;
        }
        for (name, count) in other.told {
            *self.told.entry(name).or_default() += count;
        }
        self.violations += other.violations;
        self.samples += other.samples;
        self.orders += other.orders;
        self.steps += other.steps;
        self
    }

    pub(crate) fn json(&self, shape: Shape, schedules: u64) -> String {
        let faults = self.faults.iter().map(|(fault, count)| (format!("{fault:?}"), count));
        let line = serde_json::json!({
            "proof": shape.test_name(),
            "schedules": schedules,
            "violations": self.violations,
            "faults": faults.collect::<BTreeMap<_, _>>(),
            "told": self.told,
            "samples": self.samples,
            "orders": self.orders,
            "steps": self.steps,
        });
        line.to_string()
    }

    /// A proof that reaches nothing proves nothing: the schedules must have
    /// got as far as work that ended well.
    pub(crate) fn assert_reached(&self, shape: Shape) {
        let told = |name: &str| self.told.get(name).copied().unwrap_or_default();
        match shape {
            Shape::OneDomain | Shape::TwoDomains => {
                assert!(told("answered") > 1_000, "too few answers: {:?}", self.told);
                assert!(told("outcome_unknown") > 0, "no unknown outcome: {:?}", self.told);
            }
            Shape::Table => assert!(told("accepted") > 1_000, "too few edits: {:?}", self.told),
            Shape::Rollouts => {
                assert!(self.samples > 1_000, "too few samples: {}", self.samples);
                assert!(self.orders > 100, "too few orders: {}", self.orders);
            }
        }
    }
}

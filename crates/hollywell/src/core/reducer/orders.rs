//! Orders to the failure domain's engines to load weight versions.
//!
//! Orders are level-triggered: the lease holder compares the version that an
//! engine reports with the newest one and repeats the order until they match.
//! A lost answer, a failed load or a second holder is therefore corrected
//! after the next report.

use super::{Config, State};
use crate::core::{
    effect::{Effect, Order},
    lease::{Claim, Step},
    member::{Kind, Target},
    stream::Record,
    time::Time,
};

/// How far an engine's load report may lag behind an order that it accepted,
/// in milliseconds.
const REPORT_LAG_MS: u64 = 2_000;

/// Returns the interval of the weight fetches that a lease holder may cause,
/// in milliseconds. The holders of all failure domains share the store's rate.
pub(super) fn interval_ms(config: &Config) -> u64 {
    let holders = config.domains.len().max(1) as u64;
    1_000 * holders / config.fetches_a_s.max(1)
}

/// An order that was sent to an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentOrder {
    /// Until when the engine gets no other order.
    until: Time,
    /// True until the order has ended.
    in_flight: bool,
}

impl State {
    pub(super) fn tick_orders(&mut self) {
        self.tick_lease();
        let left_ms = self.lease.held_until().since(self.now);
        let too_short = left_ms <= self.config.order_ms.min(self.order_limit_ms());
        if too_short || self.now < self.lease_from || self.draining.is_some() {
            return;
        }
        self.sent_orders.retain(|_, sent| sent.until > self.now);
        for (target, address, order) in self.due_orders() {
            if !self.pacer.admit(self.now) {
                break;
            }
            let until = self.now.after(self.config.order_ms);
            self.sent_orders.insert(target.clone(), SentOrder { until, in_flight: true });
            let before = self.lease.held_until().before(self.order_limit_ms());
            let before = before.unwrap_or(Time::EARLIEST);
            self.emit(Effect::Order { target, address, order, before });
        }
    }

    /// How much time of the lease must be left when an order is sent, in
    /// milliseconds.
    fn order_limit_ms(&self) -> u64 {
        self.config.ownership.lease_ms / 3
    }

    fn tick_lease(&mut self) {
        if !self.log_read || self.fold.has_gap() || self.draining.is_some() {
            return;
        }
        let grant = self.fold.state().leases.0.get(&self.config.domain);
        let base = grant.map(|grant| grant.renewed);
        let is_holder = grant.is_some_and(|grant| grant.holder == *self.owner.local());
        let times = self.config.ownership;
        let step = self.lease.step(is_holder, self.now, times.lease_ms, times.guard_ms);
        if step == Step::Claim {
            let domain = self.config.domain.clone();
            let holder = self.owner.local().clone();
            self.append(Record::Claim(Claim { domain, holder, base }));
        }
    }

    /// Orders for engines of this failure domain that report an old version,
    /// limited by how many may change weights at the same time.
    fn due_orders(&self) -> Vec<(String, String, Order)> {
        let in_flight = self.sent_orders.values().filter(|sent| sent.in_flight).count();
        let free = self.config.orders.saturating_sub(in_flight);
        let grant = self.fold.state().leases.0.get(&self.config.domain);
        let Some(fence) = grant.map(|grant| grant.fence) else {
            return vec![];
        };
        let is_eligible = |target: &&Target| {
            target.listed.kind == Kind::Engine
                && target.listed.domain == self.config.domain
                && !target.leaving
                && !self.sent_orders.contains_key(&target.listed.name)
        };
        let engines = self.members.targets.values().filter(is_eligible);
        let due = engines.filter_map(|engine| {
            let (trainer, version) = self.next_version(engine)?;
            let holder = self.owner.local().clone();
            let order = Order { fence, holder, trainer, version };
            Some((engine.listed.name.clone(), engine.listed.address.clone(), order))
        });
        due.take(free).collect()
    }

    /// Returns the first trainer of which the engine serves an old version,
    /// and the version that it should load.
    fn next_version(&self, engine: &Target) -> Option<(String, u64)> {
        let load = engine.load.as_ref()?;
        let old = |(trainer, served): (&String, &u64)| {
            let newest = self.steps.newest(trainer);
            (newest > *served).then(|| (trainer.clone(), newest))
        };
        load.versions.iter().find_map(old)
    }

    /// Handles the end of an order. After an accepted order, its engine gets no
    /// other one until the lagging report can show the result, but the next
    /// engine can get one. A failed order is repeated soon.
    pub(super) fn on_order_ended(&mut self, target: &str, taken: bool) {
        let delay_ms = if taken { REPORT_LAG_MS } else { self.config.heartbeat_ms };
        let until = self.now.after(delay_ms);
        self.sent_orders.insert(target.to_owned(), SentOrder { until, in_flight: false });
    }

    /// Forgets the order to an engine that reports no old version any longer.
    pub(super) fn forget_order(&mut self, target: &str) {
        let engine = self.members.targets.get(target);
        if engine.is_some_and(|engine| self.next_version(engine).is_none()) {
            self.sent_orders.remove(target);
        }
    }
}

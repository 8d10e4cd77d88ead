//! One modelled instance: its reducer, its clock, and whether it runs.

use std::collections::{BTreeMap, BTreeSet};

use hollywell::{
    core::owner,
    prelude::{Config, Instance, Request, State, Time},
};

/// Who waits for the answer to a request at an instance.
#[derive(Clone, Debug)]
pub(crate) enum Waiter {
    /// A caller's send, by its place in the history.
    Send(usize),
    /// Another instance, which forwarded its request.
    Forward { node: usize, run: u64, request: Request, key: String },
    /// A trainer, whose answer is a stream.
    Trainer,
    /// An operator, with the row and the revision that the edit was based
    /// on.
    Operator { trainer: String, base: Option<u64> },
}

/// A modelled instance.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) state: State,
    /// Counts this instance's runs over the whole schedule.
    pub(crate) run: u64,
    pub(crate) alive: bool,
    pub(crate) exiting: bool,
    pub(crate) lingered: u32,
    pub(crate) paused_until: u64,
    pub(crate) paused_from: u64,
    /// Cut off from the platform until then.
    pub(crate) log_cut_until: u64,
    pub(crate) log_from: u64,
    pub(crate) waiters: BTreeMap<Request, Waiter>,
    /// Forwarded requests that have arrived.
    pub(crate) forwarded: BTreeSet<Request>,
    pub(crate) last_request: u64,
    pub(crate) folded: u64,
    started: u64,
    offset: u64,
    drift: i64,
}

impl Node {
    pub(crate) fn start(place: usize, domain: &str, domains: &[&str], run: u64, now: u64) -> Node {
        let name = format!("n{place}");
        let config = config(&name, domain, domains, run);
        Node {
            state: State::new(config),
            name,
            run,
            alive: true,
            exiting: false,
            lingered: 0,
            paused_until: 0,
            paused_from: 0,
            log_cut_until: 0,
            log_from: 0,
            waiters: BTreeMap::new(),
            forwarded: BTreeSet::new(),
            last_request: 0,
            folded: 0,
            started: now,
            offset: 1_000 + run * 7_919,
            // Clocks differ by up to a hundredth.
            drift: (run * 7 % 21) as i64 - 10,
        }
    }

    /// The instance's own clock.
    pub(crate) fn clock(&self, now: u64) -> Time {
        let elapsed = now.saturating_sub(self.started);
        let skewed = elapsed as i64 + elapsed as i64 * self.drift / 1_000;
        Time(self.offset + skewed as u64)
    }

    /// True if the balancer sends requests here.
    pub(crate) fn is_open(&self) -> bool {
        self.alive && !self.exiting
    }

    pub(crate) fn is_paused(&self, now: u64) -> bool {
        self.paused_until > now
    }

    /// When a request that reaches the process now counts as arrived: while
    /// the process is paused, at the pause's start.
    pub(crate) fn arrival(&self, now: u64) -> Time {
        let paused = self.is_paused(now);
        self.clock(if paused { self.paused_from } else { now })
    }

    /// Requests that have reached the process, if only its sockets, and
    /// were not answered. A forwarded one on its way has not.
    pub(crate) fn unanswered(&self) -> Vec<(Request, Waiter)> {
        let reached = |request: &Request, waiter: &Waiter| {
            !matches!(waiter, Waiter::Forward { .. }) || self.forwarded.contains(request)
        };
        let open = self.waiters.iter().filter(|(request, waiter)| reached(request, waiter));
        open.map(|(request, waiter)| (*request, waiter.clone())).collect()
    }

    pub(crate) fn new_request(&mut self, waiter: Waiter) -> Request {
        self.last_request += 1;
        let request = Request(self.last_request);
        self.waiters.insert(request, waiter);
        request
    }
}

/// Short times, so that a schedule of some seconds sees leases run out.
fn config(name: &str, domain: &str, domains: &[&str], run: u64) -> Config {
    let mut config = Config::new(Instance::new(name, run * 1_000), domain, domains);
    config.ownership =
        owner::Config { lease_ms: 900, guard_ms: 100, log_away_ms: 4_000, horizon_ms: HORIZON_MS };
    config.heartbeat_ms = 200;
    config.remote_heartbeat_ms = 300;
    config.suspect_ms = 700;
    config.settle_ms = 100;
    config.replica_timeout_ms = 500;
    config.order_ms = 400;
    config.edit_ms = 1_500;
    config.snapshot_records = 12;
    config.snapshot_ms = 2_000;
    config.resign_ms = 1_500;
    config
}

/// How long claims are kept. Callers send a key again for less.
pub(crate) const HORIZON_MS: u64 = 30_000;

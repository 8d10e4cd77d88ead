//! One simulated instance: its reducer, its clock and its process state.

use std::collections::{BTreeMap, BTreeSet};

use hollywell::{
    core::owner,
    prelude::{Config, Instance, Request, State, Time},
};

/// The recipient of the answer to a request at an instance.
#[derive(Clone, Debug)]
pub(crate) enum Waiter {
    /// A caller's send, by its index in the history of sends.
    Send(usize),
    /// Another instance, which forwarded the request.
    Forward { node: usize, run: u64, request: Request, key: String },
    /// A trainer, which receives a stream.
    Trainer,
    /// An operator, with the trainer whose row is edited and the revision that
    /// the edit is based on.
    Operator { trainer: String, base: Option<u64> },
}

/// A simulated instance.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) state: State,
    /// Number of this process start, unique over the schedule.
    pub(crate) run: u64,
    pub(crate) alive: bool,
    pub(crate) exiting: bool,
    pub(crate) linger_count: u32,
    pub(crate) paused_until: u64,
    pub(crate) paused_from: u64,
    /// End of the current partition from the platform.
    pub(crate) log_cut_until: u64,
    pub(crate) log_from: u64,
    pub(crate) waiters: BTreeMap<Request, Waiter>,
    /// Forwarded requests that have arrived here.
    pub(crate) forwarded: BTreeSet<Request>,
    pub(crate) last_request: u64,
    pub(crate) folded: u64,
    started_at: u64,
    clock_offset: u64,
    clock_drift: i64,
}

impl Node {
    pub(crate) fn start(index: usize, domain: &str, domains: &[&str], run: u64, now: u64) -> Node {
        let name = format!("n{index}");
        let config = config(&name, domain, domains, run);
        Node {
            state: State::new(config),
            name,
            run,
            alive: true,
            exiting: false,
            linger_count: 0,
            paused_until: 0,
            paused_from: 0,
            log_cut_until: 0,
            log_from: 0,
            waiters: BTreeMap::new(),
            forwarded: BTreeSet::new(),
            last_request: 0,
            folded: 0,
            started_at: now,
            clock_offset: 1_000 + run * 7_919,
            // Clock rates differ by up to 1 %.
            clock_drift: (run * 7 % 21) as i64 - 10,
        }
    }

    /// Reads the instance's local clock, which has its own offset and drift.
    pub(crate) fn clock(&self, now: u64) -> Time {
        let elapsed = now.saturating_sub(self.started_at);
        let skewed = elapsed as i64 + elapsed as i64 * self.clock_drift / 1_000;
        Time(self.clock_offset + skewed as u64)
    }

    /// Returns true if the load balancer sends requests here.
    pub(crate) fn is_open(&self) -> bool {
        self.alive && !self.exiting
    }

    pub(crate) fn is_paused(&self, now: u64) -> bool {
        self.paused_until > now
    }

    /// Returns the arrival time of a request that reaches the process now. While
    /// the process is paused, this is the start of the pause.
    pub(crate) fn arrival(&self, now: u64) -> Time {
        let paused = self.is_paused(now);
        self.clock(if paused { self.paused_from } else { now })
    }

    /// Returns unanswered requests that have reached the process or its socket
    /// buffers. A forwarded request still in transit does not count.
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

/// Settings with short time-outs, so that leases expire within a schedule of
/// a few seconds.
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

/// Retention of claims. Callers stop resending a key before it ends.
pub(crate) const HORIZON_MS: u64 = 30_000;

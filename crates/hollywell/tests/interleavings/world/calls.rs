//! Simulated callers, forwarding between instances, and targets of calls.

use arbtest::arbitrary::{Result, Unstructured};
use hollywell::{
    core::{
        event::{End, Forward, ForwardResult},
        member::Reading,
        table::Outcome,
    },
    error::Kind,
    prelude::{Call, Dispatch, Event, Reply, Request, Time},
};

use super::{Action, MAX_SENDS, RESEND_MS, Sent, World};
use crate::node::Waiter;

impl World {
    pub(super) fn send(&mut self, key: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let count = self.sends.iter().filter(|sent| sent.key == key).count();
        let node = u.int_in_range(0..=self.nodes.len() - 1)?;
        if count >= MAX_SENDS || !self.nodes[node].is_open() {
            return Ok(());
        }
        let send = self.sends.len();
        self.sends.push(Sent { key, at: self.now, decided_at: 0, answer: None });
        let arrived = self.nodes[node].arrival(self.now);
        let request = self.nodes[node].new_request(Waiter::Send(send));
        let call = Call {
            pool: String::from("app"),
            idempotent: false,
            key: Some(format!("k{key}")),
            home: None,
            digest: 1,
            timeout_ms: 1_500,
        };
        self.trace(|| format!("send k{key} (send {send}) to n{node}"));
        let run = self.nodes[node].run;
        let event = Event::Call { request, arrived, call };
        self.after(0, Action::Event { node, run, event });
        if self.chance(u, 3)? {
            self.after(RESEND_MS + 50, Action::Send { key });
        }
        Ok(())
    }

    pub(super) fn reply(
        &mut self,
        node: usize,
        request: Request,
        reply: &Reply,
        reading: Option<Reading>,
        delay: u64,
    ) {
        let Some(waiter) = self.nodes[node].waiters.remove(&request) else {
            return;
        };
        match waiter {
            Waiter::Send(send) => {
                if self.sends[send].decided_at == 0 {
                    self.sends[send].decided_at = self.now;
                }
                let reply = reply.clone();
                self.after(delay, Action::ReplyReceived { send, reply });
            }
            Waiter::Forward { node: origin, run, request, .. } => {
                let refused = match reply {
                    Reply::Refused(kind) => Some(*kind),
                    _ => None,
                };
                let lost = self.is_partitioned(node, origin);
                let origin_waiter = self.nodes[origin].waiters.get(&request);
                if let (Some(Waiter::Send(send)), true) = (origin_waiter, self.runs_on(origin, run))
                {
                    self.sends[*send].decided_at = self.now;
                }
                let result = (!lost).then_some(ForwardResult { refused, reading });
                let event = Event::ForwardEnded { request, result };
                self.after(delay, Action::Event { node: origin, run, event });
            }
            Waiter::Operator { trainer, base } => {
                if let Reply::Edited(Outcome::Accepted { revision }) = reply {
                    self.checks.accepted(self.now, trainer, base, *revision);
                }
            }
            Waiter::Trainer => {}
        }
    }

    pub(super) fn reply_received(
        &mut self,
        send: usize,
        reply: &Reply,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let outcome = match reply {
            Reply::Refused(kind) => Some(kind.answer().outcome),
            _ => None,
        };
        let key = self.sends[send].key;
        self.sends[send].answer = Some((self.now, outcome));
        self.trace(|| format!("caller of k{key} (send {send}) received {reply:?}"));
        let decided_at = self.sends[send].decided_at;
        self.checks.replied(self.now, key, decided_at, reply);
        let refused = matches!(reply, Reply::Refused(kind) if *kind != Kind::KeyMismatch);
        if refused && self.chance(u, 2)? {
            self.after(RESEND_MS, Action::Send { key });
        }
        Ok(())
    }

    pub(super) fn forward(
        &mut self,
        node: usize,
        run: u64,
        request: Request,
        to: &str,
        forward: Forward,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let delay = self.delay(u)?;
        let index = self.node_index(to);
        let reached = index.filter(|to| self.nodes[*to].alive && !self.is_partitioned(node, *to));
        let lost = self.chance(u, 30)?;
        let Some(to) = reached.filter(|_| !lost) else {
            let event = Event::ForwardEnded { request, result: None };
            self.after(delay, Action::Event { node, run, event });
            return Ok(());
        };
        let key = forward.call.key.clone().unwrap_or_default();
        let waiter = Waiter::Forward { node, run, request, key };
        let forwarded_request = self.nodes[to].new_request(waiter);
        let to_run = self.nodes[to].run;
        let event = Event::Forwarded { request: forwarded_request, forward };
        self.after(delay, Action::Event { node: to, run: to_run, event });
        Ok(())
    }

    pub(super) fn dispatch_before_deadline(
        &mut self,
        node: usize,
        run: u64,
        request: Request,
        dispatch: Dispatch,
        before: Time,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let key = self.key_of(node, request);
        if self.nodes[node].clock(self.now) >= before {
            let event = Event::TargetEnded { dispatch, end: End::NotSent, leaving: false };
            self.after(1, Action::Event { node, run, event });
            return Ok(());
        }
        // The delay between the deadline check and the arrival at the target is
        // unbounded: the process may be paused, the socket full, the network slow.
        let delay = self.delay(u)?;
        if let Some(key) = key {
            self.after(delay, Action::Arrive { node, run, dispatch, key });
        }
        Ok(())
    }

    pub(super) fn key_of(&self, node: usize, request: Request) -> Option<String> {
        let waiter = self.nodes[node].waiters.get(&request)?;
        match waiter {
            Waiter::Send(send) => Some(format!("k{}", self.sends[*send].key)),
            Waiter::Forward { key, .. } => Some(key.clone()),
            Waiter::Operator { .. } | Waiter::Trainer => None,
        }
    }

    pub(super) fn arrive_at_target(
        &mut self,
        node: usize,
        run: u64,
        dispatch: Dispatch,
        key: &str,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let end = if self.chance(u, 10)? {
            End::NotRun
        } else if self.chance(u, 10)? {
            End::NotSent
        } else {
            let key_name = |sent: &&Sent| format!("k{}", sent.key) == key;
            let sends: Vec<Sent> = self.sends.iter().filter(key_name).cloned().collect();
            self.trace(|| format!("RUN {key} by n{node}"));
            self.checks.ran(self.now, key, &sends);
            if self.chance(u, 10)? { End::Broken } else { End::Answered }
        };
        let delay = self.delay(u)?;
        let event = Event::TargetEnded { dispatch, end, leaving: false };
        self.after(delay, Action::Event { node, run, event });
        Ok(())
    }
}

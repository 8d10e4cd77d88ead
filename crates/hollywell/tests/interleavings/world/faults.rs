//! Random work and faults that are injected between actions.

use arbtest::arbitrary::{Result, Unstructured};
use hollywell::prelude::Event;

use super::{Action, LINGER_MS, MAX_LINGERS, RESEND_MS, Scenario, World};
use crate::{checks::Fault, node::Waiter};

impl World {
    pub(super) fn inject_work(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match self.scenario {
            Scenario::OneDomain | Scenario::TwoDomains => {
                let key = if self.keys > 0 && u.ratio(1, 3)? {
                    u.int_in_range(0..=self.keys - 1)?
                } else {
                    self.keys += 1;
                    self.keys - 1
                };
                let last = self.sends.iter().rev().find(|sent| sent.key == key);
                if last.is_none_or(|sent| self.now > sent.at + RESEND_MS) {
                    self.after(0, Action::Send { key });
                }
            }
            Scenario::Table => {
                let trainer = u.int_in_range(0..=2)?;
                self.after(0, Action::EditRow { trainer });
                if u.ratio(1, 2)? {
                    self.after(1, Action::EditRow { trainer });
                }
            }
            Scenario::Rollouts => {
                if u.ratio(1, 3)? {
                    self.after(0, Action::EditRow { trainer: 0 });
                } else if u.ratio(1, 3)? {
                    self.abandon_stream(u)?;
                } else {
                    self.trainer.publish();
                }
            }
        }
        Ok(())
    }

    /// The trainer closes its stream and reopens the step at another instance; the
    /// first instance is notified with a delay.
    pub(super) fn abandon_stream(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some((node, run, request)) = self.trainer.stream() {
            self.trainer.close();
            self.nodes[node].waiters.remove(&request);
            let delay = self.delay(u)?;
            let event = Event::CallerGone { request };
            self.after(delay, Action::Event { node, run, event });
            self.after(10, Action::OpenStep);
        }
        Ok(())
    }

    pub(super) fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let node = u.int_in_range(0..=self.nodes.len() - 1)?;
        let ms = u.int_in_range(100..=5_000)?;
        let fault = match u.int_in_range(0..=8)? {
            0 => Fault::Kill,
            1 | 2 => Fault::Pause,
            3 => Fault::Cut,
            4 => Fault::LogDown,
            5 => Fault::LogCut,
            6 | 7 => Fault::Isolate,
            _ => Fault::Stop,
        };
        self.trace(|| format!("fault {fault:?} n{node} {ms} ms"));
        self.checks.count(fault);
        match fault {
            Fault::Kill => self.kill(node, ms),
            Fault::Pause => {
                let now = self.now;
                let paused = &mut self.nodes[node];
                if !paused.is_paused(now) {
                    paused.paused_from = now;
                }
                paused.paused_until = paused.paused_until.max(now + ms);
            }
            Fault::Cut => {
                let other = u.int_in_range(0..=self.nodes.len() - 1)?;
                let pair = (node.min(other), node.max(other));
                self.partitions.insert(pair, self.now + ms);
            }
            Fault::Isolate => {
                // Long enough for the other instances to replace it while it
                // may still believe that it is the owner.
                let until = self.now + 2 * ms;
                self.nodes[node].log_cut_until = until;
                for other in 0..self.nodes.len() {
                    self.partitions.insert((node.min(other), node.max(other)), until);
                }
            }
            Fault::LogDown => self.log.down_until = self.now + ms,
            Fault::LogCut => self.nodes[node].log_cut_until = self.now + ms,
            Fault::Stop => {
                let run = self.nodes[node].run;
                self.after(0, Action::Event { node, run, event: Event::Drain });
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn kill(&mut self, node: usize, ms: u64) {
        if !self.nodes[node].alive {
            return;
        }
        self.nodes[node].alive = false;
        self.after(ms, Action::Restart { node });
        let waiters = std::mem::take(&mut self.nodes[node].waiters);
        for waiter in waiters.into_values() {
            match waiter {
                Waiter::Send(send) => self.sends[send].answer = Some((self.now, None)),
                Waiter::Forward { node, run, request, .. } => {
                    let event = Event::ForwardEnded { request, result: None };
                    self.after(1, Action::Event { node, run, event });
                }
                Waiter::Operator { .. } | Waiter::Trainer => {}
            }
        }
        if self.trainer.is_at(node) {
            self.trainer.close();
            self.after(50, Action::OpenStep);
        }
    }

    pub(super) fn exit(&mut self, node: usize, run: u64) {
        let open = self.nodes[node].unanswered();
        // The process restarts its wait while requests are open: one that was
        // paused meanwhile finds new connections in its sockets.
        self.nodes[node].linger_count += 1;
        if !open.is_empty() && self.nodes[node].linger_count < MAX_LINGERS {
            self.after(LINGER_MS, Action::Exited { node, run });
            return;
        }
        if !open.is_empty() {
            let text = format!("n{node} exits with unanswered requests {open:?}");
            self.checks.violate(Fault::StopCut, self.now, text);
        }
        self.kill(node, 200);
    }
}

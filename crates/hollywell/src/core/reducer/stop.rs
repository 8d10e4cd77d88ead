//! Stopping: an instance that is asked to stop takes no new work, finishes
//! what is in flight, hands its keys over, and then exits.

use super::State;
use crate::core::{effect::Effect, member::Peer};

/// Ticks without a request before the process may end. A process that was
/// paused while it was stopping finds requests waiting in its sockets; they
/// are answered before their connections are closed.
pub(super) const IDLE_TICKS: u32 = 2;

impl State {
    pub(super) fn tick_stopping(&mut self) {
        let Some(since) = self.draining else {
            return;
        };
        let idle = self.in_flight() == 0 && self.flights.is_empty();
        self.idle_ticks = if idle { self.idle_ticks + 1 } else { 0 };
        let waited = self.now.since(since) >= self.config.resign_ms;
        let quiet = self.idle_ticks > IDLE_TICKS;
        if quiet && !self.exited && (self.has_handed_over() || waited) {
            self.exited = true;
            self.emit(Effect::Exit);
        }
    }

    /// True if the keys are in others' hands: a map without this instance is
    /// in force and every member that is live acts under it. Where nobody is
    /// left to take them, there is nothing to wait for.
    fn has_handed_over(&self) -> bool {
        if self.owner.is_member() {
            let near = |peer: &&Peer| peer.listed.domain == self.config.domain;
            let mut peers = self.members.peers.values().filter(near);
            return !peers.any(|peer| self.is_live(peer) && !peer.draining);
        }
        let map = self.owner.map();
        let acts = |peer: &Peer| peer.reading().is_some_and(|reading| reading.epoch == map.epoch);
        let named = map.members.iter().filter_map(|m| self.members.peers.get(&m.name));
        named.filter(|p| self.is_live(p)).all(acts)
    }
}

//! Graceful shutdown: an instance that is asked to stop accepts no new work,
//! finishes what is in attempt, hands over its keys, and then exits.

use super::State;
use crate::core::{effect::Effect, member::Peer};

/// Number of ticks without a request after which the process may exit. A
/// process that was paused while stopping finds requests waiting in its
/// sockets, which must be answered before their connections are closed.
pub(super) const IDLE_TICKS: u32 = 2;

impl State {
    pub(super) fn tick_stopping(&mut self) {
        let Some(since) = self.draining else {
            return;
        };
        let is_finished = self.in_flight() == 0 && self.attempts.is_empty();
        self.idle_ticks = if is_finished { self.idle_ticks + 1 } else { 0 };
        let waited = self.now.since(since) >= self.config.resign_ms;
        let is_idle = self.idle_ticks > IDLE_TICKS;
        if is_idle && !self.exited && (self.has_handed_over() || waited) {
            self.exited = true;
            self.emit(Effect::Exit);
        }
    }

    /// Returns true if other members have taken over the keys: a map without
    /// this instance is in force, and all its live members are active under
    /// it. If no live instance is left to take them over, it returns true, as
    /// there is nothing to wait for.
    fn has_handed_over(&self) -> bool {
        if self.owner.is_member() {
            let is_local = |peer: &&Peer| peer.listed.domain == self.config.domain;
            let mut peers = self.members.peers.values().filter(is_local);
            return !peers.any(|peer| self.is_live(peer) && !peer.draining);
        }
        let map = self.owner.map();
        let is_active =
            |peer: &Peer| peer.reading().is_some_and(|reading| reading.epoch == map.epoch);
        let members = map.members.iter().filter_map(|m| self.members.peers.get(&m.name));
        members.filter(|p| self.is_live(p)).all(is_active)
    }
}

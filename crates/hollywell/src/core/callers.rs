//! Callers' connections, and which of them makes room.
//!
//! A caller may stop in the middle of a request and stay connected. Without a
//! limit such connections use up the descriptors, and the memory that their
//! bodies hold is never released. Where there is no room, a connection that is
//! stalled makes it before one that is idle, and one that is idle before one that
//! moves; one whose request is being served never does.
//!
//! Not part of this module: how much memory there is ([`crate::core::memory`]),
//! and how a connection is closed.

use std::collections::BTreeMap;

use crate::core::time::Time;

/// Time without a byte after which a connection is stalled, in milliseconds.
const STALL_MS: u64 = 1_000;
/// Bytes that a connection has to move within [`STALL_MS`], or it is stalled: a
/// caller that sends byte by byte holds its memory as long as one that has
/// stopped.
const MIN_BYTES: usize = 16 << 10;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between two requests.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A request is being served.
    Serving,
    /// The caller does not accept more of a response.
    Blocked,
}

#[derive(Clone, Debug)]
struct Connection {
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// When the last bytes were moved.
    moved_at: Time,
    /// Bytes moved since `window`.
    moved: usize,
    /// Start of the period in which `moved` is counted.
    window: Time,
    /// Less than [`MIN_BYTES`] was moved in the period before, and in this one
    /// so far.
    is_slow: bool,
    /// Its body was given up for another one.
    is_given_up: bool,
    /// It was chosen to be closed.
    is_closing: bool,
}

impl Connection {
    fn enter(&mut self, now: Time, phase: Phase) {
        let Connection { is_closing, .. } = *self;
        *self = Connection::new(now, phase);
        self.is_closing = is_closing;
    }

    const fn new(now: Time, phase: Phase) -> Connection {
        Connection {
            phase,
            since: now,
            moved_at: now,
            moved: 0,
            window: now,
            is_slow: false,
            is_given_up: false,
            is_closing: false,
        }
    }

    fn is_stalled(&self, now: Time) -> bool {
        let is_receiving = matches!(self.phase, Phase::Head | Phase::Body | Phase::Blocked);
        is_receiving && (self.is_slow || now.since(self.moved_at) >= STALL_MS)
    }
}

/// The connections of all callers.
///
/// # Example
///
/// ```
/// use hollywell::core::{callers::{Callers, Phase}, time::Time};
///
/// let mut callers = Callers::new(2);
/// let stopped = callers.open(Time(0));
/// callers.enter(Time(0), stopped, Phase::Body);
/// let moving = callers.open(Time(0));
/// callers.enter(Time(0), moving, Phase::Body);
/// callers.record_bytes(Time(1_500), moving, 64 << 10);
/// assert!(callers.is_full());
/// assert_eq!(callers.make_room(Time(1_600)), Some(stopped));
/// ```
#[derive(Clone, Debug)]
pub struct Callers {
    limit: usize,
    issued: u64,
    connections: BTreeMap<Id, Connection>,
}

impl Callers {
    /// Creates an empty set for at most `limit` connections.
    #[must_use]
    pub const fn new(limit: usize) -> Callers {
        Callers { limit, issued: 0, connections: BTreeMap::new() }
    }

    /// The number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether one has to make room before another is opened.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.limit
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Time) -> Id {
        self.issued += 1;
        let id = Id(self.issued);
        self.connections.insert(id, Connection::new(now, Phase::Idle));
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: Id) {
        self.connections.remove(&id);
    }

    /// Records what a connection does from now on.
    pub fn enter(&mut self, now: Time, id: Id, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(now, phase);
        }
    }

    /// What a connection does; `None` if it was closed.
    #[must_use]
    pub fn phase(&self, id: Id) -> Option<Phase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Records that bytes were received or sent.
    pub fn record_bytes(&mut self, now: Time, id: Id, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if now.since(connection.window) >= STALL_MS {
            connection.is_slow = connection.moved < MIN_BYTES;
            (connection.window, connection.moved) = (now, 0);
        }
        connection.moved = connection.moved.saturating_add(bytes);
        connection.is_slow &= connection.moved < MIN_BYTES;
        connection.moved_at = now;
    }

    /// Chooses a connection to close so that another can be opened: a stalled
    /// one, else an idle one, else any whose request is not being served, and of
    /// these the one that has been without a byte for longest. `None` if all are
    /// being served.
    pub fn make_room(&mut self, now: Time) -> Option<Id> {
        let rank = |connection: &Connection| match connection.phase {
            Phase::Serving => None,
            _ if connection.is_stalled(now) => Some(0),
            Phase::Idle => Some(1),
            Phase::Head | Phase::Body | Phase::Blocked => Some(2),
        };
        let open = self.connections.iter().filter(|(_, connection)| !connection.is_closing);
        let ranked =
            open.filter_map(|(id, connection)| Some((rank(connection)?, connection.moved_at, *id)));
        let id = ranked.min()?.2;
        self.connections.get_mut(&id)?.is_closing = true;
        Some(id)
    }

    /// Chooses a stalled connection whose request body is to be given up for
    /// that of `other`, the one without a byte for longest. `None` if no body is
    /// stalled.
    pub fn give_up_body(&mut self, now: Time, other: Id) -> Option<Id> {
        let may_give_up = |id: &Id, connection: &Connection| {
            let is_body = connection.phase == Phase::Body && *id != other;
            is_body && !connection.is_given_up && connection.is_stalled(now)
        };
        let stalled =
            self.connections.iter().filter(|(id, connection)| may_give_up(id, connection));
        let id = stalled.map(|(id, connection)| (connection.moved_at, *id)).min()?.1;
        self.connections.get_mut(&id)?.is_given_up = true;
        Some(id)
    }

    /// Connections that have taken longer for the head of a request than
    /// `head_ms`, or that have accepted nothing of a response for `blocked_ms`.
    /// Each is named once.
    pub fn overdue(&mut self, now: Time, head_ms: u64, blocked_ms: u64) -> Vec<Id> {
        let is_overdue = |connection: &Connection| match connection.phase {
            Phase::Head => now.since(connection.since) > head_ms,
            Phase::Blocked => now.since(connection.moved_at) > blocked_ms,
            Phase::Idle | Phase::Body | Phase::Serving => false,
        };
        let open = self.connections.iter_mut().filter(|(_, connection)| !connection.is_closing);
        let overdue = open.filter(|(_, connection)| is_overdue(connection));
        overdue
            .map(|(id, connection)| {
                connection.is_closing = true;
                *id
            })
            .collect()
    }
}

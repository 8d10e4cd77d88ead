//! The limits that follow from an instance's machine.
//!
//! The memory has parts for the process itself, for connections, and for all
//! that callers send, are sent and have kept. Each use of the last has a limit of its
//! own, and all of them share one on their sum, so that what one does not use
//! is there for the others. The parts together are less than the memory,
//! whatever callers and targets send.

use crate::core::{batch::MAX_SAMPLES, memory::Memory};

/// Descriptors of a process that are not available for sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Memory of the process itself, in bytes: its code, the known targets and
/// members, and what is read from the store.
const BASE_BYTES: usize = 12_000_000;
/// Size of the buffer of a caller's connection, in bytes. With the state of its
/// task, that is what a connection takes besides bodies.
pub const BUFFER_BYTES: usize = 16 << 10;
/// The same for a connection of a peer or a monitor, whose heads are short.
pub const SHORT_BUFFER_BYTES: usize = 8 << 10;
/// Minimum number of callers' connections, and of those of peers.
const MIN_CONNECTIONS: usize = 16;
/// Maximum number of connections of each kind of monitors: a few clients
/// that check each second.
const MAX_MONITORS: usize = 64;
/// Memory that a batch job of the largest body of the users' configurations
/// takes while it is decoded, with 2 MB for the parts of its samples beside
/// their bodies, and the size of that body, in bytes.
const LARGEST_JOB_BYTES: usize = LARGEST_BODY_BYTES / 4 * 7 + 2_000_000;
const LARGEST_BODY_BYTES: usize = 32 << 20;
/// Memory for which one sample may be kept, in bytes: a kept sample takes
/// about 500 bytes, and all of them take less than two fifths.
const BYTES_PER_SAMPLE: usize = 1_300;

/// An instance's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Descriptors of the process.
    pub descriptors: usize,
}

/// What others may take of an instance's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of the process itself, in bytes.
    pub base_bytes: usize,
    /// Memory for requests, answers and kept samples together, in bytes.
    pub shared_bytes: usize,
    /// Memory for small bodies beyond that, in bytes.
    pub small_bytes: usize,
    /// Memory for request bodies, and for what is decoded of them, in bytes.
    pub request_bytes: usize,
    /// Memory for answers, and the limit on one of them, in bytes.
    pub response_bytes: usize,
    /// Number of samples of all jobs that are kept.
    pub samples: usize,
    /// Number of callers' connections.
    pub connections: usize,
    /// Number of reads that wait for results.
    pub waiting_reads: usize,
    /// Number of connections of peers.
    pub peer_connections: usize,
    /// Number of connections for readiness, and for metrics.
    pub monitor_connections: usize,
}

impl Limits {
    /// An account of what callers may take together.
    #[must_use]
    pub const fn caller_memory(&self) -> Memory {
        Memory::with_reserve(self.shared_bytes, self.small_bytes)
    }
}

impl Machine {
    /// The largest request body that the users' configurations allow has room on
    /// the smallest machines, also as a batch job, which takes three quarters as
    /// much again while it is decoded. Half of the sockets are for callers, an
    /// eighth for peers, the others for targets and the store.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::machine::Machine;
    ///
    /// let machine = Machine { memory_bytes: 130_000_000, descriptors: 8_200 };
    /// let limits = machine.limits();
    /// assert_eq!(limits.request_bytes, 65_000_000);
    /// assert_eq!(limits.samples, 100_000);
    /// // Bound by the memory: by descriptors it would be 4,000.
    /// assert_eq!(limits.connections, 495);
    /// ```
    #[must_use]
    pub fn limits(self) -> Limits {
        let memory_bytes = self.memory_bytes;
        let base_bytes = BASE_BYTES.min(memory_bytes / 6);
        let small_bytes = memory_bytes / 32;
        let connection_bytes = memory_bytes / 16;
        let monitor_bytes = 2 * MAX_MONITORS * SHORT_BUFFER_BYTES;
        let other_bytes = base_bytes + small_bytes + 2 * connection_bytes + monitor_bytes;
        let shared_bytes = memory_bytes.saturating_sub(other_bytes);
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = |bytes: usize, sockets: usize| {
            (connection_bytes / bytes).min(sockets).max(MIN_CONNECTIONS)
        };
        let callers = connections(BUFFER_BYTES, sockets / 2);
        Limits {
            base_bytes,
            shared_bytes,
            small_bytes,
            request_bytes: (memory_bytes / 2).max(LARGEST_JOB_BYTES).min(shared_bytes),
            response_bytes: (memory_bytes / 4).max(LARGEST_BODY_BYTES).min(shared_bytes),
            samples: (memory_bytes / BYTES_PER_SAMPLE).min(MAX_SAMPLES),
            connections: callers,
            waiting_reads: callers / 2,
            peer_connections: connections(SHORT_BUFFER_BYTES, sockets / 8),
            monitor_connections: (sockets / 16).clamp(MIN_CONNECTIONS, MAX_MONITORS),
        }
    }
}

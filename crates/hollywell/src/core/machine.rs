//! The limits that follow from an instance's machine.
//!
//! Each use has a fixed share of the memory, so that all of them together stay
//! within it whatever callers and targets send. What is left is for jobs, the
//! known targets and the process itself.

/// Descriptors of a process that are not available for sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Size of the buffer of a caller's connection, in bytes. With the state of its
/// task, that is what a connection takes besides bodies.
pub const BUFFER_BYTES: usize = 32 << 10;
/// Minimum number of callers' connections.
const MIN_CONNECTIONS: usize = 16;

/// An instance's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Descriptors of the process.
    pub descriptors: usize,
}

/// What callers may take of an instance's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory for request bodies, and for what is decoded of them, in bytes.
    pub request_bytes: usize,
    /// Memory for small bodies beyond that, in bytes.
    pub small_request_bytes: usize,
    /// Number of callers' connections.
    pub connections: usize,
}

impl Machine {
    /// Half of the memory is for request bodies: the largest that the users'
    /// configurations allow takes a quarter of the smallest machine, and as a
    /// batch job nearly as much again once it is decoded. Half of the sockets are
    /// for callers, the others for targets, peers and the store.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::machine::Machine;
    ///
    /// let machine = Machine { memory_bytes: 130_000_000, descriptors: 8_200 };
    /// assert_eq!(machine.limits().request_bytes, 65_000_000);
    /// // Bound by the memory: by descriptors it would be 4,000.
    /// assert_eq!(machine.limits().connections, 495);
    /// ```
    #[must_use]
    pub fn limits(self) -> Limits {
        let by_memory = self.memory_bytes / 8 / BUFFER_BYTES;
        let by_descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        Limits {
            request_bytes: self.memory_bytes / 2,
            small_request_bytes: self.memory_bytes / 16,
            connections: by_memory.min(by_descriptors).max(MIN_CONNECTIONS),
        }
    }
}

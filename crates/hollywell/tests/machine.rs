//! The parts of a machine that others may take are less than all of it.

use hollywell::core::{
    batch,
    machine::{BUFFER_BYTES, Limits, Machine, SHORT_BUFFER_BYTES},
};

/// The largest request body of the users' configurations, in bytes.
const BODY_BYTES: usize = 33_554_432;
/// Descriptors that are for files.
const FILE_DESCRIPTORS: usize = 200;

fn limits(memory_mb: usize, descriptors: usize) -> Limits {
    Machine { memory_bytes: memory_mb * 1_000_000, descriptors }.limits()
}

// The parts had fixed sizes, or came to more than the smallest machine has.
#[test]
fn parts_of_a_machine_exceed_its_memory() {
    for memory_mb in 88..=2_000 {
        let limits = limits(memory_mb, 8_200);
        let connections = limits.connections * BUFFER_BYTES
            + limits.peer_connections * SHORT_BUFFER_BYTES
            + 2 * limits.monitor_connections * SHORT_BUFFER_BYTES;
        let sum = limits.base_bytes + limits.shared_bytes + limits.small_bytes + connections;
        assert!(sum < memory_mb * 1_000_000, "{sum} bytes of {memory_mb} MB: {limits:?}");
        let uses = [limits.request_bytes, limits.response_bytes];
        let kept = batch::kept_bytes(limits.samples, 0);
        assert!(uses.into_iter().chain([kept]).all(|bytes| bytes <= limits.shared_bytes));
        assert!(kept < memory_mb * 1_000_000 * 2 / 5, "{kept} bytes of kept samples");
        // A body, and as a job three quarters as much again while it is decoded.
        assert!(limits.request_bytes >= BODY_BYTES / 4 * 7, "{memory_mb} MB: {limits:?}");
        assert!(limits.response_bytes >= BODY_BYTES);
    }
}

#[test]
fn connections_of_a_machine_exceed_its_descriptors() {
    for descriptors in 456..=20_000 {
        let limits = limits(2_000, descriptors);
        let connections =
            limits.connections + limits.peer_connections + 2 * limits.monitor_connections;
        assert!(connections <= (descriptors - FILE_DESCRIPTORS) * 3 / 4, "{limits:?}");
    }
}

//! Tests of the division of the memory.

use super::MemoryDivision;
use crate::limits::machine::Machine;
use rstest::rstest;

/// Guards against a broker that is killed for memory because its connections may hold more than is counted for them:
/// with every part at its maximum the process must stay within its memory, at each size that a deployment may have.
/// From 64 MB on, clients must have the third of the descriptors that they may use.
#[rstest]
fn all_parts_fit_into_the_memory(
    #[values(32, 40, 48, 64, 96, 128, 192)] memory_mb: usize,
    #[values(256, 384, 512, 768, 1024)] sockets: usize,
) {
    let machine = Machine { memory_mb, sockets };
    let division = MemoryDivision::new(machine, sockets / 3, sockets * 2 / 3);
    assert!(division.total_bytes() <= machine.memory_bytes());
    assert!(division.node_connections > 0 && division.client_connections > 0);
    assert!(memory_mb < 64 || division.client_connections >= sockets / 3);
}

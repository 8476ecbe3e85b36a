//! The resources of the machine and their division among the parts of the broker. `memory` divides the memory.

use super::memory::MemoryDivision;

pub(super) const KIB: usize = 1024;
/// File descriptors for purposes other than client and node connections: files, pipes, the listener and discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// The minimum number of file descriptors for client and node connections.
const MIN_PEER_DESCRIPTORS: usize = 32;
/// The minimum memory of a broker, in MiB.
const MIN_MEMORY_MB: usize = 32;
/// The ratio of client connections to surplus connections, whose requests are rejected.
const CLIENTS_PER_SURPLUS_CONNECTION: usize = 8;
/// The resources that are available to the broker.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// The available memory in MiB.
    pub memory_mb: usize,
    /// The number of file descriptors that the broker may use.
    pub sockets: usize,
}

/// The resource of which the machine does not have enough for a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsError {
    /// The broker may use too few file descriptors.
    #[error("`limits.sockets`: {sockets} sockets are too few, expected at least {needed}")]
    TooFewSockets {
        /// The number of available file descriptors.
        sockets: usize,
        /// The required minimum.
        needed: usize,
    },
    /// The broker may use too little memory.
    #[error("`limits.memory_mb`: {memory_mb} MB of memory is not enough, expected at least {needed_mb} MB")]
    TooLittleMemory {
        /// The available memory in MiB.
        memory_mb: usize,
        /// The required minimum in MiB.
        needed_mb: usize,
    },
}

impl Machine {
    /// Returns the available memory in bytes.
    pub(super) fn memory_bytes(self) -> usize {
        self.memory_mb * KIB * KIB
    }

    /// Checks that the resources suffice for a broker.
    fn check(self) -> Result<(), LimitsError> {
        let Machine { memory_mb, sockets } = self;
        let needed = RESERVED_DESCRIPTORS + MIN_PEER_DESCRIPTORS;
        if sockets < needed {
            return Err(LimitsError::TooFewSockets { sockets, needed });
        }
        if memory_mb < MIN_MEMORY_MB {
            return Err(LimitsError::TooLittleMemory { memory_mb, needed_mb: MIN_MEMORY_MB });
        }
        Ok(())
    }
}

/// The machine's file descriptors and memory, divided among the parts of the broker. All fields are maxima.
pub(super) struct Capacity {
    /// The number of client connections that are served.
    pub(super) client_connections: usize,
    /// The number of client connections accepted beyond `client_connections`. Their requests are rejected.
    pub(super) surplus_connections: usize,
    /// The number of file descriptors for client connections, including those that only wait for their end.
    pub(super) client_descriptors: usize,
    /// The number of client connections that are kept open while idle.
    pub(super) idle_client_connections: usize,
    pub(super) node_connections: usize,
    /// The memory that queries, clients and nodes share.
    pub(super) shared_bytes: usize,
    /// The length of an endpoint list.
    pub(super) list_bytes: usize,
}

impl Capacity {
    /// Divides the resources of the machine.
    ///
    /// # Errors
    ///
    /// Returns an error if the machine has too few file descriptors or too little memory.
    pub(super) fn new(machine: Machine) -> Result<Capacity, LimitsError> {
        machine.check()?;
        let Machine { sockets, .. } = machine;
        let peer_descriptors = sockets - RESERVED_DESCRIPTORS;
        // Clients connect by the hundreds, while nodes are few. Clients therefore get two thirds of the file
        // descriptors and nodes one third.
        let client_descriptors = peer_descriptors * 2 / 3;
        let memory = MemoryDivision::new(machine, peer_descriptors / 3, client_descriptors);
        let surplus_connections = memory.client_connections / CLIENTS_PER_SURPLUS_CONNECTION;
        Ok(Capacity {
            client_connections: memory.client_connections - surplus_connections,
            surplus_connections,
            client_descriptors,
            // Clients may occupy a third of the file descriptors. Idle connections must leave some for active ones.
            idle_client_connections: (sockets / 5).min(memory.client_connections / 2),
            node_connections: memory.node_connections,
            shared_bytes: memory.shared_bytes,
            list_bytes: memory.list_bytes,
        })
    }
}

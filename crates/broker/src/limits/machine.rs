//! What the machine gives the broker, whether that is enough, and how it is divided.

/// One KiB in bytes.
pub(super) const KIB: usize = 1024;
/// Descriptors beside those of clients and nodes: files, pipes, the listener, discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// The least number of descriptors that is left for clients and nodes.
const MIN_PEER_DESCRIPTORS: usize = 32;
/// The least memory that a broker is started with, in MiB.
const MIN_MEMORY_MB: usize = 32;
/// What the buffers of one connection may come to: a head, what the HTTP server sets aside, a response.
const CONNECTION_BUFFER_BYTES: usize = 48 * KIB;
/// One in so many client connections is a surplus one, whose requests are rejected.
const CLIENTS_PER_SURPLUS_CONNECTION: usize = 8;
/// The largest fleet, in nodes.
const MAX_NODES: usize = 3200;
/// The longest entry of an endpoint list: four times what one takes in the protocol's form, for lists that are
/// indented and for longer names.
const MAX_LIST_ENTRY_BYTES: usize = 640;
/// The divisor of the memory that a list may take while it is read. It comes out of the quarter that is left beside
/// what traffic may hold.
const LIST_MEMORY_DIVISOR: usize = 8;

/// What the machine gives the broker.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// File descriptors.
    pub sockets: usize,
}

/// What the machine has too little of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsError {
    /// Too few file descriptors.
    #[error("limits: {sockets} sockets are too few, {needed} are needed")]
    TooFewSockets {
        /// Those that there are.
        sockets: usize,
        /// The least that will do.
        needed: usize,
    },
    /// Too little memory.
    #[error("limits: {memory_mb} MB of memory are too little, {needed_mb} are needed")]
    TooLittleMemory {
        /// What there is, in MiB.
        memory_mb: usize,
        /// The least that will do, in MiB.
        needed_mb: usize,
    },
}

impl Machine {
    /// Whether a broker can run on it at all.
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

/// The machine's descriptors and memory, divided among the concerns of a broker.
pub(super) struct Capacity {
    /// Client connections that are served.
    pub(super) client_connections: usize,
    /// Client connections beyond those, whose requests are rejected.
    pub(super) surplus_connections: usize,
    /// Client connections that may be kept idle.
    pub(super) idle_client_connections: usize,
    /// Connections to nodes.
    pub(super) node_connections: usize,
    /// Queries and responses held at once.
    pub(super) held_bytes: usize,
    /// The longest endpoint list.
    pub(super) list_bytes: usize,
}

impl Capacity {
    /// Divides what the machine gives.
    ///
    /// # Errors
    ///
    /// It is too little for a broker.
    pub(super) fn new(machine: Machine) -> Result<Capacity, LimitsError> {
        machine.check()?;
        let Machine { memory_mb, sockets } = machine;
        let for_peers = sockets - RESERVED_DESCRIPTORS;
        let memory_bytes = memory_mb * KIB * KIB;
        // Three quarters of the memory: what is held, the buffers of clients, and those of nodes.
        let quarter = memory_bytes / 4;
        let max_buffers = quarter / CONNECTION_BUFFER_BYTES;
        // Clients come and go by hundreds, nodes are few: clients get two thirds of the descriptors, nodes one.
        let from_clients = (for_peers * 2 / 3).min(max_buffers);
        let surplus_connections = from_clients / CLIENTS_PER_SURPLUS_CONNECTION;
        Ok(Capacity {
            client_connections: from_clients - surplus_connections,
            surplus_connections,
            // Clients may hold a third of the descriptors; idle connections must leave them some of it.
            idle_client_connections: (sockets / 5).min(from_clients / 2),
            node_connections: (for_peers / 3).min(max_buffers),
            held_bytes: quarter,
            list_bytes: (MAX_NODES * MAX_LIST_ENTRY_BYTES).min(memory_bytes / LIST_MEMORY_DIVISOR),
        })
    }
}

//! The memory that each part of the broker may hold, and its division among them.
//!
//! The memory of the process is the sum of
//!
//! - [`PROCESS_BYTES`] and the endpoint list that is being read,
//! - [`CLIENT_CONNECTION_BYTES`] for each client connection,
//! - [`NODE_CONNECTION_BYTES`] for each node connection, and
//! - the budget that queries, clients and nodes share ([`MemoryBudget`](crate::memory_budget::MemoryBudget)): bodies of
//!   requests, queries, responses of nodes and to clients, and heads and frames that exceed the buffers of their
//!   connection.
//!
//! A connection thus holds a small amount in any state, and whatever may be longer is reserved before it is read.

use super::machine::{KIB, Machine};

/// Code, stacks, the routing logic, and the request heads that the HTTP library keeps for reuse.
const PROCESS_BYTES: usize = 8 * KIB * KIB;
/// The maximum number of nodes in a fleet.
const MAX_NODES: usize = 3200;
/// The maximum length of an entry in an endpoint list. It is four times the length of a typical entry in compact
/// JSON, which leaves room for indentation and longer names.
const MAX_LIST_ENTRY_BYTES: usize = 640;
/// The fraction of the memory that an endpoint list may occupy while it is read, as a divisor.
const LIST_MEMORY_DIVISOR: usize = 8;
/// The fraction of the memory that queries, clients and nodes share, as a divisor.
const SHARED_MEMORY_DIVISOR: usize = 4;
/// The fraction of the memory for the buffers of node connections, as a divisor.
const NODE_MEMORY_DIVISOR: usize = 8;

/// The initial capacity of each of the HTTP library's two buffers.
const HTTP_BUFFER_BYTES: usize = 8 * KIB;
/// The table of the 96 headers that the HTTP library accepts in one request.
const HEADER_TABLE_BYTES: usize = 28 * KIB;
/// The shortest head with 96 headers.
const SHORTEST_FULL_HEAD_BYTES: usize = 400;
/// The shortest chunk of a body: its size, its content and the two line ends.
const SHORTEST_CHUNK_BYTES: usize = 6;
/// The entry of a chunk in the HTTP library's queue, whose capacity is a power of two.
const QUEUED_CHUNK_BYTES: usize = 32;
/// Tasks, timers and the state of one connection.
const CONNECTION_STATE_BYTES: usize = 4 * KIB;

/// How many bytes are read at most before the HTTP library decodes them. All that it has read is decoded at once,
/// which includes requests that are pipelined behind the current one.
#[derive(Clone, Copy, Debug)]
pub struct ReadSizes {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a body whose length is known.
    pub body: usize,
    /// Bytes of a body in chunks, whose end is not known.
    pub chunked_body: usize,
    /// Bytes of a body whose length is known, and which is dropped because its request was already answered.
    pub dropped_body: usize,
    /// Bytes of a body in chunks that is dropped.
    pub dropped_chunked_body: usize,
}

pub(super) const READ_SIZES: ReadSizes = ReadSizes {
    head: 512,
    body: 4 * KIB,
    chunked_body: 512,
    dropped_body: 8 * KIB,
    dropped_chunked_body: KIB,
};

/// The part of a response that is copied into the HTTP library's buffer at once.
pub(super) const RESPONSE_WRITE_BYTES: usize = 4 * KIB;
/// Longer heads need more than the HTTP library's initial buffer, and reserve [`LONG_HEAD_BYTES`].
pub(super) const SHORT_HEAD_BYTES: usize = 6 * KIB;
/// The additional capacity of the HTTP library's buffer for the longest head, and the smaller buffer that it replaces.
pub(super) const LONG_HEAD_BYTES: usize = 48 * KIB;

/// The heads that a connection may hold: the one that is handled, and those that were read with it.
const MAX_HELD_HEADS: usize = 1 + READ_SIZES.head / SHORTEST_FULL_HEAD_BYTES;
/// What a client connection may hold beyond the shared budget: the buffer that holds the head of the request, a second
/// one for its body, the buffer of the response, the heads, and the chunks of a body that are not handled yet.
const CLIENT_CONNECTION_BYTES: usize = 3 * HTTP_BUFFER_BYTES
    + MAX_HELD_HEADS * HEADER_TABLE_BYTES
    + (READ_SIZES.chunked_body / SHORTEST_CHUNK_BYTES).next_power_of_two() * QUEUED_CHUNK_BYTES
    + CONNECTION_STATE_BYTES;

/// The capacity of the buffers of a node connection. Longer frames are reserved in the shared budget.
pub(super) const FRAME_BUFFER_BYTES: usize = 4 * KIB;
/// The buffers of a node connection: one that is being read, one whose response is not used yet, and one that is being
/// written.
const FRAME_BUFFERS: usize = 3;
/// The buffer that is being read is extended to twice its capacity for a frame that does not fit behind the last one.
const READ_BUFFER_EXTENSIONS: usize = 2;
/// What a node connection may hold beyond the shared budget.
const NODE_CONNECTION_BYTES: usize =
    (FRAME_BUFFERS + READ_BUFFER_EXTENSIONS) * FRAME_BUFFER_BYTES + CONNECTION_STATE_BYTES;

/// The division of the memory. All fields are maxima.
pub(super) struct MemoryDivision {
    pub(super) client_connections: usize,
    pub(super) node_connections: usize,
    /// The memory that queries, clients and nodes share.
    pub(super) shared_bytes: usize,
    /// The length of an endpoint list.
    pub(super) list_bytes: usize,
}

impl MemoryDivision {
    /// Divides the memory of a machine on which at most so many connections to nodes and clients can be open.
    pub(super) fn new(machine: Machine, max_nodes: usize, max_clients: usize) -> MemoryDivision {
        let memory_bytes = machine.memory_bytes();
        let list_bytes = (MAX_NODES * MAX_LIST_ENTRY_BYTES).min(memory_bytes / LIST_MEMORY_DIVISOR);
        let shared_bytes = memory_bytes / SHARED_MEMORY_DIVISOR;
        let node_connections = max_nodes.min(memory_bytes / NODE_MEMORY_DIVISOR / NODE_CONNECTION_BYTES);
        let others = PROCESS_BYTES + list_bytes + shared_bytes + node_connections * NODE_CONNECTION_BYTES;
        let client_bytes = memory_bytes.saturating_sub(others);
        MemoryDivision {
            client_connections: max_clients.min(client_bytes / CLIENT_CONNECTION_BYTES),
            node_connections,
            shared_bytes,
            list_bytes,
        }
    }

    /// Returns the memory that the process may hold if every part holds its maximum.
    #[cfg(test)]
    pub(super) fn total_bytes(&self) -> usize {
        PROCESS_BYTES
            + self.list_bytes
            + self.shared_bytes
            + self.node_connections * NODE_CONNECTION_BYTES
            + self.client_connections * CLIENT_CONNECTION_BYTES
    }
}

#[cfg(test)]
mod tests;

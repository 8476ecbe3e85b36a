//! The types that front ends and the engine exchange for a query.

use crate::memory_budget::Reservation;
use bytes::Bytes;
use routing::{ClassId, ShardId, TenantId, TimeSpan};
use tokio::time::Instant;

/// A query that a front end submits to the engine.
pub struct QueryRequest {
    /// The id chosen by the client. It must be unique among the open queries, and is a part of the shard request ids
    /// sent to nodes.
    pub id: Bytes,
    /// The request class, which determines the latency objective, the deadline and the required coverage.
    pub class: ClassId,
    /// The tenant that sent the query.
    pub tenant: TenantId,
    /// The time at which the client stops waiting.
    pub deadline: Instant,
    /// The execution time that the client expects of all shard requests together; zero if it stated none.
    pub work: TimeSpan,
    /// The shards to read, each at most once.
    pub shard_requests: Vec<RequestedShard>,
    /// The query text, which every shard request forwards unchanged.
    pub text: Bytes,
    /// The number of bytes that `text` keeps allocated. If `text` is a slice of a request body, this is the length of
    /// the entire body.
    pub retained_bytes: usize,
}

/// A shard that a query reads.
pub struct RequestedShard {
    /// The shard to read.
    pub shard: ShardId,
    /// The shard's share of the query's coverage, from 0 to 1. The weights of a query add up to 1.
    pub weight: f64,
}

/// A node's response for one shard of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardResponse {
    /// The shard that was read.
    pub shard: ShardId,
    /// The value returned by the node, in UTF-8.
    pub value: Bytes,
}

/// The outcome of an accepted query.
#[derive(Debug)]
pub enum QueryOutcome {
    /// The query was answered, possibly without some of its shards.
    Response {
        /// Whether the coverage reaches the value that the request class requires of a complete response.
        complete: bool,
        /// The responses, one for each shard that was read successfully.
        responses: Vec<ShardResponse>,
        /// The memory of the responses.
        memory: Reservation,
    },
    /// The query was rejected, and the client may send it again without the risk of executing it twice.
    Rejected {
        /// The time after which the client may retry, or zero if none is suggested.
        retry_after: TimeSpan,
    },
    /// The query failed, and sending it again might execute it twice.
    Failed,
}

/// The reason why [`Engine::submit`](super::Engine::submit) did not accept a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The limit on open queries or held memory is reached, or the broker is shutting down.
    #[error("query not accepted: limit on open queries or held memory reached, or shutting down")]
    Overloaded,
    /// A query with the same id is open.
    #[error("query not accepted: another query with this id is open")]
    DuplicateId,
}

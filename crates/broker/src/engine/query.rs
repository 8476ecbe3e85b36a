//! What a front end and the engine exchange about one query.

use bytes::Bytes;
use routing::{ClassId, ShardId, TenantId, TimeSpan};
use tokio::time::Instant;

/// A query as a front end hands it over.
pub struct QueryRequest {
    /// The query's id on the wire.
    pub id: Bytes,
    /// The class that sets its objective, deadline and coverage.
    pub class: ClassId,
    /// Who sent it.
    pub tenant: TenantId,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// The work that its client expects.
    pub work: TimeSpan,
    /// The shards that it reads.
    pub shard_requests: Vec<RequestedShard>,
    /// What every shard request carries.
    pub text: Bytes,
    /// The bytes that `text` keeps in memory: a text that is a slice of a longer body retains all of that
    /// body.
    pub retained_bytes: usize,
}

/// One shard that a query reads.
pub struct RequestedShard {
    /// The shard.
    pub shard: ShardId,
    /// Its share of the query's coverage; the weights of a query come to 1.
    pub weight: f64,
}

/// What a node answered for one shard of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardResponse {
    /// The shard.
    pub shard: ShardId,
    /// What was read of it; UTF-8.
    pub value: Bytes,
}

/// How an accepted query ended.
#[derive(Debug)]
pub enum QueryOutcome {
    /// It is answered.
    Response {
        /// Whether the coverage is what the class calls complete.
        complete: bool,
        /// What the nodes answered, for the shards that were read.
        responses: Vec<ShardResponse>,
    },
    /// It is not served now, and sending it again is harmless.
    Rejected {
        /// The span after which the client may send it again; zero: none is given.
        retry_after: TimeSpan,
    },
    /// It could not be served, and sending it again might execute it twice.
    Failed,
}

/// Why a query was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The bound on open queries or on held memory is reached, or the broker is shutting down.
    #[error("as much is held as may be")]
    Overloaded,
    /// A query of the same id is open.
    #[error("a query of that id is open")]
    DuplicateId,
}

//! State of an attempt, which is one try to have a shard request executed by a node.

use crate::ids::{AttemptNumber, BatchId, ClassId, NodeId, ShardRequestId};
use crate::time::{TimeSpan, Timestamp};

/// Whether the node has executed an attempt, as far as the broker knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// The outcome of the attempt is not known yet.
    InFlight,
    /// The node has not executed the attempt.
    NotExecuted,
    /// The node has executed the attempt or may have executed it.
    MaybeExecuted,
    /// The attempt never left the broker and does not count against the retry budget.
    Unsent,
}

/// Attempt to have a shard request executed by a node.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) sent_at: Timestamp,
    pub(crate) execution: Execution,
}

/// Identifier of an attempt: its shard request and its number within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) shard_request: ShardRequestId,
    pub(crate) number: AttemptNumber,
}

/// Kind of connection that carries the first attempt after an idle period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    Reused,
    New,
}

/// Connection that carries the first attempt after an idle period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionAfterIdle {
    pub(crate) usage: ConnectionUse,
    pub(crate) idle_period: TimeSpan,
}

/// Data of an attempt that is kept until its outcome is known, even if its query ends earlier.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) node: NodeId,
    pub(crate) batch: BatchId,
    /// Whether the tenant of the query was within its quota.
    pub(crate) within_quota: bool,
    pub(crate) class: ClassId,
    /// Latency objective of the query's class.
    pub(crate) latency_objective: TimeSpan,
    /// Number of shard requests in flight after the call of `Broker::turn` that sent the attempt.
    pub(crate) in_flight_at_send: f64,
    /// Whether `in_flight_at_send` was a large part of the concurrency limit at that time.
    pub(crate) limit_was_used: bool,
    /// Connection of the batch, if the batch was the first after an idle period of the node.
    pub(crate) after_idle: Option<ConnectionAfterIdle>,
    /// Whether the attempt has been counted as unresponsive while it is still in flight.
    pub(crate) counted_unresponsive: bool,
}

impl InFlightAttempt {
    /// Returns whether the attempt was sent on a reused connection that had been idle.
    pub(crate) fn on_reused_connection(&self) -> bool {
        self.after_idle.is_some_and(|connection| connection.usage == ConnectionUse::Reused)
    }
}

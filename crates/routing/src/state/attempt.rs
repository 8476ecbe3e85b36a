//! State of one attempt to have a shard request executed by a node.

use crate::ids::{AttemptNumber, BatchId, ClassId, NodeId, ShardRequestId};
use crate::time::{TimeSpan, Timestamp};

/// What is known of an attempt's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// Its outcome is not known yet.
    InFlight,
    /// The node has not executed it.
    NotExecuted,
    /// The node has executed it, or may have.
    MaybeExecuted,
    /// It never left the broker, and does not count against the retry budget.
    Unsent,
}

/// One send of a shard request to a node.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) sent_at: Timestamp,
    pub(crate) execution: Execution,
}

/// Names an attempt: its shard request, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) shard_request: ShardRequestId,
    pub(crate) number: AttemptNumber,
}

/// Whether a connection that was idle is used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    Reused,
    New,
}

/// The connection that the first attempt after an idle period goes out on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionAfterIdle {
    pub(crate) usage: ConnectionUse,
    pub(crate) idle_period: TimeSpan,
}

/// What is kept of an attempt until its outcome is known, also past its query's end.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) node: NodeId,
    pub(crate) batch: BatchId,
    /// The query's tenant was within its quota.
    pub(crate) within_quota: bool,
    pub(crate) class: ClassId,
    /// The latency objective of its class.
    pub(crate) latency_objective: TimeSpan,
    /// Shard requests in flight after the turn in which it was sent.
    pub(crate) in_flight_at_send: f64,
    /// These used much of the concurrency limit of that moment.
    pub(crate) limit_was_used: bool,
    /// Its batch was the first after an idle period of its node's connections.
    pub(crate) after_idle: Option<ConnectionAfterIdle>,
    /// It was counted as lost while it is still in flight.
    pub(crate) counted_unresponsive: bool,
}

impl InFlightAttempt {
    /// It went out on a connection that had been idle.
    pub(crate) fn on_reused_connection(&self) -> bool {
        self.after_idle.is_some_and(|connection| connection.usage == ConnectionUse::Reused)
    }
}

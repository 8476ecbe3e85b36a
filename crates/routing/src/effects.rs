//! Effects that a broker requests from its front end.

use crate::ids::{AttemptNumber, NodeId, QueryId, ShardRequestId};
use crate::log_event::LogEvent;
use crate::time::TimeSpan;

/// Action that the front end carries out for a broker. The effects of a turn are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a shard request to a node. Shard requests of the same turn to the same node share a batch.
    Send {
        /// Shard request to send. Each `Send` is a new attempt, and attempts are numbered from 0.
        shard_request: ShardRequestId,
        /// Node that receives the attempt.
        node: NodeId,
        /// Time after which the attempt ends with [`AttemptOutcome::TimedOut`](crate::AttemptOutcome::TimedOut).
        timeout: TimeSpan,
    },
    /// Cancels an attempt that is in flight.
    Cancel {
        /// Shard request of the attempt.
        shard_request: ShardRequestId,
        /// Number of the attempt within its shard request.
        attempt: AttemptNumber,
    },
    /// Responds to a query with the shard responses received so far.
    Respond {
        /// Query to respond to.
        query: QueryId,
        /// Whether the response reaches the coverage that counts as complete.
        complete: bool,
    },
    /// Rejects a query. The client may safely send the query again.
    Reject {
        /// Query to reject.
        query: QueryId,
        /// Wait before the client retries, or zero if the rejection does not state one.
        retry_after: TimeSpan,
    },
    /// Ends a query without a response. The query may have been executed.
    Fail {
        /// Query to end.
        query: QueryId,
    },
    /// Closes the idle connections of this broker to a node.
    CloseIdle {
        /// Node whose idle connections are closed.
        node: NodeId,
    },
    /// Requests a load report from a node.
    Probe {
        /// Node to probe.
        node: NodeId,
    },
    /// Requests a turn with [`Input::Woken`](crate::Input::Woken) at a later time.
    Wake {
        /// Time from this turn to the requested one.
        after: TimeSpan,
    },
    /// Requests the endpoint list and all its later updates.
    WatchEndpoints,
    /// Writes an event to the log.
    Log(LogEvent),
}

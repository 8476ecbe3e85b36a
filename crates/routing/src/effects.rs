//! What a broker does.

use crate::ids::{AttemptNumber, NodeId, QueryId, ShardRequestId};
use crate::log_event::LogEvent;
use crate::time::TimeSpan;

/// One thing to do; the effects of a turn are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a shard request to a node. Those of one turn to one node share a batch.
    Send {
        /// The shard request; its attempts are numbered in the order of sending.
        shard_request: ShardRequestId,
        /// The node.
        node: NodeId,
        /// After this the attempt ends as timed out.
        timeout: TimeSpan,
    },
    /// Cancel an attempt.
    Cancel {
        /// The shard request that it is for.
        shard_request: ShardRequestId,
        /// Its number among that one's attempts.
        attempt: AttemptNumber,
    },
    /// Respond with what has been received.
    Respond {
        /// The query.
        query: QueryId,
        /// The response covers enough to count as complete.
        complete: bool,
    },
    /// Reject a query: sending it again is harmless.
    Reject {
        /// The query.
        query: QueryId,
        /// When its client may come back; zero: it is not told.
        retry_after: TimeSpan,
    },
    /// End a query without a response: it may have been executed.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Close this broker's idle connections to a node.
    CloseIdle {
        /// The node.
        node: NodeId,
    },
    /// Ask a node for its load.
    Probe {
        /// The node.
        node: NodeId,
    },
    /// Give the broker a turn with [`Input::Woken`](crate::Input::Woken) after this time.
    Wake {
        /// From this turn on.
        after: TimeSpan,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Write to the log.
    Log(LogEvent),
}

//! What a broker does.

use crate::ids::{AttemptNumber, NodeId, QueryId, ShardRequestId};
use crate::time::Tenths;

/// One thing to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a shard request to a node; attempts of one turn to one node share a call.
    Send { shard_request: ShardRequestId, node: NodeId, timeout: Tenths },
    /// Call off an attempt.
    Cancel { shard_request: ShardRequestId, attempt: AttemptNumber },
    /// Answer from the shard requests that are in.
    Respond { query: QueryId, complete: bool },
    /// Turn the query away: asking again is harmless, after `retry_after`.
    Reject { query: QueryId, retry_after: Tenths },
    /// End the query without an answer.
    Fail { query: QueryId },
    /// Close this broker's idle connections to a node.
    CloseIdle { node: NodeId },
    /// Ask a node for its load.
    Probe { node: NodeId },
    /// Be woken after this time.
    Wake { after: Tenths },
    /// Ask to be sent the endpoint list's changes from now on.
    WatchEndpoints,
    /// A line for the people on call.
    Say(String),
}

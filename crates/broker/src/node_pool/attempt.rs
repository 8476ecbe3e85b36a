//! Types that the engine and the node pool exchange about attempts and probes.

use crate::codec::ShardRequestMessage;
use crate::memory_budget::Reservation;
use bytes::Bytes;
use routing::{AttemptNumber, AttemptOutcome, NodeId, ShardRequestId};
use tokio::time::Instant;

/// The identity of one attempt: one transmission of a shard request to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The shard request that the attempt sends.
    pub shard_request: ShardRequestId,
    /// The number of this attempt among those of its shard request.
    pub number: AttemptNumber,
}

/// An attempt that is ready to be sent.
#[derive(Debug)]
pub struct AttemptToSend {
    /// The identity under which the attempt's result is reported.
    pub attempt: AttemptId,
    /// The message that is encoded into the frame.
    pub shard_request: ShardRequestMessage,
}

/// The result of an attempt. Each attempt has exactly one.
pub struct CompletedAttempt {
    /// The attempt that completed.
    pub attempt: AttemptId,
    /// The outcome that is reported to the routing logic.
    pub outcome: AttemptOutcome,
    /// The value that the node returned; `None` unless the attempt succeeded.
    pub value: Option<ReceivedValue>,
    /// The time at which the attempt completed.
    pub at: Instant,
}

/// A value that a node returned.
pub struct ReceivedValue {
    /// The value, a slice of the buffer into which it was received.
    pub bytes: Bytes,
    /// The memory of a value whose frame was longer than the buffers of its connection.
    pub memory: Option<Reservation>,
}

/// The result of a load probe. Each probe has exactly one.
pub struct ProbeReply {
    /// The node that was probed.
    pub node: NodeId,
    /// The node's load report; `None` if the node reported no load or its connection ended first.
    pub report: Option<Bytes>,
}

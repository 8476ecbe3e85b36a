//! What the engine and the pool say to each other about attempts and probes.

use crate::codec::ShardRequestMessage;
use bytes::Bytes;
use routing::{AttemptNumber, AttemptOutcome, NodeId, ShardRequestId};
use tokio::time::Instant;

/// One send of a shard request to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The shard request that is sent.
    pub shard_request: ShardRequestId,
    /// Which of its attempts this is.
    pub number: AttemptNumber,
}

/// An attempt as it is to be sent.
#[derive(Debug)]
pub struct AttemptToSend {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its shard request as the wire carries it.
    pub shard_request: ShardRequestMessage,
}

/// The one end of an attempt.
pub struct CompletedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// What the node read; only where it succeeded.
    pub value: Option<Bytes>,
    /// When it ended.
    pub at: Instant,
}

/// The one end of a load probe.
pub struct ProbeReply {
    /// The node that was asked.
    pub node: NodeId,
    /// What it reported; none where it reported nothing, or its connection ended first.
    pub report: Option<Bytes>,
}

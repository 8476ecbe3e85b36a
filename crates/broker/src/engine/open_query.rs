//! The state of an open query and of its shard requests.

use super::QueryOutcome;
use crate::config_epoch::ConfigEpoch;
use crate::memory_budget::Reservation;
use bytes::Bytes;
use routing::{AttemptOutcome, QueryId, ShardId, ShardRequestId, Timestamp};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A query that has no outcome yet.
pub(super) struct OpenQuery {
    /// The query's id on the wire.
    pub(super) wire_id: Bytes,
    /// The configuration under which the query was accepted. It applies until the query ends.
    pub(super) epoch: Rc<ConfigEpoch>,
    /// The end of the latency objective. A later response counts as late.
    pub(super) objective_at: Timestamp,
    /// Whether an attempt of the query could not connect to its node, or lost the connection.
    pub(super) has_lost_node: bool,
    /// Whether a node may have executed an attempt of the query that has ended.
    pub(super) may_have_executed: bool,
    /// The time at which the client stops waiting.
    pub(super) deadline: Timestamp,
    /// The ids of the shard requests, in the order of the client's request.
    pub(super) shard_requests: Vec<ShardRequestId>,
    /// The query text that is sent with every shard request.
    pub(super) text: Bytes,
    /// The memory of the query, excluding its responses.
    pub(super) _memory: Reservation,
    /// Sends the outcome to the front end.
    pub(super) outcome: oneshot::Sender<QueryOutcome>,
}

impl OpenQuery {
    /// Records the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, outcome: AttemptOutcome) {
        self.has_lost_node |= is_lost_node(outcome);
        self.may_have_executed |= outcome.may_have_executed();
    }

    /// Counts the outcome in the epoch under which the query was accepted, and sends it to the front end.
    pub(super) fn finish(self, outcome: QueryOutcome, now: Timestamp) {
        self.count_outcome(&outcome, now);
        // Sending fails if the client has just disconnected and the front end has dropped the receiver.
        let _ = self.outcome.send(outcome);
    }

    /// Counts the outcome and, unless the response was on time, whether a node was lost.
    fn count_outcome(&self, outcome: &QueryOutcome, now: Timestamp) {
        let is_late = now > self.objective_at;
        self.epoch.count(|counts| {
            counts.ended += 1;
            let counter = match outcome {
                QueryOutcome::Response { .. } if is_late => &mut counts.late,
                QueryOutcome::Response { .. } => return,
                QueryOutcome::Rejected { .. } => &mut counts.rejected,
                QueryOutcome::Failed => &mut counts.failed,
            };
            *counter += 1;
            counts.with_lost_node += u64::from(self.has_lost_node);
        });
    }
}

/// Returns whether the connection to the node could not be established or was lost.
fn is_lost_node(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost)
}

/// A shard request of an open query.
pub(super) struct OpenShardRequest {
    pub(super) query: QueryId,
    pub(super) shard: ShardId,
    /// The shard request's id on the wire.
    pub(super) wire_id: Bytes,
    /// The number of attempts started so far.
    pub(super) attempts: u16,
    /// The first response received.
    pub(super) response: Option<StoredResponse>,
}

/// A response that is held until its query ends.
pub(super) struct StoredResponse {
    pub(super) value: Bytes,
    /// The memory of the value.
    pub(super) memory: Reservation,
}

//! A query from its acceptance to its outcome, and one of its shard requests.

use super::QueryOutcome;
use crate::config_epoch::ConfigEpoch;
use bytes::Bytes;
use routing::{QueryId, ShardId, ShardRequestId, Timestamp};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A query that has no outcome yet.
pub(super) struct OpenQuery {
    /// Its id on the wire.
    pub(super) wire_id: Bytes,
    /// The configuration under which it was accepted; it holds to the query's end.
    pub(super) epoch: Rc<ConfigEpoch>,
    /// When its latency objective is over.
    pub(super) objective_at: Timestamp,
    /// An attempt of it found its node down, or lost its connection.
    pub(super) has_lost_node: bool,
    /// When its client stops waiting.
    pub(super) deadline: Timestamp,
    /// Its shard requests, in the order of the request.
    pub(super) shard_requests: Vec<ShardRequestId>,
    /// What every shard request carries.
    pub(super) text: Bytes,
    /// The memory that is counted for it, without its responses.
    pub(super) held_bytes: usize,
    /// Where the front end waits for its outcome.
    pub(super) outcome: oneshot::Sender<QueryOutcome>,
}

impl OpenQuery {
    /// Counts the outcome in the query's own configuration epoch, and sends it to the front end.
    pub(super) fn finish(self, outcome: QueryOutcome, now: Timestamp) {
        self.count_outcome(&outcome, now);
        // The front end may have dropped the receiver: the client has just left.
        let _ = self.outcome.send(outcome);
    }

    /// Counts how the query ended, and whether it did so after a lost node.
    fn count_outcome(&self, outcome: &QueryOutcome, now: Timestamp) {
        let is_late = now > self.objective_at;
        self.epoch.count(|counts| {
            counts.ended += 1;
            let bad_end = match outcome {
                QueryOutcome::Response { .. } if is_late => &mut counts.late,
                QueryOutcome::Response { .. } => return,
                QueryOutcome::Rejected { .. } => &mut counts.rejected,
                QueryOutcome::Failed => &mut counts.failed,
            };
            *bad_end += 1;
            counts.with_lost_node += u64::from(self.has_lost_node);
        });
    }
}

/// A shard request of an open query.
pub(super) struct OpenShardRequest {
    /// The query that it belongs to.
    pub(super) query: QueryId,
    /// The shard that it reads.
    pub(super) shard: ShardId,
    /// Its id on the wire.
    pub(super) wire_id: Bytes,
    /// The number of attempts so far.
    pub(super) attempts: u16,
    /// Its first response.
    pub(super) response: Option<Bytes>,
}

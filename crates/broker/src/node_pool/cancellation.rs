//! Cancels attempts: one that is not written is removed from its queue, one that is written is cancelled at the node.

use super::attempt::AttemptId;
use super::connection::WriteProgress;
use super::{AttemptRoute, NodePool};
use crate::codec::OutboundFrame;
use routing::{AttemptOutcome, NodeId};

impl NodePool {
    /// Cancels an attempt, with `outcome` as its end. One of which nothing was written is known not to have been
    /// executed: in place of a timeout it ends as not connected.
    pub fn cancel(&self, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(AttemptRoute { connection, wire_id }) = self.route_of(attempt) else { return };
        let outcome_unwritten = match outcome {
            AttemptOutcome::TimedOut => connection.unwritten_outcome(),
            other => other,
        };
        if self.cancel_unwritten(attempt, outcome_unwritten) {
            return;
        }
        connection.enqueue(OutboundFrame::Cancel(wire_id.clone()));
        let cancelled = connection.remove(&wire_id);
        if cancelled.is_some_and(|request| request.progress == WriteProgress::Partial) {
            connection.abort.notify_one();
        }
        connection.note_cancelled(wire_id, self.limits.nodes.max_remembered_cancellations);
        connection.mark_used_now();
        self.end(attempt, outcome, None);
    }

    /// Makes sure that an attempt which is not completely written by now never will be.
    ///
    /// A slow peer may leave a frame half read and execute it much later, when the decisions count its attempts in
    /// another window (a node that warms up gets more than its share then). The connection is dropped, so the frame
    /// stays incomplete. The cost: what else is in flight on that connection ends as lost.
    pub fn abort_incomplete(&self, attempt: AttemptId) {
        let Some(AttemptRoute { connection, wire_id }) = self.route_of(attempt) else { return };
        if self.cancel_unwritten(attempt, connection.unwritten_outcome()) {
            return;
        }
        if connection.progress_of(&wire_id) == Some(WriteProgress::Partial) {
            connection.abort.notify_one();
        }
    }

    /// Cancels an attempt of which no byte was written; `false`: some were, or its end is known.
    ///
    /// Without this a shard request that waits behind a connection which does not come up, or a peer which accepts
    /// nothing, would be sent after its query's end, its node's drain, or the window in which it was counted.
    pub fn cancel_unwritten(&self, attempt: AttemptId, outcome: AttemptOutcome) -> bool {
        let Some(AttemptRoute { connection, wire_id }) = self.route_of(attempt) else { return false };
        if connection.progress_of(&wire_id) != Some(WriteProgress::Unwritten) {
            return false;
        }
        connection.remove(&wire_id);
        connection.remove_from_queue(&wire_id);
        self.end(attempt, outcome, None);
        true
    }

    /// Cancels what was not written to a node that accepts no work any more, in the order of the attempts.
    pub(super) fn cancel_all_unwritten(&self, node: NodeId) {
        let attempts = self.attempts.borrow();
        let to_node = attempts.iter().filter(|(_, route)| route.connection.node == node);
        let mut in_flight: Vec<AttemptId> = to_node.map(|(attempt, _)| *attempt).collect();
        drop(attempts);
        in_flight.sort();
        for attempt in in_flight {
            self.cancel_unwritten(attempt, AttemptOutcome::ConnectFailed);
        }
    }

    /// The connection that an attempt is in flight on; `None`: its end is known.
    fn route_of(&self, attempt: AttemptId) -> Option<AttemptRoute> {
        self.attempts.borrow().get(&attempt).cloned()
    }
}

//! Cancellation of attempts: an unwritten attempt is removed from its queue, a written one is cancelled at the node.

use super::attempt::AttemptId;
use super::connection::WriteProgress;
use super::{AttemptRoute, NodePool};
use crate::codec::OutboundFrame;
use routing::{AttemptOutcome, NodeId};

impl NodePool {
    /// Cancels an attempt and completes it with `outcome`. An attempt of which no byte was written cannot have been
    /// executed, so a time-out is reported as a failure to connect, or as a lack of local resources if that is why
    /// there is no connection.
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
        connection.record_cancelled(&wire_id, self.limits.nodes.max_remembered_cancellations);
        connection.mark_used_now();
        self.complete_attempt(attempt, outcome, None);
    }

    /// Ensures that an attempt whose frame is not completely written yet is never completely written.
    ///
    /// A slow peer may leave a frame half read and execute it much later, when the routing logic counts the
    /// attempts to it in another window (a node that is warming up would then receive more than its share). The
    /// connection is dropped, so the frame stays incomplete. The cost is that everything else in flight on that
    /// connection completes as lost.
    pub fn abort_incomplete(&self, attempt: AttemptId) {
        let Some(AttemptRoute { connection, wire_id }) = self.route_of(attempt) else { return };
        if self.cancel_unwritten(attempt, connection.unwritten_outcome()) {
            return;
        }
        if connection.progress_of(&wire_id) == Some(WriteProgress::Partial) {
            connection.abort.notify_one();
        }
    }

    /// Cancels an attempt of which no byte was written. Returns `false` if some bytes were written or the attempt has
    /// already completed.
    ///
    /// Without this, a shard request that waits behind a connection that is not being established, or behind a peer
    /// that accepts no bytes, would be sent after its query has completed, its node has been drained, or the window
    /// in which it was counted has passed.
    pub fn cancel_unwritten(&self, attempt: AttemptId, outcome: AttemptOutcome) -> bool {
        let Some(AttemptRoute { connection, wire_id }) = self.route_of(attempt) else { return false };
        if connection.progress_of(&wire_id) != Some(WriteProgress::Unwritten) {
            return false;
        }
        connection.remove(&wire_id);
        connection.remove_from_queue(&wire_id);
        self.complete_attempt(attempt, outcome, None);
        true
    }

    /// Cancels the unwritten attempts to a node that no longer accepts work, in the order of their ids.
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

    /// Returns the connection on which an attempt is in flight, or `None` if the attempt has completed.
    fn route_of(&self, attempt: AttemptId) -> Option<AttemptRoute> {
        self.attempts.borrow().get(&attempt).cloned()
    }
}

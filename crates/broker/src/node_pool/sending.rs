//! Sends batches and probes.

use super::attempt::{AttemptId, AttemptToSend, CompletedAttempt};
use super::connection::NodeConnection;
use super::{AttemptRoute, NodePool};
use crate::codec::OutboundFrame;
use bytes::Bytes;
use routing::{AttemptOutcome, NodeId};
use std::rc::Rc;
use tokio::time::Instant;

impl NodePool {
    /// Sends shard requests to a node in one batch. Each attempt has its one end later, among
    /// [`NodePool::take_completed_attempts`].
    pub fn send(self: &Rc<Self>, node: NodeId, batch: Vec<AttemptToSend>) {
        let Some(connection) = self.connection_for(node, batch.len()) else {
            return self.end_unconnected(batch);
        };
        let mut shard_requests = Vec::with_capacity(batch.len());
        for AttemptToSend { attempt, shard_request } in batch {
            self.enter(&connection, attempt, shard_request.id.clone());
            shard_requests.push(shard_request);
        }
        connection.enqueue(OutboundFrame::Batch(shard_requests));
    }

    /// Ends attempts for which there is no connection; they were never in flight.
    fn end_unconnected(&self, batch: Vec<AttemptToSend>) {
        for AttemptToSend { attempt, .. } in batch {
            let outcome = AttemptOutcome::ConnectFailed;
            let end = CompletedAttempt { attempt, outcome, value: None, at: Instant::now() };
            self.completed_attempts.borrow_mut().push(end);
        }
        self.results_ready.notify_one();
    }

    /// Enters an attempt on a connection. Where the same shard request is in flight there already, a response that
    /// comes from now on counts for the newer attempt.
    fn enter(&self, connection: &Rc<NodeConnection>, attempt: AttemptId, wire_id: Bytes) {
        if let Some(earlier) = connection.attempt_of(&wire_id) {
            self.cancel_unwritten(earlier, AttemptOutcome::ConnectFailed);
        }
        if let Some(earlier) = connection.enter(wire_id.clone(), attempt) {
            connection.note_cancelled(wire_id.clone(), self.limits.nodes.max_remembered_cancellations);
            self.end(earlier.attempt, AttemptOutcome::ConnectionLost, None);
        }
        let route = AttemptRoute { connection: connection.clone(), wire_id };
        self.attempts.borrow_mut().insert(attempt, route);
    }

    /// Asks a node for its load. Each probe has one end: the report, or none when its connection ends.
    pub fn probe(self: &Rc<Self>, node: NodeId) {
        let Some(connection) = self.connection_for(node, 0) else { return self.end_probe(node, None) };
        connection.add_pending_probe();
        connection.enqueue(OutboundFrame::Probe);
    }
}

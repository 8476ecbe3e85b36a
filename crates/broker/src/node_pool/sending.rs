//! Transmission of batches and probes.

use super::attempt::{AttemptId, AttemptToSend, CompletedAttempt};
use super::connection::NodeConnection;
use super::{AttemptRoute, NodePool};
use crate::codec::OutboundFrame;
use bytes::Bytes;
use routing::{AttemptOutcome, NodeId};
use std::rc::Rc;
use tokio::time::Instant;

impl NodePool {
    /// Sends shard requests to a node in one batch. Each attempt is reported exactly once, by
    /// [`NodePool::take_completed_attempts`].
    pub fn send(self: &Rc<Self>, node: NodeId, batch: Vec<AttemptToSend>) {
        let Some(connection) = self.connection_for(node, batch.len()) else {
            return self.fail_unconnected(batch);
        };
        let mut shard_requests = Vec::with_capacity(batch.len());
        for AttemptToSend { attempt, shard_request } in batch {
            self.register(&connection, attempt, shard_request.id.clone());
            shard_requests.push(shard_request);
        }
        connection.enqueue(OutboundFrame::Batch(shard_requests));
    }

    /// Completes attempts for which there is no connection. They were never in flight.
    fn fail_unconnected(&self, batch: Vec<AttemptToSend>) {
        for AttemptToSend { attempt, .. } in batch {
            let outcome = AttemptOutcome::ConnectFailed;
            let completed = CompletedAttempt { attempt, outcome, value: None, at: Instant::now() };
            self.completed_attempts.borrow_mut().push(completed);
        }
        self.results_ready.notify_one();
    }

    /// Registers an attempt on a connection. If the same shard request is already in flight there, a response that is
    /// received from now on counts for the newer attempt.
    fn register(&self, connection: &Rc<NodeConnection>, attempt: AttemptId, wire_id: Bytes) {
        if let Some(earlier) = connection.attempt_of(&wire_id) {
            self.cancel_unwritten(earlier, AttemptOutcome::ConnectFailed);
        }
        if let Some(earlier) = connection.register(wire_id.clone(), attempt) {
            connection.record_cancelled(wire_id.clone(), self.limits.nodes.max_remembered_cancellations);
            self.complete_attempt(earlier.attempt, AttemptOutcome::ConnectionLost, None);
        }
        let route = AttemptRoute { connection: connection.clone(), wire_id };
        self.attempts.borrow_mut().insert(attempt, route);
    }

    /// Sends a load probe to a node. Each probe is reported exactly once, without a report if its connection ends
    /// first.
    pub fn probe(self: &Rc<Self>, node: NodeId) {
        let Some(connection) = self.connection_for(node, 0) else { return self.complete_probe(node, None) };
        connection.add_pending_probe();
        connection.enqueue(OutboundFrame::Probe);
    }
}

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
        let wire_ids: Vec<Bytes> = batch.iter().map(|sending| sending.shard_request.id.clone()).collect();
        let Some(connection) = self.connection_for(node, &wire_ids) else {
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

    /// Registers an attempt on a connection that [`NodePool::connection_for`] has chosen for it.
    fn register(&self, connection: &Rc<NodeConnection>, attempt: AttemptId, wire_id: Bytes) {
        connection.register(wire_id.clone(), attempt);
        let route = AttemptRoute { connection: connection.clone(), wire_id };
        self.attempts.borrow_mut().insert(attempt, route);
    }

    /// Sends a load probe to a node. Each probe is reported exactly once, without a report if its connection ends
    /// first.
    pub fn probe(self: &Rc<Self>, node: NodeId) {
        let Some(connection) = self.connection_for(node, &[]) else { return self.complete_probe(node, None) };
        connection.add_pending_probe();
        connection.enqueue(OutboundFrame::Probe);
    }
}

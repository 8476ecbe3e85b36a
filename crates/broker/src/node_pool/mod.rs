//! Connections to nodes. Sends the batches it is handed, and gives each attempt exactly one end.
//!
//! The engine calls [`NodePool::send`], [`NodePool::cancel`] and [`NodePool::probe`], waits for
//! [`NodePool::results_ready`], and fetches the ends. Each connection runs as a task of its own.

mod attempt;
mod cancelled_requests;
mod connection;
mod connection_task;
mod reader;
mod writer;

pub use attempt::{AttemptEnd, AttemptId, AttemptToSend, ProbeReply};

use crate::codec::ToNode;
use crate::limits::Limits;
use bytes::Bytes;
use connection::{NodeConnection, WriteProgress};
use connection_task::ConnectionTask;
use routing::{AttemptOutcome, NodeId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Where an attempt that is in flight was put.
#[derive(Clone)]
struct AttemptRoute {
    connection: Rc<NodeConnection>,
    /// The id that the wire knows its shard request by.
    wire_id: Bytes,
}

/// All connections to nodes, and the attempts that are in flight on them.
pub struct NodePool {
    limits: Rc<Limits>,
    addresses: RefCell<HashMap<NodeId, SocketAddr>>,
    connections: RefCell<HashMap<NodeId, Vec<Rc<NodeConnection>>>>,
    attempts: RefCell<HashMap<AttemptId, AttemptRoute>>,
    /// Ends that were not fetched yet.
    attempt_ends: RefCell<Vec<AttemptEnd>>,
    probe_replies: RefCell<Vec<ProbeReply>>,
    /// Notified when there are ends of attempts or probes to fetch.
    pub results_ready: Notify,
}

impl NodePool {
    /// A pool without nodes.
    pub fn new(limits: Rc<Limits>) -> Rc<NodePool> {
        Rc::new(NodePool {
            limits,
            addresses: RefCell::default(),
            connections: RefCell::default(),
            attempts: RefCell::default(),
            attempt_ends: RefCell::default(),
            probe_replies: RefCell::default(),
            results_ready: Notify::new(),
        })
    }

    /// Sets where a node listens from now on; none: it is gone. Connections elsewhere close once they are
    /// idle. Where the node accepts no work any more, what was not written to it yet ends.
    pub fn set_address(&self, node: NodeId, address: Option<SocketAddr>, accepts_work: bool) {
        if !accepts_work {
            self.cancel_all_unwritten(node);
        }
        match address {
            Some(address) => _ = self.addresses.borrow_mut().insert(node, address),
            None => _ = self.addresses.borrow_mut().remove(&node),
        }
        if let Some(connections) = self.connections.borrow().get(&node) {
            let elsewhere = connections.iter().filter(|connection| Some(connection.address) != address);
            elsewhere.for_each(|connection| connection.close());
        }
    }

    // ---- results

    /// The attempts in flight, written or not: the node's address and the id on the wire, in order.
    pub fn in_flight(&self) -> Vec<(SocketAddr, Bytes)> {
        let attempts = self.attempts.borrow();
        let routes = attempts.values().map(|route| (route.connection.address, route.wire_id.clone()));
        let mut in_flight: Vec<_> = routes.collect();
        in_flight.sort();
        in_flight
    }

    /// How many attempts are in flight.
    pub fn count_in_flight(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// The ends of attempts since the last time, in the order in which they came.
    pub fn fetch_attempt_ends(&self) -> Vec<AttemptEnd> {
        self.attempt_ends.take()
    }

    /// The ends of probes since the last time, in the order in which they came.
    pub fn fetch_probe_replies(&self) -> Vec<ProbeReply> {
        self.probe_replies.take()
    }

    /// Ends an attempt, unless it has its end.
    fn end(&self, attempt: AttemptId, outcome: AttemptOutcome, value: Option<Bytes>) {
        if self.attempts.borrow_mut().remove(&attempt).is_some() {
            self.attempt_ends.borrow_mut().push(AttemptEnd { attempt, outcome, value, at: Instant::now() });
            self.results_ready.notify_one();
        }
    }

    fn end_probe(&self, node: NodeId, report: Option<Bytes>) {
        self.probe_replies.borrow_mut().push(ProbeReply { node, report });
        self.results_ready.notify_one();
    }

    /// Ends the attempt whose response is unconfirmed with that response.
    fn accept_response(&self, connection: &NodeConnection) {
        let Some(response) = connection.take_unconfirmed_response() else { return };
        let succeeded = response.outcome == AttemptOutcome::Succeeded;
        self.end(response.attempt, response.outcome, succeeded.then_some(response.value));
    }

    /// Decides on an unconfirmed response with no frame behind it. Guards against a value that is cut, or
    /// extended by the head of the next response: its length was wrong, and what comes behind is no frame.
    /// Noise behind the last response due takes nothing from that.
    fn settle_response(&self, connection: &NodeConnection, is_text_behind: bool) {
        if !connection.has_in_flight() && !is_text_behind {
            return self.accept_response(connection);
        }
        if let Some(response) = connection.take_unconfirmed_response() {
            self.end(response.attempt, AttemptOutcome::Errored, None);
        }
    }

    // ---- sending

    /// Sends shard requests in one batch.
    pub fn send(self: &Rc<Self>, node: NodeId, batch: Vec<AttemptToSend>) {
        let Some(connection) = self.connection_for(node, batch.len()) else {
            return self.end_unconnected(batch);
        };
        let mut shard_requests = Vec::with_capacity(batch.len());
        for AttemptToSend { attempt, shard_request } in batch {
            self.enter(&connection, attempt, shard_request.id.clone());
            shard_requests.push(shard_request);
        }
        connection.enqueue(ToNode::Batch(shard_requests));
    }

    /// Ends attempts for which there is no connection; they were never in flight.
    fn end_unconnected(&self, batch: Vec<AttemptToSend>) {
        for AttemptToSend { attempt, .. } in batch {
            let (outcome, at) = (AttemptOutcome::ConnectFailed, Instant::now());
            self.attempt_ends.borrow_mut().push(AttemptEnd { attempt, outcome, value: None, at });
        }
        self.results_ready.notify_one();
    }

    /// Enters an attempt on a connection. Where the same shard request is in flight there, a response from
    /// now on is the newer attempt's.
    fn enter(&self, connection: &Rc<NodeConnection>, attempt: AttemptId, wire_id: Bytes) {
        if let Some(earlier) = connection.attempt_of(&wire_id) {
            self.cancel_unwritten(earlier, AttemptOutcome::ConnectFailed);
        }
        if let Some(earlier) = connection.enter(wire_id.clone(), attempt) {
            connection.note_cancelled(wire_id.clone(), self.limits.max_remembered_cancellations);
            self.end(earlier.attempt, AttemptOutcome::ConnectionLost, None);
        }
        let route = AttemptRoute { connection: connection.clone(), wire_id };
        self.attempts.borrow_mut().insert(attempt, route);
    }

    /// Asks a node for its load. Each probe has one end: the report, or none when its connection ends.
    pub fn probe(self: &Rc<Self>, node: NodeId) {
        let Some(connection) = self.connection_for(node, 0) else { return self.end_probe(node, None) };
        connection.add_pending_probe();
        connection.enqueue(ToNode::Probe);
    }

    // ---- cancelling

    /// Cancels an attempt. One of which nothing was written is known not to have been executed, whatever
    /// `outcome` says.
    pub fn cancel(&self, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(AttemptRoute { connection, wire_id }) = self.route_of(attempt) else { return };
        let outcome_unwritten = match outcome {
            AttemptOutcome::TimedOut => connection.unwritten_outcome(),
            other => other,
        };
        if self.cancel_unwritten(attempt, outcome_unwritten) {
            return;
        }
        connection.enqueue(ToNode::Cancel(wire_id.clone()));
        if connection.remove(&wire_id).is_some_and(|request| request.progress == WriteProgress::Partial) {
            connection.abort.notify_one();
        }
        connection.note_cancelled(wire_id, self.limits.max_remembered_cancellations);
        connection.mark_used_now();
        self.end(attempt, outcome, None);
    }

    /// Makes sure that an attempt which is not written whole by now never will be. Guards against frames that
    /// a slow peer leaves half read, which would reach it in another window than the one that their attempts
    /// were counted in. Harm: what else is in flight on that connection is lost with it.
    pub fn abort_incomplete(&self, attempt: AttemptId) {
        let Some(AttemptRoute { connection, wire_id }) = self.route_of(attempt) else { return };
        if self.cancel_unwritten(attempt, connection.unwritten_outcome()) {
            return;
        }
        if connection.progress_of(&wire_id) == Some(WriteProgress::Partial) {
            connection.abort.notify_one();
        }
    }

    /// Cancels an attempt of which no byte was written; says whether that could be done. Guards against shard
    /// requests that wait behind a connection that does not come up, or a peer that accepts nothing, and go
    /// out after their query's end, their node's drain, or the window that they were counted in.
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

    /// Cancels all that was not written to a node that accepts no work any more, in the order of the
    /// attempts.
    fn cancel_all_unwritten(&self, node: NodeId) {
        let attempts = self.attempts.borrow();
        let to_node = attempts.iter().filter(|(_, route)| route.connection.node == node);
        let mut in_flight: Vec<AttemptId> = to_node.map(|(attempt, _)| *attempt).collect();
        drop(attempts);
        in_flight.sort();
        for attempt in in_flight {
            self.cancel_unwritten(attempt, AttemptOutcome::ConnectFailed);
        }
    }

    fn route_of(&self, attempt: AttemptId) -> Option<AttemptRoute> {
        self.attempts.borrow().get(&attempt).cloned()
    }

    // ---- connections

    /// Closes the idle connections to a node.
    pub fn close_idle(&self, node: NodeId) {
        if let Some(connections) = self.connections.borrow().get(&node) {
            let idle = connections.iter().filter(|connection| connection.is_idle());
            idle.for_each(|connection| connection.close());
        }
    }

    /// A connection with room for so many shard requests, or a new one while there may be more.
    fn connection_for(self: &Rc<Self>, node: NodeId, shard_requests: usize) -> Option<Rc<NodeConnection>> {
        let address = *self.addresses.borrow().get(&node)?;
        self.close_unresponsive(node);
        let open = self.open_connections(node, address);
        let limit = self.limits.max_connection_shard_requests;
        // The oldest first, so that those beyond need become idle.
        if let Some(connection) = open.iter().find(|connection| connection.has_room(shard_requests, limit)) {
            return Some(connection.clone());
        }
        if self.count_connections() >= self.limits.max_node_connections && !self.close_longest_idle() {
            // No descriptor is left: what goes out joins the others, and waits unread.
            return open.into_iter().min_by_key(|connection| connection.count_in_flight());
        }
        Some(self.open_connection(node, address))
    }

    /// Guards against connections that became silent without a close: what is put on them is lost, while the
    /// node may serve on others. Where it is the node that is silent, a new one costs a handshake.
    fn close_unresponsive(&self, node: NodeId) {
        if let Some(connections) = self.connections.borrow().get(&node) {
            let limit = self.limits.unresponsive_after;
            let unresponsive = connections.iter().filter(|connection| connection.is_unresponsive(limit));
            unresponsive.for_each(|connection| connection.close());
        }
    }

    /// The connections to a node at its address that accept work, the oldest first.
    fn open_connections(&self, node: NodeId, address: SocketAddr) -> Vec<Rc<NodeConnection>> {
        let connections = self.connections.borrow();
        let to_node = connections.get(&node).into_iter().flatten();
        to_node
            .filter(|connection| !connection.is_closing() && connection.address == address)
            .cloned()
            .collect()
    }

    fn count_connections(&self) -> usize {
        self.connections.borrow().values().map(Vec::len).sum()
    }

    /// Closes the connection that was idle the longest, to whichever node; `false`: none is idle.
    fn close_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let all = connections.values().flatten();
        let idle = all.filter(|connection| connection.is_idle() && !connection.is_closing());
        let longest_idle = idle.min_by_key(|connection| connection.last_used_at());
        longest_idle.inspect(|connection| connection.close()).is_some()
    }

    fn open_connection(self: &Rc<Self>, node: NodeId, address: SocketAddr) -> Rc<NodeConnection> {
        let connection = Rc::new(NodeConnection::new(node, address));
        self.connections.borrow_mut().entry(node).or_default().push(connection.clone());
        let task = ConnectionTask { pool: self.clone(), connection: connection.clone() };
        actix_rt::spawn(task.run());
        connection
    }

    fn forget_connection(&self, ended: &Rc<NodeConnection>) {
        self.connections.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| !Rc::ptr_eq(connection, ended));
            !connections.is_empty()
        });
    }
}

//! Connections to nodes. The pool sends batches of shard requests and reports exactly one outcome for each attempt.
//!
//! The engine calls [`NodePool::send`], [`NodePool::cancel`] and [`NodePool::probe`], waits for
//! [`NodePool::results_ready`], and then takes the results.
//!
//! # Tasks and ownership
//!
//! Everything runs on the engine's thread. The pool owns the addresses, the list of connections, and a route for each
//! attempt in flight. Each `NodeConnection` is shared by the pool and one task, `ConnectionTask::run`, which owns the
//! socket: it connects, polls a `ConnectionWriter` and a `ConnectionReader` on the two halves of the socket until one
//! of them returns, and then completes everything that is still in flight.
//!
//! | event | notified by | woken task |
//! | --- | --- | --- |
//! | a frame is queued, or removed from the queue | the pool (`write_ready`) | the writer |
//! | a connection should close | the pool (`write_ready`) | the writer, which returns when nothing is in flight |
//! | a response is received | the reader (`write_ready`) | the writer, which may be waiting for the last one |
//! | a partly written frame must not be completed | the pool (`abort`) | the task, which drops the socket |
//! | an attempt or a probe completes | the pool (`results_ready`) | the engine's event loop |
//!
//! # Exactly one outcome for each attempt
//!
//! An attempt is entered in `attempts` before its frame is queued; `NodePool::complete_attempt` reports an outcome
//! only if it removes that entry. The reader, the writer, a cancellation and the loss of the connection may all try
//! to complete the same attempt: only the first one takes effect.
//!
//! No shard request is sent twice. A frame stays in the write queue until the peer accepts its first byte, so an
//! attempt is in one of three states (`WriteProgress`):
//!
//! - `Unwritten`: the attempt can be cancelled without the node noticing, or moved to another connection.
//! - `Partial`: the node cannot execute the attempt before the rest of its frame is written. If the attempt is
//!   cancelled in this state, its connection is dropped, so that the rest is never written.
//! - `Complete`: the node may execute the attempt. A cancellation is sent to the node, and a late response is
//!   recognised.
//!
//! # Exactly one owner for each response
//!
//! A response names a shard request only by an id, which retries, hedges and later queries may share, and it may come
//! late or twice. An id is therefore written on a connection at most once: `NodePool::connection_for` passes over the
//! connections that carry the id or, by their `WireIdHistory`, have carried it. A connection that can't remember
//! another unanswered id accepts no more work.
//!
//! # Cancellation of the tasks
//!
//! The writer and the reader are dropped together with the socket when either returns, or on `abort`. Dropping them
//! in the middle of an `await` loses only bytes in their own buffers: the attempts in flight are recorded in the
//! `NodeConnection`, and the connection task completes them after the drop. The connection task itself is never
//! dropped while the broker runs.

mod attempt;
mod cancellation;
mod connection;
mod connection_choice;
mod connection_state;
mod connection_task;
mod reader;
mod sending;
mod wire_id_history;
mod writer;

pub use attempt::{AttemptId, AttemptToSend, CompletedAttempt, ProbeReply, ReceivedValue};

use crate::codec::has_wrong_length;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use bytes::Bytes;
use connection::NodeConnection;
use routing::{AttemptOutcome, NodeId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

/// The connection on which an attempt is in flight.
#[derive(Clone)]
struct AttemptRoute {
    connection: Rc<NodeConnection>,
    /// The id of the attempt's shard request in frames.
    wire_id: Bytes,
}

/// The connections to all nodes and the attempts that are in flight on them.
pub struct NodePool {
    limits: Rc<Limits>,
    /// The memory that queries, clients and nodes share.
    memory: Rc<MemoryBudget>,
    /// The address on which each node listens. Nothing is sent to a node without an entry.
    addresses: RefCell<HashMap<NodeId, SocketAddr>>,
    /// The connections to each node, oldest first.
    connections: RefCell<HashMap<NodeId, Vec<Rc<NodeConnection>>>>,
    /// The attempts in flight. An attempt without an entry has completed.
    attempts: RefCell<HashMap<AttemptId, AttemptRoute>>,
    /// Completed attempts that the engine has not taken yet.
    completed_attempts: RefCell<Vec<CompletedAttempt>>,
    /// Completed probes that the engine has not taken yet.
    probe_replies: RefCell<Vec<ProbeReply>>,
    /// Notified when completed attempts or probes are ready to be taken.
    pub results_ready: Notify,
}

impl NodePool {
    /// Creates a pool without nodes. [`NodePool::set_address`] adds them.
    pub fn new(limits: Rc<Limits>, memory: Rc<MemoryBudget>) -> Rc<NodePool> {
        Rc::new(NodePool {
            limits,
            memory,
            addresses: RefCell::default(),
            connections: RefCell::default(),
            attempts: RefCell::default(),
            completed_attempts: RefCell::default(),
            probe_replies: RefCell::default(),
            results_ready: Notify::new(),
        })
    }

    /// Sets the address on which a node listens, or removes the node if `address` is `None`.
    ///
    /// Connections to any other address close once nothing is in flight on them. If the node no longer accepts work,
    /// its attempts of which no byte has been written complete as [`AttemptOutcome::ConnectFailed`].
    pub fn set_address(&self, node: NodeId, address: Option<SocketAddr>, accepts_work: bool) {
        if !accepts_work {
            self.cancel_all_unwritten(node);
        }
        match address {
            Some(address) => _ = self.addresses.borrow_mut().insert(node, address),
            None => _ = self.addresses.borrow_mut().remove(&node),
        }
        if let Some(connections) = self.connections.borrow().get(&node) {
            let outdated = connections.iter().filter(|connection| Some(connection.address) != address);
            outdated.for_each(|connection| connection.close());
        }
    }

    /// Returns the node address and the shard request's id on the wire for every attempt in flight, sorted. Attempts
    /// that are queued but not written are included.
    pub fn in_flight(&self) -> Vec<(SocketAddr, Bytes)> {
        let attempts = self.attempts.borrow();
        let routes = attempts.values().map(|route| (route.connection.address, route.wire_id.clone()));
        let mut in_flight: Vec<_> = routes.collect();
        in_flight.sort();
        in_flight
    }

    /// Returns the number of attempts in flight, whether written or not.
    pub fn count_in_flight(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Returns whether a node may execute an attempt, or may have executed it according to an outcome that has not been
    /// taken yet.
    pub fn may_be_executed(&self, attempt: AttemptId) -> bool {
        let completed = self.completed_attempts.borrow();
        let is_result = |result: &&CompletedAttempt| result.attempt == attempt;
        self.attempts.borrow().contains_key(&attempt)
            || completed.iter().find(is_result).is_some_and(|result| result.outcome.may_have_executed())
    }

    /// Takes the attempts that completed since the last call, in order of completion.
    pub fn take_completed_attempts(&self) -> Vec<CompletedAttempt> {
        self.completed_attempts.take()
    }

    /// Takes the probes that completed since the last call, in order of completion.
    pub fn take_probe_replies(&self) -> Vec<ProbeReply> {
        self.probe_replies.take()
    }

    /// Completes an attempt, unless it has already completed.
    fn complete_attempt(&self, attempt: AttemptId, outcome: AttemptOutcome, value: Option<ReceivedValue>) {
        if self.attempts.borrow_mut().remove(&attempt).is_some() {
            self.completed_attempts.borrow_mut().push(CompletedAttempt {
                attempt,
                outcome,
                value,
                at: Instant::now(),
            });
            self.results_ready.notify_one();
        }
    }

    /// Completes a probe; `report` is `None` if the node sent no load report.
    fn complete_probe(&self, node: NodeId, report: Option<Bytes>) {
        self.probe_replies.borrow_mut().push(ProbeReply { node, report });
        self.results_ready.notify_one();
    }

    /// Completes the attempt of the unconfirmed response, if there is one, with that response.
    fn accept_response(&self, connection: &NodeConnection) {
        let Some(response) = connection.take_unconfirmed_response() else { return };
        let succeeded = response.outcome == AttemptOutcome::Succeeded;
        self.complete_attempt(response.attempt, response.outcome, succeeded.then_some(response.value));
    }

    /// Completes the attempt of the unconfirmed response, if there is one, as an error, and does not use the response.
    fn reject_response(&self, connection: &NodeConnection) {
        if let Some(response) = connection.take_unconfirmed_response() {
            self.complete_attempt(response.attempt, AttemptOutcome::Errored, None);
        }
    }

    /// Accepts or rejects the unconfirmed response when the bytes that follow are not a valid frame.
    ///
    /// A node that writes a wrong length truncates the value, or extends it by the start of its next frame. The bytes
    /// that follow are then the rest of either, and the response must not be used. The response is valid if the bytes
    /// are noise, which a node writes only when it owes nothing else on the connection.
    fn resolve_unconfirmed_response(&self, connection: &NodeConnection, following: &[u8]) {
        let Some(response) = connection.take_unconfirmed_response() else { return };
        let is_valid = !connection.has_in_flight()
            && !connection.has_pending_probes()
            && !has_wrong_length(&response.value.bytes, following, self.limits.nodes.max_frame_bytes);
        let following_bytes = following.len();
        warn!(node = %connection.address, following_bytes, is_valid, "response followed by bytes that are not a frame");
        connection.hold_response(response);
        match is_valid {
            true => self.accept_response(connection),
            false => self.reject_response(connection),
        }
    }
}

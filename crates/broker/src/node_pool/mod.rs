//! Connections to nodes. Sends batches of shard requests, and gives each attempt exactly one end.
//!
//! The engine calls [`NodePool::send`], [`NodePool::cancel`] and [`NodePool::probe`], waits for
//! [`NodePool::results_ready`], and fetches the ends.
//!
//! # Tasks and ownership
//!
//! Everything runs on the engine's thread. The pool owns the addresses, the list of connections, and a route for
//! each attempt in flight. Each `NodeConnection` is shared by the pool and one task, `ConnectionTask::run`, which
//! owns the socket: it connects, then polls a `ConnectionWriter` and a `ConnectionReader` on its two halves until one
//! of them ends, and then ends what is left.
//!
//! | event | who notifies | who wakes |
//! | --- | --- | --- |
//! | a frame is queued, or removed from the queue | the pool (`write_ready`) | the writer |
//! | a connection is to close | the pool (`close`, by `write_ready`) | the writer, which ends when nothing is in flight |
//! | a response came | the reader (`write_ready`) | the writer, which may be waiting for the last one to close |
//! | a frame that is partly written must not be completed | the pool (`abort`) | the connection task, which drops the socket |
//! | an attempt or a probe ended | the pool (`results_ready`) | the engine's event loop |
//!
//! # One end for each attempt
//!
//! An attempt is entered in `attempts` before its frame is queued; `NodePool::end` reports an end only if it removes
//! that entry. Reader, writer, cancellation and the connection's end may all want to end an attempt: the first does.
//!
//! Nothing is sent twice. A frame stays in the write queue until the peer accepts its first byte, so an attempt is in
//! one of three states (`WriteProgress`):
//!
//! - `Unwritten`: it may be cancelled without a trace, or moved to another connection.
//! - `Partial`: the node can't execute it before the rest is written. Cancelled in this state, its connection is
//!   dropped, so that the rest never is.
//! - `Complete`: the node may execute it. A cancellation is sent to the node, and a late response is recognised.
//!
//! # Cancellation of the tasks
//!
//! Writer and reader are dropped together with the socket when either ends, or at `abort`. Dropping them in
//! the middle of an `await` loses only bytes of their own buffers: what was in flight is recorded in the
//! `NodeConnection`, and the connection task ends it after the drop. The task itself is never dropped while the
//! broker runs.

mod attempt;
mod cancellation;
mod cancelled_requests;
mod connection;
mod connection_choice;
mod connection_state;
mod connection_task;
mod reader;
mod sending;
mod writer;

pub use attempt::{AttemptId, AttemptToSend, CompletedAttempt, ProbeReply};

use crate::limits::Limits;
use bytes::Bytes;
use connection::NodeConnection;
use routing::{AttemptOutcome, NodeId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The connection on which an attempt is in flight.
#[derive(Clone)]
struct AttemptRoute {
    connection: Rc<NodeConnection>,
    /// The id that the wire knows its shard request by.
    wire_id: Bytes,
}

/// All connections to nodes, and the attempts that are in flight on them.
pub struct NodePool {
    limits: Rc<Limits>,
    /// Where nodes listen. A node that is not here gets nothing.
    addresses: RefCell<HashMap<NodeId, SocketAddr>>,
    /// The connections to each node, the oldest first.
    connections: RefCell<HashMap<NodeId, Vec<Rc<NodeConnection>>>>,
    /// The attempts in flight. One that is not here has its end.
    attempts: RefCell<HashMap<AttemptId, AttemptRoute>>,
    /// Ends that were not fetched yet.
    completed_attempts: RefCell<Vec<CompletedAttempt>>,
    /// Ends of probes that were not fetched yet.
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
            completed_attempts: RefCell::default(),
            probe_replies: RefCell::default(),
            results_ready: Notify::new(),
        })
    }

    /// Sets where a node listens from now on; `None`: it is gone. Connections to another address close once nothing is
    /// in flight on them. Where the node accepts no work any more, the attempts of which nothing was written end.
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
    pub fn take_completed_attempts(&self) -> Vec<CompletedAttempt> {
        self.completed_attempts.take()
    }

    /// The ends of probes since the last time, in the order in which they came.
    pub fn take_probe_replies(&self) -> Vec<ProbeReply> {
        self.probe_replies.take()
    }

    /// Ends an attempt, unless it has its end.
    fn end(&self, attempt: AttemptId, outcome: AttemptOutcome, value: Option<Bytes>) {
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

    /// Ends a probe.
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

    /// Decides on an unconfirmed response with no frame behind it.
    ///
    /// A node that writes a wrong length cuts the value, or extends it by the head of the next response; what follows
    /// is no frame then. Such a response is not used: its attempt is an error. Where nothing else is in flight and what
    /// follows is no text, it cannot be the rest of the value, and the response is used.
    fn settle_response(&self, connection: &NodeConnection, is_text_behind: bool) {
        if !connection.has_in_flight() && !is_text_behind {
            return self.accept_response(connection);
        }
        if let Some(response) = connection.take_unconfirmed_response() {
            self.end(response.attempt, AttemptOutcome::Errored, None);
        }
    }
}

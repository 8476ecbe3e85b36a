//! The state of one connection to a node.

use super::attempt::{AttemptId, ReceivedValue};
use super::connection_state::ConnectionState;
use super::wire_id_history::WireIdHistory;
use crate::codec::OutboundFrame;
use bytes::Bytes;
use routing::{AttemptOutcome, NodeId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How much of an attempt's frame has been written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// No bytes: the attempt can be cancelled without the node noticing, and cannot have been executed.
    Unwritten,
    /// Some bytes: the node cannot execute the attempt until the rest is written.
    Partial,
    /// All bytes: the node may execute the attempt.
    Complete,
}

/// A shard request that is queued or written on a connection and has not been answered.
pub(super) struct InFlightRequest {
    /// The attempt that sends this shard request.
    pub attempt: AttemptId,
    /// How much of the shard request's frame has been written.
    pub progress: WriteProgress,
}

/// A response that is followed by bytes which have not yet proved to be a valid frame.
pub(super) struct UnconfirmedResponse {
    /// The attempt that the response answers.
    pub attempt: AttemptId,
    /// The outcome of the attempt as the node reports it.
    pub outcome: AttemptOutcome,
    /// The value that the node returned.
    pub value: ReceivedValue,
}

/// The state of one connection to a node, from the first attempt to connect on. The pool and the connection's task
/// share this state; neither holds a borrow of it across an `await`.
pub(super) struct NodeConnection {
    /// The node at the other end of the connection.
    pub node: NodeId,
    /// The address to which the connection is made; the node may have moved to another one since.
    pub address: SocketAddr,
    state: Cell<ConnectionState>,
    /// The shard requests in flight, by their id on the wire.
    in_flight: RefCell<HashMap<Bytes, InFlightRequest>>,
    /// Frames of which no byte has been written.
    write_queue: RefCell<VecDeque<OutboundFrame>>,
    /// The response whose length is confirmed by the frame that follows it.
    unconfirmed_response: RefCell<Option<UnconfirmedResponse>>,
    /// The ids of shard requests that are no longer in flight and may still be answered.
    wire_id_history: RefCell<WireIdHistory>,
    /// The number of load probes that have not been answered.
    pending_probes: Cell<usize>,
    /// The time of the last activity, from which the idle time-out counts.
    last_used_at: Cell<Instant>,
    /// Whether the last attempt to connect failed because of a local resource error.
    lacks_local_resources: Cell<bool>,
    /// The time since which the node has owed the first byte of a reply; `None` if it owes none.
    awaiting_reply_since: Cell<Option<Instant>>,
    /// Notified when the writer may have work.
    pub write_ready: Notify,
    /// Notified when a partly written frame must not be completed.
    pub abort: Notify,
}

impl NodeConnection {
    /// Creates the state of a connection that is not established and has nothing in flight.
    pub fn new(node: NodeId, address: SocketAddr) -> NodeConnection {
        NodeConnection {
            node,
            address,
            state: Cell::new(ConnectionState::Unused),
            in_flight: RefCell::default(),
            write_queue: RefCell::default(),
            unconfirmed_response: RefCell::default(),
            wire_id_history: RefCell::default(),
            pending_probes: Cell::default(),
            last_used_at: Cell::new(Instant::now()),
            lacks_local_resources: Cell::default(),
            awaiting_reply_since: Cell::default(),
            write_ready: Notify::new(),
            abort: Notify::new(),
        }
    }

    // ---- state

    /// Returns whether the connection was established and at least part of a frame was written on it.
    pub fn was_used(&self) -> bool {
        self.state.get().was_used()
    }

    /// Returns whether the connection accepts no more work.
    pub fn is_closing(&self) -> bool {
        self.state.get().is_closing()
    }

    /// Records whether the last attempt to connect failed because of a local resource error.
    pub fn set_lacks_local_resources(&self, lacks: bool) {
        self.lacks_local_resources.set(lacks);
    }

    /// Returns the outcome of an attempt of which no byte was written. The attempt was not executed, and counts
    /// against the node only if this machine had the resources to connect.
    pub fn unwritten_outcome(&self) -> AttemptOutcome {
        match self.lacks_local_resources.get() {
            true => AttemptOutcome::LocalResourceExhausted,
            false => AttemptOutcome::ConnectFailed,
        }
    }

    /// Returns whether the connection has no shard request in flight, no pending probe and no queued frame.
    pub fn is_idle(&self) -> bool {
        !self.has_in_flight() && !self.has_pending_probes() && !self.has_queued_frames()
    }

    /// Returns whether the node has owed a reply for longer than `limit`.
    pub fn is_unresponsive(&self, limit: Duration) -> bool {
        self.awaiting_reply_since.get().is_some_and(|since| since.elapsed() > limit)
    }

    /// Returns the time of the last activity, from which the idle time-out counts.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at.get()
    }

    /// Restarts the idle timer.
    pub fn mark_used_now(&self) {
        self.last_used_at.set(Instant::now());
    }

    /// Stops accepting work, without waking the writer.
    pub fn begin_closing(&self) {
        self.state.set(self.state.get().after_close());
    }

    /// Stops accepting work, and wakes the writer, which closes the connection once nothing is in flight.
    pub fn close(&self) {
        self.begin_closing();
        self.write_ready.notify_one();
    }

    /// Records that a frame was received, after which the node no longer owes its first reply.
    pub fn record_received(&self) {
        self.mark_used_now();
        self.awaiting_reply_since.take();
    }

    // ---- shard requests in flight

    /// Returns whether any shard request is queued, or written and not answered.
    pub fn has_in_flight(&self) -> bool {
        !self.in_flight.borrow().is_empty()
    }

    /// Returns the number of shard requests that are queued, or written and not answered.
    pub fn count_in_flight(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Returns whether `shard_requests` more can be in flight without exceeding `limit`. A batch of any size fits on
    /// a connection with nothing in flight.
    pub fn has_room(&self, shard_requests: usize, limit: usize) -> bool {
        let in_flight = self.count_in_flight();
        in_flight == 0 || in_flight + shard_requests <= limit
    }

    /// Returns the attempt that is in flight under this id.
    pub fn attempt_of(&self, wire_id: &Bytes) -> Option<AttemptId> {
        self.in_flight.borrow().get(wire_id).map(|request| request.attempt)
    }

    /// Returns how much of the shard request with this id has been written, or `None` if it is not in flight.
    pub fn progress_of(&self, wire_id: &Bytes) -> Option<WriteProgress> {
        self.in_flight.borrow().get(wire_id).map(|request| request.progress)
    }

    /// Returns whether any of these ids is in flight on the connection or has been. A response to the earlier shard
    /// request would then be taken for one to the new one.
    pub fn has_carried_any(&self, wire_ids: &[Bytes]) -> bool {
        let (in_flight, history) = (self.in_flight.borrow(), self.wire_id_history.borrow());
        wire_ids.iter().any(|wire_id| in_flight.contains_key(wire_id) || history.contains(wire_id))
    }

    /// Registers an unwritten attempt under an id that the connection has not carried.
    pub fn register(&self, wire_id: Bytes, attempt: AttemptId) {
        let request = InFlightRequest { attempt, progress: WriteProgress::Unwritten };
        let earlier = self.in_flight.borrow_mut().insert(wire_id, request);
        debug_assert!(earlier.is_none(), "two attempts under one id on a connection");
    }

    /// Removes a shard request from those in flight, and returns it.
    pub fn remove(&self, wire_id: &Bytes) -> Option<InFlightRequest> {
        self.in_flight.borrow_mut().remove(wire_id)
    }

    /// Removes the shard request that a response answers, and returns it.
    pub fn remove_answered(&self, wire_id: &Bytes, max_remembered: usize) -> Option<InFlightRequest> {
        let request = self.remove(wire_id)?;
        self.wire_id_history.borrow_mut().add_answered(wire_id, max_remembered);
        Some(request)
    }

    /// Removes all shard requests in flight, in the order of their attempts.
    pub fn remove_all(&self) -> Vec<InFlightRequest> {
        let mut requests: Vec<InFlightRequest> = self.in_flight.take().into_values().collect();
        requests.sort_by_key(|request| request.attempt);
        requests
    }

    /// Returns whether no byte of any shard request in flight has been written.
    pub fn is_all_unwritten(&self) -> bool {
        self.in_flight.borrow().values().all(|request| request.progress == WriteProgress::Unwritten)
    }

    /// Records that part of a frame with these shard requests has been written.
    pub fn record_partial_write(&self, wire_ids: &[Bytes]) {
        self.state.set(self.state.get().after_write());
        self.set_progress(wire_ids, WriteProgress::Partial);
    }

    /// Records that a frame with these shard requests has been completely written.
    pub fn record_complete_write(&self, wire_ids: &[Bytes]) {
        self.set_progress(wire_ids, WriteProgress::Complete);
        if !wire_ids.is_empty() {
            self.awaiting_reply_since.set(self.awaiting_reply_since.get().or(Some(Instant::now())));
        }
        self.mark_used_now();
    }

    fn set_progress(&self, wire_ids: &[Bytes], progress: WriteProgress) {
        let mut in_flight = self.in_flight.borrow_mut();
        for wire_id in wire_ids {
            if let Some(request) = in_flight.get_mut(wire_id) {
                request.progress = progress;
            }
        }
    }

    // ---- queued frames

    /// Returns whether any frame is queued.
    pub fn has_queued_frames(&self) -> bool {
        !self.write_queue.borrow().is_empty()
    }

    /// Appends a frame to the queue, and wakes the writer.
    pub fn enqueue(&self, frame: OutboundFrame) {
        self.write_queue.borrow_mut().push_back(frame);
        self.write_ready.notify_one();
    }

    /// Removes and returns the frame at the head of the queue.
    pub fn dequeue(&self) -> Option<OutboundFrame> {
        self.write_queue.borrow_mut().pop_front()
    }

    /// Puts a frame of which no byte could be written back at the head of the queue.
    pub fn requeue(&self, frame: OutboundFrame) {
        self.write_queue.borrow_mut().push_front(frame);
    }

    /// Removes and returns all frames of which no byte was written.
    pub fn take_queue(&self) -> VecDeque<OutboundFrame> {
        self.write_queue.take()
    }

    /// Removes a shard request from the queued batches, and wakes the writer.
    pub fn remove_from_queue(&self, wire_id: &Bytes) {
        for queued in self.write_queue.borrow_mut().iter_mut() {
            if let OutboundFrame::Batch(shard_requests) = queued {
                shard_requests.retain(|shard_request| shard_request.id != *wire_id);
            }
        }
        self.write_ready.notify_one();
    }

    // ---- responses, cancelled shard requests, probes

    /// Holds a response until the bytes that follow it confirm that its length was right.
    pub fn hold_response(&self, response: UnconfirmedResponse) {
        self.unconfirmed_response.replace(Some(response));
    }

    /// Takes the unconfirmed response, if there is one.
    pub fn take_unconfirmed_response(&self) -> Option<UnconfirmedResponse> {
        self.unconfirmed_response.take()
    }

    /// Records a cancelled shard request that may still be answered. With more than `limit` of them the oldest is
    /// evicted, and the connection accepts no more work.
    pub fn record_cancelled(&self, wire_id: &Bytes, limit: usize) {
        if !self.wire_id_history.borrow_mut().add_cancelled(wire_id, limit) {
            self.close();
        }
    }

    /// Returns whether a response with this id may answer a cancelled shard request, and records it as answered.
    pub fn answer_cancelled(&self, wire_id: &Bytes, max_remembered: usize) -> bool {
        self.wire_id_history.borrow_mut().answer_cancelled(wire_id, max_remembered)
    }

    /// Returns whether any load probe has not been answered.
    pub fn has_pending_probes(&self) -> bool {
        self.pending_probes.get() > 0
    }

    /// Records that a load probe was queued.
    pub fn add_pending_probe(&self) {
        self.pending_probes.set(self.pending_probes.get() + 1);
    }

    /// Counts one pending probe as answered. Returns `false` if none was pending.
    pub fn take_pending_probe(&self) -> bool {
        let is_pending = self.has_pending_probes();
        self.pending_probes.set(self.pending_probes.get().saturating_sub(1));
        is_pending
    }

    /// Returns the number of pending probes, and resets it to 0.
    pub fn take_all_pending_probes(&self) -> usize {
        self.pending_probes.take()
    }
}

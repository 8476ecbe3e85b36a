//! The state of one connection to a node.

use super::attempt::AttemptId;
use super::cancelled_requests::CancelledRequests;
use super::connection_state::ConnectionState;
use crate::codec::OutboundFrame;
use bytes::Bytes;
use routing::{AttemptOutcome, NodeId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How much of an attempt's frame is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// Nothing: it can be cancelled without a trace, and is known not to be executed.
    Unwritten,
    /// Some bytes: the node can't execute it as long as the rest is not written.
    Partial,
    /// All bytes: the node may execute it.
    Complete,
}

/// A shard request that is queued or written on a connection, and not answered.
pub(super) struct InFlightRequest {
    /// The attempt that it belongs to.
    pub attempt: AttemptId,
    /// How much of it is written.
    pub progress: WriteProgress,
}

/// A response behind which more bytes have come that are not known to be a frame yet.
pub(super) struct UnconfirmedResponse {
    /// The attempt that it answers.
    pub attempt: AttemptId,
    /// How the attempt ended, by the node's word.
    pub outcome: AttemptOutcome,
    /// What the node read.
    pub value: Bytes,
}

/// The state of one connection to a node, from the first attempt to connect on. The pool and the connection's task
/// share it; neither holds a borrow of it across an `await`.
pub(super) struct NodeConnection {
    /// The node.
    pub node: NodeId,
    /// Where the node listens.
    pub address: SocketAddr,
    state: Cell<ConnectionState>,
    /// By the shard request's id on the wire.
    in_flight: RefCell<HashMap<Bytes, InFlightRequest>>,
    /// Frames of which nothing is written yet.
    write_queue: RefCell<VecDeque<OutboundFrame>>,
    /// The response that waits for what follows it.
    unconfirmed_response: RefCell<Option<UnconfirmedResponse>>,
    /// Cancelled shard requests to which a response may still come.
    cancelled_requests: RefCell<CancelledRequests>,
    /// Load probes without a reply.
    pending_probes: Cell<usize>,
    /// When bytes last came or a frame was last written completely.
    last_used_at: Cell<Instant>,
    /// It can't be established because this machine is short of something.
    lacks_local_resources: Cell<bool>,
    /// Since when the node owes the first byte in reply to what was written.
    awaiting_reply_since: Cell<Option<Instant>>,
    /// Notified when the writer may have something to do.
    pub write_ready: Notify,
    /// Notified when a frame that is partly written must not become complete.
    pub abort: Notify,
}

impl NodeConnection {
    /// A connection that is not established, with nothing on it.
    pub fn new(node: NodeId, address: SocketAddr) -> NodeConnection {
        NodeConnection {
            node,
            address,
            state: Cell::new(ConnectionState::Unused),
            in_flight: RefCell::default(),
            write_queue: RefCell::default(),
            unconfirmed_response: RefCell::default(),
            cancelled_requests: RefCell::default(),
            pending_probes: Cell::default(),
            last_used_at: Cell::new(Instant::now()),
            lacks_local_resources: Cell::default(),
            awaiting_reply_since: Cell::default(),
            write_ready: Notify::new(),
            abort: Notify::new(),
        }
    }

    // ---- state

    /// Whether it was established, and something was written on it.
    pub fn was_used(&self) -> bool {
        self.state.get().was_used()
    }

    /// Whether it accepts no more work.
    pub fn is_closing(&self) -> bool {
        self.state.get().is_closing()
    }

    /// Notes whether the last attempt to connect failed because this machine is short of something.
    pub fn set_lacks_local_resources(&self, lacks: bool) {
        self.lacks_local_resources.set(lacks);
    }

    /// How an attempt ends here of which nothing was written: it was not executed, and counts against the node only
    /// where this machine could have connected.
    pub fn unwritten_outcome(&self) -> AttemptOutcome {
        match self.lacks_local_resources.get() {
            true => AttemptOutcome::LocalResourceExhausted,
            false => AttemptOutcome::ConnectFailed,
        }
    }

    /// Whether nothing waits on it: no shard request, no probe, no frame.
    pub fn is_idle(&self) -> bool {
        !self.has_in_flight() && !self.has_pending_probes() && !self.has_queued_frames()
    }

    /// Whether the node has owed a reply for longer than `limit`.
    pub fn is_unresponsive(&self, limit: Duration) -> bool {
        self.awaiting_reply_since.get().is_some_and(|since| since.elapsed() > limit)
    }

    /// When bytes last came or a frame was last written completely.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at.get()
    }

    /// Restarts the idle time.
    pub fn mark_used_now(&self) {
        self.last_used_at.set(Instant::now());
    }

    /// Accepts no more work from now on.
    pub fn begin_closing(&self) {
        self.state.set(self.state.get().after_close());
    }

    /// The same, and lets the writer act on it.
    pub fn close(&self) {
        self.begin_closing();
        self.write_ready.notify_one();
    }

    /// Notes that a frame came: the node does not owe its first reply any more.
    pub fn note_received(&self) {
        self.mark_used_now();
        self.awaiting_reply_since.take();
    }

    // ---- what is in flight

    /// Whether a shard request is queued, or written and not answered.
    pub fn has_in_flight(&self) -> bool {
        !self.in_flight.borrow().is_empty()
    }

    /// The number of shard requests that are queued, or written and not answered.
    pub fn count_in_flight(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Whether this many more shard requests fit; a batch of any size fits on a connection with nothing in flight.
    pub fn has_room(&self, shard_requests: usize, limit: usize) -> bool {
        let in_flight = self.count_in_flight();
        in_flight == 0 || in_flight + shard_requests <= limit
    }

    /// The attempt that is in flight under this id.
    pub fn attempt_of(&self, wire_id: &Bytes) -> Option<AttemptId> {
        self.in_flight.borrow().get(wire_id).map(|request| request.attempt)
    }

    /// How much of the shard request with this id is written; `None`: it is not in flight.
    pub fn progress_of(&self, wire_id: &Bytes) -> Option<WriteProgress> {
        self.in_flight.borrow().get(wire_id).map(|request| request.progress)
    }

    /// Enters an attempt of which nothing is written. Returns what was in flight under its id.
    pub fn enter(&self, wire_id: Bytes, attempt: AttemptId) -> Option<InFlightRequest> {
        let request = InFlightRequest { attempt, progress: WriteProgress::Unwritten };
        self.in_flight.borrow_mut().insert(wire_id, request)
    }

    /// Removes a shard request from those in flight, and returns it.
    pub fn remove(&self, wire_id: &Bytes) -> Option<InFlightRequest> {
        self.in_flight.borrow_mut().remove(wire_id)
    }

    /// Removes all that is in flight, in the order of the attempts.
    pub fn remove_all(&self) -> Vec<InFlightRequest> {
        let mut requests: Vec<InFlightRequest> = self.in_flight.take().into_values().collect();
        requests.sort_by_key(|request| request.attempt);
        requests
    }

    /// Whether nothing of what is in flight is written, not even in part.
    pub fn is_all_unwritten(&self) -> bool {
        self.in_flight.borrow().values().all(|request| request.progress == WriteProgress::Unwritten)
    }

    /// Notes that the first bytes of a frame with these shard requests are written.
    pub fn note_partial_write(&self, wire_ids: &[Bytes]) {
        self.state.set(self.state.get().after_write());
        self.set_progress(wire_ids, WriteProgress::Partial);
    }

    /// Notes that a frame with these shard requests is written completely.
    pub fn note_complete_write(&self, wire_ids: &[Bytes]) {
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

    // ---- frames to write

    /// Whether a frame waits to be written.
    pub fn has_queued_frames(&self) -> bool {
        !self.write_queue.borrow().is_empty()
    }

    /// Queues a frame, and wakes the writer.
    pub fn enqueue(&self, frame: OutboundFrame) {
        self.write_queue.borrow_mut().push_back(frame);
        self.write_ready.notify_one();
    }

    /// Takes the next frame to write.
    pub fn dequeue(&self) -> Option<OutboundFrame> {
        self.write_queue.borrow_mut().pop_front()
    }

    /// Puts a frame back at the head of the queue: nothing of it could be written.
    pub fn requeue(&self, frame: OutboundFrame) {
        self.write_queue.borrow_mut().push_front(frame);
    }

    /// Takes all frames of which nothing is written.
    pub fn take_queue(&self) -> VecDeque<OutboundFrame> {
        self.write_queue.take()
    }

    /// Removes a shard request from the batches that wait to be written.
    pub fn remove_from_queue(&self, wire_id: &Bytes) {
        for queued in self.write_queue.borrow_mut().iter_mut() {
            if let OutboundFrame::Batch(shard_requests) = queued {
                shard_requests.retain(|shard_request| shard_request.id != *wire_id);
            }
        }
        self.write_ready.notify_one();
    }

    // ---- responses, cancelled shard requests, probes

    /// Keeps a response until what follows it shows that its length was right.
    pub fn hold_response(&self, response: UnconfirmedResponse) {
        self.unconfirmed_response.replace(Some(response));
    }

    /// Takes the response that is not confirmed yet.
    pub fn take_unconfirmed_response(&self) -> Option<UnconfirmedResponse> {
        self.unconfirmed_response.take()
    }

    /// Remembers a cancelled shard request, to which a response may still come; at most `limit` of them.
    pub fn note_cancelled(&self, wire_id: Bytes, limit: usize) {
        self.cancelled_requests.borrow_mut().add(wire_id, limit);
    }

    /// Whether a response to this shard request may be one to a cancelled one.
    pub fn take_cancelled(&self, wire_id: &Bytes) -> bool {
        self.cancelled_requests.borrow_mut().take(wire_id)
    }

    fn has_pending_probes(&self) -> bool {
        self.pending_probes.get() > 0
    }

    /// Notes that a load probe was sent.
    pub fn add_pending_probe(&self) {
        self.pending_probes.set(self.pending_probes.get() + 1);
    }

    /// Whether a probe waits for its reply; if so, this is its reply.
    pub fn take_pending_probe(&self) -> bool {
        let is_pending = self.has_pending_probes();
        self.pending_probes.set(self.pending_probes.get().saturating_sub(1));
        is_pending
    }

    /// The number of probes that wait for a reply; none waits after this.
    pub fn take_all_pending_probes(&self) -> usize {
        self.pending_probes.take()
    }
}

//! The events of a simulation and the queue that orders them by time.

use routing::{AttemptNumber, AttemptOutcome, ShardRequestId, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Identifies an attempt of one broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) broker: usize,
    pub(super) shard_request: ShardRequestId,
    pub(super) attempt: AttemptNumber,
}

/// An event of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The plan's entry at this index is due.
    PlanEntry(usize),
    /// The fault action at this index is due.
    FaultAction(usize),
    /// A turn of a broker is due.
    BrokerTurn(usize),
    /// An attempt reaches a node.
    AttemptArrives { key: AttemptKey, node: usize },
    /// A cancellation reaches the attempt's node.
    CancelArrives(AttemptKey),
    /// A job of a node may have completed.
    JobMayComplete(usize),
    /// An attempt's result reaches its broker.
    ResultArrives { key: AttemptKey, outcome: AttemptOutcome },
    /// An attempt's timeout expires.
    AttemptTimesOut(AttemptKey),
    /// Discovery publishes the state of a node.
    EndpointPublished { node: usize },
    /// A node's process pauses; the next pause is scheduled then.
    NodePauses(usize),
    /// The outage of a node that a query of death crashed ends.
    OutageEnds(usize),
    /// A client retries the request at this index.
    ClientRetries(usize),
    /// The client of the query at this index leaves.
    ClientLeaves(usize),
    /// A second of the run begins: its node states are recorded.
    SecondBegins,
}

/// A queued event. Events of the same time are processed in the order in which they were scheduled.
struct ScheduledEvent {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A priority queue of future events.
#[derive(Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}

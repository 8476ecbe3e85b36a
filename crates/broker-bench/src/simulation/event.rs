//! Events of a simulation, in the order of their times.

use routing::{AttemptNumber, AttemptOutcome, ShardRequestId, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An attempt of one broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) broker: usize,
    pub(super) shard_request: ShardRequestId,
    pub(super) attempt: AttemptNumber,
}

/// What happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// An entry of the plan, by its index.
    PlanEntry(usize),
    /// A scheduled fault begins or ends, by its index.
    FaultAction(usize),
    /// A broker takes its turn.
    BrokerTurn(usize),
    /// An attempt reaches a node.
    AttemptArrives { key: AttemptKey, node: usize },
    /// A cancellation reaches the attempt's node.
    CancelArrives(AttemptKey),
    /// A node may have finished a job.
    NodeFinishes(usize),
    /// An attempt's result reaches its broker.
    ResultArrives { key: AttemptKey, outcome: AttemptOutcome },
    /// An attempt's timeout is over.
    AttemptTimesOut(AttemptKey),
    /// Discovery publishes the state of a node.
    EndpointPublished { node: usize },
    /// A node's process pauses, and will again.
    NodePauses(usize),
    /// A node that a query stopped comes back.
    NodeRecovers(usize),
    /// A client sends its query again, by its request's index.
    ClientRetries(usize),
    /// A client gives up, by its query's index.
    ClientLeaves(usize),
    /// A second of the day is over.
    SecondEnds,
}

/// An event in the queue. Events of the same time happen in the order in which they were scheduled.
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

/// Events that are to happen.
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

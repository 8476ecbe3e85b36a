//! State of a node.

use super::attempt::ConnectionAfterIdle;
use crate::ids::{BatchId, ClassId, PlacementGroupId, ZoneId};
use crate::inputs::EndpointState;
use crate::time::{TimeSpan, Timestamp, WallClockTime};
use std::collections::{BTreeMap, VecDeque};

/// Batch that is in flight at a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    pub(crate) sent_at: Timestamp,
    pub(crate) in_flight: u32,
}

/// Batch of the current call of `Broker::turn`, to which more shard requests may be added.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenBatch {
    pub(crate) id: BatchId,
    pub(crate) shard_requests: u32,
}

/// Attempt that was sent to a node while the node was warming up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartAttempt {
    pub(crate) sent_at: Timestamp,
    pub(crate) class: ClassId,
}

/// Load report of a node. A metric that the node does not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    pub(crate) received_at: Timestamp,
    /// Whether the node answered the probe.
    pub(crate) is_valid: bool,
    /// Number of shard requests that are queued at the node.
    pub(crate) queue_length: Option<f64>,
    /// Number of shard requests that the node serves per second.
    pub(crate) service_rate: Option<f64>,
}

/// State of a node as known to this broker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Node {
    pub(crate) zone: ZoneId,
    pub(crate) placement_group: PlacementGroupId,
    pub(crate) state: EndpointState,
    /// Start time in the last endpoint list that stated one. It only distinguishes processes of the same node.
    pub(crate) listed_start: Option<WallClockTime>,
    /// Assumed start time of the node's process on this broker's clock, or `None` if the process started long
    /// ago.
    pub(crate) started_at: Option<Timestamp>,
    /// Time at which this broker learned of that start.
    pub(crate) start_known_at: Timestamp,
    /// Smoothed latency of the attempts at this node, or `None` before the first sample.
    pub(crate) latency: Option<TimeSpan>,
    pub(crate) latency_sampled_at: Timestamp,
    /// Time at which an attempt at this node last succeeded.
    pub(crate) last_success_at: Timestamp,
    /// Send time of the most recently sent attempt that has succeeded.
    pub(crate) newest_answered_sent_at: Timestamp,
    pub(crate) consecutive_failures: u32,
    pub(crate) failed_at: Timestamp,
    pub(crate) batches: BTreeMap<BatchId, Batch>,
    /// Send time of the outstanding probe, if there is one.
    pub(crate) probe_sent_at: Option<Timestamp>,
    /// Last load report, or `None` while a probe is outstanding.
    pub(crate) load: Option<LoadReport>,
    pub(crate) open_batch: Option<OpenBatch>,
    /// Connection of the open batch, if the batch is the first after an idle period.
    pub(crate) connection: Option<ConnectionAfterIdle>,
    pub(crate) slow_start_attempts: VecDeque<SlowStartAttempt>,
}

impl Node {
    /// Returns the classes of the attempts that were sent at or after `from` while the node was warming up.
    pub(crate) fn slow_start_sent_since(&self, from: Timestamp) -> impl Iterator<Item = ClassId> + '_ {
        let recent = self.slow_start_attempts.iter().rev().take_while(move |sent| sent.sent_at >= from);
        recent.map(|sent| sent.class)
    }

    /// Records the end of an attempt of `batch` and removes batches without attempts in flight.
    pub(crate) fn end_attempt_of(&mut self, batch: BatchId) {
        if let Some(batch) = self.batches.get_mut(&batch) {
            batch.in_flight -= 1;
        }
        self.batches.retain(|_, batch| batch.in_flight > 0);
    }

    /// Counts a failure. The number of consecutive failures saturates at `max_consecutive`.
    pub(crate) fn count_failure(&mut self, now: Timestamp, max_consecutive: u32) {
        self.consecutive_failures = (self.consecutive_failures + 1).min(max_consecutive);
        self.failed_at = now;
    }

    /// Records the success of an attempt that was sent at `sent_at`.
    pub(crate) fn record_success(&mut self, now: Timestamp, sent_at: Timestamp) {
        self.consecutive_failures = 0;
        self.last_success_at = now;
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent_at);
    }

    /// Adds a sample to the smoothed latency, in which it has the weight `newest_share`.
    pub(crate) fn record_latency(&mut self, now: Timestamp, latency: TimeSpan, newest_share: f64) {
        let smoothed = self.latency.unwrap_or(latency);
        self.latency = Some(smoothed + (latency - smoothed).mul_f64(newest_share));
        self.latency_sampled_at = now;
    }

    /// Returns the smoothed latency, decayed toward `average` with the time since the last sample. `span` is the
    /// time constant of the decay.
    pub(crate) fn decayed_latency(&self, now: Timestamp, average: TimeSpan, span: TimeSpan) -> TimeSpan {
        self.latency.map_or(average, |latency| {
            let age = (now - self.latency_sampled_at).ratio_to(span);
            average + (latency - average).mul_f64((-age).exp())
        })
    }

    /// Returns the time since the last success or since the oldest batch in flight was sent, whichever is shorter.
    /// Returns zero if nothing is in flight.
    pub(crate) fn unresponsive_for(&self, now: Timestamp) -> TimeSpan {
        let oldest = self.batches.values().next();
        oldest.map_or(TimeSpan::ZERO, |batch| now - batch.sent_at.max(self.last_success_at))
    }

    /// Assumes that the process of the node has failed and starts again, at `now` or later.
    pub(crate) fn assume_started(&mut self, now: Timestamp) {
        self.started_at = self.started_at.max(Some(now));
        self.start_known_at = now;
    }

    /// Resets the state that belongs to the previous process of the node.
    pub(crate) fn reset_process_state(&mut self) {
        self.latency = None;
        self.consecutive_failures = 0;
        self.load = None;
    }
}

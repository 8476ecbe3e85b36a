//! State of one node.

use super::attempt::ConnectionAfterIdle;
use crate::ids::{BatchId, ClassId, PlacementGroupId, ZoneId};
use crate::inputs::EndpointState;
use crate::time::{TimeSpan, Timestamp, WallClockTime};
use std::collections::{BTreeMap, VecDeque};

/// A batch that is in flight at a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    pub(crate) sent_at: Timestamp,
    pub(crate) in_flight: u32,
}

/// The batch of this turn, which more shard requests may join.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenBatch {
    pub(crate) id: BatchId,
    pub(crate) shard_requests: u32,
}

/// An attempt that went to a node while it was warming up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartAttempt {
    pub(crate) sent_at: Timestamp,
    pub(crate) class: ClassId,
}

/// A load report, as far as a node tells these figures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadReport {
    pub(crate) received_at: Timestamp,
    /// The probe was answered.
    pub(crate) is_valid: bool,
    /// Shard requests that wait at the node.
    pub(crate) queue_length: Option<f64>,
    /// Shard requests served a second.
    pub(crate) service_rate: Option<f64>,
}

/// What is known of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Node {
    pub(crate) zone: ZoneId,
    pub(crate) placement_group: PlacementGroupId,
    pub(crate) state: EndpointState,
    /// The start time that the endpoint list gave last: it tells one process from the next, and nothing else.
    pub(crate) listed_start: Option<WallClockTime>,
    /// When its process is taken to have started, by this broker's own clock; none: long ago.
    pub(crate) started_at: Option<Timestamp>,
    /// When this broker learned of that start.
    pub(crate) start_known_at: Timestamp,
    /// Smoothed latency of its attempts; none before the first.
    pub(crate) latency: Option<TimeSpan>,
    pub(crate) latency_sampled_at: Timestamp,
    /// When it last answered an attempt with success.
    pub(crate) last_success_at: Timestamp,
    /// When the newest attempt that it answered was sent.
    pub(crate) newest_answered_sent_at: Timestamp,
    pub(crate) consecutive_failures: u32,
    pub(crate) failed_at: Timestamp,
    pub(crate) batches: BTreeMap<BatchId, Batch>,
    /// When the probe was sent that it has not answered yet.
    pub(crate) probe_sent_at: Option<Timestamp>,
    /// Its last load report; none while a probe is out.
    pub(crate) load: Option<LoadReport>,
    pub(crate) open_batch: Option<OpenBatch>,
    /// The connection of the open batch, where that came after an idle period.
    pub(crate) connection: Option<ConnectionAfterIdle>,
    pub(crate) slow_start_attempts: VecDeque<SlowStartAttempt>,
}

impl Node {
    /// Classes of the attempts that went to it while it was warming up, from then on.
    pub(crate) fn slow_start_sent_since(&self, from: Timestamp) -> impl Iterator<Item = ClassId> + '_ {
        let recent = self.slow_start_attempts.iter().rev().take_while(move |sent| sent.sent_at >= from);
        recent.map(|sent| sent.class)
    }

    /// An attempt of this batch has come to its end.
    pub(crate) fn end_attempt_of(&mut self, batch: BatchId) {
        if let Some(batch) = self.batches.get_mut(&batch) {
            batch.in_flight -= 1;
        }
        self.batches.retain(|_, batch| batch.in_flight > 0);
    }

    /// Counts a failure, up to so many in a row.
    pub(crate) fn count_failure(&mut self, now: Timestamp, max_consecutive: u32) {
        self.consecutive_failures = (self.consecutive_failures + 1).min(max_consecutive);
        self.failed_at = now;
    }

    /// An attempt that was sent then has succeeded.
    pub(crate) fn record_success(&mut self, now: Timestamp, sent_at: Timestamp) {
        self.consecutive_failures = 0;
        self.last_success_at = now;
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent_at);
    }

    /// Smooths a latency in, the newest counting for this share.
    pub(crate) fn record_latency(&mut self, now: Timestamp, latency: TimeSpan, newest_share: f64) {
        let smoothed = self.latency.unwrap_or(latency);
        self.latency = Some(smoothed + (latency - smoothed).mul_f64(newest_share));
        self.latency_sampled_at = now;
    }

    /// Its smoothed latency, faded toward the average with the time since it was sampled.
    pub(crate) fn decayed_latency(&self, now: Timestamp, average: TimeSpan, span: TimeSpan) -> TimeSpan {
        self.latency.map_or(average, |latency| {
            let age = (now - self.latency_sampled_at).ratio_to(span);
            average + (latency - average).mul_f64((-age).exp())
        })
    }

    /// How long it has answered nothing since its oldest batch in flight was sent.
    pub(crate) fn unresponsive_for(&self, now: Timestamp) -> TimeSpan {
        let oldest = self.batches.values().next();
        oldest.map_or(TimeSpan::ZERO, |batch| now - batch.sent_at.max(self.last_success_at))
    }

    /// Its process looks as if it had gone down: takes it to start no sooner than now.
    pub(crate) fn assume_started(&mut self, now: Timestamp) {
        self.started_at = self.started_at.max(Some(now));
        self.start_known_at = now;
    }

    /// A new process has taken its place: nothing known of the old one holds.
    pub(crate) fn forget_process(&mut self) {
        self.latency = None;
        self.consecutive_failures = 0;
        self.load = None;
    }
}

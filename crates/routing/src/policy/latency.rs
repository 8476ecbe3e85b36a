//! Latency estimates: the expected latency of a node, derived from the measurements of the node, its zone and
//! all nodes.
//!
//! The replica choice, hedging and the feasibility check of a shard request all use the same estimate,
//! [`LatencyEstimator::of`]. A node's latency is an exponentially weighted moving average over its attempts;
//! failures are included with a penalty, see [`observed_latency`].

use crate::ids::ClassId;
use crate::state::{Node, NodeTable};
use crate::statistics::BaselineLatency;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The weight of a new sample in a node's smoothed latency.
pub(crate) const NEW_SAMPLE_WEIGHT: f64 = 0.25;

/// The time in which the deviation of a measurement from the average decays by a factor of e, so that a node
/// that was slow once is tried again.
const DECAY_TIME: TimeSpan = TimeSpan::from_secs(5);

/// The expected latency before any measurement, as a share of the shortest latency objective.
const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.125;

/// A zone is considered slow if its mean latency exceeds the average of all nodes by this ratio.
const SLOW_ZONE_RATIO: f64 = 1.5;

/// The number of additional nodes at the overall average that are included in a zone's mean, so that a single
/// slow node does not make its zone slow.
const ZONE_PRIOR_NODES: f64 = 4.0;

/// The number of successful attempts of a class that its running mean latency covers at most. The mean is not used
/// before that many were measured, as it varies too much at random.
const MIN_BASELINE_SAMPLES: f64 = 32.0;

/// Returns the mean latency of the measured ready nodes, or an initial guess if none has been measured yet;
/// it is never zero.
pub(crate) fn average_latency(measured: Option<TimeSpan>, shortest_objective: TimeSpan) -> TimeSpan {
    let initial = shortest_objective.mul_f64(INITIAL_SHARE_OF_OBJECTIVE);
    measured.unwrap_or(initial).max(TimeSpan(1))
}

/// An estimator of node latencies at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimator<'a> {
    pub(crate) nodes: &'a NodeTable,
    pub(crate) now: Timestamp,
    /// The average latency of all nodes, see [`average_latency`].
    pub(crate) average: TimeSpan,
}

impl LatencyEstimator<'_> {
    /// Returns the expected latency of a node: its smoothed latency, decayed toward the average of all nodes
    /// or, in a slow zone, toward the mean of the zone. A slow zone, or a slow network path to it, thus
    /// affects the estimates of all its nodes, including those that have not been measured. The estimate is
    /// at least the time for which the node has answered nothing while its oldest batch has been in flight.
    pub(crate) fn of(&self, node: &Node) -> TimeSpan {
        let zone = self.nodes.zone_mean_latency(node.zone, self.average, ZONE_PRIOR_NODES);
        let is_zone_slow = zone > self.average.mul_f64(SLOW_ZONE_RATIO);
        let usual = if is_zone_slow { zone } else { self.average };
        node.decayed_latency(self.now, usual, DECAY_TIME).max(node.unresponsive_for(self.now))
    }
}

/// Returns the latency with which an attempt is included in its node's average. A dead node fails quickly and
/// would otherwise appear to be the fastest of all; therefore a failure counts as at least the average
/// latency, doubled for each consecutive failure, up to the latency objective. The cost is that a node is
/// tried again late after an outage, because its average has to decay first.
pub(crate) fn observed_latency(
    duration: TimeSpan,
    is_failure: bool,
    consecutive_failures: u32,
    average: TimeSpan,
    latency_objective: TimeSpan,
) -> TimeSpan {
    if !is_failure {
        return duration;
    }
    let doublings = f64::from(1 << consecutive_failures);
    let penalty = average.mul_f64(doublings).min(latency_objective);
    duration.max(penalty)
}

/// The latency of each class's shard requests in the absence of load.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassBaselines(BTreeMap<ClassId, BaselineLatency>);

impl ClassBaselines {
    /// Records the duration of a successful attempt of this class.
    pub(crate) fn record(&mut self, class: ClassId, duration: TimeSpan) {
        self.0.entry(class).or_default().record(duration, MIN_BASELINE_SAMPLES);
    }

    /// Returns the baseline of a class in tenths of a millisecond, at least one. `unknown` is used while too
    /// few attempts have been measured.
    pub(crate) fn of(&self, class: ClassId, unknown: TimeSpan) -> f64 {
        let lowest = self.0.get(&class).and_then(|baseline| baseline.lowest_mean);
        lowest.unwrap_or(unknown).max(TimeSpan(1)).0 as f64
    }
}

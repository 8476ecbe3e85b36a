//! Latencies: what is expected of a node, from what was measured of it, of its zone and of all nodes.
//!
//! The replica choice, hedging and the reach of a shard request all read the same figure,
//! [`LatencyEstimate::of`]. A node's latency is an exponentially weighted moving average of its attempts;
//! failures enter it with a penalty, see [`observed_latency`].

use crate::ids::ClassId;
use crate::state::{Node, NodeTable};
use crate::statistics::BaselineLatency;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A new sample counts for this share of a node's smoothed latency.
pub(crate) const SAMPLE_SHARE: f64 = 0.25;

/// What was measured this long ago has faded by a factor of e toward the average, so that a node that was
/// slow once is tried again.
const FADE_SPAN: TimeSpan = TimeSpan::from_secs(5);

/// Before anything was measured, a shard request takes this share of the shortest latency objective.
const INITIAL_SHARE: f64 = 0.125;

/// A zone is slow where its mean latency passes the average of all nodes by this ratio.
const SLOW_ZONE_RATIO: f64 = 1.5;

/// A zone's mean counts this many nodes at the average of all beside its own, so that one slow node is no
/// slow zone.
const ZONE_PRIOR_NODES: f64 = 4.0;

/// This many latencies of a class make a mean that chance does not bend.
const BASELINE_SAMPLES: f64 = 32.0;

/// The mean latency of the ready nodes that were measured, or a guess before any was; never zero.
pub(crate) fn average_latency(measured: Option<TimeSpan>, shortest_objective: TimeSpan) -> TimeSpan {
    let initial = shortest_objective.mul_f64(INITIAL_SHARE);
    measured.unwrap_or(initial).max(TimeSpan(1))
}

/// Estimates latencies of nodes at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyEstimate<'a> {
    pub(crate) nodes: &'a NodeTable,
    pub(crate) now: Timestamp,
    /// See [`average_latency`].
    pub(crate) average: TimeSpan,
}

impl LatencyEstimate<'_> {
    /// The latency that is expected of a node: its smoothed latency, faded toward the average of all nodes
    /// or, in a slow zone, toward the zone's. A slow zone, or a slow way to it, thus shows at all of its
    /// nodes, also those that were not measured. The time since its oldest batch in flight was sent counts
    /// too, where nothing came in between.
    pub(crate) fn of(&self, node: &Node) -> TimeSpan {
        let zone = self.nodes.zone_mean_latency(node.zone, self.average, ZONE_PRIOR_NODES);
        let is_zone_slow = zone > self.average.mul_f64(SLOW_ZONE_RATIO);
        let usual = if is_zone_slow { zone } else { self.average };
        node.decayed_latency(self.now, usual, FADE_SPAN).max(node.unresponsive_for(self.now))
    }
}

/// The latency that an attempt enters its node's average with. A dead node fails quickly and would look like
/// the fastest of all: a failure counts as the average latency at least, doubled for each failure in a row,
/// up to the latency objective. The cost: after an outage a node is tried again late, as its average has to
/// fade first.
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

/// How long shard requests of each class take when nothing slows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassBaselines(BTreeMap<ClassId, BaselineLatency>);

impl ClassBaselines {
    /// An attempt of this class has succeeded.
    pub(crate) fn record(&mut self, class: ClassId, duration: TimeSpan) {
        self.0.entry(class).or_default().record(duration, BASELINE_SAMPLES);
    }

    /// A class's baseline in tenths of a millisecond, at least one; `unknown` where too few attempts were
    /// measured.
    pub(crate) fn of(&self, class: ClassId, unknown: TimeSpan) -> f64 {
        let lowest = self.0.get(&class).and_then(|baseline| baseline.lowest_mean);
        lowest.unwrap_or(unknown).max(TimeSpan(1)).0 as f64
    }
}

//! Load probes: where nodes report their load only when they are probed, replicas are asked before the first
//! shard requests of a query go out, and their reports are waited for a short while.
//!
//! A broker that has a query every few seconds has no latency that tells how a node is now. The cost is one
//! short wait for each query whose replicas have no recent report, and the probes.

use crate::inputs::{LoadMetric, ProbeResult};
use crate::state::{LoadReport, Node};
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// A report is recent for this share of the latency objective.
const MAX_AGE_SHARE: f64 = 0.02;

/// Reports are waited for this share of the latency objective at the most.
const MAX_WAIT_SHARE: f64 = 0.02;

/// A lower reported rate counts as this many shard requests a second.
const MIN_SERVICE_RATE_PER_S: f64 = 1.0;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Whether a replica is to be probed for a query with this latency objective: its last report is not recent,
/// and none is on the way. A probe that is not answered within the objective counts as lost.
pub(crate) fn needs_probe(node: &Node, now: Timestamp, latency_objective: TimeSpan) -> bool {
    let is_probed = node.probe_sent_at.is_some_and(|at| now - at <= latency_objective);
    let max_age = latency_objective.mul_f64(MAX_AGE_SHARE);
    !is_probed && node.load.is_none_or(|load| now - load.received_at > max_age)
}

/// How long reports are waited for.
pub(crate) fn max_wait(latency_objective: TimeSpan) -> TimeSpan {
    latency_objective.mul_f64(MAX_WAIT_SHARE)
}

/// Whether a query that probed its replicas then may still wait for their reports.
pub(crate) fn may_wait(probed_at: Option<Timestamp>, now: Timestamp, latency_objective: TimeSpan) -> bool {
    probed_at.is_some_and(|at| now - at < max_wait(latency_objective))
}

/// How long the queue of a node will take by its load report; zero where it reports no queue or no rate.
pub(crate) fn reported_wait(load: Option<LoadReport>) -> TimeSpan {
    let load = load.filter(|load| load.is_valid);
    let wait_s = load.and_then(|load| {
        let rate_per_s = load.service_rate?.max(MIN_SERVICE_RATE_PER_S);
        Some(load.queue_length? / rate_per_s)
    });
    TimeSpan::from_ms(wait_s.unwrap_or(0.0) * MS_PER_S)
}

/// Reads a probe's result; of each metric the first usable value counts.
pub(crate) fn read_report(now: Timestamp, result: &ProbeResult) -> LoadReport {
    let first = |metric: LoadMetric| {
        let is_usable = |value: f64| value.is_finite() && value >= 0.0;
        let mut values = result.report.iter().filter(|(reported, _)| *reported == metric);
        values.find(|(_, value)| is_usable(*value)).map(|(_, value)| *value)
    };
    LoadReport {
        received_at: now,
        is_valid: result.is_valid,
        queue_length: first(LoadMetric::QueueLength),
        service_rate: first(LoadMetric::ServiceRate),
    }
}

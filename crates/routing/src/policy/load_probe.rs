//! Load probes: if nodes report their load only when probed, the replicas of a query are probed before its
//! first shard requests are sent, and the query waits briefly for the reports.
//!
//! A broker that receives a query only every few seconds has no recent latency measurements that reflect the
//! current state of a node. The cost is the probes, and a short wait for each query whose replicas have no
//! recent report.

use crate::inputs::{LoadMetric, ProbeResult};
use crate::state::{LoadReport, Node};
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// How long a report counts as recent, as a share of the latency objective.
const MAX_AGE_SHARE_OF_OBJECTIVE: f64 = 0.02;

/// The maximum time that a query waits for reports, as a share of the latency objective.
const MAX_WAIT_SHARE_OF_OBJECTIVE: f64 = 0.02;

/// The lower bound on a reported service rate, in shard requests per second.
const MIN_SERVICE_RATE_PER_S: f64 = 1.0;

const MS_PER_S: f64 = 1000.0;

/// Returns whether a replica must be probed for a query with this latency objective: its last report is not
/// recent, and no probe is outstanding. A probe that is not answered within the objective counts as lost.
pub(crate) fn needs_probe(node: &Node, now: Timestamp, latency_objective: TimeSpan) -> bool {
    let is_probed = node.probe_sent_at.is_some_and(|at| now - at <= latency_objective);
    let max_age = latency_objective.mul_f64(MAX_AGE_SHARE_OF_OBJECTIVE);
    !is_probed && node.load.is_none_or(|load| now - load.received_at > max_age)
}

/// Returns the maximum time that a query waits for load reports.
pub(crate) fn max_wait(latency_objective: TimeSpan) -> TimeSpan {
    latency_objective.mul_f64(MAX_WAIT_SHARE_OF_OBJECTIVE)
}

/// Returns whether a query that probed its replicas at `probed_at` may still wait for their reports.
pub(crate) fn may_wait(probed_at: Option<Timestamp>, now: Timestamp, latency_objective: TimeSpan) -> bool {
    probed_at.is_some_and(|at| now - at < max_wait(latency_objective))
}

/// Returns the time that a node needs to work off its queue according to its load report; zero if the report
/// lacks the queue length or the rate, or is invalid.
pub(crate) fn reported_wait(load: Option<LoadReport>) -> TimeSpan {
    let load = load.filter(|load| load.is_valid);
    let wait_s = load.and_then(|load| {
        let rate_per_s = load.service_rate?.max(MIN_SERVICE_RATE_PER_S);
        Some(load.queue_length? / rate_per_s)
    });
    TimeSpan::from_ms(wait_s.unwrap_or(0.0) * MS_PER_S)
}

/// Converts the result of a probe into a load report; the first usable value of each metric is taken.
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

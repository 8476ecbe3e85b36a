//! Feasibility: determines whether any replica can answer a shard request in time.
//!
//! An infeasible shard request is sent last (`cutoff`) and counts against the admission of its query
//! (`admission`). A shard request is infeasible if no replica may receive it, or if even the best replica is
//! expected to answer after the latency objective.

use super::load_probe::reported_wait;
use crate::state::Node;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The factor by which a single shard request may take longer than the expected wait.
const LATENESS_RATIO: f64 = 1.5;

/// Returns the time that a replica is expected to take. An idle, healthy node counts as no wait at all,
/// however slow it has been, so that a slow pair of replicas is still used for what it can serve. If
/// `ignores_failures` is true, failures do not make a node unhealthy, see [`ignores_failures`].
pub(crate) fn expected_wait(
    node: &Node,
    latency: impl FnOnce() -> TimeSpan,
    ignores_failures: bool,
) -> TimeSpan {
    let is_healthy = node.consecutive_failures == 0 || ignores_failures;
    let reported_wait = reported_wait(node.load);
    if node.batches.is_empty() && is_healthy && reported_wait == TimeSpan::ZERO {
        return TimeSpan::ZERO;
    }
    latency() + reported_wait
}

/// Returns whether past failures alone do not make a node unhealthy. After an outage of all nodes, nothing is
/// in flight and every node has failed; if that made all shard requests infeasible, no attempt would ever
/// detect that the outage is over. If nodes are probed, the query has just probed them.
pub(crate) fn ignores_failures(was_probed: bool, attempts_in_flight: usize) -> bool {
    was_probed && attempts_in_flight == 0
}

/// Returns whether a shard request is infeasible. `shortest_wait` is the shortest expected wait of its
/// replicas, or `None` if no replica may receive the shard request.
pub(crate) fn is_infeasible(
    shortest_wait: Option<TimeSpan>,
    now: Timestamp,
    objective_at: Timestamp,
) -> bool {
    shortest_wait.is_none_or(|wait| now + wait.mul_f64(LATENESS_RATIO) > objective_at)
}

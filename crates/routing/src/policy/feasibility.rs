//! Reach: whether any replica can answer a shard request in time.
//!
//! A shard request out of reach is sent last (`cutoff`) and counts against the admission of its query
//! (`admission`). It is out of reach where no replica may receive it, or where even the best one is expected
//! to answer after the objective.

use super::load_probe::reported_wait;
use crate::state::Node;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// Single shard requests take up to this multiple of the expected wait.
const LATENESS_RATIO: f64 = 1.5;

/// How long a replica is expected to take. An idle, healthy node counts as no wait at all, however slow it
/// was: a slow pair of replicas is still used for what it can do. `ignores_failures`: failures do not make a
/// node unhealthy, see [`ignores_failures`].
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

/// Whether past failures alone keep no node from being asked. After an outage of all nodes nothing is in
/// flight, and every node has failed; if that put all shards out of reach, no attempt would ever find out
/// that the outage is over. Where nodes are probed, the query has asked them just now.
pub(crate) fn ignores_failures(was_probed: bool, attempts_in_flight: usize) -> bool {
    was_probed && attempts_in_flight == 0
}

/// Whether a shard request is out of reach. `shortest_wait` is the least of its replicas' expected waits;
/// none: no replica may receive it.
pub(crate) fn is_infeasible(
    shortest_wait: Option<TimeSpan>,
    now: Timestamp,
    objective_at: Timestamp,
) -> bool {
    shortest_wait.is_none_or(|wait| now + wait.mul_f64(LATENESS_RATIO) > objective_at)
}

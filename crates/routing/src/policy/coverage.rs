//! Coverage: determines how much of a query's weight a response must contain, and when a response is due.
//!
//! The weights of a query's shard requests add up to 1. A response must cover at least the class's minimum
//! coverage, and may be marked complete from the class's complete coverage on (rule 5). The functions of this
//! module are pure.

use super::query_times::first_phase_ends_at;
use crate::state::{Query, ShardRequestState};
use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// The maximum rounding error of a sum of weights, as a share of a query. Rule 5 tolerates twice this error.
pub(crate) const WEIGHT_ROUNDING: f64 = 0.00005;

/// Returns the weight that a response to this query must cover. In the second phase of a class without
/// partial responses, all shard requests are required, regardless of the coverage that the class requires in
/// the first phase.
fn required_weight(query: &Query) -> f64 {
    let needs_all = query.in_second_phase && !query.allows_partial();
    if needs_all { 1.0 } else { query.policy.min_coverage }
}

/// Returns whether `weight` reaches the coverage that a response to this query requires.
pub(crate) fn covers_minimum(query: &Query, weight: f64) -> bool {
    weight + WEIGHT_ROUNDING >= required_weight(query)
}

/// Returns whether the received shard requests suffice for a response.
pub(crate) fn has_min_coverage(query: &Query) -> bool {
    covers_minimum(query, query.weight_in(&[ShardRequestState::Received]))
}

/// Returns whether a response with the received shard requests is complete. In the second phase, it must
/// contain all of them, and the first phase must have been complete too.
pub(crate) fn is_complete(query: &Query) -> bool {
    if query.in_second_phase {
        let is_received = |state| state == ShardRequestState::Received;
        return query.first_phase_complete && query.shard_requests.iter().all(|s| is_received(s.state));
    }
    query.weight_in(&[ShardRequestState::Received]) + WEIGHT_ROUNDING >= query.policy.complete_coverage
}

/// Returns whether a response is due now: the minimum coverage has been received, and the remaining shard
/// requests have been received, have failed, or must not be waited for because a second phase follows.
pub(crate) fn is_response_due(query: &Query, now: Timestamp) -> bool {
    let phase_ends_at = first_phase_ends_at(query.times.objective_at, query.policy.latency_objective);
    let is_phase_over = query.has_next_phase() && now >= phase_ends_at;
    let has_ended = query.weight_in(&[ShardRequestState::Queued, ShardRequestState::InFlight]) == 0.0;
    has_min_coverage(query) && (is_complete(query) || has_ended || is_phase_over)
}

/// Returns whether the minimum coverage would be missed even if all queued and in-flight shard requests
/// succeeded.
pub(crate) fn cannot_cover_minimum(query: &Query) -> bool {
    use ShardRequestState::{InFlight, Queued, Received};
    !covers_minimum(query, query.weight_in(&[Queued, InFlight, Received]))
}

/// Returns whether sending the unsent shard requests can compensate for those that failed.
pub(crate) fn can_substitute(query: &Query) -> bool {
    use ShardRequestState::{InFlight, Queued, Received, Unsent};
    cannot_cover_minimum(query)
        && covers_minimum(query, query.weight_in(&[Unsent, Queued, InFlight, Received]))
}

/// Returns whether a query is kept open past its latency objective: a late response is worth more than a late
/// failure costs, and the received and in-flight shard requests suffice for one.
pub(crate) fn is_late_useful(query: &Query) -> bool {
    use ShardRequestState::{InFlight, Received};
    query.policy.late_weight_share > query.config.broker.late_failure_cost
        && covers_minimum(query, query.weight_in(&[InFlight, Received]))
}

//! Coverage: how much of a query's weight a response must hold, and when a query is settled.
//!
//! Weights of a query's shard requests add up to 1. A response must cover the class's minimum coverage, and
//! may call itself complete from the class's complete coverage on (rule 5). Every function answers and
//! changes nothing.

use super::query_times::first_phase_ends_at;
use crate::state::{Query, ShardRequestState};
use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// The most by which a sum of weights may be off through rounding, as a share of a query. Rule 5 tolerates
/// twice this.
pub(crate) const WEIGHT_ROUNDING: f64 = 0.00005;

/// The weight that a response to this query must cover. The second phase of a class without partial responses
/// needs all of its shard requests, whatever the class's figures say of the first phase.
fn required_weight(query: &Query) -> f64 {
    let needs_all = query.in_second_phase && !query.allows_partial();
    if needs_all { 1.0 } else { query.policy.min_coverage }
}

/// Whether this weight is enough for a response.
pub(crate) fn covers_minimum(query: &Query, weight: f64) -> bool {
    weight + WEIGHT_ROUNDING >= required_weight(query)
}

/// Whether what has been received is enough for a response.
pub(crate) fn has_min_coverage(query: &Query) -> bool {
    covers_minimum(query, query.weight_in(&[ShardRequestState::Received]))
}

/// Whether a response with what has been received is complete. One to a second phase must hold everything,
/// after a first phase that was complete.
pub(crate) fn is_complete(query: &Query) -> bool {
    if query.in_second_phase {
        let is_received = |state| state == ShardRequestState::Received;
        return query.first_phase_complete && query.shard_requests.iter().all(|s| is_received(s.state));
    }
    query.weight_in(&[ShardRequestState::Received]) + WEIGHT_ROUNDING >= query.policy.complete_coverage
}

/// Whether a response is due now: the minimum coverage is in, and the rest has come, has failed, or must not
/// be waited for any longer because a second phase is to follow.
pub(crate) fn is_settled(query: &Query, now: Timestamp) -> bool {
    let phase_ends_at = first_phase_ends_at(query.times.objective_at, query.policy.latency_objective);
    let is_phase_over = query.has_next_phase() && now >= phase_ends_at;
    let has_ended = query.weight_in(&[ShardRequestState::Queued, ShardRequestState::InFlight]) == 0.0;
    has_min_coverage(query) && (is_complete(query) || has_ended || is_phase_over)
}

/// Whether the minimum coverage is missed even if everything in flight or queued comes in.
pub(crate) fn is_unsatisfiable(query: &Query) -> bool {
    use ShardRequestState::{InFlight, Queued, Received};
    !covers_minimum(query, query.weight_in(&[Queued, InFlight, Received]))
}

/// Whether unsent shard requests can make up for those that failed.
pub(crate) fn can_substitute(query: &Query) -> bool {
    use ShardRequestState::{InFlight, Queued, Received, Unsent};
    is_unsatisfiable(query) && covers_minimum(query, query.weight_in(&[Unsent, Queued, InFlight, Received]))
}

/// Whether a query is kept open past its latency objective: a late response earns more than a late failure
/// costs, and what is received or in flight is enough for one.
pub(crate) fn is_late_useful(query: &Query) -> bool {
    use ShardRequestState::{InFlight, Received};
    query.policy.late_weight_share > query.config.broker.late_failure_cost
        && covers_minimum(query, query.weight_in(&[InFlight, Received]))
}

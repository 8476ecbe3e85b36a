//! How soon something that waits for nodes, capacity or budget is looked at again.

use crate::time::Tenths;

/// After this share of the latency objective.
const INTERVAL_SHARE: f64 = 0.05;

/// The time until the next look, never zero.
pub(crate) fn interval(latency_objective: Tenths) -> Tenths {
    latency_objective.times(INTERVAL_SHARE).max(Tenths(1))
}

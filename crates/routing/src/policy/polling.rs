//! How soon something that waits for nodes, capacity or budget is looked at again.

use crate::time::TimeSpan;

/// After this share of the latency objective.
const INTERVAL_SHARE: f64 = 0.05;

/// The time until the next look, never zero.
pub(crate) fn interval(latency_objective: TimeSpan) -> TimeSpan {
    latency_objective.mul_f64(INTERVAL_SHARE).max(TimeSpan(1))
}

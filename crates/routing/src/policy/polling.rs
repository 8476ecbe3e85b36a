//! The interval at which work that waits for nodes, capacity or retry budget is re-evaluated.

use crate::time::TimeSpan;

/// The polling interval as a share of the latency objective.
const INTERVAL_SHARE_OF_OBJECTIVE: f64 = 0.05;

/// Returns the time until the next evaluation, which is never zero.
pub(crate) fn interval(latency_objective: TimeSpan) -> TimeSpan {
    latency_objective.mul_f64(INTERVAL_SHARE_OF_OBJECTIVE).max(TimeSpan(1))
}

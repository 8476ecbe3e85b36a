//! Overload detection.
//!
//! Overload is evaluated once per step from two counts: attempts that nodes refused as overloaded or that timed
//! out, and queries that the broker rejected. The broker's cutoff uses the same signals, so that the controller
//! and the broker agree on what overload is. The result determines the mode, whose changes are logged.

/// The counts from which overload is detected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadInputs {
    /// The number of attempts that were refused as overloaded or timed out, in the last fifth of the window.
    pub lost_attempts: f64,
    /// The number of ended attempts that are indicative of load, in the last fifth of the window.
    pub ended_attempts: f64,
    /// The number of queries that the broker rejected within the window.
    pub rejected_queries: f64,
    /// The number of shard requests admitted within the window.
    pub admitted_shard_requests: f64,
}

/// Returns whether the ratio of lost to ended attempts, or of rejected queries to admitted shard requests, exceeds
/// `threshold` (0 to 1).
///
/// The denominator of each ratio is at least `1 / threshold`. Otherwise a single loss among few events would count as
/// overload, and after a period of low traffic a broker would limit its rate because of one time-out.
pub(crate) fn is_overloaded(inputs: &OverloadInputs, threshold: f64) -> bool {
    let min_events = 1.0 / threshold;
    let loss_ratio = inputs.lost_attempts / f64::max(inputs.ended_attempts, min_events);
    let rejection_ratio = inputs.rejected_queries / inputs.admitted_shard_requests.max(min_events);
    loss_ratio > threshold || rejection_ratio > threshold
}

#[cfg(test)]
mod tests;

//! Whether there is overload.
//!
//! Decided once a step, from two counts: attempts that nodes refused as overloaded or that timed out, and
//! queries that the broker itself rejected. Both are signals that the broker's own cutoff reads too, so
//! that the controller and the broker agree on what overload is. The result shows as the mode: a log line
//! when it changes.

/// What overload is judged by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadInputs {
    /// Attempts that ended as overloaded or timed out, over a fifth of the window.
    pub lost_attempts: f64,
    /// All attempts that ended and tell of load, over a fifth of the window.
    pub ended_attempts: f64,
    /// Queries that the broker rejected, over the window.
    pub rejected_queries: f64,
    /// Shard requests admitted, over the window.
    pub admitted_shard_requests: f64,
}

/// Whether the share of lost attempts, or the rejected queries for each admitted shard request, exceed
/// `level` (0 to 1).
///
/// Each share is taken of `1 / level` events at least. Otherwise a single loss among few events would be
/// overload: after a quiet spell a broker would limit its rate on one time-out.
pub(crate) fn is_overloaded(inputs: &OverloadInputs, level: f64) -> bool {
    let min_events = 1.0 / level;
    let loss_ratio = inputs.lost_attempts / f64::max(inputs.ended_attempts, min_events);
    let rejection_ratio = inputs.rejected_queries / inputs.admitted_shard_requests.max(min_events);
    loss_ratio > level || rejection_ratio > level
}

#[cfg(test)]
mod tests;

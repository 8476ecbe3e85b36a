//! Node health: determines which attempt outcomes count for or against a node, and how consecutive failures
//! are counted.
//!
//! Consecutive failures raise the expected latency of a node (`latency`), which can make shard requests
//! infeasible there for a while (`feasibility`). No other mechanism ejects a node.

use crate::inputs::AttemptOutcome;
use crate::state::Execution;
use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// The number at which the count of consecutive failures saturates.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 16;

/// Returns whether the end of an attempt reveals nothing about its node: the attempt was never sent; the
/// reused connection had been closed before; or the attempt was cancelled before the node's usual latency had
/// passed.
pub(crate) fn is_uninformative(
    execution: Execution,
    outcome: AttemptOutcome,
    on_reused_connection: bool,
    is_before_latency: bool,
) -> bool {
    let was_closed_before = outcome == AttemptOutcome::ConnectionLost && on_reused_connection;
    let was_cancelled_early = outcome == AttemptOutcome::Cancelled && is_before_latency;
    execution == Execution::Unsent || was_closed_before || was_cancelled_early
}

/// Returns whether a failure adds to the node's consecutive failures. Attempts that are in flight together
/// fail together and count once. `last_failure_at` is the time at which the last failure was counted.
pub(crate) fn is_new_failure(is_node_failure: bool, sent_at: Timestamp, last_failure_at: Timestamp) -> bool {
    is_node_failure && sent_at >= last_failure_at
}

//! Node health: which ends of attempts count for or against a node, and how failures in a row add up.
//!
//! Failures in a row raise the latency that a node is expected to have (`latency`) and put it out of reach
//! for a while (`feasibility`); nothing else ejects it.

use crate::inputs::AttemptOutcome;
use crate::state::Execution;
use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// Failures in a row that are told apart.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 16;

/// Whether an attempt's end tells nothing of its node: it was never sent; the connection that it used again
/// had been closed before; or it was cancelled before the node's usual latency was over.
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

/// Whether a failure is one more in a row. Attempts that were in flight together fail together: they count as
/// one. `last_failure_at` is when the last failure was counted.
pub(crate) fn is_new_failure(is_node_failure: bool, sent_at: Timestamp, last_failure_at: Timestamp) -> bool {
    is_node_failure && sent_at >= last_failure_at
}

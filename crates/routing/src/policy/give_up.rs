//! Giving up: determines how a query without a response ends.

use crate::config::RequestLimits;
use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The way in which a query without a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The query is rejected: the client may safely send it again.
    Reject,
    /// The query is failed: it may have been executed.
    Fail,
}

/// Returns how a query ends. A rejection promises that sending the query again is safe. This holds if its
/// class is idempotent, both as of when the query was accepted and now, or if no attempt was executed or can
/// still be executed. The second reason does not apply to a query in its second phase: the first phase, whose
/// attempts are no longer stored, was executed.
pub(crate) fn ending(is_idempotent: bool, was_never_executed: bool, in_second_phase: bool) -> Ending {
    let is_repeat_harmless = is_idempotent || was_never_executed && !in_second_phase;
    if is_repeat_harmless { Ending::Reject } else { Ending::Fail }
}

/// Returns the time after which a rejected client may retry, or zero if clients are not given one. Queries
/// that are in flight now have ended after the latency objective of the class.
pub(crate) fn retry_after(limits: &RequestLimits, latency_objective: TimeSpan) -> TimeSpan {
    if limits.send_retry_after { latency_objective.min(limits.max_retry_after) } else { TimeSpan::ZERO }
}

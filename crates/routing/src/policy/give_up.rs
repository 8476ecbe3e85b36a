//! Giving up: how a query ends that gets no response.

use crate::config::RequestLimits;
use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// How a query ends without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It is rejected: the client may send it again without a second effect.
    Reject,
    /// It is failed: it may have been executed.
    Fail,
}

/// How a query ends. A rejection promises that sending the query again is harmless. It is where its class is
/// idempotent, both as it was when the query was accepted and as it is now; and where no attempt was executed
/// or can still be. That second reason does not hold for a query in its second phase: the first phase, whose
/// attempts are forgotten by then, was executed.
pub(crate) fn ending(is_idempotent: bool, was_never_executed: bool, in_second_phase: bool) -> Ending {
    let is_repeat_harmless = is_idempotent || was_never_executed && !in_second_phase;
    if is_repeat_harmless { Ending::Reject } else { Ending::Fail }
}

/// The time after which a rejected client may come back; zero where clients are not told one. By the latency
/// objective of its class the queries that are in flight now have ended.
pub(crate) fn retry_after(limits: &RequestLimits, latency_objective: TimeSpan) -> TimeSpan {
    if limits.send_retry_after { latency_objective.min(limits.max_retry_after) } else { TimeSpan::ZERO }
}

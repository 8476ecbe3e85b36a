//! Hedging: decides whether an attempt is probably lost and is replaced by one at another node.
//!
//! Hedging guards against nodes that hang, are partitioned, or whose responses are lost in transit, so that
//! neither a response nor an error ever arrives. Without it, queries would end at their latency objective
//! with one shard request missing. An attempt is checked once it has been in flight for the hedge delay. It
//! is considered lost if its node has answered nothing for that long, or has answered an attempt that was
//! sent more than an average latency later. A node that keeps answering in order is only slow and keeps its
//! attempts. A lost attempt is replaced by one at a replica that is expected to be faster: as a hedge if the
//! configuration allows two attempts in flight, otherwise after the first attempt has been cancelled. The
//! cost is that some work is done twice.

use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The hedge delay as a multiple of the average latency.
const DELAY_RATIO_TO_LATENCY: f64 = 3.0;

/// The minimum hedge delay as a share of the latency objective.
const MIN_DELAY_SHARE_OF_OBJECTIVE: f64 = 0.2;

/// The maximum hedge delay as a share of the latency objective.
const MAX_DELAY_SHARE_OF_OBJECTIVE: f64 = 0.5;

/// Returns how long an attempt may go without a response before a replacement is considered.
pub(crate) fn hedge_delay(average_latency: TimeSpan, latency_objective: TimeSpan) -> TimeSpan {
    let min = latency_objective.mul_f64(MIN_DELAY_SHARE_OF_OBJECTIVE);
    let max = latency_objective.mul_f64(MAX_DELAY_SHARE_OF_OBJECTIVE);
    average_latency.mul_f64(DELAY_RATIO_TO_LATENCY).clamp(min, max)
}

/// The progress of the node that an attempt was sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeProgress {
    /// The send time of the most recently sent attempt that the node has answered.
    pub(crate) newest_answered_sent_at: Timestamp,
    pub(crate) last_success_at: Timestamp,
    /// The expected latency of the node, the same as for the replica choice.
    pub(crate) latency: TimeSpan,
}

/// An attempt in flight that is checked for replacement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptProgress {
    pub(crate) now: Timestamp,
    pub(crate) sent_at: Timestamp,
    /// `None` if the node has left the endpoint list.
    pub(crate) node: Option<NodeProgress>,
    /// The average latency over all nodes.
    pub(crate) average_latency: TimeSpan,
    pub(crate) hedge_delay: TimeSpan,
}

impl AttemptProgress {
    /// Returns whether the node has answered an attempt that was sent more than an average latency later.
    pub(crate) fn is_overtaken(&self) -> bool {
        let overtaken_after = self.sent_at + self.average_latency;
        self.node.is_some_and(|node| node.newest_answered_sent_at > overtaken_after)
    }

    /// Returns whether the node has answered nothing for at least the hedge delay.
    pub(crate) fn is_unresponsive(&self) -> bool {
        let unresponsive_since =
            self.node.map_or(self.sent_at, |node| node.last_success_at.max(self.sent_at));
        self.now - unresponsive_since >= self.hedge_delay
    }

    /// Returns the expected latency of the response, measured from when the attempt was sent.
    fn expected_latency(&self) -> TimeSpan {
        let latency = self.node.map_or(self.average_latency, |node| node.latency);
        latency.max(self.now - self.sent_at)
    }
}

/// The conditions other than the attempt's own progress under which an attempt is replaced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacementConditions {
    /// Whether the configuration allows two attempts of a shard request in flight.
    pub(crate) allow_hedging: bool,
    /// Whether the configuration allows cancelling an attempt in flight.
    pub(crate) allow_cancel: bool,
    /// Whether the attempt was sent on a connection that appears unresponsive.
    pub(crate) is_connection_unresponsive: bool,
    /// Whether the shard request has no other attempt in flight.
    pub(crate) is_only_attempt: bool,
    /// Whether another attempt is safe and within the attempt limit while this one is in flight.
    pub(crate) may_retry: bool,
    pub(crate) has_retry_budget: bool,
    /// The expected latency of the replica that would be tried instead; `None` if there is no such replica.
    pub(crate) alternative_latency: Option<TimeSpan>,
    /// The latest time at which a response can be sent and still meet the latency objective.
    pub(crate) objective_at: Timestamp,
}

/// Returns whether an attempt is replaced by one at another node now. Without hedging, the attempt is
/// cancelled first, which certainly discards its response; therefore this is done only if the attempt was
/// overtaken or its connection is unresponsive. The retry budget is checked before the cancellation, because
/// an attempt that is cancelled and not retried would be discarded for nothing.
pub(crate) fn should_replace(attempt: &AttemptProgress, conditions: ReplacementConditions) -> bool {
    let is_lost = (attempt.is_overtaken() || attempt.is_unresponsive()) && conditions.is_only_attempt;
    let may_cancel =
        conditions.allow_cancel && (attempt.is_overtaken() || conditions.is_connection_unresponsive);
    let can_replace = conditions.allow_hedging || may_cancel;
    let is_alternative_faster = conditions.alternative_latency.is_some_and(|latency| {
        latency < attempt.expected_latency() && attempt.now + latency < conditions.objective_at
    });
    is_lost && can_replace && conditions.may_retry && is_alternative_faster && conditions.has_retry_budget
}

//! Hedging: whether an attempt looks lost, and is replaced by one at another node.
//!
//! The failure: a node hangs, is cut off, or its response is lost on the way, so that no response ever comes
//! and nothing fails either. It shows as queries that end at their latency objective with one shard request
//! missing. An attempt is looked at once it has been in flight for the hedge delay. It looks lost if its node
//! has answered nothing for as long, or has answered one that was sent an average latency later; a node that
//! goes on answering in turn is only slow and keeps its attempts. Then a second attempt goes to a replica
//! that looks faster, as a hedge where the configuration allows two in flight, else after the first one was
//! cancelled. The cost is work that may be done twice.

use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The hedge delay, in average latencies.
const DELAY_LATENCIES: f64 = 3.0;

/// The least hedge delay, as a share of the latency objective.
const MIN_DELAY_SHARE: f64 = 0.2;

/// The greatest hedge delay, as a share of the latency objective.
const MAX_DELAY_SHARE: f64 = 0.5;

/// How long an attempt may be silent before another is considered.
pub(crate) fn hedge_delay(average_latency: TimeSpan, latency_objective: TimeSpan) -> TimeSpan {
    let min = latency_objective.mul_f64(MIN_DELAY_SHARE);
    let max = latency_objective.mul_f64(MAX_DELAY_SHARE);
    average_latency.mul_f64(DELAY_LATENCIES).clamp(min, max)
}

/// What is known of the node of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeProgress {
    /// When the newest attempt that it answered was sent.
    pub(crate) newest_answered_sent_at: Timestamp,
    pub(crate) last_success_at: Timestamp,
    /// Its latency as the replica choice reads it.
    pub(crate) latency: TimeSpan,
}

/// An attempt in flight that is looked at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptProgress {
    pub(crate) now: Timestamp,
    pub(crate) sent_at: Timestamp,
    /// None where the node is no longer known.
    pub(crate) node: Option<NodeProgress>,
    /// Over all nodes.
    pub(crate) average_latency: TimeSpan,
    pub(crate) hedge_delay: TimeSpan,
}

impl AttemptProgress {
    /// The node has answered an attempt that was sent later by an average latency.
    pub(crate) fn is_overtaken(&self) -> bool {
        let overtaken_after = self.sent_at + self.average_latency;
        self.node.is_some_and(|node| node.newest_answered_sent_at > overtaken_after)
    }

    /// The node has answered nothing for the hedge delay.
    pub(crate) fn is_unresponsive(&self) -> bool {
        let silent_since = self.node.map_or(self.sent_at, |node| node.last_success_at.max(self.sent_at));
        self.now - silent_since >= self.hedge_delay
    }

    /// How long the response is expected to take, counted from the sending.
    fn expected_latency(&self) -> TimeSpan {
        let latency = self.node.map_or(self.average_latency, |node| node.latency);
        latency.max(self.now - self.sent_at)
    }
}

/// What else decides whether an attempt is replaced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacementConditions {
    /// The configuration allows two attempts of a shard request in flight.
    pub(crate) allow_hedging: bool,
    /// The configuration allows to cancel an attempt in flight.
    pub(crate) allow_cancel: bool,
    /// The attempt went out on a connection that looks unresponsive.
    pub(crate) is_connection_unresponsive: bool,
    /// The shard request has no other attempt in flight.
    pub(crate) is_only_attempt: bool,
    /// Another attempt is harmless and within the limit of attempts, while this one is in flight.
    pub(crate) may_retry: bool,
    pub(crate) has_retry_budget: bool,
    /// The latency of the replica that would be tried instead; none where there is none.
    pub(crate) alternative_latency: Option<TimeSpan>,
    /// When a response has to leave to be on time.
    pub(crate) objective_at: Timestamp,
}

/// Whether an attempt is replaced by one at another node now. Without hedging an attempt is cancelled first,
/// which loses its response for certain: that is done only where it was overtaken or its connection is
/// unresponsive. The budget is asked before a cancellation, since an attempt that is cancelled and not made
/// again would be lost for nothing.
pub(crate) fn should_replace(attempt: &AttemptProgress, conditions: ReplacementConditions) -> bool {
    let is_lost = (attempt.is_overtaken() || attempt.is_unresponsive()) && conditions.is_only_attempt;
    let may_cancel =
        conditions.allow_cancel && (attempt.is_overtaken() || conditions.is_connection_unresponsive);
    let may_act = conditions.allow_hedging || may_cancel;
    let is_other_faster = conditions.alternative_latency.is_some_and(|latency| {
        latency < attempt.expected_latency() && attempt.now + latency < conditions.objective_at
    });
    is_lost && may_act && conditions.may_retry && is_other_faster && conditions.has_retry_budget
}

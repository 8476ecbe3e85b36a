//! Queries of death: queries that crash the nodes that execute them.
//!
//! If a client repeats such a query, each repetition and each retry crashes another node. The symptoms are
//! nodes that crash one after another without sharing a host, and the log event `QueryQuarantined`. A query
//! that has lost several nodes and received no response is not retried further. Once it is given up, the same
//! query is rejected for as long as its client may repeat it. The cost is that a query that merely was in
//! flight during the outage of a zone is held up too.

use crate::inputs::AttemptOutcome;
use crate::state::QuerySignature;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The number of lost nodes from which a query counts as a query of death.
const MIN_LOST_NODES: usize = 2;

/// Returns whether a query counts as a query of death, given the number of nodes lost with it and the weight
/// of its received shard requests.
pub(crate) fn is_query_of_death(lost_nodes: usize, received_weight: f64) -> bool {
    lost_nodes >= MIN_LOST_NODES && received_weight == 0.0
}

/// Returns whether the outcome of an attempt counts its node as lost with the query. A reused connection may
/// have been closed long before the attempt, so losing it reveals nothing about the query.
pub(crate) fn counts_as_lost_node(outcome: AttemptOutcome, on_reused_connection: bool) -> bool {
    outcome == AttemptOutcome::ConnectionLost && !on_reused_connection
}

/// The decision on sending a queued shard request of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// The shard request may be sent under the usual conditions.
    Send,
    /// The shard request waits for another one of its query that is in flight.
    Wait,
    /// The shard request is given up.
    GiveUp,
}

/// Decides whether a shard request may be sent. First attempts are never held back. Retries of a query of
/// death wait while another shard request is in flight, whose response would show that the query is harmless,
/// and are given up otherwise.
pub(crate) fn decide_retry(is_retry: bool, is_query_of_death: bool, in_flight_weight: f64) -> RetryDecision {
    match (is_retry && is_query_of_death, in_flight_weight == 0.0) {
        (false, _) => RetryDecision::Send,
        (true, false) => RetryDecision::Wait,
        (true, true) => RetryDecision::GiveUp,
    }
}

/// The queries that are currently rejected as queries of death.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quarantine(BTreeMap<QuerySignature, Timestamp>);

impl Quarantine {
    /// Rejects queries with this signature for as long as a client may repeat them, which is the deadline of
    /// their class.
    pub(crate) fn insert(&mut self, query: QuerySignature, now: Timestamp, deadline: TimeSpan) {
        self.0.insert(query, now + deadline);
    }

    /// Returns whether a query is rejected at `now`.
    pub(crate) fn contains(&self, query: &QuerySignature, now: Timestamp) -> bool {
        self.0.get(query).is_some_and(|until| *until > now)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes the queries whose quarantine has ended.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        self.0.retain(|_, until| *until > now);
    }
}

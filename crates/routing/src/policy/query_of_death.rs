//! Queries of death: queries that bring down the nodes that execute them.
//!
//! The failure: a client repeats such a query, and each repeat and each retry takes another node. It shows as
//! nodes that fall one after another without a host in common, and in the log as `QueryQuarantined`. A query
//! of which several nodes were lost and none answered is retried no further; once it is given up, the same
//! query is rejected for as long as its client may repeat it. The cost: a query that was merely caught in the
//! fall of a zone is held up too.

use crate::inputs::AttemptOutcome;
use crate::state::QuerySignature;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A query is one of death from this many lost nodes on.
const MIN_LOST_NODES: usize = 2;

/// Whether a query is one of death: it has lost this many nodes, and this weight of it was received.
pub(crate) fn is_query_of_death(lost_nodes: usize, received_weight: f64) -> bool {
    lost_nodes >= MIN_LOST_NODES && received_weight == 0.0
}

/// Whether an attempt's end counts its node as lost with the query. A connection that had been idle may have
/// been closed long before: losing it tells nothing of the query.
pub(crate) fn counts_as_lost_node(outcome: AttemptOutcome, on_reused_connection: bool) -> bool {
    outcome == AttemptOutcome::ConnectionLost && !on_reused_connection
}

/// What may still be done for a shard request of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// It is sent as any other.
    Send,
    /// It waits for another shard request of its query that is in flight.
    Wait,
    /// It is given up.
    GiveUp,
}

/// Whether a shard request is held back. First attempts never are; retries of a query of death wait for one
/// that is in flight as proof, and without one are given up.
pub(crate) fn decide_retry(is_retry: bool, is_query_of_death: bool, in_flight_weight: f64) -> RetryDecision {
    match (is_retry && is_query_of_death, in_flight_weight == 0.0) {
        (false, _) => RetryDecision::Send,
        (true, false) => RetryDecision::Wait,
        (true, true) => RetryDecision::GiveUp,
    }
}

/// Queries that are rejected for a while.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quarantine(BTreeMap<QuerySignature, Timestamp>);

impl Quarantine {
    /// Rejects queries like this one for as long as a client may repeat it, which is its class's deadline.
    pub(crate) fn insert(&mut self, query: QuerySignature, now: Timestamp, deadline: TimeSpan) {
        self.0.insert(query, now + deadline);
    }

    /// Whether a query is rejected now.
    pub(crate) fn contains(&self, query: &QuerySignature, now: Timestamp) -> bool {
        self.0.get(query).is_some_and(|until| *until > now)
    }

    /// Whether no query is quarantined.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops those whose time is over.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        self.0.retain(|_, until| *until > now);
    }
}

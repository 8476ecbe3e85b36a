//! Admission: decides whether a query exceeds the concurrency limit of this broker, or cannot reach its
//! minimum coverage.
//!
//! Admission prevents queues at nodes from outgrowing the latency objective, which would make every response
//! late; the symptoms are latencies near the objective at all nodes, and responses after it. A query that
//! exceeds the limit waits for a while (`admission_queue`) and is then rejected with a time to retry after.
//! The cost is that some queries are rejected that a fast replica would have served.

#[cfg(test)]
mod tests;

/// The demand of a query, and what is in flight when its turn begins. Shard requests that were queued earlier
/// in the same turn are not counted yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRequest {
    /// The number of attempts in flight, including hedges and attempts of ended queries.
    pub(crate) in_flight: usize,
    /// The number of shard requests that the minimum coverage of the query needs.
    pub(crate) needed: usize,
    /// The concurrency limit for the query, in shard requests.
    pub(crate) limit: f64,
    /// Whether too little weight remains for a response without the infeasible shard requests.
    pub(crate) is_query_infeasible: bool,
    /// Whether the replicas of the query were probed for their load.
    pub(crate) was_probed: bool,
}

impl AdmissionRequest {
    /// Returns whether the query must not be sent now. With nothing in flight, a query of any size is sent,
    /// because otherwise the limit could never grow again; only recent load reports of probed replicas can
    /// prevent that.
    pub(crate) fn exceeds_limit(&self) -> bool {
        let is_over = (self.in_flight + self.needed) as f64 > self.limit;
        let is_busy = self.in_flight > 0;
        is_busy && (is_over || self.is_query_infeasible) || self.is_query_infeasible && self.was_probed
    }
}

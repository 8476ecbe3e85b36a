//! Admission: whether a query exceeds what this broker may have in flight, or can't reach its minimum
//! coverage.
//!
//! The failure: queues at nodes outgrow the latency objective, and every response is late. It shows as
//! latencies near the objective at all nodes and responses after it. A query that exceeds the limit waits a
//! while (`admission_queue`), then is rejected with a time to retry after. The cost: what a lucky replica
//! would have served is not.

#[cfg(test)]
mod tests;

/// What a query asks for, beside what is in flight when its turn begins. What the same turn has queued before
/// it does not count yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRequest {
    /// Attempts in flight, hedges and those of ended queries included.
    pub(crate) in_flight: usize,
    /// Shard requests that the minimum coverage of the query needs.
    pub(crate) needed: usize,
    /// The concurrency limit for the query, in shard requests.
    pub(crate) limit: f64,
    /// What no replica can answer in time leaves too little for a response.
    pub(crate) misses_min_coverage: bool,
    /// The query's replicas were probed for their load.
    pub(crate) was_probed: bool,
}

impl AdmissionRequest {
    /// Whether the query is not to be sent now. With nothing in flight a query is always sent, however large,
    /// or the limit could never grow again; only what probed replicas said just now can hold it then.
    pub(crate) fn exceeds_limit(&self) -> bool {
        let is_over = (self.in_flight + self.needed) as f64 > self.limit;
        let is_busy = self.in_flight > 0;
        is_busy && (is_over || self.misses_min_coverage) || self.misses_min_coverage && self.was_probed
    }
}

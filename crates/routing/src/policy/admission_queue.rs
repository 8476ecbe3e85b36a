//! The admission queue: whether a query that exceeds the limit may wait for capacity.
//!
//! A burst is often over before it matters, so a query waits for a share of its latency objective. A long
//! queue only delays the rejection, so no more may wait than would fill the concurrency limit once more. The
//! cost: a query that is rejected in the end has waited in vain.

use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// A query waits for this share of its latency objective at the most.
const MAX_WAIT_SHARE: f64 = 0.2;

/// What is known when a query would wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueRequest {
    /// It waits already.
    pub(crate) is_queued: bool,
    pub(crate) shard_requests: usize,
    /// Queries that wait now.
    pub(crate) queue_length: usize,
    /// The concurrency limit, in shard requests.
    pub(crate) limit: f64,
    pub(crate) latency_objective: TimeSpan,
    /// The time left until a response has to leave to be on time.
    pub(crate) time_left: TimeSpan,
}

impl QueueRequest {
    /// Whether it may wait. All that wait are taken to be as wide as this query.
    pub(crate) fn may_wait(&self) -> bool {
        let queued = ((self.queue_length + 1) * self.shard_requests) as f64;
        let has_place = self.is_queued || queued <= self.limit;
        let min_time_left = self.latency_objective.mul_f64(1.0 - MAX_WAIT_SHARE);
        has_place && self.time_left > min_time_left
    }
}

//! The admission queue: decides whether a query that exceeds the concurrency limit may wait for capacity.
//!
//! Bursts are often short, so a query waits for up to a share of its latency objective. A long queue only
//! delays rejections, so the queue holds at most as many shard requests as the concurrency limit. The cost is
//! that a query that is eventually rejected has waited in vain.

use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The maximum time in the queue as a share of the latency objective.
const MAX_WAIT_SHARE_OF_OBJECTIVE: f64 = 0.2;

/// The inputs of the decision whether a query may wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueRequest {
    /// Whether the query is already in the queue.
    pub(crate) is_queued: bool,
    pub(crate) shard_requests: usize,
    /// The number of queries in the queue.
    pub(crate) queue_length: usize,
    /// The concurrency limit, in shard requests.
    pub(crate) limit: f64,
    pub(crate) latency_objective: TimeSpan,
    /// The time left until a response has to be sent to be on time.
    pub(crate) time_left: TimeSpan,
}

impl QueueRequest {
    /// Returns whether the query may wait. All queued queries are assumed to have as many shard requests as
    /// this one.
    pub(crate) fn may_wait(&self) -> bool {
        let queued = ((self.queue_length + 1) * self.shard_requests) as f64;
        let has_place = self.is_queued || queued <= self.limit;
        let min_time_left = self.latency_objective.mul_f64(1.0 - MAX_WAIT_SHARE_OF_OBJECTIVE);
        has_place && self.time_left > min_time_left
    }
}

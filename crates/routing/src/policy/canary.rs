//! Canary requests: while nodes fail, one shard request of a query is sent first, and the others are sent
//! after its response.
//!
//! A query that crashes every node that executes it (a query of death) takes down one node for each of its
//! shard requests at once; the symptom is many nodes that crash at the same time. With a canary request, only
//! one node is lost. The cost is that queries with several shard requests take one additional latency while
//! nodes fail for another reason.

use crate::statistics::LossRatio;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// Queries start with a canary request while the share of attempts whose node was down or went down exceeds
/// this value.
const MAX_FAILURE_RATE: f64 = 0.1;

/// The time constant of the decaying failure counts.
const SPAN: TimeSpan = TimeSpan::from_secs(5);

/// The minimum number of attempts that the failure rate is based on; fewer attempts count as this many.
const MIN_ATTEMPTS: f64 = 10.0;

/// The share of recent attempts whose node was down or went down.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeFailureRate(LossRatio);

impl NodeFailureRate {
    /// Records an attempt that has ended.
    pub(crate) fn record(&mut self, now: Timestamp, node_looks_down: bool) {
        self.0.count(now, SPAN, f64::from(u8::from(node_looks_down)), 1.0);
    }

    /// Returns whether a query starts with a canary request. `is_first_send` tells whether none of its shard
    /// requests has been sent yet.
    pub(crate) fn needs_canary(&self, now: Timestamp, is_first_send: bool, shard_requests: usize) -> bool {
        let failure_rate = self.0.share(now, SPAN, MIN_ATTEMPTS);
        is_first_send && shard_requests > 1 && failure_rate > MAX_FAILURE_RATE
    }
}

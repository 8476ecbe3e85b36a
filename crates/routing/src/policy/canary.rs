//! Canary requests: while nodes fail, one shard request of a query goes first and the others follow its
//! response.
//!
//! The failure: a query that brings down whatever node executes it (a query of death) takes a node for each
//! of its shard requests at once. It shows as many nodes that fall at the same moment. With a canary it takes
//! one. The cost: while nodes fail for another reason, queries with several shard requests take one latency
//! more.

use crate::statistics::LossRatio;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// Queries begin with a canary while more than this share of attempts find their node down or see it go down.
const MAX_FAILURE_RATE: f64 = 0.1;

/// The span over which failures are counted.
const SPAN: TimeSpan = TimeSpan::from_secs(5);

/// Fewer attempts than this count as this many.
const MIN_ATTEMPTS: f64 = 10.0;

/// The share of recent attempts that found their node down or saw it go down.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeFailureRate(LossRatio);

impl NodeFailureRate {
    /// An attempt has ended.
    pub(crate) fn record(&mut self, now: Timestamp, node_looks_down: bool) {
        self.0.count(now, SPAN, f64::from(u8::from(node_looks_down)), 1.0);
    }

    /// Whether a query sends a canary request. `is_first_send`: none of its shard requests was sent yet.
    pub(crate) fn needs_canary(&self, now: Timestamp, is_first_send: bool, shard_requests: usize) -> bool {
        let failure_rate = self.0.share(now, SPAN, MIN_ATTEMPTS);
        is_first_send && shard_requests > 1 && failure_rate > MAX_FAILURE_RATE
    }
}

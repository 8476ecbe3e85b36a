//! Slow start: limits the load on a node that is warming up (rule 4).
//!
//! The capacity share of a node that has just started grows linearly over the warm-up period, and the node
//! collapses if it is sent more than that within the overload window. The limit guards against many brokers,
//! each of which sees only its own traffic, together sending more than that; the symptom is nodes that start,
//! crash and start again. Every broker therefore keeps to its even share of the node's current capacity:
//!
//! 1. If the share is at least one shard request per window, the broker sends at most the share in any
//!    window.
//! 2. If it is smaller, brokers send probabilistically, so that the *sum* over all brokers stays within the
//!    node's capacity: the target is a mean of m shard requests per window, where m + [`DEVIATIONS`] × √m
//!    equals the capacity.
//!    - A broker that expects to send to the node at least once per window accumulates its share from when it
//!      learned of the start, beginning at a random offset (a token bucket with a random initial fill).
//!    - A broker that sends to the node rarely, and then many shard requests, makes a random draw for each of
//!      them.
//!
//! A node that fails repeatedly while it is warming up receives one attempt per window. The cost of slow
//! start is that warm replicas carry more load during the warm-up period.

use crate::config::SafetyRules;
use crate::ids::ShardRequestId;
use crate::state::Execution;
use crate::time::{TimeSpan, Timestamp, WallClockTime};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The number of standard deviations kept between the mean load and the node's capacity.
const DEVIATIONS: f64 = 3.0;

/// The number of consecutive failures from which a node that is warming up counts as failing.
const MIN_FAILURES: u32 = 2;

/// Returns whether a node is warming up. `started_at` is `None` if its process started long ago.
pub(crate) fn is_warming_up(started_at: Option<Timestamp>, now: Timestamp, warm_up_period: TimeSpan) -> bool {
    started_at.is_some_and(|at| now - at < warm_up_period)
}

/// Returns the assumed start time of a process that an endpoint list reports for the first time, with start
/// time `listed_start`.
///
/// The listed time comes from another machine's wall clock. Either clock may have been set forward or back,
/// and an age computed from them could make a cold node look warm. It is therefore used only in the first
/// list after this broker's own start, where nothing better is available. Afterwards, a process is assumed to
/// be no older than the time at which the broker first learned of it. The cost is that a node finishes
/// warming up later by the delay of the list.
pub(crate) fn presumed_start(
    now: Timestamp,
    has_earlier_list: bool,
    wall_clock: WallClockTime,
    listed_start: WallClockTime,
) -> Timestamp {
    if has_earlier_list {
        return now;
    }
    now - (wall_clock - listed_start).max(TimeSpan::ZERO)
}

/// Returns whether a node's process appears to have restarted before the endpoint list reports it: the node
/// refused a connection after another failure. A single lost connection is not sufficient, because connection
/// resets would otherwise put healthy nodes through slow start.
pub(crate) fn looks_restarted(looks_down: bool, execution: Execution, consecutive_failures: u32) -> bool {
    looks_down && execution == Execution::NotExecuted && consecutive_failures >= MIN_FAILURES
}

/// The times at which shard requests were recently queued, either for the first time or as a hedge.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentShardRequests {
    queued_at: VecDeque<Timestamp>,
}

/// The number of shard requests that were queued within a span.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestRate {
    /// The number of shard requests, at least one.
    pub(crate) shard_requests: f64,
    pub(crate) span: TimeSpan,
}

impl RecentShardRequests {
    /// Records a shard request that is queued now.
    pub(crate) fn record(&mut self, now: Timestamp) {
        self.queued_at.push_back(now);
    }

    /// Removes the shard requests that were queued before `from`.
    pub(crate) fn remove_before(&mut self, from: Timestamp) {
        while self.queued_at.pop_front_if(|at| *at < from).is_some() {}
    }

    /// Returns the recent rate of queued shard requests over a span of at least `min_span`.
    pub(crate) fn rate(&self, now: Timestamp, min_span: TimeSpan) -> RequestRate {
        let span = self.queued_at.front().map_or(TimeSpan::ZERO, |at| now - *at);
        RequestRate { shard_requests: self.queued_at.len().max(1) as f64, span: span.max(min_span) }
    }
}

/// A shard request that is considered for a node that is warming up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartRequest<'a> {
    pub(crate) now: Timestamp,
    pub(crate) rules: &'a SafetyRules,
    pub(crate) brokers: u32,
    pub(crate) started_at: Timestamp,
    /// The time at which this broker learned of the start.
    pub(crate) start_known_at: Timestamp,
    pub(crate) consecutive_failures: u32,
    /// How long a shard request of its class occupies a node, in tenths of a millisecond: the lowest mean
    /// latency of the class.
    pub(crate) cost: f64,
    pub(crate) shard_request: ShardRequestId,
    /// The recent rate of this broker's shard requests.
    pub(crate) demand: RequestRate,
    pub(crate) ready_nodes: usize,
    /// The seed of the random draws of this broker for this node.
    pub(crate) random_seed: u64,
}

impl SlowStartRequest<'_> {
    /// Returns whether the node may receive the shard request. `cost_since` returns the cost of the shard
    /// requests that this broker has sent to the node since a given time, in tenths of a millisecond.
    pub(crate) fn may_receive(&self, cost_since: impl Fn(Timestamp) -> f64) -> bool {
        let warm_up_progress = self.warm_up_progress();
        if warm_up_progress >= 1.0 {
            return true;
        }
        let capacity = self.capacity(warm_up_progress);
        let own_share = capacity / f64::from(self.brokers.max(1));
        let recent_cost = cost_since(self.now - self.rules.overload_window);
        let is_failing = self.consecutive_failures >= MIN_FAILURES;
        if is_failing && recent_cost > 0.0 {
            return false;
        }
        if own_share >= self.cost || self.brokers <= 1 {
            return recent_cost == 0.0 || recent_cost + self.cost <= own_share;
        }
        let mean = self.mean_requests(capacity);
        let expected = self.demand.shard_requests / self.ready_nodes.max(1) as f64;
        if expected < 1.0 {
            return self.is_sampled(mean, expected);
        }
        self.has_accumulated(mean, cost_since(self.start_known_at))
    }

    /// Returns the share of the warm-up period that has elapsed; the node is warm at 1 and above.
    fn warm_up_progress(&self) -> f64 {
        let age = (self.now - self.started_at).max(TimeSpan::ZERO);
        age.ratio_to(self.rules.warm_up_period)
    }

    /// Returns the work that the node can be sent within a window without collapsing, in tenths of a
    /// millisecond. The node is assumed to execute one shard request at a time.
    fn capacity(&self, warm_up_progress: f64) -> f64 {
        let initial = self.rules.initial_capacity_share;
        let capacity_share = initial + (1.0 - initial) * warm_up_progress;
        let work = self.rules.overload_window.mul_f64(self.rules.overload_factor * capacity_share);
        work.0.max(1) as f64
    }

    /// Returns this broker's even share, in shard requests per window, of the mean m for which m +
    /// `DEVIATIONS` × √m equals the node's capacity.
    fn mean_requests(&self, capacity: f64) -> f64 {
        let root = (DEVIATIONS * DEVIATIONS + 4.0 * capacity / self.cost).sqrt() - DEVIATIONS;
        root.powi(2) / 4.0 / f64::from(self.brokers.max(1))
    }

    /// Draws for this shard request independently. The probability is chosen so that of the `expected` shard
    /// requests that would go to the node in an even distribution, the allowed number is sent.
    fn is_sampled(&self, mean: f64, expected: f64) -> bool {
        let allowed = self.demand.span.ratio_to(self.rules.overload_window) * mean;
        self.random_fraction(self.shard_request.0) < allowed / expected
    }

    /// Returns whether the share accumulated since this broker learned of the start covers one more shard
    /// request.
    fn has_accumulated(&self, mean: f64, cost_since_start: f64) -> bool {
        let since_known = self.now - self.start_known_at;
        let initial_fill = self.random_fraction(self.start_known_at.0 as u64);
        let accumulated = since_known.ratio_to(self.rules.overload_window) * mean + initial_fill;
        accumulated - cost_since_start / self.cost >= 1.0
    }

    /// Returns a pseudo-random number from 0 up to, but not including, 1. It depends only on `random_seed` and
    /// `subject`.
    fn random_fraction(&self, subject: u64) -> f64 {
        fastrand::Rng::with_seed(self.random_seed ^ subject).f64()
    }
}

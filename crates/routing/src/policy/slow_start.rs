//! Slow start: what a node that warms up may receive (rule 4).
//!
//! A node that has just started bears a share of its capacity that grows linearly over the warm-up period,
//! and collapses when it is sent more than that in the overload window. The failure: many brokers, each of
//! which sees only its own traffic, together send it more. It shows as nodes that start, fall and start
//! again. Every broker therefore keeps to its even share of what the node bears:
//!
//! 1. Where the share is one shard request or more in each window, the broker sends that much in any window.
//! 2. Where it is less, brokers send by chance, so that the *sum* over all brokers stays within what the node
//!    bears: m shard requests a window are meant, with m + [`DEVIATIONS`] × √m what the node bears.
//!    - A broker that meets the node within a window accumulates its share from when it learned of the start,
//!      beginning at a random point (a token bucket with a random first fill).
//!    - A broker that meets it rarely, and then with many shard requests, draws for each of them.
//!
//! A node that fails again and again while it warms up gets one attempt in a window. The cost: replicas that
//! are warm carry more for the warm-up period.

use crate::config::SafetyRules;
use crate::ids::ShardRequestId;
use crate::state::Execution;
use crate::time::{TimeSpan, Timestamp, WallClockTime};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Standard deviations by which chance may pass what is meant.
const DEVIATIONS: f64 = 3.0;

/// Failures in a row from which a node that warms up counts as failing.
const MIN_FAILURES: u32 = 2;

/// Whether a node is warming up; `started_at` is none where its process started long ago.
pub(crate) fn is_warming_up(started_at: Option<Timestamp>, now: Timestamp, warm_up_period: TimeSpan) -> bool {
    started_at.is_some_and(|at| now - at < warm_up_period)
}

/// When a process is taken to have started, of which an endpoint list tells for the first time that it
/// started at `listed_start`.
///
/// That time is from another machine's wall clock, and either clock may have been set forward or back; an age
/// read from them could make a cold node look warm. It is believed only where nothing better can be known, in
/// the first list after this broker's own start. From then on no process is older than the moment at which it
/// was first heard of. The cost: a node warms up later by as much as the list was late.
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

/// Whether a node's process looks as if it had just been started again, before the endpoint list says so: it
/// refused a connection after another failure. One lost connection alone is not enough, or connection resets
/// would put healthy nodes through slow start.
pub(crate) fn looks_restarted(looks_down: bool, execution: Execution, consecutive_failures: u32) -> bool {
    looks_down && execution == Execution::NotExecuted && consecutive_failures >= MIN_FAILURES
}

/// When shard requests were queued of late, for the first time or as a hedge.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentShardRequests {
    requested_at: VecDeque<Timestamp>,
}

/// How many shard requests were queued within a span.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestRate {
    /// At least one.
    pub(crate) shard_requests: f64,
    pub(crate) span: TimeSpan,
}

impl RecentShardRequests {
    /// A shard request is queued.
    pub(crate) fn record(&mut self, now: Timestamp) {
        self.requested_at.push_back(now);
    }

    /// Drops what was queued before.
    pub(crate) fn remove_before(&mut self, from: Timestamp) {
        while self.requested_at.pop_front_if(|at| *at < from).is_some() {}
    }

    /// What was queued of late, over a span of `min_span` at the least.
    pub(crate) fn rate(&self, now: Timestamp, min_span: TimeSpan) -> RequestRate {
        let span = self.requested_at.front().map_or(TimeSpan::ZERO, |at| now - *at);
        RequestRate { shard_requests: self.requested_at.len().max(1) as f64, span: span.max(min_span) }
    }
}

/// A shard request that a node which warms up may get.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartRequest<'a> {
    pub(crate) now: Timestamp,
    pub(crate) rules: &'a SafetyRules,
    /// How many brokers serve together.
    pub(crate) brokers: u32,
    pub(crate) started_at: Timestamp,
    /// When this broker learned of the start.
    pub(crate) start_known_at: Timestamp,
    pub(crate) consecutive_failures: u32,
    /// How long a shard request of its class keeps a node busy, in tenths of a millisecond: the class's
    /// lowest mean.
    pub(crate) cost: f64,
    pub(crate) shard_request: ShardRequestId,
    /// What this broker's shard requests were of late.
    pub(crate) demand: RequestRate,
    pub(crate) ready_nodes: usize,
    /// Seeds the chance of this broker at this node.
    pub(crate) random_seed: u64,
}

impl SlowStartRequest<'_> {
    /// Whether the node may receive it. `cost_since` gives the cost of what this broker sent to the node from
    /// a moment on, in tenths of a millisecond.
    pub(crate) fn may_receive(&self, cost_since: impl Fn(Timestamp) -> f64) -> bool {
        let warmth = self.warmth();
        if warmth >= 1.0 {
            return true;
        }
        let capacity = self.capacity(warmth);
        let own_share = capacity / f64::from(self.brokers.max(1));
        let sent_lately = cost_since(self.now - self.rules.overload_window);
        let is_failing = self.consecutive_failures >= MIN_FAILURES;
        if is_failing && sent_lately > 0.0 {
            return false;
        }
        if own_share >= self.cost || self.brokers <= 1 {
            return sent_lately == 0.0 || sent_lately + self.cost <= own_share;
        }
        let steady = self.steady_requests(capacity);
        let expected = self.demand.shard_requests / self.ready_nodes.max(1) as f64;
        if expected < 1.0 {
            return self.is_drawn(steady, expected);
        }
        self.has_earned(steady, cost_since(self.start_known_at))
    }

    /// How far the node has warmed up, from 0; 1 and above: it is warm.
    fn warmth(&self) -> f64 {
        let age = (self.now - self.started_at).max(TimeSpan::ZERO);
        age.ratio_to(self.rules.warm_up_period)
    }

    /// What a node that does one shard request at a time bears in a window, in tenths of a millisecond of
    /// work.
    fn capacity(&self, warmth: f64) -> f64 {
        let initial = self.rules.initial_capacity_share;
        let capacity_share = initial + (1.0 - initial) * warmth;
        let work = self.rules.overload_window.mul_f64(self.rules.overload_factor * capacity_share);
        work.0.max(1) as f64
    }

    /// This broker's even share, in shard requests a window, of the mean m for which m + `DEVIATIONS` × √m is
    /// what the node bears.
    fn steady_requests(&self, capacity: f64) -> f64 {
        let root = (DEVIATIONS * DEVIATIONS + 4.0 * capacity / self.cost).sqrt() - DEVIATIONS;
        root.powi(2) / 4.0 / f64::from(self.brokers.max(1))
    }

    /// Draws for this shard request alone: it is sent with such a probability that of the `expected` ones
    /// that would go to the node by even shares, as many do as it may have.
    fn is_drawn(&self, steady: f64, expected: f64) -> bool {
        let allowed = self.demand.span.ratio_to(self.rules.overload_window) * steady;
        self.draw(self.shard_request.0) < allowed / expected
    }

    /// Whether what has accumulated since the start was heard of covers one more shard request.
    fn has_earned(&self, steady: f64, cost_since_start: f64) -> bool {
        let since_known = self.now - self.start_known_at;
        let first_fill = self.draw(self.start_known_at.0 as u64);
        let earned = since_known.ratio_to(self.rules.overload_window) * steady + first_fill;
        earned - cost_since_start / self.cost >= 1.0
    }

    /// A number from 0 to 1, the same each time for the same subject.
    fn draw(&self, subject: u64) -> f64 {
        fastrand::Rng::with_seed(self.random_seed ^ subject).f64()
    }
}

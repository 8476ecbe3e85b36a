//! The concurrency limit: the number of shard requests that this broker may have in flight.
//!
//! The limit adapts by Little's law, like other adaptive concurrency limits: if an attempt took t with n in
//! flight, about n × T / t can be in flight at the target latency T. The target is a share of the latency
//! objective. The limit grows only while it is used; otherwise a period of low traffic would raise it without
//! any evidence. Its inputs are ended attempts. The symptom of a low limit is rejected queries at a broker
//! whose nodes answer late.
//!
//! Under overload, capacity is assigned where it is worth most: every query may use a common share of the
//! limit, and more in proportion to the yield of its class.

use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The target latency as a share of the latency objective.
const TARGET_LATENCY_SHARE_OF_OBJECTIVE: f64 = 0.25;

/// The maximum ratio by which the limit grows in the time in which as many attempts end as it allows in
/// flight.
const MAX_GROWTH: f64 = 1.5;

/// The share of the limit that every query may use.
const COMMON_SHARE_OF_LIMIT: f64 = 0.5;

/// The initial limit as a share of the configured bound on what may be open.
const INITIAL_SHARE_OF_MAX_OPEN: f64 = 0.5;

/// The share of the limit that must be in flight for the limit to count as used, so that it may grow.
const MIN_USED_SHARE_OF_LIMIT: f64 = 0.5;

/// The lower bound on the limit in the computation of a step, so that single attempts do not change a small
/// limit too much.
const MIN_STEP_BASE: f64 = 10.0;

/// The minimum limit: one shard request may always be sent.
const MIN_LIMIT: f64 = 1.0;

/// A sample of the limit, taken from an ended attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSample {
    /// The latency objective of the attempt's class.
    pub(crate) latency_objective: TimeSpan,
    pub(crate) duration: TimeSpan,
    /// The number of shard requests in flight after the turn in which the attempt was sent.
    pub(crate) in_flight_at_send: f64,
    /// Whether that number used the limit at that time, see [`ConcurrencyLimit::is_used_by`].
    pub(crate) limit_was_used: bool,
}

/// The adaptive concurrency limit, in shard requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConcurrencyLimit(f64);

impl ConcurrencyLimit {
    /// Returns the limit of a broker that has just started.
    pub(crate) fn initial(max_open: u32) -> ConcurrencyLimit {
        ConcurrencyLimit(f64::from(max_open) * INITIAL_SHARE_OF_MAX_OPEN)
    }

    /// Returns the limit as a number of shard requests.
    pub(crate) fn shard_requests(self) -> f64 {
        self.0
    }

    /// Returns the maximum limit for the configured bound on open queries and shard requests.
    fn max(max_open: u32) -> f64 {
        f64::from(max_open.max(1))
    }

    /// Lowers the limit to the bound of a new configuration immediately; a higher bound is approached by use
    /// only.
    pub(crate) fn lower_to(&mut self, max_open: u32) {
        self.0 = self.0.min(ConcurrencyLimit::max(max_open));
    }

    /// Adapts the limit to an ended attempt.
    pub(crate) fn adapt(&mut self, sample: LimitSample, max_open: u32) {
        let target = sample.latency_objective.mul_f64(TARGET_LATENCY_SHARE_OF_OBJECTIVE);
        let ratio = target.ratio_to(sample.duration).min(MAX_GROWTH);
        let is_too_slow = ratio < 1.0;
        if !is_too_slow && !sample.limit_was_used {
            return;
        }
        let reference = if is_too_slow { sample.in_flight_at_send.min(self.0) } else { self.0 };
        let step = (reference * ratio - self.0) / self.0.max(MIN_STEP_BASE);
        self.0 = (self.0 + step).clamp(MIN_LIMIT, ConcurrencyLimit::max(max_open));
    }

    /// Returns whether `in_flight` shard requests use enough of the limit to justify growth.
    pub(crate) fn is_used_by(self, in_flight: f64) -> bool {
        in_flight >= self.0 * MIN_USED_SHARE_OF_LIMIT
    }

    /// Returns the limit for a query whose class yields `own_yield` priority weight per shard request,
    /// relative to the best yield of any class. `quota_share` is 1 for tenants within their quota, and less
    /// beyond it.
    pub(crate) fn for_yield(self, quota_share: f64, own_yield: f64, best_yield: f64) -> f64 {
        let share =
            COMMON_SHARE_OF_LIMIT + (1.0 - COMMON_SHARE_OF_LIMIT) * quota_share * own_yield / best_yield;
        self.0 * share
    }
}

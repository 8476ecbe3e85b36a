//! The concurrency limit: how many shard requests this broker may have in flight.
//!
//! It adapts by Little's law, as concurrency limiters do: with n in flight an attempt took t, so at the
//! target latency T about n × T / t may be. The target is a share of the latency objective. The limit grows
//! only where it is used, else a quiet hour would lift it beyond any meaning. Inputs are attempts that ended;
//! it shows as rejected queries at a broker whose nodes answer late.
//!
//! Under overload capacity goes where it is worth most: every query may use a common share of the limit, and
//! more in proportion to what its class yields for each shard request.

use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The limit aims at this share of the latency objective.
const TARGET_LATENCY_SHARE: f64 = 0.25;

/// The limit grows by at most this ratio while as many attempts end as it allows in flight.
const MAX_GROWTH: f64 = 1.5;

/// Every query may use this share of the limit.
const COMMON_SHARE: f64 = 0.5;

/// The limit at the start, as a share of what may be open.
const INITIAL_SHARE: f64 = 0.5;

/// The limit counts as used, so that it may grow, from this share of it in flight on.
const USED_SHARE: f64 = 0.5;

/// A limit smaller than this adapts in steps as if it were this large, so that single attempts do not swing
/// it.
const MIN_STEP_BASE: f64 = 10.0;

/// The least limit: one shard request may always be sent.
const MIN_LIMIT: f64 = 1.0;

/// An attempt that has ended, as the limit reads it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSample {
    /// The latency objective of its class.
    pub(crate) latency_objective: TimeSpan,
    pub(crate) duration: TimeSpan,
    /// Shard requests in flight after the turn in which it was sent.
    pub(crate) in_flight_at_send: f64,
    /// These used much of the limit of that moment, see [`ConcurrencyLimit::is_used_by`].
    pub(crate) limit_was_used: bool,
}

/// The limit, in shard requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConcurrencyLimit(f64);

impl ConcurrencyLimit {
    /// The limit at the start.
    pub(crate) fn initial(max_open: u32) -> ConcurrencyLimit {
        ConcurrencyLimit(f64::from(max_open) * INITIAL_SHARE)
    }

    /// The limit in shard requests.
    pub(crate) fn shard_requests(self) -> f64 {
        self.0
    }

    /// The most that the limit may become, by the configured bound on open queries and shard requests.
    fn max(max_open: u32) -> f64 {
        f64::from(max_open.max(1))
    }

    /// Takes over a configuration's bound at once; from there the limit grows by use.
    pub(crate) fn lower_to(&mut self, max_open: u32) {
        self.0 = self.0.min(ConcurrencyLimit::max(max_open));
    }

    /// Adapts to an attempt that has ended.
    pub(crate) fn adapt(&mut self, sample: LimitSample, max_open: u32) {
        let target = sample.latency_objective.mul_f64(TARGET_LATENCY_SHARE);
        let ratio = target.ratio_to(sample.duration).min(MAX_GROWTH);
        let is_too_slow = ratio < 1.0;
        if !is_too_slow && !sample.limit_was_used {
            return;
        }
        let reference = if is_too_slow { sample.in_flight_at_send.min(self.0) } else { self.0 };
        let step = (reference * ratio - self.0) / self.0.max(MIN_STEP_BASE);
        self.0 = (self.0 + step).clamp(MIN_LIMIT, ConcurrencyLimit::max(max_open));
    }

    /// Whether this many shard requests in flight use enough of the limit to tell that it could grow.
    pub(crate) fn is_used_by(self, in_flight: f64) -> bool {
        in_flight >= self.0 * USED_SHARE
    }

    /// The limit for a query that yields `own_yield` priority weight for each shard request, beside the best
    /// of any class. `quota_share` is 1 for tenants within their quota, and less beyond it.
    pub(crate) fn for_yield(self, quota_share: f64, own_yield: f64, best_yield: f64) -> f64 {
        let share = COMMON_SHARE + (1.0 - COMMON_SHARE) * quota_share * own_yield / best_yield;
        self.0 * share
    }
}

//! The rate of shard requests that is admitted in overloaded mode. It is increased and decreased
//! multiplicatively, and increased more slowly above the rate at which losses last occurred, as TCP congestion
//! control does above the slow-start threshold (Jacobson, 'Congestion Avoidance and Control', 1988).
//!
//! The rate is reported by the log line of `LogEvent::AdmissionOverloaded` and by
//! [`AdmissionController::rate`](crate::AdmissionController::rate).

use crate::window::{STEPS_PER_WINDOW, seconds};
use routing::{TimeSpan, Timestamp};

/// The time after a decrease in which losses are attributed to the previous rate, as a fraction of the window. An
/// attempt that waits in a long queue times out only after a delay.
const DECREASE_HOLD_WINDOW_RATIO: f64 = 0.5;

/// Returns the minimum rate, in shard requests per second. At this rate, a single loss in a window makes up
/// `threshold` (a fraction, 0 to 1) of the admitted shard requests.
///
/// Without a minimum, a rate that is decreased in every step approaches zero. No shard request is admitted then, so
/// none can succeed, and losses never fall below the threshold again. The drawback is that overloaded nodes receive
/// this rate for as long as the overload lasts.
pub(crate) fn min_rate(threshold: f64, window: TimeSpan) -> f64 {
    1.0 / threshold / seconds(window)
}

/// Returns the rate at which the limit starts, in shard requests per second: the rate that the nodes have served,
/// but at least `min_rate`.
///
/// A higher initial rate that was adjusted by losses alone would overshoot: losses are observed with a delay, and
/// until then the rate would lengthen the queues that cause them.
pub(crate) fn initial_rate(served_per_second: f64, min_rate: f64) -> f64 {
    min_rate.max(served_per_second)
}

/// The limit on the rate of admitted shard requests in overloaded mode.
#[derive(Debug, Default)]
pub(crate) struct AdaptiveRate {
    /// The admitted rate, in shard requests per second, or 0 if there is no limit.
    per_second: f64,
    /// The rate before the last decrease, or the initial rate if there was none.
    before_decrease: f64,
    decreased_at: Timestamp,
}

impl AdaptiveRate {
    /// Returns the admitted rate in shard requests per second, or 0 if there is no limit.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Starts the limit at the given rate.
    pub fn start(&mut self, now: Timestamp, per_second: f64) {
        self.per_second = per_second;
        self.before_decrease = per_second;
        self.decreased_at = now;
    }

    /// Removes the limit.
    pub fn stop(&mut self) {
        self.per_second = 0.0;
    }

    /// Returns whether the rate may be decreased, which is the case once the last decrease, or the start of the
    /// limit, has had time to take effect. Otherwise losses among shard requests admitted before a decrease would
    /// cause further decreases, down to the minimum rate.
    pub fn may_decrease(&self, now: Timestamp, window: TimeSpan) -> bool {
        now - self.decreased_at >= window.mul_f64(DECREASE_HOLD_WINDOW_RATIO)
    }

    /// Multiplies the rate by `factor` (0 to 1), with `min_per_second` as the lower bound.
    pub fn decrease(&mut self, now: Timestamp, factor: f64, min_per_second: f64) {
        self.before_decrease = self.per_second;
        self.per_second = min_per_second.max(self.per_second * factor);
        self.decreased_at = now;
    }

    /// Increases the rate by `ratio` per step up to the rate before the last decrease, and above that by `ratio` of
    /// that rate per window. The rate before the decrease was too high when it was last reached. As losses are
    /// observed with a delay, a rate that exceeded it at full speed would overshoot. The drawback is a slow recovery
    /// after the cause of the overload has been removed.
    pub fn increase(&mut self, ratio: f64) {
        if self.per_second < self.before_decrease {
            self.per_second = (self.per_second * (1.0 + ratio)).min(self.before_decrease);
        } else {
            self.per_second += self.before_decrease * ratio / STEPS_PER_WINDOW as f64;
        }
    }
}

#[cfg(test)]
mod tests;

//! The rate of shard requests that is admitted while overloaded: multiplicative increase and decrease, and a
//! slower increase past the rate at which losses were last seen (as congestion control slows down at its
//! last peak; Jacobson, 'Congestion Avoidance and Control', 1988).
//!
//! The rate shows in the log line of `LogEvent::AdmissionOverloaded` and as
//! [`AdmissionController::rate`](crate::AdmissionController::rate).

use crate::window::{STEPS_PER_WINDOW, seconds};
use routing::{TimeSpan, Timestamp};

/// After a decrease, losses count as those of the rate before it for this share of the window: an attempt
/// that finds a long queue times out late.
const DECREASE_HOLD_RATIO: f64 = 0.5;

/// The lowest rate, in shard requests a second: in one window as many as make one loss the configured level
/// (a share, 0 to 1).
///
/// Without a lowest rate, a rate that is decreased in every step falls to nothing. Nothing is admitted then,
/// so nothing can succeed, and no step finds losses below the level again. The cost is that overloaded nodes
/// get this rate however long the overload lasts.
pub(crate) fn min_rate(level: f64, window: TimeSpan) -> f64 {
    1.0 / level / seconds(window)
}

/// The rate at which the limit starts, in shard requests a second: what the nodes have served, but not less
/// than `min_rate`.
///
/// A rate that started higher and followed losses alone would overshoot: losses show late, and until they do
/// it would add to the queues that cause them.
pub(crate) fn initial_rate(served_per_second: f64, min_rate: f64) -> f64 {
    min_rate.max(served_per_second)
}

/// The admitted rate, in shard requests a second; 0 while all are admitted.
#[derive(Debug, Default)]
pub(crate) struct AdaptiveRate {
    per_second: f64,
    /// The rate before it was last decreased, or the initial one.
    before_decrease: f64,
    decreased_at: Timestamp,
}

impl AdaptiveRate {
    /// Shard requests a second; 0 while all are admitted.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Begins to limit, at this rate.
    pub fn start(&mut self, now: Timestamp, per_second: f64) {
        self.per_second = per_second;
        self.before_decrease = per_second;
        self.decreased_at = now;
    }

    /// Ends the limit.
    pub fn stop(&mut self) {
        self.per_second = 0.0;
    }

    /// Whether the rate may be decreased: the effect of the last decrease, or of the start, has had time to
    /// show. Otherwise losses of what was admitted before a decrease would be answered by decrease after
    /// decrease, down to the lowest rate.
    pub fn may_decrease(&self, now: Timestamp, window: TimeSpan) -> bool {
        now - self.decreased_at >= window.mul_f64(DECREASE_HOLD_RATIO)
    }

    /// Multiplies the rate by `factor` (0 to 1), but not below `min_per_second`.
    pub fn decrease(&mut self, now: Timestamp, factor: f64, min_per_second: f64) {
        self.before_decrease = self.per_second;
        self.per_second = min_per_second.max(self.per_second * factor);
        self.decreased_at = now;
    }

    /// Raises the rate by `ratio` in each step up to the rate before the last decrease, and past that by the
    /// same ratio of it in each window. That rate was too high when it was last reached; as losses show late,
    /// a rate that passed it at full speed would overshoot. The cost is a slow return where the overload's
    /// cause is gone.
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

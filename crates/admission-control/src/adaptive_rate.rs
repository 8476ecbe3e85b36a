//! The rate of shard requests that is admitted while overloaded: multiplicative decrease, and an increase
//! that is slower once the rate is back where it was lowered.

use crate::mode::STEPS_PER_WINDOW;
use routing::Tenths;

/// The admitted rate, in shard requests a second; 0 while all are admitted.
#[derive(Debug, Default)]
pub(crate) struct AdaptiveRate {
    per_second: f64,
    /// The rate before it was last lowered.
    before_decrease: f64,
    decreased_at: Tenths,
}

impl AdaptiveRate {
    /// Shard requests a second; 0 while all are admitted.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Begins to limit, at this rate.
    pub fn start(&mut self, now: Tenths, per_second: f64) {
        self.per_second = per_second;
        self.before_decrease = per_second;
        self.decreased_at = now;
    }

    /// Ends the limit.
    pub fn stop(&mut self) {
        self.per_second = 0.0;
    }

    /// The time since the rate was last lowered.
    pub fn time_since_decrease(&self, now: Tenths) -> Tenths {
        now - self.decreased_at
    }

    /// Lowers the rate by a factor, to `min_per_second` at the least.
    pub fn decrease(&mut self, now: Tenths, factor: f64, min_per_second: f64) {
        self.before_decrease = self.per_second;
        self.per_second = min_per_second.max(self.per_second * factor);
        self.decreased_at = now;
    }

    /// Raises the rate by the ratio each step up to where it was last lowered, and past that by the ratio
    /// each window. Guards against a rate that overshoots because losses show late: past its last peak it was
    /// too high before.
    pub fn increase(&mut self, ratio: f64) {
        if self.per_second < self.before_decrease {
            self.per_second = (self.per_second * (1.0 + ratio)).min(self.before_decrease);
        } else {
            self.per_second += self.before_decrease * ratio / STEPS_PER_WINDOW as f64;
        }
    }
}

//! Counters of losses, rejections and served shard requests within the window. They are interpreted by other
//! modules.

use crate::overload_detection::OverloadInputs;
use crate::window::Window;
use routing::{AttemptOutcome, AttemptResult, Effect, TimeSpan, Timestamp};

/// The time over which losses are counted, as a fraction of the window. It is shorter than the window so that a step
/// is based on recent losses, and not on losses to which an earlier decrease has already responded.
const LOSS_WINDOW_RATIO: f64 = 0.2;

/// Counters of load over a sliding window. Each counter has a count of all events (`total`) and of those of a certain
/// kind (`marked`), of which some counters use only one.
pub(crate) struct LoadStatistics {
    window: TimeSpan,
    /// Attempts that failed because of overload (`marked`), among all ended attempts that are indicative of load
    /// (`total`).
    losses: Window,
    /// Queries that the broker rejected (`marked`).
    broker_rejections: Window,
    /// Shard requests admitted (`total`).
    admitted: Window,
    /// Attempts that the broker sent (`total`).
    sent: Window,
    /// Attempts that succeeded (`total`).
    succeeded: Window,
}

impl LoadStatistics {
    /// Creates counters that are all zero.
    pub fn new(window: TimeSpan) -> LoadStatistics {
        LoadStatistics {
            window,
            losses: Window::default(),
            broker_rejections: Window::default(),
            admitted: Window::default(),
            sent: Window::default(),
            succeeded: Window::default(),
        }
    }

    /// Records the result of an ended attempt.
    pub fn record_result(&mut self, now: Timestamp, result: &AttemptResult) {
        if result.outcome.reflects_load() {
            let lost = if result.outcome.is_overload() { 1.0 } else { 0.0 };
            self.losses.count(now, self.loss_window(), lost, 1.0);
        }
        if result.outcome == AttemptOutcome::Succeeded {
            self.succeeded.count(now, self.window, 0.0, 1.0);
        }
    }

    /// Records the queries that the broker rejected and the attempts that it sent in a turn.
    pub fn record_effects(&mut self, now: Timestamp, effects: &[Effect]) {
        let rejected = effects.iter().filter(|effect| matches!(effect, Effect::Reject { .. })).count();
        let sent = effects.iter().filter(|effect| matches!(effect, Effect::Send { .. })).count();
        self.broker_rejections.count(now, self.window, rejected as f64, 0.0);
        self.sent.count(now, self.window, 0.0, sent as f64);
    }

    /// Records the shard requests of an admitted query.
    pub fn record_admitted(&mut self, now: Timestamp, shard_requests: f64) {
        self.admitted.count(now, self.window, 0.0, shard_requests);
    }

    /// Returns the counts from which overload is detected.
    pub fn overload_inputs(&self, now: Timestamp) -> OverloadInputs {
        let losses = self.losses.sums(now, self.loss_window());
        OverloadInputs {
            lost_attempts: losses.marked,
            ended_attempts: losses.total,
            rejected_queries: self.broker_rejections.sums(now, self.window).marked,
            admitted_shard_requests: self.admitted.sums(now, self.window).total,
        }
    }

    /// Returns the number of admitted shard requests that the nodes served within the window. It is the number of
    /// successful attempts, multiplied by the number of admitted shard requests per sent attempt, as the broker sends
    /// fewer attempts than shard requests are admitted while its cutoff is active.
    pub fn served(&self, now: Timestamp) -> f64 {
        let succeeded = self.succeeded.sums(now, self.window).total;
        let sent = self.sent.sums(now, self.window).total;
        let admitted = self.admitted.sums(now, self.window).total;
        succeeded * admitted / sent.max(1.0)
    }

    fn loss_window(&self) -> TimeSpan {
        self.window.mul_f64(LOSS_WINDOW_RATIO)
    }
}

#[cfg(test)]
mod tests;

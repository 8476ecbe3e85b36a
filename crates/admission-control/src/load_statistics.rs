//! What the nodes and the broker did of late: losses, rejections, and the shard requests that were served.

use crate::mode::Window;
use routing::{AttemptOutcome, AttemptResult, Effect, Tenths};

/// The loss ratio is judged over this share of the window: what the last steps found, not the whole window's
/// past.
const LOSS_WINDOW_RATIO: f64 = 0.2;

/// Counters of load over a sliding window.
pub(crate) struct LoadStatistics {
    window: Tenths,
    /// Attempts lost to overloaded nodes (`harmed`), of all attempts that ended and count (`all`).
    losses: Window,
    /// Queries that the broker rejected (`harmed`).
    broker_rejections: Window,
    /// Shard requests admitted (`all`).
    admitted: Window,
    /// Attempts that the broker sent (`all`).
    sent: Window,
    /// Attempts that succeeded (`all`).
    succeeded: Window,
}

impl LoadStatistics {
    /// Nothing counted yet.
    pub fn new(window: Tenths) -> LoadStatistics {
        LoadStatistics {
            window,
            losses: Window::default(),
            broker_rejections: Window::default(),
            admitted: Window::default(),
            sent: Window::default(),
            succeeded: Window::default(),
        }
    }

    /// Counts an attempt that ended.
    pub fn record_result(&mut self, now: Tenths, result: &AttemptResult) {
        if result.outcome.tells_of_load() {
            let lost = if result.outcome.is_overload() { 1.0 } else { 0.0 };
            self.losses.count(now, self.loss_window(), lost, 1.0);
        }
        if result.outcome == AttemptOutcome::Succeeded {
            self.succeeded.count(now, self.window, 0.0, 1.0);
        }
    }

    /// Counts what the broker did in a turn: the queries that it rejected and the attempts that it sent.
    pub fn record_effects(&mut self, now: Tenths, effects: &[Effect]) {
        let rejected = effects.iter().filter(|effect| matches!(effect, Effect::Reject { .. })).count();
        let sent = effects.iter().filter(|effect| matches!(effect, Effect::Send { .. })).count();
        self.broker_rejections.count(now, self.window, rejected as f64, 0.0);
        self.sent.count(now, self.window, 0.0, sent as f64);
    }

    /// Counts the shard requests of an admitted query.
    pub fn record_admitted(&mut self, now: Tenths, shard_requests: f64) {
        self.admitted.count(now, self.window, 0.0, shard_requests);
    }

    /// Whether the loss ratio, or the broker's rejections for each admitted shard request, exceed the level;
    /// out of as many as make one of them the level, where fewer were counted.
    pub fn is_above(&self, level: f64, now: Tenths) -> bool {
        let min_count = 1.0 / level;
        let loss_ratio = self.losses.share(now, self.loss_window(), min_count);
        let rejected = self.broker_rejections.sums(now, self.window).marked;
        let admitted = self.admitted.sums(now, self.window).total;
        loss_ratio > level || rejected / admitted.max(min_count) > level
    }

    /// Admitted shard requests that the nodes served within the window: the attempts that succeeded, times
    /// the shard requests admitted for each attempt sent.
    pub fn served(&self, now: Tenths) -> f64 {
        let succeeded = self.succeeded.sums(now, self.window).total;
        let sent = self.sent.sums(now, self.window).total;
        let admitted = self.admitted.sums(now, self.window).total;
        succeeded * admitted / sent.max(1.0)
    }

    fn loss_window(&self) -> Tenths {
        self.window.times(LOSS_WINDOW_RATIO)
    }
}

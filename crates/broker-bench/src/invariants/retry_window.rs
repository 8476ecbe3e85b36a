//! What one broker was sent and what it retried, over the window of a retry budget.

use routing::{RetryBudget, TimeSpan, Timestamp};
use std::collections::VecDeque;

/// What one broker was sent and what it retried, for as long as a budget's window.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryWindow {
    accepted: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Retries in a window, and how many the budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RetryUse {
    retries: f64,
    allowed: f64,
}

impl RetryUse {
    /// What was used of the budget: 1 is its limit. A budget of less than one retry counts as one.
    pub(super) fn ratio(&self) -> f64 {
        self.retries / self.allowed.max(1.0)
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.retries > self.allowed
    }
}

impl RetryWindow {
    /// A broker is sent queries and shard requests, this many together.
    pub(super) fn record_accepted(&mut self, now: Timestamp, count: usize) {
        self.accepted.extend(std::iter::repeat_n(now, count));
    }

    /// An attempt beyond a shard request's first reaches a node. What was accepted counts for `slack` longer, as a
    /// retry may be observed so much later than it was sent.
    pub(super) fn record_retry(&mut self, now: Timestamp, budget: &RetryBudget, slack: TimeSpan) -> RetryUse {
        self.retries.push_back(now);
        while self.retries.pop_front_if(|at| *at < now - budget.window).is_some() {}
        while self.accepted.pop_front_if(|at| *at < now - budget.window - slack).is_some() {}
        let allowed = budget.min_retries + budget.ratio * self.accepted.len() as f64;
        RetryUse { retries: self.retries.len() as f64, allowed }
    }
}

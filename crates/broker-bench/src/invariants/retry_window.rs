//! Counts the accepted requests and the retries of one broker over the window of a retry budget.

use routing::{RetryBudget, TimeSpan, Timestamp};
use std::collections::VecDeque;

/// The times of one broker's accepted requests and retries within the window of a retry budget.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryWindow {
    accepted: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// The number of retries in a window and the number that the budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RetryUse {
    retries: f64,
    allowed: f64,
}

impl RetryUse {
    /// Returns the used fraction of the budget; 1 is the limit. A budget of less than one retry counts as one.
    pub(super) fn ratio(&self) -> f64 {
        self.retries / self.allowed.max(1.0)
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.retries > self.allowed
    }
}

impl RetryWindow {
    /// Records that the broker received this many requests: a query and its shard requests.
    pub(super) fn record_accepted(&mut self, now: Timestamp, count: usize) {
        self.accepted.extend(std::iter::repeat_n(now, count));
    }

    /// Records an attempt beyond a shard request's first. Accepted requests count for `slack` longer than the window,
    /// as a retry may be observed that much later than it was sent.
    pub(super) fn record_retry(&mut self, now: Timestamp, budget: &RetryBudget, slack: TimeSpan) -> RetryUse {
        self.retries.push_back(now);
        while self.retries.pop_front_if(|at| *at < now - budget.window).is_some() {}
        while self.accepted.pop_front_if(|at| *at < now - budget.window - slack).is_some() {}
        let allowed = budget.min_retries + budget.ratio * self.accepted.len() as f64;
        RetryUse { retries: self.retries.len() as f64, allowed }
    }
}

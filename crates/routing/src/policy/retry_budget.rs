//! The retry budget (rule 6): limits attempts beyond the first of a shard request, retries and hedges alike,
//! to a fixed number plus a share of what was accepted within a window.
//!
//! Without a budget, an outage of one node multiplies the load on the others by the number of attempts. The
//! budget is the configured one, or [`default_budget`] if none is configured. A shard request whose retry
//! exceeds the budget stays queued and is re-evaluated until its query's objective. The symptom is queries
//! that time out or are rejected without another attempt after an error.

use crate::config::{RequestLimits, RetryBudget};
use crate::state::AttemptId;
use crate::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The default number of retries per accepted query and shard request.
const DEFAULT_RATIO: f64 = 0.25;

/// The default window over which retries are counted.
const DEFAULT_WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// Returns the retry budget of a broker for which none is configured: as many retries as a shard request may
/// have attempts, plus a share of the accepted queries and shard requests.
pub(crate) fn default_budget(limits: &RequestLimits) -> RetryBudget {
    RetryBudget { min_retries: limits.max_attempts.into(), ratio: DEFAULT_RATIO, window: DEFAULT_WINDOW }
}

/// An attempt beyond the first of a shard request.
#[derive(Clone, Copy, Debug)]
struct Retry {
    sent_at: Timestamp,
    attempt: AttemptId,
}

/// The accepted queries and shard requests and the retries, in chronological order.
#[derive(Debug, Default)]
pub(crate) struct RetryHistory {
    /// The times at which queries and shard requests were accepted.
    accepted_at: VecDeque<Timestamp>,
    retries: VecDeque<Retry>,
}

impl RetryHistory {
    /// Records a query or shard request that was accepted.
    pub(crate) fn record_accepted(&mut self, now: Timestamp) {
        self.accepted_at.push_back(now);
    }

    /// Records an attempt beyond the first of a shard request that is sent now.
    pub(crate) fn record_retry(&mut self, now: Timestamp, attempt: AttemptId) {
        self.retries.push_back(Retry { sent_at: now, attempt });
    }

    /// Removes an attempt that never left this broker, so that it does not count.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId) {
        self.retries.retain(|retry| retry.attempt != attempt);
    }

    /// Returns whether the budget covers one more retry now. `send_delay` is the maximum delay until an
    /// attempt reaches its node. Accepted requests are counted over a window shortened by this delay, and
    /// retries over a window extended by it, so that the budget also holds for the windows as nodes observe
    /// them.
    pub(crate) fn allows_retry(&self, budget: &RetryBudget, now: Timestamp, send_delay: TimeSpan) -> bool {
        let window_start = now - budget.window;
        let accepted = self.accepted_since(window_start + send_delay) as f64;
        let retried = self.retried_since(window_start - send_delay);
        (retried + 1) as f64 <= budget.min_retries + budget.ratio * accepted
    }

    /// Removes the entries that no window can include any more; `max_window` is the longest window.
    pub(crate) fn remove_expired(&mut self, now: Timestamp, max_window: TimeSpan, send_delay: TimeSpan) {
        let accepted_from = now - max_window + send_delay;
        let retried_from = now - max_window - send_delay;
        while self.accepted_at.pop_front_if(|at| *at < accepted_from).is_some() {}
        while self.retries.pop_front_if(|retry| retry.sent_at < retried_from).is_some() {}
    }

    fn accepted_since(&self, from: Timestamp) -> usize {
        self.accepted_at.len() - self.accepted_at.partition_point(|at| *at < from)
    }

    fn retried_since(&self, from: Timestamp) -> usize {
        self.retries.len() - self.retries.partition_point(|retry| retry.sent_at < from)
    }
}

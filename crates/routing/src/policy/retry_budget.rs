//! The retry budget (rule 6): attempts beyond a shard request's first, retries and hedges alike, are bounded
//! by a few and a share of what was accepted within a window.
//!
//! Without a budget an outage of one node multiplies the load on the others by the number of attempts. The
//! budget is the configured one, or [`default_budget`] where none is stated. A shard request whose retry is
//! not covered stays queued and tries again until its query's objective; it shows as queries that time out or
//! are rejected without another attempt after an error.

use crate::config::{RequestLimits, RetryBudget};
use crate::state::AttemptId;
use crate::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Without a stated budget: retries for each query and shard request that was accepted.
const DEFAULT_SHARE: f64 = 0.25;

/// Without a stated budget: the window over which retries are counted.
const DEFAULT_WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// The budget of a broker for which none is stated: as many retries as a shard request may have attempts, and
/// a share of the queries and shard requests that were accepted.
pub(crate) fn default_budget(limits: &RequestLimits) -> RetryBudget {
    RetryBudget { min_retries: limits.max_attempts.into(), ratio: DEFAULT_SHARE, window: DEFAULT_WINDOW }
}

/// An attempt beyond a shard request's first.
#[derive(Clone, Copy, Debug)]
struct Retry {
    sent_at: Timestamp,
    attempt: AttemptId,
}

/// What was accepted and what was retried, in the order of time.
#[derive(Debug, Default)]
pub(crate) struct RetryHistory {
    /// When queries and shard requests were accepted.
    accepted_at: VecDeque<Timestamp>,
    retries: VecDeque<Retry>,
}

impl RetryHistory {
    /// A query or a shard request was accepted.
    pub(crate) fn record_accepted(&mut self, now: Timestamp) {
        self.accepted_at.push_back(now);
    }

    /// An attempt beyond a shard request's first is sent.
    pub(crate) fn record_retry(&mut self, now: Timestamp, attempt: AttemptId) {
        self.retries.push_back(Retry { sent_at: now, attempt });
    }

    /// An attempt never left this broker: it does not count.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId) {
        self.retries.retain(|retry| retry.attempt != attempt);
    }

    /// Whether the budget covers one more retry now. `send_delay` is the longest way of an attempt to its
    /// node: what was accepted is counted over a window shorter by it and retries over a longer one, so that
    /// the budget also holds for the windows as nodes see them.
    pub(crate) fn allows_retry(&self, budget: &RetryBudget, now: Timestamp, send_delay: TimeSpan) -> bool {
        let window_start = now - budget.window;
        let accepted = self.accepted_since(window_start + send_delay) as f64;
        let retried = self.retried_since(window_start - send_delay);
        (retried + 1) as f64 <= budget.min_retries + budget.ratio * accepted
    }

    /// Drops what no window reaches back to, the longest being `max_window`.
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

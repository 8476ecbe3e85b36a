//! Completion probability: estimates whether a query that needs all of its shard requests can still become
//! complete.
//!
//! Under overload, a query with 50 shard requests, all of which are needed, almost certainly misses one. If
//! such queries are sent and retried regardless, they keep nodes busy with work that is discarded, and
//! throughput falls far below capacity. The symptom is many attempts per query and few complete responses.
//! Such a query is rejected before anything is sent while the probability that every shard request succeeds
//! in one of its attempts is below [`MIN_PROBABILITY`]. A rejection is not counted, so the overload rate
//! expires with its window, and a query is then tried again. The cost is that some queries are rejected that
//! would have succeeded.

use crate::statistics::SlidingWindow;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The completion probability below which a query is rejected.
const MIN_PROBABILITY: f64 = 0.03;

/// The window over which overload is counted.
const WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// The number of slices of the window.
const SLICES: usize = 10;

/// The minimum number of attempts that the rate is based on; fewer attempts count as this many.
const MIN_ATTEMPTS: f64 = 10.0;

/// The share of recent attempts that nodes rejected as overloaded or that timed out. Unlike pressure, it
/// excludes queries that this broker rejects itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OverloadRate(SlidingWindow<SLICES>);

impl OverloadRate {
    /// Records an attempt that has ended.
    pub(crate) fn record(&mut self, now: Timestamp, is_overload: bool) {
        self.0.count(now, WINDOW, f64::from(u8::from(is_overload)), 1.0);
    }

    /// Returns the overload rate at `now`, from 0 to 1.
    pub(crate) fn read(&self, now: Timestamp) -> f64 {
        self.0.share(now, WINDOW, MIN_ATTEMPTS)
    }
}

/// Returns whether a query is unlikely to become complete: with overload rate r, n shard requests and p
/// attempts for each, (1 − r^p)^n is below [`MIN_PROBABILITY`].
pub(crate) fn is_unlikely(overload_rate: f64, max_attempts: u32, shard_requests: usize) -> bool {
    let all_attempts_fail = overload_rate.powi(max_attempts.max(1) as i32);
    let probability = (1.0 - all_attempts_fail).powi(shard_requests as i32);
    probability < MIN_PROBABILITY
}

//! Completion chance: whether a query that needs all of its shard requests has a chance to get them.
//!
//! The failure: under overload a query of 50 shard requests, all needed, almost surely misses one. Sent all
//! the same, again and again, such queries keep nodes busy with work that nobody can use, and throughput
//! falls far below capacity. It shows as many attempts per query with few complete responses. Such a query is
//! rejected before anything is sent, while the chance that every shard request succeeds in one of its
//! attempts is under [`MIN_CHANCE`]. A rejection counts nowhere, so the overload rate is forgotten with its
//! window, and a query is tried again. The cost: what chance would have served.

use crate::statistics::SlidingWindow;
use crate::time::{TimeSpan, Timestamp};

#[cfg(test)]
mod tests;

/// The chance under which nothing is sent.
const MIN_CHANCE: f64 = 0.03;

/// The span over which overload is counted.
const WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// Slices of the window.
const SLICES: usize = 10;

/// Fewer attempts than this count as this many.
const MIN_ATTEMPTS: f64 = 10.0;

/// The share of recent attempts that nodes refused as overloaded or that timed out. Unlike pressure it leaves
/// out what this broker rejects itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OverloadRate(SlidingWindow<SLICES>);

impl OverloadRate {
    /// An attempt has ended.
    pub(crate) fn record(&mut self, now: Timestamp, is_overload: bool) {
        self.0.count(now, WINDOW, f64::from(u8::from(is_overload)), 1.0);
    }

    /// The share now, from 0 to 1.
    pub(crate) fn read(&self, now: Timestamp) -> f64 {
        self.0.share(now, WINDOW, MIN_ATTEMPTS)
    }
}

/// Whether a query is too unlikely to become complete: with an overload rate r, n shard requests and p
/// attempts for each, (1 − r^p)^n is under [`MIN_CHANCE`].
pub(crate) fn is_unlikely(overload_rate: f64, max_attempts: u32, shard_requests: usize) -> bool {
    let all_attempts_fail = overload_rate.powi(max_attempts.max(1) as i32);
    let chance = (1.0 - all_attempts_fail).powi(shard_requests as i32);
    chance < MIN_CHANCE
}

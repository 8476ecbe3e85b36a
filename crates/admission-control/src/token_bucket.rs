//! A token bucket (as in RFC 2697) whose rate may change while it fills.

use crate::window::seconds;
use routing::{TimeSpan, Timestamp};

/// The smallest depth of a bucket, in tokens: a tenant whose share in a burst is less than one shard request
/// still gets one now and then.
const MIN_DEPTH: f64 = 1.0;

/// Tokens for shard requests, one each. The depth is what the rate gives in `burst`, [`MIN_DEPTH`] at least.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Negative while tokens are owed.
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket, whatever its depth.
    pub fn full(now: Timestamp) -> TokenBucket {
        TokenBucket { tokens: f64::INFINITY, filled_at: now }
    }

    /// Fills it up; the time from which it fills on stays.
    pub fn refill(&mut self) {
        self.tokens = f64::INFINITY;
    }

    /// Adds what the rate gave since it was last filled, up to its depth.
    pub fn fill(&mut self, now: Timestamp, per_second: f64, burst: TimeSpan) {
        let elapsed_s = seconds(now - self.filled_at);
        self.tokens = (self.tokens + per_second * elapsed_s).min(depth(per_second, burst));
        self.filled_at = now;
    }

    /// Whether it holds this many tokens, or all that it can hold: a query with more shard requests than the
    /// bucket is deep would never be admitted otherwise.
    pub fn covers(&self, tokens: f64, per_second: f64, burst: TimeSpan) -> bool {
        self.tokens >= tokens || self.tokens >= depth(per_second, burst)
    }

    /// Removes tokens; some may be owed afterwards.
    pub fn remove(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

/// Tokens that a full bucket holds.
fn depth(per_second: f64, burst: TimeSpan) -> f64 {
    (per_second * seconds(burst)).max(MIN_DEPTH)
}

#[cfg(test)]
mod tests;

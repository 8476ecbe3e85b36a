//! A token bucket (as in RFC 2697) whose rate may change between fills.

use crate::window::seconds;
use routing::{TimeSpan, Timestamp};

/// The minimum depth of a bucket, in tokens. It lets a tenant whose share yields less than one token per burst still
/// send a shard request from time to time.
const MIN_DEPTH: f64 = 1.0;

/// A token bucket with one token for each shard request. Its depth is the number of tokens that the rate yields in
/// `burst`, but at least [`MIN_DEPTH`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// The number of tokens, which is negative after more tokens were removed than the bucket had.
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket of any depth.
    pub fn full(now: Timestamp) -> TokenBucket {
        TokenBucket { tokens: f64::INFINITY, filled_at: now }
    }

    /// Fills the bucket without changing the time of the last fill.
    pub fn refill(&mut self) {
        self.tokens = f64::INFINITY;
    }

    /// Adds the tokens that the rate has yielded since the last fill, up to the depth.
    pub fn fill(&mut self, now: Timestamp, per_second: f64, burst: TimeSpan) {
        let elapsed_s = seconds(now - self.filled_at);
        self.tokens = (self.tokens + per_second * elapsed_s).min(depth(per_second, burst));
        self.filled_at = now;
    }

    /// Returns whether the bucket has the given number of tokens or is full. A query with more shard requests than
    /// the depth of the bucket would never be admitted otherwise.
    pub fn covers(&self, tokens: f64, per_second: f64, burst: TimeSpan) -> bool {
        self.tokens >= tokens || self.tokens >= depth(per_second, burst)
    }

    /// Removes tokens. The number of tokens may become negative.
    pub fn remove(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

/// Returns the number of tokens in a full bucket.
fn depth(per_second: f64, burst: TimeSpan) -> f64 {
    (per_second * seconds(burst)).max(MIN_DEPTH)
}

#[cfg(test)]
mod tests;

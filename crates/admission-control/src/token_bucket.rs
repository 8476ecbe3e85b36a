//! A token bucket whose rate may change while it fills.

use routing::Tenths;

/// Tokens for shard requests. The depth is the burst's worth of the rate, one token at least.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Tenths,
}

impl TokenBucket {
    /// A full bucket, whatever its depth.
    pub fn full(now: Tenths) -> TokenBucket {
        TokenBucket { tokens: f64::INFINITY, filled_at: now }
    }

    /// Fills it up without moving the moment from which it fills on.
    pub fn refill_whole(&mut self) {
        self.tokens = f64::INFINITY;
    }

    /// Adds what the rate gave since it was last filled, up to its depth.
    pub fn fill(&mut self, now: Tenths, per_second: f64, burst: Tenths) {
        let elapsed_s = (now - self.filled_at).as_ms() / 1000.0;
        self.tokens = (self.tokens + per_second * elapsed_s).min(depth(per_second, burst));
        self.filled_at = now;
    }

    /// Whether it holds so many tokens, or all that it can.
    pub fn covers(&self, tokens: f64, per_second: f64, burst: Tenths) -> bool {
        self.tokens >= tokens || self.tokens >= depth(per_second, burst)
    }

    /// Removes tokens; it may owe some afterwards.
    pub fn remove(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

fn depth(per_second: f64, burst: Tenths) -> f64 {
    let burst_s = burst.as_ms() / 1000.0;
    (per_second * burst_s).max(1.0)
}

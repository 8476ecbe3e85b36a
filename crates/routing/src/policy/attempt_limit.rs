//! The limit on attempts per shard request, which depends on the yield of the query.

#[cfg(test)]
mod tests;

/// Rounds a number of retries to the nearest integer when added before truncation.
const ROUNDING: f64 = 0.5;

/// The inputs of the attempt limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimit {
    /// The configured maximum number of attempts per shard request.
    pub(crate) max_attempts: u32,
    /// The priority weight per shard request of this query.
    pub(crate) own_yield: f64,
    /// The highest recent yield of any class, at least `own_yield`.
    pub(crate) best_yield: f64,
}

impl AttemptLimit {
    /// Returns whether a shard request may have another attempt after `attempts_made` attempts. The class
    /// with the highest yield may use all configured retries, and other classes a proportional number:
    /// retries compete for the same nodes, and otherwise a query with many shard requests and a low priority
    /// weight would take more of them than a small query with a high one.
    pub(crate) fn allows_another(&self, attempts_made: usize) -> bool {
        let allowed_retries = f64::from(self.max_attempts.max(1) - 1);
        let retries = allowed_retries * self.own_yield / self.best_yield;
        attempts_made <= (retries + ROUNDING) as usize
    }
}

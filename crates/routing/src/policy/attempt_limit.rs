//! The limit on attempts for one shard request, by what its query is worth.

#[cfg(test)]
mod tests;

/// Rounds a number of retries to the nearest whole number.
const ROUNDING: f64 = 0.5;

/// What the limit follows from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimit {
    /// The most attempts that the configuration allows for a shard request.
    pub(crate) max_attempts: u32,
    /// Priority weight for each shard request of this query.
    pub(crate) own_yield: f64,
    /// The best such yield of any class of late, at least `own_yield`.
    pub(crate) best_yield: f64,
}

impl AttemptLimit {
    /// Whether a shard request with so many attempts may have another. The class that yields most may use all
    /// retries that the configuration allows, others in proportion: retries compete for the same nodes, and a
    /// long query of little worth would else take more of them than a short one of much.
    pub(crate) fn allows_another(&self, attempts_made: usize) -> bool {
        let allowed_retries = f64::from(self.max_attempts.max(1) - 1);
        let retries = allowed_retries * self.own_yield / self.best_yield;
        attempts_made <= (retries + ROUNDING) as usize
    }
}

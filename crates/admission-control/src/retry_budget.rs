//! The retry budget of a tenant.
//!
//! The budget determines whether a retry is admitted in overloaded mode. A rejected client that retries immediately
//! adds load when there is no spare capacity, and prolongs an overload after its cause has been removed (Huang et
//! al., 'Metastable Failures in the Wild', OSDI 2022). A budget proportional to the first attempts prevents this
//! regardless of the clients' behavior. The design is that of tower's `retry::budget` and of other proxies, applied
//! to each tenant. The drawback is that some retries are rejected that could have been served.
//!
//! Retries are recognized only if the front end reports them (`client_attempt`). Rejections are counted as
//! [`Decision::RejectOverRetryBudget`](crate::Decision::RejectOverRetryBudget).

/// The limit on the admitted retries of a tenant within the window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    /// The number of retries allowed for each admitted first attempt. At least 0.
    pub ratio: f64,
    /// The number of retries allowed in addition, regardless of the number of first attempts. At least 0.
    pub min_retries: f64,
}

/// The numbers of a tenant's queries that were admitted within the window, counted separately for the first attempts
/// of clients and their retries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmittedAttempts {
    pub first_attempts: f64,
    pub retries: f64,
}

impl RetryBudget {
    /// Returns whether one more retry would exceed the budget.
    pub fn is_exceeded(&self, admitted: AdmittedAttempts) -> bool {
        admitted.retries + 1.0 > self.min_retries + self.ratio * admitted.first_attempts
    }
}

#[cfg(test)]
mod tests;

//! The retry budget of a tenant.
//!
//! Decided on each retry while overloaded: whether it is admitted. A client that is rejected and sends its
//! query again at once adds load exactly when there is no capacity to spare, and prolongs an overload after
//! its cause is over (Huang et al., 'Metastable Failures in the Wild', OSDI 2022). A budget that follows the
//! first attempts stops that, whatever the clients do; it is that of tower's `retry::budget` and of other
//! proxies, counted by tenant. The cost is that some retries are rejected that could have been served.
//!
//! Retries are known only where the front end passes them on (`client_attempt`). A rejection shows as
//! [`Decision::RejectRetryBudget`](crate::Decision::RejectRetryBudget) in the counts of decisions.

/// How many retries a tenant may send within the window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    /// Retries for each admitted first attempt; 0 and up.
    pub ratio: f64,
    /// Retries that are allowed beside those, however few first attempts there are; 0 and up.
    pub min_retries: f64,
}

/// The queries of a tenant that were admitted within the window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmittedAttempts {
    pub first_attempts: f64,
    pub retries: f64,
}

impl RetryBudget {
    /// Whether one more retry exceeds the budget.
    pub fn is_exceeded(&self, admitted: AdmittedAttempts) -> bool {
        admitted.retries + 1.0 > self.min_retries + self.ratio * admitted.first_attempts
    }
}

#[cfg(test)]
mod tests;

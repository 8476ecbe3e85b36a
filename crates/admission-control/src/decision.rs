//! The decisions on offered queries, and their counts.

/// The controller's decision on a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The query is admitted with all of its shard requests.
    Admit,
    /// The query is rejected because it is a retry that exceeds its tenant's retry budget.
    RejectOverRetryBudget,
    /// The query is rejected because its tenant's quota is exceeded: it is beyond the tenant's share while other
    /// tenants send requests.
    RejectOverQuota,
    /// The query is admitted at its minimum coverage only. It is beyond its tenant's share, but its class allows
    /// partial responses.
    AdmitAtMinCoverage,
}

impl Decision {
    /// Returns whether the query is rejected, so that it is not passed to the broker.
    pub fn is_rejection(self) -> bool {
        matches!(self, Decision::RejectOverRetryBudget | Decision::RejectOverQuota)
    }
}

/// The number of queries for each decision, since the controller was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// The number of queries admitted with all of their shard requests.
    pub admitted: u64,
    /// The number of retries rejected because they exceeded their tenant's retry budget.
    pub rejected_by_retry_budget: u64,
    /// The number of queries rejected because they were beyond their tenant's share.
    pub rejected_by_quota: u64,
    /// The number of queries admitted at their minimum coverage only.
    pub admitted_at_min_coverage: u64,
}

impl DecisionCounts {
    pub(crate) fn record(&mut self, decision: Decision) {
        let count = match decision {
            Decision::Admit => &mut self.admitted,
            Decision::RejectOverRetryBudget => &mut self.rejected_by_retry_budget,
            Decision::RejectOverQuota => &mut self.rejected_by_quota,
            Decision::AdmitAtMinCoverage => &mut self.admitted_at_min_coverage,
        };
        *count += 1;
    }
}

#[cfg(test)]
mod tests;

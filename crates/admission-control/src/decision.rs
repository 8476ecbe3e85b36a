//! What is decided on an offered query, and how often.

/// What is decided on a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Admitted with all of its shard requests.
    Admit,
    /// Rejected: its tenant's retries are over their budget.
    RejectRetryBudget,
    /// Rejected: it is beyond its tenant's share, and other tenants request something too.
    RejectQuota,
    /// Beyond its tenant's share, but its class takes partial responses: admitted, to be served at its
    /// minimum coverage only.
    AdmitAtMinCoverage,
}

impl Decision {
    /// Whether the query does not reach the broker.
    pub fn is_rejection(self) -> bool {
        matches!(self, Decision::RejectRetryBudget | Decision::RejectQuota)
    }
}

/// How many queries each decision fell on since the controller was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// Queries admitted with all of their shard requests.
    pub admitted: u64,
    /// Queries rejected by a retry budget.
    pub rejected_by_retry_budget: u64,
    /// Queries rejected by a tenant's quota.
    pub rejected_by_quota: u64,
    /// Queries admitted at their minimum coverage.
    pub admitted_at_min_coverage: u64,
}

impl DecisionCounts {
    /// Counts a decision.
    pub(crate) fn record(&mut self, decision: Decision) {
        let count = match decision {
            Decision::Admit => &mut self.admitted,
            Decision::RejectRetryBudget => &mut self.rejected_by_retry_budget,
            Decision::RejectQuota => &mut self.rejected_by_quota,
            Decision::AdmitAtMinCoverage => &mut self.admitted_at_min_coverage,
        };
        *count += 1;
    }
}

#[cfg(test)]
mod tests;

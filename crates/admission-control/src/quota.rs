//! The quota of a tenant, which determines how queries beyond the tenant's share are handled.
//!
//! The quota is checked for each query in overloaded mode that the retry budget admits. The share is set in each
//! step by max-min fairness ([`fair_share`](crate::fair_share)) and enforced over bursts by a token bucket
//! ([`token_bucket`](crate::token_bucket)). The outcome is counted in
//! [`DecisionCounts`](crate::DecisionCounts). The client receives a rejection with a time to retry after, or a
//! partial response.

/// The inputs of the quota check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaInputs {
    /// Whether the tenant's share is less than its demand.
    pub is_limited: bool,
    /// Whether the tenant's token bucket has a token for each shard request of the query, or is full.
    pub bucket_covers: bool,
    /// Whether the class of the query allows partial responses.
    pub allows_partial: bool,
    /// Whether other tenants have sent requests within the window.
    pub has_other_tenants: bool,
    /// Whether the configuration enforces quotas.
    pub is_enforced: bool,
}

/// The outcome of the quota check of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaDecision {
    /// The query is admitted and takes one token for each of its shard requests.
    WithinQuota,
    /// The query is admitted and takes no tokens. It is beyond the share, which does not apply to it.
    Exempt,
    /// The query is admitted at its minimum coverage only.
    MinCoverageOnly,
    /// The query is rejected.
    Reject,
}

/// Checks a query against the quota of its tenant.
///
/// - A tenant whose demand is met is not limited by its bucket: its share exceeds its rate, and a burst does not
///   reduce the shares of others.
/// - A tenant that is the only one is not limited by a share: there are no others to protect, and the broker's
///   cutoff, which omits the shard requests of least weight first, serves more of its queries.
/// - A query beyond the share is served at its minimum coverage if its class allows that: its shard requests of
///   greatest weight contribute most of its priority weight with few attempts, whereas a rejection contributes
///   nothing.
pub(crate) fn check_quota(inputs: &QuotaInputs) -> QuotaDecision {
    if !inputs.is_limited || inputs.bucket_covers {
        return QuotaDecision::WithinQuota;
    }
    if !inputs.is_enforced || !inputs.has_other_tenants {
        return QuotaDecision::Exempt;
    }
    if inputs.allows_partial { QuotaDecision::MinCoverageOnly } else { QuotaDecision::Reject }
}

#[cfg(test)]
mod tests;

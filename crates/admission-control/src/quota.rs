//! The quota of a tenant: what becomes of a query that is beyond its tenant's share.
//!
//! Decided on each query while overloaded, once the retry budget has let it pass. The share is set each step
//! by max-min fairness ([`fair_share`](crate::fair_share)); a token bucket
//! ([`token_bucket`](crate::token_bucket)) holds it over bursts. The result shows in the counts of decisions
//! ([`DecisionCounts`](crate::DecisionCounts)) and, for the client, as a rejection with a time to retry
//! after, or as a partial response.

/// What the quota is judged by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaInputs {
    /// The tenant's share is less than it requests.
    pub is_limited: bool,
    /// The tenant's token bucket holds the query's shard requests, or all that it can hold.
    pub bucket_covers: bool,
    /// The query's class takes partial responses.
    pub allows_partial: bool,
    /// Other tenants have requested something within the window.
    pub has_other_tenants: bool,
    /// The operator has quotas enforced.
    pub is_enforced: bool,
}

/// What the quota decides on a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaDecision {
    /// Admitted, for as many tokens as it has shard requests.
    WithinQuota,
    /// Admitted, for no tokens: beyond the share, but not held to it.
    Exempt,
    /// Admitted, to be served at its minimum coverage only.
    MinCoverageOnly,
    /// Rejected.
    Reject,
}

/// The quota's decision on a query.
///
/// - A tenant that gets all that it requests is not held to its bucket: its share is above its rate, and a
///   burst of it costs the others nothing.
/// - A tenant alone is not held to a share: there is nobody to protect, and the broker's cutoff, which
///   trims the lightest shard requests first, serves more of its queries.
/// - A query beyond the share is served at its minimum coverage where its class allows that: its heaviest
///   shard requests earn most of its priority weight for a few attempts, a rejection earns nothing.
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

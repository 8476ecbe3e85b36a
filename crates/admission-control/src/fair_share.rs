//! How the admitted rate is shared between tenants: max-min fairness by water-filling (Bertsekas and
//! Gallager, 'Data Networks'), weighted by quotas.
//!
//! Decided each step while overloaded. Without shares, the tenant that requests most gets most of the rate,
//! and its storm trims everyone's queries.

use routing::{BrokerConfig, TenantId};

/// The weight of each tenant where no quotas are configured.
const EVEN_WEIGHT: f64 = 1.0;

/// What a tenant requests.
pub(crate) struct Demand {
    pub tenant: TenantId,
    /// Shard requests a second.
    pub per_second: f64,
    /// Relative to the weights of the other tenants.
    pub weight: f64,
}

/// What a tenant gets.
pub(crate) struct Share {
    pub tenant: TenantId,
    /// Shard requests a second.
    pub per_second: f64,
    /// Less than it requests, with the headroom.
    pub is_limited: bool,
}

/// Shares a rate, in shard requests a second, between tenants. In the order of their demand by weight, a
/// tenant that requests less than its part of what is left gets what it requests and `headroom` (a ratio)
/// more, so that its demand may grow until the next step; the rest is split among the others by weight.
pub(crate) fn max_min_shares(per_second: f64, headroom: f64, mut demands: Vec<Demand>) -> Vec<Share> {
    let demand_by_weight = |demand: &Demand| demand.per_second / demand.weight;
    // The sort is stable: tenants with the same demand stay in their order.
    demands.sort_by(|a, b| demand_by_weight(a).total_cmp(&demand_by_weight(b)));
    let mut remaining_rate = per_second;
    let mut remaining_weight = demands.iter().map(|demand| demand.weight).sum::<f64>();
    let mut shares = Vec::with_capacity(demands.len());
    for Demand { tenant, per_second, weight } in demands {
        // The remainders can round to nothing, or just below, where weights differ by many orders of magnitude.
        let even_share = remaining_rate * weight / remaining_weight.max(f64::MIN_POSITIVE);
        let wanted = per_second * (1.0 + headroom);
        let share = wanted.min(even_share);
        remaining_rate = (remaining_rate - share).max(0.0);
        remaining_weight -= weight;
        shares.push(Share { tenant, per_second: share, is_limited: share < wanted });
    }
    shares
}

/// A tenant's weight: its quota where one is configured, else the mean of those configured, else 1. Above
/// zero, so that a demand can be divided by it.
pub(crate) fn tenant_weight(broker_config: &BrokerConfig, tenant: TenantId) -> f64 {
    let quotas = &broker_config.tenants;
    if quotas.is_empty() {
        return EVEN_WEIGHT;
    }
    let mean = quotas.values().map(|quota| quota.quota_per_s).sum::<f64>() / quotas.len() as f64;
    quotas.get(&tenant).map_or(mean, |quota| quota.quota_per_s).max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;

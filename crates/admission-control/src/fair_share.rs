//! The division of the admitted rate among tenants by weighted max-min fairness, computed by water-filling
//! (Bertsekas and Gallager, 'Data Networks'), with quotas as weights.
//!
//! The shares are computed in each step of overloaded mode. Without shares, the tenant with the highest demand
//! would receive most of the rate, and its surge would reduce the coverage of all tenants' queries.

use routing::{BrokerConfig, TenantId};

/// The weight of each tenant if no quotas are configured.
const EVEN_WEIGHT: f64 = 1.0;

/// The demand of a tenant.
pub(crate) struct Demand {
    pub tenant: TenantId,
    /// The requested rate, in shard requests per second.
    pub per_second: f64,
    /// The weight, relative to those of the other tenants. Greater than 0.
    pub weight: f64,
}

/// The share of a tenant in the admitted rate.
pub(crate) struct Share {
    pub tenant: TenantId,
    /// The tenant's part of the rate, in shard requests per second.
    pub per_second: f64,
    /// Whether the share is less than the tenant's demand with headroom.
    pub is_limited: bool,
}

/// Divides a rate, in shard requests per second, among tenants. Tenants are processed in ascending order of demand by
/// weight. A tenant whose demand is less than its weighted part of the remaining rate receives its demand, increased
/// by `headroom` (a ratio) so that the demand may grow until the next step. The remaining rate is divided among the
/// other tenants by weight.
pub(crate) fn max_min_shares(per_second: f64, headroom: f64, mut demands: Vec<Demand>) -> Vec<Share> {
    let demand_by_weight = |demand: &Demand| demand.per_second / demand.weight;
    // The sort is stable, so that tenants with equal demand keep their order.
    demands.sort_by(|a, b| demand_by_weight(a).total_cmp(&demand_by_weight(b)));
    let mut remaining_rate = per_second;
    let mut remaining_weight = demands.iter().map(|demand| demand.weight).sum::<f64>();
    let mut shares = Vec::with_capacity(demands.len());
    for Demand { tenant, per_second, weight } in demands {
        // The remainders can round to zero or slightly below if weights differ by many orders of magnitude.
        let even_share = remaining_rate * weight / remaining_weight.max(f64::MIN_POSITIVE);
        let wanted = per_second * (1.0 + headroom);
        let share = wanted.min(even_share);
        remaining_rate = (remaining_rate - share).max(0.0);
        remaining_weight -= weight;
        shares.push(Share { tenant, per_second: share, is_limited: share < wanted });
    }
    shares
}

/// Returns the weight of a tenant: its quota if one is configured, otherwise the mean of the configured quotas, or 1
/// if there are none. The weight is greater than 0, so that a demand can be divided by it.
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

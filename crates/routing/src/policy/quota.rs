//! Tenant quotas: determines whether a query is within the quota of its tenant.
//!
//! A quota is defined over all brokers. A broker does not see the traffic of the others, so it compares its
//! own queries over [`SPAN`] with its even share of the quota, which allows at least one query. A query
//! beyond its tenant's quota is not rejected for that reason, but competes for less capacity
//! (`concurrency_limit`) and does not raise the pressure of other tenants (`pressure`).

use crate::ids::TenantId;
use crate::statistics::DecayingCounter;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The span over which queries are counted; a count decays by a factor of e per span.
const SPAN: TimeSpan = TimeSpan::from_secs(5);

/// The counter of a tenant without a quota is removed at a configuration change once its decayed count is
/// below this number of queries.
const MIN_RETAINED_QUERIES: f64 = 0.1;

/// The minimum number of queries within the span that any quota allows.
const MIN_QUERIES: f64 = 1.0;

const MS_PER_S: f64 = 1000.0;

/// The recent number of queries of each tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantRates(BTreeMap<TenantId, DecayingCounter>);

impl TenantRates {
    pub(crate) fn record(&mut self, tenant: TenantId, now: Timestamp) {
        self.0.entry(tenant).or_default().add(now, SPAN, 1.0);
    }

    /// Returns whether the recent queries of a tenant, including the last one, are within this broker's share
    /// of a quota in queries per second that applies to `brokers` brokers in total.
    pub(crate) fn is_within_quota(&self, tenant: TenantId, quota_per_s: f64, brokers: u32) -> bool {
        let own_quota_per_s = quota_per_s / f64::from(brokers.max(1));
        let allowed = (own_quota_per_s * SPAN.as_ms() / MS_PER_S).max(MIN_QUERIES);
        self.0.get(&tenant).is_none_or(|rate| rate.count <= allowed)
    }

    /// Removes the counters of idle tenants, except those for which `has_quota` returns true.
    pub(crate) fn remove_idle(&mut self, now: Timestamp, has_quota: impl Fn(TenantId) -> bool) {
        self.0.retain(|tenant, rate| has_quota(*tenant) || rate.read(now, SPAN) >= MIN_RETAINED_QUERIES);
    }
}

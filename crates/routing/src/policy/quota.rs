//! Tenants' quotas: whether a query is within what its tenant may send.
//!
//! A quota is stated over all brokers. This one sees no other's traffic, so it counts its even share of the
//! quota over [`SPAN`], at least one query. A query beyond its tenant's quota is not rejected for that, but
//! competes for less capacity (`concurrency_limit`) and does not lift the pressure of others (`pressure`).

use crate::ids::TenantId;
use crate::statistics::DecayingCounter;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The span over which queries are counted, decaying by a factor of e.
const SPAN: TimeSpan = TimeSpan::from_secs(5);

/// A tenant without a quota is forgotten at a change of the configuration once this many queries are left of
/// its count.
const FORGOTTEN_BELOW: f64 = 0.1;

/// The least number of queries within the span that a quota allows.
const MIN_QUERIES: f64 = 1.0;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Queries of each tenant of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantRates(BTreeMap<TenantId, DecayingCounter>);

impl TenantRates {
    /// Counts a query of a tenant.
    pub(crate) fn record(&mut self, tenant: TenantId, now: Timestamp) {
        self.0.entry(tenant).or_default().add(now, SPAN, 1.0);
    }

    /// Whether what was counted of a tenant, the last query included, is within a quota in queries a second
    /// over so many brokers.
    pub(crate) fn is_within_quota(&self, tenant: TenantId, quota_per_s: f64, brokers: u32) -> bool {
        let own_quota_per_s = quota_per_s / f64::from(brokers.max(1));
        let allowed = (own_quota_per_s * SPAN.as_ms() / MS_PER_S).max(MIN_QUERIES);
        self.0.get(&tenant).is_none_or(|rate| rate.count <= allowed)
    }

    /// Forgets tenants that have been silent, but for those that `has_quota` says.
    pub(crate) fn remove_idle(&mut self, now: Timestamp, has_quota: impl Fn(TenantId) -> bool) {
        self.0.retain(|tenant, rate| has_quota(*tenant) || rate.read(now, SPAN) >= FORGOTTEN_BELOW);
    }
}

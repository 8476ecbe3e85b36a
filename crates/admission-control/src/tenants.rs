//! The state of the tenants that sent requests within the window: their requests and retries, shares and token
//! buckets. The rules that use the state are in `retry_budget`, `quota` and `fair_share`.

use crate::fair_share::{Demand, Share};
use crate::retry_budget::AdmittedAttempts;
use crate::token_bucket::TokenBucket;
use crate::window::Window;
use routing::{TenantId, TimeSpan, Timestamp};
use std::collections::BTreeMap;

/// The shared entry of all tenants that arrive while the table is full.
const OVERFLOW_TENANT: TenantId = TenantId(u32::MAX);

/// The usage of a tenant, which is kept while the tenant sends requests.
pub(crate) struct TenantUsage {
    /// Requested shard requests (`total`).
    requested: Window,
    /// Admitted retries (`marked`) and admitted first attempts (`total`).
    attempts: Window,
    /// The tenant's share in overloaded mode, in shard requests per second.
    share_per_second: f64,
    /// Whether the share is less than the tenant's demand.
    pub is_limited: bool,
    /// Enforces the share over bursts.
    bucket: TokenBucket,
}

impl TenantUsage {
    /// Records the shard requests of an offered query.
    pub fn record_requested(&mut self, now: Timestamp, window: TimeSpan, shard_requests: f64) {
        self.requested.count(now, window, 0.0, shard_requests);
    }

    /// Records an admitted query as a retry or as a first attempt.
    pub fn record_admitted(&mut self, now: Timestamp, window: TimeSpan, is_retry: bool) {
        let (retries, first_attempts) = if is_retry { (1.0, 0.0) } else { (0.0, 1.0) };
        self.attempts.count(now, window, retries, first_attempts);
    }

    /// Returns the number of shard requests that the tenant requested within the window.
    pub fn requested(&self, now: Timestamp, window: TimeSpan) -> f64 {
        self.requested.sums(now, window).total
    }

    /// Returns the numbers of first attempts and retries that were admitted within the window.
    pub fn admitted_attempts(&self, now: Timestamp, window: TimeSpan) -> AdmittedAttempts {
        let sums = self.attempts.sums(now, window);
        AdmittedAttempts { first_attempts: sums.total, retries: sums.marked }
    }

    /// Adds the tokens to the bucket that the share has yielded since the last call.
    pub fn fill_bucket(&mut self, now: Timestamp, burst: TimeSpan) {
        self.bucket.fill(now, self.share_per_second, burst);
    }

    /// Returns whether the bucket, as of the last fill, has the given number of tokens or is full.
    pub fn bucket_covers(&self, tokens: f64, burst: TimeSpan) -> bool {
        self.bucket.covers(tokens, self.share_per_second, burst)
    }

    pub fn take_tokens(&mut self, tokens: f64) {
        self.bucket.remove(tokens);
    }
}

/// The table of the tenants that sent requests within the window.
pub(crate) struct TenantTable {
    window: TimeSpan,
    max_tenants: usize,
    tenants: BTreeMap<TenantId, TenantUsage>,
}

impl TenantTable {
    /// Creates an empty table for `max_tenants` tenants, and one more under which all others are counted.
    pub fn new(window: TimeSpan, max_tenants: usize) -> TenantTable {
        TenantTable { window, max_tenants, tenants: BTreeMap::new() }
    }

    /// Returns the tenant under which `tenant` is counted. Once the table is full, all new tenants are counted as
    /// one, so that a client can't exhaust the memory with invented tenant names. The drawback is that these tenants
    /// share one quota and one retry budget.
    pub fn accounted_tenant(&self, tenant: TenantId) -> TenantId {
        let is_full = self.tenants.len() >= self.max_tenants;
        if is_full && !self.tenants.contains_key(&tenant) { OVERFLOW_TENANT } else { tenant }
    }

    /// Returns the usage of a tenant. A new tenant starts with a full bucket and an even share of `per_second`, the
    /// admitted rate in shard requests per second.
    pub fn get_or_insert(&mut self, tenant: TenantId, now: Timestamp, per_second: f64) -> &mut TenantUsage {
        let even_share = per_second / (self.tenants.len() + 1) as f64;
        self.tenants.entry(tenant).or_insert_with(|| TenantUsage {
            requested: Window::default(),
            attempts: Window::default(),
            share_per_second: even_share,
            is_limited: false,
            bucket: TokenBucket::full(now),
        })
    }

    /// Returns the number of shard requests that all tenants requested within the window.
    pub fn requested(&self, now: Timestamp) -> f64 {
        self.tenants.values().map(|usage| usage.requested(now, self.window)).sum()
    }

    /// Returns whether any other tenant sent requests within the window.
    pub fn has_others(&self, tenant: TenantId, now: Timestamp) -> bool {
        let mut others = self.tenants.iter().filter(|(id, _)| **id != tenant);
        others.any(|(_, usage)| usage.requested(now, self.window) > 0.0)
    }

    /// Returns the demand of each tenant, in shard requests per second, from the counts of the last `elapsed_s`
    /// seconds.
    pub fn demands(&self, now: Timestamp, elapsed_s: f64, weight: impl Fn(TenantId) -> f64) -> Vec<Demand> {
        let demand = |(tenant, usage): (&TenantId, &TenantUsage)| Demand {
            tenant: *tenant,
            per_second: usage.requested(now, self.window) / elapsed_s,
            weight: weight(*tenant),
        };
        self.tenants.iter().map(demand).collect()
    }

    /// Sets the shares of the tenants. Shares of unknown tenants are ignored.
    pub fn set_shares(&mut self, shares: Vec<Share>) {
        for share in shares {
            if let Some(usage) = self.tenants.get_mut(&share.tenant) {
                usage.share_per_second = share.per_second;
                usage.is_limited = share.is_limited;
            }
        }
    }

    /// Fills all buckets.
    pub fn refill_buckets(&mut self) {
        self.tenants.values_mut().for_each(|usage| usage.bucket.refill());
    }

    /// Removes the tenants that sent no requests within the window, so that memory use does not grow with the number
    /// of tenants ever seen. This loses no information: their retries have left the window too, and their buckets
    /// would be full again.
    pub fn remove_idle(&mut self, now: Timestamp) {
        let window = self.window;
        self.tenants.retain(|_, usage| usage.requested(now, window) > 0.0);
    }
}

#[cfg(test)]
mod tests;

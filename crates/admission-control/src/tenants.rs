//! The tenants that requested something within the window: what each requested and retried, its share and its
//! token bucket. State only; the decisions by it are in `retry_budget`, `quota` and `fair_share`.

use crate::fair_share::{Demand, Share};
use crate::retry_budget::AdmittedAttempts;
use crate::token_bucket::TokenBucket;
use crate::window::Window;
use routing::{TenantId, TimeSpan, Timestamp};
use std::collections::BTreeMap;

/// The tenant under which all are counted that come when the table is full.
const OVERFLOW_TENANT: TenantId = TenantId(u32::MAX);

/// One tenant, while it requests something.
pub(crate) struct TenantUsage {
    /// Shard requests requested (`total`).
    requested: Window,
    /// Retries admitted (`marked`), first attempts admitted (`total`).
    attempts: Window,
    /// Its share while overloaded, in shard requests a second.
    share_per_second: f64,
    /// The share is less than it requests.
    pub is_limited: bool,
    /// Holds its share over bursts.
    bucket: TokenBucket,
}

impl TenantUsage {
    /// Counts the shard requests of a query that it sent.
    pub fn record_requested(&mut self, now: Timestamp, window: TimeSpan, shard_requests: f64) {
        self.requested.count(now, window, 0.0, shard_requests);
    }

    /// Counts an admitted query, as a retry or as a first attempt.
    pub fn record_admitted(&mut self, now: Timestamp, window: TimeSpan, is_retry: bool) {
        let (retries, first_attempts) = if is_retry { (1.0, 0.0) } else { (0.0, 1.0) };
        self.attempts.count(now, window, retries, first_attempts);
    }

    /// Shard requests that it requested within the window.
    pub fn requested(&self, now: Timestamp, window: TimeSpan) -> f64 {
        self.requested.sums(now, window).total
    }

    /// Its queries that were admitted within the window.
    pub fn admitted_attempts(&self, now: Timestamp, window: TimeSpan) -> AdmittedAttempts {
        let sums = self.attempts.sums(now, window);
        AdmittedAttempts { first_attempts: sums.total, retries: sums.marked }
    }

    /// Adds to its bucket what its share gave since it was last filled.
    pub fn fill_bucket(&mut self, now: Timestamp, burst: TimeSpan) {
        self.bucket.fill(now, self.share_per_second, burst);
    }

    /// Whether its bucket, as last filled, holds this many tokens, or all that it can hold.
    pub fn bucket_covers(&self, tokens: f64, burst: TimeSpan) -> bool {
        self.bucket.covers(tokens, self.share_per_second, burst)
    }

    /// Removes tokens from its bucket.
    pub fn take_tokens(&mut self, tokens: f64) {
        self.bucket.remove(tokens);
    }
}

/// All tenants that requested something within the window.
pub(crate) struct TenantTable {
    window: TimeSpan,
    max_tenants: usize,
    tenants: BTreeMap<TenantId, TenantUsage>,
}

impl TenantTable {
    /// An empty table for `max_tenants` tenants, and one more under which all others are counted.
    pub fn new(window: TimeSpan, max_tenants: usize) -> TenantTable {
        TenantTable { window, max_tenants, tenants: BTreeMap::new() }
    }

    /// The tenant under which one is counted. Once the table is full, new tenants are counted as one, so that
    /// a client that makes up tenant names can't use up the memory. The cost is that these share one quota
    /// and one retry budget.
    pub fn counted_as(&self, tenant: TenantId) -> TenantId {
        let is_full = self.tenants.len() >= self.max_tenants;
        if is_full && !self.tenants.contains_key(&tenant) { OVERFLOW_TENANT } else { tenant }
    }

    /// A tenant; a new one starts with a full bucket and an even share of the rate, which is in shard
    /// requests a second.
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

    /// Shard requests that all tenants requested within the window.
    pub fn requested(&self, now: Timestamp) -> f64 {
        self.tenants.values().map(|usage| usage.requested(now, self.window)).sum()
    }

    /// Whether any other tenant requested something within the window.
    pub fn has_others(&self, tenant: TenantId, now: Timestamp) -> bool {
        let mut others = self.tenants.iter().filter(|(id, _)| **id != tenant);
        others.any(|(_, usage)| usage.requested(now, self.window) > 0.0)
    }

    /// What each tenant requests, in shard requests a second, counted over `elapsed_s` seconds.
    pub fn demands(&self, now: Timestamp, elapsed_s: f64, weight: impl Fn(TenantId) -> f64) -> Vec<Demand> {
        let demand = |(tenant, usage): (&TenantId, &TenantUsage)| Demand {
            tenant: *tenant,
            per_second: usage.requested(now, self.window) / elapsed_s,
            weight: weight(*tenant),
        };
        self.tenants.iter().map(demand).collect()
    }

    /// Gives each tenant its share.
    pub fn set_shares(&mut self, shares: Vec<Share>) {
        for share in shares {
            if let Some(usage) = self.tenants.get_mut(&share.tenant) {
                usage.share_per_second = share.per_second;
                usage.is_limited = share.is_limited;
            }
        }
    }

    /// Fills all buckets up.
    pub fn refill_buckets(&mut self) {
        self.tenants.values_mut().for_each(|usage| usage.bucket.refill());
    }

    /// Forgets the tenants that requested nothing within the window, so that memory does not grow with every
    /// tenant ever seen. Nothing is lost: their retries have left the window too, and their buckets would be
    /// full again.
    pub fn forget_idle(&mut self, now: Timestamp) {
        let window = self.window;
        self.tenants.retain(|_, usage| usage.requested(now, window) > 0.0);
    }
}

#[cfg(test)]
mod tests;

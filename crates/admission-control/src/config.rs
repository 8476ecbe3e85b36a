//! The operator's settings of admission control, their defaults and their bounds.

use routing::TimeSpan;
use thiserror::Error;

/// The settings of admission control. The operator's keys have other names; [`AdmissionConfig::check`] and the
/// section `[admission]` of the `operator-config` package link them, and `docs/operate-admission.md` explains
/// them.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// The share of shard requests refused as overloaded or timed out, or of queries that the broker
    /// rejected, above which there is overload. Over 0, under 1.
    pub overload_threshold: f64,
    /// The span over which losses, requested shard requests and retries are counted; a step is a tenth of it.
    /// 100 ms at least.
    pub window: TimeSpan,
    /// While overloaded, the admitted rate is multiplied by this in a step above the level. Over 0, under 1.
    pub decrease_factor: f64,
    /// While overloaded, the admitted rate grows by this ratio in a step below the level. Over 0, 1 at most.
    pub increase_ratio: f64,
    /// The mode is normal again once the admitted rate is this many times the requested rate. 1 at least.
    pub recovery_headroom: f64,
    /// A tenant's token bucket holds what its share gives in this span. 0 and up.
    pub burst: TimeSpan,
    /// While overloaded, the retries of a tenant that are admitted in a window for each of its admitted first
    /// attempts. 0 and up.
    pub retry_ratio: f64,
    /// Retries that are admitted beside those, in a window. 0 and up.
    pub min_retries: f64,
    /// The most tenants that have a quota and a retry budget each; all others share one of each. 1 at least.
    pub max_tenants: u32,
    /// Whether, while overloaded, a query beyond its tenant's share is rejected or served at its minimum
    /// coverage while other tenants request something. Off: only retries have a budget, and the broker's
    /// cutoff falls on all tenants alike.
    pub enforce_quotas: bool,
}

impl Default for AdmissionConfig {
    /// The defaults of the operator's keys, as `docs/operate-admission.md` states them.
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            overload_threshold: 0.1,
            window: TimeSpan(50_000),
            decrease_factor: 0.8,
            increase_ratio: 0.1,
            recovery_headroom: 2.0,
            burst: TimeSpan(10_000),
            retry_ratio: 0.2,
            min_retries: 3.0,
            max_tenants: 10_000,
            enforce_quotas: true,
        }
    }
}

/// One setting whose value can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("`{key}` is {found}: {allowed}")]
pub struct InvalidValue {
    /// The operator's key.
    pub key: &'static str,
    /// The value that it has.
    pub found: String,
    /// The values that it may have.
    pub allowed: &'static str,
}

/// A numeric setting and whether its value lies within its bounds.
struct Check {
    key: &'static str,
    value: f64,
    is_within_bounds: bool,
    allowed: &'static str,
}

impl AdmissionConfig {
    /// Checks every setting.
    ///
    /// # Errors
    /// All values that can't be used, at once.
    pub fn check(&self) -> Result<(), Vec<InvalidValue>> {
        let invalid_values: Vec<InvalidValue> = self
            .checks()
            .into_iter()
            .filter(|check| !check.is_within_bounds || !check.value.is_finite())
            .map(|check| InvalidValue {
                key: check.key,
                found: check.value.to_string(),
                allowed: check.allowed,
            })
            .collect();
        if invalid_values.is_empty() { Ok(()) } else { Err(invalid_values) }
    }

    #[rustfmt::skip]
    fn checks(&self) -> [Check; 9] {
        let check = |key, value, is_within_bounds, allowed| Check { key, value, is_within_bounds, allowed };
        let is_open_ratio = |value: f64| value > 0.0 && value < 1.0;
        let is_increase = self.increase_ratio > 0.0 && self.increase_ratio <= 1.0;
        [
            check("level", self.overload_threshold, is_open_ratio(self.overload_threshold), "over 0 and under 1"),
            check("window_ms", self.window.as_ms(), self.window >= TimeSpan(1000), "100 at least"),
            check("decrease", self.decrease_factor, is_open_ratio(self.decrease_factor), "over 0 and under 1"),
            check("increase", self.increase_ratio, is_increase, "over 0, 1 at most"),
            check("open_above", self.recovery_headroom, self.recovery_headroom >= 1.0, "1 at least"),
            check("burst_ms", self.burst.as_ms(), self.burst >= TimeSpan::ZERO, "0 and up"),
            check("retry_share", self.retry_ratio, self.retry_ratio >= 0.0, "0 and up"),
            check("retry_floor", self.min_retries, self.min_retries >= 0.0, "0 and up"),
            check("most_callers", f64::from(self.max_tenants), self.max_tenants >= 1, "1 at least"),
        ]
    }
}

#[cfg(test)]
mod tests;

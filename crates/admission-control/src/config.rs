//! The operator's configuration of admission control, with default values and bounds.

use routing::TimeSpan;
use thiserror::Error;

/// The configuration of admission control. The operator's keys have different names, which are mapped to the fields
/// by [`AdmissionConfig::check`] and by the section `[admission]` of the `operator-config` package, and are described
/// in `docs/operate-admission.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// The fraction of shard requests that are refused as overloaded or time out, or of queries that the broker
    /// rejects, above which the controller detects overload. Greater than 0 and less than 1.
    pub overload_threshold: f64,
    /// The window over which losses, requested shard requests and retries are counted. A step is a tenth of it. At
    /// least 100 ms.
    pub window: TimeSpan,
    /// The factor by which the admitted rate is multiplied in a step with overload. Greater than 0 and less than 1.
    pub decrease_factor: f64,
    /// The ratio by which the admitted rate grows in a step of overloaded mode without overload. Greater than 0 and
    /// at most 1.
    pub increase_ratio: f64,
    /// The multiple of the requested rate that the admitted rate has to reach to end overloaded mode. At least 1.
    pub recovery_headroom: f64,
    /// The time over which a tenant's share fills its token bucket, which determines the bucket's depth. At least 0.
    pub burst: TimeSpan,
    /// The number of a tenant's retries that are admitted per window in overloaded mode, for each of its admitted
    /// first attempts. At least 0.
    pub retry_ratio: f64,
    /// The number of a tenant's retries that are admitted per window in addition to those. At least 0.
    pub min_retries: f64,
    /// The maximum number of tenants with a quota and a retry budget of their own. All other tenants share one quota
    /// and one retry budget. At least 1.
    pub max_tenants: u32,
    /// Whether overloaded mode enforces quotas: a query beyond its tenant's share is rejected, or served at its
    /// minimum coverage, while other tenants send requests. If `false`, only retries are limited, and the broker's
    /// cutoff applies to all tenants alike.
    pub enforce_quotas: bool,
}

impl Default for AdmissionConfig {
    /// Returns the default values of the operator's keys, as documented in `docs/operate-admission.md`.
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

/// The error for a setting whose value is out of bounds.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("`{key}` is {found}, expected {allowed}")]
pub struct InvalidValue {
    /// The key of the setting in the operator's configuration.
    pub key: &'static str,
    /// The configured value.
    pub found: String,
    /// A description of the allowed values.
    pub allowed: &'static str,
}

/// The value of a numeric setting, and whether it is within its bounds.
struct Check {
    key: &'static str,
    value: f64,
    is_within_bounds: bool,
    allowed: &'static str,
}

impl AdmissionConfig {
    /// Checks that every setting is within its bounds.
    ///
    /// # Errors
    /// Returns one error for each setting whose value is out of bounds.
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
            check("level", self.overload_threshold, is_open_ratio(self.overload_threshold), "a number greater than 0 and less than 1"),
            check("window_ms", self.window.as_ms(), self.window >= TimeSpan(1000), "at least 100"),
            check("decrease", self.decrease_factor, is_open_ratio(self.decrease_factor), "a number greater than 0 and less than 1"),
            check("increase", self.increase_ratio, is_increase, "a number greater than 0 and at most 1"),
            check("open_above", self.recovery_headroom, self.recovery_headroom >= 1.0, "at least 1"),
            check("burst_ms", self.burst.as_ms(), self.burst >= TimeSpan::ZERO, "at least 0"),
            check("retry_share", self.retry_ratio, self.retry_ratio >= 0.0, "at least 0"),
            check("retry_floor", self.min_retries, self.min_retries >= 0.0, "at least 0"),
            check("most_callers", f64::from(self.max_tenants), self.max_tenants >= 1, "at least 1"),
        ]
    }
}

#[cfg(test)]
mod tests;

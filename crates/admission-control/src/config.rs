//! The operator's settings of admission control, their defaults, and what is wrong with them.

use routing::Tenths;
use thiserror::Error;

/// The settings of admission control, named as the operator's keys are (`docs/operate-admission.md`).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// The share of shard requests refused as overloaded or timed out, or of queries that the broker
    /// rejected, above which the controller is overloaded. Over 0, under 1.
    pub level: f64,
    /// Over which losses, requested shard requests and retries are counted; a step is a tenth of it. 100 ms
    /// at least.
    pub window: Tenths,
    /// While overloaded, the admitted rate is multiplied by this at a step above the level. Over 0, under 1.
    pub decrease: f64,
    /// ...and by one and this at each step below the level. Over 0, 1 at the most.
    pub increase: f64,
    /// The mode is normal again once the admitted rate is this many times the requested rate. 1 at least.
    pub open_above: f64,
    /// A tenant's token bucket holds its share for so long. 0 and up.
    pub burst: Tenths,
    /// While overloaded, a tenant's retries within the window may be this share of its first attempts...
    pub retry_share: f64,
    /// ...and so many more. 0 and up.
    pub retry_floor: f64,
    /// The most tenants that are told apart; any more share one bucket. 1 at least.
    pub max_tenants: u32,
    /// While overloaded, a tenant that asks for more than its share is rejected for the rest, while others
    /// ask. Off: only retries have a budget, and the broker's cutoff falls on all tenants alike.
    pub shares: bool,
}

impl Default for AdmissionConfig {
    /// The design's starting level of pressure and its window; a decrease and an increase as in congestion
    /// control, which halve the rate in three steps and double it in seven; normal again at twice what is
    /// requested; a second's burst; retries a fifth of first attempts and three, as the retry budgets of
    /// well-known proxies have it.
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            level: 0.1,
            window: Tenths(50_000),
            decrease: 0.8,
            increase: 0.1,
            open_above: 2.0,
            burst: Tenths(10_000),
            retry_share: 0.2,
            retry_floor: 3.0,
            max_tenants: 10_000,
            shares: true,
        }
    }
}

/// One setting whose value can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("`{key}` is {holds}: {allowed}")]
pub struct InvalidValue {
    /// The operator's key.
    pub key: &'static str,
    /// The value that it has.
    pub holds: String,
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
                holds: check.value.to_string(),
                allowed: check.allowed,
            })
            .collect();
        if invalid_values.is_empty() { Ok(()) } else { Err(invalid_values) }
    }

    #[rustfmt::skip]
    fn checks(&self) -> [Check; 9] {
        let check = |key, value, is_within_bounds, allowed| Check { key, value, is_within_bounds, allowed };
        let is_open_ratio = |value: f64| value > 0.0 && value < 1.0;
        let is_increase = self.increase > 0.0 && self.increase <= 1.0;
        [
            check("level", self.level, is_open_ratio(self.level), "over 0 and under 1"),
            check("window_ms", self.window.as_ms(), self.window >= Tenths(1000), "100 at least"),
            check("decrease", self.decrease, is_open_ratio(self.decrease), "over 0 and under 1"),
            check("increase", self.increase, is_increase, "over 0, 1 at most"),
            check("open_above", self.open_above, self.open_above >= 1.0, "1 at least"),
            check("burst_ms", self.burst.as_ms(), self.burst >= Tenths::ZERO, "0 and up"),
            check("retry_share", self.retry_share, self.retry_share >= 0.0, "0 and up"),
            check("retry_floor", self.retry_floor, self.retry_floor >= 0.0, "0 and up"),
            check("most_callers", f64::from(self.max_tenants), self.max_tenants >= 1, "1 at least"),
        ]
    }
}

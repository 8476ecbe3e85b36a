//! What the admission controller allows: the operator's figures, and what is wrong with them. Their defaults, and what each
//! does, stand with the decisions in `admission.rs`.

use routing::Tenths;
use thiserror::Error;

/// How the admission controller shares what there is. `AdmissionConfig::default()` is what `docs/operate-admission.md` lists.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// The share of shard requests refused as full or timed out, or of queries that the module turned away, above
    /// which the admission controller is crowded. Over 0, under 1.
    pub level: f64,
    /// Over which harm, what is asked and retries are counted; a step is a tenth of it. 100 ms at least.
    pub window: Tenths,
    /// While crowded, the rate is multiplied by this at each step that finds harm. Over 0, under 1.
    pub decrease: f64,
    /// ...and by one and this at each step that finds none. Over 0, 1 at the most.
    pub increase: f64,
    /// The admission controller opens once the rate is this many times what is asked. 1 at least.
    pub open_above: f64,
    /// A tenant's bucket holds its share for so long. 0 and up.
    pub burst: Tenths,
    /// While crowded, a tenant's retries within the window may be this share of its first tries...
    pub retry_share: f64,
    /// ...and so many more. 0 and up.
    pub retry_floor: f64,
    /// The most tenants that are told apart; any more share one bucket. 1 at least.
    pub most_callers: u32,
    /// While crowded, who asks for more than its share is rejected for the rest, while others ask. Off:
    /// only retries have a budget, and the module's cut falls on all alike.
    pub shares: bool,
}

/// One figure that can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("`{key}` is {holds}: {allowed}")]
pub struct InvalidValue {
    pub key: &'static str,
    pub holds: String,
    pub allowed: &'static str,
}

impl AdmissionConfig {
    /// All that is wrong, at once.
    pub fn check(&self) -> Result<(), Vec<InvalidValue>> {
        let ratio = |x: f64| x > 0.0 && x < 1.0;
        let rows: [(&'static str, f64, bool, &'static str); 9] = [
            ("level", self.level, ratio(self.level), "over 0 and under 1"),
            ("window_ms", self.window.as_ms(), self.window >= Tenths(1000), "100 at least"),
            ("decrease", self.decrease, ratio(self.decrease), "over 0 and under 1"),
            ("increase", self.increase, self.increase > 0.0 && self.increase <= 1.0, "over 0, 1 at most"),
            ("open_above", self.open_above, self.open_above >= 1.0, "1 at least"),
            ("burst_ms", self.burst.as_ms(), self.burst >= Tenths::ZERO, "0 and up"),
            ("retry_share", self.retry_share, self.retry_share >= 0.0, "0 and up"),
            ("retry_floor", self.retry_floor, self.retry_floor >= 0.0, "0 and up"),
            ("most_callers", f64::from(self.most_callers), self.most_callers >= 1, "1 at least"),
        ];
        let wrong: Vec<InvalidValue> = rows
            .into_iter()
            .filter(|(_, value, sound, _)| !sound || !value.is_finite())
            .map(|(key, value, _, allowed)| InvalidValue { key, holds: value.to_string(), allowed })
            .collect();
        if wrong.is_empty() { Ok(()) } else { Err(wrong) }
    }
}

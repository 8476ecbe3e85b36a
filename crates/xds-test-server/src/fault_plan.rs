//! Faults that the test server injects.

use std::time::Duration;

/// Faults that the test server injects. A ratio is the probability (0 to 1) of the fault for each response.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// The seed for all random decisions.
    pub seed: u64,
    /// The probability that the stream is dropped before or directly after a response.
    pub drop_ratio: f64,
    /// The probability that a response is sent again under the same nonce.
    pub duplicate_ratio: f64,
    /// The probability that an older version is sent before the newest one.
    pub reorder_ratio: f64,
    /// The probability that a truncated response is sent before the newest version.
    pub corrupt_ratio: f64,
    /// The maximum delay of a response. The delay is drawn uniformly between zero and this.
    pub max_delay: Duration,
}

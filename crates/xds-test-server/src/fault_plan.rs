//! Which faults the service has.

use std::time::Duration;

/// How the service misbehaves, as shares (0 to 1) of its responses.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// The stream is dropped in place of a response, or right behind it.
    pub drop_ratio: f64,
    /// A response is sent once more under its nonce.
    pub duplicate_ratio: f64,
    /// An older version goes ahead of the newest.
    pub reorder_ratio: f64,
    /// An unreadable response goes ahead of the newest version.
    pub corrupt_ratio: f64,
    /// The longest that a response is held back; how long is drawn.
    pub max_delay: Duration,
}

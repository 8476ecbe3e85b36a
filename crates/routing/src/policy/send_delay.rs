//! The maximum delay between the decision to send an attempt and its arrival at the node.

use crate::config::BrokerConfig;
use crate::time::TimeSpan;

/// The number of turns that may pass until an attempt is written.
const MAX_TURNS: f64 = 2.0;

/// Returns the maximum delay until an attempt reaches its node: two turns, and the time that the front end
/// may need to connect and write.
///
/// Rules with a window (the retry budget, and the deduplication window of a class with idempotency keys)
/// apply to the requests as nodes receive them. An attempt that is decided on within a window can reach its
/// node after the window has ended; it would then count against a later window or be executed twice. Windows
/// are therefore enforced with this delay as a safety margin, at the cost of slightly fewer retries.
pub(crate) fn max_send_delay(config: &BrokerConfig) -> TimeSpan {
    config.period.mul_f64(MAX_TURNS) + config.send_lag
}

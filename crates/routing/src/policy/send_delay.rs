//! How long an attempt may take from its decision to its node.

use crate::config::BrokerConfig;
use crate::time::TimeSpan;

/// Turns that may pass until an attempt is written.
const TURNS: f64 = 2.0;

/// The longest way of an attempt to its node: two turns, and what the front end may need to connect and
/// write.
///
/// Rules with a window (the retry budget, a class's window for idempotency keys) are about what nodes see. An
/// attempt decided on within a window can reach its node after it, where it would count against another
/// window or run a second time. Windows are therefore kept with this much slack; the cost is a few retries
/// less.
pub(crate) fn max_send_delay(config: &BrokerConfig) -> TimeSpan {
    config.period.mul_f64(TURNS) + config.send_lag
}

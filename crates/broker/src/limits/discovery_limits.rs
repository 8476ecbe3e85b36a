//! Limits of requests to discovery. [`routing::discovery_backoff`] explains how the times are derived.

use super::machine::Capacity;
use super::to_duration;
use routing::discovery_backoff::{self, DiscoveryKind, NOTIFIED_AFTER_SILENCE, RetrySchedule};
use routing::{BrokerConfig, TimeSpan};
use std::time::Duration;

/// Limits of requests to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// The kind of discovery: a local agent if the settings declare the endpoint list as automatic, shared otherwise.
    pub kind: DiscoveryKind,
    /// The maximum length of a response with an endpoint list, in bytes.
    pub max_list_bytes: usize,
    /// The time for which discovery is asked to delay its response to a watch while there is no change.
    pub watch_wait: Duration,
    /// The time after `watch_wait` within which a watch must be answered.
    pub watch_slack: Duration,
    /// The minimum time between the starts of two list requests.
    pub list_retry_interval: Duration,
    /// The timeout of a request for the complete list.
    pub list_timeout: Duration,
    /// The timeout of the one list request that is kept pending for longer than the others. It is intended for
    /// discovery that takes longer than `list_timeout` to answer.
    pub long_list_timeout: Duration,
    /// The time after which the broker is considered notified of a change of the endpoint list, even if discovery was
    /// unreachable.
    pub assumed_notified_after: TimeSpan,
}

impl DiscoveryLimits {
    pub(super) fn new(capacity: &Capacity, config: &BrokerConfig) -> DiscoveryLimits {
        let kind = match config.watch_on_request {
            true => DiscoveryKind::Shared,
            false => DiscoveryKind::LocalAgent,
        };
        let drain_grace = to_duration(config.rules.drain_grace);
        let list_retry_interval = discovery_backoff::list_retry_interval(drain_grace);
        DiscoveryLimits {
            kind,
            max_list_bytes: capacity.list_bytes,
            watch_wait: discovery_backoff::watch_wait(to_duration(config.rules.endpoint_list_max_age)),
            watch_slack: discovery_backoff::WATCH_SLACK,
            list_retry_interval,
            list_timeout: discovery_backoff::list_timeout(kind, list_retry_interval),
            long_list_timeout: discovery_backoff::LONG_LIST_TIMEOUT,
            assumed_notified_after: TimeSpan::from_ms(NOTIFIED_AFTER_SILENCE.as_millis() as f64),
        }
    }

    /// Returns how failed requests are retried.
    pub fn retry_schedule(&self) -> RetrySchedule {
        discovery_backoff::retry_schedule(self.kind, self.list_retry_interval, self.list_timeout)
    }
}

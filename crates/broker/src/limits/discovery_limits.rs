//! Limits of requests to discovery. The rules behind the times are in [`routing::discovery_backoff`].

use super::machine::Capacity;
use super::to_duration;
use routing::discovery_backoff::{self, DiscoveryKind, NOTIFIED_AFTER_SILENCE, RetrySchedule};
use routing::{BrokerConfig, TimeSpan};
use std::time::Duration;

/// Limits of requests to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// An agent on the broker's own machine where the settings call the endpoint list automatic; else shared.
    pub kind: DiscoveryKind,
    /// An endpoint list, as discovery sends it.
    pub max_list_bytes: usize,
    /// How long discovery is asked to hold a watch.
    pub watch_wait: Duration,
    /// How much later than that a watch may be answered.
    pub watch_slack: Duration,
    /// The shortest time from the start of one list request to that of the next.
    pub list_retry_interval: Duration,
    /// A request for the complete list is given up after this.
    pub list_timeout: Duration,
    /// One such request is waited for this long, beside others.
    pub long_list_timeout: Duration,
    /// The broker counts as notified of a change of the endpoint list after this, whether discovery was reached or
    /// not.
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

    /// What follows a request that has failed.
    pub fn retry_schedule(&self) -> RetrySchedule {
        discovery_backoff::retry_schedule(self.kind, self.list_retry_interval, self.list_timeout)
    }
}

//! The schedule of requests to discovery: when the endpoint list is requested again, and how long a request
//! waits for its response.
//!
//! **Scope.** The length of a watch, the timeout of a list request, and the reaction to a watch or a list
//! request that failed or received no response.
//!
//! **Inputs.** The kind of discovery ([`DiscoveryKind`]), the maximum age of an endpoint list, and the drain
//! grace: how long a broker may still send to a draining node after it counts as notified of the drain. The
//! latter two are durations.
//!
//! **Rule.** The current list is always requested with a watch: a request that discovery answers at the next
//! change, or after [`watch_wait`]. After a failure,
//!
//! - a *local agent* is sent a new request at a fixed interval, [`list_retry_interval`], while earlier
//!   requests are still waiting for their responses;
//! - *shared* discovery is sent a new request when the routing logic asks for it
//!   ([`Effect::WatchEndpoints`]), with a backoff that doubles with each failure and has jitter.
//!
//! Of the concurrent requests, one has the long timeout [`LONG_LIST_TIMEOUT`], and the others are aborted
//! after [`list_timeout`].
//!
//! **Rationale.** The broker counts as notified of everything that a local agent holds, so a drain must be
//! read from the agent within the drain grace, and no other broker uses the capacity of the agent. Shared
//! discovery serves the whole fleet, and brokers that retry in unison would keep it down. The request with
//! the long timeout serves discovery whose responses take longer than [`list_timeout`].
//!
//! **Cost.** Up to [`MAX_PENDING_AGENT_REQUESTS`] connections to an unresponsive agent. A change that shared
//! discovery announces while it fails is received later by the length of the backoff.
//!
//! **Observability.** The log lines `endpoint list watch failed, the last list stays in use` and `endpoint
//! list request failed, retrying until one is answered`.
//!
//! [`Effect::WatchEndpoints`]: crate::Effect::WatchEndpoints

use std::time::Duration;

/// A broker counts as notified of a change this long after its watch last delivered data, or
/// [`NOTIFIED_AFTER_WAIT`] after the wait of the watch ended, whichever is later.
pub const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// The time after the end of a watch's wait at which a broker counts as notified, see
/// [`NOTIFIED_AFTER_SILENCE`].
pub const NOTIFIED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// How long after the end of its wait a watch may be answered. This is half of [`NOTIFIED_AFTER_WAIT`]; the
/// other half is reserved for the request that follows an unanswered watch.
pub const WATCH_SLACK: Duration = Duration::from_secs(1);
/// The timeout of the one list request with a long timeout. A broker that is not ready within 30 s of its
/// start counts as failed.
pub const LONG_LIST_TIMEOUT: Duration = Duration::from_secs(24);
/// The maximum number of concurrent list requests to an unresponsive agent, not counting the one with the
/// long timeout.
pub const MAX_PENDING_AGENT_REQUESTS: u32 = 10;

/// The minimum wait of a watch, because each watch costs discovery a request.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The number of watches within the maximum age of an endpoint list.
const WATCHES_PER_LIST_AGE: u32 = 10;
/// The number of timeouts of a list request to shared discovery that fit into [`NOTIFIED_AFTER_SILENCE`].
const SHARED_LIST_TIMEOUTS_PER_SILENCE: u32 = 2;
/// The number of list request intervals within a drain grace: a request is sent in the first third and
/// answered in the second, and in the last third the shard requests that have not been sent yet are
/// cancelled.
const LIST_REQUESTS_PER_GRACE: u32 = 3;
/// The allowance by which the drain grace on real sockets is longer than in a simulation.
const DRAIN_GRACE_ALLOWANCE: Duration = Duration::from_millis(50);

/// The kind of discovery service that a broker uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// An agent on the broker's own machine. As soon as the agent has received an update, the broker is
    /// considered notified of it.
    LocalAgent,
    /// A service that is shared by the whole fleet.
    Shared,
}

/// The way in which a failed watch or list request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySchedule {
    /// The next request starts this long after the previous one started, whether that one has failed or is
    /// still waiting.
    FixedInterval(Duration),
    /// The failure is reported to the routing logic, and the next request starts when it asks for one.
    RoutingBackoff {
        /// A list request without a response for this long counts as failed, but its response is still
        /// accepted.
        silence_timeout: Duration,
    },
}

/// Returns how long discovery is asked to hold a watch that has no change to report. `max_list_age` is the
/// maximum age of an endpoint list.
pub fn watch_wait(max_list_age: Duration) -> Duration {
    // With a longer wait, the end of the wait instead of the missing data would determine when the broker
    // counts as notified, without any benefit.
    let longest_wait = NOTIFIED_AFTER_SILENCE - NOTIFIED_AFTER_WAIT;
    (max_list_age / WATCHES_PER_LIST_AGE).clamp(MIN_WATCH_WAIT, longest_wait)
}

/// Returns the minimum time between the starts of two consecutive list requests.
pub fn list_retry_interval(drain_grace: Duration) -> Duration {
    (drain_grace + DRAIN_GRACE_ALLOWANCE) / LIST_REQUESTS_PER_GRACE
}

/// Returns the timeout of a list request other than the one with the long timeout.
pub fn list_timeout(kind: DiscoveryKind, list_retry_interval: Duration) -> Duration {
    match kind {
        DiscoveryKind::LocalAgent => WATCH_SLACK.min(list_retry_interval * MAX_PENDING_AGENT_REQUESTS),
        DiscoveryKind::Shared => NOTIFIED_AFTER_SILENCE / SHARED_LIST_TIMEOUTS_PER_SILENCE,
    }
}

/// Returns how a failed request to discovery is retried. `list_retry_interval` and `list_timeout` are the
/// results of the functions with these names, or replacements set by a test.
pub fn retry_schedule(
    kind: DiscoveryKind,
    list_retry_interval: Duration,
    list_timeout: Duration,
) -> RetrySchedule {
    match kind {
        DiscoveryKind::LocalAgent => RetrySchedule::FixedInterval(list_retry_interval),
        DiscoveryKind::Shared => RetrySchedule::RoutingBackoff { silence_timeout: list_timeout },
    }
}

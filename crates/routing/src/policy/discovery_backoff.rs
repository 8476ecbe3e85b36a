//! When discovery is asked for the endpoint list again, and how long one request waits for its answer.
//!
//! **Decided.** The length of a watch, the time limit of a list request, and what follows a watch or a list
//! request that failed or is silent.
//!
//! **Inputs.** What discovery is ([`DiscoveryKind`]), how old an endpoint list may be, and the drain grace: how
//! long after a broker counts as notified of a drain it may still send to the draining node. All are spans of time.
//!
//! **Rule.** The current list is always asked for in a watch: a request that discovery answers at the next change,
//! or after [`watch_wait`]. After a failure,
//!
//! - a *local agent* is asked again at a fixed interval, [`list_retry_interval`], while earlier requests still wait
//!   for their answers;
//! - *shared* discovery is asked again when the routing decisions say so ([`Effect::WatchEndpoints`]), whose backoff
//!   doubles with each failure and has jitter.
//!
//! Of the requests that wait at a time, one is patient ([`LONG_LIST_TIMEOUT`]), the others are given up after
//! [`list_timeout`].
//!
//! **Why.** What a local agent holds counts as known to the broker, so a drain must be read from it within the drain
//! grace, and nobody shares its capacity. Shared discovery is asked by the whole fleet: brokers that retry it
//! together would keep it down. The patient request serves discovery whose answers take longer than
//! [`list_timeout`].
//!
//! **Cost.** Up to [`MAX_PENDING_AGENT_REQUESTS`] connections to a silent agent; a change that shared discovery
//! announces while it fails is known later, by the length of the backoff.
//!
//! **How it shows.** The log lines `endpoint list watch failed, the last list stays in use` and `endpoint list
//! request failed, retrying until one is answered`.
//!
//! [`Effect::WatchEndpoints`]: crate::Effect::WatchEndpoints

use std::time::Duration;

/// A broker counts as notified of a change this long after its watch fell silent, or [`NOTIFIED_AFTER_WAIT`] after
/// the watch's wait was over, if that is later.
pub const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// See [`NOTIFIED_AFTER_SILENCE`].
pub const NOTIFIED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// How much later than its wait a watch may be answered. It is half of [`NOTIFIED_AFTER_WAIT`]: the other half is
/// for the request that follows a silent watch.
pub const WATCH_SLACK: Duration = Duration::from_secs(1);
/// How long the one patient list request waits. A broker that is not ready within 30 s of its start counts as failed.
pub const LONG_LIST_TIMEOUT: Duration = Duration::from_secs(24);
/// The most list requests that wait for a silent agent side by side, the patient one apart.
pub const MAX_PENDING_AGENT_REQUESTS: u32 = 10;

/// The shortest wait of a watch: each watch costs discovery a request.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The number of watches within the age that an endpoint list may have.
const WATCHES_PER_LIST_AGE: u32 = 10;
/// The share of a list request's time limit in [`NOTIFIED_AFTER_SILENCE`], as a divisor, where discovery is shared.
const SHARED_LIST_TIMEOUT_DIVISOR: u32 = 2;
/// List requests within a drain's grace: one is sent in the first third, answered in the second, and in the last
/// the shard requests that were not sent yet are cancelled.
const LIST_REQUESTS_PER_GRACE: u32 = 3;
/// How much longer than in a simulation the drain grace is on sockets.
const DRAIN_GRACE_ALLOWANCE: Duration = Duration::from_millis(50);

/// What discovery is, as seen from one broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// An agent on the broker's own machine; what it holds counts as known to the broker.
    LocalAgent,
    /// A service that the whole fleet asks.
    Shared,
}

/// What follows a watch or a list request that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySchedule {
    /// The next request starts this long after the previous one started, whether that one has failed or still waits.
    FixedInterval(Duration),
    /// The failure is reported to the routing decisions, and the next request starts when they ask for it.
    RoutingBackoff {
        /// A list request that is silent for this long counts as failed, though its answer is still accepted.
        silence_timeout: Duration,
    },
}

/// How long discovery is asked to hold a watch that has no change to report. `max_list_age`: how old an endpoint
/// list may be.
pub fn watch_wait(max_list_age: Duration) -> Duration {
    // With a longer wait the broker would count as notified by the wait, not by the silence, and gain nothing.
    let longest_wait = NOTIFIED_AFTER_SILENCE - NOTIFIED_AFTER_WAIT;
    (max_list_age / WATCHES_PER_LIST_AGE).clamp(MIN_WATCH_WAIT, longest_wait)
}

/// The shortest time from the start of one list request to that of the next.
pub fn list_retry_interval(drain_grace: Duration) -> Duration {
    (drain_grace + DRAIN_GRACE_ALLOWANCE) / LIST_REQUESTS_PER_GRACE
}

/// How long a list request that is not the patient one waits for its answer.
pub fn list_timeout(kind: DiscoveryKind, list_retry_interval: Duration) -> Duration {
    match kind {
        DiscoveryKind::LocalAgent => WATCH_SLACK.min(list_retry_interval * MAX_PENDING_AGENT_REQUESTS),
        DiscoveryKind::Shared => NOTIFIED_AFTER_SILENCE / SHARED_LIST_TIMEOUT_DIVISOR,
    }
}

/// What follows a failure of discovery. `list_retry_interval` and `list_timeout` are those of the functions of these
/// names, or what a test has set in their place.
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

//! Tests of the timeouts and retries of requests to discovery.

use routing::discovery_backoff::{
    DiscoveryKind, LONG_LIST_TIMEOUT, MAX_PENDING_AGENT_REQUESTS, NOTIFIED_AFTER_SILENCE,
    NOTIFIED_AFTER_WAIT, RetrySchedule, WATCH_SLACK, list_retry_interval, list_timeout, retry_schedule,
    watch_wait,
};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case(500, 1000)] // the minimum wait
#[case(10_000, 1000)]
#[case(25_000, 2500)] // a tenth of the maximum list age
#[case(40_000, 4000)]
#[case(600_000, 4000)] // the maximum wait
fn the_wait_of_a_watch_is_a_tenth_of_the_maximum_list_age(
    #[case] max_list_age_ms: u64,
    #[case] wait_ms: u64,
) {
    assert_eq!(watch_wait(Duration::from_millis(max_list_age_ms)), Duration::from_millis(wait_ms));
}

/// An unanswered watch is aborted, and the request that follows it can be answered, before the broker counts
/// as notified.
#[rstest]
fn half_of_the_time_after_a_wait_is_reserved_for_the_next_request() {
    assert_eq!(2 * WATCH_SLACK, NOTIFIED_AFTER_WAIT);
    let longest_watch = watch_wait(Duration::MAX) + NOTIFIED_AFTER_WAIT;
    assert_eq!(longest_watch, NOTIFIED_AFTER_SILENCE);
}

#[rstest]
#[case(250, 100_000)]
#[case(1000, 350_000)]
#[case(0, 16_666)]
fn a_drain_grace_contains_three_list_request_intervals(
    #[case] drain_grace_ms: u64,
    #[case] interval_us: u128,
) {
    let interval = list_retry_interval(Duration::from_millis(drain_grace_ms));
    assert_eq!(interval.as_micros(), interval_us);
}

/// A long retry interval must not extend the timeout of a list request to an agent beyond the slack of a
/// watch.
#[rstest]
#[case(DiscoveryKind::LocalAgent, 20, 200)]
#[case(DiscoveryKind::LocalAgent, 100, 1000)]
#[case(DiscoveryKind::LocalAgent, 400, 1000)]
#[case(DiscoveryKind::Shared, 20, 3000)]
#[case(DiscoveryKind::Shared, 400, 3000)]
fn list_requests_time_out_early_enough(
    #[case] kind: DiscoveryKind,
    #[case] interval_ms: u64,
    #[case] timeout_ms: u64,
) {
    let interval = Duration::from_millis(interval_ms);
    let timeout = list_timeout(kind, interval);
    assert_eq!(timeout, Duration::from_millis(timeout_ms));
    assert!(timeout < LONG_LIST_TIMEOUT);
    if kind == DiscoveryKind::LocalAgent {
        assert!(timeout <= interval * MAX_PENDING_AGENT_REQUESTS);
    }
}

#[rstest]
fn agents_are_retried_at_an_interval_and_shared_discovery_by_routing() {
    let (interval, timeout) = (Duration::from_millis(100), Duration::from_secs(1));
    assert_eq!(
        retry_schedule(DiscoveryKind::LocalAgent, interval, timeout),
        RetrySchedule::FixedInterval(interval)
    );
    assert_eq!(
        retry_schedule(DiscoveryKind::Shared, interval, timeout),
        RetrySchedule::RoutingBackoff { silence_timeout: timeout }
    );
}

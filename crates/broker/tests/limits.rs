//! Tests of the limits that are derived from the machine, the settings and the protocol's time limits.

use broker::config_epoch::ConfigEpoch;
use broker::limits::{self, Limits, LimitsError, Machine};
use routing::discovery_backoff::DiscoveryKind;
use routing::shutdown_deadline::ShutdownSchedule;
use routing::{ClassId, RequestClass, TimeSpan};
use rstest::rstest;
use settings::BrokerSettings;
use std::time::Duration;

const MACHINE: Machine = Machine { memory_mb: 192, sockets: 1024 };

/// Descriptors and memory are divided among clients, nodes, queries and endpoint lists; the scarcer of the two
/// decides. Descriptors are scarce in the first case, memory in the last.
#[rstest]
#[case::few_descriptors(Machine { memory_mb: 192, sockets: 64 }, [19, 2, 10, 10], 48 << 20, 2_048_000)]
#[case::usual(Machine { memory_mb: 192, sockets: 1024 }, [579, 82, 204, 330], 48 << 20, 2_048_000)]
#[case::little_memory(Machine { memory_mb: 32, sockets: 65_536 }, [103, 14, 58, 170], 8 << 20, 2_048_000)]
fn divides_descriptors_and_memory(
    #[case] machine: Machine,
    #[case] connections: [usize; 4],
    #[case] max_held_bytes: usize,
    #[case] max_list_bytes: usize,
) {
    let limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    let clients = &limits.clients;
    let actual = [
        clients.max_connections,
        clients.max_surplus_connections,
        clients.max_idle_connections,
        limits.nodes.max_connections,
    ];
    assert_eq!(actual, connections);
    assert_eq!((limits.max_held_bytes, limits.discovery.max_list_bytes), (max_held_bytes, max_list_bytes));
}

/// The error for a machine that is too small must name the resource, its amount and the amount needed.
#[rstest]
#[case(Machine { memory_mb: 192, sockets: 63 }, LimitsError::TooFewSockets { sockets: 63, needed: 64 })]
#[case(Machine { memory_mb: 31, sockets: 64 }, LimitsError::TooLittleMemory { memory_mb: 31, needed_mb: 32 })]
fn rejects_a_machine_that_is_too_small(#[case] machine: Machine, #[case] expected: LimitsError) {
    assert_eq!(Limits::new(machine, &BrokerSettings::default()).unwrap_err(), expected);
}

/// Guards against missing a drain because a watch fell silent. The broker counts as notified 6 s after the silence
/// began, or 2 s after the watch's wait if that is later. By then it must have detected the silence and requested
/// the list again, and the answer must have come with a third of the drain grace period to spare.
#[rstest]
fn detects_a_silent_watch_in_time(
    #[values(500.0, 10_000.0, 50_000.0, 600_000.0)] endpoint_list_max_age_ms: f64,
    #[values(60.0, 250.0, 1000.0, 5000.0)] grace_ms: f64,
) {
    let mut broker_settings = BrokerSettings::default();
    broker_settings.broker_config.rules.endpoint_list_max_age = TimeSpan::from_ms(endpoint_list_max_age_ms);
    broker_settings.broker_config.rules.drain_grace = TimeSpan::from_ms(grace_ms);
    let limits = Limits::new(MACHINE, &broker_settings).unwrap();
    assert_eq!(limits.discovery.kind, DiscoveryKind::LocalAgent);
    let notified_after = Duration::from_secs(6).max(limits.discovery.watch_wait + Duration::from_secs(2));
    let detected_after = limits.discovery.watch_wait + limits.discovery.watch_slack;
    assert!(detected_after < notified_after);
    let answered_after = detected_after + 2 * limits.discovery.list_retry_interval;
    assert!(
        answered_after + limits.discovery.list_retry_interval
            <= notified_after + Duration::from_millis(grace_ms as u64 + 50)
    );
}

/// Guards against a SIGKILL before the responses to open queries are written. The earliest SIGKILL comes 0.7 s plus
/// the longest deadline, of which at most 3 s count, after SIGTERM.
#[rstest]
#[case(700.0, 1400)]
#[case(3000.0, 3700)]
#[case(90_000.0, 3700)]
fn responds_before_sigkill(#[case] deadline_ms: f64, #[case] sigkill_ms: u64) {
    let mut broker_settings = BrokerSettings::default();
    let class = RequestClass { deadline: TimeSpan::from_ms(deadline_ms), ..Default::default() };
    broker_settings.broker_config.classes.insert(ClassId(0), class);
    let longest_deadline = ConfigEpoch::new(&broker_settings).longest_deadline();
    let schedule = ShutdownSchedule::new(limits::to_duration(longest_deadline));
    let answered_after = schedule.fail_open_after + schedule.final_response_timeout;
    assert!(answered_after < Duration::from_millis(sigkill_ms));
    assert!(answered_after + Duration::from_millis(100) >= Duration::from_millis(sigkill_ms));
}

/// A client that stops in the middle of a request must have its error response, and its connection must be closed,
/// within the 3 s of the specification, even if each check runs as late as possible.
#[rstest]
fn closes_incomplete_requests_within_three_seconds() {
    let limits = Limits::new(MACHINE, &BrokerSettings::default()).unwrap();
    let closed_after =
        limits.clients.io_timeout + limits.clients.unread_body_timeout + limits.clients.sweep_interval;
    assert!(closed_after < Duration::from_secs(3));
}

/// Unread bytes can hide that a client closed its connection. No attempt may begin more than 0.1 s after the close,
/// so the poll that detects a hidden close and the engine turns that act on it must take at most half of that; the
/// rest is for a busy machine.
#[rstest]
fn detects_a_hidden_close_in_time() {
    let broker_settings = BrokerSettings::default();
    let limits = Limits::new(MACHINE, &broker_settings).unwrap();
    let two_turns = 2 * limits::to_duration(broker_settings.broker_config.period);
    assert!(limits.clients.close_poll_interval + two_turns <= Duration::from_millis(50));
}

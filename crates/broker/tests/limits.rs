//! Times derived from the protocol's time limits and the settings.

use broker::config_epoch::ConfigEpoch;
use broker::limits::{self, Limits, LimitsError, Machine};
use routing::discovery_backoff::DiscoveryKind;
use routing::shutdown_deadline::ShutdownSchedule;
use routing::{ClassId, RequestClass, TimeSpan};
use rstest::rstest;
use settings::BrokerSettings;
use std::time::Duration;

const MACHINE: Machine = Machine { memory_mb: 192, sockets: 1024 };

/// The descriptors and the memory of a machine are divided among clients, nodes, queries and lists; where either is
/// scarce, it alone decides. In the small machine descriptors are, in the second one memory.
#[rstest]
#[case::few_descriptors(Machine { memory_mb: 192, sockets: 64 }, [19, 2, 10, 10], 48 << 20, 2_048_000)]
#[case::usual(Machine { memory_mb: 192, sockets: 1024 }, [579, 82, 204, 330], 48 << 20, 2_048_000)]
#[case::little_memory(Machine { memory_mb: 32, sockets: 65_536 }, [149, 21, 85, 170], 8 << 20, 2_048_000)]
fn divides_what_the_machine_gives(
    #[case] machine: Machine,
    #[case] connections: [usize; 4],
    #[case] held_bytes: usize,
    #[case] list_bytes: usize,
) {
    let limits = Limits::new(machine, &BrokerSettings::default()).unwrap();
    let clients = &limits.clients;
    let found = [
        clients.max_connections,
        clients.max_surplus_connections,
        clients.max_idle_connections,
        limits.nodes.max_connections,
    ];
    assert_eq!(found, connections);
    assert_eq!((limits.max_held_bytes, limits.discovery.max_list_bytes), (held_bytes, list_bytes));
}

/// A machine has too little of something. The error must say of what, how much there is, and how much is needed.
#[rstest]
#[case(Machine { memory_mb: 192, sockets: 63 }, LimitsError::TooFewSockets { sockets: 63, needed: 64 })]
#[case(Machine { memory_mb: 31, sockets: 64 }, LimitsError::TooLittleMemory { memory_mb: 31, needed_mb: 32 })]
fn rejects_a_machine_that_is_too_small(#[case] machine: Machine, #[case] expected: LimitsError) {
    assert_eq!(Limits::new(machine, &BrokerSettings::default()).unwrap_err(), expected);
}

/// A watch falls silent, and the broker misses a drain. It counts as notified 6 s after the silence began, or 2 s after the
/// watch's wait if that is later. By then the silence must be noticed, the agent asked again, and its answer there
/// with a third of the drain grace to spare.
#[rstest]
fn a_silent_watch_is_noticed_in_time(
    #[values(500.0, 10_000.0, 50_000.0, 600_000.0)] endpoint_list_max_age: f64,
    #[values(60.0, 250.0, 1000.0, 5000.0)] grace: f64,
) {
    let mut broker_settings = BrokerSettings::default();
    broker_settings.broker_config.rules.endpoint_list_max_age = TimeSpan::from_ms(endpoint_list_max_age);
    broker_settings.broker_config.rules.drain_grace = TimeSpan::from_ms(grace);
    let limits = Limits::new(MACHINE, &broker_settings).unwrap();
    assert_eq!(limits.discovery.kind, DiscoveryKind::LocalAgent);
    let notified = Duration::from_secs(6).max(limits.discovery.watch_wait + Duration::from_secs(2));
    let noticed = limits.discovery.watch_wait + limits.discovery.watch_slack;
    assert!(noticed < notified);
    let answered = noticed + 2 * limits.discovery.list_retry_interval;
    assert!(
        answered + limits.discovery.list_retry_interval
            <= notified + Duration::from_millis(grace as u64 + 50)
    );
}

/// Queries are open when the process must end. Their responses must be written before the earliest SIGKILL: the longest
/// deadline, at most 3 s, and 0.7 s after SIGTERM.
#[rstest]
#[case(700.0, 1400)]
#[case(3000.0, 3700)]
#[case(90_000.0, 3700)]
fn shuts_down_before_the_kill(#[case] deadline_ms: f64, #[case] kill_ms: u64) {
    let mut broker_settings = BrokerSettings::default();
    let class = RequestClass { deadline: TimeSpan::from_ms(deadline_ms), ..Default::default() };
    broker_settings.broker_config.classes.insert(ClassId(0), class);
    let longest_deadline = ConfigEpoch::new(&broker_settings).longest_deadline();
    let schedule = ShutdownSchedule::new(limits::to_duration(longest_deadline));
    let answered = schedule.fail_open_after + schedule.final_response_timeout;
    assert!(answered < Duration::from_millis(kill_ms));
    assert!(answered + Duration::from_millis(100) >= Duration::from_millis(kill_ms));
}

/// A client stops in the middle of a request. It must have its error, and its connection must be closed, within the 3 s
/// that the pages allow, even where each check comes as late as it may.
#[rstest]
fn bad_clients_are_gone_within_three_seconds() {
    let limits = Limits::new(MACHINE, &BrokerSettings::default()).unwrap();
    let closed =
        limits.clients.io_timeout + limits.clients.unread_body_timeout + limits.clients.sweep_interval;
    assert!(closed < Duration::from_secs(3));
}

/// A client leaves, and unread bytes hide its close. No attempt may begin more than 0.1 s later: the check for a hidden
/// close and the turns that act on it must leave half of that for a busy machine.
#[rstest]
fn a_hidden_close_is_seen_in_time() {
    let broker_settings = BrokerSettings::default();
    let limits = Limits::new(MACHINE, &broker_settings).unwrap();
    let turns = 2 * limits::to_duration(broker_settings.broker_config.period);
    assert!(limits.clients.close_poll_interval + turns <= Duration::from_millis(50));
}

//! The shipped `deploy/operator.ini` of release 0.1 with every line switched on: operators have copies of it,
//! so each key must be read as it is now. Keys that are shipped empty or off hold an example.

use admission_control::AdmissionConfig;
use config_rollout::RolloutPolicy;
use operator_config::{KEYS, LogFormat, RolloutConfig, read};
use routing::TimeSpan;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

const SWITCHED_ON: &str = include_str!("data/operator-switched-on.ini");

fn seconds(count: i64) -> TimeSpan {
    TimeSpan(count * 10_000)
}

#[rstest]
fn every_key_is_switched_on() {
    let stated: Vec<&str> = SWITCHED_ON.lines().filter(|line| !line.starts_with(';')).collect();
    for key in KEYS {
        let start = format!("{} = ", key.name);
        assert!(stated.iter().any(|line| line.starts_with(&start)), "`{}`", key.name);
    }
    assert_eq!(stated.iter().filter(|line| line.contains(" = ")).count(), KEYS.len());
}

#[rstest]
fn every_value_is_read() {
    let config = read(SWITCHED_ON).unwrap();
    assert_eq!(config.log_format, LogFormat::Text);
    let policy = RolloutPolicy {
        initial_backoff: seconds(1),
        max_backoff: seconds(60),
        max_connects: 10,
        connect_window: seconds(60),
        connect_timeout: seconds(15),
        stable_stream_age: seconds(10),
        suspect_duration: seconds(300),
        probation_duration: seconds(60),
        max_probation_duration: seconds(900),
        min_ended_queries: 30,
        failure_ratio_margin: 0.05,
    };
    let rollout = RolloutConfig {
        services: vec!["127.0.0.1:18000".parse().unwrap(), "[::1]:18001".parse().unwrap()],
        installation: "north".to_owned(),
        policy,
        max_document_bytes: 1_048_576,
        sample_interval: Duration::from_secs(1),
        status_address: Some("127.0.0.1:18002".parse().unwrap()),
        state_file: Some(PathBuf::from("/var/lib/shard-broker/kept.json")),
    };
    assert_eq!(config.rollout, Some(rollout));
    let admission = AdmissionConfig {
        overload_threshold: 0.1,
        window: seconds(5),
        decrease_factor: 0.8,
        increase_ratio: 0.1,
        recovery_headroom: 2.0,
        burst: seconds(1),
        retry_ratio: 0.2,
        min_retries: 3.0,
        max_tenants: 10_000,
        enforce_quotas: true,
    };
    assert_eq!(config.admission, Some(admission));
}

/// With the keys as they are shipped, each section that is left off says what it needs.
#[rstest]
fn what_is_left_off_is_named() {
    let shipped = SWITCHED_ON
        .replace("services = 127.0.0.1:18000, [::1]:18001", "services =")
        .replace("door = on", "door = off");
    let errors: Vec<String> = read(&shipped).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(errors, ["[admission] needs `door = on`", "[control] needs `services`"]);
}

//! Tests with the shipped `deploy/operator.ini` of release 0.1, with every line enabled. Operators have copies of
//! this file, so the meaning of its keys must not change. Keys that are shipped empty or disabled have example
//! values.

use admission_control::AdmissionConfig;
use config_rollout::RolloutPolicy;
use operator_config::{KEYS, LogFormat, RolloutConfig, read};
use routing::TimeSpan;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

const ALL_ENABLED: &str = include_str!("data/operator-switched-on.ini");

fn seconds(count: i64) -> TimeSpan {
    TimeSpan(count * 10_000)
}

#[rstest]
fn test_file_sets_every_key() {
    let enabled_lines: Vec<&str> = ALL_ENABLED.lines().filter(|line| !line.starts_with(';')).collect();
    for key in KEYS {
        let start = format!("{} = ", key.name);
        assert!(enabled_lines.iter().any(|line| line.starts_with(&start)), "`{}`", key.name);
    }
    assert_eq!(enabled_lines.iter().filter(|line| line.contains(" = ")).count(), KEYS.len());
}

#[rstest]
fn every_value_is_read() {
    let config = read(ALL_ENABLED).unwrap();
    assert_eq!(config.log_format, LogFormat::Text);
    let policy = RolloutPolicy {
        initial_backoff: seconds(1),
        max_backoff: seconds(60),
        max_connects: 10,
        connect_window: seconds(60),
        connect_timeout: seconds(15),
        stable_stream_age: seconds(10),
        avoid_duration: seconds(300),
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

/// If a section sets keys but lacks the key that enables it, the error must name that key.
#[rstest]
fn disabled_section_with_keys_is_an_error() {
    let shipped = ALL_ENABLED
        .replace("services = 127.0.0.1:18000, [::1]:18001", "services =")
        .replace("door = on", "door = off");
    let errors: Vec<String> = read(&shipped).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(
        errors,
        [
            "`door = on` is missing in section [admission]: the other keys of the section require it",
            "`services` is missing in section [control]: the other keys of the section require it"
        ]
    );
}

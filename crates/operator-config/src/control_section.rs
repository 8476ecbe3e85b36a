//! Section `[control]`: configuration versions from a configuration service.

use crate::OperatorConfigError;
use crate::key_values::KeyValues;
use crate::keys::CONTROL;
use crate::value_type::parse_addresses;
use config_rollout::RolloutPolicy;
use routing::TimeSpan;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Window of `calls_per_minute`, in milliseconds.
const MINUTE_MS: f64 = 60_000.0;

/// Subscription to the configuration versions of a configuration service.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Addresses of the configuration services. Not empty.
    pub services: Vec<SocketAddr>,
    /// Name of the installation whose versions the broker subscribes to.
    pub installation: String,
    /// Durations and limits of subscription and probation.
    pub policy: RolloutPolicy,
    /// Maximum length of a version's document, in bytes.
    pub max_document_bytes: usize,
    /// Interval at which the outcomes of queries are sampled for the probation.
    pub sample_interval: Duration,
    /// Listen address of the client status service, or `None` if the service is disabled.
    pub status_address: Option<SocketAddr>,
    /// File in which the last confirmed version is stored, or `None` if it is not stored.
    pub state_file: Option<PathBuf>,
}

/// Returns the configuration of the subscription, or `None` if the section names no service. Adds an error if it
/// names no service but other keys of the section are set, because they would have no effect.
pub(crate) fn read(values: &mut KeyValues) -> Option<RolloutConfig> {
    let services = parse_addresses(values.get(CONTROL, "services")).unwrap_or_default();
    if services.is_empty() {
        if values.has_other_keys(CONTROL, "services") {
            let error = OperatorConfigError::MissingKey { section: CONTROL, key: "services" };
            values.errors.push(error);
        }
        return None;
    }
    let policy = rollout_policy(values);
    check_bounds(values, &policy);
    if values.get(CONTROL, "installation").is_empty() {
        let error = OperatorConfigError::MissingKey { section: CONTROL, key: "installation" };
        values.errors.push(error);
    }
    Some(rollout_config(values, services, policy))
}

/// Converts the keys that are not part of the policy to the fields that they set.
fn rollout_config(values: &KeyValues, services: Vec<SocketAddr>, policy: RolloutPolicy) -> RolloutConfig {
    let number = |name: &str| values.number(CONTROL, name);
    let text = |name: &str| Some(values.get(CONTROL, name)).filter(|text| !text.is_empty());
    RolloutConfig {
        services,
        installation: values.get(CONTROL, "installation").to_owned(),
        policy: policy.spread_reconnects(number("fleet_brokers") as u32, number("fleet_calls_per_s")),
        max_document_bytes: number("document_bytes") as usize,
        sample_interval: Duration::from_millis(number("count_every_ms") as u64),
        status_address: text("status_listen").and_then(|address| address.parse().ok()),
        state_file: text("keep_file").map(PathBuf::from),
    }
}

/// Converts the keys of the policy to the fields that they set. In the names of the keys, a "trial" is the probation,
/// "retrievals" are queries, "calls" are connection attempts, and "waits" are the backoff.
fn rollout_policy(values: &KeyValues) -> RolloutPolicy {
    let number = |name: &str| values.number(CONTROL, name);
    let duration = |name: &str| TimeSpan::from_ms(number(name));
    RolloutPolicy {
        initial_backoff: duration("first_wait_ms"),
        max_backoff: duration("longest_wait_ms"),
        max_connects: number("calls_per_minute") as usize,
        connect_window: TimeSpan::from_ms(MINUTE_MS),
        connect_timeout: duration("call_within_ms"),
        stable_stream_age: duration("steady_ms"),
        avoid_duration: duration("suspect_ms"),
        probation_duration: duration("trial_ms"),
        max_probation_duration: duration("longest_trial_ms"),
        min_ended_queries: number("least_retrievals") as u64,
        failure_ratio_margin: number("margin"),
    }
}

/// Adds an error for each upper bound that is less than the value it limits.
fn check_bounds(values: &mut KeyValues, policy: &RolloutPolicy) {
    let bounds = [
        ("first_wait_ms", policy.initial_backoff, "longest_wait_ms", policy.max_backoff),
        ("trial_ms", policy.probation_duration, "longest_trial_ms", policy.max_probation_duration),
    ];
    for (lower_key, lower, key, bound) in bounds {
        if bound < lower {
            values.errors.push(OperatorConfigError::WrongOrder { key, lower_key });
        }
    }
}

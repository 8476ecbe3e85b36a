//! Builds the settings document that configures brokers on sockets like those of [`super::deployment`].

use crate::simulation::config::SimulationConfig;
use crate::simulation::deployment::{
    DRAIN_GRACE, ENDPOINT_LIST_MAX_AGE, LATENCY_OBJECTIVE, MAX_ATTEMPTS, MAX_OPEN_QUERIES, OVER_QUOTA_WEIGHT,
    REPLICA_GROUPS, TURN_PERIOD, idempotency_of, latency_objective_of, node_spec, tenant_quotas,
};
use cluster_trace::plan::{ClassSpec, ReplayConfig};
use routing::{Idempotency, TimeSpan};
use serde_json::{Value, json};

/// Name of the only zone.
pub const ZONE_NAME: &str = "zone-0";
/// Limits of a broker's connection to a node.
const CONNECTION_IDLE_TIMEOUT: TimeSpan = TimeSpan(6_000_000);
const CONNECT_TIMEOUT: TimeSpan = TimeSpan(10_000);
const STREAMS_PER_CONNECTION: u32 = 64;

/// Returns the name by which clients and brokers identify the tenant at this index.
pub fn tenant_name(index: usize) -> String {
    format!("u{index}")
}

/// Returns the settings of brokers on sockets, equivalent to [`super::deployment::broker_config`].
pub fn settings_text(replay: &ReplayConfig, config: &SimulationConfig) -> Value {
    let services: Vec<Value> = replay.classes.iter().map(service_settings).collect();
    let tenant = |(index, quota): (usize, f64)| json!({"Name": tenant_name(index), "QuotaRps": quota});
    let tenants: Vec<Value> = tenant_quotas(replay).into_iter().enumerate().map(tenant).collect();
    json!({
        "Instances": config.brokers,
        "PeriodMs": TURN_PERIOD.as_ms(),
        "RegistryMode": "automatic",
        "Areas": [ZONE_NAME],
        "Zone": 0,
        "Tenants": tenants,
        "OverShareWorth": OVER_QUOTA_WEIGHT,
        "Prices": {"LateFail": 0.0},
        "Services": services,
        "Domain": domain_settings(replay, config),
        "Limits": {
            "ConnIdleMs": CONNECTION_IDLE_TIMEOUT.as_ms(),
            "ConnectTimeoutMs": CONNECT_TIMEOUT.as_ms(),
            "MaxAttempts": MAX_ATTEMPTS,
            "MaxOpen": MAX_OPEN_QUERIES,
            "MayCancel": true,
            "SecondCopies": true,
            "StreamsPerConn": STREAMS_PER_CONNECTION,
            "RetryAfter": true,
            "MaxRetryAfterMs": LATENCY_OBJECTIVE.as_ms(),
        },
        "Rules": rule_settings(replay, config),
    })
}

/// Returns the entry of a request class in `Services`.
fn service_settings(class: &ClassSpec) -> Value {
    let (idempotency, dedup_window) = idempotency_of(class.idempotency);
    let effect = match idempotency {
        Idempotency::Idempotent => "idempotent",
        Idempotency::IdempotencyKey => "deduplicated",
        Idempotency::AtMostOnce => "at_most_once",
    };
    json!({
        "Name": class.name,
        "OnTimeMs": latency_objective_of(class).as_ms(),
        "DeadlineMs": class.deadline_ms,
        "Worth": class.priority_weight,
        "LateShare": 0.0,
        "Effect": effect,
        "DedupWindowMs": dedup_window.as_ms(),
    })
}

fn domain_settings(replay: &ReplayConfig, config: &SimulationConfig) -> Value {
    let of_classes = |value: fn(&ClassSpec) -> f64| replay.classes.iter().map(value).collect::<Vec<f64>>();
    json!({
        "Cells": config.placement_groups,
        "Reach": REPLICA_GROUPS,
        "Ranges": replay.shards,
        "PerCall": 1,
        "CompleteFrom": of_classes(|_| 1.0),
        "MinShare": of_classes(|class| class.min_coverage),
        "FetchParts": vec![0; replay.classes.len()],
    })
}

fn rule_settings(replay: &ReplayConfig, config: &SimulationConfig) -> Value {
    let node = node_spec(config);
    let mut rules = json!({
        "AskWithinMs": ENDPOINT_LIST_MAX_AGE.as_ms(),
        "ColdFrom": node.initial_capacity_share,
        "WarmUpMs": node.warm_up_period.as_ms(),
        "OverloadFactor": node.overload_factor,
        "OverloadForMs": node.overload_window.as_ms(),
        "StopSendingWithinMs": DRAIN_GRACE.as_ms(),
    });
    if let Some(budget) = replay.retry_budget {
        rules["ExtraFloor"] = json!(budget.min_retries);
        rules["ResendRatio"] = json!(budget.ratio);
        rules["BudgetWindowMs"] = json!(budget.window_ms);
    }
    rules
}

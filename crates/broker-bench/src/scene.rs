//! What a plan becomes for brokers, hosts and the audit: the stated assumptions of a rehearsal, the same in
//! virtual time and on sockets.

use crate::audit::{Bounds, Kind};
use crate::outcome::Worth;
use crate::rehearse::Cast;
use cluster_trace::plan::{ClassIdempotency, ClassSpec, ReplayConfig};
use node_emulator::{EmulatedNode, NodeSpec, NodeState};
use routing::{
    BrokerConfig, ClassId, EndpointState, Idempotency, RequestClass, RequestLimits, RetryBudget, SafetyRules,
    ShardLayout, Tenant, TenantId, Tenths,
};
use serde_json::{Value, json};

/// One way through the network, the least time between turns, and how late the endpoint list tells of starts and
/// deaths.
pub const TRIP: Tenths = Tenths(5);
pub const PERIOD: Tenths = Tenths(50);
pub const ROLL_LATE: Tenths = Tenths(10_000);
/// Goal time of all classes, and the longest that a tenant is told to stay away.
pub const GOAL: Tenths = Tenths(20_000);
/// How long an attempt may still go to a node that the endpoint list told to be draining or gone.
const GRACE: Tenths = Tenths(2500);
const ASK_WITHIN: Tenths = Tenths(100_000);
const MOST_OPEN: u32 = 2000;
const MOST_PUSHES: u32 = 3;
/// What a query beyond its tenant's quota is worth to the module; service counts all alike.
const OVER_SHARE: f64 = 0.1;
/// Cells that hold a shard.
const REACH: u32 = 2;

fn effect(idempotency: ClassIdempotency) -> (Idempotency, Tenths) {
    match idempotency {
        ClassIdempotency::Idempotent => (Idempotency::Idempotent, Tenths::ZERO),
        ClassIdempotency::IdempotencyKey { dedup_window_ms } => {
            (Idempotency::IdempotencyKey, Tenths::from_ms(f64::from(dedup_window_ms)))
        }
        ClassIdempotency::AtMostOnce => (Idempotency::AtMostOnce, Tenths::ZERO),
    }
}

fn deadline(told: &ClassSpec) -> Tenths {
    Tenths::from_ms(f64::from(told.deadline_ms))
}

fn budget(replay: &ReplayConfig) -> Option<RetryBudget> {
    let budget = replay.retry_budget?;
    let window = Tenths::from_ms(f64::from(budget.window_ms));
    Some(RetryBudget { floor: budget.floor, share: budget.ratio, window })
}

/// Of each tenant, where there are quotas.
fn quotas(replay: &ReplayConfig) -> Vec<f64> {
    let all: f64 = replay.tenant_weights.iter().sum();
    let quota = |quota: f64| replay.tenant_weights.iter().map(move |share| quota * share / all).collect();
    replay.quota_per_s.map(quota).unwrap_or_default()
}

/// What a tenant is called on the wire.
pub fn tenant_name(no: usize) -> String {
    format!("u{no}")
}

pub fn build(cast: &Cast) -> NodeSpec {
    NodeSpec { cores: cast.cores, warm_up_jobs: cast.warm_jobs, cancel: cast.cancel, ..NodeSpec::default() }
}

/// One that runs since long ago.
pub fn warm_host(cast: &Cast) -> EmulatedNode {
    EmulatedNode::new(build(cast), None)
}

/// One without a process.
pub fn dead_host(cast: &Cast) -> EmulatedNode {
    let mut host = warm_host(cast);
    host.crash();
    host
}

pub fn endpoint_state(state: NodeState) -> EndpointState {
    match state {
        NodeState::Ready => EndpointState::Ready,
        NodeState::Draining => EndpointState::Draining,
        NodeState::Down => EndpointState::Removed,
    }
}

pub fn broker_config(replay: &ReplayConfig, cast: &Cast) -> BrokerConfig {
    let class = |(no, told): (usize, &ClassSpec)| {
        let (effect, dedup_window) = effect(told.idempotency);
        let class = RequestClass {
            latency_objective: GOAL.min(deadline(told)),
            deadline: deadline(told),
            priority_weight: told.priority_weight,
            min_coverage: told.min_coverage,
            complete_coverage: 1.0,
            effect,
            dedup_window,
            ..RequestClass::default()
        };
        (ClassId(no as u16), class)
    };
    let quota = |(no, quota_per_s)| (TenantId(no), Tenant { quota_per_s });
    let build = build(cast);
    BrokerConfig {
        brokers: cast.brokers,
        period: PERIOD,
        send_lag: TRIP,
        classes: replay.classes.iter().enumerate().map(class).collect(),
        tenants: quotas(replay).into_iter().enumerate().map(|(no, q)| quota((no as u32, q))).collect(),
        over_quota_weight: OVER_SHARE,
        layout: ShardLayout {
            placement_groups: cast.cells,
            replica_groups: REACH,
            shards: replay.shards,
            max_batch_size: 1,
        },
        limits: RequestLimits {
            max_open: MOST_OPEN,
            max_attempts: MOST_PUSHES,
            allow_hedging: true,
            allow_cancel: true,
            retry_after: true,
            max_retry_after: GOAL,
        },
        rules: SafetyRules {
            initial_capacity_share: build.initial_capacity_share,
            warm_up_period: build.warm_up_period,
            overload_factor: build.overload_factor,
            overload_window: build.overload_window,
            endpoint_list_max_age: ASK_WITHIN,
            drain_grace: GRACE,
            retry_budget: budget(replay),
        },
        ..BrokerConfig::default()
    }
}

/// The same as the platform's settings, for brokers on sockets.
pub fn settings(replay: &ReplayConfig, cast: &Cast) -> Value {
    let service = |told: &ClassSpec| {
        let (kind, window) = effect(told.idempotency);
        let word = match kind {
            Idempotency::Idempotent => "idempotent",
            Idempotency::IdempotencyKey => "deduplicated",
            Idempotency::AtMostOnce => "at_most_once",
        };
        json!({"Name": told.name, "OnTimeMs": GOAL.min(deadline(told)).as_ms(), "DeadlineMs": told.deadline_ms,
            "Worth": told.priority_weight, "LateShare": 0.0, "Effect": word, "DedupWindowMs": window.as_ms()})
    };
    let services: Vec<Value> = replay.classes.iter().map(service).collect();
    let all = |value: fn(&ClassSpec) -> f64| replay.classes.iter().map(value).collect::<Vec<f64>>();
    let tenant = |(no, quota): (usize, f64)| json!({"Name": tenant_name(no), "QuotaRps": quota});
    let tenants: Vec<Value> = quotas(replay).into_iter().enumerate().map(tenant).collect();
    let build = build(cast);
    let mut rules = json!({"AskWithinMs": ASK_WITHIN.as_ms(), "ColdFrom": build.initial_capacity_share,
        "WarmUpMs": build.warm_up_period.as_ms(), "OverloadFactor": build.overload_factor,
        "OverloadForMs": build.overload_window.as_ms(), "StopSendingWithinMs": GRACE.as_ms()});
    if let Some(budget) = replay.retry_budget {
        rules["ExtraFloor"] = json!(budget.floor);
        rules["ResendRatio"] = json!(budget.ratio);
        rules["BudgetWindowMs"] = json!(budget.window_ms);
    }
    json!({"Instances": cast.brokers, "PeriodMs": PERIOD.as_ms(), "RegistryMode": "automatic", "Areas": ["hall"],
        "Zone": 0, "Tenants": tenants, "OverShareWorth": OVER_SHARE, "Prices": {"LateFail": 0.0}, "Services": services,
        "Domain": {"Cells": cast.cells, "Reach": REACH, "Ranges": replay.shards, "PerCall": 1,
            "CompleteFrom": all(|_| 1.0), "MinShare": all(|told| told.min_coverage), "FetchParts": vec![0; replay.classes.len()]},
        "Limits": {"ConnIdleMs": 600_000.0, "ConnectTimeoutMs": 1000.0, "MaxAttempts": MOST_PUSHES,
            "MaxOpen": MOST_OPEN, "MayCancel": true, "SecondCopies": true, "StreamsPerConn": 64, "RetryAfter": true,
            "MaxRetryAfterMs": GOAL.as_ms()},
        "Rules": rules})
}

pub fn bounds(replay: &ReplayConfig, slack: Tenths) -> Bounds {
    let kind = |told: &ClassSpec| {
        let (effect, dedup_window) = effect(told.idempotency);
        Kind { deadline: deadline(told), least: told.min_coverage, effect, dedup_window }
    };
    let kinds = replay.classes.iter().map(kind).collect();
    Bounds { kinds, budget: budget(replay), grace: GRACE, slack }
}

pub fn worth(replay: &ReplayConfig) -> Vec<Worth> {
    let worth = |told: &ClassSpec| Worth {
        name: told.name.clone(),
        priority_weight: told.priority_weight,
        goal: GOAL.min(deadline(told)),
    };
    replay.classes.iter().map(worth).collect()
}

//! Derives the configuration of brokers, nodes and the invariant checker from a replay's configuration, for virtual
//! time and for sockets. [`super::settings_text`] builds the equivalent settings document for brokers on sockets.

use crate::invariants::{ClassLimits, InvariantLimits};
use crate::run_results::ClassObjective;
use crate::simulation::config::SimulationConfig;
use cluster_trace::plan::{ClassIdempotency, ClassSpec, ReplayConfig};
use node_emulator::{EmulatedNode, NodeSpec, NodeState};
use routing::{
    BrokerConfig, ClassId, EndpointState, Idempotency, RequestClass, RequestLimits, RetryBudget, SafetyRules,
    ShardLayout, Tenant, TenantId, TimeSpan,
};
use std::collections::BTreeMap;

/// Network latency of a message.
pub const ONE_WAY_LATENCY: TimeSpan = TimeSpan(5);
/// Shortest time between two turns of a broker.
pub const TURN_PERIOD: TimeSpan = TimeSpan(50);
/// Delay from the start or stop of a node to its publication in the endpoint list.
pub const ENDPOINT_LIST_DELAY: TimeSpan = TimeSpan(10_000);
/// Upper bound of the latency objective of all classes, and of the `retry_after` of a rejection.
pub const LATENCY_OBJECTIVE: TimeSpan = TimeSpan(20_000);
/// Grace period in which attempts may still be sent to a node that was published as draining or removed.
pub(super) const DRAIN_GRACE: TimeSpan = TimeSpan(2500);
/// Age from which on a broker requests the endpoint list again.
pub(super) const ENDPOINT_LIST_MAX_AGE: TimeSpan = TimeSpan(100_000);
/// Upper bound of the open queries of a broker.
pub(super) const MAX_OPEN_QUERIES: u32 = 2000;
/// Upper bound of the attempts at one shard request.
pub(super) const MAX_ATTEMPTS: u32 = 3;
/// Factor on the priority weight of a query over its tenant's quota, as brokers see it. Service counts the full
/// weight of all queries.
pub(super) const OVER_QUOTA_WEIGHT: f64 = 0.1;
/// Number of placement groups that hold a shard.
pub(super) const REPLICA_GROUPS: u32 = 2;

/// Returns the idempotency and the deduplication window of a class.
pub(super) fn idempotency_of(idempotency: ClassIdempotency) -> (Idempotency, TimeSpan) {
    match idempotency {
        ClassIdempotency::Idempotent => (Idempotency::Idempotent, TimeSpan::ZERO),
        ClassIdempotency::IdempotencyKey { dedup_window_ms } => {
            (Idempotency::IdempotencyKey, TimeSpan::from_ms(f64::from(dedup_window_ms)))
        }
        ClassIdempotency::AtMostOnce => (Idempotency::AtMostOnce, TimeSpan::ZERO),
    }
}

fn deadline_of(class: &ClassSpec) -> TimeSpan {
    TimeSpan::from_ms(f64::from(class.deadline_ms))
}

pub(super) fn latency_objective_of(class: &ClassSpec) -> TimeSpan {
    LATENCY_OBJECTIVE.min(deadline_of(class))
}

fn retry_budget(replay: &ReplayConfig) -> Option<RetryBudget> {
    let budget = replay.retry_budget?;
    let window = TimeSpan::from_ms(f64::from(budget.window_ms));
    Some(RetryBudget { min_retries: budget.min_retries, ratio: budget.ratio, window })
}

/// Returns the quota of each tenant in queries per second, or an empty list if there are no quotas.
pub(super) fn tenant_quotas(replay: &ReplayConfig) -> Vec<f64> {
    let total: f64 = replay.tenant_weights.iter().sum();
    let shares =
        |quota: f64| replay.tenant_weights.iter().map(move |weight| quota * weight / total).collect();
    replay.quota_per_s.map(shares).unwrap_or_default()
}

/// Returns the parameters of a node's model.
pub(super) fn node_spec(config: &SimulationConfig) -> NodeSpec {
    NodeSpec {
        cores: config.cores,
        warm_up_jobs: config.warm_jobs,
        cancel: config.cancel,
        ..NodeSpec::default()
    }
}

/// Returns a running node that has warmed up.
pub fn warm_node(config: &SimulationConfig) -> EmulatedNode {
    EmulatedNode::new(node_spec(config), None)
}

/// Returns a node whose process is not running.
pub fn stopped_node(config: &SimulationConfig) -> EmulatedNode {
    let mut node = warm_node(config);
    node.crash();
    node
}

/// Returns the state that discovery publishes for a node's state.
pub fn endpoint_state(state: NodeState) -> EndpointState {
    match state {
        NodeState::Ready => EndpointState::Ready,
        NodeState::Draining => EndpointState::Draining,
        NodeState::Down => EndpointState::Removed,
    }
}

/// Returns the configuration of brokers in virtual time.
pub fn broker_config(replay: &ReplayConfig, config: &SimulationConfig) -> BrokerConfig {
    BrokerConfig {
        brokers: config.brokers,
        period: TURN_PERIOD,
        send_lag: ONE_WAY_LATENCY,
        classes: request_classes(replay),
        tenants: tenants(replay),
        over_quota_weight: OVER_QUOTA_WEIGHT,
        layout: shard_layout(replay, config),
        limits: request_limits(),
        rules: safety_rules(replay, config),
        ..BrokerConfig::default()
    }
}

fn request_classes(replay: &ReplayConfig) -> BTreeMap<ClassId, RequestClass> {
    let classes = replay.classes.iter().enumerate();
    classes.map(|(index, class)| (ClassId(index as u16), request_class(class))).collect()
}

fn request_class(class: &ClassSpec) -> RequestClass {
    let (idempotency, dedup_window) = idempotency_of(class.idempotency);
    RequestClass {
        latency_objective: latency_objective_of(class),
        deadline: deadline_of(class),
        priority_weight: class.priority_weight,
        min_coverage: class.min_coverage,
        complete_coverage: 1.0,
        idempotency,
        dedup_window,
        ..RequestClass::default()
    }
}

fn tenants(replay: &ReplayConfig) -> BTreeMap<TenantId, Tenant> {
    let quotas = tenant_quotas(replay).into_iter().enumerate();
    quotas.map(|(index, quota_per_s)| (TenantId(index as u32), Tenant { quota_per_s })).collect()
}

fn shard_layout(replay: &ReplayConfig, config: &SimulationConfig) -> ShardLayout {
    ShardLayout {
        placement_groups: config.placement_groups,
        replica_groups: REPLICA_GROUPS,
        shards: replay.shards,
        max_batch_size: 1,
    }
}

fn request_limits() -> RequestLimits {
    RequestLimits {
        max_open: MAX_OPEN_QUERIES,
        max_attempts: MAX_ATTEMPTS,
        allow_hedging: true,
        allow_cancel: true,
        send_retry_after: true,
        max_retry_after: LATENCY_OBJECTIVE,
    }
}

fn safety_rules(replay: &ReplayConfig, config: &SimulationConfig) -> SafetyRules {
    let node = node_spec(config);
    SafetyRules {
        initial_capacity_share: node.initial_capacity_share,
        warm_up_period: node.warm_up_period,
        overload_factor: node.overload_factor,
        overload_window: node.overload_window,
        endpoint_list_max_age: ENDPOINT_LIST_MAX_AGE,
        drain_grace: DRAIN_GRACE,
        retry_budget: retry_budget(replay),
    }
}

/// Returns the limits of the invariant checker; `slack` is the longest delay from an event to its observation.
pub fn invariant_limits(replay: &ReplayConfig, slack: TimeSpan) -> InvariantLimits {
    let limits = |class: &ClassSpec| {
        let (idempotency, dedup_window) = idempotency_of(class.idempotency);
        ClassLimits {
            deadline: deadline_of(class),
            min_coverage: class.min_coverage,
            idempotency,
            dedup_window,
        }
    };
    let classes = replay.classes.iter().map(limits).collect();
    InvariantLimits { classes, retry_budget: retry_budget(replay), grace: DRAIN_GRACE, slack }
}

/// Returns the priority weight and latency objective of each class.
pub fn class_objectives(replay: &ReplayConfig) -> Vec<ClassObjective> {
    let value = |class: &ClassSpec| ClassObjective {
        name: class.name.clone(),
        priority_weight: class.priority_weight,
        latency_objective: latency_objective_of(class),
    };
    replay.classes.iter().map(value).collect()
}

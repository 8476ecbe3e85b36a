//! Configuration of a broker: request classes, tenants, shard layout, limits and safety rules.

use crate::ids::{ClassId, PlacementGroupId, ShardId, TenantId, ZoneId};
use crate::time::TimeSpan;
use std::collections::BTreeMap;

/// Complete configuration of a broker, passed to [`Broker::start`](crate::Broker::start) and replaced by
/// [`Input::Config`](crate::Input::Config).
///
/// A query keeps the configuration under which it was accepted. The id of a class or a tenant refers to the same
/// class or tenant for the lifetime of the broker; the id of a removed one is not reused.
#[derive(Clone, Debug, Default)]
pub struct BrokerConfig {
    /// Number of brokers that share the load, including this one.
    pub brokers: u32,
    /// Zone in which this broker runs.
    pub zone: ZoneId,
    /// Minimum time between two turns.
    pub period: TimeSpan,
    /// Maximum time between the call of `Broker::turn` that sends an attempt and its arrival at the node.
    pub send_lag: TimeSpan,
    /// Request classes that this broker accepts; queries of other classes fail.
    pub classes: BTreeMap<ClassId, RequestClass>,
    /// Tenants that have a quota; queries of other tenants are not limited by one.
    pub tenants: BTreeMap<TenantId, Tenant>,
    /// Factor that is applied to the priority weight of a query whose tenant exceeds its quota.
    pub over_quota_weight: f64,
    /// Assignment of shards to placement groups.
    pub layout: ShardLayout,
    /// Limits on open requests, attempts and rejections.
    pub limits: RequestLimits,
    /// Safety rules for sending requests to nodes.
    pub rules: SafetyRules,
    /// Whether the broker has to request endpoint lists with
    /// [`Effect::WatchEndpoints`](crate::Effect::WatchEndpoints); otherwise it receives them unrequested.
    pub watch_on_request: bool,
    /// Whether nodes report their load only in response to a probe.
    pub load_by_probe: bool,
    /// Cost of a query that fails after its latency objective, as a fraction of its priority weight.
    pub late_failure_cost: f64,
}

/// Latency, coverage and idempotency requirements of one kind of query.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Time within which a response counts as on time.
    pub latency_objective: TimeSpan,
    /// Factor by which the expected work of a query extends its latency objective.
    pub objective_stretch: f64,
    /// Time after which a response has no value.
    pub deadline: TimeSpan,
    /// Value of a query that is served on time, relative to queries of other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that remains for a response after the latency objective.
    pub late_weight_share: f64,
    /// Minimum coverage of a response, from 0 to 1.
    pub min_coverage: f64,
    /// Coverage from which a response counts as complete, from 0 to 1.
    pub complete_coverage: f64,
    /// Number of shard requests in the second phase, which follows the first response; 0 if the class has one
    /// phase.
    pub second_phase_shard_requests: u32,
    /// Whether a shard request may be executed more than once.
    pub idempotency: Idempotency,
    /// Period during which a node discards repeats of a request with an idempotency key, from the first attempt
    /// that may have been executed. Other requests ignore this field.
    pub dedup_window: TimeSpan,
}

/// Effect of executing a shard request more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    #[default]
    Idempotent,
    /// The request carries a key by which nodes discard repeats for [`RequestClass::dedup_window`].
    IdempotencyKey,
    /// The request must not be executed twice.
    AtMostOnce,
}

/// Limits of one tenant of the service.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Number of queries per second that the tenant may send to all brokers together.
    pub quota_per_s: f64,
}

/// Assignment of shards to placement groups. Each shard is held by the nodes of several consecutive groups.
#[derive(Clone, Debug, Default)]
pub struct ShardLayout {
    /// Number of placement groups.
    pub placement_groups: u32,
    /// Number of consecutive placement groups that hold a shard.
    pub replica_groups: u32,
    /// Number of shards.
    pub shards: u32,
    /// Maximum number of shard requests in a batch.
    pub max_batch_size: u32,
}

impl ShardLayout {
    /// Returns the placement groups whose nodes hold `shard`.
    pub fn groups_of(&self, shard: ShardId) -> impl Iterator<Item = PlacementGroupId> + '_ {
        let groups = self.placement_groups.max(1);
        let offsets = 0..self.replica_groups.min(groups);
        offsets.map(move |offset| PlacementGroupId((shard.0 % groups + offset) % groups))
    }
}

/// Limits on open requests, attempts and rejections.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    /// Maximum number of queries and shard requests that are open at the same time.
    pub max_open: u32,
    /// Maximum number of attempts for one shard request.
    pub max_attempts: u32,
    /// Whether a shard request may have two attempts in flight at the same time.
    pub allow_hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub allow_cancel: bool,
    /// Whether rejections tell the client how long to wait before it retries.
    pub send_retry_after: bool,
    /// Maximum wait that a rejection states; ignored unless `send_retry_after` is set.
    pub max_retry_after: TimeSpan,
}

/// Safety rules for sending requests to nodes. The broker always respects them.
#[derive(Clone, Debug, Default)]
pub struct SafetyRules {
    /// Minimum fraction of its full capacity that a node has when it starts, from 0 to 1.
    pub initial_capacity_share: f64,
    /// Maximum time from the start of a node until it has its full capacity.
    pub warm_up_period: TimeSpan,
    /// Multiple of its current capacity that a node may receive while it warms up; a higher load for
    /// `overload_window` makes it collapse.
    pub overload_factor: f64,
    /// Time for which a node that warms up withstands a load above `overload_factor`.
    pub overload_window: TimeSpan,
    /// Age up to which the nodes of the last endpoint list count as known while no newer list arrives.
    pub endpoint_list_max_age: TimeSpan,
    /// Time after a node is listed as draining or removed within which the broker must stop sending to it.
    pub drain_grace: TimeSpan,
    /// Budget for retries and hedges; the broker uses a default one if this is `None`.
    pub retry_budget: Option<RetryBudget>,
}

/// Limit on attempts beyond the first of each shard request, counting both retries and hedges.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Number of retries that any window allows regardless of the load.
    pub min_retries: f64,
    /// Number of additional retries per query and shard request that was accepted in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: TimeSpan,
}

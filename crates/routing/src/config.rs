//! The configuration of a broker: how the service is to be served.

use crate::ids::{ClassId, PlacementGroupId, ShardId, TenantId, ZoneId};
use crate::time::TimeSpan;
use std::collections::BTreeMap;

/// Everything that a broker is configured with, at its start and anew with
/// [`Input::Config`](crate::Input::Config). A configuration itself never changes: a query keeps the one under
/// which it was accepted. Ids of classes and tenants stay with what they name for as long as the broker runs:
/// one that is dropped from a configuration leaves a gap.
#[derive(Clone, Debug, Default)]
pub struct BrokerConfig {
    /// How many brokers serve together.
    pub brokers: u32,
    /// The zone of this broker.
    pub zone: ZoneId,
    /// The least time between two turns.
    pub period: TimeSpan,
    /// The longest that an attempt may take from its turn to its node.
    pub send_lag: TimeSpan,
    /// The request classes.
    pub classes: BTreeMap<ClassId, RequestClass>,
    /// The tenants that have a quota.
    pub tenants: BTreeMap<TenantId, Tenant>,
    /// A query beyond its tenant's quota is worth this share of its priority weight.
    pub over_quota_weight: f64,
    /// Which nodes hold which shard.
    pub layout: ShardLayout,
    /// Bounds on what is open and sent.
    pub limits: RequestLimits,
    /// Rules that must hold.
    pub rules: SafetyRules,
    /// Endpoint lists come only to those who watch them.
    pub watch_on_request: bool,
    /// Nodes may be probed, and report their load only then.
    pub load_by_probe: bool,
    /// What a query that fails after its latency objective costs, as a share of its priority weight.
    pub late_failure_cost: f64,
}

/// A kind of query.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// A response within this time is on time.
    pub latency_objective: TimeSpan,
    /// Extra time, as a multiple of the work that a query is expected to be.
    pub objective_stretch: f64,
    /// A response after this time is useless.
    pub deadline: TimeSpan,
    /// What a query served on time is worth, beside those of other classes.
    pub priority_weight: f64,
    /// The share of the priority weight that a response after the latency objective is worth.
    pub late_weight_share: f64,
    /// The least weight that a response may cover, from 0 to 1.
    pub min_coverage: f64,
    /// The weight from which a response is complete, from 0 to 1.
    pub complete_coverage: f64,
    /// Shard requests of a second phase, asked for after the first response; 0: there is none.
    pub second_phase_shard_requests: u32,
    /// What a second execution of a shard request would do.
    pub idempotency: Idempotency,
    /// With an idempotency key: how long repeats are dropped, from the first attempt that may have been
    /// executed.
    pub dedup_window: TimeSpan,
}

/// What a second execution of a shard request would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed again.
    #[default]
    Idempotent,
    /// It carries a key by which repeats are dropped, for a time.
    IdempotencyKey,
    /// It must never be executed twice.
    AtMostOnce,
}

/// One who shares the service with others.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Queries a second, over all brokers, that it may send.
    pub quota_per_s: f64,
}

/// Which nodes hold which shard: a shard is held by the nodes of some placement groups in a row.
#[derive(Clone, Debug, Default)]
pub struct ShardLayout {
    /// How many placement groups there are.
    pub placement_groups: u32,
    /// How many of them, in a row, hold a shard.
    pub replica_groups: u32,
    /// How many shards there are.
    pub shards: u32,
    /// The most shard requests that share a batch.
    pub max_batch_size: u32,
}

impl ShardLayout {
    /// The placement groups whose nodes hold a shard.
    pub fn groups_of(&self, shard: ShardId) -> impl Iterator<Item = PlacementGroupId> + '_ {
        let groups = self.placement_groups.max(1);
        let offsets = 0..self.replica_groups.min(groups);
        offsets.map(move |offset| PlacementGroupId((shard.0 % groups + offset) % groups))
    }
}

/// Bounds on what is open and sent.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    /// The most queries and shard requests that may be open at once.
    pub max_open: u32,
    /// The most attempts for one shard request.
    pub max_attempts: u32,
    /// A shard request may have two attempts in flight at once.
    pub allow_hedging: bool,
    /// Attempts in flight may be cancelled.
    pub allow_cancel: bool,
    /// Rejected clients are told when to come back, `max_retry_after` at the most.
    pub send_retry_after: bool,
    /// See `send_retry_after`.
    pub max_retry_after: TimeSpan,
}

/// Rules that must hold.
#[derive(Clone, Debug, Default)]
pub struct SafetyRules {
    /// A node starts with this share of its capacity, or more.
    pub initial_capacity_share: f64,
    /// It has warmed up no later than this after its start.
    pub warm_up_period: TimeSpan,
    /// Sent more than this multiple of what it can do...
    pub overload_factor: f64,
    /// ...for this long, a node that warms up collapses.
    pub overload_window: TimeSpan,
    /// Without a live endpoint list, what was listed this long ago counts as known.
    pub endpoint_list_max_age: TimeSpan,
    /// Nothing new goes to a node later than this after it was told to drain, or to be removed.
    pub drain_grace: TimeSpan,
    /// The budget for attempts beyond a shard request's first; none is stated: the broker has one of its own.
    pub retry_budget: Option<RetryBudget>,
}

/// A budget for attempts beyond a shard request's first, retries and hedges alike.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// So many are allowed in any window.
    pub min_retries: f64,
    /// So many more for each query and shard request that was accepted in it.
    pub ratio: f64,
    /// The length of the window.
    pub window: TimeSpan,
}

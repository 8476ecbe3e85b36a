//! What a broker is handed when it starts: how the service is to be served.

use crate::ids::{ClassId, PlacementGroupId, ShardId, TenantId, ZoneId};
use crate::time::Tenths;
use std::collections::BTreeMap;

/// Everything a broker is told at its start, and anew with `Input::Configuration`. A configuration itself
/// never changes: a query keeps the one under which it was taken. Numbers of classes and tenants stay with
/// what they name for as long as the broker runs: one that is struck from a configuration leaves a gap.
#[derive(Clone, Debug, Default)]
pub struct BrokerConfig {
    /// How many brokers serve together.
    pub brokers: u32,
    pub zone: ZoneId,
    /// The least time between two turns.
    pub period: Tenths,
    /// The longest that an attempt may take from its turn to its node.
    pub send_lag: Tenths,
    pub classes: BTreeMap<ClassId, RequestClass>,
    pub tenants: BTreeMap<TenantId, Tenant>,
    /// A query beyond its tenant's share earns this part of its priority weight.
    pub over_quota_weight: f64,
    pub layout: ShardLayout,
    pub limits: RequestLimits,
    pub rules: SafetyRules,
    /// The endpoint list comes only to those who follow it.
    pub watch_on_request: bool,
    /// Nodes may be probed, and tell their load only then.
    pub load_by_probe: bool,
    /// What priority weight that ended unserved after its latency objective costs.
    pub late_failure_cost: f64,
}

/// A kind of query.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    pub latency_objective: Tenths,
    /// Extra latency objective, as a multiple of the work that a query is expected to be.
    pub objective_stretch: f64,
    pub deadline: Tenths,
    pub priority_weight: f64,
    /// The part of the priority weight that an answer after the latency objective earns.
    pub late_weight_share: f64,
    /// The least weight an answer may hold.
    pub min_coverage: f64,
    /// The weight from which an answer is whole.
    pub complete_coverage: f64,
    /// Parts of a second step, asked for after the first answer; 0 for none.
    pub second_parts: u32,
    pub effect: Idempotency,
    /// Numbered only: how long repeats are dropped, from the first attempt that may have run.
    pub dedup_window: Tenths,
}

/// What a repeat of a shard request would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run again.
    #[default]
    Idempotent,
    /// Carries a mark by which a repeat is dropped, for a time.
    IdempotencyKey,
    /// Must never run twice.
    AtMostOnce,
}

/// One who shares the service with others.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Queries a second, over all brokers, within its share.
    pub quota_per_s: f64,
}

/// Which nodes hold which shard.
#[derive(Clone, Debug, Default)]
pub struct ShardLayout {
    pub placement_groups: u32,
    /// Cells in a row that hold a shard.
    pub replica_groups: u32,
    pub shards: u32,
    /// The most shard requests that share a call.
    pub max_batch_size: u32,
}

impl ShardLayout {
    /// The cells whose nodes hold a shard.
    pub fn groups_of(&self, shard: ShardId) -> impl Iterator<Item = PlacementGroupId> + '_ {
        let groups = self.placement_groups.max(1);
        (0..self.replica_groups.min(groups)).map(move |j| PlacementGroupId((shard.0 % groups + j) % groups))
    }
}

#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    /// The most queries and shard requests held at once.
    pub max_open: u32,
    /// The most attempts for one shard request.
    pub max_attempts: u32,
    /// A shard request may have two attempts out at once.
    pub allow_hedging: bool,
    pub allow_cancel: bool,
    /// Tenants are told how long to stay away, up to `max_retry_after`.
    pub retry_after: bool,
    pub max_retry_after: Tenths,
}

#[derive(Clone, Debug, Default)]
pub struct SafetyRules {
    /// A node starts with this share of its capacity, or more.
    pub initial_capacity_share: f64,
    /// It is warm no later than this.
    pub warm_up_period: Tenths,
    /// Sent more than this multiple of what it can do...
    pub overload_factor: f64,
    /// ...for this long, a cold node falls over.
    pub overload_window: Tenths,
    /// Without a live roll, what was listed this long ago counts as told.
    pub endpoint_list_max_age: Tenths,
    /// Nothing new goes to a node later than this after it was told to drain, or to be gone.
    pub drain_grace: Tenths,
    pub retry_budget: Option<RetryBudget>,
}

/// The stated budget for attempts beyond a shard request's first.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    pub floor: f64,
    /// For each query and shard request taken.
    pub share: f64,
    pub window: Tenths,
}

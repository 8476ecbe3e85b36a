//! State that exists for the lifetime of the broker.

use super::endpoint_list_status::EndpointListStatus;
use super::node_table::NodeTable;
use super::query_table::QueryTable;
use super::timers::Timers;
use crate::effective_config::EffectiveConfig;
use crate::effects::Effect;
use crate::policy::canary::NodeFailureRate;
use crate::policy::class_yield::ClassYields;
use crate::policy::completion_probability::OverloadRate;
use crate::policy::concurrency_limit::ConcurrencyLimit;
use crate::policy::idle_connections::IdleConnectionHistory;
use crate::policy::latency::ClassBaselines;
use crate::policy::pressure::Pressure;
use crate::policy::query_of_death::Quarantine;
use crate::policy::quota::TenantRates;
use crate::policy::retry_budget::RetryHistory;
use crate::policy::slow_start::RecentShardRequests;
use crate::time::{TimeSpan, Timestamp};
use std::sync::Arc;

/// Former configuration whose rules still apply until `binds_until`.
#[derive(Debug)]
pub(crate) struct SupersededConfig {
    pub(crate) binds_until: Timestamp,
    pub(crate) config: Arc<EffectiveConfig>,
}

/// State that a broker keeps between turns.
#[derive(Debug)]
pub(crate) struct BrokerState {
    /// Time of the current call of `Broker::turn`.
    pub(crate) now: Timestamp,
    /// Effects of the current call of `Broker::turn` so far.
    pub(crate) effects: Vec<Effect>,
    pub(crate) timers: Timers,
    pub(crate) nodes: NodeTable,
    pub(crate) endpoint_list: EndpointListStatus,
    pub(crate) queries: QueryTable,
    pub(crate) superseded_configs: Vec<SupersededConfig>,

    /// Mean latency of the ready nodes with a measured latency, as of the start of the current turn. `None` if no
    /// ready node has one.
    pub(crate) mean_latency: Option<TimeSpan>,
    /// Whether shard requests of low weight are currently left unsent.
    pub(crate) is_cutoff_active: bool,
    /// Number of shard requests that are in flight or queued at the end of the current turn.
    pub(crate) in_flight_this_turn: f64,

    // State of the rules in `policy`. Each field belongs to one rule.
    pub(crate) baselines: ClassBaselines,
    pub(crate) class_yields: ClassYields,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) recent_shard_requests: RecentShardRequests,
    pub(crate) idle_connections: IdleConnectionHistory,
    pub(crate) node_failures: NodeFailureRate,
    pub(crate) overload_rate: OverloadRate,
    pub(crate) pressure: Pressure,
    pub(crate) quarantine: Quarantine,
    pub(crate) retries: RetryHistory,
    pub(crate) tenant_rates: TenantRates,
}

impl BrokerState {
    /// Creates the initial state. `seed` determines which replicas of a large placement group the broker uses.
    pub(crate) fn new(now: Timestamp, seed: u64, concurrency_limit: ConcurrencyLimit) -> BrokerState {
        BrokerState {
            now,
            effects: Vec::new(),
            timers: Timers::default(),
            nodes: NodeTable::new(seed),
            endpoint_list: EndpointListStatus::default(),
            queries: QueryTable::default(),
            superseded_configs: Vec::new(),
            mean_latency: None,
            is_cutoff_active: false,
            in_flight_this_turn: 0.0,
            baselines: ClassBaselines::default(),
            class_yields: ClassYields::default(),
            concurrency_limit,
            recent_shard_requests: RecentShardRequests::default(),
            idle_connections: IdleConnectionHistory::default(),
            node_failures: NodeFailureRate::default(),
            overload_rate: OverloadRate::default(),
            pressure: Pressure::default(),
            quarantine: Quarantine::default(),
            retries: RetryHistory::default(),
            tenant_rates: TenantRates::default(),
        }
    }
}

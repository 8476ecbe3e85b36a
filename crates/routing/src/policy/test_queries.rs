//! Query fixtures for the tests of policies that read a query.

use crate::config::{BrokerConfig, RequestClass};
use crate::ids::{ClassId, GroupId, QueryId, ShardId, ShardRequestId, TenantId};
use crate::inputs::{NewQuery, NewShardRequest};
use crate::policy::reconfiguration::derive_config;
use crate::state::{Query, QueryTimes, ShardRequest, ShardRequestState};
use crate::time::{TimeSpan, Timestamp};
use std::sync::Arc;

/// Returns a class with this minimum coverage, whose responses are complete from `complete_coverage` on.
pub(crate) fn class(min_coverage: f64, complete_coverage: f64) -> RequestClass {
    RequestClass {
        latency_objective: TimeSpan(10_000),
        deadline: TimeSpan(30_000),
        min_coverage,
        complete_coverage,
        priority_weight: 1.0,
        ..RequestClass::default()
    }
}

/// Returns a query of this class that is accepted at time zero and has one unsent shard request per weight.
pub(crate) fn query(class: RequestClass, weights: &[f64]) -> Query {
    let mut config = BrokerConfig::default();
    config.classes.insert(ClassId(0), class);
    let config = Arc::new(derive_config(config));
    let policy = config.classes[&ClassId(0)].clone();
    let latency_objective = policy.latency_objective;
    let new = NewQuery {
        id: QueryId(1),
        group: GroupId(1),
        class: ClassId(0),
        tenant: TenantId(0),
        time_left: policy.deadline,
        work: TimeSpan::ZERO,
        client_attempt: 0,
        min_coverage_only: false,
    };
    let times = QueryTimes {
        latency_objective,
        objective_at: Timestamp::ZERO + latency_objective,
        deadline_at: Timestamp::ZERO + policy.deadline,
    };
    let mut query = Query::accept(&new, config, policy, true, times);
    for (index, weight) in weights.iter().enumerate() {
        let id = ShardRequestId(index as u64);
        let new = NewShardRequest { id, group: GroupId(1), shard: ShardId(index as u32), weight: *weight };
        query.shard_requests.push(ShardRequest::new(&new, ClassId(0)));
    }
    query
}

/// Returns the query with its shard requests set to `states`.
pub(crate) fn with_states(mut query: Query, states: &[ShardRequestState]) -> Query {
    for (shard_request, state) in query.shard_requests.iter_mut().zip(states) {
        shard_request.state = *state;
    }
    query
}

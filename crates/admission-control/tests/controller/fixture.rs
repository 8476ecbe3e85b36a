//! Queries, simulated nodes and controllers for the tests.

use admission_control::{AdmissionConfig, AdmissionController, FilteredTurn, Mode};
use routing::*;
use std::collections::BTreeSet;

/// Returns the configuration of one broker with two placement groups, the given quotas, and times to retry after
/// allowed. Class 0 requires complete coverage, and class 1 allows partial responses.
pub fn broker_config(quotas: &[f64]) -> BrokerConfig {
    let mut config = BrokerConfig { brokers: 1, period: TimeSpan(50), ..BrokerConfig::default() };
    config.layout = ShardLayout { placement_groups: 2, replica_groups: 1, shards: 2, max_batch_size: 1 };
    config.limits = RequestLimits {
        max_open: 1000,
        max_attempts: 3,
        send_retry_after: true,
        max_retry_after: TimeSpan(20_000),
        ..RequestLimits::default()
    };
    let class = RequestClass {
        latency_objective: TimeSpan(10_000),
        deadline: TimeSpan(20_000),
        priority_weight: 1.0,
        min_coverage: 1.0,
        complete_coverage: 1.0,
        ..RequestClass::default()
    };
    config.classes.insert(ClassId(1), RequestClass { min_coverage: 0.4, ..class.clone() });
    config.classes.insert(ClassId(0), class);
    for (tenant, quota) in quotas.iter().enumerate() {
        config.tenants.insert(TenantId(tenant as u32), Tenant { quota_per_s: *quota });
    }
    config
}

/// Builds the inputs of queries with unique ids.
#[derive(Default)]
pub struct QueryBuilder {
    pub last_id: u64,
}

impl QueryBuilder {
    /// Returns the inputs of a query of class 0, which its client has sent `client_attempt` times before.
    pub fn query(&mut self, tenant: u32, shard_requests: u32, client_attempt: u32) -> Vec<Input> {
        self.query_of_class(ClassId(0), tenant, shard_requests, client_attempt)
    }

    /// Returns the inputs of a query of the given class, which its client has sent `client_attempt` times before.
    pub fn query_of_class(
        &mut self,
        class: ClassId,
        tenant: u32,
        shard_requests: u32,
        client_attempt: u32,
    ) -> Vec<Input> {
        self.last_id += 1;
        let (id, group) = (QueryId(self.last_id), GroupId(self.last_id as u32));
        let time_left = TimeSpan(20_000);
        let query = NewQuery {
            id,
            group,
            class,
            tenant: TenantId(tenant),
            time_left,
            work: TimeSpan::ZERO,
            client_attempt,
            min_coverage_only: false,
        };
        let mut inputs = vec![Input::Query(query)];
        for index in 0..shard_requests {
            let shard_request = NewShardRequest {
                id: ShardRequestId(self.last_id * 100 + u64::from(index)),
                group,
                shard: ShardId(0),
                weight: 1.0,
            };
            inputs.push(Input::ShardRequest(shard_request));
        }
        inputs
    }
}

pub fn attempts_ended(outcome: AttemptOutcome, count: usize) -> Vec<Input> {
    let result = |index: usize| AttemptResult {
        shard_request: ShardRequestId(900_000 + index as u64),
        attempt: AttemptNumber(0),
        node: NodeId(1),
        outcome,
        duration: TimeSpan(100),
    };
    (0..count).map(|index| Input::AttemptEnded(result(index))).collect()
}

/// Returns the sends of a broker for the admitted inputs: one for each shard request, or only for the first of a
/// query that is limited to its minimum coverage.
pub fn sends(admitted: &[Input]) -> Vec<Effect> {
    let (mut at_min_coverage, mut already_sent) = (BTreeSet::new(), BTreeSet::new());
    let mut send = |input: &Input| match input {
        Input::Query(query) if query.min_coverage_only => {
            at_min_coverage.insert(query.group);
            None
        }
        Input::ShardRequest(shard_request)
            if !at_min_coverage.contains(&shard_request.group)
                || already_sent.insert(shard_request.group) =>
        {
            Some(Effect::Send { shard_request: shard_request.id, node: NodeId(1), timeout: TimeSpan(10_000) })
        }
        _ => None,
    };
    admitted.iter().filter_map(&mut send).collect()
}

pub fn rejections(effects: &[Effect]) -> Vec<(QueryId, TimeSpan)> {
    let rejection = |effect: &Effect| match effect {
        Effect::Reject { query, retry_after } => Some((*query, *retry_after)),
        _ => None,
    };
    effects.iter().filter_map(rejection).collect()
}

pub fn query_ids(inputs: &[Input]) -> Vec<QueryId> {
    ids_and_tenants(inputs).into_iter().map(|(id, _)| id).collect()
}

pub fn ids_and_tenants(inputs: &[Input]) -> Vec<(QueryId, u32)> {
    let id_and_tenant = |input: &Input| match input {
        Input::Query(query) => Some((query.id, query.tenant.0)),
        _ => None,
    };
    inputs.iter().filter_map(id_and_tenant).collect()
}

/// Simulated nodes that serve a limited number of the shard requests sent in the previous step, and refuse the others
/// as overloaded.
pub struct Nodes {
    pub served_per_step: usize,
    pub in_flight: Vec<Effect>,
}

impl Nodes {
    pub fn new(served_per_step: usize) -> Nodes {
        Nodes { served_per_step, in_flight: Vec::new() }
    }

    /// Executes a step of half a second: the controller filters the new inputs together with the ended attempts, and
    /// the admitted shard requests are sent.
    pub fn step(
        &mut self,
        admission: &mut AdmissionController,
        now: Timestamp,
        mut inputs: Vec<Input>,
    ) -> FilteredTurn {
        let in_flight = std::mem::take(&mut self.in_flight).len();
        let succeeded = in_flight.min(self.served_per_step);
        let overloaded = in_flight.saturating_sub(self.served_per_step);
        inputs.extend(attempts_ended(AttemptOutcome::Succeeded, succeeded));
        inputs.extend(attempts_ended(AttemptOutcome::Overloaded, overloaded));
        let filtered = admission.filter_inputs(now, &inputs);
        self.in_flight = sends(&filtered.inputs);
        admission.record_effects(&self.in_flight);
        filtered
    }
}

/// Brings the controller into overloaded mode: for ten seconds, the tenants request twice the capacity of the nodes.
/// Returns the time of the next step.
pub fn overload(
    admission: &mut AdmissionController,
    nodes: &mut Nodes,
    queries: &mut QueryBuilder,
    tenants: &[u32],
) -> Timestamp {
    for step in 0..20 {
        let shard_requests = (nodes.served_per_step * 2 / tenants.len()) as u32;
        let inputs: Vec<Input> =
            tenants.iter().flat_map(|tenant| queries.query(*tenant, shard_requests, 0)).collect();
        nodes.step(admission, Timestamp(step * 5000), inputs);
    }
    assert_eq!(admission.mode(), Mode::Overloaded);
    Timestamp(100_000)
}

pub fn controller(config: AdmissionConfig) -> AdmissionController {
    AdmissionController::new(config, &broker_config(&[])).unwrap()
}

//! Tests which replicas the baselines choose, what the cutoff leaves out, and when queries end.

use crate::baseline::{Baseline, BaselinePolicy};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, BrokerConfig, ClassId, Effect, Endpoint, EndpointList,
    EndpointListKind, EndpointState, GroupId, Input, NewQuery, NewShardRequest, NodeId, PlacementGroupId,
    QueryId, RequestClass, ShardId, ShardLayout, ShardRequestId, TenantId, TimeSpan, Timestamp,
    WallClockTime, ZoneId,
};
use rstest::rstest;

/// Returns a configuration with one placement group that holds all shards, and a class that allows partial responses.
fn broker_config() -> BrokerConfig {
    let class = RequestClass {
        latency_objective: TimeSpan(10_000),
        deadline: TimeSpan(20_000),
        min_coverage: 0.5,
        complete_coverage: 1.0,
        ..RequestClass::default()
    };
    BrokerConfig {
        period: TimeSpan(50),
        classes: [(ClassId(0), class)].into(),
        layout: ShardLayout { placement_groups: 1, replica_groups: 1, shards: 16, max_batch_size: 1 },
        ..BrokerConfig::default()
    }
}

fn baseline(policy: BaselinePolicy, nodes: u64) -> Baseline {
    let mut baseline = Baseline::new(policy, &broker_config(), 1);
    let endpoint = |node| Endpoint {
        node: NodeId(node),
        zone: ZoneId(0),
        placement_group: PlacementGroupId(0),
        state: EndpointState::Ready,
        started_at: None,
    };
    let entries = (0..nodes).map(endpoint).collect();
    let list = EndpointList { kind: EndpointListKind::Snapshot, wall_clock: WallClockTime(0), entries };
    baseline.turn(Timestamp(0), &[Input::EndpointList(list)]);
    baseline
}

/// Returns the inputs of a query with shard requests of these weights. The shard requests' ids count up from ten
/// times the query's.
fn query(number: u64, weights: &[f64]) -> Vec<Input> {
    let group = GroupId(number as u32);
    let query = Input::Query(NewQuery {
        id: QueryId(number),
        group,
        class: ClassId(0),
        tenant: TenantId(0),
        time_left: TimeSpan(20_000),
        work: TimeSpan::ZERO,
        client_attempt: 0,
        min_coverage_only: false,
    });
    let shard_request = |(index, weight): (u64, &f64)| {
        let (id, shard) = (ShardRequestId(number * 10 + index), ShardId(index as u32));
        Input::ShardRequest(NewShardRequest { id, group, shard, weight: *weight })
    };
    std::iter::once(query).chain((0..).zip(weights).map(shard_request)).collect()
}

fn result(shard_request: u64, node: u64, outcome: AttemptOutcome, duration: TimeSpan) -> Input {
    Input::AttemptEnded(AttemptResult {
        shard_request: ShardRequestId(shard_request),
        attempt: AttemptNumber(0),
        node: NodeId(node),
        outcome,
        duration,
    })
}

fn sent(effects: &[Effect]) -> Vec<(u64, u64)> {
    let send = |effect: &Effect| match effect {
        Effect::Send { shard_request, node, .. } => Some((shard_request.0, node.0)),
        _ => None,
    };
    effects.iter().filter_map(send).collect()
}

/// The design must choose the node with the shortest expected wait, its latency times its attempts in flight.
#[rstest]
fn the_design_chooses_the_shortest_wait() {
    let mut baseline = baseline(BaselinePolicy::Design, 2);
    let first = sent(&baseline.turn(Timestamp(50), &query(1, &[0.5, 0.5])));
    assert_eq!(first.len(), 2);
    assert_ne!(first[0].1, first[1].1, "both nodes have the same latency, and one has an attempt in flight");
    let latency_of = |node| if node == 0 { TimeSpan(1000) } else { TimeSpan(100) };
    let results: Vec<Input> = first
        .iter()
        .map(|(id, node)| result(*id, *node, AttemptOutcome::Succeeded, latency_of(*node)))
        .collect();
    baseline.turn(Timestamp(1100), &results);
    let second = sent(&baseline.turn(Timestamp(1150), &query(2, &[0.25; 4])));
    assert!(
        second.iter().all(|(_, node)| *node == 1),
        "node 0 has ten times the latency of node 1: {second:?}"
    );
}

/// Under overload the design must leave out shard requests of little weight, and the random policy must send all.
#[rstest]
#[case(BaselinePolicy::Design, 1)]
#[case(BaselinePolicy::Random, 2)]
fn only_the_design_has_a_cutoff(#[case] policy: BaselinePolicy, #[case] expected: usize) {
    let mut baseline = baseline(policy, 2);
    let weights = [0.9995, 0.0005];
    let before = sent(&baseline.turn(Timestamp(50), &query(1, &weights)));
    assert_eq!(before.len(), 2, "all shard requests are sent without overload");
    let overloaded: Vec<Input> = before
        .iter()
        .map(|(id, node)| result(*id, *node, AttemptOutcome::Overloaded, TimeSpan(10)))
        .collect();
    let effects = baseline.turn(Timestamp(100), &overloaded);
    assert!(
        effects.contains(&Effect::Reject { query: QueryId(1), retry_after: TimeSpan::ZERO }),
        "{effects:?}"
    );
    // With a base B of 10 the light one has a score of 0.00005, below the design's minimum.
    assert_eq!(sent(&baseline.turn(Timestamp(150), &query(2, &weights))).len(), expected);
}

/// A query with its minimum coverage must get a partial response near the latency objective; one without it must
/// be rejected near the deadline.
#[rstest]
fn responds_by_the_objective_and_rejects_by_the_deadline() {
    let mut baseline = baseline(BaselinePolicy::Random, 1);
    baseline.turn(Timestamp(0), &[query(1, &[0.6, 0.4]), query(2, &[0.6, 0.4])].concat());
    let received = [10, 21].map(|id| result(id, 0, AttemptOutcome::Succeeded, TimeSpan(10)));
    assert!(baseline.turn(Timestamp(50), &received).is_empty());
    let near_objective = baseline.turn(Timestamp(9_800), &[]);
    assert_eq!(near_objective, [Effect::Respond { query: QueryId(1), complete: false }]);
    let near_deadline = baseline.turn(Timestamp(19_800), &[]);
    assert_eq!(near_deadline, [Effect::Reject { query: QueryId(2), retry_after: TimeSpan::ZERO }]);
}

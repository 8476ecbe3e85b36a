//! Compares one broker in a fleet of 200 nodes and in one of sixteen times that size, with the same traffic.
//! If the broker sent to every node, its connections and the time to choose a replica would grow with the
//! fleet; the number of nodes that it uses must remain nearly as small.

use routing::*;
use rstest::rstest;
use std::collections::BTreeSet;

const GROUPS: u32 = 12;
const SHARDS: u32 = 36;
const SHARDS_PER_QUERY: u64 = 18;

fn config() -> BrokerConfig {
    let mut config = BrokerConfig { brokers: 300, period: TimeSpan(50), ..BrokerConfig::default() };
    config.layout =
        ShardLayout { placement_groups: GROUPS, replica_groups: 4, shards: SHARDS, max_batch_size: 8 };
    (config.limits.max_open, config.limits.max_attempts) = (1000, 3);
    let class = RequestClass {
        latency_objective: TimeSpan(10_000),
        deadline: TimeSpan(20_000),
        min_coverage: 1.0,
        complete_coverage: 1.0,
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    config.classes.insert(ClassId(0), class);
    config
}

fn endpoint(node: u64) -> Endpoint {
    let placement_group = PlacementGroupId(node as u32 % GROUPS);
    let (state, started_at) = (EndpointState::Ready, None);
    Endpoint { node: NodeId(node), zone: ZoneId(0), placement_group, state, started_at }
}

fn query(number: u64) -> Vec<Input> {
    let (id, group) = (QueryId(number * 100), GroupId(number as u32));
    let mut inputs = vec![Input::Query(NewQuery {
        id,
        group,
        class: ClassId(0),
        tenant: TenantId(0),
        time_left: TimeSpan(20_000),
        work: TimeSpan::ZERO,
        client_attempt: 0,
        min_coverage_only: false,
    })];
    inputs.extend((0..SHARDS_PER_QUERY).map(|at| {
        let (id, shard) = (ShardRequestId(number * 100 + 1 + at), ShardId((number + at) as u32 % SHARDS));
        Input::ShardRequest(NewShardRequest { id, group, shard, weight: 1.0 / SHARDS_PER_QUERY as f64 })
    }));
    inputs
}

/// Returns the nodes that shard requests are sent to.
fn nodes_used(node_count: u64, seed: u64, queries: u64) -> BTreeSet<NodeId> {
    let mut now = Timestamp(1_000_000);
    let mut broker = Broker::start(config(), seed, now);
    let entries = (0..node_count).map(endpoint).collect();
    let list = EndpointList { kind: EndpointListKind::Snapshot, wall_clock: WallClockTime(now.0), entries };
    broker.turn(now, &[Input::EndpointList(list)]);
    let mut used = BTreeSet::new();
    for number in 1..=queries {
        now += TimeSpan(250);
        let sent = broker.turn(now, &query(number));
        now += TimeSpan(200);
        let ends = sent.into_iter().filter_map(|effect| match effect {
            Effect::Send { shard_request, node, .. } => Some((shard_request, node)),
            _ => None,
        });
        let end = |(shard_request, node)| {
            used.insert(node);
            let (attempt, outcome) = (AttemptNumber(0), AttemptOutcome::Succeeded);
            Input::AttemptEnded(AttemptResult {
                shard_request,
                attempt,
                node,
                outcome,
                duration: TimeSpan(200),
            })
        };
        let ends: Vec<Input> = ends.map(end).collect();
        assert_eq!(ends.len() as u64, SHARDS_PER_QUERY);
        broker.turn(now, &ends);
    }
    used
}

/// Each used node costs a connection; the large fleet may need at most 2.5 times as many connections plus 40.
#[rstest]
fn a_larger_fleet_needs_few_more_connections() {
    let (few, many) = (nodes_used(200, 1, 200).len(), nodes_used(3200, 1, 200).len());
    assert!(2 * many <= 5 * few + 2 * 40, "{few} of 200 nodes and {many} of 3,200 nodes were used");
}

/// Brokers use different nodes of a large fleet, so that the whole fleet serves requests.
#[rstest]
fn brokers_use_different_nodes_of_a_large_fleet() {
    let used: BTreeSet<NodeId> = (1..=30).flat_map(|seed| nodes_used(3200, seed, 16)).collect();
    assert!(used.len() > 1000, "only {} of 3,200 nodes were used", used.len());
}

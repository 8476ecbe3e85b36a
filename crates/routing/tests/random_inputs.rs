//! Tests with random inputs, one run per seed. A broker that panics loses all of its open queries, so it must
//! handle any input that a front end passes, in any order.

use fastrand::Rng;
use routing::*;
use rstest::rstest;

const SEEDS: std::ops::Range<u64> = 0..400;
const TURNS: usize = 120;
/// Small enough that ids recur.
const IDS: u64 = 12;
const NODES: u64 = 4;

fn config(rng: &mut Rng) -> BrokerConfig {
    let mut config = BrokerConfig { brokers: 1, period: TimeSpan(50), ..BrokerConfig::default() };
    config.layout = ShardLayout { placement_groups: 2, replica_groups: 2, shards: 4, max_batch_size: 2 };
    (config.limits.max_open, config.limits.max_attempts) = (40, 3);
    (config.limits.allow_hedging, config.limits.allow_cancel) = (rng.bool(), rng.bool());
    for class in 0..3 {
        let class_config = RequestClass {
            latency_objective: TimeSpan(2000),
            deadline: TimeSpan(5000),
            min_coverage: 0.4,
            complete_coverage: 1.0,
            priority_weight: 1.0,
            second_phase_shard_requests: if class == 2 { 2 } else { 0 },
            idempotency: if class == 1 { Idempotency::AtMostOnce } else { Idempotency::Idempotent },
            ..RequestClass::default()
        };
        config.classes.insert(ClassId(class), class_config);
    }
    config
}

fn id(rng: &mut Rng, is_reused: bool, next: &mut u64) -> u64 {
    *next += 1;
    if is_reused { rng.u64(0..IDS) } else { 1000 + *next }
}

/// Returns a query with its shard requests, as received in one turn.
fn query(rng: &mut Rng, is_reused: bool, next: &mut u64) -> Vec<Input> {
    let query_id = id(rng, is_reused, next);
    let group = GroupId(query_id as u32);
    let shard_requests = rng.u32(0..4);
    let mut inputs = vec![Input::Query(NewQuery {
        id: QueryId(query_id),
        group,
        class: ClassId(rng.u16(0..4)),
        tenant: TenantId(0),
        time_left: TimeSpan(rng.i64(0..6000)),
        work: TimeSpan::ZERO,
        client_attempt: 0,
        min_coverage_only: rng.bool(),
    })];
    for _ in 0..shard_requests {
        inputs.push(Input::ShardRequest(NewShardRequest {
            id: ShardRequestId(id(rng, is_reused, next)),
            group,
            shard: ShardId(rng.u32(0..4)),
            weight: 1.0 / f64::from(shard_requests),
        }));
    }
    inputs
}

fn endpoint_list(rng: &mut Rng, now: Timestamp) -> Input {
    let kinds = [EndpointListKind::Delta, EndpointListKind::Snapshot, EndpointListKind::Cached];
    let states =
        [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
    let entries = (0..NODES).filter(|_| rng.bool()).collect::<Vec<_>>();
    let entries = entries.into_iter().map(|node| Endpoint {
        node: NodeId(node),
        zone: ZoneId(rng.u16(0..2)),
        placement_group: PlacementGroupId(node as u32 % 2),
        state: states[rng.usize(0..states.len())],
        started_at: rng.bool().then(|| WallClockTime(rng.i64(0..100_000))),
    });
    let entries = entries.collect();
    let kind = kinds[rng.usize(0..kinds.len())];
    Input::EndpointList(EndpointList { kind, wall_clock: WallClockTime(now.0), entries })
}

const OUTCOMES: &[AttemptOutcome] = &[
    AttemptOutcome::Succeeded,
    AttemptOutcome::Errored,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::LocalResourceExhausted,
];

fn attempt_end(rng: &mut Rng, sent: &[(ShardRequestId, NodeId)]) -> Option<Input> {
    let (shard_request, node) = *sent.get(rng.usize(0..sent.len().max(1)))?;
    Some(Input::AttemptEnded(AttemptResult {
        shard_request,
        attempt: AttemptNumber(rng.u16(0..3)),
        node,
        outcome: OUTCOMES[rng.usize(0..OUTCOMES.len())],
        duration: TimeSpan(rng.i64(0..3000)),
    }))
}

fn run(seed: u64, is_reused: bool) {
    let mut rng = Rng::with_seed(seed);
    let mut now = Timestamp(1_000_000);
    let mut broker = Broker::start(config(&mut rng), seed, now);
    let (mut next, mut sent) = (0, Vec::new());
    for _ in 0..TURNS {
        now += TimeSpan(rng.i64(50..900));
        let mut inputs = vec![Input::Woken];
        for _ in 0..rng.usize(0..5) {
            match rng.u32(0..10) {
                0 => inputs.push(endpoint_list(&mut rng, now)),
                1 => inputs.push(Input::ClientLeft(QueryId(rng.u64(0..IDS)))),
                2..5 => inputs.extend(query(&mut rng, is_reused, &mut next)),
                _ => inputs.extend(attempt_end(&mut rng, &sent)),
            }
        }
        for effect in broker.turn(now, &inputs) {
            if let Effect::Send { shard_request, node, .. } = effect {
                sent.push((shard_request, node));
            }
        }
    }
}

#[rstest]
fn handles_any_input() {
    SEEDS.for_each(|seed| run(seed, false));
}

/// The wire protocol promises that ids are unique, but brokers on sockets cannot guarantee that indefinitely.
/// In the past, when the id of an open query was reused, look-ups by id returned a different query and
/// indexed out of bounds. A reused id may only affect its own query.
#[rstest]
fn handles_reused_ids() {
    SEEDS.for_each(|seed| run(seed, true));
}

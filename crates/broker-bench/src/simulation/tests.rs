//! Tests runs in virtual time: invariants hold under faults and overload, and runs are reproducible.

use crate::run_results::RunResults;
use crate::simulation::deployment::LATENCY_OBJECTIVE;
use crate::simulation::{RoutingPolicy, Simulation, SimulationConfig};
use cluster_trace::plan::{
    ClassIdempotency, ClassSpec, CountRange, Plan, PlanEntry, PlanEvent, PlannedNodeEvent,
    PlannedShardRequest, ReplayConfig, RetryBudget,
};
use node_emulator::CancelPolicy;
use routing::Timestamp;
use rstest::rstest;

/// Returns a configuration with classes of each idempotency, eight nodes and a small retry budget.
pub fn replay_config() -> ReplayConfig {
    let class = |name: &str, (min, max), priority_weight, min_coverage, idempotency| ClassSpec {
        priority_weight,
        min_coverage,
        idempotency,
        ..ClassSpec::idempotent(name, 1.0, CountRange { min, max }, 1.0)
    };
    let idempotency_key = ClassIdempotency::IdempotencyKey { dedup_window_ms: 1000 };
    ReplayConfig {
        seed: 1,
        from: 0,
        to: 12_000_000,
        time_scale: 1.0,
        sample_share: 1.0,
        load: 0.5,
        nodes: 8,
        node_ms_per_s: 4000.0,
        shards: 16,
        classes: vec![
            class("report", (4, 8), 3.0, 0.4, ClassIdempotency::Idempotent),
            class("lookup", (1, 2), 1.0, 1.0, ClassIdempotency::Idempotent),
            class("booking", (1, 2), 1.0, 1.0, idempotency_key),
            class("dispensing", (1, 2), 1.0, 1.0, ClassIdempotency::AtMostOnce),
        ],
        tenant_weights: vec![1.0],
        quota_per_s: None,
        drain_share: 0.0,
        drain_duration: 20_000,
        retry_budget: Some(RetryBudget { min_retries: 3.0, ratio: 0.05, window_ms: 5000 }),
        max_entries: 1_000_000,
    }
}

/// Returns one of four shard requests of equal weight.
pub fn planned(shard: u32, work_us: u64) -> PlannedShardRequest {
    PlannedShardRequest { shard, weight: 0.25, work_us }
}

fn config(policy: RoutingPolicy) -> SimulationConfig {
    SimulationConfig {
        brokers: 3,
        policy,
        seed: 5,
        placement_groups: 4,
        cores: 4,
        warm_jobs: None,
        cancel: CancelPolicy::DropAll,
    }
}

fn node_event(at: u64, node: u32, event: PlannedNodeEvent) -> PlanEntry {
    PlanEntry { at, event: PlanEvent::Node { node, event } }
}

/// Returns a plan of twelve seconds of queries with four shard requests of 20 ms each, and these node events.
fn plan(queries_per_s: u64, node_events: &[(u64, u32, PlannedNodeEvent)]) -> Plan {
    let start = |node| node_event(0, node, PlannedNodeEvent::StartWarm);
    let mut entries: Vec<PlanEntry> = (0..8).map(start).collect();
    entries.extend(node_events.iter().map(|(at, node, event)| node_event(*at, *node, *event)));
    for query in 0..12 * queries_per_s {
        let shard_requests = (0..4).map(|offset| planned((query as u32 * 5 + offset) % 16, 20_000)).collect();
        let event = PlanEvent::Query { class: (query % 4) as usize, tenant: 0, shard_requests };
        entries.push(PlanEntry { at: 10_000 + query * 10_000 / queries_per_s, event });
    }
    entries.sort_by_key(|entry| entry.at);
    Plan { entries, unsampled_rows: 0, unmapped_machine_rows: 0, running_at_start: 0, ms_per_unit: 1.0 }
}

fn run(
    policy: RoutingPolicy,
    queries_per_s: u64,
    node_events: &[(u64, u32, PlannedNodeEvent)],
) -> RunResults {
    Simulation::new(plan(queries_per_s, node_events), &replay_config(), config(policy)).run(|_, _| true)
}

#[rstest]
fn runs_are_reproducible() {
    let (first, second) = (run(RoutingPolicy::Product, 100, &[]), run(RoutingPolicy::Product, 100, &[]));
    assert_eq!(first.json(), second.json());
}

/// Guards against queries lost or cut while the load is within the nodes' capacity.
#[rstest]
fn serves_all_queries_without_faults() {
    let results = run(RoutingPolicy::Product, 100, &[]);
    assert!(results.service.share() > 0.99 && results.violations.is_empty(), "{}", results.json());
    assert_eq!(results.responded, 1200);
}

/// Half of the nodes crash at once and restart cold, then another one drains. Retries and the load of the lost
/// half could make the remaining or the warming nodes collapse, or reach nodes past their grace period. No rule
/// may be broken, and at least half of the weight is served.
#[rstest]
fn keeps_invariants_when_half_of_the_nodes_crash() {
    let lost = [0, 2, 4, 6];
    let mut events: Vec<_> = lost.iter().map(|node| (40_000, *node, PlannedNodeEvent::Stop)).collect();
    events.extend(lost.iter().map(|node| (70_000, *node, PlannedNodeEvent::StartCold)));
    events.extend([(90_000, 1, PlannedNodeEvent::Drain), (110_000, 1, PlannedNodeEvent::Stop)]);
    let results = run(RoutingPolicy::Product, 100, &events);
    assert!(results.violations.is_empty(), "{}", results.json());
    assert!(results.service.share() > 0.5, "{}", results.json());
}

/// Clients send more than the nodes can serve. The excess must be rejected, and service must exceed that of replicas
/// chosen at random.
#[rstest]
fn rejects_under_overload() {
    let (product, random) = (run(RoutingPolicy::Product, 600, &[]), run(RoutingPolicy::Random, 600, &[]));
    assert!(product.violations.is_empty(), "{}", product.json());
    assert!(
        product.rejected > 0 && product.service.share() > random.service.share(),
        "{} {}",
        product.json(),
        random.json()
    );
}

/// A run that is stopped early must mark its results as partial and must not report its open queries as lost.
#[rstest]
fn stopped_run_has_partial_results() {
    let results = Simulation::new(plan(100, &[]), &replay_config(), config(RoutingPolicy::Product))
        .run(|now, _| now < Timestamp(50_000));
    assert_eq!(results.stopped_at, Some(Timestamp(50_000)));
    assert!(results.violations.is_empty() && results.queries < 500, "{}", results.json());
    assert_eq!(results.json()["partial"], serde_json::json!(true));
}

/// Thousands of queries arrive at one moment, so that queues would exceed every deadline. Each query must get a
/// response, and the excess must be rejected before the latency objective.
#[rstest]
fn answers_a_burst_of_thousands_of_queries() {
    let mut burst = plan(250, &[]);
    let is_query = |entry: &PlanEntry| matches!(entry.event, PlanEvent::Query { .. });
    burst.entries.iter_mut().filter(|entry| is_query(entry)).for_each(|entry| entry.at = 10_000);
    let results = Simulation::new(burst, &replay_config(), config(RoutingPolicy::Product)).run(|_, _| true);
    assert!(results.violations.is_empty() && results.queries == 3000, "{}", results.json());
    assert_eq!(results.responded + results.rejected + results.failed, 3000);
    assert!(results.rejected > 0 && results.slowest_rejection < LATENCY_OBJECTIVE, "{}", results.json());
}

/// Guards against a checker that finds nothing: the random baseline breaks a rule that the product keeps.
#[rstest]
fn checker_finds_violations_of_a_baseline() {
    let lost: Vec<_> = [0, 2, 4, 6].map(|node| (40_000, node, PlannedNodeEvent::Stop)).to_vec();
    let results = run(RoutingPolicy::Random, 100, &lost);
    assert!(
        results.violations.keys().any(|rule| rule.starts_with("2: at-most-once, rejected")),
        "{}",
        results.json()
    );
}

/// A quarter of forty nodes crashes and restarts at the same time, under brokers that share no state. Each broker
/// sends little to a warming node, but the sum could make it collapse: without the random draw that decides whether
/// a broker sends its first attempt, all ten collapse under thirty brokers. None may collapse at any number.
#[rstest]
#[case(3)]
#[case(30)]
#[case(300)]
fn no_warming_node_collapses_with_any_number_of_brokers(#[case] brokers: u32) {
    let (nodes, shards) = (40, 32);
    let lost = || (0..nodes).step_by(4);
    let start = |node| node_event(0, node, PlannedNodeEvent::StartWarm);
    let mut entries: Vec<PlanEntry> = (0..nodes).map(start).collect();
    entries.extend(lost().map(|node| node_event(5_000, node, PlannedNodeEvent::Stop)));
    entries.extend(lost().map(|node| node_event(15_000, node, PlannedNodeEvent::StartCold)));
    for query in 0..3_000 {
        let shard_requests =
            (0..4).map(|offset| planned((query as u32 * 5 + offset) % shards, 80_000)).collect();
        let event = PlanEvent::Query { class: 1, tenant: 0, shard_requests };
        entries.push(PlanEntry { at: 1_000 + query * 20, event });
    }
    entries.sort_by_key(|entry| entry.at);
    let plan =
        Plan { entries, unsampled_rows: 0, unmapped_machine_rows: 0, running_at_start: 0, ms_per_unit: 1.0 };
    let config = SimulationConfig { brokers, placement_groups: 8, ..config(RoutingPolicy::Product) };
    let results =
        Simulation::new(plan, &ReplayConfig { nodes, shards, ..replay_config() }, config).run(|_, _| true);
    assert!(results.violations.is_empty() && results.service.share() > 0.6, "{}", results.json());
}

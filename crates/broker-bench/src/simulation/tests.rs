//! Days in virtual time: the rules hold under faults and overload, and each day is the same by its seed.

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

/// Four kinds of classes, eight nodes, a small retry budget.
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

/// One of four shard requests of equal weight.
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

/// Twelve seconds of queries, of four shard requests of 20 ms each; and these events of nodes.
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

fn play(
    policy: RoutingPolicy,
    queries_per_s: u64,
    node_events: &[(u64, u32, PlannedNodeEvent)],
) -> RunResults {
    Simulation::new(plan(queries_per_s, node_events), &replay_config(), config(policy)).run(|_, _| true)
}

#[rstest]
fn the_same_plan_has_the_same_decisions() {
    let (one, other) = (play(RoutingPolicy::Product, 100, &[]), play(RoutingPolicy::Product, 100, &[]));
    assert_eq!(one.json(), other.json());
}

/// Within what the nodes can do all is served, and no rule is broken.
#[rstest]
fn serves_all_without_faults() {
    let results = play(RoutingPolicy::Product, 100, &[]);
    assert!(results.service.share() > 0.99 && results.violations.is_empty(), "{}", results.json());
    assert_eq!(results.responded, 1200);
}

/// Half of the nodes stop at once and come back with a warm-up to do, then another one drains. Retries and the
/// load of the lost half could bring down the rest or the warming nodes, or be sent past their end; no rule may
/// be broken, and at least half of the day is served.
#[rstest]
fn keeps_the_rules_when_half_is_lost() {
    let lost = [0, 2, 4, 6];
    let mut events: Vec<_> = lost.iter().map(|node| (40_000, *node, PlannedNodeEvent::Stop)).collect();
    events.extend(lost.iter().map(|node| (70_000, *node, PlannedNodeEvent::StartCold)));
    events.extend([(90_000, 1, PlannedNodeEvent::Drain), (110_000, 1, PlannedNodeEvent::Stop)]);
    let results = play(RoutingPolicy::Product, 100, &events);
    assert!(results.violations.is_empty(), "{}", results.json());
    assert!(results.service.share() > 0.5, "{}", results.json());
}

/// Clients send more than the nodes can serve. What can't be served has to be rejected, and more has to be served
/// than by replicas chosen at random.
#[rstest]
fn rejects_at_once_under_overload() {
    let (module, random) = (play(RoutingPolicy::Product, 600, &[]), play(RoutingPolicy::Random, 600, &[]));
    assert!(module.violations.is_empty(), "{}", module.json());
    assert!(
        module.rejected > 0 && module.service.share() > random.service.share(),
        "{} {}",
        module.json(),
        random.json()
    );
}

/// Broken off, it tells what was played as partial, and holds nothing that was open against anybody.
#[rstest]
fn tells_what_was_played_when_broken_off() {
    let results = Simulation::new(plan(100, &[]), &replay_config(), config(RoutingPolicy::Product))
        .run(|now, _| now < Timestamp(50_000));
    assert_eq!(results.stopped_at, Some(Timestamp(50_000)));
    assert!(results.violations.is_empty() && results.queries < 500, "{}", results.json());
    assert_eq!(results.json()["partial"], serde_json::json!(true));
}

/// Thousands of queries arrive at one moment. Queues would outgrow every deadline; each query has to get its
/// response, and what can't be served has to be rejected at once.
#[rstest]
fn answers_thousands_sent_at_one_moment() {
    let mut sudden = plan(250, &[]);
    let is_query = |entry: &PlanEntry| matches!(entry.event, PlanEvent::Query { .. });
    sudden.entries.iter_mut().filter(|entry| is_query(entry)).for_each(|entry| entry.at = 10_000);
    let results = Simulation::new(sudden, &replay_config(), config(RoutingPolicy::Product)).run(|_, _| true);
    assert!(results.violations.is_empty() && results.queries == 3000, "{}", results.json());
    assert_eq!(results.responded + results.rejected + results.failed, 3000);
    assert!(results.rejected > 0 && results.slowest_rejection < LATENCY_OBJECTIVE, "{}", results.json());
}

/// A baseline breaks a rule that the product keeps: the checker can find a violation.
#[rstest]
fn the_checker_finds_violations() {
    let lost: Vec<_> = [0, 2, 4, 6].map(|node| (40_000, node, PlannedNodeEvent::Stop)).to_vec();
    let results = play(RoutingPolicy::Random, 100, &lost);
    assert!(
        results.violations.keys().any(|rule| rule.starts_with("2: at-most-once, rejected")),
        "{}",
        results.json()
    );
}

/// A quarter of forty nodes stops and comes back at once, under brokers that share nothing. Each broker alone sends
/// little to a warming node, but all of them together could bring it down: without the random draw that decides
/// whether a broker sends its first attempt, all ten collapse under thirty brokers. None may, at any number.
#[rstest]
#[case(3)]
#[case(30)]
#[case(300)]
fn no_warming_node_collapses_at_any_size(#[case] brokers: u32) {
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

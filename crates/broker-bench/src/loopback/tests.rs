//! Tests complete runs on sockets: they are reproducible, and a run that is disturbed fails.

use crate::invariants::ShardRequestIndex;
use crate::loopback::nodes::{AttemptKey, ConnectionKey, RunningJob};
use crate::loopback::state::LoopbackRun;
use crate::loopback::{LoopbackError, PendingWork, run, run_with_timeout};
use crate::run_results::RunResults;
use crate::simulation::deployment::LATENCY_OBJECTIVE;
use crate::simulation::tests::planned;
use crate::simulation::{RoutingPolicy, SimulationConfig};
use cluster_trace::plan::{Plan, PlanEntry, PlanEvent, PlannedNodeEvent, ReplayConfig, RetryBudget};
use node_emulator::{CancelPolicy, JobId, PeerEvent, ReceivedEvent, ShardRequest};
use routing::Timestamp;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

fn replay_config() -> ReplayConfig {
    let retry_budget = Some(RetryBudget { min_retries: 3.0, ratio: 0.1, window_ms: 5000 });
    ReplayConfig {
        to: 4_000_000,
        nodes: 6,
        shards: 12,
        retry_budget,
        ..crate::simulation::tests::replay_config()
    }
}

fn config() -> SimulationConfig {
    SimulationConfig {
        brokers: 2,
        policy: RoutingPolicy::Product,
        seed: 5,
        placement_groups: 3,
        cores: 4,
        warm_jobs: None,
        cancel: CancelPolicy::DropAll,
    }
}

/// Returns a plan of three seconds of queries with four shard requests of 20 ms each, and these node events.
fn plan(queries_per_s: u64, events: &[(u64, u32, PlannedNodeEvent)]) -> Plan {
    let node_event = |at, node, event| PlanEntry { at, event: PlanEvent::Node { node, event } };
    let start = |node| node_event(0, node, PlannedNodeEvent::StartWarm);
    let mut entries: Vec<PlanEntry> = (0..6).map(start).collect();
    entries.extend(events.iter().map(|(at, node, event)| node_event(*at, *node, *event)));
    for query in 0..3 * queries_per_s {
        let shard_requests = (0..4).map(|offset| planned((query as u32 * 5 + offset) % 12, 20_000)).collect();
        let event = PlanEvent::Query { class: (query % 4) as usize, tenant: 0, shard_requests };
        entries.push(PlanEntry { at: 1_000 + query * 10_000 / queries_per_s, event });
    }
    entries.sort_by_key(|entry| entry.at);
    Plan { entries, unsampled_rows: 0, unmapped_machine_rows: 0, running_at_start: 0, ms_per_unit: 1.0 }
}

/// Returns a plan in which half of the nodes crash at once and restart cold, and another one drains.
fn plan_with_faults() -> Plan {
    let mut events: Vec<_> = [0, 2, 4].map(|node| (8_000, node, PlannedNodeEvent::Stop)).to_vec();
    events.extend([0, 2, 4].map(|node| (14_000, node, PlannedNodeEvent::StartCold)));
    events.extend([(17_000, 1, PlannedNodeEvent::Drain), (24_000, 1, PlannedNodeEvent::Stop)]);
    plan(80, &events)
}

fn run_to_end(plan: Plan) -> RunResults {
    run(plan, &replay_config(), config(), |_, _| true).unwrap()
}

/// Guards against results that depend on the kernel's delivery times, which would show as different service or a
/// different digest of the received messages, above all on a busy machine. Five runs with crashes, restarts and a
/// drain under load must have the same results, one of them beside a busy loop on every core, and break no rule.
#[rstest]
fn socket_runs_are_reproducible() {
    let first = run_to_end(plan_with_faults());
    assert!(first.violations.is_empty() && first.service.share() > 0.5, "{}", first.json());
    assert!(first.attempts > first.queries && first.queries == 240, "{}", first.json());
    for _ in 0..3 {
        assert_eq!(run_to_end(plan_with_faults()).json(), first.json());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    let busy_loop = |_| {
        let is_over = is_over.clone();
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        })
    };
    let busy_loops: Vec<_> = (0..cores).map(busy_loop).collect();
    let under_load = run_to_end(plan_with_faults());
    is_over.store(true, Ordering::Relaxed);
    busy_loops.into_iter().for_each(|busy_loop| busy_loop.join().unwrap());
    assert_eq!(under_load.json(), first.json());
}

#[rstest]
fn serves_all_queries_without_faults() {
    let results = run_to_end(plan(60, &[]));
    assert!(results.service.share() > 0.99 && results.violations.is_empty(), "{}", results.json());
}

/// Clients send more than the nodes can serve. The excess must be rejected before the latency objective, not at the
/// deadline, and service must show the loss.
#[rstest]
fn rejects_early_under_overload() {
    let results = run_to_end(plan(500, &[]));
    assert!(results.violations.is_empty() && results.rejected > 100, "{}", results.json());
    assert!(
        results.slowest_rejection < LATENCY_OBJECTIVE && results.service.share() < 0.95,
        "{}",
        results.json()
    );
}

/// Guards against wrong results of parties that do not become idle in time: the run must fail.
#[rstest]
fn settle_timeout_returns_an_error() {
    let result =
        run_with_timeout(Duration::ZERO, plan_with_faults(), &replay_config(), config(), |_, _| true);
    assert!(matches!(result, Err(LoopbackError::SettleTimeout { .. })), "{result:?}");
}

/// A run that is stopped early must mark its results as partial.
#[rstest]
fn stopped_run_has_partial_results() {
    let results =
        run(plan_with_faults(), &replay_config(), config(), |now, _| now < Timestamp(10_000)).unwrap();
    assert_eq!(results.stopped_at, Some(Timestamp(10_000)));
    assert!(results.violations.is_empty() && results.queries < 120, "{}", results.json());
}

/// Guards against a clock that advances while work is pending, which would make runs reproducible only as long as the
/// kernel delivers quickly. The work is a query that no broker knows, or an attempt that a node executes or has just
/// received and no broker knows. Each kind must be detected, and the run must fail with it.
#[rstest]
#[case(|run: &mut LoopbackRun| run.clients.waiting += 1, PendingWork::QueryOrResponse)]
#[case(|run: &mut LoopbackRun| _ = run.nodes.jobs.insert(JobId(9), running_job()), PendingWork::Attempt)]
#[case(|run: &mut LoopbackRun| run.nodes.inbox.push(received_batch()), PendingWork::Attempt)]
fn clock_stops_while_work_is_pending(
    #[case] add_pending: fn(&mut LoopbackRun),
    #[case] expected: PendingWork,
) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    actix_rt::Runtime::from(runtime).block_on(async {
        let mut run = LoopbackRun::start(Duration::from_secs(20), plan(60, &[]), &replay_config(), config())
            .await
            .unwrap();
        run.handle_due().await.unwrap();
        assert!(run.pending_work().is_none() && run.attempts_match());
        add_pending(&mut run);
        assert_eq!(run.pending_work(), Some(expected));
        assert!(run.clients.waiting > 0 || !run.attempts_match());
        run.settle_timeout = Duration::from_millis(50);
        let settled = run.settle().await;
        assert!(
            matches!(&settled, Err(LoopbackError::SettleTimeout { pending, .. }) if *pending == expected),
            "{settled:?}"
        );
    });
}

fn running_job() -> RunningJob {
    let connection = ConnectionKey { node: 0, connection: 0 };
    let key = AttemptKey { connection, id: "r0.1".to_owned() };
    RunningJob { key, shard_request: ShardRequestIndex(0) }
}

fn received_batch() -> ReceivedEvent {
    let shard_request =
        ShardRequest { id: "r0.1".into(), shard: 1, parameters: "d=1".into(), text: String::new() };
    ReceivedEvent { node: 0, connection: 0, event: PeerEvent::Batch(vec![shard_request]) }
}

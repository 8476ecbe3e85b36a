//! Whole days on sockets: the same figures each time, and none rather than a wrong one.

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

/// Three seconds of queries, of four shard requests of 20 ms each; and these events of nodes.
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

/// Half of the nodes stop at once and come back with a warm-up to do; another one drains.
fn plan_with_faults() -> Plan {
    let mut events: Vec<_> = [0, 2, 4].map(|node| (8_000, node, PlannedNodeEvent::Stop)).to_vec();
    events.extend([0, 2, 4].map(|node| (14_000, node, PlannedNodeEvent::StartCold)));
    events.extend([(17_000, 1, PlannedNodeEvent::Drain), (24_000, 1, PlannedNodeEvent::Stop)]);
    plan(80, &events)
}

fn run_to_end(plan: Plan) -> RunResults {
    run(plan, &replay_config(), config(), |_, _| true).unwrap()
}

/// Nodes stop, come back and drain under load. A day whose figures depended on how fast the kernel delivers
/// would show it as another service share or another digest of what nodes and clients got, above all on a busy
/// machine. Five runs have the same figures, one of them beside a busy loop on every core, and break no rule.
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
    let beside_load = run_to_end(plan_with_faults());
    is_over.store(true, Ordering::Relaxed);
    busy_loops.into_iter().for_each(|busy_loop| busy_loop.join().unwrap());
    assert_eq!(beside_load.json(), first.json());
}

#[rstest]
fn serves_all_queries_without_faults() {
    let results = run_to_end(plan(60, &[]));
    assert!(results.service.share() > 0.99 && results.violations.is_empty(), "{}", results.json());
}

/// Clients send more than the nodes can serve. What can't be served has to be rejected at once, not at its
/// deadline, and the service share has to show what was not served.
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

/// The parties do not become idle in time: there is no figure, rather than a wrong one.
#[rstest]
fn settle_timeout_returns_an_error() {
    let none = run_with_timeout(Duration::ZERO, plan_with_faults(), &replay_config(), config(), |_, _| true);
    assert!(matches!(none, Err(LoopbackError::SettleTimeout { .. })), "{none:?}");
}

/// Broken off, it tells what was played as partial.
#[rstest]
fn stopped_run_has_partial_results() {
    let results =
        run(plan_with_faults(), &replay_config(), config(), |now, _| now < Timestamp(10_000)).unwrap();
    assert_eq!(results.stopped_at, Some(Timestamp(10_000)));
    assert!(results.violations.is_empty() && results.queries < 120, "{}", results.json());
}

/// The clock must not move on while anything is under way: a query that no broker has, or an attempt that a node
/// has, or has just received, and no broker. With such a gap a day would be the same only as long as the kernel is
/// quick. Each gap is found by name, and the day is given up for it.
#[rstest]
#[case(|run: &mut LoopbackRun| run.clients.waiting += 1, PendingWork::QueryOrResponse)]
#[case(|run: &mut LoopbackRun| _ = run.nodes.jobs.insert(JobId(9), running_job()), PendingWork::Attempt)]
#[case(|run: &mut LoopbackRun| run.nodes.inbox.push(received_batch()), PendingWork::Attempt)]
fn clock_stops_while_work_is_pending(#[case] put: fn(&mut LoopbackRun), #[case] expected: PendingWork) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    actix_rt::Runtime::from(runtime).block_on(async {
        let mut run = LoopbackRun::start(Duration::from_secs(20), plan(60, &[]), &replay_config(), config())
            .await
            .unwrap();
        run.handle_due().await.unwrap();
        assert!(run.pending_work().is_none() && run.attempts_agree());
        put(&mut run);
        assert_eq!(run.pending_work(), Some(expected));
        assert!(run.clients.waiting > 0 || !run.attempts_agree());
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

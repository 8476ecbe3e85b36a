use super::*;
use crate::simulation::RoutingPolicy;
use crate::simulation::tests::planned;
use cluster_trace::plan::{PlanEntry, RetryBudget};
use node_emulator::Cancel;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

fn replay_config() -> ReplayConfig {
    let retry_budget = Some(RetryBudget { floor: 3.0, ratio: 0.1, window_ms: 5000 });
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
        policy: RoutingPolicy::Module,
        seed: 5,
        placement_groups: 3,
        cores: 4,
        warm_jobs: None,
        cancel: Cancel::All,
    }
}

/// Three seconds of queries, four shard requests of 20 ms each, so many a second; half of the hosts die in
/// one instant and come back cold, one drains.
fn plan(a_second: u64, events: &[(u64, u32, PlannedNodeEvent)]) -> Plan {
    let host = |at, host, event| PlanEntry { at, event: PlanEvent::Node { node: host, event } };
    let mut entries: Vec<PlanEntry> = (0..6).map(|no| host(0, no, PlannedNodeEvent::StartWarm)).collect();
    entries.extend(events.iter().map(|(at, no, event)| host(*at, *no, *event)));
    for no in 0..3 * a_second {
        let shard_requests = (0..4).map(|at| planned((no as u32 * 5 + at) % 12, 20_000)).collect();
        let event = PlanEvent::Query { class: (no % 4) as usize, tenant: 0, shard_requests };
        entries.push(PlanEntry { at: 1_000 + no * 10_000 / a_second, event });
    }
    entries.sort_by_key(|entry| entry.at);
    Plan { entries, unsampled_rows: 0, unmapped_machine_rows: 0, running_at_start: 0, ms_per_unit: 1.0 }
}

fn troubled() -> Plan {
    let mut events: Vec<_> = [0, 2, 4].map(|no| (8_000, no, PlannedNodeEvent::Stop)).to_vec();
    events.extend([0, 2, 4].map(|no| (14_000, no, PlannedNodeEvent::StartCold)));
    events.extend([(17_000, 1, PlannedNodeEvent::Drain), (24_000, 1, PlannedNodeEvent::Stop)]);
    plan(80, &events)
}

fn day(plan: Plan) -> DayResults {
    play(plan, &replay_config(), config(), |_, _| true).unwrap()
}

/// The same service and the same digest of all that hosts and clients got, on five runs, one of them beside a
/// busy loop on every core; and no rule broken by that.
#[rstest]
fn the_same_day_on_sockets_each_time() {
    let first = day(troubled());
    assert!(first.violations.is_empty() && first.service.share() > 0.5, "{}", first.json());
    assert!(first.attempts > first.queries && first.queries == 240, "{}", first.json());
    for _ in 0..3 {
        assert_eq!(day(troubled()).json(), first.json());
    }
    let over = Arc::new(AtomicBool::new(false));
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    let busy = |_| {
        let over = over.clone();
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        })
    };
    let loops: Vec<_> = (0..cores).map(busy).collect();
    let beside = day(troubled());
    over.store(true, Ordering::Relaxed);
    loops.into_iter().for_each(|busy| busy.join().unwrap());
    assert_eq!(beside.json(), first.json());
}

#[rstest]
fn serves_all_in_quiet_times() {
    let results = day(plan(60, &[]));
    assert!(results.service.share() > 0.99 && results.violations.is_empty(), "{}", results.json());
}

/// Hotter than the hosts can bear: rejected at once, and the figure says so.
#[rstest]
fn declines_at_once_under_too_much() {
    let results = day(plan(500, &[]));
    assert!(results.violations.is_empty() && results.rejected > 100, "{}", results.json());
    assert!(
        results.slowest_rejection < deployment::LATENCY_OBJECTIVE && results.service.share() < 0.95,
        "{}",
        results.json()
    );
}

/// Without patience there is no figure, rather than a wrong one.
#[rstest]
fn says_when_there_is_no_figure() {
    let none = play_within(Duration::ZERO, troubled(), &replay_config(), config(), |_, _| true);
    assert!(matches!(none, Err(NoFigure::Busy { .. })), "{none:?}");
}

/// Broken off, it tells what was played as partial.
#[rstest]
fn tells_what_was_played_when_broken_off() {
    let results = play(troubled(), &replay_config(), config(), |now, _| now < Tenths(10_000)).unwrap();
    assert_eq!(results.stopped_at, Some(Tenths(10_000)));
    assert!(results.violations.is_empty() && results.queries < 120, "{}", results.json());
}

/// The clock stands while anything is under way: a request that no desk has, a shard request that no broker
/// has out, at a host or among what was just heard. Without this a day is the same only as long as the kernel
/// is quick.
#[rstest]
#[case(|day: &mut Day| day.waiting += 1, "a request or an answer")]
#[case(|day: &mut Day| _ = day.jobs.insert(JobId(9), Job { host: 0, line: 0, id: "r0.1".into(), shard_request: ShardRequestIndex(0) }), "a part")]
#[case(|day: &mut Day| day.inbox.push((0, 0, PeerEvent::Batch(vec![shard_request()]))), "a part")]
fn the_clock_stands_while_anything_is_under_way(#[case] put: fn(&mut Day), #[case] what: &str) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    actix_rt::Runtime::from(runtime).block_on(async {
        let mut day =
            Day::begin(Duration::from_secs(20), plan(60, &[]), &replay_config(), config()).await.unwrap();
        day.due().await.unwrap();
        assert!(day.under_way().is_none() && day.hold_what_is_out());
        put(&mut day);
        assert!(day.under_way().is_some_and(|told| told.starts_with(what)), "{:?}", day.under_way());
        assert!(day.waiting > 0 || !day.hold_what_is_out());
        day.patience = Duration::from_millis(50);
        let rest = day.rest().await;
        assert!(
            matches!(&rest, Err(NoFigure::Busy { what: told, .. }) if told.starts_with(what)),
            "{rest:?}"
        );
    });
}

fn shard_request() -> ShardRequest {
    ShardRequest { id: "r0.1".into(), shard: 1, list: "d=1".into(), text: String::new() }
}

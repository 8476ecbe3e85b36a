//! Replay plans made from rows: windows, samples, time scales, nodes, and determinism.

use cluster_trace::plan::{
    ClassSpec, CountRange, Plan, PlanError, PlanEvent, PlannedNodeEvent, Planner, ReplayConfig,
};
use cluster_trace::{HashedId, MachineEvent, Row, RowDetail, WorkEvent};
use rstest::rstest;

const SECOND: u64 = 1_000_000;

fn config() -> ReplayConfig {
    let class =
        |name: &str, share, min, max| ClassSpec::idempotent(name, share, CountRange { min, max }, 1.0);
    ReplayConfig {
        seed: 7,
        from: 100 * SECOND,
        to: 200 * SECOND,
        time_scale: 1.0,
        sample_share: 1.0,
        load: 0.5,
        nodes: 4,
        node_ms_per_s: 1000.0,
        shards: 16,
        classes: vec![class("report", 1.0, 4, 8), class("lookup", 3.0, 1, 2)],
        tenant_weights: vec![1.0, 2.0],
        quota_per_s: None,
        drain_share: 0.0,
        drain_duration: 5000,
        retry_budget: None,
        max_entries: 10_000,
    }
}

fn work_row(second: u64, job: u64, task: u64, event: WorkEvent, end: Option<u64>) -> Row {
    let id = |prefix: &str, no: u64| HashedId::from_name(&format!("{prefix}{no}"));
    let detail = RowDetail::Work {
        job: id("j", job),
        task: id("t", task),
        event,
        end: end.map(|second| second * SECOND),
        instances: 1,
        tenant: id("u", job % 5),
        class: id("c", job % 3),
        priority: 0,
    };
    Row {
        line: 1,
        at: second * SECOND,
        machine: None,
        cpu: Some(0.1 + job as f64 / 100.0),
        memory: None,
        detail,
    }
}

fn machine_row(second: u64, machine: u64, event: MachineEvent, cpu: f64) -> Row {
    let machine = HashedId::from_name(&format!("m{machine}"));
    Row {
        line: 1,
        at: second * SECOND,
        machine,
        cpu: Some(cpu),
        memory: None,
        detail: RowDetail::Machine { event },
    }
}

fn plan(config: ReplayConfig, rows: &[Row]) -> Result<Plan, PlanError> {
    let mut planner = Planner::new(config)?;
    rows.iter().try_for_each(|row| planner.add_row(row))?;
    planner.finish()
}

/// Returns rows of a hundred jobs with three tasks each, before, in and after the window.
fn rows() -> Vec<Row> {
    let tasks = |job: u64| {
        (0..3).map(move |task| work_row(90 + job * 13 / 10, job, task, WorkEvent::Submitted, None))
    };
    (0..100).flat_map(tasks).collect()
}

fn queries(plan: &Plan) -> Vec<(u64, usize, usize, u64)> {
    let query = |entry: &cluster_trace::plan::PlanEntry| match &entry.event {
        PlanEvent::Query { class, tenant, shard_requests } => Some((
            entry.at,
            *class,
            *tenant,
            shard_requests.iter().map(|shard_request| shard_request.work_us).sum(),
        )),
        PlanEvent::Node { .. } => None,
    };
    plan.entries.iter().filter_map(query).collect()
}

fn node_events(plan: &Plan) -> Vec<(u64, u32, PlannedNodeEvent)> {
    let event = |entry: &cluster_trace::plan::PlanEntry| match entry.event {
        PlanEvent::Node { node, event } => Some((entry.at, node, event)),
        PlanEvent::Query { .. } => None,
    };
    plan.entries.iter().filter_map(event).collect()
}

#[rstest]
fn plans_are_deterministic() {
    let original = plan(config(), &rows()).unwrap();
    assert_eq!(original.digest(), plan(config(), &rows()).unwrap().digest());
    let mut reversed = rows();
    reversed.reverse();
    assert_eq!(
        original.digest(),
        plan(config(), &reversed).unwrap().digest(),
        "the plan depends on the order of rows"
    );
    assert_ne!(original.digest(), plan(ReplayConfig { seed: 8, ..config() }, &rows()).unwrap().digest());
}

/// The planned work is the configured share of the capacity of the nodes, independently of the trace's unit of work.
#[rstest]
#[case(0.5, 1.0)]
#[case(2.0, 1.0)]
#[case(0.5, 0.1)]
fn offers_the_configured_load(#[case] load: f64, #[case] time_scale: f64) {
    let plan = plan(ReplayConfig { load, time_scale, ..config() }, &rows()).unwrap();
    let ms: u64 = queries(&plan).iter().map(|query| query.3).sum::<u64>() / 1000;
    let capacity_ms = 4.0 * 1000.0 * 100.0 * time_scale;
    assert!(
        (ms as f64 / capacity_ms - load).abs() < load / 50.0,
        "{ms} ms of work planned, capacity is {capacity_ms} ms"
    );
    let last = queries(&plan).last().unwrap().0;
    assert!(last as f64 <= 100.0 * 10_000.0 * time_scale, "query at {last}, after the end of the window");
}

/// A job is sampled completely or not at all, and a larger sample contains all jobs of a smaller one.
#[rstest]
fn samples_complete_jobs() {
    let query_times = |share: f64| {
        let plan = plan(ReplayConfig { sample_share: share, ..config() }, &rows()).unwrap();
        queries(&plan).iter().map(|query| query.0).collect::<Vec<_>>()
    };
    let (all, some, few) = (query_times(1.0), query_times(0.5), query_times(0.2));
    assert!(all.len() > some.len() && some.len() > few.len() && !few.is_empty());
    assert!(
        [&all, &some, &few].iter().all(|queries| queries.len() % 3 == 0),
        "jobs must keep all three tasks"
    );
    assert!(few.iter().all(|at| some.contains(at)) && some.iter().all(|at| all.contains(at)));
}

/// The users of the trace are spread over the configured tenants.
#[rstest]
fn spreads_users_over_tenants() {
    let plan = plan(config(), &rows()).unwrap();
    let tenants: Vec<usize> = queries(&plan).iter().map(|query| query.2).collect();
    assert!(tenants.contains(&0) && tenants.contains(&1));
}

/// Work that is running when the window starts becomes queries at the start of the replay: spans that reach into
/// the window, and tasks that were scheduled and have not ended. A task that runs longer than the window becomes
/// one query.
#[rstest]
fn starts_with_running_work() {
    let rows = [
        work_row(10, 1, 0, WorkEvent::Span, Some(500)),
        work_row(10, 2, 0, WorkEvent::Span, Some(90)),
        work_row(20, 3, 0, WorkEvent::Scheduled, None),
        work_row(20, 4, 0, WorkEvent::Scheduled, None),
        work_row(60, 4, 0, WorkEvent::Finished, None),
        work_row(150, 5, 0, WorkEvent::Span, Some(900)),
        work_row(300, 6, 0, WorkEvent::Span, Some(900)),
    ];
    let plan = plan(config(), &rows).unwrap();
    let at: Vec<u64> = queries(&plan).iter().map(|query| query.0).collect();
    assert_eq!((at, plan.running_at_start), (vec![0, 0, 500_000], 1));
}

/// Machines become nodes that are up at the start, stop, start again with the same number, and slow down. Two of the
/// four nodes stop at the same time, after a drain if that is configured.
#[rstest]
#[case(0.0, false)]
#[case(1.0, true)]
fn maps_machine_events_to_nodes(#[case] share: f64, #[case] drained: bool) {
    use MachineEvent::{Added, Removed, Updated};
    let mut rows = vec![work_row(150, 1, 0, WorkEvent::Submitted, None)];
    rows.extend((0..6).map(|no| machine_row(0, no, Added, 1.0)));
    rows.extend([
        machine_row(120, 0, Removed, 1.0),
        machine_row(120, 1, Removed, 1.0),
        machine_row(130, 0, Added, 1.0),
    ]);
    rows.extend([machine_row(140, 2, Updated, 0.5), machine_row(400, 3, Removed, 1.0)]);
    let plan = plan(ReplayConfig { drain_share: share, ..config() }, &rows).unwrap();
    let mut events = node_events(&plan);
    let warm: Vec<_> = events.drain(..4).collect();
    assert!(
        warm.iter().zip(0..).all(|(event, no)| *event == (0, no, PlannedNodeEvent::StartWarm)),
        "{warm:?}"
    );
    let stop_events = |node, at: u64| match drained {
        true => vec![(at, node, PlannedNodeEvent::Drain), (at + 5000, node, PlannedNodeEvent::Stop)],
        false => vec![(at, node, PlannedNodeEvent::Stop)],
    };
    let mut expected = [stop_events(0, 200_000), stop_events(1, 200_000)].concat();
    expected
        .extend([(300_000, 0, PlannedNodeEvent::StartCold), (400_000, 2, PlannedNodeEvent::SetSpeed(0.5))]);
    expected.sort_by_key(|event| event.0);
    assert_eq!((events, plan.unmapped_machine_rows), (expected, 2));
}

/// The weights of a query add up to one and descend, and no two of its shard requests use the same shard.
#[rstest]
fn weights_of_shard_requests_add_up_to_one() {
    for entry in plan(config(), &rows()).unwrap().entries {
        let PlanEvent::Query { shard_requests, .. } = entry.event else { continue };
        let sum: f64 = shard_requests.iter().map(|shard_request| shard_request.weight).sum();
        assert!(
            (sum - 1.0).abs() < 1e-9 && shard_requests.is_sorted_by(|a, b| a.weight >= b.weight),
            "{shard_requests:?}"
        );
        let shards: std::collections::BTreeSet<u32> =
            shard_requests.iter().map(|shard_request| shard_request.shard).collect();
        assert!(shards.len() == shard_requests.len() && shards.iter().all(|shard| *shard < 16));
    }
}

#[rstest]
#[case(ReplayConfig { max_entries: 10, ..config() }, PlanError::TooManyEntries(10))]
#[case(ReplayConfig { from: 900 * SECOND, to: 901 * SECOND, ..config() }, PlanError::NoWork { from: 900 * SECOND, to: 901 * SECOND })]
#[case(ReplayConfig { to: 0, ..config() }, PlanError::InvalidConfig("window"))]
#[case(ReplayConfig { time_scale: f64::NAN, ..config() }, PlanError::InvalidConfig("time_scale"))]
#[case(ReplayConfig { shards: 3, ..config() }, PlanError::InvalidConfig("shard_requests"))]
fn reports_planning_errors(#[case] config: ReplayConfig, #[case] error: PlanError) {
    assert_eq!(plan(config, &rows()), Err(error));
}

/// A file that is read one byte at a time gives the same plan. Planning ends before the replay starts, so a slow
/// reader delays the start and changes nothing else.
#[rstest]
fn slow_reads_do_not_change_the_plan() {
    struct OneByteReader<'a>(&'a [u8]);
    impl std::io::Read for OneByteReader<'_> {
        fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
            let length = self.0.len().min(buffer.len()).min(1);
            let (byte, rest) = self.0.split_at(length);
            buffer[..length].copy_from_slice(byte);
            self.0 = rest;
            Ok(length)
        }
    }
    let text: String =
        (0..200).map(|no| format!("{},,{no},0,,0,u{},1,1,0.1,0.1,0,0\n", 100_000_000 + no, no % 7)).collect();
    let layout = cluster_trace::find_layout("google-2011-task-events").unwrap();
    let digest = |outcomes: &mut dyn Iterator<Item = cluster_trace::RowOutcome>| {
        let mut planner = Planner::new(config()).unwrap();
        for outcome in outcomes {
            let cluster_trace::RowOutcome::Accepted(row) = outcome else { panic!("{outcome:?}") };
            planner.add_row(&row).unwrap();
        }
        planner.finish().unwrap().digest()
    };
    let slow = digest(&mut cluster_trace::TraceReader::new(layout, OneByteReader(text.as_bytes())).unwrap());
    assert_eq!(slow, digest(&mut cluster_trace::TraceReader::new(layout, text.as_bytes()).unwrap()));
}

//! What rows become: windows, samples, scales, hosts; and that it is the same each time.

use cluster_trace::plan::{Cast, Happens, HostEvent, NoPlan, Plan, Planner, Repeats, Staging};
use cluster_trace::{Id, MachineEvent, Row, What, WorkEvent};
use rstest::rstest;

const SECOND: u64 = 1_000_000;

fn staging() -> Staging {
    let cast = |name: &str, share, shard_requests| Cast {
        name: name.to_owned(),
        share,
        shard_requests,
        skew: 1.0,
        deadline: 5000,
        priority_weight: 1.0,
        least: 1.0,
        repeats: Repeats::Reissuable,
    };
    Staging {
        seed: 7,
        from: 100 * SECOND,
        to: 200 * SECOND,
        stretch: 1.0,
        sample: 1.0,
        load: 0.5,
        hosts: 4,
        host_ms_per_s: 1000.0,
        shards: 16,
        classes: vec![cast("report", 1.0, (4, 8)), cast("lookup", 3.0, (1, 2))],
        tenants: vec![1.0, 2.0],
        quota_per_s: None,
        drains: 0.0,
        drain_for: 5000,
        budget: None,
        most: 10_000,
    }
}

fn work(second: u64, job: u64, task: u64, event: WorkEvent, end: Option<u64>) -> Row {
    let id = |prefix: &str, no: u64| Id::of(&format!("{prefix}{no}"));
    let what = What::Work {
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
        what,
    }
}

fn machine(second: u64, machine: u64, event: MachineEvent, cpu: f64) -> Row {
    let machine = Id::of(&format!("m{machine}"));
    Row { line: 1, at: second * SECOND, machine, cpu: Some(cpu), memory: None, what: What::Machine { event } }
}

fn plan(staging: Staging, rows: &[Row]) -> Result<Plan, NoPlan> {
    let mut planner = Planner::new(staging)?;
    rows.iter().try_for_each(|row| planner.take(row))?;
    planner.plan()
}

/// A hundred jobs of three tasks, over the window and beyond it.
fn rows() -> Vec<Row> {
    let tasks =
        |job: u64| (0..3).map(move |task| work(90 + job * 13 / 10, job, task, WorkEvent::Submitted, None));
    (0..100).flat_map(tasks).collect()
}

fn asks(plan: &Plan) -> Vec<(u64, usize, usize, u64)> {
    let ask = |entry: &cluster_trace::plan::Entry| match &entry.what {
        Happens::Ask { class, tenant, shard_requests } => Some((
            entry.at,
            *class,
            *tenant,
            shard_requests.iter().map(|shard_request| shard_request.2).sum(),
        )),
        Happens::Host { .. } => None,
    };
    plan.entries.iter().filter_map(ask).collect()
}

fn hosts(plan: &Plan) -> Vec<(u64, u32, HostEvent)> {
    let event = |entry: &cluster_trace::plan::Entry| match entry.what {
        Happens::Host { host, event } => Some((entry.at, host, event)),
        Happens::Ask { .. } => None,
    };
    plan.entries.iter().filter_map(event).collect()
}

#[rstest]
fn is_the_same_byte_for_byte() {
    let one = plan(staging(), &rows()).unwrap();
    assert_eq!(one.digest(), plan(staging(), &rows()).unwrap().digest());
    let mut reversed = rows();
    reversed.reverse();
    assert_eq!(
        one.digest(),
        plan(staging(), &reversed).unwrap().digest(),
        "the order of rows is no part of it"
    );
    assert_ne!(one.digest(), plan(Staging { seed: 8, ..staging() }, &rows()).unwrap().digest());
}

/// The load is the stated share of what the hosts can do, whatever the trace's unit.
#[rstest]
#[case(0.5, 1.0)]
#[case(2.0, 1.0)]
#[case(0.5, 0.1)]
fn offers_the_stated_load(#[case] load: f64, #[case] stretch: f64) {
    let plan = plan(Staging { load, stretch, ..staging() }, &rows()).unwrap();
    let ms: u64 = asks(&plan).iter().map(|ask| ask.3).sum::<u64>() / 1000;
    let can = 4.0 * 1000.0 * 100.0 * stretch;
    assert!((ms as f64 / can - load).abs() < load / 50.0, "{ms} ms of {can}");
    let last = asks(&plan).last().unwrap().0;
    assert!(last as f64 <= 100.0 * 10_000.0 * stretch, "the window ends there: {last}");
}

/// A job is in or out whole, and a larger sample holds a smaller one.
#[rstest]
fn samples_jobs_whole() {
    let of = |sample: f64| {
        let plan = plan(Staging { sample, ..staging() }, &rows()).unwrap();
        asks(&plan).iter().map(|ask| ask.0).collect::<Vec<_>>()
    };
    let (all, some, few) = (of(1.0), of(0.5), of(0.2));
    assert!(all.len() > some.len() && some.len() > few.len() && !few.is_empty());
    assert!([&all, &some, &few].iter().all(|asks| asks.len() % 3 == 0), "three tasks of each job");
    assert!(few.iter().all(|at| some.contains(at)) && some.iter().all(|at| all.contains(at)));
}

/// A user is one tenant's, always.
#[rstest]
fn maps_users_onto_callers() {
    let plan = plan(staging(), &rows()).unwrap();
    let tenants: Vec<usize> = asks(&plan).iter().map(|ask| ask.2).collect();
    assert!(tenants.contains(&0) && tenants.contains(&1));
}

/// What was running as the window began is asked for at its beginning: spans that reach into it, and tasks
/// that were scheduled and had not ended. A job longer than the window is there once.
#[rstest]
fn begins_with_what_was_running() {
    let rows = [
        work(10, 1, 0, WorkEvent::Span, Some(500)),
        work(10, 2, 0, WorkEvent::Span, Some(90)),
        work(20, 3, 0, WorkEvent::Scheduled, None),
        work(20, 4, 0, WorkEvent::Scheduled, None),
        work(60, 4, 0, WorkEvent::Finished, None),
        work(150, 5, 0, WorkEvent::Span, Some(900)),
        work(300, 6, 0, WorkEvent::Span, Some(900)),
    ];
    let plan = plan(staging(), &rows).unwrap();
    let at: Vec<u64> = asks(&plan).iter().map(|ask| ask.0).collect();
    assert_eq!((at, plan.running), (vec![0, 0, 500_000], 1));
}

/// Machines become hosts: there from the beginning, dead, returned under their name, slow; drained first
/// where that is assumed; half of them gone in one instant.
#[rstest]
#[case(0.0, false)]
#[case(1.0, true)]
fn machines_come_and_go(#[case] drains: f64, #[case] drained: bool) {
    use MachineEvent::{Added, Removed, Updated};
    let mut rows = vec![work(150, 1, 0, WorkEvent::Submitted, None)];
    rows.extend((0..6).map(|no| machine(0, no, Added, 1.0)));
    rows.extend([machine(120, 0, Removed, 1.0), machine(120, 1, Removed, 1.0), machine(130, 0, Added, 1.0)]);
    rows.extend([machine(140, 2, Updated, 0.5), machine(400, 3, Removed, 1.0)]);
    let plan = plan(Staging { drains, ..staging() }, &rows).unwrap();
    let mut told = hosts(&plan);
    let warm: Vec<_> = told.drain(..4).collect();
    assert!(warm.iter().zip(0..).all(|(event, no)| *event == (0, no, HostEvent::Warm)), "{warm:?}");
    let ends = |host, at: u64| match drained {
        true => vec![(at, host, HostEvent::Drain), (at + 5000, host, HostEvent::Death)],
        false => vec![(at, host, HostEvent::Death)],
    };
    let mut expected = [ends(0, 200_000), ends(1, 200_000)].concat();
    expected.extend([(300_000, 0, HostEvent::Start), (400_000, 2, HostEvent::Slow(0.5))]);
    expected.sort_by_key(|event| event.0);
    assert_eq!((told, plan.machines_out), (expected, 2));
}

/// Weights make a whole, the heaviest first; no shard request is of a shard twice.
#[rstest]
fn parts_make_a_whole() {
    for entry in plan(staging(), &rows()).unwrap().entries {
        let Happens::Ask { shard_requests, .. } = entry.what else { continue };
        let sum: f64 = shard_requests.iter().map(|shard_request| shard_request.1).sum();
        assert!(
            (sum - 1.0).abs() < 1e-9 && shard_requests.is_sorted_by(|a, b| a.1 >= b.1),
            "{shard_requests:?}"
        );
        let shards: std::collections::BTreeSet<u32> =
            shard_requests.iter().map(|shard_request| shard_request.0).collect();
        assert!(shards.len() == shard_requests.len() && shards.iter().all(|shard| *shard < 16));
    }
}

#[rstest]
#[case(Staging { most: 10, ..staging() }, NoPlan::Long(10))]
#[case(Staging { from: 900 * SECOND, to: 901 * SECOND, ..staging() }, NoPlan::Empty { from: 900 * SECOND, to: 901 * SECOND })]
#[case(Staging { to: 0, ..staging() }, NoPlan::Staging("window"))]
#[case(Staging { stretch: f64::NAN, ..staging() }, NoPlan::Staging("stretch"))]
#[case(Staging { shards: 3, ..staging() }, NoPlan::Staging("parts"))]
fn says_why_there_is_no_plan(#[case] staging: Staging, #[case] why: NoPlan) {
    assert_eq!(plan(staging, &rows()), Err(why));
}

/// A file that comes slower than anything is played, a byte at a time, is the same plan: it is made before the day
/// begins, so that a slow reader puts off the start and nothing else.
#[rstest]
fn a_slow_reader_changes_nothing() {
    struct Trickle<'a>(&'a [u8]);
    impl std::io::Read for Trickle<'_> {
        fn read(&mut self, to: &mut [u8]) -> std::io::Result<usize> {
            let one = self.0.len().min(to.len()).min(1);
            let (now, later) = self.0.split_at(one);
            to[..one].copy_from_slice(now);
            self.0 = later;
            Ok(one)
        }
    }
    let text: String =
        (0..200).map(|no| format!("{},,{no},0,,0,u{},1,1,0.1,0.1,0,0\n", 100_000_000 + no, no % 7)).collect();
    let layout = cluster_trace::layout("google-2011-task-events").unwrap();
    let digest = |from: &mut dyn Iterator<Item = cluster_trace::Verdict>| {
        let mut planner = Planner::new(staging()).unwrap();
        for verdict in from {
            let cluster_trace::Verdict::Taken(row) = verdict else { panic!("{verdict:?}") };
            planner.take(&row).unwrap();
        }
        planner.plan().unwrap().digest()
    };
    let slow = digest(&mut cluster_trace::Reader::new(layout, Trickle(text.as_bytes())).unwrap());
    assert_eq!(slow, digest(&mut cluster_trace::Reader::new(layout, text.as_bytes()).unwrap()));
}

//! Tests of the node model with explicit times.

use node_emulator::{CancelPolicy, EmulatedNode, JobId, LoadReport, NodeSpec, NodeState, SubmitOutcome};
use routing::Timestamp;
use rstest::rstest;

fn spec() -> NodeSpec {
    NodeSpec { cores: 2, queue_capacity: 2, ..NodeSpec::default() }
}

fn job(id: u64) -> JobId {
    JobId(id)
}

/// With two cores and a queue of two, the fifth job is refused. When a job completes, the first queued job starts.
#[rstest]
fn jobs_are_queued_then_refused() {
    let mut node = EmulatedNode::new(spec(), None);
    let outcomes: Vec<SubmitOutcome> = (0..5).map(|id| node.submit(Timestamp(0), job(id), 10_000)).collect();
    assert_eq!(
        outcomes,
        [
            SubmitOutcome::Started,
            SubmitOutcome::Started,
            SubmitOutcome::Queued,
            SubmitOutcome::Queued,
            SubmitOutcome::Refused
        ]
    );
    assert_eq!(node.load(Timestamp(0)), LoadReport { queued: 2, completed_per_s: 0, in_flight: 4 });
    assert_eq!((node.complete(Timestamp(99)), node.next_completion()), (None, Some(Timestamp(100))));
    assert_eq!(
        (node.complete(Timestamp(100)), node.complete(Timestamp(100)), node.complete(Timestamp(100))),
        (Some(job(0)), Some(job(1)), None)
    );
    assert_eq!(
        (node.next_completion(), node.load(Timestamp(100))),
        (Some(Timestamp(200)), LoadReport { queued: 0, completed_per_s: 2, in_flight: 2 })
    );
    assert_eq!(node.load(Timestamp(20_000)).completed_per_s, 0);
}

/// A node has a fifth of its capacity when it starts, three fifths halfway through warm-up, and all of it afterwards.
#[rstest]
#[case(0, 500)]
#[case(85_000, 167)]
#[case(170_000, 100)]
fn capacity_grows_linearly_during_warm_up(#[case] age: i64, #[case] duration: i64) {
    let mut node = EmulatedNode::new(spec(), Some(Timestamp(0)));
    node.submit(Timestamp(age), job(1), 10_000);
    assert_eq!(node.next_completion(), Some(Timestamp(age + duration)));
}

#[rstest]
fn only_a_node_in_warm_up_collapses_under_overload() {
    let collapse = |started_at| {
        let mut node = EmulatedNode::new(NodeSpec { queue_capacity: 10_000, ..spec() }, started_at);
        (0..200)
            .map(|id| node.submit(Timestamp(id), job(id as u64), 10_000))
            .find(|outcome| *outcome == SubmitOutcome::Collapsed)
    };
    // Two cores at a fifth of their capacity do 400 ms of work in the window of one second. The node collapses above
    // three times that, 1,200 ms, with the 121st job of 10 ms.
    assert_eq!((collapse(None), collapse(Some(Timestamp(0)))), (None, Some(SubmitOutcome::Collapsed)));
}

/// A draining node completes accepted jobs, and a crash loses them. After a restart the node has to warm up.
#[rstest]
fn drains_crashes_and_restarts() {
    let mut node = EmulatedNode::new(spec(), None);
    (0..3).for_each(|id| _ = node.submit(Timestamp(0), job(id), 10_000));
    node.drain();
    assert_eq!(
        (node.submit(Timestamp(1), job(9), 1), node.complete(Timestamp(100))),
        (SubmitOutcome::Refused, Some(job(0)))
    );
    assert_eq!((node.crash(), node.state()), (vec![job(1), job(2)], NodeState::Down));
    assert_eq!((node.crash(), node.submit(Timestamp(101), job(9), 1)), (vec![], SubmitOutcome::Unreachable));
    node.drain();
    assert_eq!(node.state(), NodeState::Down, "a node that is down does not drain");
    node.start(Timestamp(500));
    assert_eq!(
        (node.state(), node.is_warming_up(Timestamp(500)), node.load(Timestamp(500)).in_flight),
        (NodeState::Ready, true, 0)
    );
    node.start(Timestamp(900));
    assert_eq!(node.started_at(), Some(Timestamp(500)), "a running node is not started again");
}

#[rstest]
fn a_cancelled_job_frees_its_core_or_queue_slot() {
    let mut node = EmulatedNode::new(spec(), None);
    (0..4).for_each(|id| _ = node.submit(Timestamp(0), job(id), 10_000));
    assert!(
        node.cancel(Timestamp(10), job(0))
            && node.cancel(Timestamp(10), job(3))
            && !node.cancel(Timestamp(10), job(3))
    );
    assert_eq!(node.load(Timestamp(10)), LoadReport { queued: 0, completed_per_s: 0, in_flight: 2 });
    node.set_speed(0.5);
    node.cancel(Timestamp(20), job(1));
    node.submit(Timestamp(20), job(7), 10_000);
    assert!(
        node.complete(Timestamp(110)).is_some() && node.next_completion() == Some(Timestamp(220)),
        "a job started at half speed takes twice as long"
    );
}

/// With `warm_up_jobs`, only completed jobs warm up a node: an hour without jobs does not change its capacity.
#[rstest]
fn time_alone_does_not_warm_up_a_node_with_warm_up_jobs() {
    let spec = NodeSpec { cores: 1, warm_up_jobs: Some(4), ..NodeSpec::default() };
    let mut node = EmulatedNode::new(spec, None);
    node.crash();
    node.start(Timestamp(0));
    let later = Timestamp(36_000_000);
    assert!((node.capacity_ratio(later) - 0.2).abs() < 1e-9);
    for id in 0..4 {
        node.submit(later, JobId(id), 100);
        node.complete(node.next_completion().unwrap());
    }
    assert!((node.capacity_ratio(later) - 1.0).abs() < 1e-9);
}

/// Depending on the policy, cancellation drops both jobs, only the queued one, or neither.
#[rstest]
#[case(CancelPolicy::DropAll, 0)]
#[case(CancelPolicy::DropQueued, 1)]
#[case(CancelPolicy::DropNone, 2)]
fn cancellation_follows_the_policy(#[case] cancel: CancelPolicy, #[case] completed: usize) {
    let mut node = EmulatedNode::new(NodeSpec { cores: 1, cancel, ..NodeSpec::default() }, None);
    node.submit(Timestamp(0), JobId(1), 1000);
    node.submit(Timestamp(0), JobId(2), 1000);
    node.cancel(Timestamp(1), JobId(2));
    node.cancel(Timestamp(1), JobId(1));
    let mut count = 0;
    while let Some(completion) = node.next_completion() {
        node.complete(completion);
        count += 1;
    }
    assert_eq!(count, completed);
}

use super::{expected_wait, ignores_failures, is_infeasible};
use crate::ids::BatchId;
use crate::state::{LoadReport, Node};
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

fn idle() -> Node {
    Node::default()
}

fn busy() -> Node {
    let mut node = Node::default();
    node.batches.insert(BatchId(1), Default::default());
    node
}

fn with_queue(queue_length: f64) -> Node {
    let load = LoadReport {
        is_valid: true,
        queue_length: Some(queue_length),
        service_rate: Some(10.0),
        ..LoadReport::default()
    };
    Node { load: Some(load), ..Node::default() }
}

fn failing() -> Node {
    Node { consecutive_failures: 1, ..Node::default() }
}

// The latency is 700; a queue of three at ten per second takes 3,000.
#[rstest]
#[case::idle(idle(), false, 0)]
#[case::busy(busy(), false, 700)]
#[case::reports_a_queue(with_queue(3.0), false, 3_700)]
#[case::reports_no_queue(with_queue(0.0), false, 0)]
#[case::failing(failing(), false, 700)]
#[case::failing_but_failures_ignored(failing(), true, 0)]
fn expected_waits(#[case] node: Node, #[case] ignores_failures: bool, #[case] expected: i64) {
    assert_eq!(expected_wait(&node, || TimeSpan(700), ignores_failures), TimeSpan(expected));
}

/// After an outage, every node has failed, and nothing in flight could show that the outage is over.
#[rstest]
#[case::after_an_outage(true, 0, true)]
#[case::something_is_in_flight(true, 1, false)]
#[case::nodes_were_not_probed(false, 0, false)]
fn failures_are_ignored_after_an_outage(
    #[case] was_probed: bool,
    #[case] attempts_in_flight: usize,
    #[case] expected: bool,
) {
    assert_eq!(ignores_failures(was_probed, attempts_in_flight), expected);
}

#[rstest]
#[case::in_time(Some(600), false)]
#[case::too_late(Some(601), true)]
#[case::no_replica(None, true)]
fn infeasible(#[case] shortest_wait: Option<i64>, #[case] expected: bool) {
    assert_eq!(is_infeasible(shortest_wait.map(TimeSpan), Timestamp(100), Timestamp(1_000)), expected);
}

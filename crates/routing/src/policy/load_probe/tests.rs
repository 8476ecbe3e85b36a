use super::{max_wait, may_wait, needs_probe, read_report, reported_wait};
use crate::ids::NodeId;
use crate::inputs::{LoadMetric, ProbeResult};
use crate::state::{LoadReport, Node};
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

const OBJECTIVE: TimeSpan = TimeSpan(10_000);

fn node(probe_sent_at: Option<i64>, received_at: Option<i64>) -> Node {
    let load = received_at.map(|at| LoadReport { received_at: Timestamp(at), ..LoadReport::default() });
    Node { probe_sent_at: probe_sent_at.map(Timestamp), load, ..Node::default() }
}

#[rstest]
#[case::never_reported(node(None, None), true)]
#[case::recent(node(None, Some(99_800)), false)]
#[case::old(node(None, Some(99_799)), true)]
#[case::probe_is_outstanding(node(Some(90_000), None), false)]
#[case::probe_was_lost(node(Some(89_999), None), true)]
fn nodes_are_probed(#[case] node: Node, #[case] expected: bool) {
    assert_eq!(needs_probe(&node, Timestamp(100_000), OBJECTIVE), expected);
}

#[rstest]
fn queries_wait_a_fiftieth_of_the_objective_for_reports() {
    assert_eq!(max_wait(OBJECTIVE), TimeSpan(200));
    assert!(may_wait(Some(Timestamp(1_000)), Timestamp(1_199), OBJECTIVE));
    assert!(!may_wait(Some(Timestamp(1_000)), Timestamp(1_200), OBJECTIVE));
    assert!(!may_wait(None, Timestamp(1_000), OBJECTIVE));
}

#[rstest]
fn the_first_usable_value_of_a_metric_counts() {
    let report = vec![
        (LoadMetric::QueueLength, f64::NAN),
        (LoadMetric::Ignored, 9.0),
        (LoadMetric::QueueLength, -1.0),
        (LoadMetric::QueueLength, 3.0),
        (LoadMetric::QueueLength, 4.0),
        (LoadMetric::ServiceRate, f64::INFINITY),
    ];
    let load = read_report(Timestamp(7), &ProbeResult { node: NodeId(1), is_valid: true, report });
    assert_eq!((load.received_at, load.is_valid), (Timestamp(7), true));
    assert_eq!((load.queue_length, load.service_rate), (Some(3.0), None));
}

#[rstest]
#[case::queue_over_rate(true, Some(3.0), Some(10.0), 3_000)]
#[case::at_least_one_a_second(true, Some(3.0), Some(0.1), 30_000)]
#[case::no_rate(true, Some(3.0), None, 0)]
#[case::no_queue(true, None, Some(10.0), 0)]
#[case::failed_probe(false, Some(3.0), Some(10.0), 0)]
fn expected_wait_of_a_reported_queue(
    #[case] is_valid: bool,
    #[case] queue_length: Option<f64>,
    #[case] service_rate: Option<f64>,
    #[case] expected: i64,
) {
    let load = LoadReport { is_valid, queue_length, service_rate, ..LoadReport::default() };
    assert_eq!(reported_wait(Some(load)), TimeSpan(expected));
    assert_eq!(reported_wait(None), TimeSpan::ZERO);
}

use super::{ClassBaselines, LatencyEstimator, average_latency, observed_latency};
use crate::ids::{ClassId, NodeId, PlacementGroupId, ZoneId};
use crate::inputs::{Endpoint, EndpointList, EndpointListKind, EndpointState};
use crate::state::{Node, NodeTable};
use crate::time::{TimeSpan, Timestamp, WallClockTime};
use rstest::rstest;

#[rstest]
fn before_any_measurement_an_eighth_of_the_objective_is_expected() {
    assert_eq!(average_latency(None, TimeSpan(8_000)), TimeSpan(1_000));
    assert_eq!(average_latency(Some(TimeSpan(300)), TimeSpan(8_000)), TimeSpan(300));
    assert_eq!(average_latency(Some(TimeSpan::ZERO), TimeSpan(8_000)), TimeSpan(1));
}

/// A dead node fails immediately, so by durations alone it would appear to be the fastest node of all.
#[rstest]
#[case::success(false, 0, 10, 10)]
#[case::first_failure(true, 0, 10, 100)]
#[case::third_failure(true, 2, 10, 400)]
#[case::up_to_the_objective(true, 16, 10, 1_000)]
#[case::slow_failure(true, 0, 700, 700)]
fn failures_count_as_slow(
    #[case] is_failure: bool,
    #[case] consecutive_failures: u32,
    #[case] duration: i64,
    #[case] expected: i64,
) {
    let observed = observed_latency(
        TimeSpan(duration),
        is_failure,
        consecutive_failures,
        TimeSpan(100),
        TimeSpan(1_000),
    );
    assert_eq!(observed, TimeSpan(expected));
}

/// Returns ten nodes of one zone, the first `measured` of which have this measured latency.
fn zone_of_nodes(measured: u64, latency: TimeSpan) -> NodeTable {
    let mut nodes = NodeTable::new(1);
    let entries = (0..10).map(|id| Endpoint {
        node: NodeId(id),
        zone: ZoneId(0),
        placement_group: PlacementGroupId(0),
        state: EndpointState::Ready,
        started_at: None,
    });
    let list = EndpointList {
        kind: EndpointListKind::Snapshot,
        wall_clock: WallClockTime::ZERO,
        entries: entries.collect(),
    };
    nodes.apply_endpoint_list(Timestamp::ZERO, &list, |_| Timestamp::ZERO);
    for id in 0..measured {
        nodes.update(NodeId(id), |node| node.record_latency(Timestamp::ZERO, latency, 1.0));
    }
    nodes
}

// Together with four nodes at the average of 100, eight at 200 have a mean of 167, and four at 200 a mean of
// 150.
#[rstest]
#[case::slow_zone(8, 166)]
#[case::at_the_slow_zone_ratio(4, 100)]
#[case::nothing_measured(0, 100)]
fn an_unmeasured_node_has_the_latency_of_its_zone(#[case] measured: u64, #[case] expected: i64) {
    let nodes = zone_of_nodes(measured, TimeSpan(200));
    let estimate = LatencyEstimator { nodes: &nodes, now: Timestamp::ZERO, average: TimeSpan(100) };
    assert_eq!(estimate.of(&nodes[NodeId(9)]), TimeSpan(expected));
}

#[rstest]
fn a_measured_latency_decays_to_the_average() {
    let nodes = NodeTable::new(1);
    let mut node = Node::default();
    node.record_latency(Timestamp::ZERO, TimeSpan(1_100), 1.0);
    let at = |now| LatencyEstimator { nodes: &nodes, now: Timestamp(now), average: TimeSpan(100) }.of(&node);
    assert_eq!(at(0), TimeSpan(1_100));
    assert_eq!(at(50_000), TimeSpan(100 + 367));
    assert_eq!(at(5_000_000), TimeSpan(100));
}

#[rstest]
fn a_baseline_needs_32_samples_and_never_rises() {
    let mut baselines = ClassBaselines::default();
    (0..31).for_each(|_| baselines.record(ClassId(0), TimeSpan(50)));
    assert_eq!(baselines.of(ClassId(0), TimeSpan(70)), 70.0);
    baselines.record(ClassId(0), TimeSpan(50));
    assert_eq!(baselines.of(ClassId(0), TimeSpan(70)), 50.0);
    (0..100).for_each(|_| baselines.record(ClassId(0), TimeSpan(500)));
    assert_eq!(baselines.of(ClassId(0), TimeSpan(70)), 50.0);
    assert_eq!(baselines.of(ClassId(1), TimeSpan::ZERO), 1.0);
}

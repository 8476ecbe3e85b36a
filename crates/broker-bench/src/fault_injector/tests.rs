//! Tests faults of networks, nodes and discovery that begin, overlap and end.

use crate::fault_injector::MessageDirection::{FromNode, ToNode};
use crate::fault_injector::{FaultEffect, FaultInjector};
use fault_scenarios::{ClusterSize, Direction, FaultAction};
use routing::TimeSpan;
use rstest::rstest;

const NEAR: TimeSpan = TimeSpan(5);
const FAR: TimeSpan = TimeSpan(20);

fn injector() -> FaultInjector {
    FaultInjector::new(ClusterSize { nodes: 4, zones: 2, placement_groups: 4, brokers: 2 }, NEAR, FAR, 1)
}

/// A partition must drop messages only in its directions, and none after it has ended.
#[rstest]
#[case(Direction::ToNode, None, Some(NEAR))]
#[case(Direction::FromNode, Some(NEAR), None)]
#[case(Direction::Both, None, None)]
fn partitions_affect_only_their_direction(
    #[case] direction: Direction,
    #[case] to_node: Option<TimeSpan>,
    #[case] from_node: Option<TimeSpan>,
) {
    let mut injector = injector();
    assert_eq!((injector.latency(0, 0, ToNode), injector.latency(0, 1, ToNode)), (Some(NEAR), Some(FAR)));
    // Two overlapping partitions drop messages until both have ended.
    for begins in [true, true, false] {
        injector.apply(FaultAction::Partition { node: 0, direction, begins });
    }
    assert_eq!((injector.latency(0, 0, ToNode), injector.latency(0, 0, FromNode)), (to_node, from_node));
    injector.apply(FaultAction::Partition { node: 0, direction, begins: false });
    assert_eq!((injector.latency(0, 0, ToNode), injector.latency(0, 0, FromNode)), (Some(NEAR), Some(NEAR)));
}

#[rstest]
fn delays_add_up_and_end() {
    let mut injector = injector();
    let mut delay = |added_tenths, begins| {
        let (added, direction) = (TimeSpan(added_tenths), Direction::ToNode);
        injector.apply(FaultAction::NetworkDelay { node: 0, added, direction, begins });
        (injector.latency(0, 0, ToNode).unwrap().0, injector.latency(0, 0, FromNode).unwrap().0)
    };
    assert_eq!(
        [delay(7, true), delay(3, true), delay(7, false), delay(3, false)],
        [(12, 5), (15, 5), (8, 5), (5, 5)]
    );
}

/// An unresponsive node must lose all messages in both directions, and overlapping faults must begin and end once.
#[rstest]
fn overlapping_unresponsive_faults_take_effect_once() {
    let mut injector = injector();
    let mut unresponsive = |begins| injector.apply(FaultAction::Unresponsive { node: 2, begins });
    assert_eq!(
        [unresponsive(true), unresponsive(true)],
        [Some(FaultEffect::BecomeUnresponsive { node: 2 }), None]
    );
    assert_eq!(unresponsive(false), None);
    assert_eq!(injector.latency(0, 2, ToNode), None);
    assert_eq!(
        injector.apply(FaultAction::Unresponsive { node: 2, begins: false }),
        Some(FaultEffect::BecomeResponsive { node: 2 })
    );
    assert_eq!(injector.latency(0, 2, FromNode), Some(NEAR));
}

#[rstest]
fn endpoint_list_delays_and_outages_apply() {
    let mut injector = injector();
    injector.apply(FaultAction::EndpointListDelay { added: TimeSpan(100), begins: true });
    assert_eq!(injector.endpoint_list_delay(), Some(TimeSpan(100)));
    assert_eq!(injector.apply(FaultAction::EndpointListOutage { begins: true }), None);
    assert_eq!(injector.endpoint_list_delay(), None);
    assert_eq!(
        injector.apply(FaultAction::EndpointListOutage { begins: false }),
        Some(FaultEffect::RepublishEndpoints)
    );
    injector.apply(FaultAction::EndpointListDelay { added: TimeSpan(100), begins: false });
    assert_eq!(injector.endpoint_list_delay(), Some(TimeSpan::ZERO));
}

#[rstest]
fn shares_are_sampled() {
    let mut injector = injector();
    injector.apply(FaultAction::SkewedTraffic { share: 0.5, begins: true });
    let first = (0..10_000).filter(|_| injector.pick_broker(1, 2) == 0).count();
    assert!((4_700..5_300).contains(&first), "{first}");
    injector.apply(FaultAction::SkewedTraffic { share: 0.5, begins: false });
    assert!((0..100).all(|no| injector.pick_broker(no, 2) == no % 2));
    assert!(!injector.sample_query_of_death() && !injector.sample_error(0));
    injector.apply(FaultAction::Errors { node: 0, share: 1.0, begins: true });
    injector.apply(FaultAction::QueryOfDeath { share: 1.0, begins: true });
    assert!(injector.sample_query_of_death() && injector.sample_error(0) && !injector.sample_error(1));
}

use super::{BrokerSweep, OverloadSize, WARMING_NODE_RULE, simulate};
use crate::simulation::RoutingPolicy;
use rstest::rstest;

/// Nodes restart during a traffic peak and have little capacity while they warm up. Many brokers' first
/// attempts arrive at one of them at once, or several long shard requests do, and the node collapses: its work
/// is lost when it is needed most. At no load may the product send a warming node more than it bears.
#[rstest]
fn no_warming_node_collapses(#[values(1.0, 2.0, 4.0)] load_factor: f64, #[values(1, 4)] seed: u64) {
    let sweep = BrokerSweep { brokers: &[], seeds: 0 };
    let size = OverloadSize { nodes: 30, brokers: 12, seconds: 30, queries_per_s: 120.0, sweep };
    let day = simulate(&size, seed, load_factor, RoutingPolicy::Product).unwrap();
    assert!(day.violations.is_empty(), "{:?}", day.violations);
    assert!(
        day.closest.keys().any(|rule| rule.starts_with(WARMING_NODE_RULE)),
        "no warming node got any attempt"
    );
}

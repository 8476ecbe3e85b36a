use super::{BrokerSweep, OverloadSize, WARMING_NODE_RULE, simulate};
use crate::simulation::RoutingPolicy;
use rstest::rstest;

/// Nodes that restart during a traffic peak have little capacity while they warm up. If the first attempts of many
/// brokers or several long shard requests reach one of them at the same time, the node collapses and loses its work
/// when it is needed most. The product must keep warming nodes below their collapse threshold at every load.
#[rstest]
fn no_warming_node_collapses(#[values(1.0, 2.0, 4.0)] load_factor: f64, #[values(1, 4)] seed: u64) {
    let sweep = BrokerSweep { brokers: &[], seeds: 0 };
    let size = OverloadSize { nodes: 30, brokers: 12, duration_s: 30, queries_per_s: 120.0, sweep };
    let run = simulate(&size, seed, load_factor, RoutingPolicy::Product).unwrap();
    assert!(run.violations.is_empty(), "{:?}", run.violations);
    assert!(
        run.closest.keys().any(|rule| rule.starts_with(WARMING_NODE_RULE)),
        "no warming node received an attempt"
    );
}

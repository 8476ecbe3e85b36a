use super::{ReplicaGroup, max_group_replicas};
use crate::config::ShardLayout;
use crate::ids::NodeId;
use rstest::rstest;

#[rstest]
#[case(1, 64)]
#[case(4, 16)]
#[case(5, 13)]
#[case(0, 64)]
fn placement_groups_share_64_replicas_evenly(#[case] replica_groups: u32, #[case] expected: usize) {
    assert_eq!(max_group_replicas(&ShardLayout { replica_groups, ..ShardLayout::default() }), expected);
}

fn group(seed: u64, nodes: u64) -> ReplicaGroup {
    let mut group = ReplicaGroup::default();
    (0..nodes).for_each(|node| group.insert(seed, NodeId(node)));
    group
}

fn subset(group: &ReplicaGroup) -> Vec<NodeId> {
    group.candidates(16).take(16).collect()
}

#[rstest]
fn small_groups_are_used_entirely_by_id() {
    assert_eq!(subset(&group(1, 16)), (0..16).map(NodeId).collect::<Vec<_>>());
}

#[rstest]
fn brokers_use_different_stable_subsets_of_large_groups() {
    let (one, other) = (group(1, 100), group(2, 100));
    assert_ne!(subset(&one), subset(&other));
    let mut changed = one.clone();
    let last = *subset(&one).last().unwrap();
    changed.remove(1, last);
    assert_eq!(subset(&changed)[..15], subset(&one)[..15]);
    assert!(!subset(&changed).contains(&last));
}

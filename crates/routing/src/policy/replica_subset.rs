//! Subsetting: among which replicas of a shard a broker chooses.
//!
//! In a large fleet every broker would meet every node: connections, and the time that a choice takes, would
//! grow with the fleet. A broker therefore chooses among [`MAX_SHARD_REPLICAS`] replicas of a shard at the
//! most, evenly from its placement groups, in an order that is drawn from its seed and each node's id. The
//! draw stays the same for as long as both live, so that connections are kept; where some of the subset may
//! not receive now, the next ones in the order take their place. The cost: a broker learns latencies of its
//! own subset only.

use crate::config::ShardLayout;
use crate::ids::NodeId;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// A broker chooses among this many replicas of a shard at the most.
const MAX_SHARD_REPLICAS: usize = 64;

/// How many replicas of one placement group are chosen among.
pub(crate) fn max_group_replicas(layout: &ShardLayout) -> usize {
    MAX_SHARD_REPLICAS.div_ceil(layout.replica_groups.max(1) as usize)
}

/// A node's place in the order of a broker.
fn draw(seed: u64, node: NodeId) -> u64 {
    fastrand::Rng::with_seed(seed ^ node.0.rotate_left(32)).u64(..)
}

/// The ready nodes of a placement group, in two orders: by id, and as one broker draws them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaGroup {
    by_id: BTreeSet<NodeId>,
    by_draw: BTreeSet<(u64, NodeId)>,
}

impl ReplicaGroup {
    /// Adds a node. `seed` is the broker's, the same in all calls.
    pub(crate) fn insert(&mut self, seed: u64, node: NodeId) {
        self.by_id.insert(node);
        self.by_draw.insert((draw(seed, node), node));
    }

    /// Removes a node that was added with this seed.
    pub(crate) fn remove(&mut self, seed: u64, node: NodeId) {
        self.by_id.remove(&node);
        self.by_draw.remove(&(draw(seed, node), node));
    }

    /// All nodes of the group: by id where there are no more than `max_replicas`, else as they were drawn.
    /// Whoever takes the first usable ones gets the broker's subset.
    pub(crate) fn candidates(&self, max_replicas: usize) -> impl Iterator<Item = NodeId> + '_ {
        let is_small = self.by_id.len() <= max_replicas;
        let by_id = is_small.then(|| self.by_id.iter().copied()).into_iter().flatten();
        let by_draw = (!is_small).then(|| self.by_draw.iter().map(|(_, id)| *id)).into_iter().flatten();
        by_id.chain(by_draw)
    }
}

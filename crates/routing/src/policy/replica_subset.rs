//! Subsetting: limits the replicas of a shard that a broker chooses from.
//!
//! In a large fleet, a broker that sends to every node would need connections, and time to choose a replica,
//! in proportion to the size of the fleet. A broker therefore chooses among at most [`MAX_SHARD_REPLICAS`]
//! replicas of a shard, evenly distributed over its placement groups, in a pseudorandom order that depends on
//! the broker's seed and each node's id. The order does not change during the lifetime of broker and node, so
//! that connections are kept. If some nodes of the subset may not receive shard requests, the next ones in
//! the order take their place. The cost is that a broker only measures latencies of its own subset.

use crate::config::ShardLayout;
use crate::ids::NodeId;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// The maximum number of replicas of a shard that a broker chooses from.
const MAX_SHARD_REPLICAS: usize = 64;

/// Returns the maximum number of replicas of one placement group that a broker chooses from.
pub(crate) fn max_group_replicas(layout: &ShardLayout) -> usize {
    MAX_SHARD_REPLICAS.div_ceil(layout.replica_groups.max(1) as usize)
}

/// Returns the sort key of a node in a broker's pseudorandom order.
fn order_key(seed: u64, node: NodeId) -> u64 {
    fastrand::Rng::with_seed(seed ^ node.0.rotate_left(32)).u64(..)
}

/// The ready nodes of a placement group in two orders: by id, and in the broker's pseudorandom order.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaGroup {
    by_id: BTreeSet<NodeId>,
    by_order_key: BTreeSet<(u64, NodeId)>,
}

impl ReplicaGroup {
    /// Adds a node. `seed` is the broker's seed and must be the same in all calls.
    pub(crate) fn insert(&mut self, seed: u64, node: NodeId) {
        self.by_id.insert(node);
        self.by_order_key.insert((order_key(seed, node), node));
    }

    /// Removes a node that was added with the same seed.
    pub(crate) fn remove(&mut self, seed: u64, node: NodeId) {
        self.by_id.remove(&node);
        self.by_order_key.remove(&(order_key(seed, node), node));
    }

    /// Returns all nodes of the group: by id if there are at most `max_replicas`, otherwise in pseudorandom
    /// order. The first ones that the caller may use form the broker's subset.
    pub(crate) fn candidates(&self, max_replicas: usize) -> impl Iterator<Item = NodeId> + '_ {
        let is_small = self.by_id.len() <= max_replicas;
        let by_id = is_small.then(|| self.by_id.iter().copied()).into_iter().flatten();
        let by_order_key =
            (!is_small).then(|| self.by_order_key.iter().map(|(_, id)| *id)).into_iter().flatten();
        by_id.chain(by_order_key)
    }
}

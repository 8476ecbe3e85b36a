//! The ready nodes of one placement group.

use crate::ids::NodeId;
use std::collections::BTreeSet;

/// The ready nodes of a placement group, in two orders: by id, and as one broker draws them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaGroup {
    by_id: BTreeSet<NodeId>,
    by_draw: BTreeSet<(u64, NodeId)>,
}

/// A node's place in the draw of a broker: the same for as long as both live, so that its connections are kept.
fn draw(seed: u64, node: NodeId) -> u64 {
    fastrand::Rng::with_seed(seed ^ node.0.rotate_left(32)).u64(..)
}

impl ReplicaGroup {
    pub(crate) fn insert(&mut self, seed: u64, node: NodeId) {
        self.by_id.insert(node);
        self.by_draw.insert((draw(seed, node), node));
    }

    pub(crate) fn remove(&mut self, seed: u64, node: NodeId) {
        self.by_id.remove(&node);
        self.by_draw.remove(&(draw(seed, node), node));
    }

    /// All of them: by id where there are no more than `most`, else as they were drawn.
    pub(crate) fn candidates(&self, most: usize) -> impl Iterator<Item = NodeId> + '_ {
        let is_small = self.by_id.len() <= most;
        let by_id = is_small.then(|| self.by_id.iter().copied()).into_iter().flatten();
        let by_draw = (!is_small).then(|| self.by_draw.iter().map(|(_, id)| *id)).into_iter().flatten();
        by_id.chain(by_draw)
    }
}

//! The ids by which the routing decisions know nodes and zones.

use crate::endpoint_list::ListedNode;
use routing::{EndpointState, NodeId, ZoneId};
use std::collections::{HashMap, HashSet};

/// Gives ids to the names that discovery uses. A node that was removed and comes back gets a new id.
#[derive(Default)]
pub(super) struct IdRegistry {
    /// By the name that discovery uses.
    nodes: HashMap<String, NodeId>,
    /// Those that are listed as ready.
    ready_nodes: HashSet<NodeId>,
    /// Whether a node was ever ready.
    has_seen_ready_node: bool,
    /// A zone's id is its place here.
    zones: Vec<String>,
    /// The id that was given last.
    last_node_id: u64,
}

impl IdRegistry {
    /// Starts with the zones that the configuration names, under the ids that it gives them.
    pub(super) fn new(zones: Vec<String>) -> IdRegistry {
        IdRegistry { zones, ..IdRegistry::default() }
    }

    /// The number of nodes that are ready.
    pub(super) fn ready_node_count(&self) -> usize {
        self.ready_nodes.len()
    }

    /// Whether a node was ever ready.
    pub(super) fn has_seen_ready_node(&self) -> bool {
        self.has_seen_ready_node
    }

    /// Removes the nodes that a complete list does not name, and returns their ids. The others count as ready only once
    /// their own entries are registered.
    pub(super) fn remove_unlisted(&mut self, listed: &[ListedNode]) -> Vec<NodeId> {
        self.ready_nodes.clear();
        let listed: HashSet<&str> = listed.iter().map(|node| &node.name[..]).collect();
        let mut removed = Vec::new();
        self.nodes.retain(|name, node| {
            let is_listed = listed.contains(&name[..]);
            if !is_listed {
                removed.push(*node);
            }
            is_listed
        });
        removed
    }

    /// Notes a node's state and returns its id, also if it is removed by that.
    pub(super) fn register_node(&mut self, name: &str, state: EndpointState) -> NodeId {
        let next = NodeId(self.last_node_id + 1);
        let node = *self.nodes.entry(name.to_owned()).or_insert(next);
        self.last_node_id = self.last_node_id.max(node.0);
        if state == EndpointState::Ready {
            self.has_seen_ready_node = true;
            self.ready_nodes.insert(node);
        } else {
            self.ready_nodes.remove(&node);
        }
        if state == EndpointState::Removed {
            self.nodes.remove(name);
        }
        node
    }

    /// The id of a zone; an unknown one is added.
    pub(super) fn zone_id(&mut self, name: String) -> ZoneId {
        let known = self.zones.iter().position(|zone| *zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name);
            self.zones.len() - 1
        });
        ZoneId(index as u16)
    }
}

//! The ids of nodes and zones that the routing logic uses.

use crate::endpoint_list::ListedNode;
use routing::{EndpointState, NodeId, ZoneId};
use std::collections::{HashMap, HashSet};

/// A mapping from the names used by discovery to ids. A node that was removed and is listed again gets a new id.
#[derive(Default)]
pub(super) struct IdRegistry {
    /// Node ids by the node's name in discovery.
    nodes: HashMap<String, NodeId>,
    /// The nodes that are listed as ready.
    ready_nodes: HashSet<NodeId>,
    has_seen_ready_node: bool,
    /// Zone names. The index of a zone is its id.
    zones: Vec<String>,
    /// The node id that was assigned last.
    last_node_id: u64,
}

impl IdRegistry {
    /// Creates a registry without nodes. `zones` are the configured zones, ordered by their ids.
    pub(super) fn new(zones: Vec<String>) -> IdRegistry {
        IdRegistry { zones, ..IdRegistry::default() }
    }

    /// Returns the number of ready nodes.
    pub(super) fn ready_node_count(&self) -> usize {
        self.ready_nodes.len()
    }

    /// Returns whether any node has been ready since the start.
    pub(super) fn has_seen_ready_node(&self) -> bool {
        self.has_seen_ready_node
    }

    /// Removes the nodes that a complete list does not contain and returns their ids.
    ///
    /// Resets the readiness of the others. They count as ready again when their entries are registered.
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

    /// Records the state of a node and returns its id. With [`EndpointState::Removed`] the node is removed, and the
    /// returned id is not assigned again.
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

    /// Returns the id of a zone, and adds the zone if it is unknown.
    pub(super) fn zone_id(&mut self, name: String) -> ZoneId {
        let known = self.zones.iter().position(|zone| *zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name);
            self.zones.len() - 1
        });
        ZoneId(index as u16)
    }
}

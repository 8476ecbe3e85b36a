//! The engine's interface for discovery.
//!
//! Assigns ids to the names of nodes and zones, passes the addresses to the node pool, and queues the endpoint list
//! for the routing logic.

use super::Engine;
use super::id_registry::IdRegistry;
use crate::endpoint_list::{ListedNode, NodeList};
use crate::limits::to_time_span;
use routing::{
    Endpoint, EndpointList, EndpointListKind, EndpointState, Input, PlacementGroupId, WallClockTime,
};
use tokio::time::Instant;

impl Engine {
    /// Reports to the routing logic that a request for the endpoint list that was sent at `sent_at`, or the watch that
    /// delivered data then, has failed. The last list stays in use.
    pub fn endpoint_list_failed(&self, sent_at: Instant) {
        self.push_input(Input::EndpointListFailed { pending: to_time_span(sent_at.elapsed()) });
    }

    /// Applies an endpoint list, which has all nodes or, with [`EndpointListKind::Delta`], only those that changed.
    ///
    /// If a node is removed or no longer ready, its attempts that have not been written, even partially, end at once.
    pub fn update_endpoints(&self, kind: EndpointListKind, list: NodeList) {
        let mut ids = self.ids.borrow_mut();
        if kind != EndpointListKind::Delta {
            for node in ids.remove_unlisted(&list.nodes) {
                self.nodes.set_address(node, None, false);
            }
        }
        let entries: Vec<Endpoint> =
            list.nodes.into_iter().map(|listed| self.update_endpoint(&mut ids, listed)).collect();
        let wall_clock = self.clock.wall_clock();
        self.push_input(Input::EndpointList(EndpointList { kind, wall_clock, entries: entries.into() }));
    }

    /// Registers a listed node and sets its address in the node pool.
    fn update_endpoint(&self, ids: &mut IdRegistry, listed: ListedNode) -> Endpoint {
        let state = EndpointState::from(listed.state);
        let is_ready = state == EndpointState::Ready;
        let node = ids.register_node(&listed.name, state);
        let address = (state != EndpointState::Removed).then_some(listed.address);
        self.nodes.set_address(node, address, is_ready);
        Endpoint {
            node,
            zone: ids.zone_id(listed.zone),
            placement_group: PlacementGroupId(listed.placement_group),
            state,
            started_at: (listed.started_at_ms > 0.0).then(|| WallClockTime::from_ms(listed.started_at_ms)),
        }
    }
}

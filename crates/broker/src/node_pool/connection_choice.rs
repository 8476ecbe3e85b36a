//! Choice of the connection for a batch. Opens new connections, and closes those that are not needed.

use super::NodePool;
use super::connection::NodeConnection;
use super::connection_task::ConnectionTask;
use bytes::Bytes;
use routing::NodeId;
use std::net::SocketAddr;
use std::rc::Rc;

impl NodePool {
    /// Closes the idle connections to a node.
    pub fn close_idle(&self, node: NodeId) {
        if let Some(connections) = self.connections.borrow().get(&node) {
            let idle = connections.iter().filter(|connection| connection.is_idle());
            idle.for_each(|connection| connection.close());
        }
    }

    /// Returns a connection to the node with room for these shard requests that has carried none of their ids, or opens
    /// one. At the limit on connections, the connection that has been idle the longest is closed to make room. Returns
    /// `None` if the node's address is unknown, or if no connection is idle at the limit and none to the node may be
    /// used.
    pub(super) fn connection_for(
        self: &Rc<Self>,
        node: NodeId,
        wire_ids: &[Bytes],
    ) -> Option<Rc<NodeConnection>> {
        let address = *self.addresses.borrow().get(&node)?;
        self.close_unresponsive(node);
        let mut open = self.open_connections(node, address);
        open.retain(|connection| !connection.has_carried_any(wire_ids));
        let limit = self.limits.nodes.max_connection_shard_requests;
        // The oldest is preferred, so that connections that are not needed become idle.
        if let Some(connection) = open.iter().find(|connection| connection.has_room(wire_ids.len(), limit)) {
            return Some(connection.clone());
        }
        if self.count_connections() >= self.limits.nodes.max_connections && !self.close_longest_idle() {
            // With no room for another connection, the batch is queued on the open one with the fewest shard requests
            // in flight.
            return open.into_iter().min_by_key(|connection| connection.count_in_flight());
        }
        Some(self.open_connection(node, address))
    }

    /// Closes the connections on which the node has owed a reply for too long.
    ///
    /// A connection that the network dropped without a close stays silent while the node may serve others: attempts
    /// on it would time out one after the other. If the node itself is unresponsive, the cost is one more handshake.
    fn close_unresponsive(&self, node: NodeId) {
        if let Some(connections) = self.connections.borrow().get(&node) {
            let limit = self.limits.nodes.unresponsive_after;
            let unresponsive = connections.iter().filter(|connection| connection.is_unresponsive(limit));
            unresponsive.for_each(|connection| connection.close());
        }
    }

    /// Returns the connections to a node at this address that accept work, oldest first.
    fn open_connections(&self, node: NodeId, address: SocketAddr) -> Vec<Rc<NodeConnection>> {
        let connections = self.connections.borrow();
        let to_node = connections.get(&node).into_iter().flatten();
        to_node
            .filter(|connection| !connection.is_closing() && connection.address == address)
            .cloned()
            .collect()
    }

    /// Returns the number of connections to all nodes.
    pub fn count_connections(&self) -> usize {
        self.connections.borrow().values().map(Vec::len).sum()
    }

    /// Closes the connection that has been idle the longest, to any node. Returns `false` if no connection is idle.
    fn close_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let all = connections.values().flatten();
        let idle = all.filter(|connection| connection.is_idle() && !connection.is_closing());
        let longest_idle = idle.min_by_key(|connection| connection.last_used_at());
        longest_idle.inspect(|connection| connection.close()).is_some()
    }

    /// Adds a connection, and spawns the task that connects and serves it.
    fn open_connection(self: &Rc<Self>, node: NodeId, address: SocketAddr) -> Rc<NodeConnection> {
        let connection = Rc::new(NodeConnection::new(node, address));
        self.connections.borrow_mut().entry(node).or_default().push(connection.clone());
        let task = ConnectionTask { pool: self.clone(), connection: connection.clone() };
        actix_rt::spawn(task.run());
        connection
    }

    /// Removes a connection that has ended.
    pub(super) fn remove_connection(&self, ended: &Rc<NodeConnection>) {
        self.connections.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| !Rc::ptr_eq(connection, ended));
            !connections.is_empty()
        });
    }
}

//! Bookkeeping of nodes: sums over the ready ones, batches, the endpoint list.

use super::attempt::ConnectionAfterIdle;
use super::broker::BrokerState;
use super::node::{Batch, Node, OpenBatch, SlowStartAttempt};
use crate::ids::{BatchId, ClassId, NodeId, ZoneId};
use crate::inputs::{Endpoint, EndpointList, EndpointListKind, EndpointState};
use crate::time::Tenths;
use std::collections::BTreeSet;

/// What a node adds to the sums over ready nodes.
struct Share {
    ready: usize,
    measured: usize,
    latency: i64,
}

impl Share {
    fn of(node: &Node) -> Share {
        match (node.state, node.latency) {
            (EndpointState::Ready, Some(latency)) => Share { ready: 1, measured: 1, latency: latency.0 },
            (EndpointState::Ready, None) => Share { ready: 1, measured: 0, latency: 0 },
            _ => Share { ready: 0, measured: 0, latency: 0 },
        }
    }
}

impl<const SLICES: usize> BrokerState<SLICES> {
    /// The mean of the smoothed latencies of the ready nodes; none before any was measured.
    pub(crate) fn mean_latency(&self) -> Option<Tenths> {
        (self.measured_nodes > 0).then(|| Tenths(self.latency_sum.0 / self.measured_nodes as i64))
    }

    /// The mean over a zone's measured nodes, together with `more` nodes at `average`.
    pub(crate) fn zone_mean_latency(&self, zone: ZoneId, average: Tenths, more: f64) -> Tenths {
        let known = self.zones.get(&zone).copied().unwrap_or_default();
        let sum = known.sum as f64 + more * average.0 as f64;
        Tenths((sum / (known.nodes as f64 + more)) as i64)
    }

    /// Changes a node, if it is known, and keeps the sums over the ready ones.
    pub(crate) fn update_node(&mut self, id: NodeId, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let (group_before, zone_before, before) = (node.placement_group, node.zone, Share::of(node));
        change(node);
        let (group, zone, after) = (node.placement_group, node.zone, Share::of(node));
        let is_idle = node.batches.is_empty();
        self.ready_nodes = self.ready_nodes + after.ready - before.ready;
        self.measured_nodes = self.measured_nodes + after.measured - before.measured;
        self.latency_sum = Tenths(self.latency_sum.0 + after.latency - before.latency);
        let left = self.zones.entry(zone_before).or_default();
        left.nodes -= before.measured;
        left.sum -= before.latency;
        let entered = self.zones.entry(zone).or_default();
        entered.nodes += after.measured;
        entered.sum += after.latency;
        let has_moved = group_before != group;
        if before.ready == 1 && (after.ready == 0 || has_moved) {
            let (group, draw) = (self.replicas_by_group.get_mut(&group_before), self.replica_draw);
            group.into_iter().for_each(|nodes| nodes.remove(draw, id));
        }
        if after.ready == 1 && (before.ready == 0 || has_moved) {
            self.replicas_by_group.entry(group).or_default().insert(self.replica_draw, id);
        } else if after.ready == 0 && is_idle && self.nodes[&id].state == EndpointState::Removed {
            self.nodes.remove(&id);
        }
    }

    /// Puts an attempt into this turn's batch to its node, or into a new one where that is full.
    pub(crate) fn join_batch(
        &mut self,
        id: NodeId,
        max_batch_size: u32,
        warming_up: Option<ClassId>,
        connection: Option<ConnectionAfterIdle>,
    ) -> BatchId {
        let now = self.now;
        let node = self.nodes.entry(id).or_default();
        let batch = match node.open_batch.filter(|batch| batch.shard_requests < max_batch_size) {
            Some(open) => OpenBatch { id: open.id, shard_requests: open.shard_requests + 1 },
            None => {
                self.last_batch.0 += 1;
                OpenBatch { id: self.last_batch, shard_requests: 1 }
            }
        };
        node.open_batch = Some(batch);
        node.connection = connection;
        self.nodes_with_open_batch.push(id);
        node.batches.entry(batch.id).or_insert(Batch { sent_at: now, in_flight: 0 }).in_flight += 1;
        node.slow_start_attempts.extend(warming_up.map(|class| SlowStartAttempt { sent_at: now, class }));
        batch.id
    }

    /// The turn's batches leave; what is sent later travels in others.
    pub(crate) fn close_batches(&mut self) {
        for id in self.nodes_with_open_batch.drain(..) {
            self.nodes.get_mut(&id).into_iter().for_each(|node| node.open_batch = None);
        }
    }

    /// Takes an endpoint list in. Where a new process runs under an old id, nothing known of the old one
    /// holds. `presumed_start`: when a process is taken to have started, by the start time that the list gives.
    pub(crate) fn apply_endpoint_list(
        &mut self,
        list: &EndpointList,
        presumed_start: impl Fn(Tenths) -> Tenths,
    ) {
        if list.kind != EndpointListKind::Cached {
            self.endpoint_list_failures = 0;
            self.endpoint_list_is_stale = false;
        }
        if list.kind != EndpointListKind::Delta {
            self.remove_unlisted(list);
        }
        let is_restarted = |endpoint: &&Endpoint| self.apply_endpoint(endpoint, &presumed_start);
        let restarted: Vec<&Endpoint> = list.entries.iter().filter(is_restarted).collect();
        for endpoint in restarted {
            self.update_node(endpoint.node, Node::forget_process);
        }
        self.has_endpoint_list |= list.kind != EndpointListKind::Cached;
    }

    /// Takes in what the list says of a node; tells whether its process is another than the one known. Guards
    /// against start times that go backward: a clock that was stepped gives a later process an earlier one.
    fn apply_endpoint(&mut self, endpoint: &Endpoint, presumed_start: impl Fn(Tenths) -> Tenths) -> bool {
        self.nodes.entry(endpoint.node).or_default();
        let (mut is_another, now) = (false, self.now);
        self.update_node(endpoint.node, |node| {
            is_another = endpoint.started_at.is_some() && endpoint.started_at != node.listed_start;
            if is_another {
                node.start_known_at = now;
                node.listed_start = endpoint.started_at;
                node.started_at = node.started_at.max(endpoint.started_at.map(&presumed_start));
            }
            node.zone = endpoint.zone;
            node.placement_group = endpoint.placement_group;
            node.state = endpoint.state;
        });
        is_another
    }

    /// What a snapshot does not name is removed.
    fn remove_unlisted(&mut self, list: &EndpointList) {
        let listed: BTreeSet<NodeId> = list.entries.iter().map(|endpoint| endpoint.node).collect();
        let unlisted: Vec<NodeId> = self.nodes.keys().copied().filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            self.update_node(id, |node| node.state = EndpointState::Removed);
        }
    }
}

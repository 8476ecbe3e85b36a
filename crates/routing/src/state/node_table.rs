//! Table of all known nodes, with aggregates over the ready ones.

use super::attempt::ConnectionAfterIdle;
use super::node::{Batch, Node, OpenBatch, SlowStartAttempt};
use crate::ids::{BatchId, ClassId, NodeId, PlacementGroupId, ZoneId};
use crate::inputs::{Endpoint, EndpointList, EndpointListKind, EndpointState};
use crate::policy::replica_subset::ReplicaGroup;
use crate::time::{TimeSpan, Timestamp, WallClockTime};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Number of the ready nodes of a zone with a measured latency, and the sum of their latencies.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneLatency {
    nodes: usize,
    sum: i64,
}

/// Contribution of a node to the aggregates over ready nodes.
struct Contribution {
    ready: usize,
    measured: usize,
    latency: i64,
}

impl Contribution {
    fn of(node: &Node) -> Contribution {
        match (node.state, node.latency) {
            (EndpointState::Ready, Some(latency)) => {
                Contribution { ready: 1, measured: 1, latency: latency.0 }
            }
            (EndpointState::Ready, None) => Contribution { ready: 1, measured: 0, latency: 0 },
            _ => Contribution { ready: 0, measured: 0, latency: 0 },
        }
    }
}

/// Properties of an attempt that is added to a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchedAttempt {
    pub(crate) max_batch_size: u32,
    /// Class of the attempt if the node is warming up, otherwise `None`.
    pub(crate) slow_start_class: Option<ClassId>,
    pub(crate) connection: Option<ConnectionAfterIdle>,
}

/// Table of all known nodes by id.
#[derive(Debug)]
pub(crate) struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    /// Ready nodes of each placement group.
    replicas_by_group: BTreeMap<PlacementGroupId, ReplicaGroup>,
    /// Seed of the order in which this broker uses the replicas of a large placement group.
    subset_seed: u64,
    ready: usize,
    /// Number of ready nodes with a measured latency, whose latencies add up to `latency_sum`.
    measured: usize,
    latency_sum: TimeSpan,
    zones: BTreeMap<ZoneId, ZoneLatency>,
    with_open_batch: Vec<NodeId>,
    last_batch: BatchId,
}

impl Index<NodeId> for NodeTable {
    type Output = Node;

    fn index(&self, id: NodeId) -> &Node {
        &self.nodes[&id]
    }
}

impl NodeTable {
    /// Creates an empty table.
    pub(crate) fn new(subset_seed: u64) -> NodeTable {
        NodeTable {
            nodes: BTreeMap::new(),
            replicas_by_group: BTreeMap::new(),
            subset_seed,
            ready: 0,
            measured: 0,
            latency_sum: TimeSpan::ZERO,
            zones: BTreeMap::new(),
            with_open_batch: Vec::new(),
            last_batch: BatchId::default(),
        }
    }

    /// Returns a node, or `None` if it is unknown.
    pub(crate) fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// Returns the number of ready nodes.
    pub(crate) fn ready(&self) -> usize {
        self.ready
    }

    /// Returns the mean of the smoothed latencies of the ready nodes, or `None` if none has been measured.
    pub(crate) fn mean_latency(&self) -> Option<TimeSpan> {
        (self.measured > 0).then(|| TimeSpan(self.latency_sum.0 / self.measured as i64))
    }

    /// Returns the mean latency over the measured nodes of a zone and `prior_nodes` additional nodes with the
    /// latency `prior_latency`.
    pub(crate) fn zone_mean_latency(
        &self,
        zone: ZoneId,
        prior_latency: TimeSpan,
        prior_nodes: f64,
    ) -> TimeSpan {
        let known = self.zones.get(&zone).copied().unwrap_or_default();
        let sum = known.sum as f64 + prior_nodes * prior_latency.0 as f64;
        TimeSpan((sum / (known.nodes as f64 + prior_nodes)) as i64)
    }

    /// Returns the ready nodes of several placement groups for which `is_usable` returns true, at most
    /// `max_per_group` of each group.
    pub(crate) fn replicas<'a>(
        &'a self,
        groups: impl Iterator<Item = PlacementGroupId> + 'a,
        max_per_group: usize,
        is_usable: impl Fn(NodeId) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = NodeId> + 'a {
        let groups = groups.filter_map(|group| self.replicas_by_group.get(&group));
        groups.flat_map(move |group| {
            let candidates = group.candidates(max_per_group);
            candidates.filter(move |id| is_usable(*id)).take(max_per_group)
        })
    }

    /// Applies `change` to a node, if it is known, and updates the aggregates over the ready nodes. Removes the node
    /// if it is listed as removed and has nothing in flight.
    pub(crate) fn update(&mut self, id: NodeId, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let (group_before, zone_before, before) = (node.placement_group, node.zone, Contribution::of(node));
        change(node);
        let (group, zone, after) = (node.placement_group, node.zone, Contribution::of(node));
        let is_removable = node.state == EndpointState::Removed && node.batches.is_empty();
        self.move_contribution(zone_before, &before, zone, &after);
        let has_moved = group_before != group;
        if before.ready == 1 && (after.ready == 0 || has_moved) {
            let replicas = self.replicas_by_group.get_mut(&group_before);
            replicas.into_iter().for_each(|replicas| replicas.remove(self.subset_seed, id));
        }
        if after.ready == 1 && (before.ready == 0 || has_moved) {
            self.replicas_by_group.entry(group).or_default().insert(self.subset_seed, id);
        } else if is_removable {
            self.nodes.remove(&id);
        }
    }

    fn move_contribution(
        &mut self,
        zone_before: ZoneId,
        before: &Contribution,
        zone: ZoneId,
        after: &Contribution,
    ) {
        self.ready = self.ready + after.ready - before.ready;
        self.measured = self.measured + after.measured - before.measured;
        self.latency_sum = TimeSpan(self.latency_sum.0 + after.latency - before.latency);
        let left = self.zones.entry(zone_before).or_default();
        left.nodes -= before.measured;
        left.sum -= before.latency;
        let entered = self.zones.entry(zone).or_default();
        entered.nodes += after.measured;
        entered.sum += after.latency;
    }

    /// Adds an attempt to the open batch of its node, or to a new batch if there is none or it is full.
    pub(crate) fn join_batch(&mut self, now: Timestamp, id: NodeId, attempt: BatchedAttempt) -> BatchId {
        let node = self.nodes.entry(id).or_default();
        let open = node.open_batch.filter(|batch| batch.shard_requests < attempt.max_batch_size);
        let batch = match open {
            Some(open) => OpenBatch { id: open.id, shard_requests: open.shard_requests + 1 },
            None => {
                self.last_batch.0 += 1;
                OpenBatch { id: self.last_batch, shard_requests: 1 }
            }
        };
        node.open_batch = Some(batch);
        node.connection = attempt.connection;
        self.with_open_batch.push(id);
        node.batches.entry(batch.id).or_insert(Batch { sent_at: now, in_flight: 0 }).in_flight += 1;
        if let Some(class) = attempt.slow_start_class {
            node.slow_start_attempts.push_back(SlowStartAttempt { sent_at: now, class });
        }
        batch.id
    }

    /// Closes the batches of the current turn, so that later attempts start new ones.
    pub(crate) fn close_batches(&mut self) {
        for id in self.with_open_batch.drain(..) {
            if let Some(node) = self.nodes.get_mut(&id) {
                node.open_batch = None;
            }
        }
    }

    /// Applies an endpoint list. `presumed_start` converts a listed start time to one on this broker's clock. If
    /// a new process runs under a known id, the state of the previous process is reset.
    pub(crate) fn apply_endpoint_list(
        &mut self,
        now: Timestamp,
        list: &EndpointList,
        presumed_start: impl Fn(WallClockTime) -> Timestamp,
    ) {
        if list.kind != EndpointListKind::Delta {
            self.remove_unlisted(list);
        }
        let mut restarted = Vec::new();
        for endpoint in list.entries.iter() {
            if self.apply_endpoint(now, endpoint, &presumed_start) {
                restarted.push(endpoint);
            }
        }
        for endpoint in restarted {
            self.update(endpoint.node, Node::reset_process_state);
        }
    }

    /// Applies one entry of an endpoint list and returns whether the node runs a new process.
    ///
    /// Any change of the listed start time means a new process, even a change to an earlier time. After the clock
    /// of a machine is set back, a later process has an earlier start time. If it were taken for the previous
    /// process, it would inherit that process's age and receive full load while it is cold.
    fn apply_endpoint(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        presumed_start: impl Fn(WallClockTime) -> Timestamp,
    ) -> bool {
        self.nodes.entry(endpoint.node).or_default();
        let mut is_another = false;
        self.update(endpoint.node, |node| {
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

    /// Marks all nodes as removed that a complete list does not contain.
    fn remove_unlisted(&mut self, list: &EndpointList) {
        let listed: BTreeSet<NodeId> = list.entries.iter().map(|endpoint| endpoint.node).collect();
        let unlisted: Vec<NodeId> = self.nodes.keys().copied().filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            self.update(id, |node| node.state = EndpointState::Removed);
        }
    }
}

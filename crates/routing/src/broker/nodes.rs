//! State of nodes in the form that the rules use.

use super::Broker;
use crate::effective_config::EffectiveConfig;
use crate::effects::Effect;
use crate::ids::NodeId;
use crate::policy::idle_connections::{AttemptAfterIdle, is_idle};
use crate::policy::latency::{LatencyEstimator, average_latency};
use crate::policy::replica_choice::{self, Candidate};
use crate::policy::slow_start::{self, SlowStartRequest};
use crate::state::{ConnectionAfterIdle, ConnectionUse, Query, ShardRequest};
use crate::time::{TimeSpan, Timestamp};

impl Broker {
    /// Returns the mean smoothed latency of the ready nodes, or an initial estimate if none has been measured.
    pub(super) fn average_latency(&self) -> TimeSpan {
        average_latency(self.state.mean_latency, self.config.shortest_objective)
    }

    /// Returns an estimator of the current latencies of nodes.
    pub(super) fn latencies(&self) -> LatencyEstimator<'_> {
        LatencyEstimator { nodes: &self.state.nodes, now: self.state.now, average: self.average_latency() }
    }

    /// Returns the ready nodes that hold the shard of a shard request and for which `is_usable` returns true,
    /// limited to the replicas among which this broker chooses.
    pub(super) fn replicas<'a>(
        &'a self,
        query: &'a Query,
        shard_request: &ShardRequest,
        is_usable: impl Fn(NodeId) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = NodeId> + 'a {
        let groups = query.config.broker.layout.groups_of(shard_request.shard);
        self.state.nodes.replicas(groups, query.config.max_group_replicas, is_usable)
    }

    /// Chooses the replica for the next attempt of a shard request, or returns `None` if none may receive it.
    pub(super) fn choose_replica(&mut self, query: &Query, index: usize) -> Option<NodeId> {
        let shard_request = &query.shard_requests[index];
        let is_usable = |id| !shard_request.is_in_flight_at(id) && self.may_receive(id, shard_request);
        let usable = self.replicas(query, shard_request, is_usable);
        let candidates: Vec<Candidate> = usable.map(|id| self.candidate(shard_request, id)).collect();
        replica_choice::choose(&candidates, &mut self.rng)
    }

    fn candidate(&self, shard_request: &ShardRequest, id: NodeId) -> Candidate {
        let node = &self.state.nodes[id];
        let max_batch_size = self.config.broker.layout.max_batch_size;
        Candidate {
            node: id,
            was_tried: shard_request.has_tried(id),
            score: replica_choice::score(node, self.latencies().of(node), max_batch_size),
            is_in_other_zone: node.zone != self.config.broker.zone,
            needs_new_batch: node.open_batch.is_none(),
        }
    }

    /// Returns whether a node is warming up, by the longest period of all configurations that apply.
    pub(super) fn is_warming_up(&self, id: NodeId) -> bool {
        let periods = self.binding_configs().map(|config| config.broker.rules.warm_up_period);
        let warm_up_period = periods.max().unwrap_or_default();
        slow_start::is_warming_up(self.state.nodes[id].started_at, self.state.now, warm_up_period)
    }

    /// Returns whether slow start allows a node to receive a shard request, under all configurations that apply.
    pub(super) fn may_receive(&self, id: NodeId, shard_request: &ShardRequest) -> bool {
        !self.is_warming_up(id)
            || self.binding_configs().all(|config| self.slow_start_allows(config, id, shard_request))
    }

    fn slow_start_allows(&self, config: &EffectiveConfig, id: NodeId, shard_request: &ShardRequest) -> bool {
        let (state, node) = (&self.state, &self.state.nodes[id]);
        let average = self.average_latency();
        let rules = &config.broker.rules;
        let request = SlowStartRequest {
            now: state.now,
            rules,
            brokers: config.broker.brokers,
            started_at: node.started_at.unwrap_or_default(),
            start_known_at: node.start_known_at,
            consecutive_failures: node.consecutive_failures,
            cost: state.baselines.of(shard_request.class, average),
            shard_request: shard_request.id,
            demand: state.recent_shard_requests.rate(state.now, rules.overload_window),
            ready_nodes: state.nodes.ready(),
            random_seed: self.seed ^ id.0.rotate_left(32),
        };
        request.may_receive(|from| {
            let classes = node.slow_start_sent_since(from);
            classes.map(|class| state.baselines.of(class, average)).sum()
        })
    }

    /// Chooses the connection of an attempt that is the first after an idle period of its node, or that shares a
    /// batch with such an attempt. Returns `None` for other attempts. Closes the idle connections of the node if
    /// they are not to be reused.
    pub(super) fn choose_connection(
        &mut self,
        id: NodeId,
        must_succeed: bool,
    ) -> Option<ConnectionAfterIdle> {
        let node = &self.state.nodes[id];
        let (now, shortest_objective) = (self.state.now, self.config.shortest_objective);
        let idle_period = now - node.last_success_at;
        let was_used = node.last_success_at > Timestamp::ZERO;
        let is_unused_now = node.batches.is_empty();
        if !was_used || !is_unused_now || !is_idle(idle_period, shortest_objective) {
            return node.open_batch.and(node.connection);
        }
        let attempt = AttemptAfterIdle { now, idle_period, must_succeed, shortest_objective };
        let usage = self.state.idle_connections.choose(attempt);
        if usage == ConnectionUse::New {
            self.state.effects.push(Effect::CloseIdle { node: id });
        }
        Some(ConnectionAfterIdle { usage, idle_period })
    }
}

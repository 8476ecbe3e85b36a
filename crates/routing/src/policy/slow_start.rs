//! Randomized slow-start admission: what a node that warms up may receive from all brokers together (rule 4).

use super::*;

/// Deviations by which chance may pass what is meant.
const DEVIATIONS: f64 = 3.0;

impl Broker {
    /// When a process is taken to have started that an endpoint list tells of for the first time, by the start time
    /// that it gives. That comes from another machine's wall clock, and either clock may be stepped: it is believed only where nothing
    /// better can be known, in the first list after this broker's own start. From then on no process is older than
    /// the moment at which it was first heard of. Harm: it warms up later by as much as the list was late.
    pub(super) fn presumed_start(&self, list: &EndpointList) -> impl Fn(Tenths) -> Tenths + use<> {
        let (now, has_list, wall_clock) = (self.state.now, self.state.has_endpoint_list, list.wall_clock);
        move |listed_start| match has_list {
            true => now,
            false => now - (wall_clock - listed_start).max(Tenths::ZERO),
        }
    }

    pub(super) fn is_warming_up(&self, id: NodeId) -> bool {
        let periods = self.binding_configs().map(|config| config.broker.rules.warm_up_period);
        let warm_up_period = periods.max().unwrap_or_default();
        self.state.nodes[&id].started_at.is_some_and(|at| self.state.now - at < warm_up_period)
    }

    /// Whatever the other brokers send: a node that warms up gets this broker's even share of what one that
    /// does one shard request at a time bears in a window, by the share it has warmed to; shard requests
    /// count as long as their class's ever were on average. While it fails again and again it gets one
    /// attempt a window.
    pub(super) fn may_receive(&self, id: NodeId, shard_request: &ShardRequest) -> bool {
        !self.is_warming_up(id) || self.binding_configs().all(|config| self.bears(config, id, shard_request))
    }

    /// Where an even share is under a shard request a window, all send by chance, so little that by
    /// `DEVIATIONS` it stays within what the node bears. A broker that meets the node now and then has its
    /// part of that add up from when it learned of the start, beginning at a drawn point; one that meets it
    /// rarely, and then with many shard requests, draws for each. Guards against brokers that send one each
    /// at once. Harm: it is asked later.
    fn bears(&self, config: &EffectiveConfig, id: NodeId, shard_request: &ShardRequest) -> bool {
        let (rules, node, now) = (&config.broker.rules, &self.state.nodes[&id], self.state.now);
        let since_start = (now - node.started_at.unwrap_or_default()).max(Tenths::ZERO);
        let warmth = since_start.over(rules.warm_up_period);
        if warmth >= 1.0 {
            return true;
        }
        let capacity_share = rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warmth;
        let window = rules.overload_window;
        let capacity = window.times(rules.overload_factor * capacity_share).0.max(1) as f64;
        let (brokers, average) = (f64::from(config.broker.brokers.max(1)), self.average_latency());
        let cost = self.state.baseline_latency(shard_request.class, average);
        let cost_since = |from: Tenths| self.state.slow_start_cost_since(node, from, average);
        let (sent_lately, is_failing) = (cost_since(now - window), node.consecutive_failures > 1);
        if capacity / brokers >= cost || config.broker.brokers <= 1 || sent_lately > 0.0 && is_failing {
            return sent_lately == 0.0 || !is_failing && sent_lately + cost <= capacity / brokers;
        }
        // The mean of which so many deviations above it are still within capacity, for this broker.
        let root = (DEVIATIONS * DEVIATIONS + 4.0 * capacity / cost).sqrt() - DEVIATIONS;
        let steady = root.powi(2) / 4.0 / brokers;
        let (requested, span) = self.state.requested_lately(window);
        let expected = requested / self.state.ready_nodes.max(1) as f64;
        let draw = |of: u64| fastrand::Rng::with_seed(self.seed ^ id.0.rotate_left(32) ^ of).f64();
        if expected < 1.0 {
            return draw(shard_request.id.0) < span.over(window) * steady / expected;
        }
        let known_at = node.start_known_at;
        let earned = (now - known_at).over(window) * steady + draw(known_at.0 as u64);
        earned - cost_since(known_at) / cost >= 1.0
    }
}

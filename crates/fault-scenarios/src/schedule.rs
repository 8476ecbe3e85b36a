//! Expands a scenario into timed actions for a cluster of a given size. The result is deterministic for a
//! scenario, a cluster size and a seed.

use crate::active_faults::PauseCycle;
use crate::fault::{Direction, Fault, FaultKind, FaultTarget};
use crate::scenario::Scenario;
use routing::{TimeSpan, Timestamp};

/// The size of a cluster. The placement group and the zone of a node are derived from its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterSize {
    /// The number of nodes.
    pub nodes: u32,
    /// The number of zones.
    pub zones: u32,
    /// The number of placement groups.
    pub placement_groups: u32,
    /// The number of brokers.
    pub brokers: u32,
}

impl ClusterSize {
    /// Returns the zone of a node. All nodes of a placement group are in the same zone; with fewer groups than
    /// zones, some zones have no nodes.
    pub fn zone_of(&self, node: u32) -> u32 {
        self.placement_group_of(node) % self.zones.max(1)
    }

    /// Returns the placement group of a node.
    pub fn placement_group_of(&self, node: u32) -> u32 {
        node % self.placement_groups.max(1)
    }
}

/// An action that starts or ends a fault. `begins` is true at the start of the fault and false at its end.
#[allow(missing_docs, reason = "the fields of all variants have the same meaning; see `Fault`")]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// The process of a node stops, or one of its outages or drains ends.
    Outage { node: u32, begins: bool },
    /// A node starts to drain.
    BeginDrain { node: u32 },
    /// The time allowed for the drain of a node has passed.
    FinishDrain { node: u32 },
    /// A node accepts requests without responding.
    Unresponsive { node: u32, begins: bool },
    /// A node runs at a fraction of its normal speed.
    Slowdown { node: u32, speed_factor: f64, begins: bool },
    /// A node pauses repeatedly.
    Pause { node: u32, cycle: PauseCycle, begins: bool },
    /// A node rejects all new requests.
    Rejection { node: u32, begins: bool },
    /// A share of a node's responses are errors.
    Errors { node: u32, share: f64, begins: bool },
    /// Messages to or from a node are lost.
    Partition { node: u32, direction: Direction, begins: bool },
    /// Messages to or from a node are delayed by `added`.
    NetworkDelay { node: u32, added: TimeSpan, direction: Direction, begins: bool },
    /// Discovery publishes changes late, by `added`.
    EndpointListDelay { added: TimeSpan, begins: bool },
    /// Discovery publishes no changes.
    EndpointListOutage { begins: bool },
    /// One tenant, or all of them if `tenant` is `None`, send `factor` times as many queries.
    TrafficSurge { factor: f64, tenant: Option<u32>, begins: bool },
    /// A share of the queries takes `work_factor` times as much work.
    HeavyQueries { share: f64, work_factor: f64, begins: bool },
    /// A share of the queries crashes every node that starts one of their shard requests.
    QueryOfDeath { share: f64, begins: bool },
    /// A broker restarts without any state.
    RestartBroker { broker: u32 },
    /// A share of all queries is sent to one broker.
    SkewedTraffic { share: f64, begins: bool },
}

/// An action with the time at which it takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledAction {
    /// The time since the start of the run.
    pub at: Timestamp,
    /// The action to take.
    pub action: FaultAction,
}

fn from_seconds(seconds: f64) -> TimeSpan {
    TimeSpan::from_ms(seconds * 1000.0)
}

impl Scenario {
    /// Returns the actions of all faults in chronological order. Actions at the same time keep the order of the
    /// file.
    pub fn schedule(&self, cluster: &ClusterSize, seed: u64) -> Vec<ScheduledAction> {
        let mut schedule = Vec::new();
        for (index, fault) in self.faults.iter().enumerate() {
            // Each fault has its own random number generator, so that changing one does not affect the others.
            let mut rng = fastrand::Rng::with_seed(seed ^ (index as u64 + 1).rotate_left(40));
            schedule.extend(fault.actions(cluster, &mut rng));
        }
        schedule.sort_by_key(|scheduled| scheduled.at);
        schedule
    }
}

impl FaultTarget {
    /// Returns the selected nodes in ascending order.
    fn select_nodes(&self, cluster: &ClusterSize, rng: &mut fastrand::Rng) -> Vec<u32> {
        let mut nodes: Vec<u32> = (0..cluster.nodes).filter(|node| self.matches(cluster, *node)).collect();
        let count = ((nodes.len() as f64 * self.share).round() as usize).clamp(1, nodes.len().max(1));
        rng.shuffle(&mut nodes);
        nodes.truncate(count);
        nodes.sort_unstable();
        nodes
    }

    fn matches(&self, cluster: &ClusterSize, node: u32) -> bool {
        let (zones, groups) = (cluster.zones.max(1), cluster.placement_groups.max(1));
        self.zone.is_none_or(|zone| cluster.zone_of(node) == zone % zones)
            && self.placement_group.is_none_or(|group| cluster.placement_group_of(node) == group % groups)
            && self.node.is_none_or(|wanted| node == wanted % cluster.nodes.max(1))
    }
}

impl Fault {
    fn actions(&self, cluster: &ClusterSize, rng: &mut fastrand::Rng) -> Vec<ScheduledAction> {
        let nodes = self.target.select_nodes(cluster, rng);
        match self.kind {
            FaultKind::Drain => self.restart_all(&nodes, self.start(), self.end()),
            FaultKind::RollingRestart => self.rolling_restart(cluster, &nodes),
            FaultKind::BrokerRestart => self.restart_brokers(cluster, rng),
            _ => {
                let node_actions = nodes
                    .iter()
                    .flat_map(|node| self.at_start_and_end(|begins| self.node_action(*node, begins)));
                let cluster_actions = self.at_start_and_end(|begins| self.cluster_action(begins));
                node_actions.chain(cluster_actions).collect()
            }
        }
    }

    fn start(&self) -> Timestamp {
        Timestamp::ZERO + from_seconds(self.start_s)
    }

    fn end(&self) -> Timestamp {
        Timestamp::ZERO + from_seconds(self.start_s + self.duration_s)
    }

    fn at_start_and_end(
        &self,
        action: impl Fn(bool) -> Option<FaultAction>,
    ) -> impl Iterator<Item = ScheduledAction> {
        let start = action(true).map(|action| ScheduledAction { at: self.start(), action });
        let end = action(false).map(|action| ScheduledAction { at: self.end(), action });
        start.into_iter().chain(end)
    }

    /// Returns the action that starts or ends this fault on one node, or `None` if the fault has no such action.
    fn node_action(&self, node: u32, begins: bool) -> Option<FaultAction> {
        let (magnitude, direction) = (self.magnitude, self.direction);
        let action = match self.kind {
            FaultKind::Crash => FaultAction::Outage { node, begins },
            FaultKind::Unresponsive => FaultAction::Unresponsive { node, begins },
            FaultKind::Slowdown => FaultAction::Slowdown { node, speed_factor: magnitude, begins },
            FaultKind::Pause => {
                let interval = TimeSpan::from_ms(self.pause_interval_ms);
                let cycle = PauseCycle { pause: TimeSpan::from_ms(magnitude), interval };
                FaultAction::Pause { node, cycle, begins }
            }
            FaultKind::Rejection => FaultAction::Rejection { node, begins },
            FaultKind::Errors => FaultAction::Errors { node, share: magnitude, begins },
            FaultKind::Partition => FaultAction::Partition { node, direction, begins },
            FaultKind::NetworkDelay => {
                FaultAction::NetworkDelay { node, added: TimeSpan::from_ms(magnitude), direction, begins }
            }
            _ => return None,
        };
        Some(action)
    }

    /// Returns the action that starts or ends this fault for the whole cluster, or `None` if the fault targets
    /// individual nodes or brokers.
    fn cluster_action(&self, begins: bool) -> Option<FaultAction> {
        let magnitude = self.magnitude;
        let action = match self.kind {
            FaultKind::EndpointListDelay => {
                FaultAction::EndpointListDelay { added: TimeSpan::from_ms(magnitude), begins }
            }
            FaultKind::EndpointListOutage => FaultAction::EndpointListOutage { begins },
            FaultKind::TrafficSurge => {
                FaultAction::TrafficSurge { factor: magnitude, tenant: self.tenant, begins }
            }
            FaultKind::HeavyQueries => {
                FaultAction::HeavyQueries { share: magnitude, work_factor: self.work_factor, begins }
            }
            FaultKind::QueryOfDeath => FaultAction::QueryOfDeath { share: magnitude, begins },
            FaultKind::SkewedTraffic => FaultAction::SkewedTraffic { share: magnitude, begins },
            _ => return None,
        };
        Some(action)
    }

    /// Restarts groups of nodes one after another. Each group gets an equal part of the fault's duration.
    fn rolling_restart(&self, cluster: &ClusterSize, nodes: &[u32]) -> Vec<ScheduledAction> {
        let group_size = ((f64::from(cluster.nodes) * self.magnitude).round() as usize).max(1);
        let groups = nodes.chunks(group_size);
        let group_duration_s = self.duration_s / groups.len().max(1) as f64;
        let mut actions = Vec::new();
        for (index, group) in groups.enumerate() {
            let start_s = self.start_s + group_duration_s * index as f64;
            let start = Timestamp::ZERO + from_seconds(start_s);
            let end = Timestamp::ZERO + from_seconds(start_s + group_duration_s.max(self.drain_s));
            actions.extend(self.restart_all(group, start, end));
        }
        actions
    }

    /// Drains the nodes from `start`, stops them after the drain, and restarts them at `end`.
    fn restart_all(&self, nodes: &[u32], start: Timestamp, end: Timestamp) -> Vec<ScheduledAction> {
        let drain_end = (start + from_seconds(self.drain_s)).min(end);
        let restart = |node: &u32| {
            let node = *node;
            [
                ScheduledAction { at: start, action: FaultAction::BeginDrain { node } },
                ScheduledAction { at: drain_end, action: FaultAction::FinishDrain { node } },
                ScheduledAction { at: end, action: FaultAction::Outage { node, begins: false } },
            ]
        };
        nodes.iter().flat_map(restart).collect()
    }

    fn restart_brokers(&self, cluster: &ClusterSize, rng: &mut fastrand::Rng) -> Vec<ScheduledAction> {
        let count = (f64::from(cluster.brokers) * self.magnitude).round() as usize;
        let mut brokers: Vec<u32> = (0..cluster.brokers).collect();
        rng.shuffle(&mut brokers);
        brokers.truncate(count.max(1));
        brokers.sort_unstable();
        let restart =
            |broker| ScheduledAction { at: self.start(), action: FaultAction::RestartBroker { broker } };
        brokers.into_iter().map(restart).collect()
    }
}

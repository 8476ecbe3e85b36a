//! What the faults of a day add up to at a time: the state of nodes, networks and discovery, and what clients
//! send. Decisions and state only; [`crate::simulation`] carries them out.

use fault_scenarios::{ActiveFaults, ClusterSize, Direction, FaultAction, NodeTransition};
use routing::TimeSpan;

/// What is to be done as a fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEffect {
    /// The node's process changes.
    ChangeNode { node: usize, transition: NodeTransition },
    /// The node works at this share of its speed.
    SetSpeed { node: usize, speed_factor: f64 },
    /// The node's pauses begin.
    BeginPauses { node: usize },
    /// The node answers nothing: what it has is lost, and nobody is notified.
    Silence { node: usize },
    /// The node starts again after it was silent.
    EndSilence { node: usize },
    /// Discovery publishes again.
    RepublishEndpoints,
    /// The broker restarts without any state.
    RestartBroker { broker: usize },
}

/// The direction of a message between a broker and a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageDirection {
    ToNode,
    FromNode,
}

/// Faults of the network between the brokers and one node, in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct NetworkFaults {
    partitions: u32,
    added_delay: TimeSpan,
}

/// Faults of the network between the brokers and one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeNetworkFaults {
    to_node: NetworkFaults,
    from_node: NetworkFaults,
}

impl NodeNetworkFaults {
    fn in_direction(&self, direction: MessageDirection) -> NetworkFaults {
        match direction {
            MessageDirection::ToNode => self.to_node,
            MessageDirection::FromNode => self.from_node,
        }
    }

    /// Those of the directions that a fault affects.
    fn affected_by(&mut self, direction: Direction) -> impl Iterator<Item = &mut NetworkFaults> {
        let to_node = direction.includes_to_node().then_some(&mut self.to_node);
        let from_node = direction.includes_from_node().then_some(&mut self.from_node);
        to_node.into_iter().chain(from_node)
    }
}

/// Applies the scheduled faults of a day.
pub struct FaultInjector {
    cluster: ClusterSize,
    near_latency: TimeSpan,
    far_latency: TimeSpan,
    /// The active faults of each node.
    pub active_faults: Vec<ActiveFaults>,
    /// By node.
    network_faults: Vec<NodeNetworkFaults>,
    endpoint_list_delay: TimeSpan,
    endpoint_list_outages: u32,
    query_of_death_share: f64,
    /// The share of the queries that goes to one broker.
    skewed_share: f64,
    rng: fastrand::Rng,
}

/// Keeps the injector's random numbers apart from those of other parts with the same seed.
const RNG_STREAM: u64 = 0x3ea7;
/// The broker that skewed traffic goes to.
const SKEWED_BROKER: usize = 0;

impl FaultInjector {
    /// An injector without active faults; one-way latencies within a zone and between zones.
    pub fn new(
        cluster: ClusterSize,
        near_latency: TimeSpan,
        far_latency: TimeSpan,
        seed: u64,
    ) -> FaultInjector {
        let nodes = cluster.nodes as usize;
        FaultInjector {
            cluster,
            near_latency,
            far_latency,
            active_faults: vec![ActiveFaults::default(); nodes],
            network_faults: vec![NodeNetworkFaults::default(); nodes],
            endpoint_list_delay: TimeSpan::ZERO,
            endpoint_list_outages: 0,
            query_of_death_share: 0.0,
            skewed_share: 0.0,
            rng: fastrand::Rng::with_seed(seed ^ RNG_STREAM),
        }
    }

    /// How long a message takes; none: it is lost.
    pub fn latency(&self, broker: usize, node: usize, direction: MessageDirection) -> Option<TimeSpan> {
        let faults = self.network_faults[node].in_direction(direction);
        if faults.partitions > 0 || self.active_faults[node].is_unresponsive() {
            return None;
        }
        let broker_zone = broker as u32 % self.cluster.zones.max(1);
        let is_near = self.zone_of(node) == broker_zone;
        Some(if is_near { self.near_latency } else { self.far_latency } + faults.added_delay)
    }

    /// The zone of a node.
    pub fn zone_of(&self, node: usize) -> u32 {
        self.cluster.zone_of(node as u32)
    }

    /// How much later than usual discovery publishes; none: it publishes nothing.
    pub fn endpoint_list_delay(&self) -> Option<TimeSpan> {
        (self.endpoint_list_outages == 0).then_some(self.endpoint_list_delay)
    }

    /// Whether the node's next response is an error.
    pub fn draws_error(&mut self, node: usize) -> bool {
        let share = self.active_faults[node].error_share();
        share > 0.0 && self.rng.f64() < share
    }

    /// Whether the next query stops nodes.
    pub fn draws_query_of_death(&mut self) -> bool {
        self.query_of_death_share > 0.0 && self.rng.f64() < self.query_of_death_share
    }

    /// The broker, of so many, that gets the query of this index.
    pub fn pick_broker(&mut self, query: usize, brokers: usize) -> usize {
        let is_skewed = self.skewed_share > 0.0 && self.rng.f64() < self.skewed_share;
        if is_skewed { SKEWED_BROKER } else { query % brokers }
    }

    /// A random number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.rng.f64()
    }

    /// Applies what begins or ends; returns what is to be done about it.
    pub fn apply(&mut self, action: FaultAction) -> Option<FaultEffect> {
        match action {
            FaultAction::EndpointListDelay { added, begins } => {
                self.endpoint_list_delay += signed(added, begins);
            }
            FaultAction::EndpointListOutage { begins } => {
                self.endpoint_list_outages = count(self.endpoint_list_outages, begins);
                return (self.endpoint_list_outages == 0).then_some(FaultEffect::RepublishEndpoints);
            }
            FaultAction::QueryOfDeath { share, begins } => {
                self.query_of_death_share = if begins { share } else { 0.0 };
            }
            FaultAction::SkewedTraffic { share, begins } => {
                self.skewed_share = if begins { share } else { 0.0 };
            }
            FaultAction::RestartBroker { broker } => {
                return Some(FaultEffect::RestartBroker { broker: broker as usize });
            }
            // Queries are planned before the day begins.
            FaultAction::TrafficSurge { .. } | FaultAction::HeavyQueries { .. } => {}
            FaultAction::Partition { node, direction, begins } => {
                for faults in self.network_faults[node as usize].affected_by(direction) {
                    faults.partitions = count(faults.partitions, begins);
                }
            }
            FaultAction::NetworkDelay { node, added, direction, begins } => {
                for faults in self.network_faults[node as usize].affected_by(direction) {
                    faults.added_delay += signed(added, begins);
                }
            }
            node_action => return self.apply_to_node(node_action),
        }
        None
    }

    fn apply_to_node(&mut self, action: FaultAction) -> Option<FaultEffect> {
        let all = &mut self.active_faults;
        let change = |node: u32, transition: NodeTransition| {
            Some(FaultEffect::ChangeNode { node: node as usize, transition })
        };
        match action {
            FaultAction::Outage { node, begins } => {
                let faults = &mut all[node as usize];
                change(node, if begins { faults.begin_outage() } else { faults.end_outage() })
            }
            FaultAction::BeginDrain { node } => change(node, all[node as usize].begin_drain()),
            FaultAction::FinishDrain { node } => change(node, all[node as usize].finish_drain()),
            FaultAction::Unresponsive { node, begins } => self.set_unresponsive(node as usize, begins),
            FaultAction::Slowdown { node, speed_factor, begins } => {
                let node = node as usize;
                all[node].set_slowdown(speed_factor, begins);
                Some(FaultEffect::SetSpeed { node, speed_factor: all[node].speed_factor() })
            }
            FaultAction::Pause { node, cycle, begins } => {
                all[node as usize].set_pause(cycle, begins);
                begins.then_some(FaultEffect::BeginPauses { node: node as usize })
            }
            FaultAction::Rejection { node, begins } => {
                all[node as usize].set_rejecting(begins);
                None
            }
            FaultAction::Errors { node, share, begins } => {
                all[node as usize].set_errors(share, begins);
                None
            }
            _ => None,
        }
    }

    fn set_unresponsive(&mut self, node: usize, begins: bool) -> Option<FaultEffect> {
        let faults = &mut self.active_faults[node];
        let was_unresponsive = faults.is_unresponsive();
        faults.set_unresponsive(begins);
        match (was_unresponsive, faults.is_unresponsive()) {
            (false, true) => Some(FaultEffect::Silence { node }),
            (true, false) => Some(FaultEffect::EndSilence { node }),
            _ => None,
        }
    }
}

fn count(active: u32, begins: bool) -> u32 {
    if begins { active.saturating_add(1) } else { active.saturating_sub(1) }
}

fn signed(added: TimeSpan, begins: bool) -> TimeSpan {
    added.mul_f64(if begins { 1.0 } else { -1.0 })
}

#[cfg(test)]
mod tests;

//! One fault of a scenario: its kind, the nodes it is for, and its parameters.

use std::fmt;
use std::ops::RangeInclusive;

/// What goes wrong. What [`Fault::size`] means depends on the kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Node processes stop, and start without warm state at the end.
    Crash,
    /// Nodes accept everything and answer nothing. Their work is lost, and they start without warm state at
    /// the end.
    Unresponsive,
    /// Nodes work at the share `size` of their speed.
    Slowdown,
    /// Nodes pause for `size` ms in each `pause_interval_ms`.
    Pause,
    /// Nodes reject all new work.
    Rejection,
    /// The share `size` of the nodes' responses are errors.
    Errors,
    /// Nodes drain, stop after `drain_s`, and start without warm state at the end.
    Drain,
    /// Groups of the share `size` of all nodes are restarted one after the other, each with a drain of
    /// `drain_s`, all within the fault's duration.
    RollingRestart,
    /// Messages between brokers and nodes are lost, in the fault's direction.
    Partition,
    /// Messages between brokers and nodes take `size` ms longer, in the fault's direction.
    NetworkDelay,
    /// Discovery publishes every change `size` ms later.
    EndpointListDelay,
    /// Discovery publishes nothing.
    EndpointListOutage,
    /// Clients send `size` times as many queries; with a tenant, that tenant alone.
    TrafficSurge,
    /// The share `size` of the queries takes `work_factor` times as much work.
    HeavyQueries,
    /// The share `size` of the queries stops every node that begins a shard request of it.
    QueryOfDeath,
    /// The share `size` of the brokers restarts without any state.
    BrokerRestart,
    /// The share `size` of all queries goes to one broker.
    SkewedTraffic,
}

/// What a kind of fault is called in a scenario's text, and which parameters it has.
pub(crate) struct FaultKindSpec {
    pub(crate) name: &'static str,
    pub(crate) kind: FaultKind,
    pub(crate) targets_nodes: bool,
    /// The values allowed for `size`; none where the kind has no size.
    pub(crate) size_range: Option<RangeInclusive<f64>>,
}

const fn spec(
    name: &'static str,
    kind: FaultKind,
    targets_nodes: bool,
    size_range: Option<RangeInclusive<f64>>,
) -> FaultKindSpec {
    FaultKindSpec { name, kind, targets_nodes, size_range }
}

/// All kinds, in the order in which an error message lists them.
#[rustfmt::skip]
pub(crate) const FAULT_KINDS: &[FaultKindSpec] = &[
    spec("lose",        FaultKind::Crash,              true,  None),
    spec("silence",     FaultKind::Unresponsive,       true,  None),
    spec("crawl",       FaultKind::Slowdown,           true,  Some(0.01..=1.0)),
    spec("pause",       FaultKind::Pause,              true,  Some(1.0..=60_000.0)),
    spec("refuse",      FaultKind::Rejection,          true,  None),
    spec("garble",      FaultKind::Errors,             true,  Some(0.0..=1.0)),
    spec("drain",       FaultKind::Drain,              true,  None),
    spec("release",     FaultKind::RollingRestart,     true,  Some(0.01..=1.0)),
    spec("cut",         FaultKind::Partition,          true,  None),
    spec("delay",       FaultKind::NetworkDelay,       true,  Some(0.1..=10_000.0)),
    spec("late-roll",   FaultKind::EndpointListDelay,  false, Some(1.0..=600_000.0)),
    spec("silent-roll", FaultKind::EndpointListOutage, false, None),
    spec("storm",       FaultKind::TrafficSurge,       false, Some(0.1..=100.0)),
    spec("heavy",       FaultKind::HeavyQueries,       false, Some(0.0..=1.0)),
    spec("killer",      FaultKind::QueryOfDeath,       false, Some(0.0..=1.0)),
    spec("forget",      FaultKind::BrokerRestart,      false, Some(0.0..=1.0)),
    spec("lopsided",    FaultKind::SkewedTraffic,      false, Some(0.0..=1.0)),
];

impl fmt::Display for FaultKind {
    /// The kind's name in a scenario's text.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(FAULT_KINDS.iter().find(|spec| spec.kind == *self).map_or("", |spec| spec.name))
    }
}

/// Which nodes a fault is for: those that fit all that is given.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultTarget {
    /// Nodes of this zone, modulo the number of zones.
    pub zone: Option<u32>,
    /// Nodes of this placement group, modulo the number of groups.
    pub placement_group: Option<u32>,
    /// This node, modulo the number of nodes.
    pub node: Option<u32>,
    /// The share of the fitting nodes, drawn at random by seed; at least one node.
    pub share: f64,
}

/// Which messages between brokers and nodes a network fault is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// Messages from brokers to nodes.
    ToNode,
    /// Messages from nodes to brokers.
    FromNode,
}

impl Direction {
    /// Whether messages from brokers to nodes are affected.
    pub fn includes_to_node(self) -> bool {
        self != Direction::FromNode
    }

    /// Whether messages from nodes to brokers are affected.
    pub fn includes_from_node(self) -> bool {
        self != Direction::ToNode
    }
}

/// One fault of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The name of its section in the scenario's text.
    pub name: String,
    /// What goes wrong.
    pub kind: FaultKind,
    /// Which nodes it is for, if its kind is for nodes.
    pub target: FaultTarget,
    /// Seconds from the beginning of the day.
    pub start_s: f64,
    /// Seconds.
    pub duration_s: f64,
    /// How severe it is; the unit depends on the kind.
    pub magnitude: f64,
    /// How many times as much work a heavy query takes.
    pub work_factor: f64,
    /// Milliseconds from the beginning of one pause to the beginning of the next.
    pub pause_interval_ms: f64,
    /// Seconds that a draining process has before it stops.
    pub drain_s: f64,
    /// The direction of a network fault.
    pub direction: Direction,
    /// The tenant whose traffic surges; none: all tenants.
    pub tenant: Option<u32>,
}

//! Faults of a scenario: their kinds, target nodes and parameters.

use std::fmt;
use std::ops::RangeInclusive;

/// The kind of a fault. It determines the meaning and the unit of [`Fault::magnitude`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Node processes stop. They restart without warm state when the fault ends.
    Crash,
    /// Nodes accept all requests but never respond. Their work is lost, and they restart without warm state
    /// when the fault ends.
    Unresponsive,
    /// Nodes run at a fraction of their normal speed, given by the magnitude.
    Slowdown,
    /// Nodes pause once in each `pause_interval_ms`. The magnitude is the length of a pause in milliseconds.
    Pause,
    /// Nodes reject all new requests.
    Rejection,
    /// A share of the nodes' responses are errors. The magnitude is that share.
    Errors,
    /// Nodes drain, stop after `drain_s`, and restart without warm state when the fault ends.
    Drain,
    /// Nodes are restarted in consecutive groups within the fault's duration, each after a drain of
    /// `drain_s`. The magnitude is the size of a group as a share of all nodes.
    RollingRestart,
    /// Messages between brokers and nodes are lost in the fault's direction.
    Partition,
    /// Messages between brokers and nodes are delayed in the fault's direction. The magnitude is the added
    /// latency in milliseconds.
    NetworkDelay,
    /// Discovery publishes every change late. The magnitude is the added delay in milliseconds.
    EndpointListDelay,
    /// Discovery publishes no changes.
    EndpointListOutage,
    /// Clients send more queries, or only one tenant does if one is set. The magnitude is the factor on the
    /// query rate.
    TrafficSurge,
    /// A share of the queries takes `work_factor` times as much work. The magnitude is that share.
    HeavyQueries,
    /// A share of the queries crashes every node that starts one of their shard requests. The magnitude is
    /// that share.
    QueryOfDeath,
    /// A share of the brokers restarts without any state. The magnitude is that share.
    BrokerRestart,
    /// A share of all queries is sent to one broker. The magnitude is that share.
    SkewedTraffic,
}

/// The name of a fault kind in scenario files and the parameters that apply to it.
pub(crate) struct FaultKindSpec {
    pub(crate) name: &'static str,
    pub(crate) kind: FaultKind,
    pub(crate) targets_nodes: bool,
    /// The allowed range of the magnitude (key `size`), or `None` if the kind has none.
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

/// All fault kinds, in the order in which error messages list them.
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
    /// Writes the name of the kind in scenario files.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(FAULT_KINDS.iter().find(|spec| spec.kind == *self).map_or("", |spec| spec.name))
    }
}

/// A selector for the nodes that a fault affects. A node must match every criterion that is set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultTarget {
    /// Restricts the fault to one zone; the number is taken modulo the number of zones.
    pub zone: Option<u32>,
    /// Restricts the fault to one placement group; the number is taken modulo the number of groups.
    pub placement_group: Option<u32>,
    /// Restricts the fault to one node; the number is taken modulo the number of nodes.
    pub node: Option<u32>,
    /// The share of the matching nodes that is affected. The nodes are sampled with the seed of the schedule,
    /// and at least one is affected.
    pub share: f64,
}

/// The direction of the messages between brokers and nodes that a network fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Direction {
    /// Messages in both directions.
    #[default]
    Both,
    /// Messages from brokers to nodes.
    ToNode,
    /// Messages from nodes to brokers.
    FromNode,
}

impl Direction {
    /// Returns whether messages from brokers to nodes are affected.
    pub fn includes_to_node(self) -> bool {
        self != Direction::FromNode
    }

    /// Returns whether messages from nodes to brokers are affected.
    pub fn includes_from_node(self) -> bool {
        self != Direction::ToNode
    }
}

/// A fault of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The name of the fault's section in the scenario file.
    pub name: String,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The affected nodes. Ignored by kinds that do not target nodes.
    pub target: FaultTarget,
    /// The start of the fault, in seconds since the start of the run.
    pub start_s: f64,
    /// The duration of the fault, in seconds.
    pub duration_s: f64,
    /// The severity of the fault; [`FaultKind`] documents its meaning and unit for each kind.
    pub magnitude: f64,
    /// The work of a heavy query, as a multiple of the work of a normal one.
    pub work_factor: f64,
    /// The time from the start of one pause to the start of the next, in milliseconds.
    pub pause_interval_ms: f64,
    /// The time that a draining process has before it stops, in seconds.
    pub drain_s: f64,
    /// The direction of a network fault.
    pub direction: Direction,
    /// The tenant whose traffic surges, or `None` for all tenants.
    pub tenant: Option<u32>,
}

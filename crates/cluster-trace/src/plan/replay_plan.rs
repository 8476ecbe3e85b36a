//! The replay plan: a schedule of queries and node events.

use std::fmt;

/// A schedule of queries and node events, with statistics of the planning.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Queries and node events in time order.
    pub entries: Vec<PlanEntry>,
    /// Number of work rows skipped because their jobs are not in the sample.
    pub unsampled_rows: u64,
    /// Number of machine rows skipped because their machines are not mapped to a node.
    pub unmapped_machine_rows: u64,
    /// Number of queries for tasks that were scheduled before the window and had not ended when it started. Rows that
    /// state an end time are not counted.
    pub running_at_start: u64,
    /// Work on a node per unit of work in the trace, in milliseconds.
    pub ms_per_unit: f64,
}

impl Plan {
    /// Returns the BLAKE3 digest, in hexadecimal, of the entries in printed form, one per line.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for entry in &self.entries {
            hasher.update(entry.to_string().as_bytes()).update(b"\n");
        }
        hasher.finalize().to_hex().to_string()
    }
}

/// An event of a replay and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanEntry {
    /// Time since the start of the replay, in tenths of a millisecond.
    pub at: u64,
    /// Event at this time.
    pub event: PlanEvent,
}

/// An event of a replay.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanEvent {
    /// A client sends a query.
    Query {
        /// Index in [`ReplayConfig::classes`](crate::plan::ReplayConfig::classes).
        class: usize,
        /// Index in [`ReplayConfig::tenant_weights`](crate::plan::ReplayConfig::tenant_weights).
        tenant: usize,
        /// Shard requests in descending order of weight.
        shard_requests: Vec<PlannedShardRequest>,
    },
    /// A node changes its state.
    Node {
        /// Number of the node, starting at 0.
        node: u32,
        /// State change of the node.
        event: PlannedNodeEvent,
    },
}

/// A shard request of a planned query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedShardRequest {
    /// Number of the shard, starting at 0.
    pub shard: u32,
    /// Share of the query's weight. The weights of all shard requests of a query add up to 1.
    pub weight: f64,
    /// Work on a node at full speed, in microseconds.
    pub work_us: u64,
}

/// A state change of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlannedNodeEvent {
    /// The node is running and warmed up.
    StartWarm,
    /// The node starts and has to warm up.
    StartCold,
    /// The node accepts no new shard requests, and stops after
    /// [`ReplayConfig::drain_duration`](crate::plan::ReplayConfig::drain_duration).
    Drain,
    /// The process of the node stops, and its unfinished work is lost.
    Stop,
    /// The node runs at the given share of its initial speed, at most 1 in a plan made from a trace.
    SetSpeed(f64),
}

impl fmt::Display for PlanEntry {
    /// Formats the entry as a line of the output of `trace plan`. Digests are computed over this text, so it keeps
    /// the terms of the first version: `host` is a node, `ask` is a query.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} ", self.at)?;
        match &self.event {
            PlanEvent::Node { node, event } => match event {
                PlannedNodeEvent::StartWarm => write!(f, "host {node} warm"),
                PlannedNodeEvent::StartCold => write!(f, "host {node} start"),
                PlannedNodeEvent::Drain => write!(f, "host {node} drain"),
                PlannedNodeEvent::Stop => write!(f, "host {node} death"),
                PlannedNodeEvent::SetSpeed(share) => write!(f, "host {node} slow {share:.4}"),
            },
            PlanEvent::Query { class, tenant, shard_requests } => {
                write!(f, "ask {class} {tenant}")?;
                shard_requests.iter().try_for_each(|request| {
                    write!(f, " {}:{:.6}:{}", request.shard, request.weight, request.work_us)
                })
            }
        }
    }
}

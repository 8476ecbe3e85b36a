//! A replay plan: what brokers and nodes are to do, and when.

use std::fmt;

/// A replay plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Events in the order of their times.
    pub entries: Vec<PlanEntry>,
    /// Rows of jobs that the sample left out.
    pub unsampled_rows: u64,
    /// Rows of machines beyond the number of nodes.
    pub unmapped_machine_rows: u64,
    /// Queries that were running as the window began.
    pub running_at_start: u64,
    /// Milliseconds of work for one unit of the trace's work.
    pub ms_per_unit: f64,
}

impl Plan {
    /// BLAKE3 over the entries as they are printed, a line each.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for entry in &self.entries {
            hasher.update(entry.to_string().as_bytes()).update(b"\n");
        }
        hasher.finalize().to_hex().to_string()
    }
}

/// One event of a replay and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanEntry {
    /// Tenths of a millisecond from the beginning.
    pub at: u64,
    /// What happens.
    pub event: PlanEvent,
}

/// What happens in a replay.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanEvent {
    /// A client sends a query.
    Query {
        /// The index of its class.
        class: usize,
        /// The index of its tenant.
        tenant: usize,
        /// Its shard requests, the heaviest first.
        shard_requests: Vec<PlannedShardRequest>,
    },
    /// Something happens to a node.
    Node {
        /// The node's number.
        node: u32,
        /// What happens to it.
        event: PlannedNodeEvent,
    },
}

/// A shard request of a planned query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedShardRequest {
    /// The shard.
    pub shard: u32,
    /// Its part of the query's weight; the weights of a query add up to 1.
    pub weight: f64,
    /// Microseconds of work on a node.
    pub work_us: u64,
}

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlannedNodeEvent {
    /// It is up and warm from the beginning.
    StartWarm,
    /// It starts, and has to warm up.
    StartCold,
    /// It accepts nothing new, and stops after the configured time.
    Drain,
    /// Its process stops; its work is lost.
    Stop,
    /// It works at this share of its first speed.
    SetSpeed(f64),
}

impl fmt::Display for PlanEntry {
    /// The line that the command `trace plan` prints, in the words of its first version (`host` is a node,
    /// `ask` a query). Digests are computed over it, so it must not change.
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

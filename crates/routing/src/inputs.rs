//! What a broker is told.

use crate::config::BrokerConfig;
use crate::ids::{
    AttemptNumber, ClassId, GroupId, NodeId, PlacementGroupId, QueryId, ShardId, ShardRequestId, TenantId,
    ZoneId,
};
use crate::time::{TimeSpan, WallClockTime};
use std::sync::Arc;

/// One thing that a broker is told. A front end gives a turn all that has come in, in the order in which it
/// came.
#[derive(Clone, Debug)]
pub enum Input {
    /// Nodes, as discovery lists them.
    EndpointList(EndpointList),
    /// A call for the endpoint list failed, or its watch broke off; the last list still holds.
    EndpointListFailed,
    /// A new configuration. Queries accepted from now on are served by it, open ones keep theirs. The period,
    /// the zone and `send_lag` must stay as they were at the start.
    Config(Box<BrokerConfig>),
    /// A query has come; its shard requests follow in the same turn.
    Query(NewQuery),
    /// A shard request of a query that came in this turn, or that waits for its second phase.
    ShardRequest(NewShardRequest),
    /// The response to an attempt has begun to arrive: the shard request is bound to that attempt.
    ResponseStarted(ShardRequestId),
    /// An attempt has ended; each attempt ends once.
    AttemptEnded(AttemptResult),
    /// The client has left, or stopped waiting.
    ClientLeft(QueryId),
    /// A wake-up that was asked for.
    Woken,
    /// A probe has ended.
    ProbeEnded(ProbeResult),
    /// Something that no decision reads.
    Ignored,
}

/// Nodes as discovery lists them.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// What the list covers.
    pub kind: EndpointListKind,
    /// What the wall clock showed as the list came, by which the nodes' start times were taken. It may be
    /// stepped at any time.
    pub wall_clock: WallClockTime,
    /// The nodes; shared, as many brokers of a simulation may hold one list.
    pub entries: Arc<[Endpoint]>,
}

/// What an endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The nodes that changed.
    Delta,
    /// All nodes: one that is not on it is removed.
    Snapshot,
    /// All nodes as this broker last knew them, possibly out of date.
    Cached,
}

/// One node of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// The placement group that it belongs to.
    pub placement_group: PlacementGroupId,
    /// Whether it may be sent to.
    pub state: EndpointState,
    /// When its process last started, by the wall clock of its machine; none: long ago.
    pub started_at: Option<WallClockTime>,
}

/// What discovery says of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It may be sent to.
    Ready,
    /// It finishes what it has, and gets nothing new.
    Draining,
    /// It is not there any more.
    #[default]
    Removed,
}

/// A query as it comes in.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// Names the query from now on.
    pub id: QueryId,
    /// Ties its shard requests to it.
    pub group: GroupId,
    /// Its request class.
    pub class: ClassId,
    /// Who sent it.
    pub tenant: TenantId,
    /// How long its client will wait.
    pub time_left: TimeSpan,
    /// The work of all its shard requests, roughly, where that is told; else zero.
    pub work: TimeSpan,
    /// How often its client sent it before, where that is told; else 0.
    pub client_attempt: u32,
    /// Only what its minimum coverage needs is to be sent: admission control holds its tenant to a share.
    pub min_coverage_only: bool,
}

/// A shard request as it comes in.
#[derive(Clone, Debug)]
pub struct NewShardRequest {
    /// Names the shard request from now on.
    pub id: ShardRequestId,
    /// The group of its query.
    pub group: GroupId,
    /// The shard that it asks.
    pub shard: ShardId,
    /// Its share of the query's value, from 0 to 1; those of a query add up to 1.
    pub weight: f64,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The shard request that it was for.
    pub shard_request: ShardRequestId,
    /// Its number among the attempts of that shard request.
    pub attempt: AttemptNumber,
    /// The node that it went to.
    pub node: NodeId,
    /// What came of it.
    pub outcome: AttemptOutcome,
    /// The time from its turn to its end.
    pub duration: TimeSpan,
}

/// What came of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node responded.
    Succeeded,
    /// The node responded with an error.
    Errored,
    /// The node refused it unseen.
    Overloaded,
    /// No response came in its time.
    TimedOut,
    /// The node can't have executed it: no connection came up, or its frame was not written completely.
    ConnectFailed,
    /// The connection was lost while it was in flight.
    ConnectionLost,
    /// It was cancelled while it was in flight.
    Cancelled,
    /// It was cancelled before anything was sent.
    NotSent,
    /// It could not be sent for want of something on this broker's own machine: a descriptor, a port, memory.
    /// That says nothing of the node.
    LocalResourceExhausted,
}

/// What came of a probe.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// The node that was probed.
    pub node: NodeId,
    /// The node responded; else the probe failed or timed out.
    pub is_valid: bool,
    /// The node's load report; empty where none came.
    pub report: Vec<(LoadMetric, f64)>,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Shard requests that wait at the node.
    QueueLength,
    /// Shard requests that it serves a second.
    ServiceRate,
    /// One that no decision reads.
    Ignored,
}

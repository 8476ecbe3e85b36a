//! What a broker hears.

use crate::config::BrokerConfig;
use crate::ids::{
    AttemptNumber, ClassId, GroupId, NodeId, PlacementGroupId, QueryId, ShardId, ShardRequestId, TenantId,
    ZoneId,
};
use crate::time::Tenths;
use std::sync::Arc;

/// One thing heard. A front gives a turn all that has come in, in the order in which it came.
#[derive(Clone, Debug)]
pub enum Input {
    /// Word of the nodes.
    EndpointList(EndpointList),
    /// A call for the endpoint list failed, or the following of it broke off; the old roll still holds.
    EndpointListFailed,
    /// What is taken from now on is served so; what is open keeps what it was taken under. The period, the
    /// zone and the way to a node (`send_lag`) must stay as they were at the start.
    Config(Box<BrokerConfig>),
    /// A query is handed over; its shard requests follow in the same turn.
    Query(NewQuery),
    ShardRequest(NewShardRequest),
    /// An attempt's answer has begun to flow; the shard request is bound to that attempt.
    ResponseStarted(ShardRequestId),
    /// The one end of an attempt.
    AttemptEnded(AttemptResult),
    /// The tenant has left, or its time is up.
    ClientLeft(QueryId),
    /// A wake-up that was asked for.
    Woken,
    /// What came of a probe.
    ProbeEnded(ProbeResult),
    /// Word from another broker: heard, and not acted on.
    Ignored,
}

/// A endpoint list: all of them, or those that changed.
#[derive(Clone, Debug)]
pub struct EndpointList {
    pub kind: EndpointListKind,
    pub entries: Arc<[Endpoint]>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Those that changed.
    Delta,
    /// All; who is not on it is gone.
    Snapshot,
    /// All, as this broker last saw it; possibly stale.
    Cached,
}

#[derive(Clone, Debug)]
pub struct Endpoint {
    pub node: NodeId,
    pub zone: ZoneId,
    pub placement_group: PlacementGroupId,
    pub state: EndpointState,
    /// When it last started; none: long ago.
    pub started_at: Option<Tenths>,
}

/// What the endpoint list says of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Removed,
}

#[derive(Clone, Debug)]
pub struct NewQuery {
    pub id: QueryId,
    pub group: GroupId,
    pub class: ClassId,
    pub tenant: TenantId,
    /// How long its tenant will wait.
    pub time_left: Tenths,
    /// The work of all its shard requests, roughly, where that is told; else none.
    pub work: Tenths,
    /// How often its tenant asked for it before, where that is told; else 0.
    pub client_attempt: u32,
    /// Only its minimum coverage is to be sent: what stands before the module holds its tenant to a share.
    pub min_coverage_only: bool,
}

#[derive(Clone, Debug)]
pub struct NewShardRequest {
    pub id: ShardRequestId,
    pub group: GroupId,
    pub shard: ShardId,
    pub weight: f64,
}

#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub shard_request: ShardRequestId,
    pub attempt: AttemptNumber,
    pub node: NodeId,
    pub outcome: AttemptOutcome,
    pub duration: Tenths,
}

/// What came of a probe.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    pub node: NodeId,
    /// It was answered; else it failed, or its time was up.
    pub sound: bool,
    /// The node's load report; empty where none came.
    pub report: Vec<(LoadMetric, f64)>,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Parts that wait.
    QueueLength,
    /// Parts served a second.
    ServiceRate,
    /// One that no decision reads.
    Ignored,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Succeeded,
    /// The node answered with an error.
    Errored,
    /// Turned away unseen.
    Overloaded,
    TimedOut,
    ConnectFailed,
    /// The connection dropped while the attempt was out.
    ConnectionLost,
    Cancelled,
    /// It was never sent.
    NotSent,
}

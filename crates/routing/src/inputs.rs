//! Inputs of a broker.

use crate::config::BrokerConfig;
use crate::ids::{
    AttemptNumber, ClassId, GroupId, NodeId, PlacementGroupId, QueryId, ShardId, ShardRequestId, TenantId,
    ZoneId,
};
use crate::time::{TimeSpan, WallClockTime};
use std::sync::Arc;

/// Event that a front end reports to a broker. A turn receives all events since the previous one, in the order
/// of their arrival.
#[derive(Clone, Debug)]
pub enum Input {
    /// An endpoint list has arrived from discovery.
    EndpointList(EndpointList),
    /// A request for the endpoint list failed, or its watch ended. The last list stays in use.
    EndpointListFailed {
        /// The time since the failed request was sent, or since the failed watch last delivered data. Zero if it is
        /// not known.
        pending: TimeSpan,
    },
    /// The configuration has changed. It applies to queries that are accepted from now on; open queries keep
    /// theirs. The period, the zone and `send_lag` must equal those of the initial configuration.
    Config(Box<BrokerConfig>),
    /// A query has arrived. Its shard requests follow in the same turn.
    Query(NewQuery),
    /// A shard request has arrived for a query that arrived in this turn or that waits for its second phase.
    ShardRequest(NewShardRequest),
    /// The response to an attempt has started to arrive. The shard request then no longer accepts the response
    /// of another attempt.
    ResponseStarted(ShardRequestId),
    /// An attempt has ended. The front end reports this exactly once per attempt.
    AttemptEnded(AttemptResult),
    /// The client of a query has disconnected or stopped waiting.
    ClientLeft(QueryId),
    /// The time that [`Effect::Wake`](crate::Effect::Wake) requested has come.
    Woken,
    /// A probe that [`Effect::Probe`](crate::Effect::Probe) requested has ended.
    ProbeEnded(ProbeResult),
    /// An event has occurred that the broker does not use.
    Ignored,
}

/// Endpoint list that was received from discovery.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Scope of the list.
    pub kind: EndpointListKind,
    /// Wall-clock time at which the list arrived, used to interpret the start times of its nodes. The wall clock
    /// may be stepped at any time.
    pub wall_clock: WallClockTime,
    /// Listed nodes. They are shared because many brokers of a simulation may hold the same list.
    pub entries: Arc<[Endpoint]>,
}

/// Scope of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the nodes that have changed.
    Delta,
    /// All nodes. A node that is not listed has been removed.
    Snapshot,
    /// All nodes that this broker knew when it last stored the list, which may be out of date.
    Cached,
}

/// Entry of an endpoint list, which describes one node.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Identifier of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Placement group of the node.
    pub placement_group: PlacementGroupId,
    /// Whether the node accepts new shard requests.
    pub state: EndpointState,
    /// Start time of the node's process by the wall clock of its machine, or `None` if the process started long
    /// ago.
    pub started_at: Option<WallClockTime>,
}

/// State of a node as reported by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The node accepts new shard requests.
    Ready,
    /// The node finishes its open shard requests and must not receive new ones.
    Draining,
    /// The node has left the cluster.
    #[default]
    Removed,
}

/// Query that a client has sent to this broker.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// Identifier by which later inputs and effects refer to the query.
    pub id: QueryId,
    /// Key that the shard requests of the query carry.
    pub group: GroupId,
    /// Request class of the query.
    pub class: ClassId,
    /// Tenant that sent the query.
    pub tenant: TenantId,
    /// Time for which the client waits for a response.
    pub time_left: TimeSpan,
    /// Estimated execution time of all shard requests together, or zero if the client did not state one.
    pub work: TimeSpan,
    /// Number of times that the client has sent the query before, or 0 if the client did not state it.
    pub client_attempt: u32,
    /// Whether to send only the shard requests that the minimum coverage needs. Admission control sets this to
    /// hold the tenant to its share.
    pub min_coverage_only: bool,
}

/// Part of a new query that reads one shard.
#[derive(Clone, Debug)]
pub struct NewShardRequest {
    /// Identifier by which later inputs and effects refer to the shard request.
    pub id: ShardRequestId,
    /// Key of the query to which the shard request belongs.
    pub group: GroupId,
    /// Shard that the request reads.
    pub shard: ShardId,
    /// Fraction of the query's value, from 0 to 1. The weights of a query add up to 1.
    pub weight: f64,
}

/// Result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Shard request of the attempt.
    pub shard_request: ShardRequestId,
    /// Number of the attempt within its shard request.
    pub attempt: AttemptNumber,
    /// Node to which the attempt was sent.
    pub node: NodeId,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from the call of `Broker::turn` that sent the attempt to its end.
    pub duration: TimeSpan,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node responded without an error.
    Succeeded,
    /// The node responded with an error.
    Errored,
    /// The node rejected the attempt without executing it, because of its load.
    Overloaded,
    /// The node did not respond within the timeout.
    TimedOut,
    /// No connection could be established, or the frame was not written completely, so the node cannot have
    /// executed the attempt.
    ConnectFailed,
    /// The connection was lost while the attempt was in flight.
    ConnectionLost,
    /// The attempt was cancelled after it had been sent.
    Cancelled,
    /// The attempt was cancelled before any of it had been sent.
    NotSent,
    /// The attempt could not be sent because the machine of this broker lacked a resource, such as a file
    /// descriptor, a port or memory. The outcome does not count against the node.
    LocalResourceExhausted,
}

/// Result of a probe for load.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// Probed node.
    pub node: NodeId,
    /// Whether the node responded; `false` if the probe failed or timed out.
    pub is_valid: bool,
    /// Load report of the node, empty if it sent none.
    pub report: Vec<(LoadMetric, f64)>,
}

/// Metric of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Number of shard requests that are queued at the node.
    QueueLength,
    /// Number of shard requests that the node serves per second.
    ServiceRate,
    /// Metric that the broker does not use.
    Ignored,
}

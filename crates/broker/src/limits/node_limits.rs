//! Limits of connections to nodes.

use super::machine::{Capacity, KIB};
use super::to_duration;
use routing::TimeSpan;
use settings::{BrokerSettings, ConnectionSettings};
use std::time::Duration;

/// How long connecting to a node may take where the settings do not say, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// Shard requests in flight on one connection where the settings do not say.
const DEFAULT_CONNECTION_SHARD_REQUESTS: u32 = 1;
/// How long a node keeps an idle connection where the settings do not say.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The share of the node's idle timeout after which the broker closes, so that it closes first.
const IDLE_FRACTION: f64 = 0.8;
/// The longest frame to or from a node: it carries what a body does.
const MAX_FRAME_BYTES: usize = 64 * KIB;
/// Attempts to connect within the connect timeout while this machine is short of something: a shortage of some
/// milliseconds costs little more than it lasts.
const LOCAL_RETRIES_PER_CONNECT: u32 = 32;
/// The divisor of the connect timeout that gives the time within which more of a frame must come.
const PARTIAL_FRAME_DIVISOR: u32 = 4;
/// Cancelled shard requests that are remembered for each one that may be in flight.
const REMEMBERED_CANCELLATIONS_FACTOR: usize = 8;
/// Bounds how long a node that reads nothing holds up a connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of connections to nodes.
#[derive(Clone, Debug)]
pub struct NodeLimits {
    /// Connections to all nodes together.
    pub max_connections: usize,
    /// One frame to or from a node.
    pub max_frame_bytes: usize,
    /// Shard requests in one batch.
    pub max_batch_size: usize,
    /// Shard requests in flight on one connection.
    pub max_connection_shard_requests: usize,
    /// A connection must be established within this.
    pub connect_timeout: Duration,
    /// The wait between attempts to connect that fail because this machine is short of something.
    pub local_retry_interval: Duration,
    /// A frame that was begun must be complete within twice this.
    pub partial_frame_timeout: Duration,
    /// A connection on which nothing came for this long after a batch was written gets no more.
    pub unresponsive_after: Duration,
    /// Cancelled shard requests that are remembered for each connection, to tell a late response from one to an
    /// unknown id.
    pub max_remembered_cancellations: usize,
    /// An attempt that is not written completely this long after its turn is cancelled, or its connection is closed.
    pub attempt_write_timeout: TimeSpan,
    /// A connection is closed when it was idle for this long.
    pub idle_timeout: Duration,
    /// A node that accepts nothing of what is written for this long is disconnected.
    pub write_timeout: Duration,
}

impl NodeLimits {
    pub(super) fn new(capacity: &Capacity, broker_settings: &BrokerSettings) -> NodeLimits {
        let BrokerSettings { broker_config, connections, .. } = broker_settings;
        let default_connect_timeout = TimeSpan::from_ms(DEFAULT_CONNECT_TIMEOUT_MS);
        let connect_timeout_tenths = connections.connect_timeout.unwrap_or(default_connect_timeout);
        let connect_timeout = to_duration(connect_timeout_tenths);
        let max_connection_shard_requests = max_connection_shard_requests(connections);
        let max_batch_size = broker_config.layout.max_batch_size.max(1) as usize;
        NodeLimits {
            max_connections: capacity.node_connections,
            max_frame_bytes: MAX_FRAME_BYTES,
            max_batch_size: max_batch_size.min(max_connection_shard_requests),
            max_connection_shard_requests,
            connect_timeout,
            local_retry_interval: connect_timeout / LOCAL_RETRIES_PER_CONNECT,
            partial_frame_timeout: connect_timeout / PARTIAL_FRAME_DIVISOR,
            unresponsive_after: connect_timeout,
            max_remembered_cancellations: REMEMBERED_CANCELLATIONS_FACTOR * max_connection_shard_requests,
            attempt_write_timeout: connect_timeout_tenths + broker_config.period,
            idle_timeout: idle_timeout(connections),
            write_timeout: WRITE_TIMEOUT,
        }
    }
}

/// The settings' bound on shard requests in flight on one connection; at least one.
fn max_connection_shard_requests(connections: &ConnectionSettings) -> usize {
    connections.max_shard_requests.unwrap_or(DEFAULT_CONNECTION_SHARD_REQUESTS).max(1) as usize
}

/// When the broker closes an idle connection: before its node does.
fn idle_timeout(connections: &ConnectionSettings) -> Duration {
    let kept_by_node = connections.idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, to_duration);
    kept_by_node.mul_f64(IDLE_FRACTION)
}

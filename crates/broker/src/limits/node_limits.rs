//! Limits of connections to nodes.

use super::machine::{Capacity, KIB};
use super::memory;
use super::to_duration;
use routing::TimeSpan;
use settings::{BrokerSettings, ConnectionSettings};
use std::time::Duration;

/// The connect timeout if the settings have none, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// The number of shard requests in flight on one connection if the settings have none.
const DEFAULT_CONNECTION_SHARD_REQUESTS: u32 = 1;
/// The time for which nodes keep idle connections open if the settings have none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The fraction of the node's idle timeout after which the broker closes a connection, so that the node does not
/// close it first.
const IDLE_FRACTION_OF_NODE_TIMEOUT: f64 = 0.8;
/// The maximum length of a frame to or from a node. It equals the maximum length of an HTTP body, whose content
/// frames carry.
const MAX_FRAME_BYTES: usize = 64 * KIB;
/// The number of retries of a connect that fit into the connect timeout if each fails with an error of this machine,
/// such as a lack of ports. With this many retries, a shortage of a few milliseconds causes little additional delay.
const RETRIES_AFTER_LOCAL_ERROR_PER_CONNECT_TIMEOUT: u32 = 32;
/// The number of waits for more bytes of a partial frame that fit into the connect timeout. More bytes must arrive
/// within one such wait.
const PARTIAL_FRAME_WAITS_PER_CONNECT_TIMEOUT: u32 = 4;
/// The number of cancelled shard requests that are remembered for each one that may be in flight.
const REMEMBERED_CANCELLATIONS_PER_IN_FLIGHT: usize = 8;
/// The number of answered shard requests that are remembered. A second copy of a response comes right behind it.
const MAX_REMEMBERED_RESPONSES: usize = 128;
/// Limits how long a node that does not read blocks a connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of connections to nodes.
#[derive(Clone, Debug)]
pub struct NodeLimits {
    /// The maximum number of connections to all nodes together.
    pub max_connections: usize,
    /// The maximum length of a frame to or from a node, without its length prefix.
    pub max_frame_bytes: usize,
    /// The capacity of the buffers of a connection. The memory of longer frames is reserved.
    pub frame_buffer_bytes: usize,
    /// The maximum number of shard requests in a batch.
    pub max_batch_size: usize,
    /// The maximum number of shard requests in flight on one connection.
    pub max_connection_shard_requests: usize,
    /// The time within which a connection must be established.
    pub connect_timeout: Duration,
    /// The time between connection attempts that fail because this machine lacks a resource.
    pub local_retry_interval: Duration,
    /// Half of the time within which a frame must be complete after its first byte was received.
    pub partial_frame_timeout: Duration,
    /// The time without input after a written batch, after which a connection gets no further shard requests.
    pub unresponsive_after: Duration,
    /// The number of cancelled shard requests that are remembered for each connection, to distinguish late responses
    /// from responses with an unknown id. A connection with more of them is given up.
    pub max_remembered_cancellations: usize,
    /// The number of answered shard requests that are remembered for each connection, whose ids are not used on it
    /// again.
    pub max_remembered_responses: usize,
    /// The time after its turn within which an attempt must be written completely. After that the attempt is
    /// cancelled or its connection is closed.
    pub attempt_write_timeout: TimeSpan,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// The time after which a node that does not accept any written bytes is disconnected.
    pub write_timeout: Duration,
}

impl NodeLimits {
    pub(super) fn new(capacity: &Capacity, broker_settings: &BrokerSettings) -> NodeLimits {
        let BrokerSettings { broker_config, connections, .. } = broker_settings;
        let default_connect_timeout = TimeSpan::from_ms(DEFAULT_CONNECT_TIMEOUT_MS);
        let connect_timeout_span = connections.connect_timeout.unwrap_or(default_connect_timeout);
        let connect_timeout = to_duration(connect_timeout_span);
        let max_connection_shard_requests = max_connection_shard_requests(connections);
        let max_batch_size = broker_config.layout.max_batch_size.max(1) as usize;
        NodeLimits {
            max_connections: capacity.node_connections,
            max_frame_bytes: MAX_FRAME_BYTES,
            frame_buffer_bytes: memory::FRAME_BUFFER_BYTES,
            max_batch_size: max_batch_size.min(max_connection_shard_requests),
            max_connection_shard_requests,
            connect_timeout,
            local_retry_interval: connect_timeout / RETRIES_AFTER_LOCAL_ERROR_PER_CONNECT_TIMEOUT,
            partial_frame_timeout: connect_timeout / PARTIAL_FRAME_WAITS_PER_CONNECT_TIMEOUT,
            unresponsive_after: connect_timeout,
            max_remembered_cancellations: REMEMBERED_CANCELLATIONS_PER_IN_FLIGHT
                * max_connection_shard_requests,
            max_remembered_responses: MAX_REMEMBERED_RESPONSES,
            attempt_write_timeout: connect_timeout_span + broker_config.period,
            idle_timeout: idle_timeout(connections),
            write_timeout: WRITE_TIMEOUT,
        }
    }
}

/// Returns the configured or default number of shard requests in flight on one connection; at least 1.
fn max_connection_shard_requests(connections: &ConnectionSettings) -> usize {
    connections.max_shard_requests.unwrap_or(DEFAULT_CONNECTION_SHARD_REQUESTS).max(1) as usize
}

/// Returns the time after which the broker closes an idle connection, which is before the node does so.
fn idle_timeout(connections: &ConnectionSettings) -> Duration {
    let node_idle_timeout = connections.idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, to_duration);
    node_idle_timeout.mul_f64(IDLE_FRACTION_OF_NODE_TIMEOUT)
}

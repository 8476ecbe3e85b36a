//! All sizes, counts and times of the broker on sockets, worked out at the start and handed down.

use routing::discovery_backoff::{self, DiscoveryKind};
use routing::{BrokerConfig, Tenths};
use settings::BrokerSettings;
use std::time::Duration;

/// What the machine gives the broker.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// File descriptors.
    pub sockets: usize,
}

/// What the machine has too little of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitsError {
    /// Too few file descriptors.
    #[error("limits: {sockets} sockets are too few, {needed} are needed")]
    TooFewSockets {
        /// Those that there are.
        sockets: usize,
        /// The least that will do.
        needed: usize,
    },
    /// Too little memory.
    #[error("limits: {memory_mb} MB of memory are too little, {needed_mb} are needed")]
    TooLittleMemory {
        /// What there is, in MiB.
        memory_mb: usize,
        /// The least that will do, in MiB.
        needed_mb: usize,
    },
}

/// The bounds of one broker. Counts of bytes end in `_bytes`, times are durations.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of clients served at once.
    pub max_client_connections: usize,
    /// Connections of clients beyond those, whose requests are rejected.
    pub max_surplus_connections: usize,
    /// Connections of clients that may be kept idle after a response.
    pub max_idle_client_connections: usize,
    /// Connections to nodes.
    pub max_node_connections: usize,
    /// Queries and responses held at once.
    pub max_held_bytes: usize,
    /// The head of a request.
    pub max_head_bytes: usize,
    /// The body of a request.
    pub max_body_bytes: usize,
    /// An endpoint list, as discovery sends it.
    pub max_list_bytes: usize,
    /// The body of a request as it comes in chunks.
    pub max_chunked_body_bytes: usize,
    /// One frame to or from a node.
    pub max_frame_bytes: usize,
    /// The id of a query.
    pub max_query_id_bytes: usize,
    /// How far the weights of a query may be from 1 in sum.
    pub weight_sum_tolerance: f64,
    /// Shard requests in one batch.
    pub max_batch_size: usize,
    /// Shard requests in flight on one connection to a node.
    pub max_connection_shard_requests: usize,
    /// A connection to a node must be established within this.
    pub connect_timeout: Duration,
    /// After a try to connect that failed for want of something on this machine, the next one follows.
    pub local_retry_interval: Duration,
    /// A frame that was begun must be complete within twice this.
    pub partial_frame_timeout: Duration,
    /// A connection on which nothing came for so long after a batch was written gets no more.
    pub unresponsive_after: Duration,
    /// Cancelled shard requests of one connection that are remembered, to tell a late response from a wrong
    /// one.
    pub max_remembered_cancellations: usize,
    /// An attempt that was not written completely by then is taken back, or its connection is cut.
    pub attempt_write_timeout: Tenths,
    /// A connection to a node is closed when it was idle for so long.
    pub node_idle_timeout: Duration,
    /// A node that takes none of what is written for so long is disconnected.
    pub node_write_timeout: Duration,
    /// A client has so long for its first request, for the whole of one, and to take its response.
    pub client_io_timeout: Duration,
    /// A new connection is kept for so long, though it sends nothing and others wait for its place.
    pub new_connection_grace: Duration,
    /// What still comes after the last response is read and dropped for so long.
    pub linger_timeout: Duration,
    /// The rest of a body is waited for so long after the response to its request.
    pub unread_body_timeout: Duration,
    /// How much of it is read.
    pub max_linger_bytes: usize,
    /// Bad requests in a row after which a connection is closed.
    pub max_consecutive_bad_requests: usize,
    /// How long a client's connection may be idle.
    pub keep_alive_timeout: Duration,
    /// How often the connections are checked.
    pub sweep_interval: Duration,
    /// The longest that a client may say it waits.
    pub max_client_wait: Duration,
    /// The broker counts as notified of a change of the endpoint list after this, whether discovery was
    /// reached or not.
    pub assumed_notified_after: Tenths,
    /// A request for the complete endpoint list is given up after this.
    pub list_timeout: Duration,
    /// One such request is waited for so long, while others are made.
    pub patient_list_timeout: Duration,
    /// An agent on the broker's own machine where the settings call the endpoint list automatic; else shared.
    pub discovery_kind: DiscoveryKind,
    /// The wait that discovery is asked for in a watch.
    pub watch_wait: Duration,
    /// What the answer to a watch may take beyond that wait.
    pub watch_slack: Duration,
    /// The shortest time from the start of one list request to that of the next.
    pub list_retry_interval: Duration,
    /// How often a close is looked for that a client hides behind bytes it sent ahead.
    pub close_poll_interval: Duration,
    /// The least time between two turns.
    pub turn_period: Tenths,
}

const KIB: usize = 1024;
/// Descriptors beside those of peers: files, pipes, the listener, discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// The least memory that a broker is started with.
const MIN_MEMORY_MB: usize = 32;
/// What the buffers of one connection may come to: a head, what the HTTP server sets aside, a response.
const CONNECTION_BUFFER_BYTES: usize = 48 * KIB;
/// A longer request head is answered with 431.
const MAX_HEAD_BYTES: usize = 16 * KIB;
/// The longest body; frames carry what bodies do, and have the same bound.
const MAX_BODY_BYTES: usize = 64 * KIB;
/// The largest fleet, in nodes.
const MAX_NODES: usize = 3200;
/// The longest entry of an endpoint list: four times what one takes in the protocol's form, for lists that are
/// indented and for longer names.
const MAX_LIST_ENTRY_BYTES: usize = 640;
/// The share of the memory that a list may take while it is read. It comes out of the quarter that is left beside
/// what traffic may hold.
const LIST_MEMORY_SHARE: usize = 8;
/// Room for the chunks' own lines beside the body that they carry.
const MAX_CHUNKED_BODY_BYTES: usize = 4 * MAX_BODY_BYTES;
/// A query holds its id once more for each of its shard requests, so it is kept short.
const MAX_QUERY_ID_BYTES: usize = 128;
/// Weights may be rounded.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// Where the settings say nothing of it: how long a connection to a node may take.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// How often a connection is tried for within its time where this machine lacks something: a shortage of some
/// milliseconds costs little more than it lasts.
const LOCAL_RETRIES_PER_CONNECT: u32 = 32;
/// Where the settings say nothing of it: how long a node keeps an idle connection.
const DEFAULT_NODE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The broker closes an idle connection before its node would.
const NODE_IDLE_FRACTION: f64 = 0.8;
/// Cancelled shard requests that are remembered for each one that may be in flight.
const REMEMBERED_CANCELLATIONS_FACTOR: usize = 8;
/// Bounds what a node that reads nothing holds up.
const NODE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds how long a slow client keeps a place that others may wait for.
const CLIENT_IO_TIMEOUT: Duration = Duration::from_secs(2);
/// A new connection's first request may have been written already, and needs a moment to be read.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// Closing over unread bytes resets the connection, which may destroy the response: some are read first.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// A client that stops in the middle of a body is answered after [`CLIENT_IO_TIMEOUT`], and gone in 3 s.
const UNREAD_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// As much as the longest body in chunks.
const MAX_LINGER_BYTES: usize = MAX_CHUNKED_BODY_BYTES;
/// Bounds the work for a client that only sends bad requests.
const MAX_CONSECUTIVE_BAD_REQUESTS: usize = 16;
/// Connections beyond the bound on idle ones, or that others need the place of, are closed sooner.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// How late [`CLIENT_IO_TIMEOUT`] may be enforced.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Bounds the time that a client may have a query held.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(600);
/// A client that left while its request waited: an attempt that begins later than this is a break.
const CANCELLED_WITHIN: Duration = Duration::from_millis(100);

/// Connections, and the memory for what they carry.
struct Capacity {
    client_connections: usize,
    surplus_connections: usize,
    idle_client_connections: usize,
    node_connections: usize,
    held_bytes: usize,
    list_bytes: usize,
}

impl Capacity {
    fn new(machine: Machine) -> Result<Capacity, LimitsError> {
        let Machine { memory_mb, sockets } = machine;
        let for_peers = sockets.saturating_sub(RESERVED_DESCRIPTORS);
        if for_peers < RESERVED_DESCRIPTORS {
            return Err(LimitsError::TooFewSockets { sockets, needed: 2 * RESERVED_DESCRIPTORS });
        }
        if memory_mb < MIN_MEMORY_MB {
            return Err(LimitsError::TooLittleMemory { memory_mb, needed_mb: MIN_MEMORY_MB });
        }
        // Three quarters of the memory: what is held, and the buffers of clients and of nodes.
        let quarter = memory_mb * KIB * KIB / 4;
        let max_buffers = quarter / CONNECTION_BUFFER_BYTES;
        // Clients come and go by hundreds, nodes are few: two thirds of the descriptors, and one.
        let from_clients = (for_peers * 2 / 3).min(max_buffers);
        let surplus_connections = from_clients / 8;
        Ok(Capacity {
            client_connections: from_clients - surplus_connections,
            surplus_connections,
            // Clients hold a third of the descriptors at the most; idle ones must leave them some of it.
            idle_client_connections: (sockets / 5).min(from_clients / 2),
            node_connections: (for_peers / 3).min(max_buffers),
            held_bytes: quarter,
            list_bytes: (MAX_NODES * MAX_LIST_ENTRY_BYTES).min(memory_mb * KIB * KIB / LIST_MEMORY_SHARE),
        })
    }
}

/// What the settings say of connections to nodes.
struct NodeConnections {
    connect_timeout: Tenths,
    idle_timeout: Duration,
    max_shard_requests: usize,
}

impl NodeConnections {
    fn new(broker_settings: &BrokerSettings) -> NodeConnections {
        let connections = &broker_settings.connections;
        let connect_timeout =
            connections.connect_timeout.unwrap_or(Tenths::from_ms(DEFAULT_CONNECT_TIMEOUT_MS));
        let kept_by_node = connections.idle_timeout.map_or(DEFAULT_NODE_IDLE_TIMEOUT, to_duration);
        NodeConnections {
            connect_timeout,
            idle_timeout: kept_by_node.mul_f64(NODE_IDLE_FRACTION),
            max_shard_requests: connections.max_shard_requests.unwrap_or(1).max(1) as usize,
        }
    }
}

/// How discovery is asked for the endpoint list.
struct DiscoveryTimes {
    kind: DiscoveryKind,
    watch_wait: Duration,
    list_retry_interval: Duration,
    list_timeout: Duration,
}

impl DiscoveryTimes {
    fn new(config: &BrokerConfig) -> DiscoveryTimes {
        let kind = match config.watch_on_request {
            true => DiscoveryKind::Shared,
            false => DiscoveryKind::LocalAgent,
        };
        let list_retry_interval =
            discovery_backoff::list_retry_interval(to_duration(config.rules.drain_grace));
        DiscoveryTimes {
            kind,
            watch_wait: discovery_backoff::watch_wait(to_duration(config.rules.endpoint_list_max_age)),
            list_retry_interval,
            list_timeout: discovery_backoff::list_timeout(kind, list_retry_interval),
        }
    }
}

impl Limits {
    /// Works out the limits of a broker on this machine with these settings.
    ///
    /// # Errors
    ///
    /// Says what the machine has too little of.
    pub fn new(machine: Machine, broker_settings: &BrokerSettings) -> Result<Limits, LimitsError> {
        let capacity = Capacity::new(machine)?;
        let config = &broker_settings.broker_config;
        let node_connections = NodeConnections::new(broker_settings);
        let discovery = DiscoveryTimes::new(config);
        let max_connection_shard_requests = node_connections.max_shard_requests;
        let configured_batch_size = config.layout.max_batch_size.max(1) as usize;
        let connect_timeout = to_duration(node_connections.connect_timeout);
        Ok(Limits {
            max_client_connections: capacity.client_connections,
            max_surplus_connections: capacity.surplus_connections,
            max_idle_client_connections: capacity.idle_client_connections,
            max_node_connections: capacity.node_connections,
            max_held_bytes: capacity.held_bytes,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            max_list_bytes: capacity.list_bytes,
            max_chunked_body_bytes: MAX_CHUNKED_BODY_BYTES,
            max_frame_bytes: MAX_BODY_BYTES,
            max_query_id_bytes: MAX_QUERY_ID_BYTES,
            weight_sum_tolerance: WEIGHT_SUM_TOLERANCE,
            max_batch_size: configured_batch_size.min(max_connection_shard_requests),
            max_connection_shard_requests,
            connect_timeout,
            local_retry_interval: connect_timeout / LOCAL_RETRIES_PER_CONNECT,
            partial_frame_timeout: connect_timeout / 4,
            unresponsive_after: connect_timeout,
            max_remembered_cancellations: REMEMBERED_CANCELLATIONS_FACTOR * max_connection_shard_requests,
            attempt_write_timeout: node_connections.connect_timeout + config.period,
            node_idle_timeout: node_connections.idle_timeout,
            node_write_timeout: NODE_WRITE_TIMEOUT,
            client_io_timeout: CLIENT_IO_TIMEOUT,
            new_connection_grace: NEW_CONNECTION_GRACE,
            linger_timeout: LINGER_TIMEOUT,
            unread_body_timeout: UNREAD_BODY_TIMEOUT,
            max_linger_bytes: MAX_LINGER_BYTES,
            max_consecutive_bad_requests: MAX_CONSECUTIVE_BAD_REQUESTS,
            keep_alive_timeout: KEEP_ALIVE_TIMEOUT,
            sweep_interval: SWEEP_INTERVAL,
            max_client_wait: MAX_CLIENT_WAIT,
            assumed_notified_after: Tenths::from_ms(
                discovery_backoff::NOTIFIED_AFTER_SILENCE.as_millis() as f64
            ),
            list_timeout: discovery.list_timeout,
            patient_list_timeout: discovery_backoff::PATIENT_LIST_TIMEOUT,
            discovery_kind: discovery.kind,
            watch_wait: discovery.watch_wait,
            watch_slack: discovery_backoff::WATCH_SLACK,
            list_retry_interval: discovery.list_retry_interval,
            close_poll_interval: CANCELLED_WITHIN / 3,
            turn_period: config.period,
        })
    }
}

/// A time of the routing decisions as one of the runtime; a negative one is zero.
pub fn to_duration(tenths: Tenths) -> Duration {
    Duration::from_micros(u64::try_from(tenths.0).unwrap_or(0).saturating_mul(100))
}

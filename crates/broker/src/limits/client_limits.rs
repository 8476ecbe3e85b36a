//! Limits of client connections.

use super::machine::Capacity;
use super::request_limits::MAX_CHUNKED_BODY_BYTES;
use std::time::Duration;

/// Bounds how long a slow client keeps a connection that others may wait for.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// A new connection's first request may have been written already, and needs a moment to be read.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// Closing over unread bytes resets the connection, which may destroy the response: some are read first.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// A client that stops in the middle of a body is answered after [`IO_TIMEOUT`], and disconnected within 3 s.
const UNREAD_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// As much as the longest body in chunks.
const MAX_LINGER_BYTES: usize = MAX_CHUNKED_BODY_BYTES;
/// Bounds the work for a client that only sends bad requests.
const MAX_CONSECUTIVE_BAD_REQUESTS: usize = 16;
/// Connections beyond the bound on idle ones, or whose place is needed, are closed sooner.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// How late [`IO_TIMEOUT`] may be enforced.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often slow and idle connections are looked for while the server closes.
const CLOSING_SWEEP_INTERVAL: Duration = Duration::from_millis(25);
/// A shortage that kept a connection from being accepted may be over by then.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// No attempt of a query may begin later than this after its client has left.
const CANCELLED_WITHIN: Duration = Duration::from_millis(100);
/// Closes that are looked for within [`CANCELLED_WITHIN`]; the rest is for the turns that act on one.
const CLOSE_POLLS_UNTIL_CANCELLED: u32 = 3;

/// Limits of client connections.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Connections served at once.
    pub max_connections: usize,
    /// Connections beyond those, whose requests are rejected.
    pub max_surplus_connections: usize,
    /// Connections that may be kept idle after a response.
    pub max_idle_connections: usize,
    /// How long a client may take for its first request, for one whole request, and to read its response.
    pub io_timeout: Duration,
    /// How long a new connection is kept that sends nothing while others wait for its place.
    pub new_connection_grace: Duration,
    /// How long input that follows the last response is read and dropped.
    pub linger_timeout: Duration,
    /// How much of that input is read.
    pub max_linger_bytes: usize,
    /// How long the rest of a body is waited for after the response to its request.
    pub unread_body_timeout: Duration,
    /// Bad requests in a row after which a connection is closed.
    pub max_consecutive_bad_requests: usize,
    /// How long a connection may be idle.
    pub keep_alive_timeout: Duration,
    /// How often the connections are checked for slow clients.
    pub sweep_interval: Duration,
    /// How often they are checked while the server closes.
    pub closing_sweep_interval: Duration,
    /// How long no connection is accepted after one could not be.
    pub accept_retry_interval: Duration,
    /// How often a connection is checked for a close that is hidden behind unread bytes.
    pub close_poll_interval: Duration,
}

impl ClientLimits {
    pub(super) fn new(capacity: &Capacity) -> ClientLimits {
        ClientLimits {
            max_connections: capacity.client_connections,
            max_surplus_connections: capacity.surplus_connections,
            max_idle_connections: capacity.idle_client_connections,
            io_timeout: IO_TIMEOUT,
            new_connection_grace: NEW_CONNECTION_GRACE,
            linger_timeout: LINGER_TIMEOUT,
            max_linger_bytes: MAX_LINGER_BYTES,
            unread_body_timeout: UNREAD_BODY_TIMEOUT,
            max_consecutive_bad_requests: MAX_CONSECUTIVE_BAD_REQUESTS,
            keep_alive_timeout: KEEP_ALIVE_TIMEOUT,
            sweep_interval: SWEEP_INTERVAL,
            closing_sweep_interval: CLOSING_SWEEP_INTERVAL,
            accept_retry_interval: ACCEPT_RETRY_INTERVAL,
            close_poll_interval: CANCELLED_WITHIN / CLOSE_POLLS_UNTIL_CANCELLED,
        }
    }
}

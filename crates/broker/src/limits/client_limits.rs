//! Limits of client connections.

use super::machine::{Capacity, KIB};
use super::memory::{self, ReadSizes};
use super::request_limits::MAX_CHUNKED_BODY_BYTES;
use std::time::Duration;

/// Limits how long a slow client occupies a connection that other clients may be waiting for.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// The time allowed for reading the first request of a new connection, which the client may already have written.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// The number of times that the wait for room fits into [`IO_TIMEOUT`]. Clients that have not completed a request for
/// this long yield to others that wait to be accepted.
const ROOM_WAITS_PER_IO_TIMEOUT: u32 = 8;
/// The interval between checks for room while connections wait.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The time for which input is drained before a connection closes. Closing a socket with unread input resets the
/// connection, and the client may lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// A client that stops sending in the middle of a body is answered after [`IO_TIMEOUT`] and must be disconnected
/// within 3 s.
const UNREAD_BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Allows for the unread rest of the longest chunked body.
const MAX_LINGER_BYTES: usize = MAX_CHUNKED_BODY_BYTES;
/// Limits the work for a client that only sends invalid requests.
const MAX_CONSECUTIVE_BAD_REQUESTS: usize = 16;
/// The idle timeout while connections are plentiful. Connections are closed earlier if too many are idle or other
/// clients are waiting.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum delay with which [`IO_TIMEOUT`] is enforced.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between checks for slow and idle connections while the server closes.
const CLOSING_SWEEP_INTERVAL: Duration = Duration::from_millis(25);
/// The wait after a failed accept, during which a shortage of resources may end.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// After a client has disconnected, no attempt of its query may start later than this.
const MAX_CANCEL_DELAY: Duration = Duration::from_millis(100);
/// The divisor of [`MAX_CANCEL_DELAY`] that gives the interval between checks for a closed connection. It leaves time
/// for the turns that cancel the query.
const CLOSE_POLLS_PER_CANCEL_DELAY: u32 = 3;

/// The divisor of [`MAX_CANCEL_DELAY`] that gives the interval at which excess input is discarded.
const DISCARDS_PER_CANCEL_DELAY: u32 = 10;
/// The divisor of [`MAX_CANCEL_DELAY`] that gives the time in which the end of excess input must be reached. It leaves
/// time for the turns that cancel the query.
const DISCARD_TIMES_PER_CANCEL_DELAY: u32 = 2;
/// The bytes of excess input that are discarded at once. In the time for it, this is more than the systems of both sides
/// hold by default.
const MAX_DISCARDED_BYTES: usize = 1024 * KIB;
/// Holds the longest excess input that is not discarded, also in small segments, each of which takes several times its
/// length. A close behind such input is then received.
const RECEIVE_BUFFER_BYTES: usize = 512 * KIB;

/// Limits of client connections.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// The maximum number of connections that are served at the same time.
    pub max_connections: usize,
    /// The number of connections accepted beyond `max_connections`. Their requests are rejected with 503.
    pub max_surplus_connections: usize,
    /// The maximum number of connections that are open, including those whose last response was written.
    pub max_open_connections: usize,
    /// The maximum number of connections that are kept open while idle.
    pub max_idle_connections: usize,
    /// The time allowed for a client to begin its first request, to send a complete request, and to read a response.
    pub io_timeout: Duration,
    /// The time for which a new connection without a request is kept while other clients wait for a connection.
    pub new_connection_grace: Duration,
    /// The maximum time for which input after the last response is read and discarded.
    pub linger_timeout: Duration,
    /// The maximum number of bytes that are read and discarded after the last response.
    pub max_linger_bytes: usize,
    /// How many bytes are read at once.
    pub read_sizes: ReadSizes,
    /// The maximum length of a head that fits into the HTTP library's initial buffer.
    pub short_head_bytes: usize,
    /// The memory that is reserved for a longer head.
    pub long_head_bytes: usize,
    /// The maximum number of bytes of a response that are buffered at once.
    pub response_write_bytes: usize,
    /// The time to wait for the rest of a body whose request was already answered.
    pub unread_body_timeout: Duration,
    /// The number of consecutive invalid requests after which a connection is closed.
    pub max_consecutive_bad_requests: usize,
    /// The maximum time for which a connection may be idle.
    pub keep_alive_timeout: Duration,
    /// The interval between checks for room while connections wait.
    pub room_check_interval: Duration,
    /// The interval between checks for slow clients.
    pub sweep_interval: Duration,
    /// The interval between checks for slow clients while the server closes.
    pub closing_sweep_interval: Duration,
    /// The time to wait after a failed accept before the next one.
    pub accept_retry_interval: Duration,
    /// The interval between checks for a closed connection whose end of file is hidden behind unread bytes.
    pub close_poll_interval: Duration,
    /// The interval at which excess input behind a request is discarded.
    pub discard_interval: Duration,
    /// The time within which the end of excess input must be reached. A query whose client sends more is failed, as a
    /// close behind the input would be noticed too late.
    pub max_discard_time: Duration,
    /// The number of bytes of excess input that are discarded at once.
    pub max_discarded_bytes: usize,
    /// The size of the system's receive buffer.
    pub receive_buffer_bytes: usize,
}

impl ClientLimits {
    /// Returns the time for which an incomplete request may hold a connection while others wait for room. They wait for
    /// at most twice this time.
    pub fn max_room_wait(&self) -> Duration {
        self.io_timeout / ROOM_WAITS_PER_IO_TIMEOUT
    }

    pub(super) fn new(capacity: &Capacity) -> ClientLimits {
        ClientLimits {
            max_connections: capacity.client_connections,
            max_surplus_connections: capacity.surplus_connections,
            max_open_connections: capacity.client_descriptors,
            max_idle_connections: capacity.idle_client_connections,
            io_timeout: IO_TIMEOUT,
            new_connection_grace: NEW_CONNECTION_GRACE,
            linger_timeout: LINGER_TIMEOUT,
            max_linger_bytes: MAX_LINGER_BYTES,
            read_sizes: memory::READ_SIZES,
            short_head_bytes: memory::SHORT_HEAD_BYTES,
            long_head_bytes: memory::LONG_HEAD_BYTES,
            response_write_bytes: memory::RESPONSE_WRITE_BYTES,
            unread_body_timeout: UNREAD_BODY_TIMEOUT,
            max_consecutive_bad_requests: MAX_CONSECUTIVE_BAD_REQUESTS,
            keep_alive_timeout: KEEP_ALIVE_TIMEOUT,
            room_check_interval: ROOM_CHECK_INTERVAL,
            sweep_interval: SWEEP_INTERVAL,
            closing_sweep_interval: CLOSING_SWEEP_INTERVAL,
            accept_retry_interval: ACCEPT_RETRY_INTERVAL,
            close_poll_interval: MAX_CANCEL_DELAY / CLOSE_POLLS_PER_CANCEL_DELAY,
            discard_interval: MAX_CANCEL_DELAY / DISCARDS_PER_CANCEL_DELAY,
            max_discard_time: MAX_CANCEL_DELAY / DISCARD_TIMES_PER_CANCEL_DELAY,
            max_discarded_bytes: MAX_DISCARDED_BYTES,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
        }
    }
}

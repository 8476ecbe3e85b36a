//! One client connection: the state of its current request, and what decides when it is closed.

use crate::limits::Limits;
use actix_http::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Waker};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How far a connection has come with its current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Nothing of a request was read.
    Idle,
    /// The beginning of a request was read.
    ReadingRequest {
        /// When its first bytes were read.
        since: Instant,
    },
    /// A request is handled.
    HandlingRequest {
        /// Its body was read completely; what follows stays unread until the response is made.
        is_body_complete: bool,
    },
    /// The last response is being written. Only the end of the connection leads out of this state.
    Closing {
        /// What the client still sends has to be read by the server. Where it is the rest of a body, the HTTP library
        /// reads it.
        must_drain_input: bool,
        /// When input that follows the last request was first read.
        reading_since: Option<Instant>,
        /// When the last response was made.
        since: Instant,
    },
}

impl ConnectionState {
    /// The state once bytes have been read.
    fn after_read(self, now: Instant) -> ConnectionState {
        match self {
            ConnectionState::Idle => ConnectionState::ReadingRequest { since: now },
            ConnectionState::Closing { must_drain_input, reading_since, since } => {
                let reading_since = reading_since.or(Some(now));
                ConnectionState::Closing { must_drain_input, reading_since, since }
            }
            ConnectionState::ReadingRequest { .. } | ConnectionState::HandlingRequest { .. } => self,
        }
    }

    /// When the first bytes were read of input that is no complete request yet.
    fn reading_since(self) -> Option<Instant> {
        match self {
            ConnectionState::ReadingRequest { since } => Some(since),
            ConnectionState::Closing { reading_since, .. } => reading_since,
            ConnectionState::Idle | ConnectionState::HandlingRequest { .. } => None,
        }
    }
}

/// One client connection, as the server and the connection's task share it.
pub(super) struct Connection {
    /// The limits of clients and requests.
    pub limits: Rc<Limits>,
    /// It was accepted beyond the bound on connections: its queries are rejected.
    pub is_surplus: bool,
    /// It closes with the response to the current or next request.
    pub close_after_response: Cell<bool>,
    /// A request of its client was handled.
    pub has_served_request: Cell<bool>,
    /// A query of its client was accepted.
    pub has_accepted_query: Cell<bool>,
    /// How far the current request is.
    state: Cell<ConnectionState>,
    /// Bytes that have been read for the current request; `usize::MAX` once its bound was met.
    bytes_read: Cell<usize>,
    /// Since when the client has not read all that was written.
    write_blocked_since: Cell<Option<Instant>>,
    /// When the last request ended, or the connection was accepted.
    last_used_at: Cell<Instant>,
    /// Requests in a row that were answered with a client error.
    consecutive_client_errors: Cell<usize>,
    /// Written in place of the HTTP library's response when the connection is closed on request.
    closing_status: Cell<Option<StatusCode>>,
    /// Wakes the connection's task, which reads nothing until the current request has its response.
    paused_reader: Cell<Option<Waker>>,
    /// Notified when the connection is to end.
    close_requested: Notify,
}

/// How much may be read in one state.
struct ReadLimit {
    /// Bytes of the current request or, after the last response, of what follows it.
    max_bytes: usize,
    /// With which status a connection ends that goes beyond; `None`: nothing more is read.
    status_beyond: Option<StatusCode>,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(limits: Rc<Limits>, is_surplus: bool) -> Connection {
        Connection {
            limits,
            is_surplus,
            close_after_response: Cell::default(),
            has_served_request: Cell::default(),
            has_accepted_query: Cell::default(),
            state: Cell::new(ConnectionState::Idle),
            bytes_read: Cell::default(),
            write_blocked_since: Cell::default(),
            last_used_at: Cell::new(Instant::now()),
            consecutive_client_errors: Cell::default(),
            closing_status: Cell::default(),
            paused_reader: Cell::default(),
            close_requested: Notify::new(),
        }
    }

    /// Whether it may be closed to make room. A new connection may not be for a moment: its first request may have been
    /// written already.
    pub fn is_idle(&self) -> bool {
        let past_first_moment =
            || self.last_used_at.get().elapsed() > self.limits.clients.new_connection_grace;
        self.is_at_rest() && (self.has_served_request.get() || past_first_moment())
    }

    /// Whether nothing is read, handled or written on it.
    pub fn is_at_rest(&self) -> bool {
        !self.is_handling_request()
            && self.reading_since().is_none()
            && self.write_blocked_since.get().is_none()
    }

    /// Whether a request is handled.
    pub fn is_handling_request(&self) -> bool {
        matches!(self.state.get(), ConnectionState::HandlingRequest { .. })
    }

    /// Whether the request that is handled has been read completely.
    pub fn is_body_complete(&self) -> bool {
        self.state.get() == ConnectionState::HandlingRequest { is_body_complete: true }
    }

    /// Whether the last response was made.
    pub fn is_closing(&self) -> bool {
        matches!(self.state.get(), ConnectionState::Closing { .. })
    }

    /// Whether input that follows the last request has to be read before the socket is closed.
    pub fn must_drain_input(&self) -> bool {
        matches!(self.state.get(), ConnectionState::Closing { must_drain_input: true, .. })
    }

    /// Since when the HTTP library has waited for the rest of a body whose response is written.
    pub fn awaiting_unread_body_since(&self) -> Option<Instant> {
        match self.state.get() {
            ConnectionState::Closing { must_drain_input: false, since, .. } => {
                self.write_blocked_since.get().is_none().then_some(since)
            }
            _ => None,
        }
    }

    /// When the first bytes were read of input that is no complete request yet.
    pub fn reading_since(&self) -> Option<Instant> {
        self.state.get().reading_since()
    }

    /// Since when the client has not read all that was written.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    /// When the last request ended; at first, when the connection was accepted.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at.get()
    }

    /// Ends the connection, after a response with `closing_status` if there is one. Its task does so when it is polled
    /// next.
    pub fn request_close(&self, closing_status: Option<StatusCode>) {
        self.closing_status.set(closing_status);
        self.close_requested.notify_one();
    }

    /// Completes once [`Connection::request_close`] was called.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// The status of the response with which the connection ends.
    pub fn closing_status(&self) -> Option<StatusCode> {
        self.closing_status.get()
    }

    /// Whether more may be read of the current request; a connection whose request is too long is closed. The HTTP
    /// library itself reads without bound before it parses what it has.
    pub fn may_read_more(&self, context: &Context) -> bool {
        let limit = self.read_limit();
        if self.bytes_read.get() < limit.max_bytes {
            return true;
        }
        let Some(status_beyond) = limit.status_beyond else { return false };
        // The library parses what it has before it reads again. If it reads again, the head or body was not complete
        // within the limit, and is too long.
        if self.bytes_read.replace(usize::MAX) == usize::MAX {
            self.request_close(Some(status_beyond));
        } else {
            context.waker().wake_by_ref();
        }
        false
    }

    /// What may be read in the present state.
    fn read_limit(&self) -> ReadLimit {
        let Limits { clients, requests, .. } = &*self.limits;
        match self.state.get() {
            ConnectionState::Closing { .. } => {
                ReadLimit { max_bytes: clients.max_linger_bytes, status_beyond: None }
            }
            ConnectionState::HandlingRequest { .. } => ReadLimit {
                max_bytes: requests.max_chunked_body_bytes,
                status_beyond: Some(StatusCode::PAYLOAD_TOO_LARGE),
            },
            ConnectionState::Idle | ConnectionState::ReadingRequest { .. } => ReadLimit {
                max_bytes: requests.max_head_bytes,
                status_beyond: Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            },
        }
    }

    /// Notes that `count` bytes were read.
    pub fn note_read(&self, count: usize) {
        self.bytes_read.set(self.bytes_read.get().saturating_add(count));
        if count > 0 {
            self.state.set(self.state.get().after_read(Instant::now()));
        }
    }

    /// Notes whether a write was accepted completely.
    pub fn note_write(&self, is_complete: bool) {
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set((!is_complete).then_some(since));
    }

    /// Keeps the waker of the connection's task until the current request has its response.
    pub fn pause_reader(&self, context: &Context) {
        self.paused_reader.set(Some(context.waker().clone()));
    }

    /// Begins to handle a request; the guard lives for as long as it is handled.
    pub fn begin_request(&self) -> RequestGuard<'_> {
        let arrived = self.reading_since().unwrap_or_else(Instant::now);
        self.bytes_read.set(0);
        self.state.set(ConnectionState::HandlingRequest { is_body_complete: false });
        RequestGuard { connection: self, arrived }
    }

    /// Notes that the request that is handled has been read completely.
    pub fn complete_body(&self) {
        self.state.set(ConnectionState::HandlingRequest { is_body_complete: true });
    }

    /// Counts client errors in a row; `true`: the bound is reached, and the connection is to be closed.
    pub fn count_client_error(&self, is_client_error: bool) -> bool {
        let errors = if is_client_error { self.consecutive_client_errors.get() + 1 } else { 0 };
        self.consecutive_client_errors.set(errors);
        errors >= self.limits.clients.max_consecutive_bad_requests
    }
}

/// Marks a connection as handling a request. Dropped without a response, because the client has left, it leaves the
/// connection idle.
pub(super) struct RequestGuard<'a> {
    connection: &'a Connection,
    /// When the first bytes of the request were read.
    pub arrived: Instant,
}

impl RequestGuard<'_> {
    /// The request has its response, and the connection stays open.
    pub fn finish(self) {}

    /// The request has its response, which is the connection's last.
    pub fn finish_and_close(self, must_drain_input: bool) {
        let since = Instant::now();
        self.connection.state.set(ConnectionState::Closing { must_drain_input, reading_since: None, since });
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        let connection = self.connection;
        if connection.is_handling_request() {
            connection.state.set(ConnectionState::Idle);
        }
        connection.bytes_read.set(0);
        connection.paused_reader.take().into_iter().for_each(Waker::wake);
        connection.last_used_at.set(Instant::now());
        connection.has_served_request.set(true);
    }
}

#[cfg(test)]
mod tests;

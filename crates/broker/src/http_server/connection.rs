//! One client connection: the state of its current request, and the conditions under which it is closed.

use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, Reservation};
use actix_http::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Waker};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of a connection with regard to its current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// No byte of a request has been read.
    Idle,
    /// The beginning of a request has been read.
    ReadingRequest {
        /// The time at which the first bytes of the request were read.
        since: Instant,
    },
    /// A request is being handled.
    HandlingRequest {
        /// The time at which the first bytes of the request were read.
        since: Instant,
        /// Whether the request's body was read completely, in which case nothing more is read until the response is
        /// made.
        is_body_complete: bool,
    },
    /// The last response is being written. The connection stays in this state until it ends.
    Closing {
        /// Whether the server has to read the input that still arrives. The HTTP library reads it if it is the rest
        /// of a body.
        must_drain_input: bool,
        /// The time at which input that follows the last request was first read.
        reading_since: Option<Instant>,
        /// The time at which the last response was made.
        since: Instant,
    },
}

impl ConnectionState {
    /// Returns the state that follows when bytes have been read.
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

    /// Returns the time at which the first bytes of an incomplete request, or of input after the last request, were
    /// read.
    fn reading_since(self) -> Option<Instant> {
        match self {
            ConnectionState::ReadingRequest { since } => Some(since),
            ConnectionState::Closing { reading_since, .. } => reading_since,
            ConnectionState::Idle | ConnectionState::HandlingRequest { .. } => None,
        }
    }
}

/// One client connection, shared by the server and the connection's task.
pub(super) struct Connection {
    /// The limits on clients and requests.
    pub limits: Rc<Limits>,
    /// Whether the connection was accepted beyond the limit on connections, in which case its queries are rejected.
    pub is_surplus: bool,
    /// Whether the connection closes with the response to the current or next request.
    pub close_after_response: Cell<bool>,
    /// Whether any request on the connection has been handled.
    pub has_served_request: Cell<bool>,
    /// Whether any query on the connection was accepted.
    pub has_accepted_query: Cell<bool>,
    /// The state with regard to the current request.
    state: Cell<ConnectionState>,
    /// The number of bytes read for the current request; `usize::MAX` once the limit has been reached.
    bytes_read: Cell<usize>,
    /// The number of bytes of the current request's body that were not read when it began; `None` if the body is in
    /// chunks, whose length is not known.
    body_bytes_left: Cell<Option<usize>>,
    /// The number of bytes of the current response that the HTTP library has not buffered.
    response_bytes_left: Cell<usize>,
    /// The memory that clients and queries share.
    memory: Rc<MemoryBudget>,
    /// The memory of a head that is longer than the HTTP library's initial buffer.
    head_memory: Cell<Option<Reservation>>,
    /// The time since which the client has not read everything that was written.
    write_blocked_since: Cell<Option<Instant>>,
    /// The time at which the last request ended, or the connection was accepted.
    last_used_at: Cell<Instant>,
    /// The time at which bytes were last read.
    last_read_at: Cell<Instant>,
    /// The time at which a connection was accepted whose first request has waited for room.
    waiting_since: Cell<Option<Instant>>,
    /// The number of consecutive requests that were answered with a client error.
    consecutive_client_errors: Cell<usize>,
    /// The status of the response that is written instead of the HTTP library's when the connection is closed on
    /// request.
    closing_status: Cell<Option<StatusCode>>,
    /// The waker of the connection's task, which reads nothing until the current request has its response.
    paused_reader: Cell<Option<Waker>>,
    /// Whether the connection should end.
    is_close_requested: Cell<bool>,
    /// Notified when the connection should end.
    close_requested: Notify,
}

/// The limit on reading in one state of a connection.
struct ReadLimit {
    /// The limit on the bytes of the current request or, after the last response, of the input that follows.
    max_bytes: usize,
    /// The status with which a connection that exceeds the limit ends; `None` if the rest is left unread instead.
    excess_status: Option<StatusCode>,
}

impl Connection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(limits: Rc<Limits>, memory: Rc<MemoryBudget>, is_surplus: bool) -> Connection {
        Connection {
            limits,
            is_surplus,
            close_after_response: Cell::default(),
            has_served_request: Cell::default(),
            has_accepted_query: Cell::default(),
            state: Cell::new(ConnectionState::Idle),
            bytes_read: Cell::default(),
            body_bytes_left: Cell::default(),
            response_bytes_left: Cell::default(),
            memory,
            head_memory: Cell::default(),
            write_blocked_since: Cell::default(),
            last_used_at: Cell::new(Instant::now()),
            last_read_at: Cell::new(Instant::now()),
            waiting_since: Cell::default(),
            consecutive_client_errors: Cell::default(),
            closing_status: Cell::default(),
            paused_reader: Cell::default(),
            is_close_requested: Cell::default(),
            close_requested: Notify::new(),
        }
    }

    /// Returns whether the connection may be closed to make room. A new connection may not be closed for a short
    /// time, because its first request may already be on the way.
    pub fn is_idle(&self) -> bool {
        let is_past_grace = || self.last_used_at.get().elapsed() > self.limits.clients.new_connection_grace;
        self.is_quiescent() && (self.has_served_request.get() || is_past_grace())
    }

    /// Returns whether nothing is being read, handled or written on the connection.
    pub fn is_quiescent(&self) -> bool {
        !self.is_handling_request()
            && self.reading_since().is_none()
            && self.write_blocked_since.get().is_none()
    }

    /// Returns whether the beginning of a request has been read that is not being handled yet.
    pub fn is_reading_request(&self) -> bool {
        matches!(self.state.get(), ConnectionState::ReadingRequest { .. })
    }

    /// Returns the number of bytes read for the current request; `usize::MAX` once the limit has been reached.
    pub fn bytes_read(&self) -> usize {
        self.bytes_read.get()
    }

    /// Returns whether a request is being handled.
    pub fn is_handling_request(&self) -> bool {
        matches!(self.state.get(), ConnectionState::HandlingRequest { .. })
    }

    /// Returns whether a request is being handled whose body has been read completely.
    pub fn is_body_complete(&self) -> bool {
        matches!(self.state.get(), ConnectionState::HandlingRequest { is_body_complete: true, .. })
    }

    /// Returns whether the last response was made.
    pub fn is_closing(&self) -> bool {
        matches!(self.state.get(), ConnectionState::Closing { .. })
    }

    /// Returns whether input that follows the last request has to be read before the socket is closed.
    pub fn must_drain_input(&self) -> bool {
        matches!(self.state.get(), ConnectionState::Closing { must_drain_input: true, .. })
    }

    /// Returns the time since which the HTTP library has waited for the rest of a body whose response is written, or
    /// `None` if it is not waiting for one.
    pub fn awaiting_unread_body_since(&self) -> Option<Instant> {
        match self.state.get() {
            ConnectionState::Closing { must_drain_input: false, since, .. } => {
                self.write_blocked_since.get().is_none().then_some(since)
            }
            _ => None,
        }
    }

    /// Returns the time at which the first bytes of an incomplete request, or of input after the last request, were
    /// read.
    pub fn reading_since(&self) -> Option<Instant> {
        self.state.get().reading_since()
    }

    /// Returns the time at which the first bytes of an incomplete request, head or body, were read.
    pub fn incomplete_request_since(&self) -> Option<Instant> {
        match self.state.get() {
            ConnectionState::ReadingRequest { since }
            | ConnectionState::HandlingRequest { since, is_body_complete: false } => Some(since),
            _ => None,
        }
    }

    /// Returns the time at which bytes were last read.
    pub fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// Records that the first request has waited for room since `accepted_at`.
    pub fn set_waiting_since(&self, accepted_at: Instant) {
        self.waiting_since.set(Some(accepted_at));
    }

    /// Returns the time since which the client has not read everything that was written, or `None` if it has.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    /// Returns the time at which the last request ended, or the connection was accepted.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at.get()
    }

    /// Requests the end of the connection, after a response with `closing_status` if that is given. The connection's
    /// task acts on the request when it is polled next.
    pub fn request_close(&self, closing_status: Option<StatusCode>) {
        self.closing_status.set(closing_status);
        self.is_close_requested.set(true);
        self.close_requested.notify_one();
    }

    /// Returns whether [`Connection::request_close`] has been called.
    pub fn is_close_requested(&self) -> bool {
        self.is_close_requested.get()
    }

    /// Completes once [`Connection::request_close`] has been called.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Returns the status of the response with which the connection ends, if one is to be written.
    pub fn closing_status(&self) -> Option<StatusCode> {
        self.closing_status.get()
    }

    /// Returns whether more may be read of the current request. A connection whose request is too long is closed. The
    /// HTTP library itself would read without limit before it parses its buffer.
    pub fn may_read_more(&self, context: &Context) -> bool {
        let limit = self.read_limit();
        if self.bytes_read.get() < limit.max_bytes {
            return self.has_memory_for_head();
        }
        let Some(excess_status) = limit.excess_status else { return false };
        // The library parses its buffer before it reads again. If it does read again, the head or body was not
        // complete within the limit, so the request is too long.
        if self.bytes_read.replace(usize::MAX) == usize::MAX {
            self.request_close(Some(excess_status));
        } else {
            context.waker().wake_by_ref();
        }
        false
    }

    /// Reserves memory for a head that does not fit into the HTTP library's initial buffer. If there is none, the
    /// request is rejected, and the connection is closed.
    fn has_memory_for_head(&self) -> bool {
        let clients = &self.limits.clients;
        if !self.is_reading_request() || self.bytes_read.get() < clients.short_head_bytes {
            return true;
        }
        let memory = self.head_memory.take().or_else(|| self.memory.try_reserve(clients.long_head_bytes));
        let has_memory = memory.is_some();
        self.head_memory.set(memory);
        if !has_memory {
            self.request_close(Some(StatusCode::SERVICE_UNAVAILABLE));
        }
        has_memory
    }

    /// Returns how many bytes may be read before the HTTP library decodes its buffer, in which `undecoded` bytes are
    /// new.
    pub fn max_read_bytes(&self, undecoded: usize) -> usize {
        let sizes = &self.limits.clients.read_sizes;
        let size = match (self.state.get(), self.body_bytes_left.get()) {
            (ConnectionState::Idle | ConnectionState::ReadingRequest { .. }, _) | (_, Some(0)) => sizes.head,
            (ConnectionState::HandlingRequest { .. }, Some(left)) => sizes.body.min(undecoded + left),
            (ConnectionState::HandlingRequest { .. }, None) => sizes.chunked_body,
            (ConnectionState::Closing { .. }, Some(left)) => sizes.dropped_body.min(undecoded + left),
            (ConnectionState::Closing { .. }, None) => sizes.dropped_chunked_body,
        };
        size.saturating_sub(undecoded)
    }

    /// Returns the limit on reading in the current state.
    fn read_limit(&self) -> ReadLimit {
        let Limits { clients, requests, .. } = &*self.limits;
        match self.state.get() {
            ConnectionState::Closing { .. } => {
                ReadLimit { max_bytes: clients.max_linger_bytes, excess_status: None }
            }
            ConnectionState::HandlingRequest { .. } => ReadLimit {
                max_bytes: requests.max_chunked_body_bytes,
                excess_status: Some(StatusCode::PAYLOAD_TOO_LARGE),
            },
            ConnectionState::Idle | ConnectionState::ReadingRequest { .. } => ReadLimit {
                max_bytes: requests.max_head_bytes,
                excess_status: Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            },
        }
    }

    /// Records that `count` bytes were read.
    pub fn record_read(&self, count: usize) {
        self.bytes_read.set(self.bytes_read.get().saturating_add(count));
        if !self.is_reading_request() {
            let left = self.body_bytes_left.get().map(|left| left.saturating_sub(count));
            self.body_bytes_left.set(left);
        }
        if count > 0 {
            let now = Instant::now();
            self.last_read_at.set(now);
            self.state.set(self.state.get().after_read(now));
        }
    }

    /// Records that the HTTP library has yet to buffer this many bytes of the current response.
    pub fn set_response_bytes_left(&self, bytes: usize) {
        self.response_bytes_left.set(bytes);
    }

    /// Records whether a write was accepted completely.
    pub fn record_write(&self, is_complete: bool) {
        let is_complete = is_complete && self.response_bytes_left.get() == 0;
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set((!is_complete).then_some(since));
    }

    /// Stores the waker of the connection's task until the current request has its response.
    pub fn pause_reader(&self, context: &Context) {
        self.paused_reader.set(Some(context.waker().clone()));
    }

    /// Begins handling a request, which lasts until the returned guard is dropped. `body_bytes` is the length of its
    /// body, or `None` if the body is in chunks.
    pub fn begin_request(&self, body_bytes: Option<usize>) -> RequestGuard<'_> {
        self.body_bytes_left.set(body_bytes);
        let since = self.reading_since().unwrap_or_else(Instant::now);
        let arrived = self.waiting_since.take().unwrap_or(since);
        self.bytes_read.set(0);
        self.state.set(ConnectionState::HandlingRequest { since, is_body_complete: false });
        RequestGuard { connection: self, arrived }
    }

    /// Records that the body of the request that is being handled has been read completely.
    pub fn complete_body(&self) {
        if let ConnectionState::HandlingRequest { since, .. } = self.state.get() {
            self.state.set(ConnectionState::HandlingRequest { since, is_body_complete: true });
        }
    }

    /// Counts consecutive client errors. Returns `true` if the limit is reached and the connection should close.
    pub fn count_client_error(&self, is_client_error: bool) -> bool {
        let errors = if is_client_error { self.consecutive_client_errors.get() + 1 } else { 0 };
        self.consecutive_client_errors.set(errors);
        errors >= self.limits.clients.max_consecutive_bad_requests
    }
}

/// A guard that marks a connection as handling a request. If it is dropped without a response because the client has
/// disconnected, the connection becomes idle.
pub(super) struct RequestGuard<'a> {
    connection: &'a Connection,
    /// The time at which the first bytes of the request were read or, if the request has waited for room, the time at
    /// which its connection was accepted.
    pub arrived: Instant,
}

impl RequestGuard<'_> {
    /// Ends the request after its response, and keeps the connection open.
    pub fn finish(self) {}

    /// Ends the request after the connection's last response. `must_drain_input` tells whether the server has to read
    /// further input before it closes the socket.
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
        connection.head_memory.take();
        connection.paused_reader.take().into_iter().for_each(Waker::wake);
        connection.last_used_at.set(Instant::now());
        connection.has_served_request.set(true);
    }
}

#[cfg(test)]
mod tests;

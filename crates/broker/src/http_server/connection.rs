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
    /// Nothing of a request has been read.
    Idle,
    /// The beginning of a request has been read.
    ReadingRequest { since: Instant },
    /// A request is handled. Once its body is complete, what follows stays unread until the response is made.
    HandlingRequest { is_body_complete: bool },
    /// The last response is on its way. Nothing leads out of this state but the end of the connection.
    Closing {
        /// What the client sends further is no rest of a body, which the HTTP library would take in by
        /// itself.
        must_drain_input: bool,
        /// Since when input that follows the last request has been in hand.
        reading_since: Option<Instant>,
        /// Since when the last response has been there.
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

    /// Since when input that is not yet a request has been in hand.
    fn reading_since(self) -> Option<Instant> {
        match self {
            ConnectionState::ReadingRequest { since } => Some(since),
            ConnectionState::Closing { reading_since, .. } => reading_since,
            ConnectionState::Idle | ConnectionState::HandlingRequest { .. } => None,
        }
    }
}

/// What is known of one client's connection.
pub(super) struct Connection {
    pub limits: Rc<Limits>,
    /// Accepted beyond the bound: its queries are rejected.
    pub is_surplus: bool,
    /// It closes with the response to the current or next request.
    pub close_after_response: Cell<bool>,
    /// A request of its client was handled.
    pub has_served_request: Cell<bool>,
    /// A query of its client was accepted.
    pub has_accepted_query: Cell<bool>,
    state: Cell<ConnectionState>,
    /// Bytes that have been read for the current request; `usize::MAX` once its bound was met.
    bytes_read: Cell<usize>,
    /// Since when the client has not taken all that was written.
    write_blocked_since: Cell<Option<Instant>>,
    last_used_at: Cell<Instant>,
    /// Requests in a row that were answered with a client error.
    consecutive_client_errors: Cell<usize>,
    /// Written in place of the HTTP library's response when the connection is closed on request.
    closing_status: Cell<Option<StatusCode>>,
    /// The task that reads, while it waits for the current request's response.
    paused_reader: Cell<Option<Waker>>,
    close_requested: Notify,
}

impl Connection {
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

    /// Whether it may be closed to make room. A new connection is left open for a moment: its first request
    /// may have been written already.
    pub fn is_idle(&self) -> bool {
        let past_first_moment = || self.last_used_at.get().elapsed() > self.limits.new_connection_grace;
        self.is_at_rest() && (self.has_served_request.get() || past_first_moment())
    }

    /// Whether nothing is read, handled or written on it.
    pub fn is_at_rest(&self) -> bool {
        !self.is_handling_request()
            && self.reading_since().is_none()
            && self.write_blocked_since.get().is_none()
    }

    pub fn is_handling_request(&self) -> bool {
        matches!(self.state.get(), ConnectionState::HandlingRequest { .. })
    }

    /// Whether the request that is handled has been read to its end.
    pub fn is_body_complete(&self) -> bool {
        self.state.get() == ConnectionState::HandlingRequest { is_body_complete: true }
    }

    pub fn is_closing(&self) -> bool {
        matches!(self.state.get(), ConnectionState::Closing { .. })
    }

    /// Whether input that follows the last request has to be taken in before the socket is closed.
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

    /// Since when input that is not yet a request has been in hand.
    pub fn reading_since(&self) -> Option<Instant> {
        self.state.get().reading_since()
    }

    /// Since when the client has not taken all that was written.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    pub fn last_used_at(&self) -> Instant {
        self.last_used_at.get()
    }

    /// Asks for the connection's end, with a response of this status if there is one.
    pub fn request_close(&self, closing_status: Option<StatusCode>) {
        self.closing_status.set(closing_status);
        self.close_requested.notify_one();
    }

    /// Completes once its end was asked for.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    pub fn closing_status(&self) -> Option<StatusCode> {
        self.closing_status.get()
    }

    /// Whether more may be read of the current request; a connection whose request is too long is closed. The
    /// HTTP library reads on and on before it looks at what it has read.
    pub fn may_read_more(&self, context: &Context) -> bool {
        let (most, status) = match self.state.get() {
            ConnectionState::Closing { .. } => return self.bytes_read.get() < self.limits.max_linger_bytes,
            ConnectionState::HandlingRequest { .. } => {
                (self.limits.max_chunked_body_bytes, StatusCode::PAYLOAD_TOO_LARGE)
            }
            ConnectionState::Idle | ConnectionState::ReadingRequest { .. } => {
                (self.limits.max_head_bytes, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            }
        };
        if self.bytes_read.get() < most {
            return true;
        }
        // The library looks at what it has before it asks again; by then a head was complete, or it is too
        // long.
        if self.bytes_read.replace(usize::MAX) == usize::MAX {
            self.request_close(Some(status));
        } else {
            context.waker().wake_by_ref();
        }
        false
    }

    /// Notes that `count` bytes were read.
    pub fn note_read(&self, count: usize) {
        self.bytes_read.set(self.bytes_read.get().saturating_add(count));
        if count > 0 {
            self.state.set(self.state.get().after_read(Instant::now()));
        }
    }

    /// Notes whether the client took all of a write.
    pub fn note_write(&self, is_complete: bool) {
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set((!is_complete).then_some(since));
    }

    /// Keeps the reader's waker until the current request has its response.
    pub fn pause_reader(&self, context: &Context) {
        self.paused_reader.set(Some(context.waker().clone()));
    }

    /// Begins to handle a request; when its first bytes were read, and a guard for as long as it is handled.
    pub fn begin_request(&self) -> (Instant, RequestGuard<'_>) {
        let arrived = self.reading_since().unwrap_or_else(Instant::now);
        self.bytes_read.set(0);
        self.state.set(ConnectionState::HandlingRequest { is_body_complete: false });
        (arrived, RequestGuard { connection: self })
    }

    /// Notes that the request that is handled has been read to its end.
    pub fn complete_body(&self) {
        self.state.set(ConnectionState::HandlingRequest { is_body_complete: true });
    }

    /// Counts client errors in a row; whether there are so many that the connection is to be closed.
    pub fn count_client_error(&self, is_client_error: bool) -> bool {
        let errors = if is_client_error { self.consecutive_client_errors.get() + 1 } else { 0 };
        self.consecutive_client_errors.set(errors);
        errors >= self.limits.max_consecutive_bad_requests
    }
}

/// Marks a connection as handling a request. Dropped without a response, because the client has gone, it
/// leaves the connection idle.
pub(super) struct RequestGuard<'a> {
    connection: &'a Connection,
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

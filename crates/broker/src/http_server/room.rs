//! Room for new connections: which connections yield at a limit, and which new ones are not served.

use super::connection::Connection;
use super::{ConnectionService, HttpServer};
use actix_http::StatusCode;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection that was accepted and waits for room. It holds a descriptor, and nothing is read from it.
struct WaitingConnection {
    stream: TcpStream,
    accepted_at: Instant,
}

/// The connections that wait for room, oldest first.
#[derive(Default)]
pub(super) struct WaitingConnections(VecDeque<WaitingConnection>);

impl WaitingConnections {
    /// Adds a connection that was just accepted.
    pub(super) fn push(&mut self, stream: TcpStream) {
        self.0.push_back(WaitingConnection { stream, accepted_at: Instant::now() });
    }

    /// Returns whether no connection waits.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl HttpServer {
    /// Returns the number of connections, including surplus ones, at which no more are served.
    pub(super) fn max_connections(&self) -> usize {
        self.query_handler.limits.clients.max_connections
            + self.query_handler.limits.clients.max_surplus_connections
    }

    /// Returns whether there is a descriptor for another connection. If there is none, another connection yields.
    pub(super) fn has_descriptor(&self, waiting: &WaitingConnections) -> bool {
        let open = self.connections.borrow().len();
        let max_open = self.query_handler.limits.clients.max_open_connections.max(self.max_connections());
        if open + self.lingering.len() + waiting.0.len() < max_open {
            return true;
        }
        if self.lingering.len() > 0 {
            self.lingering.end_oldest();
        } else if waiting.is_empty() {
            self.evict_one();
        }
        false
    }

    /// Serves the waiting connections for which there is room, lets others yield to the rest, and rejects those to which
    /// nothing has yielded for too long.
    pub(super) fn serve_waiting(
        self: &Rc<Self>,
        waiting: &mut WaitingConnections,
        service: &Rc<impl ConnectionService>,
    ) {
        let max_wait = 2 * self.query_handler.limits.clients.max_room_wait();
        while let Some(first) = waiting.0.front() {
            let has_room = self.connections.borrow().len() < self.max_connections();
            if !has_room && first.accepted_at.elapsed() <= max_wait {
                break;
            }
            let Some(WaitingConnection { stream, accepted_at }) = waiting.0.pop_front() else { break };
            match has_room {
                true => self.open_connection(stream, accepted_at, service.clone()),
                false => self.reject_connection(stream),
            }
        }
        let yielding = self.connections.borrow().iter().filter(|other| other.is_close_requested()).count();
        for _ in yielding..waiting.0.len() {
            if !self.evict_one() {
                break;
            }
        }
    }

    /// Closes a connection to make room: an idle one or, if there is none, one with an incomplete request. Returns
    /// `false` if there is neither.
    pub(super) fn evict_one(&self) -> bool {
        self.evict_one_idle() || self.evict_one_incomplete()
    }

    /// Closes an idle connection to make room. Returns `false` if no connection is idle.
    ///
    /// Connections on which no query was ever accepted are closed first, then those that have been idle the longest:
    /// clients that stay silent or repeat a bad request must not displace others.
    fn evict_one_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let may_close =
            |connection: &&Rc<Connection>| connection.is_idle() && !connection.is_close_requested();
        let idle = connections.iter().filter(may_close);
        let first =
            idle.min_by_key(|connection| (connection.has_accepted_query.get(), connection.last_used_at()));
        first.inspect(|connection| connection.request_close(None)).is_some()
    }

    /// Rejects the incomplete request that has made no progress for the longest, if it has had some time. Returns `false`
    /// if there is none. A request that is not complete was not sent to any node, so the client may send it again.
    fn evict_one_incomplete(&self) -> bool {
        let max_age = self.query_handler.limits.clients.max_room_wait();
        let is_old = |connection: &&Rc<Connection>| {
            let since = connection.incomplete_request_since();
            since.is_some_and(|since| since.elapsed() > max_age) && !connection.is_close_requested()
        };
        let connections = self.connections.borrow();
        let slowest = connections.iter().filter(is_old).min_by_key(|connection| connection.last_read_at());
        slowest
            .inspect(|connection| connection.request_close(Some(StatusCode::SERVICE_UNAVAILABLE)))
            .is_some()
    }
}

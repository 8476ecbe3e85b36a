//! Closure of client connections: how many idle connections are kept, which clients are too slow, and the end of the
//! server.

use super::HttpServer;
use super::connection::Connection;
use actix_http::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The step that a client has not completed within the time limit for it.
enum SlowClient {
    /// The client began a request and does not complete it.
    Request,
    /// The client does not read its response.
    Response,
    /// The client has sent nothing since it connected.
    Silent,
    /// The client does not send the rest of a body whose response is already written.
    UnreadBody,
}

/// Returns whether more than `limit` has passed since `since`, or `false` if `since` is `None`.
fn has_elapsed(since: Option<Instant>, limit: Duration) -> bool {
    since.is_some_and(|since| since.elapsed() > limit)
}

impl HttpServer {
    /// Closes the connection that has been idle the longest if there are more idle connections than may be kept.
    /// Without this, the idle connections of clients that sent one query each would exhaust the file descriptors.
    pub(super) fn close_excess_idle(&self) {
        let connections = self.connections.borrow();
        let is_idle_after_request =
            |connection: &&Rc<Connection>| connection.has_served_request.get() && connection.is_idle();
        let idle = || connections.iter().filter(is_idle_after_request);
        if idle().count() <= self.query_handler.limits.clients.max_idle_connections {
            return;
        }
        if let Some(longest_idle) = idle().min_by_key(|connection| connection.last_used_at()) {
            longest_idle.request_close(None);
        }
    }

    /// Closes the connections of slow clients: those that send or read a byte now and then, that send nothing at all
    /// after connecting, or that never send the rest of a body after its response. Each of them would otherwise hold
    /// a connection indefinitely. Incomplete requests are logged as `requests rejected` with status 408.
    pub(super) fn close_slow_connections(&self) {
        for connection in self.connections.borrow().iter() {
            match self.slow_client(connection) {
                Some(SlowClient::Request) => connection.request_close(Some(StatusCode::REQUEST_TIMEOUT)),
                Some(SlowClient::Silent | SlowClient::Response | SlowClient::UnreadBody) => {
                    connection.request_close(None);
                }
                None => {}
            }
        }
    }

    /// Returns in which way the connection's client is too slow, or `None` if the client is within all limits.
    fn slow_client(&self, connection: &Connection) -> Option<SlowClient> {
        let limits = &self.query_handler.limits.clients;
        let is_silent = !connection.has_served_request.get() && connection.is_idle();
        if has_elapsed(connection.reading_since(), limits.io_timeout) {
            Some(SlowClient::Request)
        } else if has_elapsed(connection.write_blocked_since(), limits.io_timeout) {
            Some(SlowClient::Response)
        } else if is_silent && has_elapsed(Some(connection.last_used_at()), limits.io_timeout) {
            Some(SlowClient::Silent)
        } else if has_elapsed(connection.awaiting_unread_body_since(), limits.unread_body_timeout) {
            Some(SlowClient::UnreadBody)
        } else {
            None
        }
    }

    /// Closes the server: stops accepting connections, closes idle ones at once and the others after their responses.
    /// Completes when all connections are closed. If the future is dropped, the server continues to close.
    pub async fn close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
        self.listener_closed.notified().await;
        loop {
            let connection_closed = self.connection_closed.notified();
            let connections = self.connections.borrow().clone();
            if connections.is_empty() && self.lingering.len() == 0 {
                return;
            }
            let idle = connections.iter().filter(|connection| connection.is_idle());
            idle.for_each(|connection| connection.request_close(None));
            tokio::select! {
                () = connection_closed => {}
                () = sleep(self.query_handler.limits.clients.closing_sweep_interval) => self.close_slow_connections(),
            }
        }
    }
}

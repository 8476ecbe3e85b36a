//! Closing client connections: which one makes room, which is too slow, and how the last response arrives.

use super::HttpServer;
use super::connection::Connection;
use crate::interrupt_safe::InterruptSafe;
use crate::query_handler::RequestError;
use actix_http::StatusCode;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// In what a client is slower than is allowed.
enum SlowClient {
    /// It has begun a request and does not complete it.
    Request,
    /// It does not read its response.
    Response,
    /// It has sent nothing since it connected.
    Silent,
    /// It does not send the rest of a body whose response it has.
    UnreadBody,
}

/// Whether more than `limit` has passed since a moment; `false` where there was none.
fn is_over(since: Option<Instant>, limit: Duration) -> bool {
    since.is_some_and(|since| since.elapsed() > limit)
}

impl HttpServer {
    /// Closes an idle connection, to make room; `false`: there is none. Connections that never had a query accepted go
    /// first: clients that stay silent, or repeat a bad request, must not displace others.
    pub(super) fn close_one_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.iter().filter(|connection| connection.is_idle());
        let first =
            idle.min_by_key(|connection| (connection.has_accepted_query.get(), connection.last_used_at()));
        first.inspect(|connection| connection.request_close(None)).is_some()
    }

    /// Closes the connection that was idle longest, where more are idle than may be kept. Without this the idle
    /// connections of clients that sent one query each would use up the descriptors.
    pub(super) fn close_surplus_idle(&self) {
        let connections = self.connections.borrow();
        let is_kept =
            |connection: &&Rc<Connection>| connection.has_served_request.get() && connection.is_idle();
        let kept = || connections.iter().filter(is_kept);
        if kept().count() <= self.query_handler.limits.clients.max_idle_connections {
            return;
        }
        if let Some(longest_idle) = kept().min_by_key(|connection| connection.last_used_at()) {
            longest_idle.request_close(None);
        }
    }

    /// Closes the connections of slow clients: that send or read a byte now and then, that send nothing at all from the
    /// start, or that never send the rest of a body after its response. Each would hold a place for as long as it
    /// liked; the log shows them as `requests rejected` with 408.
    pub(super) fn close_slow(&self) {
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

    /// In what the client of a connection is slower than is allowed, if in anything.
    fn slow_client(&self, connection: &Connection) -> Option<SlowClient> {
        let limits = &self.query_handler.limits.clients;
        let is_silent = !connection.has_served_request.get() && connection.is_idle();
        if is_over(connection.reading_since(), limits.io_timeout) {
            Some(SlowClient::Request)
        } else if is_over(connection.write_blocked_since(), limits.io_timeout) {
            Some(SlowClient::Response)
        } else if is_silent && is_over(Some(connection.last_used_at()), limits.io_timeout) {
            Some(SlowClient::Silent)
        } else if is_over(connection.awaiting_unread_body_since(), limits.unread_body_timeout) {
            Some(SlowClient::UnreadBody)
        } else {
            None
        }
    }

    /// Closes the server: it accepts no more connections, idle ones close at once, the others with their responses.
    /// Completes when all are closed. Dropping the future leaves the server closing.
    pub async fn close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
        self.listener_closed.notified().await;
        loop {
            let connection_closed = self.connection_closed.notified();
            let connections = self.connections.borrow().clone();
            if connections.is_empty() {
                return;
            }
            let idle = connections.iter().filter(|connection| connection.is_idle());
            idle.for_each(|connection| connection.request_close(None));
            tokio::select! {
                () = connection_closed => {}
                () = sleep(self.query_handler.limits.clients.closing_sweep_interval) => self.close_slow(),
            }
        }
    }

    /// Writes a last response if there is one, and reads and drops what still comes, within bounds: closing over unread
    /// bytes would reset the connection, and might destroy the response.
    pub(super) async fn linger(&self, stream: TcpStream, closing_status: Option<StatusCode>) {
        let mut stream = InterruptSafe(stream);
        let limits = &self.query_handler.limits;
        let lingering = async {
            if let Some(status) = closing_status {
                self.query_handler.rejected_requests.count(RequestError::Incomplete(status));
                write_empty_response(&mut stream, status).await?;
            }
            stream.shutdown().await?;
            let mut rest = stream.take(limits.clients.max_linger_bytes as u64);
            tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
        };
        // Whether that succeeds or not, the connection is over.
        let _ = timeout(limits.clients.linger_timeout, lingering).await;
    }
}

/// Writes a response without a body, which closes its connection.
async fn write_empty_response(stream: &mut InterruptSafe<TcpStream>, status: StatusCode) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await
}

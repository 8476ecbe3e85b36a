//! The task that serves one client connection.

use super::connection::Connection;
use super::watched_stream::WatchedStream;
use super::{ConnectionService, HttpServer};
use crate::query_handler::RequestError;
use crate::socket_peek::has_unread_bytes;
use actix_http::StatusCode;
use actix_http::error::DispatchError;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tracing::debug;

/// A shorter wait for room is not counted, which saves a system call for each connection.
const NOTICEABLE_WAIT: Duration = Duration::from_millis(5);

impl HttpServer {
    /// Adds a connection that was accepted at `accepted_at`, and spawns the task that serves it.
    pub(super) fn open_connection(
        self: &Rc<Self>,
        stream: TcpStream,
        accepted_at: Instant,
        service: Rc<impl ConnectionService>,
    ) {
        if let Err(error) = stream.set_nodelay(true) {
            debug!(%error, "failed to set TCP_NODELAY on a client connection");
        }
        let limits = self.query_handler.limits.clone();
        let memory = self.query_handler.engine.memory().clone();
        self.close_excess_idle();
        let is_full = self.connections.borrow().len() >= limits.clients.max_connections;
        // If no other connection yields at the limit, queries on the new one are rejected.
        let has_made_room = is_full && self.evict_one();
        let connection = Rc::new(Connection::new(limits, memory, is_full && !has_made_room));
        // The time of a request that has waited for room counts from the accept, as its bytes may have been there.
        if accepted_at.elapsed() > NOTICEABLE_WAIT && has_unread_bytes(&stream) {
            connection.set_waiting_since(accepted_at);
        }
        self.connections.borrow_mut().push(connection.clone());
        actix_rt::spawn(self.clone().serve_connection(stream, connection, service));
    }

    /// Serves the requests of one connection, and closes its socket in a way that delivers the last response.
    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        connection: Rc<Connection>,
        service: Rc<impl ConnectionService>,
    ) {
        let stream = Rc::new(RefCell::new(stream));
        let must_linger = self.serve_until_end(&stream, &connection, &*service).await;
        self.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, &connection));
        let closing_status = connection.closing_status();
        drop(connection);
        if let Some(stream) = Rc::into_inner(stream).filter(|_| must_linger) {
            self.connection_closed.notify_waiters();
            self.linger(stream.into_inner(), closing_status).await;
        }
        self.connection_closed.notify_waiters();
    }

    /// Rejects a connection (503) without reading from it, because there is no room to serve it.
    pub(super) fn reject_connection(self: &Rc<Self>, stream: TcpStream) {
        let server = self.clone();
        actix_rt::spawn(async move {
            server.linger(stream, Some(StatusCode::SERVICE_UNAVAILABLE)).await;
            server.connection_closed.notify_waiters();
        });
    }

    /// Serves a connection's requests until it ends. Returns whether input has to be read before the socket is
    /// closed.
    async fn serve_until_end(
        &self,
        stream: &Rc<RefCell<TcpStream>>,
        connection: &Rc<Connection>,
        service: &impl ConnectionService,
    ) -> bool {
        let watched_stream = WatchedStream::new(stream.clone(), connection.clone());
        let mut served = pin!(service.call((watched_stream, None)));
        loop {
            tokio::select! {
                // The request to close is polled first, so that a request that arrives as its idle connection is
                // closed is not read in part.
                biased;
                () = connection.close_requested() => {
                    let has_closing_status = connection.closing_status().is_some();
                    // A request may just have arrived. Closing the socket with its bytes unread would reset the
                    // connection, and the client would get an error instead of a response, so the request is served
                    // first.
                    if !has_closing_status && connection.is_quiescent() && has_unread_bytes(&stream.borrow()) {
                        connection.close_after_response.set(true);
                        continue;
                    }
                    return has_closing_status;
                }
                end = &mut served => match end {
                    Err(DispatchError::Parse(_)) => {
                        self.query_handler.rejected_requests.count(RequestError::Unreadable);
                        return true;
                    }
                    _ => return connection.must_drain_input(),
                },
            }
        }
    }
}

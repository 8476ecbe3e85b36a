//! The HTTP server for clients: accepts connections, serves them, and limits their number.
//!
//! # The life cycle of a connection
//!
//! 1. **Accept** (`accepting`, `room`). At the limit on connections another one yields: an idle one is closed or, if there
//!    is none, an incomplete request is rejected (503), the one without progress for the longest first. If none yields,
//!    the new one is a surplus connection, whose queries are rejected. At the limit on surplus connections it waits
//!    unread, and is rejected (503) if none yields in time.
//! 2. **Serve** (`serving`). The HTTP library parses requests from a `WatchedStream`, which limits how much is read
//!    and detects that the client disconnects; `routes` calls the `query_handler`.
//! 3. **Close** (`closing`). A connection closes because it is idle and another one needs its place, because its
//!    client is too slow, or with its last response when the server closes. Input that follows the last response is
//!    read for a short time (`lingering`). The connection then only holds a descriptor, and ends at once if another one
//!    needs that.
//!
//! # Tasks and cancellation
//!
//! [`HttpServer::run`] is one task; each connection has a task of its own, and each request is a future within that
//! task. The tasks share a `Connection` through [`Rc`]: its state records whether a request is being read or handled,
//! and `request_close` wakes its task. When the client disconnects, the library drops the request's future, which
//! cancels the query; the connection's task itself is never dropped.

mod accepting;
mod closing;
mod connection;
mod lingering;
mod memory_report;
mod response_body;
mod room;
mod routes;
mod serving;
mod watched_stream;

#[cfg(test)]
mod tests;

use crate::query_handler::QueryHandler;
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use connection::Connection;
use lingering::LingeringConnections;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::debug;
use watched_stream::WatchedStream;

/// The input of the HTTP library's service: a client's socket, without its address.
type ServiceInput = (WatchedStream, Option<SocketAddr>);

/// A service that serves the requests of one connection until it ends.
trait ConnectionService: Service<ServiceInput, Response = (), Error = DispatchError> + 'static {}

impl<S: Service<ServiceInput, Response = (), Error = DispatchError> + 'static> ConnectionService for S {}

/// The HTTP server: its listener and all client connections, on one thread.
pub struct HttpServer {
    query_handler: QueryHandler,
    /// The connections that are accepted and not closed.
    connections: RefCell<Vec<Rc<Connection>>>,
    /// The connections whose last response is written, and whose input is read until they end.
    lingering: LingeringConnections,
    /// Notified when a connection has closed, so that there may be room for another.
    connection_closed: Notify,
    /// Whether the server is closing, in which case each response closes its connection.
    is_closing: Cell<bool>,
    /// The time of the last log line about memory.
    memory_reported_at: Cell<Option<Instant>>,
    /// Notified when the server should stop accepting connections.
    close_requested: Notify,
    /// Notified when the server has stopped accepting connections.
    listener_closed: Notify,
}

impl HttpServer {
    /// Creates a server without connections.
    pub fn new(query_handler: QueryHandler) -> Rc<HttpServer> {
        Rc::new(HttpServer {
            query_handler,
            connections: RefCell::default(),
            lingering: LingeringConnections::default(),
            connection_closed: Notify::new(),
            is_closing: Cell::default(),
            memory_reported_at: Cell::default(),
            close_requested: Notify::new(),
            listener_closed: Notify::new(),
        })
    }

    /// Accepts connections until `close` is called, and then accepts those that are already in the listener's queue.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        // Connections inherit the size.
        let receive_buffer_bytes = self.query_handler.limits.clients.receive_buffer_bytes;
        if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(receive_buffer_bytes) {
            debug!(%error, "failed to set the receive buffer of client connections");
        }
        let Ok(service) = self.clone().service_factory().new_service(()).await else { return };
        let service = Rc::new(service);
        let waiting = self.accept_until_close(&listener, &service).await;
        if let Ok(listener) = listener.into_std() {
            self.accept_queued(&listener, waiting, &service).await;
        }
        self.listener_closed.notify_one();
    }

    /// Returns a factory for the HTTP library's service, which calls [`HttpServer::respond`] for each request.
    fn service_factory(
        self: Rc<Self>,
    ) -> impl ServiceFactory<
        ServiceInput,
        Config = (),
        Response = (),
        Error = DispatchError,
        InitError = (),
        Service = impl ConnectionService,
    > {
        let limits = self.query_handler.limits.clone();
        HttpService::build()
            .keep_alive(KeepAlive::Timeout(limits.clients.keep_alive_timeout))
            .client_request_timeout(Duration::ZERO) // `close_slow_connections` limits the time of a request
            // An unread body is read for a limited time: closing the socket with unread bytes would reset the
            // connection and might destroy the response.
            .client_disconnect_timeout(limits.clients.linger_timeout)
            .h1_write_buffer_size(limits.clients.response_write_bytes)
            // A client that closes its sending side counts as disconnected, and its query is cancelled.
            .h1_allow_half_closed(false)
            .on_connect_ext(|stream: &WatchedStream, data| _ = data.insert(stream.connection().clone()))
            .h1(fn_service(move |request: Request| {
                let server = self.clone();
                async move { Ok::<_, Infallible>(server.respond(request).await) }
            }))
    }
}

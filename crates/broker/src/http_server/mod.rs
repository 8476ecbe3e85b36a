//! The HTTP server that clients reach: accepts connections, serves them, and keeps their number within bounds.
//!
//! # The life of a connection
//!
//! 1. **Accept** (`accepting`). At the bound an idle connection makes room; else the new one is a surplus connection,
//!    whose requests are rejected.
//! 2. **Serve** (`serving`). The HTTP library parses requests from a `WatchedStream`, which bounds what it reads and
//!    notices that the client leaves; `routes` calls the `query_handler`.
//! 3. **Close** (`closing`). A connection closes because it is idle and its place is needed, because its client is too
//!    slow, or with its last response as the server closes.
//!
//! # Tasks and cancellation
//!
//! [`HttpServer::run`] is one task; each connection has a task of its own, and each request is a future within that. The
//! tasks share a `Connection` by [`Rc`]: its state says whether a request is being read or handled, and
//! `request_close` wakes its task. When the client leaves, the library drops the request's future, which cancels the
//! query; the connection's task itself is never dropped.

mod accepting;
mod closing;
mod connection;
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
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use watched_stream::WatchedStream;

/// What the HTTP library serves: a client's socket, and no address.
type ServiceInput = (WatchedStream, Option<SocketAddr>);

/// Serves the requests of one connection to its end.
trait ConnectionService: Service<ServiceInput, Response = (), Error = DispatchError> + 'static {}

impl<S: Service<ServiceInput, Response = (), Error = DispatchError> + 'static> ConnectionService for S {}

/// The HTTP server: its listener and all client connections, on one thread.
pub struct HttpServer {
    query_handler: QueryHandler,
    /// All connections that are accepted and not closed.
    connections: RefCell<Vec<Rc<Connection>>>,
    /// Notified when a connection has closed: there may be room for another.
    connection_closed: Notify,
    /// The server is closing, and each response closes its connection.
    is_closing: Cell<bool>,
    /// Notified when no new connections are wanted.
    close_requested: Notify,
    /// Notified when no connection is accepted any more.
    listener_closed: Notify,
}

impl HttpServer {
    /// A server without connections.
    pub fn new(query_handler: QueryHandler) -> Rc<HttpServer> {
        Rc::new(HttpServer {
            query_handler,
            connections: RefCell::default(),
            connection_closed: Notify::new(),
            is_closing: Cell::default(),
            close_requested: Notify::new(),
            listener_closed: Notify::new(),
        })
    }

    /// Accepts connections until `close` is called, and then those that the listener has queued.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let Ok(service) = self.clone().service_factory().new_service(()).await else { return };
        let service = Rc::new(service);
        self.accept_until_close(&listener, &service).await;
        if let Ok(listener) = listener.into_std() {
            self.accept_queued(&listener, &service).await;
        }
        self.listener_closed.notify_one();
    }

    /// The HTTP library's service, which calls [`HttpServer::respond`] for each request.
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
            .client_request_timeout(Duration::ZERO) // `close_slow` bounds the time of a request
            // An unread body is read for a while: closing over it would reset the connection and might destroy the
            // response.
            .client_disconnect_timeout(limits.clients.linger_timeout)
            // A client that closes its side has left, and its query is cancelled.
            .h1_allow_half_closed(false)
            .on_connect_ext(|stream: &WatchedStream, data| _ = data.insert(stream.connection().clone()))
            .h1(fn_service(move |request: Request| {
                let server = self.clone();
                async move { Ok::<_, Infallible>(server.respond(request).await) }
            }))
    }
}

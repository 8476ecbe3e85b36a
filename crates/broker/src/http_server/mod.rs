//! The HTTP server that clients reach: accepts connections and keeps their number within bounds.

mod closing;
mod connection;
mod routes;
mod watched_stream;

use crate::io_errors::is_accepted_connection_gone;
use crate::query_handler::{QueryHandler, RejectedRequestCount, RequestError};
use crate::socket_peek::has_unread_bytes;
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use connection::Connection;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep, sleep_until};
use tracing::{debug, warn};
use watched_stream::WatchedStream;

/// What the HTTP library serves: a client's socket, and no address.
type ServiceInput = (WatchedStream, Option<SocketAddr>);

/// The HTTP server: its listener and all client connections, on one thread.
pub struct HttpServer {
    query_handler: QueryHandler,
    connections: RefCell<Vec<Rc<Connection>>>,
    /// Notified when a connection has closed.
    connection_closed: Notify,
    /// No new connections are wanted, and each response closes its connection.
    is_closing: Cell<bool>,
    close_requested: Notify,
    /// Notified when nothing more is accepted.
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

    fn service_factory(
        self: Rc<Self>,
    ) -> impl ServiceFactory<
        ServiceInput,
        Config = (),
        Response = (),
        Error = DispatchError,
        InitError = (),
        Service = impl Service<ServiceInput, Response = (), Error = DispatchError> + 'static,
    > {
        let limits = self.query_handler.limits.clone();
        HttpService::build()
            .keep_alive(KeepAlive::Timeout(limits.keep_alive_timeout))
            .client_request_timeout(Duration::ZERO) // `close_slow` bounds the time of a request
            // Guards against resets that destroy a response: an unread body is taken in for a while.
            .client_disconnect_timeout(limits.linger_timeout)
            // A client that closes its side has gone away, and its query is dropped.
            .h1_allow_half_closed(false)
            .on_connect_ext(|stream: &WatchedStream, data| _ = data.insert(stream.connection().clone()))
            .h1(fn_service(move |request: Request| {
                let server = self.clone();
                async move { Ok::<_, Infallible>(server.respond(request).await) }
            }))
    }

    /// The number of connections beyond which none is accepted.
    fn max_connections(&self) -> usize {
        self.query_handler.limits.max_client_connections + self.query_handler.limits.max_surplus_connections
    }

    async fn accept_until_close<S>(self: &Rc<Self>, listener: &TcpListener, service: &Rc<S>)
    where
        S: Service<ServiceInput, Response = (), Error = DispatchError> + 'static,
    {
        let limits = &self.query_handler.limits;
        let mut sweep = interval(limits.sweep_interval);
        let mut accept_pause: Option<Instant> = None;
        loop {
            let has_room = self.connections.borrow().len() < self.max_connections();
            // Guards against connections that fill the bound, fall idle and keep all others waiting.
            if !has_room {
                self.close_one_idle();
            }
            tokio::select! {
                biased;
                accepted = listener.accept(), if has_room && accept_pause.is_none() => match accepted {
                    Ok((stream, _)) => self.open_connection(stream, service.clone()),
                    Err(error) => accept_pause = Some(Instant::now() + self.pause_after(&error)),
                },
                () = self.close_requested.notified() => return,
                () = self.connection_closed.notified() => {}
                () = sleep(limits.new_connection_grace), if !has_room => {}
                _ = sweep.tick() => {
                    self.close_slow();
                    self.report_rejected_requests();
                }
                () = sleep_until(accept_pause.unwrap_or_else(Instant::now)), if accept_pause.is_some() => {
                    accept_pause = None;
                }
            }
        }
    }

    fn report_rejected_requests(&self) {
        for RejectedRequestCount { error, times } in self.query_handler.rejected_requests.take() {
            warn!(status = error.status().as_u16(), reason = %error, times, "requests rejected");
        }
    }

    /// How long nothing is accepted after an error: not at all where only that connection is gone.
    fn pause_after(&self, error: &io::Error) -> Duration {
        if is_accepted_connection_gone(error) {
            debug!(%error, "a connection went before it was accepted");
            return Duration::ZERO;
        }
        warn!(%error, "a connection could not be accepted");
        self.query_handler.limits.sweep_interval / 10
    }

    /// Guards against connections that clients have made and that were not accepted yet: closing the listener
    /// would reset them. At the bound they wait for room.
    async fn accept_queued<S>(self: &Rc<Self>, listener: &std::net::TcpListener, service: &Rc<S>)
    where
        S: Service<ServiceInput, Response = (), Error = DispatchError> + 'static,
    {
        loop {
            while self.connections.borrow().len() >= self.max_connections() {
                self.close_slow();
                self.close_one_idle();
                tokio::select! {
                    () = self.connection_closed.notified() => {}
                    () = sleep(self.query_handler.limits.new_connection_grace) => {}
                }
            }
            match listener.accept().and_then(|(stream, _)| into_async(stream)) {
                Ok(stream) => self.open_connection(stream, service.clone()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The others still wait in the queue.
                Err(error) => sleep(self.pause_after(&error)).await,
            }
        }
    }

    fn open_connection<S>(self: &Rc<Self>, stream: TcpStream, service: Rc<S>)
    where
        S: Service<ServiceInput, Response = (), Error = DispatchError> + 'static,
    {
        if let Err(error) = stream.set_nodelay(true) {
            debug!(%error, "TCP_NODELAY could not be set");
        }
        let limits = self.query_handler.limits.clone();
        self.close_surplus_idle();
        let is_full = self.connections.borrow().len() >= limits.max_client_connections;
        // At the bound the connection that was idle longest makes room; else the new one is rejected.
        let has_made_room = is_full && self.close_one_idle();
        let connection = Rc::new(Connection::new(limits, is_full && !has_made_room));
        self.connections.borrow_mut().push(connection.clone());
        actix_rt::spawn(self.clone().serve_connection(stream, connection, service));
    }

    async fn serve_connection<S>(
        self: Rc<Self>,
        stream: TcpStream,
        connection: Rc<Connection>,
        service: Rc<S>,
    ) where
        S: Service<ServiceInput, Response = (), Error = DispatchError> + 'static,
    {
        let stream = Rc::new(RefCell::new(stream));
        let must_linger = self.serve_until_end(&stream, &connection, &*service).await;
        if let Some(stream) = Rc::into_inner(stream).filter(|_| must_linger) {
            self.linger(stream.into_inner(), connection.closing_status()).await;
        }
        self.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, &connection));
        self.connection_closed.notify_waiters();
    }

    /// Serves a connection's requests up to its end; whether input has to be taken in before the socket is
    /// closed.
    async fn serve_until_end<S>(
        &self,
        stream: &Rc<RefCell<TcpStream>>,
        connection: &Rc<Connection>,
        service: &S,
    ) -> bool
    where
        S: Service<ServiceInput, Response = (), Error = DispatchError> + 'static,
    {
        let watched_stream = WatchedStream::new(stream.clone(), connection.clone());
        let mut served = pin!(service.call((watched_stream, None)));
        loop {
            tokio::select! {
                // First: a request that arrives as its idle connection is closed is not read in part.
                biased;
                () = connection.close_requested() => {
                    let has_closing_status = connection.closing_status().is_some();
                    // Guards against a request that arrived in this moment: closing over it would reset it.
                    if !has_closing_status && connection.is_at_rest() && has_unread_bytes(&stream.borrow()) {
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

fn into_async(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

#[cfg(test)]
mod tests;

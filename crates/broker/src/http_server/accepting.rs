//! Acceptance of connections: within a limit, with a pause after errors, and of the listener's queue when the server
//! closes.

use super::room::WaitingConnections;
use super::{ConnectionService, HttpServer};
use crate::io_errors::is_per_connection_accept_error;
use crate::query_handler::RejectedRequestCount;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, interval, sleep, sleep_until};
use tracing::{debug, warn};

impl HttpServer {
    /// Accepts connections until the server is closed, and returns those that wait for room then.
    pub(super) async fn accept_until_close(
        self: &Rc<Self>,
        listener: &TcpListener,
        service: &Rc<impl ConnectionService>,
    ) -> WaitingConnections {
        let limits = &self.query_handler.limits;
        let mut sweep = interval(limits.clients.sweep_interval);
        let mut accept_pause: Option<Instant> = None;
        let mut waiting = WaitingConnections::default();
        loop {
            self.serve_waiting(&mut waiting, service);
            let has_descriptor = self.has_descriptor(&waiting);
            let is_waiting = !has_descriptor || !waiting.is_empty();
            tokio::select! {
                biased;
                accepted = listener.accept(), if has_descriptor && accept_pause.is_none() => match accepted {
                    Ok((stream, _)) => waiting.push(stream),
                    Err(error) => accept_pause = Some(Instant::now() + self.pause_after(&error)),
                },
                () = self.close_requested.notified() => return waiting,
                () = self.connection_closed.notified() => {}
                () = sleep(limits.clients.room_check_interval), if is_waiting => {}
                _ = sweep.tick() => {
                    self.close_slow_connections();
                    self.report_rejected_requests();
                    self.report_memory();
                }
                () = sleep_until(accept_pause.unwrap_or_else(Instant::now)), if accept_pause.is_some() => {
                    accept_pause = None;
                }
            }
        }
    }

    /// Logs the requests that were rejected since the last call, one line for each kind of error.
    fn report_rejected_requests(&self) {
        for RejectedRequestCount { error, times } in self.query_handler.rejected_requests.take() {
            warn!(status = error.status().as_u16(), reason = %error, times, "requests rejected");
        }
    }

    /// Logs an error of `accept`, and returns how long to wait before the next call. There is no wait if the error
    /// concerns only the connection that would have been accepted.
    fn pause_after(&self, error: &io::Error) -> Duration {
        if is_per_connection_accept_error(error) {
            debug!(%error, "client connection failed before it was accepted");
            return Duration::ZERO;
        }
        warn!(%error, "accept failed");
        self.query_handler.limits.clients.accept_retry_interval
    }

    /// Accepts the connections that are in the listener's queue when the server closes. Their clients see them as
    /// established, and closing the listener would reset them. At the limit on connections they wait for room, as do
    /// those in `waiting`.
    pub(super) async fn accept_queued(
        self: &Rc<Self>,
        listener: &std::net::TcpListener,
        mut waiting: WaitingConnections,
        service: &Rc<impl ConnectionService>,
    ) {
        let mut is_queue_empty = false;
        loop {
            self.serve_waiting(&mut waiting, service);
            if is_queue_empty && waiting.is_empty() {
                return;
            }
            if is_queue_empty || !self.has_descriptor(&waiting) {
                self.close_slow_connections();
                tokio::select! {
                    () = self.connection_closed.notified() => {}
                    () = sleep(self.query_handler.limits.clients.room_check_interval) => {}
                }
                continue;
            }
            match listener.accept().and_then(|(stream, _)| into_async(stream)) {
                Ok(stream) => waiting.push(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => is_queue_empty = true,
                // The other connections are still in the queue.
                Err(error) => sleep(self.pause_after(&error)).await,
            }
        }
    }
}

/// Converts a blocking stream of the standard library into one of the runtime.
fn into_async(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

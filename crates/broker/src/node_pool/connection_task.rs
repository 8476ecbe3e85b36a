//! The task of one connection, from the first attempt to connect until everything in flight on it has completed.

use super::connection::{InFlightRequest, NodeConnection, WriteProgress};
use super::reader::{ConnectionReader, DisconnectReason};
use super::writer::ConnectionWriter;
use super::{AttemptToSend, NodePool};
use crate::codec::{OutboundFrame, ShardRequestMessage};
use crate::io_errors::is_local_resource_error;
use routing::AttemptOutcome;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::debug;

/// The task of one connection, which owns the socket.
pub(super) struct ConnectionTask {
    /// The pool that owns the connection.
    pub pool: Rc<NodePool>,
    /// The state that the task shares with the pool.
    pub connection: Rc<NodeConnection>,
}

impl ConnectionTask {
    /// Connects, reads and writes until the connection ends, and then completes everything still in flight on it.
    ///
    /// The order of the last steps matters. A response that was received counts before the attempts on the connection
    /// are completed as lost; the connection is removed from the pool before unwritten batches are sent again, so
    /// that they use another one; and the attempts that were resent are no longer in flight here when the rest are
    /// completed.
    pub async fn run(self) {
        let reason = match self.connect().await {
            Some(stream) => self.serve(stream).await,
            None => DisconnectReason::Closed,
        };
        self.connection.begin_closing();
        self.pool.reject_response(&self.connection);
        self.pool.remove_connection(&self.connection);
        self.resend_unwritten();
        self.complete_pending_probes();
        self.complete_attempts(reason);
    }

    /// Connects within the time limit. Returns `None` if that failed.
    async fn connect(&self) -> Option<TcpStream> {
        let node = self.connection.address;
        match timeout(self.pool.limits.nodes.connect_timeout, self.connect_retrying_local_errors()).await {
            Ok(Ok(stream)) => return Some(stream),
            Ok(Err(error)) => debug!(%node, %error, "failed to connect to the node"),
            Err(_) => debug!(%node, "connecting to the node timed out"),
        }
        None
    }

    /// Connects, and retries while this machine is short of descriptors, ports or memory. Such a shortage does not
    /// indicate a failure of the node, and often ends within milliseconds.
    async fn connect_retrying_local_errors(&self) -> io::Result<TcpStream> {
        loop {
            let result = TcpStream::connect(self.connection.address).await;
            let is_exhausted = result.as_ref().is_err_and(is_local_resource_error);
            self.connection.set_lacks_local_resources(is_exhausted);
            if !is_exhausted {
                return result;
            }
            sleep(self.pool.limits.nodes.local_retry_interval).await;
        }
    }

    /// Runs the reader and the writer until one of them returns or the connection is aborted. `abort` is polled
    /// first: once it is notified, no further byte of a partly written frame is written.
    async fn serve(&self, mut stream: TcpStream) -> DisconnectReason {
        let connection = &*self.connection;
        if let Err(error) = stream.set_nodelay(true) {
            debug!(node = %connection.address, %error, "failed to set TCP_NODELAY on a node connection");
        }
        connection.mark_used_now();
        let (read_half, write_half) = stream.split();
        let reader = ConnectionReader::new(&self.pool, connection, read_half);
        let writer = ConnectionWriter::new(&self.pool, connection, write_half);
        let loops = async {
            tokio::select! {
                reason = reader.run() => reason,
                () = writer.run() => DisconnectReason::Closed,
            }
        };
        tokio::select! {
            biased;
            () = connection.abort.notified() => DisconnectReason::Closed,
            reason = loops => reason,
        }
    }

    /// Sends the batches of which no byte was written on another connection.
    ///
    /// A node may close an idle connection just as a batch is queued on it. This does not indicate a failure of the
    /// node, so the batch must not fail. A connection on which nothing was ever written has no such race: its
    /// attempts fail, so that a batch is not moved from one new connection to the next without end.
    fn resend_unwritten(&self) {
        if !self.connection.was_used() {
            return;
        }
        for frame in self.connection.take_queue() {
            let OutboundFrame::Batch(shard_requests) = frame else { continue };
            let batch: Vec<AttemptToSend> = shard_requests
                .into_iter()
                .filter_map(|shard_request| self.take_unwritten(shard_request))
                .collect();
            if !batch.is_empty() {
                self.pool.send(self.connection.node, batch);
            }
        }
    }

    /// Removes an unwritten shard request from this connection and its pool, and returns it if it was still in
    /// flight.
    fn take_unwritten(&self, shard_request: ShardRequestMessage) -> Option<AttemptToSend> {
        let InFlightRequest { attempt, .. } = self.connection.remove(&shard_request.id)?;
        self.pool.attempts.borrow_mut().remove(&attempt);
        Some(AttemptToSend { attempt, shard_request })
    }

    /// Completes the load probes that are still pending when the connection ends, without a load report.
    fn complete_pending_probes(&self) {
        for _ in 0..self.connection.take_all_pending_probes() {
            self.pool.complete_probe(self.connection.node, None);
        }
    }

    /// Completes the attempts that are in flight, depending on how much of each was written and how the connection
    /// ended.
    fn complete_attempts(&self, reason: DisconnectReason) {
        for InFlightRequest { attempt, progress } in self.connection.remove_all() {
            let outcome = match (progress, reason) {
                // The node wrote invalid data, so its process is running: the node does not count as lost.
                (WriteProgress::Complete, DisconnectReason::InvalidData) => AttemptOutcome::Errored,
                (WriteProgress::Complete, DisconnectReason::Closed) => AttemptOutcome::ConnectionLost,
                (WriteProgress::Unwritten, _) => self.connection.unwritten_outcome(),
                (WriteProgress::Partial, _) => AttemptOutcome::ConnectFailed,
            };
            self.pool.complete_attempt(attempt, outcome, None);
        }
    }
}

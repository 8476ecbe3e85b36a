//! The life of one connection, from the first attempt to connect to the end of everything that was on it.

use super::connection::{InFlightRequest, NodeConnection, WriteProgress};
use super::reader::{ConnectionEnd, ConnectionReader};
use super::writer::ConnectionWriter;
use super::{AttemptToSend, NodePool};
use crate::codec::{OutboundFrame, ShardRequestMessage};
use crate::io_errors::is_local_shortage;
use routing::AttemptOutcome;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::debug;

/// The task of one connection: it owns the socket.
pub(super) struct ConnectionTask {
    /// The pool that the connection belongs to.
    pub pool: Rc<NodePool>,
    /// The state that the task shares with the pool.
    pub connection: Rc<NodeConnection>,
}

impl ConnectionTask {
    /// Connects, reads and writes until the connection ends, and then ends what is left on it.
    ///
    /// The order of the last steps matters. A response that came counts before the attempts on the connection are
    /// ended; the connection is out of the pool before unwritten batches are sent again, so that they go on another
    /// one; what was resent is no longer in flight here when the rest is ended.
    pub async fn run(self) {
        let end = match self.connect().await {
            Some(stream) => self.serve(stream).await,
            None => ConnectionEnd::Closed,
        };
        self.connection.begin_closing();
        self.pool.settle_response(&self.connection, true);
        self.pool.forget_connection(&self.connection);
        self.resend_unwritten();
        self.end_probes();
        self.end_attempts(end);
    }

    /// Connects within the time limit; `None`: that failed.
    async fn connect(&self) -> Option<TcpStream> {
        let node = self.connection.address;
        match timeout(self.pool.limits.nodes.connect_timeout, self.connect_with_resources()).await {
            Ok(Ok(stream)) => return Some(stream),
            Ok(Err(error)) => debug!(%node, %error, "connect failed"),
            Err(_) => debug!(%node, "connect timed out"),
        }
        None
    }

    /// Connects, and tries again while this machine itself is short of descriptors, ports or memory. Such a shortage
    /// says nothing of the node, and is often over in milliseconds.
    async fn connect_with_resources(&self) -> io::Result<TcpStream> {
        loop {
            let result = TcpStream::connect(self.connection.address).await;
            let is_short = result.as_ref().is_err_and(is_local_shortage);
            self.connection.set_lacks_local_resources(is_short);
            if !is_short {
                return result;
            }
            sleep(self.pool.limits.nodes.local_retry_interval).await;
        }
    }

    /// Runs the read loop and the write loop until one of them ends, or the connection is aborted. `abort` is polled
    /// first: once it is notified, no further byte of a partly written frame is written.
    async fn serve(&self, mut stream: TcpStream) -> ConnectionEnd {
        let connection = &*self.connection;
        if let Err(error) = stream.set_nodelay(true) {
            debug!(node = %connection.address, %error, "TCP_NODELAY could not be set");
        }
        connection.mark_used_now();
        let (read_half, write_half) = stream.split();
        let reader = ConnectionReader::new(&self.pool, connection, read_half);
        let writer = ConnectionWriter::new(&self.pool, connection, write_half);
        let loops = async {
            tokio::select! {
                end = reader.run() => end,
                () = writer.run() => ConnectionEnd::Closed,
            }
        };
        tokio::select! {
            biased;
            () = connection.abort.notified() => ConnectionEnd::Closed,
            end = loops => end,
        }
    }

    /// Sends batches of which nothing was written on another connection.
    ///
    /// A node may close an idle connection in the moment in which a batch is queued on it. That says nothing of the
    /// node, so the batch must not end as failed. On a connection that never carried anything there is no such race:
    /// its batches end, so that no batch goes from one new connection to the next.
    fn resend_unwritten(&self) {
        if !self.connection.was_used() {
            return;
        }
        for frame in self.connection.take_queue() {
            let OutboundFrame::Batch(shard_requests) = frame else { continue };
            let batch: Vec<AttemptToSend> = shard_requests
                .into_iter()
                .filter_map(|shard_request| self.take_over(shard_request))
                .collect();
            if !batch.is_empty() {
                self.pool.send(self.connection.node, batch);
            }
        }
    }

    /// Takes an unwritten shard request off this connection, if it is still in flight.
    fn take_over(&self, shard_request: ShardRequestMessage) -> Option<AttemptToSend> {
        let InFlightRequest { attempt, .. } = self.connection.remove(&shard_request.id)?;
        self.pool.attempts.borrow_mut().remove(&attempt);
        Some(AttemptToSend { attempt, shard_request })
    }

    /// Ends the load probes that have no reply.
    fn end_probes(&self) {
        for _ in 0..self.connection.take_all_pending_probes() {
            self.pool.end_probe(self.connection.node, None);
        }
    }

    /// Ends the attempts that are in flight, by what of them was written and how the connection ended.
    fn end_attempts(&self, end: ConnectionEnd) {
        for InFlightRequest { attempt, progress } in self.connection.remove_all() {
            let outcome = match (progress, end) {
                // The node wrote invalid data, so its process runs: that is no lost node.
                (WriteProgress::Complete, ConnectionEnd::InvalidData) => AttemptOutcome::Errored,
                (WriteProgress::Complete, ConnectionEnd::Closed) => AttemptOutcome::ConnectionLost,
                (WriteProgress::Unwritten, _) => self.connection.unwritten_outcome(),
                (WriteProgress::Partial, _) => AttemptOutcome::ConnectFailed,
            };
            self.pool.end(attempt, outcome, None);
        }
    }
}

//! The life of one connection, from the first try to connect to the end of all that was on it.

use super::connection::{InFlightRequest, NodeConnection, WriteProgress};
use super::reader::{ConnectionEnd, ConnectionReader};
use super::writer::ConnectionWriter;
use super::{AttemptToSend, NodePool};
use crate::codec::{ShardRequestMessage, ToNode};
use crate::io_errors::is_local_shortage;
use routing::AttemptOutcome;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::debug;

/// Connects, runs both loops, and gives what is left its end.
pub(super) struct ConnectionTask {
    pub pool: Rc<NodePool>,
    pub connection: Rc<NodeConnection>,
}

impl ConnectionTask {
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

    async fn connect(&self) -> Option<TcpStream> {
        let node = self.connection.address;
        match timeout(self.pool.limits.connect_timeout, self.connect_with_resources()).await {
            Ok(Ok(stream)) => return Some(stream),
            Ok(Err(error)) => debug!(%node, %error, "no connection"),
            Err(_) => debug!(%node, "no connection in time"),
        }
        None
    }

    /// Guards against a shortage of this machine's own, which is over in a moment: tries again while it lasts.
    async fn connect_with_resources(&self) -> io::Result<TcpStream> {
        loop {
            let result = TcpStream::connect(self.connection.address).await;
            let is_short = result.as_ref().is_err_and(is_local_shortage);
            self.connection.set_lacks_local_resources(is_short);
            if !is_short {
                return result;
            }
            sleep(self.pool.limits.local_retry_interval).await;
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> ConnectionEnd {
        let connection = &*self.connection;
        if let Err(error) = stream.set_nodelay(true) {
            debug!(node = %connection.address, %error, "no-delay is not set");
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

    /// Guards against batches that meet the close of a connection at rest: nothing of them was written, so
    /// they go on another, and prove nothing against their node. On a connection that never carried anything
    /// they end.
    fn resend_unwritten(&self) {
        if !self.connection.was_used() {
            return;
        }
        for frame in self.connection.take_queue() {
            let ToNode::Batch(shard_requests) = frame else { continue };
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

    fn end_probes(&self) {
        for _ in 0..self.connection.take_all_pending_probes() {
            self.pool.end_probe(self.connection.node, None);
        }
    }

    fn end_attempts(&self, end: ConnectionEnd) {
        for InFlightRequest { attempt, progress } in self.connection.remove_all() {
            let outcome = match (progress, end) {
                // Guards against a node that writes noise and is mistaken for one that went down: its process
                // runs.
                (WriteProgress::Complete, ConnectionEnd::InvalidData) => AttemptOutcome::Errored,
                (WriteProgress::Complete, ConnectionEnd::Closed) => AttemptOutcome::ConnectionLost,
                (WriteProgress::Unwritten, _) => self.connection.unwritten_outcome(),
                (WriteProgress::Partial, _) => AttemptOutcome::ConnectFailed,
            };
            self.pool.end(attempt, outcome, None);
        }
    }
}

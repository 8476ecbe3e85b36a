//! Writes the frames that are queued on a connection.

use super::NodePool;
use super::connection::NodeConnection;
use crate::codec::ToNode;
use crate::io_errors::retry_interrupted;
use crate::socket_peek::has_peer_closed;
use bytes::{Buf, Bytes, BytesMut};
use routing::AttemptOutcome;
use std::io::{self, ErrorKind};
use std::ops::ControlFlow::{self, Break, Continue};
use tokio::net::tcp::WriteHalf;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{debug, warn};

/// The write loop of one connection. Nothing is taken from the queue before the peer accepts bytes: until
/// then it can be cancelled without a trace.
pub(super) struct ConnectionWriter<'a> {
    pool: &'a NodePool,
    connection: &'a NodeConnection,
    stream: WriteHalf<'a>,
    /// What of the current frame is not written yet.
    buffer: BytesMut,
}

impl<'a> ConnectionWriter<'a> {
    pub fn new(pool: &'a NodePool, connection: &'a NodeConnection, stream: WriteHalf<'a>) -> Self {
        ConnectionWriter { pool, connection, stream, buffer: BytesMut::new() }
    }

    /// Writes until the peer accepts no more, or the connection was idle for too long.
    pub async fn run(mut self) {
        while self.step().await.is_continue() {}
    }

    /// Waits for a frame, or writes one; `Break`: the connection is to close.
    async fn step(&mut self) -> ControlFlow<()> {
        if !self.connection.has_queued_frames() {
            return self.wait_for_work().await;
        }
        self.wait_until_writable().await?;
        if self.was_closed_at_rest() {
            debug!(node = %self.connection.address, "closed at rest");
            return Break(());
        }
        let Some(mut frame) = self.connection.dequeue() else { return Continue(()) };
        let now = Instant::now();
        self.end_expired(&mut frame, now);
        let wire_ids = match &frame {
            // All its shard requests were cancelled, or have no time left.
            ToNode::Batch(shard_requests) if shard_requests.is_empty() => return Continue(()),
            ToNode::Batch(shard_requests) => {
                shard_requests.iter().map(|shard_request| shard_request.id.clone()).collect()
            }
            ToNode::Cancel(_) | ToNode::Probe => Vec::new(),
        };
        if self.begin_frame(frame, now)? {
            self.finish_frame(&wire_ids).await?;
        }
        Continue(())
    }

    /// Waits until something may be queued.
    async fn wait_for_work(&self) -> ControlFlow<()> {
        let connection = self.connection;
        if connection.has_in_flight() {
            connection.write_ready.notified().await;
            return Continue(());
        }
        let idle_until = connection.last_used_at() + self.pool.limits.node_idle_timeout;
        if connection.is_closing() || Instant::now() >= idle_until {
            connection.begin_closing();
            return Break(());
        }
        tokio::select! {
            () = connection.write_ready.notified() => {}
            () = sleep_until(idle_until) => {}
        }
        Continue(())
    }

    async fn wait_until_writable(&self) -> ControlFlow<()> {
        let result = timeout(self.pool.limits.node_write_timeout, self.stream.writable()).await;
        self.check_progress(result)
    }

    /// Ends the connection where the peer accepted nothing in time, or is gone.
    fn check_progress(&self, result: Result<io::Result<()>, Elapsed>) -> ControlFlow<()> {
        match result {
            Ok(Ok(())) => return Continue(()),
            Ok(Err(error)) => debug!(node = %self.connection.address, %error, "connection broke"),
            Err(_) => warn!(node = %self.connection.address, "the node takes nothing"),
        }
        Break(())
    }

    /// Whether the peer closed the connection while nothing was under way on it.
    fn was_closed_at_rest(&self) -> bool {
        self.connection.was_used()
            && self.connection.is_all_unwritten()
            && has_peer_closed(self.stream.as_ref())
    }

    /// Takes out of a batch what has no time left: its node would work for nobody. It says nothing of the node,
    /// whose connection is up.
    fn end_expired(&self, frame: &mut ToNode, now: Instant) {
        let ToNode::Batch(shard_requests) = frame else { return };
        shard_requests.retain(|shard_request| {
            let has_time_left = shard_request.time_left_ms(now) > 0;
            if let Some(attempt) = self.connection.attempt_of(&shard_request.id).filter(|_| !has_time_left) {
                self.pool.cancel_unwritten(attempt, AttemptOutcome::NotSent);
            }
            has_time_left
        });
    }

    /// Writes the first bytes of a frame. One of which nothing could be written goes back into the queue;
    /// `false`: the peer accepts nothing just now.
    fn begin_frame(&mut self, frame: ToNode, now: Instant) -> ControlFlow<(), bool> {
        self.buffer.clear();
        frame.encode(now, &mut self.buffer);
        match retry_interrupted(|| self.stream.try_write(&self.buffer)) {
            Ok(count) => {
                self.buffer.advance(count);
                Continue(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.connection.requeue(frame);
                Continue(false)
            }
            Err(error) => {
                self.connection.requeue(frame);
                debug!(node = %self.connection.address, %error, "connection broke");
                Break(())
            }
        }
    }

    /// Writes what is left of a frame with these shard requests.
    async fn finish_frame(&mut self, wire_ids: &[Bytes]) -> ControlFlow<()> {
        self.connection.note_partial_write(wire_ids);
        let result =
            timeout(self.pool.limits.node_write_timeout, write_all(&self.stream, &mut self.buffer)).await;
        self.check_progress(result)?;
        self.connection.note_complete_write(wire_ids);
        Continue(())
    }
}

async fn write_all(stream: &WriteHalf<'_>, buffer: &mut BytesMut) -> io::Result<()> {
    while !buffer.is_empty() {
        stream.writable().await?;
        match retry_interrupted(|| stream.try_write(buffer)) {
            Ok(count) => buffer.advance(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

//! The write loop of a connection to a node.

use super::NodePool;
use super::connection::NodeConnection;
use crate::codec::OutboundFrame;
use crate::io_errors::retry_interrupted;
use crate::memory_budget::Reservation;
use crate::socket_peek::has_peer_closed;
use bytes::{Buf, Bytes, BytesMut};
use routing::AttemptOutcome;
use std::io::{self, ErrorKind};
use std::ops::ControlFlow::{self, Break, Continue};
use tokio::net::tcp::WriteHalf;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{debug, warn};

/// The write loop of one connection.
///
/// A frame is taken from the queue only when the peer accepts bytes, and nothing is awaited between that and the
/// frame's first byte. While no byte of a frame is written, the frame is therefore in the queue, where it can be
/// cancelled, and dropping the writer loses no frame.
pub(super) struct ConnectionWriter<'a> {
    pool: &'a NodePool,
    connection: &'a NodeConnection,
    stream: WriteHalf<'a>,
    /// The part of the current frame that has not been written.
    buffer: BytesMut,
    /// The memory of a current frame that is longer than the connection's buffer.
    long_frame: Option<Reservation>,
}

impl<'a> ConnectionWriter<'a> {
    /// Creates a writer on the write half of a connection's socket.
    pub fn new(pool: &'a NodePool, connection: &'a NodeConnection, stream: WriteHalf<'a>) -> Self {
        let buffer = BytesMut::with_capacity(pool.limits.nodes.frame_buffer_bytes);
        ConnectionWriter { pool, connection, stream, buffer, long_frame: None }
    }

    /// Writes frames until the connection fails, has been idle for too long, or has been closed.
    pub async fn run(mut self) {
        while self.step().await.is_continue() {}
    }

    /// Waits for a frame, or writes one. Returns `Break` if the connection should close.
    async fn step(&mut self) -> ControlFlow<()> {
        if !self.connection.has_queued_frames() {
            return self.wait_for_work().await;
        }
        self.wait_until_writable().await?;
        if self.was_closed_while_idle() {
            debug!(node = %self.connection.address, "idle connection closed by the node");
            return Break(());
        }
        match self.connection.dequeue() {
            Some(frame) => self.write_frame(frame).await,
            None => Continue(()),
        }
    }

    /// Writes one frame, without the shard requests that have no time left.
    async fn write_frame(&mut self, mut frame: OutboundFrame) -> ControlFlow<()> {
        let now = Instant::now();
        self.complete_expired(&mut frame, now);
        if frame.is_empty_batch() {
            return Continue(());
        }
        let wire_ids = frame.shard_request_ids();
        if !self.reserve_buffer(&frame) {
            self.cancel_for_lack_of_memory(&wire_ids);
            return Continue(());
        }
        if self.begin_frame(frame, now)? {
            self.finish_frame(&wire_ids).await?;
        }
        self.release_buffer();
        Continue(())
    }

    /// Prepares the buffer for a frame. Returns `false` if there is no memory for a long one.
    fn reserve_buffer(&mut self, frame: &OutboundFrame) -> bool {
        let frame_bytes = frame.max_encoded_bytes();
        if frame_bytes <= self.pool.limits.nodes.frame_buffer_bytes {
            return true;
        }
        self.long_frame = self.pool.memory.try_reserve(frame_bytes);
        if self.long_frame.is_some() {
            self.buffer = BytesMut::with_capacity(frame_bytes);
        }
        self.long_frame.is_some()
    }

    /// Replaces the buffer of a long frame.
    fn release_buffer(&mut self) {
        if self.long_frame.is_some() {
            self.buffer = BytesMut::with_capacity(self.pool.limits.nodes.frame_buffer_bytes);
            self.long_frame = None;
        }
    }

    /// Completes the attempts of a frame for which there is no memory. This does not count against the node.
    fn cancel_for_lack_of_memory(&self, wire_ids: &[Bytes]) {
        warn!(node = %self.connection.address, "no memory for a frame to the node");
        for attempt in wire_ids.iter().filter_map(|wire_id| self.connection.attempt_of(wire_id)) {
            self.pool.cancel_unwritten(attempt, AttemptOutcome::LocalResourceExhausted);
        }
    }

    /// Waits until a frame may be queued. Returns `Break` if nothing is in flight on the connection and it is closing
    /// or has been idle for too long.
    async fn wait_for_work(&self) -> ControlFlow<()> {
        let connection = self.connection;
        if connection.has_in_flight() {
            connection.write_ready.notified().await;
            return Continue(());
        }
        let idle_until = connection.last_used_at() + self.pool.limits.nodes.idle_timeout;
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

    /// Waits until the peer accepts bytes. Returns `Break` if the peer accepts none in time or the connection failed.
    async fn wait_until_writable(&self) -> ControlFlow<()> {
        let result = timeout(self.pool.limits.nodes.write_timeout, self.stream.writable()).await;
        self.check_progress(result)
    }

    /// Returns `Break` if the peer accepted no bytes in time or the connection failed.
    fn check_progress(&self, result: Result<io::Result<()>, Elapsed>) -> ControlFlow<()> {
        match result {
            Ok(Ok(())) => return Continue(()),
            Ok(Err(error)) => debug!(node = %self.connection.address, %error, "failed to write to the node"),
            Err(_) => warn!(node = %self.connection.address, "write to the node timed out"),
        }
        Break(())
    }

    /// Returns whether the peer closed the connection while no shard request in flight was even partly written. A
    /// frame written now would be lost, and its attempts would count against the node; left unwritten, they are sent
    /// on another connection.
    fn was_closed_while_idle(&self) -> bool {
        self.connection.was_used()
            && self.connection.is_all_unwritten()
            && has_peer_closed(self.stream.as_ref())
    }

    /// Removes the shard requests that have no time left from a batch, as no query waits for their responses any
    /// more. They complete as not sent, which does not count against the node.
    fn complete_expired(&self, frame: &mut OutboundFrame, now: Instant) {
        let OutboundFrame::Batch(shard_requests) = frame else { return };
        shard_requests.retain(|shard_request| {
            let has_time_left = shard_request.time_left_ms(now) > 0;
            if let Some(attempt) = self.connection.attempt_of(&shard_request.id).filter(|_| !has_time_left) {
                self.pool.cancel_unwritten(attempt, AttemptOutcome::NotSent);
            }
            has_time_left
        });
    }

    /// Encodes a frame, with the time left as of `now`, and writes its first bytes. Returns `false` if the peer
    /// accepts no bytes at the moment, in which case the frame is put back in the queue.
    fn begin_frame(&mut self, frame: OutboundFrame, now: Instant) -> ControlFlow<(), bool> {
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
                debug!(node = %self.connection.address, %error, "failed to write to the node");
                Break(())
            }
        }
    }

    /// Writes the rest of a frame that contains these shard requests.
    async fn finish_frame(&mut self, wire_ids: &[Bytes]) -> ControlFlow<()> {
        self.connection.record_partial_write(wire_ids);
        let writing = write_all(&self.stream, &mut self.buffer);
        let result = timeout(self.pool.limits.nodes.write_timeout, writing).await;
        self.check_progress(result)?;
        self.connection.record_complete_write(wire_ids);
        Continue(())
    }
}

/// Writes the whole buffer.
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

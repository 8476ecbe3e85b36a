//! The read loop of a connection to a node.

use super::connection::{NodeConnection, UnconfirmedResponse};
use super::{NodePool, ReceivedValue};
use crate::codec::{DecodedFrame, FrameDecoder, FrameError, InboundFrame, contains_frame_start};
use crate::interrupt_safe::InterruptSafe;
use crate::socket_peek::has_unread_bytes;
use bytes::Bytes;
use futures_util::StreamExt;
use routing::AttemptOutcome;
use std::ops::ControlFlow::{self, Break, Continue};
use tokio::net::tcp::ReadHalf;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tracing::{debug, warn};

/// The reason why a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisconnectReason {
    /// The connection could not be established, was closed by either side, or failed.
    Closed,
    /// The node wrote invalid data. The bytes that follow cannot be interpreted, and the shard requests in flight may
    /// have been executed.
    InvalidData,
}

/// A frame, an error in place of a frame, or `None` at the end of the stream.
type NextFrame = Option<Result<DecodedFrame, FrameError>>;

/// The error for a frame that was begun and not completed in time.
struct StalledFrame;

/// The read loop of one connection. Dropping it loses the bytes of a frame that is not complete.
pub(super) struct ConnectionReader<'a> {
    pool: &'a NodePool,
    connection: &'a NodeConnection,
    frames: FramedRead<InterruptSafe<ReadHalf<'a>>, FrameDecoder>,
}

impl<'a> ConnectionReader<'a> {
    /// Creates a reader on the read half of a connection's socket.
    pub fn new(pool: &'a NodePool, connection: &'a NodeConnection, stream: ReadHalf<'a>) -> Self {
        let limits = &pool.limits.nodes;
        let decoder =
            FrameDecoder::new(limits.max_frame_bytes, limits.frame_buffer_bytes, pool.memory.clone());
        let frames = FramedRead::with_capacity(InterruptSafe(stream), decoder, limits.frame_buffer_bytes);
        ConnectionReader { pool, connection, frames }
    }

    /// Reads frames until the node closes the connection, sends invalid data, or stalls in the middle of a frame.
    pub async fn run(mut self) -> DisconnectReason {
        loop {
            let Ok(frame) = self.next_frame().await else { return self.disconnect_on_stalled_frame() };
            self.connection.record_received();
            self.resolve_preceding_response(&frame);
            if let Break(reason) = self.handle(frame) {
                return reason;
            }
        }
    }

    /// Returns the next frame, or an error if a frame stays incomplete for two time limits. A frame with a length
    /// that is too large never becomes complete, and the shard requests in flight would wait for it until they time
    /// out.
    async fn next_frame(&mut self) -> Result<NextFrame, StalledFrame> {
        let mut was_partial = false;
        loop {
            if let Ok(frame) = timeout(self.pool.limits.nodes.partial_frame_timeout, self.frames.next()).await
            {
                return Ok(frame);
            }
            let is_partial = !self.frames.read_buffer().is_empty();
            if was_partial && is_partial {
                return Err(StalledFrame);
            }
            was_partial = is_partial;
        }
    }

    /// Ends the connection because a frame stays incomplete.
    fn disconnect_on_stalled_frame(&self) -> DisconnectReason {
        warn!(node = %self.connection.address, "connection closed: incomplete frame timed out");
        self.pool.resolve_unconfirmed_response(self.connection, self.frames.read_buffer());
        DisconnectReason::InvalidData
    }

    /// Accepts or rejects the response before this frame: a valid frame after a response confirms the response's
    /// length.
    fn resolve_preceding_response(&self, frame: &NextFrame) {
        let is_frame = match frame {
            Some(Ok(_)) => true,
            Some(Err(error)) => error.is_within_frame(),
            None => false,
        };
        match is_frame {
            true => self.pool.accept_response(self.connection),
            false => self.pool.resolve_unconfirmed_response(self.connection, self.frames.read_buffer()),
        }
    }

    /// Handles one frame. Returns `Break` if the connection ends.
    fn handle(&self, frame: NextFrame) -> ControlFlow<DisconnectReason> {
        let node = self.connection.address;
        match frame {
            Some(Ok(frame)) => self.handle_valid(frame),
            Some(Err(FrameError::Io(error))) => {
                debug!(%node, %error, "failed to read from the node");
                Break(DisconnectReason::Closed)
            }
            Some(Err(error)) => {
                warn!(%node, %error, "connection closed: invalid frame");
                Break(DisconnectReason::InvalidData)
            }
            None => Break(DisconnectReason::Closed),
        }
    }

    /// Handles one valid frame. Returns `Break` if the connection ends.
    fn handle_valid(&self, decoded: DecodedFrame) -> ControlFlow<DisconnectReason> {
        match decoded.frame {
            InboundFrame::Response { id, outcome, value } => {
                self.on_response(id, outcome, ReceivedValue { bytes: value, memory: decoded.memory })
            }
            InboundFrame::LoadReport(report) => self.on_load_report(report),
            InboundFrame::Pong => Continue(()),
            InboundFrame::ProtocolError(reason) => {
                warn!(node = %self.connection.address, reason, "connection closed by the node: protocol error");
                Break(DisconnectReason::InvalidData)
            }
        }
    }

    /// Handles a response. The response is used at once if no bytes follow it, and otherwise when the bytes that
    /// follow have been decoded.
    fn on_response(
        &self,
        id: Bytes,
        outcome: AttemptOutcome,
        value: ReceivedValue,
    ) -> ControlFlow<DisconnectReason> {
        let max_remembered = self.pool.limits.nodes.max_remembered_responses;
        let Some(request) = self.connection.remove_answered(&id, max_remembered) else {
            return self.on_unknown_response(&id);
        };
        self.connection.write_ready.notify_one();
        let is_too_long = contains_frame_start(&value.bytes, self.pool.limits.nodes.max_frame_bytes);
        let is_last = !self.has_unread_bytes(&value);
        self.connection.hold_response(UnconfirmedResponse { attempt: request.attempt, outcome, value });
        if is_too_long {
            warn!(node = %self.connection.address, "connection closed: response with the start of the next frame");
            self.pool.reject_response(self.connection);
            return Break(DisconnectReason::InvalidData);
        }
        if is_last {
            self.pool.accept_response(self.connection);
        }
        Continue(())
    }

    /// Returns whether bytes follow the response with this value, in the buffer or in the socket. The buffer of a long
    /// frame ends with the frame, and so may that of any other, in which case the socket was not read to its end.
    fn has_unread_bytes(&self, value: &ReceivedValue) -> bool {
        let buffer = self.frames.read_buffer();
        let may_be_in_socket = value.memory.is_some() || buffer.capacity() == 0;
        !buffer.is_empty() || (may_be_in_socket && has_unread_bytes(self.frames.get_ref().0.as_ref()))
    }

    /// Handles a response to a shard request that is not in flight.
    fn on_unknown_response(&self, id: &Bytes) -> ControlFlow<DisconnectReason> {
        // A cancelled shard request may still be answered.
        if self.connection.answer_cancelled(id, self.pool.limits.nodes.max_remembered_responses) {
            return Continue(());
        }
        // A response with a wrong id leaves the intended shard request waiting until it times out. Closing the
        // connection completes that request now, at the cost of everything else in flight on the connection.
        warn!(node = %self.connection.address, "connection closed: response to an unknown shard request");
        Break(DisconnectReason::InvalidData)
    }

    /// Handles a load report. A report that no probe requested is ignored.
    fn on_load_report(&self, report: Option<Bytes>) -> ControlFlow<DisconnectReason> {
        if self.connection.take_pending_probe() {
            self.pool.complete_probe(self.connection.node, report);
        }
        Continue(())
    }
}

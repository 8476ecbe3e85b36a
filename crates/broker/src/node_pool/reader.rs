//! Reads the frames that come on a connection.

use super::NodePool;
use super::connection::{NodeConnection, UnconfirmedResponse};
use crate::codec::{FrameDecoder, FrameError, InboundFrame, is_text};
use crate::interrupt_safe::InterruptSafe;
use bytes::Bytes;
use futures_util::StreamExt;
use routing::AttemptOutcome;
use std::ops::ControlFlow::{self, Break, Continue};
use tokio::net::tcp::ReadHalf;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tracing::{debug, warn};

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// It could not be made, was closed by either side, or broke.
    Closed,
    /// The node wrote invalid data. What follows it can't be interpreted, and what is in flight may have been
    /// executed.
    InvalidData,
}

/// A frame, an error in place of one, or the end of the stream.
type NextFrame = Option<Result<InboundFrame, FrameError>>;

/// A frame was begun and not completed in time.
struct StalledFrame;

/// The read loop of one connection. Dropping it loses the bytes of a frame that has not come completely.
pub(super) struct ConnectionReader<'a> {
    pool: &'a NodePool,
    connection: &'a NodeConnection,
    frames: FramedRead<InterruptSafe<ReadHalf<'a>>, FrameDecoder>,
}

impl<'a> ConnectionReader<'a> {
    /// A reader of the read half of a connection's socket.
    pub fn new(pool: &'a NodePool, connection: &'a NodeConnection, stream: ReadHalf<'a>) -> Self {
        let decoder = FrameDecoder { max_frame_bytes: pool.limits.nodes.max_frame_bytes };
        ConnectionReader { pool, connection, frames: FramedRead::new(InterruptSafe(stream), decoder) }
    }

    /// Reads until the node closes the connection, or sends invalid data.
    pub async fn run(mut self) -> ConnectionEnd {
        loop {
            let Ok(frame) = self.next_frame().await else { return self.end_on_stalled_frame() };
            self.connection.note_received();
            self.settle_response_before(&frame);
            if let Break(end) = self.handle(frame) {
                return end;
            }
        }
    }

    /// The next frame, or an error when a frame stays incomplete for two time limits. A frame with a length that is
    /// too large never becomes complete: the shard requests in flight would wait for it until they time out.
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

    /// Ends the connection on a frame that stays incomplete.
    fn end_on_stalled_frame(&self) -> ConnectionEnd {
        warn!(node = %self.connection.address, "connection closed: incomplete frame timed out");
        self.pool.settle_response(self.connection, is_text(self.frames.read_buffer()));
        ConnectionEnd::InvalidData
    }

    /// Decides on the response before this frame: a frame behind it confirms that its length was right.
    fn settle_response_before(&self, frame: &NextFrame) {
        let is_text_behind = is_text(self.frames.read_buffer());
        match frame {
            None | Some(Err(FrameError::Length(_) | FrameError::Io(_))) => {
                self.pool.settle_response(self.connection, is_text_behind);
            }
            Some(_) => self.pool.accept_response(self.connection),
        }
    }

    /// Handles one frame; `Break`: the connection ends.
    fn handle(&self, frame: NextFrame) -> ControlFlow<ConnectionEnd> {
        let node = self.connection.address;
        match frame {
            Some(Ok(InboundFrame::Response { id, outcome, value })) => self.on_response(id, outcome, value),
            Some(Ok(InboundFrame::LoadReport(report))) => self.on_load_report(report),
            Some(Ok(InboundFrame::Pong)) => Continue(()),
            Some(Ok(InboundFrame::ProtocolError(reason))) => {
                warn!(%node, reason, "connection closed by the node: protocol error");
                Break(ConnectionEnd::InvalidData)
            }
            Some(Err(FrameError::Io(error))) => {
                debug!(%node, %error, "connection failed");
                Break(ConnectionEnd::Closed)
            }
            Some(Err(error)) => {
                warn!(%node, %error, "connection closed: invalid frame");
                Break(ConnectionEnd::InvalidData)
            }
            None => Break(ConnectionEnd::Closed),
        }
    }

    /// Takes a response. It is used at once where nothing follows it, else once that has been looked at.
    fn on_response(&self, id: Bytes, outcome: AttemptOutcome, value: Bytes) -> ControlFlow<ConnectionEnd> {
        let Some(request) = self.connection.remove(&id) else { return self.on_unknown_response(&id) };
        self.connection.write_ready.notify_one();
        self.connection.hold_response(UnconfirmedResponse { attempt: request.attempt, outcome, value });
        if self.frames.read_buffer().is_empty() {
            self.pool.accept_response(self.connection);
        }
        Continue(())
    }

    /// Takes a response to a shard request that is not in flight.
    fn on_unknown_response(&self, id: &Bytes) -> ControlFlow<ConnectionEnd> {
        // A response to a cancelled shard request may still come.
        if self.connection.take_cancelled(id) {
            return Continue(());
        }
        // A response with a wrong id leaves the shard request that was meant waiting until it times out. Closing the
        // connection ends that one now; the cost is what else is in flight on the connection.
        warn!(node = %self.connection.address, "connection closed: response to an unknown shard request");
        Break(ConnectionEnd::InvalidData)
    }

    /// A report that no probe asked for is ignored.
    fn on_load_report(&self, report: Option<Bytes>) -> ControlFlow<ConnectionEnd> {
        if self.connection.take_pending_probe() {
            self.pool.end_probe(self.connection.node, report);
        }
        Continue(())
    }
}

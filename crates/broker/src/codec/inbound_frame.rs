//! Frames that a node sends to the broker, and their decoder.

use super::LENGTH_BYTES;
use crate::memory_budget::{MemoryBudget, Reservation};
use bytes::{Buf, Bytes, BytesMut};
use routing::AttemptOutcome;
use std::io;
use std::rc::Rc;
use tokio_util::codec::Decoder;

// The type bytes of the frames that a node sends.
const PONG: u8 = b'3';
const LOAD_REPORT: u8 = b'4';
const RESPONSE: u8 = b'5';
const PROTOCOL_ERROR: u8 = b'X';

/// Returns whether this is the type byte of a frame that a node sends.
pub(super) fn is_known_kind(kind: u8) -> bool {
    matches!(kind, PONG | LOAD_REPORT | RESPONSE | PROTOCOL_ERROR)
}

/// The body of a load report frame whose report the node could not create.
const NO_REPORT: &[u8] = b"E";

/// A frame from a node to the broker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundFrame {
    /// The result of a shard request.
    Response {
        /// The id of the shard request.
        id: Bytes,
        /// The result: `Succeeded`, `Errored` or `Overloaded`.
        outcome: AttemptOutcome,
        /// The value that the node read, in UTF-8.
        value: Bytes,
    },
    /// A notice that the node could not process a frame and closes the connection, with the node's reason.
    ProtocolError(String),
    /// The reply to a load probe, with the report or `None` if the node could not create one.
    LoadReport(Option<Bytes>),
    /// The reply to a ping, which the broker never sends.
    Pong,
}

/// An error in the bytes received from a node.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame is empty or exceeds [`FrameDecoder::max_frame_bytes`]. The value is its length in bytes.
    #[error("invalid frame length: {0} bytes, expected at least 1 and at most the maximum frame length")]
    Length(usize),
    /// The frame type is unknown.
    #[error("unknown frame type `{}`, expected `3`, `4`, `5` or `X`", char::from(*.0).escape_default())]
    UnknownKind(u8),
    /// The header of a response is malformed, or its value is not UTF-8.
    #[error(
        "malformed response: expected `ID RESULT SCORE REPORT` with RESULT `S`, `E` or `B`, a line feed \
        and a UTF-8 value"
    )]
    InvalidResponse,
    /// There is no memory for the frame, whose length in bytes is given.
    #[error("no memory for a frame of {0} bytes")]
    OutOfMemory(usize),
    /// Reading from the connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl FrameError {
    /// Returns whether the bytes form a frame all the same, with a length that fits and a printable type. The frame
    /// before then had the right length, too.
    pub fn is_within_frame(&self) -> bool {
        match self {
            FrameError::InvalidResponse => true,
            FrameError::UnknownKind(kind) => kind.is_ascii_graphic(),
            FrameError::Length(_) | FrameError::OutOfMemory(_) | FrameError::Io(_) => false,
        }
    }
}

/// A frame, and the memory that it holds.
pub struct DecodedFrame {
    /// The frame.
    pub frame: InboundFrame,
    /// The memory of a frame that is longer than the buffers of a connection.
    pub memory: Option<Reservation>,
}

/// A decoder that splits the bytes of a connection into frames.
pub struct FrameDecoder {
    /// The maximum length of a frame in bytes, without its length prefix.
    pub max_frame_bytes: usize,
    /// The capacity of the buffer between long frames. Longer frames have a buffer of their own.
    pub buffer_bytes: usize,
    /// The budget in which long frames are reserved.
    memory: Rc<MemoryBudget>,
    /// The memory of the long frame that is being received.
    long_frame: Option<Reservation>,
}

impl FrameDecoder {
    /// Creates a decoder for frames of at most `max_frame_bytes`. Frames longer than `buffer_bytes` are reserved in
    /// `memory`.
    pub fn new(max_frame_bytes: usize, buffer_bytes: usize, memory: Rc<MemoryBudget>) -> FrameDecoder {
        FrameDecoder { max_frame_bytes, buffer_bytes, memory, long_frame: None }
    }

    /// Prepares the buffer for a frame of `frame_bytes` that is not complete.
    fn prepare_buffer(&mut self, buffer: &mut BytesMut, frame_bytes: usize) -> Result<(), FrameError> {
        if frame_bytes <= self.buffer_bytes {
            buffer.reserve(frame_bytes - buffer.len());
        } else if self.long_frame.is_none() {
            let memory = self.memory.try_reserve(frame_bytes);
            self.long_frame = Some(memory.ok_or(FrameError::OutOfMemory(frame_bytes))?);
            replace_buffer(buffer, frame_bytes);
        }
        Ok(())
    }
}

/// Moves the contents of a buffer into a new one with exactly this capacity, or with more if the contents are longer.
/// `BytesMut::reserve` would keep the larger buffer, or double its capacity.
fn replace_buffer(buffer: &mut BytesMut, capacity: usize) {
    let mut replacement = BytesMut::with_capacity(capacity.max(buffer.len()));
    replacement.extend_from_slice(buffer);
    *buffer = replacement;
}

impl Decoder for FrameDecoder {
    type Item = DecodedFrame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<DecodedFrame>, FrameError> {
        let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*prefix) as usize;
        // The peer is not trusted with the length, so it is checked before memory is reserved.
        if length == 0 || length > self.max_frame_bytes {
            return Err(FrameError::Length(length));
        }
        // Bytes that are no frame would otherwise be waited for, up to the length that they seem to have.
        if let Some(kind) = buffer.get(LENGTH_BYTES).filter(|kind| !kind.is_ascii_graphic()) {
            return Err(FrameError::UnknownKind(*kind));
        }
        let frame_bytes = LENGTH_BYTES + length;
        if buffer.len() < frame_bytes {
            self.prepare_buffer(buffer, frame_bytes)?;
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let frame = buffer.split_to(length).freeze();
        let memory = self.long_frame.take();
        if memory.is_some() {
            replace_buffer(buffer, self.buffer_bytes);
        }
        Ok(Some(DecodedFrame { frame: decode_frame(frame)?, memory }))
    }
}

/// Decodes one complete frame. `frame` starts with the type byte and must not be empty.
fn decode_frame(mut frame: Bytes) -> Result<InboundFrame, FrameError> {
    match frame.get_u8() {
        PONG => Ok(InboundFrame::Pong),
        LOAD_REPORT => Ok(InboundFrame::LoadReport((&frame[..] != NO_REPORT).then_some(frame))),
        RESPONSE => decode_response(frame).ok_or(FrameError::InvalidResponse),
        PROTOCOL_ERROR => Ok(InboundFrame::ProtocolError(String::from_utf8_lossy(&frame).into_owned())),
        other => Err(FrameError::UnknownKind(other)),
    }
}

/// Parses the body of a response: `ID RESULT SCORE REPORT`, a line feed, and the value.
///
/// The report is not used for routing, so a malformed report does not invalidate the response.
fn decode_response(mut body: Bytes) -> Option<InboundFrame> {
    let header_length = body.iter().position(|byte| *byte == b'\n')?;
    let header = body.split_to(header_length);
    body.advance(1);
    let fields: Vec<&[u8]> = header.splitn(4, |byte| *byte == b' ').collect();
    let [id, end, _score, _report] = fields[..] else { return None };
    let outcome = match end {
        b"S" => AttemptOutcome::Succeeded,
        b"E" => AttemptOutcome::Errored,
        b"B" => AttemptOutcome::Overloaded,
        _ => return None,
    };
    // The value is embedded in a JSON response, so it must be UTF-8.
    std::str::from_utf8(&body).ok()?;
    Some(InboundFrame::Response { id: header.slice_ref(id), outcome, value: body })
}

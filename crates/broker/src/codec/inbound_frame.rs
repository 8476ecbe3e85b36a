//! Frames that a node writes to the broker, and their decoder.

use super::LENGTH_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use routing::AttemptOutcome;
use std::io;
use tokio_util::codec::Decoder;

/// Letters of the frames that a node writes.
const PONG: u8 = b'3';
const LOAD_REPORT: u8 = b'4';
const RESPONSE: u8 = b'5';
const PROTOCOL_ERROR: u8 = b'X';

/// The body of a load report that the node failed to make.
const NO_REPORT: &[u8] = b"E";

/// A frame from a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundFrame {
    /// How a shard request ended.
    Response {
        /// The id of the shard request.
        id: Bytes,
        /// `Succeeded`, `Errored` or `Overloaded`.
        outcome: AttemptOutcome,
        /// What the node read; UTF-8.
        value: Bytes,
    },
    /// The node could not use a frame and closes the connection; its reason.
    ProtocolError(String),
    /// The reply to a load probe: the report, or none where the node failed to make one.
    LoadReport(Option<Bytes>),
    /// The reply to a plain probe, which the broker never sends.
    Pong,
}

/// Why what came from a node is no frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame is empty, or longer than is accepted; its length in bytes.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// No kind of frame has this letter.
    #[error("a frame `{}`", char::from(*.0).escape_default())]
    UnknownKind(u8),
    /// A response whose header or value can't be read.
    #[error("an end of a part that can't be read")]
    InvalidResponse,
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Splits the bytes of a connection into frames.
pub struct FrameDecoder {
    /// A frame longer than this is an error; bytes.
    pub max_frame_bytes: usize,
}

impl Decoder for FrameDecoder {
    type Item = InboundFrame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<InboundFrame>, FrameError> {
        let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*prefix) as usize;
        // Checked before memory is reserved for it: the length is whatever the peer wrote.
        if length == 0 || length > self.max_frame_bytes {
            return Err(FrameError::Length(length));
        }
        if buffer.len() < LENGTH_BYTES + length {
            buffer.reserve(LENGTH_BYTES + length - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        decode_frame(buffer.split_to(length).freeze()).map(Some)
    }
}

/// Decodes one whole frame, which has at least the letter of its kind.
fn decode_frame(mut frame: Bytes) -> Result<InboundFrame, FrameError> {
    match frame.get_u8() {
        PONG => Ok(InboundFrame::Pong),
        LOAD_REPORT => Ok(InboundFrame::LoadReport((&frame[..] != NO_REPORT).then_some(frame))),
        RESPONSE => decode_response(frame).ok_or(FrameError::InvalidResponse),
        PROTOCOL_ERROR => Ok(InboundFrame::ProtocolError(String::from_utf8_lossy(&frame).into_owned())),
        other => Err(FrameError::UnknownKind(other)),
    }
}

/// Reads `ID END SCORE REPORT`, a line feed, and the value. No decision reads the report: one that can't be
/// read does not invalidate the value that it came with.
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
    // A value is passed on within JSON, which holds text only.
    std::str::from_utf8(&body).ok()?;
    Some(InboundFrame::Response { id: header.slice_ref(id), outcome, value: body })
}

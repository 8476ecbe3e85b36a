//! Tests of decoding partial and malformed frames.

use super::{FrameDecoder, InboundFrame, OutboundFrame, ShardRequestMessage};
use crate::memory_budget::MemoryBudget;
use bytes::{BufMut, Bytes, BytesMut};
use routing::AttemptOutcome;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

fn frame(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes()[..], body].concat()
}

/// Returns a decoder for frames of up to 64 bytes, of which those over 32 bytes are long.
fn decoder(max_held_bytes: usize) -> FrameDecoder {
    FrameDecoder::new(64, 32, MemoryBudget::new(max_held_bytes))
}

#[rstest]
fn decodes_frames_received_byte_by_byte() {
    let bytes = [frame(b"5q.3 S 18 queue=1\nv\n5"), frame(b"5q.4 B 0 -\n"), frame(b"4-")].concat();
    let (mut decoder, mut buffer, mut decoded) = (decoder(usize::MAX), BytesMut::new(), Vec::new());
    for byte in bytes {
        buffer.put_u8(byte);
        decoded.extend(decoder.decode(&mut buffer).unwrap().map(|decoded| decoded.frame));
    }
    let response = |id: &'static str, outcome, value: &'static str| {
        let (id, value) = (Bytes::from_static(id.as_bytes()), Bytes::from_static(value.as_bytes()));
        InboundFrame::Response { id, outcome, value }
    };
    let expected = [
        response("q.3", AttemptOutcome::Succeeded, "v\n5"),
        response("q.4", AttemptOutcome::Overloaded, ""),
        InboundFrame::LoadReport(Some(Bytes::from_static(b"-"))),
    ];
    assert_eq!(decoded, expected);
}

#[rstest]
#[case(&[0, 0, 0, 0], "invalid frame length: 0 bytes")]
#[case(&[65, 0, 0, 0], "invalid frame length: 65 bytes")]
#[case(&frame(b"7"), "unknown frame type `7`")]
#[case(&frame(b"5q.3 S 18 -"), "malformed response")] // no line feed
#[case(&frame(b"5q.3 S 18\nv"), "malformed response")]
#[case(&frame(b"5q.3 Q 18 -\nv"), "malformed response")]
#[case(&frame(b"5q.3 S 18 -\n\xff"), "malformed response")]
fn rejects_malformed_frames(#[case] bytes: &[u8], #[case] expected: &str) {
    let result = decoder(usize::MAX).decode(&mut BytesMut::from(bytes));
    let error = result.err().expect("the frame is malformed").to_string();
    assert!(error.contains(expected), "{error}");
}

/// A long frame must be reserved before it is received, until its value is dropped, and its buffer must not stay with
/// the connection. Without memory the frame is an error.
#[rstest]
fn reserves_memory_for_a_long_frame() {
    let memory = MemoryBudget::new(64);
    let mut decoder = FrameDecoder::new(64, 32, memory.clone());
    let bytes = frame(b"5q.3 S 18 queue=1\na value of more than 32 bytes");
    let mut buffer = BytesMut::from(&bytes[..5]);
    assert!(decoder.decode(&mut buffer).unwrap().is_none());
    assert_eq!((memory.held_bytes(), buffer.capacity()), (bytes.len(), bytes.len()));
    buffer.extend_from_slice(&bytes[5..]);
    let decoded = decoder.decode(&mut buffer).unwrap().expect("the frame is complete");
    assert_eq!((memory.held_bytes(), buffer.capacity()), (bytes.len(), 32));
    buffer.extend_from_slice(&bytes[..5]);
    let error = decoder.decode(&mut buffer).err().expect("there is no memory for two long frames");
    assert!(error.to_string().contains("no memory"), "{error}");
    drop(decoded);
    assert_eq!(memory.held_bytes(), 0);
}

/// The memory of a frame is reserved by this bound, so no frame may be longer.
#[rstest]
fn bounds_the_length_of_an_encoded_frame() {
    let now = Instant::now();
    let shard_request = ShardRequestMessage {
        id: Bytes::from_static(b"q.4294967295"),
        shard: u32::MAX,
        expires_at: now + Duration::from_secs(600),
        text: Bytes::from_static(b"text"),
    };
    let id = shard_request.id.clone();
    let batch = OutboundFrame::Batch(vec![shard_request.clone(), shard_request]);
    for frame in [batch, OutboundFrame::Cancel(id), OutboundFrame::Probe] {
        let mut buffer = BytesMut::new();
        frame.encode(now, &mut buffer);
        assert!(buffer.len() <= frame.max_encoded_bytes());
    }
}

//! Tests of decoding partial and malformed frames.

use super::{FrameDecoder, InboundFrame};
use bytes::{BufMut, Bytes, BytesMut};
use routing::AttemptOutcome;
use rstest::rstest;
use tokio_util::codec::Decoder;

fn frame(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes()[..], body].concat()
}

#[rstest]
fn decodes_frames_received_byte_by_byte() {
    let bytes = [frame(b"5q.3 S 18 queue=1\nv\n5"), frame(b"5q.4 B 0 -\n"), frame(b"4-")].concat();
    let (mut decoder, mut buffer, mut decoded) =
        (FrameDecoder { max_frame_bytes: 64 }, BytesMut::new(), Vec::new());
    for byte in bytes {
        buffer.put_u8(byte);
        decoded.extend(decoder.decode(&mut buffer).unwrap());
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
    let mut decoder = FrameDecoder { max_frame_bytes: 64 };
    let error = decoder.decode(&mut BytesMut::from(bytes)).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

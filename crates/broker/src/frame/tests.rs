//! Frames that come in pieces, and what is none.

use super::*;
use rstest::rstest;

fn frame(rest: &[u8]) -> Vec<u8> {
    [&(rest.len() as u32).to_le_bytes()[..], rest].concat()
}

#[rstest]
fn reads_frames_that_come_byte_by_byte() {
    let bytes = [frame(b"5q.3 S 18 queue=1\nv\n5"), frame(b"5q.4 B 0 -\n"), frame(b"4-")].concat();
    let (mut codec, mut buffer, mut read) = (Frames { most: 64 }, BytesMut::new(), Vec::new());
    for byte in bytes {
        buffer.put_u8(byte);
        read.extend(codec.decode(&mut buffer).unwrap());
    }
    let ended = |id: &'static str, end, value: &'static str| {
        let (id, value) = (Bytes::from_static(id.as_bytes()), Bytes::from_static(value.as_bytes()));
        FromNode::Ended { id, end, value }
    };
    let told = [
        ended("q.3", AttemptOutcome::Succeeded, "v\n5"),
        ended("q.4", AttemptOutcome::Overloaded, ""),
        FromNode::Told(Some(Bytes::from_static(b"-"))),
    ];
    assert_eq!(read, told);
}

#[rstest]
#[case(&[0, 0, 0, 0], "a frame of 0 bytes")]
#[case(&[65, 0, 0, 0], "a frame of 65 bytes")]
#[case(&frame(b"7"), "a frame `7`")]
#[case(&frame(b"5q.3 S 18 -"), "can't be read")] // no line feed
#[case(&frame(b"5q.3 S 18\nv"), "can't be read")]
#[case(&frame(b"5q.3 Q 18 -\nv"), "can't be read")]
#[case(&frame(b"5q.3 S 18 -\n\xff"), "can't be read")]
fn says_what_is_no_frame(#[case] bytes: &[u8], #[case] why: &str) {
    let told = Frames { most: 64 }.decode(&mut BytesMut::from(bytes)).unwrap_err().to_string();
    assert!(told.contains(why), "{told}");
}

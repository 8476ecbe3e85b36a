//! The frames exchanged by brokers and nodes: a length (4 bytes, little-endian), one byte for the kind, and the
//! content of that kind.

/// The maximum length of a frame, in bytes. A node closes a connection that announces a longer one.
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 20;

// Frame kinds sent by a broker to a node.
pub(crate) const BATCH: u8 = b'1';
pub(crate) const CANCEL: u8 = b'2';
pub(crate) const PING: u8 = b'3';
pub(crate) const LOAD_PROBE: u8 = b'4';

// Frame kinds sent by a node to a broker.
pub(crate) const LOAD_REPORT: char = '4';
pub(crate) const RESPONSE: char = '5';
/// The frame that answers a ping.
pub(crate) const PONG: &[u8] = b"3S";
/// The frame that a node sends before it closes a connection on which it received an invalid frame length.
pub(crate) const WRONG_LENGTH: &[u8] = b"Xa frame of a wrong length";
/// The frame that a node sends before it closes a connection on which it received an unknown frame kind.
pub(crate) const UNKNOWN_KIND: &[u8] = b"Xan unknown letter";

// Outcomes of a shard request, as encoded in a response.
pub(crate) const SUCCEEDED: char = 'S';
pub(crate) const OVERLOADED: char = 'B';

/// Encodes a frame whose length field exceeds the length of `payload` by `excess` bytes. An `excess` of 0 gives a
/// valid frame; other values let a test send a truncated or overlong one.
pub fn encode_frame(payload: &[u8], excess: i32) -> Vec<u8> {
    [&(payload.len() as i32 + excess).to_le_bytes()[..], payload].concat()
}

/// A shard request as encoded in a batch.
pub(crate) struct BatchEntry<'a> {
    pub(crate) id: &'a str,
    pub(crate) shard: u32,
    /// The third field of the header line, such as `d=240`.
    pub(crate) parameters: &'a str,
    /// The text of the query, not necessarily valid UTF-8.
    pub(crate) text: &'a [u8],
}

/// Splits the first shard request off a batch and returns it with the remaining bytes, or `None` if it is malformed.
///
/// A shard request is a header line `ID SHARD PARAMETERS LENGTH`, followed by `LENGTH` bytes of text.
pub(crate) fn split_first_entry(batch: &[u8]) -> Option<(BatchEntry<'_>, &[u8])> {
    let line_end = batch.iter().position(|byte| *byte == b'\n')?;
    let line = str::from_utf8(&batch[..line_end]).ok()?;
    let [id, shard, parameters, length] = line.split(' ').collect::<Vec<_>>()[..] else { return None };
    let (text, rest) = batch[line_end + 1..].split_at_checked(length.parse().ok()?)?;
    Some((BatchEntry { id, shard: shard.parse().ok()?, parameters, text }, rest))
}

//! Frames between brokers and nodes: a length (4 bytes), a letter for the kind, and what the kind has.

/// The longest frame, in bytes; a longer one closes the connection.
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 20;

// Kinds of frames from a broker to a node.
pub(crate) const BATCH: u8 = b'1';
pub(crate) const CANCEL: u8 = b'2';
pub(crate) const PING: u8 = b'3';
pub(crate) const LOAD_PROBE: u8 = b'4';

// Kinds of frames from a node to a broker.
pub(crate) const LOAD_REPORT: char = '4';
pub(crate) const RESPONSE: char = '5';
/// The response to a ping.
pub(crate) const PONG: &[u8] = b"3S";
/// What a node says before it closes the connection for a frame that it can't read.
pub(crate) const WRONG_LENGTH: &[u8] = b"Xa frame of a wrong length";
pub(crate) const UNKNOWN_KIND: &[u8] = b"Xan unknown letter";

/// Outcomes of a shard request, in a response.
pub(crate) const SUCCEEDED: char = 'S';
pub(crate) const OVERLOADED: char = 'B';

/// A frame whose length field says `excess` bytes more than there are.
pub fn encode_frame(payload: &[u8], excess: i32) -> Vec<u8> {
    [&(payload.len() as i32 + excess).to_le_bytes()[..], payload].concat()
}

/// A shard request as a batch carries it.
pub(crate) struct BatchEntry<'a> {
    pub(crate) id: &'a str,
    pub(crate) shard: u32,
    /// The third field of its line.
    pub(crate) list: &'a str,
    /// The query's text.
    pub(crate) text: &'a [u8],
}

/// Takes the first shard request off a batch: a line `ID SHARD LIST LENGTH`, and so many bytes. Returns it and the
/// rest; none: it can't be read.
pub(crate) fn split_first_entry(batch: &[u8]) -> Option<(BatchEntry<'_>, &[u8])> {
    let line_end = batch.iter().position(|byte| *byte == b'\n')?;
    let line = str::from_utf8(&batch[..line_end]).ok()?;
    let [id, shard, list, length] = line.split(' ').collect::<Vec<_>>()[..] else { return None };
    let (text, rest) = batch[line_end + 1..].split_at_checked(length.parse().ok()?)?;
    Some((BatchEntry { id, shard: shard.parse().ok()?, list, text }, rest))
}

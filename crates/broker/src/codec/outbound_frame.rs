//! Frames that the broker sends to a node, and their encoding.

use super::LENGTH_BYTES;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::time::Instant;

// The type bytes of the frames that the broker sends.
const BATCH: u8 = b'1';
const CANCEL: u8 = b'2';
const PROBE: u8 = b'4';

/// The size of a frame's type.
const KIND_BYTES: usize = 1;
/// The maximum length of the decimal digits of a number.
const MAX_NUMBER_BYTES: usize = 20;
/// The maximum length of a shard request's header after its id: three numbers, three spaces, `d=`, and a line feed.
const MAX_HEADER_BYTES: usize = 3 * MAX_NUMBER_BYTES + 6;

/// A shard request within a batch.
#[derive(Clone, Debug)]
pub struct ShardRequestMessage {
    /// The id that the node repeats in its response.
    pub id: Bytes,
    /// The number of the shard to read.
    pub shard: u32,
    /// The time until which the broker waits for the response.
    pub expires_at: Instant,
    /// The text of the query.
    pub text: Bytes,
}

/// A frame from the broker to a node.
#[derive(Clone, Debug)]
pub enum OutboundFrame {
    /// A batch of shard requests for the node to execute.
    Batch(Vec<ShardRequestMessage>),
    /// A notice that the broker no longer needs a response to the shard request with this id.
    Cancel(Bytes),
    /// A request for a load report.
    Probe,
}

impl OutboundFrame {
    /// Returns whether this is a batch without shard requests. Such a frame must not be written.
    pub fn is_empty_batch(&self) -> bool {
        matches!(self, OutboundFrame::Batch(shard_requests) if shard_requests.is_empty())
    }

    /// Returns the ids of the shard requests in a batch; empty for other frames.
    pub fn shard_request_ids(&self) -> Vec<Bytes> {
        match self {
            OutboundFrame::Batch(shard_requests) => {
                shard_requests.iter().map(|shard_request| shard_request.id.clone()).collect()
            }
            OutboundFrame::Cancel(_) | OutboundFrame::Probe => Vec::new(),
        }
    }

    /// Returns an upper bound of the length of the encoded frame.
    pub fn max_encoded_bytes(&self) -> usize {
        let body = match self {
            OutboundFrame::Batch(shard_requests) => {
                shard_requests.iter().map(ShardRequestMessage::max_encoded_bytes).sum()
            }
            OutboundFrame::Cancel(id) => id.len(),
            OutboundFrame::Probe => 0,
        };
        LENGTH_BYTES + KIND_BYTES + body
    }

    /// Appends the encoded frame, including its length prefix, to `buffer`.
    ///
    /// `now` is the time at which the first byte is written. The timeouts in a batch are relative to it.
    pub fn encode(&self, now: Instant, buffer: &mut BytesMut) {
        let start = buffer.len();
        buffer.put_u32_le(0);
        match self {
            OutboundFrame::Batch(shard_requests) => {
                buffer.put_u8(BATCH);
                shard_requests.iter().for_each(|shard_request| shard_request.encode(now, buffer));
            }
            OutboundFrame::Probe => buffer.put_u8(PROBE),
            OutboundFrame::Cancel(id) => {
                buffer.put_u8(CANCEL);
                buffer.put_slice(id);
            }
        }
        let length = (buffer.len() - start - LENGTH_BYTES) as u32;
        buffer[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    }
}

impl ShardRequestMessage {
    /// Returns the time left until `expires_at`, in whole milliseconds; zero if it has passed.
    pub fn time_left_ms(&self, now: Instant) -> u64 {
        self.expires_at.saturating_duration_since(now).as_millis() as u64
    }

    fn max_encoded_bytes(&self) -> usize {
        self.id.len() + MAX_HEADER_BYTES + self.text.len()
    }

    /// Appends the header `ID SHARD d=TIMEOUT LENGTH`, a line feed, and the text.
    fn encode(&self, now: Instant, buffer: &mut BytesMut) {
        buffer.put_slice(&self.id);
        let header = format!(" {} d={} {}\n", self.shard, self.time_left_ms(now), self.text.len());
        buffer.put_slice(header.as_bytes());
        buffer.put_slice(&self.text);
    }
}

//! Frames that the broker writes to a node.

use super::LENGTH_BYTES;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::time::Instant;

/// Letters of the frames that the broker writes.
const BATCH: u8 = b'1';
const CANCEL: u8 = b'2';
const PROBE: u8 = b'4';

/// One shard request as a batch carries it.
#[derive(Clone, Debug)]
pub struct ShardRequestMessage {
    /// What the node's response refers to it by.
    pub id: Bytes,
    /// The number of the shard to read.
    pub shard: u32,
    /// Until when the broker waits for the response.
    pub expires_at: Instant,
    /// What is asked of the shard.
    pub text: Bytes,
}

/// A frame to a node.
#[derive(Clone, Debug)]
pub enum OutboundFrame {
    /// Shard requests to execute.
    Batch(Vec<ShardRequestMessage>),
    /// The shard request of this id needs no response any more.
    Cancel(Bytes),
    /// A request for a load report.
    Probe,
}

impl OutboundFrame {
    /// Whether this is a batch without shard requests, which is not written.
    pub fn is_empty_batch(&self) -> bool {
        matches!(self, OutboundFrame::Batch(shard_requests) if shard_requests.is_empty())
    }

    /// The ids of the shard requests that this frame asks a node to execute.
    pub fn shard_request_ids(&self) -> Vec<Bytes> {
        match self {
            OutboundFrame::Batch(shard_requests) => {
                shard_requests.iter().map(|shard_request| shard_request.id.clone()).collect()
            }
            OutboundFrame::Cancel(_) | OutboundFrame::Probe => Vec::new(),
        }
    }

    /// Appends the whole frame, its length first. `now`: when its first byte is written; the time left that a batch
    /// states counts from then.
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
    /// The time left until `expires_at`, in whole milliseconds.
    pub fn time_left_ms(&self, now: Instant) -> u64 {
        self.expires_at.saturating_duration_since(now).as_millis() as u64
    }

    /// Appends `ID SHARD d=TIMEOUT LENGTH`, a line feed, and the text.
    fn encode(&self, now: Instant, buffer: &mut BytesMut) {
        buffer.put_slice(&self.id);
        let header = format!(" {} d={} {}\n", self.shard, self.time_left_ms(now), self.text.len());
        buffer.put_slice(header.as_bytes());
        buffer.put_slice(&self.text);
    }
}

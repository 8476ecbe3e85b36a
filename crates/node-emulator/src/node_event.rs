//! What a scripted node receives from brokers, and how that is read from frames.

use crate::MAX_FRAME_BYTES;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

/// A shard request as a batch carries it.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardRequest {
    /// The id that its response names.
    pub id: String,
    /// The shard.
    pub shard: u32,
    /// The third field of its line, as it came.
    pub list: String,
    /// The query's text.
    pub text: String,
}

/// What came on one connection.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// Shard requests.
    Batch(Vec<ShardRequest>),
    /// The shard request of this id is cancelled.
    Cancel(String),
    /// A probe for load.
    LoadProbe,
    /// A frame that is none of these and can't be used.
    Unknown,
    /// The connection is closed.
    Closed,
}

/// What came, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedEvent {
    /// Which node, by the index that its driver gave it.
    pub node: usize,
    /// Which of the node's connections, in the order in which they were accepted.
    pub connection: usize,
    /// What came.
    pub event: PeerEvent,
}

/// Where scripted nodes send what they receive.
pub type EventSender = mpsc::UnboundedSender<ReceivedEvent>;

/// A frame whose length field says `excess` bytes more than there are.
pub fn encode_frame(payload: &[u8], excess: i32) -> Vec<u8> {
    [&(payload.len() as i32 + excess).to_le_bytes()[..], payload].concat()
}

/// The next frame; none: the connection is closed, or its frame is too long or cut short.
pub(crate) async fn read_event(from: &mut (impl AsyncReadExt + Unpin)) -> Option<PeerEvent> {
    let length = from.read_u32_le().await.ok()? as usize;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = vec![0; length];
    from.read_exact(&mut frame).await.ok()?;
    Some(match frame.split_first() {
        Some((b'2', id)) => text(id).map_or(PeerEvent::Unknown, PeerEvent::Cancel),
        Some((b'4', [])) => PeerEvent::LoadProbe,
        Some((b'1', batch)) => parse_batch(batch).map_or(PeerEvent::Unknown, PeerEvent::Batch),
        _ => PeerEvent::Unknown,
    })
}

/// A batch's shard requests, each a line `ID SHARD LIST LENGTH` and so many bytes.
fn parse_batch(mut rest: &[u8]) -> Option<Vec<ShardRequest>> {
    let mut shard_requests = Vec::new();
    while !rest.is_empty() {
        let line_end = rest.iter().position(|byte| *byte == b'\n')?;
        let line = text(&rest[..line_end])?;
        let [id, shard, list, length] = line.split(' ').collect::<Vec<_>>()[..] else { return None };
        let (value, after) = rest[line_end + 1..].split_at_checked(length.parse().ok()?)?;
        shard_requests.push(ShardRequest {
            id: id.to_owned(),
            shard: shard.parse().ok()?,
            list: list.to_owned(),
            text: text(value)?,
        });
        rest = after;
    }
    Some(shard_requests)
}

fn text(bytes: &[u8]) -> Option<String> {
    String::from_utf8(bytes.to_vec()).ok()
}

//! What a scripted node receives from brokers, and how that is read from frames.

use crate::frame::{BATCH, CANCEL, LOAD_PROBE, MAX_FRAME_BYTES, split_first_entry};
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
    pub parameters: String,
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

/// The next frame; none: the connection is closed, or its frame is too long or cut short.
pub(crate) async fn read_event(from: &mut (impl AsyncReadExt + Unpin)) -> Option<PeerEvent> {
    let length = from.read_u32_le().await.ok()? as usize;
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = vec![0; length];
    from.read_exact(&mut frame).await.ok()?;
    Some(match frame.split_first() {
        Some((&CANCEL, id)) => text(id).map_or(PeerEvent::Unknown, PeerEvent::Cancel),
        Some((&LOAD_PROBE, [])) => PeerEvent::LoadProbe,
        Some((&BATCH, batch)) => parse_batch(batch).map_or(PeerEvent::Unknown, PeerEvent::Batch),
        _ => PeerEvent::Unknown,
    })
}

fn parse_batch(mut rest: &[u8]) -> Option<Vec<ShardRequest>> {
    let mut shard_requests = Vec::new();
    while !rest.is_empty() {
        let (entry, after) = split_first_entry(rest)?;
        let (id, parameters) = (entry.id.to_owned(), entry.parameters.to_owned());
        shard_requests.push(ShardRequest { id, shard: entry.shard, parameters, text: text(entry.text)? });
        rest = after;
    }
    Some(shard_requests)
}

fn text(bytes: &[u8]) -> Option<String> {
    String::from_utf8(bytes.to_vec()).ok()
}

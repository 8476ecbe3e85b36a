//! The events that a scripted node receives from brokers, and their decoding from frames.

use crate::frame::{BATCH, CANCEL, LOAD_PROBE, MAX_FRAME_BYTES, split_first_entry};
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

/// A shard request decoded from a batch.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardRequest {
    /// The id, which the response has to repeat.
    pub id: String,
    /// The number of the shard.
    pub shard: u32,
    /// The third field of the header line, such as `d=240`, as received.
    pub parameters: String,
    /// The text of the query.
    pub text: String,
}

/// An event on one connection.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A batch of shard requests was received.
    Batch(Vec<ShardRequest>),
    /// A cancellation of the shard request with this id was received.
    Cancel(String),
    /// A load probe was received.
    LoadProbe,
    /// A frame of another kind, or a malformed one, was received.
    Unknown,
    /// The connection was closed, or a frame on it was too long or truncated.
    Closed,
}

/// An event with the node and the connection on which it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedEvent {
    /// The index of the node, as assigned by the test that started it.
    pub node: usize,
    /// The index of the connection among those of the node, in order of acceptance.
    pub connection: usize,
    /// The received event.
    pub event: PeerEvent,
}

/// The channel to which scripted nodes send the events that they receive.
pub type EventSender = mpsc::UnboundedSender<ReceivedEvent>;

/// Reads the next frame. Returns `None` if the connection was closed, or the frame is too long or truncated.
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

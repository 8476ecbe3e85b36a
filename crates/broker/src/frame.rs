//! Frames between the broker and a node: a length, a letter, the rest.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use routing::{AttemptOutcome, LoadMetric};
use std::io;
use tokio_util::codec::Decoder;

const PREFIX: usize = 4;
/// The most values of a load report that are read.
const REPORTED: usize = 16;

/// One shard request as a call carries it.
#[derive(Clone, Debug)]
pub struct CalledPart {
    pub id: Bytes,
    pub shard: u32,
    pub wait_ms: u64,
    pub text: Bytes,
}

#[derive(Clone, Debug)]
pub enum ToNode {
    Call(Vec<CalledPart>),
    GiveUp(Bytes),
    /// A probe for load.
    Probe,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FromNode {
    Ended {
        id: Bytes,
        end: AttemptOutcome,
        value: Bytes,
    },
    /// The node's reason for closing the connection.
    Unusable(String),
    /// A load probe's answer: the report, or none where the node failed to give one.
    Told(Option<Bytes>),
    /// An answer to a plain probe; none was asked for.
    Aside,
}

#[derive(Debug, thiserror::Error)]
pub enum BadFrame {
    #[error("a frame of {0} bytes")]
    Size(usize),
    #[error("a frame `{}`", char::from(*.0).escape_default())]
    Letter(u8),
    #[error("an end of a part that can't be read")]
    End,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The codec; a frame longer than `most` is bad.
pub struct Frames {
    pub most: usize,
}

impl ToNode {
    /// Puts the whole frame behind what is there.
    pub fn encode(&self, to: &mut BytesMut) {
        let start = to.len();
        to.put_u32_le(0);
        match self {
            ToNode::Call(shard_requests) => {
                to.put_u8(b'1');
                for shard_request in shard_requests {
                    to.put_slice(&shard_request.id);
                    let rest = format!(
                        " {} d={} {}\n",
                        shard_request.shard,
                        shard_request.wait_ms,
                        shard_request.text.len()
                    );
                    to.put_slice(rest.as_bytes());
                    to.put_slice(&shard_request.text);
                }
            }
            ToNode::Probe => to.put_u8(b'4'),
            ToNode::GiveUp(id) => {
                to.put_u8(b'2');
                to.put_slice(id);
            }
        }
        let length = (to.len() - start - PREFIX) as u32;
        to[start..start + PREFIX].copy_from_slice(&length.to_le_bytes());
    }
}

impl Decoder for Frames {
    type Item = FromNode;
    type Error = BadFrame;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<FromNode>, BadFrame> {
        let Some(prefix) = from.first_chunk::<PREFIX>() else { return Ok(None) };
        let length = u32::from_le_bytes(*prefix) as usize;
        // Checked before anything is set aside for it: the length is the peer's word.
        if length == 0 || length > self.most {
            return Err(BadFrame::Size(length));
        }
        if from.len() < PREFIX + length {
            from.reserve(PREFIX + length - from.len());
            return Ok(None);
        }
        from.advance(PREFIX);
        let mut rest = from.split_to(length).freeze();
        match rest.get_u8() {
            b'3' => Ok(Some(FromNode::Aside)),
            b'4' => Ok(Some(FromNode::Told((&rest[..] != b"E").then_some(rest)))),
            b'5' => ended(rest).map(Some).ok_or(BadFrame::End),
            b'X' => Ok(Some(FromNode::Unusable(String::from_utf8_lossy(&rest).into_owned()))),
            other => Err(BadFrame::Letter(other)),
        }
    }
}

/// Whether these bytes might be the end of a value.
pub fn is_text(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes).is_ok_and(|text| !text.contains(char::is_control))
}

/// Reads a load report, `name=value` with commas between. What can't be read, or is no number, is passed over.
pub fn read_report(words: &[u8]) -> Vec<(LoadMetric, f64)> {
    let words = std::str::from_utf8(words).unwrap_or_default();
    let values = words.split(',').take(REPORTED).filter_map(|field| field.split_once('='));
    values.filter_map(|(name, value)| Some((settings::load_metric(name), value.parse().ok()?))).collect()
}

/// Reads `ID END SCORE REPORT`, a line feed, and the value. No decision reads the report: one that can't be
/// read does not spoil the value that it came with.
fn ended(mut rest: Bytes) -> Option<FromNode> {
    let line_end = rest.iter().position(|byte| *byte == b'\n')?;
    let line = rest.split_to(line_end);
    rest.advance(1);
    let fields: Vec<&[u8]> = line.splitn(4, |byte| *byte == b' ').collect();
    let [id, end, _score, _report] = fields[..] else { return None };
    let end = match end {
        b"S" => AttemptOutcome::Succeeded,
        b"E" => AttemptOutcome::Errored,
        b"B" => AttemptOutcome::Overloaded,
        _ => return None,
    };
    // A value is passed on within JSON, which holds text only.
    std::str::from_utf8(&rest).ok()?;
    Some(FromNode::Ended { id: line.slice_ref(id), end, value: rest })
}

#[cfg(test)]
mod tests;

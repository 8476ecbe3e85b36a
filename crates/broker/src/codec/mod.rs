//! The frame protocol between the broker and its nodes.
//!
//! A frame has a length of four bytes, one byte for its type, and a body. [`OutboundFrame::encode`] encodes frames to
//! a node, [`FrameDecoder`] decodes [`InboundFrame`]s from a node. Only this module uses the names of the wire
//! format.

mod inbound_frame;
mod load_report;
mod outbound_frame;

pub use inbound_frame::{DecodedFrame, FrameDecoder, FrameError, InboundFrame};
pub use load_report::read_load_report;
pub use outbound_frame::{OutboundFrame, ShardRequestMessage};

/// The size of a frame's length prefix. The length is in little endian and excludes the prefix.
const LENGTH_BYTES: usize = 4;

/// Returns whether `bytes` could be the continuation of a response's value: UTF-8 without control characters.
pub fn is_text(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes).is_ok_and(|text| !text.contains(char::is_control))
}

#[cfg(test)]
mod tests;
